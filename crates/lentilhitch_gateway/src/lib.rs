//! The node: the process that forwards the requests of clients to upstreams.
//!
//! These terms are used in all modules:
//!
//! - Node: one process of this crate. A deployment runs several nodes behind a load balancer. Each start of the process
//!   is a new incarnation of the node.
//! - Peer: another node, from the point of view of this node.
//! - Upstream: a process that runs the requests of one service.
//! - Platform: the environment that the deployment provides, which consists of a store and a cloud API. A node uses
//!   it through the traits of [`platform`], so this crate is independent of the concrete platform.
//! - Store: the log service of the platform. It holds topics. A topic is a sequence of records, each with an offset. In
//!   topics with keys the newest record of each key is retained.
//! - Upstream entry: the record that an upstream writes about itself to the store at every heartbeat, with its service,
//!   address, zone and state. The newest entries of all upstreams are the list of upstreams.
//! - Store reader of a zone: the node that reads the list of upstreams and the configuration from the store for all
//!   nodes of its zone. Another node of the zone reads them itself only if no peer confirms that the node's copy is
//!   current.
//! - Duty lease: lease that at most one node holds at a time. Only the holder carries out the duties, which are
//!   reporting usage and ordering replicas of services through the cloud API.
//! - Team: a tenant, with API keys and a rate limit. Usage is counted by team.
//! - Usage window: accounting period of fixed length. For each window, the holder of the duty lease reports how many
//!   requests of each team started to run in it.
//!
//! The decision logic is in `lentilhitch_policy`. A node runs on one thread. Its tasks share one `Node` and never
//! hold a borrow of its state across an `await`.

mod admission;
mod attempts;
mod client_io;
mod client_response;
mod clock;
mod discovery;
mod duties;
mod exchange;
pub mod explain;
mod forward;
mod gossip;
mod ingress;
mod memory_watch;
mod metrics;
mod node;
mod outbox;
mod overload;
mod peer_relay;
pub mod platform;
mod pool;
mod quarantine_register;
mod relay;
mod rollouts;
mod run;
mod run_transfer;
mod settings;
mod store;
mod store_register;
mod stream_archive;
mod stream_versions;
mod upstream_attempt;
mod upstream_paths;
mod version_histories;
mod version_register;

pub use run::run;
pub use settings::{Bounds, NodeSettings, RolloutBounds};

//! The decisions of the system, as state machines without I/O.
//!
//! This crate uses no sockets, clocks, tasks or global state. Each decision takes typed events and the time in
//! milliseconds as arguments and returns typed actions, so that it can be tested against a naive implementation,
//! replayed and measured without a network.
//!
//! Two kinds of processes use this crate, nodes (crate `lentilhitch_gateway`) and entry processes (crate
//! `lentilhitch_entry`). Both receive requests from clients and send them to upstreams. The modules use these terms:
//!
//! - Service: what clients call. Its upstreams are interchangeable processes that run the requests, such as model
//!   engines.
//! - Team: a customer (tenant) of the operator, to which clients belong and whose request rate is limited.
//! - Peer: another node, as seen by a node, or another entry process, as seen by an entry process.
//! - Platform: the environment that runs the processes and stores their records.
//! - Store: topics of the platform to which nodes append records and from which they read them by offset, for example
//!   the configuration and the list of the upstreams.
//! - Log: append-only streams of the platform, which entry processes use in the same way.
//! - Fold: a state that is computed from the records of a log stream in order, see [`fold`].
//! - Duty lease: a time-limited right that one node at a time holds, see [`duty`]. Its holder reports usage and orders
//!   replicas.
//! - Zone: a data center.
//! - Incarnation: one run of a process under its name. A restarted process has a new incarnation.
//! - State chart: a JSON file in the crate `lentilhitch_chart` that defines states, the events that each state handles,
//!   and the actions that result.

pub mod at_most_once;
pub mod body_memory;
pub mod brittle;
pub mod catalog;
pub mod checkpoint;
pub mod config_announcements;
pub mod cursor;
pub mod duty;
pub mod events;
pub mod fleet;
pub mod fold;
pub mod gossip;
pub mod journal;
pub mod kv_transfer;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod notice;
pub mod overload;
pub mod pauses;
pub mod peer_queries;
pub mod placement;
pub mod quarantine;
pub mod quarantine_register;
pub mod response_budget;
pub mod restrictions;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod send_queue;
pub mod shared_rate;
pub mod store_era;
pub mod stream_archive;
pub mod stream_end;
pub mod stream_lifetime;
pub mod stream_origins;
pub mod suspects;
pub mod synced_clock;
pub mod traffic;
pub mod upstream_limits;
pub mod upstream_paths;
pub mod usage;
pub mod version_register;

//! A node: the process between clients and upstreams. This crate is independent of the platform that it runs on.
//!
//! A node uses the platform through the traits of [`platform`]. The decision logic is in `lentilhitch_policy`. A node
//! runs on one thread. Its tasks share one [`Node`] and never hold a borrow of its state across an `await`.

mod admission;
mod attempts;
mod client_io;
mod client_response;
mod clock;
mod discovery;
mod duties;
mod exchange;
mod forward;
mod gossip;
mod ingress;
mod metrics;
mod node;
pub mod platform;
mod pool;
mod relay;
mod run;
mod settings;
mod upstream_attempt;

pub use run::run;
pub use settings::{Bounds, NodeSettings};

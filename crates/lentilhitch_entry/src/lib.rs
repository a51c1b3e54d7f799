//! The entry process: the front door for callers, the calls to upstreams, and what entry processes tell each other.
//!
//! The decisions are in `lentilhitch_policy`; this crate turns sockets into their events and their actions into calls.

mod admin;
mod application;
mod claims;
mod clock;
mod copies;
mod directory;
mod dispatch;
mod drain;
mod entry;
mod evacuate;
mod follow;
mod front;
mod journals;
mod language;
mod log_access;
mod metrics;
mod orders;
mod peer_handler;
mod peers;
mod problems;
mod protocol;
mod requests;
mod runner;
mod serve;
mod upstreams;

pub use admin::{ConfigStatus, Status};
pub use protocol::{Heartbeat, Message};
pub use serve::serve;

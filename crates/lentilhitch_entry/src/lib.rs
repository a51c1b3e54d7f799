//! Entry process: serves client requests, sends them to upstreams and exchanges messages with the other entry
//! processes.
//!
//! Decisions are made in `lentilhitch_policy`. This crate does the input and output: it passes what arrives to the
//! policies as events and carries out the actions that they return.

mod admin;
mod application;
mod claims;
mod clock;
mod directory;
mod dispatch;
mod drain;
mod entry;
mod evacuate;
mod follow;
mod front;
mod journal_copies;
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

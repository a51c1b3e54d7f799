//! The decisions of the system, as state machines without I/O.
//!
//! This crate uses no sockets, clocks, tasks or global state. Each decision takes typed events and the time in
//! milliseconds as arguments and returns typed actions, so that it can be tested against a naive implementation,
//! replayed and measured without a network.

pub mod at_most_once;
pub mod catalog;
pub mod checkpoint;
pub mod cursor;
pub mod duty;
pub mod events;
pub mod fleet;
pub mod fold;
pub mod journal;
pub mod kv_transfer;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod notice;
pub mod placement;
pub mod quarantine;
pub mod retry;
pub mod routing;
pub mod shared_rate;
pub mod suspects;
pub mod synced_clock;
pub mod traffic;
pub mod usage;

//! Clients of the platform's services.
//!
//! The interfaces are HTTP with JSON bodies and are described in `docs/PLATFORM.md`. The clients take no decisions.
//! They turn calls into typed results, which tell in particular whether an append failed for certain or may have taken
//! effect.

mod cloud;
mod log;

pub use cloud::{CloudClient, InstanceEntry, InstanceState};
pub use log::{AppendError, LogClient, LogPage, LogRecord, ReadError, Stream};

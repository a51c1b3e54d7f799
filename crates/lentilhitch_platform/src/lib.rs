//! Clients of the platform's services.
//!
//! The interfaces are HTTP with JSON bodies and are described in `docs/PLATFORM.md`. The clients decide nothing: they turn
//! calls into typed results, above all whether an append is known to have failed or may have taken effect.

mod cloud;
mod log;

pub use cloud::{CloudClient, InstanceEntry, InstanceState};
pub use log::{AppendError, LogClient, LogPage, LogRecord, ReadError, Stream};

//! Development only: small stand-ins of what the system meets, as processes, and the means to run and disturb them.
//!
//! Nothing here is shipped. The stand-ins speak the interfaces that `docs/PLATFORM.md` and `docs/UPSTREAMS.md` describe;
//! their faults are set over HTTP at `/faults`.

pub mod application;
pub mod demo;
pub mod engine;
pub mod fault_proxy;
pub mod harness;
pub mod load;
pub mod platform;
pub mod record;
pub mod replay;
mod server;
pub mod slopes;
pub mod soak;
pub mod trace;
pub mod users_platform;

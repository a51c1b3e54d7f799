//! Stand-ins for the engines, applications and platforms that the system works with, and tools that run them, load them
//! and inject faults. For development only.
//!
//! Nothing here is shipped. The stand-ins run as processes, except those of `users_platform`, which run in the test.
//! They implement the interfaces that `docs/PLATFORM.md` and `docs/UPSTREAMS.md` describe. Faults of the processes are
//! set over HTTP at `/faults`.

pub mod application;
pub mod demo;
pub mod engine;
pub mod fault_proxy;
pub mod fleet_slopes;
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

//! Entry process: a process of the system that accepts requests of clients, sends them to upstreams and returns the
//! responses.
//!
//! Decisions are made in `lentilhitch_policy`. This crate does the input and output: it passes what arrives to the
//! policies as events and carries out the actions that they return. The modules use these terms:
//!
//! - Service: what clients call, as declared by an operator. A language service is served by model engines, an
//!   application service by ordinary HTTP applications.
//! - Upstream: one model engine or application process that serves a service.
//! - Team: a customer (tenant) of the operator, identified by bearer tokens, with a rate limit.
//! - Peer: another entry process. Entry processes exchange messages over links (crate `lentilhitch_peer`).
//! - Platform: the environment that runs the processes. It provides the log service and a list of the running
//!   instances.
//! - Log: append-only streams of records in the log service of the platform: configuration, claims and leases. Every
//!   entry process reads the streams and computes the same state from the same records.
//! - Journal: an accepted request of a language service and the tokens of its response so far. A peer that holds a copy
//!   can continue the request if the entry process is lost.
//! - Claim: a record in the log by which an entry process reserves the right to send a call of an application service
//!   that must be sent at most once.
//! - Notice: the information that an incarnation of an upstream is leaving: it takes no new requests and will end.
//! - Incarnation: one run of a process under its name. A restarted process has a new incarnation.
//! - Suspect: a request that was running on an upstream when the upstream crashed, or a peer whose heartbeats have
//!   timed out.

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

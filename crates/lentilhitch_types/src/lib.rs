//! Newtypes for ids, names, sizes and rates that the other crates share, and the problems that are reported to
//! operators and clients.
//!
//! The newtypes implement `Display` and `FromStr`, and parsing the printed text yields the same value. Names are
//! validated when they are parsed, so a value of such a type is always valid.

mod finding;
mod id;
mod name;
mod outcome;
mod position;
mod rate;
mod size;
mod version;

pub use finding::{Finding, Findings, SourcePosition};
pub use id::{AttemptId, Fingerprint, Incarnation, LogOffset, RequestId, SegmentId};
pub use name::{InstanceName, NameError, ServiceName, TeamName, UpstreamName, Zone};
pub use outcome::{Outcome, Problem};
pub use position::{InvalidPosition, LogPosition, StoreEra};
pub use rate::{PricePerHour, RequestRate, TokenRate};
pub use size::{ByteSize, TokenCount};
pub use version::SoftwareVersion;

//! Newtypes for the ids, sizes and rates that every other crate speaks of.
//!
//! Each type implements `Display` and `FromStr`, and the two agree: what is printed can be read back. Names are checked
//! when they are read, so a value of such a type is always valid.

mod finding;
mod id;
mod name;
mod outcome;
mod rate;
mod size;

pub use finding::{Finding, Findings, SourcePosition};
pub use id::{AttemptId, Fingerprint, Incarnation, LogOffset, RequestId};
pub use name::{InstanceName, NameError, ServiceName, TeamName, UpstreamName, Zone};
pub use outcome::{Outcome, Problem};
pub use rate::{PricePerHour, RequestRate, TokenRate};
pub use size::{ByteSize, TokenCount};

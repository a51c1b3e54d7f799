//! Orders of operators to move the traffic of a service to a software version.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use lentilhitch_types::{LogPosition, ServiceName, SoftwareVersion};

/// A record by which an operator asks for a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    #[serde(rename = "s")]
    pub service: ServiceName,
    #[serde(rename = "v")]
    pub to: SoftwareVersion,
    /// Time limit, counted from when the store acknowledged the record.
    #[serde(rename = "d")]
    pub duration_ms: u64,
    /// Where the record was written.
    #[serde(rename = "p")]
    pub position: LogPosition,
}

/// Identifies an order in messages: hash of what is ordered and of the position under which it was first known. It
/// stays the same when the record is written again after a restore of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrderTag(pub u64);

impl Order {
    /// Returns the tag of this order if it is a new one.
    pub fn tag(&self) -> OrderTag {
        let text = format!(
            "{}\0{}\0{}\0{}",
            self.service,
            self.to,
            self.duration_ms,
            self.position.number()
        );
        OrderTag(xxh3_64(text.as_bytes()))
    }

    /// Returns a hash of what is ordered, without the position.
    pub fn request_hash(&self) -> u64 {
        let text = format!("{}\0{}\0{}", self.service, self.to, self.duration_ms);
        xxh3_64(text.as_bytes())
    }

    /// Returns whether two records ask for the same.
    pub fn is_equal_request(&self, other: &Self) -> bool {
        (&self.service, &self.to, self.duration_ms)
            == (&other.service, &other.to, other.duration_ms)
    }
}

//! Register of the software versions at which streams may have begun, for the case that all nodes are lost at once.
//!
//! While a service has a single version, nodes infer from the versions that they have followed which one began a stream
//! ([`crate::stream_origins`]). A node that starts takes the versions over from another one. When all have been lost,
//! none has followed them. So the store keeps one record with the versions of all services. It is written when a version
//! appears that it lacks, or when one has been gone for as long as a stream may last, by the nodes that read and write
//! for their zones, and replaced as a whole, each time only if nobody has written meanwhile.
//!
//! A record says nothing after the store has returned from a copy that may lack versions written since, so it states
//! the era in which it was written.

use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};

use lentilhitch_types::StoreEra;

use crate::{
    stream_lifetime::longest_wait_ms,
    stream_origins::{StreamOrigin, StreamOrigins, VersionHistories},
};

/// The record in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Era of the store in which the record was written.
    #[serde(rename = "e")]
    pub era: StoreEra,
    #[serde(flatten)]
    pub histories: VersionHistories,
}

impl VersionRecord {
    fn versions(&self) -> FxHashSet<StreamOrigin> {
        self.histories.versions().collect()
    }
}

/// What one node knows of the register.
#[derive(Clone, Debug, Default)]
pub struct VersionRegister {
    /// Record that this node has read before it knew the versions.
    found_at_start: Option<VersionRecord>,
    /// Record that this node has last read or written since.
    record: Option<VersionRecord>,
}

impl VersionRegister {
    /// Handles the record that a node finds which does not know the versions yet.
    pub fn on_found_at_start(&mut self, record: VersionRecord) {
        self.found_at_start = Some(record);
    }

    /// Returns the versions that this node found when it started, if none can be missing in the given era.
    pub fn found_at_start(&self, era: StoreEra) -> Option<&VersionHistories> {
        self.found_at_start.as_ref().filter(|it| it.era == era).map(|it| &it.histories)
    }

    /// Returns whether the record that this node knows differs from what it sees, so that the register is to be read and
    /// written. Only a node that knows all versions can tell.
    pub fn is_due(&self, origins: &StreamOrigins, era: StoreEra, now_ms: u64) -> bool {
        let Some(seen) = origins.histories(now_ms) else { return false };
        let Some(record) = self.record.as_ref().filter(|it| it.era == era) else { return true };
        record.versions() != seen.versions().collect()
            || longest_wait_ms(&record.histories.waits) < longest_wait_ms(&seen.waits)
    }

    /// Handles the record in the store, or that there is none. Versions in it that this node hears of for the first time
    /// count as gone since now. Those that it has known before and sees no more have been gone for long enough.
    pub fn on_read(
        &mut self,
        record: Option<VersionRecord>,
        origins: &mut StreamOrigins,
        now_ms: u64,
    ) {
        if let Some(record) = &record {
            let known = self.record.as_ref().map(VersionRecord::versions).unwrap_or_default();
            origins.adopt(&record.histories.retain(|it| !known.contains(&it)), now_ms);
        }
        self.record = record;
    }

    /// Handles that the record was written.
    pub fn on_written(&mut self, record: VersionRecord) {
        self.record = Some(record);
    }
}

//! Register of the quarantined requests and prompt segments, for the case that all nodes are lost at once.
//!
//! Nodes remind each other of quarantines ([`crate::suspects`]), so these end with the last node that knows of them, and
//! what crashes upstreams would crash some more of them before it is found again. So the store keeps one record with the
//! quarantines that are in force. It is replaced as a whole, each time only if nobody has written meanwhile, when a
//! quarantine begins, or ends because a request was answered. Each entry has a time of its beginning that all nodes
//! share, and nobody takes it over after the duration of a quarantine, so a wrong one ends as if its nodes had lived.

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use lentilhitch_types::{Fingerprint, SegmentId, StoreEra};

use crate::suspects::{Suspects, segments::SegmentReport};

/// Maximum number of requests in the record, and of segments. The latest are kept.
const ENTRIES_MAX: usize = 64;
/// Time before the end of a quarantine from which on it does not matter whether the record has it. Nodes end it at
/// slightly different times.
const END_MARGIN_MS: u64 = 10_000;

/// The record in the store. Times are synchronized ones in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Era of the store in which the record was written.
    #[serde(rename = "e")]
    pub era: StoreEra,
    /// Quarantined segments, and since when each is.
    #[serde(rename = "s")]
    segments: Vec<(SegmentId, u64)>,
    /// Quarantined requests, and since when each is.
    #[serde(rename = "r")]
    requests: Vec<(Fingerprint, u64)>,
}

impl QuarantineRecord {
    /// Returns the number of quarantined requests and segments.
    pub fn n_entries(&self) -> usize {
        self.segments.len() + self.requests.len()
    }

    /// Returns what is quarantined for longer than the margin.
    fn lasting(&self, quarantine_ms: u64, synced_ms: u64) -> FxHashSet<Key> {
        let segments = self.segments.iter().map(|it| (Key::Segment(it.0), it.1));
        let requests = self.requests.iter().map(|it| (Key::Request(it.0), it.1));
        let all = segments.chain(requests);
        all.filter(|it| synced_ms + END_MARGIN_MS < it.1 + quarantine_ms).map(|it| it.0).collect()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Key {
    Segment(SegmentId),
    Request(Fingerprint),
}

/// The time now, on the clock of this node and synchronized.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    pub local_ms: u64,
    pub synced_ms: u64,
}

/// What one node knows of the register.
#[derive(Clone, Debug, Default)]
pub struct QuarantineRegister {
    /// Record that this node has last read or written.
    record: Option<QuarantineRecord>,
    /// Since when each request is quarantined, as far as this node knows.
    requests_since_ms: FxHashMap<Fingerprint, u64>,
}

impl QuarantineRegister {
    /// Returns the record as it should be in the given era, or `None` if that is what this node last read or wrote.
    pub fn due_record(
        &mut self,
        suspects: &Suspects,
        era: StoreEra,
        now: Now,
    ) -> Option<QuarantineRecord> {
        let Now { local_ms, synced_ms } = now;
        let quarantine_ms = suspects.segments.quarantine_ms();
        let segments = suspects.segments.quarantines().into_iter().take(ENTRIES_MAX);
        let segments = segments.map(|(segment, since_ms)| {
            (segment, synced_ms.saturating_sub(local_ms.saturating_sub(since_ms)))
        });
        let latest = suspects.quarantined_requests().rev().take(ENTRIES_MAX);
        let requests: Vec<_> =
            latest.map(|it| (it, *self.requests_since_ms.entry(it).or_insert(synced_ms))).collect();
        self.requests_since_ms.retain(|it, _| requests.iter().any(|request| request.0 == *it));
        let record = QuarantineRecord { era, segments: segments.collect(), requests };
        let lasting = record.lasting(quarantine_ms, synced_ms);
        let known = self.record.as_ref();
        let known_lasting = known.map(|it| it.lasting(quarantine_ms, synced_ms));
        // In a later era the store may have an earlier record again.
        let is_restored = known.is_some_and(|it| it.era != era && 0 < it.n_entries());
        let is_due = is_restored || known_lasting.unwrap_or_default() != lasting;
        is_due.then_some(record)
    }

    /// Handles the record in the store, or that there is none. What it has is quarantined here too until it ends, unless
    /// this node knows better.
    pub fn on_read(&mut self, record: Option<QuarantineRecord>, suspects: &mut Suspects, now: Now) {
        let Now { local_ms, synced_ms } = now;
        let quarantine_ms = suspects.segments.quarantine_ms();
        let age_ms = |since_ms: u64| synced_ms.saturating_sub(since_ms);
        for &(segment, since_ms) in record.iter().flat_map(|it| &it.segments) {
            let report = SegmentReport::Quarantined { segment, age_ms: age_ms(since_ms) };
            suspects.segments.on_report(report, local_ms);
        }
        for &(request, since_ms) in record.iter().flat_map(|it| &it.requests) {
            self.requests_since_ms.insert(request, since_ms);
            if age_ms(since_ms) < quarantine_ms {
                suspects.adopt_quarantine(request, local_ms + quarantine_ms - age_ms(since_ms));
            }
        }
        self.record = record;
    }

    /// Handles that the record was written.
    pub fn on_written(&mut self, record: QuarantineRecord) {
        self.record = Some(record);
    }
}

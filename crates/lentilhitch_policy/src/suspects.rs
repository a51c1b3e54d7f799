//! Detection of requests that crash upstreams, as opposed to requests that were merely running at the time of a crash.
//! Used by nodes.
//!
//! When a connection breaks during a request, the request is recorded with the incarnation of its upstream. Only once
//! that incarnation is known to have ended in a crash are the recorded requests counted as present at a crash. A
//! request that was present at several crashes is quarantined: it is no longer sent to any upstream. The same applies to
//! requests that share a segment of their prompts which was present at several crashes ([`segments`]).

pub mod segments;

use std::{collections::VecDeque, rc::Rc};

use indexmap::IndexMap;
use rustc_hash::{FxBuildHasher, FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use lentilhitch_types::{Fingerprint, SegmentId, UpstreamName};
use segments::SegmentSuspects;

/// An upstream and one of its incarnations, identified by the time of its start in milliseconds.
pub type UpstreamIncarnation = (UpstreamName, u64);

/// Number of crashes after which a request that was present at all of them is quarantined.
const CRASHES_UNTIL_QUARANTINE: usize = 3;
/// Maximum number of requests with a broken connection that are kept while it is unknown whether the upstream crashed.
const BROKEN_REQUESTS_MAX: usize = 2_048;
/// Time for which a request with a broken connection can still be matched to a crash. A crash may become known only
/// when the upstream's entry expires, which is after three missed heartbeats.
const BROKEN_REQUEST_RETENTION_MS: u64 = 8_000;
/// Maximum number of quarantined requests in one reminder.
const REMINDERS_MAX: usize = 8;
/// Maximum number of requests whose crashes are kept.
const SUSPECTS_MAX: usize = 4_096;
/// Maximum number of crashed incarnations that are remembered.
const CRASHED_INCARNATIONS_MAX: usize = 256;

/// What identifies a request in the evidence of crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Identifies the request, also when the client sends it again.
    pub request: Fingerprint,
    /// Segments of the prompt that other requests may share.
    pub segments: Rc<[SegmentId]>,
}

/// A request whose connection to an upstream broke.
#[derive(Clone, Debug)]
struct BrokenRequest {
    incarnation: UpstreamIncarnation,
    suspect: Suspect,
    broken_ms: u64,
}

/// Requests with broken connections, and the crashes at which each request was present.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Evidence on segments of prompts.
    pub segments: SegmentSuspects,
    broken_requests: VecDeque<BrokenRequest>,
    crashed_incarnations: VecDeque<UpstreamIncarnation>,
    crashes_by_request: FxHashMap<Fingerprint, FxHashSet<u64>>,
    insertion_order: VecDeque<Fingerprint>,
    /// Requests that are quarantined, the latest last, each with the end of its quarantine if it was taken over from the
    /// store.
    quarantined: IndexMap<Fingerprint, Option<u64>, FxBuildHasher>,
    /// When the latest of them were last reported to the peers.
    reminded_ms: u64,
}

/// A quarantined request, as nodes tell each other again and again, so that a node that starts or was out of reach learns
/// of it too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QuarantinedRequest(pub Fingerprint);

impl Suspects {
    /// Creates an empty record with settings for the segments of prompts.
    pub fn new(settings: segments::Settings) -> Self {
        Self { segments: SegmentSuspects::new(settings), ..Self::default() }
    }

    /// Records that a connection broke before the response to the request was complete.
    pub fn record_broken_connection(
        &mut self,
        incarnation: UpstreamIncarnation,
        suspect: Suspect,
        now_ms: u64,
    ) {
        self.broken_requests.push_back(BrokenRequest { incarnation, suspect, broken_ms: now_ms });
        if BROKEN_REQUESTS_MAX < self.broken_requests.len() {
            self.broken_requests.pop_front();
        }
    }

    /// Forgets the requests whose connections broke from the given time on, because this was no fault of the upstreams.
    /// Those to the given incarnations are kept.
    pub fn forget_broken_connections(&mut self, from_ms: u64, kept: &[UpstreamIncarnation]) {
        self.broken_requests.retain(|it| it.broken_ms < from_ms || kept.contains(&it.incarnation));
    }

    /// Records that an incarnation of an upstream ended in a crash. Returns the requests that were present, each with
    /// the id of the crash, as evidence for the peers.
    pub fn record_crash(
        &mut self,
        incarnation: &UpstreamIncarnation,
        now_ms: u64,
    ) -> Vec<(Fingerprint, u64)> {
        if !self.has_crashed(incarnation) {
            self.crashed_incarnations.push_back(incarnation.clone());
            if CRASHED_INCARNATIONS_MAX < self.crashed_incarnations.len() {
                self.crashed_incarnations.pop_front();
            }
        }
        let is_recent_match = |it: &&BrokenRequest| {
            it.incarnation == *incarnation
                && now_ms.saturating_sub(it.broken_ms) <= BROKEN_REQUEST_RETENTION_MS
        };
        let present = self.broken_requests.iter().filter(is_recent_match);
        let present: Vec<_> = present.map(|it| it.suspect.clone()).collect();
        self.broken_requests.retain(|it| it.incarnation != *incarnation);
        let crash = crash_id(incarnation);
        for it in &present {
            self.insert_evidence(it.request, crash);
            self.segments.record_crash(crash, &it.segments, now_ms);
        }
        present.into_iter().map(|it| (it.request, crash)).collect()
    }

    /// Returns whether the incarnation is known to have ended in a crash.
    pub fn has_crashed(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.crashed_incarnations.contains(incarnation)
    }

    /// Adds evidence found by this node or received from a peer. Returns whether it was new.
    pub fn insert_evidence(&mut self, request: Fingerprint, crash: u64) -> bool {
        if !self.crashes_by_request.contains_key(&request) {
            self.insertion_order.push_back(request);
            if SUSPECTS_MAX < self.insertion_order.len()
                && let Some(oldest) = self.insertion_order.pop_front()
            {
                self.crashes_by_request.remove(&oldest);
            }
        }
        let crashes = self.crashes_by_request.entry(request).or_default();
        let is_new = crashes.insert(crash);
        if CRASHES_UNTIL_QUARANTINE <= crashes.len() {
            quarantine(&mut self.quarantined, request, None);
            for it in crashes.iter() {
                self.segments.explain_crash(*it);
            }
        }
        is_new
    }

    /// Returns whether the request was present at so many crashes that it is no longer sent to any upstream.
    pub fn is_quarantined(&self, request: Fingerprint) -> bool {
        self.quarantined.contains_key(&request)
    }

    /// Quarantines a request as a peer has reported. Returns whether it was not quarantined before.
    pub fn on_quarantined(&mut self, request: QuarantinedRequest) -> bool {
        quarantine(&mut self.quarantined, request.0, None)
    }

    /// Quarantines a request until the given time, as the store has it from nodes that may all be lost. A quarantine that
    /// this node knows of otherwise stays as it is.
    pub fn adopt_quarantine(&mut self, request: Fingerprint, end_ms: u64) {
        if !self.is_quarantined(request) {
            quarantine(&mut self.quarantined, request, Some(end_ms));
        }
    }

    /// Ends the quarantines of requests that were taken over from the store and are over.
    pub fn end_adopted_quarantines(&mut self, now_ms: u64) {
        self.quarantined.retain(|_, end_ms| end_ms.is_none_or(|it| now_ms < it));
    }

    /// Returns the quarantined requests, the latest last.
    pub fn quarantined_requests(&self) -> impl DoubleEndedIterator<Item = Fingerprint> {
        self.quarantined.keys().copied()
    }

    /// Returns the reports of quarantined requests that are due: those of the latest, at an interval. Each node takes
    /// over from the store itself what is there, so that its end stays the same.
    pub fn take_reminders(&mut self, now_ms: u64) -> Vec<QuarantinedRequest> {
        if now_ms < self.reminded_ms + self.segments.reminder_interval_ms() {
            return Vec::new();
        }
        self.reminded_ms = now_ms;
        let found = self.quarantined.iter().rev().filter(|it| it.1.is_none());
        found.take(REMINDERS_MAX).map(|it| QuarantinedRequest(*it.0)).collect()
    }

    /// Returns whether the request, or a segment of its prompt, is quarantined.
    pub fn is_stopped(&self, suspect: &Suspect) -> bool {
        self.is_quarantined(suspect.request)
            || suspect.segments.iter().any(|it| self.segments.is_quarantined(*it))
    }
}

/// Adds a quarantined request, and drops the first one if there are too many. Returns whether it was not quarantined before.
fn quarantine(
    quarantined: &mut IndexMap<Fingerprint, Option<u64>, FxBuildHasher>,
    request: Fingerprint,
    end_ms: Option<u64>,
) -> bool {
    let is_new = quarantined.insert(request, end_ms).is_none();
    if SUSPECTS_MAX < quarantined.len() {
        quarantined.shift_remove_index(0);
    }
    is_new
}

/// Returns the id of a crash, which is the same at every node.
fn crash_id((upstream, started_ms): &UpstreamIncarnation) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(upstream.as_str().as_bytes(), *started_ms)
}

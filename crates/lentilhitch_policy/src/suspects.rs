//! Requests that crash the upstreams that run them, told from those that were merely there.
//!
//! When a connection breaks under a request, the request is noted with that incarnation of its upstream. Only when that incarnation is
//! seen to have ended in a crash do the noted requests count as present at a crash. A request that was present at
//! several crashes is no longer sent on.

use std::collections::VecDeque;

use rustc_hash::{FxHashMap, FxHashSet};

use lentilhitch_types::{Fingerprint, UpstreamName};

/// One incarnation of an upstream, by the time of its start.
pub type UpstreamIncarnation = (UpstreamName, u64);

/// Crashes at which a request may be present before it is stopped.
const CRASHES_UNTIL_QUARANTINE: usize = 3;
/// Broken requests that are remembered until their upstream is known to have crashed or not.
const BROKEN_REQUESTS_MAX: usize = 2_048;
/// How long a broken request may wait for the news of a crash: an entry lapses after three silent heartbeats.
const BROKEN_REQUEST_RETENTION_MS: u64 = 8_000;
/// Requests with crashes that are remembered.
const SUSPECTS_MAX: usize = 4_096;

/// What is known of crashes.
#[derive(Debug, Default)]
pub struct Suspects {
    broken_requests: VecDeque<(UpstreamIncarnation, Fingerprint, u64)>,
    crashes_by_request: FxHashMap<Fingerprint, FxHashSet<u64>>,
    insertion_order: VecDeque<Fingerprint>,
}

impl Suspects {
    /// A connection broke before the request was answered.
    pub fn record_broken_connection(
        &mut self,
        incarnation: UpstreamIncarnation,
        request: Fingerprint,
        now_ms: u64,
    ) {
        self.broken_requests.push_back((incarnation, request, now_ms));
        if BROKEN_REQUESTS_MAX < self.broken_requests.len() {
            self.broken_requests.pop_front();
        }
    }

    /// A incarnation of an upstream ended in a crash. Returns the requests that were present, for the peers.
    pub fn record_crash(
        &mut self,
        incarnation: &UpstreamIncarnation,
        now_ms: u64,
    ) -> Vec<(Fingerprint, u64)> {
        let is_recent_match = |it: &&(UpstreamIncarnation, Fingerprint, u64)| {
            it.0 == *incarnation && now_ms.saturating_sub(it.2) <= BROKEN_REQUEST_RETENTION_MS
        };
        let present: Vec<_> =
            self.broken_requests.iter().filter(is_recent_match).map(|it| it.1).collect();
        self.broken_requests.retain(|it| it.0 != *incarnation);
        let crash = crash_id(incarnation);
        let evidence: Vec<_> = present.into_iter().map(|it| (it, crash)).collect();
        for (request, crash) in &evidence {
            self.insert_evidence(*request, *crash);
        }
        evidence
    }

    /// Takes evidence, one's own or a peer's; says whether it was new.
    pub fn insert_evidence(&mut self, request: Fingerprint, crash: u64) -> bool {
        if !self.crashes_by_request.contains_key(&request) {
            self.insertion_order.push_back(request);
            if SUSPECTS_MAX < self.insertion_order.len()
                && let Some(oldest) = self.insertion_order.pop_front()
            {
                self.crashes_by_request.remove(&oldest);
            }
        }
        self.crashes_by_request.entry(request).or_default().insert(crash)
    }

    /// Whether the request was present at so many crashes that it is not sent on.
    pub fn is_quarantined(&self, request: Fingerprint) -> bool {
        self.crashes_by_request.get(&request).is_some_and(|it| CRASHES_UNTIL_QUARANTINE <= it.len())
    }
}

/// A number for a crash that every node computes alike.
fn crash_id((upstream, started_ms): &UpstreamIncarnation) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(upstream.as_str().as_bytes(), *started_ms)
}

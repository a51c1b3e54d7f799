//! Detection of requests that crash upstreams, as opposed to requests that were merely running at the time of a crash.
//! Used by nodes.
//!
//! When a connection breaks during a request, the request is recorded with the incarnation of its upstream. Only once
//! that incarnation is known to have ended in a crash are the recorded requests counted as present at a crash. A
//! request that was present at several crashes is quarantined: it is no longer sent to any upstream.

use std::collections::VecDeque;

use rustc_hash::{FxHashMap, FxHashSet};

use lentilhitch_types::{Fingerprint, UpstreamName};

/// An upstream and one of its incarnations, identified by the time of its start in milliseconds.
pub type UpstreamIncarnation = (UpstreamName, u64);

/// Number of crashes after which a request that was present at all of them is quarantined.
const CRASHES_UNTIL_QUARANTINE: usize = 3;
/// Maximum number of requests with a broken connection that are kept while it is unknown whether the upstream crashed.
const BROKEN_REQUESTS_MAX: usize = 2_048;
/// Time for which a request with a broken connection can still be matched to a crash. A crash may become known only
/// when the upstream's entry expires, which is after three missed heartbeats.
const BROKEN_REQUEST_RETENTION_MS: u64 = 8_000;
/// Maximum number of requests whose crashes are kept.
const SUSPECTS_MAX: usize = 4_096;

/// Requests with broken connections, and the crashes at which each request was present.
#[derive(Debug, Default)]
pub struct Suspects {
    broken_requests: VecDeque<(UpstreamIncarnation, Fingerprint, u64)>,
    crashes_by_request: FxHashMap<Fingerprint, FxHashSet<u64>>,
    insertion_order: VecDeque<Fingerprint>,
}

impl Suspects {
    /// Records that a connection broke before the response to the request was complete.
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

    /// Records that an incarnation of an upstream ended in a crash. Returns the requests that were present, each with
    /// the id of the crash, as evidence for the peers.
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
        self.crashes_by_request.entry(request).or_default().insert(crash)
    }

    /// Returns whether the request was present at so many crashes that it is no longer sent to any upstream.
    pub fn is_quarantined(&self, request: Fingerprint) -> bool {
        self.crashes_by_request.get(&request).is_some_and(|it| CRASHES_UNTIL_QUARANTINE <= it.len())
    }
}

/// Returns the id of a crash, which is the same at every node.
fn crash_id((upstream, started_ms): &UpstreamIncarnation) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(upstream.as_str().as_bytes(), *started_ms)
}

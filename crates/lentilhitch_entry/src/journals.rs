//! Requests of language services that this process runs or has finished.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use tokio::sync::watch;

use lentilhitch_chart::charts::stream::Event;
use lentilhitch_policy::journal::{Journal, JournalRecord};
use lentilhitch_types::{AttemptId, Problem, RequestId, TeamName, UpstreamName};

/// Retention of a response after its end was sent to the client.
const DELIVERED_RETENTION_MS: u64 = 30_000;

/// Part of a response that may be sent to clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Progress {
    /// Number of tokens that may be sent.
    pub(crate) n_released: usize,
    pub(crate) phase: Phase,
}

/// Phase of a request, as shown to its clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum Phase {
    /// No upstream has accepted the request yet.
    #[default]
    Waiting,
    Started,
    Done,
    Failed(Problem),
    /// Another process runs the request now.
    HandedOver,
}

/// Decision on a stream whose upstream is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EvacuationDecision {
    Stay,
    /// The stream continues elsewhere: at the given upstream, which received the KV cache, or for `None` at any
    /// upstream, which computes the context again.
    Migrate(Option<UpstreamName>),
}

/// Journal of a request, with the state that its runner, its clients and its copy share.
pub(crate) struct TrackedRequest {
    pub(crate) journal: Mutex<Journal>,
    pub(crate) is_durable: bool,
    pub(crate) accepted_ms: u64,
    /// Number of tokens received, and whether the response is complete.
    pub(crate) received: watch::Sender<(usize, bool)>,
    /// Part of the response that may be sent to clients, and the phase of the request.
    pub(crate) progress: watch::Sender<Progress>,
    /// Upstream and attempt that run the request now.
    pub(crate) assignment: Mutex<Option<(UpstreamName, AttemptId)>>,
    /// Decision on the stream if its current upstream is leaving.
    pub(crate) evacuation: watch::Sender<Option<EvacuationDecision>>,
    /// Event that stops the runner, once there is one.
    pub(crate) stop: watch::Sender<Option<Event>>,
    /// Number of tokens that the holder of the copy has confirmed.
    pub(crate) n_copied: Mutex<usize>,
    n_clients: AtomicUsize,
    finished_ms: Mutex<Option<u64>>,
    delivered_ms: Mutex<Option<u64>>,
}

impl TrackedRequest {
    pub(crate) fn new(record: JournalRecord, is_durable: bool, now_ms: u64) -> Arc<Self> {
        let received = (record.tokens.len(), record.finish_reason.is_some());
        let is_complete = received.1;
        let phase = if is_complete { Phase::Done } else { Phase::Waiting };
        Arc::new(Self {
            is_durable,
            accepted_ms: now_ms,
            received: watch::Sender::new(received),
            progress: watch::Sender::new(Progress { n_released: received.0, phase }),
            assignment: Mutex::new(None),
            evacuation: watch::Sender::new(None),
            stop: watch::Sender::new(None),
            n_copied: Mutex::new(0),
            n_clients: AtomicUsize::new(0),
            finished_ms: Mutex::new(is_complete.then_some(now_ms)),
            delivered_ms: Mutex::new(None),
            journal: Mutex::new(Journal::new(record)),
        })
    }

    pub(crate) fn request_id(&self) -> RequestId {
        self.journal.lock().record.request_id
    }

    /// Returns whether the request runs on this upstream.
    pub(crate) fn is_at(&self, upstream: &UpstreamName) -> bool {
        self.attempt_at(upstream).is_some()
    }

    /// Returns the attempt that runs on this upstream.
    pub(crate) fn attempt_at(&self, upstream: &UpstreamName) -> Option<AttemptId> {
        self.assignment.lock().as_ref().filter(|it| it.0 == *upstream).map(|it| it.1)
    }

    /// Notifies the runner of the decision on the stream.
    pub(crate) fn set_evacuation(&self, decision: EvacuationDecision) {
        self.evacuation.send_replace(Some(decision));
    }

    /// Allows clients to receive the tokens before position `n_tokens`.
    pub(crate) fn release(&self, n_tokens: usize) {
        self.progress.send_if_modified(|it| {
            let is_more = it.n_released < n_tokens;
            it.n_released = it.n_released.max(n_tokens);
            is_more
        });
    }

    /// Notifies clients that an upstream has accepted the request.
    pub(crate) fn mark_started(&self) {
        self.progress.send_if_modified(|it| {
            let is_first = it.phase == Phase::Waiting;
            if is_first {
                it.phase = Phase::Started;
            }
            is_first
        });
    }

    /// Notifies clients of the final phase of the request.
    pub(crate) fn finish(&self, phase: Phase, now_ms: u64) {
        self.finished_ms.lock().get_or_insert(now_ms);
        self.progress.send_modify(|it| it.phase = phase);
    }

    pub(crate) fn is_finished(&self) -> bool {
        !matches!(self.progress.borrow().phase, Phase::Waiting | Phase::Started)
    }

    /// Records that the client was sent the full response.
    pub(crate) fn mark_delivered(&self, now_ms: u64) {
        self.delivered_ms.lock().get_or_insert(now_ms);
    }

    pub(crate) fn add_client(&self) {
        self.n_clients.fetch_add(1, Ordering::SeqCst);
    }

    /// Removes a client and returns the number of clients that remain.
    pub(crate) fn remove_client(&self) -> usize {
        self.n_clients.fetch_sub(1, Ordering::SeqCst) - 1
    }

    pub(crate) fn n_clients(&self) -> usize {
        self.n_clients.load(Ordering::SeqCst)
    }

    /// Returns the size of the request and of the tokens so far.
    pub(crate) fn size_bytes(&self) -> usize {
        let journal = self.journal.lock();
        journal.record.body.len() + journal.record.tokens.iter().map(String::len).sum::<usize>()
    }

    fn is_expired(&self, now_ms: u64, retention_ms: u64) -> bool {
        let is_old =
            |it: Option<u64>, retention_ms: u64| it.is_some_and(|it| it + retention_ms <= now_ms);
        let (finished_ms, delivered_ms) = (*self.finished_ms.lock(), *self.delivered_ms.lock());
        self.n_clients() == 0
            && (is_old(finished_ms, retention_ms) || is_old(delivered_ms, DELIVERED_RETENTION_MS))
    }
}

/// Table of requests by id.
#[derive(Default)]
pub(crate) struct Journals(Mutex<FxHashMap<RequestId, Arc<TrackedRequest>>>);

impl Journals {
    /// Adds a request unless its id is present already. Returns whether it was added.
    pub(crate) fn insert(&self, tracked: &Arc<TrackedRequest>) -> bool {
        let mut journals = self.0.lock();
        match journals.entry(tracked.request_id()) {
            std::collections::hash_map::Entry::Occupied(_) => false,
            std::collections::hash_map::Entry::Vacant(entry) => {
                entry.insert(tracked.clone());
                true
            }
        }
    }

    pub(crate) fn get(
        &self,
        request_id: RequestId,
        team: &TeamName,
    ) -> Option<Arc<TrackedRequest>> {
        let tracked = self.0.lock().get(&request_id).cloned()?;
        let is_of_team = tracked.journal.lock().record.team == *team;
        is_of_team.then_some(tracked)
    }

    pub(crate) fn remove(&self, request_id: RequestId) {
        self.0.lock().remove(&request_id);
    }

    /// Returns the requests that have not finished.
    pub(crate) fn unfinished(&self) -> Vec<Arc<TrackedRequest>> {
        self.0.lock().values().filter(|it| !it.is_finished()).cloned().collect()
    }

    pub(crate) fn all(&self) -> Vec<Arc<TrackedRequest>> {
        self.0.lock().values().cloned().collect()
    }

    /// Removes finished requests whose retention has expired, then the oldest finished ones while their total size
    /// exceeds `bytes_max`. Requests with attached clients stay.
    pub(crate) fn expire(&self, now_ms: u64, retention_ms: u64, bytes_max: u64) {
        let mut journals = self.0.lock();
        journals.retain(|_, it| !it.is_expired(now_ms, retention_ms));
        let mut finished: Vec<_> = journals
            .values()
            .filter(|it| it.is_finished() && it.n_clients() == 0)
            .cloned()
            .collect();
        finished.sort_by_key(|it| it.accepted_ms);
        let mut bytes: u64 = finished.iter().map(|it| it.size_bytes() as u64).sum();
        for tracked in finished {
            if bytes <= bytes_max {
                break;
            }
            bytes -= tracked.size_bytes() as u64;
            journals.remove(&tracked.request_id());
        }
    }
}

//! The requests of language services that this process runs or has finished.

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

/// How long an answer is kept after its caller was sent the end.
const DELIVERED_RETENTION_MS: u64 = 30_000;

/// How far an answer may be shown to its caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Progress {
    /// Tokens that may be shown.
    pub(crate) n_released: usize,
    pub(crate) phase: Phase,
}

/// Where the answer stands, for its callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum Phase {
    /// No upstream has accepted the request yet.
    #[default]
    Waiting,
    Started,
    Done,
    Failed(Problem),
    /// Another process has it now.
    HandedOver,
}

/// What becomes of a stream whose upstream leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EvacuationDecision {
    Stay,
    /// Goes on elsewhere, at the upstream that has its KV cache if one has.
    Migrate(Option<UpstreamName>),
}

/// A journal with those who wait for it.
pub(crate) struct TrackedRequest {
    pub(crate) journal: Mutex<Journal>,
    pub(crate) is_durable: bool,
    pub(crate) accepted_ms: u64,
    /// The number of tokens received, and whether that is all.
    pub(crate) received: watch::Sender<(usize, bool)>,
    pub(crate) progress: watch::Sender<Progress>,
    /// Where it runs now.
    pub(crate) assignment: Mutex<Option<(UpstreamName, AttemptId)>>,
    /// What becomes of it when that upstream leaves.
    pub(crate) evacuation: watch::Sender<Option<EvacuationDecision>>,
    /// Why the runner has to stop, once it has to.
    pub(crate) stop: watch::Sender<Option<Event>>,
    /// Tokens that the holder of the copy has confirmed.
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

    /// Whether it runs on this upstream.
    pub(crate) fn is_at(&self, upstream: &UpstreamName) -> bool {
        self.attempt_at(upstream).is_some()
    }

    /// The attempt that runs on this upstream.
    pub(crate) fn attempt_at(&self, upstream: &UpstreamName) -> Option<AttemptId> {
        self.assignment.lock().as_ref().filter(|it| it.0 == *upstream).map(|it| it.1)
    }

    /// Tells the runner what becomes of the stream.
    pub(crate) fn set_evacuation(&self, decision: EvacuationDecision) {
        self.evacuation.send_replace(Some(decision));
    }

    /// Lets callers see tokens up to a position.
    pub(crate) fn release(&self, n_tokens: usize) {
        self.progress.send_if_modified(|it| {
            let is_more = it.n_released < n_tokens;
            it.n_released = it.n_released.max(n_tokens);
            is_more
        });
    }

    /// Tells callers that an upstream has accepted the request.
    pub(crate) fn mark_started(&self) {
        self.progress.send_if_modified(|it| {
            let is_first = it.phase == Phase::Waiting;
            if is_first {
                it.phase = Phase::Started;
            }
            is_first
        });
    }

    /// Tells callers how it finished.
    pub(crate) fn finish(&self, phase: Phase, now_ms: u64) {
        self.finished_ms.lock().get_or_insert(now_ms);
        self.progress.send_modify(|it| it.phase = phase);
    }

    pub(crate) fn is_finished(&self) -> bool {
        !matches!(self.progress.borrow().phase, Phase::Waiting | Phase::Started)
    }

    /// The caller was sent the whole answer.
    pub(crate) fn mark_delivered(&self, now_ms: u64) {
        self.delivered_ms.lock().get_or_insert(now_ms);
    }

    pub(crate) fn add_client(&self) {
        self.n_clients.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns how many are left.
    pub(crate) fn remove_client(&self) -> usize {
        self.n_clients.fetch_sub(1, Ordering::SeqCst) - 1
    }

    pub(crate) fn n_clients(&self) -> usize {
        self.n_clients.load(Ordering::SeqCst)
    }

    /// The bytes of the request and of the tokens so far.
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

/// All of them, by request.
#[derive(Default)]
pub(crate) struct Journals(Mutex<FxHashMap<RequestId, Arc<TrackedRequest>>>);

impl Journals {
    /// Adds a journal unless there is one for the request already.
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

    /// Those that have not finished.
    pub(crate) fn unfinished(&self) -> Vec<Arc<TrackedRequest>> {
        self.0.lock().values().filter(|it| !it.is_finished()).cloned().collect()
    }

    pub(crate) fn all(&self) -> Vec<Arc<TrackedRequest>> {
        self.0.lock().values().cloned().collect()
    }

    /// Drops finished journals that are old, and the oldest finished ones while all together are too large.
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

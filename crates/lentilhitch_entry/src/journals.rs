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
const DELIVERED_KEPT_MS: u64 = 30_000;

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
pub(crate) enum Moving {
    Stay,
    /// Goes on elsewhere, at the upstream that has its KV cache if one has.
    Go(Option<UpstreamName>),
}

/// A journal with those who wait for it.
pub(crate) struct Active {
    pub(crate) journal: Mutex<Journal>,
    pub(crate) is_durable: bool,
    pub(crate) accepted_ms: u64,
    /// The number of tokens received, and whether that is all.
    pub(crate) received: watch::Sender<(usize, bool)>,
    pub(crate) progress: watch::Sender<Progress>,
    /// Where it runs now.
    pub(crate) place: Mutex<Option<(UpstreamName, AttemptId)>>,
    /// What becomes of it when that upstream leaves.
    pub(crate) moving: watch::Sender<Option<Moving>>,
    /// Why the runner has to stop, once it has to.
    pub(crate) stop: watch::Sender<Option<Event>>,
    /// Tokens that the holder of the copy has confirmed.
    pub(crate) copied: Mutex<usize>,
    n_callers: AtomicUsize,
    ended_ms: Mutex<Option<u64>>,
    delivered_ms: Mutex<Option<u64>>,
}

impl Active {
    pub(crate) fn new(record: JournalRecord, is_durable: bool, now_ms: u64) -> Arc<Self> {
        let received = (record.tokens.len(), record.finish_reason.is_some());
        let is_done = received.1;
        let phase = if is_done { Phase::Done } else { Phase::Waiting };
        Arc::new(Self {
            is_durable,
            accepted_ms: now_ms,
            received: watch::Sender::new(received),
            progress: watch::Sender::new(Progress { n_released: received.0, phase }),
            place: Mutex::new(None),
            moving: watch::Sender::new(None),
            stop: watch::Sender::new(None),
            copied: Mutex::new(0),
            n_callers: AtomicUsize::new(0),
            ended_ms: Mutex::new(is_done.then_some(now_ms)),
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
        self.place.lock().as_ref().filter(|it| it.0 == *upstream).map(|it| it.1)
    }

    /// Tells the runner what becomes of the stream.
    pub(crate) fn tell(&self, moving: Moving) {
        self.moving.send_replace(Some(moving));
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
    pub(crate) fn start(&self) {
        self.progress.send_if_modified(|it| {
            let is_first = it.phase == Phase::Waiting;
            if is_first {
                it.phase = Phase::Started;
            }
            is_first
        });
    }

    /// Tells callers how it ended.
    pub(crate) fn end(&self, phase: Phase, now_ms: u64) {
        self.ended_ms.lock().get_or_insert(now_ms);
        self.progress.send_modify(|it| it.phase = phase);
    }

    pub(crate) fn has_ended(&self) -> bool {
        !matches!(self.progress.borrow().phase, Phase::Waiting | Phase::Started)
    }

    /// The caller was sent the whole answer.
    pub(crate) fn delivered(&self, now_ms: u64) {
        self.delivered_ms.lock().get_or_insert(now_ms);
    }

    pub(crate) fn add_caller(&self) {
        self.n_callers.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns how many are left.
    pub(crate) fn remove_caller(&self) -> usize {
        self.n_callers.fetch_sub(1, Ordering::SeqCst) - 1
    }

    pub(crate) fn n_callers(&self) -> usize {
        self.n_callers.load(Ordering::SeqCst)
    }

    /// The bytes of the request and of the tokens so far.
    pub(crate) fn size_bytes(&self) -> usize {
        let journal = self.journal.lock();
        journal.record.body.len() + journal.record.tokens.iter().map(String::len).sum::<usize>()
    }

    fn is_expired(&self, now_ms: u64, kept_ms: u64) -> bool {
        let is_old = |it: Option<u64>, kept_ms: u64| it.is_some_and(|it| it + kept_ms <= now_ms);
        let (ended_ms, delivered_ms) = (*self.ended_ms.lock(), *self.delivered_ms.lock());
        self.n_callers() == 0
            && (is_old(ended_ms, kept_ms) || is_old(delivered_ms, DELIVERED_KEPT_MS))
    }
}

/// All of them, by request.
#[derive(Default)]
pub(crate) struct Journals(Mutex<FxHashMap<RequestId, Arc<Active>>>);

impl Journals {
    /// Adds a journal unless there is one for the request already.
    pub(crate) fn insert(&self, active: &Arc<Active>) -> bool {
        let mut journals = self.0.lock();
        match journals.entry(active.request_id()) {
            std::collections::hash_map::Entry::Occupied(_) => false,
            std::collections::hash_map::Entry::Vacant(entry) => {
                entry.insert(active.clone());
                true
            }
        }
    }

    pub(crate) fn get(&self, request_id: RequestId, team: &TeamName) -> Option<Arc<Active>> {
        let active = self.0.lock().get(&request_id).cloned()?;
        let is_own = active.journal.lock().record.team == *team;
        is_own.then_some(active)
    }

    pub(crate) fn remove(&self, request_id: RequestId) {
        self.0.lock().remove(&request_id);
    }

    /// Those that have not ended.
    pub(crate) fn unfinished(&self) -> Vec<Arc<Active>> {
        self.0.lock().values().filter(|it| !it.has_ended()).cloned().collect()
    }

    pub(crate) fn all(&self) -> Vec<Arc<Active>> {
        self.0.lock().values().cloned().collect()
    }

    /// Drops ended journals that are old, and the oldest ended ones while all together are too large.
    pub(crate) fn expire(&self, now_ms: u64, kept_ms: u64, bytes_max: u64) {
        let mut journals = self.0.lock();
        journals.retain(|_, it| !it.is_expired(now_ms, kept_ms));
        let mut ended: Vec<_> =
            journals.values().filter(|it| it.has_ended() && it.n_callers() == 0).cloned().collect();
        ended.sort_by_key(|it| it.accepted_ms);
        let mut bytes: u64 = ended.iter().map(|it| it.size_bytes() as u64).sum();
        for active in ended {
            if bytes <= bytes_max {
                break;
            }
            bytes -= active.size_bytes() as u64;
            journals.remove(&active.request_id());
        }
    }
}

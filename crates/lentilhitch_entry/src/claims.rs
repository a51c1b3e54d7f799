//! Claims of calls that must be sent to an upstream at most once, see [`lentilhitch_policy::at_most_once`]. The claims
//! are appended to the log in batches.

use std::{sync::Arc, time::Duration};

use backon::{BackoffBuilder, ExponentialBuilder};
use parking_lot::Mutex;
use rustc_hash::FxHashSet;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
    time::{Instant, sleep, sleep_until, timeout_at},
};

use lentilhitch_chart::charts::{
    call::{Action, Event, State},
    peer::State as PeerState,
};
use lentilhitch_platform::{AppendError, Stream};
use lentilhitch_policy::{
    at_most_once::{Call, ClaimKey, ClaimRecord, Claims, Lookup, StoredResponse},
    fold::Payload,
};
use lentilhitch_types::{AttemptId, Fingerprint, LogOffset};

use crate::{entry::Entry, follow::SharedFollower};

/// Maximum number of claim records in one append.
const BATCH_RECORDS_MAX: usize = 256;
/// Maximum number of claim records that wait to be appended.
const QUEUED_RECORDS_MAX: usize = 4_096;
/// Interval between checks whether the process that holds a key may still record the outcome.
const CLAIMANT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Result of [`Entry::claim`]: whether the call may be sent and, if not, what the client gets instead.
#[derive(Debug)]
pub(crate) enum ClaimResult {
    /// This process's claim is the first for the key and was read back from the log. Only the owner of this value may
    /// send the call.
    Won(Call),
    /// The call was sent under an earlier claim, and its outcome is in the log. The client gets the stored response, or
    /// a problem if the body was not stored. It may safely repeat the call with the same key and gets the same again.
    Replay(StoredResponse),
    /// The call may have been sent under an earlier claim that has no outcome. Either the process of that claim is not
    /// considered alive or no longer waits for the outcome, or there was no outcome within the claim timeout. The
    /// client may safely repeat the call with the same key, and then gets the outcome if one was recorded in the
    /// meantime. With another key, the call might be sent twice.
    OutcomeUnknown,
    /// The key is held by a claim for a request with another method, path, query or body. This request was not sent.
    /// The client must use another key for it.
    Mismatch,
    /// This process's claim was not appended, or was not read back from the log within the claim timeout and is now
    /// being released. The call was not sent. The client may safely repeat it with the same key.
    NotRun,
}

/// Record that waits to be appended.
struct QueuedRecord {
    record: ClaimRecord,
    result: oneshot::Sender<Result<(), AppendError>>,
}

/// Claims as read from the log, and the queue of records to append.
pub(crate) struct ClaimLog {
    pub(crate) follower: SharedFollower<Claims>,
    queue: mpsc::Sender<QueuedRecord>,
    /// Attempt ids of this incarnation's claims whose calls may still get an outcome. An id is inserted before any
    /// process can read the claim, so that a call that is about to be sent is never taken for abandoned.
    pending_attempts: Mutex<FxHashSet<AttemptId>>,
    /// Counter of the outcomes and releases that are not in the log yet. One clone of the reference exists for each of
    /// them.
    pub(crate) unrecorded: Arc<()>,
}

/// Appends the queued records. There is one per process.
pub(crate) struct ClaimCommitter(mpsc::Receiver<QueuedRecord>);

impl ClaimLog {
    pub(crate) fn new() -> (Self, ClaimCommitter) {
        let (queue, receiver) = mpsc::channel(QUEUED_RECORDS_MAX);
        (
            Self {
                follower: SharedFollower::default(),
                queue,
                pending_attempts: Mutex::default(),
                unrecorded: Arc::default(),
            },
            ClaimCommitter(receiver),
        )
    }

    /// Returns the number of outcomes and releases that are not in the log yet.
    pub(crate) fn n_unrecorded(&self) -> usize {
        Arc::strong_count(&self.unrecorded) - 1
    }

    /// Queues a record and waits for the result of its append.
    async fn append(&self, record: ClaimRecord) -> Result<(), AppendError> {
        let (result, receiver) = oneshot::channel();
        let queued = self.queue.try_send(QueuedRecord { record, result });
        queued.map_err(|_| AppendError::Rejected("the queue of claims is full".to_owned()))?;
        receiver.await.unwrap_or_else(|_| Err(AppendError::Lost("the process stops".to_owned())))
    }
}

impl ClaimCommitter {
    /// Appends the queued records until the process ends. Records that were queued during an append are appended
    /// together as one log record.
    pub(crate) async fn run(mut self, entry: Arc<Entry>) {
        while let Some(first) = self.0.recv().await {
            let mut batch = vec![first];
            while batch.len() < BATCH_RECORDS_MAX {
                let Ok(next) = self.0.try_recv() else { break };
                batch.push(next);
            }
            let records: Vec<_> = batch.iter().map(|it| it.record.clone()).collect();
            entry.metrics.record_claim_append(records.len() as u64);
            let result = match serde_json::to_string(&Payload::Record(records)) {
                Ok(payload) => {
                    entry.log_access().append(Stream::Claims, &payload).await.map(|_| ())
                }
                Err(err) => Err(AppendError::Rejected(err.to_string())),
            };
            for queued in batch {
                // The receiver is closed if the caller has stopped waiting.
                let _ = queued.result.send(result.clone());
            }
        }
    }
}

impl Entry {
    /// Claims a call with this key and request fingerprint (`body`). Returns within the claim timeout, even if the log
    /// does not respond.
    pub(crate) async fn claim(self: &Arc<Self>, key: ClaimKey, body: Fingerprint) -> ClaimResult {
        let attempt = AttemptId::from_random(rand::random());
        let mut call = Call::new(key, body, attempt);
        let mut changes = self.claims().follower.subscribe();
        let deadline =
            Instant::now() + Duration::from_millis(self.settings.timing.claim_timeout_ms);
        let mut append_task = None;
        loop {
            let actions = self.claims().follower.with(|it| call.check_claims(it));
            if actions.contains(&Action::AppendClaim) {
                self.claims().pending_attempts.lock().insert(attempt);
                let claimant = self.settings.instance.clone();
                let record = ClaimRecord::Claim { key, body, attempt, claimant };
                let entry = self.clone();
                append_task =
                    Some(tokio::spawn(async move { entry.claims().append(record).await }));
            }
            if call.state() == State::Won || call.is_final() {
                break;
            }
            if call.state() == State::New {
                // Another claim was first. The next check of the claims shows its state.
                continue;
            }
            if call.state() == State::Joined && !self.is_claimant_active(&call) {
                call.step(Event::ClaimantGone);
                break;
            }
            let event = next_event(&mut changes, &mut append_task, deadline).await;
            let Some(event) = event else { continue };
            let actions = call.step(event);
            if actions.contains(&Action::Release) {
                self.persist_record(ClaimRecord::Released { key, attempt });
            }
        }
        if call.state() != State::Won {
            self.remove_pending_attempt(attempt);
        }
        self.claim_result(call)
    }

    /// Returns whether the process whose claim holds the key of the call may still record the outcome.
    fn is_claimant_active(&self, call: &Call) -> bool {
        match self.claims().follower.with(|it| it.lookup(call.key, call.body)) {
            Lookup::Open(claimant) if claimant == self.settings.instance => {
                let winning_attempt =
                    self.claims().follower.with(|it| it.winning_attempt(call.key));
                winning_attempt
                    .is_some_and(|it| self.claims().pending_attempts.lock().contains(&it))
            }
            Lookup::Open(claimant) => self.peers().state(&claimant) == PeerState::Alive,
            _ => true,
        }
    }

    /// Returns the result for a call that has been won or is in a final state.
    fn claim_result(&self, call: Call) -> ClaimResult {
        match call.state() {
            State::Won => ClaimResult::Won(call),
            State::Replayed => {
                match self.claims().follower.with(|it| it.lookup(call.key, call.body)) {
                    Lookup::OutcomeKnown(response) => ClaimResult::Replay(response),
                    _ => ClaimResult::OutcomeUnknown,
                }
            }
            State::Mismatch => ClaimResult::Mismatch,
            State::Unknown => ClaimResult::OutcomeUnknown,
            _ => ClaimResult::NotRun,
        }
    }

    /// Removes the attempt id of a claim that will get no further outcome, so that requests with the same key stop
    /// waiting for an outcome.
    pub(crate) fn remove_pending_attempt(&self, attempt: AttemptId) {
        self.claims().pending_attempts.lock().remove(&attempt);
    }

    /// Removes the attempt id of a claim once its outcome or release has been read from the log, or after the claim
    /// timeout.
    async fn remove_pending_attempt_when_read(&self, key: ClaimKey, attempt: AttemptId) {
        let mut changes = self.claims().follower.subscribe();
        let deadline =
            Instant::now() + Duration::from_millis(self.settings.timing.claim_timeout_ms);
        while self.claims().follower.with(|it| it.is_open(key)) {
            if !matches!(timeout_at(deadline, changes.changed()).await, Ok(Ok(()))) {
                break;
            }
        }
        self.remove_pending_attempt(attempt);
    }

    /// Appends the outcome or release of a call in the background and retries until the append succeeds.
    pub(crate) fn persist_record(self: &Arc<Self>, record: ClaimRecord) {
        let (key, attempt) = (record.key(), record.attempt());
        let entry = self.clone();
        let unrecorded = entry.claims().unrecorded.clone();
        tokio::spawn(async move {
            let backoff = ExponentialBuilder::default()
                .with_max_delay(Duration::from_secs(2))
                .without_max_times();
            for delay in backoff.with_jitter().build() {
                // It is safe to append a record that may already be in the log, because a duplicate has no effect.
                if entry.claims().append(record.clone()).await.is_ok() {
                    drop(unrecorded);
                    return entry.remove_pending_attempt_when_read(key, attempt).await;
                }
                sleep(delay).await;
            }
        });
    }
}

/// Waits for an update of the claims, the result of the append, the next check of the process that holds the key or the
/// deadline, whichever is first. Returns the event that results, if any.
async fn next_event(
    changes: &mut watch::Receiver<LogOffset>,
    append_task: &mut Option<JoinHandle<Result<(), AppendError>>>,
    deadline: Instant,
) -> Option<Event> {
    let append_result = async {
        match append_task {
            Some(handle) => handle.await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = changes.changed() => None,
        result = append_result => {
            *append_task = None;
            match result {
                Ok(Ok(())) => None,
                Ok(Err(AppendError::Rejected(_))) => Some(Event::AppendRejected),
                Ok(Err(AppendError::Lost(_))) | Err(_) => Some(Event::AppendLost),
            }
        }
        () = sleep(CLAIMANT_CHECK_INTERVAL) => None,
        () = sleep_until(deadline) => Some(Event::Deadline),
    }
}

//! Calls that must not be repeated: claims in the log, committed in groups.

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

use crate::{entry::Entry, follow::Followed};

/// Entries of one append at most.
const GROUP_MAX: usize = 256;
const QUEUE_MAX: usize = 4_096;
/// Between two looks at whether the holder of a key is still there.
const CLAIMANT_LOOK: Duration = Duration::from_millis(100);

/// How a claim ended.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// The call may be sent, by the holder of this value and nobody else.
    Won(Call),
    Replay(StoredResponse),
    Open,
    Mismatch,
    NotRun,
}

struct Queued {
    record: ClaimRecord,
    result: oneshot::Sender<Result<(), AppendError>>,
}

/// The claims as far as they are known, and the way to add to them.
pub(crate) struct ClaimDesk {
    pub(crate) followed: Followed<Claims>,
    queue: mpsc::Sender<Queued>,
    /// Attempts of this life of the process whose calls may still get an outcome. Entered before the claim can be read
    /// by anyone, so that nobody takes a call for given up that is about to be sent.
    in_hand: Mutex<FxHashSet<AttemptId>>,
    /// Outcomes and releases that are not yet in the log.
    pub(crate) unrecorded: Arc<()>,
}

/// Takes what is queued; exists once.
pub(crate) struct Committer(mpsc::Receiver<Queued>);

impl ClaimDesk {
    pub(crate) fn new() -> (Self, Committer) {
        let (queue, receiver) = mpsc::channel(QUEUE_MAX);
        (
            Self {
                followed: Followed::default(),
                queue,
                in_hand: Mutex::default(),
                unrecorded: Arc::default(),
            },
            Committer(receiver),
        )
    }

    /// The number of outcomes and releases that wait for the log.
    pub(crate) fn n_unrecorded(&self) -> usize {
        Arc::strong_count(&self.unrecorded) - 1
    }

    async fn append(&self, record: ClaimRecord) -> Result<(), AppendError> {
        let (result, receiver) = oneshot::channel();
        let queued = self.queue.try_send(Queued { record, result });
        queued.map_err(|_| AppendError::Rejected("the queue of claims is full".to_owned()))?;
        receiver.await.unwrap_or_else(|_| Err(AppendError::Lost("the process stops".to_owned())))
    }
}

impl Committer {
    /// Appends what is queued, as one record for all that came while the last append was under way.
    pub(crate) async fn run(mut self, entry: Arc<Entry>) {
        while let Some(first) = self.0.recv().await {
            let mut group = vec![first];
            while group.len() < GROUP_MAX {
                let Ok(next) = self.0.try_recv() else { break };
                group.push(next);
            }
            let records: Vec<_> = group.iter().map(|it| it.record.clone()).collect();
            entry.metrics.claim_append(records.len() as u64);
            let result = match serde_json::to_string(&Payload::Record(records)) {
                Ok(payload) => {
                    entry.log_access().append(Stream::Claims, &payload).await.map(|_| ())
                }
                Err(err) => Err(AppendError::Rejected(err.to_string())),
            };
            for queued in group {
                // The caller may have stopped waiting.
                let _ = queued.result.send(result.clone());
            }
        }
    }
}

impl Entry {
    /// Claims a call. Returns within the claim timeout, whatever the log does.
    pub(crate) async fn claim(self: &Arc<Self>, key: ClaimKey, body: Fingerprint) -> Claimed {
        let attempt = AttemptId::from_random(rand::random());
        let mut call = Call::new(key, body, attempt);
        let mut changes = self.claims().followed.subscribe();
        let deadline =
            Instant::now() + Duration::from_millis(self.settings.timing.claim_timeout_ms);
        let mut appended = None;
        loop {
            let actions = self.claims().followed.with(|it| call.check_claims(it));
            if actions.contains(&Action::AppendClaim) {
                self.claims().in_hand.lock().insert(attempt);
                let claimant = self.settings.instance.clone();
                let record = ClaimRecord::Claim { key, body, attempt, claimant };
                let entry = self.clone();
                appended = Some(tokio::spawn(async move { entry.claims().append(record).await }));
            }
            if call.state() == State::Won || call.is_final() {
                break;
            }
            if call.state() == State::New {
                // Another claim came first; what is known of it follows from the claims.
                continue;
            }
            if call.state() == State::Joined && !self.is_claimant_there(&call) {
                call.step(Event::ClaimantGone);
                break;
            }
            let event = next_event(&mut changes, &mut appended, deadline).await;
            let Some(event) = event else { continue };
            let actions = call.step(event);
            if actions.contains(&Action::Release) {
                self.record(ClaimRecord::Released { key, attempt });
            }
        }
        if call.state() != State::Won {
            self.let_go(attempt);
        }
        self.claimed(call)
    }

    /// Whether the process that holds the key may yet tell the outcome.
    fn is_claimant_there(&self, call: &Call) -> bool {
        match self.claims().followed.with(|it| it.lookup(call.key, call.body)) {
            Lookup::Open(claimant) if claimant == self.settings.instance => {
                let holder = self.claims().followed.with(|it| it.winning_attempt(call.key));
                holder.is_some_and(|it| self.claims().in_hand.lock().contains(&it))
            }
            Lookup::Open(claimant) => self.peers().state(&claimant) == PeerState::Alive,
            _ => true,
        }
    }

    fn claimed(&self, call: Call) -> Claimed {
        match call.state() {
            State::Won => Claimed::Won(call),
            State::Replayed => {
                match self.claims().followed.with(|it| it.lookup(call.key, call.body)) {
                    Lookup::Completed(answer) => Claimed::Replay(answer),
                    _ => Claimed::Open,
                }
            }
            State::Mismatch => Claimed::Mismatch,
            State::Unknown => Claimed::Open,
            _ => Claimed::NotRun,
        }
    }

    /// The call has ended without an outcome, so there is nothing to wait for.
    pub(crate) fn let_go(&self, attempt: AttemptId) {
        self.claims().in_hand.lock().remove(&attempt);
    }

    /// Holds on to the key until the claims, as they are read here, tell the outcome.
    async fn let_go_when_read(&self, key: ClaimKey, attempt: AttemptId) {
        let mut changes = self.claims().followed.subscribe();
        let until = Instant::now() + Duration::from_millis(self.settings.timing.claim_timeout_ms);
        while self.claims().followed.with(|it| it.is_open(key)) {
            if !matches!(timeout_at(until, changes.changed()).await, Ok(Ok(()))) {
                break;
            }
        }
        self.let_go(attempt);
    }

    /// Records the outcome or release of a call, however long the log takes.
    pub(crate) fn record(self: &Arc<Self>, record: ClaimRecord) {
        let (key, attempt) = (record.key(), record.attempt());
        let entry = self.clone();
        let unrecorded = entry.claims().unrecorded.clone();
        tokio::spawn(async move {
            let backoff = ExponentialBuilder::default()
                .with_max_delay(Duration::from_secs(2))
                .without_max_times();
            for delay in backoff.with_jitter().build() {
                // A record that may be in the log already has no effect when it is there twice.
                if entry.claims().append(record.clone()).await.is_ok() {
                    drop(unrecorded);
                    return entry.let_go_when_read(key, attempt).await;
                }
                sleep(delay).await;
            }
        });
    }
}

/// Waits for whatever comes first: news from the log, the result of the append, or the deadline.
async fn next_event(
    changes: &mut watch::Receiver<LogOffset>,
    appended: &mut Option<JoinHandle<Result<(), AppendError>>>,
    deadline: Instant,
) -> Option<Event> {
    let result = async {
        match appended {
            Some(handle) => handle.await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = changes.changed() => None,
        result = result => {
            *appended = None;
            match result {
                Ok(Ok(())) => None,
                Ok(Err(AppendError::Rejected(_))) => Some(Event::AppendRejected),
                Ok(Err(AppendError::Lost(_))) | Err(_) => Some(Event::AppendLost),
            }
        }
        () = sleep(CLAIMANT_LOOK) => None,
        () = sleep_until(deadline) => Some(Event::Deadline),
    }
}

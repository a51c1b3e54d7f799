//! Ensures that a client's call is sent to an upstream at most once, across all entry processes.
//!
//! A client identifies such a call with an idempotency key. Before an entry process sends the call, it appends a claim
//! for the key to the log. The first claim for a key in log order wins. Only the process that wrote this claim (the
//! claimant) may send the call, and only after it has read its own claim back from the log. After the response, the
//! claimant appends the outcome, which is the response in the form that is stored for repeats. A claim without an
//! outcome is open. If the call was certainly not sent, the claimant releases the claim, and the key is free again.
//!
//! A client that repeats a call with an open claim waits for the outcome while the claimant is alive. If the claimant
//! is lost, or if there is no outcome within the wait limit, the response is that the outcome is unknown. While the
//! claim is retained and not released, a repeated call is not sent again.
//!
//! The fold [`Claims`] gives every process the same winner for a key. [`Call`] tracks one call at one process with the
//! state chart `call.json` of the crate `lentilhitch_chart`.

use std::collections::VecDeque;

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use lentilhitch_chart::charts::call::{Action, CHART, Event, State};
use lentilhitch_types::{AttemptId, Fingerprint, InstanceName};

use crate::fold::{Fold, RecordMeta};

/// Time after the append of a claim for which the claim is retained, by the log service's timestamps. After it, the key
/// is free.
pub const KEY_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Hash of the team, the service and the idempotency key that a client sent with a call.
pub type ClaimKey = Fingerprint;

/// Record of a claim, an outcome or a release. Records are appended to the log in batches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// Claims the key for a call with this request fingerprint (`body`).
    Claim {
        key: ClaimKey,
        body: Fingerprint,
        /// Id that the claimant draws at random for this claim. It identifies this claim among all claims for the
        /// key. The outcome or release of the claim carries the same id.
        attempt: AttemptId,
        claimant: InstanceName,
    },
    /// Records the outcome of the call. Has no effect unless the claim with this attempt holds the key.
    Outcome {
        key: ClaimKey,
        attempt: AttemptId,
        #[serde(rename = "answer")]
        response: StoredResponse,
    },
    /// Withdraws the claim with this attempt, whose call was not sent. Has no effect if the claim has an outcome.
    /// Otherwise the key becomes free, and a claim with this attempt that is read later has no effect.
    Released { key: ClaimKey, attempt: AttemptId },
}

impl ClaimRecord {
    /// Returns the key of the call that the record belongs to.
    pub fn key(&self) -> ClaimKey {
        match self {
            Self::Claim { key, .. } | Self::Outcome { key, .. } | Self::Released { key, .. } => {
                *key
            }
        }
    }

    /// Returns the attempt id of the claim that the record belongs to.
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Claim { attempt, .. }
            | Self::Outcome { attempt, .. }
            | Self::Released { attempt, .. } => *attempt,
        }
    }
}

/// Outcome of a call: its response, stored for clients that repeat the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    pub status: u16,
    pub content_type: Option<String>,
    /// Body of the response; `None` if it was too large or not text.
    pub body: Option<String>,
}

/// State of a key, as found by [`Claims::lookup`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// No claim holds the key.
    Free,
    /// The claim of this process holds the key and has no outcome.
    Open(InstanceName),
    /// The claim that holds the key has this outcome.
    OutcomeKnown(StoredResponse),
    /// The claim that holds the key is for a request with another fingerprint.
    Mismatch,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    attempt: AttemptId,
    claimant: InstanceName,
    body: Fingerprint,
    #[serde(rename = "answer")]
    response: Option<StoredResponse>,
}

/// Fold of the claim records into the claim that holds each key, limited to the last [`KEY_RETENTION_MS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    claims: FxHashMap<ClaimKey, Claim>,
    /// Attempt ids of released claims. A claim with such an id that is read from the log after its release has no
    /// effect.
    released: FxHashSet<AttemptId>,
    /// Claims and releases in log order with their append times, for expiry.
    order: VecDeque<(u64, ClaimKey, AttemptId)>,
}

impl Fold for Claims {
    type Record = Vec<ClaimRecord>;

    fn apply(&mut self, meta: RecordMeta, batch: &Vec<ClaimRecord>) {
        self.expire(meta.appended_ms);
        for record in batch {
            self.apply_record(meta.appended_ms, record);
        }
    }
}

impl Claims {
    /// Returns the state of a key for a request with the fingerprint `body`.
    pub fn lookup(&self, key: ClaimKey, body: Fingerprint) -> Lookup {
        match self.claims.get(&key) {
            None => Lookup::Free,
            Some(claim) if claim.body != body => Lookup::Mismatch,
            Some(Claim { response: Some(response), .. }) => Lookup::OutcomeKnown(response.clone()),
            Some(claim) => Lookup::Open(claim.claimant.clone()),
        }
    }

    /// Returns whether a claim holds the key and has no outcome.
    pub fn is_open(&self, key: ClaimKey) -> bool {
        self.claims.get(&key).is_some_and(|it| it.response.is_none())
    }

    /// Returns the attempt id of the claim that holds the key.
    pub fn winning_attempt(&self, key: ClaimKey) -> Option<AttemptId> {
        self.claims.get(&key).map(|it| it.attempt)
    }

    /// Returns the number of keys that are held by a claim.
    pub fn n_keys(&self) -> usize {
        self.claims.len()
    }

    fn apply_record(&mut self, appended_ms: u64, record: &ClaimRecord) {
        match record {
            ClaimRecord::Claim { key, body, attempt, claimant } => {
                if !self.claims.contains_key(key) && !self.released.contains(attempt) {
                    let (attempt, body, claimant) = (*attempt, *body, claimant.clone());
                    self.claims.insert(*key, Claim { attempt, claimant, body, response: None });
                    self.order.push_back((appended_ms, *key, attempt));
                }
            }
            ClaimRecord::Outcome { key, attempt, response } => {
                if let Some(claim) = self.claims.get_mut(key).filter(|it| it.attempt == *attempt) {
                    claim.response.get_or_insert_with(|| response.clone());
                }
            }
            ClaimRecord::Released { key, attempt } => {
                let matching_claim = self.claims.get(key).filter(|it| it.attempt == *attempt);
                if matching_claim.is_some_and(|it| it.response.is_some()) {
                    return;
                }
                if matching_claim.is_some() {
                    self.claims.remove(key);
                }
                if self.released.insert(*attempt) {
                    self.order.push_back((appended_ms, *key, *attempt));
                }
            }
        }
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((recorded_ms, key, attempt)) = self.order.front().copied() {
            if now_ms < recorded_ms + KEY_RETENTION_MS {
                break;
            }
            self.order.pop_front();
            self.released.remove(&attempt);
            if self.winning_attempt(key) == Some(attempt) {
                self.claims.remove(&key);
            }
        }
    }
}

/// State of one call at one entry process.
#[derive(Clone, Debug)]
pub struct Call {
    pub key: ClaimKey,
    /// Fingerprint of the request. It must be the same in each repeat of the call.
    pub body: Fingerprint,
    /// Id of this process's claim for the call.
    pub attempt: AttemptId,
    state: State,
}

impl Call {
    /// Creates a call in the initial state of the state chart.
    pub fn new(key: ClaimKey, body: Fingerprint, attempt: AttemptId) -> Self {
        Self { key, body, attempt, state: CHART.initial() }
    }

    /// Returns the state of the call.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether the call is in a final state, so that the response to the client is determined.
    pub fn is_final(&self) -> bool {
        CHART.is_final(self.state)
    }

    /// Applies an event, which may change the state, and returns the actions to perform.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        let step = CHART.step(self.state, event);
        self.state = step.to;
        step.actions
    }

    /// Derives an event from the claims read so far, applies it, which may change the state, and returns the actions to
    /// perform.
    ///
    /// In the states `New` and `Joined`, the event follows from the lookup of the key. In the states `Claiming` and
    /// `Settling`, in which this call's own claim may be in the log, the event follows from whether that claim or
    /// another claim holds the key. If no event follows, the state stays and there are no actions.
    pub fn check_claims(&mut self, claims: &Claims) -> Vec<Action> {
        let event = match (self.state, claims.lookup(self.key, self.body)) {
            (State::New | State::Joined, Lookup::Free) => Event::KeyFree,
            (State::New, Lookup::Open(_)) => Event::KeyOpen,
            (State::New | State::Joined, Lookup::OutcomeKnown(_)) => Event::KeyAnswered,
            (State::New | State::Joined, Lookup::Mismatch) => Event::KeyMismatch,
            (State::Claiming | State::Settling, _) => match claims.winning_attempt(self.key) {
                Some(winner) if winner == self.attempt => Event::OwnClaimFirst,
                Some(_) => Event::OtherClaimFirst,
                None => return Vec::new(),
            },
            _ => return Vec::new(),
        };
        self.step(event)
    }
}

//! Calls that are sent at most once.
//!
//! The first claim for a key in log order wins. Only the process that wrote this claim may send the call, and only
//! after it has read its own claim back from the log. A claim without an outcome stays open. A client that repeats the
//! call waits for the outcome while the claimant is alive. When the claimant is lost, the client is told that the
//! outcome is unknown. The call is not sent again in either case. The fold [`Claims`] gives every process the same
//! winner for a key. [`Call`] tracks the state of one call with the chart `call.json`.

use std::collections::VecDeque;

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use lentilhitch_chart::charts::call::{Action, CHART, Event, State};
use lentilhitch_types::{AttemptId, Fingerprint, InstanceName};

use crate::fold::{Fold, RecordMeta};

/// Time for which a key is kept after its claim, by the log service's timestamps.
pub const KEY_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Identifier of a call: the hash of team, service and idempotency key.
pub type ClaimKey = Fingerprint;

/// Entry of a batch that is appended to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    Claim {
        key: ClaimKey,
        body: Fingerprint,
        attempt: AttemptId,
        claimant: InstanceName,
    },
    Outcome {
        key: ClaimKey,
        attempt: AttemptId,
        #[serde(rename = "answer")]
        response: StoredResponse,
    },
    Released {
        key: ClaimKey,
        attempt: AttemptId,
    },
}

impl ClaimRecord {
    /// Returns the key of the call that the entry belongs to.
    pub fn key(&self) -> ClaimKey {
        match self {
            Self::Claim { key, .. } | Self::Outcome { key, .. } | Self::Released { key, .. } => {
                *key
            }
        }
    }

    /// Returns the attempt that the entry belongs to.
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Claim { attempt, .. }
            | Self::Outcome { attempt, .. }
            | Self::Released { attempt, .. } => *attempt,
        }
    }
}

/// Response to a call, stored for clients that repeat the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    pub status: u16,
    pub content_type: Option<String>,
    /// Body of the response; `None` if it was too large or not text.
    pub body: Option<String>,
}

/// State of a key in the claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Not claimed.
    Free,
    /// Claimed by the given process; the outcome is not known.
    Open(InstanceName),
    /// Claimed, and the response is known.
    Completed(StoredResponse),
    /// Claimed for a request with another body.
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

/// Claims within the retention period.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    claims: FxHashMap<ClaimKey, Claim>,
    /// Attempts that were released. A claim of such an attempt that reaches the log later has no effect.
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
    /// Returns the state of a key for a request with this body.
    pub fn lookup(&self, key: ClaimKey, body: Fingerprint) -> Lookup {
        match self.claims.get(&key) {
            None => Lookup::Free,
            Some(claim) if claim.body != body => Lookup::Mismatch,
            Some(Claim { response: Some(response), .. }) => Lookup::Completed(response.clone()),
            Some(claim) => Lookup::Open(claim.claimant.clone()),
        }
    }

    /// Returns whether the key is claimed and has no outcome.
    pub fn is_open(&self, key: ClaimKey) -> bool {
        self.claims.get(&key).is_some_and(|it| it.response.is_none())
    }

    /// Returns the attempt that holds the key.
    pub fn winning_attempt(&self, key: ClaimKey) -> Option<AttemptId> {
        self.claims.get(&key).map(|it| it.attempt)
    }

    /// Number of keys that are kept.
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
    pub body: Fingerprint,
    pub attempt: AttemptId,
    state: State,
}

impl Call {
    /// Creates a call in the chart's initial state.
    pub fn new(key: ClaimKey, body: Fingerprint, attempt: AttemptId) -> Self {
        Self { key, body, attempt, state: CHART.initial() }
    }

    /// Returns the state of the call.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether the call is in a final state, so that the client can get its response.
    pub fn is_final(&self) -> bool {
        CHART.is_final(self.state)
    }

    /// Applies an event and returns the actions to perform.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        let step = CHART.step(self.state, event);
        self.state = step.to;
        step.actions
    }

    /// Looks up the key in the claims, applies the event that follows from it, if any, and returns the actions to
    /// perform.
    pub fn check_claims(&mut self, claims: &Claims) -> Vec<Action> {
        let event = match (self.state, claims.lookup(self.key, self.body)) {
            (State::New | State::Joined, Lookup::Free) => Event::KeyFree,
            (State::New, Lookup::Open(_)) => Event::KeyOpen,
            (State::New | State::Joined, Lookup::Completed(_)) => Event::KeyAnswered,
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

//! The journal of an accepted request of a language service.
//!
//! The journal holds the request and every token received, by position. It outlives the upstream that runs the request
//! and, through a copy at a peer, the entry process. What arrives from an attempt that is not the current one is dropped;
//! what arrives out_of_order waits until the gap before it is closed.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use lentilhitch_chart::charts::stream::{Action, CHART, Event, State};
use lentilhitch_types::{AttemptId, Fingerprint, RequestId, ServiceName, TeamName};

/// Tokens that may wait for an earlier one.
const OUT_OF_ORDER_TOKENS_MAX: usize = 256;

/// What a caller asked for, and where its answer stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRecord {
    pub request_id: RequestId,
    pub team: TeamName,
    pub service: ServiceName,
    pub fingerprint: Fingerprint,
    /// The JSON body as the caller sent it.
    pub body: Bytes,
    /// The path that the caller used, for example `/v1/completions`.
    pub path: String,
    /// The text of each token, in order.
    pub tokens: Vec<String>,
    /// Why the upstream stopped, once the answer is whole.
    pub finish_reason: Option<String>,
}

/// What became of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// It and those that waited for it are now part of the answer: this many.
    Appended(usize),
    /// It waits for an earlier token.
    OutOfOrder,
    /// Its position is already filled.
    Duplicate,
    /// It belongs to an attempt that is not the current one, or the request has ended.
    Stale,
}

/// The journal at the process that runs the request.
#[derive(Clone, Debug)]
pub struct Journal {
    pub record: JournalRecord,
    state: State,
    attempt: Option<AttemptId>,
    n_attempts: u32,
    out_of_order: BTreeMap<usize, String>,
}

impl Journal {
    /// A journal for a new request, or for one taken over from a peer.
    pub fn new(record: JournalRecord) -> Self {
        Self {
            record,
            state: CHART.initial(),
            attempt: None,
            n_attempts: 0,
            out_of_order: BTreeMap::new(),
        }
    }

    /// Where the request stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether nothing more will happen to it here.
    pub fn is_final(&self) -> bool {
        CHART.is_final(self.state)
    }

    /// How many upstreams it was sent to.
    pub fn n_attempts(&self) -> u32 {
        self.n_attempts
    }

    /// The number of tokens of the answer so far.
    pub fn position(&self) -> usize {
        self.record.tokens.len()
    }

    /// Begins an attempt on an upstream. Tokens of earlier attempts are stale from here on.
    pub fn start_attempt(&mut self, attempt: AttemptId) -> Vec<Action> {
        self.attempt = Some(attempt);
        self.n_attempts += 1;
        self.out_of_order.clear();
        self.step(Event::Placed)
    }

    /// Takes an event other than a token or the end.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        let step = CHART.step(self.state, event);
        self.state = step.to;
        if matches!(
            self.state,
            State::Moving | State::HandedOver | State::Cancelled | State::Failed
        ) {
            self.attempt = None;
        }
        step.actions
    }

    /// Takes a token from an attempt.
    pub fn record_token(&mut self, attempt: AttemptId, position: usize, text: String) -> Received {
        if self.attempt != Some(attempt) || !self.step(Event::Token).contains(&Action::Forward) {
            return Received::Stale;
        }
        if position < self.position() {
            return Received::Duplicate;
        }
        if self.position() < position {
            if self.out_of_order.len() < OUT_OF_ORDER_TOKENS_MAX {
                self.out_of_order.insert(position, text);
            }
            return Received::OutOfOrder;
        }
        self.record.tokens.push(text);
        let mut n_appended = 1;
        while let Some(text) = self.out_of_order.remove(&self.position()) {
            self.record.tokens.push(text);
            n_appended += 1;
        }
        Received::Appended(n_appended)
    }

    /// The attempt has sent everything: `n_tokens` in all. Says whether the answer is whole; if not, it must go on
    /// elsewhere.
    pub fn finish_attempt(
        &mut self,
        attempt: AttemptId,
        n_tokens: usize,
        finish_reason: String,
    ) -> bool {
        if self.attempt != Some(attempt) {
            return false;
        }
        if n_tokens != self.position() {
            self.step(Event::UpstreamLost);
            return false;
        }
        self.record.finish_reason = Some(finish_reason);
        self.step(Event::End);
        true
    }
}

//! Journal of an accepted request of a language service.
//!
//! The journal holds the request and every token received, by position. It outlives the upstream that runs the request
//! and, through a copy at a peer, the entry process. Tokens from an attempt other than the current one are dropped.
//! Tokens that arrive ahead of their position are held back until the gap before them is filled.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use lentilhitch_chart::charts::stream::{Action, CHART, Event, State};
use lentilhitch_types::{AttemptId, Fingerprint, RequestId, ServiceName, TeamName};

/// Maximum number of tokens that are held back until an earlier one arrives.
const OUT_OF_ORDER_TOKENS_MAX: usize = 256;

/// The client's request and the response received so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRecord {
    pub request_id: RequestId,
    pub team: TeamName,
    pub service: ServiceName,
    pub fingerprint: Fingerprint,
    /// The JSON body as the client sent it.
    pub body: Bytes,
    /// The path that the client used, for example `/v1/completions`.
    pub path: String,
    /// The text of each token, in order.
    pub tokens: Vec<String>,
    /// The reason why the upstream stopped, once the response is complete.
    pub finish_reason: Option<String>,
}

/// Result of recording a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenOutcome {
    /// The token was appended to the response, together with the held-back tokens that follow it. Holds the number of
    /// tokens appended.
    Appended(usize),
    /// An earlier token has not arrived yet. The token is held back, or dropped if too many are held back already.
    OutOfOrder,
    /// A token was already recorded at this position.
    Duplicate,
    /// The token belongs to an attempt that is not the current one, or the request has finished.
    Stale,
}

/// Journal at the process that runs the request.
#[derive(Clone, Debug)]
pub struct Journal {
    pub record: JournalRecord,
    state: State,
    attempt: Option<AttemptId>,
    n_attempts: u32,
    out_of_order: BTreeMap<usize, String>,
}

impl Journal {
    /// Creates a journal for a new request, or for one taken over from a peer.
    pub fn new(record: JournalRecord) -> Self {
        Self {
            record,
            state: CHART.initial(),
            attempt: None,
            n_attempts: 0,
            out_of_order: BTreeMap::new(),
        }
    }

    /// Returns the state of the request.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether the request has reached a state that it never leaves at this process.
    pub fn is_final(&self) -> bool {
        CHART.is_final(self.state)
    }

    /// Returns the number of attempts started so far.
    pub fn n_attempts(&self) -> u32 {
        self.n_attempts
    }

    /// Returns the position of the next token, which is the number of tokens in the response so far.
    pub fn position(&self) -> usize {
        self.record.tokens.len()
    }

    /// Starts an attempt on an upstream. Tokens of earlier attempts are stale from then on.
    pub fn start_attempt(&mut self, attempt: AttemptId) -> Vec<Action> {
        self.attempt = Some(attempt);
        self.n_attempts += 1;
        self.out_of_order.clear();
        self.step(Event::Placed)
    }

    /// Applies an event of the state chart other than a token or the end of the response.
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

    /// Records a token received from an attempt.
    pub fn record_token(
        &mut self,
        attempt: AttemptId,
        position: usize,
        text: String,
    ) -> TokenOutcome {
        if self.attempt != Some(attempt) || !self.step(Event::Token).contains(&Action::Forward) {
            return TokenOutcome::Stale;
        }
        if position < self.position() {
            return TokenOutcome::Duplicate;
        }
        if self.position() < position {
            if self.out_of_order.len() < OUT_OF_ORDER_TOKENS_MAX {
                self.out_of_order.insert(position, text);
            }
            return TokenOutcome::OutOfOrder;
        }
        self.record.tokens.push(text);
        let mut n_appended = 1;
        while let Some(text) = self.out_of_order.remove(&self.position()) {
            self.record.tokens.push(text);
            n_appended += 1;
        }
        TokenOutcome::Appended(n_appended)
    }

    /// Records that the attempt has ended after sending `n_tokens` tokens in total. Returns whether the response is
    /// complete. If it is not, the request must continue on another upstream.
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

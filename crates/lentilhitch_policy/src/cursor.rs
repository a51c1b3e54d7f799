//! How a topic of the store is followed: listed whole at first and whenever its history is gone, read on otherwise.
//!
//! A node that takes over the reading from a peer may have stopped long ago, so its place is often gone from the history.
//! The list is then read at once: until it is, the node knows nothing new.

use rand::{Rng, RngExt};

use lentilhitch_types::LogOffset;

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCall {
    List,
    Read(LogOffset),
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// Listed or read up to here.
    UpTo(LogOffset),
    /// The records from there on are gone.
    Expired,
    Failed,
}

/// How long to wait between calls.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The pause after a reading; up to a quarter less, so that nodes read at different times.
    pub poll_interval_ms: u64,
    /// Pauses after failures: the first, doubled up to the longest, each with jitter of a half.
    pub backoff_min_ms: u64,
    pub backoff_max_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { poll_interval_ms: 0, backoff_min_ms: 100, backoff_max_ms: 800 }
    }
}

/// The place in a topic.
#[derive(Clone, Debug)]
pub struct Cursor {
    settings: Settings,
    next: Option<LogOffset>,
    n_failures: u32,
}

impl Cursor {
    /// A topic that has not been read yet.
    pub fn new(settings: Settings) -> Self {
        Self { settings, next: None, n_failures: 0 }
    }

    /// The call to make.
    pub fn next_call(&self) -> NextCall {
        self.next.map_or(NextCall::List, NextCall::Read)
    }

    /// Takes how the call ended; returns the milliseconds to wait before the next one.
    pub fn on_result(&mut self, result: CallResult, rng: &mut impl Rng) -> u64 {
        let Settings { poll_interval_ms, backoff_min_ms, backoff_max_ms } = self.settings;
        match result {
            CallResult::UpTo(next) => {
                self.next = Some(next);
                self.n_failures = 0;
                poll_interval_ms - rng.random_range(0..=poll_interval_ms / 4)
            }
            CallResult::Expired => {
                self.next = None;
                self.n_failures = 0;
                0
            }
            CallResult::Failed => {
                let delay_ms = (backoff_min_ms << self.n_failures.min(8)).min(backoff_max_ms);
                self.n_failures += 1;
                rng.random_range(delay_ms / 2..=delay_ms)
            }
        }
    }
}

/// How long the store is given to tell what a peer has; a few round trips on a slow link.
const PEER_QUERY_DELAY_MS: u64 = 500;

/// How long a node has been behind its peers. It reads the store itself at once; only when the store doesn't tell are peers
/// asked. If all asked at once, those few that have the news first could not answer in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    behind_since_ms: Option<u64>,
}

impl Lag {
    /// Notes whether a peer has something newer; says whether to ask one.
    pub fn update(&mut self, is_behind: bool, now_ms: u64) -> bool {
        self.behind_since_ms = is_behind.then(|| self.behind_since_ms.unwrap_or(now_ms));
        self.behind_since_ms.is_some_and(|it| it + PEER_QUERY_DELAY_MS <= now_ms)
    }
}

//! Position from which a node reads a topic of the store.
//!
//! The node fetches the complete list of the topic's records at the start, and whenever the records after the position
//! have expired. Otherwise it reads the topic from the position. Not every node reads the topic at all times. A node
//! that starts to read in place of a peer may have stopped reading long ago, so the records after its position have
//! often expired. It then fetches the list without delay, because until then it gets no updates.

use rand::{Rng, RngExt};

use lentilhitch_types::LogPosition;

/// Time within which the store answers a call, in addition to the time for which the call asks it to wait.
pub const CALL_LIMIT_MS: u64 = 1_200;
/// Part of the time within which nodes know of changes again after a disruption for which a read of the configuration
/// waits. The limit of the call, the delay after it and another call have to fit into the rest.
const CONFIG_READ_WAIT_CONTACT_DIVISOR: u64 = 3;
/// Interval between reads of the configuration, for the case that a read returns immediately without a new record.
const CONFIG_POLL_INTERVAL_MS: u64 = 50;

/// Call to the store to make next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCall {
    List,
    /// Read from a position. If there is no newer record, the store answers after `wait_ms` at the latest.
    Read {
        from: LogPosition,
        wait_ms: u64,
    },
}

/// Result of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The call succeeded. The next read starts at this position.
    UpTo(LogPosition),
    /// The records after the position have expired, or the store has returned from a copy that may lack them.
    Expired,
    Failed,
}

/// Delays between calls.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Delay after a successful call. Up to a quarter of it is subtracted at random, so that nodes read at different
    /// times.
    pub poll_interval_ms: u64,
    /// Delay after the first failure. It doubles with each further failure, and up to half of it is subtracted at
    /// random.
    pub backoff_min_ms: u64,
    /// Maximum delay after a failure.
    pub backoff_max_ms: u64,
    /// Time for which the store holds a read open until there is a new record.
    pub read_wait_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { poll_interval_ms: 0, backoff_min_ms: 100, backoff_max_ms: 800, read_wait_ms: 0 }
    }
}

impl Settings {
    /// Returns the settings for the configuration, whose reads wait for a new record. `contact_ms` is the time after a
    /// disruption within which nodes know of changes again.
    pub fn for_config(contact_ms: u64) -> Self {
        Self {
            poll_interval_ms: CONFIG_POLL_INTERVAL_MS,
            read_wait_ms: contact_ms / CONFIG_READ_WAIT_CONTACT_DIVISOR,
            ..Self::default()
        }
    }
}

/// Position in a topic.
#[derive(Clone, Debug)]
pub struct Cursor {
    settings: Settings,
    /// Offset to read from; `None` if the topic must be listed.
    next: Option<LogPosition>,
    n_failures: u32,
}

impl Cursor {
    /// Creates a cursor for a topic that has not been read yet.
    pub fn new(settings: Settings) -> Self {
        Self { settings, next: None, n_failures: 0 }
    }

    /// Returns the call to make next.
    pub fn next_call(&self) -> NextCall {
        let Some(from) = self.next else { return NextCall::List };
        // While calls fail, only short ones show soon that the store is back.
        let wait_ms = if 0 < self.n_failures { 0 } else { self.settings.read_wait_ms };
        NextCall::Read { from, wait_ms }
    }

    /// Handles the result of a call and returns the delay before the next one in milliseconds.
    pub fn on_result(&mut self, result: CallResult, rng: &mut impl Rng) -> u64 {
        let Settings { poll_interval_ms, backoff_min_ms, backoff_max_ms, .. } = self.settings;
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

/// Time for a node to read an update from the store itself before it queries a peer: a few round trips on a slow link.
const PEER_QUERY_DELAY_MS: u64 = 500;

/// Time for which a node has been behind its peers.
///
/// A node that is behind reads the store at once, and queries a peer only if the store doesn't deliver the update in
/// time. If all nodes queried their peers at once, the few that have the update first would be too busy to respond in
/// time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    behind_since_ms: Option<u64>,
}

impl Lag {
    /// Records whether a peer has a newer state and returns whether to query one.
    pub fn update(&mut self, is_behind: bool, now_ms: u64) -> bool {
        self.behind_since_ms = is_behind.then(|| self.behind_since_ms.unwrap_or(now_ms));
        self.behind_since_ms.is_some_and(|it| it + PEER_QUERY_DELAY_MS <= now_ms)
    }
}

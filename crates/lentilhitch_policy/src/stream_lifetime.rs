//! Time for which a stream may last, from its first event until its client takes it up for the last time.
//!
//! How long clients wait for a stream follows from the timeout of its route and from the deadlines that clients state,
//! which may be later than the timeout: a client may take up a stream that has run into it. A stream keeps the timeout
//! that was in force when it began. So when the configuration lowers a timeout or removes a route, or when the clients
//! with late deadlines stay away, the lifetime shrinks only after the streams that began before are over.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// How long clients wait for a stream if no configuration is known.
const WAIT_DEFAULT_MS: u64 = 30_000;
/// Maximum time for which clients wait that is taken into account, so that one late deadline has a bounded cost.
const WAIT_MAX_MS: u64 = 300_000;
/// Times for which clients wait are rounded up to a multiple of this, so that few different ones are kept.
const WAIT_STEP_MS: u64 = 1_000;
/// Lifetime of a stream as a multiple of the time for which its client waits. Nodes learn at different times that a
/// version is gone, and a stream may begin at the last of them.
const LIFETIME_MULTIPLE: u64 = 2;

/// Time for which clients of streams wait, as one node tells another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientWait {
    #[serde(rename = "w")]
    pub wait_ms: u64,
    /// Time until all streams are over that began while clients waited for so long.
    #[serde(rename = "r")]
    pub remaining_ms: u64,
}

/// Returns the longest time for which clients wait, or 0 if none is known.
pub fn longest_wait_ms(waits: &[ClientWait]) -> u64 {
    waits.iter().map(|it| it.wait_ms).max().unwrap_or_default()
}

/// Time for which clients waited whose streams may still run.
#[derive(Clone, Copy, Debug)]
struct RecentWait {
    wait_ms: u64,
    until_ms: u64,
}

/// Lifetime of the streams that run now.
#[derive(Clone, Debug, Default)]
pub struct StreamLifetime {
    /// Longest timeout of the streaming routes in the configuration in force.
    configured_ms: Option<u64>,
    /// Waits beyond that, longest first. Each later one ends later.
    recent: VecDeque<RecentWait>,
}

impl StreamLifetime {
    /// Sets the longest timeout of the streaming routes.
    pub fn set_configured(&mut self, wait_ms: u64, now_ms: u64) {
        let previous_ms = self.configured_ms.replace(wait_ms);
        if let Some(previous_ms) = previous_ms {
            self.record_wait(previous_ms, now_ms);
        }
    }

    /// Records that a client waits for a stream that begins now.
    pub fn record_wait(&mut self, wait_ms: u64, now_ms: u64) {
        if self.configured_ms.is_some_and(|it| wait_ms <= it) {
            return;
        }
        let wait_ms = wait_ms.next_multiple_of(WAIT_STEP_MS).min(WAIT_MAX_MS);
        self.insert(RecentWait { wait_ms, until_ms: now_ms + LIFETIME_MULTIPLE * wait_ms }, now_ms);
    }

    fn insert(&mut self, new: RecentWait, now_ms: u64) {
        self.recent.retain(|it| {
            now_ms < it.until_ms && (new.wait_ms < it.wait_ms || new.until_ms < it.until_ms)
        });
        let position = self.recent.partition_point(|it| new.wait_ms < it.wait_ms);
        if self.recent.range(..position).all(|it| it.until_ms < new.until_ms) {
            self.recent.insert(position, new);
        }
    }

    /// Returns the lifetime in milliseconds.
    pub fn ms(&self, now_ms: u64) -> u64 {
        let configured_ms = self.configured_ms.unwrap_or(WAIT_DEFAULT_MS);
        let recent = self.recent.iter().find(|it| now_ms < it.until_ms);
        LIFETIME_MULTIPLE * recent.map_or(configured_ms, |it| it.wait_ms.max(configured_ms))
    }

    /// Returns for how long clients wait, for another node.
    pub fn waits(&self, now_ms: u64) -> Vec<ClientWait> {
        let configured = self
            .configured_ms
            .map(|it| ClientWait { wait_ms: it, remaining_ms: LIFETIME_MULTIPLE * it });
        let recent = self
            .recent
            .iter()
            .filter(|it| now_ms < it.until_ms)
            .map(|it| ClientWait { wait_ms: it.wait_ms, remaining_ms: it.until_ms - now_ms });
        configured.into_iter().chain(recent).collect()
    }

    /// Takes over for how long clients of another node wait.
    pub fn adopt(&mut self, waits: &[ClientWait], now_ms: u64) {
        for it in waits {
            let wait_ms = it.wait_ms.min(WAIT_MAX_MS);
            let remaining_ms = it.remaining_ms.min(LIFETIME_MULTIPLE * WAIT_MAX_MS);
            self.insert(RecentWait { wait_ms, until_ms: now_ms + remaining_ms }, now_ms);
        }
    }
}

//! News that are passed on several times, because messages get lost, and not again when they come back.

use std::{collections::VecDeque, hash::Hash};

use rustc_hash::FxHashMap;

use lentilhitch_types::Fingerprint;

use crate::{
    suspects::{QuarantinedRequest, segments::SegmentReport},
    upstream_limits::LimitReport,
};

/// Number of times that a piece of news is sent.
const SENDS: u8 = 4;
/// Maximum number of pieces in one message.
const PIECES_PER_MESSAGE_MAX: usize = 32;
/// Maximum number of pieces that are remembered as passed on.
const SEEN_MAX: usize = 8_192;
/// Time after which the same news about a segment, or the same quarantine of a request, may be passed on again.
const QUARANTINE_REPEAT_MS: u64 = 500;

/// Time after which the same limit of an upstream may be passed on again.
const LIMIT_REPEAT_MS: u64 = 1_000;

/// A piece of news.
pub trait News: Copy + Eq + Hash {
    /// Returns what two equal pieces of news have in common.
    #[must_use]
    fn key(self) -> Self {
        self
    }

    /// Number of times that the piece is sent.
    fn n_sends(self) -> u8 {
        SENDS
    }

    /// Time after which an equal piece is news again.
    fn repeat_after_ms(self) -> u64 {
        u64::MAX
    }
}

/// A request that was present at a crash, and the id of the crash.
impl News for (Fingerprint, u64) {}

impl News for SegmentReport {
    fn key(self) -> Self {
        match self {
            Self::Quarantined { segment, .. } => Self::Quarantined { segment, age_ms: 0 },
            Self::Crash { .. } | Self::Answered(_) => self,
        }
    }

    /// Quarantines are reported again and again, so each report is sent once.
    fn n_sends(self) -> u8 {
        if matches!(self, Self::Quarantined { .. }) { 1 } else { SENDS }
    }

    fn repeat_after_ms(self) -> u64 {
        if matches!(self, Self::Crash { .. }) { u64::MAX } else { QUARANTINE_REPEAT_MS }
    }
}

impl News for QuarantinedRequest {
    /// Quarantines are reported again and again, so each report is sent once.
    fn n_sends(self) -> u8 {
        1
    }

    fn repeat_after_ms(self) -> u64 {
        QUARANTINE_REPEAT_MS
    }
}

impl News for LimitReport {
    fn key(self) -> Self {
        Self { age_ms: 0, ..self }
    }

    fn repeat_after_ms(self) -> u64 {
        LIMIT_REPEAT_MS
    }
}

/// Queue of the news to pass on.
#[derive(Clone, Debug)]
pub struct Relay<T> {
    queue: VecDeque<(T, u8)>,
    /// When each piece was last added.
    seen: FxHashMap<T, u64>,
}

impl<T> Default for Relay<T> {
    fn default() -> Self {
        Self { queue: VecDeque::new(), seen: FxHashMap::default() }
    }
}

impl<T: News> Relay<T> {
    /// Adds the pieces that were not added recently.
    pub fn extend(&mut self, news: &[T], now_ms: u64) {
        if SEEN_MAX <= self.seen.len() {
            self.seen.clear();
        }
        for it in news {
            let seen_ms = self.seen.get(&it.key()).copied();
            let is_new = seen_ms
                .is_none_or(|seen_ms| seen_ms.saturating_add(it.repeat_after_ms()) <= now_ms);
            if is_new {
                self.seen.insert(it.key(), now_ms);
                self.queue.push_back((*it, it.n_sends()));
            }
        }
    }

    /// Returns the pieces for the next message. A piece that is sent several times goes behind those that were not sent
    /// so far.
    pub fn take_due(&mut self) -> Vec<T> {
        let n_due = self.queue.len().min(PIECES_PER_MESSAGE_MAX);
        let due: Vec<_> = self.queue.drain(..n_due).collect();
        self.queue.extend(due.iter().filter(|it| 1 < it.1).map(|it| (it.0, it.1 - 1)));
        due.into_iter().map(|it| it.0).collect()
    }

    /// Returns whether there are pieces that should not wait for the next regular message.
    pub fn is_urgent(&self) -> bool {
        self.queue.iter().any(|it| 1 < it.0.n_sends())
    }
}

//! Tracks the era of the store. When the store returns from a copy, its era rises, and what it has acknowledged since the
//! copy is lost.

use lentilhitch_types::{LogPosition, StoreEra};

/// What an answer of the store, or news from another node, says about the era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    Current,
    /// The store has returned from a copy since `previous`.
    Restored {
        previous: StoreEra,
    },
    /// The answer is of an earlier era, in which nothing holds any more.
    Outdated,
}

/// Era of the store, as known to one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    current: Option<StoreEra>,
}

impl EraTracker {
    /// Returns the highest era that was observed, or `None` before the first one.
    pub fn current(&self) -> Option<StoreEra> {
        self.current
    }

    /// Handles the era of an answer of the store.
    pub fn observe(&mut self, era: StoreEra) -> Observed {
        match self.current {
            Some(current) if era < current => Observed::Outdated,
            Some(current) if current < era => {
                self.current = Some(era);
                Observed::Restored { previous: current }
            }
            _ => {
                self.current = Some(era);
                Observed::Current
            }
        }
    }

    /// Returns whether a position may be used in the current era.
    pub fn is_usable(&self, position: LogPosition) -> bool {
        self.current.is_none_or(|it| it == position.era())
    }
}

//! Positions in the topics of the platform's store.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// Number of times that the store has returned from a copy and lost what it had acknowledged since the copy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEra(pub u32);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Position in a topic of the store: an era and an offset in the topic of that era. In a new era, offsets start again
/// from those of the copy, so a position of an earlier era says nothing about the topic. Positions are ordered by the
/// era and then by the offset. Also used as the version of a record and as a fencing token.
///
/// Encoded as one number, which is the offset in the era 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition(u64);

/// Number of bits of an offset.
const OFFSET_BITS: u32 = 40;
const OFFSET_MAX: u64 = (1 << OFFSET_BITS) - 1;

impl LogPosition {
    pub const fn new(era: StoreEra, offset: u64) -> Self {
        let offset = if offset < OFFSET_MAX { offset } else { OFFSET_MAX };
        Self((era.0 as u64) << OFFSET_BITS | offset)
    }

    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> OFFSET_BITS) as u32)
    }

    /// Returns the offset in the topic of the era.
    pub const fn offset(self) -> u64 {
        self.0 & OFFSET_MAX
    }

    /// Returns the position after this one in the same era.
    #[must_use]
    pub const fn next(self) -> Self {
        Self::new(self.era(), self.offset() + 1)
    }

    /// Returns the number that stands for this position in calls to the platform. It grows with the position.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl From<u64> for LogPosition {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era(), self.offset())
    }
}

/// Text that is no position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no era and offset")]
pub struct InvalidPosition(String);

impl FromStr for LogPosition {
    type Err = InvalidPosition;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (era, offset) = text.split_once(':')?;
            Some(Self::new(era.parse().ok()?, offset.parse().ok()?))
        };
        parse().ok_or_else(|| InvalidPosition(text.to_owned()))
    }
}

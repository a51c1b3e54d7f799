//! Ids and positions that the system generates itself.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_128;

macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(Uuid);

        impl $name {
            /// Creates an id from 128 random bits.
            pub fn from_random(bits: u128) -> Self {
                Self(uuid::Builder::from_random_bytes(bits.to_be_bytes()).into_uuid())
            }
        }

        impl TryFrom<String> for $name {
            type Error = uuid::Error;

            fn try_from(text: String) -> Result<Self, uuid::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.simple().fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = uuid::Error;

            fn from_str(text: &str) -> Result<Self, uuid::Error> {
                Uuid::from_str(text).map(Self)
            }
        }
    };
}

uuid_type!(
    /// Id of a client's request, the same at every entry process.
    RequestId
);
uuid_type!(
    /// Random id of one attempt to run a request on an upstream, of one claim, or of another record or term in the log.
    AttemptId
);

macro_rules! counter_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the value that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, std::num::ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

counter_type!(
    /// Position in a stream of the platform's log. Also used as the version of a record and as a fencing token.
    LogOffset
);
counter_type!(
    /// Number of one run of a process under its name. A later run has a larger number.
    Incarnation
);

/// Segment of a prompt, which several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SegmentId(pub u64);

impl fmt::Display for SegmentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for SegmentId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, std::num::ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Hash of a team and the content of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the XXH3 hash (128 bits) of the parts, each preceded by its length in bytes.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut joined = Vec::with_capacity(parts.iter().map(|it| it.len() + 8).sum());
        for part in parts {
            joined.extend_from_slice(&(part.len() as u64).to_le_bytes());
            joined.extend_from_slice(part);
        }
        Self(xxh3_128(&joined))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, std::num::ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, std::num::ParseIntError> {
        text.parse()
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}

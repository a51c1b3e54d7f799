//! Rates and prices.

use std::{fmt, str::FromStr};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! rate_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $unit:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
        #[derive(Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = <$inner as FromStr>::Err;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.trim_end_matches($unit).parse().map(Self)
            }
        }
    };
}

rate_type!(
    /// Requests per second.
    RequestRate,
    f64,
    " req/s"
);
rate_type!(
    /// Tokens per second.
    TokenRate,
    f64,
    " tok/s"
);
rate_type!(
    /// Price of one instance per hour, in millionths of a US dollar.
    PricePerHour,
    u64,
    " uUSD/h"
);

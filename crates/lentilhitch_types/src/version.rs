//! Versions of the software that upstreams run.

use std::{convert::Infallible, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Version of the software of an upstream, which is any text and has no order. Upstreams of several versions may serve
/// side by side in one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<String> for SoftwareVersion {
    fn from(text: String) -> Self {
        Self(text)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

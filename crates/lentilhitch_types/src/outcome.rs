//! Problem documents for requests that got no normal response.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No upstream received any byte of the request.
    NotRun,
    /// The request may have run, and whether it did cannot be determined.
    Unknown,
    /// The request ran, or started to run, without a usable response.
    Failed,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        })
    }
}

/// A rejection or failure as clients see it (RFC 9457, with `outcome` added).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Stable short name of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    pub title: String,
    /// HTTP status.
    pub status: u16,
    pub detail: String,
    /// Tells the client whether the request may have run, so that the client can decide whether to send it again.
    pub outcome: Outcome,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Delay in whole seconds before a retry, if one may help. Also sent as `Retry-After`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

//! What a caller is told about a request that got no normal answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No upstream received any byte of it.
    NotRun,
    /// It may have run, and whether it did can't be told.
    Unknown,
    /// It ran, or began to, and has no usable answer.
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

/// A refusal or failure as callers see it (RFC 9457, with `outcome` added).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A stable short name of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    pub detail: String,
    pub outcome: Outcome,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// When trying again may help, the delay in whole seconds; also sent as `Retry-After`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

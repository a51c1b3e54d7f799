//! What a strategy knows when it chooses.

use serde::{Deserialize, Serialize};

/// An upstream's own report of its load, already late when it is read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run or wait.
    pub n_requests: u32,
    /// Prompt tokens that wait to be processed.
    pub queued_prompt_tokens: u64,
    pub prefill_tokens_per_s: f64,
    pub slots: u32,
}

/// One upstream as the strategy sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamView {
    pub load: Load,
    /// Requests sent since the report was made, by this process and, as far as they said so, by its peers.
    pub n_sent_since_report: u32,
    pub prompt_tokens_sent_since_report: u64,
    /// Tokens of this request's prompt that the upstream probably has cached.
    pub cached_tokens: u64,
    pub network_ms: f64,
    pub price_microusd_per_hour: u64,
    /// The expected number of reclaims in an hour.
    pub reclaims_per_hour: f64,
}

impl UpstreamView {
    /// Requests that run or wait, as far as can be known now.
    pub fn n_requests(&self) -> u32 {
        self.load.n_requests + self.n_sent_since_report
    }

    /// Requests for each slot.
    pub fn pressure(&self) -> f64 {
        f64::from(self.n_requests()) / f64::from(self.load.slots.max(1))
    }
}

/// What a strategy knows of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestEstimate {
    pub prompt_tokens: u64,
    pub first_token_target_ms: f64,
    /// How long the whole answer will probably take.
    pub duration_ms: f64,
}

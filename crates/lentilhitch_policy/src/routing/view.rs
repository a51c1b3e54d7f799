//! The information about upstreams and requests that a strategy bases its choice on.

use serde::{Deserialize, Serialize};

/// Load as reported by the upstream itself, already out of date when it is read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run or wait at the upstream.
    pub n_requests: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_prompt_tokens: u64,
    pub prefill_tokens_per_s: f64,
    pub slots: u32,
}

/// State of an upstream as known to the strategy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamView {
    pub load: Load,
    /// Requests sent since the report was made, by this process and by those of its peers that reported them.
    pub n_sent_since_report: u32,
    /// Prompt tokens of these requests.
    pub prompt_tokens_sent_since_report: u64,
    /// Tokens of this request's prompt that the upstream has probably cached.
    pub cached_tokens: u64,
    pub network_ms: f64,
    pub price_microusd_per_hour: u64,
    /// Expected number of reclaims per hour.
    pub reclaims_per_hour: f64,
}

impl UpstreamView {
    /// Returns the estimated number of requests that run or wait now, including those sent since the report.
    pub fn n_requests(&self) -> u32 {
        self.load.n_requests + self.n_sent_since_report
    }

    /// Returns the number of requests per slot.
    pub fn requests_per_slot(&self) -> f64 {
        f64::from(self.n_requests()) / f64::from(self.load.slots.max(1))
    }
}

/// Properties of a request as known to the strategy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestEstimate {
    pub prompt_tokens: u64,
    pub first_token_target_ms: f64,
    /// Expected duration of the complete response.
    pub duration_ms: f64,
}

//! The strategy that entry processes use: lowest expected cost.
//!
//! The cost of a request at an upstream, in milliseconds, is the sum of:
//!
//! - the expected time to the first token: network, queue, and prefill of the uncached prompt tokens
//! - the time by which this exceeds the target, weighted
//! - the uncached tokens, with the service's weight for recomputation
//! - the price of one slot of the upstream for the time that the request occupies it, weighted
//! - the prompt tokens to recompute if the upstream is reclaimed during the request, times the expected number of
//!   reclaims and the service's weight for recomputation

use serde::{Deserialize, Serialize};

use crate::routing::{RequestEstimate, Strategy, UpstreamView};

const MS_PER_HOUR: f64 = 3_600_000.0;

/// Weights of a service for the terms of the expected cost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Cost of each millisecond by which the time to the first token exceeds the target, in milliseconds.
    pub late_ms: f64,
    /// Cost of each recomputed token, in milliseconds.
    pub recomputed_token_ms: f64,
    /// Cost of each millionth of a dollar, in milliseconds.
    pub microusd_ms: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { late_ms: 4.0, recomputed_token_ms: 0.05, microusd_ms: 0.2 }
    }
}

/// Chooses the upstream with the lowest expected cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedCost {
    pub weights: Weights,
}

impl ExpectedCost {
    /// Returns the expected cost of running a request at an upstream, in milliseconds.
    pub fn cost_ms(&self, request: &RequestEstimate, view: &UpstreamView) -> f64 {
        let uncached_tokens = request.prompt_tokens.saturating_sub(view.cached_tokens) as f64;
        let first_token_ms = expected_first_token_ms(uncached_tokens, view);
        let late_ms = (first_token_ms - request.first_token_target_ms).max(0.0);
        let occupied_hours = (first_token_ms + request.duration_ms) / MS_PER_HOUR;
        let slot_fraction = 1.0 / f64::from(view.load.slots.max(1));
        let price_microusd = view.price_microusd_per_hour as f64 * occupied_hours * slot_fraction;
        let reclaim_tokens = view.reclaims_per_hour * occupied_hours * request.prompt_tokens as f64;
        first_token_ms
            + self.weights.late_ms * late_ms
            + self.weights.recomputed_token_ms * (uncached_tokens + reclaim_tokens)
            + self.weights.microusd_ms * price_microusd
    }
}

impl Strategy for ExpectedCost {
    fn choose(&mut self, request: &RequestEstimate, views: &[UpstreamView]) -> Option<usize> {
        let costs = views.iter().map(|it| self.cost_ms(request, it));
        costs.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|it| it.0)
    }
}

fn expected_first_token_ms(uncached_tokens: f64, view: &UpstreamView) -> f64 {
    let queued_tokens =
        (view.load.queued_prompt_tokens + view.prompt_tokens_sent_since_report) as f64;
    let prefill_ms =
        (queued_tokens + uncached_tokens) / view.load.prefill_tokens_per_s.max(1.0) * 1000.0;
    // Without a free slot the request waits for one. The wait grows with the number of requests per slot.
    let slot_wait_ms = (view.requests_per_slot() - 1.0).max(0.0) * 1000.0;
    2.0 * view.network_ms + prefill_ms + slot_wait_ms
}

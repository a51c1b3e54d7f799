//! The strategy in use: the least expected cost.
//!
//! The cost of an upstream is a sum in milliseconds: the expected time to the first token (network, queue, uncached part
//! of the prompt), the part of it over the target once more with a weight, the uncached tokens with the service's weight
//! for recomputation, the price of the time that the request occupies, and the tokens that a reclaim during the answer
//! would make the system compute again.

use serde::{Deserialize, Serialize};

use crate::routing::{RequestEstimate, Strategy, UpstreamView};

const MS_PER_HOUR: f64 = 3_600_000.0;

/// What a service pays attention to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// For each millisecond of first-token time over the target.
    pub late_ms: f64,
    /// For each token that is computed again, in milliseconds.
    pub recomputed_token_ms: f64,
    /// For each millionth of a dollar, in milliseconds.
    pub microusd_ms: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { late_ms: 4.0, recomputed_token_ms: 0.05, microusd_ms: 0.2 }
    }
}

/// Chooses the upstream of least expected cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedCost {
    pub weights: Weights,
}

impl ExpectedCost {
    /// The expected cost of running a job on an upstream, in milliseconds.
    pub fn cost_ms(&self, job: &RequestEstimate, view: &UpstreamView) -> f64 {
        let uncached_tokens = job.prompt_tokens.saturating_sub(view.cached_tokens) as f64;
        let first_token_ms = expected_first_token_ms(uncached_tokens, view);
        let late_ms = (first_token_ms - job.first_token_target_ms).max(0.0);
        let occupied_hours = (first_token_ms + job.duration_ms) / MS_PER_HOUR;
        let share = 1.0 / f64::from(view.load.slots.max(1));
        let price_microusd = view.price_microusd_per_hour as f64 * occupied_hours * share;
        let reclaim_tokens = view.reclaims_per_hour * occupied_hours * job.prompt_tokens as f64;
        first_token_ms
            + self.weights.late_ms * late_ms
            + self.weights.recomputed_token_ms * (uncached_tokens + reclaim_tokens)
            + self.weights.microusd_ms * price_microusd
    }
}

impl Strategy for ExpectedCost {
    fn choose(&mut self, job: &RequestEstimate, views: &[UpstreamView]) -> Option<usize> {
        let costs = views.iter().map(|it| self.cost_ms(job, it));
        costs.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|it| it.0)
    }
}

fn expected_first_token_ms(uncached_tokens: f64, view: &UpstreamView) -> f64 {
    let queued_tokens =
        (view.load.queued_prompt_tokens + view.prompt_tokens_sent_since_report) as f64;
    let prefill_ms =
        (queued_tokens + uncached_tokens) / view.load.prefill_tokens_per_s.max(1.0) * 1000.0;
    // A request without a free slot waits for one; the wait grows with the pressure.
    let slot_wait_ms = (view.pressure() - 1.0).max(0.0) * 1000.0;
    2.0 * view.network_ms + prefill_ms + slot_wait_ms
}

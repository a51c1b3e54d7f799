//! Candidates for a request with the figures that decide, for operators. Nothing is counted.

use serde::{Deserialize, Serialize};

use lentilhitch_types::{UpstreamName, Zone};

use super::{
    COMPARED_MAX, LoadTable, PLAIN_FAILURE_COST, Prompt, UpstreamState, first_in_hash_order,
    upstream_hash,
};
use crate::catalog::Upstream;

/// An upstream that may run a request. Costs are in milliseconds of waiting.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    pub upstream: UpstreamName,
    pub zone: Zone,
    pub version: String,
    /// Position in the hash order of the prompt, if the upstream is always compared for that reason. The others are
    /// compared if they are drawn at random.
    pub hash_rank: Option<usize>,
    /// Whether no connection could be made lately, so that the upstream is not chosen while others are available.
    pub is_ejected: bool,
    /// Sum of all terms. The upstream of the lowest cost among those that are compared gets the request.
    pub cost: f64,
    /// Terms of the cost for recent failures and for another zone. The rest is for the work and the load.
    pub failure_cost: f64,
    pub zone_cost: f64,
    /// Expected time to the first token of this request.
    pub first_token_ms: f64,
    pub uncached_tokens: u32,
    /// Requests in progress and prompt tokens that wait, from all nodes, as known to this node.
    pub n_requests: u32,
    pub waiting_tokens: u64,
    /// Slots that the upstream's entry states.
    pub slots: u32,
    /// How long work takes there, in percent of the usual time, if upstreams of the service state their pace.
    pub pace: Option<f64>,
}

impl LoadTable {
    /// Returns the candidates for a request: those that are not ejected first, then in order of the cost.
    pub fn explain(
        &self,
        prompt: Option<&Prompt>,
        candidates: &[&Upstream],
        now_ms: u64,
    ) -> Vec<Candidate> {
        let is_ejected = |it: &Upstream| {
            self.upstreams.get(&it.entry.id).is_some_and(|it| now_ms < it.ejected_until_ms)
        };
        let (ejected, mut pool): (Vec<&Upstream>, Vec<_>) =
            candidates.iter().copied().partition(|it| is_ejected(it));
        let is_pool_ejected = pool.is_empty();
        pool.extend(&ejected);
        let n_compared = if is_pool_ejected { pool.len() } else { pool.len() - ejected.len() };
        let hash_choices = self.settings.hash_choices.min(COMPARED_MAX);
        let hashes = pool[..n_compared].iter().map(|it| upstream_hash(&it.entry.id));
        let by_hash = prompt
            .map(|it| first_in_hash_order(it.affinity(), hashes, hash_choices))
            .unwrap_or_default();
        let explained = pool.iter().enumerate().map(|(idx, upstream)| {
            let hash_rank = by_hash.iter().position(|it| *it == idx);
            self.candidate(prompt, upstream, hash_rank, is_ejected(upstream), now_ms)
        });
        let mut explained: Vec<_> = explained.collect();
        explained.sort_by(|a, b| a.is_ejected.cmp(&b.is_ejected).then(a.cost.total_cmp(&b.cost)));
        explained
    }

    fn candidate(
        &self,
        prompt: Option<&Prompt>,
        upstream: &Upstream,
        hash_rank: Option<usize>,
        is_ejected: bool,
        now_ms: u64,
    ) -> Candidate {
        let entry = &upstream.entry;
        let unknown = UpstreamState::new(upstream_hash(&entry.id), 1);
        let state = self.upstreams.get(&entry.id).unwrap_or(&unknown);
        let (cost, uncached_tokens, failure_weight) = match prompt {
            Some(it) => {
                let (cost, uncached) = self.engine_cost(it, upstream, state, hash_rank, now_ms);
                (cost, uncached, self.settings.failure_penalty_ms)
            }
            None => (self.plain_cost(upstream, state, now_ms), 0, PLAIN_FAILURE_COST),
        };
        Candidate {
            upstream: entry.id.clone(),
            zone: entry.zone.clone(),
            version: entry.version.as_str().to_owned(),
            hash_rank,
            is_ejected,
            cost,
            failure_cost: failure_weight * state.failure_rate,
            zone_cost: self.zone_cost(upstream),
            first_token_ms: self.expected_first_token_ms(
                &entry.id,
                u64::from(uncached_tokens),
                now_ms,
            ),
            uncached_tokens,
            n_requests: self.n_requests_at(state, now_ms),
            waiting_tokens: self.waiting_tokens(&entry.id),
            slots: entry.slots,
            pace: self.time_factor(&entry.service, state, now_ms).map(|it| 100.0 * it),
        }
    }
}

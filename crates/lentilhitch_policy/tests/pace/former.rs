//! Copy of the choice of an upstream as it was before paces were read, to compare the choices with.

use rand::{Rng, seq::index};
use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use lentilhitch_policy::{
    catalog::Upstream,
    placement::{AttemptResult, Prompt, ReportedLoad, Settings, upstream_hash},
};
use lentilhitch_types::{SegmentId, UpstreamName};

#[derive(Default)]
struct State {
    n_requests: u32,
    waiting_tokens: u64,
    reported: Option<(u32, u64)>,
    cached: FxHashSet<SegmentId>,
    failure_rate: f64,
}

pub(crate) struct Former {
    settings: Settings,
    prefill_ms_per_token: f64,
    upstreams: FxHashMap<UpstreamName, State>,
}

impl Former {
    pub(crate) fn new(settings: Settings) -> Self {
        let prefill_ms_per_token = settings.prefill_ms_per_token;
        Self { settings, prefill_ms_per_token, upstreams: FxHashMap::default() }
    }

    /// Returns the chosen upstream and the expected uncached tokens. Does not count the request.
    pub(crate) fn choose(
        &mut self,
        prompt: Option<&Prompt>,
        pool: &[Upstream],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> (UpstreamName, u32) {
        let shared = prompt.map_or(&[][..], Prompt::shared_segments);
        let mut compared = match (prompt, shared.last()) {
            (Some(_), Some(last)) => first_in_hash_order(last.id.0, pool, 3),
            _ => Vec::new(),
        };
        if pool.len() <= compared.len() + 2 {
            let rest: Vec<_> = (0..pool.len()).filter(|it| !compared.contains(it)).collect();
            compared.extend(rest);
        } else {
            let n_total = compared.len() + 2;
            for idx in index::sample(rng, pool.len(), n_total) {
                if compared.len() < n_total && !compared.contains(&idx) {
                    compared.push(idx);
                }
            }
        }
        let costs = compared.into_iter().enumerate().map(|(position, idx)| {
            let upstream = &pool[idx];
            let (cost, uncached) = match prompt {
                Some(it) => self.engine_cost(it, upstream, position, now_ms),
                None => (self.plain_cost(upstream, now_ms), 0),
            };
            (cost, upstream, uncached)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap();
        (best.1.entry.id.clone(), best.2)
    }

    fn engine_cost(
        &self,
        prompt: &Prompt,
        upstream: &Upstream,
        position: usize,
        now_ms: u64,
    ) -> (f64, u32) {
        let empty = State::default();
        let state = self.upstreams.get(&upstream.entry.id).unwrap_or(&empty);
        let cached = prompt.segments.iter().take_while(|it| state.cached.contains(&it.id));
        let cached: u64 = cached.map(|it| u64::from(it.tokens)).sum();
        let shared: u64 = prompt.shared_segments().iter().map(|it| u64::from(it.tokens)).sum();
        let hit_probability = match position {
            0..3 => self.settings.affinity_hit_probability / f64::from(1_u32 << position),
            _ => 0.0,
        };
        let expected_cached = hit_probability * shared.saturating_sub(cached) as f64;
        let uncached = prompt.input_tokens.saturating_sub(cached) as f64 - expected_cached;
        let uncached = uncached.max(0.0) as u64;
        let n_requests = Self::n_requests(state, now_ms);
        let n_over_slots = n_requests.saturating_sub(upstream.entry.slots.saturating_sub(1));
        let work_ms = uncached as f64 * self.prefill_ms_per_token;
        let estimate_ms = (state.waiting_tokens + uncached) as f64 * self.prefill_ms_per_token
            + f64::from(n_requests) * self.settings.per_request_ms;
        let cost = estimate_ms
            + self.settings.prefill_work_weight * work_ms
            + f64::from(n_over_slots) * 100.0
            + self.settings.failure_penalty_ms * state.failure_rate
            + self.zone_cost(upstream);
        (cost, uncached as u32)
    }

    fn plain_cost(&self, upstream: &Upstream, now_ms: u64) -> f64 {
        let empty = State::default();
        let state = self.upstreams.get(&upstream.entry.id).unwrap_or(&empty);
        let n_requests = f64::from(Self::n_requests(state, now_ms));
        let requests_per_slot = n_requests / f64::from(upstream.entry.slots.max(1));
        10.0 * requests_per_slot
            + 30.0 * (requests_per_slot - 1.0).max(0.0)
            + 40.0 * state.failure_rate
            + self.zone_cost(upstream)
    }

    fn n_requests(state: &State, now_ms: u64) -> u32 {
        let reported = state.reported.filter(|it| now_ms - it.1 <= 400);
        state.n_requests.max(reported.map_or(0, |it| it.0))
    }

    fn zone_cost(&self, upstream: &Upstream) -> f64 {
        let is_own = upstream.entry.zone.as_str() == "a";
        if is_own { 0.0 } else { self.settings.cross_zone_penalty_ms }
    }

    pub(crate) fn assign(&mut self, id: &UpstreamName, prompt: Option<&Prompt>, uncached: u32) {
        let state = self.upstreams.entry(id.clone()).or_default();
        state.n_requests += 1;
        state.waiting_tokens += u64::from(uncached);
        state.cached.extend(prompt.iter().flat_map(|it| &it.segments).map(|it| it.id));
    }

    /// Records the time to the first token. `was_queue_empty` tells whether no tokens waited at the assignment.
    pub(crate) fn on_first_token(
        &mut self,
        id: &UpstreamName,
        uncached: u32,
        was_queue_empty: bool,
        elapsed_ms: u64,
    ) {
        if 2_000 <= uncached && was_queue_empty {
            let sample = elapsed_ms as f64 / f64::from(uncached);
            let step = self.prefill_ms_per_token * 0.02;
            self.prefill_ms_per_token +=
                if sample < self.prefill_ms_per_token { -step } else { step };
        }
        self.upstreams.get_mut(id).unwrap().waiting_tokens -= u64::from(uncached);
    }

    pub(crate) fn waiting_tokens(&self, id: &UpstreamName) -> u64 {
        self.upstreams.get(id).map_or(0, |it| it.waiting_tokens)
    }

    pub(crate) fn release(&mut self, id: &UpstreamName, result: AttemptResult) {
        let state = self.upstreams.get_mut(id).unwrap();
        state.n_requests -= 1;
        if !matches!(result, AttemptResult::Full | AttemptResult::Canceled) {
            let failed = if result == AttemptResult::Failed { 1.0 } else { 0.0 };
            state.failure_rate += 0.15 * (failed - state.failure_rate);
        }
    }

    pub(crate) fn record_load(&mut self, id: &UpstreamName, load: ReportedLoad, now_ms: u64) {
        let state = self.upstreams.entry(id.clone()).or_default();
        state.reported = Some((load.n_running + load.n_waiting, now_ms));
    }
}

fn first_in_hash_order(key: u64, pool: &[Upstream], n: usize) -> Vec<usize> {
    let weight = |it: &Upstream| xxh3_64_with_seed(&upstream_hash(&it.entry.id).to_le_bytes(), key);
    let mut order: Vec<_> = (0..pool.len()).collect();
    order.sort_by_key(|it| std::cmp::Reverse(weight(&pool[*it])));
    order.truncate(n);
    order
}

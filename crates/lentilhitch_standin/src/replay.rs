//! Replays a recorded trace with the expected-cost strategy and with the baseline strategies, on simulated engines.
//!
//! A simulated engine processes prompts one after the other at a fixed rate, has a prefix cache with a bounded number
//! of blocks, and generates the tokens of each request at a fixed rate once the request has a slot. Each entry process
//! bases its choices on the requests that it sent itself, on load reports that are made every [`REPORT_INTERVAL_MS`]
//! and arrive [`REPORT_DELAY_MS`] later, and on its own prefix index. Only the seeded baselines use random numbers, so
//! each replay of a trace gives the same figures.

use std::{cmp::Reverse, collections::BinaryHeap, num::NonZeroUsize};

use hdrhistogram::Histogram;
use lru::LruCache;
use rand::{SeedableRng, rngs::SmallRng};
use rustc_hash::{FxBuildHasher, FxHashSet};
use serde::{Deserialize, Serialize};

use lentilhitch_policy::routing::{
    ExpectedCost, LeastReported, Load, PrefixIndex, Random, RequestEstimate, RoundRobin, Strategy,
    TwoChoices, UpstreamView, Weights,
};
use lentilhitch_types::UpstreamName;

use crate::trace::{Arrival, Event, EventKind, Trace};

const BLOCK_TOKENS: u64 = 16;
/// Blocks that the prefix cache of each engine holds.
const CACHE_BLOCKS_MAX: usize = 4_096;
/// Blocks that the prefix index of each entry process holds.
const INDEX_BLOCKS_MAX: usize = 4_096;
const REPORT_INTERVAL_MS: u64 = 500;
const REPORT_DELAY_MS: u64 = 100;
/// Upper limit of the histogram. Longer times are recorded as this value.
const RECORDED_MAX_MS: u64 = 600_000;
/// One-way network latency within a zone.
const SAME_ZONE_NETWORK_MS: f64 = 0.1;
const MS_PER_HOUR: f64 = 3_600_000.0;

/// Result of a trace with one strategy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub strategy: String,
    pub n_requests: usize,
    /// Number of requests for which no engine was available.
    #[serde(rename = "n_refused")]
    pub n_rejected: usize,
    /// Fraction of all requests whose time to the first token is within the target.
    pub within_target: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: f64,
    /// Number of prompt tokens that were processed although an engine had processed them before.
    pub recomputed_tokens: u64,
    /// Price of the time for which requests occupied slots, per 1000 requests within the target.
    pub cost_microusd: f64,
}

/// A simulated engine.
struct Engine {
    /// Time at which the prefill of all assigned requests is finished.
    prefill_end_ms: f64,
    /// End times of the requests that occupy a slot.
    request_ends_ms: BinaryHeap<Reverse<u64>>,
    cache: LruCache<u64, (), FxBuildHasher>,
    price_microusd_per_hour: u64,
    is_leaving: bool,
    /// Load reports with their times, oldest first.
    reports: Vec<(u64, Load)>,
}

/// State on which a simulated entry process bases its choices.
struct EntryProcess {
    prefix_index: PrefixIndex,
    /// Time and prompt tokens of each request that was sent, by engine.
    sent_requests: Vec<Vec<(u64, u64)>>,
}

/// The replay of a trace with one strategy.
struct Simulation<'a> {
    trace: &'a Trace,
    /// Names of the engines.
    engine_names: Vec<UpstreamName>,
    engines: Vec<Engine>,
    entries: Vec<EntryProcess>,
    /// Blocks that any engine has processed.
    processed_blocks: FxHashSet<u64>,
    first_token_ms: Histogram<u64>,
    n_within_target: usize,
    n_rejected: usize,
    n_requests: usize,
    recomputed_tokens: u64,
    cost_microusd: f64,
}

/// Replays a trace with every strategy.
pub fn replay(trace: &Trace) -> anyhow::Result<Vec<Outcome>> {
    let rng = || SmallRng::seed_from_u64(trace.seed);
    let weights = Weights {
        recomputed_token_ms: trace.recomputed_token_ms,
        microusd_ms: trace.microusd_ms,
        ..Weights::default()
    };
    Ok(vec![
        Simulation::new(trace)?.run("random", &mut Random(rng())),
        Simulation::new(trace)?.run("round robin", &mut RoundRobin::default()),
        Simulation::new(trace)?.run("least reported", &mut LeastReported),
        Simulation::new(trace)?.run("two choices", &mut TwoChoices(rng())),
        Simulation::new(trace)?.run("expected cost", &mut ExpectedCost { weights }),
    ])
}

/// Prints the outcomes as a table, and the fraction of requests within the target when the trace was recorded, for
/// comparison with the simulation.
pub fn print(trace: &Trace, outcomes: &[Outcome]) {
    println!(
        "{}: {} engines, target {} ms",
        trace.deployment,
        trace.engines.len(),
        trace.target_ms
    );
    println!(
        "{:15} {:>8} {:>9} {:>12} {:>12} {:>14}",
        "strategy", "within", "p95 ms", "recomputed", "refused", "uUSD/1000 ok"
    );
    for it in outcomes {
        println!(
            "{:15} {:8.3} {:9.0} {:12} {:12} {:14.0}",
            it.strategy,
            it.within_target,
            it.first_token_p95_ms,
            it.recomputed_tokens,
            it.n_rejected,
            it.cost_microusd
        );
    }
    let arrivals = trace
        .events
        .iter()
        .filter_map(|it| if let EventKind::Arrival(it) = &it.kind { Some(it) } else { None });
    let recorded_times: Vec<_> = arrivals.filter_map(|it| it.measured_first_token_ms).collect();
    let n_within_target =
        recorded_times.iter().filter(|it| (**it as f64) <= trace.target_ms).count();
    println!(
        "recorded run: {:.3} of {} within the target\n",
        n_within_target as f64 / recorded_times.len().max(1) as f64,
        recorded_times.len()
    );
}

impl<'a> Simulation<'a> {
    fn new(trace: &'a Trace) -> anyhow::Result<Self> {
        let cache_blocks = NonZeroUsize::new(CACHE_BLOCKS_MAX).unwrap_or(NonZeroUsize::MIN);
        let engine = |it: &crate::trace::Engine| Engine {
            prefill_end_ms: 0.0,
            request_ends_ms: BinaryHeap::new(),
            cache: LruCache::with_hasher(cache_blocks, FxBuildHasher),
            price_microusd_per_hour: it.price_microusd_per_hour,
            is_leaving: false,
            reports: Vec::new(),
        };
        let entry = |_| EntryProcess {
            prefix_index: PrefixIndex::new(INDEX_BLOCKS_MAX),
            sent_requests: vec![Vec::new(); trace.engines.len()],
        };
        let engine_names = (0..trace.engines.len()).map(|it| Ok(format!("engine-{it}").parse()?));
        Ok(Self {
            trace,
            engine_names: engine_names.collect::<anyhow::Result<_>>()?,
            engines: trace.engines.iter().map(engine).collect(),
            entries: (0..trace.n_entries).map(entry).collect(),
            processed_blocks: FxHashSet::default(),
            first_token_ms: Histogram::new_with_bounds(1, RECORDED_MAX_MS, 3)?,
            n_within_target: 0,
            n_rejected: 0,
            n_requests: 0,
            recomputed_tokens: 0,
            cost_microusd: 0.0,
        })
    }

    fn run(mut self, name: &str, strategy: &mut impl Strategy) -> Outcome {
        // Stops and restarts of engines, earliest first: time, engine, and whether it is a restart.
        let mut changes: BinaryHeap<Reverse<(u64, usize, bool)>> = BinaryHeap::new();
        let mut report_at_ms = 0;
        for Event { at_ms, kind } in &self.trace.events {
            while report_at_ms <= *at_ms {
                self.record_load_reports(report_at_ms);
                report_at_ms += REPORT_INTERVAL_MS;
            }
            while changes.peek().is_some_and(|it| it.0.0 <= *at_ms) {
                let Some(Reverse((_, engine, is_restart))) = changes.pop() else { break };
                self.apply_change(engine, is_restart);
            }
            match kind {
                EventKind::Arrival(arrival) => self.on_arrival(*at_ms, arrival, strategy),
                EventKind::Notice { engine, stopped_ms, restarted_ms } => {
                    self.engines[*engine].is_leaving = true;
                    changes.push(Reverse((*stopped_ms, *engine, false)));
                    changes.push(Reverse((*restarted_ms, *engine, true)));
                }
                EventKind::Price { zone, price_microusd_per_hour } => {
                    let zone_engines =
                        (0..self.engines.len()).filter(|it| self.trace.engines[*it].zone == *zone);
                    for engine in zone_engines.collect::<Vec<_>>() {
                        self.engines[engine].price_microusd_per_hour = *price_microusd_per_hour;
                    }
                }
            }
        }
        Outcome {
            strategy: name.to_owned(),
            n_requests: self.n_requests,
            n_rejected: self.n_rejected,
            within_target: self.n_within_target as f64 / self.n_requests.max(1) as f64,
            first_token_p95_ms: self.first_token_ms.value_at_quantile(0.95) as f64,
            recomputed_tokens: self.recomputed_tokens,
            cost_microusd: self.cost_microusd / self.n_within_target.max(1) as f64 * 1000.0,
        }
    }

    /// Applies a stop or a restart of an engine, which loses its cache and its requests.
    fn apply_change(&mut self, engine: usize, is_restart: bool) {
        let it = &mut self.engines[engine];
        it.cache.clear();
        it.request_ends_ms.clear();
        it.prefill_end_ms = 0.0;
        it.is_leaving = !is_restart;
        for entry in &mut self.entries {
            entry.prefix_index.remove_upstream(&self.engine_names[engine]);
        }
    }

    /// Records a load report of each engine.
    fn record_load_reports(&mut self, at_ms: u64) {
        for (it, settings) in self.engines.iter_mut().zip(&self.trace.engines) {
            while it.request_ends_ms.peek().is_some_and(|end| end.0 <= at_ms) {
                it.request_ends_ms.pop();
            }
            let queued_ms = (it.prefill_end_ms - at_ms as f64).max(0.0);
            let load = Load {
                n_requests: it.request_ends_ms.len() as u32,
                queued_prompt_tokens: (queued_ms * settings.prefill_tokens_per_s / 1000.0) as u64,
                prefill_tokens_per_s: settings.prefill_tokens_per_s,
                slots: settings.slots,
            };
            it.reports.push((at_ms, load));
        }
    }

    /// Chooses an engine for a request and simulates the request.
    fn on_arrival(&mut self, at_ms: u64, arrival: &Arrival, strategy: &mut impl Strategy) {
        self.n_requests += 1;
        let blocks = blocks(arrival, self.n_requests as u64);
        let available: Vec<_> =
            (0..self.engines.len()).filter(|it| !self.engines[*it].is_leaving).collect();
        let views: Vec<_> =
            available.iter().map(|it| self.upstream_view(at_ms, arrival, &blocks, *it)).collect();
        let estimate = RequestEstimate {
            prompt_tokens: arrival.prompt_tokens,
            first_token_target_ms: self.trace.target_ms,
            duration_ms: arrival.output_tokens as f64 * 10.0,
        };
        let Some(chosen) = strategy.choose(&estimate, &views) else {
            self.n_rejected += 1;
            return;
        };
        let engine = available[chosen];
        let entry = &mut self.entries[arrival.entry];
        entry.prefix_index.insert(&self.engine_names[engine], &blocks);
        entry.sent_requests[engine].push((at_ms, arrival.prompt_tokens));
        self.simulate_request(at_ms, arrival, &blocks, engine, views[chosen].network_ms);
    }

    /// Returns the state of an engine as known to the entry process that received the request.
    fn upstream_view(
        &self,
        at_ms: u64,
        arrival: &Arrival,
        blocks: &[u64],
        engine: usize,
    ) -> UpstreamView {
        let it = &self.engines[engine];
        let last_report = it.reports.iter().rev().find(|it| it.0 + REPORT_DELAY_MS <= at_ms);
        let (reported_ms, load) = last_report
            .copied()
            .unwrap_or((0, Load { prefill_tokens_per_s: 8_000.0, slots: 64, ..Load::default() }));
        let entry = &self.entries[arrival.entry];
        let sent_since =
            entry.sent_requests[engine].iter().rev().take_while(|it| reported_ms <= it.0);
        let (n_sent, n_tokens_sent) = sent_since.fold((0, 0), |sum, it| (sum.0 + 1, sum.1 + it.1));
        let cached_fraction =
            entry.prefix_index.cached_fraction(&self.engine_names[engine], blocks);
        let is_same_zone = self.trace.engines[engine].zone == arrival.entry;
        UpstreamView {
            load,
            n_sent_since_report: n_sent,
            prompt_tokens_sent_since_report: n_tokens_sent,
            cached_tokens: (cached_fraction * arrival.prompt_tokens as f64) as u64,
            network_ms: if is_same_zone { SAME_ZONE_NETWORK_MS } else { self.trace.network_ms },
            price_microusd_per_hour: it.price_microusd_per_hour,
            reclaims_per_hour: 0.0,
        }
    }

    /// Simulates a request on an engine and adds its results to the totals.
    fn simulate_request(
        &mut self,
        at_ms: u64,
        arrival: &Arrival,
        blocks: &[u64],
        engine: usize,
        network_ms: f64,
    ) {
        let settings = &self.trace.engines[engine];
        let it = &mut self.engines[engine];
        while it.request_ends_ms.peek().is_some_and(|end| end.0 <= at_ms) {
            it.request_ends_ms.pop();
        }
        let mut start_ms = at_ms as f64 + network_ms;
        if settings.slots as usize <= it.request_ends_ms.len()
            && let Some(Reverse(free_ms)) = it.request_ends_ms.pop()
        {
            start_ms = start_ms.max(free_ms as f64);
        }
        let n_cached = blocks.iter().take_while(|block| it.cache.contains(*block)).count() as u64
            * BLOCK_TOKENS;
        let n_uncached = arrival.prompt_tokens.saturating_sub(n_cached);
        let n_processed =
            blocks.iter().take_while(|block| self.processed_blocks.contains(*block)).count() as u64
                * BLOCK_TOKENS;
        self.recomputed_tokens += n_processed.saturating_sub(n_cached);
        let prefill_ms = n_uncached as f64 / settings.prefill_tokens_per_s * 1000.0;
        it.prefill_end_ms = it.prefill_end_ms.max(start_ms) + prefill_ms;
        let first_token_at_ms = it.prefill_end_ms + settings.decode_ms + network_ms;
        let end_ms = it.prefill_end_ms + settings.decode_ms * arrival.output_tokens as f64;
        it.request_ends_ms.push(Reverse(end_ms as u64));
        for block in blocks {
            it.cache.put(*block, ());
            self.processed_blocks.insert(*block);
        }
        let first_token_ms = first_token_at_ms - at_ms as f64;
        self.first_token_ms.saturating_record(first_token_ms as u64);
        self.n_within_target += usize::from(first_token_ms <= self.trace.target_ms);
        let slot_hours = (end_ms - start_ms) / MS_PER_HOUR / f64::from(settings.slots);
        self.cost_microusd += it.price_microusd_per_hour as f64 * slot_hours;
    }
}

/// Returns the block hashes of a prompt: first the blocks of its conversation, then those of this request only.
fn blocks(arrival: &Arrival, request: u64) -> Vec<u64> {
    let n_shared = arrival.shared_tokens / BLOCK_TOKENS;
    let n_blocks = arrival.prompt_tokens / BLOCK_TOKENS;
    let request_bits = 1 << 62 | request << 16;
    (0..n_blocks)
        .map(|it| if it < n_shared { arrival.conversation << 32 | it } else { request_bits | it })
        .collect()
}

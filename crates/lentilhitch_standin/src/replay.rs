//! Runs a recorded trace through the routing decisions, ours and the baselines, with engines that are plain arithmetic.
//!
//! An engine computes prompts one after the other at a fixed rate, holds a bounded prefix cache by blocks, and decodes
//! each request at a fixed pace once it has a slot. Each entry process knows what it sent itself, load reports that are
//! [`REPORT_EVERY_MS`] apart and [`REPORT_LAG_MS`] late, and its own prefix index. Nothing is random but the seeded
//! baselines, so a run gives the same figures each time.

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

use crate::trace::{Arrival, Event, Kind, Trace};

const BLOCK_TOKENS: u64 = 16;
const CACHE_BLOCKS_MAX: usize = 4_096;
const INDEX_BLOCKS_MAX: usize = 4_096;
const REPORT_EVERY_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 100;
const LONGEST_MS: u64 = 600_000;
const OWN_ZONE_NETWORK_MS: f64 = 0.1;
const MS_PER_HOUR: f64 = 3_600_000.0;

/// What a strategy made of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub strategy: String,
    pub n_requests: usize,
    pub n_refused: usize,
    /// Share of all requests with the first token within the target.
    pub within_target: f64,
    pub first_token_p95_ms: f64,
    /// Prompt tokens computed although an engine had computed them before.
    pub recomputed_tokens: u64,
    /// Price of the slots' time, for each 1000 requests within the target.
    pub cost_microusd: f64,
}

/// An engine as arithmetic.
struct Engine {
    prefill_free_ms: f64,
    /// Ends of the requests that hold a slot.
    running: BinaryHeap<Reverse<u64>>,
    cache: LruCache<u64, (), FxBuildHasher>,
    price_microusd_per_hour: u64,
    is_leaving: bool,
    /// What it reported, and when: newest last.
    reports: Vec<(u64, Load)>,
}

/// What one entry process knows.
struct Knowledge {
    index: PrefixIndex,
    /// Sent to each engine: time and prompt tokens.
    sent: Vec<Vec<(u64, u64)>>,
}

struct Run<'a> {
    trace: &'a Trace,
    names: Vec<UpstreamName>,
    engines: Vec<Engine>,
    entries: Vec<Knowledge>,
    seen_blocks: FxHashSet<u64>,
    first_token_ms: Histogram<u64>,
    n_within: usize,
    n_refused: usize,
    n_requests: usize,
    recomputed_tokens: u64,
    cost_microusd: f64,
}

/// Runs a trace with every strategy.
pub fn replay(trace: &Trace) -> anyhow::Result<Vec<Outcome>> {
    let rng = || SmallRng::seed_from_u64(trace.seed);
    let weights = Weights {
        recomputed_token_ms: trace.recomputed_token_ms,
        microusd_ms: trace.microusd_ms,
        ..Weights::default()
    };
    Ok(vec![
        Run::new(trace)?.run("random", &mut Random(rng())),
        Run::new(trace)?.run("round robin", &mut RoundRobin::default()),
        Run::new(trace)?.run("least reported", &mut LeastReported),
        Run::new(trace)?.run("two choices", &mut TwoChoices(rng())),
        Run::new(trace)?.run("expected cost", &mut ExpectedCost { weights }),
    ])
}

/// Prints outcomes as a table, and how the arithmetic compares with what was seen when the trace was recorded.
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
            it.n_refused,
            it.cost_microusd
        );
    }
    let arrivals = trace
        .events
        .iter()
        .filter_map(|it| if let Kind::Arrival(it) = &it.kind { Some(it) } else { None });
    let seen: Vec<_> = arrivals.filter_map(|it| it.seen_first_token_ms).collect();
    let n_within = seen.iter().filter(|it| (**it as f64) <= trace.target_ms).count();
    println!(
        "recorded run: {:.3} of {} within the target\n",
        n_within as f64 / seen.len().max(1) as f64,
        seen.len()
    );
}

impl<'a> Run<'a> {
    fn new(trace: &'a Trace) -> anyhow::Result<Self> {
        let cache_blocks = NonZeroUsize::new(CACHE_BLOCKS_MAX).unwrap_or(NonZeroUsize::MIN);
        let engine = |it: &crate::trace::Engine| Engine {
            prefill_free_ms: 0.0,
            running: BinaryHeap::new(),
            cache: LruCache::with_hasher(cache_blocks, FxBuildHasher),
            price_microusd_per_hour: it.price_microusd_per_hour,
            is_leaving: false,
            reports: Vec::new(),
        };
        let knowledge = |_| Knowledge {
            index: PrefixIndex::new(INDEX_BLOCKS_MAX),
            sent: vec![Vec::new(); trace.engines.len()],
        };
        let names = (0..trace.engines.len()).map(|it| Ok(format!("engine-{it}").parse()?));
        Ok(Self {
            trace,
            names: names.collect::<anyhow::Result<_>>()?,
            engines: trace.engines.iter().map(engine).collect(),
            entries: (0..trace.n_entries).map(knowledge).collect(),
            seen_blocks: FxHashSet::default(),
            first_token_ms: Histogram::new_with_bounds(1, LONGEST_MS, 3)?,
            n_within: 0,
            n_refused: 0,
            n_requests: 0,
            recomputed_tokens: 0,
            cost_microusd: 0.0,
        })
    }

    fn run(mut self, name: &str, strategy: &mut impl Strategy) -> Outcome {
        // What happens to engines, in the order of time: (time, engine, whether it is back).
        let mut changes: BinaryHeap<Reverse<(u64, usize, bool)>> = BinaryHeap::new();
        let mut report_at_ms = 0;
        for Event { at_ms, kind } in &self.trace.events {
            while report_at_ms <= *at_ms {
                self.report(report_at_ms);
                report_at_ms += REPORT_EVERY_MS;
            }
            while changes.peek().is_some_and(|it| it.0.0 <= *at_ms) {
                let Some(Reverse((_, engine, is_back))) = changes.pop() else { break };
                self.change(engine, is_back);
            }
            match kind {
                Kind::Arrival(arrival) => self.arrive(*at_ms, arrival, strategy),
                Kind::Notice { engine, gone_ms, back_ms } => {
                    self.engines[*engine].is_leaving = true;
                    changes.push(Reverse((*gone_ms, *engine, false)));
                    changes.push(Reverse((*back_ms, *engine, true)));
                }
                Kind::Price { zone, price_microusd_per_hour } => {
                    let of_zone =
                        (0..self.engines.len()).filter(|it| self.trace.engines[*it].zone == *zone);
                    for engine in of_zone.collect::<Vec<_>>() {
                        self.engines[engine].price_microusd_per_hour = *price_microusd_per_hour;
                    }
                }
            }
        }
        Outcome {
            strategy: name.to_owned(),
            n_requests: self.n_requests,
            n_refused: self.n_refused,
            within_target: self.n_within as f64 / self.n_requests.max(1) as f64,
            first_token_p95_ms: self.first_token_ms.value_at_quantile(0.95) as f64,
            recomputed_tokens: self.recomputed_tokens,
            cost_microusd: self.cost_microusd / self.n_within.max(1) as f64 * 1000.0,
        }
    }

    fn change(&mut self, engine: usize, is_back: bool) {
        let it = &mut self.engines[engine];
        it.cache.clear();
        it.running.clear();
        it.prefill_free_ms = 0.0;
        it.is_leaving = !is_back;
        for entry in &mut self.entries {
            entry.index.remove_upstream(&self.names[engine]);
        }
    }

    fn report(&mut self, at_ms: u64) {
        for (it, settings) in self.engines.iter_mut().zip(&self.trace.engines) {
            while it.running.peek().is_some_and(|end| end.0 <= at_ms) {
                it.running.pop();
            }
            let queued_ms = (it.prefill_free_ms - at_ms as f64).max(0.0);
            let load = Load {
                n_requests: it.running.len() as u32,
                queued_prompt_tokens: (queued_ms * settings.prefill_tokens_per_s / 1000.0) as u64,
                prefill_tokens_per_s: settings.prefill_tokens_per_s,
                slots: settings.slots,
            };
            it.reports.push((at_ms, load));
        }
    }

    fn arrive(&mut self, at_ms: u64, arrival: &Arrival, strategy: &mut impl Strategy) {
        self.n_requests += 1;
        let blocks = blocks(arrival, self.n_requests as u64);
        let open: Vec<_> =
            (0..self.engines.len()).filter(|it| !self.engines[*it].is_leaving).collect();
        let views: Vec<_> = open.iter().map(|it| self.view(at_ms, arrival, &blocks, *it)).collect();
        let job = RequestEstimate {
            prompt_tokens: arrival.prompt_tokens,
            first_token_target_ms: self.trace.target_ms,
            duration_ms: arrival.output_tokens as f64 * 10.0,
        };
        let Some(chosen) = strategy.choose(&job, &views) else {
            self.n_refused += 1;
            return;
        };
        let engine = open[chosen];
        let knowledge = &mut self.entries[arrival.entry];
        knowledge.index.insert(&self.names[engine], &blocks);
        knowledge.sent[engine].push((at_ms, arrival.prompt_tokens));
        self.serve(at_ms, arrival, &blocks, engine, views[chosen].network_ms);
    }

    fn view(&self, at_ms: u64, arrival: &Arrival, blocks: &[u64], engine: usize) -> UpstreamView {
        let it = &self.engines[engine];
        let known = it.reports.iter().rev().find(|it| it.0 + REPORT_LAG_MS <= at_ms);
        let (reported_ms, load) = known
            .copied()
            .unwrap_or((0, Load { prefill_tokens_per_s: 8_000.0, slots: 64, ..Load::default() }));
        let knowledge = &self.entries[arrival.entry];
        let since = knowledge.sent[engine].iter().rev().take_while(|it| reported_ms <= it.0);
        let (n_sent, tokens_sent) = since.fold((0, 0), |sum, it| (sum.0 + 1, sum.1 + it.1));
        let share = knowledge.index.cached_fraction(&self.names[engine], blocks);
        let is_own_zone = self.trace.engines[engine].zone == arrival.entry;
        UpstreamView {
            load,
            n_sent_since_report: n_sent,
            prompt_tokens_sent_since_report: tokens_sent,
            cached_tokens: (share * arrival.prompt_tokens as f64) as u64,
            network_ms: if is_own_zone { OWN_ZONE_NETWORK_MS } else { self.trace.network_ms },
            price_microusd_per_hour: it.price_microusd_per_hour,
            reclaims_per_hour: 0.0,
        }
    }

    /// The engine's arithmetic.
    fn serve(
        &mut self,
        at_ms: u64,
        arrival: &Arrival,
        blocks: &[u64],
        engine: usize,
        network_ms: f64,
    ) {
        let settings = &self.trace.engines[engine];
        let it = &mut self.engines[engine];
        while it.running.peek().is_some_and(|end| end.0 <= at_ms) {
            it.running.pop();
        }
        let mut begin_ms = at_ms as f64 + network_ms;
        if settings.slots as usize <= it.running.len()
            && let Some(Reverse(free_ms)) = it.running.pop()
        {
            begin_ms = begin_ms.max(free_ms as f64);
        }
        let n_cached = blocks.iter().take_while(|block| it.cache.contains(*block)).count() as u64
            * BLOCK_TOKENS;
        let n_uncached = arrival.prompt_tokens.saturating_sub(n_cached);
        let n_seen = blocks.iter().take_while(|block| self.seen_blocks.contains(*block)).count()
            as u64
            * BLOCK_TOKENS;
        self.recomputed_tokens += n_seen.saturating_sub(n_cached);
        let prefill_ms = n_uncached as f64 / settings.prefill_tokens_per_s * 1000.0;
        it.prefill_free_ms = it.prefill_free_ms.max(begin_ms) + prefill_ms;
        let first_ms = it.prefill_free_ms + settings.decode_ms + network_ms;
        let end_ms = it.prefill_free_ms + settings.decode_ms * arrival.output_tokens as f64;
        it.running.push(Reverse(end_ms as u64));
        for block in blocks {
            it.cache.put(*block, ());
            self.seen_blocks.insert(*block);
        }
        let first_token_ms = first_ms - at_ms as f64;
        self.first_token_ms.saturating_record(first_token_ms as u64);
        self.n_within += usize::from(first_token_ms <= self.trace.target_ms);
        let slot_hours = (end_ms - begin_ms) / MS_PER_HOUR / f64::from(settings.slots);
        self.cost_microusd += it.price_microusd_per_hour as f64 * slot_hours;
    }
}

/// Block hashes of a prompt: those of its conversation first, then its own.
fn blocks(arrival: &Arrival, request: u64) -> Vec<u64> {
    let n_shared = arrival.shared_tokens / BLOCK_TOKENS;
    let n_blocks = arrival.prompt_tokens / BLOCK_TOKENS;
    let own = 1 << 62 | request << 16;
    (0..n_blocks)
        .map(|it| if it < n_shared { arrival.conversation << 32 | it } else { own | it })
        .collect()
}

//! Simulated engines on machines of uneven and changing pace, and nodes that know figures of some age.

use std::collections::VecDeque;

use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};
use rustc_hash::FxHashSet;

use lentilhitch_policy::{
    catalog::Upstream,
    placement::{Assignment, AttemptResult, LoadTable, Prompt, ReportedLoad, Settings},
};
use lentilhitch_types::SegmentId;

use crate::{prompt, upstreams};

pub(crate) const N_NODES: usize = 75;
pub(crate) const N_ENGINES: usize = 112;
const SLOTS: u32 = 14;
const QUEUE_MAX: usize = 25;
/// Prompt tokens that an engine reads per millisecond, and at most in one step.
const PREFILL_TOKENS_PER_MS: f64 = 70.0;
const CHUNK_TOKENS: u32 = 512;
/// Duration of a decode step, and what each running request adds to it, in milliseconds at the usual pace.
const STEP_MS: f64 = 2.8;
const STEP_PER_REQUEST_MS: f64 = 0.1;
const WARM_UP_MS: u64 = 3_000;
const DURATION_MS: u64 = 13_000;

/// Kind of requests: shared and own prompt tokens, output tokens, share of the requests, latency objective.
const KINDS: [(u32, u32, u64, f64, u64); 3] =
    [(5_382, 6_610, 390, 0.25, 1_600), (198, 628, 290, 0.3, 550), (568, 1_800, 25, 0.45, 650)];

/// How the nodes learn the figures of the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// From the responses to their own requests.
    OwnResponses,
    /// Each node gets the figures of all engines in this interval.
    Every(u64),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) seed: u64,
    pub(crate) requests_per_ms: f64,
    /// Time constant of the changing part of the pace.
    pub(crate) pace_change_ms: f64,
    pub(crate) source: Source,
}

struct Run {
    node: usize,
    assignment: Assignment,
    prefix: SegmentId,
    shared_tokens: u32,
    prefill_left: u32,
    output_left: u64,
    sent_ms: u64,
    objective_ms: u64,
}

struct Engine {
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    cached: FxHashSet<SegmentId>,
    busy_until_ms: f64,
    /// Constant and changing part of the logarithm of the pace.
    constant: f64,
    changing: f64,
}

impl Engine {
    fn factor(&self) -> f64 {
        (self.constant + self.changing).exp()
    }

    fn load(&self) -> ReportedLoad {
        ReportedLoad {
            n_running: self.running.len() as u32,
            n_waiting: self.waiting.len() as u32,
            slots: Some(SLOTS),
            pace: Some((100.0 * self.factor()).round()),
        }
    }

    /// Runs one step if it is due: one token of each request after its prompt, and a chunk of the first prompt. Returns
    /// `None` if it is not due or nothing runs.
    fn step(&mut self, now_ms: u64) -> Option<Step> {
        if (now_ms as f64) < self.busy_until_ms {
            return None;
        }
        while self.running.len() < SLOTS as usize
            && let Some(mut run) = self.waiting.pop_front()
        {
            if !self.cached.insert(run.prefix) {
                run.prefill_left -= run.shared_tokens;
            }
            self.running.push(run);
        }
        if self.running.is_empty() {
            return None;
        }
        let mut step = Step::default();
        for run in self.running.iter_mut().filter(|it| it.prefill_left == 0) {
            run.output_left = run.output_left.saturating_sub(1);
        }
        let mut n_chunk_tokens = 0;
        if let Some(idx) = self.running.iter().position(|it| 0 < it.prefill_left) {
            let run = &mut self.running[idx];
            n_chunk_tokens = run.prefill_left.min(CHUNK_TOKENS);
            run.prefill_left -= n_chunk_tokens;
            step.first_token = (run.prefill_left == 0).then_some(idx);
        }
        let duration_ms = STEP_MS
            + STEP_PER_REQUEST_MS * self.running.len() as f64
            + f64::from(n_chunk_tokens) / PREFILL_TOKENS_PER_MS;
        self.busy_until_ms = now_ms as f64 + self.factor() * duration_ms;
        Some(step)
    }
}

#[derive(Default)]
struct Step {
    first_token: Option<usize>,
}

/// Result of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    /// Share of requests whose first token came within the latency objective. Full engines count as late.
    pub(crate) share_in_time: f64,
    /// Root mean square of the difference between the logarithms of the estimated and the actual pace, over all nodes and
    /// engines. 0 if paces are not read.
    pub(crate) pace_error: f64,
}

pub(crate) fn simulate(load: Load, settings: Settings) -> Outcome {
    let upstreams = upstreams(N_ENGINES, "draft", SLOTS);
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let mut engines: Vec<_> = (0..N_ENGINES)
        .map(|_| Engine {
            running: Vec::new(),
            waiting: VecDeque::new(),
            cached: FxHashSet::default(),
            busy_until_ms: 0.0,
            constant: 0.25 * normal(&mut rng),
            changing: 0.4 * normal(&mut rng),
        })
        .collect();
    let mut nodes: Vec<_> = (0..N_NODES)
        .map(|it| {
            let table = LoadTable::new(settings, "a".parse().unwrap());
            (table, SmallRng::seed_from_u64(load.seed + it as u64))
        })
        .collect();
    let (mut n_sent, mut n_in_time) = (0_u64, 0_u64);
    let (mut n_estimates, mut squares) = (0_u64, 0.0);
    for now_ms in 0..DURATION_MS {
        let keep = (-1.0 / load.pace_change_ms).exp();
        for engine in &mut engines {
            let noise = 0.4 * (1.0 - keep * keep).sqrt() * normal(&mut rng);
            engine.changing = keep * engine.changing + noise;
            run_engine(engine, &mut nodes, &upstreams, now_ms, &mut n_in_time);
        }
        exchange(&mut nodes, &engines, &upstreams, load.source, now_ms);
        // The order of nodes and engines is fixed, so that measuring draws no random numbers.
        let (node, engine) = (now_ms as usize % N_NODES, now_ms as usize * 37 % N_ENGINES);
        let estimate = nodes[node].0.explain(None, &[&upstreams[engine]], now_ms)[0].pace;
        if let Some(it) = estimate.filter(|_| WARM_UP_MS <= now_ms) {
            n_estimates += 1;
            squares += (it / 100.0 / engines[engine].factor()).ln().powi(2);
        }
        let mut due = load.requests_per_ms;
        while rng.random_bool(due.min(1.0)) {
            due -= 1.0;
            let counted = WARM_UP_MS <= now_ms;
            n_sent += u64::from(counted);
            send(&mut nodes, &mut engines, &upstreams, now_ms, &mut rng);
            if due <= 0.0 {
                break;
            }
        }
    }
    let pace_error = (squares / n_estimates.max(1) as f64).sqrt();
    Outcome { share_in_time: n_in_time as f64 / n_sent as f64, pace_error }
}

fn run_engine(
    engine: &mut Engine,
    nodes: &mut [(LoadTable, SmallRng)],
    upstreams: &[Upstream],
    now_ms: u64,
    n_in_time: &mut u64,
) {
    let Some(step) = engine.step(now_ms) else { return };
    let end_ms = engine.busy_until_ms as u64;
    let load = engine.load();
    if let Some(idx) = step.first_token {
        let run = &mut engine.running[idx];
        let table = &mut nodes[run.node].0;
        learn(table, &run.assignment, load, upstreams, end_ms);
        table.record_first_token(&run.assignment, end_ms - run.sent_ms);
        table.on_response_start(&mut run.assignment);
        let in_time = end_ms - run.sent_ms <= run.objective_ms;
        *n_in_time += u64::from(in_time && WARM_UP_MS <= run.sent_ms);
    }
    for run in engine.running.extract_if(.., |it| it.prefill_left == 0 && it.output_left == 0) {
        nodes[run.node].0.release(run.assignment, AttemptResult::Served, end_ms);
    }
}

fn learn(
    table: &mut LoadTable,
    assignment: &Assignment,
    load: ReportedLoad,
    upstreams: &[Upstream],
    now_ms: u64,
) {
    let idx: usize = assignment.upstream.as_str()[1..].parse().unwrap();
    table.record_load(&assignment.upstream, load, now_ms);
    table.record_pace(&upstreams[idx].entry, load.pace.unwrap(), now_ms);
}

/// Exchanges the requests in progress between nodes once a second, and the figures of the engines as `source` states.
fn exchange(
    nodes: &mut [(LoadTable, SmallRng)],
    engines: &[Engine],
    upstreams: &[Upstream],
    source: Source,
    now_ms: u64,
) {
    for from in 0..N_NODES {
        if now_ms % 1_000 != from as u64 * 1_000 / N_NODES as u64 {
            continue;
        }
        let report = nodes[from].0.report();
        for (to, (table, _)) in nodes.iter_mut().enumerate() {
            if to != from {
                table.on_peer_report(from as u64, report.clone(), now_ms);
            }
        }
    }
    let Source::Every(interval_ms) = source else { return };
    for (idx, (table, _)) in nodes.iter_mut().enumerate() {
        if now_ms % interval_ms == idx as u64 * interval_ms / N_NODES as u64 {
            for (engine, upstream) in engines.iter().zip(upstreams) {
                let load = engine.load();
                table.record_load(&upstream.entry.id, load, now_ms);
                table.record_pace(&upstream.entry, load.pace.unwrap(), now_ms);
            }
        }
    }
}

fn send(
    nodes: &mut [(LoadTable, SmallRng)],
    engines: &mut [Engine],
    upstreams: &[Upstream],
    now_ms: u64,
    rng: &mut SmallRng,
) {
    let mut draw: f64 = rng.random();
    let kind = KINDS.iter().find(|it| {
        draw -= it.3;
        draw < 0.0
    });
    let (shared, own, output, _, objective_ms) = *kind.unwrap_or(&KINDS[2]);
    let prefix = u64::from(shared) * 1_000 + rng.random_range(0..40);
    let request = Prompt { output_tokens_max: output, ..prompt(prefix, shared, rng.random(), own) };
    let node = rng.random_range(0..N_NODES);
    let (table, node_rng) = &mut nodes[node];
    let assignment = table.assign(Some(&request), upstreams.iter(), &[], now_ms, node_rng).unwrap();
    let idx: usize = assignment.upstream.as_str()[1..].parse().unwrap();
    let engine = &mut engines[idx];
    if QUEUE_MAX <= engine.waiting.len() {
        table.release(assignment, AttemptResult::Full, now_ms);
        return;
    }
    engine.waiting.push_back(Run {
        node,
        assignment,
        prefix: SegmentId(prefix),
        shared_tokens: shared,
        prefill_left: shared + own,
        output_left: output,
        sent_ms: now_ms,
        objective_ms,
    });
}

/// Returns a value of a distribution close to the standard normal one (sum of uniform ones).
fn normal(rng: &mut impl Rng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

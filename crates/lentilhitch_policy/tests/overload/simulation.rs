//! A simulation of nodes, model engines and clients, for the load tests of load shedding.
//!
//! An engine has slots, a queue of [`QUEUE_MAX`] that it serves by priority, and steps: each step decodes one token of
//! each running request and reads a chunk of prompt tokens that the requests being read share. Nodes choose engines with
//! their load tables and receive the loads of the others once in [`REPORT_INTERVAL_MS`]. Clients whose request was
//! rejected return after `Retry-After` until their deadline. Results count from the first arrival.

use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};
use rustc_hash::FxBuildHasher;

use lentilhitch_policy::{
    catalog::{Catalog, Settings as CatalogSettings, Upstream},
    overload::{self, Decision, Overload, Request},
    placement::{self, Assignment, AttemptResult, LoadTable, Prompt, PromptSegment},
    traffic::{EntryState, UpstreamEntry},
};
use lentilhitch_types::{LogPosition, SegmentId, SoftwareVersion, TeamName};

/// Kind of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) shared_tokens: u32,
    pub(crate) own_tokens: u32,
    pub(crate) events: (u32, u32),
    pub(crate) per_s: f64,
    pub(crate) target_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) priority: u8,
}

/// What happens in a simulation, over the time from `from_ms` to `to_ms`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Fraction of the engines that are lost.
    pub(crate) lost_engines: f64,
    /// Rates of the kinds as multiples of the usual ones.
    pub(crate) rates: [f64; 3],
    /// Multiple of the usual rate of team 0.
    pub(crate) team_rate: f64,
    /// Whether all nodes restart at `from_ms`.
    pub(crate) restart: bool,
    /// Whether half of the nodes do not receive the reports of the others.
    pub(crate) partition: bool,
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
}

/// The decision of a node.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Rule {
    /// Order of arrival, and a random time to return.
    Former,
    Overload(overload::Settings),
}

/// Results of the requests of a kind or team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Results {
    pub(crate) n: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    /// Requests that were never served.
    pub(crate) unserved: u32,
    pub(crate) rejections: u32,
    /// Rejections while an engine that the request could use had a free slot.
    pub(crate) rejections_with_free_slot: u32,
    /// Requests that were rejected, came back and were served.
    pub(crate) came_back: u32,
}

impl Results {
    pub(crate) fn add(&mut self, other: &Self) {
        self.n += other.n;
        self.in_time += other.in_time;
        self.late += other.late;
        self.unserved += other.unserved;
        self.rejections += other.rejections;
        self.rejections_with_free_slot += other.rejections_with_free_slot;
        self.came_back += other.came_back;
    }

    /// Returns the results per request as a row of a table: in time, late, unserved, rejections, rejections while a slot
    /// was free, came back and served.
    pub(crate) fn row(&self) -> String {
        let counts = [
            self.in_time,
            self.late,
            self.unserved,
            self.rejections,
            self.rejections_with_free_slot,
            self.came_back,
        ];
        counts.map(|it| format!("{:.3}", f64::from(it) / f64::from(self.n))).join(" | ")
    }
}

const N_ENGINES: usize = 26;
const N_NODES: usize = 8;
const N_TEAMS: usize = 16;
const SLOTS: u32 = 14;
const QUEUE_MAX: usize = 25;
const CHUNK_TOKENS: f64 = 512.0;
const PREFILL_TOKENS_PER_MS: f64 = 70.0;
const DECODE_MS: f64 = 2.8;
const DECODE_MS_PER_REQUEST: f64 = 0.05;
const TOKENS_PER_EVENT: u32 = 9;
const REPORT_INTERVAL_MS: u64 = 1_000;
const ATTEMPTS_MAX: u32 = 3;
const SESSIONS: u64 = 30;
const TICK_MS: u64 = 5;
const SEGMENTS_MAX: std::num::NonZeroUsize = std::num::NonZeroUsize::new(64).unwrap();
/// Rates of the kinds are those of about 100 engines.
const RATE_SCALE: f64 = N_ENGINES as f64 / 100.0;

#[derive(Clone, Debug)]
struct Client {
    kind: usize,
    team: usize,
    prompt: Prompt,
    n_events: u32,
    arrived_ms: u64,
    returned: bool,
}

#[derive(Debug)]
struct Run {
    client: Client,
    node: usize,
    assignment: Assignment,
    sent_ms: u64,
    seq: u64,
    unread: f64,
    tokens_left: u32,
    first_event_ms: Option<u64>,
}

struct Engine {
    running: Vec<Run>,
    queue: Vec<Run>,
    segments: lru::LruCache<SegmentId, (), FxBuildHasher>,
    next_ms: f64,
    is_lost: bool,
}

struct Node {
    load_table: LoadTable,
    overload: Overload,
    rng: SmallRng,
    retry_budget: f64,
}

pub(crate) struct Simulation {
    kinds: [Kind; 3],
    load: Load,
    rule: Rule,
    upstreams: Vec<Upstream>,
    engines: Vec<Engine>,
    nodes: Vec<Node>,
    teams: Vec<TeamName>,
    returning: Vec<(u64, Client)>,
    rng: SmallRng,
    n_sent: u64,
    pub(crate) by_kind: [Results; 3],
    pub(crate) by_team: [Results; N_TEAMS],
}

fn upstreams() -> Vec<Upstream> {
    let mut catalog = Catalog::new(CatalogSettings::default());
    for idx in 0..N_ENGINES {
        let entry = UpstreamEntry {
            id: format!("u{idx}").parse().unwrap(),
            service: "draft".parse().unwrap(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: "a".parse().unwrap(),
            state: EntryState::Ready,
            slots: SLOTS,
            started_ms: 1,
            is_spot: false,
            version: SoftwareVersion::default(),
            leaves_in_ms: None,
        };
        catalog.insert(entry, LogPosition::from(idx as u64 + 1), 0);
    }
    let mut upstreams: Vec<_> = catalog.iter().cloned().collect();
    upstreams.sort_by_key(|it| it.entry.id.as_str()[1..].parse::<usize>().unwrap());
    upstreams
}

impl Simulation {
    pub(crate) fn new(kinds: [Kind; 3], load: Load, rule: Rule, seed: u64) -> Self {
        let segments = || lru::LruCache::with_hasher(SEGMENTS_MAX, FxBuildHasher);
        let engine = |_| Engine {
            running: Vec::new(),
            queue: Vec::new(),
            segments: segments(),
            next_ms: 0.0,
            is_lost: false,
        };
        Self {
            kinds,
            load,
            rule,
            upstreams: upstreams(),
            engines: (0..N_ENGINES).map(engine).collect(),
            nodes: (0..N_NODES).map(|it| Node::new(rule, seed + it as u64)).collect(),
            teams: (0..N_TEAMS).map(|it| format!("t{it}").parse().unwrap()).collect(),
            returning: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            n_sent: 0,
            by_kind: Default::default(),
            by_team: Default::default(),
        }
    }

    /// Runs the simulation until `end_ms` and then until all requests have ended.
    pub(crate) fn run(&mut self, end_ms: u64) {
        let drained_ms = end_ms + 15_000;
        for now_ms in (0..drained_ms).step_by(TICK_MS as usize) {
            let is_active = (self.load.from_ms..self.load.to_ms).contains(&now_ms);
            let n_lost = if is_active { self.load.lost_engines * N_ENGINES as f64 } else { 0.0 };
            for idx in 0..N_ENGINES {
                self.set_lost(idx, (idx as f64) < n_lost, now_ms);
            }
            if self.load.restart && now_ms == self.load.from_ms {
                self.restart_nodes();
            }
            self.report(is_active && self.load.partition, now_ms);
            for idx in 0..N_ENGINES {
                while self.engines[idx].next_ms <= now_ms as f64 {
                    self.step(idx, now_ms);
                }
            }
            let (due, later) = self.returning.drain(..).partition(|it| it.0 <= now_ms);
            self.returning = later;
            for (_, client) in due {
                self.arrive(client, now_ms);
            }
            if now_ms < end_ms {
                self.draw_arrivals(is_active, now_ms);
            }
        }
    }

    fn draw_arrivals(&mut self, is_active: bool, now_ms: u64) {
        for kind in 0..3 {
            for team in 0..N_TEAMS {
                // Two large teams send a fifth of the requests each.
                let share = if team < 2 { 0.2 } else { 0.6 / (N_TEAMS - 2) as f64 };
                let mut per_s = self.kinds[kind].per_s * RATE_SCALE * share;
                if is_active {
                    per_s *=
                        self.load.rates[kind] * if team == 0 { self.load.team_rate } else { 1.0 };
                }
                let mut expected = per_s * TICK_MS as f64 / 1000.0;
                while self.rng.random::<f64>() < expected {
                    expected -= 1.0;
                    let client = self.client(kind, team, now_ms);
                    self.by_kind[kind].n += 1;
                    self.by_team[team].n += 1;
                    self.arrive(client, now_ms);
                }
            }
        }
    }

    fn client(&mut self, kind: usize, team: usize, now_ms: u64) -> Client {
        let Kind { shared_tokens, own_tokens, events, .. } = self.kinds[kind];
        let shared = (kind as u64) * SESSIONS + self.rng.random_range(0..SESSIONS);
        // The real numbers of tokens vary around those of the kind.
        let own_tokens = (f64::from(own_tokens) * self.rng.random_range(0.7..1.3)) as u32;
        let segments = vec![
            PromptSegment { id: SegmentId(shared), tokens: shared_tokens },
            PromptSegment { id: SegmentId(self.rng.next_u64()), tokens: own_tokens },
        ];
        let n_events = self.rng.random_range(events.0..=events.1);
        let prompt = Prompt {
            segments,
            input_tokens: u64::from(shared_tokens + own_tokens),
            output_tokens_max: u64::from(n_events * TOKENS_PER_EVENT),
        };
        Client { kind, team, prompt, n_events, arrived_ms: now_ms, returned: false }
    }

    /// Handles a request at a node drawn at random: sends it to an engine or rejects it.
    fn arrive(&mut self, client: Client, now_ms: u64) {
        let kind = self.kinds[client.kind];
        let idx = self.rng.random_range(0..N_NODES);
        let deadline_ms = client.arrived_ms + kind.deadline_ms;
        if deadline_ms <= now_ms {
            return self.count(&client, |it| it.unserved += 1);
        }
        let node = &mut self.nodes[idx];
        let mut tried = Vec::new();
        node.retry_budget = (node.retry_budget + 0.1).min(10.0);
        let upstreams = self.upstreams.iter().zip(&self.engines);
        let upstreams: Vec<_> = upstreams.filter(|it| !it.1.is_lost).map(|it| it.0).collect();
        let mut retry_after_ms = None;
        for n_attempt in 0..ATTEMPTS_MAX {
            if 0 < n_attempt {
                if node.retry_budget < 1.0 {
                    break;
                }
                node.retry_budget -= 1.0;
            }
            let Node { load_table, rng, .. } = node;
            let candidates = upstreams.iter().copied();
            let assigned = load_table.assign(Some(&client.prompt), candidates, &tried, now_ms, rng);
            let Some(assigned) = assigned else { break };
            if n_attempt == 0 {
                let request = Request {
                    priority: kind.priority,
                    is_most_urgent: kind.priority == 0,
                    team: Some(&self.teams[client.team]),
                    uncached_tokens: assigned.uncached_tokens,
                    target_ms: kind.target_ms,
                    waited_ms: 0,
                    remaining_ms: deadline_ms - now_ms,
                };
                let decided = node.decide(self.rule, request, &assigned, &upstreams, now_ms);
                if let Err(stated_ms) = decided {
                    retry_after_ms = stated_ms;
                    node.load_table.release(assigned, AttemptResult::Canceled, now_ms);
                    break;
                }
            }
            let engine = &mut self.engines[engine_idx(&assigned)];
            if engine.n_requests() < SLOTS as usize || engine.queue.len() < QUEUE_MAX {
                self.n_sent += 1;
                engine.queue.push(Run::new(client, idx, assigned, self.n_sent, now_ms));
                return;
            }
            tried.push(assigned.upstream.clone());
            node.load_table.release(assigned, AttemptResult::Full, now_ms);
        }
        let retry_after_ms = retry_after_ms.unwrap_or_else(|| {
            node.retry_after_ms(self.rule, kind, deadline_ms - now_ms, &upstreams, now_ms)
        });
        self.reject(client, now_ms + retry_after_ms, deadline_ms);
    }

    fn reject(&mut self, client: Client, returns_ms: u64, deadline_ms: u64) {
        let is_free = |it: &Engine| !it.is_lost && it.n_requests() < SLOTS as usize;
        let has_free_slot = self.engines.iter().any(is_free);
        self.count(&client, |it| {
            it.rejections += 1;
            it.rejections_with_free_slot += u32::from(has_free_slot);
        });
        if returns_ms < deadline_ms {
            self.returning.push((returns_ms, Client { returned: true, ..client }));
        } else {
            self.count(&client, |it| it.unserved += 1);
        }
    }

    fn count(&mut self, client: &Client, count: impl Fn(&mut Results)) {
        count(&mut self.by_kind[client.kind]);
        count(&mut self.by_team[client.team]);
    }

    /// Runs one step of an engine.
    fn step(&mut self, idx: usize, now_ms: u64) {
        let kinds = self.kinds;
        let engine = &mut self.engines[idx];
        let mut ended: Vec<(Run, AttemptResult)> = Vec::new();
        let is_over =
            |it: &mut Run| it.client.arrived_ms + kinds[it.client.kind].deadline_ms <= now_ms;
        ended.extend(engine.queue.extract_if(.., is_over).map(|it| (it, AttemptResult::Canceled)));
        ended
            .extend(engine.running.extract_if(.., is_over).map(|it| (it, AttemptResult::Canceled)));
        engine.queue.sort_by_key(|it| (kinds[it.client.kind].priority, it.seq));
        while engine.running.len() < SLOTS as usize && !engine.queue.is_empty() {
            let mut run = engine.queue.remove(0);
            let prompt = &run.client.prompt;
            let cached = prompt.segments.iter().filter(|it| engine.segments.get(&it.id).is_some());
            let cached: u64 = cached.map(|it| u64::from(it.tokens)).sum();
            run.unread = (prompt.input_tokens - cached) as f64;
            engine.segments.put(prompt.segments[0].id, ());
            engine.running.push(run);
        }
        if engine.running.is_empty() {
            engine.next_ms = (now_ms + TICK_MS) as f64;
        } else {
            let n_reading = engine.running.iter().filter(|it| 0.0 < it.unread).count();
            let share = CHUNK_TOKENS / n_reading.max(1) as f64;
            let mut n_read = 0.0;
            for run in &mut engine.running {
                if 0.0 < run.unread {
                    n_read += run.unread.min(share);
                    run.unread -= share;
                } else {
                    run.tokens_left -= 1;
                    if run.first_event_ms.is_none()
                        && run.tokens_left <= (run.client.n_events - 1) * TOKENS_PER_EVENT
                    {
                        run.first_event_ms = Some(now_ms);
                        let table = &mut self.nodes[run.node].load_table;
                        table.record_first_token(&run.assignment, now_ms - run.sent_ms);
                        table.on_response_start(&mut run.assignment);
                    }
                }
            }
            let step_ms = n_read / PREFILL_TOKENS_PER_MS
                + DECODE_MS
                + DECODE_MS_PER_REQUEST * engine.running.len() as f64;
            engine.next_ms = engine.next_ms.max((now_ms.saturating_sub(TICK_MS)) as f64) + step_ms;
            ended.extend(
                engine
                    .running
                    .extract_if(.., |it| it.tokens_left == 0)
                    .map(|it| (it, AttemptResult::Served)),
            );
        }
        for (run, result) in ended {
            self.end(run, result, now_ms);
        }
    }

    fn end(&mut self, run: Run, result: AttemptResult, now_ms: u64) {
        let Run { client, node, assignment, first_event_ms, .. } = run;
        let node = &mut self.nodes[node];
        node.load_table.release(assignment, result, now_ms);
        match first_event_ms {
            Some(first_ms) if result == AttemptResult::Served => {
                node.overload.record_slot_time(now_ms - first_ms);
                let is_in_time = first_ms <= client.arrived_ms + self.kinds[client.kind].target_ms;
                let returned = u32::from(client.returned);
                self.count(&client, |it| {
                    it.came_back += returned;
                    it.in_time += u32::from(is_in_time);
                    it.late += u32::from(!is_in_time);
                });
            }
            _ => self.count(&client, |it| it.unserved += 1),
        }
    }

    fn set_lost(&mut self, idx: usize, is_lost: bool, now_ms: u64) {
        let engine = &mut self.engines[idx];
        if engine.is_lost == is_lost {
            return;
        }
        engine.is_lost = is_lost;
        engine.segments.clear();
        let runs: Vec<_> = engine.running.drain(..).chain(engine.queue.drain(..)).collect();
        // The streams are resumed elsewhere.
        for run in runs {
            self.nodes[run.node].load_table.release(
                run.assignment,
                AttemptResult::Canceled,
                now_ms,
            );
            self.arrive(run.client, now_ms);
        }
    }

    fn report(&mut self, is_partitioned: bool, now_ms: u64) {
        for from in 0..N_NODES {
            if now_ms % REPORT_INTERVAL_MS != from as u64 * TICK_MS * 20 {
                continue;
            }
            let report = self.nodes[from].load_table.report();
            for to in (0..N_NODES).filter(|it| *it != from) {
                if !is_partitioned || from % 2 == to % 2 {
                    self.nodes[to].load_table.on_peer_report(from as u64, report.clone(), now_ms);
                }
            }
        }
    }

    /// Restarts all nodes. The requests in progress end without an effect on the new load tables, which is what a
    /// restarted node knows of them; their clients are counted as they were.
    fn restart_nodes(&mut self) {
        for (idx, node) in self.nodes.iter_mut().enumerate() {
            *node = Node::new(self.rule, 1_000 + idx as u64);
        }
    }
}

fn engine_idx(assigned: &Assignment) -> usize {
    assigned.upstream.as_str()[1..].parse().unwrap()
}

impl Run {
    fn new(client: Client, node: usize, assignment: Assignment, seq: u64, sent_ms: u64) -> Self {
        let tokens_left = client.n_events * TOKENS_PER_EVENT;
        let (unread, first_event_ms) = (-1.0, None);
        Self { client, node, assignment, sent_ms, seq, unread, tokens_left, first_event_ms }
    }
}

impl Engine {
    fn n_requests(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}

impl Node {
    fn new(rule: Rule, seed: u64) -> Self {
        let settings = match rule {
            Rule::Former => overload::Settings::default(),
            Rule::Overload(it) => it,
        };
        Self {
            load_table: LoadTable::new(placement::Settings::default(), "a".parse().unwrap()),
            overload: Overload::new(settings),
            rng: SmallRng::seed_from_u64(seed),
            retry_budget: 5.0,
        }
    }

    /// Returns whether a request is sent, or the time to return that the decision states.
    fn decide(
        &mut self,
        rule: Rule,
        request: Request<'_>,
        assigned: &Assignment,
        upstreams: &[&Upstream],
        now_ms: u64,
    ) -> Result<(), Option<u64>> {
        match rule {
            Rule::Former => {
                let expected_ms =
                    self.load_table.expected_first_token_ms(&assigned.upstream, 0, now_ms);
                let max_ms = (4 * request.target_ms).min(request.remaining_ms) as f64;
                if expected_ms <= max_ms { Ok(()) } else { Err(None) }
            }
            Rule::Overload(_) => {
                let entry =
                    &upstreams.iter().find(|it| it.entry.id == assigned.upstream).unwrap().entry;
                let capacity = self.load_table.capacity(upstreams.iter().copied(), now_ms);
                let chosen = self.load_table.load_beside(entry, assigned.uncached_tokens, now_ms);
                match self.overload.decide(request, chosen, capacity, now_ms) {
                    Decision::Send(_) => Ok(()),
                    Decision::Reject { expected_ms } => Err(Some(overload::retry_after_ms(
                        expected_ms,
                        request.remaining_ms,
                        &mut self.rng,
                    ))),
                }
            }
        }
    }

    fn retry_after_ms(
        &mut self,
        rule: Rule,
        kind: Kind,
        remaining_ms: u64,
        upstreams: &[&Upstream],
        now_ms: u64,
    ) -> u64 {
        let delays_ms = upstreams
            .iter()
            .map(|it| self.load_table.expected_first_token_ms(&it.entry.id, 0, now_ms) as u64);
        let first_ms = delays_ms.min().unwrap_or(300).clamp(300, 3_000);
        match rule {
            Rule::Former => self.rng.random_range(first_ms..=2 * first_ms),
            Rule::Overload(_) => {
                let capacity = self.load_table.capacity(upstreams.iter().copied(), now_ms);
                let queue_ms = self.overload.queue_ms(capacity, kind.priority);
                overload::retry_after_ms(queue_ms, remaining_ms, &mut self.rng)
            }
        }
    }
}

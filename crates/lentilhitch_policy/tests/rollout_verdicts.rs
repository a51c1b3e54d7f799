//! Verdicts and exposure of rollouts of good and bad versions, simulated with one seed for each version. Nodes are
//! simulated by their totals.
//!
//! `ROLLOUT_VERSIONS` sets the number of versions of each kind (2,000 in the full run), `ROLLOUT_THREADS` the number of
//! threads. The full run is started by hand in release mode.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use lentilhitch_policy::rollout::{
    Controller, Counts, Evidence, NodeRun, Order, Plan, RolloutState, RouteCounts, Settings, Stage,
};
use lentilhitch_types::{LogPosition, ServiceName, StoreEra};

const STEP_MS: u64 = 20;
/// Time after which a node learns of a plan record.
const PLAN_DELAY_MS: u64 = 160;
const N_TARGETS: u32 = 12;
/// Shares of the requests that arrive by each of the routes.
const ROUTE_SHARES: [f64; 3] = [0.6, 0.3, 0.1];
const FAILURE_RATE: f64 = 0.002;
/// Share of the base's responses that take over 2.5 times the median, and share of those of a version that is 3 times
/// slower, for latencies with a log-normal spread of 0.35.
const SLOW_RATE: f64 = 0.0044;
const SLOW_RATE_BAD: f64 = 0.7;
const TIMEOUT_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum When {
    Never,
    Always,
    /// From a random time between 30% of the time limit and the start of the shift.
    Late,
    UnderLoad,
    OneRoute,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Effect {
    Failures(f64),
    Slow,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    when: When,
    effect: Effect,
    per_s: f64,
    n_nodes: usize,
}

/// Number of bad responses, half of those that start the time bound, from which on the traffic suffices to condemn a
/// version, and number of responses from which on it suffices to accept one.
const N_BAD_SUFFICIENT: u64 = 25;
const N_GOOD_SUFFICIENT: u64 = 100;

#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    /// Wrong verdicts although the traffic sufficed.
    n_wrong: u64,
    n_sufficient: u64,
    /// Versions of which the number of requests was beyond the permitted one.
    n_over: u64,
    n_completed: u64,
    n_rolled_back: u64,
    n_undecided: u64,
    /// Highest number of requests to the target beyond the permitted one.
    worst_excess: f64,
    /// Longest time from the 50th bad response to the last request.
    worst_stop_ms: u64,
    n_late: u64,
}

#[derive(Clone, Default)]
struct Node {
    arrived: u64,
    sent: u64,
    base_open: u64,
    longest_ms: u64,
    routes: Vec<(Counts, [Counts; 8])>,
    ceiling: u64,
    share: f64,
    stage: Stage,
    valid_until_ms: u64,
    last_sent_ms: u64,
    is_urgent: bool,
}

struct Ending {
    node: u32,
    route: u8,
    group: Option<u8>,
    is_failed: bool,
    is_slow: bool,
    /// Whether the response is bad because of the version.
    is_caused: bool,
    elapsed_ms: u32,
}

#[expect(clippy::too_many_lines, reason = "one pass over the time steps of a simulation")]
fn simulate(row: &Row, seed: u64, figures: &mut Figures) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let settings = Settings::default();
    let service: ServiceName = "chat".parse().expect("name");
    let duration_ms = rng.random_range(15_000..=60_000);
    let order = Order {
        service: service.clone(),
        to: "v2".parse().expect("version"),
        duration_ms,
        position: LogPosition::new(StoreEra(0), 1),
    };
    let mut controller = Controller::new(settings);
    controller.on_lease(true, 0);
    controller.on_routes(&service, TIMEOUT_MS);
    controller.on_plan(&service, None, LogPosition::default());
    let start_ms = 2_000;
    let limit_ms = start_ms + duration_ms;
    let bad_from_ms = start_ms + (duration_ms as f64 * rng.random_range(0.3..0.8)) as u64;
    let bad_route = rng.random_range(0..ROUTE_SHARES.len());
    let mut nodes = vec![Node::default(); row.n_nodes];
    for (idx, node) in nodes.iter_mut().enumerate() {
        node.routes = vec![Default::default(); ROUTE_SHARES.len()];
        node.last_sent_ms = start_ms + (idx as u64 * 17) % 850;
    }
    let run_of = |it: usize| NodeRun { node: it as u64 + 1, incarnation: 1 };
    controller.on_nodes(&(0..row.n_nodes).map(run_of).collect::<Vec<_>>(), 0);
    let interval_ms = Settings::evidence_interval_ms(row.n_nodes);
    let mut endings: Vec<Vec<Ending>> = Vec::new();
    endings.resize_with(400, Vec::new);
    let mut plans: Vec<(u64, Plan)> = Vec::new();
    let mut known: Option<Plan> = None;
    let (mut n_arrived, mut n_exposed) = (0_u64, 0_u64);
    // Responses of the target, and bad ones due to the version, before the verdict.
    let (mut n_judged, mut n_bad) = (0_u64, 0_u64);
    let (mut fiftieth_ms, mut last_target_ms) = (None, 0);
    let mut target_per_s = 0.0;
    let mut n_upstreams = 1;
    let mut finished_ms = None;
    let mut now_ms = start_ms;
    while now_ms < limit_ms + TIMEOUT_MS {
        now_ms += STEP_MS;
        controller.on_orders(std::slice::from_ref(&order), LogPosition::default(), now_ms - 20);
        let version = |it: &str| it.parse().expect("version");
        let counts = [(version("v1"), 12), (version("v2"), N_TARGETS)];
        controller.on_upstreams(&service, &counts, now_ms);
        if let Some(plan) = controller.next_write(&service, now_ms) {
            controller.on_written(&service, plan.clone(), now_ms);
            plans.push((now_ms + PLAN_DELAY_MS, plan));
        }
        if plans.first().is_some_and(|it| it.0 <= now_ms) {
            known = Some(plans.remove(0).1);
        }
        let verdict = known.as_ref().and_then(|it| it.verdict);
        if verdict.is_some() {
            finished_ms.get_or_insert(now_ms);
            if finished_ms.is_some_and(|it| it + 1_000 < now_ms) {
                break;
            }
        }
        let slot = (now_ms / STEP_MS) as usize % endings.len();
        for it in std::mem::take(&mut endings[slot]) {
            let node = &mut nodes[it.node as usize];
            let (base, target) = &mut node.routes[usize::from(it.route)];
            let counts = if let Some(group) = it.group {
                &mut target[usize::from(group)]
            } else {
                node.base_open -= 1;
                node.longest_ms = node.longest_ms.max(u64::from(it.elapsed_ms));
                base
            };
            counts.open -= 1;
            counts.responses += 1;
            counts.failures += u64::from(it.is_failed);
            counts.timed += u64::from(!it.is_failed);
            counts.slow += u64::from(it.is_slow);
            n_judged += u64::from(it.group.is_some() && verdict.is_none());
            if it.group.is_some() && (it.is_failed || it.is_slow) {
                node.is_urgent = true;
                n_bad += u64::from(it.is_caused && verdict.is_none());
                if 50 <= n_bad {
                    fiftieth_ms.get_or_insert(now_ms);
                }
            }
        }
        let mut n_sent_now = 0;
        let mut pending = row.per_s * STEP_MS as f64 / 1_000.0;
        while rng.random::<f64>() < pending {
            pending -= 1.0;
            n_arrived += u64::from(now_ms <= limit_ms);
            let idx = rng.random_range(0..row.n_nodes);
            let node = &mut nodes[idx];
            if known.is_some() {
                node.arrived += 1;
            }
            let may_use = verdict.is_none()
                && now_ms < node.valid_until_ms
                && node.sent < node.ceiling
                && rng.random::<f64>() < node.share;
            let is_target = may_use || verdict.is_some_and(|it| it.is_completed);
            let point: f64 = rng.random();
            let route = usize::from(0.6 <= point) + usize::from(0.9 <= point);
            let load = target_per_s / f64::from(n_upstreams);
            let is_loaded = 0.5 * row.per_s / f64::from(N_TARGETS) <= load;
            let is_bad = is_target
                && match row.when {
                    When::Never => false,
                    When::Always => true,
                    When::Late => bad_from_ms <= now_ms,
                    When::UnderLoad => is_loaded,
                    When::OneRoute => route == bad_route,
                };
            let (failure_rate, slow_rate) = match row.effect {
                Effect::Failures(rate) if is_bad => (rate, SLOW_RATE),
                Effect::Slow if is_bad => (FAILURE_RATE, SLOW_RATE_BAD),
                _ => (FAILURE_RATE, SLOW_RATE),
            };
            let is_failed = rng.random::<f64>() < failure_rate;
            let is_slow = !is_failed && rng.random::<f64>() < slow_rate;
            let base_ms: f64 = rng.random_range(100.0..600.0);
            let elapsed_ms = if is_failed {
                30.0
            } else if is_slow {
                base_ms * 3.0
            } else {
                base_ms
            };
            let group = is_target.then(|| rng.random_range(0..n_upstreams.min(8)) as u8);
            let (base, target) = &mut node.routes[route];
            if let Some(group) = group {
                node.sent += 1;
                n_sent_now += 1;
                n_exposed += u64::from(now_ms <= limit_ms);
                last_target_ms = now_ms;
                target[usize::from(group)].open += 1;
            } else {
                node.base_open += 1;
                base.open += 1;
            }
            let end = (now_ms + elapsed_ms as u64) / STEP_MS + 1;
            let idx_end = end as usize % endings.len();
            endings[idx_end].push(Ending {
                node: idx as u32,
                route: route as u8,
                group,
                is_failed,
                is_slow,
                is_caused: is_bad && (is_failed || is_slow),
                elapsed_ms: elapsed_ms as u32,
            });
        }
        target_per_s += (f64::from(n_sent_now) * 1_000.0 / STEP_MS as f64 - target_per_s) * 0.02;
        let Some(plan) = known.as_ref().filter(|it| it.verdict.is_none()) else { continue };
        for (idx, node) in nodes.iter_mut().enumerate() {
            let wait_ms = if node.is_urgent { 100 } else { interval_ms };
            if now_ms < node.last_sent_ms + wait_ms {
                continue;
            }
            node.last_sent_ms = now_ms;
            node.is_urgent = false;
            let run = run_of(idx);
            controller.on_evidence(&evidence(plan, node, run, now_ms), now_ms);
            if let Some(grant) = controller.grant(run, &service, now_ms) {
                node.ceiling = grant.ceiling;
                node.share = f64::from(grant.share);
                node.stage = grant.stage;
                node.valid_until_ms = now_ms + grant.valid_ms;
                n_upstreams = grant.n_upstreams;
            }
        }
    }
    let state = controller.status(&service).map(|it| it.0);
    match state {
        Some(RolloutState::Completed) => figures.n_completed += 1,
        Some(RolloutState::RolledBack) => figures.n_rolled_back += 1,
        _ => figures.n_undecided += 1,
    }
    let is_good = row.when == When::Never;
    let is_sufficient =
        if is_good { N_GOOD_SUFFICIENT <= n_judged } else { N_BAD_SUFFICIENT <= n_bad };
    let is_wrong = is_good != (state == Some(RolloutState::Completed));
    figures.n_sufficient += u64::from(is_sufficient);
    figures.n_wrong += u64::from(is_sufficient && is_wrong);
    let is_late = finished_ms.is_none_or(|it| limit_ms + PLAN_DELAY_MS < it);
    figures.n_late += u64::from(is_late);
    if row.when != When::Never && state == Some(RolloutState::RolledBack) {
        // What arrives between the verdict and the time limit counts too.
        let rest_ms = limit_ms.saturating_sub(now_ms);
        let arrived = n_arrived as f64 + row.per_s * rest_ms as f64 / 1_000.0;
        let permitted = settings.exposure_share * arrived + settings.exposure_slack;
        let excess = n_exposed as f64 - permitted;
        figures.worst_excess = figures.worst_excess.max(excess);
        figures.n_over += u64::from(0.0 < excess);
        if let Some(fiftieth_ms) = fiftieth_ms {
            let stop_ms = last_target_ms.saturating_sub(fiftieth_ms);
            figures.worst_stop_ms = figures.worst_stop_ms.max(stop_ms);
        }
    }
}

fn evidence(plan: &Plan, node: &Node, from: NodeRun, now_ms: u64) -> Evidence {
    let route = |(idx, counts): (usize, &(Counts, [Counts; 8]))| RouteCounts {
        route: idx as u32 + 1,
        base: counts.0,
        target: (0..8).zip(counts.1).filter(|it| it.1 != Counts::default()).collect(),
    };
    Evidence {
        service: plan.order.service.clone(),
        tag: plan.tag,
        from,
        sent_ms: now_ms,
        plan_sequence: plan.sequence,
        stage: if now_ms < node.valid_until_ms { node.stage } else { Stage::Waiting },
        arrived: node.arrived,
        sent_target: node.sent,
        base_open: node.base_open,
        base_longest_ms: node.longest_ms,
        routes: node.routes.iter().enumerate().map(route).collect(),
        samples: Vec::new(),
    }
}

fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    for n_nodes in [8, 340] {
        for per_s in [20.0, 200.0, 2_000.0] {
            rows.push(Row { when: When::Never, effect: Effect::Slow, per_s, n_nodes });
            for when in [When::Always, When::Late, When::UnderLoad, When::OneRoute] {
                for effect in [Effect::Failures(0.05), Effect::Failures(0.3), Effect::Slow] {
                    rows.push(Row { when, effect, per_s, n_nodes });
                }
            }
        }
    }
    rows
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

/// Guards against bad versions that are completed, good ones that are rolled back, and exposure over the budget.
#[test]
fn versions_are_judged_within_the_budget() {
    let n_versions = setting("ROLLOUT_VERSIONS", 3);
    let n_threads = setting("ROLLOUT_THREADS", 2) as usize;
    let rows = rows();
    let next = std::sync::atomic::AtomicUsize::new(0);
    let results = std::sync::Mutex::new(vec![Figures::default(); rows.len()]);
    std::thread::scope(|scope| {
        for _ in 0..n_threads {
            scope.spawn(|| {
                loop {
                    let idx = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some(row) = rows.get(idx) else { return };
                    let mut figures = Figures::default();
                    for seed in 0..n_versions {
                        simulate(row, seed * 1_000 + idx as u64, &mut figures);
                    }
                    println!("{row:?}: {figures:?}");
                    results.lock().expect("no panic")[idx] = figures;
                }
            });
        }
    });
    let results = results.into_inner().expect("no panic");
    for (row, figures) in rows.iter().zip(results) {
        assert!(figures.worst_excess <= 0.0, "{row:?}: over the budget, {figures:?}");
        let rollback_ms = Settings::default().rollback_ms;
        assert!(figures.worst_stop_ms <= rollback_ms, "{row:?}: stopped late, {figures:?}");
        assert_eq!(figures.n_undecided + figures.n_late, 0, "{row:?}: {figures:?}");
        assert!(
            figures.n_wrong * 1_000 <= figures.n_sufficient,
            "{row:?}: wrong verdicts, {figures:?}"
        );
    }
}

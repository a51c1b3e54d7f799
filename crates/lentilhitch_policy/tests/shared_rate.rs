//! Rate of a team shared by several nodes: a team above its rate, nodes cut off from each other, nodes killed at once.

use lentilhitch_policy::{
    shared_rate::{ClusterView, PeerReport, Settings, SharedRate},
    traffic::{RateUnit, TeamRate},
};

const RATE: TeamRate =
    TeamRate { per_s: 100_000.0, burst: 100_000.0, unit: RateUnit::Tokens { default_tokens: 200 } };
/// Rate of a large team, against which the fixed allowance is small.
const LARGE: TeamRate = TeamRate { per_s: 1_000_000.0, burst: 1_000_000.0, ..RATE };
const WINDOW_MS: u64 = 8_000;
/// Fraction by which operators allow the rate to be exceeded.
const EXCESS_FRACTION: f64 = 0.1;
/// Fixed allowance for requests in transit.
const EXCESS_FIXED: f64 = 140_000.0;
const SINGLE_NODE: ClusterView =
    ClusterView { n_nodes: 1, peer_timeout_ms: PEER_TIMEOUT_MS, is_isolated: false };
const PEER_TIMEOUT_MS: u64 = 1_300;
const STEP_MS: u64 = 5;
/// Minimum interval between urgent reports.
const URGENT_INTERVAL_MS: u64 = 70;

struct Case {
    name: &'static str,
    n_nodes: usize,
    gossip_ms: u64,
    /// Demand of the team, as a multiple of its rate.
    demand: f64,
    /// Demand of the team before `demand_change_ms`, as a multiple of its rate.
    demand_before: f64,
    demand_change_ms: u64,
    /// Start and end of the time in which the first `n_partitioned` nodes neither receive reports from other nodes nor
    /// reach them.
    partition_ms: (u64, u64),
    n_partitioned: usize,
    /// Time at which all nodes restart.
    restart_ms: Option<u64>,
    /// Minimum fraction of the rate that must be used.
    used_min: f64,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "",
            n_nodes: 7,
            gossip_ms: 250,
            demand: 5.0,
            demand_before: 5.0,
            demand_change_ms: 0,
            partition_ms: (u64::MAX, u64::MAX),
            n_partitioned: usize::MAX,
            restart_ms: None,
            used_min: 0.8,
        }
    }
}

#[test]
fn the_sum_stays_within_the_rate() {
    let cases = [
        Case { name: "a team above its rate", demand: 7.5, used_min: 0.9, ..Case::default() },
        Case { name: "many nodes", n_nodes: 60, gossip_ms: 750, ..Case::default() },
        Case {
            name: "all nodes are cut off from each other",
            partition_ms: (9_000, 16_000),
            ..Case::default()
        },
        Case { name: "all nodes are killed at once", restart_ms: Some(13_000), ..Case::default() },
        Case {
            name: "many nodes are killed at once",
            n_nodes: 60,
            gossip_ms: 750,
            restart_ms: Some(13_000),
            used_min: 0.7,
            ..Case::default()
        },
        Case {
            name: "many nodes are cut off from each other while the bucket is full, and then demand exceeds the rate",
            n_nodes: 60,
            gossip_ms: 925,
            demand: 6.0,
            demand_before: 0.5,
            demand_change_ms: 10_000,
            partition_ms: (9_000, 20_000),
            used_min: 0.7,
            ..Case::default()
        },
        Case {
            name: "some of many nodes are cut off, and then demand exceeds the rate",
            n_nodes: 74,
            gossip_ms: 925,
            demand: 6.0,
            demand_before: 0.5,
            demand_change_ms: 10_000,
            partition_ms: (9_000, 21_000),
            n_partitioned: 26,
            used_min: 0.6,
            ..Case::default()
        },
        Case { name: "a team below its rate", demand: 0.8, used_min: 0.78, ..Case::default() },
    ];
    for case in cases {
        for (rate, cost) in [(RATE, 2_000.0), (LARGE, 12_000.0)] {
            check(&case, rate, cost);
        }
    }
}

fn check(case: &Case, rate: TeamRate, cost: f64) {
    let admitted = simulate(case, rate, cost);
    let worst = worst_window(&admitted);
    let allowed = (rate.per_s * WINDOW_MS as f64 / 1_000.0 + rate.burst) * (1.0 + EXCESS_FRACTION)
        + EXCESS_FIXED;
    let name = case.name;
    assert!(worst <= allowed, "{name}: {worst} of {} admitted, {allowed} allowed", rate.per_s);
    let total: f64 = admitted.iter().map(|it| it.1).sum();
    let used = total / (rate.per_s * 30.0);
    assert!(case.used_min <= used, "{name}: {used} of {} used", rate.per_s);
}

/// Simulates 30 s and returns the time and cost of every admitted request.
fn simulate(case: &Case, rate: TeamRate, cost: f64) -> Vec<(u64, f64)> {
    let new = |running_ms, now_ms| SharedRate::new(Settings::default(), rate, running_ms, now_ms);
    let mut nodes: Vec<_> = (0..case.n_nodes).map(|_| new(10_000, 0)).collect();
    let mut incarnation = 1;
    let mut admitted = Vec::new();
    // Nodes send their reports one after the other.
    let interval_ms = case.gossip_ms - case.gossip_ms % STEP_MS;
    let offset_ms = |it: usize| interval_ms * it as u64 / case.n_nodes as u64;
    let report_offsets_ms: Vec<_> =
        (0..case.n_nodes).map(offset_ms).map(|it| it - it % STEP_MS).collect();
    let mut last_urgent_ms = vec![0; case.n_nodes];
    let mut last_received_ms = vec![vec![0; case.n_nodes]; case.n_nodes];
    let mut pending_cost = 0.0;
    let mut n_requests = 0;
    for now_ms in (0..30_000).step_by(STEP_MS as usize) {
        if case.restart_ms == Some(now_ms) {
            nodes = (0..case.n_nodes).map(|_| new(0, now_ms)).collect();
            incarnation += 1;
        }
        let is_partitioned = (case.partition_ms.0..case.partition_ms.1).contains(&now_ms);
        for (peer, report_offset_ms) in report_offsets_ms.iter().enumerate() {
            if now_ms % interval_ms != *report_offset_ms {
                continue;
            }
            send_report(&mut nodes, peer, incarnation, now_ms, |idx| {
                let is_reachable = !is_partitioned || case.n_partitioned <= idx.min(peer);
                if is_reachable {
                    last_received_ms[idx][peer] = now_ms;
                }
                is_reachable
            });
        }
        let demand = if now_ms < case.demand_change_ms { case.demand_before } else { case.demand };
        pending_cost += demand * rate.per_s * STEP_MS as f64 / 1_000.0;
        while cost <= pending_cost {
            pending_cost -= cost;
            n_requests += 1;
            // Clients are distributed unevenly: a third of the requests arrive at one node.
            let node = if n_requests % 3 == 0 { 0 } else { n_requests % case.n_nodes };
            let others = last_received_ms[node].iter().enumerate().filter(|it| it.0 != node);
            let ages_ms = others.map(|it| (1, now_ms - it.1));
            let view = ClusterView::new(case.n_nodes, case.gossip_ms, ages_ms);
            if nodes[node].try_admit(cost, view, now_ms).is_ok() {
                admitted.push((now_ms, cost));
                if nodes[node].needs_urgent_report()
                    && last_urgent_ms[node] + URGENT_INTERVAL_MS <= now_ms
                {
                    last_urgent_ms[node] = now_ms;
                    let is_reachable =
                        |idx: usize| !is_partitioned || case.n_partitioned <= idx.min(node);
                    send_report(&mut nodes, node, incarnation, now_ms, is_reachable);
                }
            }
        }
    }
    admitted
}

/// Sends a report of what a node has admitted to the nodes that can receive it.
fn send_report(
    nodes: &mut [SharedRate],
    from: usize,
    incarnation: u64,
    now_ms: u64,
    mut is_reachable: impl FnMut(usize) -> bool,
) {
    let admitted = nodes[from].report();
    for (idx, node) in nodes.iter_mut().enumerate().filter(|it| it.0 != from) {
        if is_reachable(idx) {
            node.handle_report(PeerReport {
                peer: from as u64,
                n_nodes: 1,
                silence_ms: 0,
                source: incarnation,
                admitted,
                as_of_ms: now_ms,
            });
        }
    }
}

/// Returns the highest cost admitted within any window.
fn worst_window(admitted: &[(u64, f64)]) -> f64 {
    let sum = |from: u64| {
        let within = admitted.iter().filter(|it| (from..from + WINDOW_MS).contains(&it.0));
        within.map(|it| it.1).sum::<f64>()
    };
    (0..30_000 - WINDOW_MS).step_by(100).map(sum).fold(0.0, f64::max)
}

#[test]
fn a_lower_limit_applies_immediately() {
    let mut rate = SharedRate::new(Settings::default(), RATE, 10_000, 0);
    rate.set_rate(TeamRate { per_s: 1_000.0, burst: 1_000.0, ..RATE }, 0);
    let n_admitted = (0..100).filter(|_| rate.try_admit(100.0, SINGLE_NODE, 0).is_ok()).count();
    assert_eq!(n_admitted, 10);
}

#[test]
fn the_wait_is_the_time_until_the_bucket_holds_the_cost() {
    let mut rate = SharedRate::new(Settings::default(), RATE, 10_000, 0);
    assert_eq!(rate.try_admit(100_000.0, SINGLE_NODE, 0), Ok(()));
    assert_eq!(rate.try_admit(50_000.0, SINGLE_NODE, 0), Err(500));
    assert_eq!(rate.try_admit(50_000.0, SINGLE_NODE, 500), Ok(()));
}

#[test]
fn a_request_that_would_wait_for_milliseconds_is_admitted() {
    for n_nodes in [1, 10, 340] {
        let view = ClusterView { n_nodes, ..SINGLE_NODE };
        let cost = RATE.per_s * 0.01 / n_nodes as f64;
        let mut nodes: Vec<_> =
            (0..n_nodes).map(|_| SharedRate::new(Settings::default(), RATE, 0, 0)).collect();
        let admitted = nodes.iter_mut().flat_map(|node| {
            (0..100).map(|_| f64::from(u8::from(node.try_admit(cost, view, 0).is_ok())) * cost)
        });
        let admitted: f64 = admitted.sum();
        assert!(cost <= admitted, "{n_nodes} nodes: {admitted}");
        assert!(admitted <= RATE.per_s * 0.021, "{n_nodes} nodes: {admitted}");
    }
}

#[test]
fn a_request_larger_than_the_burst_is_admitted_when_the_bucket_is_full() {
    let mut rate = SharedRate::new(Settings::default(), RATE, 10_000, 0);
    assert_eq!(rate.try_admit(150_000.0, SINGLE_NODE, 0), Ok(()));
    assert!(
        rate.try_admit(1.0, SINGLE_NODE, 0).is_err(),
        "the excess is charged to later requests"
    );
}

#[test]
fn a_repeated_request_is_charged_like_the_first() {
    let mut rate = SharedRate::new(Settings::default(), RATE, 10_000, 0);
    assert_eq!(rate.try_admit(60_000.0, SINGLE_NODE, 0), Ok(()));
    rate.charge_repeat(60_000.0);
    assert!((rate.admitted() - 120_000.0).abs() < 1.0);
    assert_eq!(rate.try_admit(10_000.0, SINGLE_NODE, 0), Err(300));
}

/// Guards against requests that are refused when another delegate adds up for a zone and has not heard all of its nodes
/// yet: these were not cut off, so their shares of a full bucket are not charged.
#[test]
fn nodes_that_another_source_does_not_count_yet_are_not_charged_as_silent() {
    const N_NODES: usize = 3;
    let view = ClusterView { n_nodes: N_NODES, ..SINGLE_NODE };
    let mut rate = SharedRate::new(Settings::default(), LARGE, 0, 0);
    let report = |source: u64, n_nodes: usize, as_of_ms: u64| PeerReport {
        peer: 1,
        n_nodes,
        silence_ms: 480,
        source,
        admitted: 0.0,
        as_of_ms,
    };
    rate.handle_report(report(1, N_NODES - 1, 100));
    assert_eq!(rate.try_admit(200.0, view, 110), Ok(()));
    rate.handle_report(report(2, 0, 120));
    assert_eq!(rate.try_admit(200.0, view, 125), Ok(()), "after the change of the source");
}

//! A team's rate over several nodes: a hot team, nodes cut off from each other, nodes killed together.

use lentilhitch_policy::{
    shared_rate::{ClusterView, Settings, SharedRate},
    traffic::{RateUnit, TeamRate},
};

const RATE: TeamRate =
    TeamRate { per_s: 100_000.0, burst: 100_000.0, unit: RateUnit::Tokens { default_tokens: 200 } };
/// A large team: the fixed allowance is little against its rate.
const LARGE: TeamRate = TeamRate { per_s: 1_000_000.0, burst: 1_000_000.0, ..RATE };
const WINDOW_MS: u64 = 8_000;
/// What the users allow beyond the rate, as a share, and the fixed allowance for what is under way.
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 140_000.0;
const ALONE: ClusterView =
    ClusterView { n_nodes: 1, peer_timeout_ms: SILENT_MS, is_isolated: false };
const SILENT_MS: u64 = 1_300;
const STEP_MS: u64 = 5;
/// The least pause between urgent tellings.
const URGENT_PAUSE_MS: u64 = 70;

struct Case {
    name: &'static str,
    n_nodes: usize,
    gossip_ms: u64,
    /// What the team asks for, as a multiple of its rate.
    demand: f64,
    /// What it asks for before `hot_ms`.
    demand_before: f64,
    hot_ms: u64,
    /// From here to there, `n_cut` nodes hear nothing of any other, and no other hears of them.
    cut_ms: (u64, u64),
    n_cut: usize,
    /// All nodes start anew at this time.
    restart_ms: Option<u64>,
    /// The least part of the rate that must be used.
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
            hot_ms: 0,
            cut_ms: (u64::MAX, u64::MAX),
            n_cut: usize::MAX,
            restart_ms: None,
            used_min: 0.8,
        }
    }
}

#[test]
fn the_sum_stays_within_the_rate() {
    let cases = [
        Case { name: "hot team", demand: 7.5, used_min: 0.9, ..Case::default() },
        Case { name: "many nodes", n_nodes: 60, gossip_ms: 750, ..Case::default() },
        Case { name: "cut", cut_ms: (9_000, 16_000), ..Case::default() },
        Case { name: "all killed at once", restart_ms: Some(13_000), ..Case::default() },
        Case {
            name: "all of many killed at once",
            n_nodes: 60,
            gossip_ms: 750,
            restart_ms: Some(13_000),
            used_min: 0.7,
            ..Case::default()
        },
        Case {
            name: "many nodes are cut off from each other while the bucket is full, and then the team gets hot",
            n_nodes: 60,
            gossip_ms: 925,
            demand: 6.0,
            demand_before: 0.5,
            hot_ms: 10_000,
            cut_ms: (9_000, 20_000),
            used_min: 0.7,
            ..Case::default()
        },
        Case {
            name: "some of many nodes are cut off, and then the team gets hot",
            n_nodes: 74,
            gossip_ms: 925,
            demand: 6.0,
            demand_before: 0.5,
            hot_ms: 10_000,
            cut_ms: (9_000, 21_000),
            n_cut: 26,
            used_min: 0.6,
            ..Case::default()
        },
        Case { name: "below its rate", demand: 0.8, used_min: 0.78, ..Case::default() },
    ];
    for case in cases {
        for (rate, cost) in [(RATE, 2_000.0), (LARGE, 12_000.0)] {
            check(&case, rate, cost);
        }
    }
}

fn check(case: &Case, rate: TeamRate, cost: f64) {
    let admitted = play(case, rate, cost);
    let worst = worst_window(&admitted);
    let allowed = (rate.per_s * WINDOW_MS as f64 / 1_000.0 + rate.burst) * (1.0 + OVERRUN) + SLACK;
    let name = case.name;
    assert!(worst <= allowed, "{name}: {worst} of {} admitted, {allowed} allowed", rate.per_s);
    let total: f64 = admitted.iter().map(|it| it.1).sum();
    let used = total / (rate.per_s * 30.0);
    assert!(case.used_min <= used, "{name}: {used} of {} used", rate.per_s);
}

fn play(case: &Case, rate: TeamRate, cost: f64) -> Vec<(u64, f64)> {
    let new = |running_ms, now_ms| SharedRate::new(Settings::default(), rate, running_ms, now_ms);
    let mut nodes: Vec<_> = (0..case.n_nodes).map(|_| new(10_000, 0)).collect();
    let mut incarnation = 1;
    let mut admitted = Vec::new();
    // Nodes tell each other one after the other.
    let interval_ms = case.gossip_ms - case.gossip_ms % STEP_MS;
    let begin_ms = |it: usize| interval_ms * it as u64 / case.n_nodes as u64;
    let turns_ms: Vec<_> = (0..case.n_nodes).map(begin_ms).map(|it| it - it % STEP_MS).collect();
    let mut told_ms = vec![0; case.n_nodes];
    let mut heard_ms = vec![vec![0; case.n_nodes]; case.n_nodes];
    let mut owed = 0.0;
    let mut turn = 0;
    for now_ms in (0..30_000).step_by(STEP_MS as usize) {
        if case.restart_ms == Some(now_ms) {
            nodes = (0..case.n_nodes).map(|_| new(0, now_ms)).collect();
            incarnation += 1;
        }
        let is_cut = (case.cut_ms.0..case.cut_ms.1).contains(&now_ms);
        for (peer, turn_ms) in turns_ms.iter().enumerate() {
            if now_ms % interval_ms != *turn_ms {
                continue;
            }
            tell(&mut nodes, peer, incarnation, now_ms, |idx| {
                let is_heard = !is_cut || case.n_cut <= idx.min(peer);
                if is_heard {
                    heard_ms[idx][peer] = now_ms;
                }
                is_heard
            });
        }
        let demand = if now_ms < case.hot_ms { case.demand_before } else { case.demand };
        owed += demand * rate.per_s * STEP_MS as f64 / 1_000.0;
        while cost <= owed {
            owed -= cost;
            turn += 1;
            // Clients are spread unevenly: a third of them are at one node.
            let node = if turn % 3 == 0 { 0 } else { turn % case.n_nodes };
            let others = heard_ms[node].iter().enumerate().filter(|it| it.0 != node);
            let ages_ms = others.map(|it| now_ms - it.1);
            let view = ClusterView::new(case.n_nodes, case.gossip_ms, ages_ms);
            if nodes[node].try_admit(cost, view, now_ms).is_ok() {
                admitted.push((now_ms, cost));
                if nodes[node].needs_urgent_report() && told_ms[node] + URGENT_PAUSE_MS <= now_ms {
                    told_ms[node] = now_ms;
                    let is_heard = |idx: usize| !is_cut || case.n_cut <= idx.min(node);
                    tell(&mut nodes, node, incarnation, now_ms, is_heard);
                }
            }
        }
    }
    admitted
}

/// Tells those that hear it what a node admitted.
fn tell(
    nodes: &mut [SharedRate],
    from: usize,
    incarnation: u64,
    now_ms: u64,
    mut is_heard: impl FnMut(usize) -> bool,
) {
    let told = nodes[from].report();
    for (idx, node) in nodes.iter_mut().enumerate().filter(|it| it.0 != from) {
        if is_heard(idx) {
            node.handle_report(from as u64, incarnation, told, now_ms);
        }
    }
}

fn worst_window(admitted: &[(u64, f64)]) -> f64 {
    let sum = |from: u64| {
        let within = admitted.iter().filter(|it| (from..from + WINDOW_MS).contains(&it.0));
        within.map(|it| it.1).sum::<f64>()
    };
    (0..30_000 - WINDOW_MS).step_by(100).map(sum).fold(0.0, f64::max)
}

#[test]
fn a_lower_limit_holds_at_once() {
    let mut rate = SharedRate::new(Settings::default(), RATE, 10_000, 0);
    rate.set_rate(TeamRate { per_s: 1_000.0, burst: 1_000.0, ..RATE }, 0);
    let n_taken = (0..100).filter(|_| rate.try_admit(100.0, ALONE, 0).is_ok()).count();
    assert_eq!(n_taken, 10);
}

#[test]
fn the_wait_is_what_it_takes_to_fill() {
    let mut rate = SharedRate::new(Settings::default(), RATE, 10_000, 0);
    assert_eq!(rate.try_admit(100_000.0, ALONE, 0), Ok(()));
    assert_eq!(rate.try_admit(50_000.0, ALONE, 0), Err(500));
    assert_eq!(rate.try_admit(50_000.0, ALONE, 500), Ok(()));
}

#[test]
fn a_request_larger_than_the_burst_passes_when_the_bucket_is_full() {
    let mut rate = SharedRate::new(Settings::default(), RATE, 10_000, 0);
    assert_eq!(rate.try_admit(150_000.0, ALONE, 0), Ok(()));
    assert!(rate.try_admit(1.0, ALONE, 0).is_err(), "and is paid for afterwards");
}

#[test]
fn a_second_run_counts_like_the_first() {
    let mut rate = SharedRate::new(Settings::default(), RATE, 10_000, 0);
    assert_eq!(rate.try_admit(60_000.0, ALONE, 0), Ok(()));
    rate.charge_repeat(60_000.0);
    assert!((rate.admitted() - 120_000.0).abs() < 1.0);
    assert_eq!(rate.try_admit(10_000.0, ALONE, 0), Err(300));
}

//! A team's rate over several nodes: a hot team, nodes cut off from each other, nodes killed together.

use lentilhitch_policy::{
    shared_rate::{Peering, Settings, SharedRate},
    traffic::{RateUnit, TeamRate},
};

const RATE: TeamRate =
    TeamRate { per_s: 100_000.0, burst: 100_000.0, unit: RateUnit::Tokens { default_tokens: 200 } };
const WINDOW_MS: u64 = 8_000;
/// What the users allow beyond the rate, as a share, and the fixed allowance for what is under way.
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 140_000.0;
const COST: f64 = 2_000.0;
const ALONE: Peering = Peering { n_nodes: 1, silent_after_ms: SILENT_MS };
const SILENT_MS: u64 = 1_300;
const STEP_MS: u64 = 5;

struct Case {
    name: &'static str,
    n_nodes: usize,
    gossip_ms: u64,
    /// What the team asks for, as a multiple of its rate.
    demand: f64,
    /// Nodes hear nothing of each other from here to there.
    cut_ms: (u64, u64),
    /// All nodes start anew at this time.
    restart_ms: Option<u64>,
    /// The least part of the rate that must be used.
    used_min: f64,
}

#[test]
fn the_sum_stays_within_the_rate() {
    let quiet = (u64::MAX, u64::MAX);
    let cases = [
        Case {
            name: "hot team",
            n_nodes: 7,
            gossip_ms: 250,
            demand: 7.5,
            cut_ms: quiet,
            restart_ms: None,
            used_min: 0.9,
        },
        Case {
            name: "many nodes",
            n_nodes: 60,
            gossip_ms: 750,
            demand: 5.0,
            cut_ms: quiet,
            restart_ms: None,
            used_min: 0.8,
        },
        Case {
            name: "cut",
            n_nodes: 7,
            gossip_ms: 250,
            demand: 5.0,
            cut_ms: (9_000, 16_000),
            restart_ms: None,
            used_min: 0.8,
        },
        Case {
            name: "all killed at once",
            n_nodes: 7,
            gossip_ms: 250,
            demand: 5.0,
            cut_ms: quiet,
            restart_ms: Some(13_000),
            used_min: 0.8,
        },
        Case {
            name: "all of many killed at once",
            n_nodes: 60,
            gossip_ms: 750,
            demand: 5.0,
            cut_ms: quiet,
            restart_ms: Some(13_000),
            used_min: 0.7,
        },
        Case {
            name: "below its rate",
            n_nodes: 7,
            gossip_ms: 250,
            demand: 0.8,
            cut_ms: quiet,
            restart_ms: None,
            used_min: 0.78,
        },
    ];
    for case in cases {
        let admitted = play(&case);
        let worst = worst_window(&admitted);
        let allowed =
            (RATE.per_s * WINDOW_MS as f64 / 1_000.0 + RATE.burst) * (1.0 + OVERRUN) + SLACK;
        assert!(worst <= allowed, "{}: {worst} admitted in a window, {allowed} allowed", case.name);
        let total: f64 = admitted.iter().map(|it| it.1).sum();
        let used = total / (RATE.per_s * 30.0);
        assert!(case.used_min <= used, "{}: {used} of the rate used", case.name);
    }
}

fn play(case: &Case) -> Vec<(u64, f64)> {
    let new = |running_ms, now_ms| SharedRate::new(Settings::default(), RATE, running_ms, now_ms);
    let mut nodes: Vec<_> = (0..case.n_nodes).map(|_| new(10_000, 0)).collect();
    let mut life = 1;
    let mut admitted = Vec::new();
    let per_step = case.demand * RATE.per_s * STEP_MS as f64 / 1_000.0;
    let mut owed = 0.0;
    let mut turn = 0;
    for now_ms in (0..30_000).step_by(STEP_MS as usize) {
        if case.restart_ms == Some(now_ms) {
            nodes = (0..case.n_nodes).map(|_| new(0, now_ms)).collect();
            life += 1;
        }
        if now_ms % case.gossip_ms == 0 && !(case.cut_ms.0..case.cut_ms.1).contains(&now_ms) {
            let told: Vec<_> = nodes.iter().map(SharedRate::admitted).collect();
            for (idx, node) in nodes.iter_mut().enumerate() {
                for (peer, told) in told.iter().enumerate().filter(|it| it.0 != idx) {
                    node.hear(peer as u64, life, *told, now_ms);
                }
            }
        }
        owed += per_step;
        while COST <= owed {
            owed -= COST;
            turn += 1;
            // Clients are spread unevenly: a third of them are at one node.
            let node = if turn % 3 == 0 { 0 } else { turn % case.n_nodes };
            if nodes[node]
                .take(
                    COST,
                    Peering { n_nodes: case.n_nodes, silent_after_ms: 4 * case.gossip_ms + 300 },
                    now_ms,
                )
                .is_ok()
            {
                admitted.push((now_ms, COST));
            }
        }
    }
    admitted
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
    let n_taken = (0..100).filter(|_| rate.take(100.0, ALONE, 0).is_ok()).count();
    assert_eq!(n_taken, 10);
}

#[test]
fn the_wait_is_what_it_takes_to_fill() {
    let mut rate = SharedRate::new(Settings::default(), RATE, 10_000, 0);
    assert_eq!(rate.take(100_000.0, ALONE, 0), Ok(()));
    assert_eq!(rate.take(50_000.0, ALONE, 0), Err(500));
    assert_eq!(rate.take(50_000.0, ALONE, 500), Ok(()));
}

#[test]
fn a_request_larger_than_the_burst_passes_when_the_bucket_is_full() {
    let mut rate = SharedRate::new(Settings::default(), RATE, 10_000, 0);
    assert_eq!(rate.take(150_000.0, ALONE, 0), Ok(()));
    assert!(rate.take(1.0, ALONE, 0).is_err(), "and is paid for afterwards");
}

//! Brittle upstreams: all nodes together cause few enough rejections, whatever they know of the load, and still use the room.

use std::collections::VecDeque;

use lentilhitch_policy::{
    brittle::{BrittleUpstreams, Load},
    traffic::{EntryState, UpstreamEntry},
    upstream_limits::Members,
};
use lentilhitch_types::SoftwareVersion;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const N_UPSTREAMS: usize = 20;
const SLOTS: u32 = 8;
const WORK_STEPS: u64 = 10;
const STEP_MS: u64 = 10;
const N_STEPS: u64 = 600;
/// Steps after which nodes learn of the load.
const LOAD_AGE_STEPS: usize = 50;
const WINDOW_MS: u64 = 1_000;
/// Falls that the contract allows: two, and a tenth of the upstreams.
const N_FALLS_MAX: usize = 2 + N_UPSTREAMS / 10;

fn upstream(idx: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("engine-{idx}").parse().unwrap(),
        service: "draft".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: SoftwareVersion::default(),
        state: EntryState::Ready,
        slots: SLOTS,
        started_ms: 1,
        is_spot: false,
        leaves_in_ms: None,
    }
}

struct Simulated {
    entry: UpstreamEntry,
    /// Node and end of each running request.
    running: VecDeque<(usize, u64)>,
    rejected_ms: VecDeque<u64>,
    n_falls: usize,
    /// Numbers of running requests in the last steps.
    loads: VecDeque<u32>,
}

struct Outcome {
    n_falls: usize,
    n_served: usize,
}

/// Requests that clients send in a step: four times as many as there is room for.
const N_REQUESTS_PER_STEP: usize = 4 * N_UPSTREAMS * SLOTS as usize / WORK_STEPS as usize;

/// Lets clients send requests to nodes drawn at random, and these to one of the upstreams to which they may.
fn press(n_nodes: usize, rejections_max: u32) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(n_nodes as u64);
    let hashes: Vec<u64> = (0..n_nodes as u64).map(|it| it.wrapping_mul(0x9e37_79b9)).collect();
    let others: Vec<Vec<u64>> = (0..n_nodes)
        .map(|node| hashes.iter().copied().filter(|it| *it != hashes[node]).collect())
        .collect();
    let mut nodes = vec![BrittleUpstreams::default(); n_nodes];
    let simulated = |idx| Simulated {
        entry: upstream(idx),
        running: VecDeque::new(),
        rejected_ms: VecDeque::new(),
        n_falls: 0,
        loads: VecDeque::new(),
    };
    let mut upstreams: Vec<Simulated> = (0..N_UPSTREAMS).map(simulated).collect();
    let mut n_served = 0;
    for step in 0..N_STEPS {
        let now_ms = 10_000 + step * STEP_MS;
        for it in &mut upstreams {
            while it.running.front().is_some_and(|it| it.1 <= step) {
                it.running.pop_front();
                n_served += 1;
            }
            it.loads.push_back(it.running.len() as u32);
            if LOAD_AGE_STEPS < it.loads.len() {
                it.loads.pop_front();
            }
        }
        for _ in 0..N_REQUESTS_PER_STEP {
            let node = rng.random_range(0..n_nodes);
            nodes[node].record(&upstreams[0].entry.service, Some(rejections_max), now_ms);
            let members = Members { local: hashes[node], others: &others[node] };
            let first = rng.random_range(0..N_UPSTREAMS);
            let allowed = (first..first + N_UPSTREAMS).map(|it| it % N_UPSTREAMS).find(|idx| {
                let it = &upstreams[*idx];
                let n_unanswered = it.running.iter().filter(|it| it.0 == node).count() as u32;
                let n_requests = it.loads.front().copied().unwrap_or_default().max(n_unanswered);
                let load = Load { n_unanswered, n_requests };
                nodes[node].may_send(&it.entry, load, members, now_ms)
            });
            let Some(idx) = allowed else { continue };
            let it = &mut upstreams[idx];
            nodes[node].record_send(&it.entry, now_ms);
            if it.running.len() < SLOTS as usize {
                it.running.push_back((node, step + WORK_STEPS));
                continue;
            }
            nodes[node].record_rejection(&it.entry, now_ms);
            it.rejected_ms.push_back(now_ms);
            it.rejected_ms.retain(|at_ms| now_ms < at_ms + WINDOW_MS);
            if (rejections_max as usize) < it.rejected_ms.len() {
                it.n_falls += 1;
                it.rejected_ms.clear();
            }
        }
    }
    Outcome { n_falls: upstreams.iter().map(|it| it.n_falls).sum(), n_served }
}

/// Guards against nodes that together make brittle upstreams fall over, and against ones that leave their room unused.
#[test]
fn brittle_upstreams_are_used_and_do_not_fall_over_at_any_number_of_nodes() {
    struct Case {
        n_nodes: usize,
        rejections_max: u32,
    }
    let cases = [
        Case { n_nodes: 1, rejections_max: 4 },
        Case { n_nodes: 8, rejections_max: 4 },
        Case { n_nodes: 8, rejections_max: 20 },
        Case { n_nodes: 74, rejections_max: 6 },
        Case { n_nodes: 74, rejections_max: 100 },
        Case { n_nodes: 295, rejections_max: 20 },
        Case { n_nodes: 340, rejections_max: 6 },
    ];
    let n_slot_turns = N_UPSTREAMS * SLOTS as usize * (N_STEPS / WORK_STEPS) as usize;
    for Case { n_nodes, rejections_max } in cases {
        let Outcome { n_falls, n_served } = press(n_nodes, rejections_max);
        let name = format!("{n_nodes} nodes, {rejections_max} rejections");
        assert!(n_falls <= N_FALLS_MAX, "{name}: {n_falls} falls, {n_served} of {n_slot_turns}");
        assert!(
            n_slot_turns / 4 <= n_served,
            "{name}: {n_served} of {n_slot_turns}, {n_falls} falls"
        );
    }
}

/// Guards against upstreams that count as brittle after they have stopped to say so.
#[test]
fn brittleness_ends_with_the_statement() {
    let entry = upstream(0);
    let members = Members { local: 1, others: &[2] };
    let load = Load { n_unanswered: 1, n_requests: 8 };
    let mut brittle = BrittleUpstreams::default();
    assert!(brittle.may_send(&entry, load, members, 0), "nothing was stated");
    assert!(brittle.record(&entry.service, Some(2), 0));
    assert!(!brittle.record(&entry.service, Some(2), 1), "nothing new");
    assert!(brittle.is_brittle(&entry.service, 1));
    assert!(!brittle.may_send(&entry, load, members, 1), "its part of 1 is used");
    let idle = Load { n_unanswered: 0, n_requests: 8 };
    assert!(brittle.may_send(&entry, idle, members, 1));
    brittle.record_rejection(&entry, 1);
    assert!(!brittle.may_send(&entry, idle, members, 1_000), "a rejection in the last second");
    assert!(brittle.may_send(&entry, idle, members, 1_001));
    assert!(brittle.record(&entry.service, None, 1_002));
    assert!(!brittle.is_brittle(&entry.service, 1_002));
    assert!(brittle.may_send(&entry, load, members, 1_002));
    brittle.record(&entry.service, Some(2), 2_000);
    assert!(!brittle.is_brittle(&entry.service, 60_000), "no response for a minute");
}

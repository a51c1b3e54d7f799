//! The lease of the duties, on a simulated log whose answers get lost and whose appends take effect late, with nodes
//! that freeze, start again and are cut off.

use proptest::prelude::*;
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};

use lentilhitch_policy::duty::{Duty, DutyRecord, DutyStep, Next, Settings};
use lentilhitch_types::LogOffset;

const LEASE_MS: u64 = 3_000;
const N_NODES: usize = 4;

/// An append that is under way.
struct Pending {
    node: usize,
    record: DutyRecord,
    at: LogOffset,
    sent_ms: u64,
    done_ms: u64,
    answered_ms: Option<u64>,
}

struct Node {
    duty: Duty,
    busy_until_ms: u64,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    life: u64,
}

/// One act under a fencing number.
#[derive(Clone, Copy, Debug)]
struct Act {
    node: usize,
    life: u64,
    fence: LogOffset,
    at_ms: u64,
}

fn node(idx: usize, life: u64, now_ms: u64) -> Node {
    let duty =
        Duty::new(Settings::for_lease(LEASE_MS), format!("n{idx}").parse().unwrap(), life, now_ms);
    Node { duty, busy_until_ms: 0, frozen_until_ms: 0, cut_until_ms: 0, life }
}

fn play(seed: u64, duration_ms: u64) -> Vec<Act> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut log: Vec<DutyRecord> = Vec::new();
    let mut pending: Vec<Pending> = Vec::new();
    let mut nodes: Vec<_> = (0..N_NODES).map(|it| node(it, it as u64, 1_000)).collect();
    let mut acts = Vec::new();
    for now_ms in (1_000..1_000 + duration_ms).step_by(20) {
        pending.sort_by_key(|it| it.done_ms);
        let mut rest = Vec::new();
        for it in pending.drain(..) {
            if now_ms < it.done_ms {
                rest.push(it);
                continue;
            }
            let is_written = it.at.0 == log.len() as u64;
            if is_written {
                log.push(it.record.clone());
            }
            let Some(_) = it.answered_ms else { continue };
            let node = &mut nodes[it.node];
            if node.life != it.record.life {
                continue;
            }
            if is_written {
                node.duty.take_append(it.record.step, it.at, it.sent_ms);
            } else {
                node.duty.fail_append(true, now_ms);
            }
        }
        pending = rest;
        let heard: Vec<_> =
            nodes.iter().map(|it| it.duty.is_held(now_ms).then(|| it.duty.end())).collect();
        for (idx, node) in nodes.iter_mut().enumerate() {
            disturb(node, idx, now_ms, &mut rng);
            if now_ms < node.frozen_until_ms || now_ms < node.busy_until_ms {
                continue;
            }
            if rng.random_bool(0.3) {
                for end in heard.iter().enumerate().filter(|it| it.0 != idx).filter_map(|it| *it.1)
                {
                    node.duty.hear(end, now_ms);
                }
            }
            if let Some(fence) = node.duty.permit(now_ms).filter(|_| rng.random_bool(0.3)) {
                acts.push(Act { node: idx, life: node.life, fence, at_ms: now_ms });
            }
            let is_cut = now_ms < node.cut_until_ms;
            match node.duty.next(now_ms) {
                Next::Wait { .. } => {}
                Next::Read { .. } if is_cut => node.busy_until_ms = now_ms + 300,
                Next::Read { from } => {
                    let new = log.get(from.0 as usize..).and_then(<[_]>::last).cloned();
                    node.duty.take_reading(LogOffset(log.len() as u64), new, now_ms);
                }
                Next::Append { step, at } => {
                    let record = node.duty.record(step);
                    let is_lost = is_cut || rng.random_bool(0.1);
                    let delay_ms = if is_lost { rng.random_range(100..6_000) } else { 20 };
                    let answered_ms = (!is_lost).then_some(now_ms + delay_ms);
                    let done_ms = now_ms + delay_ms;
                    pending.push(Pending {
                        node: idx,
                        record,
                        at,
                        sent_ms: now_ms,
                        done_ms,
                        answered_ms,
                    });
                    if is_lost {
                        node.duty.fail_append(false, now_ms);
                        node.busy_until_ms = now_ms + 400;
                    } else {
                        node.busy_until_ms = done_ms + 1;
                    }
                }
            }
        }
    }
    acts
}

/// Freezes, cuts or restarts a node now and then.
fn disturb(it: &mut Node, idx: usize, now_ms: u64, rng: &mut impl Rng) {
    if rng.random_bool(0.002) {
        it.frozen_until_ms = now_ms + rng.random_range(500..5_000);
    }
    if rng.random_bool(0.002) {
        it.cut_until_ms = now_ms + rng.random_range(500..6_000);
    }
    if rng.random_bool(0.001) {
        let life = it.life + 100;
        *it = node(idx, life, now_ms);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    #[test]
    fn holders_follow_each_other(seed in any::<u64>()) {
        let acts = play(seed, 60_000);
        prop_assert!(!acts.is_empty(), "nobody ever held the lease");
        for pair in acts.windows(2) {
            let [a, b] = pair else { unreachable!() };
            prop_assert!(a.fence <= b.fence, "the fencing number fell: {a:?} {b:?}");
            let is_same = (a.node, a.life) == (b.node, b.life);
            prop_assert!(is_same || a.fence < b.fence, "two holders, one number: {a:?} {b:?}");
        }
        for (idx, first) in acts.iter().enumerate() {
            let later = acts[idx..].iter().take_while(|it| it.at_ms < first.at_ms + LEASE_MS);
            let mut has_other = false;
            for act in later {
                has_other |= act.node != first.node;
                let turns = has_other && act.node == first.node && act.life == first.life;
                prop_assert!(!turns, "two nodes take turns: {first:?} .. {act:?}");
            }
        }
    }
}

#[test]
fn the_lease_is_held_most_of_the_time() {
    let acts = play(7, 120_000);
    let mut seconds: Vec<_> = acts.iter().map(|it| it.at_ms / 1_000).collect();
    seconds.dedup();
    assert!(60 <= seconds.len(), "acts in {} of 120 seconds", seconds.len());
}

#[test]
fn a_released_lease_passes_on_at_once() {
    let settings = Settings::for_lease(LEASE_MS);
    let mut first = Duty::new(settings, "a".parse().unwrap(), 1, 0);
    first.take_append(DutyStep::Claim, LogOffset(0), 1_000);
    let release = first.record(DutyStep::Release);
    first.resign(1_500);
    let mut second = Duty::new(settings, "b".parse().unwrap(), 2, 0);
    second.take_reading(LogOffset(2), Some(release), 1_600);
    assert_eq!(second.next(1_600), Next::Append { step: DutyStep::Claim, at: LogOffset(2) });
    first.take_reading(LogOffset(2), Some(second.record(DutyStep::Release)), 1_700);
    assert!(matches!(first.next(1_700), Next::Wait { .. }), "a former holder waits a lease");
}

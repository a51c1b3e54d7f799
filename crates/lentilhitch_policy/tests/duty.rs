//! Tests of the duty lease on a simulated log.
//!
//! Responses of the log get lost, and appends take effect late. Nodes freeze, restart and lose their connection.

use proptest::prelude::*;
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};

use lentilhitch_policy::duty::{DutyLeaseView, DutyRecord, DutyStep, Next, Settings};
use lentilhitch_types::LogOffset;

const LEASE_MS: u64 = 3_000;
const N_NODES: usize = 4;

/// Append that has not taken effect yet.
struct Pending {
    node: usize,
    record: DutyRecord,
    at: LogOffset,
    sent_ms: u64,
    effective_ms: u64,
    response_ms: Option<u64>,
}

struct Node {
    duty: DutyLeaseView,
    busy_until_ms: u64,
    frozen_until_ms: u64,
    disconnected_until_ms: u64,
    incarnation: u64,
}

/// One action under a fencing token.
#[derive(Clone, Copy, Debug)]
struct Action {
    node: usize,
    incarnation: u64,
    fencing_token: LogOffset,
    at_ms: u64,
}

fn node(idx: usize, incarnation: u64, now_ms: u64) -> Node {
    let duty = DutyLeaseView::new(
        Settings::for_lease(LEASE_MS),
        format!("n{idx}").parse().unwrap(),
        incarnation,
        now_ms,
    );
    Node { duty, busy_until_ms: 0, frozen_until_ms: 0, disconnected_until_ms: 0, incarnation }
}

fn simulate(seed: u64, duration_ms: u64) -> Vec<Action> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut log: Vec<DutyRecord> = Vec::new();
    let mut pending: Vec<Pending> = Vec::new();
    let mut nodes: Vec<_> = (0..N_NODES).map(|it| node(it, it as u64, 1_000)).collect();
    let mut actions = Vec::new();
    for now_ms in (1_000..1_000 + duration_ms).step_by(20) {
        pending.sort_by_key(|it| it.effective_ms);
        let mut still_pending = Vec::new();
        for it in pending.drain(..) {
            if now_ms < it.effective_ms {
                still_pending.push(it);
                continue;
            }
            let is_written = it.at.0 == log.len() as u64;
            if is_written {
                log.push(it.record.clone());
            }
            let Some(_) = it.response_ms else { continue };
            let node = &mut nodes[it.node];
            if node.incarnation != it.record.incarnation {
                continue;
            }
            if is_written {
                node.duty.on_append(it.record.step, it.at, it.sent_ms);
            } else {
                node.duty.on_append_failed(true, now_ms);
            }
        }
        pending = still_pending;
        let reported_ends: Vec<_> =
            nodes.iter().map(|it| it.duty.is_held(now_ms).then(|| it.duty.end())).collect();
        for (idx, node) in nodes.iter_mut().enumerate() {
            inject_faults(node, idx, now_ms, &mut rng);
            if now_ms < node.frozen_until_ms || now_ms < node.busy_until_ms {
                continue;
            }
            if rng.random_bool(0.3) {
                for end in
                    reported_ends.iter().enumerate().filter(|it| it.0 != idx).filter_map(|it| *it.1)
                {
                    node.duty.on_holder_update(end, now_ms);
                }
            }
            if let Some(fencing_token) = node.duty.permit(now_ms).filter(|_| rng.random_bool(0.3)) {
                actions.push(Action {
                    node: idx,
                    incarnation: node.incarnation,
                    fencing_token,
                    at_ms: now_ms,
                });
            }
            let is_disconnected = now_ms < node.disconnected_until_ms;
            match node.duty.next(now_ms) {
                Next::Wait { .. } => {}
                Next::Read { .. } if is_disconnected => node.busy_until_ms = now_ms + 300,
                Next::Read { from } => {
                    let new = log.get(from.0 as usize..).and_then(<[_]>::last).cloned();
                    node.duty.on_read(LogOffset(log.len() as u64), new, now_ms);
                }
                Next::Append { step, topic_end } => {
                    let record = node.duty.record(step);
                    let is_lost = is_disconnected || rng.random_bool(0.1);
                    let delay_ms = if is_lost { rng.random_range(100..6_000) } else { 20 };
                    let response_ms = (!is_lost).then_some(now_ms + delay_ms);
                    let effective_ms = now_ms + delay_ms;
                    pending.push(Pending {
                        node: idx,
                        record,
                        at: topic_end,
                        sent_ms: now_ms,
                        effective_ms,
                        response_ms,
                    });
                    if is_lost {
                        node.duty.on_append_failed(false, now_ms);
                        node.busy_until_ms = now_ms + 400;
                    } else {
                        node.busy_until_ms = effective_ms + 1;
                    }
                }
            }
        }
    }
    actions
}

/// Freezes, disconnects or restarts a node at random.
fn inject_faults(target: &mut Node, idx: usize, now_ms: u64, rng: &mut impl Rng) {
    if rng.random_bool(0.002) {
        target.frozen_until_ms = now_ms + rng.random_range(500..5_000);
    }
    if rng.random_bool(0.002) {
        target.disconnected_until_ms = now_ms + rng.random_range(500..6_000);
    }
    if rng.random_bool(0.001) {
        let incarnation = target.incarnation + 100;
        *target = node(idx, incarnation, now_ms);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    #[test]
    fn holders_neither_overlap_nor_alternate(seed in any::<u64>()) {
        let actions = simulate(seed, 60_000);
        prop_assert!(!actions.is_empty(), "no node ever held the lease");
        for pair in actions.windows(2) {
            let [a, b] = pair else { unreachable!() };
            prop_assert!(a.fencing_token <= b.fencing_token, "the fencing token decreased: {a:?} {b:?}");
            let is_same = (a.node, a.incarnation) == (b.node, b.incarnation);
            prop_assert!(is_same || a.fencing_token < b.fencing_token, "two holders with one fencing token: {a:?} {b:?}");
        }
        for (idx, first) in actions.iter().enumerate() {
            let later = actions[idx..].iter().take_while(|it| it.at_ms < first.at_ms + LEASE_MS);
            let mut has_other_holder = false;
            for action in later {
                has_other_holder |= action.node != first.node;
                let is_alternating = has_other_holder && action.node == first.node && action.incarnation == first.incarnation;
                prop_assert!(!is_alternating, "two nodes alternate within one lease: {first:?} .. {action:?}");
            }
        }
    }
}

#[test]
fn the_lease_is_held_most_of_the_time() {
    let actions = simulate(7, 120_000);
    let mut seconds: Vec<_> = actions.iter().map(|it| it.at_ms / 1_000).collect();
    seconds.dedup();
    assert!(60 <= seconds.len(), "actions in {} of 120 seconds", seconds.len());
}

#[test]
fn a_released_lease_can_be_claimed_at_once() {
    let settings = Settings::for_lease(LEASE_MS);
    let mut first = DutyLeaseView::new(settings, "a".parse().unwrap(), 1, 0);
    first.on_append(DutyStep::Claim, LogOffset(0), 1_000);
    let release = first.record(DutyStep::Release);
    first.resign(1_500);
    let mut second = DutyLeaseView::new(settings, "b".parse().unwrap(), 2, 0);
    second.on_read(LogOffset(2), Some(release), 1_600);
    assert_eq!(second.next(1_600), Next::Append { step: DutyStep::Claim, topic_end: LogOffset(2) });
    first.on_read(LogOffset(2), Some(second.record(DutyStep::Release)), 1_700);
    assert!(
        matches!(first.next(1_700), Next::Wait { .. }),
        "a former holder waits for a full lease"
    );
}

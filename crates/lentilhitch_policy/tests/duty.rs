//! Tests of the duty lease on a simulated log.
//!
//! Responses of the log get lost, and appends take effect late. Nodes freeze, restart and lose their connection.

use proptest::prelude::*;
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};

use lentilhitch_policy::duty::{DutyLeaseView, DutyRecord, DutyStep, Next, Settings};
use lentilhitch_types::{LogPosition, StoreEra};

const LEASE_MS: u64 = 3_000;
const N_NODES: usize = 4;
/// Maximum age of the copy from which the store returns.
const COPY_AGE_MAX_MS: u64 = 8_000;
const RESTORES_PER_TICK: f64 = 0.001;
const RELEASES_PER_TICK: f64 = 0.002;

/// Append that has not taken effect yet.
struct Pending {
    node: usize,
    record: DutyRecord,
    at: LogPosition,
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
    fencing_token: LogPosition,
    at_ms: u64,
}

fn node(idx: usize, incarnation: u64, now_ms: u64) -> Node {
    let is_first_start = incarnation < N_NODES as u64;
    let duty = DutyLeaseView::new(
        Settings { is_first_start, ..Settings::for_lease(LEASE_MS) },
        format!("n{idx}").parse().unwrap(),
        incarnation,
        now_ms,
    );
    Node { duty, busy_until_ms: 0, frozen_until_ms: 0, disconnected_until_ms: 0, incarnation }
}

fn simulate(seed: u64, duration_ms: u64, restores_per_tick: f64) -> Vec<Action> {
    let mut rng = SmallRng::seed_from_u64(seed);
    // Each record with the time of its append.
    let mut log: Vec<(DutyRecord, u64)> = Vec::new();
    let mut era = StoreEra(1);
    let mut pending: Vec<Pending> = Vec::new();
    let mut nodes: Vec<_> = (0..N_NODES).map(|it| node(it, it as u64, 1_000)).collect();
    let mut actions = Vec::new();
    for now_ms in (1_000..1_000 + duration_ms).step_by(20) {
        if rng.random_bool(restores_per_tick) {
            // The store returns from a copy that is up to some seconds old.
            let copied_ms = now_ms - rng.random_range(0..COPY_AGE_MAX_MS).min(now_ms);
            log.retain(|it| it.1 < copied_ms);
            era = StoreEra(era.0 + 1);
        }
        pending.sort_by_key(|it| it.effective_ms);
        let mut still_pending = Vec::new();
        for it in pending.drain(..) {
            if now_ms < it.effective_ms {
                still_pending.push(it);
                continue;
            }
            // The store knows the offset only.
            let is_written = it.at.offset() == log.len() as u64;
            if is_written {
                log.push((it.record.clone(), now_ms));
            }
            let Some(_) = it.response_ms else { continue };
            let node = &mut nodes[it.node];
            if node.incarnation != it.record.incarnation {
                continue;
            }
            if is_written && it.at.era() == era {
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
            if node.duty.is_held(now_ms) && rng.random_bool(RELEASES_PER_TICK) {
                // The holder stops as planned and starts again.
                let is_at_end = node.duty.end() == LogPosition::new(era, log.len() as u64);
                if is_at_end {
                    log.push((node.duty.record(DutyStep::Release), now_ms));
                }
                let incarnation = node.incarnation + 100;
                *node = self::node(idx, incarnation, now_ms);
            }
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
                    let from = if from.era() == era { from.offset() as usize } else { 0 };
                    let new = log.get(from..).and_then(<[_]>::last).map(|it| it.0.clone());
                    node.duty.on_read(LogPosition::new(era, log.len() as u64), new, now_ms);
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
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn holders_neither_overlap_nor_alternate(seed in any::<u64>()) {
        for restores_per_tick in [0.0, RESTORES_PER_TICK] {
        let actions = simulate(seed, 60_000, restores_per_tick);
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
}

#[test]
fn the_lease_is_held_most_of_the_time() {
    let actions = simulate(7, 120_000, 0.0);
    let mut seconds: Vec<_> = actions.iter().map(|it| it.at_ms / 1_000).collect();
    seconds.dedup();
    assert!(60 <= seconds.len(), "actions in {} of 120 seconds", seconds.len());
}

#[test]
fn a_released_lease_can_be_claimed_at_once() {
    let settings = Settings::for_lease(LEASE_MS);
    let mut first = DutyLeaseView::new(settings, "a".parse().unwrap(), 1, 0);
    first.on_append(DutyStep::Claim, LogPosition::from(0), 1_000);
    let release = first.record(DutyStep::Release);
    first.resign(1_500);
    let mut second = DutyLeaseView::new(settings, "b".parse().unwrap(), 2, 0);
    second.on_read(LogPosition::from(1), Some(first.record(DutyStep::Claim)), 1_100);
    second.on_read(LogPosition::from(2), Some(release.clone()), 5_000);
    let claim = Next::Append { step: DutyStep::Claim, topic_end: LogPosition::from(2) };
    assert_eq!(second.next(5_000), claim);
    let mut started_now = DutyLeaseView::new(settings, "c".parse().unwrap(), 3, 4_900);
    started_now.on_read(LogPosition::from(2), Some(release), 5_000);
    assert!(
        matches!(started_now.next(5_000), Next::Wait { .. }),
        "a release that a new process finds may be that of a copy"
    );
    first.on_read(LogPosition::from(2), Some(second.record(DutyStep::Release)), 1_700);
    assert!(
        matches!(first.next(1_700), Next::Wait { .. }),
        "a former holder waits for a full lease"
    );
}

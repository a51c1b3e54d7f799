//! Checks that a frozen process is detected and becomes alive again, and that a broken link alone marks no peer as
//! dead.

use lentilhitch_chart::charts::peer::State;
use lentilhitch_policy::membership::{Membership, Settings};
use lentilhitch_types::{Incarnation, InstanceName};

fn peer() -> InstanceName {
    "entry-2".parse().unwrap()
}

struct Case {
    name: &'static str,
    /// Seconds at which a heartbeat is received.
    heartbeats_s: &'static [u64],
    /// Seconds at which another process reports that it receives the peer's heartbeats.
    seen_by_other_s: &'static [u64],
    expected: &'static [(u64, State)],
}

#[test]
fn a_peer_is_dead_only_if_no_other_process_sees_it() {
    let cases = [
        Case {
            name: "steady",
            heartbeats_s: &[0, 1, 2, 3, 4, 5, 6, 7, 8],
            seen_by_other_s: &[],
            expected: &[(8, State::Alive)],
        },
        Case {
            name: "dead after the timeout and the suspicion period",
            heartbeats_s: &[0],
            seen_by_other_s: &[],
            expected: &[(1, State::Alive), (2, State::Suspect), (4, State::Dead), (8, State::Dead)],
        },
        Case {
            name: "link broken, another process sees the peer",
            heartbeats_s: &[0],
            seen_by_other_s: &[3, 5, 7],
            expected: &[(3, State::Alive), (5, State::Alive), (8, State::Alive)],
        },
        Case {
            name: "frozen, then running again",
            heartbeats_s: &[0, 6, 7, 8],
            seen_by_other_s: &[],
            expected: &[(4, State::Dead), (6, State::Alive), (8, State::Alive)],
        },
    ];
    for case in cases {
        let mut membership = Membership::new(Settings::default(), [peer()]);
        for now_s in 0..=8 {
            let now_ms = now_s * 1000;
            if case.heartbeats_s.contains(&now_s) {
                membership.on_heartbeat(&peer(), Incarnation(1), now_ms);
            }
            membership.tick(now_ms);
            if case.seen_by_other_s.contains(&now_s) {
                membership.on_seen_by_other(&peer(), Incarnation(1), now_ms);
            }
            for (_, state) in case.expected.iter().filter(|it| it.0 == now_s) {
                assert_eq!(membership.state(&peer()), *state, "{} at {now_s} s", case.name);
            }
        }
    }
}

#[test]
fn an_earlier_incarnation_is_ignored() {
    let mut membership = Membership::new(Settings::default(), [peer()]);
    membership.on_heartbeat(&peer(), Incarnation(5), 0);
    membership.on_leaving(&peer(), Incarnation(5), 0);
    membership.on_heartbeat(&peer(), Incarnation(4), 1);
    membership.on_heartbeat(&peer(), Incarnation(5), 1);
    assert_eq!(membership.state(&peer()), State::Leaving);
    membership.on_heartbeat(&peer(), Incarnation(6), 2);
    assert_eq!(membership.state(&peer()), State::Alive);
}

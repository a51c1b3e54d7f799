//! Tests for following a topic whose records expire and whose calls fail.

use std::ops::RangeInclusive;

use rand::{SeedableRng, rngs::SmallRng};

use lentilhitch_policy::cursor::{CallResult, Cursor, Lag, NextCall, Settings};
use lentilhitch_types::LogPosition;

struct Case {
    name: &'static str,
    results: Vec<CallResult>,
    wait_ms: RangeInclusive<u64>,
    next_call: NextCall,
}

#[test]
fn each_call_result_determines_the_next_call() {
    use CallResult::{Expired, Failed, UpTo};
    let (at_5, at_9) = (LogPosition::from(5), LogPosition::from(9));
    let cases = [
        Case {
            name: "listed",
            results: vec![UpTo(at_5)],
            wait_ms: 750..=1_000,
            next_call: NextCall::Read(at_5),
        },
        Case {
            name: "read on",
            results: vec![UpTo(at_5), UpTo(at_9)],
            wait_ms: 750..=1_000,
            next_call: NextCall::Read(at_9),
        },
        Case {
            name: "the position has expired when a node takes over: it lists at once",
            results: vec![UpTo(at_5), Expired],
            wait_ms: 0..=0,
            next_call: NextCall::List,
        },
        Case {
            name: "a failure is followed by a short delay at the same position",
            results: vec![UpTo(at_5), Failed],
            wait_ms: 50..=100,
            next_call: NextCall::Read(at_5),
        },
        Case {
            name: "delays grow up to the maximum",
            results: vec![Failed; 12],
            wait_ms: 400..=800,
            next_call: NextCall::List,
        },
        Case {
            name: "a successful read resets the backoff",
            results: vec![Failed, Failed, Failed, UpTo(at_5), Failed],
            wait_ms: 50..=100,
            next_call: NextCall::Read(at_5),
        },
    ];
    for case in cases {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut cursor = Cursor::new(Settings { poll_interval_ms: 1_000, ..Settings::default() });
        let waits: Vec<_> = case.results.iter().map(|it| cursor.on_result(*it, &mut rng)).collect();
        let last_ms = waits[waits.len() - 1];
        assert!(case.wait_ms.contains(&last_ms), "{}: {last_ms} ms", case.name);
        assert_eq!(cursor.next_call(), case.next_call, "{}", case.name);
    }
}

#[test]
fn peers_are_queried_only_when_the_store_has_no_update() {
    // Whether a peer has a newer state, every 250 ms, and whether a peer is then queried.
    let cases = [
        ("the store delivers the update in time", vec![true, true, false, true], vec![false; 4]),
        ("the store is unavailable", vec![true; 5], vec![false, false, true, true, true]),
        (
            "the store delivers the update late",
            vec![true, true, true, false],
            vec![false, false, true, false],
        ),
    ];
    for (name, is_behind, expected) in cases {
        let mut lag = Lag::default();
        let steps = is_behind.into_iter().zip((0..).step_by(250));
        let queries_peer: Vec<_> = steps.map(|(it, now_ms)| lag.update(it, now_ms)).collect();
        assert_eq!(queries_peer, expected, "{name}");
    }
}

//! Following a topic whose history goes away, and whose calls fail.

use std::ops::RangeInclusive;

use rand::{SeedableRng, rngs::SmallRng};

use lentilhitch_policy::cursor::{CallResult, Cursor, Lag, NextCall, Settings};
use lentilhitch_types::LogOffset;

struct Case {
    name: &'static str,
    results: Vec<CallResult>,
    wait_ms: RangeInclusive<u64>,
    next_call: NextCall,
}

#[test]
fn each_end_of_a_call_leads_to_the_next_one() {
    use CallResult::{Expired, Failed, UpTo};
    let (at_5, at_9) = (LogOffset(5), LogOffset(9));
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
            name: "a node that takes over finds its place gone: it lists at once",
            results: vec![UpTo(at_5), Expired],
            wait_ms: 0..=0,
            next_call: NextCall::List,
        },
        Case {
            name: "a failure is followed by a short pause at the same place",
            results: vec![UpTo(at_5), Failed],
            wait_ms: 50..=100,
            next_call: NextCall::Read(at_5),
        },
        Case {
            name: "pauses grow up to the longest",
            results: vec![Failed; 12],
            wait_ms: 400..=800,
            next_call: NextCall::List,
        },
        Case {
            name: "a reading ends the failures",
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
fn peers_are_asked_only_when_the_store_does_not_tell() {
    // Whether a peer has something newer each 250 ms, and whether one is then asked.
    let cases = [
        ("the store tells in time", vec![true, true, false, true], vec![false; 4]),
        ("the store is away", vec![true; 5], vec![false, false, true, true, true]),
        ("told at last", vec![true, true, true, false], vec![false, false, true, false]),
    ];
    for (name, is_behind, expected) in cases {
        let mut lag = Lag::default();
        let steps = is_behind.into_iter().zip((0..).step_by(250));
        let queries_peer: Vec<_> = steps.map(|(it, now_ms)| lag.update(it, now_ms)).collect();
        assert_eq!(queries_peer, expected, "{name}");
    }
}

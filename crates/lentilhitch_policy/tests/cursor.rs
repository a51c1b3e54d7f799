//! Tests for following a topic whose records expire and whose calls fail.

use std::ops::RangeInclusive;

use rand::{SeedableRng, rngs::SmallRng};

use lentilhitch_policy::cursor::{CALL_LIMIT_MS, CallResult, Cursor, Lag, NextCall, Settings};
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
            next_call: NextCall::Read { from: at_5, wait_ms: 0 },
        },
        Case {
            name: "read on",
            results: vec![UpTo(at_5), UpTo(at_9)],
            wait_ms: 750..=1_000,
            next_call: NextCall::Read { from: at_9, wait_ms: 0 },
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
            next_call: NextCall::Read { from: at_5, wait_ms: 0 },
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
            next_call: NextCall::Read { from: at_5, wait_ms: 0 },
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

/// Guards against a node that learns of a new configuration seconds after the store has returned, because its read
/// waits on a connection on which the store answers nothing any more.
#[test]
fn a_node_reads_the_configuration_soon_after_the_store_has_fallen_silent() {
    /// Time that the store takes to answer a call that need not wait.
    const ANSWER_MS: u64 = 4;
    /// Longest silence that is tried, and the step between those that are.
    const SILENCE_MAX_MS: u64 = 12_000;
    const STEP_MS: usize = 50;
    /// Silence begins this long after a read has been sent.
    const PHASES_MS: [u64; 4] = [0, 200, 700, 2_500];
    for contact_ms in [3_000, 5_000] {
        let settings = Settings::for_config(contact_ms);
        for silence_ms in (0..=SILENCE_MAX_MS).step_by(STEP_MS) {
            for (seed, phase_ms) in PHASES_MS.into_iter().enumerate() {
                let mut rng = SmallRng::seed_from_u64(seed as u64);
                let mut cursor = Cursor::new(settings);
                let mut sent_ms = cursor.on_result(CallResult::UpTo(1.into()), &mut rng);
                let silent_from_ms = sent_ms + phase_ms;
                let back_ms = silent_from_ms + silence_ms;
                // When the first call since the return that is answered was sent.
                loop {
                    let wait_ms = match cursor.next_call() {
                        NextCall::List => 0,
                        NextCall::Read { wait_ms, .. } => wait_ms,
                    };
                    let answered_ms = sent_ms + wait_ms + ANSWER_MS;
                    if back_ms <= sent_ms {
                        break;
                    }
                    // A call that meets the silence is not answered after it either.
                    let (result, end_ms) = if answered_ms <= silent_from_ms {
                        (CallResult::UpTo(1.into()), answered_ms)
                    } else {
                        (CallResult::Failed, sent_ms + wait_ms + CALL_LIMIT_MS)
                    };
                    sent_ms = end_ms + cursor.on_result(result, &mut rng);
                }
                let late_ms = sent_ms + ANSWER_MS - back_ms;
                assert!(
                    late_ms < contact_ms,
                    "contact {contact_ms} ms, silence of {silence_ms} ms, {phase_ms} ms after a read: {late_ms} ms"
                );
            }
        }
    }
}

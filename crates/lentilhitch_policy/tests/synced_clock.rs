//! Synchronized time stays correct while some of the clocks jump.

use lentilhitch_policy::synced_clock::SyncedClock;

const NOW_MS: u64 = 100_000;
/// Correct offset of the synchronized clock in these cases.
const SYNCED_OFFSET_MS: i64 = 5_000_000;

#[test]
fn the_median_of_recent_clocks_is_used() {
    struct Case {
        name: &'static str,
        local_error_ms: i64,
        /// Error of each peer's clock and time since its offset was received, in milliseconds.
        peers: Vec<(i64, u64)>,
        error_max_ms: u64,
    }
    let cases = [
        Case {
            name: "all clocks are correct",
            local_error_ms: 0,
            peers: vec![(1, 0), (-1, 0), (2, 0)],
            error_max_ms: 2,
        },
        Case {
            name: "the local clock jumped",
            local_error_ms: 2_400,
            peers: vec![(0, 0), (1, 0), (0, 0)],
            error_max_ms: 2,
        },
        Case {
            name: "two of six clocks jumped",
            local_error_ms: 0,
            peers: vec![(-2_400, 0), (2_400, 0), (0, 0), (1, 0), (0, 0)],
            error_max_ms: 2,
        },
        Case {
            name: "no peers, and the local clock jumped",
            local_error_ms: 2_400,
            peers: vec![],
            error_max_ms: 2,
        },
        Case {
            name: "no recent offsets from peers, and the local clock jumped",
            local_error_ms: -2_400,
            peers: vec![(0, 9_000), (0, 9_000)],
            error_max_ms: 2,
        },
        Case {
            name: "no peers, and the local clock drifts",
            local_error_ms: 40,
            peers: vec![],
            error_max_ms: 40,
        },
    ];
    for case in cases {
        let mut clock = SyncedClock::default();
        let wall_ms =
            |error_ms: i64| (NOW_MS.cast_signed() + SYNCED_OFFSET_MS + error_ms).cast_unsigned();
        clock.update(wall_ms(0), &[], NOW_MS);
        let peers: Vec<_> =
            case.peers.iter().map(|it| (SYNCED_OFFSET_MS + it.0, NOW_MS - it.1)).collect();
        clock.update(wall_ms(case.local_error_ms), &peers, NOW_MS);
        let error_ms = clock.now_ms(NOW_MS).unwrap().abs_diff(wall_ms(0));
        assert!(error_ms <= case.error_max_ms, "{}: off by {error_ms} ms", case.name);
    }
}

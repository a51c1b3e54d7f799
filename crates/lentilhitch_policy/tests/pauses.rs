//! Pauses of upstreams: in force for the incarnation that asked for them, as long as it asked, and not much longer.

use rand::{SeedableRng as _, rngs::SmallRng};

use lentilhitch_policy::{
    pauses::{PAUSE_MAX_MS, Pauses},
    traffic::{EntryState, UpstreamEntry},
};
use lentilhitch_types::SoftwareVersion;

const NOW_MS: u64 = 10_000;

fn upstream(id: &str, started_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: id.parse().unwrap(),
        service: "draft".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        state: EntryState::Ready,
        slots: 4,
        started_ms,
        is_spot: false,
        version: SoftwareVersion::default(),
        leaves_in_ms: None,
    }
}

#[test]
fn pause_is_in_force_for_the_time_and_the_incarnation_that_asked_for_it() {
    struct Case {
        name: &'static str,
        /// Duration of each pause and when it is recorded.
        pauses: &'static [(u64, u64)],
        started_ms: u64,
        asked_at_ms: u64,
        is_paused: bool,
    }
    let case = Case {
        name: "at once",
        pauses: &[(2_000, 0)],
        started_ms: 1,
        asked_at_ms: 0,
        is_paused: true,
    };
    let cases = [
        Case { name: "until its end", asked_at_ms: 1_999, ..case },
        Case { name: "after its end and the spread", asked_at_ms: 2_501, is_paused: false, ..case },
        Case { name: "a new incarnation", started_ms: 2, is_paused: false, ..case },
        Case {
            name: "a shorter pause does not shorten one in force",
            pauses: &[(2_000, 0), (100, 500)],
            asked_at_ms: 1_999,
            ..case
        },
        Case {
            name: "a longer pause extends one in force",
            pauses: &[(2_000, 0), (4_000, 500)],
            asked_at_ms: 4_499,
            ..case
        },
        Case { name: "of no length", pauses: &[(0, 0)], is_paused: false, ..case },
        Case {
            name: "longer than the maximum",
            pauses: &[(u64::MAX, 0)],
            asked_at_ms: 2 * PAUSE_MAX_MS,
            is_paused: false,
            ..case
        },
        case,
    ];
    for case in cases {
        for seed in 0..20 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut pauses = Pauses::default();
            for (pause_ms, at_ms) in case.pauses {
                pauses.record(&upstream("u", 1), *pause_ms, NOW_MS + at_ms, &mut rng);
            }
            let asked = upstream("u", case.started_ms);
            let remaining_ms = pauses.remaining_ms(&asked, NOW_MS + case.asked_at_ms);
            assert_eq!(remaining_ms.is_some(), case.is_paused, "{}, seed {seed}", case.name);
            assert_eq!(pauses.remaining_ms(&upstream("v", 1), NOW_MS), None, "{}", case.name);
        }
    }
}

/// Load pattern: an upstream turns away hundreds of nodes at one moment with the same pause.
#[test]
fn nodes_that_were_turned_away_at_one_moment_return_spread_out() {
    const N_NODES: u64 = 340;
    const PAUSE_MS: u64 = 2_000;
    const WINDOW_MS: u64 = 50;
    let ends_ms = (0..N_NODES).map(|seed| {
        let mut pauses = Pauses::default();
        pauses.record(&upstream("u", 1), PAUSE_MS, 0, &mut SmallRng::seed_from_u64(seed));
        pauses.remaining_ms(&upstream("u", 1), 0).unwrap()
    });
    let mut n_by_window = [0; 11];
    for end_ms in ends_ms {
        n_by_window[((end_ms - PAUSE_MS) / WINDOW_MS) as usize] += 1;
    }
    let n_max = n_by_window.into_iter().max().unwrap();
    assert!(n_max < N_NODES / 5, "{n_by_window:?}");
}

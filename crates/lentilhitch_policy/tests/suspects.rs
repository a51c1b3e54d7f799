//! Requests that crash upstreams are stopped; those that were merely there, or whose answers got lost, are not.

use lentilhitch_policy::suspects::Suspects;
use lentilhitch_types::Fingerprint;

fn life(upstream: &str, born_ms: u64) -> (lentilhitch_types::UpstreamName, u64) {
    (upstream.parse().unwrap(), born_ms)
}

#[test]
fn presence_at_several_crashes_stops_a_request() {
    struct Case {
        name: &'static str,
        /// The life under which the request broke, and whether that life crashed.
        broken: Vec<(&'static str, u64, bool)>,
        is_stopped: bool,
    }
    let cases = [
        Case { name: "nothing", broken: vec![], is_stopped: false },
        Case {
            name: "two crashes",
            broken: vec![("a", 1, true), ("b", 1, true)],
            is_stopped: false,
        },
        Case {
            name: "three crashes",
            broken: vec![("a", 1, true), ("b", 1, true), ("c", 1, true)],
            is_stopped: true,
        },
        Case {
            name: "three lives of one upstream",
            broken: vec![("a", 1, true), ("a", 2, true), ("a", 3, true)],
            is_stopped: true,
        },
        Case {
            name: "lost answers of living upstreams",
            broken: vec![("a", 1, false), ("b", 1, false), ("c", 1, false), ("d", 1, false)],
            is_stopped: false,
        },
    ];
    let request = Fingerprint(7);
    for case in cases {
        let mut suspects = Suspects::default();
        for (upstream, born_ms, has_crashed) in case.broken {
            let life = life(upstream, born_ms);
            suspects.broke(life.clone(), request, 1_000);
            if has_crashed {
                suspects.crashed(&life, 1_500);
                suspects.crashed(&life, 1_600);
            }
        }
        assert_eq!(suspects.is_stopped(request), case.is_stopped, "{}", case.name);
    }
}

#[test]
fn evidence_of_peers_counts_and_is_the_same_everywhere() {
    let request = Fingerprint(7);
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    for upstream in ["a", "b", "c"] {
        there.broke(life(upstream, 1), request, 1_000);
        for (request, crash) in there.crashed(&life(upstream, 1), 1_100) {
            here.note(request, crash);
            here.note(request, crash);
        }
    }
    assert!(here.is_stopped(request) && there.is_stopped(request));
    let old = Fingerprint(8);
    here.broke(life("d", 1), old, 1_000);
    assert!(here.crashed(&life("d", 1), 60_000).is_empty(), "a break of long before the crash");
}

//! Requests that crash upstreams are stopped; those that were merely there, or whose answers got lost, are not.

use lentilhitch_policy::suspects::Suspects;
use lentilhitch_types::Fingerprint;

fn incarnation(upstream: &str, started_ms: u64) -> (lentilhitch_types::UpstreamName, u64) {
    (upstream.parse().unwrap(), started_ms)
}

#[test]
fn presence_at_several_crashes_stops_a_request() {
    struct Case {
        name: &'static str,
        /// The incarnation under which the request broke, and whether that incarnation crashed.
        broken: Vec<(&'static str, u64, bool)>,
        is_quarantined: bool,
    }
    let cases = [
        Case { name: "nothing", broken: vec![], is_quarantined: false },
        Case {
            name: "two crashes",
            broken: vec![("a", 1, true), ("b", 1, true)],
            is_quarantined: false,
        },
        Case {
            name: "three crashes",
            broken: vec![("a", 1, true), ("b", 1, true), ("c", 1, true)],
            is_quarantined: true,
        },
        Case {
            name: "three lives of one upstream",
            broken: vec![("a", 1, true), ("a", 2, true), ("a", 3, true)],
            is_quarantined: true,
        },
        Case {
            name: "lost answers of living upstreams",
            broken: vec![("a", 1, false), ("b", 1, false), ("c", 1, false), ("d", 1, false)],
            is_quarantined: false,
        },
    ];
    let request = Fingerprint(7);
    for case in cases {
        let mut suspects = Suspects::default();
        for (upstream, started_ms, has_crashed) in case.broken {
            let incarnation = incarnation(upstream, started_ms);
            suspects.record_broken_connection(incarnation.clone(), request, 1_000);
            if has_crashed {
                suspects.record_crash(&incarnation, 1_500);
                suspects.record_crash(&incarnation, 1_600);
            }
        }
        assert_eq!(suspects.is_quarantined(request), case.is_quarantined, "{}", case.name);
    }
}

#[test]
fn evidence_of_peers_counts_and_is_the_same_everywhere() {
    let request = Fingerprint(7);
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    for upstream in ["a", "b", "c"] {
        there.record_broken_connection(incarnation(upstream, 1), request, 1_000);
        for (request, crash) in there.record_crash(&incarnation(upstream, 1), 1_100) {
            here.insert_evidence(request, crash);
            here.insert_evidence(request, crash);
        }
    }
    assert!(here.is_quarantined(request) && there.is_quarantined(request));
    let old = Fingerprint(8);
    here.record_broken_connection(incarnation("d", 1), old, 1_000);
    assert!(
        here.record_crash(&incarnation("d", 1), 60_000).is_empty(),
        "a break of long before the crash"
    );
}

//! Requests that were present at several crashes of upstreams are quarantined. Requests that were present at fewer, or
//! whose responses were lost without a crash, are not.

use lentilhitch_policy::suspects::{QuarantinedRequest, Suspect, Suspects};
use lentilhitch_types::Fingerprint;

fn incarnation(upstream: &str, started_ms: u64) -> (lentilhitch_types::UpstreamName, u64) {
    (upstream.parse().unwrap(), started_ms)
}

/// A request without a prompt.
fn suspect(request: Fingerprint) -> Suspect {
    Suspect { request, segments: [].into() }
}

#[test]
fn presence_at_three_crashes_quarantines_a_request() {
    struct Case {
        name: &'static str,
        /// Incarnations of upstreams at which the connection broke, and whether each incarnation crashed.
        broken_connections: Vec<(&'static str, u64, bool)>,
        is_quarantined: bool,
    }
    let cases = [
        Case { name: "no broken connection", broken_connections: vec![], is_quarantined: false },
        Case {
            name: "two crashes",
            broken_connections: vec![("a", 1, true), ("b", 1, true)],
            is_quarantined: false,
        },
        Case {
            name: "three crashes",
            broken_connections: vec![("a", 1, true), ("b", 1, true), ("c", 1, true)],
            is_quarantined: true,
        },
        Case {
            name: "three crashed incarnations of one upstream",
            broken_connections: vec![("a", 1, true), ("a", 2, true), ("a", 3, true)],
            is_quarantined: true,
        },
        Case {
            name: "lost responses of upstreams that did not crash",
            broken_connections: vec![
                ("a", 1, false),
                ("b", 1, false),
                ("c", 1, false),
                ("d", 1, false),
            ],
            is_quarantined: false,
        },
    ];
    let request = Fingerprint(7);
    for case in cases {
        let mut suspects = Suspects::default();
        for (upstream, started_ms, has_crashed) in case.broken_connections {
            let incarnation = incarnation(upstream, started_ms);
            suspects.record_broken_connection(incarnation.clone(), suspect(request), 1_000);
            if has_crashed {
                suspects.record_crash(&incarnation, 1_500);
                suspects.record_crash(&incarnation, 1_600);
            }
        }
        assert_eq!(suspects.is_quarantined(request), case.is_quarantined, "{}", case.name);
    }
}

#[test]
fn evidence_from_a_peer_counts_like_local_evidence() {
    let request = Fingerprint(7);
    let (mut local, mut peer) = (Suspects::default(), Suspects::default());
    for upstream in ["a", "b", "c"] {
        peer.record_broken_connection(incarnation(upstream, 1), suspect(request), 1_000);
        for (request, crash) in peer.record_crash(&incarnation(upstream, 1), 1_100) {
            local.insert_evidence(request, crash);
            local.insert_evidence(request, crash);
        }
    }
    assert!(local.is_quarantined(request) && peer.is_quarantined(request));
    let unrelated = Fingerprint(8);
    local.record_broken_connection(incarnation("d", 1), suspect(unrelated), 1_000);
    assert!(
        local.record_crash(&incarnation("d", 1), 60_000).is_empty(),
        "the connection broke too long before the crash"
    );
}

/// Guards against nodes that are told of a quarantine only once.
#[test]
fn quarantined_requests_are_reported_again_and_again() {
    const REMINDERS_MAX: usize = 8;
    const REMINDER_INTERVAL_MS: u64 = 1_000;
    let (mut local, mut peer) = (Suspects::default(), Suspects::default());
    let requests: Vec<_> = (0..2 * REMINDERS_MAX as u128).map(Fingerprint).collect();
    for request in &requests {
        for crash in 0..3 {
            local.insert_evidence(*request, crash);
        }
    }
    let mut now_ms = 10_000;
    for _ in 0..3 {
        let reminders = local.take_reminders(now_ms);
        let latest = requests.iter().rev().take(REMINDERS_MAX).copied();
        assert_eq!(reminders, latest.map(QuarantinedRequest).collect::<Vec<_>>());
        assert_eq!(local.take_reminders(now_ms + REMINDER_INTERVAL_MS - 1), []);
        let is_first = !peer.is_quarantined(requests[REMINDERS_MAX]);
        for it in reminders {
            assert_eq!(peer.on_quarantined(it), is_first);
        }
        now_ms += REMINDER_INTERVAL_MS;
    }
    assert!(requests[REMINDERS_MAX..].iter().all(|it| peer.is_quarantined(*it)));
    assert!(peer.is_stopped(&suspect(requests[REMINDERS_MAX])));
    assert!(!peer.is_quarantined(requests[0]));
}

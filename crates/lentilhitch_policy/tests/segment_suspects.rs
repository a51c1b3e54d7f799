//! Prompt segments that crash upstreams are quarantined at all nodes in time, and no others are: neither those that share
//! requests with them, nor those of requests that were lost when many upstreams crashed at once.

use lentilhitch_policy::suspects::segments::{SegmentReport, SegmentSuspects, Settings};
use lentilhitch_types::SegmentId;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const SETTINGS: Settings = Settings {
    n_crashes: 3,
    moment_ms: 300,
    objection_ms: 1_000,
    quarantine_ms: 300_000,
    reminder_interval_ms: 1_000,
};
const CRASHING: SegmentId = SegmentId(0xCAFE);
const OTHER: SegmentId = SegmentId(0x0DD);
const START_MS: u64 = 1_000_000;

enum Event {
    Crash(u64),
    Answer,
    PeerCrash(u64),
    PeerAnswer,
    /// A peer reports a quarantine of the given age.
    PeerQuarantine(u64),
}
use Event::{Answer, Crash, PeerAnswer, PeerCrash, PeerQuarantine};

struct Case {
    name: &'static str,
    /// Events, each at a time after the start.
    events: Vec<(u64, Event)>,
    checked_ms: u64,
    is_quarantined: bool,
}

/// Returns three crashes and further events.
fn three_and(more: Vec<(u64, Event)>) -> Vec<(u64, Event)> {
    let mut events = vec![(0, Crash(1)), (500, Crash(2)), (900, Crash(3))];
    events.extend(more);
    events
}

fn peer_crash(crash: u64) -> SegmentReport {
    SegmentReport::Crash { segment: CRASHING, crash, position: 1, was_answered: false }
}

fn cases_of_answers() -> Vec<Case> {
    vec![
        Case {
            name: "two crashes",
            events: vec![(0, Crash(1)), (500, Crash(2))],
            checked_ms: 9_000,
            is_quarantined: false,
        },
        Case {
            name: "the same crash three times",
            events: vec![(0, Crash(1)), (500, Crash(1)), (900, PeerCrash(1))],
            checked_ms: 9_000,
            is_quarantined: false,
        },
        Case {
            name: "three crashes at one moment",
            events: vec![(0, Crash(1)), (100, Crash(2)), (200, Crash(3))],
            checked_ms: 9_000,
            is_quarantined: false,
        },
        Case {
            name: "three crashes, time to object",
            events: three_and(vec![]),
            checked_ms: 1_800,
            is_quarantined: false,
        },
        Case {
            name: "three crashes, no objection",
            events: three_and(vec![]),
            checked_ms: 1_900,
            is_quarantined: true,
        },
        Case {
            name: "crashes seen by peers",
            events: vec![(0, PeerCrash(1)), (500, Crash(2)), (900, PeerCrash(3))],
            checked_ms: 1_900,
            is_quarantined: true,
        },
        Case {
            name: "objection of this node",
            events: three_and(vec![(1_500, Answer)]),
            checked_ms: 9_000,
            is_quarantined: false,
        },
        Case {
            name: "objection of a peer",
            events: three_and(vec![(1_500, PeerAnswer)]),
            checked_ms: 9_000,
            is_quarantined: false,
        },
        Case {
            name: "crashes shortly after an answer",
            events: vec![(0, Answer), (100, Crash(1)), (500, Crash(2)), (900, Crash(3))],
            checked_ms: 9_000,
            is_quarantined: false,
        },
        Case {
            name: "crashes long after an answer",
            events: vec![(0, Answer), (2_000, Crash(1)), (2_400, Crash(2)), (2_800, Crash(3))],
            checked_ms: 3_800,
            is_quarantined: true,
        },
        Case {
            name: "answer after the quarantine",
            events: three_and(vec![(3_000, PeerAnswer)]),
            checked_ms: 9_000,
            is_quarantined: false,
        },
    ]
}

fn cases_of_quarantines() -> Vec<Case> {
    vec![
        Case {
            name: "quarantine of a peer",
            events: vec![(0, PeerQuarantine(2_000))],
            checked_ms: 0,
            is_quarantined: true,
        },
        Case {
            name: "quarantine of a peer from before an answer",
            events: vec![(0, PeerAnswer), (1_000, PeerQuarantine(1_500))],
            checked_ms: 9_000,
            is_quarantined: false,
        },
        Case {
            name: "quarantine of a peer that is over",
            events: vec![(0, PeerQuarantine(SETTINGS.quarantine_ms))],
            checked_ms: 0,
            is_quarantined: false,
        },
        Case {
            name: "end of a quarantine",
            events: three_and(vec![]),
            checked_ms: 1_900 + SETTINGS.quarantine_ms,
            is_quarantined: false,
        },
        Case {
            name: "one crash after a quarantine",
            events: three_and(vec![(400_000, Crash(4))]),
            checked_ms: 401_000,
            is_quarantined: true,
        },
    ]
}

#[test]
fn crashes_and_answers_decide_on_a_segment() {
    for case in cases_of_answers().into_iter().chain(cases_of_quarantines()) {
        let mut suspects = SegmentSuspects::new(SETTINGS);
        for now_ms in (0..=case.checked_ms).step_by(100) {
            for (_, event) in case.events.iter().filter(|it| it.0 == now_ms) {
                let now_ms = START_MS + now_ms;
                match event {
                    Crash(crash) => suspects.record_crash(*crash, &[CRASHING], now_ms),
                    Answer => suspects.record_answer(&[CRASHING], now_ms),
                    PeerCrash(crash) => {
                        suspects.on_report(peer_crash(*crash), now_ms);
                    }
                    PeerAnswer => {
                        suspects.on_report(SegmentReport::Answered(CRASHING), now_ms);
                    }
                    PeerQuarantine(age_ms) => {
                        let (segment, age_ms) = (CRASHING, *age_ms);
                        suspects.on_report(SegmentReport::Quarantined { segment, age_ms }, now_ms);
                    }
                }
            }
            suspects.decide(START_MS + now_ms);
        }
        assert_eq!(suspects.is_quarantined(CRASHING), case.is_quarantined, "{}", case.name);
    }
}

#[test]
fn crash_of_a_quarantined_segment_does_not_count_against_others() {
    let mut suspects = SegmentSuspects::new(SETTINGS);
    suspects.record_crash(1, &[CRASHING], START_MS);
    for crash in 2..8 {
        suspects.record_crash(crash, &[CRASHING, OTHER], START_MS + crash * 200);
        suspects.decide(START_MS + crash * 200);
    }
    suspects.decide(START_MS + 5_000);
    assert!(suspects.is_quarantined(CRASHING));
    assert!(!suspects.is_quarantined(OTHER), "explained by the segment at all of its crashes");
}

/// A request that runs on an upstream.
struct Run {
    node: usize,
    upstream: usize,
    segments: Vec<SegmentId>,
    end_ms: u64,
}

/// Nodes that exchange their reports with a delay, and upstreams that run their requests.
struct Fleet {
    nodes: Vec<SegmentSuspects>,
    runs: Vec<Run>,
    /// Start of each upstream after its last crash.
    upstreams: Vec<u64>,
    /// Reports on their way, with their arrival and sender.
    in_transit: Vec<(u64, usize, SegmentReport)>,
    rng: SmallRng,
    now_ms: u64,
    n_crashes: u64,
}

const STEP_MS: u64 = 20;
/// Time that a report takes to the other nodes.
const DELAY_MS: u64 = 500;
const RESTART_MS: u64 = 4_000;
/// Segments that many sound requests share, and the requests per second of each.
const N_SHARED: u64 = 12;

impl Fleet {
    fn new(n_nodes: usize, n_upstreams: usize, seed: u64) -> Self {
        Self {
            nodes: vec![SegmentSuspects::new(SETTINGS); n_nodes],
            runs: Vec::new(),
            upstreams: vec![0; n_upstreams],
            in_transit: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            now_ms: START_MS,
            n_crashes: 0,
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let arrived: Vec<_> = self.in_transit.extract_if(.., |it| it.0 <= now_ms).collect();
        for (_, from, report) in arrived {
            for (_, node) in self.nodes.iter_mut().enumerate().filter(|it| it.0 != from) {
                node.on_report(report, now_ms);
            }
        }
        let ended: Vec<_> = self.runs.extract_if(.., |it| it.end_ms <= now_ms).collect();
        for run in ended {
            if run.segments.contains(&CRASHING) {
                self.crash(run.upstream, Some(run));
            } else {
                self.nodes[run.node].record_answer(&run.segments, now_ms);
            }
        }
        for (idx, node) in self.nodes.iter_mut().enumerate() {
            node.decide(now_ms);
            let reports = node.take_reports(now_ms).into_iter();
            self.in_transit.extend(reports.map(|it| (now_ms + DELAY_MS, idx, it)));
        }
    }

    fn crash(&mut self, upstream: usize, cause: Option<Run>) {
        self.n_crashes += 1;
        self.upstreams[upstream] = self.now_ms + RESTART_MS;
        let lost = self.runs.extract_if(.., |it| it.upstream == upstream);
        for run in lost.chain(cause) {
            self.nodes[run.node].record_crash(self.n_crashes, &run.segments, self.now_ms);
        }
    }

    /// Sends a request, unless one of its segments is quarantined at its node. Returns whether it was sent.
    fn send(&mut self, segments: Vec<SegmentId>, run_ms: u64) -> bool {
        let node = self.rng.random_range(0..self.nodes.len());
        if segments.iter().any(|it| self.nodes[node].is_quarantined(*it)) {
            return false;
        }
        let running: Vec<_> =
            (0..self.upstreams.len()).filter(|it| self.upstreams[*it] <= self.now_ms).collect();
        if running.is_empty() {
            return true;
        }
        let upstream = running[self.rng.random_range(0..running.len())];
        self.runs.push(Run { node, upstream, segments, end_ms: self.now_ms + run_ms });
        true
    }

    /// Sends a sound request with two shared segments. Returns whether it was sent.
    fn send_sound(&mut self) -> bool {
        let first = SegmentId(self.rng.random_range(0..3));
        let second = SegmentId(100 + self.rng.random_range(0..N_SHARED));
        let run_ms = self.rng.random_range(200..3_000);
        self.send(vec![first, second], run_ms)
    }
}

/// Guards against requests that share a prompt segment and crash one upstream after the other, each request anew.
#[test]
fn crashing_segment_is_quarantined_within_the_contact_time_of_the_fifth_crash() {
    /// Time after the fifth crash by which nodes must know of it, and requests that may still be sent then.
    const CONTACT_MS: u64 = 3_000;
    const N_LATE_MAX: usize = 3;
    for seed in 0..20 {
        for (n_nodes, n_upstreams, crashing_per_s) in [(8, 18, 0.7), (8, 18, 8.0), (40, 60, 3.0)] {
            let name = format!("seed {seed}, {n_nodes} nodes, {crashing_per_s} a second");
            let mut fleet = Fleet::new(n_nodes, n_upstreams, seed);
            let (mut fifth_crash_ms, mut n_late) = (None, 0);
            let (mut n_sound, mut n_refused) = (0, 0);
            for _ in 0..40_000 / STEP_MS {
                fleet.step();
                if 5 <= fleet.n_crashes && fifth_crash_ms.is_none() {
                    fifth_crash_ms = Some(fleet.now_ms);
                }
                if fleet.rng.random_bool(35.0 * STEP_MS as f64 / 1_000.0) {
                    n_sound += 1;
                    n_refused += usize::from(!fleet.send_sound());
                }
                if fleet.rng.random_bool(crashing_per_s * STEP_MS as f64 / 1_000.0) {
                    let shared = SegmentId(100 + fleet.rng.random_range(0..N_SHARED));
                    let is_sent = fleet.send(vec![SegmentId(0), shared, CRASHING], 100);
                    let is_late = fifth_crash_ms.is_some_and(|it| it + CONTACT_MS < fleet.now_ms);
                    n_late += usize::from(is_sent && is_late);
                }
            }
            assert!(SETTINGS.n_crashes as u64 <= fleet.n_crashes, "{name}");
            assert!(n_late <= N_LATE_MAX, "{name}: {n_late} requests were sent too late");
            // The contract demands that at least half of the sound requests are served.
            assert!(2 * n_refused < n_sound, "{name}: refused {n_refused} of {n_sound}");
        }
    }
}

/// Guards against a segment that all requests of a route share and that is taken for the cause with it, at nodes that have
/// not seen any answer so far.
#[test]
fn segment_that_all_requests_share_stays_in_use_without_any_answer() {
    let mut suspects = SegmentSuspects::new(SETTINGS);
    for crash in 1..6 {
        suspects.record_crash(crash, &[OTHER, CRASHING], START_MS + crash * 400);
        suspects.decide(START_MS + crash * 400);
    }
    suspects.decide(START_MS + 5_000);
    assert!(suspects.is_quarantined(CRASHING));
    assert!(!suspects.is_quarantined(OTHER));
}

/// Guards against sound segments that are taken for the cause when half of the upstreams crash at once.
#[test]
fn segments_of_requests_lost_in_a_mass_crash_stay_in_use() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(8, 18, seed);
        let (mut n_sent, mut n_refused) = (0, 0);
        for step in 0..20_000 / STEP_MS {
            fleet.step();
            if step * STEP_MS == 6_000 || step * STEP_MS == 12_000 {
                for upstream in 0..9 {
                    fleet.crash(upstream, None);
                }
            }
            if fleet.rng.random_bool(35.0 * STEP_MS as f64 / 1_000.0) {
                n_sent += 1;
                n_refused += usize::from(!fleet.send_sound());
            }
        }
        assert_eq!(n_refused, 0, "seed {seed}: refused {n_refused} of {n_sent}");
    }
}

/// Segment that requests of one session share.
const SESSION: SegmentId = SegmentId(0x5E55);

/// Crashes upstreams by requests with the given segments, one at each node in turn.
fn crash_in_turn(fleet: &mut Fleet, segments: &[SegmentId], n_crashes: usize) {
    for idx in 0..n_crashes {
        let node = idx % fleet.nodes.len();
        fleet.n_crashes += 1;
        fleet.nodes[node].record_crash(fleet.n_crashes, segments, fleet.now_ms);
        for _ in 0..1_500 / STEP_MS {
            fleet.step();
        }
    }
}

/// Guards against a segment of sound requests that is quarantined in place of the crashing one, because only one node has
/// answered these requests, and not lately.
#[test]
fn segment_that_one_node_has_answered_before_a_pause_stays_in_use() {
    for n_nodes in [2, 5, 40] {
        let mut fleet = Fleet::new(n_nodes, 1, 0);
        fleet.nodes[0].record_answer(&[OTHER, SESSION], START_MS);
        fleet.now_ms += 10_000;
        crash_in_turn(&mut fleet, &[OTHER, CRASHING, SESSION], 6);
        for (idx, node) in fleet.nodes.iter().enumerate() {
            assert!(node.is_quarantined(CRASHING), "{n_nodes} nodes, node {idx}");
            assert!(!node.is_quarantined(SESSION), "{n_nodes} nodes, node {idx}");
            assert!(!node.is_quarantined(OTHER), "{n_nodes} nodes, node {idx}");
        }
    }
}

/// Guards against a quarantine of the wrong segment by a node that has lost the reports of answers, which the others take
/// over without comparing it with what they know.
#[test]
fn report_of_a_quarantine_is_compared_with_earlier_answers() {
    let mut fleet = Fleet::new(3, 1, 0);
    fleet.nodes[0].record_answer(&[OTHER, SESSION], START_MS);
    let mut uninformed = SegmentSuspects::new(SETTINGS);
    fleet.now_ms += 10_000;
    for crash in 1..=3 {
        let segments = [OTHER, CRASHING, SESSION];
        uninformed.record_crash(crash, &segments, fleet.now_ms);
        fleet.nodes[1].record_crash(crash, &segments, fleet.now_ms);
        for _ in 0..400 / STEP_MS {
            fleet.step();
        }
    }
    (0..DELAY_MS / STEP_MS).for_each(|_| fleet.step());
    uninformed.decide(fleet.now_ms + SETTINGS.objection_ms);
    assert!(uninformed.is_quarantined(SESSION), "nothing tells the segments apart");
    let report = SegmentReport::Quarantined { segment: SESSION, age_ms: 0 };
    assert_eq!(fleet.nodes[0].on_report(report, fleet.now_ms), Some(SESSION));
    assert!(!fleet.nodes[0].is_quarantined(SESSION));
    for it in fleet.nodes[0].take_reports(fleet.now_ms) {
        uninformed.on_report(it, fleet.now_ms);
    }
    uninformed.decide(fleet.now_ms + SETTINGS.objection_ms);
    assert!(!uninformed.is_quarantined(SESSION), "a node that knows better objects");
    assert!(uninformed.is_quarantined(CRASHING), "its crashes are not explained any more");
}

/// Guards against an objection by a node that knows only a part of the crashes.
#[test]
fn node_that_knows_too_few_crashes_does_not_object() {
    let mut suspects = SegmentSuspects::new(SETTINGS);
    suspects.record_answer(&[CRASHING], START_MS);
    suspects.record_crash(1, &[CRASHING, OTHER], START_MS + 10_000);
    let report = SegmentReport::Quarantined { segment: CRASHING, age_ms: 0 };
    suspects.on_report(report, START_MS + 11_000);
    assert!(suspects.is_quarantined(CRASHING));
}

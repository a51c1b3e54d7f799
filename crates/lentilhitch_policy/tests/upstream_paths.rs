//! Paths to upstreams: a partition of the node is told from failures of single upstreams, and peers of a zone that is cut
//! off as a whole are given up soon.

use std::net::SocketAddr;

use Event::{Connected as Open, Refused, TimedOut};
use lentilhitch_policy::{
    gossip::message::NodeAddress,
    suspects::UpstreamIncarnation,
    upstream_paths::{ConnectFailure, Connected, Settings, UpstreamCounts, UpstreamPaths},
};
use rand::{SeedableRng as _, rngs::SmallRng};

const START_MS: u64 = 10_000;

fn incarnation(name: &str) -> UpstreamIncarnation {
    (name.parse().unwrap(), 1)
}

/// Upstreams of the own zone. All others are in another one.
const LOCAL: [&str; 2] = ["a", "b"];

fn failure(name: &str, is_refused: bool) -> ConnectFailure {
    let is_local = LOCAL.contains(&name);
    ConnectFailure { incarnation: incarnation(name), is_refused, is_local }
}

#[derive(Clone, Copy)]
enum Event {
    /// The upstream refuses a connection.
    Refused(&'static str),
    /// A connection to the upstream times out.
    TimedOut(&'static str),
    /// A connection to some upstream is opened.
    Connected,
}

struct Case {
    name: &'static str,
    n_upstreams: usize,
    events: &'static [Event],
    is_cut_off: bool,
    /// Upstreams that have refused connections before the next one that is opened.
    refused: &'static [&'static str],
}

const CASES: [Case; 10] = [
    Case {
        name: "one upstream crashes",
        n_upstreams: 22,
        events: &[Refused("a")],
        is_cut_off: false,
        refused: &["a"],
    },
    Case {
        name: "one upstream refuses again and again",
        n_upstreams: 22,
        events: &[Refused("a"), Refused("a"), Refused("a"), Refused("a")],
        is_cut_off: false,
        refused: &["a"],
    },
    Case {
        name: "many upstreams crash, and others are reached meanwhile",
        n_upstreams: 22,
        events: &[Refused("a"), Refused("b"), Open, Refused("c"), Refused("d"), Open],
        is_cut_off: false,
        refused: &[],
    },
    Case {
        name: "refused by many, and none is reached",
        n_upstreams: 22,
        events: &[
            Refused("a"),
            Refused("b"),
            Refused("c"),
            Refused("d"),
            Refused("e"),
            Refused("f"),
            Refused("g"),
            Refused("h"),
        ],
        is_cut_off: true,
        refused: &["a", "b", "c", "d", "e", "f", "g", "h"],
    },
    Case {
        name: "several have crashed, and others are about to be tried",
        n_upstreams: 9,
        events: &[Refused("a"), Refused("b"), Refused("c"), Refused("d"), Refused("e")],
        is_cut_off: false,
        refused: &["a", "b", "c", "d", "e"],
    },
    Case {
        name: "connections hang",
        n_upstreams: 22,
        events: &[
            TimedOut("a"),
            TimedOut("b"),
            TimedOut("c"),
            TimedOut("d"),
            TimedOut("e"),
            TimedOut("f"),
            TimedOut("g"),
            TimedOut("h"),
        ],
        is_cut_off: true,
        refused: &[],
    },
    Case {
        name: "the zone is cut off from the others",
        n_upstreams: 22,
        events: &[
            TimedOut("c"),
            TimedOut("d"),
            TimedOut("e"),
            TimedOut("f"),
            TimedOut("g"),
            TimedOut("h"),
            TimedOut("i"),
            TimedOut("j"),
        ],
        is_cut_off: false,
        refused: &[],
    },
    Case {
        name: "the zone is cut off from the others, and one of its upstreams crashes",
        n_upstreams: 22,
        events: &[TimedOut("c"), TimedOut("d"), Refused("a"), TimedOut("e")],
        is_cut_off: false,
        refused: &["a"],
    },
    Case {
        name: "all upstreams of a small deployment",
        n_upstreams: 2,
        events: &[Refused("a"), Refused("b")],
        is_cut_off: true,
        refused: &["a", "b"],
    },
    Case {
        name: "one of two",
        n_upstreams: 2,
        events: &[Refused("a")],
        is_cut_off: false,
        refused: &["a"],
    },
];

/// Guards against a node that takes its own partition for crashes of upstreams, and against one that takes crashes for its
/// own partition.
#[test]
fn partition_of_the_node_is_told_from_failures_of_upstreams() {
    for case in CASES {
        let mut paths = UpstreamPaths::new(Settings::default());
        let mut n_notices = 0;
        for (idx, event) in case.events.iter().enumerate() {
            let now_ms = START_MS + idx as u64;
            let counts = UpstreamCounts { n_all: case.n_upstreams, n_local: LOCAL.len() };
            let mut fail = |name, is_refused| {
                paths.on_connect_failed(failure(name, is_refused), counts, now_ms)
            };
            match event {
                Refused(name) => n_notices += u32::from(fail(name, true)),
                TimedOut(name) => n_notices += u32::from(fail(name, false)),
                Open => {
                    paths.on_connected();
                }
            }
        }
        let since_ms = paths.cut_off_since_ms();
        assert_eq!(since_ms, case.is_cut_off.then_some(START_MS), "{}", case.name);
        assert_eq!(n_notices, u32::from(case.is_cut_off), "{}", case.name);
        let refused = case.refused.iter().map(|it| incarnation(it)).collect();
        let connected = Connected { cut_off_since_ms: since_ms, refused };
        assert_eq!(paths.on_connected(), connected, "{}", case.name);
        assert_eq!(paths.cut_off_since_ms(), None, "{}", case.name);
        assert_eq!(paths.on_connected(), Connected::default(), "{}", case.name);
    }
}

fn peers(n_local: u16, n_remote: u16) -> Vec<NodeAddress> {
    let peer = |idx: u16| NodeAddress {
        node: u64::from(idx),
        zone: u32::from(n_local <= idx),
        gossip: ([10, 0, 0, 1], 10_000 + idx).into(),
        exchange: ([10, 0, 0, 1], 20_000 + idx).into(),
    };
    (0..n_local + n_remote).map(peer).collect()
}

/// Guards against clients that are rejected one after the other while a node tries each peer of a zone that is cut off.
#[test]
fn peers_of_a_zone_that_is_cut_off_are_given_up_soon() {
    struct Case {
        n_local: u16,
        n_remote: u16,
    }
    /// Peers that a request may be passed to in one attempt.
    const N_TRIED_MAX: usize = 4;
    const N_REQUESTS: u64 = 1_000;
    const INTERVAL_MS: u64 = 20;
    let cases = [
        Case { n_local: 1, n_remote: 6 },
        Case { n_local: 18, n_remote: 55 },
        Case { n_local: 48, n_remote: 246 },
        Case { n_local: 10, n_remote: 329 },
    ];
    for Case { n_local, n_remote } in cases {
        let peers = peers(n_local, n_remote);
        let is_local =
            |it: SocketAddr| peers.iter().any(|peer| peer.exchange == it && peer.zone == 0);
        let mut rng = SmallRng::seed_from_u64(u64::from(n_local));
        let mut paths = UpstreamPaths::new(Settings::default());
        let mut n_failed = 0;
        for idx in 0..N_REQUESTS {
            let now_ms = START_MS + idx * INTERVAL_MS;
            let is_served = (0..N_TRIED_MAX).any(|_| {
                let peer = paths.choose_peer(&peers, 0, now_ms, &mut rng).unwrap();
                if is_local(peer) {
                    paths.on_peer_failed(peer, now_ms);
                }
                !is_local(peer)
            });
            n_failed += u32::from(!is_served);
        }
        assert!(n_failed <= 10, "{n_local} of the zone: {n_failed} of {N_REQUESTS} not served");
    }
}

/// Guards against bytes between zones where a peer of the own zone reaches the upstreams.
#[test]
fn peers_of_the_own_zone_come_first() {
    let peers = peers(2, 6);
    let mut rng = SmallRng::seed_from_u64(1);
    let paths = UpstreamPaths::new(Settings::default());
    let chosen: Vec<_> =
        (0..50).filter_map(|_| paths.choose_peer(&peers, 0, START_MS, &mut rng)).collect();
    assert_eq!(chosen.len(), 50);
    assert!(peers[..2].iter().all(|it| chosen.contains(&it.exchange)));
    assert!(peers[2..].iter().all(|it| !chosen.contains(&it.exchange)));
    assert_eq!(paths.choose_peer(&[], 0, START_MS, &mut rng), None);
}

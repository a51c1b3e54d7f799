//! Origins of streams: known to the node that is asked as long as a holder lives, and inferred only from a single version.

use lentilhitch_policy::{
    gossip::message::NodeAddress,
    stream_origins::{
        OriginRecord, StreamKey, StreamOrigin, StreamOrigins, holders, nodes_to_ask,
        possible_holders, would_be_known,
    },
    traffic::{EntryState, UpstreamEntry},
};
use lentilhitch_types::SoftwareVersion;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const LIFETIME_MS: u64 = 30_000;
const START_MS: u64 = 1_000;

fn upstream(version: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: "engine".parse().unwrap(),
        service: "draft".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: SoftwareVersion::from(version.to_owned()),
        state: EntryState::Ready,
        slots: 8,
        started_ms: 1,
        is_spot: false,
        leaves_in_ms: None,
    }
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin::of(&upstream(version))
}

fn set_versions(origins: &mut StreamOrigins, versions: &[&str], is_first: bool, now_ms: u64) {
    let upstreams: Vec<_> = versions.iter().map(|it| upstream(it)).collect();
    origins.on_upstreams_changed(upstreams.iter(), is_first, now_ms);
}

fn new_origins() -> StreamOrigins {
    let mut origins = StreamOrigins::default();
    origins.set_timeout_max_ms(LIFETIME_MS / 2, 0);
    origins
}

/// Guards against a node that takes the version it sees now for the one that began an earlier stream.
#[test]
fn version_is_inferred_only_if_there_was_no_other_while_a_stream_may_last() {
    struct Case {
        name: &'static str,
        is_first_start: bool,
        /// Versions that have upstreams from each time on.
        changes: &'static [(u64, &'static [&'static str])],
        now_ms: u64,
        sole: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "one version since the first start",
            is_first_start: true,
            changes: &[(START_MS, &["v1"])],
            now_ms: START_MS,
            sole: Some("v1"),
        },
        Case {
            name: "one version, restarted node",
            is_first_start: false,
            changes: &[(START_MS, &["v1"])],
            now_ms: START_MS + LIFETIME_MS - 1,
            sole: None,
        },
        Case {
            name: "one version, node restarted long ago",
            is_first_start: false,
            changes: &[(START_MS, &["v1"])],
            now_ms: START_MS + LIFETIME_MS,
            sole: Some("v1"),
        },
        Case {
            name: "two versions",
            is_first_start: true,
            changes: &[(START_MS, &["v1"]), (5_000, &["v1", "v2"])],
            now_ms: 5_000 + 2 * LIFETIME_MS,
            sole: None,
        },
        Case {
            name: "the other version is gone",
            is_first_start: true,
            changes: &[(START_MS, &["v1", "v2"]), (5_000, &["v2"])],
            now_ms: 5_000 + LIFETIME_MS - 1,
            sole: None,
        },
        Case {
            name: "the other version is gone for long, without a change since",
            is_first_start: true,
            changes: &[(START_MS, &["v1", "v2"]), (5_000, &["v2"])],
            now_ms: 5_000 + LIFETIME_MS,
            sole: Some("v2"),
        },
        Case {
            name: "no upstream for a moment",
            is_first_start: true,
            changes: &[(START_MS, &["v1"]), (5_000, &[]), (6_000, &["v2"])],
            now_ms: 7_000,
            sole: None,
        },
        Case {
            name: "no upstream was known yet",
            is_first_start: true,
            changes: &[],
            now_ms: START_MS,
            sole: None,
        },
    ];
    for case in cases {
        let mut origins = new_origins();
        for (at_ms, versions) in case.changes {
            set_versions(&mut origins, versions, case.is_first_start, *at_ms);
        }
        let sole = origins.sole_origin(origin("v1").service, case.now_ms);
        assert_eq!(sole, case.sole.map(origin), "{}", case.name);
    }
}

/// Guards against a version that is forgotten while streams which began there may still be taken up, because a
/// configuration has lowered the timeout or the client waits for longer than it.
#[test]
fn version_counts_as_long_as_a_client_may_take_up_a_stream_that_began_there() {
    struct Case {
        name: &'static str,
        /// How long the client of the stream waits.
        wait_ms: u64,
        /// Longest timeouts of the streaming routes, each from a time on.
        timeouts: &'static [(u64, u64)],
        /// Until when the version counts that is gone since [`GONE_MS`].
        until_ms: u64,
    }
    const BEGAN_MS: u64 = 10_000;
    const GONE_MS: u64 = 12_000;
    let cases = [
        Case {
            name: "the timeout stays",
            wait_ms: 15_000,
            timeouts: &[(0, 15_000)],
            until_ms: GONE_MS + 30_000,
        },
        Case {
            name: "lowered while the stream runs",
            wait_ms: 15_000,
            timeouts: &[(0, 15_000), (11_000, 5_000)],
            until_ms: 11_000 + 30_000,
        },
        Case {
            name: "lowered again and again",
            wait_ms: 15_000,
            timeouts: &[(0, 15_000), (11_000, 5_000), (11_500, 1_000), (13_000, 2_000)],
            until_ms: 11_000 + 30_000,
        },
        Case {
            name: "lowered to almost nothing for a moment",
            wait_ms: 15_000,
            timeouts: &[(0, 15_000), (13_000, 1), (13_100, 4_000)],
            until_ms: GONE_MS + 30_000,
        },
        Case {
            name: "lowered long before, and the client waits for longer",
            wait_ms: 15_000,
            timeouts: &[(0, 5_000)],
            until_ms: BEGAN_MS + 30_000,
        },
        Case {
            name: "raised",
            wait_ms: 5_000,
            timeouts: &[(0, 5_000), (11_000, 15_000)],
            until_ms: GONE_MS + 30_000,
        },
    ];
    for case in cases {
        let mut origins = StreamOrigins::default();
        let mut timeouts = case.timeouts.iter().peekable();
        let mut apply_timeouts = |origins: &mut StreamOrigins, until_ms: u64| {
            while let Some((at_ms, timeout_ms)) = timeouts.next_if(|it| it.0 <= until_ms) {
                origins.set_timeout_max_ms(*timeout_ms, *at_ms);
            }
        };
        apply_timeouts(&mut origins, BEGAN_MS);
        set_versions(&mut origins, &["v1", "v2"], true, 0);
        let key = StreamKey::of("stream");
        origins.record_client_wait(case.wait_ms, BEGAN_MS);
        origins.on_first_event(key, origin("v1"), BEGAN_MS);
        apply_timeouts(&mut origins, GONE_MS);
        set_versions(&mut origins, &["v2"], true, GONE_MS);
        // Other streams begin all the while.
        let mut now_ms = GONE_MS;
        while now_ms < case.until_ms - 500 {
            now_ms += 500;
            apply_timeouts(&mut origins, now_ms);
            origins.on_first_event(StreamKey::of(&now_ms.to_string()), origin("v2"), now_ms);
            set_versions(&mut origins, &["v2"], true, now_ms);
            let sole = origins.sole_origin(origin("v1").service, now_ms);
            assert_eq!(sole, None, "{}, at {now_ms} ms", case.name);
        }
        let sole = origins.sole_origin(origin("v1").service, case.until_ms);
        assert_eq!(sole, Some(origin("v2")), "{}, at the end", case.name);
    }
}

/// Guards against a record that expires although the client has taken the stream up since, and may do so again.
#[test]
fn record_of_a_stream_that_is_taken_up_lasts_from_then_on() {
    let mut origins = new_origins();
    set_versions(&mut origins, &["v1", "v2"], true, START_MS);
    let key = StreamKey::of("stream");
    origins.on_first_event(key, origin("v1"), START_MS);
    let again_ms = START_MS + LIFETIME_MS - 1;
    origins.on_first_event(key, origin("v1"), again_ms);
    for (now_ms, expected) in [
        (START_MS + LIFETIME_MS + 1, Some(origin("v1"))),
        (again_ms + LIFETIME_MS, Some(origin("v1"))),
        (again_ms + LIFETIME_MS + 1, None),
    ] {
        origins.on_first_event(StreamKey::of("other"), origin("v2"), now_ms);
        assert_eq!(origins.get(key), expected, "at {now_ms} ms");
    }
}

/// Guards against a node that has just started and forgets a version too early, since it knows the lowered timeout only.
#[test]
fn node_that_starts_takes_over_for_how_long_clients_wait() {
    let mut first = new_origins();
    set_versions(&mut first, &["v1", "v2"], true, START_MS);
    let (lowered_ms, gone_ms) = (5_000, 6_000);
    first.set_timeout_max_ms(1_000, lowered_ms);
    set_versions(&mut first, &["v2"], true, gone_ms);

    let start_ms = 8_000;
    let mut started = StreamOrigins::default();
    started.set_timeout_max_ms(1_000, start_ms);
    set_versions(&mut started, &["v2"], false, start_ms);
    started.adopt(&first.histories(start_ms).unwrap(), start_ms);
    let service = origin("v1").service;
    let until_ms = lowered_ms + LIFETIME_MS;
    assert_eq!(started.sole_origin(service, until_ms - 1), None);
    assert_eq!(started.sole_origin(service, until_ms), Some(origin("v2")));
}

/// Number of nodes that take over one after the other.
const N_RESTARTS: u64 = 3;

/// Guards against nodes of which none can tell, after all were restarted in turn, that a service has had a single version.
#[test]
fn versions_are_handed_on_through_restarts_of_all_nodes_in_turn() {
    struct Case {
        name: &'static str,
        /// Versions that have upstreams from each time on, before the node starts that takes over.
        changes: &'static [(u64, &'static [&'static str])],
        /// Versions that have upstreams when it starts.
        now: &'static [&'static str],
        /// When it starts and takes over the versions.
        start_ms: u64,
        sole: Option<&'static str>,
        /// Version that it takes for the only one when a stream's lifetime has passed since.
        sole_later: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "one version",
            changes: &[(START_MS, &["v1"])],
            now: &["v1"],
            start_ms: 5_000,
            sole: Some("v1"),
            sole_later: Some("v1"),
        },
        Case {
            name: "two versions",
            changes: &[(START_MS, &["v1", "v2"])],
            now: &["v1", "v2"],
            start_ms: 5_000,
            sole: None,
            sole_later: None,
        },
        Case {
            name: "a version that is gone, but not for long enough",
            changes: &[(START_MS, &["v1", "v2"]), (5_000, &["v2"])],
            now: &["v2"],
            start_ms: 5_000 + LIFETIME_MS - 1,
            sole: None,
            sole_later: Some("v2"),
        },
        Case {
            name: "a version that is gone for long",
            changes: &[(START_MS, &["v1", "v2"]), (5_000, &["v2"])],
            now: &["v2"],
            start_ms: 5_000 + LIFETIME_MS,
            sole: Some("v2"),
            sole_later: Some("v2"),
        },
        Case {
            name: "a version that was gone during the restart",
            changes: &[(START_MS, &["v1"])],
            now: &["v2"],
            start_ms: 5_000,
            sole: None,
            sole_later: Some("v2"),
        },
        Case {
            name: "a version that has appeared during the restart",
            changes: &[(START_MS, &["v1"])],
            now: &["v1", "v2"],
            start_ms: 5_000,
            sole: None,
            sole_later: None,
        },
    ];
    for case in cases {
        let mut first = new_origins();
        for (at_ms, versions) in case.changes {
            set_versions(&mut first, versions, true, *at_ms);
        }
        let mut previous = first;
        // Each node takes over from the one that has started before it.
        for restart in 0..N_RESTARTS {
            let is_listed_first = restart % 2 == 0;
            let mut started = new_origins();
            assert_eq!(started.histories(case.start_ms), None, "{}: not complete", case.name);
            if is_listed_first {
                set_versions(&mut started, case.now, false, case.start_ms);
            }
            started.adopt(&previous.histories(case.start_ms).unwrap(), case.start_ms);
            if !is_listed_first {
                set_versions(&mut started, case.now, false, case.start_ms);
            }
            let service = origin("v1").service;
            let sole = started.sole_origin(service, case.start_ms);
            assert_eq!(sole, case.sole.map(origin), "{}, restart {restart}", case.name);
            let later_ms = case.start_ms + LIFETIME_MS;
            let sole = started.sole_origin(service, later_ms);
            assert_eq!(sole, case.sole_later.map(origin), "{}, later", case.name);
            previous = started;
        }
    }
}

/// Guards against streams that began just before a second version appears and whose holders never hear of them.
#[test]
fn holders_are_told_of_all_running_streams_when_a_second_version_appears() {
    let mut origins = new_origins();
    set_versions(&mut origins, &["v1"], true, START_MS);
    let (old, running) = (StreamKey::of("old"), StreamKey::of("running"));
    origins.on_first_event(old, origin("v1"), START_MS);
    let running_ms = START_MS + LIFETIME_MS;
    origins.on_first_event(running, origin("v1"), running_ms);
    assert_eq!(origins.take_due(running_ms), [], "the service has a single version");

    let appears_ms = running_ms + 500;
    let new = StreamKey::of("new");
    let key = StreamKey::of("stream of another node");
    origins.insert(OriginRecord { key, origin: origin("v1"), age_ms: 0 }, appears_ms);
    set_versions(&mut origins, &["v1", "v2"], true, appears_ms);
    origins.on_first_event(new, origin("v2"), appears_ms);
    let due = origins.take_due(appears_ms);
    let told: Vec<_> = due.iter().map(|it| (it.key, it.origin, it.age_ms)).collect();
    assert_eq!(told, [(running, origin("v1"), 500), (new, origin("v2"), 0)]);
    assert_eq!(origins.take_due(appears_ms), [], "each is told once");
    assert_eq!(origins.get(old), None, "no client takes the old stream up any more");
    assert_eq!(origins.get(running), Some(origin("v1")));
}

struct Size {
    n_nodes: u16,
    n_zones: u16,
}

const SIZES: [Size; 4] = [
    Size { n_nodes: 8, n_zones: 4 },
    Size { n_nodes: 74, n_zones: 5 },
    Size { n_nodes: 295, n_zones: 6 },
    Size { n_nodes: 340, n_zones: 31 },
];
const N_STREAMS: usize = 400;

fn nodes(size: &Size) -> Vec<NodeAddress> {
    let node = |idx: u16| NodeAddress {
        node: u64::from(idx).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        zone: u32::from(idx % size.n_zones),
        gossip: ([10, 0, 0, 1], 10_000 + idx).into(),
        exchange: ([10, 0, 0, 1], 20_000 + idx).into(),
    };
    (0..size.n_nodes).map(node).collect()
}

/// Returns whether a node finds out where a stream began that began at `first`.
fn is_found(
    key: StreamKey,
    first: NodeAddress,
    asking: NodeAddress,
    nodes: &[NodeAddress],
    lives: impl Fn(&NodeAddress) -> bool,
) -> bool {
    let others = |of: NodeAddress| nodes.iter().filter(move |it| **it != of);
    let told = holders(key, first.zone, others(first));
    let asked = nodes_to_ask(key, asking.zone, others(asking));
    told.iter().any(|it| lives(it) && (*it == asking || asked.contains(it)))
}

/// Guards against streams that are lost with the node at which they began, although other nodes live.
#[test]
fn origin_is_found_without_the_node_or_the_zone_where_the_stream_began() {
    for size in SIZES {
        let nodes = nodes(&size);
        let mut rng = SmallRng::seed_from_u64(u64::from(size.n_nodes));
        for idx in 0..N_STREAMS {
            let key = StreamKey::of(&format!("{idx}"));
            let first = nodes[rng.random_range(0..nodes.len())];
            let asking = nodes[rng.random_range(0..nodes.len())];
            let (n_nodes, name) = (size.n_nodes, format!("stream {idx}"));
            if asking != first {
                let lives = |it: &NodeAddress| *it != first;
                assert!(is_found(key, first, asking, &nodes, lives), "{n_nodes} nodes, {name}");
            }
            if asking.zone != first.zone {
                let lives = |it: &NodeAddress| it.zone != first.zone;
                assert!(
                    is_found(key, first, asking, &nodes, lives),
                    "{n_nodes} nodes, {name}, zone"
                );
            }
        }
    }
}

/// Guards against most streams being lost when three in five nodes are killed at once.
#[test]
fn most_origins_are_found_in_the_zone_after_three_in_five_nodes_are_killed() {
    for size in SIZES {
        let nodes = nodes(&size);
        let mut rng = SmallRng::seed_from_u64(u64::from(size.n_nodes));
        let (mut n_asked, mut n_found) = (0, 0);
        for idx in 0..N_STREAMS {
            let key = StreamKey::of(&format!("{idx}"));
            let first = nodes[rng.random_range(0..nodes.len())];
            let killed: Vec<_> = nodes.iter().filter(|_| rng.random_bool(0.6)).collect();
            let lives = |it: &NodeAddress| *it != first && !killed.contains(&it);
            let in_zone = |it: &&NodeAddress| it.zone == first.zone && **it != first;
            // A killed node comes back soon, and knows nothing.
            let Some(asking) = nodes.iter().find(in_zone) else { continue };
            n_asked += 1;
            n_found += u32::from(is_found(key, first, *asking, &nodes, lives));
        }
        assert!(n_asked < 2 * n_found, "{} nodes: {n_found} of {n_asked}", size.n_nodes);
    }
}

/// Guards against streams of a node that was lost before a second version appeared, which nobody lets go on from then on
/// although they could only have begun at the first one.
#[test]
fn stream_of_which_the_holders_were_not_told_began_at_the_only_version_before() {
    struct Case {
        name: &'static str,
        is_first_start: bool,
        /// Versions that have upstreams from each time on.
        changes: &'static [(u64, &'static [&'static str])],
        now_ms: u64,
        untold: Option<&'static str>,
    }
    const RELEASE_MS: u64 = START_MS + 10_000;
    let cases = [
        Case {
            name: "single version",
            is_first_start: true,
            changes: &[(START_MS, &["v1"])],
            now_ms: RELEASE_MS,
            untold: None,
        },
        Case {
            name: "second version",
            is_first_start: true,
            changes: &[(START_MS, &["v1"]), (RELEASE_MS, &["v1", "v2"])],
            now_ms: RELEASE_MS + 4_000,
            untold: Some("v1"),
        },
        Case {
            name: "second version in place of the first",
            is_first_start: true,
            changes: &[(START_MS, &["v1"]), (RELEASE_MS, &["v2"])],
            now_ms: RELEASE_MS + 4_000,
            untold: Some("v1"),
        },
        Case {
            name: "third version",
            is_first_start: true,
            changes: &[
                (START_MS, &["v1"]),
                (RELEASE_MS, &["v1", "v2"]),
                (RELEASE_MS + 1_000, &["v2", "v3"]),
            ],
            now_ms: RELEASE_MS + 4_000,
            untold: Some("v1"),
        },
        Case {
            name: "second version long after another release",
            is_first_start: true,
            changes: &[
                (START_MS, &["v1"]),
                (RELEASE_MS, &["v1", "v2"]),
                (RELEASE_MS + 1_000, &["v2"]),
                (RELEASE_MS + 1_000 + LIFETIME_MS, &["v2", "v3"]),
            ],
            now_ms: RELEASE_MS + 4_000 + LIFETIME_MS,
            untold: Some("v2"),
        },
        Case {
            name: "streams from before are over",
            is_first_start: true,
            changes: &[(START_MS, &["v1"]), (RELEASE_MS, &["v1", "v2"])],
            now_ms: RELEASE_MS + LIFETIME_MS,
            untold: None,
        },
        Case {
            name: "two versions from the start",
            is_first_start: true,
            changes: &[(START_MS, &["v1", "v2"])],
            now_ms: START_MS + 10_000,
            untold: None,
        },
        Case {
            name: "node that has started just before",
            is_first_start: true,
            changes: &[(RELEASE_MS - 1_000, &["v1"]), (RELEASE_MS, &["v1", "v2"])],
            now_ms: RELEASE_MS + 4_000,
            untold: None,
        },
        Case {
            name: "node that does not know all earlier versions",
            is_first_start: false,
            changes: &[(START_MS, &["v1"]), (RELEASE_MS, &["v1", "v2"])],
            now_ms: RELEASE_MS + 4_000,
            untold: None,
        },
        Case {
            name: "node that has started since",
            is_first_start: false,
            changes: &[(RELEASE_MS + 1_000, &["v1", "v2"])],
            now_ms: RELEASE_MS + 4_000,
            untold: None,
        },
    ];
    for case in cases {
        let mut origins = new_origins();
        for (at_ms, versions) in case.changes {
            set_versions(&mut origins, versions, case.is_first_start, *at_ms);
        }
        let untold = origins.origin_if_untold(origin("v1").service, case.now_ms);
        assert_eq!(untold, case.untold.map(origin), "{}", case.name);
    }
}

/// Guards against a node that has just started, lacks a version that others know, and tells nobody of its streams.
#[test]
fn node_that_does_not_know_all_versions_yet_tells_the_holders() {
    let mut origins = new_origins();
    set_versions(&mut origins, &["v1"], false, START_MS);
    origins.on_first_event(StreamKey::of("s"), origin("v1"), START_MS);
    assert_eq!(origins.take_due(START_MS).len(), 1);
}

/// Guards against a stream that is taken for an untold one because its holders are among the nodes that were lost, and
/// against one that is rejected although a single node was lost.
#[test]
fn untold_streams_are_known_by_the_nodes_that_would_hold_them() {
    for size in SIZES {
        let nodes = nodes(&size);
        let mut rng = SmallRng::seed_from_u64(u64::from(size.n_nodes));
        let mut n_known = 0;
        for idx in 0..N_STREAMS {
            let (n_nodes, name) = (size.n_nodes, format!("stream {idx}"));
            let key = StreamKey::of(&format!("{idx}"));
            let share = [0.0, 0.16, 0.6, 1.0][idx % 4];
            let lost: Vec<_> = nodes.iter().filter(|_| rng.random_bool(share)).collect();
            let answers = |lost: &[&NodeAddress]| -> Vec<u64> {
                let asked = possible_holders(key, nodes.iter());
                asked.iter().filter(|it| !lost.contains(it)).map(|it| it.node).collect()
            };
            let answering = answers(&lost);
            let is_known = would_be_known(key, &nodes, &answering);
            n_known += usize::from(is_known);
            for first in nodes.iter().step_by(nodes.len() / 8) {
                let told = holders(key, first.zone, nodes.iter().filter(|it| *it != first));
                let knows = |it: &NodeAddress| answering.contains(&it.node);
                let is_told = knows(first) || told.iter().any(knows);
                assert!(!is_known || is_told, "{n_nodes} nodes, {name}, began at {first:?}");
            }
            let single = &nodes[rng.random_range(0..nodes.len())];
            let single_lost = would_be_known(key, &nodes, &answers(&[single]));
            assert!(single_lost, "{n_nodes} nodes, {name}, without {single:?}");
        }
        assert!(N_STREAMS / 4 < n_known, "{} nodes: {n_known}", size.n_nodes);
    }
}

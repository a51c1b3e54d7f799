//! Which peer a node queries, and how many large responses a node sends.

use std::net::SocketAddr;

use lentilhitch_policy::{
    peer_queries::{LocalCopies, PeerQueries, Peers, Query, QueryResult, Wanted, ZoneCopies},
    response_budget::{ResponseBudget, ResponseKind},
};
use rand::{SeedableRng as _, rngs::SmallRng};

const START_MS: u64 = 10_000;
/// Time after which a newer configuration that the store has not delivered is overdue.
const OVERDUE_MS: u64 = 500;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7_601))
}

fn zone(config_version: u64, config_source: u8, list_source: u8) -> ZoneCopies {
    ZoneCopies {
        config_version,
        config_source: address(config_source),
        list_digest: 2,
        list_age_ms: 500,
        list_source: address(list_source),
    }
}

#[test]
fn sources_of_what_is_wanted_are_queried() {
    struct Case {
        name: &'static str,
        zones: Vec<ZoneCopies>,
        announcers: Vec<SocketAddr>,
        is_config_outdated: bool,
        list_age_ms: Option<u64>,
        expected: Option<Query>,
    }
    let config = |number| Some(Query { peer: address(number), wanted: Wanted::Config });
    let state = |number| Some(Query { peer: address(number), wanted: Wanted::ClusterState });
    let base = || Case {
        name: "nothing is missing",
        zones: vec![zone(1, 2, 3)],
        announcers: Vec::new(),
        is_config_outdated: false,
        list_age_ms: Some(100),
        expected: None,
    };
    let cases = [
        base(),
        Case {
            name: "a zone has a newer configuration",
            zones: vec![zone(1, 2, 3), zone(2, 4, 5)],
            is_config_outdated: true,
            expected: config(4),
            ..base()
        },
        Case {
            name: "only the node itself is named as source",
            zones: vec![zone(2, 1, 3)],
            is_config_outdated: true,
            expected: None,
            ..base()
        },
        Case {
            name: "a newer configuration was announced",
            announcers: vec![address(6)],
            is_config_outdated: true,
            expected: config(6),
            ..base()
        },
        Case {
            name: "a zone has read the list more recently",
            list_age_ms: Some(4_000),
            expected: state(3),
            ..base()
        },
        Case {
            name: "nothing is known",
            zones: Vec::new(),
            is_config_outdated: true,
            list_age_ms: None,
            expected: state(9),
            ..base()
        },
    ];
    for case in cases {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut queries = PeerQueries::default();
        let local = LocalCopies {
            config_version: 1,
            is_config_outdated: case.is_config_outdated,
            list_digest: 1,
            list_age_ms: case.list_age_ms,
        };
        let idle = LocalCopies { list_age_ms: Some(0), ..local };
        let peers = Peers {
            local: Some(address(1)),
            zones: case.zones,
            announcers: case.announcers,
            nodes: vec![address(9)],
        };
        let early = queries.next(idle, &peers, &mut rng, START_MS);
        assert_eq!(early, None, "{}: before it is overdue", case.name);
        let query = queries.next(local, &peers, &mut rng, START_MS + OVERDUE_MS);
        assert_eq!(query, case.expected, "{}", case.name);
    }
}

/// Guards against a node that queries the same useless peer again while others have what it wants.
#[test]
fn peer_that_did_not_help_is_left_out_for_a_while() {
    for result in [QueryResult::NotNewer, QueryResult::Busy, QueryResult::Failed] {
        let mut rng = SmallRng::seed_from_u64(2);
        let mut queries = PeerQueries::default();
        let local = LocalCopies {
            config_version: 1,
            is_config_outdated: true,
            list_digest: 1,
            list_age_ms: Some(0),
        };
        let peers = Peers {
            local: Some(address(1)),
            announcers: vec![address(2), address(3)],
            ..Peers::default()
        };
        queries.next(local, &peers, &mut rng, START_MS);
        let now_ms = START_MS + OVERDUE_MS;
        let first = queries.next(local, &peers, &mut rng, now_ms).unwrap().peer;
        queries.on_result(first, result, now_ms);
        for _ in 0..20 {
            let next = queries.next(local, &peers, &mut rng, now_ms + 100).unwrap().peer;
            assert_ne!(next, first, "{result:?}");
        }
        let later = (0..20).map(|_| queries.next(local, &peers, &mut rng, now_ms + 1_000));
        assert!(later.flatten().any(|it| it.peer == first), "{result:?}: never queried again");
    }
}

/// Guards against responses that all arrive after their receivers have stopped waiting.
#[test]
fn responses_that_are_sent_together_arrive_in_time() {
    const LINK_BYTES_PER_S: f64 = 1_250_000.0;
    const QUERY_TIMEOUT_S: f64 = 0.7;
    for (kind, n_bytes) in [(ResponseKind::Urgent, 20_000), (ResponseKind::Normal, 42_000)] {
        let mut budget = ResponseBudget::new(LINK_BYTES_PER_S, START_MS);
        let mut sent_ms = Vec::new();
        for now_ms in START_MS..START_MS + 5_000 {
            if budget.try_take(n_bytes, kind, now_ms) {
                sent_ms.push(now_ms);
            }
        }
        let window_ms = (QUERY_TIMEOUT_S * 1_000.0) as u64;
        for start_ms in START_MS..START_MS + 4_000 {
            let within = sent_ms.iter().filter(|it| (start_ms..start_ms + window_ms).contains(*it));
            let window_bytes = (within.count() * n_bytes) as f64;
            assert!(window_bytes <= QUERY_TIMEOUT_S * LINK_BYTES_PER_S, "{kind:?}, {start_ms}");
        }
        assert!(5 <= sent_ms.len(), "{kind:?}: {} responses", sent_ms.len());
    }
}

#[test]
fn configurations_are_sent_when_there_is_no_room_for_other_responses() {
    let mut budget = ResponseBudget::new(1_250_000.0, START_MS);
    while budget.try_take(42_000, ResponseKind::Normal, START_MS) {}
    assert!(budget.try_take(20_000, ResponseKind::Urgent, START_MS));
    let larger_than_all = 10_000_000;
    let mut budget = ResponseBudget::new(1_250_000.0, START_MS);
    assert!(budget.try_take(larger_than_all, ResponseKind::Urgent, START_MS));
    assert!(!budget.try_take(1, ResponseKind::Urgent, START_MS + 1_000));
}

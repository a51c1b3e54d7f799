//! Lookup of routes by host and longest prefix and of teams by key, and the choice of services by weight.

use rand::{SeedableRng, rngs::SmallRng};

use lentilhitch_policy::traffic::{Config, RateUnit, Repeat, Route, RouteTable, Team};

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        repeat: Repeat::Idempotent,
        timeout_ms: None,
        target_ms: None,
        priority: 0,
        split: vec![("draft".parse().unwrap(), 1)],
        attempts_max: 1,
        event_interval_max_ms: None,
        is_anonymous: false,
    }
}

fn table() -> RouteTable {
    let team = |name: &str, keys: &[&str]| Team {
        name: name.parse().unwrap(),
        keys: keys.iter().map(|it| (*it).to_owned()).collect(),
        priority: None,
        limit: None,
    };
    RouteTable::new(Config {
        version: 1,
        routes: vec![
            route("all", "a.example", "/"),
            route("deep", "a.example", "/x/y/"),
            route("shallow", "a.example", "/x/"),
            route("other", "b.example", "/x/"),
        ],
        teams: vec![team("first", &["k1", "k2"]), team("second", &["k3"])],
        ..Config::default()
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    struct Case {
        name: &'static str,
        host: &'static str,
        path: &'static str,
        expected: Option<&'static str>,
    }
    let cases = [
        Case { name: "longest", host: "a.example", path: "/x/y/z", expected: Some("deep") },
        Case { name: "shorter", host: "a.example", path: "/x/z", expected: Some("shallow") },
        Case { name: "no slash", host: "a.example", path: "/x", expected: Some("all") },
        Case { name: "host in capitals", host: "A.Example", path: "/q", expected: Some("all") },
        Case { name: "port", host: "a.example:80", path: "/x/y/", expected: Some("deep") },
        Case { name: "other host", host: "b.example", path: "/x/y/", expected: Some("other") },
        Case { name: "no prefix", host: "b.example", path: "/y/", expected: None },
        Case { name: "unknown host", host: "c.example", path: "/x/", expected: None },
    ];
    let table = table();
    for case in cases {
        let found = table.route(case.host, case.path).map(|it| it.name.as_str());
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

#[test]
fn a_key_identifies_its_team() {
    let table = table();
    for (key, expected) in
        [("k1", Some("first")), ("k2", Some("first")), ("k3", Some("second")), ("k4", None)]
    {
        assert_eq!(table.team(key).map(|it| it.name.as_str()), expected, "{key}");
    }
}

#[test]
fn services_are_drawn_by_weight() {
    let mut split = route("split", "a.example", "/");
    split.split = vec![("a".parse().unwrap(), 90), ("b".parse().unwrap(), 10)];
    let mut rng = SmallRng::seed_from_u64(1);
    let drawn = (0..10_000).filter(|_| {
        RouteTable::draw_service(&split, &mut rng).is_some_and(|it| it.as_str() == "b")
    });
    let n_drawn = drawn.count();
    assert!((850..=1_150).contains(&n_drawn), "{n_drawn} of 10000 for a weight of a tenth");
    split.split = vec![("a".parse().unwrap(), 0)];
    assert_eq!(RouteTable::draw_service(&split, &mut rng), None, "no weight at all");
}

#[test]
fn a_request_costs_by_the_unit_of_its_team() {
    let tokens = RateUnit::Tokens { default_tokens: 200 };
    for (unit, tokens_used, expected) in
        [(RateUnit::Requests, Some(900), 1.0), (tokens, Some(900), 900.0), (tokens, None, 200.0)]
    {
        let cost = unit.cost(tokens_used);
        assert!((cost - expected).abs() < f64::EPSILON, "{unit:?} {tokens_used:?}: {cost}");
    }
}

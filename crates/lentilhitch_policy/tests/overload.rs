//! Load shedding beside the former decision (order of arrival, random return) under loads beyond the capacity.

#[path = "overload/simulation.rs"]
mod simulation;

use rand::{SeedableRng, rngs::SmallRng};

use lentilhitch_policy::{
    overload::{
        Capacity, Cause, Chosen, Decision, Overload, Request, Settings, most_urgent_priority,
        retry_after_ms,
    },
    traffic::{Config, Engine, Repeat, Route, Service, Team},
};
use lentilhitch_types::{ServiceName, TeamName};
use simulation::{Kind, Load, Results, Rule, Simulation};

const KINDS: [Kind; 3] = [
    Kind {
        shared_tokens: 5_382,
        own_tokens: 6_610,
        events: (35, 48),
        per_s: 125.0,
        target_ms: 1_600,
        deadline_ms: 12_500,
        priority: 2,
    },
    Kind {
        shared_tokens: 198,
        own_tokens: 628,
        events: (26, 36),
        per_s: 145.0,
        target_ms: 550,
        deadline_ms: 10_000,
        priority: 0,
    },
    Kind {
        shared_tokens: 568,
        own_tokens: 1_800,
        events: (2, 3),
        per_s: 240.0,
        target_ms: 650,
        deadline_ms: 2_750,
        priority: 1,
    },
];
const USUAL: Load = Load {
    lost_engines: 0.0,
    rates: [1.0; 3],
    team_rate: 1.0,
    restart: false,
    partition: false,
    from_ms: 3_000,
    to_ms: 13_000,
};

/// Half of the engines are lost and the most expensive kind arrives at 2.4 times its usual rate.
const BURST: Load = Load { lost_engines: 0.5, rates: [2.4, 1.0, 1.0], ..USUAL };

/// Runs a load with three seeds and prints the results by kind.
fn run(name: &str, load: Load, rule: Rule) -> Totals {
    let mut totals = Totals::default();
    for seed in [7, 8, 9] {
        let mut simulation = Simulation::new(KINDS, load, rule, seed);
        simulation.run(16_000);
        totals.by_kind.iter_mut().zip(&simulation.by_kind).for_each(|(sum, it)| sum.add(it));
        totals.by_team.iter_mut().zip(&simulation.by_team).for_each(|(sum, it)| sum.add(it));
    }
    let rule = if matches!(rule, Rule::Former) { "former" } else { "shedding" };
    let [by_kind, by_team] = [&totals.by_kind[..], &totals.by_team[..2]];
    for (what, results) in [("kind", by_kind), ("team", by_team)] {
        for (idx, it) in results.iter().enumerate() {
            println!("{name} | {rule} | {what} {idx} | {}", it.row());
        }
    }
    totals
}

#[derive(Debug, Default)]
struct Totals {
    by_kind: [Results; 3],
    by_team: [Results; 16],
}

impl Totals {
    /// Returns the requests in time, weighted by priority.
    fn weighted_in_time(&self) -> f64 {
        let weighted = KINDS.iter().zip(&self.by_kind).map(|(kind, it)| {
            f64::from(it.in_time) / f64::from(it.n) / f64::from(1 + kind.priority)
        });
        weighted.sum()
    }

    fn rejections_with_free_slot(&self) -> u32 {
        self.by_kind.iter().map(|it| it.rejections_with_free_slot).sum()
    }
}

/// Guards against rules that lose requests of urgent kinds, starve a kind or team, or reject while slots are free.
#[test]
fn under_overload_more_urgent_requests_are_in_time_than_in_order_of_arrival() {
    let loads = [
        ("half of the engines lost, most expensive kind at 2.4 times its rate", BURST),
        (
            "one team at 6 times its rate, half of the engines lost",
            Load { lost_engines: 0.5, team_rate: 6.0, ..USUAL },
        ),
        (
            "all nodes restart, a third of the engines lost, most expensive kind at 2.4 times",
            Load { lost_engines: 0.34, restart: true, ..BURST },
        ),
        ("half of the nodes partitioned in the burst", Load { partition: true, ..BURST }),
    ];
    for (name, load) in loads {
        let former = run(name, load, Rule::Former);
        let shedding = run(name, load, Rule::Overload(Settings::default()));
        let urgent = |it: &Totals| f64::from(it.by_kind[1].in_time) / f64::from(it.by_kind[1].n);
        assert!(urgent(&former) < urgent(&shedding), "{name}: most urgent kind");
        assert!(former.weighted_in_time() < shedding.weighted_in_time(), "{name}: all kinds");
        let [n_former, n] = [&former, &shedding].map(Totals::rejections_with_free_slot);
        assert!(n <= n_former, "{name}: {n} rejections while slots were free, formerly {n_former}");
        for it in shedding.by_kind.iter().chain(&shedding.by_team) {
            let share = f64::from(it.in_time + it.late) / f64::from(it.n);
            assert!(Settings::default().share_min <= share, "{name}: a kind or team starves");
        }
    }
}

/// Guards against load shedding while capacity suffices.
#[test]
fn at_the_usual_load_nothing_is_rejected() {
    let former = run("usual load", USUAL, Rule::Former);
    let shedding = run("usual load", USUAL, Rule::Overload(Settings::default()));
    assert_eq!(former.by_kind, shedding.by_kind);
    assert!(shedding.by_kind.iter().all(|it| it.rejections == 0));
}

/// Guards against a change of behavior for services that are not to be shed.
#[test]
fn only_engines_with_requests_of_different_priorities_are_shed() {
    let cases = [
        ("no engine", false, vec![0, 1], vec![], None),
        ("one priority", true, vec![2, 2], vec![], None),
        ("routes differ", true, vec![2, 1], vec![], Some(1)),
        ("teams differ", true, vec![2], vec![Some(0), None], Some(0)),
        ("teams override the routes", true, vec![1, 2], vec![Some(3), Some(3)], None),
    ];
    for (name, has_engine, priorities, teams, expected) in cases {
        let service: ServiceName = "draft".parse().unwrap();
        let engine = has_engine.then(Engine::default);
        let route = |(idx, priority): (usize, &u8)| Route {
            name: format!("r{idx}"),
            host: "h".into(),
            path_prefix: format!("/{idx}"),
            repeat: Repeat::Idempotent,
            timeout_ms: None,
            target_ms: None,
            priority: *priority,
            split: vec![(service.clone(), 1)],
            attempts_max: 1,
            event_interval_max_ms: None,
            is_anonymous: false,
        };
        let team = |(idx, priority): (usize, &Option<u8>)| Team {
            name: format!("t{idx}").parse().unwrap(),
            keys: vec![],
            priority: *priority,
            limit: None,
        };
        let config = Config {
            routes: priorities.iter().enumerate().map(route).collect(),
            services: [(service.clone(), Service { engine, scaling: None })].into_iter().collect(),
            teams: teams.iter().enumerate().map(team).collect(),
            ..Config::default()
        };
        assert_eq!(most_urgent_priority(&config, &service), expected, "{name}");
    }
}

/// Guards against times to return that are useless to the caller, and against clients that return all at once.
#[test]
fn retry_after_follows_the_forecast_within_a_third_of_the_time_left() {
    let mut rng = SmallRng::seed_from_u64(1);
    for (queue_ms, remaining_ms, min, max) in [
        (0.0, 9_000, 100, 200),
        (700.0, 9_000, 700, 1_400),
        (2_000.0, 9_000, 2_000, 3_000),
        (50_000.0, 9_000, 3_000, 3_000),
        (700.0, 30, 100, 100),
        (f64::INFINITY, 9_000, 3_000, 3_000),
    ] {
        for _ in 0..100 {
            let it = retry_after_ms(queue_ms, remaining_ms, &mut rng);
            assert!((min..=max).contains(&it), "{it} ms for {queue_ms} ms of {remaining_ms} ms");
        }
    }
}

/// Guards against rejections while slots may be free, and against decisions that ignore what is ahead of a request.
#[test]
fn requests_are_rejected_only_if_no_slot_may_be_free_and_they_would_be_late() {
    let free = Capacity { n_slots: 20, n_free_slots: 1, n_queued: 0 };
    // A slot is held for 2 s, so half of the 20 slots become free within the age of the sums.
    let few_queued = Capacity { n_free_slots: 0, n_queued: 9, ..free };
    let short = Capacity { n_free_slots: 0, n_queued: 40, ..free };
    let chosen = |n_requests| Chosen { n_requests, slots: 10, first_token_ms: 100.0 };
    let send = |cause| Some(Decision::Send(cause));
    let cases = [
        ("the chosen upstream has a free slot", 2, chosen(9), short, send(Cause::FreeSlot)),
        ("another upstream has a free slot", 2, chosen(30), free, send(Cause::FreeSlot)),
        ("slots became free since", 2, chosen(30), few_queued, send(Cause::FreeSlot)),
        ("a short queue", 2, chosen(11), short, send(Cause::InTime)),
        ("a long queue", 2, chosen(30), short, None),
        ("only half of a long queue is as urgent", 0, chosen(30), short, send(Cause::InTime)),
    ];
    for (name, priority, chosen, capacity, expected) in cases {
        let mut overload = Overload::new(Settings::default());
        overload.record_slot_time(2_000);
        let request = |priority: u8| Request {
            priority,
            is_most_urgent: priority == 0,
            team: None,
            uncached_tokens: 1_000,
            target_ms: 1_000,
            waited_ms: 0,
            remaining_ms: 9_000,
        };
        for it in [0, 2] {
            let unused = Chosen { n_requests: 0, ..chosen };
            overload.decide(request(it), unused, capacity, 0);
        }
        let decided = overload.decide(request(priority), chosen, capacity, 0);
        match expected {
            Some(expected) => assert_eq!(decided, expected, "{name}"),
            None => assert!(matches!(decided, Decision::Reject { .. }), "{name}: {decided:?}"),
        }
    }
}

/// Guards against a class that is never served, and against one class that uses the share of another.
#[test]
fn each_class_keeps_its_minimum_share() {
    let mut overload = Overload::new(Settings::default());
    overload.record_slot_time(2_000);
    let capacity = Capacity { n_slots: 20, n_free_slots: 0, n_queued: 200 };
    let chosen = Chosen { n_requests: 30, slots: 10, first_token_ms: 100.0 };
    let teams: Vec<TeamName> = ["a", "b"].iter().map(|it| it.parse().unwrap()).collect();
    // The second team sends a tenth of the requests.
    for (team, n_requests) in [(&teams[0], 1_000), (&teams[1], 100)] {
        let request = Request {
            priority: 2,
            is_most_urgent: false,
            team: Some(team),
            uncached_tokens: 1_000,
            target_ms: 1_000,
            waited_ms: 0,
            remaining_ms: 9_000,
        };
        let decisions = (0..n_requests).map(|_| overload.decide(request, chosen, capacity, 0));
        let n_sent = decisions.filter(|it| *it == Decision::Send(Cause::MinShare)).count();
        let n_min = (f64::from(n_requests) * Settings::default().share_min) as usize;
        assert!((n_min - 1..=n_min).contains(&n_sent), "{n_sent} of {n_requests} sent");
    }
}

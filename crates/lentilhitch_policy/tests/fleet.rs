//! Orders of replicas at start, as demand rises and falls, and as zones are lost while spot replicas are unavailable.

use rustc_hash::FxHashMap;

use lentilhitch_policy::{
    fleet::{Demand, Order, OrderResult, Plan, ReplicaKind, ReplicaPool, Settings},
    traffic::Scaling,
};
use lentilhitch_types::Zone;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const STEP_MS: u64 = 500;
const BOOT_MS: u64 = 4_000;
const SLOTS: u32 = 64;

fn zone(name: &str) -> Zone {
    name.parse().unwrap()
}

fn scaling(spot_price: Option<f64>) -> Scaling {
    let prices = [1.0, 0.8, 1.25, 0.9];
    Scaling {
        zone_min: 1,
        zone_max: 6,
        boot_ms: BOOT_MS,
        spot_price,
        zone_prices: ZONES.iter().zip(prices).map(|(name, price)| (zone(name), price)).collect(),
    }
}

/// A simulated cloud. Ordered replicas boot, and orders of spot replicas are rejected during a shortage.
struct Cloud {
    scaling: Scaling,
    running: FxHashMap<ReplicaPool, u32>,
    booting: Vec<(ReplicaPool, u64)>,
    has_shortage: bool,
}

impl Cloud {
    fn new(spot_price: Option<f64>, n_on_demand: u32) -> Self {
        let running = ZONES.iter().map(|it| ((zone(it), ReplicaKind::OnDemand), n_on_demand));
        Self {
            scaling: scaling(spot_price),
            running: running.collect(),
            booting: Vec::new(),
            has_shortage: false,
        }
    }

    fn order_replicas(&mut self, order: &Order, now_ms: u64) -> OrderResult {
        let pool = (order.zone.clone(), order.kind);
        let n_running = self.running.get(&pool).copied().unwrap_or(0);
        let n_booting = self.booting.iter().filter(|it| it.0 == pool).count() as u32;
        let n_other_kind: u32 = [ReplicaKind::Spot, ReplicaKind::OnDemand]
            .iter()
            .filter(|it| **it != order.kind)
            .map(|it| self.running.get(&(order.zone.clone(), *it)).copied().unwrap_or(0))
            .sum();
        let n_to_start = order.n_replicas.saturating_sub(n_running + n_booting);
        if order.kind == ReplicaKind::Spot && self.has_shortage && 0 < n_to_start {
            return OrderResult::Unavailable;
        }
        let n_to_start = n_to_start
            .min(self.scaling.zone_max.saturating_sub(n_other_kind + n_running + n_booting));
        self.booting.extend((0..n_to_start).map(|_| (pool.clone(), now_ms + BOOT_MS)));
        if order.n_replicas < n_running {
            self.running.insert(pool, order.n_replicas);
        }
        OrderResult::Accepted
    }

    fn tick(&mut self, now_ms: u64) {
        let booted: Vec<_> = self.booting.iter().filter(|it| it.1 <= now_ms).cloned().collect();
        self.booting.retain(|it| now_ms < it.1);
        for (pool, _) in booted {
            *self.running.entry(pool).or_default() += 1;
        }
    }

    fn count(&self, kind: ReplicaKind) -> u32 {
        self.running.iter().filter(|it| it.0.1 == kind).map(|it| *it.1).sum()
    }
}

enum Event {
    Demand(f64),
    /// The spot replicas of a zone are taken away, and a shortage of spot replicas starts.
    Reclaim(&'static str),
    /// The shortage ends.
    SpotAvailable,
}

struct Case {
    name: &'static str,
    spot_price: Option<f64>,
    /// Events by time in seconds.
    events: Vec<(u64, Event)>,
    /// Start and end of each check in seconds, minimum replicas of both kinds together and maximum on-demand replicas.
    checks: Vec<(u64, u64, u32, u32)>,
}

#[test]
fn the_fleet_follows_need_and_spot_availability() {
    use Event::{Demand, Reclaim, SpotAvailable};
    // A demand of 1 requires one replica.
    let cases = [
        Case {
            name: "before the first request, the operator's fleet is replaced by reclaimable replicas",
            spot_price: Some(0.18),
            events: vec![],
            checks: vec![(12, 30, 12, 0)],
        },
        Case {
            name: "one zone is lost: the others suffice, and only the minimum of the zone is ordered on demand",
            spot_price: Some(0.18),
            events: vec![(0, Demand(5.0)), (20, Reclaim("a"))],
            checks: vec![(12, 40, 6, 1)],
        },
        Case {
            name: "zones are lost one after another in a shortage: on-demand replicas fill in until spot replicas return",
            spot_price: Some(0.18),
            events: vec![
                (0, Demand(5.0)),
                (20, Reclaim("a")),
                (26, Reclaim("b")),
                (32, Reclaim("c")),
                (38, Reclaim("d")),
                (50, SpotAvailable),
            ],
            checks: vec![(12, 32, 5, 6), (44, 50, 5, 10), (62, 80, 8, 0)],
        },
        Case {
            name: "the first requests do not shrink the fleet",
            spot_price: Some(0.18),
            events: vec![(10, Demand(1.0))],
            checks: vec![(10, 20, 12, 0)],
        },
        Case {
            name: "the fleet grows with the demand within one boot",
            spot_price: Some(0.18),
            events: vec![(0, Demand(3.0)), (20, Demand(9.0))],
            checks: vec![(26, 40, 10, 0)],
        },
        Case {
            name: "a service without reclaimable replicas",
            spot_price: None,
            events: vec![(0, Demand(7.0))],
            checks: vec![(12, 40, 7, 12)],
        },
    ];
    for case in cases {
        run(&case);
    }
}

fn run(case: &Case) {
    let settings = Settings::default();
    let mut plan = Plan::new(settings, "draft".parse().unwrap());
    let mut cloud = Cloud::new(case.spot_price, 3);
    let mut demand = Demand::default();
    for step in 0..160 {
        let now_ms = 10_000 + step * STEP_MS;
        let second = step * STEP_MS / 1_000;
        cloud.tick(now_ms);
        for (_, event) in case.events.iter().filter(|it| it.0 * 1_000 == step * STEP_MS) {
            match event {
                Event::Demand(n) => {
                    demand.n_running = (n - 0.5) * f64::from(SLOTS) * settings.slot_utilization;
                }
                Event::Reclaim(name) => {
                    cloud.has_shortage = true;
                    cloud.running.remove(&(zone(name), ReplicaKind::Spot));
                    plan.on_reclaim(&zone(name), now_ms);
                }
                Event::SpotAvailable => cloud.has_shortage = false,
            }
        }
        let orders = plan.orders(demand, SLOTS, &cloud.scaling.clone(), &cloud.running, now_ms);
        for order in orders {
            let result = cloud.order_replicas(&order, now_ms);
            plan.on_order_result(&order, result, now_ms);
        }
        for (from, to, n_min, n_on_demand_max) in &case.checks {
            if (*from..*to).contains(&second) {
                let (n_spot, n_on_demand) =
                    (cloud.count(ReplicaKind::Spot), cloud.count(ReplicaKind::OnDemand));
                let n = n_spot + n_on_demand;
                assert!(*n_min <= n, "{}: {n} replicas at {second} s, {n_min} needed", case.name);
                assert!(
                    n_on_demand <= *n_on_demand_max,
                    "{}: {n_on_demand} on-demand replicas at {second} s",
                    case.name
                );
            }
        }
    }
}

#[test]
fn an_unavailable_kind_is_not_ordered_again_at_once() {
    let settings = Settings::default();
    let mut plan = Plan::new(settings, "draft".parse().unwrap());
    let mut cloud = Cloud::new(Some(0.18), 3);
    cloud.has_shortage = true;
    let mut n_unavailable = 0;
    for step in 0..40 {
        let now_ms = 10_000 + step * STEP_MS;
        for order in
            plan.orders(Demand::default(), SLOTS, &cloud.scaling.clone(), &cloud.running, now_ms)
        {
            let result = cloud.order_replicas(&order, now_ms);
            n_unavailable += u64::from(result == OrderResult::Unavailable);
            plan.on_order_result(&order, result, now_ms);
        }
    }
    let rounds = 40 * STEP_MS / settings.unavailable_backoff_ms + 1;
    assert!(
        n_unavailable <= rounds * ZONES.len() as u64,
        "{n_unavailable} orders of unavailable replicas in 20 s"
    );
}

#[test]
fn replicas_that_appear_after_the_first_check_count() {
    let mut plan = Plan::new(Settings::default(), "draft".parse().unwrap());
    let scaling = Scaling { zone_max: 50, ..scaling(Some(0.18)) };
    for step in 0..16 {
        let n_per_zone = if step < 8 { 5 } else { 20 };
        let present = ZONES
            .iter()
            .map(|it| ((zone(it), ReplicaKind::OnDemand), n_per_zone))
            .collect::<FxHashMap<_, _>>();
        plan.orders(Demand::default(), SLOTS, &scaling, &present, 10_000 + step * STEP_MS);
    }
    assert!(40 <= plan.need(), "a need of {} while the operator runs 80", plan.need());
}

/// Guards against orders that grow without limit after a crash under load: half of the fleet is lost, and the streams
/// of all pile up at the remaining replicas.
#[test]
fn streams_that_pile_up_at_few_replicas_raise_the_need_only_up_to_a_limit() {
    let mut plan = Plan::new(Settings::default(), "draft".parse().unwrap());
    let scaling = Scaling { zone_max: 500, ..scaling(Some(0.18)) };
    let present: FxHashMap<ReplicaPool, u32> =
        ZONES.iter().map(|it| ((zone(it), ReplicaKind::Spot), 10)).collect();
    let demand = Demand { n_running: f64::from(40 * SLOTS), ..Demand::default() };
    for step in 0..10 {
        plan.orders(demand, SLOTS, &scaling, &present, 10_000 + step * STEP_MS);
    }
    assert!(plan.need() <= 60, "a need of {} for 40 full replicas", plan.need());
}

/// Guards against counting lost replicas as booting after a reclaim without notice: an order for a zone is accepted
/// just before the zone is lost.
#[test]
fn a_zone_that_is_lost_after_an_order_is_replaced_at_once() {
    let settings = Settings::default();
    let mut plan = Plan::new(settings, "draft".parse().unwrap());
    let scaling = Scaling { zone_max: 50, ..scaling(Some(0.18)) };
    let demand = Demand {
        n_running: 20.0 * f64::from(SLOTS) * settings.slot_utilization,
        ..Demand::default()
    };
    let present = |zones: &[&str]| -> FxHashMap<ReplicaPool, u32> {
        zones.iter().map(|it| ((zone(it), ReplicaKind::Spot), 20)).collect()
    };
    // The need falls to that of the requests, until fewer replicas are ordered than are present.
    let mut now_ms = 10_000;
    let mut is_reduced = false;
    while !is_reduced && now_ms < 60_000 {
        now_ms += STEP_MS;
        for order in plan.orders(demand, SLOTS, &scaling, &present(&ZONES), now_ms) {
            plan.on_order_result(&order, OrderResult::Accepted, now_ms);
            is_reduced |= order.kind == ReplicaKind::Spot && order.n_replicas < 20;
        }
    }
    assert!(is_reduced, "a need of {}", plan.need());
    let orders = plan.orders(demand, SLOTS, &scaling, &present(&[]), now_ms + STEP_MS);
    let on_demand = orders.iter().filter(|it| it.kind == ReplicaKind::OnDemand);
    let n_on_demand: u32 = on_demand.map(|it| it.n_replicas).sum();
    assert!(plan.need() <= n_on_demand, "{n_on_demand} ordered on demand, {} needed", plan.need());
}

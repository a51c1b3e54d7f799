//! Orders of replicas: zones taken away one after the other with none to be had, rises, falls, starts.

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

/// Replicas as a cloud runs them: ordered ones boot, and while none are to be had orders of spot ones are refused.
struct Cloud {
    scaling: Scaling,
    running: FxHashMap<ReplicaPool, u32>,
    booting: Vec<(ReplicaPool, u64)>,
    is_dry: bool,
}

impl Cloud {
    fn new(spot_price: Option<f64>, n_on_demand: u32) -> Self {
        let running = ZONES.iter().map(|it| ((zone(it), ReplicaKind::OnDemand), n_on_demand));
        Self {
            scaling: scaling(spot_price),
            running: running.collect(),
            booting: Vec::new(),
            is_dry: false,
        }
    }

    fn take(&mut self, order: &Order, now_ms: u64) -> OrderResult {
        let slot = (order.zone.clone(), order.kind);
        let n_running = self.running.get(&slot).copied().unwrap_or(0);
        let n_booting = self.booting.iter().filter(|it| it.0 == slot).count() as u32;
        let n_total: u32 = [ReplicaKind::Spot, ReplicaKind::OnDemand]
            .iter()
            .filter(|it| **it != order.kind)
            .map(|it| self.running.get(&(order.zone.clone(), *it)).copied().unwrap_or(0))
            .sum();
        let n_more = order.n_replicas.saturating_sub(n_running + n_booting);
        if order.kind == ReplicaKind::Spot && self.is_dry && 0 < n_more {
            return OrderResult::Unavailable;
        }
        let n_more =
            n_more.min(self.scaling.zone_max.saturating_sub(n_total + n_running + n_booting));
        self.booting.extend((0..n_more).map(|_| (slot.clone(), now_ms + BOOT_MS)));
        if order.n_replicas < n_running {
            self.running.insert(slot, order.n_replicas);
        }
        OrderResult::Accepted
    }

    fn tick(&mut self, now_ms: u64) {
        let booted: Vec<_> = self.booting.iter().filter(|it| it.1 <= now_ms).cloned().collect();
        self.booting.retain(|it| now_ms < it.1);
        for (slot, _) in booted {
            *self.running.entry(slot).or_default() += 1;
        }
    }

    fn count(&self, kind: ReplicaKind) -> u32 {
        self.running.iter().filter(|it| it.0.1 == kind).map(|it| *it.1).sum()
    }
}

enum Event {
    Demand(f64),
    /// The reclaimable replicas of a zone are taken away, and none are to be had.
    Reclaim(&'static str),
    /// They are to be had again.
    Supply,
}

struct Case {
    name: &'static str,
    spot_price: Option<f64>,
    /// Events by time in seconds.
    events: Vec<(u64, Event)>,
    /// Least replicas of both kinds, and most on-demand ones, from one second to another.
    checks: Vec<(u64, u64, u32, u32)>,
}

#[test]
fn the_fleet_follows_need_and_supply() {
    use Event::{Demand, Reclaim, Supply};
    // A demand of 1 needs one replica.
    let cases = [
        Case {
            name: "before the first request the operator's fleet is replaced by reclaimable replicas",
            spot_price: Some(0.18),
            events: vec![],
            checks: vec![(12, 30, 12, 0)],
        },
        Case {
            name: "one zone is taken away: what remains suffices, only the zone's least number is ordered on demand",
            spot_price: Some(0.18),
            events: vec![(0, Demand(5.0)), (20, Reclaim("a"))],
            checks: vec![(12, 40, 6, 1)],
        },
        Case {
            name: "one zone after the other, none to be had: on-demand replicas make up for it, and go when there are others",
            spot_price: Some(0.18),
            events: vec![
                (0, Demand(5.0)),
                (20, Reclaim("a")),
                (26, Reclaim("b")),
                (32, Reclaim("c")),
                (38, Reclaim("d")),
                (50, Supply),
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
            name: "a rise is followed within a boot",
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
        play(&case);
    }
}

fn play(case: &Case) {
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
                    demand.n_running = (n - 0.5) * f64::from(SLOTS) * settings.slots_share;
                }
                Event::Reclaim(name) => {
                    cloud.is_dry = true;
                    cloud.running.remove(&(zone(name), ReplicaKind::Spot));
                    plan.on_reclaim(&zone(name), now_ms);
                }
                Event::Supply => cloud.is_dry = false,
            }
        }
        let orders = plan.orders(demand, SLOTS, &cloud.scaling.clone(), &cloud.running, now_ms);
        for order in orders {
            let result = cloud.take(&order, now_ms);
            plan.on_order_result(&order, result, now_ms);
        }
        for (from, to, least, most_on_demand) in &case.checks {
            if (*from..*to).contains(&second) {
                let (n_spot, n_on_demand) =
                    (cloud.count(ReplicaKind::Spot), cloud.count(ReplicaKind::OnDemand));
                let n = n_spot + n_on_demand;
                assert!(*least <= n, "{}: {n} replicas at {second} s, {least} needed", case.name);
                assert!(
                    n_on_demand <= *most_on_demand,
                    "{}: {n_on_demand} on-demand replicas at {second} s",
                    case.name
                );
            }
        }
    }
}

#[test]
fn a_refused_kind_is_not_asked_for_at_once() {
    let settings = Settings::default();
    let mut plan = Plan::new(settings, "draft".parse().unwrap());
    let mut cloud = Cloud::new(Some(0.18), 3);
    cloud.is_dry = true;
    let mut n_refused = 0;
    for step in 0..40 {
        let now_ms = 10_000 + step * STEP_MS;
        for order in
            plan.orders(Demand::default(), SLOTS, &cloud.scaling.clone(), &cloud.running, now_ms)
        {
            let result = cloud.take(&order, now_ms);
            n_refused += u64::from(result == OrderResult::Unavailable);
            plan.on_order_result(&order, result, now_ms);
        }
    }
    let rounds = 40 * STEP_MS / settings.refused_pause_ms + 1;
    assert!(n_refused <= rounds * ZONES.len() as u64, "{n_refused} refused orders in 20 s");
}

#[test]
fn replicas_that_are_listed_after_the_first_look_count() {
    let mut plan = Plan::new(Settings::default(), "draft".parse().unwrap());
    let scaling = Scaling { zone_max: 50, ..scaling(Some(0.18)) };
    for step in 0..16 {
        let n_listed = if step < 8 { 5 } else { 20 };
        let present = ZONES
            .iter()
            .map(|it| ((zone(it), ReplicaKind::OnDemand), n_listed))
            .collect::<FxHashMap<_, _>>();
        plan.orders(Demand::default(), SLOTS, &scaling, &present, 10_000 + step * STEP_MS);
    }
    assert!(40 <= plan.need(), "a need of {} while the operator runs 80", plan.need());
}

/// Pattern: crash under load. Half of the fleet is gone and the streams of all pile up at the rest.
#[test]
fn streams_that_pile_up_at_few_replicas_do_not_multiply_the_need() {
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

/// Pattern: reclaim without notice. A zone whose number was confirmed a moment ago is not booting when it has vanished.
#[test]
fn a_zone_that_vanishes_after_an_order_is_made_up_for_at_once() {
    let settings = Settings::default();
    let mut plan = Plan::new(settings, "draft".parse().unwrap());
    let scaling = Scaling { zone_max: 50, ..scaling(Some(0.18)) };
    let demand =
        Demand { n_running: 20.0 * f64::from(SLOTS) * settings.slots_share, ..Demand::default() };
    let present = |zones: &[&str]| -> FxHashMap<ReplicaPool, u32> {
        zones.iter().map(|it| ((zone(it), ReplicaKind::Spot), 20)).collect()
    };
    // The need falls to that of the requests, and fewer are ordered than are there.
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

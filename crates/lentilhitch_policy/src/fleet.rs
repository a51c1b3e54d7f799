//! Plans how many replicas of a service to order, in which zones and of which kind.
//!
//! A replica is an upstream that the platform starts on order. Its kind is reclaimable (spot) or on-demand. The
//! replicas of one kind in one zone form a pool. An order sets the total number of replicas in a pool, not a change of
//! this number.
//!
//! The need is the number of replicas that the requests require, computed from the slots that running requests occupy
//! and from the time to process prompts. Reclaimable replicas cost a small fraction of on-demand ones, but the platform
//! reclaims all of them in a zone at once, and they are then unavailable there for some time. The plan therefore orders
//! more reclaimable replicas than are needed, so that enough remain when some zones are lost. On-demand replicas in the
//! cheapest zones cover any shortfall. A pool whose replicas are unavailable is ordered again after a backoff
//! ([`Settings::unavailable_backoff_ms`]). The plan uses the maximum need within a time window
//! ([`Settings::need_window_ms`]), so that replicas are not released between two peaks.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use lentilhitch_types::{ServiceName, Zone};

use crate::traffic::Scaling;

/// Settings for the computation of the need and of the orders.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Target for the mean fraction of a replica's slots that are occupied by running requests.
    pub slot_utilization: f64,
    /// Maximum need that running requests may cause, as a multiple of the replicas present. With too few replicas,
    /// responses are slow and running requests accumulate. Without this limit, more replicas would be ordered for them
    /// again and again.
    pub slots_growth_max: f64,
    /// Prompt tokens per second that a replica processes when it does nothing else.
    pub prefill_tokens_per_s: f64,
    /// Maximum fraction of a replica's time to spend on prefill, so that the intervals between tokens stay short.
    pub prefill_utilization: f64,
    /// How long a kind of replica is not ordered in a zone after it was unavailable there.
    pub unavailable_backoff_ms: u64,
    /// Time window over which the maximum need is taken.
    pub need_window_ms: u64,
    /// How long a new holder of the duty waits before its first order if it sees no demand: two heartbeats of the
    /// replicas.
    pub settling_ms: u64,
    /// Additional reclaimable replicas for the next rise of the need.
    pub n_spare: u32,
    /// Number of reclaimable replicas to order, as a multiple of the need. Reclaimable replicas cost little. On-demand
    /// replicas are ordered only for the need itself.
    pub spot_overprovision_factor: f64,
    /// Number of zones whose reclaimable replicas may be lost one after another before on-demand ones are ordered.
    pub zone_losses_max: u32,
    /// Fraction of the need that must remain covered if the zone with the most reclaimable replicas is lost next.
    pub remaining_fraction: f64,
    /// The same fraction while reclaimable replicas are unavailable in any zone. Zones are then lost one after another,
    /// and replacements take a full boot to arrive.
    pub shortage_remaining_fraction: f64,
    /// Need as a fraction of the replicas present, until the demand is known.
    pub initial_need_fraction: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slot_utilization: 0.4,
            slots_growth_max: 1.5,
            prefill_tokens_per_s: 45_000.0,
            prefill_utilization: 0.4,
            unavailable_backoff_ms: 3_000,
            need_window_ms: 12_000,
            settling_ms: 2_500,
            n_spare: 1,
            spot_overprovision_factor: 1.35,
            zone_losses_max: 2,
            remaining_fraction: 0.5,
            shortage_remaining_fraction: 0.9,
            initial_need_fraction: 0.7,
        }
    }
}

/// Demand of the requests of a service, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests whose response has started. Waiting requests are not counted: their number grows as replicas become
    /// fewer, so replicas would be ordered for them again and again.
    pub n_running: f64,
    /// Uncached prompt tokens per second.
    pub prefill_tokens_per_s: f64,
}

/// Kind of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ReplicaKind {
    Spot,
    OnDemand,
}

/// The replicas of one kind in one zone.
pub type ReplicaPool = (Zone, ReplicaKind);

/// An order that sets the total number of replicas of one kind in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub service: ServiceName,
    pub zone: Zone,
    pub kind: ReplicaKind,
    pub n_replicas: u32,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    Accepted,
    /// No such replicas are available at present.
    Unavailable,
    /// The result is unknown, and the order may still be carried out.
    Unknown,
}

/// Scaling plan of one service.
#[derive(Debug)]
pub struct Plan {
    settings: Settings,
    service: ServiceName,
    /// Last accepted order of each pool.
    ordered: FxHashMap<ReplicaPool, AcceptedOrder>,
    /// Replicas present at the latest check.
    present: FxHashMap<ReplicaPool, u32>,
    /// End of the backoff of each pool whose replicas were unavailable.
    unavailable_until_ms: FxHashMap<ReplicaPool, u64>,
    /// Maximum need within the window.
    need: u32,
    /// Times and values of the need within the window.
    recent_needs: VecDeque<(u64, u32)>,
    /// When orders were first computed.
    started_ms: Option<u64>,
    has_seen_demand: bool,
}

impl Plan {
    /// Creates a plan that has ordered nothing.
    pub fn new(settings: Settings, service: ServiceName) -> Self {
        Self {
            settings,
            service,
            ordered: FxHashMap::default(),
            present: FxHashMap::default(),
            unavailable_until_ms: FxHashMap::default(),
            need: 0,
            recent_needs: VecDeque::new(),
            started_ms: None,
            has_seen_demand: false,
        }
    }

    /// Returns the orders that adjust the replicas to the need. `slots` is the number of slots of a replica, `present`
    /// the number of replicas that are ready in each pool.
    pub fn orders(
        &mut self,
        demand: Demand,
        slots: u32,
        scaling: &Scaling,
        present: &FxHashMap<ReplicaPool, u32>,
        now_ms: u64,
    ) -> Vec<Order> {
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        self.present.clone_from(present);
        self.update_need(demand, slots, present, now_ms);
        if demand == Demand::default() && now_ms < started_ms + self.settings.settling_ms {
            return Vec::new();
        }
        let spot = self.spot_by_zone(scaling, present, now_ms);
        let on_demand = self.on_demand_by_zone(scaling, &spot, present, now_ms);
        let mut wanted: Vec<(ReplicaPool, u32)> = Vec::new();
        for (zone, it) in &spot {
            wanted.extend(it.n_wanted.map(|n| (((*zone).clone(), ReplicaKind::Spot), n)));
        }
        wanted.extend(on_demand.into_iter().map(|(zone, n)| ((zone, ReplicaKind::OnDemand), n)));
        let needs_order =
            |(pool, n): &(ReplicaPool, u32)| self.is_order_due(pool, *n, scaling, present, now_ms);
        let orders = wanted.into_iter().filter(needs_order).map(|((zone, kind), n_replicas)| {
            Order { service: self.service.clone(), zone, kind, n_replicas }
        });
        orders.collect()
    }

    /// Returns whether an order for a total of `n_replicas` in the pool must be sent.
    ///
    /// Without an accepted order of the pool, this is the case if a different number is present. After an accepted
    /// order, it is the case if that order was for a different number, or if fewer replicas than ordered are present
    /// although the boot time and [`BOOT_SLACK_MS`] have passed since the order.
    fn is_order_due(
        &self,
        pool: &ReplicaPool,
        n_replicas: u32,
        scaling: &Scaling,
        present: &FxHashMap<ReplicaPool, u32>,
        now_ms: u64,
    ) -> bool {
        let n_present = present.get(pool).copied().unwrap_or(0);
        let Some(ordered) = self.ordered.get(pool) else { return n_replicas != n_present };
        let is_overdue = ordered.at_ms + scaling.boot_ms + BOOT_SLACK_MS <= now_ms;
        n_replicas != ordered.n_replicas || (n_present < n_replicas && is_overdue)
    }

    /// Sets the measured number of prompt tokens that a replica processes per second.
    pub fn set_prefill_speed(&mut self, prefill_tokens_per_s: f64) {
        self.settings.prefill_tokens_per_s = prefill_tokens_per_s;
    }

    /// Records the result of an order.
    pub fn on_order_result(&mut self, order: &Order, result: OrderResult, now_ms: u64) {
        let pool = (order.zone.clone(), order.kind);
        match result {
            OrderResult::Accepted => {
                let n_present = self.present.get(&pool).copied().unwrap_or(0);
                let n_replicas = order.n_replicas;
                let n_booting = n_replicas.saturating_sub(n_present);
                self.ordered.insert(pool, AcceptedOrder { n_replicas, n_booting, at_ms: now_ms });
            }
            OrderResult::Unavailable => {
                self.ordered.remove(&pool);
                self.unavailable_until_ms
                    .insert(pool, now_ms + self.settings.unavailable_backoff_ms);
            }
            OrderResult::Unknown => {
                self.ordered.remove(&pool);
            }
        }
    }

    /// Records that the platform reclaims the reclaimable replicas of a zone.
    pub fn on_reclaim(&mut self, zone: &Zone, now_ms: u64) {
        let pool = (zone.clone(), ReplicaKind::Spot);
        self.ordered.remove(&pool);
        self.unavailable_until_ms.insert(pool, now_ms + self.settings.unavailable_backoff_ms);
    }

    /// Returns the number of replicas that the requests need: the maximum within the time window.
    pub fn need(&self) -> u32 {
        self.need
    }

    fn update_need(
        &mut self,
        demand: Demand,
        slots: u32,
        present: &FxHashMap<ReplicaPool, u32>,
        now_ms: u64,
    ) {
        let Settings {
            slot_utilization,
            prefill_tokens_per_s,
            prefill_utilization,
            slots_growth_max,
            ..
        } = self.settings;
        let is_settling = self.started_ms.is_some_and(|it| now_ms < it + self.settings.settling_ms);
        if is_settling || !self.has_seen_demand {
            // Until the demand is known, the need is derived from the replicas that the operator or a previous holder
            // of the duty lease has started. Some may not be in the list of upstreams yet at the first check, so all
            // count while settling. After that only on-demand replicas count, because the replicas ordered since then
            // are reclaimable.
            let counted =
                present.iter().filter(|it| is_settling || it.0.1 == ReplicaKind::OnDemand);
            let n_ready: u32 = counted.map(|it| *it.1).sum();
            let initial_need =
                (f64::from(n_ready) * self.settings.initial_need_fraction).ceil() as u32;
            self.need = self.need.max(initial_need).max(1);
        }
        if demand == Demand::default() && !self.has_seen_demand {
            return;
        }
        if !std::mem::replace(&mut self.has_seen_demand, true) {
            self.recent_needs.push_back((now_ms, self.need));
        }
        let n_present: u32 = present.values().sum();
        let need_by_slots = demand.n_running / (f64::from(slots.max(1)) * slot_utilization);
        let need_by_slots = need_by_slots.min(f64::from(n_present) * slots_growth_max);
        let need_by_prefill =
            demand.prefill_tokens_per_s / (prefill_tokens_per_s * prefill_utilization);
        let need = need_by_slots.max(need_by_prefill).ceil().max(1.0) as u32;
        self.recent_needs.push_back((now_ms, need));
        let oldest_ms = now_ms.saturating_sub(self.settings.need_window_ms);
        self.recent_needs.retain(|it| oldest_ms <= it.0);
        self.need = self.recent_needs.iter().map(|it| it.1).max().unwrap_or(need);
    }

    /// Returns the present, expected and wanted numbers of reclaimable replicas of each zone, cheapest zone first.
    fn spot_by_zone<'a>(
        &self,
        scaling: &'a Scaling,
        present: &FxHashMap<ReplicaPool, u32>,
        now_ms: u64,
    ) -> Vec<(&'a Zone, SpotPool)> {
        let mut zones: Vec<_> = scaling.zone_prices.iter().collect();
        zones.sort_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0)));
        let n_overprovisioned =
            (f64::from(self.need) * self.settings.spot_overprovision_factor).ceil() as u32;
        let n_total = n_overprovisioned + self.settings.n_spare;
        let n_per_zone = spread_spot(n_total, zones.len() as u32, self.settings.zone_losses_max);
        let spot = zones.into_iter().map(|(zone, _)| {
            let pool = (zone.clone(), ReplicaKind::Spot);
            let n_ready = present.get(&pool).copied().unwrap_or(0);
            let may_order = scaling.spot_price.is_some() && !self.is_spot_unavailable(zone, now_ms);
            let n_expected = n_ready + self.booting(&pool, n_ready, scaling, now_ms);
            let n_wanted = may_order.then_some(n_per_zone.min(scaling.zone_max));
            (zone, SpotPool { n_ready, n_expected, n_wanted })
        });
        spot.collect()
    }

    /// Returns the on-demand replicas to have in each zone. Their number grows to the shortfall that remains once all
    /// ordered replicas are present, and shrinks only to the shortfall beside the replicas that are ready.
    fn on_demand_by_zone(
        &self,
        scaling: &Scaling,
        spot: &[(&Zone, SpotPool)],
        present: &FxHashMap<ReplicaPool, u32>,
        now_ms: u64,
    ) -> Vec<(Zone, u32)> {
        let n_ordered = |zone: &Zone| {
            let pool = (zone.clone(), ReplicaKind::OnDemand);
            let n_present = present.get(&pool).copied().unwrap_or(0);
            self.ordered.get(&pool).map_or(n_present, |it| it.n_replicas)
        };
        let mut by_zone: Vec<_> = spot.iter().map(|(zone, _)| n_ordered(zone)).collect();
        let has_shortage = spot.iter().any(|it| self.is_spot_unavailable(it.0, now_ms));
        let Settings { remaining_fraction, shortage_remaining_fraction, .. } = self.settings;
        let fraction = if has_shortage { shortage_remaining_fraction } else { remaining_fraction };
        let shortfall_expected = self.shortfall(spot.iter().map(|it| it.1.n_expected), fraction);
        let shortfall_now = self.shortfall(spot.iter().map(|it| it.1.n_ready), fraction);
        let n_total: u32 = by_zone.iter().sum();
        let mut n_to_add = shortfall_expected.saturating_sub(n_total);
        let mut n_to_remove = n_total.saturating_sub(shortfall_now);
        for (n, (_, it)) in by_zone.iter_mut().zip(spot) {
            let n_free = scaling.zone_max.saturating_sub(*n + it.n_expected);
            *n += n_to_add.min(n_free);
            n_to_add -= n_to_add.min(n_free);
        }
        for n in by_zone.iter_mut().rev() {
            let n_removed = n_to_remove.min(*n);
            *n -= n_removed;
            n_to_remove -= n_removed;
        }
        let bounded = by_zone.into_iter().zip(spot).map(|(n, (zone, it))| {
            let is_min_kept = self.is_spot_unavailable(zone, now_ms) || it.n_expected == 0;
            let n_min =
                if is_min_kept { scaling.zone_min.saturating_sub(it.n_expected) } else { 0 };
            ((*zone).clone(), n.max(n_min))
        });
        bounded.collect()
    }

    /// Returns the number of on-demand replicas needed beside the reclaimable ones of each zone to cover the need, and
    /// to keep `remaining_fraction` of it covered if the largest zone is lost.
    fn shortfall(&self, spot: impl Iterator<Item = u32>, remaining_fraction: f64) -> u32 {
        let (n_spot, largest) = spot.fold((0, 0), |(sum, most), n| (sum + n, n.max(most)));
        let remaining = (f64::from(self.need) * remaining_fraction).ceil() as u32;
        let shortfall_now = self.need.saturating_sub(n_spot);
        let shortfall_after_loss = remaining.saturating_sub(n_spot - largest);
        shortfall_now.max(shortfall_after_loss)
    }

    /// Returns the number of ordered replicas that may still be booting. Replicas that were present and have been lost
    /// do not count.
    fn booting(&self, pool: &ReplicaPool, n_ready: u32, scaling: &Scaling, now_ms: u64) -> u32 {
        let ordered = self.ordered.get(pool);
        let pending = ordered.filter(|it| now_ms < it.at_ms + scaling.boot_ms + BOOT_SLACK_MS);
        pending.map_or(0, |it| it.n_booting.min(it.n_replicas.saturating_sub(n_ready)))
    }

    fn is_spot_unavailable(&self, zone: &Zone, now_ms: u64) -> bool {
        let until_ms = self.unavailable_until_ms.get(&(zone.clone(), ReplicaKind::Spot));
        until_ms.is_some_and(|it| now_ms < *it)
    }
}

/// The latest accepted order of a pool.
#[derive(Clone, Copy, Debug)]
struct AcceptedOrder {
    n_replicas: u32,
    /// Replicas of the order that were not present when it was accepted.
    n_booting: u32,
    at_ms: u64,
}

/// Numbers of reclaimable replicas in a zone.
#[derive(Clone, Copy, Debug)]
struct SpotPool {
    n_ready: u32,
    /// Number once all ordered replicas are present.
    n_expected: u32,
    /// Total number to order, or `None` if reclaimable replicas are unavailable or not offered.
    n_wanted: Option<u32>,
}

/// Time after the boot within which an ordered replica writes its entry to the store.
const BOOT_SLACK_MS: u64 = 3_000;

/// Returns the number of reclaimable replicas per zone so that `n_total` remain when `zone_losses_max` zones are lost.
fn spread_spot(n_total: u32, n_zones: u32, zone_losses_max: u32) -> u32 {
    n_total.div_ceil(n_zones.saturating_sub(zone_losses_max).max(1))
}

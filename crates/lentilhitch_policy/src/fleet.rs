//! How many replicas of a service to order, in which zones and of which kind.
//!
//! The number follows what the requests need: places in the batches, and time to read prompts. Reclaimable replicas cost
//! a small part of the others, but a zone of them is taken away at a time and for a while none are to be had; so more are
//! held than are needed, enough that the rest suffices when some zones are gone. On-demand ones in the cheapest zones
//! make up for what lacks. A refused kind is asked for again after a pause. The need is the highest of the last seconds, so
//! that replicas are not given up between two rises.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use lentilhitch_types::{ServiceName, Zone};

use crate::traffic::Scaling;

/// How the need is computed.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The part of the slots that is to be taken in the mean.
    pub slots_share: f64,
    /// The most that running requests may raise the need, as a multiple of the replicas that are there: where replicas lack,
    /// streams are slow and pile up, and would be ordered for over and over.
    pub growth_max: f64,
    /// Prompt tokens that a replica reads a second when it does nothing else.
    pub prefill_tokens_per_s: f64,
    /// The part of a replica's time that may go to prompts, so that the pauses between tokens stay short.
    pub prefill_share: f64,
    /// How long a refused kind of replica is not asked for in a zone.
    pub refused_pause_ms: u64,
    /// The need is the highest of so long a time.
    pub need_window_ms: u64,
    /// How long a fresh holder looks on before its first order, unless requests are waiting: two heartbeats of replicas.
    pub settle_ms: u64,
    /// Replicas beyond the need, for the next rise.
    pub spare: u32,
    /// Reclaimable replicas that are held, as a multiple of the need: they cost little, and on-demand ones are ordered
    /// only for the need itself.
    pub spot_margin: f64,
    /// Zones of reclaimable replicas that may be lost one after the other before on-demand ones are ordered.
    pub zones_lost_max: u32,
    /// The part of the need that must remain when the largest zone of reclaimable replicas is lost next.
    pub remaining_share: f64,
    /// The same while none are to be had: zones then go one after the other, and others take a boot's time to come.
    pub dry_remaining_share: f64,
    /// The need, as a part of the replicas that are there, until requests tell it.
    pub first_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots_share: 0.4,
            growth_max: 1.5,
            prefill_tokens_per_s: 45_000.0,
            prefill_share: 0.4,
            refused_pause_ms: 3_000,
            need_window_ms: 12_000,
            settle_ms: 2_500,
            spare: 1,
            spot_margin: 1.35,
            zones_lost_max: 2,
            remaining_share: 0.5,
            dry_remaining_share: 0.9,
            first_share: 0.7,
        }
    }
}

/// What the requests of a service ask for, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests that have had a first answer. Those that wait for one are not counted: they are the more, the fewer replicas
    /// there are, and would be ordered for over and over.
    pub n_running: f64,
    /// Uncached prompt tokens a second.
    pub prefill_tokens_per_s: f64,
}

/// Kinds of replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ReplicaKind {
    Spot,
    OnDemand,
}

/// Replicas of a kind in a zone.
pub type ReplicaPool = (Zone, ReplicaKind);

/// One order: the whole number of replicas wanted of a kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub service: ServiceName,
    pub zone: Zone,
    pub kind: ReplicaKind,
    pub n_replicas: u32,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    Accepted,
    /// There are none at present.
    Unavailable,
    /// Not known; the order may still be carried out.
    Unknown,
}

/// The plan for one service.
#[derive(Debug)]
pub struct Plan {
    settings: Settings,
    service: ServiceName,
    ordered: FxHashMap<ReplicaPool, Ordered>,
    /// What was there at the last look.
    present: FxHashMap<ReplicaPool, u32>,
    refused_until_ms: FxHashMap<ReplicaPool, u64>,
    need: u32,
    /// What was needed at recent times.
    recent_needs: VecDeque<(u64, u32)>,
    begun_ms: Option<u64>,
    has_seen_demand: bool,
}

impl Plan {
    /// A plan that has ordered nothing.
    pub fn new(settings: Settings, service: ServiceName) -> Self {
        Self {
            settings,
            service,
            ordered: FxHashMap::default(),
            present: FxHashMap::default(),
            refused_until_ms: FxHashMap::default(),
            need: 0,
            recent_needs: VecDeque::new(),
            begun_ms: None,
            has_seen_demand: false,
        }
    }

    /// The orders that bring the replicas to what is needed. `present` counts the replicas that are ready or booting.
    pub fn orders(
        &mut self,
        demand: Demand,
        slots: u32,
        scaling: &Scaling,
        present: &FxHashMap<ReplicaPool, u32>,
        now_ms: u64,
    ) -> Vec<Order> {
        let begun_ms = *self.begun_ms.get_or_insert(now_ms);
        self.present.clone_from(present);
        self.update_need(demand, slots, present, now_ms);
        if demand == Demand::default() && now_ms < begun_ms + self.settings.settle_ms {
            return Vec::new();
        }
        let spot = self.spot_by_zone(scaling, present, now_ms);
        let on_demand = self.on_demand_by_zone(scaling, &spot, present, now_ms);
        let mut wanted: Vec<(ReplicaPool, u32)> = Vec::new();
        for (zone, it) in &spot {
            wanted.extend(it.wanted.map(|n| (((*zone).clone(), ReplicaKind::Spot), n)));
        }
        wanted.extend(on_demand.into_iter().map(|(zone, n)| ((zone, ReplicaKind::OnDemand), n)));
        let is_changed =
            |(slot, n): &(ReplicaPool, u32)| self.is_order_due(slot, *n, scaling, present, now_ms);
        let orders = wanted.into_iter().filter(is_changed).map(|((zone, kind), n_replicas)| {
            Order { service: self.service.clone(), zone, kind, n_replicas }
        });
        orders.collect()
    }

    fn is_order_due(
        &self,
        slot: &ReplicaPool,
        n_replicas: u32,
        scaling: &Scaling,
        present: &FxHashMap<ReplicaPool, u32>,
        now_ms: u64,
    ) -> bool {
        let n_present = present.get(slot).copied().unwrap_or(0);
        let Some(ordered) = self.ordered.get(slot) else { return n_replicas != n_present };
        let is_overdue = ordered.at_ms + scaling.boot_ms + BOOT_SLACK_MS <= now_ms;
        n_replicas != ordered.n_replicas || (n_present < n_replicas && is_overdue)
    }

    /// Takes how many prompt tokens a replica reads a second.
    pub fn set_prefill_speed(&mut self, prefill_tokens_per_s: f64) {
        self.settings.prefill_tokens_per_s = prefill_tokens_per_s;
    }

    /// Takes how an order ended.
    pub fn on_order_result(&mut self, order: &Order, result: OrderResult, now_ms: u64) {
        let slot = (order.zone.clone(), order.kind);
        match result {
            OrderResult::Accepted => {
                let n_present = self.present.get(&slot).copied().unwrap_or(0);
                let n_replicas = order.n_replicas;
                let n_booting = n_replicas.saturating_sub(n_present);
                self.ordered.insert(slot, Ordered { n_replicas, n_booting, at_ms: now_ms });
            }
            OrderResult::Unavailable => {
                self.ordered.remove(&slot);
                self.refused_until_ms.insert(slot, now_ms + self.settings.refused_pause_ms);
            }
            OrderResult::Unknown => {
                self.ordered.remove(&slot);
            }
        }
    }

    /// Reclaimable replicas of a zone are being taken away.
    pub fn on_reclaim(&mut self, zone: &Zone, now_ms: u64) {
        let slot = (zone.clone(), ReplicaKind::Spot);
        self.ordered.remove(&slot);
        self.refused_until_ms.insert(slot, now_ms + self.settings.refused_pause_ms);
    }

    /// Replicas that the requests need at present.
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
        let Settings { slots_share, prefill_tokens_per_s, prefill_share, growth_max, .. } =
            self.settings;
        let is_settling = self.begun_ms.is_some_and(|it| now_ms < it + self.settings.settle_ms);
        if is_settling || !self.has_seen_demand {
            // Nothing is known of the need yet but what the operator, or a former holder, has running. All replicas
            // need not be listed at the first look; those that were ordered since are reclaimable ones.
            let known = present.iter().filter(|it| is_settling || it.0.1 == ReplicaKind::OnDemand);
            let n_ready: u32 = known.map(|it| *it.1).sum();
            let first = (f64::from(n_ready) * self.settings.first_share).ceil() as u32;
            self.need = self.need.max(first).max(1);
        }
        if demand == Demand::default() && !self.has_seen_demand {
            return;
        }
        if !std::mem::replace(&mut self.has_seen_demand, true) {
            self.recent_needs.push_back((now_ms, self.need));
        }
        let n_present: u32 = present.values().sum();
        let by_slots = demand.n_running / (f64::from(slots.max(1)) * slots_share);
        let by_slots = by_slots.min(f64::from(n_present) * growth_max);
        let by_prefill = demand.prefill_tokens_per_s / (prefill_tokens_per_s * prefill_share);
        let need = by_slots.max(by_prefill).ceil().max(1.0) as u32;
        self.recent_needs.push_back((now_ms, need));
        let oldest_ms = now_ms.saturating_sub(self.settings.need_window_ms);
        self.recent_needs.retain(|it| oldest_ms <= it.0);
        self.need = self.recent_needs.iter().map(|it| it.1).max().unwrap_or(need);
    }

    /// Reclaimable replicas, cheapest zone first.
    fn spot_by_zone<'a>(
        &self,
        scaling: &'a Scaling,
        present: &FxHashMap<ReplicaPool, u32>,
        now_ms: u64,
    ) -> Vec<(&'a Zone, Spot)> {
        let mut zones: Vec<_> = scaling.zone_prices.iter().collect();
        zones.sort_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0)));
        let held = (f64::from(self.need) * self.settings.spot_margin).ceil() as u32;
        let total = held + self.settings.spare;
        let share = spread_spot(total, zones.len() as u32, self.settings.zones_lost_max);
        let spot = zones.into_iter().map(|(zone, _)| {
            let slot = (zone.clone(), ReplicaKind::Spot);
            let n_ready = present.get(&slot).copied().unwrap_or(0);
            let may_order = scaling.spot_price.is_some() && !self.is_refused(zone, now_ms);
            let n_soon = n_ready + self.booting(&slot, n_ready, scaling, now_ms);
            let wanted = may_order.then_some(share.min(scaling.zone_max));
            (zone, Spot { n_ready, n_soon, wanted })
        });
        spot.collect()
    }

    /// On-demand replicas by zone. Their number grows by what lacks when all that was ordered is there, and shrinks only
    /// to what lacks beside what is ready.
    fn on_demand_by_zone(
        &self,
        scaling: &Scaling,
        spot: &[(&Zone, Spot)],
        present: &FxHashMap<ReplicaPool, u32>,
        now_ms: u64,
    ) -> Vec<(Zone, u32)> {
        let last = |zone: &Zone| {
            let place = (zone.clone(), ReplicaKind::OnDemand);
            let n_present = present.get(&place).copied().unwrap_or(0);
            self.ordered.get(&place).map_or(n_present, |it| it.n_replicas)
        };
        let mut by_zone: Vec<_> = spot.iter().map(|(zone, _)| last(zone)).collect();
        let is_dry = spot.iter().any(|it| self.is_refused(it.0, now_ms));
        let Settings { remaining_share, dry_remaining_share, .. } = self.settings;
        let share = if is_dry { dry_remaining_share } else { remaining_share };
        let needed_soon = self.lacking(spot.iter().map(|it| it.1.n_soon), share);
        let needed_now = self.lacking(spot.iter().map(|it| it.1.n_ready), share);
        let total: u32 = by_zone.iter().sum();
        let mut more = needed_soon.saturating_sub(total);
        let mut less = total.saturating_sub(needed_now);
        for (n, (_, it)) in by_zone.iter_mut().zip(spot) {
            let room = scaling.zone_max.saturating_sub(*n + it.n_soon);
            *n += more.min(room);
            more -= more.min(room);
        }
        for n in by_zone.iter_mut().rev() {
            let taken = less.min(*n);
            *n -= taken;
            less -= taken;
        }
        let bounded = by_zone.into_iter().zip(spot).map(|(n, (zone, it))| {
            let is_kept = self.is_refused(zone, now_ms) || it.n_soon == 0;
            let zone_least = if is_kept { scaling.zone_min.saturating_sub(it.n_soon) } else { 0 };
            ((*zone).clone(), n.max(zone_least))
        });
        bounded.collect()
    }

    /// On-demand replicas that are needed beside the reclaimable ones of each zone, so that a share of the need remains
    /// when the largest zone is lost.
    fn lacking(&self, spot: impl Iterator<Item = u32>, remaining_share: f64) -> u32 {
        let (n_spot, largest) = spot.fold((0, 0), |(sum, most), n| (sum + n, n.max(most)));
        let remaining = (f64::from(self.need) * remaining_share).ceil() as u32;
        let lacking_now = self.need.saturating_sub(n_spot);
        let lacking_later = remaining.saturating_sub(n_spot - largest);
        lacking_now.max(lacking_later)
    }

    /// Replicas that were ordered and may still be booting. One that was there and is gone again is none of them.
    fn booting(&self, slot: &ReplicaPool, n_ready: u32, scaling: &Scaling, now_ms: u64) -> u32 {
        let ordered = self.ordered.get(slot);
        let recent = ordered.filter(|it| now_ms < it.at_ms + scaling.boot_ms + BOOT_SLACK_MS);
        recent.map_or(0, |it| it.n_booting.min(it.n_replicas.saturating_sub(n_ready)))
    }

    fn is_refused(&self, zone: &Zone, now_ms: u64) -> bool {
        let until_ms = self.refused_until_ms.get(&(zone.clone(), ReplicaKind::Spot));
        until_ms.is_some_and(|it| now_ms < *it)
    }
}

/// The last order of a kind in a zone that was accepted.
#[derive(Clone, Copy, Debug)]
struct Ordered {
    n_replicas: u32,
    /// Those of them that were not there yet.
    n_booting: u32,
    at_ms: u64,
}

/// Reclaimable replicas of a zone.
#[derive(Clone, Copy, Debug)]
struct Spot {
    n_ready: u32,
    /// When all that was ordered is there.
    n_soon: u32,
    /// What to order, unless none are to be had.
    wanted: Option<u32>,
}

/// Time beyond the boot within which a replica that was ordered lists itself.
const BOOT_SLACK_MS: u64 = 3_000;

/// Reclaimable replicas in each zone, so that `total` remain when some zones are gone.
fn spread_spot(total: u32, n_zones: u32, zones_lost_max: u32) -> u32 {
    total.div_ceil(n_zones.saturating_sub(zones_lost_max).max(1))
}

//! How many replicas of a service to order, in which zones and of which kind.
//!
//! The number follows what the requests need: places in the batches, and time to read prompts. Reclaimable replicas are
//! ordered so that the rest suffices when the zone with most of them is taken away. Where none are to be had, on-demand
//! ones in the cheapest zones take their place; a refused kind is asked for again after a pause. Replicas are given up
//! only after the need has been lower for a while.

use rustc_hash::FxHashMap;

use lentilhitch_types::{ServiceName, Zone};

use crate::traffic::Scaling;

/// How the need is computed.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The part of the slots that is to be taken in the mean.
    pub slots_share: f64,
    /// Prompt tokens that a replica reads a second when it does nothing else.
    pub prefill_tokens_per_s: f64,
    /// The part of a replica's time that may go to prompts, so that the pauses between tokens stay short.
    pub prefill_share: f64,
    /// How long a refused kind of replica is not asked for in a zone.
    pub refused_pause_ms: u64,
    /// How long the need must be lower before replicas are given up.
    pub shrink_after_ms: u64,
    /// Replicas beyond the need, for the next rise.
    pub spare: u32,
    /// The need, as a part of the replicas that are there, until requests tell it.
    pub first_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots_share: 0.35,
            prefill_tokens_per_s: 45_000.0,
            prefill_share: 0.35,
            refused_pause_ms: 3_000,
            shrink_after_ms: 8_000,
            spare: 1,
            first_share: 0.6,
        }
    }
}

/// What the requests of a service ask for, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    pub n_in_progress: f64,
    /// Uncached prompt tokens a second.
    pub prefill_tokens_per_s: f64,
}

/// Kinds of replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    Spot,
    OnDemand,
}

/// Replicas of a kind in a zone.
pub type Slot = (Zone, Kind);

/// One order: the whole number of replicas wanted of a kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub service: ServiceName,
    pub zone: Zone,
    pub kind: Kind,
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
    ordered: FxHashMap<Slot, (u32, u64)>,
    refused_until_ms: FxHashMap<Slot, u64>,
    need: u32,
    need_since_ms: u64,
}

impl Plan {
    /// A plan that has ordered nothing.
    pub fn new(settings: Settings, service: ServiceName) -> Self {
        Self {
            settings,
            service,
            ordered: FxHashMap::default(),
            refused_until_ms: FxHashMap::default(),
            need: 0,
            need_since_ms: 0,
        }
    }

    /// The orders that bring the replicas to what is needed. `present` counts the replicas that are ready or booting.
    pub fn orders(
        &mut self,
        demand: Demand,
        slots: u32,
        scaling: &Scaling,
        present: &FxHashMap<Slot, u32>,
        now_ms: u64,
    ) -> Vec<Order> {
        let n_ready: u32 = present.values().sum();
        if self.need == 0 {
            self.need = (f64::from(n_ready) * self.settings.first_share).ceil().max(1.0) as u32;
            self.need_since_ms = now_ms;
        }
        self.update_need(demand, slots, now_ms);
        let wanted = self.wanted(scaling, now_ms);
        let mut orders = Vec::new();
        for ((zone, kind), n_replicas) in wanted {
            let slot = (zone.clone(), kind);
            let n_present = present.get(&slot).copied().unwrap_or(0);
            let ordered = self.ordered.get(&slot).copied();
            let n_last = ordered.map_or(n_present, |it| it.0);
            // What is too much is kept until what replaces it is there.
            if n_replicas < n_last && n_ready < self.need + self.settings.spare {
                continue;
            }
            let boot_ms = scaling.boot_ms + BOOT_SLACK_MS;
            let is_missing =
                n_present < n_replicas && ordered.is_none_or(|it| it.1 + boot_ms <= now_ms);
            if n_replicas != n_last || is_missing {
                let service = self.service.clone();
                orders.push(Order { service, zone, kind, n_replicas });
            }
        }
        orders
    }

    /// Takes how an order ended.
    pub fn take_result(&mut self, order: &Order, result: OrderResult, now_ms: u64) {
        let slot = (order.zone.clone(), order.kind);
        match result {
            OrderResult::Accepted => {
                self.ordered.insert(slot, (order.n_replicas, now_ms));
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
    pub fn take_reclaim(&mut self, zone: &Zone, now_ms: u64) {
        let slot = (zone.clone(), Kind::Spot);
        self.ordered.remove(&slot);
        self.refused_until_ms.insert(slot, now_ms + self.settings.refused_pause_ms);
    }

    /// Replicas that the requests need at present.
    pub fn need(&self) -> u32 {
        self.need
    }

    fn update_need(&mut self, demand: Demand, slots: u32, now_ms: u64) {
        let Settings { slots_share, prefill_tokens_per_s, prefill_share, .. } = self.settings;
        let by_slots = demand.n_in_progress / (f64::from(slots.max(1)) * slots_share);
        let by_prefill = demand.prefill_tokens_per_s / (prefill_tokens_per_s * prefill_share);
        let need = by_slots.max(by_prefill).ceil().max(1.0) as u32;
        if self.need <= need {
            self.need = need;
            self.need_since_ms = now_ms;
        } else if demand == Demand::default() {
            // Before the first requests nothing is known of the need.
            self.need_since_ms = now_ms;
        } else if self.need_since_ms + self.settings.shrink_after_ms <= now_ms {
            self.need -= 1;
            self.need_since_ms = now_ms;
        }
    }

    /// Replicas by zone and kind.
    fn wanted(&self, scaling: &Scaling, now_ms: u64) -> Vec<(Slot, u32)> {
        let mut zones: Vec<_> = scaling.zone_prices.iter().collect();
        zones.sort_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0)));
        let is_refused = |zone: &Zone| {
            let until_ms = self.refused_until_ms.get(&(zone.clone(), Kind::Spot));
            until_ms.is_some_and(|it| now_ms < *it)
        };
        let spot_zones: Vec<_> = zones
            .iter()
            .filter(|it| scaling.spot_price.is_some() && !is_refused(it.0))
            .map(|it| it.0)
            .collect();
        let total = self.need + self.settings.spare;
        let spot = spread_spot(total, spot_zones.len() as u32, scaling.zone_max);
        let mut wanted: FxHashMap<Slot, u32> = FxHashMap::default();
        for zone in &spot_zones {
            wanted.insert(((*zone).clone(), Kind::Spot), spot);
        }
        // What remains when the largest zone of reclaimable replicas is gone must suffice.
        let n_spot = spot * spot_zones.len() as u32;
        let mut lacking = self.need.saturating_sub(n_spot.saturating_sub(spot));
        for (zone, _) in &zones {
            let taken = wanted.get(&((*zone).clone(), Kind::Spot)).copied().unwrap_or(0);
            let least = scaling.zone_min.saturating_sub(taken);
            let n = lacking.min(scaling.zone_max.saturating_sub(taken)).max(least);
            lacking = lacking.saturating_sub(n);
            wanted.insert(((*zone).clone(), Kind::OnDemand), n);
        }
        let mut wanted: Vec<_> = wanted.into_iter().collect();
        wanted.sort_by(|a, b| a.0.cmp(&b.0));
        wanted
    }
}

/// Time beyond the boot within which a replica that was ordered lists itself.
const BOOT_SLACK_MS: u64 = 3_000;

/// Reclaimable replicas in each zone, so that `total` remain when one zone is gone.
fn spread_spot(total: u32, n_zones: u32, zone_max: u32) -> u32 {
    match n_zones {
        0 => 0,
        1 => total.min(zone_max),
        _ => total.div_ceil(n_zones - 1).min(zone_max),
    }
}

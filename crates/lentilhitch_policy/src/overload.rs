//! Load shedding: decides whether a request is sent or rejected while capacity is short.
//!
//! Capacity is short if no upstream of the service has a free slot, as known to this node from the loads of all nodes.
//! A request is then sent if its first event can still come within its latency objective. Its wait is estimated from
//! the requests ahead of it: model engines run the more urgent requests of their queue first, so only those that are
//! at least as urgent count. Otherwise the request is rejected at once, so that it does not take capacity from
//! requests that can still be in time. Each node decides by itself. All nodes use the same sums and the same rule.
//!
//! Each class, that is each combination of priority, team and size, keeps a minimum share: [`Settings::share_min`] of
//! its requests are sent even if they will be late.

use lru::LruCache;
use rustc_hash::FxBuildHasher;

use lentilhitch_types::{ServiceName, TeamName};

use crate::traffic::Config;

mod retry_after;

pub use retry_after::retry_after_ms;

/// Settings of the load shedding.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Whether the load of any service is shed. Otherwise requests are sent in the order of arrival.
    pub is_enabled: bool,
    /// Multiple of the latency objective after which a first event is too late for a request to be sent while capacity
    /// is short.
    pub target_multiple: f64,
    /// The same multiple for requests of the most urgent priority. It is higher because the estimate is rough, and
    /// there are no more urgent requests that would profit from their rejection.
    pub most_urgent_target_multiple: f64,
    /// Fraction of the requests of a class that are sent even if they will be late.
    pub share_min: f64,
    /// Age that the sums of other nodes can have, in milliseconds. Slots that become free within it count as free.
    pub sums_age_ms: f64,
    /// Time constant of the estimates in milliseconds: the age that the sums of other nodes can have. Faster estimates
    /// would follow the nodes' own decisions and oscillate.
    pub time_constant_ms: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            is_enabled: true,
            target_multiple: 1.0,
            most_urgent_target_multiple: 4.0,
            share_min: 0.05,
            sums_age_ms: 1_000.0,
            time_constant_ms: 1_000.0,
        }
    }
}

/// Returns the most urgent priority of a service whose load is shed by priority, or `None` if the load of the service is
/// not shed, because its upstreams are no model engines or all its requests have the same priority.
pub fn most_urgent_priority(config: &Config, service: &ServiceName) -> Option<u8> {
    config.services.get(service)?.engine?;
    let routes = config.routes.iter().filter(|it| it.split.iter().any(|it| it.0 == *service));
    let priorities = routes.flat_map(|route| {
        let teams = if route.is_anonymous { &[][..] } else { &config.teams };
        let of_teams = teams.iter().map(|it| it.priority.unwrap_or(route.priority));
        of_teams.chain(teams.is_empty().then_some(route.priority))
    });
    let (min, max) = priorities.fold((u8::MAX, 0), |(min, max), it| (it.min(min), it.max(max)));
    (min < max).then_some(min)
}

/// Sums over the ready upstreams of a service, as known to this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    pub n_slots: u32,
    /// Slots without a request.
    pub n_free_slots: u32,
    /// Requests beyond the slots of their upstream.
    pub n_queued: u32,
}

impl Capacity {
    /// Counts a request that was sent since the sums were computed.
    pub fn add_request(&mut self) {
        if self.n_free_slots == 0 {
            self.n_queued += 1;
        } else {
            self.n_free_slots -= 1;
        }
    }
}

/// A request as far as it matters for the decision.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// 0 is the most urgent.
    pub priority: u8,
    /// Whether no priority of the service is more urgent.
    pub is_most_urgent: bool,
    pub team: Option<&'a TeamName>,
    /// Prompt tokens that the chosen upstream has to read.
    pub uncached_tokens: u32,
    /// Latency objective for the first event, from the arrival.
    pub target_ms: u64,
    /// Time since the arrival.
    pub waited_ms: u64,
    /// Time until the deadline.
    pub remaining_ms: u64,
}

/// The chosen upstream, as known to this node, without the request itself.
#[derive(Clone, Copy, Debug)]
pub struct Chosen {
    pub n_requests: u32,
    pub slots: u32,
    /// Expected time to the first token of the request once it has a slot.
    pub first_token_ms: f64,
}

/// Decision on a request that has not been sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    Send(Cause),
    /// The first event would come too late. The estimate is the time from now in milliseconds.
    Reject {
        expected_ms: f64,
    },
}

/// Why a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// An upstream has a free slot.
    FreeSlot,
    /// The first event is expected in time.
    InTime,
    /// The class of the request keeps its minimum share.
    MinShare,
}

/// What a node knows of the load of one service.
#[derive(Debug)]
pub struct Overload {
    settings: Settings,
    /// Mean time for which a request holds a slot, or `None` before the first response has ended.
    slot_ms: Option<f64>,
    /// Requests that this node has sent by priority, with exponential decay.
    sent: [f64; N_PRIORITIES],
    decayed_ms: u64,
    /// Requests that each class may have sent although they will be late.
    credits: LruCache<Class, f64, FxBuildHasher>,
}

/// Number of priorities that are told apart. Less urgent ones count as the last of them.
const N_PRIORITIES: usize = 10;
/// Priority, hash of the team's name and power of two of the uncached tokens.
type Class = (u8, u64, u32);
/// Maximum number of classes. The least recently used one is dropped and starts again without credit.
const CLASSES_MAX: std::num::NonZeroUsize = std::num::NonZeroUsize::new(4_096).unwrap();
/// Maximum credit of a class, in requests, so that a class that was idle does not send a burst of late requests.
const CREDIT_MAX: f64 = 2.0;
/// Weight of the newest request in the mean time for which a slot is held.
const SLOT_MS_NEWEST_WEIGHT: f64 = 0.02;

impl Overload {
    /// Creates the state of a node that has sent no request.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            slot_ms: None,
            sent: [0.0; N_PRIORITIES],
            decayed_ms: 0,
            credits: LruCache::with_hasher(CLASSES_MAX, FxBuildHasher),
        }
    }

    /// Decides on a request for which an upstream was chosen.
    pub fn decide(
        &mut self,
        request: Request<'_>,
        chosen: Chosen,
        capacity: Capacity,
        now_ms: u64,
    ) -> Decision {
        let team = request.team.map_or(0, |it| xxhash_rust::xxh3::xxh3_64(it.as_str().as_bytes()));
        let class = (request.priority, team, request.uncached_tokens.max(1).ilog2());
        let share_min = self.settings.share_min;
        let credit = self.credits.get_or_insert_mut(class, || 0.0);
        *credit = (*credit + share_min).min(CREDIT_MAX);
        let has_credit = 1.0 <= *credit;
        let expected_ms = self.expected_ms(&request, chosen);
        let multiple = if request.is_most_urgent {
            self.settings.most_urgent_target_multiple
        } else {
            self.settings.target_multiple
        };
        let limit_ms = multiple * request.target_ms as f64;
        let is_in_deadline = expected_ms <= request.remaining_ms as f64;
        let is_in_time = is_in_deadline && request.waited_ms as f64 + expected_ms <= limit_ms;
        let cause = if chosen.n_requests < chosen.slots || self.has_free_slots(capacity) {
            Cause::FreeSlot
        } else if is_in_time {
            Cause::InTime
        } else if has_credit && is_in_deadline {
            Cause::MinShare
        } else {
            return Decision::Reject { expected_ms };
        };
        if let Some(credit) = self.credits.get_mut(&class) {
            *credit = (*credit - 1.0).max(0.0);
        }
        self.decay(now_ms);
        self.sent[usize::from(request.priority).min(N_PRIORITIES - 1)] += 1.0;
        Decision::Send(cause)
    }

    /// Returns whether an upstream may have a free slot: more slots than requests are queued became free within the age of
    /// the sums.
    fn has_free_slots(&self, capacity: Capacity) -> bool {
        let slot_ms = self.slot_ms.unwrap_or(self.settings.sums_age_ms).max(1.0);
        let n_freed = f64::from(capacity.n_slots) * self.settings.sums_age_ms / slot_ms;
        0 < capacity.n_free_slots || f64::from(capacity.n_queued) < n_freed
    }

    /// Records the time for which a request of this node held a slot, from the first event to the end.
    pub fn record_slot_time(&mut self, slot_ms: u64) {
        let slot_ms = slot_ms as f64;
        let mean = self.slot_ms.get_or_insert(slot_ms);
        *mean += SLOT_MS_NEWEST_WEIGHT * (slot_ms - *mean);
    }

    /// Returns the expected time to the first event of a request at the chosen upstream: the wait for a slot and the
    /// time to the first token from then on.
    fn expected_ms(&self, request: &Request<'_>, chosen: Chosen) -> f64 {
        let n_queued = chosen.n_requests.saturating_sub(chosen.slots.saturating_sub(1));
        let n_ahead = f64::from(n_queued) * self.share_ahead(request.priority);
        let slot_ms = self.slot_ms.unwrap_or(0.0);
        n_ahead * slot_ms / f64::from(chosen.slots.max(1)) + chosen.first_token_ms
    }

    /// Returns the fraction of the requests sent that are at least as urgent.
    fn share_ahead(&self, priority: u8) -> f64 {
        let total: f64 = self.sent.iter().sum();
        let ahead: f64 = self.sent.iter().take(usize::from(priority) + 1).sum();
        if total <= 0.0 { 1.0 } else { ahead / total }
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.decayed_ms) as f64;
        self.decayed_ms = now_ms;
        let factor = (-elapsed_ms / self.settings.time_constant_ms).exp();
        self.sent.iter_mut().for_each(|it| *it *= factor);
    }

    /// Returns the time until the requests that are queued at the upstreams have a slot.
    pub fn queue_ms(&self, capacity: Capacity, priority: u8) -> f64 {
        let n_ahead = f64::from(capacity.n_queued) * self.share_ahead(priority);
        n_ahead * self.slot_ms.unwrap_or(0.0) / f64::from(capacity.n_slots.max(1))
    }
}

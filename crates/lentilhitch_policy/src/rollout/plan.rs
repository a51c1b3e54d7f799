//! The plan record of a service in the store, and its transitions.

use serde::{Deserialize, Serialize};

use lentilhitch_types::{LogPosition, SoftwareVersion};

use crate::rollout::order::{Order, OrderTag};

/// Maximum number of base versions in a record.
pub const N_BASE_MAX: usize = 8;
/// Maximum number of rejected versions in a record. The oldest is dropped.
pub const N_REJECTED_MAX: usize = 16;

/// Maximum number of earlier orders in a record. The oldest is dropped.
pub const N_EARLIER_MAX: usize = 16;

/// Stage of a rollout.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No upstream of the target is ready.
    #[default]
    Waiting,
    /// Few requests go to the target, until the first responses were judged.
    Probing,
    /// Part of the target's upstreams have the load that they would have with all traffic.
    Loading,
    /// The target is accepted. All new requests go to it, and those in flight at the base end.
    Shifting,
    Completed,
    RolledBack,
}

impl Stage {
    /// Returns whether the order has a verdict.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// State of a rollout as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    InProgress,
    Completed,
    RolledBack,
}

/// What decided a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The target answered without more bad responses than the base.
    Accepted,
    /// The target is the only version that serves, or the target of the last completed order.
    AlreadyServing,
    /// The target failed more often than the base.
    Failures,
    /// The target was slow more often than the base.
    Slow,
    /// Too few responses until the time limit for a decision.
    TooLittleEvidence,
    /// No upstream of the target appeared until the time limit.
    NoUpstream,
    /// The time limit passed before the version was accepted.
    TimeLimit,
    /// The record of the order was removed.
    Withdrawn,
}

/// Final result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    #[serde(rename = "c")]
    pub is_completed: bool,
    #[serde(rename = "r")]
    pub reason: Reason,
}

/// Record of the rollout of a service in the store, which all nodes follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    #[serde(rename = "o")]
    pub order: Order,
    #[serde(rename = "t")]
    pub tag: OrderTag,
    /// Number of the record among those of the service. It increases by one.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Versions in use when the order began.
    #[serde(rename = "b")]
    pub base: Vec<SoftwareVersion>,
    /// Targets of earlier orders that were rolled back or replaced, oldest first.
    #[serde(rename = "x")]
    pub rejected: Vec<SoftwareVersion>,
    /// Target of the last completed order.
    #[serde(rename = "f")]
    pub in_force: Option<SoftwareVersion>,
    /// Synchronized wall-clock time in milliseconds at which the order was first seen.
    #[serde(rename = "w")]
    pub start_ms: u64,
    #[serde(rename = "g")]
    pub stage: Stage,
    /// Synchronized wall-clock time in milliseconds at which the stage `Shifting` began.
    #[serde(rename = "h")]
    pub shift_ms: Option<u64>,
    /// Number of requests to the target that holders have reserved so far.
    #[serde(rename = "r")]
    pub reserved: u64,
    /// Number of requests to the service since the order that are known to have arrived.
    #[serde(rename = "a")]
    pub arrived: u64,
    #[serde(rename = "v")]
    pub verdict: Option<Verdict>,
    /// Earlier orders and the position at which each was last written, oldest first. A restored store may show them
    /// again.
    #[serde(rename = "e", default)]
    pub earlier: Vec<(u64, LogPosition)>,
}

/// What the record of an order in the store means next to the plan record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRelation {
    New,
    /// The order of the plan or an earlier one, as known.
    Known,
    /// A known order whose record was written again at a later position.
    Rewritten,
}

/// Cause of a new plan record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanEvent {
    /// A new order, with the versions in use and the synchronized time.
    Begin {
        order: Order,
        base: Vec<SoftwareVersion>,
        now_ms: u64,
    },
    /// The record of the order was written again after a restore of the store.
    Rewritten(Order),
    /// More requests are reserved for the target.
    Reserve {
        reserved: u64,
        arrived: u64,
    },
    /// The next stage before a verdict.
    Advance {
        stage: Stage,
        now_ms: u64,
    },
    Decide(Verdict),
}

impl Plan {
    /// Returns what a record of an order means next to this plan record.
    pub fn relation(&self, order: &Order) -> OrderRelation {
        if self.order.is_equal_request(order) && self.verdict.is_none() {
            let is_rewritten = self.order.position < order.position;
            return if is_rewritten { OrderRelation::Rewritten } else { OrderRelation::Known };
        }
        let current = (self.order.request_hash(), self.order.position);
        let hash = order.request_hash();
        let known = self.earlier.iter().chain([&current]).rfind(|it| it.0 == hash);
        match known {
            Some((_, position)) if order.position <= *position => OrderRelation::Known,
            Some((_, position)) if position.era() < order.position.era() => {
                OrderRelation::Rewritten
            }
            _ if order.position <= self.order.position => OrderRelation::Known,
            _ => OrderRelation::New,
        }
    }

    /// Returns the record that follows `previous` after an event, or `None` if the event changes nothing or may not
    /// happen: a verdict is final for its order, stages do not go back, and reservations do not decrease.
    pub fn after(previous: Option<&Self>, event: PlanEvent) -> Option<Self> {
        if let PlanEvent::Begin { order, base, now_ms } = event {
            return Self::begin(previous, order, base, now_ms);
        }
        let previous = previous?;
        let mut next = previous.clone();
        next.sequence += 1;
        if let PlanEvent::Rewritten(order) = event {
            return (previous.relation(&order) == OrderRelation::Rewritten).then(|| {
                next.set_position(&order);
                next
            });
        }
        if previous.verdict.is_some() {
            return None;
        }
        match event {
            PlanEvent::Reserve { reserved, arrived } => {
                next.reserved = next.reserved.max(reserved);
                next.arrived = next.arrived.max(arrived);
            }
            PlanEvent::Advance { stage, now_ms } => {
                if stage.is_final() || stage <= previous.stage {
                    return None;
                }
                next.stage = stage;
                if stage == Stage::Shifting {
                    next.shift_ms = Some(now_ms);
                }
            }
            PlanEvent::Decide(verdict) => {
                if verdict.is_completed
                    && previous.stage != Stage::Shifting
                    && verdict.reason != Reason::AlreadyServing
                {
                    return None;
                }
                next.decide(verdict);
            }
            PlanEvent::Begin { .. } | PlanEvent::Rewritten(_) => return None,
        }
        let is_changed = (next.reserved, next.arrived, next.stage)
            != (previous.reserved, previous.arrived, previous.stage);
        is_changed.then_some(next)
    }

    fn begin(
        previous: Option<&Self>,
        order: Order,
        mut base: Vec<SoftwareVersion>,
        now_ms: u64,
    ) -> Option<Self> {
        if previous.is_some_and(|it| it.relation(&order) != OrderRelation::New) {
            return None;
        }
        let mut rejected = previous.map(|it| it.rejected.clone()).unwrap_or_default();
        let mut earlier = previous.map(|it| it.earlier.clone()).unwrap_or_default();
        if let Some(previous) = previous {
            if previous.verdict.is_none() && previous.order.to != order.to {
                push_rejected(&mut rejected, &previous.order.to);
            }
            earlier.retain(|it| it.0 != previous.order.request_hash());
            earlier.push((previous.order.request_hash(), previous.order.position));
            earlier.drain(..earlier.len().saturating_sub(N_EARLIER_MAX));
        }
        rejected.retain(|it| *it != order.to);
        base.retain(|it| *it != order.to && !rejected.contains(it));
        base.truncate(N_BASE_MAX);
        Some(Self {
            tag: order.tag(),
            order,
            sequence: previous.map_or(0, |it| it.sequence) + 1,
            base,
            rejected,
            in_force: previous.and_then(|it| it.in_force.clone()),
            start_ms: now_ms,
            stage: Stage::Waiting,
            shift_ms: None,
            reserved: 0,
            arrived: 0,
            verdict: None,
            earlier,
        })
    }

    /// Returns the record that follows from this one, which is in the store, and another one that a node knows and the
    /// store has lost, or `None` if this one stays. Of one order, a verdict and the larger reservation remain.
    pub fn merged(&self, other: &Self) -> Option<Self> {
        if self.tag != other.tag {
            let follows = |later: &Self, earlier: &Self| {
                let hash = earlier.order.request_hash();
                later.earlier.iter().any(|it| it.0 == hash)
            };
            let is_later = match (follows(other, self), follows(self, other)) {
                (true, false) => true,
                (false, true) => false,
                _ => self.sequence < other.sequence,
            };
            return is_later.then(|| {
                let sequence = other.sequence.max(self.sequence + 1);
                Self { sequence, ..other.clone() }
            });
        }
        let mut next = if self.sequence < other.sequence { other.clone() } else { self.clone() };
        next.reserved = self.reserved.max(other.reserved);
        next.arrived = self.arrived.max(other.arrived);
        next.order.position = self.order.position.max(other.order.position);
        if let Some(verdict) = self.verdict.or(other.verdict) {
            if next.verdict.is_none() {
                next.decide(verdict);
            }
        } else {
            next.stage = self.stage.max(other.stage);
            next.shift_ms = self.shift_ms.or(other.shift_ms);
        }
        if next == *self {
            return None;
        }
        if next != *other {
            next.sequence = self.sequence.max(other.sequence) + 1;
        }
        Some(next)
    }

    fn decide(&mut self, verdict: Verdict) {
        self.verdict = Some(verdict);
        if verdict.is_completed {
            self.stage = Stage::Completed;
            self.in_force = Some(self.order.to.clone());
        } else {
            self.stage = Stage::RolledBack;
            push_rejected(&mut self.rejected, &self.order.to);
        }
    }

    /// Records where a known order was written again.
    fn set_position(&mut self, order: &Order) {
        if self.order.is_equal_request(order) {
            self.order.position = order.position;
        }
        let hash = order.request_hash();
        for it in self.earlier.iter_mut().filter(|it| it.0 == hash) {
            it.1 = order.position;
        }
    }

    /// Returns the state as operators see it.
    pub fn state(&self) -> RolloutState {
        match self.verdict {
            None => RolloutState::InProgress,
            Some(it) if it.is_completed => RolloutState::Completed,
            Some(_) => RolloutState::RolledBack,
        }
    }

    /// Returns the time limit of the order as synchronized wall-clock time in milliseconds.
    pub fn time_limit_ms(&self) -> u64 {
        self.start_ms + self.order.duration_ms
    }
}

fn push_rejected(rejected: &mut Vec<SoftwareVersion>, version: &SoftwareVersion) {
    rejected.retain(|it| it != version);
    rejected.push(version.clone());
    rejected.drain(..rejected.len().saturating_sub(N_REJECTED_MAX));
}

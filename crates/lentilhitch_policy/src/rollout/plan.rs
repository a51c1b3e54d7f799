//! The plan record of a service in the store, and its transitions.

use serde::{Deserialize, Serialize};

use lentilhitch_types::SoftwareVersion;

use crate::rollout::order::{Order, OrderTag};

/// Maximum number of base versions in a record.
pub const N_BASE_MAX: usize = 8;
/// Maximum number of rejected versions in a record. The oldest is dropped.
pub const N_REJECTED_MAX: usize = 16;

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
    /// Returns the record that follows `previous` after an event, or `None` if the event changes nothing or may not
    /// happen: a verdict is final for its order, stages do not go back, and reservations do not decrease.
    pub fn after(previous: Option<&Self>, event: PlanEvent) -> Option<Self> {
        let _ = (previous, event);
        None
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

//! Rollouts: moves the traffic of a service to upstreams of another software version, and back if that version is bad.
//!
//! An operator orders a version ([`Order`]). The holder of the duty lease runs the [`Controller`]: it writes a plan record
//! ([`Plan`]) for each step and gives each node a permission that expires ([`Grant`]) in reply to the node's counts
//! ([`Evidence`]). Each node runs a [`NodeView`], which states the versions that may run a request.
//!
//! The number of requests that a bad version gets is limited by construction: the ceilings of all grants in force sum to
//! at most `reserved` of the plan record in the store, and `reserved` is at most a share of the requests that have
//! arrived. See [`budget`]. The version is judged by a sequential test, see [`sequential`].

use serde::{Deserialize, Serialize};

pub mod budget;
pub mod controller;
pub mod evidence;
pub mod judge;
pub mod medians;
pub mod node_view;
pub mod order;
pub mod plan;
pub mod sequential;

pub use controller::{Controller, StageReport};
pub use evidence::{Counts, EVIDENCE_BYTES_MAX, Evidence, LatencySample, RouteCounts};
pub use node_view::{NodeView, RequestClass, ResponseOutcome, RunKind, Side};
pub use order::{Order, OrderTag};
pub use plan::{OrderRelation, Plan, PlanEvent, Reason, RolloutState, Stage, Verdict};

/// Identifies one run of a node: hash of its name, and its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeRun {
    #[serde(rename = "n")]
    pub node: u64,
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// Bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum share of the requests of a service that a bad version may get.
    pub exposure_share: f64,
    /// Number of requests that a bad version may get in addition.
    pub exposure_slack: f64,
    /// Time after the 50th bad response from which on a bad version gets no request.
    pub rollback_ms: u64,
    /// Time for which a node in contact has reached the store and the other nodes.
    pub contact_ms: u64,
    /// Validity of the duty lease.
    pub lease_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback_ms: 5_000,
            contact_ms: 4_000,
            lease_ms: 3_000,
        }
    }
}

impl Settings {
    /// Returns how long a grant is valid, counted from when the node sent the evidence that the grant answers.
    pub fn grant_validity_ms(&self) -> u64 {
        self.rollback_ms / 4
    }

    /// Returns the interval at which each of `n_nodes` nodes sends evidence.
    pub fn evidence_interval_ms(n_nodes: usize) -> u64 {
        let spread_ms = n_nodes as u64 * EVIDENCE_SPREAD_US / 1_000;
        spread_ms.max(EVIDENCE_INTERVAL_MIN_MS)
    }
}

const EVIDENCE_INTERVAL_MIN_MS: u64 = 200;
/// Time in microseconds by which each node lengthens the interval, so that the holder gets 400 messages per second.
const EVIDENCE_SPREAD_US: u64 = 2_500;

/// Permission of one run of a node to send requests to the target of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    #[serde(rename = "s")]
    pub service: u32,
    #[serde(rename = "o")]
    pub tag: OrderTag,
    #[serde(rename = "n")]
    pub to: NodeRun,
    /// Node's monotonic time at which it sent the evidence that this grant answers.
    #[serde(rename = "t")]
    pub answers_ms: u64,
    #[serde(rename = "g")]
    pub stage: Stage,
    /// Number of requests that this run of the node may ever send to the target under this order.
    #[serde(rename = "c")]
    pub ceiling: u64,
    /// Share of the requests that should go to the target.
    #[serde(rename = "p")]
    pub share: f32,
    /// Number of upstreams of the target that should be used.
    #[serde(rename = "u")]
    pub n_upstreams: u32,
    /// Validity in milliseconds, counted from `answers_ms`.
    #[serde(rename = "v")]
    pub valid_ms: u64,
    /// Median latencies of the base for nodes that have too few responses of their own.
    #[serde(rename = "m", default)]
    pub medians: Vec<LatencySample>,
}

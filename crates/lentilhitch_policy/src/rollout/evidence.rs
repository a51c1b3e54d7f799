//! Counts that a node sends to the holder while an order is in progress.

use serde::{Deserialize, Serialize};

use lentilhitch_types::ServiceName;

use crate::rollout::{NodeRun, order::OrderTag, plan::Stage};

/// Maximum size of the encoded evidence in bytes, so that it fits into one datagram.
pub const EVIDENCE_BYTES_MAX: usize = 1_200;
/// Number of groups into which the upstreams of the target are divided by hash.
pub const N_GROUPS: usize = 8;

/// Cumulative counts of requests to one version since the order began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Responses that were judged.
    #[serde(rename = "r", default)]
    pub responses: u64,
    #[serde(rename = "f", default)]
    pub failures: u64,
    /// Responses whose latency could be compared.
    #[serde(rename = "t", default)]
    pub timed: u64,
    #[serde(rename = "s", default)]
    pub slow: u64,
    /// Requests in flight now. Not cumulative.
    #[serde(rename = "o", default)]
    pub open: u64,
}

/// Counts of one route, or of all routes that have no counts of their own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Hash of the route's name, or 0 for the sum of the other routes.
    #[serde(rename = "r")]
    pub route: u32,
    #[serde(rename = "b")]
    pub base: Counts,
    /// Counts of the target by group of upstreams. Groups without requests are absent.
    #[serde(rename = "g")]
    pub target: Vec<(u8, Counts)>,
}

/// Latency of the base version for a route and size class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencySample {
    /// Hash of the route's name.
    #[serde(rename = "r")]
    pub route: u32,
    /// Power of two of the uncached prompt tokens.
    #[serde(rename = "z")]
    pub size_class: u8,
    #[serde(rename = "l")]
    pub latency_ms: u32,
}

/// Totals of one run of a node under an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    #[serde(rename = "s")]
    pub service: ServiceName,
    #[serde(rename = "o")]
    pub tag: OrderTag,
    #[serde(rename = "n")]
    pub from: NodeRun,
    /// Node's monotonic time at which this was sent. The grant that answers it repeats the time.
    #[serde(rename = "t")]
    pub sent_ms: u64,
    /// Highest sequence number of a plan record that the node knows.
    #[serde(rename = "q")]
    pub plan_sequence: u64,
    /// Stage that the node knows from the plan or its grant.
    #[serde(rename = "g")]
    pub stage: Stage,
    /// Requests that arrived for the service.
    #[serde(rename = "a")]
    pub arrived: u64,
    /// Requests sent to the target.
    #[serde(rename = "x")]
    pub sent_target: u64,
    /// Requests in flight at other versions than the target, including those sent before the order.
    #[serde(rename = "b")]
    pub base_open: u64,
    /// Longest duration of a request at the base that has ended, in milliseconds.
    #[serde(rename = "d")]
    pub base_longest_ms: u64,
    #[serde(rename = "r")]
    pub routes: Vec<RouteCounts>,
    /// Some latencies of the base since the last evidence.
    #[serde(rename = "l", default)]
    pub samples: Vec<LatencySample>,
}

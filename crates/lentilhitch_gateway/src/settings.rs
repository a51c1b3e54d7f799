//! Settings of a node, independent of the platform's settings format.

use std::net::SocketAddr;

use lentilhitch_policy::placement::Strategy;
use lentilhitch_types::{InstanceName, Zone};

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub instance: InstanceName,
    pub zone: Zone,
    /// Address that clients connect to.
    pub frontend_address: SocketAddr,
    /// Address of the readiness check, used by the load balancer.
    pub readiness_address: SocketAddr,
    /// Address at which other nodes fetch what this node knows of the cluster.
    pub exchange_address: SocketAddr,
    /// UDP address for gossip, in which nodes send each other their load and the changes of upstreams.
    pub gossip_address: SocketAddr,
    /// Address of the metrics and the state dump for operators.
    pub admin_address: SocketAddr,
    /// Exchange addresses of some nodes, used while the store is unreachable and no peer is reachable. They may be out
    /// of date.
    pub seeds: Vec<SocketAddr>,
    /// Whether the deployment starts for the first time.
    pub is_first_start: bool,
    /// Whether this node sends its usage counts to the holder of the duty lease, and reports usage while it holds the
    /// lease itself.
    pub has_usage_duty: bool,
    /// Whether this node orders replicas while it holds the duty lease.
    pub has_scaling_duty: bool,
    /// Memory of the node in bytes. It limits the request bodies that are read at the same time.
    pub memory_bytes: u64,
    /// Speed of the machine's network link.
    pub link_bytes_per_s: f64,
    /// Interval in milliseconds at which an upstream writes its entry to the store.
    pub upstream_heartbeat_ms: u64,
    /// Strategy by which upstreams are chosen.
    pub strategy: Strategy,
    pub bounds: Bounds,
    /// Bounds of rollouts. Absent in deployments whose operators order no versions.
    pub rollouts: Option<RolloutBounds>,
}

/// Limits of the exposure to a software version that is being rolled out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// Maximum number of requests to a bad version, as a fraction of all requests to the service.
    pub exposure_share: f64,
    /// Number of requests to a bad version that are allowed in addition to `exposure_share`, over all nodes.
    pub exposure_slack: f64,
    /// Time in milliseconds after which no node sends requests to a version that has shown to be bad.
    pub rollback_ms: u64,
}

impl Default for RolloutBounds {
    fn default() -> Self {
        Self { exposure_share: 0.1, exposure_slack: 50.0, rollback_ms: 5_000 }
    }
}

/// Limits and durations that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum duration of a planned stop in milliseconds, from the signal until the process has exited.
    pub stop_grace_ms: u64,
    /// Validity of the duty lease in milliseconds, from when its claim or its last renewal was sent.
    pub lease_ms: u64,
    /// Maximum number of retries in a period of time, as a fraction of the requests in that period. Each node adds half
    /// of this fraction to the retry budget of a service for each first attempt. A retry takes 1 from the budget.
    pub retry_ratio: f64,
    /// Number of retries that are allowed in a period of time in addition to `retry_ratio`, over all nodes. Half of it,
    /// divided by the number of nodes, is the maximum of a node's retry budget, which is at least 1.
    pub retry_slack: f64,
    /// Time in milliseconds after which nodes that reach each other and the store know of an event.
    pub contact_ms: u64,
    /// Length of a usage window in milliseconds.
    pub usage_window_ms: u64,
    /// Time in milliseconds, from the end of a usage window, by which the window must be reported.
    pub usage_report_deadline_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stop_grace_ms: 8_000,
            lease_ms: 3_000,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            contact_ms: 3_000,
            usage_window_ms: 5_000,
            usage_report_deadline_ms: 10_000,
        }
    }
}

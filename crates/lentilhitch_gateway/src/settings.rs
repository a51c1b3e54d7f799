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
    /// Address at which other nodes fetch this node's shared state.
    pub exchange_address: SocketAddr,
    /// UDP address for gossip, in which nodes send each other their load.
    pub gossip_address: SocketAddr,
    /// Address of the metrics and the state dump for operators.
    pub admin_address: SocketAddr,
    /// Exchange addresses of some nodes, used while the platform is unreachable. They may be out of date.
    pub seeds: Vec<SocketAddr>,
    pub has_usage_duty: bool,
    pub has_scaling_duty: bool,
    pub memory_bytes: u64,
    /// Interval at which an upstream writes its entry to the store.
    pub upstream_heartbeat_ms: u64,
    /// Strategy by which upstreams are chosen.
    pub strategy: Strategy,
    pub bounds: Bounds,
}

/// Limits that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum duration of a planned stop.
    pub stop_grace_ms: u64,
    /// Duration of a lease.
    pub lease_ms: u64,
    /// Maximum number of retries in a window, as a fraction of the requests.
    pub retry_ratio: f64,
    /// Number of retries in a window that are allowed beyond `retry_ratio`.
    pub retry_slack: f64,
    /// Length of a usage window.
    pub usage_window_ms: u64,
    /// Time after the end of a usage window by which the window must be reported.
    pub usage_report_deadline_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stop_grace_ms: 8_000,
            lease_ms: 3_000,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            usage_window_ms: 5_000,
            usage_report_deadline_ms: 10_000,
        }
    }
}

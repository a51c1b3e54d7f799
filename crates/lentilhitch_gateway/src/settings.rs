//! The settings of a node, in the project's words.

use std::net::SocketAddr;

use lentilhitch_policy::placement::Strategy;
use lentilhitch_types::{InstanceName, Zone};

/// What a node runs on.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub instance: InstanceName,
    pub zone: Zone,
    /// Where clients connect.
    pub frontend_address: SocketAddr,
    /// Where the balancer asks whether the node is ready.
    pub readiness_address: SocketAddr,
    /// Where other nodes ask for what this one knows.
    pub exchange_address: SocketAddr,
    /// Where nodes tell each other their load (UDP).
    pub gossip_address: SocketAddr,
    /// Metrics and the state dump for operators.
    pub admin_address: SocketAddr,
    /// Exchange addresses of some nodes, perhaps out of date; used while the platform can't be reached.
    pub seeds: Vec<SocketAddr>,
    pub has_usage_duty: bool,
    pub has_scaling_duty: bool,
    pub memory_bytes: u64,
    /// How often an upstream writes its entry.
    pub upstream_heartbeat_ms: u64,
    /// How upstreams are chosen.
    pub strategy: Strategy,
    pub bounds: Bounds,
}

/// Bounds that the deployment states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// A planned stop may take this long.
    pub stop_grace_ms: u64,
    pub lease_ms: u64,
    /// Second tries as a share of the requests, and how many beyond, in a window.
    pub retry_ratio: f64,
    pub retry_slack: f64,
    pub usage_window_ms: u64,
    /// How long after its end a usage window is to be reported.
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

//! One node's view of the rollouts: which versions may run a request, and the counts for the holder.

use rand::Rng;
use serde::{Deserialize, Serialize};

use lentilhitch_types::{LogPosition, ServiceName, SoftwareVersion};

use crate::{
    rollout::{
        Grant, NodeRun, Settings,
        evidence::Evidence,
        order::Order,
        plan::{Plan, Stage},
    },
    traffic::UpstreamEntry,
};

/// Versions for which a request is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Side {
    Base,
    Target,
}

/// Result of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// A complete response, or a stream to its end.
    Succeeded,
    /// A 5xx of the upstream, a broken or truncated response, a broken stream, or no response in time.
    Failed,
    /// The upstream rejected the request without running it, answered 421, could not be reached, or the client canceled.
    NotJudged,
}

/// Route and size of a request, by which latencies are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestClass {
    /// Hash of the route's name.
    pub route: u32,
    /// Power of two of the uncached prompt tokens.
    pub size_class: u8,
}

impl RequestClass {
    /// Returns the class of a request of a route with the given number of uncached prompt tokens.
    pub fn new(route: &str, uncached_tokens: u64) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(route.as_bytes()) as u32;
        let size_class = (u64::BITS - uncached_tokens.leading_zeros()) as u8;
        Self { route: hash.max(1), size_class }
    }
}

/// One node's view of the rollouts of all services. `now_ms` is the node's monotonic time.
#[derive(Clone, Debug)]
pub struct NodeView {
    settings: Settings,
    local: NodeRun,
}

impl NodeView {
    /// Creates the view of a node. `is_first_start` means that the deployment starts, so that there are no orders yet
    /// that this node would have to learn of first.
    pub fn new(settings: Settings, local: NodeRun, is_first_start: bool, now_ms: u64) -> Self {
        let _ = (is_first_start, now_ms);
        Self { settings, local }
    }

    /// Handles the orders in the store, as of the end of a read of their topic.
    pub fn on_orders(&mut self, orders: &[Order], as_of: LogPosition) {
        let _ = (&self.settings, orders, as_of);
    }

    /// Handles the last plan record of a service in the store, or that of a peer. A record with a lower sequence number
    /// than a known one changes nothing.
    pub fn on_plan(&mut self, plan: Plan, now_ms: u64) {
        let _ = (&self.settings, plan, now_ms);
    }

    /// Handles the sequence number of the last plan record of a service in the store (0 for none).
    pub fn on_store_sequence(&mut self, service: &ServiceName, sequence: u64) {
        let _ = (&self.settings, service, sequence);
    }

    /// Returns the known plan records that the store has lost, to offer them to the holder.
    pub fn offered_plans(&self) -> Vec<&Plan> {
        let _ = &self.settings;
        Vec::new()
    }

    /// Returns all known plan records, for a node that has just started.
    pub fn plans(&self) -> Vec<&Plan> {
        let _ = &self.settings;
        Vec::new()
    }

    /// Handles a grant that answers the evidence sent at `sent_ms`.
    pub fn on_grant(&mut self, grant: Grant, sent_ms: u64, now_ms: u64) {
        let _ = (&self.settings, grant, sent_ms, now_ms);
    }

    /// Handles the list of ready upstreams of all services. Versions that were not known before are withheld until the
    /// orders were confirmed.
    pub fn on_upstreams<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a UpstreamEntry>,
        now_ms: u64,
    ) {
        let _ = (&self.settings, upstreams, now_ms);
    }

    /// Handles the first sight of a version of a service.
    pub fn on_version_seen(
        &mut self,
        service: &ServiceName,
        version: &SoftwareVersion,
        now_ms: u64,
    ) {
        let _ = (&self.settings, service, version, now_ms);
    }

    /// Handles a confirmation that this node knows all orders and plans of the store as of `as_of_ms`, this node's time.
    pub fn on_orders_confirmed(&mut self, as_of_ms: u64) {
        let _ = (&self.settings, as_of_ms);
    }

    /// Handles the arrival of a request for a service and draws the versions that should run it.
    pub fn draw(&mut self, service: &ServiceName, rng: &mut impl Rng, now_ms: u64) -> Side {
        let _ = (&self.settings, service, rng, now_ms);
        Side::Base
    }

    /// Returns whether an upstream may run a request of a service that was drawn for `side`.
    pub fn allowed(
        &self,
        service: &ServiceName,
        upstream: &UpstreamEntry,
        side: Side,
        now_ms: u64,
    ) -> bool {
        let _ = (&self.settings, service, upstream, side, now_ms);
        true
    }

    /// Counts a request immediately before it is sent. Returns `false` if it must not be sent to this upstream, because
    /// the permission has ended or been used up since the upstream was chosen.
    #[must_use]
    pub fn record_sent(
        &mut self,
        service: &ServiceName,
        class: RequestClass,
        upstream: &UpstreamEntry,
        now_ms: u64,
    ) -> bool {
        let _ = (&self.settings, service, class, upstream, now_ms);
        true
    }

    /// Counts the end of a request for which [`Self::record_sent`] returned `true`. `latency_ms` is the time to the first
    /// event (streams) or to the response, if there was one. `elapsed_ms` is the time since the request was sent.
    #[expect(clippy::too_many_arguments, reason = "each is a measurement of the one request")]
    pub fn record_outcome(
        &mut self,
        service: &ServiceName,
        class: RequestClass,
        upstream: &UpstreamEntry,
        outcome: ResponseOutcome,
        latency_ms: Option<u64>,
        elapsed_ms: u64,
        now_ms: u64,
    ) {
        let _ = (&self.settings, service, class, upstream, outcome);
        let _ = (latency_ms, elapsed_ms, now_ms);
    }

    /// Returns the evidence that is due now, at most one for each service with an order in progress.
    pub fn evidence(&mut self, n_nodes: usize, now_ms: u64) -> Vec<Evidence> {
        let _ = (&self.settings, self.local, n_nodes, now_ms);
        Vec::new()
    }

    /// Returns the stage of a service's rollout as this node knows it, for metrics.
    pub fn stage(&self, service: &ServiceName) -> Option<Stage> {
        let _ = (&self.settings, service);
        None
    }
}

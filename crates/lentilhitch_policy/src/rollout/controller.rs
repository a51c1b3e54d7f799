//! Decisions of the holder of the duty lease on the orders of all services.

use lentilhitch_types::{LogPosition, ServiceName, SoftwareVersion};

use crate::rollout::{
    Grant, NodeRun, Settings,
    evidence::Evidence,
    order::Order,
    plan::{Plan, RolloutState, Stage},
};

/// Evidence that led to a stage, for one log line and for metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct StageReport {
    pub service: ServiceName,
    pub to: SoftwareVersion,
    pub stage: Stage,
    /// Responses, failures and slow responses of the base and of the target.
    pub base: (u64, u64, u64),
    pub target: (u64, u64, u64),
    /// Evidence against the target: common logarithm of the highest e-value of failures and of slow responses.
    pub log10_e_failures: f64,
    pub log10_e_slow: f64,
    pub sent_target: u64,
    pub reserved: u64,
    pub arrived: u64,
}

/// Decides on the rollouts. Every node feeds it with orders, plans and upstreams, so that the next holder knows since
/// when there is an order. Only the holder of the duty lease asks for writes and grants. `now_ms` is synchronized
/// wall-clock time.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: Settings,
}

impl Controller {
    pub fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// Handles the start or the end of the duty lease of this node. Counts of nodes and grants start anew.
    pub fn on_lease(&mut self, is_held: bool, now_ms: u64) {
        let _ = (&self.settings, is_held, now_ms);
    }

    /// Handles the orders in the store, as of the end of a read of their topic.
    pub fn on_orders(&mut self, orders: &[Order], as_of: LogPosition, now_ms: u64) {
        let _ = (&self.settings, orders, as_of, now_ms);
    }

    /// Handles a read of the plan topic, which had the given end, with the last record of the service if there is one.
    pub fn on_plan(&mut self, service: &ServiceName, plan: Option<Plan>, end: LogPosition) {
        let _ = (&self.settings, service, plan, end);
    }

    /// Handles a record that another node knows and that may have been lost by the store.
    pub fn on_offered_plan(&mut self, plan: Plan) {
        let _ = (&self.settings, plan);
    }

    /// Handles the runs of nodes that membership considers alive, this node included.
    pub fn on_nodes(&mut self, nodes: &[NodeRun], now_ms: u64) {
        let _ = (&self.settings, nodes, now_ms);
    }

    /// Handles the counts of a node, including those of this node.
    pub fn on_evidence(&mut self, evidence: &Evidence, now_ms: u64) {
        let _ = (&self.settings, evidence, now_ms);
    }

    /// Handles the number of ready upstreams of each version of a service.
    pub fn on_upstreams(
        &mut self,
        service: &ServiceName,
        counts: &[(SoftwareVersion, u32)],
        now_ms: u64,
    ) {
        let _ = (&self.settings, service, counts, now_ms);
    }

    /// Handles the longest timeout of the routes of a service.
    pub fn on_routes(&mut self, service: &ServiceName, timeout_max_ms: u64) {
        let _ = (&self.settings, service, timeout_max_ms);
    }

    /// Returns the services that have an order or a plan record.
    pub fn services(&self) -> Vec<ServiceName> {
        Vec::new()
    }

    /// Returns the next plan record to append on condition that the topic ends where it was read, if one is due. Until
    /// the result is reported, no other record is returned.
    pub fn next_write(&mut self, service: &ServiceName, now_ms: u64) -> Option<Plan> {
        let _ = (&self.settings, service, now_ms);
        None
    }

    /// Handles an append that succeeded.
    pub fn on_written(&mut self, service: &ServiceName, plan: Plan, now_ms: u64) {
        let _ = (&self.settings, service, plan, now_ms);
    }

    /// Handles an append without success or without a response. The topic must be read before the next append.
    pub fn on_write_failed(&mut self, service: &ServiceName) {
        let _ = (&self.settings, service);
    }

    /// Returns the state that the status record of a service must show.
    pub fn status(&self, service: &ServiceName) -> Option<(RolloutState, SoftwareVersion)> {
        let _ = (&self.settings, service);
        None
    }

    /// Returns the grant that answers the last evidence of a node, or `None` if the node may not use the target.
    pub fn grant(&mut self, to: NodeRun, service: &ServiceName, now_ms: u64) -> Option<Grant> {
        let _ = (&self.settings, to, service, now_ms);
        None
    }

    /// Returns the evidence behind the current stage of a service.
    pub fn report(&self, service: &ServiceName) -> Option<StageReport> {
        let _ = (&self.settings, service);
        None
    }
}

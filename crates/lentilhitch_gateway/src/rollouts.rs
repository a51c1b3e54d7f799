//! Rollouts: which software versions of a service may run requests while operators move the traffic to another version.
//!
//! What is decided, and by whom, is in [`lentilhitch_policy::rollout`]. This module feeds the view of this node with what
//! the store, the other nodes and the upstreams say ([`follow`]), runs the controller while this node holds the duty lease
//! ([`control`]), and exchanges evidence and grants ([`evidence`]). It is inactive in deployments without rollouts: no task
//! runs, and every version may run requests.

mod control;
mod evidence;
pub(crate) mod follow;

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, task::spawn_local};

use lentilhitch_policy::{
    catalog::Catalog,
    rollout::{
        Controller, Evidence, Grant, NodeRun, NodeView, Order, Plan, RequestClass, ResponseOutcome,
        RunKind, Settings, Side, Verdict,
    },
    traffic::UpstreamEntry,
};
use lentilhitch_types::{LogPosition, ServiceName, SoftwareVersion, StoreEra};

use crate::{
    duties::SharedDuty,
    node::{Node, name_hash},
    platform::Platform,
    settings::NodeSettings,
};

/// State of the rollouts at this node.
pub(crate) struct Rollouts {
    view: RefCell<NodeView>,
    controller: RefCell<Controller>,
    copy: RefCell<StoreCopy>,
    duty: OnceCell<SharedDuty>,
    /// Notified when a response of the target was bad, so that the holder learns of it at once.
    evidence_due: Notify,
    /// Notified when there is news for the controller.
    control_due: Notify,
    /// Incarnation that each node stated in its last evidence, by hash of the node's name.
    incarnations: RefCell<FxHashMap<u64, u64>>,
    /// Gossip address of the store reader of the zone, if it has other orders or plans than this node.
    missed_digest: Cell<Option<SocketAddr>>,
}

/// Orders and plans in the store, as last read by this node or by the store reader of the zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct StoreCopy {
    #[serde(rename = "o")]
    orders: BTreeMap<ServiceName, Order>,
    /// End of the topic of orders.
    #[serde(rename = "p")]
    orders_end: LogPosition,
    #[serde(rename = "l")]
    plans: BTreeMap<ServiceName, Plan>,
    /// This node's time as of which this is what the store had, or `None` if neither the store nor a node has told.
    #[serde(skip)]
    as_of_ms: Option<u64>,
    /// When this node itself last read the orders from the store.
    #[serde(skip)]
    orders_read_ms: Option<u64>,
    /// Era of the store in which this node itself last read the plans.
    #[serde(skip)]
    plans_era: Option<StoreEra>,
}

/// Message between nodes on rollouts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum RolloutMessage {
    /// From the store reader of a zone to its other nodes: digest of the orders and plans in the store, and the time since
    /// they were read.
    #[serde(rename = "d")]
    Digest {
        #[serde(rename = "d")]
        digest: u64,
        #[serde(rename = "a")]
        age_ms: u64,
    },
    /// From a node that has read the store to the other nodes of its zone: orders and plans that have changed.
    #[serde(rename = "n")]
    News {
        #[serde(rename = "o")]
        orders: Vec<Order>,
        #[serde(rename = "l")]
        plans: Vec<Plan>,
    },
    /// From a node to the holder of the duty lease.
    #[serde(rename = "e")]
    Evidence(Box<Evidence>),
    /// The holder's answer.
    #[serde(rename = "g")]
    Grant(Box<Grant>),
    /// From a node to the holder: a plan that the store has lost.
    #[serde(rename = "l")]
    LostPlan(Box<Plan>),
}

impl Rollouts {
    /// Returns the state of a node that starts, or `None` in deployments without rollouts.
    pub(crate) fn new(settings: &NodeSettings, incarnation: u64, now_ms: u64) -> Option<Self> {
        let bounds = settings.rollouts?;
        let policy = Settings {
            exposure_share: bounds.exposure_share,
            exposure_slack: bounds.exposure_slack,
            rollback_ms: bounds.rollback_ms,
            contact_ms: settings.bounds.contact_ms,
            lease_ms: settings.bounds.lease_ms,
        };
        let local = NodeRun { node: name_hash(settings.instance.as_str()), incarnation };
        Some(Self {
            view: RefCell::new(NodeView::new(policy, local, settings.is_first_start, now_ms)),
            controller: RefCell::new(Controller::new(policy)),
            copy: RefCell::default(),
            duty: OnceCell::new(),
            evidence_due: Notify::new(),
            control_due: Notify::new(),
            incarnations: RefCell::default(),
            missed_digest: Cell::default(),
        })
    }

    fn holds_lease(&self, now_ms: u64) -> bool {
        self.duty.get().is_some_and(|it| it.borrow().is_held(now_ms))
    }

    /// Handles a change of the upstreams, before any request is sent to a new one.
    pub(crate) fn on_upstreams_changed(&self, catalog: &Catalog, now_ms: u64) {
        let ready = catalog.iter().filter(|it| it.is_ready()).map(|it| &it.entry);
        self.view.borrow_mut().on_upstreams(ready, now_ms);
    }

    /// Returns whether a node may pass a request on to an upstream for another node, which has chosen the version. It may
    /// not if the version was rolled back or replaced.
    pub(crate) fn may_relay(&self, upstream: &UpstreamEntry) -> bool {
        let view = self.view.borrow();
        let plan = view.plans().into_iter().find(|it| it.order.service == upstream.service);
        !plan.is_some_and(|it| is_rejected(it, &upstream.version))
    }
}

/// Returns whether a plan says that a version gets no more requests from any node.
fn is_rejected(plan: &Plan, version: &SoftwareVersion) -> bool {
    let is_target = plan.order.to == *version;
    match plan.verdict {
        Some(Verdict { is_completed: false, .. }) if is_target => true,
        Some(Verdict { is_completed: true, .. }) => {
            !is_target && (plan.base.contains(version) || plan.rejected.contains(version))
        }
        _ => !is_target && plan.rejected.contains(version),
    }
}

/// Versions that may run one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VersionDraw {
    /// `None` until the request is first to be sent, and always in deployments without rollouts.
    side: Option<Side>,
}

impl VersionDraw {
    /// Draws the versions that should run a request of a service that has arrived. Has no effect after the first call.
    pub(crate) fn draw<P>(&mut self, node: &Node<P>, service: &ServiceName) {
        let Some(rollouts) = &node.rollouts else { return };
        if self.side.is_some() {
            return;
        }
        let now_ms = node.now_ms();
        let mut state = node.state.borrow_mut();
        self.side = Some(rollouts.view.borrow_mut().draw(service, &mut state.rng, now_ms));
    }

    /// Returns whether the request was drawn for the target.
    pub(crate) fn is_for_target(self) -> bool {
        self.side == Some(Side::Target)
    }
}

impl<P> Node<P> {
    /// Returns whether an upstream of the target may run a request that was drawn for the target.
    pub(crate) fn may_use_as_target(&self, entry: &UpstreamEntry, now_ms: u64) -> bool {
        let Some(rollouts) = &self.rollouts else { return false };
        let view = rollouts.view.borrow();
        view.allowed(&entry.service, entry, Side::Target, now_ms)
            && !view.allowed(&entry.service, entry, Side::Base, now_ms)
    }

    /// Returns whether an upstream may run any request of its service.
    pub(crate) fn may_use_as_base(&self, entry: &UpstreamEntry, now_ms: u64) -> bool {
        let Some(rollouts) = &self.rollouts else { return true };
        rollouts.view.borrow().allowed(&entry.service, entry, Side::Base, now_ms)
    }

    /// Returns whether an upstream may continue a stream that its version has begun.
    pub(crate) fn may_continue_at(&self, entry: &UpstreamEntry, now_ms: u64) -> bool {
        let Some(rollouts) = &self.rollouts else { return true };
        rollouts.view.borrow().may_continue(&entry.service, entry, now_ms)
    }
}

/// A request that was sent to an upstream and counts for its version. Counted as ended when dropped.
pub(crate) struct SentRequest<P> {
    node: Rc<Node<P>>,
    class: RequestClass,
    entry: UpstreamEntry,
    sent_ms: u64,
    latency_ms: Option<u64>,
    outcome: ResponseOutcome,
}

impl<P> SentRequest<P> {
    /// Counts a request that is about to be sent. Fails if the request must not be sent to this upstream. Returns `None`
    /// in deployments without rollouts.
    pub(crate) fn count(
        node: &Rc<Node<P>>,
        route: &str,
        uncached_tokens: u32,
        kind: RunKind,
        entry: &UpstreamEntry,
    ) -> Result<Option<Self>, VersionWithheld> {
        let Some(rollouts) = &node.rollouts else { return Ok(None) };
        let now_ms = node.now_ms();
        let class = RequestClass::new(route, u64::from(uncached_tokens));
        if !rollouts.view.borrow_mut().record_sent(&entry.service, class, kind, entry, now_ms) {
            return Err(VersionWithheld);
        }
        Ok(Some(Self {
            node: node.clone(),
            class,
            entry: entry.clone(),
            sent_ms: now_ms,
            latency_ms: None,
            outcome: ResponseOutcome::NotJudged,
        }))
    }

    /// Records the time at which the response or its first event has arrived.
    pub(crate) fn set_responded_at(&mut self, at_ms: u64) {
        self.latency_ms = Some(at_ms.saturating_sub(self.sent_ms));
    }

    /// Sets the result that the request will have had.
    pub(crate) fn set_outcome(&mut self, outcome: ResponseOutcome) {
        self.outcome = outcome;
    }
}

/// The version of the upstream may not run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct VersionWithheld;

impl<P> Drop for SentRequest<P> {
    fn drop(&mut self) {
        let Some(rollouts) = &self.node.rollouts else { return };
        let now_ms = self.node.now_ms();
        let elapsed_ms = now_ms.saturating_sub(self.sent_ms);
        rollouts.view.borrow_mut().record_outcome(
            &self.entry.service,
            self.class,
            &self.entry,
            self.outcome,
            self.latency_ms,
            elapsed_ms,
            now_ms,
        );
        let (service, version) = (self.entry.service.as_str(), self.entry.version.as_str());
        let result = match self.outcome {
            ResponseOutcome::Succeeded => "succeeded",
            ResponseOutcome::Failed => "failed",
            ResponseOutcome::NotJudged => "not_judged",
        };
        self.node.metrics.record_version_request(service, version, result);
        if self.outcome == ResponseOutcome::Failed {
            rollouts.evidence_due.notify_one();
        }
    }
}

/// Starts the tasks of the rollouts, if the deployment has some.
pub(crate) fn start<P: Platform>(node: &Rc<Node<P>>, duty: SharedDuty) {
    let Some(rollouts) = &node.rollouts else { return };
    // This is the only call, so the cell is empty.
    let _ = rollouts.duty.set(duty);
    spawn_local(follow::follow_store(node.clone()));
    spawn_local(follow::inform_zone(node.clone()));
    spawn_local(evidence::send(node.clone()));
    spawn_local(control::run(node.clone()));
}

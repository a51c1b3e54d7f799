//! The controller of the rollouts, which the holder of the duty lease runs: writes plans and the status for operators.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use tokio::time::{sleep, timeout};

use lentilhitch_policy::rollout::{self, NodeRun, Plan, Stage, StageReport};
use lentilhitch_types::{LogPosition, ServiceName, SoftwareVersion};

use crate::{
    node::{Node, NodePhase},
    platform::{AppendResult, CallError, Platform, Record, RolloutState, Topic},
    rollouts::{Rollouts, follow::decode_plan},
};

/// Minimum interval between the steps of the controller, which evidence may trigger.
const STEP_INTERVAL_MIN: Duration = Duration::from_millis(20);
/// Time after the minimum interval for which the controller waits for news.
const NEWS_WAIT: Duration = Duration::from_millis(80);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time limit of a call to the store. A call without a response may still be executed, so the topic is read again.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the controller is told which nodes and upstreams there are.
const MEMBERS_INTERVAL_MS: u64 = 200;

/// What this node has read of the topics that it writes, since it holds the lease or since the last failed call.
#[derive(Debug, Default)]
struct Term {
    /// End of the plan topic, or `None` if it has to be read.
    plans_end: Option<LogPosition>,
    /// Status records, and the end of their topic.
    status: Option<StatusCopy>,
    members_ms: Option<u64>,
    /// Services of which the controller knows the plan, or that there is none.
    known: BTreeSet<ServiceName>,
}

#[derive(Debug)]
struct StatusCopy {
    shown: BTreeMap<ServiceName, (RolloutState, SoftwareVersion)>,
    end: LogPosition,
}

/// Runs the controller while this node holds the duty lease.
pub(super) async fn run<P: Platform>(node: Rc<Node<P>>) {
    let Some(rollouts) = &node.rollouts else { return };
    let mut term: Option<Term> = None;
    let mut restored = node.store_restored.subscribe();
    let mut logged: BTreeMap<ServiceName, (u64, Stage)> = BTreeMap::new();
    loop {
        sleep(STEP_INTERVAL_MIN).await;
        let _ = timeout(NEWS_WAIT, rollouts.control_due.notified()).await;
        let is_held = rollouts.holds_lease(node.now_ms());
        if is_held != term.is_some() {
            rollouts.controller.borrow_mut().on_lease(is_held, node.synced_ms());
            term = is_held.then(Term::default);
        }
        let Some(term) = &mut term else { continue };
        if restored.has_changed().unwrap_or(false) {
            restored.mark_unchanged();
            *term = Term::default();
        }
        if let Err(err) = step(&node, rollouts, term, &mut logged).await {
            log::info!(error:% = err; "failed to read or write the plans of rollouts; will be retried");
            sleep(RETRY_DELAY).await;
        }
    }
}

async fn step<P: Platform>(
    node: &Rc<Node<P>>,
    rollouts: &Rollouts,
    term: &mut Term,
    logged: &mut BTreeMap<ServiceName, (u64, Stage)>,
) -> Result<(), CallError> {
    let has_unknown =
        rollouts.controller.borrow().services().iter().any(|it| !term.known.contains(it));
    if term.plans_end.is_none() || has_unknown {
        term.plans_end = None;
        let (known, end) = read_plans(node, rollouts).await?;
        term.known = known;
        term.plans_end = Some(end);
    }
    let now_ms = node.now_ms();
    if term.members_ms.is_none_or(|it| it + MEMBERS_INTERVAL_MS <= now_ms) {
        term.members_ms = Some(now_ms);
        node.tell_members(rollouts);
    }
    let services = rollouts.controller.borrow().services();
    for service in &services {
        if !rollouts.holds_lease(node.now_ms()) {
            return Ok(());
        }
        let next = rollouts.controller.borrow_mut().next_write(service, node.synced_ms());
        if let Some(plan) = next {
            write_plan(node, rollouts, term, service, plan).await?;
        }
        let report = rollouts.controller.borrow().report(service);
        if let Some(report) = report {
            node.log_stage(rollouts, &report, logged);
        }
    }
    write_status(node, rollouts, term, &services).await
}

/// Reads the plans of all services. Returns the services and the end of the topic.
async fn read_plans<P: Platform>(
    node: &Rc<Node<P>>,
    rollouts: &Rollouts,
) -> Result<(BTreeSet<ServiceName>, LogPosition), CallError> {
    let listing = within(node.list(Topic::RolloutPlans)).await?;
    let mut plans: BTreeMap<ServiceName, Plan> = BTreeMap::new();
    for record in &listing.records {
        if let Some(plan) = decode_plan(record) {
            plans.insert(plan.order.service.clone(), plan);
        }
    }
    let mut services: BTreeSet<_> = rollouts.controller.borrow().services().into_iter().collect();
    services.extend(rollouts.copy.borrow().orders.keys().cloned());
    services.extend(plans.keys().cloned());
    for service in &services {
        let plan = plans.remove(service);
        if let Some(plan) = &plan {
            rollouts.view.borrow_mut().on_plan(plan.clone(), node.now_ms());
        }
        rollouts.controller.borrow_mut().on_plan(service, plan, listing.next);
    }
    node.apply_targets(rollouts, node.now_ms());
    Ok((services, listing.next))
}

/// Appends a plan if the topic still ends where it was read.
async fn write_plan<P: Platform>(
    node: &Rc<Node<P>>,
    rollouts: &Rollouts,
    term: &mut Term,
    service: &ServiceName,
    plan: Plan,
) -> Result<(), CallError> {
    let at = term.plans_end.take();
    let mut value = Vec::new();
    if let Err(err) = ciborium::into_writer(&plan, &mut value) {
        rollouts.controller.borrow_mut().on_write_failed(service);
        return Err(CallError::NotDone(err.to_string()));
    }
    let record =
        Record { key: service.to_string(), value: Some(Bytes::from(value)), ..Record::default() };
    match within(node.append(Topic::RolloutPlans, record, at)).await {
        Ok(AppendResult::Appended(position)) => {
            term.plans_end = Some(position.next());
            rollouts.view.borrow_mut().on_plan(plan.clone(), node.now_ms());
            node.apply_targets(rollouts, node.now_ms());
            rollouts.controller.borrow_mut().on_written(service, plan, node.synced_ms());
            Ok(())
        }
        Ok(AppendResult::Conflict { .. }) => {
            rollouts.controller.borrow_mut().on_write_failed(service);
            Ok(())
        }
        Err(err) => {
            rollouts.controller.borrow_mut().on_write_failed(service);
            Err(err)
        }
    }
}

/// Writes the status of each service whose record does not show it, and reads the records again after a write.
async fn write_status<P: Platform>(
    node: &Rc<Node<P>>,
    rollouts: &Rollouts,
    term: &mut Term,
    services: &[ServiceName],
) -> Result<(), CallError> {
    for service in services {
        let wanted = rollouts.controller.borrow().status(service);
        let Some((state, to)) = wanted else { continue };
        let state = match state {
            rollout::RolloutState::InProgress => RolloutState::InProgress,
            rollout::RolloutState::Completed => RolloutState::Completed,
            rollout::RolloutState::RolledBack => RolloutState::RolledBack,
        };
        let copy = match term.status.take() {
            Some(it) => it,
            None => read_status(node).await?,
        };
        if copy.shown.get(service) == Some(&(state, to.clone())) {
            term.status = Some(copy);
            continue;
        }
        if *node.phase.borrow() == NodePhase::Closing || !rollouts.holds_lease(node.now_ms()) {
            return Ok(());
        }
        let record = P::encode_rollout_status(service, state, &to);
        // Without the copy, the next step reads the records again and so confirms the write.
        let result = within(node.append(Topic::RolloutStatus, record, Some(copy.end))).await?;
        log::info!(service = service.as_str(), to = to.as_str(), state:? = state, result:? = result; "status of rollout written");
    }
    Ok(())
}

async fn read_status<P: Platform>(node: &Rc<Node<P>>) -> Result<StatusCopy, CallError> {
    let listing = within(node.list(Topic::RolloutStatus)).await?;
    let shown = listing.records.iter().filter_map(|it| {
        let service = P::rollout_service(it)?;
        Some((service, P::decode_rollout_status(it).ok()?))
    });
    Ok(StatusCopy { shown: shown.collect(), end: listing.next })
}

/// Limits the time of a call to the store.
async fn within<T>(call: impl Future<Output = Result<T, CallError>>) -> Result<T, CallError> {
    match timeout(CALL_TIMEOUT, call).await {
        Ok(res) => res,
        Err(_) => Err(CallError::Unknown("no response in time".to_owned())),
    }
}

impl<P: Platform> Node<P> {
    /// Tells the controller which nodes and upstreams there are, and the longest timeouts of the routes.
    fn tell_members(&self, rollouts: &Rollouts) {
        let synced_ms = self.synced_ms();
        let state = self.state.borrow();
        let mut controller = rollouts.controller.borrow_mut();
        let incarnations = rollouts.incarnations.borrow();
        let local = NodeRun { node: state.gossip.local_node(), incarnation: self.incarnation };
        let others = state.gossip.other_nodes().into_iter().filter_map(|node| {
            let listed = state.last_node_records.get(&node).map(|it| it.0);
            let incarnation = incarnations.get(&node).copied().or(listed)?;
            Some(NodeRun { node, incarnation })
        });
        let runs: Vec<_> = others.chain([local]).collect();
        controller.on_nodes(&runs, synced_ms);
        for service in controller.services() {
            let mut counts: BTreeMap<&str, (SoftwareVersion, u32)> = BTreeMap::new();
            for it in state.catalog.ready(&service) {
                let version = &it.entry.version;
                counts.entry(version.as_str()).or_insert_with(|| (version.clone(), 0)).1 += 1;
            }
            let counts: Vec<_> = counts.into_values().collect();
            controller.on_upstreams(&service, &counts, synced_ms);
            let table = state.route_table.as_ref();
            if let Some(it) = table.and_then(|it| it.config.timeout_max_ms(&service)) {
                controller.on_routes(&service, it);
            }
        }
    }

    /// Logs the evidence behind a stage once, and updates the metrics.
    fn log_stage(
        &self,
        rollouts: &Rollouts,
        report: &StageReport,
        logged: &mut BTreeMap<ServiceName, (u64, Stage)>,
    ) {
        let service = report.service.as_str();
        self.metrics.record_rollout(report);
        let copy = rollouts.view.borrow();
        let plan = copy.plans().into_iter().find(|it| it.order.service == report.service);
        let Some(plan) = plan else { return };
        let current = (plan.tag.0, report.stage);
        if logged.insert(report.service.clone(), current) == Some(current) {
            return;
        }
        log::info!(
            service,
            to = report.to.as_str(),
            stage:? = report.stage,
            verdict:? = plan.verdict,
            n_base = report.base.0, failed_base = report.base.1, slow_base = report.base.2,
            n_target = report.target.0, failed_target = report.target.1, slow_target = report.target.2,
            log10_e_failures = report.log10_e_failures, log10_e_slow = report.log10_e_slow,
            sent_target = report.sent_target, reserved = report.reserved, arrived = report.arrived;
            "stage of rollout"
        );
    }
}

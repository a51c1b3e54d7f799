//! Decisions of the holder of the duty lease on the orders of all services.

use rustc_hash::FxHashMap;

use lentilhitch_types::{LogPosition, ServiceName, SoftwareVersion, StoreEra};

use crate::{
    rollout::{
        Grant, NodeRun, Settings,
        budget::{self, Ledger},
        evidence::Evidence,
        judge::Judge,
        medians::Medians,
        order::{Order, OrderTag},
        plan::{OrderRelation, Plan, PlanEvent, Reason, RolloutState, Stage, Verdict},
        sequential::N_PARTS,
    },
    stream_origins::service_hash,
};

/// Time between two blocks of counts that are compared.
const LOOK_INTERVAL_MS: u64 = 100;
/// Minimum time between two parts of the tests' capital.
const RESTART_INTERVAL_MIN_MS: u64 = 500;
/// Minimum time between two reservations.
const RESERVE_INTERVAL_MS: u64 = 400;
/// Time after the start of the lease, or after a restore of the store, for which nothing is decided, so that nodes can
/// offer plan records that the store has lost. Longer than the interval at which any node sends evidence.
const SETTLE_MS: u64 = 1_500;
/// Time before the time limit at which a verdict must be written.
const VERDICT_MARGIN_MS: u64 = 1_000;
/// Factor and allowance by which requests at the base may last longer than any before.
const LEAD_FACTOR: f64 = 1.25;
const LEAD_MS: u64 = 1_500;
/// Time after the longest timeout from which on no request at the base can be running.
const SHIFT_MARGIN_MS: u64 = 500;
/// Longest timeout of a service's routes if nothing states one.
const TIMEOUT_DEFAULT_MS: u64 = 30_000;
/// Number of responses up to which a version is probed, and the part of the budget that may be used for them. With few
/// requests, probing ends after this part of the time.
const N_PROBED: u64 = 30;
const PROBE_FRACTION: f64 = 0.2;
/// Part of the budget that is kept for the end, unless the whole budget is below `BUDGET_LOW`. A lower budget is needed
/// as a whole to decide.
const KEPT_FRACTION: f64 = 0.25;
const BUDGET_LOW: f64 = 160.0;
/// Natural logarithm of the evidence for a version from which on it is accepted.
const LOG_FAVOR_MIN: f64 = std::f64::consts::LN_10;
/// Maximum share of the requests that go to the target before it is accepted.
const SHARE_MAX: f64 = 0.5;
/// Time for which a node's ceiling should last, as a multiple of the validity of a grant.
const QUOTA_VALIDITIES: f64 = 1.5;
/// Expected number of requests in that time from which on each node gets a ceiling. Below, the requests are granted to
/// some nodes one by one, and these use them for the next requests that arrive.
const QUOTA_MIN: f64 = 2.0;
/// Maximum number of medians in a grant.
const N_MEDIANS_MAX: usize = 16;
/// Time constant with which the arrival rate of a node is smoothed.
const RATE_SMOOTHING_MS: f64 = 2_000.0;

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

/// What a holder knows of one run of a node under an order.
#[derive(Clone, Debug)]
struct Reporter {
    last: Evidence,
    received_ms: u64,
    rate_per_ms: f64,
    /// When the last grant ends at the latest.
    granted_until_ms: u64,
}

/// What a holder has gathered under one order.
#[derive(Clone, Debug)]
struct Work {
    tag: OrderTag,
    /// When this holder began to gather, and thus to grant.
    began_ms: u64,
    ledger: Ledger,
    judge: Judge,
    reporters: FxHashMap<NodeRun, Reporter>,
    medians: Medians,
    /// Arrivals that the nodes have reported to this holder.
    sum_arrived: u64,
    /// Arrivals that are known, including those that earlier holders have written.
    arrived: u64,
    base_longest_ms: u64,
    rate_per_ms: f64,
    last_look_ms: u64,
    last_restart_ms: u64,
    last_reserve_ms: u64,
    condemned: Option<Reason>,
    n_upstreams: u32,
}

impl Work {
    fn new(plan: &Plan, now_ms: u64) -> Self {
        Self {
            tag: plan.tag,
            began_ms: now_ms,
            ledger: Ledger::new(plan.reserved),
            judge: Judge::default(),
            reporters: FxHashMap::default(),
            medians: Medians::default(),
            sum_arrived: 0,
            arrived: plan.arrived,
            base_longest_ms: 0,
            rate_per_ms: 0.0,
            last_look_ms: now_ms,
            last_restart_ms: now_ms,
            last_reserve_ms: 0,
            condemned: None,
            n_upstreams: 1,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    /// Record of the order in the store, and when this node first saw it.
    order: Option<(Order, u64)>,
    /// Last known plan record, which the store may have lost.
    plan: Option<Plan>,
    /// Sequence number of the plan record in the store, or 0 for none.
    stored_sequence: u64,
    /// Whether the plan topic was read since the start of the lease or the last append of which the result is unknown.
    is_read: bool,
    is_writing: bool,
    /// The last record that this node tried to append.
    attempted: Option<Plan>,
    upstreams: Vec<(SoftwareVersion, u32)>,
    timeout_max_ms: Option<u64>,
    work: Option<Work>,
}

impl ServiceState {
    fn n_ready(&self, version: &SoftwareVersion) -> u32 {
        self.upstreams.iter().find(|it| it.0 == *version).map_or(0, |it| it.1)
    }

    /// Returns whether the target is the only version that may serve.
    fn is_sole(&self, plan: &Plan) -> bool {
        let mut others = self.upstreams.iter().filter(|it| 0 < it.1 && it.0 != plan.order.to);
        others.all(|it| plan.rejected.contains(&it.0))
    }

    fn timeout_max_ms(&self) -> u64 {
        self.timeout_max_ms.unwrap_or(TIMEOUT_DEFAULT_MS)
    }

    /// Returns the plan record if it is the one in the store and has no verdict.
    fn stored_plan(&self) -> Option<&Plan> {
        self.plan.as_ref().filter(|it| it.sequence == self.stored_sequence && it.verdict.is_none())
    }

    /// Adopts what another copy of the plan record says.
    fn merge(&mut self, plan: Plan) {
        match &self.plan {
            None => self.plan = Some(plan),
            Some(known) => {
                if let Some(merged) = known.merged(&plan) {
                    self.plan = Some(merged);
                }
            }
        }
        let Some(plan) = &self.plan else { return };
        if self.work.as_ref().is_some_and(|it| it.tag != plan.tag) {
            self.work = None;
        }
    }

    /// Returns how long before the time limit the target must get all requests.
    fn lead_ms(&self) -> u64 {
        let longest_ms = self.work.as_ref().map_or(0, |it| it.base_longest_ms);
        let expected_ms = (longest_ms as f64 * LEAD_FACTOR) as u64;
        expected_ms.min(self.timeout_max_ms()) + LEAD_MS
    }

    /// Returns the number of requests that may go to the target until the version is accepted, if requests go on
    /// arriving as they did.
    fn budget_expected(&self, settings: &Settings, plan: &Plan, work: &Work, now_ms: u64) -> f64 {
        let left_ms = self.loading_left_ms(plan, now_ms);
        let arriving = work.rate_per_ms * left_ms as f64;
        let total = budget::bound(settings, work.arrived + arriving as u64) as f64;
        if total < BUDGET_LOW { total } else { total * (1.0 - KEPT_FRACTION) }
    }

    fn loading_left_ms(&self, plan: &Plan, now_ms: u64) -> u64 {
        plan.time_limit_ms().saturating_sub(self.lead_ms()).saturating_sub(now_ms)
    }

    /// Returns the number of requests to the target that are probed with.
    fn probe_limit(&self, settings: &Settings, plan: &Plan, work: &Work, now_ms: u64) -> u64 {
        let limit = self.budget_expected(settings, plan, work, now_ms) * PROBE_FRACTION;
        (limit as u64).max(1)
    }

    /// Returns the share of the requests that should go to the target now, before it is accepted.
    fn share(&self, settings: &Settings, plan: &Plan, work: &Work, now_ms: u64) -> f64 {
        let mut total = self.budget_expected(settings, plan, work, now_ms);
        if plan.stage == Stage::Probing {
            total = total.min(self.probe_limit(settings, plan, work, now_ms) as f64);
        }
        let left = total - work.ledger.sent() as f64;
        let arriving = work.rate_per_ms * self.loading_left_ms(plan, now_ms).max(1_000) as f64;
        if left <= 0.0 || arriving <= 0.0 {
            return 0.0;
        }
        // The first responses are wanted soon.
        let haste = if plan.stage == Stage::Probing { 5.0 } else { 1.0 };
        (left / arriving * haste).min(SHARE_MAX)
    }

    /// Returns whether no request can be running at the base any more.
    fn is_base_empty(&self, settings: &Settings, nodes: &[NodeRun], now_ms: u64) -> bool {
        let (Some(plan), Some(work)) = (&self.plan, &self.work) else { return false };
        let Some(shift_ms) = plan.shift_ms else { return false };
        let timeout_ms = self.timeout_max_ms();
        // Between two holders, nodes without a grant use the base again.
        if shift_ms.max(work.began_ms) + timeout_ms + SHIFT_MARGIN_MS <= now_ms {
            return true;
        }
        let is_empty = |reporter: &Reporter| {
            let Reporter { last, received_ms, granted_until_ms, .. } = reporter;
            let is_current = now_ms <= received_ms + settings.grant_validity_ms();
            let is_done = last.stage == Stage::Shifting && last.base_open == 0;
            is_current && is_done && shift_ms <= *received_ms
                || !is_current && granted_until_ms + timeout_ms <= now_ms
        };
        !work.reporters.is_empty()
            && work.reporters.values().all(is_empty)
            && nodes.iter().all(|it| work.reporters.contains_key(it))
    }

    /// Returns the event that is due, if there is one.
    fn due_event(
        &self,
        settings: &Settings,
        orders_era: Option<StoreEra>,
        nodes: &[NodeRun],
        now_ms: u64,
    ) -> Option<PlanEvent> {
        if let Some((order, seen_ms)) = &self.order {
            let relation = self.plan.as_ref().map_or(OrderRelation::New, |it| it.relation(order));
            match relation {
                // Without a list of upstreams, the versions in use are not known.
                OrderRelation::New if self.upstreams.is_empty() => return None,
                OrderRelation::New => {
                    let versions = self.upstreams.iter().filter(|it| 0 < it.1);
                    let base = versions.map(|it| it.0.clone()).collect();
                    return Some(PlanEvent::Begin { order: order.clone(), base, now_ms: *seen_ms });
                }
                OrderRelation::Rewritten => return Some(PlanEvent::Rewritten(order.clone())),
                OrderRelation::Known => {}
            }
        }
        let plan = self.plan.as_ref().filter(|it| it.verdict.is_none())?;
        let decide =
            |is_completed, reason| Some(PlanEvent::Decide(Verdict { is_completed, reason }));
        if self.order.is_none() && orders_era == Some(plan.order.position.era()) {
            return decide(false, Reason::Withdrawn);
        }
        let n_ready = self.n_ready(&plan.order.to);
        let is_serving = plan.in_force.as_ref() == Some(&plan.order.to)
            || plan.base.is_empty() && 0 < n_ready && self.is_sole(plan);
        if is_serving && plan.stage == Stage::Waiting {
            return decide(true, Reason::AlreadyServing);
        }
        if let Some(reason) = self.work.as_ref().and_then(|it| it.condemned) {
            return decide(false, reason);
        }
        let verdict_due_ms = plan.time_limit_ms().saturating_sub(VERDICT_MARGIN_MS);
        if plan.stage < Stage::Shifting && verdict_due_ms <= now_ms {
            let is_absent = plan.stage == Stage::Waiting;
            return decide(false, if is_absent { Reason::NoUpstream } else { Reason::TimeLimit });
        }
        if plan.stage == Stage::Waiting {
            let advance = PlanEvent::Advance { stage: Stage::Probing, now_ms };
            return (0 < n_ready).then_some(advance);
        }
        let work = self.work.as_ref()?;
        if plan.stage == Stage::Shifting {
            let is_empty = self.is_base_empty(settings, nodes, now_ms);
            return is_empty.then_some(()).and_then(|()| decide(true, Reason::Accepted));
        }
        if self.loading_left_ms(plan, now_ms) == 0 {
            if work.judge.log_favor(work.n_upstreams as usize) < LOG_FAVOR_MIN {
                return decide(false, Reason::TooLittleEvidence);
            }
            return Some(PlanEvent::Advance { stage: Stage::Shifting, now_ms });
        }
        let n_probed = N_PROBED.min(self.probe_limit(settings, plan, work, now_ms));
        let n_responses = work.judge.totals().1.responses;
        let probe_ms = (plan.order.duration_ms as f64 * PROBE_FRACTION) as u64;
        let is_slow_traffic = plan.start_ms + probe_ms <= now_ms && 0 < n_responses;
        if plan.stage == Stage::Probing && (n_probed <= n_responses || is_slow_traffic) {
            return Some(PlanEvent::Advance { stage: Stage::Loading, now_ms });
        }
        self.due_reservation(settings, plan, work, now_ms)
    }

    /// Returns the reservation of what will be granted until the next one, if it is due.
    fn due_reservation(
        &self,
        settings: &Settings,
        plan: &Plan,
        work: &Work,
        now_ms: u64,
    ) -> Option<PlanEvent> {
        if now_ms < work.last_reserve_ms + RESERVE_INTERVAL_MS || work.rate_per_ms == 0.0 {
            return None;
        }
        let used = work.ledger.used();
        let share = self.share(settings, plan, work, now_ms);
        let horizon_ms = settings.grant_validity_ms() as f64 * QUOTA_VALIDITIES;
        let per_horizon = (share * work.rate_per_ms * horizon_ms).ceil();
        let n_sparse = (share * work.reporters.len() as f64).ceil();
        let wanted = used + (per_horizon + n_sparse).max(2.0) as u64;
        let reserved = wanted.min(budget::bound(settings, work.arrived));
        let is_due = plan.reserved < reserved
            && plan.reserved.saturating_sub(used) * 2 <= (reserved - used.min(reserved));
        is_due.then_some(PlanEvent::Reserve { reserved, arrived: work.arrived })
    }
}

/// Decides on the rollouts. Every node feeds it with orders, plans and upstreams, so that the next holder knows since
/// when there is an order. Only the holder of the duty lease asks for writes and grants. `now_ms` is synchronized
/// wall-clock time.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: Settings,
    is_holder: bool,
    /// End of the time in which nothing is decided. `None` if that time has still to begin.
    settled_ms: Option<u64>,
    /// Era of the orders and of the plans.
    era: StoreEra,
    /// Era of the last read of the orders.
    orders_era: Option<StoreEra>,
    nodes: Vec<NodeRun>,
    services: FxHashMap<ServiceName, ServiceState>,
}

impl Controller {
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            is_holder: false,
            settled_ms: None,
            era: StoreEra::default(),
            orders_era: None,
            nodes: Vec::new(),
            services: FxHashMap::default(),
        }
    }

    /// Handles the start or the end of the duty lease of this node. Counts of nodes and grants start anew.
    pub fn on_lease(&mut self, is_held: bool, now_ms: u64) {
        if self.is_holder == is_held {
            return;
        }
        self.is_holder = is_held;
        self.settled_ms = Some(now_ms + SETTLE_MS);
        for it in self.services.values_mut() {
            it.is_read = false;
            it.is_writing = false;
            it.work = None;
        }
    }

    /// Handles the orders in the store, as of the end of a read of their topic.
    pub fn on_orders(&mut self, orders: &[Order], as_of: LogPosition, now_ms: u64) {
        if as_of.era() < self.era {
            return;
        }
        self.start_era(as_of.era());
        self.orders_era = Some(as_of.era());
        for (service, state) in &mut self.services {
            if !orders.iter().any(|it| it.service == *service) {
                state.order = None;
            }
        }
        for order in orders {
            let state = self.services.entry(order.service.clone()).or_default();
            match &mut state.order {
                Some((known, _))
                    if known.position == order.position
                        || known.is_equal_request(order)
                            && known.position.era() < order.position.era() =>
                {
                    *known = order.clone();
                }
                it => *it = Some((order.clone(), now_ms)),
            }
        }
    }

    fn start_era(&mut self, era: StoreEra) {
        if self.era < era {
            self.era = era;
            self.settled_ms = None;
            for it in self.services.values_mut() {
                it.is_read = false;
            }
        }
    }

    /// Handles a read of the plan topic, which had the given end, with the last record of the service if there is one.
    pub fn on_plan(&mut self, service: &ServiceName, plan: Option<Plan>, end: LogPosition) {
        if end.era() < self.era {
            return;
        }
        self.start_era(end.era());
        let state = self.services.entry(service.clone()).or_default();
        let is_foreign = ![&state.plan, &state.attempted].contains(&&plan);
        state.stored_sequence = plan.as_ref().map_or(0, |it| it.sequence);
        state.is_read = true;
        state.is_writing = false;
        let Some(plan) = plan else { return };
        let stored = plan.clone();
        state.merge(plan);
        if state.plan.as_ref().is_some_and(|it| *it != stored && it.sequence <= stored.sequence) {
            // The store holds another record under the same number.
            if let Some(it) = &mut state.plan {
                it.sequence = stored.sequence + 1;
            }
        }
        if let (true, Some(work), Some(plan)) = (is_foreign, &mut state.work, &state.plan) {
            work.ledger.raise_earlier(plan.reserved);
        }
    }

    /// Handles a record that another node knows and that may have been lost by the store.
    pub fn on_offered_plan(&mut self, plan: Plan) {
        let state = self.services.entry(plan.order.service.clone()).or_default();
        state.merge(plan);
        if let (Some(work), Some(plan)) = (&mut state.work, &state.plan)
            && state.stored_sequence < plan.sequence
            && state.attempted.as_ref() != Some(plan)
        {
            work.ledger.raise_earlier(plan.reserved);
        }
    }

    /// Handles the runs of nodes that membership considers alive, this node included.
    pub fn on_nodes(&mut self, nodes: &[NodeRun], now_ms: u64) {
        let _ = now_ms;
        self.nodes = nodes.to_vec();
    }

    /// Handles the counts of a node, including those of this node.
    pub fn on_evidence(&mut self, evidence: &Evidence, now_ms: u64) {
        if !self.is_holder {
            return;
        }
        let valid_ms = self.settings.grant_validity_ms();
        let Some(state) = self.services.get_mut(&evidence.service) else { return };
        let Some(plan) = state.plan.as_ref().filter(|it| it.tag == evidence.tag) else { return };
        if plan.verdict.is_some() || !state.is_read {
            return;
        }
        let (is_shifting, duration_ms) = (plan.stage == Stage::Shifting, plan.order.duration_ms);
        let n_upstreams = state.n_ready(&plan.order.to);
        let work = state.work.get_or_insert_with(|| Work::new(plan, now_ms));
        work.on_evidence(evidence, valid_ms, now_ms);
        if is_shifting {
            work.n_upstreams = n_upstreams;
        }
        let restart_ms = (duration_ms / u64::from(N_PARTS)).max(RESTART_INTERVAL_MIN_MS);
        if work.last_restart_ms + restart_ms <= now_ms {
            work.last_restart_ms = now_ms;
            work.judge.restart();
        }
        if work.last_look_ms + LOOK_INTERVAL_MS <= now_ms {
            work.last_look_ms = now_ms;
            work.judge.look(is_shifting);
            if work.condemned.is_none() {
                work.condemned = work.judge.condemns(work.n_upstreams as usize);
            }
        }
    }

    /// Handles the number of ready upstreams of each version of a service.
    pub fn on_upstreams(
        &mut self,
        service: &ServiceName,
        counts: &[(SoftwareVersion, u32)],
        now_ms: u64,
    ) {
        let _ = now_ms;
        self.services.entry(service.clone()).or_default().upstreams = counts.to_vec();
    }

    /// Handles the longest timeout of the routes of a service.
    pub fn on_routes(&mut self, service: &ServiceName, timeout_max_ms: u64) {
        self.services.entry(service.clone()).or_default().timeout_max_ms = Some(timeout_max_ms);
    }

    /// Returns the services that have an order or a plan record.
    pub fn services(&self) -> Vec<ServiceName> {
        let known = self.services.iter().filter(|it| it.1.order.is_some() || it.1.plan.is_some());
        known.map(|it| it.0.clone()).collect()
    }

    /// Returns the next plan record to append on condition that the topic ends where it was read, if one is due. Until
    /// the result is reported, no other record is returned.
    pub fn next_write(&mut self, service: &ServiceName, now_ms: u64) -> Option<Plan> {
        let settled_ms = *self.settled_ms.get_or_insert(now_ms + SETTLE_MS);
        let state = self.services.get_mut(service)?;
        if !self.is_holder || !state.is_read || state.is_writing {
            return None;
        }
        let plan = state.plan.as_ref();
        let next = match plan.filter(|it| state.stored_sequence < it.sequence) {
            Some(lost) => Some(lost.clone()),
            None if now_ms < settled_ms => None,
            None => {
                let event =
                    state.due_event(&self.settings, self.orders_era, &self.nodes, now_ms)?;
                if matches!(event, PlanEvent::Reserve { .. })
                    && let Some(work) = &mut state.work
                {
                    work.last_reserve_ms = now_ms;
                }
                Plan::after(plan, event)
            }
        };
        state.is_writing = next.is_some();
        state.attempted.clone_from(&next);
        next
    }

    /// Handles an append that succeeded.
    pub fn on_written(&mut self, service: &ServiceName, plan: Plan, now_ms: u64) {
        let Some(state) = self.services.get_mut(service) else { return };
        state.is_writing = false;
        state.stored_sequence = plan.sequence;
        if state.work.as_ref().is_some_and(|it| it.tag != plan.tag) {
            state.work = None;
        }
        if plan.verdict.is_none() && self.is_holder {
            // What this holder has reserved itself under the order is in its ledger.
            state.work.get_or_insert_with(|| Work::new(&plan, now_ms));
        }
        // A record that was offered during the append is kept.
        let offered = state.plan.take();
        state.plan = Some(plan);
        if let Some(offered) = offered {
            state.merge(offered);
        }
    }

    /// Handles an append without success or without a response. The topic must be read before the next append.
    pub fn on_write_failed(&mut self, service: &ServiceName) {
        if let Some(state) = self.services.get_mut(service) {
            state.is_writing = false;
            state.is_read = false;
        }
    }

    /// Returns the state that the status record of a service must show.
    pub fn status(&self, service: &ServiceName) -> Option<(RolloutState, SoftwareVersion)> {
        let state = self.services.get(service)?;
        let plan = state.plan.as_ref().filter(|it| it.sequence == state.stored_sequence)?;
        Some((plan.state(), plan.order.to.clone()))
    }

    /// Returns the grant that answers the last evidence of a node, or `None` if the node may not use the target.
    pub fn grant(&mut self, to: NodeRun, service: &ServiceName, now_ms: u64) -> Option<Grant> {
        let is_settled = self.settled_ms.is_some_and(|it| it <= now_ms);
        if !self.is_holder || !is_settled {
            return None;
        }
        let settings = &self.settings;
        let state = self.services.get_mut(service)?;
        let plan = state.stored_plan().filter(|it| Stage::Probing <= it.stage)?.clone();
        let work = state.work.as_ref()?;
        let n_ready = state.n_ready(&plan.order.to);
        let is_replaced = match &state.order {
            Some((order, _)) => plan.relation(order) == OrderRelation::New,
            None => self.orders_era == Some(plan.order.position.era()),
        };
        let is_stopped = is_replaced || n_ready == 0 || work.condemned.is_some();
        let is_shifting = plan.stage == Stage::Shifting;
        let share = match is_shifting {
            _ if is_stopped => 0.0,
            true => 1.0,
            false => state.share(settings, &plan, work, now_ms),
        };
        let probe_limit = state.probe_limit(settings, &plan, work, now_ms);
        let work = state.work.as_mut()?;
        let reserved = if plan.stage == Stage::Probing {
            plan.reserved.min(work.ledger.earlier() + probe_limit)
        } else {
            plan.reserved
        };
        let reporter = work.reporters.get_mut(&to)?;
        let answers_ms = reporter.last.sent_ms;
        let valid_ms = settings.grant_validity_ms();
        reporter.granted_until_ms = now_ms + valid_ms;
        let mut grant = Grant {
            service: service_hash(service),
            tag: plan.tag,
            to,
            answers_ms,
            stage: plan.stage,
            ceiling: u64::MAX,
            share: 1.0,
            n_upstreams: n_ready,
            valid_ms,
            medians: work.medians.all(N_MEDIANS_MAX),
        };
        if is_stopped {
            grant.ceiling = reporter.last.sent_target;
            grant.share = 0.0;
        } else if !is_shifting {
            let rate_per_ms = reporter.rate_per_ms;
            let (quota, node_share) = work.quota(to, rate_per_ms, share, valid_ms);
            grant.ceiling = work.ledger.grant(to, quota, answers_ms, reserved);
            grant.share = node_share as f32;
            work.n_upstreams = ((share * f64::from(n_ready)).ceil() as u32).clamp(1, n_ready);
            grant.n_upstreams = work.n_upstreams;
        }
        Some(grant)
    }

    /// Returns the evidence behind the current stage of a service.
    pub fn report(&self, service: &ServiceName) -> Option<StageReport> {
        let state = self.services.get(service)?;
        let (plan, work) = (state.plan.as_ref()?, state.work.as_ref()?);
        let (base, target) = work.judge.totals();
        let (log10_e_failures, log10_e_slow) = work.judge.log10_e();
        Some(StageReport {
            service: service.clone(),
            to: plan.order.to.clone(),
            stage: plan.stage,
            base: (base.responses, base.failures, base.slow),
            target: (target.responses, target.failures, target.slow),
            log10_e_failures,
            log10_e_slow,
            sent_target: work.ledger.sent(),
            reserved: plan.reserved,
            arrived: work.arrived,
        })
    }
}

impl Work {
    fn on_evidence(&mut self, evidence: &Evidence, valid_ms: u64, now_ms: u64) {
        let previous = self.reporters.get(&evidence.from);
        if previous.is_some_and(|it| evidence.sent_ms <= it.last.sent_ms) {
            return;
        }
        let (old_routes, old_arrived, old_rate) = match previous {
            Some(it) => (it.last.routes.as_slice(), it.last.arrived, it.rate_per_ms),
            None => (&[][..], 0, 0.0),
        };
        self.judge.on_counts(old_routes, &evidence.routes);
        let rate_per_ms = previous.map_or(0.0, |it| {
            let elapsed_ms = (evidence.sent_ms - it.last.sent_ms).max(1) as f64;
            let new = evidence.arrived.saturating_sub(old_arrived) as f64 / elapsed_ms;
            let weight = 1.0 - (-elapsed_ms / RATE_SMOOTHING_MS).exp();
            old_rate + (new - old_rate) * weight
        });
        let granted_until_ms = previous.map_or(now_ms, |it| it.granted_until_ms);
        self.rate_per_ms = (self.rate_per_ms + rate_per_ms - old_rate).max(0.0);
        self.base_longest_ms = self.base_longest_ms.max(evidence.base_longest_ms);
        self.ledger.on_report(evidence.from, evidence.sent_target, evidence.sent_ms, valid_ms);
        self.medians.add(&evidence.samples);
        let reporter =
            Reporter { last: evidence.clone(), received_ms: now_ms, rate_per_ms, granted_until_ms };
        self.reporters.insert(evidence.from, reporter);
        self.sum_arrived += evidence.arrived.saturating_sub(old_arrived);
        self.arrived = self.arrived.max(self.sum_arrived);
    }

    /// Returns how many requests beyond those reported a node should be granted, and which share of its requests it
    /// should send to the target.
    fn quota(&self, to: NodeRun, rate_per_ms: f64, share: f64, valid_ms: u64) -> (u64, f64) {
        if share <= 0.0 {
            return (0, 0.0);
        }
        let expected = rate_per_ms * share * valid_ms as f64 * QUOTA_VALIDITIES;
        if QUOTA_MIN <= expected {
            return (expected.ceil() as u64, share);
        }
        let n_nodes = self.reporters.len();
        let mean_per_ms = self.rate_per_ms / n_nodes.max(1) as f64;
        let n_wanted = (share * n_nodes as f64).ceil() as usize;
        let is_chosen = self.ledger.is_outstanding(to)
            || 0.0 < rate_per_ms
                && mean_per_ms / 3.0 <= rate_per_ms
                && self.ledger.n_outstanding() < n_wanted;
        (u64::from(is_chosen), 1.0)
    }
}

//! One node's view of the rollouts: which versions may run a request, and the counts for the holder.

use rand::{Rng, RngExt};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use lentilhitch_types::{LogPosition, ServiceName, SoftwareVersion};

use crate::{
    rollout::{
        Grant, NodeRun, Settings,
        evidence::{Counts, Evidence, LatencySample, N_GROUPS, RouteCounts},
        medians::Medians,
        order::{Order, OrderTag},
        plan::{OrderRelation, Plan, Stage},
    },
    stream_origins::service_hash,
    traffic::UpstreamEntry,
};

/// Number of routes that a node counts by themselves, so that the evidence fits into a datagram. The others are summed.
const N_ROUTES_MAX: usize = 5;
/// Multiple of the base's median latency from which on a response is slow.
const SLOW_FACTOR: f64 = 2.5;
/// Time for which a new version is withheld at most while the orders are not confirmed.
const WITHHELD_MAX_MS: u64 = 10_000;
/// Minimum time between two sendings of evidence after bad responses of the target.
const URGENT_INTERVAL_MS: u64 = 100;
/// Number of latencies of the base that the evidence contains at most.
const N_SAMPLES_MAX: usize = 8;

/// Versions for which a request is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Side {
    Base,
    Target,
}

/// Whether a request begins at an upstream or goes on there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunKind {
    New,
    /// A stream that an upstream of the same version has begun.
    Continued,
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
        let hash = xxh3_64(route.as_bytes()) as u32;
        let size_class = (u64::BITS - uncached_tokens.leading_zeros()) as u8;
        Self { route: hash.max(1), size_class }
    }
}

/// Permission to use the target, and until when it is valid.
#[derive(Clone, Debug)]
struct Permission {
    grant: Grant,
    valid_until_ms: u64,
}

/// Counts under one order.
#[derive(Clone, Debug)]
struct Counting {
    tag: OrderTag,
    since_ms: u64,
    arrived: u64,
    sent_target: u64,
    base_longest_ms: u64,
    routes: Vec<RouteCounts>,
    samples: Vec<LatencySample>,
    permission: Option<Permission>,
    last_sent_ms: Option<u64>,
    /// Whether the target has answered badly since the last evidence.
    is_urgent: bool,
}

impl Counting {
    fn new(tag: OrderTag, now_ms: u64) -> Self {
        Self {
            tag,
            since_ms: now_ms,
            arrived: 0,
            sent_target: 0,
            base_longest_ms: 0,
            routes: Vec::new(),
            samples: Vec::new(),
            permission: None,
            last_sent_ms: None,
            is_urgent: false,
        }
    }

    fn valid_grant(&self, now_ms: u64) -> Option<&Grant> {
        let permission = self.permission.as_ref().filter(|it| now_ms < it.valid_until_ms)?;
        Some(&permission.grant)
    }

    /// Returns whether one more request may be sent to the target.
    fn has_capacity(&self, now_ms: u64) -> bool {
        let grant = self.valid_grant(now_ms);
        grant.is_some_and(|it| 0.0 < it.share && self.sent_target < it.ceiling)
    }

    fn is_shifting(&self, now_ms: u64) -> bool {
        self.has_capacity(now_ms)
            && self.valid_grant(now_ms).is_some_and(|it| it.stage == Stage::Shifting)
    }

    /// Returns the counts of a route and of a group of the target, or of the base.
    fn counts(&mut self, route: u32, group: Option<u8>) -> &mut Counts {
        let idx = match self.routes.iter().position(|it| it.route == route) {
            Some(idx) => idx,
            // The last place is for the sum of the other routes.
            None if self.routes.len() + 1 < N_ROUTES_MAX => {
                self.routes.push(RouteCounts { route, ..RouteCounts::default() });
                self.routes.len() - 1
            }
            None => self.routes.iter().position(|it| it.route == 0).unwrap_or_else(|| {
                self.routes.push(RouteCounts::default());
                self.routes.len() - 1
            }),
        };
        let counts = &mut self.routes[idx];
        let Some(group) = group else { return &mut counts.base };
        let idx = counts.target.iter().position(|it| it.0 == group).unwrap_or_else(|| {
            counts.target.push((group, Counts::default()));
            counts.target.len() - 1
        });
        &mut counts.target[idx].1
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceView {
    order: Option<Order>,
    plan: Option<Plan>,
    stored_sequence: Option<u64>,
    /// Number of ready upstreams of each version.
    n_ready: FxHashMap<SoftwareVersion, u32>,
    /// Hashes of the target's upstreams, in the order in which they are used.
    targets: Vec<u64>,
    /// Versions that are withheld, and when each was first seen.
    withheld: FxHashMap<SoftwareVersion, u64>,
    seen: FxHashSet<SoftwareVersion>,
    /// Requests in flight by version.
    n_open: FxHashMap<SoftwareVersion, u64>,
    medians: Medians,
    counting: Option<Counting>,
}

impl ServiceView {
    fn plan_in_progress(&self) -> Option<&Plan> {
        self.plan.as_ref().filter(|it| it.verdict.is_none())
    }

    fn is_ready(&self, version: &SoftwareVersion) -> bool {
        self.n_ready.get(version).is_some_and(|it| 0 < *it)
    }

    /// Returns whether the orders and plans let a version run requests that are drawn for the base.
    fn is_in_use(&self, version: &SoftwareVersion) -> bool {
        let is_ordered = self.order.as_ref().is_some_and(|order| {
            let is_new =
                self.plan.as_ref().is_none_or(|it| it.relation(order) == OrderRelation::New);
            let in_force = self.plan.as_ref().and_then(|it| it.in_force.as_ref());
            is_new && order.to == *version && in_force != Some(version)
        });
        if is_ordered {
            // The order may be for the only version that serves.
            let mut others = self.n_ready.iter().filter(|it| it.0 != version && 0 < *it.1);
            return others.all(|it| !self.is_planned(it.0)) && self.is_planned(version);
        }
        self.is_planned(version)
    }

    /// Returns whether the plan lets a version run requests that are drawn for the base.
    fn is_planned(&self, version: &SoftwareVersion) -> bool {
        let Some(plan) = &self.plan else { return true };
        if plan.rejected.contains(version) {
            return false;
        }
        match plan.verdict {
            None => {
                plan.base.contains(version)
                    || plan.stage == Stage::Waiting
                        && plan.base.is_empty()
                        && plan.order.to == *version
            }
            Some(it) if it.is_completed => !plan.base.contains(version),
            Some(_) => plan.order.to != *version,
        }
    }

    fn is_withheld(&self, version: &SoftwareVersion, now_ms: u64) -> bool {
        let is_held = |it: &SoftwareVersion| {
            let seen_ms = self.withheld.get(it);
            seen_ms.is_some_and(|it| now_ms < it + WITHHELD_MAX_MS)
        };
        is_held(version) && self.n_ready.iter().any(|it| 0 < *it.1 && !is_held(it.0))
    }

    fn may_use_target(&self, upstream: &UpstreamEntry, now_ms: u64) -> bool {
        let Some(counting) = self.counting.as_ref().filter(|it| it.has_capacity(now_ms)) else {
            return false;
        };
        if counting.is_shifting(now_ms) {
            return true;
        }
        let n_used = counting.valid_grant(now_ms).map_or(0, |it| it.n_upstreams as usize);
        let hash = upstream_hash(upstream, counting.tag);
        self.targets.iter().take(n_used).any(|it| *it == hash)
    }

    /// Returns the threshold in milliseconds above which a response is slow, if it is known.
    fn slow_ms(&self, class: RequestClass) -> Option<f64> {
        let granted = || {
            let grant = &self.counting.as_ref()?.permission.as_ref()?.grant;
            let mut medians = grant.medians.iter();
            medians
                .find(|it| (it.route, it.size_class) == (class.route, class.size_class))
                .map(|it| it.latency_ms)
        };
        let median = self.medians.get(class.route, class.size_class).or_else(granted)?;
        Some(f64::from(median) * SLOW_FACTOR)
    }
}

fn upstream_hash(upstream: &UpstreamEntry, tag: OrderTag) -> u64 {
    xxh3_64_with_seed(upstream.id.as_str().as_bytes(), tag.0)
}

fn group(upstream: &UpstreamEntry) -> u8 {
    (xxh3_64_with_seed(upstream.id.as_str().as_bytes(), 0) % N_GROUPS as u64) as u8
}

/// One node's view of the rollouts of all services. `now_ms` is the node's monotonic time.
#[derive(Clone, Debug)]
pub struct NodeView {
    settings: Settings,
    local: NodeRun,
    /// Whether this node knows the orders and plans of the store.
    is_synced: bool,
    has_upstreams: bool,
    services: FxHashMap<ServiceName, ServiceView>,
}

impl NodeView {
    /// Creates the view of a node. `is_first_start` means that the deployment starts, so that there are no orders yet
    /// that this node would have to learn of first.
    pub fn new(settings: Settings, local: NodeRun, is_first_start: bool, now_ms: u64) -> Self {
        let _ = now_ms;
        Self {
            settings,
            local,
            is_synced: is_first_start,
            has_upstreams: false,
            services: FxHashMap::default(),
        }
    }

    /// Handles the orders in the store, as of the end of a read of their topic.
    pub fn on_orders(&mut self, orders: &[Order], as_of: LogPosition) {
        for it in self.services.values_mut() {
            it.order = None;
        }
        for order in orders.iter().filter(|it| it.position.era() <= as_of.era()) {
            let view = self.services.entry(order.service.clone()).or_default();
            view.order = Some(order.clone());
        }
    }

    /// Handles the last plan record of a service in the store, or that of a peer. A record with a lower sequence number
    /// than a known one changes nothing.
    pub fn on_plan(&mut self, plan: Plan, now_ms: u64) {
        let view = self.services.entry(plan.order.service.clone()).or_default();
        let is_reversal = view.plan.as_ref().is_some_and(|it| {
            it.tag == plan.tag && it.verdict.is_some() && it.verdict != plan.verdict
        });
        if is_reversal || view.plan.as_ref().is_some_and(|it| plan.sequence <= it.sequence) {
            return;
        }
        if plan.verdict.is_some() {
            view.counting = None;
        } else if view.counting.as_ref().is_none_or(|it| it.tag != plan.tag) {
            view.counting = Some(Counting::new(plan.tag, now_ms));
        }
        view.plan = Some(plan);
    }

    /// Handles the sequence number of the last plan record of a service in the store (0 for none).
    pub fn on_store_sequence(&mut self, service: &ServiceName, sequence: u64) {
        self.services.entry(service.clone()).or_default().stored_sequence = Some(sequence);
    }

    /// Returns the known plan records that the store has lost, to offer them to the holder.
    pub fn offered_plans(&self) -> Vec<&Plan> {
        let lost = self.services.values().filter_map(|view| {
            let (plan, stored) = (view.plan.as_ref()?, view.stored_sequence?);
            (stored < plan.sequence).then_some(plan)
        });
        lost.collect()
    }

    /// Returns all known plan records, for a node that has just started.
    pub fn plans(&self) -> Vec<&Plan> {
        self.services.values().filter_map(|it| it.plan.as_ref()).collect()
    }

    /// Handles a grant that answers the evidence sent at `sent_ms`.
    pub fn on_grant(&mut self, grant: Grant, sent_ms: u64, now_ms: u64) {
        if grant.to != self.local || grant.answers_ms != sent_ms || now_ms < sent_ms {
            return;
        }
        let mut views = self.services.iter_mut();
        let Some((_, view)) = views.find(|it| service_hash(it.0) == grant.service) else { return };
        let Some(counting) = view.counting.as_mut().filter(|it| it.tag == grant.tag) else {
            return;
        };
        let is_old =
            counting.permission.as_ref().is_some_and(|it| grant.answers_ms < it.grant.answers_ms);
        if !is_old {
            let valid_ms = grant.valid_ms.min(self.settings.grant_validity_ms());
            let valid_until_ms = sent_ms + valid_ms;
            counting.permission = Some(Permission { grant, valid_until_ms });
        }
    }

    /// Handles the list of ready upstreams of all services. Versions that were not known before are withheld until the
    /// orders were confirmed.
    pub fn on_upstreams<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a UpstreamEntry>,
        now_ms: u64,
    ) {
        for view in self.services.values_mut() {
            view.n_ready.clear();
            view.targets.clear();
        }
        let is_first = !self.has_upstreams;
        for it in upstreams {
            self.has_upstreams = true;
            if is_first {
                let view = self.services.entry(it.service.clone()).or_default();
                view.seen.insert(it.version.clone());
            }
            self.on_version_seen(&it.service, &it.version, now_ms);
            let view = self.services.entry(it.service.clone()).or_default();
            *view.n_ready.entry(it.version.clone()).or_default() += 1;
            if let Some(plan) = view.plan_in_progress()
                && plan.order.to == it.version
            {
                let hash = upstream_hash(it, plan.tag);
                view.targets.push(hash);
            }
        }
        for view in self.services.values_mut() {
            view.targets.sort_unstable();
        }
    }

    /// Handles the first sight of a version of a service.
    pub fn on_version_seen(
        &mut self,
        service: &ServiceName,
        version: &SoftwareVersion,
        now_ms: u64,
    ) {
        let view = self.services.entry(service.clone()).or_default();
        if view.seen.insert(version.clone()) && 1 < view.seen.len() {
            view.withheld.insert(version.clone(), now_ms);
        }
    }

    /// Handles a confirmation that this node knows all orders and plans of the store as of `as_of_ms`, this node's time.
    pub fn on_orders_confirmed(&mut self, as_of_ms: u64) {
        self.is_synced = true;
        for view in self.services.values_mut() {
            view.withheld.retain(|_, seen_ms| as_of_ms <= *seen_ms);
        }
    }

    /// Handles the arrival of a request for a service and draws the versions that should run it.
    pub fn draw(&mut self, service: &ServiceName, rng: &mut impl Rng, now_ms: u64) -> Side {
        let Some(counting) = self.services.get_mut(service).and_then(|it| it.counting.as_mut())
        else {
            return Side::Base;
        };
        counting.arrived += 1;
        if !counting.has_capacity(now_ms) {
            return Side::Base;
        }
        let share = counting.valid_grant(now_ms).map_or(0.0, |it| it.share);
        if rng.random::<f32>() < share { Side::Target } else { Side::Base }
    }

    /// Returns whether an upstream may run a request of a service that was drawn for `side`. A request that is drawn for
    /// the target may run at the base too, except after the shift.
    pub fn allowed(
        &self,
        service: &ServiceName,
        upstream: &UpstreamEntry,
        side: Side,
        now_ms: u64,
    ) -> bool {
        let Some(view) = self.services.get(service) else { return true };
        let version = &upstream.version;
        if !self.is_synced && view.plan.is_none() {
            let n_ready = |it: &SoftwareVersion| view.n_ready.get(it).copied().unwrap_or(0);
            let order = |it: &SoftwareVersion| (n_ready(it), it.as_str().to_owned());
            return view.n_ready.keys().all(|it| order(it) <= order(version));
        }
        if let Some(plan) = view.plan_in_progress()
            && plan.order.to == *version
            && !plan.base.is_empty()
        {
            let is_last =
                plan.stage == Stage::Shifting && !plan.base.iter().any(|it| view.is_ready(it));
            let is_drawn = side == Side::Target
                || view.counting.as_ref().is_some_and(|it| it.is_shifting(now_ms));
            return is_last || is_drawn && view.may_use_target(upstream, now_ms);
        }
        let is_shifted = view.plan_in_progress().is_some_and(|plan| {
            let counting = view.counting.as_ref();
            counting.is_some_and(|it| it.is_shifting(now_ms)) && view.is_ready(&plan.order.to)
        });
        !is_shifted && view.is_in_use(version) && !view.is_withheld(version, now_ms)
    }

    /// Returns whether an upstream may continue a stream of a service that its version has begun. The base may do so until
    /// there is a verdict: it gets no new requests after the shift, but those that it has begun belong to the rollout.
    pub fn may_continue(
        &self,
        service: &ServiceName,
        upstream: &UpstreamEntry,
        now_ms: u64,
    ) -> bool {
        let version = &upstream.version;
        let is_base = self.services.get(service).is_some_and(|view| {
            let plan = view.plan_in_progress();
            plan.is_some_and(|it| it.base.contains(version) && it.order.to != *version)
                && view.is_in_use(version)
                && !view.is_withheld(version, now_ms)
        });
        is_base
            || self.allowed(service, upstream, Side::Base, now_ms)
            || self.allowed(service, upstream, Side::Target, now_ms)
    }

    /// Counts a request immediately before it is sent. Returns `false` if it must not be sent to this upstream, because
    /// the permission has ended or been used up since the upstream was chosen.
    #[must_use]
    pub fn record_sent(
        &mut self,
        service: &ServiceName,
        class: RequestClass,
        kind: RunKind,
        upstream: &UpstreamEntry,
        now_ms: u64,
    ) -> bool {
        let is_allowed = match kind {
            RunKind::New => self.allowed(service, upstream, Side::Target, now_ms),
            RunKind::Continued => self.may_continue(service, upstream, now_ms),
        };
        if !is_allowed {
            return false;
        }
        let view = self.services.entry(service.clone()).or_default();
        *view.n_open.entry(upstream.version.clone()).or_default() += 1;
        let is_target = view.plan_in_progress().is_some_and(|it| it.order.to == upstream.version);
        if let Some(counting) = &mut view.counting {
            if is_target {
                counting.sent_target += 1;
            }
            counting.counts(class.route, is_target.then(|| group(upstream))).open += 1;
        }
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
        let Some(view) = self.services.get_mut(service) else { return };
        if let Some(n_open) = view.n_open.get_mut(&upstream.version) {
            *n_open = n_open.saturating_sub(1);
        }
        let is_target = view.plan_in_progress().is_some_and(|it| it.order.to == upstream.version);
        let is_judged = outcome != ResponseOutcome::NotJudged;
        let latency_ms = latency_ms.filter(|_| outcome == ResponseOutcome::Succeeded);
        let slow_ms = view.slow_ms(class);
        let sample = latency_ms.filter(|_| !is_target).map(|it| LatencySample {
            route: class.route,
            size_class: class.size_class,
            latency_ms: u32::try_from(it).unwrap_or(u32::MAX),
        });
        view.medians.add(sample.as_slice());
        let Some(counting) = &mut view.counting else { return };
        let sent_ms = now_ms.saturating_sub(elapsed_ms);
        if !is_target && is_judged {
            counting.base_longest_ms = counting.base_longest_ms.max(elapsed_ms);
        }
        // Requests that were sent before the order are not compared.
        if sent_ms < counting.since_ms {
            return;
        }
        if counting.samples.len() < N_SAMPLES_MAX {
            counting.samples.extend(sample);
        }
        let counts = counting.counts(class.route, is_target.then(|| group(upstream)));
        counts.open = counts.open.saturating_sub(1);
        if !is_judged {
            return;
        }
        counts.responses += 1;
        let is_failed = outcome == ResponseOutcome::Failed;
        counts.failures += u64::from(is_failed);
        let mut is_slow = false;
        if let (Some(latency_ms), Some(slow_ms)) = (latency_ms, slow_ms) {
            is_slow = slow_ms < latency_ms as f64;
            counts.timed += 1;
            counts.slow += u64::from(is_slow);
        }
        counting.is_urgent |= is_target && (is_failed || is_slow);
    }

    /// Returns the evidence that is due now, at most one for each service with an order in progress.
    pub fn evidence(&mut self, n_nodes: usize, now_ms: u64) -> Vec<Evidence> {
        let interval_ms = Settings::evidence_interval_ms(n_nodes);
        let from = self.local;
        let due = self.services.values_mut().filter_map(|view| {
            let plan = view.plan.as_ref().filter(|it| it.verdict.is_none())?;
            let counting = view.counting.as_mut()?;
            let wait_ms = if counting.is_urgent { URGENT_INTERVAL_MS } else { interval_ms };
            if counting.last_sent_ms.is_some_and(|it| now_ms < it + wait_ms) {
                return None;
            }
            counting.last_sent_ms = Some(now_ms);
            counting.is_urgent = false;
            counting.routes.sort_by_key(|it| {
                let n_target: u64 = it.target.iter().map(|it| it.1.responses).sum();
                (it.route == 0, std::cmp::Reverse(it.base.responses + n_target))
            });
            let base = view.n_open.iter().filter(|it| *it.0 != plan.order.to);
            let granted_stage = counting.valid_grant(now_ms).map(|it| it.stage);
            Some(Evidence {
                service: plan.order.service.clone(),
                tag: plan.tag,
                from,
                sent_ms: now_ms,
                plan_sequence: plan.sequence,
                // Without a valid grant, this node uses the base in any stage.
                stage: granted_stage.unwrap_or(Stage::Waiting),
                arrived: counting.arrived,
                sent_target: counting.sent_target,
                base_open: base.map(|it| *it.1).sum(),
                base_longest_ms: counting.base_longest_ms,
                routes: counting.routes.clone(),
                samples: std::mem::take(&mut counting.samples),
            })
        });
        due.collect()
    }

    /// Returns the stage of a service's rollout as this node knows it, for metrics.
    pub fn stage(&self, service: &ServiceName) -> Option<Stage> {
        self.services.get(service)?.plan.as_ref().map(|it| it.stage)
    }
}

//! The tries of one call: which upstream comes next, and when there is none.

use std::rc::Rc;

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use lentilhitch_policy::{
    retry::{self, Repeatable},
    traffic::UpstreamEntry,
};
use lentilhitch_types::UpstreamName;

use crate::{
    admission::Call,
    answer::Refusal,
    node::Node,
    platform::{KvCopy, Platform},
    upstream_try::{self, Answered, PlaceGuard, TryEnd, TryOrder},
};

/// Less time than this isn't worth sending a request for; about two round trips in a region.
const SEND_MIN_MS: u64 = 5;
/// When a client may come back that found no upstream, at least and at most.
const WAIT_MIN_MS: u64 = 300;
const WAIT_MAX_MS: u64 = 3_000;
/// Upstreams that one request may fail to connect to.
const UNREACHABLE_MAX: u32 = 4;
/// A second try is made when the first byte takes so many times the objective.
const PATIENCE_TARGETS: u64 = 3;
/// The shortest patience for a first byte.
const PATIENCE_MIN_MS: u64 = 300;
/// The objective of a route that states none.
const TARGET_DEFAULT_MS: u64 = 1_000;
/// A request is refused when its first token is expected after so many times the objective.
const HOPELESS_TARGETS: f64 = 4.0;

/// The tries of one call.
pub(crate) struct Tries<P> {
    pub(crate) node: Rc<Node<P>>,
    pub(crate) call: Rc<Call>,
    excluded: Vec<UpstreamName>,
    /// The lives of upstreams that the call was sent to.
    sent: Vec<(UpstreamName, u64)>,
    n_unreachable: u32,
    may_have_run: bool,
    is_counted: bool,
}

impl<P: Platform> Tries<P> {
    pub(crate) fn new(node: &Rc<Node<P>>, call: &Rc<Call>) -> Self {
        Self {
            node: node.clone(),
            call: call.clone(),
            excluded: Vec::new(),
            sent: Vec::new(),
            n_unreachable: 0,
            may_have_run: false,
            is_counted: false,
        }
    }

    /// Whether another upstream may still get the call after one ran it.
    pub(crate) fn may_go_on(&self) -> bool {
        let remaining_ms = self.call.remaining_ms(self.node.now_ms());
        self.call.route.repeat.may_repeat()
            && self.n_counted() < self.call.route.attempts_max
            && SEND_MIN_MS < remaining_ms
    }

    /// Upstreams that got the call and still run; those that ended since don't count against the route's attempts.
    fn n_counted(&self) -> u32 {
        let state = self.node.state.borrow();
        let runs = |(id, born_ms): &&(UpstreamName, u64)| {
            let listed = state.catalog.get(id);
            listed.is_some_and(|it| it.entry.started_ms == *born_ms && it.is_ready())
        };
        self.sent.iter().filter(runs).count() as u32
    }

    /// Counts the request as begun, once.
    pub(crate) fn count_begun(&mut self) {
        if !std::mem::replace(&mut self.is_counted, true) {
            self.node.count_begun(&self.call);
        }
    }

    /// Sends the call until an upstream answers that ran it.
    pub(crate) async fn next(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Box<Answered<P>>, Refusal> {
        loop {
            let now_ms = self.node.now_ms();
            if self.call.remaining_ms(now_ms) < SEND_MIN_MS {
                return Err(self.refusal("the time is over"));
            }
            if !self.sent.is_empty() && !self.take_budget(now_ms) {
                return Err(self.refusal("no second try may be made now"));
            }
            let Some((listed, place)) = self.place(now_ms) else {
                return Err(self.refusal("no upstream is ready"));
            };
            // A stream that has begun, or may have, is not weighed by its first token.
            if self.sent.is_empty() && self.is_hopeless(&listed, now_ms) {
                return Err(self.refusal("the first token would come too late"));
            }
            if self.may_have_run {
                self.node.charge_again(&self.call);
            }
            if let Some(answered) = self.try_at(listed, place, resume_after, None).await? {
                return Ok(answered);
            }
        }
    }

    /// Goes on at the upstream that holds a copy of the run's memory.
    pub(crate) async fn resume_from(
        &mut self,
        listed: UpstreamEntry,
        memory: KvCopy,
        resume_after: Option<u64>,
    ) -> Option<Box<Answered<P>>> {
        let now_ms = self.node.now_ms();
        let placed = {
            let mut state = self.node.state.borrow_mut();
            let state = &mut *state;
            let only = state.catalog.iter().filter(|it| it.entry.id == listed.id);
            state.load_table.assign(None, only, &[], now_ms, &mut state.rng)?
        };
        let place = PlaceGuard::new(&self.node, placed);
        self.try_at(listed, place, resume_after, Some(memory)).await.ok().flatten()
    }

    /// One try; `None` if another may follow.
    async fn try_at(
        &mut self,
        listed: UpstreamEntry,
        place: PlaceGuard<P>,
        resume_after: Option<u64>,
        memory: Option<KvCopy>,
    ) -> Result<Option<Box<Answered<P>>>, Refusal> {
        let now_ms = self.node.now_ms();
        self.excluded.push(listed.id.clone());
        let life = (listed.id.clone(), listed.started_ms);
        let call = self.call.clone();
        self.log_send(&listed, place.uncached_tokens());
        let patience_ms = self.patience_ms(now_ms);
        let order = TryOrder { call: &call, listed, patience_ms, resume_after, memory };
        let end = upstream_try::run(&self.node, order, place).await;
        self.node.metrics.record_attempt(match &end {
            TryEnd::Answered(_) => "answered",
            TryEnd::NotRun(_) => "not_run",
            TryEnd::NotSent => "not_sent",
            TryEnd::Unknown(_) => "unknown",
        });
        self.log_failed_try(&life.0, &end, now_ms);
        match end {
            TryEnd::Answered(answered) => {
                self.sent.push(life.clone());
                self.may_have_run = true;
                return Ok(Some(answered));
            }
            TryEnd::NotSent => {
                self.n_unreachable += 1;
                if UNREACHABLE_MAX <= self.n_unreachable {
                    return Err(self.refusal("no upstream can be reached"));
                }
            }
            TryEnd::NotRun(why) => {
                self.sent.push(life.clone());
                if self.call.route.attempts_max <= self.n_counted() {
                    return Err(self.refusal(why));
                }
            }
            TryEnd::Unknown(why) => {
                self.sent.push(life.clone());
                self.may_have_run = true;
                if !self.call.route.repeat.is_stream() {
                    self.count_begun();
                }
                if !self.may_go_on() {
                    return Err(self.refusal(why));
                }
            }
        }
        Ok(None)
    }

    /// Logs that an upstream answered.
    pub(crate) fn log_answer(&self, upstream: &UpstreamName, status: u16) {
        log::info!(
            request = self.call.head.id.as_str(),
            upstream = upstream.as_str(),
            status,
            elapsed_ms = self.node.now_ms() - self.call.arrived_ms;
            "upstream answered"
        );
    }

    fn log_failed_try(&self, upstream: &UpstreamName, end: &TryEnd<P>, sent_ms: u64) {
        let (result, why) = match end {
            TryEnd::Answered(_) => return,
            TryEnd::NotRun(why) => ("not run", *why),
            TryEnd::NotSent => ("not sent", "no connection"),
            TryEnd::Unknown(why) => ("unknown", *why),
        };
        log::warn!(
            request = self.call.head.id.as_str(),
            upstream = upstream.as_str(),
            result,
            why,
            try_ms = self.node.now_ms() - sent_ms;
            "try failed"
        );
    }

    fn log_send(&self, listed: &UpstreamEntry, uncached_tokens: u32) {
        let now_ms = self.node.now_ms();
        let state = self.node.state.borrow();
        let n_there = state.load_table.n_requests(&listed.id, now_ms);
        let expected_ms = state.load_table.expected_first_token_ms(&listed.id, 0, now_ms) as u64;
        log::info!(
            request = self.call.head.id.as_str(),
            route = self.call.route.name.as_str(),
            upstream = listed.id.as_str(),
            n_sent = self.sent.len(),
            n_there,
            uncached_tokens,
            expected_ms,
            list_age_ms = state.catalog.age_ms(now_ms),
            remaining_ms = self.call.remaining_ms(now_ms);
            "sending"
        );
    }

    /// What the client is told when there is no answer. Only what surely has not run is told to come back.
    fn refusal(&self, why: &'static str) -> Refusal {
        let now_ms = self.node.now_ms();
        let is_over = self.call.remaining_ms(now_ms) < SEND_MIN_MS;
        match (self.may_have_run, is_over) {
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::Unknown(why),
            (false, _) => Refusal::Unavailable { why, wait_ms: self.node.wait_ms(&self.call) },
        }
    }

    fn take_budget(&self, now_ms: u64) -> bool {
        let settings = self.node.budget_settings();
        let remaining_ms = self.call.remaining_ms(now_ms);
        let mut state = self.node.state.borrow_mut();
        let mut rng = SmallRng::from_rng(&mut state.rng);
        let budget = state.retry_budget(&self.call.service, settings);
        budget.retry_delay_ms(Repeatable::Yes, 1, remaining_ms, &mut rng).is_some()
    }

    fn place(&mut self, now_ms: u64) -> Option<(UpstreamEntry, PlaceGuard<P>)> {
        let is_first = self.sent.is_empty() && self.n_unreachable == 0;
        let settings = self.node.budget_settings();
        let mut state = self.node.state.borrow_mut();
        let state = &mut *state;
        if is_first {
            state.retry_budget(&self.call.service, settings).record_first_attempt();
        }
        let prompt = self.call.head.prompt.as_ref();
        let ready = state.catalog.ready(&self.call.service);
        let mut placed =
            state.load_table.assign(prompt, ready, &self.excluded, now_ms, &mut state.rng);
        if placed.is_none() && self.call.route.repeat.may_repeat() {
            let ready = state.catalog.ready(&self.call.service);
            placed = state.load_table.assign(prompt, ready, &[], now_ms, &mut state.rng);
        }
        let placed = placed?;
        let listed = state.catalog.get(&placed.upstream)?.entry.clone();
        if is_first {
            // Second tries are no demand: they are many where replicas lack.
            let demand = state.demand.entry(self.call.service.clone()).or_default();
            demand.add(f64::from(placed.uncached_tokens), now_ms);
        }
        Some((listed, PlaceGuard::new(&self.node, placed)))
    }

    fn patience_ms(&self, now_ms: u64) -> u64 {
        let remaining_ms = self.call.remaining_ms(now_ms);
        let is_last = self.call.route.attempts_max <= self.n_counted() + 1;
        if is_last || !self.call.route.repeat.may_repeat() {
            return remaining_ms;
        }
        let target_ms = self.call.route.target_ms.unwrap_or(TARGET_DEFAULT_MS);
        let patience_ms = (PATIENCE_TARGETS * target_ms).max(PATIENCE_MIN_MS);
        patience_ms.min(remaining_ms)
    }

    /// Whether the first token of the chosen engine would come too late.
    fn is_hopeless(&self, listed: &UpstreamEntry, now_ms: u64) -> bool {
        if self.call.head.prompt.is_none() {
            return false;
        }
        let state = self.node.state.borrow();
        let waited_ms = (now_ms - self.call.arrived_ms) as f64;
        let expected_ms =
            waited_ms + state.load_table.expected_first_token_ms(&listed.id, 0, now_ms);
        let target_ms = self.call.route.target_ms.unwrap_or(TARGET_DEFAULT_MS) as f64;
        let remaining_ms = self.call.remaining_ms(now_ms) as f64;
        (HOPELESS_TARGETS * target_ms).min(remaining_ms) < expected_ms
    }
}

impl<P: Platform> Node<P> {
    /// The part of the deployment's second tries that this node may make.
    fn budget_settings(&self) -> retry::Settings {
        let bounds = self.settings.bounds;
        let n_nodes = self.n_nodes();
        retry::Settings {
            attempts_max: 8,
            budget_ratio: bounds.retry_ratio / 2.0,
            budget_max: (bounds.retry_slack / 2.0 / n_nodes as f64).max(1.0),
            delay_min_ms: 0,
            delay_max_ms: 0,
        }
    }

    /// When a refused client may come back: once what waits is done, and not all at the same time.
    fn wait_ms(&self, call: &Call) -> u64 {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let ready = state.catalog.ready(&call.service);
        let waits =
            ready.map(|it| state.load_table.expected_first_token_ms(&it.entry.id, 0, now_ms));
        let least_ms = waits.fold(f64::INFINITY, f64::min);
        let least_ms = if least_ms.is_finite() { least_ms as u64 } else { WAIT_MIN_MS };
        let least_ms = least_ms.clamp(WAIT_MIN_MS, WAIT_MAX_MS);
        state.rng.random_range(least_ms..=2 * least_ms)
    }

    /// Counts a request that began to run.
    fn count_begun(&self, call: &Call) {
        let Some(team) = &call.team else { return };
        let synced_ms = self.synced_ms();
        self.state.borrow_mut().usage_counter.count(team, synced_ms);
    }
}

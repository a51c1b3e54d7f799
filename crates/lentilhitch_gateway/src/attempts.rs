//! The attempts of one request: chooses the upstream of each attempt and decides when to stop.

use std::{ops::RangeInclusive, rc::Rc};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use lentilhitch_policy::{
    catalog::Upstream,
    retry::{self, Repeatable},
    rollout::RunKind,
    stream_origins::{StreamKey, StreamOrigin},
    traffic::{Repeat, Route, UpstreamEntry},
};
use lentilhitch_types::{ServiceName, UpstreamName};

use crate::{
    admission::{AdmittedRequest, CLIENT_TIMEOUT_DEFAULT_MS},
    client_response::Rejection,
    node::{Node, available},
    platform::{KvCopy, Platform},
    rollouts::VersionDraw,
    upstream_attempt::{
        self, AssignmentGuard, AttemptOutcome, AttemptParams, NO_ANSWER, UpstreamResponse,
    },
};

/// Minimum time before the deadline at which a request is still sent: about two round trips within a region.
const SEND_REMAINING_MIN_MS: u64 = 5;
/// Bounds of the base value of `Retry-After` for requests that did not run. A random addition of up to the base value
/// is added to it.
const RETRY_AFTER_MIN_MS: u64 = 300;
const RETRY_AFTER_MAX_MS: u64 = 3_000;
/// Number of failed connections after which a request is rejected.
const CONNECT_FAILURES_MAX: u32 = 4;
/// An attempt ends without a response head after this multiple of the route's latency objective, so that time remains
/// for another attempt.
const HEAD_TIMEOUT_TARGET_MULTIPLE: u64 = 3;
/// Minimum timeout for the response head of an attempt that another attempt may follow.
const HEAD_TIMEOUT_MIN_MS: u64 = 300;
/// Latency objective, up to the first byte of the response, of a route that states none.
const LATENCY_TARGET_DEFAULT_MS: u64 = 1_000;
/// A request is rejected if its first token is expected later than this multiple of the latency objective.
const FIRST_TOKEN_TARGET_MULTIPLE_MAX: f64 = 4.0;

/// The attempts of one request.
pub(crate) struct Attempts<P> {
    pub(crate) node: Rc<Node<P>>,
    pub(crate) admitted: Rc<AdmittedRequest>,
    /// Upstreams of all attempts, including the current attempt and those that could not be reached.
    excluded: Vec<UpstreamName>,
    /// Incarnations of upstreams that the request was sent to: name of the upstream and start of the incarnation. An
    /// attempt is added when its outcome is known.
    sent_to: Vec<(UpstreamName, u64)>,
    n_connect_failures: u32,
    /// Whether an attempt got no answer in time.
    is_unanswered: bool,
    /// Whether an upstream has run the request or may have run it.
    may_have_run: bool,
    is_usage_counted: bool,
    /// When load shedding has decided to send the request.
    cleared_ms: Option<u64>,
    /// Service and software version that wrote the first event of the stream. Only upstreams of these may continue it.
    origin: Option<StreamOrigin>,
    /// Versions that may run the request, beside the origin of a stream.
    versions: VersionDraw,
}

impl<P: Platform> Attempts<P> {
    pub(crate) fn new(node: &Rc<Node<P>>, admitted: &Rc<AdmittedRequest>) -> Self {
        Self {
            node: node.clone(),
            admitted: admitted.clone(),
            excluded: Vec::new(),
            sent_to: Vec::new(),
            n_connect_failures: 0,
            is_unanswered: false,
            may_have_run: false,
            is_usage_counted: false,
            cleared_ms: None,
            origin: admitted.origin,
            versions: VersionDraw::default(),
        }
    }

    /// Returns whether a request that an upstream may have run may be sent again.
    pub(crate) fn may_retry(&self) -> bool {
        let remaining_ms = self.admitted.remaining_ms(self.node.now_ms());
        self.admitted.route.repeat.may_repeat()
            && self.n_attempts_at_ready_upstreams() < self.admitted.route.attempts_max
            && SEND_REMAINING_MIN_MS < remaining_ms
    }

    /// Returns whether the next attempt is the last, whatever becomes of it once the request is sent.
    fn is_last_attempt(&self) -> bool {
        self.admitted.route.repeat == Repeat::AtMostOnce
            && self.admitted.route.attempts_max <= self.n_attempts_at_ready_upstreams() + 1
    }

    /// Returns the number of attempts that count toward the route's maximum: those in `sent_to` whose upstream
    /// incarnation is still ready. Attempts at upstreams that have ended, were restarted or are leaving do not count.
    /// An attempt is added to `sent_to` when its outcome is known, so the current attempt does not count either. An
    /// attempt that could not send the request is never added.
    fn n_attempts_at_ready_upstreams(&self) -> u32 {
        let state = self.node.state.borrow();
        let is_running = |(id, started_ms): &&(UpstreamName, u64)| {
            let entry = state.catalog.get(id);
            entry.is_some_and(|it| it.entry.started_ms == *started_ms && it.is_ready())
        };
        self.sent_to.iter().filter(is_running).count() as u32
    }

    /// Counts the request in the usage of its team. Has no effect after the first call.
    pub(crate) fn count_usage_once(&mut self) {
        if !std::mem::replace(&mut self.is_usage_counted, true) {
            self.node.count_usage(&self.admitted);
        }
    }

    /// Handles the first event that an upstream has written for this request. From now on, only upstreams of its version
    /// may continue the stream.
    pub(crate) fn on_first_event(&mut self, upstream: &UpstreamEntry) {
        self.origin.get_or_insert(StreamOrigin::of(upstream));
        if self.admitted.route.repeat.may_repeat() {
            let head = &self.admitted.head;
            let begun_by = head.resumed_id.as_ref().unwrap_or(&head.id);
            let wait_ms = head.deadline_ms.unwrap_or(CLIENT_TIMEOUT_DEFAULT_MS);
            self.node.on_stream_begun(StreamKey::of(begun_by), upstream, wait_ms);
        }
    }

    /// Makes attempts until an upstream that ran the request responds.
    pub(crate) async fn next_response(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Box<UpstreamResponse<P>>, Rejection> {
        loop {
            let now_ms = self.node.now_ms();
            if self.admitted.remaining_ms(now_ms) < SEND_REMAINING_MIN_MS {
                // Too little time is left before the deadline.
                return Err(self.rejection("the time is over"));
            }
            if self.node.state.borrow().suspects.is_stopped(&self.admitted.suspect) {
                return Err(self.quarantine_rejection());
            }
            if !self.sent_to.is_empty() && !self.withdraw_retry_budget(now_ms) {
                // The retry budget does not allow another attempt.
                return Err(self.rejection("no second try may be made now"));
            }
            let Some((entry, assignment)) = self.assign(now_ms) else {
                return Err(self.rejection("no upstream is ready"));
            };
            // Skipped once the request has been sent. Its stream may have started, so the objective for the first token
            // no longer applies.
            if self.sent_to.is_empty() && self.cleared_ms.is_none() {
                let tokens = assignment.uncached_tokens();
                match self.node.shed(&self.admitted, &entry, tokens, self.latency_target_ms()) {
                    Some(decided) => {
                        decided.map_err(Rejection::Shed)?;
                        self.cleared_ms = Some(now_ms);
                    }
                    None if self.is_first_token_too_late(&entry, now_ms) => {
                        return Err(self.rejection("the first token would come too late"));
                    }
                    None => {}
                }
            }
            if self.may_have_run {
                self.node.charge_again(&self.admitted);
            }
            if let Some(response) = self.attempt_at(entry, assignment, resume_after, None).await? {
                return Ok(response);
            }
        }
    }

    /// Continues the run at the given upstream, which can fetch a copy of the run's KV cache. Makes one attempt and
    /// returns `None` if it fails. The caller can then run the request again with [`Attempts::next_response`].
    pub(crate) async fn resume_from_copy(
        &mut self,
        entry: &UpstreamEntry,
        kv_copy: KvCopy,
        resume_after: Option<u64>,
    ) -> Option<Box<UpstreamResponse<P>>> {
        let now_ms = self.node.now_ms();
        let assigned = {
            let mut state = self.node.state.borrow_mut();
            let state = &mut *state;
            if state.suspects.is_stopped(&self.admitted.suspect) {
                return None;
            }
            let restrictions = &state.restrictions;
            let target = state.catalog.iter().filter(|it| {
                it.entry.id == entry.id
                    && it.entry.started_ms == entry.started_ms
                    && restrictions.remaining_ms(&it.entry, now_ms).is_none()
                    && self.node.may_continue_at(&it.entry, now_ms)
            });
            state.load_table.assign(None, target, &[], now_ms, &mut state.rng)?
        };
        let assignment = AssignmentGuard::new(&self.node, assigned);
        self.attempt_at(entry.clone(), assignment, resume_after, Some(kv_copy)).await.ok().flatten()
    }

    /// Makes one attempt. Returns `None` if it failed and another may follow.
    async fn attempt_at(
        &mut self,
        entry: UpstreamEntry,
        assignment: AssignmentGuard<P>,
        resume_after: Option<u64>,
        kv_copy: Option<KvCopy>,
    ) -> Result<Option<Box<UpstreamResponse<P>>>, Rejection> {
        let now_ms = self.node.now_ms();
        self.node.state.borrow_mut().restrictions.record_send(&entry, now_ms);
        self.excluded.push(entry.id.clone());
        let incarnation = (entry.id.clone(), entry.started_ms);
        let admitted = self.admitted.clone();
        self.log_send(&entry, assignment.uncached_tokens());
        let head_timeout_ms = self.head_timeout_ms(now_ms);
        let is_last = self.is_last_attempt();
        let params = AttemptParams {
            admitted: &admitted,
            entry,
            run_kind: if self.origin.is_some() { RunKind::Continued } else { RunKind::New },
            head_timeout_ms,
            resume_after,
            kv_copy,
            needs_fresh: self.is_unanswered,
            is_last,
        };
        let outcome = upstream_attempt::run(&self.node, params, assignment).await;
        self.node.metrics.record_attempt(match &outcome {
            AttemptOutcome::Responded(_) => "answered",
            AttemptOutcome::NotRun(_) => "not_run",
            AttemptOutcome::NotSent => "not_sent",
            AttemptOutcome::Unknown(_) => "unknown",
            AttemptOutcome::Withheld => "withheld",
        });
        self.log_failed_attempt(&incarnation.0, &outcome, now_ms);
        match outcome {
            AttemptOutcome::Responded(response) => {
                self.sent_to.push(incarnation.clone());
                self.may_have_run = true;
                return Ok(Some(response));
            }
            AttemptOutcome::NotSent | AttemptOutcome::Withheld => {
                self.n_connect_failures += 1;
                if CONNECT_FAILURES_MAX <= self.n_connect_failures {
                    return Err(self.rejection("no upstream can be reached"));
                }
            }
            AttemptOutcome::NotRun(reason) => {
                self.sent_to.push(incarnation.clone());
                // The body of a request may have been released when its last attempt began.
                if is_last
                    || self.admitted.route.attempts_max <= self.n_attempts_at_ready_upstreams()
                {
                    return Err(self.rejection(reason));
                }
            }
            AttemptOutcome::Unknown(reason) => {
                self.sent_to.push(incarnation.clone());
                self.may_have_run = true;
                self.is_unanswered |= reason == NO_ANSWER;
                if !self.admitted.route.repeat.is_stream() {
                    self.count_usage_once();
                }
                if !self.may_retry() {
                    return Err(self.rejection(reason));
                }
            }
        }
        Ok(None)
    }

    /// Logs the response of an upstream.
    pub(crate) fn log_response(&self, upstream: &UpstreamName, status: u16) {
        log::info!(
            request = self.admitted.head.id.as_str(),
            upstream = upstream.as_str(),
            status,
            elapsed_ms = self.node.now_ms() - self.admitted.arrived_ms;
            "upstream answered"
        );
    }

    fn log_failed_attempt(
        &self,
        upstream: &UpstreamName,
        outcome: &AttemptOutcome<P>,
        sent_ms: u64,
    ) {
        let (result, reason) = match outcome {
            AttemptOutcome::Responded(_) => return,
            AttemptOutcome::NotRun(reason) => ("not run", *reason),
            AttemptOutcome::NotSent => ("not sent", "no connection"),
            AttemptOutcome::Withheld => ("not sent", "the version gets no more requests"),
            AttemptOutcome::Unknown(reason) => ("unknown", *reason),
        };
        log::warn!(
            request = self.admitted.head.id.as_str(),
            upstream = upstream.as_str(),
            result,
            why = reason,
            try_ms = self.node.now_ms() - sent_ms;
            "attempt failed"
        );
    }

    fn log_send(&self, entry: &UpstreamEntry, uncached_tokens: u32) {
        let now_ms = self.node.now_ms();
        let state = self.node.state.borrow();
        let n_in_progress = state.load_table.n_requests(&entry.id, now_ms);
        let expected_ms = state.load_table.expected_first_token_ms(&entry.id, 0, now_ms) as u64;
        log::info!(
            request = self.admitted.head.id.as_str(),
            route = self.admitted.route.name.as_str(),
            upstream = entry.id.as_str(),
            version = entry.version.as_str(),
            resumed = self.admitted.head.resumed_id.as_deref(),
            n_sent = self.sent_to.len(),
            n_there = n_in_progress,
            uncached_tokens,
            expected_ms,
            list_age_ms = state.catalog.age_ms(now_ms),
            remaining_ms = self.admitted.remaining_ms(now_ms);
            "sending request to upstream"
        );
    }

    /// Returns the rejection of a request without a response. The client is asked to retry only if the request
    /// certainly did not run.
    fn rejection(&self, reason: &'static str) -> Rejection {
        let now_ms = self.node.now_ms();
        let is_deadline_passed = self.admitted.remaining_ms(now_ms) < SEND_REMAINING_MIN_MS;
        match (self.may_have_run, is_deadline_passed) {
            (true, true) => Rejection::TimedOut,
            (true, false) => Rejection::OutcomeUnknown(reason),
            (false, _) => Rejection::Unavailable {
                reason,
                retry_after_ms: self.node.retry_after_ms(&self.admitted),
            },
        }
    }

    /// Returns the rejection of a request that was quarantined after its admission.
    fn quarantine_rejection(&self) -> Rejection {
        if self.may_have_run {
            self.rejection("the request crashed the upstreams that ran it")
        } else {
            Rejection::Quarantined
        }
    }

    /// Withdraws a retry from the budget of the service. Returns whether the retry is allowed.
    fn withdraw_retry_budget(&self, now_ms: u64) -> bool {
        let settings = self.node.budget_settings();
        let remaining_ms = self.admitted.remaining_ms(now_ms);
        let mut state = self.node.state.borrow_mut();
        let mut rng = SmallRng::from_rng(&mut state.rng);
        let budget = state.retry_budget(&self.admitted.service, settings);
        budget.retry_delay_ms(Repeatable::Yes, 1, remaining_ms, &mut rng).is_some()
    }

    /// Assigns the request to an upstream, if possible to one without an attempt so far.
    fn assign(&mut self, now_ms: u64) -> Option<(UpstreamEntry, AssignmentGuard<P>)> {
        let is_first_attempt = self.sent_to.is_empty() && self.n_connect_failures == 0;
        let settings = self.node.budget_settings();
        self.versions.draw(&self.node, &self.admitted.service);
        let versions = self.versions;
        let mut state = self.node.state.borrow_mut();
        let state = &mut *state;
        if is_first_attempt {
            state.retry_budget(&self.admitted.service, settings).record_first_attempt();
        }
        let prompt = self.admitted.head.prompt.as_ref();
        let service = &self.admitted.service;
        let origin = self.origin;
        let blocked = state.blocked_upstreams(service, now_ms);
        let node = &self.node;
        let may_run = |it: &&Upstream| {
            let is_version_allowed = match origin {
                Some(origin) => {
                    StreamOrigin::of(&it.entry) == origin && node.may_continue_at(&it.entry, now_ms)
                }
                None => node.may_use_as_base(&it.entry, now_ms),
            };
            is_version_allowed && !blocked.contains(&it.entry.id)
        };
        let may_run_as_target = |it: &&Upstream| {
            node.may_use_as_target(&it.entry, now_ms) && !blocked.contains(&it.entry.id)
        };
        // A request that was drawn for the target of a rollout goes there first. Further attempts prefer other versions.
        let may_use_target = versions.is_for_target() && origin.is_none();
        let mut assigned = None;
        if may_use_target && is_first_attempt {
            let candidates = available(&state.catalog, &state.restrictions, service, now_ms);
            let candidates = candidates.filter(may_run_as_target);
            assigned =
                state.load_table.assign(prompt, candidates, &self.excluded, now_ms, &mut state.rng);
        }
        if assigned.is_none() {
            let candidates = available(&state.catalog, &state.restrictions, service, now_ms);
            let candidates = candidates.filter(may_run);
            assigned =
                state.load_table.assign(prompt, candidates, &self.excluded, now_ms, &mut state.rng);
        }
        if assigned.is_none() && may_use_target && !is_first_attempt {
            let candidates = available(&state.catalog, &state.restrictions, service, now_ms);
            let candidates = candidates.filter(may_run_as_target);
            assigned =
                state.load_table.assign(prompt, candidates, &self.excluded, now_ms, &mut state.rng);
        }
        if assigned.is_none() && self.admitted.route.repeat.may_repeat() {
            let candidates = available(&state.catalog, &state.restrictions, service, now_ms);
            let candidates = candidates.filter(may_run);
            assigned = state.load_table.assign(prompt, candidates, &[], now_ms, &mut state.rng);
        }
        let assigned = assigned?;
        let entry = state.catalog.get(&assigned.upstream)?.entry.clone();
        if is_first_attempt {
            // Retries are not counted as demand, since a shortage of replicas causes many of them.
            let demand = state.demand.entry(self.admitted.service.clone()).or_default();
            demand.add(f64::from(assigned.uncached_tokens), now_ms);
        }
        Some((entry, AssignmentGuard::new(&self.node, assigned)))
    }

    /// Returns the time to wait for the response head of the next attempt. It is limited to a multiple of the route's
    /// latency objective, so that time remains for another attempt before the deadline. If no other attempt may follow,
    /// because the route's maximum is reached or the request must not be repeated, it is all of the remaining time.
    fn head_timeout_ms(&self, now_ms: u64) -> u64 {
        let remaining_ms = self.admitted.remaining_ms(now_ms);
        let is_last = self.admitted.route.attempts_max <= self.n_attempts_at_ready_upstreams() + 1;
        if is_last || !self.admitted.route.repeat.may_repeat() {
            return remaining_ms;
        }
        let latency_target_ms = self.latency_target_ms();
        let head_timeout_ms =
            (HEAD_TIMEOUT_TARGET_MULTIPLE * latency_target_ms).max(HEAD_TIMEOUT_MIN_MS);
        head_timeout_ms.min(remaining_ms)
    }

    fn latency_target_ms(&self) -> u64 {
        self.admitted.route.target_ms.unwrap_or(LATENCY_TARGET_DEFAULT_MS)
    }

    /// Returns whether the first token is expected too late at this upstream: after the deadline of the request or far
    /// beyond the latency objective of the route.
    fn is_first_token_too_late(&self, entry: &UpstreamEntry, now_ms: u64) -> bool {
        if self.admitted.head.prompt.is_none() {
            return false;
        }
        let state = self.node.state.borrow();
        let waited_ms = (now_ms - self.admitted.arrived_ms) as f64;
        let expected_ms =
            waited_ms + state.load_table.expected_first_token_ms(&entry.id, 0, now_ms);
        first_token_limit_ms(&self.admitted.route, self.admitted.remaining_ms(now_ms)) < expected_ms
    }
}

/// Returns the expected time to the first token above which a request is rejected.
pub(crate) fn first_token_limit_ms(route: &Route, remaining_ms: u64) -> f64 {
    let latency_target_ms = route.target_ms.unwrap_or(LATENCY_TARGET_DEFAULT_MS) as f64;
    (FIRST_TOKEN_TARGET_MULTIPLE_MAX * latency_target_ms).min(remaining_ms as f64)
}

impl<P: Platform> Node<P> {
    /// Returns the settings of this node's retry budget for a service, as its share of the deployment's limits.
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

    /// Returns the time after which a client whose request did not run may retry. This is the shortest expected time to
    /// the first token over the ready upstreams, plus a random addition so that clients do not return all at once. If all
    /// ready upstreams have asked for a pause or a limit, the time until the first of them accepts a request is added.
    fn retry_after_ms(&self, admitted: &AdmittedRequest) -> u64 {
        if let Some(it) = self.forecast_retry_after_ms(admitted) {
            return it;
        }
        let range = self.retry_after_range_ms(&admitted.service);
        self.state.borrow_mut().rng.random_range(range)
    }

    /// Returns the range from which the time after which a client may retry is drawn.
    pub(crate) fn retry_after_range_ms(&self, service: &ServiceName) -> RangeInclusive<u64> {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        let ready = state.catalog.ready(service);
        let first_token_delays_ms =
            ready.map(|it| state.load_table.expected_first_token_ms(&it.entry.id, 0, now_ms));
        let delay_min_ms = first_token_delays_ms.fold(f64::INFINITY, f64::min);
        let delay_min_ms =
            if delay_min_ms.is_finite() { delay_min_ms as u64 } else { RETRY_AFTER_MIN_MS };
        let delay_min_ms = delay_min_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        let ready = state.catalog.ready(service);
        let remaining =
            ready.map(|it| state.restrictions.remaining_ms(&it.entry, now_ms).unwrap_or(0));
        let pause_ms = remaining.min().unwrap_or(0);
        pause_ms + delay_min_ms..=pause_ms + 2 * delay_min_ms
    }

    /// Counts a request that has started to run in the usage of its team.
    fn count_usage(&self, admitted: &AdmittedRequest) {
        let Some(team) = &admitted.team else { return };
        let synced_ms = self.synced_ms();
        self.state.borrow_mut().usage_counter.count(team, synced_ms);
    }
}

//! Pace of the upstreams: how long work takes on the machine of an upstream at present, in percent of the usual time.
//!
//! 100 is the usual pace, and at 200 all work takes twice as long. Upstreams share their machines with others, so the
//! pace changes while an upstream runs. The figures of a service are used if one of its upstreams stated a pace lately.
//! The cost of each of its upstreams is then the time that work takes there now. Other services are not affected.
//!
//! A figure describes the moment at which it was stated. The estimate for a later moment therefore returns from the
//! figure to the average of the upstream's figures, with the time constant [`Settings::useful_ms`], and more slowly to
//! the median of the service, with [`Settings::average_ms`]. Otherwise an upstream that was slow once would get no more
//! requests, and its pace would never be learned again.

use std::ops::RangeInclusive;

use rustc_hash::FxHashMap;

use lentilhitch_types::{ServiceName, UpstreamName};

use super::{Assignment, LoadTable, MEDIAN_STEP_FRACTION, PLAIN_FAILURE_COST, UpstreamState};
use crate::{catalog::Upstream, traffic::UpstreamEntry};

/// Paces that are used. An upstream outside of this range is not usable at all, or states another quantity.
pub const RANGE: RangeInclusive<f64> = 10.0..=10_000.0;
/// Pace at which work takes the usual time.
const USUAL: f64 = 100.0;
/// Time after which a service is treated as one without paces again if no upstream of it has stated one.
const SERVICE_TTL_MS: u64 = 60_000;
/// Pace that an upstream counts with long after its last figure, in proportion to the median of the service. It is below 1
/// so that an upstream which was slow is tried again even if the others are idle and at the median.
const TRIED_AGAIN_FRACTION: f64 = 0.9;
/// Responses after which the measured pace of an upstream that states none is used.
const MEASURED_SAMPLES_MIN: u32 = 8;
/// Step by which the measured time of an upstream is adjusted, as a fraction. It is larger than that of the median over
/// all upstreams, because a node gets few responses of one upstream.
const MEASURED_STEP_FRACTION: f64 = 0.05;
/// Range of the measured time of an upstream in proportion to the usual one, which limits the effect of response times
/// that depend on the kinds of requests rather than on the machine.
const MEASURED_FACTOR_RANGE: (f64, f64) = (0.25, 4.0);
/// Time for which a request waits for a slot, for each request that comes before it, at the usual pace.
const SLOT_WAIT_MS: f64 = 100.0;
/// Cost of a request at an upstream without an engine, at the usual pace, and additional cost for each request that
/// waits for a slot in proportion to the slots. They have the same scale as the cost of a service without paces.
const PLAIN_WORK_COST: f64 = 10.0;
const PLAIN_WAIT_COST: f64 = 30.0;

/// Settings for the use of paces.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Whether paces that upstreams state are used.
    pub is_used: bool,
    /// Time constant with which the estimate returns from the latest figure to the average of an upstream's figures.
    pub useful_ms: f64,
    /// Time constant of the average of an upstream's figures, and with which the estimate returns from this average to the
    /// median of the service.
    pub average_ms: f64,
    /// Exponent with which the pace of a model engine scales the cost of the work there. 0 leaves it out, and 1 scales the
    /// cost in proportion to the pace. The simulation shows fewer first tokens in time with any weight above 0, because
    /// the number of requests in progress already rises at a slow engine.
    pub engine_weight: f64,
    /// The same for an upstream without an engine.
    pub plain_weight: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            is_used: true,
            useful_ms: 500.0,
            average_ms: 5_000.0,
            engine_weight: 0.0,
            plain_weight: 1.0,
        }
    }
}

/// Latest figure of an upstream, and the average of its figures.
#[derive(Clone, Copy, Debug)]
struct Stated {
    latest: f64,
    average: f64,
    received_ms: u64,
}

/// What is known of the pace of an upstream.
#[derive(Debug, Default)]
pub(super) struct UpstreamPace {
    /// Service of the upstream. Set only if upstreams of the service state paces.
    service: Option<ServiceName>,
    stated: Option<Stated>,
    /// Estimated median of the time per unit of each kind of work, and the number of responses.
    measured: [Option<(f64, u32)>; N_WORK_KINDS],
    /// Requests that this node has sent since the upstream reported its load.
    n_sent_since_load: u32,
    is_invalid_load_logged: bool,
}

impl UpstreamPace {
    pub(super) fn on_load(&mut self) {
        self.n_sent_since_load = 0;
    }
}

/// Paces of a service.
#[derive(Debug)]
struct ServicePace {
    /// Estimated median of the stated paces.
    median: f64,
    /// Estimated median of the time per unit of each kind of work at the usual pace.
    usual_ms: [Option<f64>; N_WORK_KINDS],
    stated_ms: u64,
}

/// Paces of the services of which some upstream states a pace.
#[derive(Debug, Default)]
pub(super) struct ServicePaces(FxHashMap<ServiceName, ServicePace>);

impl LoadTable {
    /// Records the pace that an upstream stated in a response, in percent of the usual time. Ignores a pace outside of
    /// [`RANGE`].
    pub fn record_pace(&mut self, upstream: &UpstreamEntry, pace: f64, now_ms: u64) {
        if !RANGE.contains(&pace) {
            return;
        }
        let service = ServicePace { median: pace, usual_ms: Default::default(), stated_ms: now_ms };
        let service = self.paces.0.entry(upstream.service.clone()).or_insert(service);
        service.stated_ms = now_ms;
        step_towards(&mut service.median, pace, MEDIAN_STEP_FRACTION);
        let median = service.median;
        let average_ms = self.settings.pace.average_ms;
        let state = &mut self.entry(&upstream.id).pace;
        state.service.get_or_insert_with(|| upstream.service.clone());
        // The first average lies between the figure and the median, since one figure says little about the average.
        let previous = state.stated;
        let (average, elapsed_ms) = previous.map_or((median, average_ms), |it| {
            (it.average, now_ms.saturating_sub(it.received_ms) as f64)
        });
        let weight = 1.0 - (-elapsed_ms / average_ms).exp();
        let average = average + weight * (pace - average);
        state.stated = Some(Stated { latest: pace, average, received_ms: now_ms });
    }

    /// Returns whether no unusable load of the upstream was noted before, and notes one.
    pub fn is_first_invalid_load(&mut self, upstream: &UpstreamName) -> bool {
        !std::mem::replace(&mut self.entry(upstream).pace.is_invalid_load_logged, true)
    }

    /// Records that a request was assigned to an upstream.
    pub(super) fn on_assigned(&mut self, upstream: &UpstreamEntry) {
        if !self.paces.0.contains_key(&upstream.service) {
            return;
        }
        let state = &mut self.entry(&upstream.id).pace;
        state.service.get_or_insert_with(|| upstream.service.clone());
        state.n_sent_since_load = state.n_sent_since_load.saturating_add(1);
    }

    /// Records the time until the response to an assigned request started, if upstreams of its service state paces.
    pub(super) fn record_response_time(&mut self, assignment: &Assignment, elapsed_ms: u64) {
        let Some((kind, n_units)) = work_units(assignment) else { return };
        let kind = kind as usize;
        let Some(state) = self.upstreams.get_mut(&assignment.upstream) else { return };
        let pace = &mut state.pace;
        let Some(service) = pace.service.as_ref().and_then(|it| self.paces.0.get_mut(it)) else {
            return;
        };
        let sample_ms = elapsed_ms as f64 / n_units;
        let (measured_ms, n_samples) = pace.measured[kind].get_or_insert((sample_ms, 0));
        step_towards(measured_ms, sample_ms, MEASURED_STEP_FRACTION);
        *n_samples = n_samples.saturating_add(1);
        // The response has just stated the pace at which it was made.
        let stated = pace.stated.map_or(service.median, |it| it.latest);
        let usual_sample_ms = sample_ms * USUAL / stated;
        let usual_ms = service.usual_ms[kind].get_or_insert(usual_sample_ms);
        step_towards(usual_ms, usual_sample_ms, MEDIAN_STEP_FRACTION);
    }

    /// Returns how long work takes at an upstream now, in proportion to the usual time. Returns `None` if no upstream of
    /// the service states its pace.
    pub(super) fn time_factor(
        &self,
        service: &ServiceName,
        state: &UpstreamState,
        now_ms: u64,
    ) -> Option<f64> {
        if !self.settings.pace.is_used {
            return None;
        }
        let service = self.paces.0.get(service)?;
        if SERVICE_TTL_MS < now_ms.saturating_sub(service.stated_ms) {
            return None;
        }
        if let Some(it) = state.pace.stated {
            let age_ms = now_ms.saturating_sub(it.received_ms) as f64;
            let Settings { useful_ms, average_ms, .. } = self.settings.pace;
            let unknown = TRIED_AGAIN_FRACTION * service.median;
            let average = unknown + (-age_ms / average_ms).exp() * (it.average - unknown);
            let pace = average + (-age_ms / useful_ms).exp() * (it.latest - average);
            return Some(pace / USUAL);
        }
        let (min, max) = MEASURED_FACTOR_RANGE;
        let mut measured = state.pace.measured.iter().zip(&service.usual_ms).filter_map(|it| {
            let ((measured_ms, n_samples), usual_ms) = it.0.as_ref().zip(it.1.as_ref())?;
            let is_known = MEASURED_SAMPLES_MIN <= *n_samples && 0.0 < *usual_ms;
            is_known.then(|| (measured_ms / usual_ms).clamp(min, max))
        });
        Some(measured.next().unwrap_or(service.median / USUAL))
    }

    /// Returns the prefill time per token at the usual pace.
    fn usual_prefill_ms_per_token(&self, service: &ServiceName) -> f64 {
        let service = self.paces.0.get(service);
        let median = service.map_or(USUAL, |it| it.median);
        service
            .and_then(|it| it.usual_ms[WorkKind::Prefill as usize])
            .unwrap_or(self.prefill_ms_per_token * USUAL / median)
    }

    /// Returns the requests in progress at an upstream, at least those that it reported and those sent there since.
    fn n_requests_since(&self, state: &UpstreamState, now_ms: u64) -> u32 {
        let n_requests = self.n_requests_at(state, now_ms);
        let reported =
            state.reported.filter(|it| now_ms.saturating_sub(it.1) <= super::REPORTED_LOAD_TTL_MS);
        let reported = reported.map_or(0, |(load, _)| {
            (load.n_running.saturating_add(load.n_waiting))
                .saturating_add(state.pace.n_sent_since_load)
        });
        n_requests.max(reported)
    }

    /// Returns the expected time to the first token of a prompt with `uncached_tokens` at an upstream, in milliseconds,
    /// if upstreams of its service state paces.
    pub(super) fn paced_first_token_ms(
        &self,
        upstream: &UpstreamName,
        uncached_tokens: u64,
        now_ms: u64,
    ) -> Option<f64> {
        let state = self.upstreams.get(upstream)?;
        let service = state.pace.service.as_ref()?;
        let factor = self.time_factor(service, state, now_ms)?;
        let n_tokens = u64::from(self.in_progress_at(state).waiting_tokens) + uncached_tokens;
        let prefill_ms = n_tokens as f64 * self.usual_prefill_ms_per_token(service);
        let n_requests = f64::from(self.n_requests_since(state, now_ms));
        Some(factor * (prefill_ms + n_requests * self.settings.per_request_ms))
    }

    /// Returns the cost of a model engine for a prompt with `uncached` tokens. Its terms are those of a service without
    /// paces, as time at the upstream.
    pub(super) fn paced_engine_cost(
        &self,
        uncached: u64,
        upstream: &Upstream,
        state: &UpstreamState,
        factor: f64,
        now_ms: u64,
    ) -> f64 {
        let settings = &self.settings;
        let n_requests = self.n_requests_since(state, now_ms);
        let n_over_slots = n_requests.saturating_sub(slots(upstream, state).saturating_sub(1));
        let waiting_tokens = u64::from(self.in_progress_at(state).waiting_tokens);
        let n_tokens =
            (waiting_tokens + uncached) as f64 + settings.prefill_work_weight * uncached as f64;
        let time_ms = n_tokens * self.usual_prefill_ms_per_token(&upstream.entry.service)
            + f64::from(n_requests) * settings.per_request_ms
            + f64::from(n_over_slots) * SLOT_WAIT_MS;
        factor.powf(settings.pace.engine_weight) * time_ms
            + settings.failure_penalty_ms * state.failure_rate
            + self.zone_cost(upstream)
    }

    /// Returns the cost of an upstream without an engine. Unlike the cost in a service without paces, it contains the
    /// work of the request itself, which takes longer on a slow machine even if nothing else runs there.
    pub(super) fn paced_plain_cost(
        &self,
        upstream: &Upstream,
        state: &UpstreamState,
        factor: f64,
        now_ms: u64,
    ) -> f64 {
        let n_requests = f64::from(self.n_requests_since(state, now_ms));
        let per_slot = n_requests / f64::from(slots(upstream, state));
        let work = PLAIN_WORK_COST * (1.0 + per_slot) + PLAIN_WAIT_COST * (per_slot - 1.0).max(0.0);
        factor.powf(self.settings.pace.plain_weight) * work
            + PLAIN_FAILURE_COST * state.failure_rate
            + self.zone_cost(upstream)
    }
}

/// Kind of work until the start of a response whose time is measured. The more exact one comes first.
#[derive(Clone, Copy)]
enum WorkKind {
    /// Prefill of a long prompt that found no other prompt waiting. Its units are uncached tokens.
    Prefill,
    /// A request without uncached tokens. Its unit is the request.
    Request,
}

const N_WORK_KINDS: usize = 2;

/// Returns the kind and the units of work until the start of a response. Returns `None` if its time says little about
/// the pace.
fn work_units(assignment: &Assignment) -> Option<(WorkKind, f64)> {
    match assignment.uncached_tokens {
        0 => Some((WorkKind::Request, 1.0)),
        it if it < super::PREFILL_SAMPLE_TOKENS_MIN || !assignment.was_queue_empty => None,
        it => Some((WorkKind::Prefill, f64::from(it))),
    }
}

/// Moves the estimate of a median a step towards a sample, at most to the sample.
fn step_towards(median: &mut f64, sample: f64, step_fraction: f64) {
    let step = *median * step_fraction;
    *median += (sample - *median).clamp(-step, step);
}

/// Returns the slots that the upstream reported, or else those of its entry.
fn slots(upstream: &Upstream, state: &UpstreamState) -> u32 {
    let reported = state.reported.and_then(|it| it.0.slots);
    reported.unwrap_or(upstream.entry.slots).max(1)
}

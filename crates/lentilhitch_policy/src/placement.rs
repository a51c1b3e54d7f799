//! Assigns requests to upstreams, based on the requests in progress from this node and its peers and on the loads that
//! upstreams report in their responses.
//!
//! A model engine is chosen by its expected cost. The main term is the expected time to the first token. It grows with
//! the number of prompt tokens that wait at the engine, with the number of prompt tokens that the engine has not
//! cached, and by a fixed delay for each request in progress there. To profit from cached prompts, a request is
//! preferably sent to an engine that already received a request with the same prompt prefix. Rendezvous hashing of the
//! prefix gives the same order of engines at all nodes, and each node compares the first engines of this order.
//! Requests with the same prefix therefore go to the same engines although the nodes do not exchange which prefixes are
//! cached where.
//!
//! An upstream of a service without model engines is chosen by its requests in progress per slot. An upstream to which
//! no connection could be made is ejected, that is, not chosen for the time set by [`Settings::ejection_min_ms`] and
//! [`Settings::ejection_max_ms`], unless all candidates are ejected.

use std::num::NonZeroUsize;

use lru::LruCache;
use rand::Rng;
use rustc_hash::{FxBuildHasher, FxHashMap};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use lentilhitch_types::{SegmentId, UpstreamName, Zone};

use crate::{
    catalog::Upstream,
    gossip::message::UnnamedLoads,
    overload::{Capacity, Chosen},
    traffic::UpstreamEntry,
};

mod choice;
pub mod explain;
pub mod pace;

pub use choice::Strategy;
use choice::{COMPARED_MAX, add_random, first_in_hash_order};

/// A segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    pub id: SegmentId,
    pub tokens: u32,
}

/// The prompt of a request, in segments. Other requests may share all segments but the last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    pub segments: Vec<PromptSegment>,
    pub input_tokens: u64,
    pub output_tokens_max: u64,
}

impl Prompt {
    /// Returns the key for the hash order of upstreams: the id of the last shared segment, or of the only segment. The
    /// requests of a session have this id in common.
    fn affinity(&self) -> u64 {
        self.shared_segments().last().or(self.segments.last()).map_or(0, |it| it.id.0)
    }

    /// Returns the segments that other requests may share: all but the last.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        self.segments.split_last().map_or(&[], |it| it.1)
    }

    fn shared_tokens(&self) -> u64 {
        self.shared_segments().iter().map(|it| u64::from(it.tokens)).sum()
    }
}

/// Settings for the choice of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub strategy: Strategy,
    /// Number of compared upstreams that come first in the hash order of the prompt.
    pub hash_choices: usize,
    /// Number of further compared upstreams, drawn at random.
    pub random_choices: usize,
    /// Initial estimate of the prefill time per token, refined by measurements of the engines.
    pub prefill_ms_per_token: f64,
    /// Weight of a request's own prefill time in its cost, in addition to the expected wait for it, since this work
    /// also delays later requests.
    pub prefill_work_weight: f64,
    /// Delay that each request in progress adds to a new request, in milliseconds. The prefill of the new request
    /// delays the running ones in turn.
    pub per_request_ms: f64,
    /// Probability that the first upstream in the hash order has cached a shared prefix that this node has not sent
    /// there. It is halved for each following upstream.
    pub affinity_hit_probability: f64,
    /// Additional cost of an upstream in another zone, in milliseconds of waiting.
    pub cross_zone_penalty_ms: f64,
    /// Cost of an attempt that is certain to fail, in milliseconds of waiting.
    pub failure_penalty_ms: f64,
    /// Duration of the ejection after the first failure to connect. Each further failure doubles it up to the maximum.
    pub ejection_min_ms: u64,
    pub ejection_max_ms: u64,
    /// Maximum number of prompt segments recorded as cached for each upstream.
    pub cached_segments_max: usize,
    pub pace: pace::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            strategy: Strategy::default(),
            hash_choices: 3,
            random_choices: 2,
            prefill_ms_per_token: 0.02,
            prefill_work_weight: 1.0,
            per_request_ms: 2.0,
            affinity_hit_probability: 0.7,
            cross_zone_penalty_ms: 2.0,
            failure_penalty_ms: 1_500.0,
            ejection_min_ms: 300,
            ejection_max_ms: 3_000,
            cached_segments_max: 4_096,
            pace: pace::Settings::default(),
        }
    }
}

/// Requests that a node has in progress at an upstream. Encoded as a tuple of its fields, to keep messages small.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct InProgress {
    pub n_requests: u32,
    /// Requests among them whose response has not started.
    pub n_waiting: u32,
    /// Uncached prompt tokens of the waiting requests.
    pub waiting_tokens: u32,
}

/// Load that an upstream reported in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    pub n_running: u32,
    pub n_waiting: u32,
    /// Requests that the upstream runs at the same time, if it states them.
    pub slots: Option<u32>,
    /// How long work takes there now, see [`pace`], if the upstream states it.
    pub pace: Option<f64>,
}

/// Result of an attempt at an upstream, as far as it matters for later choices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    Served,
    /// The upstream had no capacity left.
    Full,
    /// The upstream responded with a failure, broke off the response or timed out.
    Failed,
    /// No connection could be established.
    Unreachable,
    /// The attempt ended for a reason that says nothing about the upstream, such as a client that disconnected.
    Canceled,
}

/// The assignment of a request to an upstream, to be released with [`LoadTable::release`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    pub upstream: UpstreamName,
    pub uncached_tokens: u32,
    is_waiting: bool,
    /// Whether no other prompt was waiting there at the time of the assignment.
    was_queue_empty: bool,
}

impl From<(u32, u32, u32)> for InProgress {
    fn from((n_requests, n_waiting, waiting_tokens): (u32, u32, u32)) -> Self {
        Self { n_requests, n_waiting, waiting_tokens }
    }
}

impl From<InProgress> for (u32, u32, u32) {
    fn from(it: InProgress) -> Self {
        (it.n_requests, it.n_waiting, it.waiting_tokens)
    }
}

impl InProgress {
    pub(crate) fn add(&mut self, other: Self) {
        self.n_requests = self.n_requests.saturating_add(other.n_requests);
        self.n_waiting = self.n_waiting.saturating_add(other.n_waiting);
        self.waiting_tokens = self.waiting_tokens.saturating_add(other.waiting_tokens);
    }

    pub(crate) fn subtract(&mut self, other: Self) {
        self.n_requests = self.n_requests.saturating_sub(other.n_requests);
        self.n_waiting = self.n_waiting.saturating_sub(other.n_waiting);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(other.waiting_tokens);
    }
}

#[derive(Debug)]
struct UpstreamState {
    /// Hash of the upstream's name.
    hash: u32,
    /// Requests in progress from this node.
    local: InProgress,
    /// Load from the latest response that reported one, with the time of receipt.
    reported: Option<(ReportedLoad, u64)>,
    cached_segments: LruCache<SegmentId, (), FxBuildHasher>,
    /// Fraction of failed attempts, as a moving average over the attempts.
    failure_rate: f64,
    /// Number of failures to connect since the last served request.
    n_connect_failures: u32,
    ejected_until_ms: u64,
    pace: pace::UpstreamPace,
}

impl UpstreamState {
    fn new(hash: u32, cached_segments_max: usize) -> Self {
        let cached_segments_max =
            NonZeroUsize::new(cached_segments_max).unwrap_or(NonZeroUsize::MIN);
        // A cache that is created with its bound allocates all of its entries, 140 KB for 4,096 of them.
        let mut cached_segments = LruCache::unbounded_with_hasher(FxBuildHasher);
        cached_segments.resize(cached_segments_max);
        Self {
            hash,
            local: InProgress::default(),
            reported: None,
            cached_segments,
            failure_rate: 0.0,
            n_connect_failures: 0,
            ejected_until_ms: 0,
            pace: pace::UpstreamPace::default(),
        }
    }

    fn cached_tokens(&self, prompt: &Prompt) -> u64 {
        let cached = prompt.segments.iter().take_while(|it| self.cached_segments.contains(&it.id));
        cached.map(|it| u64::from(it.tokens)).sum()
    }
}

/// A peer's requests in progress by hash of the upstream's name, and when the report was received.
#[derive(Debug, Default)]
struct PeerLoad {
    received_ms: u64,
    in_progress: Vec<(u32, InProgress)>,
}

/// Loads of the upstreams as known to this node, for choosing among them.
#[derive(Debug)]
pub struct LoadTable {
    settings: Settings,
    zone: Zone,
    n_assigned: usize,
    upstreams: FxHashMap<UpstreamName, UpstreamState>,
    peer_loads: FxHashMap<u64, PeerLoad>,
    /// Sum of the peers' reports, updated with each report, so that a request does not have to go through all peers.
    peers_total: FxHashMap<u32, InProgress>,
    /// Mean load from the peers at each upstream that their reports do not name, if they do not name all: requests,
    /// requests without a response, and waiting tokens.
    unnamed_mean: Option<[f64; 3]>,
    /// When the last ejection ends.
    ejected_until_ms: u64,
    /// Estimated median of the prefill time per token, from prompts that found no other prompt waiting.
    prefill_ms_per_token: f64,
    paces: pace::ServicePaces,
}

/// How long a peer's report remains valid: a few report intervals.
const PEER_LOAD_TTL_MS: u64 = 5_000;
/// Minimum uncached tokens of a prompt that is used to measure prefill speed. Shorter prompts say little about it.
const PREFILL_SAMPLE_TOKENS_MIN: u32 = 2_000;
/// Step by which the estimated median is adjusted, as a fraction of the estimate.
const MEDIAN_STEP_FRACTION: f64 = 0.02;
/// Weight of the newest attempt in the moving average of failed attempts.
const FAILURE_RATE_NEWEST_WEIGHT: f64 = 0.15;
/// Cost of an attempt that is certain to fail at an upstream without an engine.
const PLAIN_FAILURE_COST: f64 = 40.0;
/// How long a load reported by an upstream remains valid.
const REPORTED_LOAD_TTL_MS: u64 = 400;

impl LoadTable {
    /// Creates the table of a node that has sent no request yet.
    pub fn new(settings: Settings, zone: Zone) -> Self {
        Self {
            settings,
            zone,
            n_assigned: 0,
            upstreams: FxHashMap::default(),
            peer_loads: FxHashMap::default(),
            peers_total: FxHashMap::default(),
            unnamed_mean: None,
            ejected_until_ms: 0,
            prefill_ms_per_token: settings.prefill_ms_per_token,
            paces: pace::ServicePaces::default(),
        }
    }

    /// Chooses an upstream and counts the request there. `excluded` upstreams were already tried for this request.
    pub fn assign<'a>(
        &mut self,
        prompt: Option<&Prompt>,
        candidates: impl Iterator<Item = &'a Upstream>,
        excluded: &[UpstreamName],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<Assignment> {
        let mut pool: Vec<_> = candidates.filter(|it| !excluded.contains(&it.entry.id)).collect();
        if now_ms < self.ejected_until_ms {
            let is_available = |it: &&Upstream| {
                self.upstreams.get(&it.entry.id).is_none_or(|it| it.ejected_until_ms <= now_ms)
            };
            if pool.iter().any(is_available) {
                pool.retain(is_available);
            }
        }
        let (upstream, uncached_tokens) = match self.settings.strategy {
            Strategy::Cost => self.least_cost(prompt, &pool, now_ms, rng)?,
            strategy => (self.baseline(strategy, &pool, now_ms, rng)?, tokens_of(prompt)),
        };
        let id = upstream.entry.id.clone();
        self.n_assigned += 1;
        self.on_assigned(&upstream.entry);
        Some(self.reserve(&id, prompt, uncached_tokens))
    }

    /// Returns the upstream of the lowest cost among those that are compared, with the expected uncached tokens. For a
    /// prompt, these are the first [`Settings::hash_choices`] upstreams in the hash order of the prompt and
    /// [`Settings::random_choices`] further ones, drawn at random. Without a prompt, only upstreams drawn at random are
    /// compared. Both numbers are limited to [`COMPARED_MAX`], and at least one upstream is drawn at random.
    fn least_cost<'a>(
        &mut self,
        prompt: Option<&Prompt>,
        pool: &[&'a Upstream],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<(&'a Upstream, u32)> {
        let hash_choices = self.settings.hash_choices.min(COMPARED_MAX);
        let random_choices = self.settings.random_choices.clamp(1, COMPARED_MAX);
        let hashes = pool.iter().map(|it| it.hash);
        let mut compared = match prompt {
            Some(it) => first_in_hash_order(it.affinity(), hashes, hash_choices),
            None => Vec::new(),
        };
        add_random(&mut compared, pool.len(), random_choices, rng);
        for it in compared.iter().map(|it| &pool[*it].entry.id) {
            if !self.upstreams.contains_key(it) {
                self.entry(it);
            }
        }
        let costs = compared.into_iter().enumerate().map(|(position, idx)| {
            let upstream = pool[idx];
            let state = &self.upstreams[&upstream.entry.id];
            let (cost, uncached_tokens) = match prompt {
                Some(it) => {
                    // The upstreams in hash order come first in `compared`.
                    let hash_rank = (position < hash_choices).then_some(position);
                    self.engine_cost(it, upstream, state, hash_rank, now_ms)
                }
                None => (self.plain_cost(upstream, state, now_ms), 0),
            };
            (cost, upstream, uncached_tokens)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((best.1, best.2))
    }

    fn baseline<'a>(
        &self,
        strategy: Strategy,
        pool: &[&'a Upstream],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<&'a Upstream> {
        let mut compared = Vec::new();
        match strategy {
            Strategy::RoundRobin => compared.push(self.n_assigned % pool.len().max(1)),
            Strategy::Random => add_random(&mut compared, pool.len(), 1, rng),
            Strategy::TwoChoices => add_random(&mut compared, pool.len(), 2, rng),
            Strategy::Cost | Strategy::LeastReported => {
                add_random(&mut compared, pool.len(), pool.len(), rng);
            }
        }
        let compared = compared.into_iter().filter_map(|it| pool.get(it));
        compared.min_by_key(|it| self.n_requests(&it.entry.id, now_ms)).copied()
    }

    /// Records that the response has started, so that its prompt no longer waits.
    pub fn on_response_start(&mut self, assignment: &mut Assignment) {
        if std::mem::take(&mut assignment.is_waiting)
            && let Some(state) = self.upstreams.get_mut(&assignment.upstream)
        {
            let local = &mut state.local;
            local.n_waiting = local.n_waiting.saturating_sub(1);
            local.waiting_tokens = local.waiting_tokens.saturating_sub(assignment.uncached_tokens);
        }
    }

    /// Records the result of the attempt and releases the assignment, so that the request no longer counts as in
    /// progress. If the response has not started, the request also stops counting as waiting.
    ///
    /// A failure to connect ejects the upstream.
    pub fn release(&mut self, mut assignment: Assignment, result: AttemptResult, now_ms: u64) {
        self.on_response_start(&mut assignment);
        let settings = self.settings;
        let Some(state) = self.upstreams.get_mut(&assignment.upstream) else { return };
        state.local.n_requests = state.local.n_requests.saturating_sub(1);
        let failed = f64::from(u8::from(matches!(
            result,
            AttemptResult::Failed | AttemptResult::Unreachable
        )));
        if !matches!(result, AttemptResult::Full | AttemptResult::Canceled) {
            state.failure_rate += FAILURE_RATE_NEWEST_WEIGHT * (failed - state.failure_rate);
        }
        if result == AttemptResult::Unreachable {
            // Limits the shift, which would overflow after many failures.
            let ejection_ms = settings.ejection_min_ms << state.n_connect_failures.min(8);
            state.ejected_until_ms = now_ms + ejection_ms.min(settings.ejection_max_ms);
            state.n_connect_failures += 1;
            self.ejected_until_ms = self.ejected_until_ms.max(state.ejected_until_ms);
        } else if result == AttemptResult::Served {
            state.n_connect_failures = 0;
        }
    }

    /// Ends all ejections, because the failures to connect were no fault of the upstreams.
    pub fn end_ejections(&mut self) {
        self.ejected_until_ms = 0;
        for it in self.upstreams.values_mut() {
            it.ejected_until_ms = 0;
            it.n_connect_failures = 0;
        }
    }

    /// Records the load that an upstream reported in a response.
    pub fn record_load(&mut self, upstream: &UpstreamName, load: ReportedLoad, now_ms: u64) {
        let state = self.entry(upstream);
        state.reported = Some((load, now_ms));
        state.pace.on_load();
    }

    /// Records the time to the first token. Only long prompts that found no other prompt waiting are used to measure
    /// prefill speed. The estimated median follows the samples in small steps.
    pub fn record_first_token(&mut self, assignment: &Assignment, first_token_ms: u64) {
        self.record_response_time(assignment, first_token_ms);
        if assignment.uncached_tokens < PREFILL_SAMPLE_TOKENS_MIN || !assignment.was_queue_empty {
            return;
        }
        let sample = first_token_ms as f64 / f64::from(assignment.uncached_tokens);
        let step = self.prefill_ms_per_token * MEDIAN_STEP_FRACTION;
        self.prefill_ms_per_token += if sample < self.prefill_ms_per_token { -step } else { step };
    }

    /// Returns the estimated number of prompt tokens per second that an engine processes when it does nothing else.
    pub fn prefill_tokens_per_s(&self) -> f64 {
        1000.0 / self.prefill_ms_per_token
    }

    /// Discards the state of an upstream that was removed or started a new incarnation, except for the requests that
    /// this node has in progress there.
    pub fn reset_upstream(&mut self, upstream: &UpstreamName) {
        if let Some(state) = self.upstreams.remove(upstream)
            && 0 < state.local.n_requests
        {
            // These requests release their assignments later.
            self.entry(upstream).local = state.local;
        }
    }

    /// Drops upstreams that are not in the catalog and have no local requests in progress.
    pub fn retain(&mut self, is_in_catalog: impl Fn(&UpstreamName) -> bool) {
        self.upstreams.retain(|id, it| 0 < it.local.n_requests || is_in_catalog(id));
    }

    /// Returns this node's requests in progress at each upstream, by hash of the upstream's name, as a report to the
    /// peers.
    pub fn report(&self) -> Vec<(u32, InProgress)> {
        let busy = self.upstreams.iter().filter(|it| 0 < it.1.local.n_requests);
        busy.map(|(id, it)| (upstream_hash(id), it.local)).collect()
    }

    /// Records a peer's report and drops expired ones.
    pub fn on_peer_report(&mut self, peer: u64, in_progress: Vec<(u32, InProgress)>, now_ms: u64) {
        for (upstream, it) in &in_progress {
            self.peers_total.entry(*upstream).or_default().add(*it);
        }
        let previous = self.peer_loads.insert(peer, PeerLoad { received_ms: now_ms, in_progress });
        let is_expired =
            |_: &u64, it: &mut PeerLoad| PEER_LOAD_TTL_MS < now_ms.saturating_sub(it.received_ms);
        let expired: Vec<_> = self.peer_loads.extract_if(is_expired).map(|it| it.1).collect();
        for report in previous.into_iter().chain(expired) {
            self.subtract(&report);
        }
    }

    /// Records the total load at the upstreams that the reports of the peers do not name. `n_upstreams` is the number of
    /// all upstreams.
    pub fn set_unnamed_loads(&mut self, total: Option<UnnamedLoads>, n_upstreams: usize) {
        let n_unnamed = n_upstreams.saturating_sub(self.peers_total.len()).max(1) as f64;
        self.unnamed_mean = total.map(|it| {
            [it.n_requests, it.n_waiting, it.waiting_tokens].map(|it| it as f64 / n_unnamed)
        });
    }

    /// Returns the requests in progress from the peers at an upstream. For an upstream that they do not name, this is the
    /// mean, rounded up or down by the hash so that the sum over the upstreams stays.
    fn peers_in_progress(&self, hash: u32) -> InProgress {
        if let Some(it) = self.peers_total.get(&hash) {
            return *it;
        }
        let Some(mean) = self.unnamed_mean else { return InProgress::default() };
        let threshold = f64::from(hash) / f64::from(u32::MAX);
        let [n_requests, n_waiting, waiting_tokens] = mean.map(|it| (it + threshold) as u32);
        InProgress { n_requests, n_waiting, waiting_tokens }
    }

    fn subtract(&mut self, report: &PeerLoad) {
        for (upstream, it) in &report.in_progress {
            if let Some(sum) = self.peers_total.get_mut(upstream) {
                sum.subtract(*it);
                if *sum == InProgress::default() {
                    self.peers_total.remove(upstream);
                }
            }
        }
    }

    /// Returns the number of requests in progress at an upstream from all nodes, as known to this node.
    pub fn n_requests(&self, upstream: &UpstreamName, now_ms: u64) -> u32 {
        match self.upstreams.get(upstream) {
            Some(state) => self.n_requests_at(state, now_ms),
            None => self.in_progress(upstream).n_requests,
        }
    }

    /// Returns the load of an upstream beside a request with `uncached_tokens` that is counted there.
    ///
    /// An engine reads the prompts in its slots in turns, a chunk of each. A prompt therefore waits for as many tokens
    /// of each other prompt as it has itself, but not for prompts that have no slot.
    pub fn load_beside(&self, entry: &UpstreamEntry, uncached_tokens: u32, now_ms: u64) -> Chosen {
        let it = self.in_progress(&entry.id);
        let n_reading = it.n_waiting.clamp(1, entry.slots.max(1));
        let tokens = u64::from(uncached_tokens) * u64::from(n_reading);
        let tokens = tokens.min(u64::from(it.waiting_tokens));
        let n_requests = self.n_requests(&entry.id, now_ms);
        Chosen {
            n_requests: n_requests.saturating_sub(1),
            slots: entry.slots,
            first_token_ms: self.estimate_ms(tokens, n_requests.min(entry.slots)),
        }
    }

    /// Returns the sums of slots and requests over upstreams, from all nodes, as known to this node.
    pub fn capacity<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a Upstream>,
        now_ms: u64,
    ) -> Capacity {
        let mut sum = Capacity::default();
        for Upstream { entry, .. } in upstreams {
            let n_requests = self.n_requests(&entry.id, now_ms);
            sum.n_slots += entry.slots;
            sum.n_free_slots += entry.slots.saturating_sub(n_requests);
            sum.n_queued += n_requests.saturating_sub(entry.slots);
        }
        sum
    }

    /// Returns the number of requests at an upstream whose response has started, from all nodes, as known to this node.
    /// Unlike the number of requests in progress, it does not grow with the time that prompts wait.
    pub fn n_running(&self, upstream: &UpstreamName) -> u32 {
        let it = self.in_progress(upstream);
        it.n_requests.saturating_sub(it.n_waiting)
    }

    /// Returns the number of this node's requests at an upstream whose response has not started.
    pub fn n_unanswered(&self, upstream: &UpstreamName) -> u32 {
        self.upstreams.get(upstream).map_or(0, |it| it.local.n_waiting)
    }

    /// Returns the number of prompt tokens that wait at an upstream from all nodes, as known to this node.
    pub fn waiting_tokens(&self, upstream: &UpstreamName) -> u64 {
        u64::from(self.in_progress(upstream).waiting_tokens)
    }

    /// Returns the expected time to the first token of a prompt with `uncached_tokens` at an upstream, in milliseconds.
    pub fn expected_first_token_ms(
        &self,
        upstream: &UpstreamName,
        uncached_tokens: u64,
        now_ms: u64,
    ) -> f64 {
        if let Some(expected_ms) = self.paced_first_token_ms(upstream, uncached_tokens, now_ms) {
            return expected_ms;
        }
        let n_requests = self.n_requests(upstream, now_ms);
        self.estimate_ms(self.waiting_tokens(upstream) + uncached_tokens, n_requests)
    }

    fn estimate_ms(&self, waiting_tokens: u64, n_requests: u32) -> f64 {
        waiting_tokens as f64 * self.prefill_ms_per_token
            + f64::from(n_requests) * self.settings.per_request_ms
    }

    fn n_requests_at(&self, state: &UpstreamState, now_ms: u64) -> u32 {
        let known = self.in_progress_at(state).n_requests;
        let reported =
            state.reported.filter(|it| now_ms.saturating_sub(it.1) <= REPORTED_LOAD_TTL_MS);
        known.max(reported.map_or(0, |it| it.0.n_running + it.0.n_waiting))
    }

    /// Returns the cost of a model engine for a prompt, with the expected uncached tokens. `hash_rank` is the position
    /// of the engine in the hash order of the prompt, if the engine is compared for that reason.
    fn engine_cost(
        &self,
        prompt: &Prompt,
        upstream: &Upstream,
        state: &UpstreamState,
        hash_rank: Option<usize>,
        now_ms: u64,
    ) -> (f64, u32) {
        let cached = state.cached_tokens(prompt);
        let unconfirmed_shared = prompt.shared_tokens().saturating_sub(cached);
        let hit_probability = hash_rank
            .map_or(0.0, |it| self.settings.affinity_hit_probability / f64::from(1_u32 << it));
        let expected_cached = hit_probability * unconfirmed_shared as f64;
        let uncached = prompt.input_tokens.saturating_sub(cached) as f64 - expected_cached;
        let uncached = uncached.max(0.0) as u64;
        if let Some(factor) = self.time_factor(&upstream.entry.service, state, now_ms) {
            let cost = self.paced_engine_cost(uncached, upstream, state, factor, now_ms);
            return (cost, uncached as u32);
        }
        let n_requests = self.n_requests_at(state, now_ms);
        let n_over_slots = n_requests.saturating_sub(upstream.entry.slots.saturating_sub(1));
        let slot_wait_ms = f64::from(n_over_slots) * 100.0;
        let work_ms = uncached as f64 * self.prefill_ms_per_token;
        let waiting_tokens = u64::from(self.in_progress_at(state).waiting_tokens);
        let cost = self.estimate_ms(waiting_tokens + uncached, n_requests)
            + self.settings.prefill_work_weight * work_ms
            + slot_wait_ms
            + self.settings.failure_penalty_ms * state.failure_rate
            + self.zone_cost(upstream);
        (cost, uncached as u32)
    }

    fn plain_cost(&self, upstream: &Upstream, state: &UpstreamState, now_ms: u64) -> f64 {
        if let Some(factor) = self.time_factor(&upstream.entry.service, state, now_ms) {
            return self.paced_plain_cost(upstream, state, factor, now_ms);
        }
        let n_requests = f64::from(self.n_requests_at(state, now_ms));
        let requests_per_slot = n_requests / f64::from(upstream.entry.slots.max(1));
        10.0 * requests_per_slot
            + 30.0 * (requests_per_slot - 1.0).max(0.0)
            + PLAIN_FAILURE_COST * state.failure_rate
            + self.zone_cost(upstream)
    }

    fn zone_cost(&self, upstream: &Upstream) -> f64 {
        if upstream.entry.zone == self.zone { 0.0 } else { self.settings.cross_zone_penalty_ms }
    }

    fn reserve(
        &mut self,
        id: &UpstreamName,
        prompt: Option<&Prompt>,
        uncached_tokens: u32,
    ) -> Assignment {
        let was_queue_empty = self.waiting_tokens(id) == 0;
        let state = self.entry(id);
        state.local.add(InProgress {
            n_requests: 1,
            n_waiting: 1,
            waiting_tokens: uncached_tokens,
        });
        for segment in prompt.iter().flat_map(|it| &it.segments) {
            state.cached_segments.put(segment.id, ());
        }
        Assignment { upstream: id.clone(), uncached_tokens, is_waiting: true, was_queue_empty }
    }

    fn in_progress(&self, upstream: &UpstreamName) -> InProgress {
        match self.upstreams.get(upstream) {
            Some(state) => self.in_progress_at(state),
            None => self.peers_in_progress(upstream_hash(upstream)),
        }
    }

    fn in_progress_at(&self, state: &UpstreamState) -> InProgress {
        let mut sum = state.local;
        sum.add(self.peers_in_progress(state.hash));
        sum
    }

    fn entry(&mut self, id: &UpstreamName) -> &mut UpstreamState {
        let cached_segments_max = self.settings.cached_segments_max;
        self.upstreams
            .entry(id.clone())
            .or_insert_with(|| UpstreamState::new(upstream_hash(id), cached_segments_max))
    }
}

/// Returns the hash that stands for an upstream in reports between nodes.
pub fn upstream_hash(id: &UpstreamName) -> u32 {
    xxh3_64(id.as_str().as_bytes()) as u32
}

fn tokens_of(prompt: Option<&Prompt>) -> u32 {
    prompt.map_or(0, |it| it.input_tokens as u32)
}

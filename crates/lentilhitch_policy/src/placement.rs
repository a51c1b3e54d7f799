//! Which upstream gets a request, from what this node and its peers sent and what answers told.
//!
//! A model engine is chosen by the expected time to the first token: the prompt tokens that wait there, the part of the
//! prompt that it probably doesn't have cached, and the slowing of each step by the requests that run. Requests with a
//! common prefix agree on an order of upstreams by rendezvous hashing of that prefix, so that nodes use the same caches
//! without telling each other. A plain service is chosen by the requests in progress for each slot. Upstreams that
//! failed lately are left out for a while, unless all did.

use std::num::NonZeroUsize;

use lru::LruCache;
use rand::Rng;
use rustc_hash::{FxBuildHasher, FxHashMap};
use xxhash_rust::xxh3::xxh3_64;

use lentilhitch_types::{UpstreamName, Zone};

use crate::catalog::Upstream;

mod choice;

pub use choice::Strategy;
use choice::{COMPARED_MAX, add_random, first_in_hash_order};

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// The prompt of a request as parts that others may share; the last part is its own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    pub parts: Vec<PromptPart>,
    pub input_tokens: u64,
    pub output_tokens_max: u64,
}

impl Prompt {
    /// What the last shared part is known by; requests of one session have it in common.
    fn affinity(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].last().or(self.parts.last()).map_or(0, |it| it.id)
    }

    fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|it| u64::from(it.tokens)).sum()
    }
}

/// How upstreams are weighed.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub strategy: Strategy,
    /// Upstreams that are compared for a prompt since they come first in its hash order.
    pub hash_choices: usize,
    /// Upstreams that are compared beside, drawn at random.
    pub random_choices: usize,
    /// Used until the engines' own speed has been measured.
    pub prefill_ms_per_token: f64,
    /// What a token that is read costs beside the wait for it, since it delays the requests that come after.
    pub work_weight: f64,
    /// How much each running request delays a newcomer, and so do its tokens the running ones.
    pub running_ms: f64,
    /// The chance that the first upstream in the hash order has a shared prefix that this node has not sent there; half
    /// of it for each next one.
    pub affinity_hit: f64,
    /// What an answer from another zone costs more, in milliseconds of waiting.
    pub cross_zone_ms: f64,
    /// What a certain failure costs, in milliseconds of waiting.
    pub failure_ms: f64,
    /// How long an upstream is left out after its first failure to connect; doubled up to the maximum.
    pub avoid_min_ms: u64,
    pub avoid_max_ms: u64,
    /// Cached parts that are remembered for each upstream.
    pub parts_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            strategy: Strategy::default(),
            hash_choices: 3,
            random_choices: 2,
            prefill_ms_per_token: 0.02,
            work_weight: 1.0,
            running_ms: 2.0,
            affinity_hit: 0.7,
            cross_zone_ms: 2.0,
            failure_ms: 1_500.0,
            avoid_min_ms: 300,
            avoid_max_ms: 3_000,
            parts_max: 4_096,
        }
    }
}

/// What a node has in progress at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InProgress {
    pub n_requests: u32,
    /// Those of them that have no first answer yet.
    pub n_waiting: u32,
    /// The prompt tokens of those.
    pub waiting_tokens: u32,
}

/// The load that an upstream told with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ToldLoad {
    pub n_running: u32,
    pub n_waiting: u32,
}

/// How a try at an upstream ended, for the purpose of choosing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryResult {
    Served,
    /// The upstream was full.
    Full,
    /// It answered with a failure, broke off or kept silent.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// The client left first; this says nothing of the upstream.
    Left,
}

/// A place taken at an upstream; given back by [`Board::end`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placed {
    pub upstream: UpstreamName,
    pub uncached_tokens: u32,
    is_waiting: bool,
    /// No other prompt waited there.
    is_alone: bool,
}

impl InProgress {
    fn add(&mut self, other: Self) {
        self.n_requests += other.n_requests;
        self.n_waiting += other.n_waiting;
        self.waiting_tokens += other.waiting_tokens;
    }

    fn subtract(&mut self, other: Self) {
        self.n_requests = self.n_requests.saturating_sub(other.n_requests);
        self.n_waiting = self.n_waiting.saturating_sub(other.n_waiting);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(other.waiting_tokens);
    }
}

#[derive(Debug)]
struct Place {
    /// By hash of the upstream's name.
    hash: u32,
    own: InProgress,
    told: Option<(ToldLoad, u64)>,
    parts: LruCache<u64, (), FxBuildHasher>,
    /// The smoothed share of failed tries.
    failure_share: f64,
    n_unreachable: u32,
    avoid_until_ms: u64,
}

impl Place {
    fn new(hash: u32, parts_max: usize) -> Self {
        let parts_max = NonZeroUsize::new(parts_max).unwrap_or(NonZeroUsize::MIN);
        Self {
            hash,
            own: InProgress::default(),
            told: None,
            parts: LruCache::with_hasher(parts_max, FxBuildHasher),
            failure_share: 0.0,
            n_unreachable: 0,
            avoid_until_ms: 0,
        }
    }

    fn cached_tokens(&self, prompt: &Prompt) -> u64 {
        let cached = prompt.parts.iter().take_while(|it| self.parts.contains(&it.id));
        cached.map(|it| u64::from(it.tokens)).sum()
    }
}

/// When a peer reported, and what it has in progress by hash of the upstream's name.
#[derive(Debug, Default)]
struct PeerReport {
    heard_ms: u64,
    in_progress: Vec<(u32, InProgress)>,
}

/// All that a node knows for choosing.
#[derive(Debug)]
pub struct Board {
    settings: Settings,
    zone: Zone,
    n_placed: usize,
    places: FxHashMap<UpstreamName, Place>,
    peers: FxHashMap<u64, PeerReport>,
    /// The sum of the peers' reports, kept up with each of them, so that a request doesn't cost a look at every peer.
    peers_sum: FxHashMap<u32, InProgress>,
    /// The median of what prompts took that had an engine nearly to themselves.
    prefill_ms_per_token: f64,
}

/// A peer's report is forgotten after this; a few report intervals.
const PEER_REPORT_KEPT_MS: u64 = 5_000;
/// Shorter prompts tell little of an engine's speed.
const MEASURED_TOKENS_MIN: u32 = 2_000;
/// The step of the followed median, as a part of it.
const MEDIAN_STEP: f64 = 0.02;
/// The weight of the newest result in smoothed shares.
const SMOOTHING: f64 = 0.15;
/// How long a told load counts.
const TOLD_KEPT_MS: u64 = 400;

impl Board {
    /// A node that has sent nothing yet.
    pub fn new(settings: Settings, zone: Zone) -> Self {
        Self {
            settings,
            zone,
            n_placed: 0,
            places: FxHashMap::default(),
            peers: FxHashMap::default(),
            peers_sum: FxHashMap::default(),
            prefill_ms_per_token: settings.prefill_ms_per_token,
        }
    }

    /// Chooses an upstream and takes a place there. `excluded` were tried before for this request.
    pub fn place<'a>(
        &mut self,
        prompt: Option<&Prompt>,
        candidates: impl Iterator<Item = &'a Upstream>,
        excluded: &[UpstreamName],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<Placed> {
        let candidates: Vec<_> = candidates.filter(|it| !excluded.contains(&it.entry.id)).collect();
        for it in &candidates {
            if !self.places.contains_key(&it.entry.id) {
                self.ensure(&it.entry.id);
            }
        }
        let mut pool: Vec<_> =
            candidates.into_iter().map(|it| (it, &self.places[&it.entry.id])).collect();
        let is_open = |it: &(&Upstream, &Place)| it.1.avoid_until_ms <= now_ms;
        if pool.iter().any(is_open) {
            pool.retain(is_open);
        }
        let (upstream, uncached_tokens) = match self.settings.strategy {
            Strategy::Cost => self.least_cost(prompt, &pool, now_ms, rng)?,
            strategy => (self.baseline(strategy, &pool, now_ms, rng)?, tokens_of(prompt)),
        };
        let id = upstream.entry.id.clone();
        self.n_placed += 1;
        Some(self.take(&id, prompt, uncached_tokens))
    }

    /// The cheapest of the few that are compared.
    fn least_cost<'a>(
        &self,
        prompt: Option<&Prompt>,
        pool: &[(&'a Upstream, &Place)],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<(&'a Upstream, u32)> {
        let hash_choices = self.settings.hash_choices.min(COMPARED_MAX);
        let random_choices = self.settings.random_choices.clamp(1, COMPARED_MAX);
        let hashes = pool.iter().map(|it| it.1.hash);
        let mut compared = match prompt {
            Some(it) => first_in_hash_order(it.affinity(), hashes, hash_choices),
            None => Vec::new(),
        };
        add_random(&mut compared, pool.len(), random_choices, rng);
        let costs = compared.into_iter().enumerate().map(|(rank, idx)| {
            let (upstream, place) = pool[idx];
            let (cost, uncached_tokens) = match prompt {
                Some(it) => {
                    let rank = (rank < hash_choices).then_some(rank);
                    self.engine_cost(it, upstream, place, rank, now_ms)
                }
                None => (self.plain_cost(upstream, place, now_ms), 0),
            };
            (cost, upstream, uncached_tokens)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((best.1, best.2))
    }

    fn baseline<'a>(
        &self,
        strategy: Strategy,
        pool: &[(&'a Upstream, &Place)],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<&'a Upstream> {
        let mut compared = Vec::new();
        match strategy {
            Strategy::RoundRobin => compared.push(self.n_placed % pool.len().max(1)),
            Strategy::Random => add_random(&mut compared, pool.len(), 1, rng),
            Strategy::TwoChoices => add_random(&mut compared, pool.len(), 2, rng),
            Strategy::Cost | Strategy::LeastReported => {
                add_random(&mut compared, pool.len(), pool.len(), rng);
            }
        }
        let compared = compared.into_iter().filter_map(|it| pool.get(it));
        compared.min_by_key(|it| self.n_requests_at(it.1, now_ms)).map(|it| it.0)
    }

    /// The first answer came.
    pub fn began(&mut self, placed: &mut Placed) {
        if std::mem::take(&mut placed.is_waiting)
            && let Some(place) = self.places.get_mut(&placed.upstream)
        {
            let own = &mut place.own;
            own.n_waiting = own.n_waiting.saturating_sub(1);
            own.waiting_tokens = own.waiting_tokens.saturating_sub(placed.uncached_tokens);
        }
    }

    /// The try ended; gives the place back.
    pub fn end(&mut self, mut placed: Placed, result: TryResult, now_ms: u64) {
        self.began(&mut placed);
        let settings = self.settings;
        let Some(place) = self.places.get_mut(&placed.upstream) else { return };
        place.own.n_requests = place.own.n_requests.saturating_sub(1);
        let failed =
            f64::from(u8::from(matches!(result, TryResult::Failed | TryResult::Unreachable)));
        if !matches!(result, TryResult::Full | TryResult::Left) {
            place.failure_share += SMOOTHING * (failed - place.failure_share);
        }
        if result == TryResult::Unreachable {
            let avoid_ms = settings.avoid_min_ms << place.n_unreachable.min(8);
            place.avoid_until_ms = now_ms + avoid_ms.min(settings.avoid_max_ms);
            place.n_unreachable += 1;
        } else if result == TryResult::Served {
            place.n_unreachable = 0;
        }
    }

    /// Takes the load that an answer told.
    pub fn tell(&mut self, upstream: &UpstreamName, load: ToldLoad, now_ms: u64) {
        self.ensure(upstream).told = Some((load, now_ms));
    }

    /// Takes the time to the first token. Only prompts that were long and had the engine nearly to themselves measure its
    /// speed; the median is followed by small steps.
    pub fn measure(&mut self, placed: &Placed, first_token_ms: u64) {
        if placed.uncached_tokens < MEASURED_TOKENS_MIN || !placed.is_alone {
            return;
        }
        let sample = first_token_ms as f64 / f64::from(placed.uncached_tokens);
        let step = self.prefill_ms_per_token * MEDIAN_STEP;
        self.prefill_ms_per_token += if sample < self.prefill_ms_per_token { -step } else { step };
    }

    /// Prompt tokens that an engine reads a second when it does nothing else.
    pub fn prefill_tokens_per_s(&self) -> f64 {
        1000.0 / self.prefill_ms_per_token
    }

    /// An upstream began a new life or is gone: what was known of it is void.
    pub fn forget(&mut self, upstream: &UpstreamName) {
        if let Some(place) = self.places.remove(upstream)
            && 0 < place.own.n_requests
        {
            // Requests in progress still give their places back.
            self.ensure(upstream).own = place.own;
        }
    }

    /// Forgets upstreams that are gone and empty.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamName) -> bool) {
        self.places.retain(|id, it| 0 < it.own.n_requests || is_listed(id));
    }

    /// What this node has in progress, by hash of the upstream's name.
    pub fn report(&self) -> Vec<(u32, InProgress)> {
        let busy = self.places.iter().filter(|it| 0 < it.1.own.n_requests);
        busy.map(|(id, it)| (upstream_hash(id), it.own)).collect()
    }

    /// Takes a peer's report.
    pub fn hear(&mut self, peer: u64, in_progress: Vec<(u32, InProgress)>, now_ms: u64) {
        for (upstream, it) in &in_progress {
            self.peers_sum.entry(*upstream).or_default().add(*it);
        }
        let former = self.peers.insert(peer, PeerReport { heard_ms: now_ms, in_progress });
        let is_old =
            |_: &u64, it: &mut PeerReport| PEER_REPORT_KEPT_MS < now_ms.saturating_sub(it.heard_ms);
        let lapsed: Vec<_> = self.peers.extract_if(is_old).map(|it| it.1).collect();
        for report in former.into_iter().chain(lapsed) {
            self.subtract(&report);
        }
    }

    fn subtract(&mut self, report: &PeerReport) {
        for (upstream, it) in &report.in_progress {
            if let Some(sum) = self.peers_sum.get_mut(upstream) {
                sum.subtract(*it);
                if *sum == InProgress::default() {
                    self.peers_sum.remove(upstream);
                }
            }
        }
    }

    /// Requests in progress at an upstream, by all nodes as far as known.
    pub fn n_requests(&self, upstream: &UpstreamName, now_ms: u64) -> u32 {
        match self.places.get(upstream) {
            Some(place) => self.n_requests_at(place, now_ms),
            None => self.in_progress(upstream).n_requests,
        }
    }

    /// Requests at an upstream that have had a first answer, by all nodes as far as known. Unlike those in progress they
    /// don't grow in number with the time that prompts wait.
    pub fn n_running(&self, upstream: &UpstreamName) -> u32 {
        let it = self.in_progress(upstream);
        it.n_requests.saturating_sub(it.n_waiting)
    }

    /// Prompt tokens that wait at an upstream, by all nodes as far as known.
    pub fn waiting_tokens(&self, upstream: &UpstreamName) -> u64 {
        u64::from(self.in_progress(upstream).waiting_tokens)
    }

    /// The expected time to the first token of so many uncached tokens at an upstream, in milliseconds.
    pub fn first_token_ms(
        &self,
        upstream: &UpstreamName,
        uncached_tokens: u64,
        now_ms: u64,
    ) -> f64 {
        let n_requests = self.n_requests(upstream, now_ms);
        self.expected_ms(self.waiting_tokens(upstream) + uncached_tokens, n_requests)
    }

    fn expected_ms(&self, waiting_tokens: u64, n_requests: u32) -> f64 {
        waiting_tokens as f64 * self.prefill_ms_per_token
            + f64::from(n_requests) * self.settings.running_ms
    }

    fn n_requests_at(&self, place: &Place, now_ms: u64) -> u32 {
        let sent = self.in_progress_at(place).n_requests;
        let told = place.told.filter(|it| now_ms.saturating_sub(it.1) <= TOLD_KEPT_MS);
        sent.max(told.map_or(0, |it| it.0.n_running + it.0.n_waiting))
    }

    fn engine_cost(
        &self,
        prompt: &Prompt,
        upstream: &Upstream,
        place: &Place,
        rank: Option<usize>,
        now_ms: u64,
    ) -> (f64, u32) {
        let cached = place.cached_tokens(prompt);
        let unknown_shared = prompt.shared_tokens().saturating_sub(cached);
        let hit = rank.map_or(0.0, |it| self.settings.affinity_hit / f64::from(1_u32 << it));
        let guessed = hit * unknown_shared as f64;
        let uncached = prompt.input_tokens.saturating_sub(cached) as f64 - guessed;
        let uncached = uncached.max(0.0) as u64;
        let n_requests = self.n_requests_at(place, now_ms);
        let over = n_requests.saturating_sub(upstream.entry.slots.saturating_sub(1));
        let slot_wait_ms = f64::from(over) * 100.0;
        let work_ms = uncached as f64 * self.prefill_ms_per_token;
        let waiting_tokens = u64::from(self.in_progress_at(place).waiting_tokens);
        let cost = self.expected_ms(waiting_tokens + uncached, n_requests)
            + self.settings.work_weight * work_ms
            + slot_wait_ms
            + self.settings.failure_ms * place.failure_share
            + self.zone_cost(upstream);
        (cost, uncached as u32)
    }

    fn plain_cost(&self, upstream: &Upstream, place: &Place, now_ms: u64) -> f64 {
        let n_requests = f64::from(self.n_requests_at(place, now_ms));
        let pressure = n_requests / f64::from(upstream.entry.slots.max(1));
        10.0 * pressure
            + 30.0 * (pressure - 1.0).max(0.0)
            + 40.0 * place.failure_share
            + self.zone_cost(upstream)
    }

    fn zone_cost(&self, upstream: &Upstream) -> f64 {
        if upstream.entry.zone == self.zone { 0.0 } else { self.settings.cross_zone_ms }
    }

    fn take(&mut self, id: &UpstreamName, prompt: Option<&Prompt>, uncached_tokens: u32) -> Placed {
        let is_alone = self.waiting_tokens(id) == 0;
        let place = self.ensure(id);
        place.own.add(InProgress { n_requests: 1, n_waiting: 1, waiting_tokens: uncached_tokens });
        for part in prompt.iter().flat_map(|it| &it.parts) {
            place.parts.put(part.id, ());
        }
        Placed { upstream: id.clone(), uncached_tokens, is_waiting: true, is_alone }
    }

    fn in_progress(&self, upstream: &UpstreamName) -> InProgress {
        match self.places.get(upstream) {
            Some(place) => self.in_progress_at(place),
            None => self.peers_sum.get(&upstream_hash(upstream)).copied().unwrap_or_default(),
        }
    }

    fn in_progress_at(&self, place: &Place) -> InProgress {
        let mut sum = place.own;
        sum.add(self.peers_sum.get(&place.hash).copied().unwrap_or_default());
        sum
    }

    fn ensure(&mut self, id: &UpstreamName) -> &mut Place {
        let parts_max = self.settings.parts_max;
        self.places.entry(id.clone()).or_insert_with(|| Place::new(upstream_hash(id), parts_max))
    }
}

/// A short name for an upstream in reports between nodes.
pub fn upstream_hash(id: &UpstreamName) -> u32 {
    xxh3_64(id.as_str().as_bytes()) as u32
}

fn tokens_of(prompt: Option<&Prompt>) -> u32 {
    prompt.map_or(0, |it| it.input_tokens as u32)
}

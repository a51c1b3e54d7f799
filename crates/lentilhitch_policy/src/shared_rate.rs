//! A team's rate, kept by all nodes together without asking anybody.
//!
//! Every node admits from one bucket that all of them share: it takes out what the node admitted itself and what its
//! peers admitted. Between a peer's reports it is charged what it last admitted a second, and the difference is settled
//! by its next report. A peer that has not been heard of for a while is charged its even part of the rate and of what the
//! bucket holds, and so charges us; then the sum stays at the rate while nodes are cut off from each other. The sum passes
//! the rate by no more than demand shifts between nodes from one report to the next. A node that takes much at once, or
//! anything of a bucket that is nearly empty, tells its peers at once.

use rustc_hash::FxHashMap;

use crate::traffic::TeamRate;

/// How a shared rate behaves.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The part of the burst that is used, since what is under way isn't seen.
    pub burst_fraction: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { burst_fraction: 1.0 }
    }
}

impl Settings {
    /// What the bucket of a rate holds while all nodes are in reach.
    fn bucket_capacity(self, rate: TeamRate) -> f64 {
        rate.burst * self.burst_fraction
    }
}

/// The nodes that share a rate.
#[derive(Clone, Copy, Debug)]
pub struct ClusterView {
    /// Nodes that are known to run, this one included.
    pub n_nodes: usize,
    /// A peer that was heard of within this time is charged what it said.
    pub peer_timeout_ms: u64,
    /// Whether this node is cut off from most of its peers.
    pub is_isolated: bool,
}

/// A peer is silent after so many report intervals, since single reports get lost, and some time for delays.
const PEER_TIMEOUT_INTERVALS: u64 = 2;
const PEER_TIMEOUT_SLACK_MS: u64 = 300;

impl ClusterView {
    /// Weighs how long ago each peer was heard of. One that hears less than half of its peers for somewhat longer than an
    /// interval is cut off itself: then all that it doesn't hear are silent to it, without further waiting.
    pub fn new(n_nodes: usize, interval_ms: u64, ages_ms: impl Iterator<Item = u64>) -> Self {
        let short_timeout_ms = interval_ms + interval_ms / 4;
        let n_fresh = ages_ms.filter(|it| *it <= short_timeout_ms).count();
        let is_isolated = 2 * n_fresh + 1 < n_nodes;
        let long_timeout_ms = PEER_TIMEOUT_INTERVALS * interval_ms + PEER_TIMEOUT_SLACK_MS;
        let peer_timeout_ms = if is_isolated { short_timeout_ms } else { long_timeout_ms };
        Self { n_nodes, peer_timeout_ms, is_isolated }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    incarnation: u64,
    /// What the peer has admitted since it started.
    admitted: f64,
    last_received_ms: u64,
    /// What it admitted in a millisecond, smoothed.
    admitted_per_ms: f64,
    /// What it was charged since its last report, and up to when.
    charged: f64,
    charged_until_ms: u64,
    /// Whether it was charged its part of what the bucket held, since it fell silent.
    has_bucket_share: bool,
}

/// A node's even share of a rate.
#[derive(Clone, Copy, Debug)]
struct EqualShare {
    per_ms: f64,
    /// Of what the bucket holds.
    bucket_share: f64,
    /// Whether the charging node is cut off from most of its peers.
    is_isolated: bool,
}

impl Peer {
    /// Charges the peer for the time since it was last charged: what it used to admit, or the even share if it is silent.
    fn charge(&mut self, unresponsive: Option<EqualShare>, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.charged_until_ms) as f64;
        let mut charge = unresponsive.map_or(self.admitted_per_ms, |it| it.per_ms) * elapsed_ms;
        if let Some(equal_share) = unresponsive
            && !std::mem::replace(&mut self.has_bucket_share, true)
        {
            charge += equal_share.bucket_share;
            if !equal_share.is_isolated {
                // Until now it was charged what it used to admit, and may have admitted its even part.
                let unreported_ms =
                    self.charged_until_ms.saturating_sub(self.last_received_ms) as f64;
                charge += (equal_share.per_ms - self.admitted_per_ms).max(0.0) * unreported_ms;
            }
        }
        self.charged_until_ms = now_ms;
        self.charged += charge;
        charge
    }
}

/// What accrues in the first second of a process is left to those that it has not heard of yet.
const START_DELAY_MS: u64 = 1_000;

/// The time constant of a peer's smoothed rate; a few requests of a large team.
const SMOOTHING_MS: f64 = 2_000.0;
/// Below this part of the bucket every request is told at once: all nodes wait for what comes in, and would take it twice.
const LOW_LEVEL_FRACTION: f64 = 0.25;

/// The bucket of one team.
#[derive(Clone, Debug)]
pub struct SharedRate {
    settings: Settings,
    rate: TeamRate,
    level: f64,
    /// What the bucket can hold at present.
    capacity: f64,
    filled_ms: u64,
    admitted: f64,
    /// What the peers were told last.
    reported: f64,
    n_nodes: usize,
    peers: FxHashMap<u64, Peer>,
}

impl SharedRate {
    /// A bucket that holds what has accrued while this process is_running: what was admitted before its start isn't known, and
    /// many processes may start at once.
    pub fn new(settings: Settings, rate: TeamRate, running_ms: u64, now_ms: u64) -> Self {
        let accrued = rate.per_s * running_ms.saturating_sub(START_DELAY_MS) as f64 / 1000.0;
        let capacity = settings.bucket_capacity(rate);
        Self {
            settings,
            rate,
            level: accrued.min(capacity),
            capacity,
            filled_ms: now_ms,
            admitted: 0.0,
            reported: 0.0,
            n_nodes: 1,
            peers: FxHashMap::default(),
        }
    }

    /// Changes the rate; a lower burst holds at once.
    pub fn set_rate(&mut self, rate: TeamRate, now_ms: u64) {
        self.fill(now_ms, None);
        self.rate = rate;
        self.capacity = self.settings.bucket_capacity(rate);
        self.level = self.level.min(self.capacity);
    }

    /// What this node has admitted since it started.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// The peers are being told what this node has admitted.
    pub fn report(&mut self) -> f64 {
        self.reported = self.admitted;
        self.admitted
    }

    /// Whether the peers should be told at once: this node took more than its even part of the bucket since it told
    /// them, or anything of a bucket that is nearly empty. The sum can't pass the rate by much more than that.
    pub fn needs_urgent_report(&self) -> bool {
        let unreported = self.admitted - self.reported;
        let is_low = self.level < self.capacity * LOW_LEVEL_FRACTION;
        0.0 < unreported && (is_low || self.capacity < unreported * self.n_nodes as f64)
    }

    /// Takes what a peer has admitted since it started.
    pub fn handle_report(&mut self, peer: u64, incarnation: u64, admitted: f64, now_ms: u64) {
        let Some(known) = self.peers.get_mut(&peer) else {
            // What it admitted before this node knew of it is not this node's to charge.
            let known = Peer {
                incarnation,
                admitted,
                last_received_ms: now_ms,
                charged_until_ms: now_ms,
                ..Peer::default()
            };
            self.peers.insert(peer, known);
            return;
        };
        let reported_before = if known.incarnation == incarnation { known.admitted } else { 0.0 };
        let new = (admitted - reported_before).max(0.0);
        let elapsed_ms = now_ms.saturating_sub(known.last_received_ms).max(1) as f64;
        let per_ms = new / elapsed_ms;
        if known.has_bucket_share {
            // What a silent peer left of its part is not taken back: all nodes would take it at the same time.
            known.admitted_per_ms = per_ms;
            self.level += (known.charged - new).min(0.0);
        } else {
            known.admitted_per_ms +=
                (1.0 - (-elapsed_ms / SMOOTHING_MS).exp()) * (per_ms - known.admitted_per_ms);
            self.level += known.charged - new;
        }
        let admitted = reported_before + new;
        *known = Peer {
            incarnation,
            admitted,
            last_received_ms: now_ms,
            charged: 0.0,
            charged_until_ms: now_ms,
            has_bucket_share: false,
            ..*known
        };
    }

    /// Admits a request of this cost, or says in how many milliseconds there may be room.
    pub fn try_admit(&mut self, cost: f64, view: ClusterView, now_ms: u64) -> Result<(), u64> {
        self.fill(now_ms, Some(view));
        // A request larger than the bucket passes when the bucket is capacity.
        let capacity = self.capacity;
        if cost.min(capacity) <= self.level {
            self.level -= cost;
            self.admitted += cost;
            return Ok(());
        }
        if self.rate.per_s <= 0.0 {
            return Err(u64::MAX);
        }
        Err(((cost.min(capacity) - self.level) / self.rate.per_s * 1000.0).ceil() as u64)
    }

    /// Takes the cost of a request that runs once more. It was admitted before, so it isn't refused now; later ones pay.
    pub fn charge_repeat(&mut self, cost: f64) {
        self.level -= cost;
        self.admitted += cost;
    }

    /// Puts back what a request took that did not run after all. The peers are not told, so they stay on the safe side.
    pub fn refund(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.capacity);
    }

    fn fill(&mut self, now_ms: u64, view: Option<ClusterView>) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        let per_ms = self.rate.per_s / 1000.0;
        self.level += per_ms * elapsed_ms as f64;
        let n_nodes = view.map_or(self.peers.len() + 1, |it| it.n_nodes.max(1));
        self.n_nodes = n_nodes;
        let equal_per_ms = per_ms / n_nodes as f64;
        let peer_timeout_ms = view.map_or(u64::MAX, |it| it.peer_timeout_ms);
        // Nodes that are known to run but said nothing yet are charged like silent ones.
        let mut n_unresponsive = n_nodes.saturating_sub(1 + self.peers.len());
        self.level -= equal_per_ms * n_unresponsive as f64 * elapsed_ms as f64;
        let is_isolated = view.is_some_and(|it| it.is_isolated);
        // While most are in reach, a silent one may have had its part of a capacity bucket. One that is cut off itself
        // leaves the others their part of what it knows of.
        let divided =
            if is_isolated { self.level.min(self.capacity).max(0.0) } else { self.capacity };
        let equal_share = EqualShare {
            per_ms: equal_per_ms,
            bucket_share: divided / n_nodes as f64,
            is_isolated,
        };
        for peer in self.peers.values_mut() {
            let is_unresponsive = peer_timeout_ms < now_ms.saturating_sub(peer.last_received_ms);
            n_unresponsive += usize::from(is_unresponsive);
            self.level -= peer.charge(is_unresponsive.then_some(equal_share), now_ms);
        }
        let responsive_fraction =
            n_nodes.saturating_sub(n_unresponsive).max(1) as f64 / n_nodes as f64;
        self.capacity = self.settings.bucket_capacity(self.rate) * responsive_fraction;
        self.level = self.level.min(self.capacity);
    }

    /// Forgets peers that no longer run.
    pub fn retain_peers(&mut self, is_running: impl Fn(u64) -> bool) {
        self.peers.retain(|peer, _| is_running(*peer));
    }
}

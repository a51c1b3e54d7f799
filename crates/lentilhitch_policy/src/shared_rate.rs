//! Rate limit of a team over all nodes, enforced without a round trip to another node.
//!
//! Every node keeps a copy of one token bucket that all of them share, and withdraws both what it admits itself and
//! what its peers admit. Between two reports of a peer, the bucket is charged at the rate at which the peer last
//! admitted requests, and the next report settles the difference. A peer that has been unresponsive for a while is
//! charged its equal share of the rate and of the content of the bucket. The peer charges this node in the same way, so
//! the total stays at the rate while nodes are cut off from each other. The total exceeds the rate by no more than
//! demand shifts between nodes from one report to the next. A node that admits much at once, or anything from a bucket
//! that is nearly empty, reports to its peers immediately.

use rustc_hash::FxHashMap;

use crate::traffic::TeamRate;

/// Settings of a shared rate.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Fraction of the burst that is used. A fraction below 1 leaves room for admissions whose reports are still in
    /// transit.
    pub burst_fraction: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { burst_fraction: 1.0 }
    }
}

impl Settings {
    /// Returns the capacity of the bucket while all nodes are reachable.
    fn bucket_capacity(self, rate: TeamRate) -> f64 {
        rate.burst * self.burst_fraction
    }
}

/// The nodes that share a rate, as seen by this node.
#[derive(Clone, Copy, Debug)]
pub struct ClusterView {
    /// Number of nodes that are known to run, including this one.
    pub n_nodes: usize,
    /// Time without a report after which a peer counts as unresponsive. Before that it is charged by its own reports.
    pub peer_timeout_ms: u64,
    /// Whether this node is cut off from most of its peers.
    pub is_isolated: bool,
}

/// Number of report intervals after which a peer counts as unresponsive. More than one, since single reports get lost.
const PEER_TIMEOUT_INTERVALS: u64 = 2;
/// Time added to the timeout of a peer to allow for delays.
const PEER_TIMEOUT_SLACK_MS: u64 = 300;

impl ClusterView {
    /// Determines the timeout of a peer from the time since the last report of each peer. A node that received reports
    /// from fewer than half of its peers during the last 1.25 intervals is isolated. It then treats every peer without
    /// a report in that time as unresponsive, without waiting any longer.
    pub fn new(n_nodes: usize, interval_ms: u64, ages_ms: impl Iterator<Item = u64>) -> Self {
        let short_timeout_ms = interval_ms + interval_ms / 4;
        let n_recent = ages_ms.filter(|it| *it <= short_timeout_ms).count();
        let is_isolated = 2 * n_recent + 1 < n_nodes;
        let long_timeout_ms = PEER_TIMEOUT_INTERVALS * interval_ms + PEER_TIMEOUT_SLACK_MS;
        let peer_timeout_ms = if is_isolated { short_timeout_ms } else { long_timeout_ms };
        Self { n_nodes, peer_timeout_ms, is_isolated }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    incarnation: u64,
    /// Total cost that the peer has admitted since it started.
    admitted: f64,
    last_received_ms: u64,
    /// Cost admitted by the peer per millisecond, smoothed.
    admitted_per_ms: f64,
    /// Cost charged for the peer since its last report.
    charged: f64,
    /// The time up to which the peer was charged.
    charged_until_ms: u64,
    /// Whether the peer was charged its share of the content of the bucket since it became unresponsive.
    has_bucket_share: bool,
}

/// The equal share of a rate that an unresponsive peer is charged.
#[derive(Clone, Copy, Debug)]
struct EqualShare {
    per_ms: f64,
    /// Share of the content of the bucket.
    bucket_share: f64,
    /// Whether the charging node is cut off from most of its peers.
    is_isolated: bool,
}

impl Peer {
    /// Charges the peer for the time since it was last charged, at the rate of its reports or, if it is unresponsive,
    /// at the equal share. Returns the cost charged.
    fn charge(&mut self, unresponsive: Option<EqualShare>, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.charged_until_ms) as f64;
        let mut charge = unresponsive.map_or(self.admitted_per_ms, |it| it.per_ms) * elapsed_ms;
        if let Some(equal_share) = unresponsive
            && !std::mem::replace(&mut self.has_bucket_share, true)
        {
            charge += equal_share.bucket_share;
            if !equal_share.is_isolated {
                // Since its last report the peer was charged at its reported rate, but it may have admitted its equal
                // share.
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

/// Running time of a process that does not count towards the initial content of a bucket. The process may not have
/// received reports from all peers in its first second, and leaves what accrues in that time to them.
const START_DELAY_MS: u64 = 1_000;

/// Time constant for smoothing the rate of a peer; long enough for a few requests of a large team.
const SMOOTHING_MS: f64 = 2_000.0;
/// Fraction of the capacity below which every admitted request is reported immediately. All nodes then wait for the
/// bucket to refill, and would admit from the same refill twice.
const LOW_LEVEL_FRACTION: f64 = 0.25;

/// Shared token bucket of one team.
#[derive(Clone, Debug)]
pub struct SharedRate {
    settings: Settings,
    rate: TeamRate,
    level: f64,
    /// Current capacity; lower than the configured one while peers are unresponsive.
    capacity: f64,
    filled_ms: u64,
    admitted: f64,
    /// Value of `admitted` in the last report to the peers.
    reported: f64,
    n_nodes: usize,
    peers: FxHashMap<u64, Peer>,
}

impl SharedRate {
    /// Creates a bucket that holds what has accrued since this process started. It does not start full, since what was
    /// admitted before the start is unknown and many processes may start at the same time.
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

    /// Changes the rate. A lower burst applies immediately.
    pub fn set_rate(&mut self, rate: TeamRate, now_ms: u64) {
        self.fill(now_ms, None);
        self.rate = rate;
        self.capacity = self.settings.bucket_capacity(rate);
        self.level = self.level.min(self.capacity);
    }

    /// Returns the total cost that this node has admitted since it started.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Returns the total cost admitted by this node, for a report to the peers, and marks it as reported.
    pub fn report(&mut self) -> f64 {
        self.reported = self.admitted;
        self.admitted
    }

    /// Returns whether a report should be sent immediately. This is the case if this node has admitted more than its
    /// equal share of the capacity since its last report, or anything from a bucket that is nearly empty. The total
    /// over all nodes exceeds the rate by little more than what goes unreported.
    pub fn needs_urgent_report(&self) -> bool {
        let unreported = self.admitted - self.reported;
        let is_low = self.level < self.capacity * LOW_LEVEL_FRACTION;
        0.0 < unreported && (is_low || self.capacity < unreported * self.n_nodes as f64)
    }

    /// Handles a report of the total cost that a peer has admitted since it started.
    pub fn handle_report(&mut self, peer: u64, incarnation: u64, admitted: f64, now_ms: u64) {
        let Some(known) = self.peers.get_mut(&peer) else {
            // Cost that the peer admitted before its first report is not charged here.
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
            // The unused part of an unresponsive peer's share is not returned to the bucket: all nodes would use it at
            // the same time.
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

    /// Admits a request of this cost, or returns the number of milliseconds after which it may be admitted.
    pub fn try_admit(&mut self, cost: f64, view: ClusterView, now_ms: u64) -> Result<(), u64> {
        self.fill(now_ms, Some(view));
        // A request that costs more than the capacity is admitted when the bucket is full.
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

    /// Charges the cost of a request that runs once more. It was admitted before, so it is not rejected now, and later
    /// requests wait instead.
    pub fn charge_repeat(&mut self, cost: f64) {
        self.level -= cost;
        self.admitted += cost;
    }

    /// Returns the cost of a request that did not run after all to the bucket. Peers are not informed, so they count
    /// too much rather than too little.
    pub fn refund(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.capacity);
    }

    /// Adds what has accrued since the last call, and charges all peers for that time.
    fn fill(&mut self, now_ms: u64, view: Option<ClusterView>) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        let per_ms = self.rate.per_s / 1000.0;
        self.level += per_ms * elapsed_ms as f64;
        let n_nodes = view.map_or(self.peers.len() + 1, |it| it.n_nodes.max(1));
        self.n_nodes = n_nodes;
        let equal_per_ms = per_ms / n_nodes as f64;
        let peer_timeout_ms = view.map_or(u64::MAX, |it| it.peer_timeout_ms);
        // Nodes that are known to run but have not reported yet are charged like unresponsive ones.
        let mut n_unresponsive = n_nodes.saturating_sub(1 + self.peers.len());
        self.level -= equal_per_ms * n_unresponsive as f64 * elapsed_ms as f64;
        let is_isolated = view.is_some_and(|it| it.is_isolated);
        // While most peers are reachable, an unresponsive one may have used its share of a full bucket. An isolated
        // node leaves the others their share of the content of the bucket that it knows of.
        let divisible_level =
            if is_isolated { self.level.min(self.capacity).max(0.0) } else { self.capacity };
        let equal_share = EqualShare {
            per_ms: equal_per_ms,
            bucket_share: divisible_level / n_nodes as f64,
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

    /// Removes peers that no longer run.
    pub fn retain_peers(&mut self, is_running: impl Fn(u64) -> bool) {
        self.peers.retain(|peer, _| is_running(*peer));
    }
}

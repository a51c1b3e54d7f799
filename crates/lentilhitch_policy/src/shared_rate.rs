//! Rate limit of a team over all nodes, enforced without a round trip to another node.
//!
//! Every node keeps its own copy of one token bucket. From this copy it debits the cost of the requests that it admits
//! and the cost of the requests that the other nodes admit. These are grouped into peers: the other nodes of the own
//! zone are one peer, and each other zone is one. A periodic report states the total cost that the nodes of a peer have
//! admitted. Between two reports, a node debits for the peer at the rate that follows from the peer's earlier reports,
//! and the next report settles the difference. For a peer without a report within the timeout
//! ([`ClusterView::peer_timeout_ms`]), a node debits the equal shares of the peer's nodes in the rate and in the content
//! of the bucket. The peer does the same for this node, so the cost admitted by all nodes together stays at the rate
//! while nodes are cut off from each other. The same applies to single nodes that are known to run and that no peer counts,
//! because they have fallen silent.
//!
//! If requests shift from one node to another between two reports, the total may exceed the rate, at most by the cost
//! of the shifted requests. A node reports to its peers immediately if it has admitted more than its equal share of the
//! capacity since its last report, or anything from a bucket whose level is below 25 % of the capacity
//! ([`SharedRate::needs_urgent_report`]).

use rustc_hash::FxHashMap;

use crate::traffic::TeamRate;

/// Settings of a shared rate.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Fraction of the declared burst that is used as the capacity of the bucket. A fraction below 1 leaves room for
    /// admissions whose reports are still in transit.
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
    /// Time without a report after which a peer counts as unresponsive. Before that, debits for the peer follow its own
    /// reports.
    pub peer_timeout_ms: u64,
    /// Whether this node is cut off from most of its peers.
    pub is_isolated: bool,
}

/// Number of report intervals after which a peer counts as unresponsive. More than one, since single reports get lost.
const PEER_TIMEOUT_INTERVALS: u64 = 2;
/// Time added to the timeout of a peer to allow for delays.
const PEER_TIMEOUT_SLACK_MS: u64 = 300;

impl ClusterView {
    /// Determines the timeout of the peers from the number of nodes of each peer and the time since its last report
    /// (`peers`). A node that received reports of fewer than half of the other nodes during the last 1.25 report
    /// intervals is isolated. It then uses these 1.25 intervals as the timeout, so it does not wait any longer for the
    /// other peers. Otherwise, the timeout is `PEER_TIMEOUT_INTERVALS` report intervals and `PEER_TIMEOUT_SLACK_MS`.
    pub fn new(
        n_nodes: usize,
        interval_ms: u64,
        peers: impl Iterator<Item = (usize, u64)>,
    ) -> Self {
        let short_timeout_ms = interval_ms + interval_ms / 4;
        let n_recent: usize = peers.filter(|it| it.1 <= short_timeout_ms).map(|it| it.0).sum();
        let is_isolated = 2 * n_recent + 1 < n_nodes;
        let long_timeout_ms = PEER_TIMEOUT_INTERVALS * interval_ms + PEER_TIMEOUT_SLACK_MS;
        let peer_timeout_ms = if is_isolated { short_timeout_ms } else { long_timeout_ms };
        Self { n_nodes, peer_timeout_ms, is_isolated }
    }
}

/// Total cost that a peer has admitted.
#[derive(Clone, Copy, Debug)]
pub struct PeerReport {
    pub peer: u64,
    /// Number of nodes of the peer that have reported to it recently. Nodes that are known to run beyond these are silent.
    pub n_nodes: usize,
    /// Time without a report after which the peer no longer counts a node.
    pub silence_ms: u64,
    /// Identifies who has added the cost up. Totals of different sources do not continue each other.
    pub source: u64,
    pub admitted: f64,
    /// When the total was current.
    pub as_of_ms: u64,
}

/// What this node knows of a peer's admissions and has debited for them.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    n_nodes: usize,
    /// Number of nodes that have not fallen silent: while a new source has not had the time to hear all of them, also those
    /// that only the earlier one counted.
    n_counted: usize,
    source: u64,
    /// When the source first reported.
    source_since_ms: u64,
    /// Total cost that the peer has admitted, as counted by the source.
    admitted: f64,
    /// When the last reported total was current.
    last_received_ms: u64,
    /// Smoothed cost that the peer admits per millisecond, from its reports.
    admitted_per_ms: f64,
    /// Cost debited for the peer since its last report.
    debited: f64,
    /// Time up to which cost was debited for the peer.
    debited_until_ms: u64,
    /// Whether the peer's share of the content of the bucket was debited since the peer became unresponsive.
    is_bucket_share_debited: bool,
}

/// Equal share of one node of the rate and of the bucket, debited for each node of an unresponsive peer.
#[derive(Clone, Copy, Debug)]
struct EqualShare {
    /// Share of the rate, as cost per millisecond.
    per_ms: f64,
    /// Share of the content of the bucket, debited once.
    bucket_share: f64,
    /// Whether this node is cut off from most of its peers.
    is_isolated: bool,
}

impl EqualShare {
    /// Returns the share of several nodes together.
    fn of_nodes(self, n_nodes: usize) -> Self {
        let n_nodes = n_nodes as f64;
        let (per_ms, bucket_share) = (self.per_ms * n_nodes, self.bucket_share * n_nodes);
        Self { per_ms, bucket_share, ..self }
    }
}

impl Peer {
    /// Handles the number of nodes that a source has counted, and returns how many have fallen silent since.
    fn count(&mut self, n_nodes: usize, silence_ms: u64, as_of_ms: u64) -> usize {
        if as_of_ms < self.source_since_ms + silence_ms {
            self.n_counted = self.n_counted.max(n_nodes);
            return 0;
        }
        let n_counted = std::mem::replace(&mut self.n_counted, n_nodes);
        n_counted.saturating_sub(n_nodes)
    }

    /// Compares a reported total with the cost that was debited since the last report. Returns the cost to refund, which
    /// is negative if too little was debited.
    fn settle(&mut self, admitted: f64, as_of_ms: u64) -> f64 {
        let new = (admitted - self.admitted).max(0.0);
        let elapsed_ms = as_of_ms.saturating_sub(self.last_received_ms).max(1) as f64;
        let per_ms = new / elapsed_ms;
        self.admitted += new;
        if self.is_bucket_share_debited {
            // The part of an unresponsive peer's share that the peer did not use is not refunded, because all nodes
            // would use it at the same time.
            self.admitted_per_ms = per_ms;
            return (self.debited - new).min(0.0);
        }
        self.admitted_per_ms +=
            (1.0 - (-elapsed_ms / SMOOTHING_MS).exp()) * (per_ms - self.admitted_per_ms);
        self.debited - new
    }

    /// Returns the cost to debit for the peer for the time since the last call: at the rate of its reports or, if it is
    /// unresponsive, at the equal share. Records this cost as debited.
    fn next_debit(&mut self, unresponsive: Option<EqualShare>, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.debited_until_ms) as f64;
        let unresponsive = unresponsive.map(|it| it.of_nodes(self.n_nodes));
        let mut debit = unresponsive.map_or(self.admitted_per_ms, |it| it.per_ms) * elapsed_ms;
        if let Some(equal_share) = unresponsive
            && !std::mem::replace(&mut self.is_bucket_share_debited, true)
        {
            debit += equal_share.bucket_share;
            if !equal_share.is_isolated {
                // Since the peer's last report, cost was debited at the reported rate, but the peer may have admitted
                // its equal share.
                let unreported_ms =
                    self.debited_until_ms.saturating_sub(self.last_received_ms) as f64;
                debit += (equal_share.per_ms - self.admitted_per_ms).max(0.0) * unreported_ms;
            }
        }
        self.debited_until_ms = now_ms;
        self.debited += debit;
        debit
    }
}

/// First part of the uptime of a process, from which a new bucket gets no content. In its first second the process may
/// not have received reports from all peers, so it leaves what accrues in that time to them.
const START_DELAY_MS: u64 = 1_000;

/// Time constant for smoothing the rate at which a peer admits cost. Long enough for a few requests of a large team.
const SMOOTHING_MS: f64 = 2_000.0;
/// Time for which the nodes together admit requests in advance of the content that accrues in it, each its equal share. A
/// request that would have to wait for a few milliseconds only is not rejected.
const OVERDRAFT_MS: u64 = 20;
/// Time without a request of the team after which a report refills the bucket.
const IDLE_REFILL_INTERVAL_MS: u64 = 500;
/// Fraction of the capacity below which every admitted request is reported immediately. All nodes then wait for the
/// bucket to refill, and without the report several of them would admit requests from the same refill.
const LOW_LEVEL_FRACTION: f64 = 0.25;

/// Part of the capacity that requests which resume a stream may borrow. Without it, streams that were broken off together,
/// as all are when all nodes are lost, compete with as many new requests for an empty bucket, and most are given up.
const RESUMED_DEBT_FRACTION: f64 = 0.25;

/// This node's copy of the token bucket of one team.
#[derive(Clone, Debug)]
pub struct SharedRate {
    settings: Settings,
    rate: TeamRate,
    /// Cost that can be admitted now. Negative after a debit that exceeds the content.
    level: f64,
    /// Current capacity. Lower than the configured one while peers are unresponsive.
    capacity: f64,
    /// Time up to which the bucket was refilled.
    refilled_until_ms: u64,
    /// Total cost that this node has admitted since it started.
    admitted: f64,
    /// Value of `admitted` in the last report to the peers.
    reported: f64,
    n_nodes: usize,
    /// Number of nodes that are known to run and that no responsive peer counts.
    n_silent: usize,
    /// Cost debited for silent nodes.
    silent_debited: f64,
    /// View of the last refill.
    view: Option<ClusterView>,
    peers: FxHashMap<u64, Peer>,
}

impl SharedRate {
    /// Creates a bucket with the content that has accrued during the uptime of this process, except for its first
    /// second. The bucket is not full at the start, since the cost admitted by other nodes before is unknown and many
    /// processes may start at the same time.
    pub fn new(settings: Settings, rate: TeamRate, uptime_ms: u64, now_ms: u64) -> Self {
        let accrued = rate.per_s * uptime_ms.saturating_sub(START_DELAY_MS) as f64 / 1000.0;
        let capacity = settings.bucket_capacity(rate);
        Self {
            settings,
            rate,
            level: accrued.min(capacity),
            capacity,
            refilled_until_ms: now_ms,
            admitted: 0.0,
            reported: 0.0,
            n_nodes: 1,
            n_silent: 0,
            silent_debited: 0.0,
            view: None,
            peers: FxHashMap::default(),
        }
    }

    /// Changes the rate and the burst. Content above a lower burst is discarded immediately.
    pub fn set_rate(&mut self, rate: TeamRate, now_ms: u64) {
        self.refill(now_ms, self.view);
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
    /// equal share of the capacity since its last report, or anything while the level is below `LOW_LEVEL_FRACTION` of
    /// the capacity. The cost admitted by all nodes exceeds the rate by little more than the cost that is not reported
    /// yet.
    pub fn needs_urgent_report(&self) -> bool {
        let unreported = self.admitted - self.reported;
        let is_low = self.level < self.capacity * LOW_LEVEL_FRACTION;
        0.0 < unreported && (is_low || self.capacity < unreported * self.n_nodes as f64)
    }

    /// Handles a report of the total cost that a peer has admitted.
    pub fn handle_report(&mut self, report: PeerReport) {
        let PeerReport { peer, n_nodes, silence_ms, source, admitted, as_of_ms } = report;
        // A node that gets no requests of the team must not set off the cost in the report against content that did not
        // fit into the bucket in the meantime.
        if self.refilled_until_ms + IDLE_REFILL_INTERVAL_MS <= as_of_ms {
            self.refill(as_of_ms, self.view);
        }
        let known = self.peers.entry(peer).or_insert_with(|| {
            // Cost that the peer admitted before its first report is not debited.
            let (source_since_ms, last_received_ms) = (as_of_ms, as_of_ms);
            Peer { source, source_since_ms, admitted, last_received_ms, ..Peer::default() }
        });
        let n_before = std::mem::replace(&mut known.n_nodes, n_nodes);
        if known.source != source {
            known.source_since_ms = as_of_ms;
        }
        let n_silenced = known.count(n_nodes, silence_ms, as_of_ms) as f64;
        let n_returned = n_nodes.saturating_sub(n_before);
        let n_all = self.n_nodes.max(1) as f64;
        // A node that has fallen silent may have used its share of a full bucket, and of the rate since its last report.
        let silenced_share = self.settings.bucket_capacity(self.rate)
            + self.rate.per_s / 1_000.0 * silence_ms as f64;
        let silenced_debit = n_silenced * silenced_share / n_all;
        self.level -= silenced_debit;
        self.silent_debited += silenced_debit;
        if known.source == source {
            let settled = known.settle(admitted, as_of_ms);
            self.level += settled;
            if 0 < n_returned && 0 < self.n_silent {
                // What the returned nodes have admitted meanwhile is in the total now, and was debited before.
                let part = (n_returned as f64 / self.n_silent as f64).min(1.0);
                let debited = self.silent_debited * part;
                self.silent_debited -= debited;
                self.level += debited.min((-settled).max(0.0));
            }
        } else {
            // What was debited since the last report of the other source stands.
            known.admitted = admitted;
        }
        *known = Peer {
            source,
            last_received_ms: as_of_ms.max(known.last_received_ms),
            debited: 0.0,
            // The peer goes on admitting while the report is on its way.
            debited_until_ms: as_of_ms,
            is_bucket_share_debited: false,
            ..*known
        };
    }

    /// Admits a new request of this cost and debits the cost, or returns the number of milliseconds after which the
    /// request may be admitted.
    pub fn try_admit(&mut self, cost: f64, view: ClusterView, now_ms: u64) -> Result<(), u64> {
        self.try_admit_down_to(0.0, cost, view, now_ms)
    }

    /// Like [`Self::try_admit`], for a request that resumes a stream. It may borrow up to `RESUMED_DEBT_FRACTION` of the
    /// capacity from what accrues next, so new requests wait until it is paid back.
    pub fn try_admit_resumed(
        &mut self,
        cost: f64,
        view: ClusterView,
        now_ms: u64,
    ) -> Result<(), u64> {
        self.try_admit_down_to(RESUMED_DEBT_FRACTION, cost, view, now_ms)
    }

    fn try_admit_down_to(
        &mut self,
        debt_fraction: f64,
        cost: f64,
        view: ClusterView,
        now_ms: u64,
    ) -> Result<(), u64> {
        self.refill(now_ms, Some(view));
        // A request that costs more than the capacity is admitted when the bucket is full, and leaves a negative level.
        let cost_max = cost.min(self.capacity);
        let level = self.level + debt_fraction * self.capacity;
        let overdraft = self.rate.per_s * OVERDRAFT_MS as f64 / 1000.0 / self.n_nodes.max(1) as f64;
        if cost_max <= level + overdraft {
            self.level -= cost;
            self.admitted += cost;
            return Ok(());
        }
        if self.rate.per_s <= 0.0 {
            return Err(u64::MAX);
        }
        Err(((cost_max - level) / self.rate.per_s * 1000.0).ceil() as u64)
    }

    /// Debits the cost of an admitted request that runs once more. The request is not rejected now. Later requests wait
    /// instead.
    pub fn charge_repeat(&mut self, cost: f64) {
        self.level -= cost;
        self.admitted += cost;
    }

    /// Refunds the cost of an admitted request that did not run. Peers are not notified, so they debit too much for
    /// this node rather than too little.
    pub fn refund(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.capacity);
    }

    /// Adds the content that has accrued since the last call, and debits the cost for all peers in that time.
    fn refill(&mut self, now_ms: u64, view: Option<ClusterView>) {
        self.view = view;
        let elapsed_ms = now_ms.saturating_sub(self.refilled_until_ms);
        self.refilled_until_ms = self.refilled_until_ms.max(now_ms);
        let per_ms = self.rate.per_s / 1000.0;
        self.level += per_ms * elapsed_ms as f64;
        let n_reported = 1 + self.peers.values().map(|it| it.n_nodes).sum::<usize>();
        let n_nodes = view.map_or(n_reported, |it| it.n_nodes.max(1));
        self.n_nodes = n_nodes;
        let equal_per_ms = per_ms / n_nodes as f64;
        let peer_timeout_ms = view.map_or(u64::MAX, |it| it.peer_timeout_ms);
        // Nodes that are known to run but have not reported, or no longer do, are treated like unresponsive ones.
        self.n_silent = n_nodes.saturating_sub(n_reported);
        let mut n_unresponsive = self.n_silent;
        let silent_debit = equal_per_ms * self.n_silent as f64 * elapsed_ms as f64;
        self.level -= silent_debit;
        self.silent_debited =
            if self.n_silent == 0 { 0.0 } else { self.silent_debited + silent_debit };
        let is_isolated = view.is_some_and(|it| it.is_isolated);
        // While most peers are reachable, an unresponsive one may have used its share of a full bucket. An isolated
        // node debits for the others their share of the present content of its copy only.
        let divisible_level =
            if is_isolated { self.level.min(self.capacity).max(0.0) } else { self.capacity };
        let equal_share = EqualShare {
            per_ms: equal_per_ms,
            bucket_share: divisible_level / n_nodes as f64,
            is_isolated,
        };
        for peer in self.peers.values_mut() {
            let is_unresponsive = peer_timeout_ms < now_ms.saturating_sub(peer.last_received_ms);
            n_unresponsive += if is_unresponsive { peer.n_nodes } else { 0 };
            self.level -= peer.next_debit(is_unresponsive.then_some(equal_share), now_ms);
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

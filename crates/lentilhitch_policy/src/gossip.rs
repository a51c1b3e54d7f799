//! Exchange of state between nodes in two levels, so that its cost grows with the number of zones instead of nodes.
//!
//! A node reports to the delegates of its zone ([`nodes`]). The primary delegate adds the reports up. It sends the sums
//! of its zone to the delegates of the other zones, and to each node of its own zone a summary with the sums of all
//! zones. A standby receives the same reports and replaces a primary that falls silent.
//!
//! All values are current figures or totals that replace earlier ones. A message that is lost, repeated or reordered,
//! two primaries at once and a delegate that wakes after a freeze therefore do no harm beyond the age of the figures.
//! Nothing that requires agreement between nodes is exchanged this way.
//!
//! The interval between messages grows with the number of nodes of the zone and with the size of the summaries, so that
//! the traffic of a node stays within a budget. Urgent reports of admitted cost are passed on without waiting for it.
//!
//! A node that reads a new configuration announces it to its zone. A delegate announces it again to each node whose report
//! shows an older one, so that a lost announcement is made up for within an interval, also while the primary changes.

pub mod message;
mod nodes;
pub mod relay;
mod zone;

use std::net::SocketAddr;

use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use lentilhitch_types::Fingerprint;

use crate::{
    placement::InProgress,
    suspects::{QuarantinedRequest, segments::SegmentReport},
    upstream_limits::LimitReport,
};
use message::{
    Admitted, DutyHolder, Evidence, Loads, LocalState, Message, NodeAddress, NodeRates, NodeReport,
    Pulse, Summary, UnnamedLoads, ZoneRates, ZoneState, ZoneSummary,
};
use nodes::Nodes;
use relay::Relay;
use zone::{ZoneReports, add_demand, add_loads, limit_named};

/// Intervals and limits of the exchange.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Minimum interval between the reports of a node and between the summaries of a delegate.
    pub interval_min_ms: u64,
    /// Part of the interval for each node of the zone, so that the messages that a delegate handles in a second do not
    /// grow with the number of nodes.
    pub interval_per_node_ms: u64,
    /// Bytes per second of summaries that a node receives at most on average, in a deployment of `large_nodes` or more.
    /// With fewer nodes, a node receives in proportion more, up to `summary_bytes_per_s_max`.
    pub summary_bytes_per_s: u64,
    pub summary_bytes_per_s_max: u64,
    pub large_nodes: u64,
    /// Maximum number of busy upstreams that a summary or the state of a zone names. The work and bytes for each message would otherwise grow
    /// with the number of upstreams. At 3,000 upstreams, a summary that names all of them comes every 8 s, which is
    /// longer than its figures are valid.
    pub named_upstreams_max: usize,
    /// Interval between messages while there is evidence of crashes to send.
    pub evidence_interval_ms: u64,
    /// Minimum interval between urgent reports of one sender, and its part for each node of the zone.
    pub rates_interval_min_ms: u64,
    pub rates_interval_per_node_ms: u64,
    /// Interval between the reads of the list of upstreams by the node that reads it for its zone, including the time
    /// that a read may take.
    pub reader_interval_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interval_min_ms: 60,
            interval_per_node_ms: 12,
            summary_bytes_per_s: 4_000,
            summary_bytes_per_s_max: 12_000,
            large_nodes: 300,
            named_upstreams_max: 256,
            evidence_interval_ms: 150,
            rates_interval_min_ms: 40,
            rates_interval_per_node_ms: 2,
            reader_interval_ms: 1_500,
        }
    }
}

/// Number of intervals without a message after which a delegate, a node or a zone counts as silent.
const SILENT_INTERVALS: u64 = 3;
/// Allowance for delays of messages, added to `SILENT_INTERVALS`.
const DELAY_ALLOWANCE_MS: u64 = 300;
/// Number of summaries that a primary sends at once. It spreads the summaries over the interval, because a burst to all
/// nodes of a large zone overflows the queue of the machine's link, and the same nodes lose theirs each time.
const SUMMARIES_PER_TICK: usize = 4;
/// Number of intervals for which a new delegate collects reports before it sends summaries.
const WARM_UP_INTERVALS: u64 = 2;
/// Maximum number of wall-clock times in the state of one zone, and in all states of a summary together.
const CLOCKS_PER_ZONE_MAX: usize = 8;
const CLOCKS_MAX: usize = 24;
/// Number of live nodes that a summary names.
const LIVE_NODES_MAX: usize = 4;
/// Time without a state of a zone after which the number of its nodes is taken from the list of nodes again.
const ZONE_RETENTION_MS: u64 = 60_000;

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    pub to: SocketAddr,
    pub message: Message,
}

/// What a node learns from a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// State of the cluster. `fresh_zones` are the zones whose states are newer than those of earlier updates.
    Cluster { summary: Box<Summary>, fresh_zones: Vec<u32> },
    /// Admitted cost of zones.
    Rates(Vec<ZoneRates>),
}

/// Messages to send and updates to apply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    pub outgoing: Vec<Outgoing>,
    pub updates: Vec<Update>,
    pub announcements: Vec<Announcement>,
}

/// Announcement of a configuration to a node that has an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    pub to: SocketAddr,
    pub config_version: u64,
}

/// Task of a node in the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Member,
    Standby,
    Primary,
}

/// State of another zone as last received.
#[derive(Clone, Debug)]
struct RemoteZone {
    summary: ZoneSummary,
    received_ms: u64,
}

/// State of a zone as applied last, for queries of the node.
#[derive(Clone, Debug)]
pub struct KnownZone {
    pub state: ZoneState,
    /// When the state was current at the delegate of the zone.
    pub as_of_ms: u64,
}

impl KnownZone {
    /// Returns whether the state is recent enough for the zone to count as reachable.
    pub fn is_reachable(&self, now_ms: u64) -> bool {
        now_ms <= self.as_of_ms + zone_timeout_ms(self.state.interval_ms)
    }
}

/// News about upstreams and requests to pass on.
#[derive(Clone, Debug, Default)]
struct UpstreamNews {
    requests: Relay<(Fingerprint, u64)>,
    segments: Relay<SegmentReport>,
    limits: Relay<LimitReport>,
    quarantined: Relay<QuarantinedRequest>,
}

/// News about upstreams and requests in a message.
#[derive(Clone, Copy)]
struct NewsPieces<'a> {
    evidence: &'a [(Fingerprint, u64)],
    segment_reports: &'a [SegmentReport],
    limit_reports: &'a [LimitReport],
    quarantined: &'a [QuarantinedRequest],
}

impl UpstreamNews {
    fn extend(&mut self, news: NewsPieces<'_>, now_ms: u64) {
        self.requests.extend(news.evidence, now_ms);
        self.segments.extend(news.segment_reports, now_ms);
        self.limits.extend(news.limit_reports, now_ms);
        self.quarantined.extend(news.quarantined, now_ms);
    }

    fn is_urgent(&self) -> bool {
        self.requests.is_urgent() || self.segments.is_urgent() || self.limits.is_urgent()
    }

    fn discard_due(&mut self) {
        self.requests.take_due();
        self.segments.take_due();
        self.limits.take_due();
        self.quarantined.take_due();
    }
}

/// The exchange as seen by one node.
#[derive(Debug)]
pub struct Gossip {
    settings: Settings,
    local: NodeAddress,
    incarnation: u64,
    nodes: Nodes,
    /// Number of the last report and state that this node has sent.
    number: u64,
    last_tick_ms: u64,
    /// Position in the interval: which group of nodes gets its summaries at the next tick of a primary.
    slot: usize,
    /// Evidence in the summaries of the current interval.
    evidence: Evidence,
    /// Reports on prompt segments in the summaries of the current interval.
    segment_reports: Vec<SegmentReport>,
    /// Reports on limits of upstreams in the summaries of the current interval.
    limit_reports: Vec<LimitReport>,
    /// Quarantined requests in the summaries of the current interval.
    quarantined: Vec<QuarantinedRequest>,
    /// Since when this node is a delegate and collects reports, if it is one.
    delegate_since_ms: Option<u64>,
    role: Role,
    /// Delegate whose summaries this node applies, and when the last one was received.
    primary: Option<(NodeAddress, u64)>,
    /// Interval that the primary has announced.
    announced_interval_ms: u64,
    /// Size of the last summary that this node has sent.
    summary_bytes: u64,
    reports: ZoneReports,
    remote: FxHashMap<u32, RemoteZone>,
    zones: FxHashMap<u32, KnownZone>,
    reader: Option<u64>,
    duty: Option<(DutyHolder, u64)>,
    to_nodes: UpstreamNews,
    to_zones: UpstreamNews,
    /// Teams of each zone whose totals are to be passed on urgently.
    urgent_teams: FxHashMap<u32, FxHashSet<u32>>,
}

/// Returns the time after which a zone whose states come at an interval counts as unreachable. A state passes two
/// delegates on its way.
fn zone_timeout_ms(interval_ms: u64) -> u64 {
    (SILENT_INTERVALS + 2) * interval_ms + DELAY_ALLOWANCE_MS
}

impl Gossip {
    /// Creates the view of a node that knows no other node.
    pub fn new(settings: Settings, local: NodeAddress, incarnation: u64) -> Self {
        Self {
            settings,
            local,
            incarnation,
            nodes: Nodes::new(local),
            number: 0,
            last_tick_ms: 0,
            slot: 0,
            evidence: Evidence::new(),
            segment_reports: Vec::new(),
            limit_reports: Vec::new(),
            quarantined: Vec::new(),
            delegate_since_ms: None,
            role: Role::Member,
            primary: None,
            announced_interval_ms: 0,
            summary_bytes: 0,
            reports: ZoneReports::default(),
            remote: FxHashMap::default(),
            zones: FxHashMap::default(),
            reader: None,
            duty: None,
            to_nodes: UpstreamNews::default(),
            to_zones: UpstreamNews::default(),
            urgent_teams: FxHashMap::default(),
        }
    }

    /// Records a node from the store. `is_new_record` means that the node has written its record since the last call.
    /// Returns whether the node was unknown.
    pub fn on_listed(&mut self, address: NodeAddress, is_new_record: bool, now_ms: u64) -> bool {
        let is_unknown = !self.nodes.contains(address.node);
        if is_new_record || is_unknown {
            self.nodes.on_listed(address, now_ms);
        }
        is_unknown
    }

    /// Drops nodes that have neither sent a message nor written a new record for the retention time.
    pub fn drop_expired_nodes(&mut self, retention_ms: u64, now_ms: u64) {
        self.nodes.drop_expired(retention_ms, now_ms);
        let Self { reports, nodes, local, .. } = self;
        reports.admitted.retain_nodes(|it| it == local.node || nodes.contains(it));
    }

    /// Returns the interval between messages of this node.
    pub fn interval_ms(&self, now_ms: u64) -> u64 {
        if self.has_primary(now_ms) && self.role != Role::Primary {
            return self.announced_interval_ms.max(self.settings.interval_min_ms);
        }
        let Settings { summary_bytes_per_s, summary_bytes_per_s_max, large_nodes, .. } =
            self.settings;
        let n_nodes = (self.n_peers() + 1) as u64;
        let bytes_per_s = (summary_bytes_per_s * large_nodes / n_nodes)
            .clamp(summary_bytes_per_s, summary_bytes_per_s_max);
        let size_interval_ms = self.summary_bytes * 1_000 / bytes_per_s;
        self.base_interval_ms().max(size_interval_ms)
    }

    /// Returns the interval that follows from the number of nodes of the zone.
    fn base_interval_ms(&self) -> u64 {
        let n_nodes = self.nodes.n_in_zone(self.local.zone) as u64;
        self.settings.interval_min_ms.max(self.settings.interval_per_node_ms * n_nodes)
    }

    /// Returns the time until the next tick.
    pub fn next_tick_ms(&self, has_evidence: bool, now_ms: u64) -> u64 {
        let interval_ms = self.interval_ms(now_ms);
        let has_evidence = has_evidence || self.to_nodes.is_urgent() || self.to_zones.is_urgent();
        let interval_ms = if has_evidence {
            interval_ms.min(self.settings.evidence_interval_ms)
        } else {
            interval_ms
        };
        (interval_ms / self.n_slots() as u64).max(1)
    }

    /// Returns the number of ticks in an interval.
    fn n_slots(&self) -> usize {
        match self.role {
            Role::Primary => self.nodes.members().count().div_ceil(SUMMARIES_PER_TICK).max(1),
            Role::Member | Role::Standby => 1,
        }
    }

    /// Returns the minimum interval between urgent reports.
    pub fn rates_interval_ms(&self) -> u64 {
        let Settings { rates_interval_min_ms, rates_interval_per_node_ms, .. } = self.settings;
        let n_nodes = self.nodes.n_in_zone(self.local.zone) as u64;
        rates_interval_min_ms.max(rates_interval_per_node_ms * n_nodes)
    }

    /// Returns the time within which the state of a reachable zone normally arrives.
    pub fn state_age_ms(&self, now_ms: u64) -> u64 {
        2 * self.interval_ms(now_ms)
    }

    /// Records the encoded size of the largest summary of the last tick.
    pub fn on_summary_sent(&mut self, n_bytes: u64) {
        self.summary_bytes = n_bytes;
    }

    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the delegate whose summaries this node applies, if one has arrived recently.
    pub fn primary(&self, now_ms: u64) -> Option<NodeAddress> {
        self.primary.filter(|it| now_ms <= it.1 + self.silence_ms()).map(|it| it.0)
    }

    fn has_primary(&self, now_ms: u64) -> bool {
        self.primary(now_ms).is_some()
    }

    /// Returns the number of nodes that are known to run, including this node.
    pub fn n_nodes(&self, now_ms: u64) -> usize {
        self.nodes.zones().map(|it| self.n_nodes_in(it, now_ms)).sum()
    }

    /// Returns the number of nodes of a zone that are known to run, including this node in its own zone.
    pub fn n_nodes_in(&self, zone: u32, now_ms: u64) -> usize {
        let n_listed = self.nodes.n_in_zone(zone);
        let known = self.zones.get(&zone);
        let known = known.filter(|it| now_ms <= it.as_of_ms + ZONE_RETENTION_MS);
        known.map_or(n_listed, |it| it.state.n_nodes.max(1) as usize)
    }

    /// Returns the number of nodes of a zone that have reported recently to its delegate, and the time without a report after
    /// which it no longer counts a node.
    pub fn n_live_in(&self, zone: u32, now_ms: u64) -> (usize, u64) {
        match self.zones.get(&zone) {
            Some(it) => {
                let silence_ms = SILENT_INTERVALS * it.state.interval_ms + DELAY_ALLOWANCE_MS;
                (it.state.n_live as usize, silence_ms)
            }
            None => (self.n_nodes_in(zone, now_ms), 0),
        }
    }

    /// Returns the number of nodes that have reported recently in reachable zones, including this node.
    pub fn n_live_nodes(&self, now_ms: u64) -> usize {
        let reachable = self.zones.values().filter(|it| it.is_reachable(now_ms));
        reachable.map(|it| it.state.n_live as usize).sum::<usize>().max(1)
    }

    /// Returns the states of the zones as applied last.
    pub fn zones(&self) -> impl Iterator<Item = &KnownZone> {
        self.zones.values()
    }

    /// Returns whether another node reads the store for this node: one that follows it in the order of the hashes. The
    /// delegates are the first nodes in this order, so a machine does not get both tasks in a zone of several nodes.
    pub fn has_reader(&self, now_ms: u64) -> bool {
        self.has_summary(now_ms) && self.reader.is_some_and(|it| self.local.node < it)
    }

    fn has_summary(&self, now_ms: u64) -> bool {
        self.role == Role::Primary || self.has_primary(now_ms)
    }

    /// Returns the holder of the duty lease and when it was current, if it was reported within the timeout.
    pub fn duty_holder(&self, timeout_ms: u64, now_ms: u64) -> Option<(DutyHolder, u64)> {
        self.duty.filter(|it| now_ms <= it.1 + timeout_ms)
    }

    /// Returns the addresses of the other nodes of the zone.
    pub fn zone_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.members().map(|it| it.address.gossip).collect()
    }

    /// Returns the addresses of all other known nodes.
    pub fn node_addresses(&self) -> impl Iterator<Item = &NodeAddress> {
        self.nodes.iter().map(|it| &it.address)
    }

    /// Returns the addresses of this node.
    pub fn local_address(&self) -> NodeAddress {
        self.local
    }

    /// Returns the hash of the name of this node's zone.
    pub fn local_zone(&self) -> u32 {
        self.local.zone
    }

    /// Returns the hash of the name of this node.
    pub fn local_node(&self) -> u64 {
        self.local.node
    }

    /// Returns the hashes of the names of all other known nodes.
    pub fn other_nodes(&self) -> Vec<u64> {
        self.nodes.iter().map(|it| it.address.node).collect()
    }

    /// Returns the number of other known nodes.
    pub fn n_peers(&self) -> usize {
        self.nodes.iter().count()
    }

    /// Time after which a delegate or a node counts as silent.
    fn silence_ms(&self) -> u64 {
        let interval_ms = self.announced_interval_ms.max(self.base_interval_ms());
        SILENT_INTERVALS * interval_ms + DELAY_ALLOWANCE_MS
    }

    /// Returns whether the next tick starts an interval, in which case it sends the state of this node. What the state
    /// marks as sent, such as evidence, must not be taken for any other tick.
    pub fn starts_interval(&self) -> bool {
        self.slot == 0
    }

    /// Sends this node's state and, if this node is a delegate, what the other nodes need of it. A primary has several
    /// ticks in an interval, and sends summaries to some of the nodes of its zone in each. The state is ignored unless
    /// the tick starts an interval.
    pub fn tick(&mut self, state: LocalState, now_ms: u64) -> Output {
        let mut output = Output::default();
        self.number += 1;
        if self.last_tick_ms + self.silence_ms() < now_ms {
            // This process was suspended or is new, so its reports of other nodes are out of date.
            self.reports.clear();
            self.delegate_since_ms = None;
        }
        self.last_tick_ms = now_ms;
        if self.starts_interval() {
            self.start_interval(state, &mut output, now_ms);
        }
        if self.role == Role::Primary {
            self.send_summaries(&mut output, now_ms);
        }
        self.slot = (self.slot + 1) % self.n_slots();
        output
    }

    fn start_interval(&mut self, state: LocalState, output: &mut Output, now_ms: u64) {
        self.nodes.update_suspicion(self.silence_ms(), now_ms);
        let report = NodeReport {
            from: self.local,
            incarnation: self.incarnation,
            number: self.number,
            state,
        };
        for to in self.report_targets(now_ms) {
            let message = Message::Report(Box::new(report.clone()));
            output.outgoing.push(Outgoing { to, message });
        }
        self.on_report(report, now_ms);
        self.update_role(now_ms);
        if self.role != Role::Primary {
            // The primary passes them on.
            self.to_nodes.discard_due();
            self.to_zones.discard_due();
        }
        match self.role {
            Role::Member => {}
            Role::Standby => self.send_pulses(output),
            Role::Primary => {
                self.reports.retain_recent(self.silence_ms(), now_ms);
                self.announced_interval_ms = self.interval_ms(now_ms);
                self.send_zone_summaries(output, now_ms);
                self.evidence = self.to_nodes.requests.take_due();
                self.segment_reports = self.to_nodes.segments.take_due();
                self.limit_reports = self.to_nodes.limits.take_due();
                self.quarantined = self.to_nodes.quarantined.take_due();
                let base = self.summary_base(now_ms);
                let update = self.apply_summary(self.summary_for(&base, self.local.node), now_ms);
                output.updates.push(update);
            }
        }
    }

    /// Returns the delegates of the zone. A node without a primary also reports to one more node of the zone in turn,
    /// which refers it to the primary.
    fn report_targets(&self, now_ms: u64) -> Vec<SocketAddr> {
        let mut targets = self.nodes.delegate_addresses();
        let n_members = self.nodes.members().count();
        if !self.has_summary(now_ms) && 0 < n_members {
            let probed = self.nodes.members().nth(self.number as usize % n_members);
            targets.extend(probed.map(|it| it.address.gossip).filter(|it| !targets.contains(it)));
        }
        targets
    }

    fn update_role(&mut self, now_ms: u64) {
        if !self.nodes.delegates().contains(&self.local.node) {
            self.role = Role::Member;
            self.delegate_since_ms = None;
            return;
        }
        let since_ms = *self.delegate_since_ms.get_or_insert(now_ms);
        let warm_up_ms = WARM_UP_INTERVALS * self.interval_ms(now_ms);
        let is_warm = self.role == Role::Primary || since_ms + warm_up_ms <= now_ms;
        let is_preceded = self.nodes.has_preceding_primary(self.silence_ms(), now_ms);
        self.role = if is_warm && !is_preceded { Role::Primary } else { Role::Standby };
    }

    fn send_pulses(&self, output: &mut Output) {
        let pulse = Pulse { from: self.local, primary: None };
        for it in self.nodes.members() {
            let message = Message::Pulse(pulse);
            output.outgoing.push(Outgoing { to: it.address.gossip, message });
        }
    }

    /// Sends summaries to the nodes whose turn it is.
    fn send_summaries(&self, output: &mut Output, now_ms: u64) {
        let base = self.summary_base(now_ms);
        let due = self.nodes.members().skip(self.slot * SUMMARIES_PER_TICK);
        for it in due.take(SUMMARIES_PER_TICK) {
            let summary = self.summary_for(&base, it.address.node);
            let message = Message::Summary(Box::new(summary));
            output.outgoing.push(Outgoing { to: it.address.gossip, message });
        }
    }

    /// Sends the state of this zone to the delegates of the other zones. Of a zone without a recent message, the first
    /// nodes and one more in turn are tried.
    fn send_zone_summaries(&mut self, output: &mut Output, now_ms: u64) {
        let evidence = self.to_zones.requests.take_due();
        let segment_reports = self.to_zones.segments.take_due();
        let limit_reports = self.to_zones.limits.take_due();
        let quarantined = self.to_zones.quarantined.take_due();
        let mut loads = self.reports.loads().into_iter().collect();
        let unnamed = limit_named(&mut loads, self.settings.named_upstreams_max);
        let summary = ZoneSummary {
            from: self.local,
            standby: self.nodes.delegate_addresses().first().copied(),
            is_forwarded: false,
            state: self.zone_state(now_ms),
            loads,
            unnamed,
            demand: self.reports.demand().into_iter().collect(),
            evidence,
            segment_reports,
            limit_reports,
            quarantined,
            duty: self.reports.duty_holder(now_ms),
        };
        for zone in self.nodes.zones().filter(|it| *it != self.local.zone) {
            for to in self.zone_targets(zone, now_ms) {
                let message = Message::Zone(Box::new(summary.clone()));
                output.outgoing.push(Outgoing { to, message });
            }
        }
    }

    fn zone_targets(&self, zone: u32, now_ms: u64) -> Vec<SocketAddr> {
        let remote = self.remote.get(&zone);
        let timeout_ms = |it: &RemoteZone| zone_timeout_ms(it.summary.state.interval_ms);
        let remote = remote.filter(|it| now_ms <= it.received_ms + timeout_ms(it));
        if let Some(remote) = remote {
            let standby = remote.summary.standby;
            return [Some(remote.summary.from.gossip), standby].into_iter().flatten().collect();
        }
        let nodes: Vec<_> = self.nodes.in_zone(zone).map(|it| it.address.gossip).collect();
        let mut targets: Vec<_> = nodes.iter().take(nodes::N_DELEGATES).copied().collect();
        let probed = nodes.get(self.number as usize % nodes.len().max(1)).copied();
        targets.extend(probed.filter(|it| !targets.contains(it)));
        targets
    }

    /// Returns the state of this zone.
    fn zone_state(&self, now_ms: u64) -> ZoneState {
        let n_zones = self.nodes.zones().count().max(1);
        let n_clocks_max = (CLOCKS_MAX / n_zones).clamp(1, CLOCKS_PER_ZONE_MAX);
        let config = self.reports.config(now_ms);
        let upstreams = self.reports.upstreams(now_ms);
        let local = self.reports.get(self.local.node).map(|it| &it.state);
        let has_config = local.is_some_and(|it| it.config.version == config.version);
        let has_upstreams = local.is_some_and(|it| it.upstreams.version == upstreams.version);
        let config_source = (!has_config)
            .then(|| self.reports.config_source(config.version, self.number))
            .flatten();
        let upstreams_source =
            (!has_upstreams).then(|| self.reports.upstreams_source(now_ms)).flatten();
        ZoneState {
            zone: self.local.zone,
            source: xxh3_64_with_seed(&self.local.node.to_le_bytes(), self.incarnation),
            number: self.number,
            age_ms: 0,
            interval_ms: self.announced_interval_ms,
            n_nodes: self.nodes.n_in_zone(self.local.zone) as u32,
            n_live: self.reports.len() as u32,
            exchange: self.local.exchange,
            config,
            config_source,
            upstreams,
            upstreams_source,
            admitted: self.reports.admitted.without(None),
            clocks_ms: self.reports.clocks_ms(n_clocks_max, now_ms),
        }
    }

    /// Returns the parts of a summary that are the same for all nodes, and the totals that contain all of them.
    fn summary_base(&self, now_ms: u64) -> SummaryBase {
        let mut loads = self.reports.loads();
        let mut unnamed_remote: Option<UnnamedLoads> = None;
        let mut demand = self.reports.demand();
        let mut duty = self.reports.duty_holder(now_ms);
        let mut remote_states = Vec::new();
        for it in self.remote.values() {
            let waited_ms = now_ms.saturating_sub(it.received_ms);
            if zone_timeout_ms(it.summary.state.interval_ms) < waited_ms {
                continue;
            }
            add_loads(&mut loads, &it.summary.loads);
            if let Some(it) = it.summary.unnamed {
                unnamed_remote.get_or_insert_default().add(it);
            }
            add_demand(&mut demand, &it.summary.demand);
            let remote_duty = it.summary.duty;
            let remote_duty =
                remote_duty.map(|it| DutyHolder { age_ms: it.age_ms + waited_ms, ..it });
            duty = duty.into_iter().chain(remote_duty).max_by_key(|it| it.topic_end);
            remote_states.push(aged(&it.summary.state, waited_ms));
        }
        let reader_age_max_ms = self.settings.reader_interval_ms + self.announced_interval_ms;
        let mut live = self.reports.nodes();
        live.truncate(LIVE_NODES_MAX);
        let mut loads = loads.into_iter().collect();
        let mut unnamed = limit_named(&mut loads, self.settings.named_upstreams_max);
        if let Some(it) = unnamed_remote {
            unnamed.get_or_insert_default().add(it);
        }
        SummaryBase {
            local_state: self.zone_state(now_ms),
            remote_states,
            reader: self.reports.reader(reader_age_max_ms, now_ms),
            live,
            loads,
            unnamed,
            demand,
            duty,
        }
    }

    /// Returns the summary for a node, which leaves out what the node itself has reported.
    fn summary_for(&self, base: &SummaryBase, node: u64) -> Summary {
        let reported = self.reports.get(node).map(|it| &it.state);
        let mut loads = base.loads.clone();
        let mut unnamed = base.unnamed;
        let mut demand = base.demand.clone();
        for (upstream, it) in reported.iter().flat_map(|it| &it.loads) {
            if let Ok(position) = loads.binary_search_by_key(upstream, |it| it.0) {
                loads[position].1.subtract(*it);
            } else if let Some(total) = &mut unnamed {
                total.subtract(*it);
            }
        }
        for (service, per_s) in reported.iter().flat_map(|it| &it.demand) {
            if let Some(total) = demand.get_mut(service) {
                *total = (*total - per_s).max(0.0);
            }
        }
        let admitted = self.reports.admitted.without(Some(node));
        let local_state = ZoneState { admitted, ..base.local_state.clone() };
        let mut zones = vec![local_state];
        zones.extend(base.remote_states.iter().cloned());
        if unnamed.is_none() {
            loads.retain(|it| it.1 != InProgress::default());
        }
        Summary {
            from: self.local,
            zones,
            reader: base.reader,
            live: base.live.clone(),
            loads,
            unnamed,
            demand: demand.into_iter().collect(),
            evidence: self.evidence.clone(),
            segment_reports: self.segment_reports.clone(),
            limit_reports: self.limit_reports.clone(),
            quarantined: self.quarantined.clone(),
            duty: base.duty,
        }
    }

    /// Handles a message that was received from an address.
    pub fn on_message(&mut self, message: Message, now_ms: u64) -> Output {
        let mut output = Output::default();
        match message {
            Message::Report(report) => self.on_report_message(*report, &mut output, now_ms),
            Message::Pulse(pulse) => {
                self.nodes.on_heard(pulse.from, now_ms);
                if let Some(primary) = pulse.primary.filter(|it| it.node != self.local.node) {
                    self.nodes.on_heard(primary, now_ms);
                    let timeout_ms = self.silence_ms();
                    self.nodes.suspect_missing(&[primary.node], timeout_ms, now_ms);
                }
            }
            Message::Summary(summary) => self.on_summary(*summary, &mut output, now_ms),
            Message::Zone(summary) => self.on_zone_summary(*summary, &mut output, now_ms),
            Message::Rates(rates) => self.on_node_rates(&rates),
            Message::ZoneRates(rates) => self.on_zone_rates(rates, &mut output),
        }
        output
    }

    fn on_report_message(&mut self, report: NodeReport, output: &mut Output, now_ms: u64) {
        let from = report.from;
        self.nodes.on_heard(from, now_ms);
        let is_delegate = self.nodes.delegates().contains(&self.local.node);
        if from.zone != self.local.zone || !is_delegate {
            if let Some(primary) = self.primary(now_ms) {
                let pulse = Pulse { from: self.local, primary: Some(primary) };
                let message = Message::Pulse(pulse);
                output.outgoing.push(Outgoing { to: from.gossip, message });
            }
            return;
        }
        let config_version = report.state.config.version;
        self.on_report(report, now_ms);
        let newest = self.newest_config_version(now_ms);
        if config_version < newest {
            let to = from.gossip;
            output.announcements.push(Announcement { to, config_version: newest });
        }
    }

    /// Returns the version of the newest configuration that a node of the zone has reported or another zone has.
    fn newest_config_version(&self, now_ms: u64) -> u64 {
        let other_zones = self.zones.values().map(|it| it.state.config.version);
        self.reports.config(now_ms).version.max(other_zones.max().unwrap_or(0))
    }

    fn on_report(&mut self, report: NodeReport, now_ms: u64) {
        let LocalState { evidence, segment_reports, limit_reports, quarantined, .. } =
            &report.state;
        let news = NewsPieces { evidence, segment_reports, limit_reports, quarantined };
        self.to_nodes.extend(news, now_ms);
        self.to_zones.extend(news, now_ms);
        self.reports.insert(report, now_ms);
    }

    /// Applies a summary unless it comes from another zone or follows the current primary in the order of the delegates.
    fn on_summary(&mut self, summary: Summary, output: &mut Output, now_ms: u64) {
        let from = summary.from;
        self.nodes.on_heard(from, now_ms);
        if from.zone != self.local.zone {
            return;
        }
        self.nodes.on_summary(from.node, now_ms);
        let is_outranked = self.primary(now_ms).is_some_and(|it| it.node < from.node)
            || (self.role == Role::Primary && self.local.node < from.node);
        if is_outranked {
            return;
        }
        self.primary = Some((from, now_ms));
        let own_state = summary.zones.iter().find(|it| it.zone == self.local.zone);
        self.announced_interval_ms = own_state.map_or(0, |it| it.interval_ms);
        self.nodes.suspect_missing(&summary.live, self.silence_ms(), now_ms);
        let update = self.apply_summary(summary, now_ms);
        output.updates.push(update);
    }

    /// Records a summary and returns the update for this node.
    fn apply_summary(&mut self, summary: Summary, now_ms: u64) -> Update {
        let mut fresh_zones = Vec::new();
        for state in &summary.zones {
            let as_of_ms = now_ms.saturating_sub(state.age_ms);
            let is_known = self.zones.get(&state.zone).is_some_and(|it| {
                it.state.source == state.source && state.number <= it.state.number
            });
            if !is_known {
                fresh_zones.push(state.zone);
                let known = KnownZone { state: state.clone(), as_of_ms };
                self.zones.insert(state.zone, known);
            }
        }
        self.reader = summary.reader;
        if let Some(duty) = summary.duty {
            self.duty = Some((duty, now_ms.saturating_sub(duty.age_ms)));
        }
        Update::Cluster { summary: Box::new(summary), fresh_zones }
    }

    /// Records the state of another zone. A node that is no delegate passes it on to the delegates of its zone.
    fn on_zone_summary(&mut self, summary: ZoneSummary, output: &mut Output, now_ms: u64) {
        self.nodes.on_heard(summary.from, now_ms);
        let is_delegate = self.nodes.delegates().contains(&self.local.node);
        if !is_delegate {
            if !summary.is_forwarded {
                let forwarded = ZoneSummary { is_forwarded: true, ..summary };
                for to in self.nodes.delegate_addresses() {
                    let message = Message::Zone(Box::new(forwarded.clone()));
                    output.outgoing.push(Outgoing { to, message });
                }
            }
            return;
        }
        let ZoneSummary { evidence, segment_reports, limit_reports, quarantined, .. } = &summary;
        let news = NewsPieces { evidence, segment_reports, limit_reports, quarantined };
        self.to_nodes.extend(news, now_ms);
        let zone = summary.state.zone;
        let is_outdated = self.remote.get(&zone).is_some_and(|it| {
            let known = &it.summary;
            let is_recent = now_ms <= it.received_ms + zone_timeout_ms(known.state.interval_ms);
            let is_same_source = known.state.source == summary.state.source;
            // Of two delegates that both send, the first in the order is used.
            (is_same_source && summary.state.number <= known.state.number)
                || (!is_same_source && is_recent && known.from.node < summary.from.node)
        });
        if !is_outdated {
            self.remote.insert(zone, RemoteZone { summary, received_ms: now_ms });
        }
    }

    /// Returns the urgent report of this node for the delegates of its zone, and records it if this node is one.
    pub fn report_rates(&mut self, admitted: Admitted) -> Vec<Outgoing> {
        let rates = NodeRates { node: self.local.node, incarnation: self.incarnation, admitted };
        let targets = self.nodes.delegate_addresses().into_iter();
        let outgoing = targets.map(|to| Outgoing { to, message: Message::Rates(rates.clone()) });
        let outgoing = outgoing.collect();
        self.on_node_rates(&rates);
        outgoing
    }

    fn on_node_rates(&mut self, rates: &NodeRates) {
        self.reports.admitted.record(rates.node, rates.incarnation, &rates.admitted);
        let urgent = self.urgent_teams.entry(self.local.zone).or_default();
        urgent.extend(rates.admitted.iter().map(|it| it.0));
    }

    fn on_zone_rates(&mut self, rates: Vec<ZoneRates>, output: &mut Output) {
        let is_delegate = self.role != Role::Member;
        for it in rates.iter().filter(|it| it.zone != self.local.zone && is_delegate) {
            let Some(remote) = self.remote.get_mut(&it.zone) else { continue };
            if remote.summary.state.source != it.source {
                continue;
            }
            let known = &mut remote.summary.state.admitted;
            for (team, total) in &it.admitted {
                match known.iter_mut().find(|it| it.0 == *team) {
                    Some(known) => known.1 = total.max(known.1),
                    None => known.push((*team, *total)),
                }
            }
            let urgent = self.urgent_teams.entry(it.zone).or_default();
            urgent.extend(it.admitted.iter().map(|it| it.0));
        }
        // The primary applies its own totals below, when it passes them on.
        if self.role != Role::Primary {
            let known = rates.into_iter().filter(|it| {
                self.zones.get(&it.zone).is_some_and(|known| known.state.source == it.source)
            });
            let known: Vec<_> = known.collect();
            if !known.is_empty() {
                output.updates.push(Update::Rates(known));
            }
        }
    }

    /// Returns whether there are urgent totals to pass on.
    pub fn has_urgent_rates(&self) -> bool {
        self.role == Role::Primary && self.urgent_teams.values().any(|it| !it.is_empty())
    }

    /// Passes on urgent totals: those of this zone to the delegates of the other zones, and all to the nodes of this
    /// zone.
    pub fn send_rates(&mut self, now_ms: u64) -> Output {
        let mut output = Output::default();
        let urgent = std::mem::take(&mut self.urgent_teams);
        if self.role != Role::Primary {
            return output;
        }
        let source = xxh3_64_with_seed(&self.local.node.to_le_bytes(), self.incarnation);
        let local_rates = |teams: &FxHashSet<u32>, without: Option<u64>| {
            let admitted = self.reports.admitted.without(without).into_iter();
            let admitted = admitted.filter(|it| teams.contains(&it.0)).collect();
            ZoneRates { zone: self.local.zone, source, admitted }
        };
        let local_teams = urgent.get(&self.local.zone).filter(|it| !it.is_empty());
        let remote_rates: Vec<_> = urgent
            .iter()
            .filter_map(|(zone, teams)| {
                let state = &self.remote.get(zone)?.summary.state;
                let admitted = state.admitted.iter().filter(|it| teams.contains(&it.0));
                let admitted = admitted.copied().collect();
                Some(ZoneRates { zone: *zone, source: state.source, admitted })
            })
            .collect();
        let for_node = |node: u64| {
            let local = local_teams.map(|it| local_rates(it, Some(node)));
            local.into_iter().chain(remote_rates.iter().cloned()).collect::<Vec<_>>()
        };
        if let Some(teams) = local_teams {
            let message = Message::ZoneRates(vec![local_rates(teams, None)]);
            for zone in self.remote.keys() {
                for to in self.zone_targets(*zone, now_ms) {
                    output.outgoing.push(Outgoing { to, message: message.clone() });
                }
            }
        }
        for it in self.nodes.members() {
            let message = Message::ZoneRates(for_node(it.address.node));
            output.outgoing.push(Outgoing { to: it.address.gossip, message });
        }
        output.updates.push(Update::Rates(for_node(self.local.node)));
        output
    }
}

/// Parts of a summary that are the same for all nodes of a zone, and totals that contain all of them.
struct SummaryBase {
    local_state: ZoneState,
    remote_states: Vec<ZoneState>,
    reader: Option<u64>,
    live: Vec<u64>,
    /// Sorted by the hashes of the upstreams.
    loads: Loads,
    unnamed: Option<UnnamedLoads>,
    demand: FxHashMap<u32, f32>,
    duty: Option<DutyHolder>,
}

/// Returns a state as of `waited_ms` after it was received.
fn aged(state: &ZoneState, waited_ms: u64) -> ZoneState {
    let mut state = state.clone();
    state.age_ms = state.age_ms.saturating_add(waited_ms);
    state.config.age_ms = state.config.age_ms.saturating_add(waited_ms);
    state.upstreams.age_ms = state.upstreams.age_ms.saturating_add(waited_ms);
    for it in &mut state.clocks_ms {
        *it += waited_ms;
    }
    state
}

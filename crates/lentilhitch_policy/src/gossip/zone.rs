//! What a delegate knows of its own zone: the reports of its nodes and the totals over them.

use std::{cmp::Reverse, net::SocketAddr};

use rustc_hash::FxHashMap;

use crate::{
    gossip::message::{
        Admitted, DemandRates, DutyHolder, Loads, NodeAddress, NodeReport, StoreCopy, UnnamedLoads,
    },
    placement::InProgress,
};

/// A report and when it was received.
#[derive(Clone, Debug)]
pub(super) struct ReceivedReport {
    pub(super) report: NodeReport,
    pub(super) received_ms: u64,
}

impl ReceivedReport {
    fn age_of(&self, copy: StoreCopy, now_ms: u64) -> StoreCopy {
        let waited_ms = now_ms.saturating_sub(self.received_ms);
        StoreCopy { age_ms: copy.age_ms.saturating_add(waited_ms), ..copy }
    }
}

/// Reports of the nodes of the own zone.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneReports {
    reports: FxHashMap<u64, ReceivedReport>,
    pub(super) admitted: AdmittedTotals,
}

impl ZoneReports {
    /// Records a report, unless a later one of the same process is known.
    pub(super) fn insert(&mut self, report: NodeReport, now_ms: u64) {
        let node = report.from.node;
        let is_outdated = self.reports.get(&node).is_some_and(|it| {
            it.report.incarnation == report.incarnation && report.number < it.report.number
        });
        if is_outdated {
            return;
        }
        self.admitted.record(node, report.incarnation, &report.state.admitted);
        self.reports.insert(node, ReceivedReport { report, received_ms: now_ms });
    }

    /// Drops the reports that are older than the maximum age.
    pub(super) fn retain_recent(&mut self, age_max_ms: u64, now_ms: u64) {
        self.reports.retain(|_, it| now_ms <= it.received_ms + age_max_ms);
    }

    /// Drops all reports. Totals are kept.
    pub(super) fn clear(&mut self) {
        self.reports.clear();
    }

    pub(super) fn get(&self, node: u64) -> Option<&NodeReport> {
        self.reports.get(&node).map(|it| &it.report)
    }

    pub(super) fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns the nodes that have reported, in the order of their hashes.
    pub(super) fn nodes(&self) -> Vec<u64> {
        let mut nodes: Vec<_> = self.reports.keys().copied().collect();
        nodes.sort_unstable();
        nodes
    }

    /// Returns the requests in progress of the zone's nodes at each upstream.
    pub(super) fn loads(&self) -> FxHashMap<u32, InProgress> {
        let mut total = FxHashMap::default();
        for it in self.reports.values() {
            add_loads(&mut total, &it.report.state.loads);
        }
        total
    }

    /// Returns the demand of the zone's nodes for each service.
    pub(super) fn demand(&self) -> FxHashMap<u32, f32> {
        let mut total = FxHashMap::default();
        for it in self.reports.values() {
            add_demand(&mut total, &it.report.state.demand);
        }
        total
    }

    /// Returns the newest configuration, as read most recently by a node that has it.
    pub(super) fn config(&self, now_ms: u64) -> StoreCopy {
        let copies = self.reports.values().map(|it| it.age_of(it.report.state.config, now_ms));
        copies.max_by_key(|it| (it.version, u64::MAX - it.age_ms)).unwrap_or_default()
    }

    /// Returns the list of upstreams of the node that read it last.
    pub(super) fn upstreams(&self, now_ms: u64) -> StoreCopy {
        let copies = self.reports.values().map(|it| it.age_of(it.report.state.upstreams, now_ms));
        let newest = copies.min_by_key(|it| it.age_ms);
        newest.unwrap_or(StoreCopy { version: 0, age_ms: u64::MAX })
    }

    /// Returns the exchange address of a node that has a version of the configuration, another one for each `number`.
    pub(super) fn config_source(&self, version: u64, number: u64) -> Option<SocketAddr> {
        let reports = self.reports.values().map(|it| &it.report);
        let sources = reports.filter(|it| it.state.config.version == version);
        let mut sources: Vec<_> = sources.map(|it| it.from).collect();
        sources.sort_unstable_by_key(|it| it.node);
        let position = number as usize % sources.len().max(1);
        sources.get(position).map(|it| it.exchange)
    }

    /// Returns the exchange address of the node that read the list of upstreams last.
    pub(super) fn upstreams_source(&self, now_ms: u64) -> Option<SocketAddr> {
        let reports = self.reports.values();
        let newest = reports.min_by_key(|it| it.age_of(it.report.state.upstreams, now_ms).age_ms);
        newest.map(|it| it.report.from.exchange)
    }

    /// Returns the last node in the order that read the list of upstreams within the maximum age.
    pub(super) fn reader(&self, age_max_ms: u64, now_ms: u64) -> Option<u64> {
        let reads = self
            .reports
            .iter()
            .filter(|(_, it)| it.age_of(it.report.state.upstreams, now_ms).age_ms <= age_max_ms);
        reads.map(|it| *it.0).max()
    }

    /// Returns up to `n_max` wall-clock times, those in the middle if there are more.
    pub(super) fn clocks_ms(&self, n_max: usize, now_ms: u64) -> Vec<u64> {
        let clocks = self.reports.values();
        let clocks =
            clocks.map(|it| it.report.state.wall_ms + now_ms.saturating_sub(it.received_ms));
        let mut clocks: Vec<_> = clocks.collect();
        clocks.sort_unstable();
        let n_left_out = clocks.len().saturating_sub(n_max);
        clocks.drain(..n_left_out / 2);
        clocks.truncate(n_max);
        clocks
    }

    /// Returns the holder of the duty lease, if it is in this zone.
    pub(super) fn duty_holder(&self, now_ms: u64) -> Option<DutyHolder> {
        let holders = self.reports.values().filter_map(|it| {
            let NodeAddress { node, gossip, .. } = it.report.from;
            let topic_end = it.report.state.duty_topic_end?;
            let age_ms = now_ms.saturating_sub(it.received_ms);
            Some(DutyHolder { node, gossip, topic_end, age_ms })
        });
        holders.max_by_key(|it| it.topic_end)
    }
}

/// Adds requests in progress to totals by upstream.
pub(super) fn add_loads(total: &mut FxHashMap<u32, InProgress>, loads: &Loads) {
    for (upstream, it) in loads {
        total.entry(*upstream).or_default().add(*it);
    }
}

/// Limits the named upstreams to the `n_max` with the most waiting tokens and requests, and sorts them by their hashes.
/// Returns the total of the others, if there are any.
pub(super) fn limit_named(loads: &mut Loads, n_max: usize) -> Option<UnnamedLoads> {
    let mut unnamed = None;
    if n_max < loads.len() {
        let order = |(upstream, it): &(u32, InProgress)| {
            Reverse((it.waiting_tokens, it.n_waiting, it.n_requests, *upstream))
        };
        loads.select_nth_unstable_by_key(n_max, order);
        let total: &mut UnnamedLoads = unnamed.get_or_insert_default();
        for (_, it) in loads.drain(n_max..) {
            total.add(it);
        }
    }
    loads.sort_unstable_by_key(|it| it.0);
    unnamed
}

/// Adds demand to totals by service.
pub(super) fn add_demand(total: &mut FxHashMap<u32, f32>, demand: &DemandRates) {
    for (service, per_s) in demand {
        *total.entry(*service).or_default() += per_s;
    }
}

/// Cost that the nodes of a zone have admitted for each team since this process started to count.
///
/// The totals never fall: a node that restarts counts from 0 again, and what it had admitted before stays in the total.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmittedTotals {
    totals: FxHashMap<u32, f64>,
    nodes: FxHashMap<u64, NodeAdmitted>,
}

/// Part of one node in the totals.
#[derive(Clone, Debug, Default)]
struct NodeAdmitted {
    incarnation: u64,
    /// Totals in the last report.
    reported: FxHashMap<u32, f64>,
    /// Cost that was added to the totals of the zone.
    counted: FxHashMap<u32, f64>,
}

impl AdmittedTotals {
    /// Records the totals of a node. What a node had admitted before its first report is not counted.
    pub(super) fn record(&mut self, node: u64, incarnation: u64, admitted: &Admitted) {
        let is_first = !self.nodes.contains_key(&node);
        let known = self.nodes.entry(node).or_default();
        if known.incarnation != incarnation {
            known.incarnation = incarnation;
            known.reported.clear();
        }
        for (team, total) in admitted {
            let reported = known.reported.entry(*team).or_default();
            let new = if is_first { 0.0 } else { (*total - *reported).max(0.0) };
            *reported = total.max(*reported);
            *known.counted.entry(*team).or_default() += new;
            *self.totals.entry(*team).or_default() += new;
        }
    }

    /// Returns the totals of the zone without the part of one node.
    pub(super) fn without(&self, node: Option<u64>) -> Admitted {
        let part = node.and_then(|it| self.nodes.get(&it));
        let totals = self.totals.iter().map(|(team, total)| {
            (*team, total - part.and_then(|it| it.counted.get(team)).copied().unwrap_or_default())
        });
        let mut totals: Vec<_> = totals.collect();
        totals.sort_unstable_by_key(|it| it.0);
        totals
    }

    /// Drops the nodes that no longer run. Their part in the totals remains.
    pub(super) fn retain_nodes(&mut self, is_running: impl Fn(u64) -> bool) {
        self.nodes.retain(|node, _| is_running(*node));
    }
}

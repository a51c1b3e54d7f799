//! Limits that upstreams state are kept by all nodes together, used, and given up when responses no longer state them.

use std::net::SocketAddr;

use lentilhitch_policy::{
    traffic::{EntryState, UpstreamEntry},
    upstream_limits::{LimitReport, Members, UpstreamLimits},
};
use lentilhitch_types::SoftwareVersion;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const START_MS: u64 = 1_000_000;
/// Time after the first statement from which the limit binds, and the span in which requests are counted.
const CONTACT_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
const STEP_MS: u64 = 10;

fn entry(started_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: "limited".parse().unwrap(),
        service: "draft".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        zone: "a".parse().unwrap(),
        slots: 8,
        state: EntryState::Ready,
        started_ms,
        is_spot: false,
        version: SoftwareVersion::default(),
        leaves_in_ms: None,
    }
}

/// Nodes that send as many requests to one upstream as they may.
struct Fleet {
    nodes: Vec<UpstreamLimits>,
    hashes: Vec<u64>,
    upstream: UpstreamEntry,
    limit_per_s: Option<f64>,
    /// Responses and reports on their way, with their arrival and receiver.
    responses: Vec<(u64, usize, Option<f64>)>,
    reports: Vec<(u64, usize, LimitReport)>,
    arrivals_ms: Vec<u64>,
    /// Whether nodes only reach the nodes of the same half.
    is_split: bool,
    rng: SmallRng,
    now_ms: u64,
}

impl Fleet {
    fn new(n_nodes: usize, limit_per_s: f64, seed: u64) -> Self {
        let hashes = (1..=n_nodes as u64).map(|it| it.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        Self {
            nodes: vec![UpstreamLimits::default(); n_nodes],
            hashes: hashes.collect(),
            upstream: entry(1),
            limit_per_s: Some(limit_per_s),
            responses: Vec::new(),
            reports: Vec::new(),
            arrivals_ms: Vec::new(),
            is_split: false,
            rng: SmallRng::seed_from_u64(seed),
            now_ms: START_MS,
        }
    }

    fn run_for(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        for (_, idx, per_s) in
            self.responses.extract_if(.., |it| it.0 <= now_ms).collect::<Vec<_>>()
        {
            let upstream = self.upstream.clone();
            self.with_members(idx, |it, members| it.record(&upstream, per_s, members, now_ms));
        }
        for (_, idx, report) in self.reports.extract_if(.., |it| it.0 <= now_ms).collect::<Vec<_>>()
        {
            self.with_members(idx, |it, members| it.on_report(report, members, now_ms));
        }
        for idx in 0..self.nodes.len() {
            self.with_members(idx, |it, members| it.update(members, now_ms));
            self.send_reports(idx);
            // Each node has a request for the upstream every 50 ms.
            let has_request = self.rng.random_bool(STEP_MS as f64 / 50.0);
            if has_request && self.nodes[idx].remaining_ms(&self.upstream, now_ms).is_none() {
                self.nodes[idx].record_send(&self.upstream, now_ms);
                self.arrivals_ms.push(now_ms);
                let arrival_ms = now_ms + self.rng.random_range(10..200);
                self.responses.push((arrival_ms, idx, self.limit_per_s));
            }
        }
    }

    fn with_members<T>(
        &mut self,
        idx: usize,
        f: impl FnOnce(&mut UpstreamLimits, Members<'_>) -> T,
    ) -> T {
        let mut others = self.hashes.clone();
        let local = others.swap_remove(idx);
        f(&mut self.nodes[idx], Members { local, others: &others })
    }

    fn send_reports(&mut self, idx: usize) {
        let n_nodes = self.nodes.len();
        for report in self.nodes[idx].take_reports() {
            let reached = (0..n_nodes).filter(|it| *it != idx);
            for to in reached.filter(|it| !self.is_split || it % 2 == idx % 2) {
                let arrival_ms = self.now_ms + self.rng.random_range(100..800);
                self.reports.push((arrival_ms, to, report));
            }
        }
    }

    /// Returns the most arrivals within the window since a time.
    fn n_arrivals_max(&self, since_ms: u64) -> usize {
        let arrivals: Vec<_> = self.arrivals_ms.iter().filter(|it| since_ms <= **it).collect();
        let in_window = |start_ms: u64| {
            arrivals.iter().filter(|it| (start_ms..=start_ms + WINDOW_MS).contains(**it)).count()
        };
        arrivals.iter().map(|it| in_window(**it)).max().unwrap_or_default()
    }
}

/// Guards against nodes that each send as many requests as an upstream takes from all of them together.
#[test]
fn limit_holds_for_all_nodes_together_and_is_used() {
    for n_nodes in [1, 8, 74, 340] {
        for limit_per_s in [0.3, 1.0, 2.5, 12.0, 40.0] {
            for is_split in [false, true] {
                let name = format!("{n_nodes} nodes, {limit_per_s} a second, split: {is_split}");
                let mut fleet = Fleet::new(n_nodes, limit_per_s, 5);
                fleet.run_for(2_000);
                fleet.is_split = is_split;
                fleet.run_for(28_000);
                // The contract allows one and a half times the limit, and five requests.
                let allowed = 1.5 * limit_per_s * WINDOW_MS as f64 / 1_000.0 + 5.0;
                let n_max = fleet.n_arrivals_max(START_MS + CONTACT_MS);
                assert!(n_max as f64 <= allowed, "{name}: {n_max}, allowed {allowed}");
                let since_ms = fleet.now_ms - 20_000;
                let n_used = fleet.arrivals_ms.iter().filter(|it| since_ms <= **it).count();
                let demand = 20.0 * n_nodes as f64;
                let usable = 20.0 * limit_per_s.min(demand);
                assert!(0.7 * usable <= n_used as f64 + 1.0, "{name}: {n_used} of {usable} used");
            }
        }
    }
}

/// Guards against limits that outlast the need of the upstream, or that apply to its next incarnation.
#[test]
fn limit_ends_at_all_nodes_when_responses_no_longer_state_it() {
    for n_nodes in [8, 74] {
        let mut fleet = Fleet::new(n_nodes, 1.0, 6);
        fleet.run_for(10_000);
        fleet.limit_per_s = None;
        fleet.run_for(5_000);
        let now_ms = fleet.now_ms;
        let is_free = |it: &UpstreamLimits| it.remaining_ms(&fleet.upstream, now_ms).is_none();
        assert!(fleet.nodes.iter().all(is_free), "{n_nodes} nodes");
    }
    let mut fleet = Fleet::new(8, 1.0, 7);
    fleet.run_for(10_000);
    let is_limited = |it: &UpstreamLimits| it.remaining_ms(&entry(1), fleet.now_ms).is_some();
    assert!(fleet.nodes.iter().any(is_limited));
    let is_free = |it: &UpstreamLimits| it.remaining_ms(&entry(2), fleet.now_ms).is_none();
    assert!(fleet.nodes.iter().all(is_free), "a later incarnation");
}

#[test]
fn old_reports_do_not_replace_newer_statements() {
    struct Case {
        name: &'static str,
        started_ms: u64,
        age_ms: u64,
        limit_per_ks: Option<u64>,
        is_limited: bool,
    }
    let cases = [
        Case { name: "newer", started_ms: 1, age_ms: 0, limit_per_ks: None, is_limited: false },
        Case { name: "older", started_ms: 1, age_ms: 500, limit_per_ks: None, is_limited: true },
        Case {
            name: "earlier incarnation",
            started_ms: 0,
            age_ms: 0,
            limit_per_ks: None,
            is_limited: true,
        },
    ];
    for case in cases {
        let mut limits = UpstreamLimits::default();
        let members = Members { local: 1, others: &[] };
        let upstream = entry(1);
        limits.record(&upstream, Some(0.5), members, START_MS);
        let [report] = limits.take_reports()[..] else { panic!("one report") };
        let Case { started_ms, age_ms, limit_per_ks, .. } = case;
        let report = LimitReport { started_ms, age_ms, limit_per_ks, ..report };
        limits.on_report(report, members, START_MS + 100);
        let is_limited = limits.remaining_ms(&upstream, START_MS + 100).is_some();
        assert_eq!(is_limited, case.is_limited, "{}", case.name);
    }
}

//! Counts of begun requests by team and window of true time, and what is reported.
//!
//! Each node tells the holder of the duty its counts of recent windows; later ones of one incarnation of a node replace its
//! earlier ones. The holder writes what it heard into a topic of the platform's log now and then, and so does a node that
//! hears of no holder. The holder writes its decision on a window into a second topic before it reports, so that a
//! successor reports the same figures.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use lentilhitch_types::{InstanceName, TeamName};

/// Requests of each team.
pub type Counts = BTreeMap<TeamName, u64>;

/// The number of a window since 1970.
pub type WindowNumber = u64;

/// Windows that a node keeps counts of.
const WINDOWS_MAX: usize = 4;

/// What one node counted, as it is written.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeCounts {
    pub node: Option<InstanceName>,
    /// Drawn anew at each start of a process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Up to when the counts are whole, in true time.
    pub through_ms: u64,
    pub windows: BTreeMap<WindowNumber, Counts>,
}

/// The counts of this process.
#[derive(Debug)]
pub struct UsageCounter {
    window_ms: u64,
    windows: BTreeMap<WindowNumber, Counts>,
    is_changed: bool,
    written_window: WindowNumber,
}

impl UsageCounter {
    /// Counts for windows of the given length.
    pub fn new(window_ms: u64) -> Self {
        Self { window_ms, windows: BTreeMap::new(), is_changed: false, written_window: 0 }
    }

    /// Counts a request that began to run.
    pub fn count(&mut self, team: &TeamName, synced_ms: u64) {
        let window = synced_ms / self.window_ms;
        *self.windows.entry(window).or_default().entry(team.clone()).or_default() += 1;
        self.is_changed = true;
        while WINDOWS_MAX < self.windows.len() {
            self.windows.pop_first();
        }
    }

    /// What this process counted up to now.
    pub fn counts(&self, node: &InstanceName, incarnation: u64, synced_ms: u64) -> NodeCounts {
        let windows = self.windows.clone();
        NodeCounts { node: Some(node.clone()), incarnation, through_ms: synced_ms, windows }
    }

    /// Whether something is to be written: a count, or the end of a window. The answer is given once.
    pub fn take_write_due(&mut self, synced_ms: u64) -> bool {
        let window = synced_ms / self.window_ms;
        let is_due = self.is_changed || self.written_window < window;
        self.is_changed = false;
        self.written_window = window;
        is_due
    }

    /// The last record was not written.
    pub fn mark_unwritten(&mut self) {
        self.is_changed = true;
    }
}

/// A decision on one window, as it is written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    pub window: WindowNumber,
    pub counts: Counts,
}

/// How the holder decides.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub window_ms: u64,
    /// A window is decided once every node has counted past its end by so much, or after `wait_max_ms`.
    pub settle_ms: u64,
    pub wait_max_ms: u64,
    /// A window that ended longer ago is no longer reported.
    pub report_age_max_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { window_ms: 5_000, settle_ms: 300, wait_max_ms: 5_000, report_age_max_ms: 10_000 }
    }
}

/// The holder's view of all counts and decisions.
#[derive(Debug)]
pub struct UsageLedger {
    settings: Settings,
    nodes: FxHashMap<(InstanceName, u64), NodeCounts>,
    decided: BTreeMap<WindowNumber, Counts>,
    reported: BTreeSet<WindowNumber>,
}

impl UsageLedger {
    /// A ledger that knows nothing.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            nodes: FxHashMap::default(),
            decided: BTreeMap::new(),
            reported: BTreeSet::new(),
        }
    }

    /// Takes a record of a node.
    pub fn insert_counts(&mut self, counts: NodeCounts) {
        let Some(node) = counts.node.clone() else { return };
        let known = self.nodes.entry((node, counts.incarnation)).or_default();
        if known.through_ms <= counts.through_ms {
            let mut windows = std::mem::take(&mut known.windows);
            windows.extend(counts.windows.clone());
            *known = NodeCounts { windows, ..counts };
        }
    }

    /// All counts of the windows that are not decided yet.
    pub fn undecided_counts(&self) -> Vec<NodeCounts> {
        let last = self.decided.keys().next_back().copied().unwrap_or(0);
        let open = self.nodes.values().map(|it| {
            let windows = it.windows.range(last + 1..).map(|it| (*it.0, it.1.clone())).collect();
            NodeCounts { windows, ..it.clone() }
        });
        open.filter(|it| !it.windows.is_empty()).collect()
    }

    /// Takes a decision, one's own or a predecessor's; the first on a window holds.
    pub fn insert_decision(&mut self, decision: Decision) {
        self.decided.entry(decision.window).or_insert(decision.counts);
    }

    /// The next window to decide, with its counts. `n_nodes` run, as far as is known.
    pub fn next_decision(&self, n_nodes: usize, synced_ms: u64) -> Option<Decision> {
        let Settings { window_ms, settle_ms, wait_max_ms, report_age_max_ms } = self.settings;
        let current = synced_ms / window_ms;
        let first = (synced_ms.saturating_sub(report_age_max_ms + window_ms) / window_ms) + 1;
        // An earlier incarnation of a node that runs again counts no more.
        let mut latest_through_ms: FxHashMap<&InstanceName, u64> = FxHashMap::default();
        for ((node, _), it) in &self.nodes {
            let through_ms = latest_through_ms.entry(node).or_default();
            *through_ms = it.through_ms.max(*through_ms);
        }
        let is_due = |window: &WindowNumber| {
            let end_ms = (window + 1) * window_ms;
            let n_past = latest_through_ms.values().filter(|it| end_ms + settle_ms <= **it).count();
            let start_ms = end_ms.saturating_sub(window_ms);
            let n_counted = latest_through_ms.values().filter(|it| start_ms <= **it).count();
            let all_past = n_nodes.max(n_counted) <= n_past;
            end_ms + settle_ms <= synced_ms && (all_past || end_ms + wait_max_ms <= synced_ms)
        };
        let window = (first..current).find(|it| !self.decided.contains_key(it) && is_due(it))?;
        let mut counts = Counts::new();
        for node in self.nodes.values() {
            for (team, n) in node.windows.get(&window).into_iter().flatten() {
                *counts.entry(team.clone()).or_default() += n;
            }
        }
        Some(Decision { window, counts })
    }

    /// Whether a window has ended that is not decided yet.
    pub fn has_pending_window(&self, synced_ms: u64) -> bool {
        let last = (synced_ms / self.settings.window_ms).saturating_sub(1);
        !self.decided.contains_key(&last) || self.next_report(synced_ms).is_some()
    }

    /// The next decided window to report.
    pub fn next_report(&self, synced_ms: u64) -> Option<Decision> {
        let report_age_max_ms = self.settings.report_age_max_ms + self.settings.window_ms;
        let is_late =
            |it: WindowNumber| (it + 1) * self.settings.window_ms + report_age_max_ms < synced_ms;
        let mut open = self.decided.iter().filter(|it| !self.reported.contains(it.0));
        let (window, counts) = open.find(|it| !is_late(*it.0))?;
        Some(Decision { window: *window, counts: counts.clone() })
    }

    /// A window was reported, or its report can't be taken any more.
    pub fn mark_reported(&mut self, window: WindowNumber) {
        self.reported.insert(window);
    }

    /// Forgets what is too old to matter.
    pub fn tick(&mut self, synced_ms: u64) {
        let oldest = (synced_ms / self.settings.window_ms).saturating_sub(20);
        self.decided = self.decided.split_off(&oldest);
        self.reported = self.reported.split_off(&oldest);
        let oldest_ms = oldest * self.settings.window_ms;
        self.nodes.retain(|_, it| oldest_ms <= it.through_ms);
    }
}

//! Counts of started requests for each team in usage windows, and the decisions that are reported to the platform.
//!
//! Usage windows are consecutive periods of fixed length in synchronized time ([`crate::synced_clock`]). Each node
//! sends its counts of recent windows to the holder of the duty lease. Later counts of one incarnation of a node
//! replace its earlier ones. The holder periodically writes the counts that it has received to a topic of the store. A
//! node that knows of no holder writes its own counts there. The holder decides on the final counts of a window, and
//! writes this decision to a second topic before it reports the window to the platform, so that a successor reports the
//! same counts.
//!
//! A store that returns from a copy may have lost decisions whose windows were reported. A new holder therefore decides
//! only on windows on which no lost decision can exist: those that ended when the current era of the store had begun. A
//! node that has held the lease since the end of a window has made any decision on it itself, and knows it.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use lentilhitch_types::{InstanceName, StoreEra, TeamName};

/// Number of requests of each team.
pub type Counts = BTreeMap<TeamName, u64>;

/// Number of a window, counted from the Unix epoch.
pub type WindowNumber = u64;

/// Maximum number of windows for which a node keeps counts.
const WINDOWS_MAX: usize = 4;

/// Counts of one node, as written to the topic and sent to the holder.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeCounts {
    pub node: Option<InstanceName>,
    /// Number of the process's incarnation, chosen anew at each start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Synchronized time up to which the counts are complete.
    pub through_ms: u64,
    pub windows: BTreeMap<WindowNumber, Counts>,
}

/// Counts of this process by window.
#[derive(Debug)]
pub struct UsageCounter {
    window_ms: u64,
    windows: BTreeMap<WindowNumber, Counts>,
    is_changed: bool,
    written_window: WindowNumber,
}

impl UsageCounter {
    /// Creates a counter for windows of the given length.
    pub fn new(window_ms: u64) -> Self {
        Self { window_ms, windows: BTreeMap::new(), is_changed: false, written_window: 0 }
    }

    /// Counts a request that has started to run.
    pub fn count(&mut self, team: &TeamName, synced_ms: u64) {
        let window = synced_ms / self.window_ms;
        *self.windows.entry(window).or_default().entry(team.clone()).or_default() += 1;
        self.is_changed = true;
        while WINDOWS_MAX < self.windows.len() {
            self.windows.pop_first();
        }
    }

    /// Returns the counts of this process up to now.
    pub fn counts(&self, node: &InstanceName, incarnation: u64, synced_ms: u64) -> NodeCounts {
        let windows = self.windows.clone();
        NodeCounts { node: Some(node.clone()), incarnation, through_ms: synced_ms, windows }
    }

    /// Returns whether the counts need to be written because a request was counted or a window ended, and resets this
    /// until the next such event.
    pub fn take_write_due(&mut self, synced_ms: u64) -> bool {
        let window = synced_ms / self.window_ms;
        let is_due = self.is_changed || self.written_window < window;
        self.is_changed = false;
        self.written_window = window;
        is_due
    }

    /// Marks the counts as unwritten after a write failed.
    pub fn mark_unwritten(&mut self) {
        self.is_changed = true;
    }
}

/// The final counts of one window.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    pub window: WindowNumber,
    pub counts: Counts,
}

/// A decision, as written to the topic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    pub window: WindowNumber,
    pub counts: Counts,
    /// Era of the store in which this was written, as the writer knew it, and the synchronized time of the writing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub written: Option<(StoreEra, u64)>,
}

impl DecisionRecord {
    pub fn new(decision: Decision, written: Option<(StoreEra, u64)>) -> Self {
        let Decision { window, counts } = decision;
        Self { window, counts, written }
    }
}

/// What a holder knows of its lease and of the store when it decides on windows.
#[derive(Clone, Copy, Debug)]
pub struct Tenure {
    /// Synchronized time from which on this node has held the lease without interruption.
    pub held_since_ms: u64,
    /// Current era of the store, or `None` if the store has not been reached yet.
    pub era: Option<StoreEra>,
}

/// Settings for decisions of the holder.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub window_ms: u64,
    /// A window is decided once the counts of every node extend beyond its end by this time.
    pub settle_ms: u64,
    /// A window is decided this time after its end at the latest, whether or not all nodes have sent their counts.
    pub wait_max_ms: u64,
    /// Time after the end of a window for which the window can still be decided. A decided window is still reported for
    /// the length of one more window.
    pub report_age_max_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { window_ms: 5_000, settle_ms: 300, wait_max_ms: 5_000, report_age_max_ms: 10_000 }
    }
}

/// Counts of all nodes and decisions on all windows, as known to the holder of the duty lease.
#[derive(Debug)]
pub struct UsageLedger {
    settings: Settings,
    nodes: FxHashMap<(InstanceName, u64), NodeCounts>,
    decided: BTreeMap<WindowNumber, Counts>,
    reported: BTreeSet<WindowNumber>,
    /// Windows that this node does not decide on, since a decision on them may be lost.
    given_up: BTreeSet<WindowNumber>,
    /// For each era of the store, the earliest time by which it is known to have begun.
    era_known_ms: BTreeMap<StoreEra, u64>,
}

impl UsageLedger {
    /// Creates an empty ledger.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            nodes: FxHashMap::default(),
            decided: BTreeMap::new(),
            reported: BTreeSet::new(),
            given_up: BTreeSet::new(),
            era_known_ms: BTreeMap::new(),
        }
    }

    /// Inserts the counts of a node, unless later counts of the same incarnation are known.
    pub fn insert_counts(&mut self, counts: NodeCounts) {
        let Some(node) = counts.node.clone() else { return };
        let known = self.nodes.entry((node, counts.incarnation)).or_default();
        if known.through_ms <= counts.through_ms {
            let mut windows = std::mem::take(&mut known.windows);
            windows.extend(counts.windows.clone());
            *known = NodeCounts { windows, ..counts };
        }
    }

    /// Returns the counts of all nodes for the windows after the last decided one.
    pub fn undecided_counts(&self) -> Vec<NodeCounts> {
        let last = self.decided.keys().next_back().copied().unwrap_or(0);
        let undecided = self.nodes.values().map(|it| {
            let windows = it.windows.range(last + 1..).map(|it| (*it.0, it.1.clone())).collect();
            NodeCounts { windows, ..it.clone() }
        });
        undecided.filter(|it| !it.windows.is_empty()).collect()
    }

    /// Inserts a decision of this node or of a previous holder. The first decision on a window is final.
    pub fn insert_decision(&mut self, decision: Decision) {
        self.decided.entry(decision.window).or_insert(decision.counts);
    }

    /// Inserts a decision that was read from the topic.
    pub fn insert_record(&mut self, record: DecisionRecord) {
        let DecisionRecord { window, counts, written } = record;
        if let Some((era, written_ms)) = written {
            self.on_era(era, written_ms);
        }
        self.insert_decision(Decision { window, counts });
    }

    /// Records that an era of the store had begun at the given time.
    pub fn on_era(&mut self, era: StoreEra, synced_ms: u64) {
        let known_ms = self.era_known_ms.entry(era).or_insert(synced_ms);
        *known_ms = synced_ms.min(*known_ms);
    }

    /// Returns whether no era of the store is known yet.
    pub fn knows_no_era(&self) -> bool {
        self.era_known_ms.is_empty()
    }

    /// Gives up the windows on which a decision that is not known may exist. Returns those that were not given up before.
    pub fn give_up_windows(&mut self, tenure: Tenure, synced_ms: u64) -> Vec<WindowNumber> {
        let Tenure { held_since_ms, era } = tenure;
        let era_known_ms = era.and_then(|it| self.era_known_ms.get(&it));
        let safe_from_ms = era_known_ms.map_or(held_since_ms, |it| held_since_ms.min(*it));
        let ended_before = |it: &WindowNumber| (it + 1) * self.settings.window_ms < safe_from_ms;
        let due = self.first_to_decide(synced_ms)..synced_ms / self.settings.window_ms;
        let lost = due.filter(|it| ended_before(it) && !self.decided.contains_key(it));
        let lost: Vec<_> = lost.filter(|it| !self.given_up.contains(it)).collect();
        self.given_up.extend(&lost);
        lost
    }

    /// Returns the known decisions.
    pub fn decisions(&self) -> impl Iterator<Item = Decision> {
        self.decided
            .iter()
            .map(|(window, counts)| Decision { window: *window, counts: counts.clone() })
    }

    /// Returns the next window to decide, with its counts. `n_nodes` is the number of nodes that are known to run.
    pub fn next_decision(&self, n_nodes: usize, synced_ms: u64) -> Option<Decision> {
        let Settings { window_ms, settle_ms, wait_max_ms, .. } = self.settings;
        let due = self.first_to_decide(synced_ms)..synced_ms / window_ms;
        // Earlier incarnations of a restarted node are not waited for. Their counts are still added up below.
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
        let is_open = |it: &WindowNumber| !self.is_settled(*it);
        let window = due.filter(is_open).find(is_due)?;
        let mut counts = Counts::new();
        for node in self.nodes.values() {
            for (team, n) in node.windows.get(&window).into_iter().flatten() {
                *counts.entry(team.clone()).or_default() += n;
            }
        }
        Some(Decision { window, counts })
    }

    /// Returns the first window that may still be decided.
    fn first_to_decide(&self, synced_ms: u64) -> WindowNumber {
        let Settings { window_ms, report_age_max_ms, .. } = self.settings;
        synced_ms.saturating_sub(report_age_max_ms + window_ms) / window_ms + 1
    }

    /// Returns whether this node has nothing more to decide on a window.
    fn is_settled(&self, window: WindowNumber) -> bool {
        self.decided.contains_key(&window) || self.given_up.contains(&window)
    }

    /// Returns whether the last window that ended is undecided, or any decided window is still to be reported.
    pub fn has_pending_window(&self, synced_ms: u64) -> bool {
        let last = (synced_ms / self.settings.window_ms).saturating_sub(1);
        !self.is_settled(last) || self.next_report(synced_ms).is_some()
    }

    /// Returns the next decided window to report.
    pub fn next_report(&self, synced_ms: u64) -> Option<Decision> {
        let report_age_max_ms = self.settings.report_age_max_ms + self.settings.window_ms;
        let is_late =
            |it: WindowNumber| (it + 1) * self.settings.window_ms + report_age_max_ms < synced_ms;
        let mut unreported = self.decided.iter().filter(|it| !self.reported.contains(it.0));
        let (window, counts) = unreported.find(|it| !is_late(*it.0))?;
        Some(Decision { window: *window, counts: counts.clone() })
    }

    /// Marks a window as reported, or as one whose report is no longer accepted.
    pub fn mark_reported(&mut self, window: WindowNumber) {
        self.reported.insert(window);
    }

    /// Removes counts, decisions and reports that are older than 20 windows.
    pub fn tick(&mut self, synced_ms: u64) {
        let oldest = (synced_ms / self.settings.window_ms).saturating_sub(20);
        self.decided = self.decided.split_off(&oldest);
        self.reported = self.reported.split_off(&oldest);
        self.given_up = self.given_up.split_off(&oldest);
        let oldest_ms = oldest * self.settings.window_ms;
        self.nodes.retain(|_, it| oldest_ms <= it.through_ms);
    }
}

//! Limits that upstreams state for the requests per second that they accept from all nodes together.
//!
//! Nodes share a limit without agreement. Each ranks all nodes by a hash for the upstream, and only the first ones send
//! requests there, at most as many nodes as the limit has requests per second. Each of them sends at its part of the
//! limit, with at most half a second to make up for, so that in any time all together send no more than the limit, half
//! a second of it, and one request each. Nodes that disagree on who runs, or are cut off from each other, still rank the
//! same nodes first.
//!
//! A limit applies to one incarnation of an upstream until a response no longer states it. Nodes tell each other of
//! limits, since most of them get no responses of a limited upstream, in [`LimitReport`]s with their age.

use std::cmp::Reverse;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{placement::upstream_hash, traffic::UpstreamEntry};

/// Smallest limit that is applied. Without any request nobody would learn that a limit has ended.
const LIMIT_MIN_PER_S: f64 = 0.2;
/// Interval at which a limit that is stated again is reported again.
const REPORT_INTERVAL_MS: u64 = 5_000;
/// Time for which an unused share is kept.
const CREDIT_MS: f64 = 500.0;
/// Minimum interval at which the shares follow the known nodes.
const UPDATE_INTERVAL_MS: u64 = 1_000;
/// Time without a statement or a report after which a limit is no longer applied.
const RETENTION_MS: u64 = 60_000;

/// Limit of an upstream, as nodes tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LimitReport {
    /// Hash of the upstream's name.
    #[serde(rename = "u")]
    pub upstream: u32,
    /// Start of the incarnation that stated the limit, in milliseconds since the Unix epoch.
    #[serde(rename = "b")]
    pub started_ms: u64,
    /// Limit in requests per 1000 s, or `None` if the upstream no longer states one.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub limit_per_ks: Option<u64>,
    /// Time since the statement.
    #[serde(rename = "o")]
    pub age_ms: u64,
}

/// The nodes that share a limit.
#[derive(Clone, Copy, Debug)]
pub struct Members<'a> {
    /// Hash of this node's name.
    pub local: u64,
    /// Hashes of the names of the other known nodes.
    pub others: &'a [u64],
}

/// Part of a limit that this node may use.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Share {
    /// Other nodes use the limit.
    Nothing,
    /// Milliseconds between the requests of this node.
    Interval(f64),
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    started_ms: u64,
    /// `None` if the upstream stated none last.
    per_s: Option<f64>,
    /// When the upstream stated this.
    stated_ms: u64,
    reported_ms: u64,
    share: Share,
    /// When this node may send the next request.
    next_ms: f64,
}

/// Limits of upstreams, by hash of the upstream's name.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimits {
    limits: FxHashMap<u32, Limit>,
    reports: Vec<LimitReport>,
    updated_ms: u64,
}

impl UpstreamLimits {
    /// Records what the response of an upstream states: a limit in requests per second, or none. Returns whether the
    /// limit has changed.
    pub fn record(
        &mut self,
        upstream: &UpstreamEntry,
        per_s: Option<f64>,
        members: Members<'_>,
        now_ms: u64,
    ) -> bool {
        let hash = upstream_hash(&upstream.id);
        let limit_per_ks = per_s.map(|it| (it * 1_000.0).round() as u64);
        if limit_per_ks.is_none() && !self.limits.contains_key(&hash) {
            return false;
        }
        let started_ms = upstream.started_ms;
        let report = LimitReport { upstream: hash, started_ms, limit_per_ks, age_ms: 0 };
        let has_changed = self.apply(report, members, now_ms);
        if let Some(limit) = self.limits.get_mut(&hash)
            && (has_changed
                || (per_s.is_some() && limit.reported_ms + REPORT_INTERVAL_MS <= now_ms))
        {
            limit.reported_ms = now_ms;
            self.reports.push(report);
        }
        has_changed
    }

    /// Handles the report of another node. Returns whether the limit has changed.
    pub fn on_report(&mut self, report: LimitReport, members: Members<'_>, now_ms: u64) -> bool {
        self.apply(report, members, now_ms)
    }

    /// Updates the shares of this node to the nodes that are known now, and drops limits that were not stated for long.
    pub fn update(&mut self, members: Members<'_>, now_ms: u64) {
        if now_ms < self.updated_ms + UPDATE_INTERVAL_MS {
            return;
        }
        self.updated_ms = now_ms;
        self.limits.retain(|_, it| now_ms <= it.stated_ms + RETENTION_MS);
        for (upstream, limit) in &mut self.limits {
            limit.share = share(*upstream, limit.per_s, members);
        }
    }

    /// Returns the reports for the other nodes that have come up since the last call.
    pub fn take_reports(&mut self) -> Vec<LimitReport> {
        std::mem::take(&mut self.reports)
    }

    /// Returns this node's part of an upstream's limit in requests per second, if there is a limit.
    pub fn share_per_s(&self, upstream: &UpstreamEntry) -> Option<f64> {
        let limit = self.limits.get(&upstream_hash(&upstream.id))?;
        limit.per_s?;
        Some(match limit.share {
            Share::Nothing => 0.0,
            Share::Interval(interval_ms) => 1_000.0 / interval_ms,
        })
    }

    /// Returns whether there are no limits.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the time until this node may send a request to the upstream, or `None` if it may send one now.
    pub fn remaining_ms(&self, upstream: &UpstreamEntry, now_ms: u64) -> Option<u64> {
        if self.limits.is_empty() {
            return None;
        }
        let limit = self.limits.get(&upstream_hash(&upstream.id))?;
        let per_s = limit.per_s.filter(|_| limit.started_ms == upstream.started_ms)?;
        let remaining_ms = match limit.share {
            Share::Nothing => 1_000.0 / per_s,
            Share::Interval(_) => limit.next_ms - now_ms as f64,
        };
        (0.0 < remaining_ms).then(|| remaining_ms.ceil() as u64)
    }

    /// Records that this node sends a request to an upstream.
    pub fn record_send(&mut self, upstream: &UpstreamEntry, now_ms: u64) {
        if self.limits.is_empty() {
            return;
        }
        if let Some(limit) = self.limits.get_mut(&upstream_hash(&upstream.id))
            && let Share::Interval(interval_ms) = limit.share
        {
            limit.next_ms = limit.next_ms.max(now_ms as f64 - CREDIT_MS) + interval_ms;
        }
    }

    fn apply(&mut self, report: LimitReport, members: Members<'_>, now_ms: u64) -> bool {
        let LimitReport { upstream, started_ms, limit_per_ks, age_ms } = report;
        let stated_ms = now_ms.saturating_sub(age_ms);
        let per_s = limit_per_ks.map(|it| (it as f64 / 1_000.0).max(LIMIT_MIN_PER_S));
        let previous = self.limits.get(&upstream).copied();
        let is_outdated =
            previous.is_some_and(|it| (started_ms, stated_ms) < (it.started_ms, it.stated_ms));
        if is_outdated {
            return false;
        }
        let previous = previous.filter(|it| it.started_ms == started_ms);
        let has_changed = previous.and_then(|it| it.per_s) != per_s;
        let Some(previous) = previous.filter(|_| !has_changed) else {
            let share = share(upstream, per_s, members);
            // The request that was answered with the statement counts.
            let first_interval_ms = if let Share::Interval(it) = share { it } else { 0.0 };
            let next_ms = now_ms as f64 + first_interval_ms;
            let limit = Limit { started_ms, per_s, stated_ms, reported_ms: now_ms, share, next_ms };
            self.limits.insert(upstream, limit);
            return has_changed;
        };
        self.limits.insert(upstream, Limit { stated_ms, ..previous });
        false
    }
}

/// Returns the share of this node in the limit of an upstream.
fn share(upstream: u32, per_s: Option<f64>, members: Members<'_>) -> Share {
    let Some(per_s) = per_s else { return Share::Nothing };
    let rank = |node: u64| xxh3_64_with_seed(&node.to_le_bytes(), u64::from(upstream));
    let n_nodes = members.others.len() + 1;
    let n_users = (per_s as usize).clamp(1, n_nodes);
    let local_rank = (rank(members.local), Reverse(members.local));
    let is_before = |it: &&u64| (rank(**it), Reverse(**it)) < local_rank;
    if members.others.iter().filter(is_before).count() < n_users {
        Share::Interval(1_000.0 * n_users as f64 / per_s)
    } else {
        Share::Nothing
    }
}

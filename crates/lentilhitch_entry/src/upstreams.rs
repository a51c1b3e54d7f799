//! State of the upstreams as known to this process, and the requests that it runs on them.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use reqwest::Client;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use tokio::time::{interval, sleep};

use lentilhitch_chart::charts::upstream::{Action, CHART, Event, State};
use lentilhitch_config::Upstream;
use lentilhitch_platform::InstanceState;
use lentilhitch_policy::{
    notice::Notice,
    quarantine::UpstreamIncarnation,
    routing::{Load, UpstreamView},
};
use lentilhitch_types::{Fingerprint, Incarnation, UpstreamName, Zone};

use crate::{entry::Entry, evacuate::evacuate, protocol::Message};

/// Number of consecutive missed load reports after which an upstream counts as unreachable.
const MISSED_REPORTS_MAX: u32 = 4;
/// Number of checks without a result after which a lost upstream counts as unreachable instead of crashed.
const CRASH_CHECKS_MAX: usize = 5;
const CRASH_CHECK_INTERVAL_MS: u64 = 30;
const DEFAULT_KV_TOKENS_PER_S: f64 = 20_000.0;

/// Load report of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub(crate) struct LoadReport {
    incarnation: u64,
    leaving: bool,
    n_requests: u32,
    queued_prompt_tokens: u64,
    prefill_tokens_per_s: f64,
    slots: u32,
    /// Model version that is loaded.
    version: Option<String>,
    /// Time that the upstream continues to run, with `leaving`.
    leaving_in_ms: Option<u64>,
    /// Number of tokens whose KV cache the upstream can export per second.
    kv_tokens_per_s: Option<f64>,
    /// Time of the upstream's own clock. Orders state the latest start time on this clock.
    now_ms: Option<u64>,
}

/// State of an upstream as known to this process.
#[derive(Clone, Debug)]
struct UpstreamInfo {
    state: State,
    incarnation: Incarnation,
    load: Load,
    n_missed_reports: u32,
    n_sent_since_report: u32,
    prompt_tokens_sent_since_report: u64,
    /// Requests of this process that run on the upstream now.
    running: Vec<Fingerprint>,
    /// Time for which the upstream continues to run if it is leaving, as last reported.
    notice_ms: Option<u64>,
    kv_tokens_per_s: f64,
    version: Option<String>,
    /// Time of the upstream's clock, and the local time at which the report had been read.
    clock_reading: Option<(u64, u64)>,
    /// Highest incarnation that is known to be leaving.
    leaving_incarnation: Incarnation,
}

impl Default for UpstreamInfo {
    fn default() -> Self {
        Self {
            state: CHART.initial(),
            incarnation: Incarnation(0),
            load: Load { prefill_tokens_per_s: 8_000.0, slots: 16, ..Load::default() },
            n_missed_reports: 0,
            n_sent_since_report: 0,
            prompt_tokens_sent_since_report: 0,
            running: Vec::new(),
            notice_ms: None,
            kv_tokens_per_s: DEFAULT_KV_TOKENS_PER_S,
            version: None,
            clock_reading: None,
            leaving_incarnation: Incarnation(0),
        }
    }
}

/// Table of the upstreams.
#[derive(Default)]
pub(crate) struct Upstreams(Mutex<FxHashMap<UpstreamName, UpstreamInfo>>);

/// Request that counts as running on an upstream until dropped.
pub(crate) struct AssignmentGuard {
    entry: Arc<Entry>,
    upstream: UpstreamName,
    pub(crate) incarnation: Incarnation,
    fingerprint: Fingerprint,
}

impl AssignmentGuard {
    /// Returns whether the incarnation that the request was sent to is known to be leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        let leaving_incarnation =
            self.entry.upstreams.with_info(&self.upstream, |it| it.leaving_incarnation);
        self.incarnation != Incarnation(0) && self.incarnation <= leaving_incarnation
    }
}

impl Drop for AssignmentGuard {
    fn drop(&mut self) {
        self.entry.upstreams.with_info(&self.upstream, |it| {
            if let Some(idx) = it.running.iter().position(|it| *it == self.fingerprint) {
                it.running.swap_remove(idx);
            }
        });
    }
}

impl Upstreams {
    /// Reads or updates the state of an upstream, which is added if it is not known yet.
    fn with_info<T>(
        &self,
        upstream: &UpstreamName,
        update: impl FnOnce(&mut UpstreamInfo) -> T,
    ) -> T {
        update(self.0.lock().entry(upstream.clone()).or_default())
    }

    /// Returns whether new requests may be sent to the upstream.
    pub(crate) fn accepts_requests(&self, upstream: &UpstreamName) -> bool {
        self.with_info(upstream, |it| matches!(it.state, State::Available | State::Untried))
    }

    pub(crate) fn is_unreachable(&self, upstream: &UpstreamName) -> bool {
        self.with_info(upstream, |it| it.state == State::Unreachable)
    }

    /// Returns the upstream's state for routing, except for the cached prefix.
    pub(crate) fn view(&self, upstream: &Upstream, local_zone: &Zone) -> UpstreamView {
        let network_ms = if upstream.zone == *local_zone { 0.1 } else { 1.0 };
        self.with_info(&upstream.name, |it| UpstreamView {
            load: it.load,
            n_sent_since_report: it.n_sent_since_report,
            prompt_tokens_sent_since_report: it.prompt_tokens_sent_since_report,
            cached_tokens: 0,
            network_ms,
            price_microusd_per_hour: upstream.price_microusd_per_hour,
            reclaims_per_hour: upstream.reclaims_per_hour,
        })
    }

    /// Returns the current incarnation of an upstream.
    pub(crate) fn current_incarnation(&self, upstream: &UpstreamName) -> UpstreamIncarnation {
        (upstream.clone(), self.with_info(upstream, |it| it.incarnation))
    }

    /// Returns the loaded version and the clock reading of an upstream, as last reported.
    pub(crate) fn version_and_clock(
        &self,
        upstream: &UpstreamName,
    ) -> (Option<String>, Option<(u64, u64)>) {
        self.with_info(upstream, |it| (it.version.clone(), it.clock_reading))
    }

    /// Returns the time that a leaving upstream continues to run, if it reports one, and its export rate in tokens per
    /// second.
    pub(crate) fn notice_and_export_rate(&self, upstream: &UpstreamName) -> (Option<u64>, f64) {
        self.with_info(upstream, |it| (it.notice_ms, it.kv_tokens_per_s))
    }

    /// Returns the requests of this process that run on an upstream.
    pub(crate) fn running_requests(&self, upstream: &UpstreamName) -> Vec<Fingerprint> {
        self.with_info(upstream, |it| it.running.clone())
    }

    /// Returns whether a request of this process with this fingerprint runs on any upstream.
    pub(crate) fn is_request_running(&self, fingerprint: Fingerprint) -> bool {
        self.0.lock().values().any(|it| it.running.contains(&fingerprint))
    }

    /// Counts a request as running on an upstream until the guard is dropped.
    pub(crate) fn assign(
        entry: &Arc<Entry>,
        upstream: &UpstreamName,
        fingerprint: Fingerprint,
        prompt_tokens: u64,
    ) -> AssignmentGuard {
        entry.upstreams.with_info(upstream, |it| {
            it.running.push(fingerprint);
            it.n_sent_since_report += 1;
            it.prompt_tokens_sent_since_report += prompt_tokens;
            let (entry, upstream, incarnation) = (entry.clone(), upstream.clone(), it.incarnation);
            AssignmentGuard { entry, upstream, incarnation, fingerprint }
        })
    }

    /// Applies an event. Returns the resulting actions and the upstream's incarnation.
    fn step(&self, upstream: &UpstreamName, event: Event) -> (Vec<Action>, Incarnation) {
        self.with_info(upstream, |it| {
            let step = CHART.step(it.state, event);
            if step.to != it.state {
                log::info!(upstream:% = upstream, from:? = it.state, to:? = step.to, event:? = event; "upstream state");
            }
            it.state = step.to;
            (step.actions, it.incarnation)
        })
    }

    pub(crate) fn states(&self) -> Vec<(UpstreamName, State, Incarnation, usize)> {
        let upstreams = self.0.lock();
        let mut states: Vec<_> = upstreams
            .iter()
            .map(|(name, it)| (name.clone(), it.state, it.incarnation, it.running.len()))
            .collect();
        states.sort_by(|a, b| a.0.cmp(&b.0));
        states
    }

    /// Records a load report. Returns whether the upstream has a newer incarnation than before.
    fn on_report(&self, upstream: &UpstreamName, report: &LoadReport, now_ms: u64) -> bool {
        let incarnation = Incarnation(report.incarnation);
        self.with_info(upstream, |it| {
            it.n_missed_reports = 0;
            it.version.clone_from(&report.version);
            it.notice_ms = report.leaving_in_ms;
            it.kv_tokens_per_s = report.kv_tokens_per_s.unwrap_or(DEFAULT_KV_TOKENS_PER_S);
            it.clock_reading = report.now_ms.map(|it| (it, now_ms));
            it.n_sent_since_report = 0;
            it.prompt_tokens_sent_since_report = 0;
            it.load = Load {
                n_requests: report.n_requests,
                queued_prompt_tokens: report.queued_prompt_tokens,
                prefill_tokens_per_s: if report.prefill_tokens_per_s > 0.0 {
                    report.prefill_tokens_per_s
                } else {
                    8_000.0
                },
                slots: report.slots.max(1),
            };
            let is_new = it.incarnation < incarnation;
            it.incarnation = it.incarnation.max(incarnation);
            is_new
        })
    }
}

impl Entry {
    /// Handles a failure to connect to an upstream.
    pub(crate) fn on_connect_failed(&self, upstream: &UpstreamName) {
        self.upstreams.step(upstream, Event::ConnectFailed);
    }

    /// Handles notices of leaving upstreams, found locally or received from a peer. Broadcasts the new ones at once.
    pub(crate) fn on_notices(self: &Arc<Self>, notices: &[Notice]) {
        let mut known_notices = self.notices.lock();
        let new: Vec<_> = notices.iter().filter(|it| known_notices.insert(it)).cloned().collect();
        drop(known_notices);
        for notice in &new {
            self.apply_notice(&notice.upstream);
        }
        if !new.is_empty() {
            self.peers().broadcast(&Message::Notices(new));
        }
    }

    pub(crate) fn notices(&self) -> Vec<Notice> {
        self.notices.lock().iter().collect()
    }

    /// Starts the evacuation of an upstream if its current incarnation is known to be leaving.
    fn apply_notice(self: &Arc<Self>, upstream: &UpstreamName) {
        let incarnation = self.upstreams.with_info(upstream, |it| it.incarnation);
        if !self.notices.lock().is_leaving(upstream, incarnation) {
            return;
        }
        let (actions, _) = self.upstreams.step(upstream, Event::Notice);
        if actions.contains(&Action::MoveStreams) {
            self.upstreams.with_info(upstream, |it| it.leaving_incarnation = incarnation);
            tokio::spawn(evacuate(self.clone(), upstream.clone()));
        }
    }

    /// Handles a load report of an upstream.
    fn on_load_report(self: &Arc<Self>, upstream: &UpstreamName, report: &LoadReport) {
        let is_new = self.upstreams.on_report(upstream, report, self.clock.now_ms());
        if is_new {
            let (actions, _) = self.upstreams.step(upstream, Event::NewIncarnation);
            if actions.contains(&Action::ForgetCache) {
                self.prefixes.lock().remove_upstream(upstream);
            }
        }
        self.upstreams.step(upstream, Event::Report);
        if report.leaving {
            let incarnation = Incarnation(report.incarnation);
            self.on_notices(&[Notice { upstream: upstream.clone(), incarnation }]);
        }
        self.apply_notice(upstream);
    }

    /// Handles a poll that brought no load report.
    fn on_report_missed(&self, upstream: &UpstreamName) {
        let n_missed_reports = self.upstreams.with_info(upstream, |it| {
            it.n_missed_reports += 1;
            it.n_missed_reports
        });
        if MISSED_REPORTS_MAX <= n_missed_reports {
            self.upstreams.step(upstream, Event::ReportOverdue);
        }
    }

    /// Returns whether an incarnation of an upstream has ended: its connections are refused, or another incarnation
    /// responds. An upstream that can't be reached otherwise is not known to have crashed.
    pub(crate) async fn has_crashed(
        &self,
        upstream: &Upstream,
        incarnation: &UpstreamIncarnation,
    ) -> bool {
        for _ in 0..CRASH_CHECKS_MAX {
            match fetch_report(
                &self.http_unpooled,
                upstream,
                self.settings.timing.connect_timeout_ms,
            )
            .await
            {
                Ok(report) => return Incarnation(report.incarnation) != incarnation.1,
                Err(err) if is_refused(&err) => return true,
                // A process that is terminating may still accept a connection.
                Err(_) => sleep(Duration::from_millis(CRASH_CHECK_INTERVAL_MS)).await,
            }
        }
        false
    }
}

/// Returns whether the connection was refused, as by a host that is up and has no listener on the port.
fn is_refused(err: &reqwest::Error) -> bool {
    let mut source: Option<&dyn std::error::Error> = Some(err);
    while let Some(it) = source {
        let kind = it.downcast_ref::<std::io::Error>().map(std::io::Error::kind);
        if kind == Some(std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        source = it.source();
    }
    false
}

/// Fetches the load report of an upstream. An upstream without this interface counts as reporting defaults.
async fn fetch_report(
    http: &Client,
    upstream: &Upstream,
    timeout_ms: u64,
) -> reqwest::Result<LoadReport> {
    let url = format!("http://{}/v1/load", upstream.address);
    let response = http.get(url).timeout(Duration::from_millis(timeout_ms)).send().await?;
    if response.status() == reqwest::StatusCode::NOT_FOUND {
        return Ok(LoadReport::default());
    }
    response.error_for_status()?.json().await
}

/// Polls every upstream for its load report and the platform for its list of instances, once per `load_report_ms`,
/// until the process ends. Each poll runs in its own task, so polls of one upstream may overlap if the upstream
/// responds slowly.
pub(crate) async fn poll_upstreams(entry: Arc<Entry>) {
    let timing = entry.settings.timing;
    let mut ticks = interval(Duration::from_millis(timing.load_report_ms));
    loop {
        ticks.tick().await;
        for upstream in entry.directory().upstreams.values().cloned() {
            let entry = entry.clone();
            tokio::spawn(async move {
                match fetch_report(&entry.http, &upstream, timing.load_report_ms * 2).await {
                    Ok(report) => entry.on_load_report(&upstream.name, &report),
                    Err(err) if err.is_connect() => entry.on_connect_failed(&upstream.name),
                    Err(_) => entry.on_report_missed(&upstream.name),
                }
            });
        }
        let entry = entry.clone();
        tokio::spawn(async move {
            // The list may be out of date or unavailable. Notices in load reports and from peers are handled without
            // it.
            let Ok(instances) = entry.cloud.instances().await else { return };
            let leaving = instances.into_iter().filter(|it| it.state == InstanceState::Leaving);
            let notices =
                leaving.map(|it| Notice { upstream: it.name, incarnation: it.incarnation });
            entry.on_notices(&notices.collect::<Vec<_>>());
        });
    }
}

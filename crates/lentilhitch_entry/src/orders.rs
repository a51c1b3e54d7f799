//! Orders to the upstreams of a zone, given by the holder of the zone's lease alone.
//!
//! The holder compares what upstreams report with what is declared and orders what differs, again and again, so an order
//! that was lost, refused or overruled is made up for. Right before each order it looks whether its lease is valid; the
//! order carries the fencing number, and in the upstream's own clock until when it may begin.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::time::{interval, timeout};

use lentilhitch_chart::charts::lease::{Action, Event};
use lentilhitch_config::{Settings, Upstream};
use lentilhitch_platform::Stream;
use lentilhitch_policy::{
    fold::Payload,
    lease::{Candidate, LeaseRecord, Leases, OrderPermit, Settings as LeaseSettings},
};
use lentilhitch_types::AttemptId;

use crate::{directory::language, entry::Entry, follow::Followed};

const TICK_INTERVAL_MS: u64 = 200;
/// How long giving the lease back may hold up a stop.
const LEASE_RELEASE_TIMEOUT_MS: u64 = 1_000;

/// The lease of the zone and what is known of it.
pub(crate) struct Orders {
    pub(crate) followed: Followed<Leases>,
    candidate: Mutex<Candidate>,
    /// The log service's time, and this process's when it was read.
    log_time_ms: Mutex<Option<(u64, u64)>>,
}

impl Orders {
    pub(crate) fn new(settings: &Settings) -> Self {
        let lease = format!("orders/{}", settings.zone);
        let term = AttemptId::from_random(rand::random());
        let candidate =
            Candidate::new(lease, settings.instance.clone(), term, LeaseSettings::default());
        Self {
            followed: Followed::default(),
            candidate: Mutex::new(candidate),
            log_time_ms: Mutex::default(),
        }
    }

    pub(crate) fn record_log_time(&self, log_ms: u64, now_ms: u64) {
        *self.log_time_ms.lock() = Some((log_ms, now_ms));
    }

    pub(crate) fn dump(&self, now_ms: u64) -> Value {
        let candidate = self.candidate.lock();
        let permit = candidate.permit(now_ms);
        json!({ "name": candidate.lease, "state": candidate.state(), "fencing": permit.map(|it| it.fencing_token) })
    }

    /// The log service's time as far as it can be known now.
    pub(crate) fn log_now_ms(&self, now_ms: u64) -> Option<u64> {
        self.log_time_ms.lock().map(|(log_ms, read_ms)| log_ms + now_ms.saturating_sub(read_ms))
    }

    fn permit(&self, now_ms: u64, upstream: &Upstream) -> Option<OrderPermit> {
        let candidate = self.candidate.lock();
        if upstream.checks_fencing {
            candidate.permit(now_ms)
        } else {
            candidate.unfenced_permit(now_ms)
        }
    }
}

/// Wants the lease, and gives orders while it is held, until the process ends.
pub(crate) async fn run(entry: Arc<Entry>) {
    let mut ticks = interval(Duration::from_millis(TICK_INTERVAL_MS));
    loop {
        ticks.tick().await;
        if entry.is_leaving() || declared_versions(&entry).is_empty() {
            continue;
        }
        let now_ms = entry.clock.now_ms();
        let Some(log_now_ms) = entry.orders.log_now_ms(now_ms) else { continue };
        let actions = entry
            .orders
            .followed
            .with(|it| entry.orders.candidate.lock().tick(now_ms, log_now_ms, it));
        if actions.contains(&Action::AppendRequest) {
            tokio::spawn(append_request(entry.clone()));
        }
        for (upstream, version) in declared_versions(&entry) {
            send_order(&entry, &upstream, &version).await;
        }
    }
}

/// Gives the lease back, so that a successor need not wait for it to lapse.
pub(crate) async fn release_lease(entry: &Arc<Entry>) {
    let record = {
        let mut candidate = entry.orders.candidate.lock();
        let actions = candidate.step(Event::Terminate);
        actions.contains(&Action::AppendRelease).then(|| candidate.release_record())
    };
    if let Some(record) = record {
        // A successor waits for the lease to lapse when this fails.
        let _ =
            timeout(Duration::from_millis(LEASE_RELEASE_TIMEOUT_MS), append(entry, record)).await;
    }
}

async fn append_request(entry: Arc<Entry>) {
    let attempt = AttemptId::from_random(rand::random());
    let record = entry.orders.candidate.lock().request_record(attempt, entry.clock.now_ms());
    if !append(&entry, record).await {
        entry.orders.candidate.lock().step(Event::AppendFailed);
    }
}

async fn append(entry: &Entry, record: LeaseRecord) -> bool {
    match serde_json::to_string(&Payload::Record(record)) {
        Ok(payload) => entry.log_access().append(Stream::Leases, &payload).await.is_ok(),
        Err(err) => {
            log::error!(error:% = err; "a lease record can't be written as JSON");
            false
        }
    }
}

/// Each upstream of the zone whose service declares a model version, and that version.
fn declared_versions(entry: &Entry) -> Vec<(Upstream, String)> {
    let directory = entry.directory();
    let mut declared = Vec::new();
    for service in &directory.services {
        let Some(version) = language(service).and_then(|it| it.version.as_ref()) else { continue };
        let local = service.upstreams.iter().filter(|it| it.zone == entry.settings.zone);
        declared.extend(local.map(|it| (it.clone(), version.clone())));
    }
    declared
}

/// Orders a version if another is reported and the lease allows it.
async fn send_order(entry: &Entry, upstream: &Upstream, version: &str) {
    let (reported, clock_reading) = entry.upstreams.version_and_clock(&upstream.upstream);
    let Some((upstream_ms, read_ms)) =
        clock_reading.filter(|_| reported.as_deref() != Some(version))
    else {
        return;
    };
    let now_ms = entry.clock.now_ms();
    let Some(permit) = entry.orders.permit(now_ms, upstream) else { return };
    let not_after_ms = upstream_ms + (now_ms - read_ms) + permit.not_after_ms;
    let body = json!({ "version": version, "fencing": permit.fencing_token, "not_after_ms": not_after_ms });
    let url = format!("http://{}/v1/orders", upstream.address);
    let wait =
        Duration::from_millis(permit.not_after_ms.min(entry.settings.timing.platform_timeout_ms));
    let sent = entry.http_unkept.post(url).json(&body).timeout(wait).send().await;
    match sent.and_then(reqwest::Response::error_for_status) {
        Ok(_) => {
            log::info!(upstream:% = upstream.upstream, version = version, fencing:% = permit.fencing_token; "order given");
        }
        Err(err) => {
            log::warn!(upstream:% = upstream.upstream, version = version, error:% = err; "order not followed");
        }
    }
}

//! Orders to the upstreams of a zone to load a model version. Only the entry process that holds the lease of the zone
//! sends them.
//!
//! The holder repeatedly compares the version that each upstream reports with the declared one. If they differ, it
//! orders the upstream to load the declared version. An order that was lost, rejected or superseded is therefore sent
//! again. Immediately before each order, the holder checks that its lease is valid. The order carries the fencing token
//! and the time, on the upstream's own clock, after which the upstream must not start to carry the order out.

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

use crate::{directory::language, entry::Entry, follow::SharedFollower};

const TICK_INTERVAL_MS: u64 = 200;
/// Maximum time by which the release of the lease may delay a shutdown.
const LEASE_RELEASE_TIMEOUT_MS: u64 = 1_000;

/// Lease of the zone: the state of the lease stream as read by this process, and the process's own candidacy.
pub(crate) struct Orders {
    pub(crate) follower: SharedFollower<Leases>,
    candidate: Mutex<Candidate>,
    /// Time of the log service, and the local time at which it was read.
    log_time_ms: Mutex<Option<(u64, u64)>>,
}

impl Orders {
    pub(crate) fn new(settings: &Settings) -> Self {
        let lease = format!("orders/{}", settings.zone);
        let term = AttemptId::from_random(rand::random());
        let candidate =
            Candidate::new(lease, settings.instance.clone(), term, LeaseSettings::default());
        Self {
            follower: SharedFollower::default(),
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

    /// Returns the estimated current time of the log service.
    pub(crate) fn log_now_ms(&self, now_ms: u64) -> Option<u64> {
        self.log_time_ms.lock().map(|(log_ms, read_ms)| log_ms + now_ms.saturating_sub(read_ms))
    }

    /// Returns a permit for an order that is sent now. Upstreams that don't check fencing tokens get a stricter one.
    fn permit(&self, now_ms: u64, upstream: &Upstream) -> Option<OrderPermit> {
        let candidate = self.candidate.lock();
        if upstream.checks_fencing {
            candidate.permit(now_ms)
        } else {
            candidate.unfenced_permit(now_ms)
        }
    }
}

/// Requests the lease, and sends orders while it is held, until the process ends.
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
            .follower
            .with(|it| entry.orders.candidate.lock().tick(now_ms, log_now_ms, it));
        if actions.contains(&Action::AppendRequest) {
            tokio::spawn(append_request(entry.clone()));
        }
        for (upstream, version) in declared_versions(&entry) {
            send_order(&entry, &upstream, &version).await;
        }
    }
}

/// Releases the lease, so that a successor doesn't have to wait for it to expire.
pub(crate) async fn release_lease(entry: &Arc<Entry>) {
    let record = {
        let mut candidate = entry.orders.candidate.lock();
        let actions = candidate.step(Event::Terminate);
        actions.contains(&Action::AppendRelease).then(|| candidate.release_record())
    };
    if let Some(record) = record {
        // If this fails, the successor waits for the lease to expire.
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
            log::error!(error:% = err; "failed to serialize the lease record as JSON");
            false
        }
    }
}

/// Returns each upstream of the local zone whose service declares a model version, with that version.
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

/// Orders the upstream to load the declared version if the upstream reports another version and the lease permits the
/// order.
async fn send_order(entry: &Entry, upstream: &Upstream, version: &str) {
    let (reported, clock_reading) = entry.upstreams.version_and_clock(&upstream.name);
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
    let order_timeout =
        Duration::from_millis(permit.not_after_ms.min(entry.settings.timing.platform_timeout_ms));
    let sent = entry.http_unpooled.post(url).json(&body).timeout(order_timeout).send().await;
    match sent.and_then(reqwest::Response::error_for_status) {
        Ok(_) => {
            log::info!(upstream:% = upstream.name, version = version, fencing:% = permit.fencing_token; "order accepted");
        }
        Err(err) => {
            log::warn!(upstream:% = upstream.name, version = version, error:% = err; "failed to send order");
        }
    }
}

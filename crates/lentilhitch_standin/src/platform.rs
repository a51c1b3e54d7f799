//! Stand-in for the platform: an append-only log with limited retention, and an instance list that may lag behind.

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use lentilhitch_platform::{InstanceEntry, LogPage, LogRecord};
use parking_lot::Mutex;
use rocket::{State, get, http::Status, post, routes, serde::json::Json};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::sleep};

use crate::server::server;

const PAGE_RECORDS_MAX: usize = 500;
const PAYLOAD_BYTES_MAX: usize = 1024 * 1024;

/// Faults that the platform injects. Fields that are absent from an update keep their values.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is rejected.
    pub outage: Option<bool>,
    /// Delay of every call, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Number of next appends that take effect but get an error response, which doesn't reveal the outcome.
    pub lose_append_answers: Option<u64>,
    /// Maximum number of records that each stream retains.
    pub retention_records: Option<usize>,
    /// Time for which records are retained, in milliseconds.
    pub retention_ms: Option<u64>,
    /// Age of the instance list that calls get, in milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Maximum number of appends per second over all streams. Further appends are rejected.
    pub appends_per_s: Option<u64>,
}

#[derive(Default)]
struct LogStream {
    /// Offset of the oldest record that is retained.
    oldest: u64,
    records: Vec<LogRecord>,
}

impl LogStream {
    /// Returns the offset after the newest record.
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    /// Removes the records that exceed the retention limits.
    fn expire(&mut self, faults: &Faults) {
        let excess = |it: usize| self.records.len().saturating_sub(it);
        let n_excess = faults.retention_records.map_or(0, excess);
        let oldest_ms = faults.retention_ms.map_or(0, |it| now_ms().saturating_sub(it));
        let n_old = self.records.partition_point(|it| it.appended_ms < oldest_ms);
        let n_expired = n_excess.max(n_old);
        self.records.drain(..n_expired);
        self.oldest += n_expired as u64;
    }
}

#[derive(Default)]
struct PlatformState {
    faults: Faults,
    streams: FxHashMap<String, LogStream>,
    n_appends: FxHashMap<String, u64>,
    /// Changes of the instance list with their times, oldest first.
    instances: Vec<(Instant, InstanceEntry)>,
    /// Times of the appends within the last second.
    append_times: Vec<Instant>,
}

#[derive(Default)]
struct Platform {
    state: Mutex<PlatformState>,
    appended: Notify,
}

#[derive(Deserialize)]
struct AppendBody {
    payload: String,
}

#[derive(Serialize)]
struct AppendResponse {
    offset: u64,
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

impl Platform {
    /// Applies the faults `slow_ms` and `outage` to a call.
    async fn apply_call_faults(&self) -> Result<(), Status> {
        let (is_outage, slow_ms) = {
            let state = self.state.lock();
            (state.faults.outage == Some(true), state.faults.slow_ms)
        };
        if let Some(ms) = slow_ms {
            sleep(Duration::from_millis(ms)).await;
        }
        if is_outage { Err(Status::ServiceUnavailable) } else { Ok(()) }
    }
}

#[post("/v1/streams/<stream>/records", data = "<body>")]
async fn append(
    stream: &str,
    body: Json<AppendBody>,
    platform: &State<Platform>,
) -> Result<Json<AppendResponse>, Status> {
    platform.apply_call_faults().await?;
    if PAYLOAD_BYTES_MAX < body.payload.len() {
        return Err(Status::PayloadTooLarge);
    }
    let mut state = platform.state.lock();
    let rate_max = state.faults.appends_per_s;
    state.append_times.retain(|it| it.elapsed() < Duration::from_secs(1));
    if rate_max.is_some_and(|it| it <= state.append_times.len() as u64) {
        return Err(Status::TooManyRequests);
    }
    state.append_times.push(Instant::now());
    *state.n_appends.entry(stream.to_owned()).or_default() += 1;
    let faults = state.faults.clone();
    let log = state.streams.entry(stream.to_owned()).or_default();
    let offset = log.end();
    let appended_ms = log.records.last().map_or(0, |it| it.appended_ms).max(now_ms());
    log.records.push(LogRecord { offset, appended_ms, payload: body.into_inner().payload });
    log.expire(&faults);
    platform.appended.notify_waiters();
    if let Some(n) = state.faults.lose_append_answers.filter(|it| 0 < *it) {
        state.faults.lose_append_answers = Some(n - 1);
        return Err(Status::InternalServerError);
    }
    Ok(Json(AppendResponse { offset }))
}

#[get("/v1/streams/<stream>/records?<from>&<wait_ms>")]
async fn read(
    stream: &str,
    from: u64,
    wait_ms: u64,
    platform: &State<Platform>,
) -> Result<Json<LogPage>, Status> {
    platform.apply_call_faults().await?;
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let appended = platform.appended.notified();
        let page = page(&mut platform.state.lock(), stream, from);
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !page.records.is_empty() || remaining.is_zero() || page.end != from {
            platform.apply_call_faults().await?;
            return Ok(Json(page));
        }
        tokio::select! {
            () = appended => {}
            () = sleep(remaining.min(Duration::from_millis(200))) => platform.apply_call_faults().await?,
        }
    }
}

fn page(state: &mut PlatformState, stream: &str, from: u64) -> LogPage {
    let faults = state.faults.clone();
    let log = state.streams.entry(stream.to_owned()).or_default();
    log.expire(&faults);
    let n_skipped = from.saturating_sub(log.oldest) as usize;
    let records = log.records.iter().skip(n_skipped).take(PAGE_RECORDS_MAX).cloned().collect();
    LogPage { oldest: log.oldest, end: log.end(), now_ms: now_ms(), records }
}

#[get("/v1/instances")]
async fn instances(platform: &State<Platform>) -> Result<Json<Vec<InstanceEntry>>, Status> {
    platform.apply_call_faults().await?;
    let state = platform.state.lock();
    let lag = Duration::from_millis(state.faults.list_lag_ms.unwrap_or(0));
    let mut visible: indexmap::IndexMap<_, InstanceEntry> = indexmap::IndexMap::new();
    for (_, entry) in state.instances.iter().filter(|it| lag <= it.0.elapsed()) {
        visible.insert(entry.name.clone(), entry.clone());
    }
    Ok(Json(visible.into_values().collect()))
}

#[post("/v1/instances", data = "<entry>")]
fn set_instance(entry: Json<InstanceEntry>, platform: &State<Platform>) {
    platform.state.lock().instances.push((Instant::now(), entry.into_inner()));
}

#[post("/faults", data = "<faults>")]
fn set_faults(faults: Json<Faults>, platform: &State<Platform>) {
    let mut state = platform.state.lock();
    let new = faults.into_inner();
    let old = std::mem::take(&mut state.faults);
    state.faults = Faults {
        outage: new.outage.or(old.outage),
        slow_ms: new.slow_ms.or(old.slow_ms),
        lose_append_answers: new.lose_append_answers.or(old.lose_append_answers),
        retention_records: new.retention_records.or(old.retention_records),
        retention_ms: new.retention_ms.or(old.retention_ms),
        list_lag_ms: new.list_lag_ms.or(old.list_lag_ms),
        appends_per_s: new.appends_per_s.or(old.appends_per_s),
    };
}

#[get("/counts")]
fn counts(platform: &State<Platform>) -> Json<FxHashMap<String, u64>> {
    Json(platform.state.lock().n_appends.clone())
}

/// Serves the platform until the process is stopped.
pub async fn run(address: SocketAddr) -> anyhow::Result<()> {
    let routes = routes![append, read, instances, set_instance, set_faults, counts];
    server(address).manage(Platform::default()).mount("/", routes).launch().await?;
    Ok(())
}

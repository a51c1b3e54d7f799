//! The platform: an append-only log with limited retention, and a lagging list of instances.

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

/// How the platform misbehaves; absent fields leave what is.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused.
    pub outage: Option<bool>,
    /// Delay of every call.
    pub slow_ms: Option<u64>,
    /// This many appends take effect and are answered with an error that tells nothing.
    pub lose_append_answers: Option<u64>,
    /// How many records of each stream are kept.
    pub retention_records: Option<usize>,
    /// How long records are kept.
    pub retention_ms: Option<u64>,
    /// How old the shown instance list is.
    pub list_lag_ms: Option<u64>,
    /// Appends a second over all streams; more are refused.
    pub appends_per_s: Option<u64>,
}

#[derive(Default)]
struct LogStream {
    oldest: u64,
    records: Vec<LogRecord>,
}

impl LogStream {
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    fn expire(&mut self, faults: &Faults) {
        let over = |it: usize| self.records.len().saturating_sub(it);
        let n_over = faults.retention_records.map_or(0, over);
        let oldest_ms = faults.retention_ms.map_or(0, |it| now_ms().saturating_sub(it));
        let n_old = self.records.partition_point(|it| it.appended_ms < oldest_ms);
        let n_over = n_over.max(n_old);
        self.records.drain(..n_over);
        self.oldest += n_over as u64;
    }
}

#[derive(Default)]
struct Kept {
    faults: Faults,
    streams: FxHashMap<String, LogStream>,
    n_appends: FxHashMap<String, u64>,
    /// Changes of the instance list, oldest first.
    instances: Vec<(Instant, InstanceEntry)>,
    append_times: Vec<Instant>,
}

#[derive(Default)]
struct Platform {
    kept: Mutex<Kept>,
    appended: Notify,
}

#[derive(Deserialize)]
struct AppendBody {
    payload: String,
}

#[derive(Serialize)]
struct AppendAnswer {
    offset: u64,
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

impl Platform {
    async fn begin(&self) -> Result<(), Status> {
        let (is_out, slow_ms) = {
            let kept = self.kept.lock();
            (kept.faults.outage == Some(true), kept.faults.slow_ms)
        };
        if let Some(ms) = slow_ms {
            sleep(Duration::from_millis(ms)).await;
        }
        if is_out { Err(Status::ServiceUnavailable) } else { Ok(()) }
    }
}

#[post("/v1/streams/<stream>/records", data = "<body>")]
async fn append(
    stream: &str,
    body: Json<AppendBody>,
    platform: &State<Platform>,
) -> Result<Json<AppendAnswer>, Status> {
    platform.begin().await?;
    if PAYLOAD_BYTES_MAX < body.payload.len() {
        return Err(Status::PayloadTooLarge);
    }
    let mut kept = platform.kept.lock();
    let rate_max = kept.faults.appends_per_s;
    kept.append_times.retain(|it| it.elapsed() < Duration::from_secs(1));
    if rate_max.is_some_and(|it| it <= kept.append_times.len() as u64) {
        return Err(Status::TooManyRequests);
    }
    kept.append_times.push(Instant::now());
    *kept.n_appends.entry(stream.to_owned()).or_default() += 1;
    let faults = kept.faults.clone();
    let log = kept.streams.entry(stream.to_owned()).or_default();
    let offset = log.end();
    let appended_ms = log.records.last().map_or(0, |it| it.appended_ms).max(now_ms());
    log.records.push(LogRecord { offset, appended_ms, payload: body.into_inner().payload });
    log.expire(&faults);
    platform.appended.notify_waiters();
    if let Some(n) = kept.faults.lose_append_answers.filter(|it| 0 < *it) {
        kept.faults.lose_append_answers = Some(n - 1);
        return Err(Status::InternalServerError);
    }
    Ok(Json(AppendAnswer { offset }))
}

#[get("/v1/streams/<stream>/records?<from>&<wait_ms>")]
async fn read(
    stream: &str,
    from: u64,
    wait_ms: u64,
    platform: &State<Platform>,
) -> Result<Json<LogPage>, Status> {
    platform.begin().await?;
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let appended = platform.appended.notified();
        let page = page(&mut platform.kept.lock(), stream, from);
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !page.records.is_empty() || remaining.is_zero() || page.end != from {
            platform.begin().await?;
            return Ok(Json(page));
        }
        tokio::select! {
            () = appended => {}
            () = sleep(remaining.min(Duration::from_millis(200))) => platform.begin().await?,
        }
    }
}

fn page(kept: &mut Kept, stream: &str, from: u64) -> LogPage {
    let faults = kept.faults.clone();
    let log = kept.streams.entry(stream.to_owned()).or_default();
    log.expire(&faults);
    let skipped = from.saturating_sub(log.oldest) as usize;
    let records = log.records.iter().skip(skipped).take(PAGE_RECORDS_MAX).cloned().collect();
    LogPage { oldest: log.oldest, end: log.end(), now_ms: now_ms(), records }
}

#[get("/v1/instances")]
async fn instances(platform: &State<Platform>) -> Result<Json<Vec<InstanceEntry>>, Status> {
    platform.begin().await?;
    let kept = platform.kept.lock();
    let lag = Duration::from_millis(kept.faults.list_lag_ms.unwrap_or(0));
    let mut shown: indexmap::IndexMap<_, InstanceEntry> = indexmap::IndexMap::new();
    for (_, entry) in kept.instances.iter().filter(|it| lag <= it.0.elapsed()) {
        shown.insert(entry.name.clone(), entry.clone());
    }
    Ok(Json(shown.into_values().collect()))
}

#[post("/v1/instances", data = "<entry>")]
fn set_instance(entry: Json<InstanceEntry>, platform: &State<Platform>) {
    platform.kept.lock().instances.push((Instant::now(), entry.into_inner()));
}

#[post("/faults", data = "<faults>")]
fn set_faults(faults: Json<Faults>, platform: &State<Platform>) {
    let mut kept = platform.kept.lock();
    let new = faults.into_inner();
    let old = std::mem::take(&mut kept.faults);
    kept.faults = Faults {
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
    Json(platform.kept.lock().n_appends.clone())
}

/// Runs the platform until the process is stopped.
pub async fn run(address: SocketAddr) -> anyhow::Result<()> {
    let routes = routes![append, read, instances, set_instance, set_faults, counts];
    server(address).manage(Platform::default()).mount("/", routes).launch().await?;
    Ok(())
}

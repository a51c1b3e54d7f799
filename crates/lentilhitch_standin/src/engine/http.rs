//! The engine's HTTP interface.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rocket::{
    Request, State, get,
    http::Status,
    post,
    request::{FromRequest, Outcome},
    response::stream::{Event, EventStream},
    routes,
    serde::json::Json,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    engine::run::{Attempt, CompletionRequest, Engine, Order, Settings},
    server::server,
};

/// Support for attempts in the engine's HTTP interface.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Interface {
    #[default]
    Full,
    /// Token events carry neither an attempt nor a position, and every attempt starts at the first token.
    Plain,
}

/// Faults that the engine injects. Positions are token positions in the completion.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The stream ends before this token, without its final event.
    pub cut_at: Option<usize>,
    /// The stream stays open before this token and sends nothing more.
    pub stall_at: Option<usize>,
    /// This token is sent twice.
    pub twice_at: Option<usize>,
    /// After this token, a token of another attempt is sent with the same position.
    pub stale_at: Option<usize>,
    /// This token and the next one are sent in reverse order.
    pub swap_at: Option<usize>,
    pub interface: Interface,
    /// The load report states that the engine is leaving.
    pub is_leaving: bool,
    /// Exports of the KV cache are rejected.
    pub refuses_export: bool,
    /// Imports of the KV cache are rejected.
    pub refuses_import: bool,
    /// The process exits after this time in milliseconds. The load report announces it.
    pub exit_in_ms: Option<u64>,
}

impl Faults {
    /// Returns the position of the token that is sent at `position`.
    pub(crate) fn sent_position(&self, position: usize, n_tokens: usize) -> usize {
        match self.swap_at {
            Some(at) if position == at && at + 1 < n_tokens => at + 1,
            Some(at) if position == at + 1 => at,
            _ => position,
        }
    }
}

/// Attempts that the engine has executed and orders that it has received.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    pub incarnation: u64,
    pub attempts: Vec<Attempt>,
    pub orders: Vec<Order>,
}

struct RequestId(Option<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestId {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(Self(request.headers().get_one("x-request-id").map(str::to_owned)))
    }
}

/// Starts an attempt and returns the stream of its events.
fn start_attempt(
    engine: &Arc<Engine>,
    request: CompletionRequest,
    request_id: RequestId,
) -> EventStream![Event] {
    let (sender, mut events) = mpsc::channel(64);
    tokio::spawn(engine.clone().run(request, request_id.0, sender));
    EventStream! {
        while let Some(data) = events.recv().await {
            yield Event::data(data);
        }
    }
}

#[post("/v1/completions", data = "<request>")]
fn completions(
    request: Json<CompletionRequest>,
    request_id: RequestId,
    engine: &State<Arc<Engine>>,
) -> EventStream![Event] {
    start_attempt(engine, request.into_inner(), request_id)
}

#[post("/v1/chat/completions", data = "<request>")]
fn chat(
    request: Json<CompletionRequest>,
    request_id: RequestId,
    engine: &State<Arc<Engine>>,
) -> EventStream![Event] {
    start_attempt(engine, request.into_inner(), request_id)
}

#[get("/v1/load")]
fn load(engine: &State<Arc<Engine>>) -> Json<Value> {
    let (n_requests, queued_prompt_tokens) = engine.load();
    let faults = engine.faults.lock().clone();
    Json(json!({
        "incarnation": engine.incarnation,
        "leaving": faults.is_leaving,
        "leaving_in_ms": faults.exit_in_ms,
        "kv_tokens_per_s": engine.settings.kv_tokens_per_s,
        "n_requests": n_requests,
        "queued_prompt_tokens": queued_prompt_tokens,
        "prefill_tokens_per_s": engine.settings.prefill_tokens_per_s,
        "slots": engine.settings.slots,
        "version": engine.version(),
        "now_ms": engine.now_ms(),
    }))
}

#[derive(Deserialize)]
struct ExportRequest {
    attempt: String,
}

#[derive(Serialize, Deserialize)]
struct KvCache {
    blocks: Vec<u64>,
}

#[post("/v1/kv/export", data = "<request>")]
async fn export(
    request: Json<ExportRequest>,
    engine: &State<Arc<Engine>>,
) -> Result<Json<KvCache>, Status> {
    if engine.faults.lock().refuses_export {
        return Err(Status::Conflict);
    }
    engine
        .export(&request.attempt)
        .await
        .map(|blocks| Json(KvCache { blocks }))
        .ok_or(Status::NotFound)
}

#[post("/v1/kv/import", data = "<cache>")]
#[expect(clippy::needless_pass_by_value, reason = "Rocket passes guards by value")]
fn import(cache: Json<KvCache>, engine: &State<Arc<Engine>>) -> Status {
    if engine.faults.lock().refuses_import {
        return Status::Conflict;
    }
    engine.import(&cache.blocks);
    Status::Ok
}

#[post("/v1/orders", data = "<order>")]
fn order(order: Json<Order>, engine: &State<Arc<Engine>>) -> Status {
    if engine.apply_order(order.into_inner()) { Status::Ok } else { Status::Conflict }
}

#[post("/faults", data = "<faults>")]
fn set_faults(faults: Json<Faults>, engine: &State<Arc<Engine>>) {
    if let Some(ms) = faults.exit_in_ms {
        tokio::spawn(async move {
            sleep(Duration::from_millis(ms)).await;
            std::process::exit(0);
        });
    }
    *engine.faults.lock() = faults.into_inner();
}

#[get("/counts")]
fn counts(engine: &State<Arc<Engine>>) -> Json<Report> {
    Json(Report {
        incarnation: engine.incarnation,
        attempts: engine.attempts.lock().clone(),
        orders: engine.orders.lock().clone(),
    })
}

/// Serves the engine until the process is stopped.
pub async fn run(address: SocketAddr, settings: Settings) -> anyhow::Result<()> {
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let engine = Arc::new(Engine::new(settings, incarnation));
    let routes = routes![completions, chat, load, export, import, order, set_faults, counts];
    server(address).manage(engine).mount("/", routes).launch().await?;
    Ok(())
}

//! Stand-in for an application: executes and records every call.

use std::{net::SocketAddr, time::Duration};

use parking_lot::Mutex;
use rocket::{
    Data, Request, Route, State,
    data::ByteUnit,
    get,
    http::{Method, Status},
    post,
    route::{Handler, Outcome},
    routes,
    serde::json::Json,
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::server::server;

/// Faults that the application injects.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay between the execution of a call and its response, in milliseconds.
    pub answer_delay_ms: u64,
    /// Status of all responses.
    pub answer_status: Option<u16>,
}

/// One call that the application executed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    pub method: String,
    pub path: String,
    pub request_id: Option<String>,
    /// Idempotency key.
    pub key: Option<String>,
    pub team: Option<String>,
    pub body: String,
}

#[derive(Default)]
struct Application {
    faults: Mutex<Faults>,
    runs: Mutex<Vec<Run>>,
}

/// Executes every call that no other route matches.
#[derive(Clone)]
struct CatchAllHandler;

#[rocket::async_trait]
impl Handler for CatchAllHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(application) = request.rocket().state::<Application>() else {
            return Outcome::error(Status::InternalServerError);
        };
        let Ok(body) = data.open(ByteUnit::Mebibyte(16)).into_string().await else {
            return Outcome::error(Status::BadRequest);
        };
        let header = |name: &str| request.headers().get_one(name).map(str::to_owned);
        let run = Run {
            method: request.method().to_string(),
            path: request.uri().to_string(),
            request_id: header("x-request-id"),
            key: header("idempotency-key"),
            team: header("x-team"),
            body: body.into_inner(),
        };
        let run_number = {
            let mut runs = application.runs.lock();
            runs.push(run.clone());
            runs.len()
        };
        let Faults { answer_delay_ms, answer_status } = application.faults.lock().clone();
        sleep(Duration::from_millis(answer_delay_ms)).await;
        let usual = if request.method() == Method::Post { Status::Created } else { Status::Ok };
        let status = answer_status.map_or(usual, Status::new);
        let response = serde_json::json!({ "run": run_number, "path": run.path, "body": run.body });
        Outcome::from(request, (status, Json(response)))
    }
}

#[post("/faults", data = "<faults>")]
fn set_faults(faults: Json<Faults>, application: &State<Application>) {
    *application.faults.lock() = faults.into_inner();
}

#[get("/counts")]
fn counts(application: &State<Application>) -> Json<Vec<Run>> {
    Json(application.runs.lock().clone())
}

#[get("/v1/load")]
fn load() -> Json<serde_json::Value> {
    Json(serde_json::json!({ "incarnation": 1, "leaving": false, "n_requests": 0, "slots": 64 }))
}

/// Serves the application until the process is stopped.
pub async fn run(address: SocketAddr) -> anyhow::Result<()> {
    let methods =
        [Method::Get, Method::Put, Method::Post, Method::Delete, Method::Patch, Method::Head];
    let catch_all: Vec<_> =
        methods.into_iter().map(|it| Route::ranked(10, it, "/<path..>", CatchAllHandler)).collect();
    let fixed_routes = routes![set_faults, counts, load];
    server(address)
        .manage(Application::default())
        .mount("/", fixed_routes)
        .mount("/", catch_all)
        .launch()
        .await?;
    Ok(())
}

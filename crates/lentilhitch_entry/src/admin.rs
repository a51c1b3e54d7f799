//! HTTP interface for operators: health, readiness, status, metrics and a dump of the state. It is served at an address
//! that clients can't reach.

use std::sync::Arc;

use rocket::{Route, State, get, http::Status as HttpStatus, routes, serde::json::Json};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use lentilhitch_config::DeclarationKey;
use lentilhitch_types::{InstanceName, LogOffset, Zone};

use crate::entry::Entry;

/// Summary of the state of a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    pub instance: InstanceName,
    pub zone: Zone,
    pub is_ready: bool,
    pub state: String,
    pub requests_in_progress: usize,
    pub config: ConfigStatus,
}

/// Configuration in force at a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Offset before which every record is in force.
    pub next: LogOffset,
    /// Completeness of the configuration, as the name of a `FoldStatus`.
    #[serde(rename = "standing")]
    pub status: String,
    pub versions: Vec<(DeclarationKey, LogOffset)>,
}

pub(crate) fn routes() -> Vec<Route> {
    routes![health, ready, status, metrics, dump]
}

#[get("/health")]
pub(crate) fn health() -> &'static str {
    "alive\n"
}

#[get("/ready")]
pub(crate) fn ready(entry: &State<Arc<Entry>>) -> (HttpStatus, &'static str) {
    if entry.is_ready() {
        (HttpStatus::Ok, "ready\n")
    } else {
        (HttpStatus::ServiceUnavailable, "not ready\n")
    }
}

#[get("/status")]
fn status(entry: &State<Arc<Entry>>) -> Json<Status> {
    Json(status_of(entry))
}

#[get("/metrics")]
fn metrics(entry: &State<Arc<Entry>>) -> Result<String, HttpStatus> {
    entry.metrics.render().map_err(|_| HttpStatus::InternalServerError)
}

#[get("/dump")]
fn dump(entry: &State<Arc<Entry>>) -> Json<Value> {
    let peers: Vec<_> = entry.peers().states().into_iter().map(|(peer, state, is_linked)| json!({ "peer": peer, "state": state, "is_linked": is_linked })).collect();
    let upstreams: Vec<_> = entry.upstreams.states().into_iter().map(|(upstream, state, incarnation, n_running)| json!({ "upstream": upstream, "state": state, "incarnation": incarnation, "n_running": n_running })).collect();
    let (n_copies, copy_bytes) = entry.journal_copies.size();
    let claims = entry.claims();
    Json(json!({
        "status": status_of(entry),
        "incarnation": entry.incarnation,
        "settings": entry.settings,
        "peers": peers,
        "peer_sent_bytes": entry.peers().sent_bytes(),
        "upstreams": upstreams,
        "notices": entry.notices(),
        "journals": entry.journals.all().iter().map(journal_summary).collect::<Vec<_>>(),
        "copies": { "n": n_copies, "bytes": copy_bytes },
        "claims": {
            "next": claims.follower.next(),
            "standing": claims.follower.status(),
            "n_keys": claims.follower.with(lentilhitch_policy::at_most_once::Claims::n_keys),
            "n_unrecorded": claims.n_unrecorded(),
        },
        "evidence": entry.evidence(),
        "lease": entry.orders.dump(entry.clock.now_ms()),
    }))
}

/// Returns the summary of a journal for the dump.
fn journal_summary(tracked: &Arc<crate::journals::TrackedRequest>) -> Value {
    let journal = tracked.journal.lock();
    json!({
        "request_id": journal.record.request_id,
        "team": journal.record.team,
        "service": journal.record.service,
        "state": journal.state(),
        "n_tokens": journal.position(),
        "n_tries": journal.n_attempts(),
        "n_callers": tracked.n_clients(),
        "is_durable": tracked.is_durable,
    })
}

fn status_of(entry: &Entry) -> Status {
    let versions =
        entry.config.with(|it| it.iter().map(|(key, it)| (key.clone(), it.version)).collect());
    Status {
        instance: entry.settings.instance.clone(),
        zone: entry.settings.zone.clone(),
        is_ready: entry.is_ready(),
        state: format!("{:?}", entry.state()),
        requests_in_progress: entry.n_in_progress(),
        config: ConfigStatus {
            next: entry.config.next(),
            status: format!("{:?}", entry.config.status()),
            versions,
        },
    }
}

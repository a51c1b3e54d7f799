//! Calls of application services.
//!
//! A call is a request of a client to an application service. The entry process reads the full body of the call and
//! sends the call to an upstream. After a failure it sends the call to another upstream only if no byte of the call was
//! sent before, or if the declaration of the service states that the call may be repeated.

use std::{ops::RangeInclusive, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use rand::seq::SliceRandom;
use reqwest::RequestBuilder;
use tokio::time::{Instant, sleep, timeout_at};

use lentilhitch_chart::charts::call::{Action, Event};
use lentilhitch_config::{Repeat, Service, Upstream};
use lentilhitch_policy::{
    at_most_once::{Call as ClaimedCall, ClaimRecord, KEY_RETENTION_MS, StoredResponse},
    retry::Repeatable,
};
use lentilhitch_types::{Fingerprint, Problem, UpstreamName};

use crate::{
    claims::ClaimResult,
    dispatch::{self, SendOutcome, UnsentProof},
    entry::Entry,
    front::{Call, ClientResponse},
    problems,
};

/// Maximum size of an application's response body.
const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Maximum age of a claim at which the call may still be sent: half of the time for which the claim is retained.
const CLAIM_AGE_MS_MAX: u64 = KEY_RETENTION_MS / 2;
/// Headers that apply to a single connection (RFC 9110, section 7.6.1) or that the entry process sets itself.
const HEADERS_NOT_FORWARDED: [&str; 12] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// Outcome of forwarding a call to one or more upstreams, one after the other.
enum ForwardOutcome {
    /// The last upstream sent a complete response, with any status.
    Responded(FullResponse),
    /// No connection to any of the upstreams was made, or there was no upstream, so no byte of the call was sent. The
    /// proof certifies it.
    NotRun(UnsentProof),
    /// No upstream sent a complete response, and at least one of them may have received and run the call.
    Interrupted,
    /// The deadline passed during the attempt at the last upstream, which may still run the call.
    TimedOut,
    /// The response of the last upstream has more than [`RESPONSE_BYTES_MAX`] bytes.
    TooLarge,
}

/// Response of an application, read in full.
struct FullResponse {
    status: u16,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl FullResponse {
    /// Returns the response as it is stored for replays. A body that is not UTF-8 or exceeds `stored_bytes_max` is
    /// omitted.
    fn to_stored(&self, stored_bytes_max: u64) -> StoredResponse {
        let fits = self.body.len() as u64 <= stored_bytes_max;
        let body = String::from_utf8(self.body.to_vec()).ok().filter(|_| fits);
        let content_type =
            self.headers.iter().find(|it| it.0 == "content-type").map(|it| it.1.clone());
        StoredResponse { status: self.status, content_type, body }
    }
}

/// Serves a call of an application service.
pub(crate) async fn serve(entry: &Arc<Entry>, call: Call) -> Result<ClientResponse, Problem> {
    let directory = entry.directory();
    let found = directory.by_path(call.method.as_str(), call.path_without_query());
    let no_service =
        || problems::NO_SERVICE.with(format!("{} {}", call.method, call.path_without_query()));
    let (service, application, repeat) = found.ok_or_else(no_service)?;
    call.admit(entry, service)?;
    let deadline = Instant::now() + Duration::from_millis(application.deadline_ms);
    let response = match repeat {
        Repeat::AtMostOnce => serve_at_most_once(entry, &call, service, deadline).await,
        Repeat::Idempotent => {
            into_client_response(forward(entry, &call, service, deadline, Repeatable::Yes).await)
        }
        Repeat::Single => {
            into_client_response(forward(entry, &call, service, deadline, Repeatable::No).await)
        }
    };
    let status = response.as_ref().map_or_else(
        |it| it.status,
        |it| match it {
            ClientResponse::Full { status, .. } => *status,
            ClientResponse::EventStream(_) => 200,
        },
    );
    entry.metrics.record_request(service.service.as_str(), status);
    response
}

/// Serves a call that must be sent at most once, under the idempotency key that the client sent.
async fn serve_at_most_once(
    entry: &Arc<Entry>,
    call: &Call,
    service: &Service,
    deadline: Instant,
) -> Result<ClientResponse, Problem> {
    let key = call.header("idempotency-key").filter(|it| !it.is_empty());
    let key = key.ok_or_else(|| {
        problems::MISSING_IDEMPOTENCY_KEY
            .with("the call may not be repeated, so each needs a key of its own")
    })?;
    let (team, name) = (call.team.team.as_str().as_bytes(), service.service.as_str().as_bytes());
    let claim_key = Fingerprint::of(&[team, name, key.as_bytes()]);
    let body = Fingerprint::of(&[
        call.method.as_str().as_bytes(),
        call.path_and_query.as_bytes(),
        &call.body,
    ]);
    let claimed_at = Instant::now();
    match entry.claim(claim_key, body).await {
        ClaimResult::Won(claimed_call) => {
            send_claimed(entry, call, service, deadline, claimed_at, claimed_call).await
        }
        ClaimResult::Replay(response) => replay(response),
        ClaimResult::OutcomeUnknown => {
            Err(problems::KEY_OUTCOME_UNKNOWN
                .with("it was begun with this key and is not sent again"))
        }
        ClaimResult::Mismatch => {
            Err(problems::KEY_MISMATCH.with("use a new key for a new request"))
        }
        ClaimResult::NotRun => {
            Err(problems::LOG_UNREACHABLE.with("nothing was sent; the same key may be used again"))
        }
    }
}

/// Sends a call whose claim this process has won. Takes ownership of the claimed call, so that it is sent only once.
async fn send_claimed(
    entry: &Arc<Entry>,
    call: &Call,
    service: &Service,
    deadline: Instant,
    claimed_at: Instant,
    mut claimed_call: ClaimedCall,
) -> Result<ClientResponse, Problem> {
    let is_stale = Duration::from_millis(CLAIM_AGE_MS_MAX) < claimed_at.elapsed();
    if is_stale || deadline <= Instant::now() {
        perform_actions(entry, &claimed_call.clone(), &claimed_call.step(Event::Deadline), None);
        return Err(problems::DEADLINE_BEFORE_SEND.with("the claim took too long"));
    }
    let forwarded = forward(entry, call, service, deadline, Repeatable::No).await;
    let (event, stored) = match &forwarded {
        ForwardOutcome::NotRun(_) => (Event::ConnectFailed, None),
        ForwardOutcome::Interrupted | ForwardOutcome::TimedOut => (Event::UpstreamBroken, None),
        ForwardOutcome::Responded(response) => (
            Event::UpstreamAnswered,
            Some(response.to_stored(entry.settings.bounds.kept_call_bytes_max)),
        ),
        ForwardOutcome::TooLarge => (
            Event::UpstreamAnswered,
            Some(StoredResponse { status: 502, content_type: None, body: None }),
        ),
    };
    if event != Event::ConnectFailed {
        claimed_call.step(Event::Dispatched);
    }
    if event == Event::UpstreamBroken {
        entry.remove_pending_attempt(claimed_call.attempt);
    }
    let actions = claimed_call.step(event);
    perform_actions(entry, &claimed_call, &actions, stored.as_ref());
    into_client_response(forwarded)
}

/// Appends the release or the outcome of a claimed call to the log, as the actions require.
fn perform_actions(
    entry: &Arc<Entry>,
    claimed_call: &ClaimedCall,
    actions: &[Action],
    stored: Option<&StoredResponse>,
) {
    let (key, attempt) = (claimed_call.key, claimed_call.attempt);
    for action in actions {
        match (action, stored) {
            (Action::Release, _) => entry.persist_record(ClaimRecord::Released { key, attempt }),
            (Action::RecordOutcome, Some(response)) => {
                entry.persist_record(ClaimRecord::Outcome {
                    key,
                    attempt,
                    response: response.clone(),
                });
            }
            _ => {}
        }
    }
}

/// Returns the stored response of an earlier call with the same key.
fn replay(response: StoredResponse) -> Result<ClientResponse, Problem> {
    let not_stored = || {
        problems::RESPONSE_NOT_STORED
            .with(format!("it was answered with status {}", response.status))
    };
    let body = response.body.clone().ok_or_else(not_stored)?;
    let mut headers = vec![("idempotency-replayed".to_owned(), "true".to_owned())];
    headers.extend(response.content_type.map(|it| ("content-type".to_owned(), it)));
    Ok(ClientResponse::Full { status: response.status, headers, body: body.into() })
}

fn into_client_response(forwarded: ForwardOutcome) -> Result<ClientResponse, Problem> {
    match forwarded {
        ForwardOutcome::Responded(it) => {
            Ok(ClientResponse::Full { status: it.status, headers: it.headers, body: it.body })
        }
        ForwardOutcome::NotRun(_) => Err(problems::NO_UPSTREAM.with("no connection was made")),
        ForwardOutcome::Interrupted => {
            Err(problems::UPSTREAM_INTERRUPTED.with("the connection ended before the answer"))
        }
        ForwardOutcome::TimedOut => {
            Err(problems::UPSTREAM_TIMED_OUT.with("the call may still be running"))
        }
        ForwardOutcome::TooLarge => {
            Err(problems::RESPONSE_TOO_LARGE.with(format!("more than {RESPONSE_BYTES_MAX} bytes")))
        }
    }
}

/// Sends a call to an upstream, then to others until one responds or the call may not be retried.
async fn forward(
    entry: &Arc<Entry>,
    call: &Call,
    service: &Service,
    deadline: Instant,
    repeatable: Repeatable,
) -> ForwardOutcome {
    let mut n_attempts = 0;
    let mut unsent_proof = Some(UnsentProof::new());
    let mut failed: Vec<UpstreamName> = Vec::new();
    entry.retry_budget.lock().record_first_attempt();
    while let Some(upstream) = choose_upstream(entry, service, &failed) {
        n_attempts += 1;
        let request = build_request(entry, call, &upstream, repeatable);
        let sent = timeout_at(deadline, send_and_read(unsent_proof.take(), request)).await;
        match sent {
            Err(_) => return ForwardOutcome::TimedOut,
            Ok(ReadOutcome::Responded(response)) => {
                entry.metrics.record_attempt("whole");
                return ForwardOutcome::Responded(response);
            }
            Ok(ReadOutcome::TooLarge) => return ForwardOutcome::TooLarge,
            Ok(ReadOutcome::NotConnected(proof)) => {
                entry.metrics.record_attempt("not_connected");
                entry.on_connect_failed(&upstream.name);
                unsent_proof = proof;
            }
            Ok(ReadOutcome::Interrupted) => entry.metrics.record_attempt("lost"),
        }
        failed.push(upstream.name.clone());
        let may_repeat = if unsent_proof.is_some() { Repeatable::Yes } else { repeatable };
        let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        let delay_ms = entry.retry_budget.lock().retry_delay_ms(
            may_repeat,
            n_attempts,
            remaining_ms,
            &mut rand::rng(),
        );
        let Some(delay_ms) = delay_ms else { break };
        sleep(Duration::from_millis(delay_ms)).await;
    }
    unsent_proof.map_or(ForwardOutcome::Interrupted, ForwardOutcome::NotRun)
}

/// Returns a random upstream that accepts requests. Prefers upstreams that have not failed this call, then those in the
/// local zone.
fn choose_upstream(entry: &Entry, service: &Service, failed: &[UpstreamName]) -> Option<Upstream> {
    let available =
        service.upstreams.iter().filter(|it| entry.upstreams.accepts_requests(&it.name));
    let mut available: Vec<_> = available.collect();
    available.shuffle(&mut rand::rng());
    available.sort_by_key(|it| (failed.contains(&it.name), it.zone != entry.settings.zone));
    available.first().map(|it| (*it).clone())
}

fn build_request(
    entry: &Entry,
    call: &Call,
    upstream: &Upstream,
    repeatable: Repeatable,
) -> RequestBuilder {
    let http = if repeatable == Repeatable::Yes { &entry.http } else { &entry.http_unpooled };
    let url = format!("http://{}{}", upstream.address, call.path_and_query);
    let method = reqwest::Method::from_bytes(call.method.as_str().as_bytes())
        .unwrap_or(reqwest::Method::GET);
    let mut request = http.request(method, url);
    for (name, value) in
        call.headers.iter().filter(|it| !HEADERS_NOT_FORWARDED.contains(&it.0.as_str()))
    {
        request = request.header(name, value);
    }
    request = request.header("x-request-id", call.request_id.to_string());
    request.header("x-team", call.team.team.as_str()).body(call.body.clone())
}

/// Statuses that a response may have as its last one.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Outcome of sending a call to one upstream and reading the response.
enum ReadOutcome {
    Responded(FullResponse),
    /// The connection failed before the response was complete.
    Interrupted,
    /// No connection was made. The proof is present if no earlier attempt sent anything either.
    NotConnected(Option<UnsentProof>),
    /// The response has more than [`RESPONSE_BYTES_MAX`] bytes.
    TooLarge,
}

async fn send_and_read(unsent_proof: Option<UnsentProof>, request: RequestBuilder) -> ReadOutcome {
    let response = match dispatch::send(unsent_proof, request).await {
        SendOutcome::Responded(response) => response,
        SendOutcome::Interrupted(_) => return ReadOutcome::Interrupted,
        SendOutcome::NotConnected(unsent_proof) => return ReadOutcome::NotConnected(unsent_proof),
    };
    let status = response.status().as_u16();
    // The HTTP library lets through statuses above the classes that HTTP has.
    if !FINAL_STATUSES.contains(&status) {
        log::warn!(status; "response of an upstream with a status out of range");
        return ReadOutcome::Interrupted;
    }
    let header_text =
        |it: &reqwest::header::HeaderValue| String::from_utf8_lossy(it.as_bytes()).into_owned();
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), header_text(value)));
    let headers = headers.filter(|it| !HEADERS_NOT_FORWARDED.contains(&it.0.as_str())).collect();
    let mut chunks = response.bytes_stream();
    let mut body = Vec::new();
    while let Some(chunk) = chunks.next().await {
        let Ok(chunk) = chunk else { return ReadOutcome::Interrupted };
        if RESPONSE_BYTES_MAX < body.len() + chunk.len() {
            return ReadOutcome::TooLarge;
        }
        body.extend_from_slice(&chunk);
    }
    ReadOutcome::Responded(FullResponse { status, headers, body: body.into() })
}

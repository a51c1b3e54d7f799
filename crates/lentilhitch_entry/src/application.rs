//! Calls of applications: forwarded whole, and repeated only where that does no harm.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use rand::seq::SliceRandom;
use reqwest::RequestBuilder;
use tokio::time::{Instant, sleep, timeout_at};

use lentilhitch_chart::charts::call::{Action, Event};
use lentilhitch_config::{Repeat, Service, Upstream};
use lentilhitch_policy::{
    at_most_once::{Call as KeyedCall, ClaimRecord, KEY_RETENTION_MS, StoredResponse},
    retry::Repeatable,
};
use lentilhitch_types::{Fingerprint, Problem, UpstreamName};

use crate::{
    claims::ClaimResult,
    dispatch::{self, Sent, Ticket},
    entry::Entry,
    front::{Answer, Call},
    problems,
};

/// Largest answer of an application.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;
/// How much of the key window a claim may have used up when the call is sent.
const CLAIM_AGE_MS_MAX: u64 = KEY_RETENTION_MS / 2;
/// Headers that belong to one connection (RFC 9110, 7.6.1) or are set anew.
const NOT_FORWARDED: [&str; 12] = [
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

/// How sending a call to one upstream after the other ended.
enum Forwarded {
    Answered(KeptWhole),
    /// No byte was sent to any upstream, as the ticket shows.
    NotRun(Ticket),
    Broken,
    Late,
    TooLarge,
}

/// An answer of an application, read whole.
struct KeptWhole {
    status: u16,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl KeptWhole {
    fn kept(&self, bytes_max: u64) -> StoredResponse {
        let is_small = self.body.len() as u64 <= bytes_max;
        let body = String::from_utf8(self.body.to_vec()).ok().filter(|_| is_small);
        let content_type =
            self.headers.iter().find(|it| it.0 == "content-type").map(|it| it.1.clone());
        StoredResponse { status: self.status, content_type, body }
    }
}

/// Serves a call of an application.
pub(crate) async fn serve(entry: &Arc<Entry>, call: Call) -> Result<Answer, Problem> {
    let directory = entry.directory();
    let found = directory.by_path(call.method.as_str(), call.path_only());
    let no_service = || problems::NO_SERVICE.with(format!("{} {}", call.method, call.path_only()));
    let (service, application, repeat) = found.ok_or_else(no_service)?;
    call.admit(entry, service)?;
    let deadline = Instant::now() + Duration::from_millis(application.deadline_ms);
    let answer = match repeat {
        Repeat::AtMostOnce => serve_keyed(entry, &call, service, deadline).await,
        Repeat::Idempotent => {
            answered(forward(entry, &call, service, deadline, Repeatable::Yes).await)
        }
        Repeat::Single => answered(forward(entry, &call, service, deadline, Repeatable::No).await),
    };
    let status = answer.as_ref().map_or_else(
        |it| it.status,
        |it| match it {
            Answer::Whole { status, .. } => *status,
            Answer::Events(_) => 200,
        },
    );
    entry.metrics.record_request(service.service.as_str(), status);
    answer
}

async fn serve_keyed(
    entry: &Arc<Entry>,
    call: &Call,
    service: &Service,
    deadline: Instant,
) -> Result<Answer, Problem> {
    let key = call.header("idempotency-key").filter(|it| !it.is_empty());
    let key = key.ok_or_else(|| {
        problems::NO_KEY.with("the call may not be repeated, so each needs a key of its own")
    })?;
    let (team, name) = (call.team.team.as_str().as_bytes(), service.service.as_str().as_bytes());
    let claim_key = Fingerprint::of(&[team, name, key.as_bytes()]);
    let body =
        Fingerprint::of(&[call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body]);
    let claimed_at = Instant::now();
    match entry.claim(claim_key, body).await {
        ClaimResult::Won(keyed) => {
            send_claimed(entry, call, service, deadline, claimed_at, keyed).await
        }
        ClaimResult::Replay(answer) => replay(answer),
        ClaimResult::OutcomeUnknown => {
            Err(problems::KEY_UNKNOWN.with("it was begun with this key and is not sent again"))
        }
        ClaimResult::Mismatch => {
            Err(problems::KEY_MISMATCH.with("use a new key for a new request"))
        }
        ClaimResult::NotRun => {
            Err(problems::LOG_UNREACHABLE.with("nothing was sent; the same key may be used again"))
        }
    }
}

/// Sends a call whose claim this process has won. Consumes the claim: there is one for each call.
async fn send_claimed(
    entry: &Arc<Entry>,
    call: &Call,
    service: &Service,
    deadline: Instant,
    claimed_at: Instant,
    mut keyed: KeyedCall,
) -> Result<Answer, Problem> {
    let is_stale = Duration::from_millis(CLAIM_AGE_MS_MAX) < claimed_at.elapsed();
    if is_stale || deadline <= Instant::now() {
        perform(entry, &keyed.clone(), &keyed.step(Event::Deadline), None);
        return Err(problems::DEADLINE_NOT_RUN.with("the claim took too long"));
    }
    let forwarded = forward(entry, call, service, deadline, Repeatable::No).await;
    let (event, kept) = match &forwarded {
        Forwarded::NotRun(_) => (Event::ConnectFailed, None),
        Forwarded::Broken | Forwarded::Late => (Event::UpstreamBroken, None),
        Forwarded::Answered(whole) => {
            (Event::UpstreamAnswered, Some(whole.kept(entry.settings.bounds.kept_call_bytes_max)))
        }
        Forwarded::TooLarge => (
            Event::UpstreamAnswered,
            Some(StoredResponse { status: 502, content_type: None, body: None }),
        ),
    };
    if event != Event::ConnectFailed {
        keyed.step(Event::Dispatched);
    }
    if event == Event::UpstreamBroken {
        entry.remove_pending_attempt(keyed.attempt);
    }
    let actions = keyed.step(event);
    perform(entry, &keyed, &actions, kept.as_ref());
    answered(forwarded)
}

fn perform(
    entry: &Arc<Entry>,
    keyed: &KeyedCall,
    actions: &[Action],
    kept: Option<&StoredResponse>,
) {
    let (key, attempt) = (keyed.key, keyed.attempt);
    for action in actions {
        match (action, kept) {
            (Action::Release, _) => entry.persist_record(ClaimRecord::Released { key, attempt }),
            (Action::RecordOutcome, Some(answer)) => {
                entry.persist_record(ClaimRecord::Outcome {
                    key,
                    attempt,
                    response: answer.clone(),
                });
            }
            _ => {}
        }
    }
}

fn replay(answer: StoredResponse) -> Result<Answer, Problem> {
    let not_kept =
        || problems::ANSWER_NOT_KEPT.with(format!("it was answered with status {}", answer.status));
    let body = answer.body.clone().ok_or_else(not_kept)?;
    let mut headers = vec![("idempotency-replayed".to_owned(), "true".to_owned())];
    headers.extend(answer.content_type.map(|it| ("content-type".to_owned(), it)));
    Ok(Answer::Whole { status: answer.status, headers, body: body.into() })
}

fn answered(forwarded: Forwarded) -> Result<Answer, Problem> {
    match forwarded {
        Forwarded::Answered(it) => {
            Ok(Answer::Whole { status: it.status, headers: it.headers, body: it.body })
        }
        Forwarded::NotRun(_) => Err(problems::NO_UPSTREAM.with("no connection was made")),
        Forwarded::Broken => {
            Err(problems::UPSTREAM_BROKEN.with("the connection ended before the answer"))
        }
        Forwarded::Late => Err(problems::UPSTREAM_LATE.with("the call may still be running")),
        Forwarded::TooLarge => {
            Err(problems::ANSWER_TOO_LARGE.with(format!("more than {ANSWER_BYTES_MAX} bytes")))
        }
    }
}

/// Sends a call, first to one upstream, then to others as long as the outcome allows it.
async fn forward(
    entry: &Arc<Entry>,
    call: &Call,
    service: &Service,
    deadline: Instant,
    repeatable: Repeatable,
) -> Forwarded {
    let mut n_tries = 0;
    let mut ticket = Some(Ticket::new());
    let mut failed: Vec<UpstreamName> = Vec::new();
    entry.retry_budget.lock().record_first_attempt();
    while let Some(upstream) = choose(entry, service, &failed) {
        n_tries += 1;
        let request = build(entry, call, &upstream, repeatable);
        let sent = timeout_at(deadline, send_and_read(ticket.take(), request)).await;
        match sent {
            Err(_) => return Forwarded::Late,
            Ok(SentWhole::Answered(whole)) => {
                entry.metrics.record_attempt("whole");
                return Forwarded::Answered(whole);
            }
            Ok(SentWhole::TooLarge) => return Forwarded::TooLarge,
            Ok(SentWhole::NotConnected(unsent)) => {
                entry.metrics.record_attempt("not_connected");
                entry.upstream_refused(&upstream.upstream);
                ticket = unsent;
            }
            Ok(SentWhole::Broken) => entry.metrics.record_attempt("lost"),
        }
        failed.push(upstream.upstream.clone());
        let may_repeat = if ticket.is_some() { Repeatable::Yes } else { repeatable };
        let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        let delay_ms = entry.retry_budget.lock().retry_delay_ms(
            may_repeat,
            n_tries,
            remaining_ms,
            &mut rand::rng(),
        );
        let Some(delay_ms) = delay_ms else { break };
        sleep(Duration::from_millis(delay_ms)).await;
    }
    ticket.map_or(Forwarded::Broken, Forwarded::NotRun)
}

/// An open upstream at random, of the own zone if there is one, and not one that failed if there is another.
fn choose(entry: &Entry, service: &Service, failed: &[UpstreamName]) -> Option<Upstream> {
    let open = service.upstreams.iter().filter(|it| entry.upstreams.is_open(&it.upstream));
    let mut open: Vec<_> = open.collect();
    open.shuffle(&mut rand::rng());
    open.sort_by_key(|it| (failed.contains(&it.upstream), it.zone != entry.settings.zone));
    open.first().map(|it| (*it).clone())
}

fn build(
    entry: &Entry,
    call: &Call,
    upstream: &Upstream,
    repeatable: Repeatable,
) -> RequestBuilder {
    let http = if repeatable == Repeatable::Yes { &entry.http } else { &entry.http_unpooled };
    let url = format!("http://{}{}", upstream.address, call.path);
    let method = reqwest::Method::from_bytes(call.method.as_str().as_bytes())
        .unwrap_or(reqwest::Method::GET);
    let mut request = http.request(method, url);
    for (name, value) in call.headers.iter().filter(|it| !NOT_FORWARDED.contains(&it.0.as_str())) {
        request = request.header(name, value);
    }
    request = request.header("x-request-id", call.request_id.to_string());
    request.header("x-team", call.team.team.as_str()).body(call.body.clone())
}

enum SentWhole {
    Answered(KeptWhole),
    Broken,
    NotConnected(Option<Ticket>),
    TooLarge,
}

async fn send_and_read(ticket: Option<Ticket>, request: RequestBuilder) -> SentWhole {
    let response = match dispatch::send(ticket, request).await {
        Sent::Answered(response) => response,
        Sent::Broken(_) => return SentWhole::Broken,
        Sent::NotConnected(ticket) => return SentWhole::NotConnected(ticket),
    };
    let status = response.status().as_u16();
    let text =
        |it: &reqwest::header::HeaderValue| String::from_utf8_lossy(it.as_bytes()).into_owned();
    let headers =
        response.headers().iter().map(|(name, value)| (name.as_str().to_owned(), text(value)));
    let headers = headers.filter(|it| !NOT_FORWARDED.contains(&it.0.as_str())).collect();
    let mut chunks = response.bytes_stream();
    let mut body = Vec::new();
    while let Some(chunk) = chunks.next().await {
        let Ok(chunk) = chunk else { return SentWhole::Broken };
        if ANSWER_BYTES_MAX < body.len() + chunk.len() {
            return SentWhole::TooLarge;
        }
        body.extend_from_slice(&chunk);
    }
    SentWhole::Answered(KeptWhole { status, headers, body: body.into() })
}

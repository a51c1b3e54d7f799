//! Calls of language services: the OpenAI-compatible interface, and responses that clients can resume.

use std::{str::FromStr, sync::Arc};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;

use lentilhitch_policy::{journal::JournalRecord, quarantine::Verdict};
use lentilhitch_types::{Fingerprint, Problem, RequestId};

use crate::{
    entry::{Entry, InProgressGuard},
    front::{Call, ClientResponse},
    journals::{Phase, Progress, TrackedRequest},
    problems,
    requests::AttachedClient,
    runner::QUARANTINED_DETAIL,
};

/// Fields that are read from a completion request. The body is sent on with all its fields.
///
/// The name of this type is part of the error text that clients get for an invalid body.
#[derive(Debug, Deserialize)]
struct Asked {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// Serves `POST /v1/completions` and `POST /v1/chat/completions`.
pub(crate) async fn serve(entry: &Arc<Entry>, call: Call) -> Result<ClientResponse, Problem> {
    let completion: Asked = serde_json::from_slice(&call.body).map_err(|err| {
        problems::BAD_REQUEST.with(format!("the body is not a completion request: {err}"))
    })?;
    let directory = entry.directory();
    let found = directory.by_model(&completion.model);
    let (service, _) = found
        .ok_or_else(|| problems::NO_SERVICE.with(format!("no model {:?}", completion.model)))?;
    call.admit(entry, service)?;
    let fingerprint = Fingerprint::of(&[call.team.team.as_str().as_bytes(), &call.body]);
    if entry.quarantine.lock().verdict(fingerprint) == Verdict::Quarantined {
        return Err(problems::QUARANTINED.with(QUARANTINED_DETAIL));
    }
    let record = JournalRecord {
        request_id: call.request_id,
        team: call.team.team.clone(),
        service: service.service.clone(),
        fingerprint,
        body: call.body.clone(),
        path: call.path_without_query().to_owned(),
        tokens: Vec::new(),
        finish_reason: None,
    };
    let started = entry.start_request(record);
    let tracked = started.ok_or_else(|| {
        problems::DUPLICATE_ID.with("GET /v1/requests/<id>/events gives its answer")
    })?;
    let client = AttachedClient::new(entry, &tracked);
    let response = respond(client, call.in_progress, 0, completion.stream).await;
    let status = response.as_ref().map_or_else(|it| it.status, |_| 200);
    entry.metrics.record_request(service.service.as_str(), status);
    response
}

/// Serves `GET /v1/requests/<id>` and `GET /v1/requests/<id>/events`.
pub(crate) async fn resume(entry: &Arc<Entry>, call: Call) -> Result<ClientResponse, Problem> {
    let id_and_suffix = call.path_without_query().trim_start_matches("/v1/requests/");
    let (id, is_events) = match id_and_suffix.strip_suffix("/events") {
        Some(id) => (id, true),
        None => (id_and_suffix, false),
    };
    let request_id = RequestId::from_str(id)
        .map_err(|_| problems::BAD_REQUEST.with("the request id is not a UUID"))?;
    let last_event_id = call.header("last-event-id").map_or(Ok(0), str::parse);
    let n_seen =
        last_event_id.map_err(|_| problems::BAD_REQUEST.with("Last-Event-ID is not a number"))?;
    let found = entry.find_or_take_over(request_id, &call.team.team).await;
    let tracked =
        found.ok_or_else(|| problems::NO_REQUEST.with("it may be older than answers are kept"))?;
    respond(AttachedClient::new(entry, &tracked), call.in_progress, n_seen, is_events).await
}

/// Responds to a client. The response to a streaming request starts once an upstream has accepted the request or the
/// request has finished. Any other request gets its response once it has finished.
async fn respond(
    client: AttachedClient,
    in_progress: InProgressGuard,
    n_seen: usize,
    is_stream: bool,
) -> Result<ClientResponse, Problem> {
    let mut progress = client.tracked.progress.subscribe();
    let is_ready = |it: &Progress| match it.phase {
        Phase::Waiting => false,
        Phase::Started => is_stream,
        _ => true,
    };
    let phase = progress.wait_for(is_ready).await.map(|it| it.phase.clone());
    match phase {
        Ok(Phase::Failed(problem))
            if !is_stream || client.tracked.journal.lock().position() == 0 =>
        {
            Err(problem)
        }
        Ok(Phase::HandedOver) if !is_stream => {
            Err(problems::NOT_FINISHED.with_retry_after(handed_over_detail(&client.tracked), 1_000))
        }
        Ok(_) if is_stream => Ok(ClientResponse::EventStream(
            event_stream(client, in_progress, progress, n_seen).boxed(),
        )),
        Ok(_) => Ok(full_response(&client)),
        Err(_) => Err(problems::NOT_FINISHED.with("the request was dropped")),
    }
}

fn handed_over_detail(tracked: &TrackedRequest) -> String {
    format!("the request goes on at another process: GET /v1/requests/{}", tracked.request_id())
}

fn full_response(client: &AttachedClient) -> ClientResponse {
    client.mark_delivered();
    let journal = client.tracked.journal.lock();
    let record = &journal.record;
    let text = record.tokens.concat();
    let choice = if is_chat(&record.path) {
        json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": record.finish_reason })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": record.finish_reason })
    };
    let mut value = envelope(record, "");
    value["choices"] = json!([choice]);
    value["usage"] = json!({ "completion_tokens": record.tokens.len() });
    let mut response = ClientResponse::json(200, &value);
    if let ClientResponse::Full { headers, .. } = &mut response {
        headers.push(("x-request-id".to_owned(), record.request_id.to_string()));
    }
    response
}

/// Position of one client in the event stream of a response.
struct EventCursor {
    client: AttachedClient,
    _in_progress: InProgressGuard,
    progress: watch::Receiver<Progress>,
    n_sent: usize,
    is_finished: bool,
}

/// Returns the response as server-sent events. The id of an event is the number of tokens up to and including this
/// event.
fn event_stream(
    client: AttachedClient,
    in_progress: InProgressGuard,
    progress: watch::Receiver<Progress>,
    n_seen: usize,
) -> impl stream::Stream<Item = Bytes> + Send {
    let cursor = EventCursor {
        client,
        _in_progress: in_progress,
        progress,
        n_sent: n_seen,
        is_finished: false,
    };
    stream::unfold(cursor, |mut cursor| async move {
        let bytes = cursor.next().await?;
        Some((bytes, cursor))
    })
}

impl EventCursor {
    /// Returns all events that can be sent now. Waits until there is at least one.
    async fn next(&mut self) -> Option<Bytes> {
        if self.is_finished {
            return None;
        }
        let n_sent = self.n_sent;
        let has_update = |it: &Progress| {
            n_sent < it.n_released || !matches!(it.phase, Phase::Waiting | Phase::Started)
        };
        let progress = self.progress.wait_for(has_update).await.ok()?.clone();
        let mut text = String::new();
        let journal = self.client.tracked.journal.lock();
        let record = &journal.record;
        for position in self.n_sent..progress.n_released.min(record.tokens.len()) {
            push_event(&mut text, position + 1, &token_event(record, position));
        }
        self.n_sent = self.n_sent.max(progress.n_released);
        self.is_finished = true;
        match progress.phase {
            Phase::Waiting | Phase::Started => self.is_finished = false,
            Phase::Done => {
                push_event(&mut text, record.tokens.len(), &finish_event(record));
                text.push_str("data: [DONE]\n\n");
                self.client.mark_delivered();
            }
            Phase::Failed(problem) => {
                text.push_str("event: error\n");
                push_event(&mut text, self.n_sent, &json!(problem));
            }
            Phase::HandedOver => {
                text.push_str("event: moved\n");
                push_event(&mut text, self.n_sent, &json!({ "request_id": record.request_id }));
            }
        }
        drop(journal);
        Some(text.into())
    }
}

fn push_event(text: &mut String, id: usize, data: &Value) {
    use std::fmt::Write as _;
    write!(text, "id: {id}\ndata: {data}\n\n").expect("writing to a String can't fail");
}

fn is_chat(path: &str) -> bool {
    path == "/v1/chat/completions"
}

fn envelope(record: &JournalRecord, object_suffix: &str) -> Value {
    let (prefix, object) = if is_chat(&record.path) {
        ("chatcmpl", format!("chat.completion{object_suffix}"))
    } else {
        ("cmpl", "text_completion".to_owned())
    };
    json!({ "id": format!("{prefix}-{}", record.request_id), "object": object })
}

fn token_event(record: &JournalRecord, position: usize) -> Value {
    let text = &record.tokens[position];
    let mut value = envelope(record, ".chunk");
    value["choices"] = if is_chat(&record.path) {
        json!([{ "index": 0, "delta": { "content": text }, "finish_reason": null }])
    } else {
        json!([{ "index": 0, "text": text, "finish_reason": null }])
    };
    value
}

fn finish_event(record: &JournalRecord) -> Value {
    let mut value = envelope(record, ".chunk");
    value["choices"] = if is_chat(&record.path) {
        json!([{ "index": 0, "delta": {}, "finish_reason": record.finish_reason }])
    } else {
        json!([{ "index": 0, "text": "", "finish_reason": record.finish_reason }])
    };
    value
}

//! Calls of language services: the OpenAI-compatible interface, and answers that callers come back for.

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
    front::{Answer, Call},
    journals::{Active, Phase, Progress},
    problems,
    requests::Caller,
    runner::QUARANTINED_DETAIL,
};

/// What is read of a request; the rest is passed on as it is.
#[derive(Debug, Deserialize)]
struct Asked {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// Serves `POST /v1/completions` and `POST /v1/chat/completions`.
pub(crate) async fn serve(entry: &Arc<Entry>, call: Call) -> Result<Answer, Problem> {
    let asked: Asked = serde_json::from_slice(&call.body).map_err(|err| {
        problems::BAD_REQUEST.with(format!("the body is not a completion request: {err}"))
    })?;
    let directory = entry.directory();
    let found = directory.by_model(&asked.model);
    let (service, _) =
        found.ok_or_else(|| problems::NO_SERVICE.with(format!("no model {:?}", asked.model)))?;
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
        path: call.path_only().to_owned(),
        tokens: Vec::new(),
        finish_reason: None,
    };
    let started = entry.start(record);
    let active = started.ok_or_else(|| {
        problems::DUPLICATE_ID.with("GET /v1/requests/<id>/events gives its answer")
    })?;
    let caller = Caller::new(entry, &active);
    let answer = answer(caller, call.in_progress, 0, asked.stream).await;
    let status = answer.as_ref().map_or_else(|it| it.status, |_| 200);
    entry.metrics.record_request(service.service.as_str(), status);
    answer
}

/// Serves `GET /v1/requests/<id>` and `GET /v1/requests/<id>/events`.
pub(crate) async fn resume(entry: &Arc<Entry>, call: Call) -> Result<Answer, Problem> {
    let rest = call.path_only().trim_start_matches("/v1/requests/");
    let (id, is_events) = match rest.strip_suffix("/events") {
        Some(id) => (id, true),
        None => (rest, false),
    };
    let request_id = RequestId::from_str(id)
        .map_err(|_| problems::BAD_REQUEST.with("the request id is not a UUID"))?;
    let seen = call.header("last-event-id").map_or(Ok(0), str::parse);
    let n_seen = seen.map_err(|_| problems::BAD_REQUEST.with("Last-Event-ID is not a number"))?;
    let found = entry.find(request_id, &call.team.team).await;
    let active =
        found.ok_or_else(|| problems::NO_REQUEST.with("it may be older than answers are kept"))?;
    answer(Caller::new(entry, &active), call.in_progress, n_seen, is_events).await
}

/// Answers once an upstream has accepted the request or the request has failed.
async fn answer(
    caller: Caller,
    in_progress: InProgressGuard,
    n_seen: usize,
    is_stream: bool,
) -> Result<Answer, Problem> {
    let mut progress = caller.active.progress.subscribe();
    let is_far_enough = |it: &Progress| match it.phase {
        Phase::Waiting => false,
        Phase::Started => is_stream,
        _ => true,
    };
    let phase = progress.wait_for(is_far_enough).await.map(|it| it.phase.clone());
    match phase {
        Ok(Phase::Failed(problem))
            if !is_stream || caller.active.journal.lock().position() == 0 =>
        {
            Err(problem)
        }
        Ok(Phase::HandedOver) if !is_stream => {
            Err(problems::NOT_FINISHED.after_ms(moved_detail(&caller.active), 1_000))
        }
        Ok(_) if is_stream => {
            Ok(Answer::Events(events(caller, in_progress, progress, n_seen).boxed()))
        }
        Ok(_) => Ok(whole(&caller)),
        Err(_) => Err(problems::NOT_FINISHED.with("the request was dropped")),
    }
}

fn moved_detail(active: &Active) -> String {
    format!("the request goes on at another process: GET /v1/requests/{}", active.request_id())
}

fn whole(caller: &Caller) -> Answer {
    caller.delivered();
    let journal = caller.active.journal.lock();
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
    let mut answer = Answer::json(200, &value);
    if let Answer::Whole { headers, .. } = &mut answer {
        headers.push(("x-request-id".to_owned(), record.request_id.to_string()));
    }
    answer
}

/// What one caller has been sent of an answer.
struct Cursor {
    caller: Caller,
    _in_progress: InProgressGuard,
    progress: watch::Receiver<Progress>,
    n_sent: usize,
    is_over: bool,
}

/// The answer as server-sent events; the id of each is the number of tokens up to it.
fn events(
    caller: Caller,
    in_progress: InProgressGuard,
    progress: watch::Receiver<Progress>,
    n_seen: usize,
) -> impl stream::Stream<Item = Bytes> + Send {
    let cursor =
        Cursor { caller, _in_progress: in_progress, progress, n_sent: n_seen, is_over: false };
    stream::unfold(cursor, |mut cursor| async move {
        let bytes = cursor.next().await?;
        Some((bytes, cursor))
    })
}

impl Cursor {
    /// All events that can be sent now; waits until there is one.
    async fn next(&mut self) -> Option<Bytes> {
        if self.is_over {
            return None;
        }
        let n_sent = self.n_sent;
        let has_news = |it: &Progress| {
            n_sent < it.n_released || !matches!(it.phase, Phase::Waiting | Phase::Started)
        };
        let progress = self.progress.wait_for(has_news).await.ok()?.clone();
        let mut text = String::new();
        let journal = self.caller.active.journal.lock();
        let record = &journal.record;
        for position in self.n_sent..progress.n_released.min(record.tokens.len()) {
            push_event(&mut text, position + 1, &token_event(record, position));
        }
        self.n_sent = self.n_sent.max(progress.n_released);
        self.is_over = true;
        match progress.phase {
            Phase::Waiting | Phase::Started => self.is_over = false,
            Phase::Done => {
                push_event(&mut text, record.tokens.len(), &end_event(record));
                text.push_str("data: [DONE]\n\n");
                self.caller.delivered();
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

fn envelope(record: &JournalRecord, chunk: &str) -> Value {
    let (prefix, object) = if is_chat(&record.path) {
        ("chatcmpl", format!("chat.completion{chunk}"))
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

fn end_event(record: &JournalRecord) -> Value {
    let mut value = envelope(record, ".chunk");
    value["choices"] = if is_chat(&record.path) {
        json!([{ "index": 0, "delta": {}, "finish_reason": record.finish_reason }])
    } else {
        json!([{ "index": 0, "text": "", "finish_reason": record.finish_reason }])
    };
    value
}

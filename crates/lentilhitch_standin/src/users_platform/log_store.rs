//! The users' log store and duties API, held in memory.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::users_platform::{StandInBody, full, query_value, read_body, serve_http};

/// Faults that the store injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    #[default]
    None,
    /// Every call gets status 503.
    Unavailable,
    /// No call gets a response, nor do calls that are in progress, also later.
    Unresponsive,
    /// Appends take effect and get no response.
    LostResponses,
}

#[derive(Clone, Default)]
struct Topic {
    records: Vec<Bytes>,
    /// Offset of the first record that can be read. Earlier records count as deleted.
    first: usize,
    /// Offset and value of the newest record of each key.
    newest: BTreeMap<String, (usize, Bytes)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    /// Number of times that the store has returned from the copy.
    era: u32,
    /// Copy of the topics.
    copy: BTreeMap<String, Topic>,
    fault: StoreFault,
    /// Number of times that the store has become unresponsive.
    n_silences: u64,
    n_calls: u64,
    reads: Vec<Read>,
    /// Accepted calls: holder, fencing token, duty and body.
    duty_calls: Vec<(String, u64, String, Value)>,
    /// Highest fencing token that each duty has accepted. For `scale`, each service and zone counts as a duty.
    fencing_tokens: BTreeMap<String, u64>,
}

/// A read of a topic from a position on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read {
    pub topic: String,
    /// Time for which the caller asked the store to wait for a record.
    pub wait_ms: u64,
    pub is_answered: bool,
}

/// Handle of the store. Clones share its state with the servers.
#[derive(Clone)]
pub struct LogStore {
    state: Arc<Mutex<State>>,
    written: Arc<Notify>,
    pub address: SocketAddr,
    /// Address of the duties API.
    pub cloud_address: SocketAddr,
}

impl LogStore {
    /// Starts the store and the duties API.
    pub async fn start() -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let written = Arc::new(Notify::new());
        let shared = (state.clone(), written.clone());
        let (address, _) = serve_http(move |request| {
            let (state, written) = shared.clone();
            async move {
                let mut response = handle_request(&state, &written, request).await?;
                let era = state.lock().era;
                response.headers_mut().insert("store-era", era.into());
                Some(response)
            }
        })
        .await?;
        let shared = state.clone();
        let (cloud_address, _) = serve_http(move |request| {
            let state = shared.clone();
            async move { handle_duty_call(&state, request).await }
        })
        .await?;
        Ok(Self { state, written, address, cloud_address })
    }

    /// Opens another address of the store, at which the topic `shown` stands in place of `hidden`.
    pub async fn listen_with(
        &self,
        hidden: &'static str,
        shown: &'static str,
    ) -> std::io::Result<SocketAddr> {
        let shared = (self.state.clone(), self.written.clone());
        let (address, _) = serve_http(move |mut request: Request<Incoming>| {
            let (state, written) = shared.clone();
            async move {
                let (from, to) = (format!("topic={hidden}"), format!("topic={shown}"));
                *request.uri_mut() = request.uri().to_string().replace(&from, &to).parse().ok()?;
                let mut response = handle_request(&state, &written, request).await?;
                let era = state.lock().era;
                response.headers_mut().insert("store-era", era.into());
                Some(response)
            }
        })
        .await?;
        Ok(address)
    }

    /// Opens another address of the store, whose callers get status 503 while `is_refusing` is set.
    pub async fn listen_refusing(
        &self,
        is_refusing: Arc<AtomicBool>,
    ) -> std::io::Result<SocketAddr> {
        let shared = (self.state.clone(), self.written.clone());
        let (address, _) = serve_http(move |request| {
            let (state, written) = shared.clone();
            let is_refusing = is_refusing.clone();
            async move {
                let mut response = handle_request(&state, &written, request).await?;
                // Also for a read that has waited since before.
                if is_refusing.load(Ordering::Relaxed) {
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                let era = state.lock().era;
                response.headers_mut().insert("store-era", era.into());
                Some(response)
            }
        })
        .await?;
        Ok(address)
    }

    /// Appends a record of a key, as operators and upstreams do.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        let mut content = BytesMut::new();
        content.put_u8(key.len() as u8);
        content.put_slice(key.as_bytes());
        content.put_slice(value.to_string().as_bytes());
        append(
            self.state.lock().topics.entry(topic.to_owned()).or_default(),
            content.freeze(),
            true,
        );
        self.written.notify_waiters();
    }

    /// Deletes a key by appending a record without a value.
    pub fn delete(&self, topic: &str, key: &str) {
        let mut content = BytesMut::new();
        content.put_u8(key.len() as u8);
        content.put_slice(key.as_bytes());
        append(
            self.state.lock().topics.entry(topic.to_owned()).or_default(),
            content.freeze(),
            true,
        );
        self.written.notify_waiters();
    }

    /// Returns the JSON values of all records of a key, oldest first.
    pub fn history(&self, topic: &str, key: &str) -> Vec<Value> {
        let state = self.state.lock();
        let Some(topic) = state.topics.get(topic) else { return Vec::new() };
        let values = topic.records.iter().filter_map(|it| {
            let mut value = it.clone();
            let key_bytes = value.get_u8() as usize;
            (value.split_to(key_bytes) == key.as_bytes()).then_some(value)
        });
        values.filter_map(|it| serde_json::from_slice(&it).ok()).collect()
    }

    /// Returns the number of records in a topic.
    pub fn n_records(&self, topic: &str) -> usize {
        self.state.lock().topics.get(topic).map_or(0, |it| it.records.len())
    }

    /// Waits until something is written, or returns at once if something was since `seen` records were there.
    pub(super) async fn written_since(&self, topic: &str, seen: usize) {
        loop {
            let notified = self.written.notified();
            if seen < self.n_records(topic) {
                return;
            }
            notified.await;
        }
    }

    /// Makes all records of a topic unreadable from the log. The newest record of each key stays available.
    pub fn truncate_history(&self, topic: &str) {
        if let Some(topic) = self.state.lock().topics.get_mut(topic) {
            topic.first = topic.records.len();
        }
    }

    /// Takes a copy of all topics, from which the store can return.
    pub fn take_copy(&self) {
        let mut state = self.state.lock();
        state.copy = state.topics.clone();
    }

    /// Returns from the copy: what was written since is lost. The duties API keeps what it has seen.
    pub fn restore(&self) {
        let mut state = self.state.lock();
        state.topics = state.copy.clone();
        state.era += 1;
        drop(state);
        self.written.notify_waiters();
    }

    /// Sets the fault that later calls meet.
    pub fn set_fault(&self, fault: StoreFault) {
        let mut state = self.state.lock();
        state.fault = fault;
        state.n_silences += u64::from(fault == StoreFault::Unresponsive);
    }

    /// Returns the reads of a topic so far.
    pub fn reads(&self, topic: &str) -> Vec<Read> {
        self.state.lock().reads.iter().filter(|it| it.topic == topic).cloned().collect()
    }

    /// Returns the number of calls so far.
    pub fn n_calls(&self) -> u64 {
        self.state.lock().n_calls
    }

    /// Returns the accepted calls of a duty: holder, fencing token and body.
    pub fn duty_calls(&self, duty: &str) -> Vec<(String, u64, Value)> {
        let state = self.state.lock();
        let calls = state.duty_calls.iter().filter(|it| it.2 == duty);
        calls.map(|it| (it.0.clone(), it.1, it.3.clone())).collect()
    }
}

fn append(topic: &mut Topic, content: Bytes, is_keyed: bool) {
    let offset = topic.records.len();
    if is_keyed {
        let mut value = content.clone();
        let key_bytes = value.get_u8() as usize;
        let key = String::from_utf8_lossy(&value.split_to(key_bytes)).into_owned();
        if value.is_empty() {
            topic.newest.remove(&key);
        } else {
            topic.newest.insert(key, (offset, value));
        }
    }
    topic.records.push(content);
}

async fn handle_request(
    state: &Mutex<State>,
    written: &Notify,
    request: Request<Incoming>,
) -> Option<Response<StandInBody>> {
    let (parts, body) = request.into_parts();
    let query = parts.uri.query().unwrap_or_default().to_owned();
    let body = read_body(body).await?;
    let (fault, n_silences, n_reads) = {
        let mut state = state.lock();
        state.n_calls += 1;
        if parts.uri.path() == "/lentilhitch/log-read" {
            let (topic, wait_ms) = (query_value(&query, "topic"), query_value(&query, "waitMs"));
            state.reads.push(Read {
                topic: topic.unwrap_or_default().to_owned(),
                wait_ms: wait_ms.and_then(|it| it.parse().ok()).unwrap_or_default(),
                is_answered: false,
            });
        }
        (state.fault, state.n_silences, state.reads.len())
    };
    match fault {
        StoreFault::Unavailable => return Some(status(503, &json!({}))),
        StoreFault::Unresponsive => std::future::pending().await,
        StoreFault::None | StoreFault::LostResponses => {}
    }
    match (parts.method, parts.uri.path()) {
        (Method::POST, "/lentilhitch/log-append") => {
            let response = on_append(&mut state.lock(), &query, body);
            written.notify_waiters();
            if fault == StoreFault::LostResponses {
                return std::future::pending().await;
            }
            Some(response)
        }
        (Method::GET, "/lentilhitch/log-read") => {
            let response = read(state, written, &query).await;
            let is_silenced = n_silences < state.lock().n_silences;
            if is_silenced {
                return std::future::pending().await;
            }
            state.lock().reads[n_reads - 1].is_answered = true;
            Some(response)
        }
        (Method::GET, "/lentilhitch/log-newest") => Some(newest(&mut state.lock(), &query)),
        _ => Some(status(404, &json!({}))),
    }
}

/// Appends records. Rejects topics that nodes must not write (403), and appends at an offset other than the end (412).
fn on_append(state: &mut State, query: &str, mut body: Bytes) -> Response<StandInBody> {
    let name = query_value(query, "topic").unwrap_or_default();
    if matches!(name, "keyed.op" | "keyed.servers") {
        return status(403, &json!({}));
    }
    let topic = state.topics.entry(name.to_owned()).or_default();
    let offset = topic.records.len();
    let at: Option<usize> = query_value(query, "at").and_then(|it| it.parse().ok());
    if at.is_some_and(|it| it != offset) {
        return status(412, &json!({ "end": offset }));
    }
    while 4 <= body.len() {
        let n_bytes = body.get_u32() as usize;
        append(topic, body.split_to(n_bytes), name.starts_with("keyed."));
    }
    status(200, &json!({ "offset": offset, "end": topic.records.len() }))
}

/// Responds with the records from an offset on, after a wait of up to `waitMs` for the first one. Responds with 410 if
/// records at the offset are deleted.
async fn read(state: &Mutex<State>, written: &Notify, query: &str) -> Response<StandInBody> {
    let name = query_value(query, "topic").unwrap_or_default();
    let from: usize = query_value(query, "from").and_then(|it| it.parse().ok()).unwrap_or_default();
    let wait_ms = query_value(query, "waitMs").and_then(|it| it.parse().ok()).unwrap_or_default();
    let wait_limit = tokio::time::sleep(Duration::from_millis(wait_ms));
    tokio::pin!(wait_limit);
    loop {
        let write_notification = written.notified();
        {
            let mut state = state.lock();
            let topic = state.topics.entry(name.to_owned()).or_default();
            if from < topic.first || topic.records.len() < from {
                return status(410, &json!({ "first": topic.first }));
            }
            if from < topic.records.len() || wait_ms == 0 || wait_limit.is_elapsed() {
                return Response::new(full(page(topic, from)));
            }
        }
        tokio::select! {
            () = write_notification => {}
            () = &mut wait_limit => {}
        }
    }
}

fn page(topic: &Topic, from: usize) -> Bytes {
    let mut bytes = BytesMut::new();
    bytes.put_u64(topic.records.len() as u64);
    bytes.put_u64(topic.first as u64);
    for record in topic.records.iter().skip(from) {
        bytes.put_u32(record.len() as u32);
        bytes.put_slice(record);
    }
    bytes.freeze()
}

fn newest(state: &mut State, query: &str) -> Response<StandInBody> {
    let name = query_value(query, "topic").unwrap_or_default();
    let topic = state.topics.entry(name.to_owned()).or_default();
    let item = |(key, (offset, value)): (&String, &(usize, Bytes))| json!({ "key": key, "value": STANDARD.encode(value), "offset": offset });
    let items: Vec<_> = topic.newest.iter().map(item).collect();
    status(200, &json!({ "items": items, "truncated": false, "end": topic.records.len() }))
}

/// Accepts a duty call unless an earlier call of the same duty had a higher fencing token.
async fn handle_duty_call(
    state: &Mutex<State>,
    request: Request<Incoming>,
) -> Option<Response<StandInBody>> {
    let (parts, body) = request.into_parts();
    let body: Value = serde_json::from_slice(&read_body(body).await?).ok()?;
    let header = |name: &str| parts.headers.get(name)?.to_str().ok().map(str::to_owned);
    let holder = header("x-duty-holder")?;
    let fencing_token: u64 = header("x-fencing-token")?.parse().ok()?;
    let duty = parts.uri.path().trim_start_matches('/').to_owned();
    let subject = match duty.as_str() {
        "scale" => format!("{duty} {} {}", body["service"], body["zone"]),
        _ => duty.clone(),
    };
    let mut state = state.lock();
    let highest = state.fencing_tokens.entry(subject).or_default();
    if fencing_token < *highest {
        return Some(status(409, &json!({ "reason": "fenced" })));
    }
    *highest = fencing_token;
    state.duty_calls.push((holder, fencing_token, duty, body));
    Some(status(200, &json!({})))
}

fn status(code: u16, body: &Value) -> Response<StandInBody> {
    let mut response = Response::new(full(body.to_string()));
    *response.status_mut() = code.try_into().expect("valid status code");
    response
}

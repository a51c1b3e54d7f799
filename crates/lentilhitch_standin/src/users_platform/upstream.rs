//! Stand-in for an upstream: writes its entry to the store, responds as it is set to, and records what it executed.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response,
    body::{Frame, Incoming},
    header::HeaderValue,
};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::users_platform::{LogStore, StandInBody, full, read_body, serve_http};

/// How an upstream responds to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Sends a complete response that is not a stream, after `work_ms` milliseconds.
    Serve { work_ms: u64 },
    /// Sends a stream of events, each after `interval_ms` milliseconds. With `break_after` set, the connection breaks
    /// after that number of events.
    Stream { n_events: u64, interval_ms: u64, break_after: Option<u64> },
    /// Executes the request and closes the connection without a response.
    Drop,
    /// Does not execute the request, and states so in the response.
    Full,
    /// Does not execute the request, states so, and asks the node to send nothing for a while.
    Pause,
    /// Executes the request and responds with status 500.
    Fail,
    /// Executes the request and responds with the ID of another request.
    OtherId,
    /// Executes the request and never responds.
    Hang,
    /// Crashes when it executes the request: its port and all its connections are closed.
    Crash,
}

/// How a bad software version fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Badness {
    /// Number of requests that each upstream executes well first.
    pub after: usize,
    /// Path that the failing requests begin with.
    pub path: &'static str,
    /// Each request of this number fails: 1 for all.
    pub every: usize,
}

/// A request that an upstream executed.
#[derive(Clone, Debug)]
pub struct ExecutedRequest {
    pub id: String,
    pub method: String,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub arrived: Instant,
    /// Whether the upstream sent its complete response.
    pub is_response_complete: bool,
    /// Whether the upstream failed because its version is bad.
    pub is_bad: bool,
}

impl ExecutedRequest {
    /// Returns a header as text, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
    }
}

struct State {
    behavior: Behavior,
    badness: Option<Badness>,
    /// Prompt segment, as the first field of its entry in the request's header, on which the upstream crashes as soon as
    /// it has sent the first event of a response.
    crashing_segment: Option<String>,
    /// Whether responses state that the upstream is leaving.
    is_leaving: bool,
    /// Limit that responses state, in requests per second from all nodes together.
    limit: Option<&'static str>,
    /// Load that responses state.
    load: Option<&'static str>,
    /// Room for requests, if it is limited.
    room: Option<Room>,
    executed: Vec<ExecutedRequest>,
    /// Number of streams whose connection closed before their end.
    n_aborted_streams: u64,
    /// Bodies of the KV cache transfer requests.
    kv_transfers: Vec<Value>,
}

/// Room of a brittle upstream, which rejects what it has no room for.
struct Room {
    /// Requests that the upstream executes at the same time. None waits.
    slots: usize,
    n_running: usize,
    /// Rejections in a second above which the upstream falls over.
    rejections_max: usize,
    /// Rejections within the last second.
    rejected: VecDeque<Instant>,
    n_rejected: usize,
    n_falls: usize,
}

/// Span in which a brittle upstream counts its rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

impl Room {
    /// Takes a slot. Returns whether there was one.
    fn enter(&mut self) -> bool {
        if self.n_running < self.slots {
            self.n_running += 1;
            return true;
        }
        let now = Instant::now();
        self.n_rejected += 1;
        self.rejected.push_back(now);
        self.rejected.retain(|it| now.duration_since(*it) < REJECTION_WINDOW);
        if self.rejections_max < self.rejected.len() {
            self.n_falls += 1;
            self.rejected.clear();
        }
        false
    }
}

/// Frees a slot when it is dropped.
struct Slot(Arc<Mutex<State>>);

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(room) = &mut self.0.lock().room {
            room.n_running = room.n_running.saturating_sub(1);
        }
    }
}

/// An upstream that runs in the test's process.
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    /// Version of the software that the upstream's entry states.
    pub version: String,
    service: String,
    zone: String,
    state: Arc<Mutex<State>>,
    task: tokio::task::JoinHandle<()>,
}

impl Upstream {
    pub(super) async fn start(
        id: &str,
        service: &str,
        zone: &str,
        behavior: Behavior,
    ) -> std::io::Result<Self> {
        let state = State {
            behavior,
            badness: None,
            crashing_segment: None,
            is_leaving: false,
            limit: None,
            load: None,
            room: None,
            executed: Vec::new(),
            n_aborted_streams: 0,
            kv_transfers: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let crash = Arc::new(Notify::new());
        let shared = (state.clone(), id.to_owned(), crash.clone());
        let (address, server) = serve_http(move |request| {
            let (state, own_id, crash) = shared.clone();
            async move { handle_request(&state, &own_id, &crash, request).await }
        })
        .await?;
        let task = tokio::spawn(async move {
            let server = AbortOnDrop(server);
            crash.notified().await;
            drop(server);
        });
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        Ok(Self { id, address, version: "v1".to_owned(), service, zone, state, task })
    }

    /// Starts an upstream in addition to those of the site, and writes its entry to the store.
    pub async fn start_with_entry(
        store: &LogStore,
        id: &str,
        service: &str,
        behavior: Behavior,
    ) -> std::io::Result<Self> {
        let upstream = Self::start(id, service, "a", behavior).await?;
        upstream.write_entry(store, &json!({}));
        Ok(upstream)
    }

    /// Starts an upstream of zone `a` in addition to those of the site, which has no entry in the store yet.
    pub async fn start_unlisted(
        id: &str,
        service: &str,
        version: &str,
        behavior: Behavior,
    ) -> std::io::Result<Self> {
        let mut upstream = Self::start(id, service, "a", behavior).await?;
        version.clone_into(&mut upstream.version);
        Ok(upstream)
    }

    /// Writes the upstream's entry to the store, with the fields of `extra` added or replaced.
    pub fn write_entry(&self, store: &LogStore, extra: &Value) {
        self.write_entry_to(store, "keyed.servers", extra);
    }

    /// Writes the upstream's entry to a topic of the store.
    pub(super) fn write_entry_to(&self, store: &LogStore, topic: &str, extra: &Value) {
        store.put(topic, &self.id, &self.entry(extra));
    }

    /// Returns the upstream's entry, with the fields of `extra` added or replaced.
    pub(super) fn entry(&self, extra: &Value) -> Value {
        let mut entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": self.version, "slots": 8, "state": "ready", "warmupLeftMs": 0, "seq": 1, "born": 1,
        });
        for (name, value) in extra.as_object().into_iter().flatten() {
            entry[name] = value.clone();
        }
        entry
    }

    /// Sets how the upstream responds to later requests.
    pub fn set(&self, behavior: Behavior) {
        self.state.lock().behavior = behavior;
    }

    /// Makes the version of the upstream bad.
    pub fn become_bad(&self, badness: Badness) {
        self.state.lock().badness = Some(badness);
    }

    /// Returns a handle that ends the upstream, as [`Self::crash`] does.
    pub(super) fn end_handle(&self) -> tokio::task::AbortHandle {
        self.task.abort_handle()
    }

    /// Sets the prompt segment whose requests crash the upstream after the first event of their responses.
    pub fn crash_on_segment(&self, segment: &str) {
        self.state.lock().crashing_segment = Some(segment.to_owned());
    }

    /// Sets whether later responses state that the upstream is leaving.
    pub fn state_leaving(&self, is_leaving: bool) {
        self.state.lock().is_leaving = is_leaving;
    }

    /// Sets the limit that later responses state, in requests per second from all nodes together.
    pub fn state_limit(&self, limit: Option<&'static str>) {
        self.state.lock().limit = limit;
    }

    /// Sets the load that later responses state: running requests, waiting requests, slots, and the pace if there is a
    /// fourth figure.
    pub fn state_load(&self, load: Option<&'static str>) {
        self.state.lock().load = load;
    }

    /// Makes the upstream brittle: it executes so many requests at the same time, rejects all others, states in all
    /// responses how many rejections in a second it bears, and counts how often it would fall over.
    pub fn become_brittle(&self, slots: usize, rejections_max: usize) {
        let room = Room {
            slots,
            n_running: 0,
            rejections_max,
            rejected: VecDeque::new(),
            n_rejected: 0,
            n_falls: 0,
        };
        self.state.lock().room = Some(room);
    }

    /// Returns how often a brittle upstream would have fallen over so far, and how many requests it has rejected.
    pub fn n_falls_and_rejections(&self) -> (usize, usize) {
        self.state.lock().room.as_ref().map_or((0, 0), |it| (it.n_falls, it.n_rejected))
    }

    /// Returns the requests that the upstream has executed so far.
    pub fn executed(&self) -> Vec<ExecutedRequest> {
        self.state.lock().executed.clone()
    }

    /// Returns the number of streams whose connection closed before their end.
    pub fn n_aborted_streams(&self) -> u64 {
        self.state.lock().n_aborted_streams
    }

    /// Returns the bodies of the requests to transfer a KV cache to another upstream.
    pub fn kv_transfers(&self) -> Vec<Value> {
        self.state.lock().kv_transfers.clone()
    }

    /// Ends the upstream: its port and all its connections are closed.
    pub fn crash(&self) {
        self.task.abort();
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn handle_request(
    state: &Arc<Mutex<State>>,
    own_id: &str,
    crash: &Arc<Notify>,
    request: Request<Incoming>,
) -> Option<Response<StandInBody>> {
    let (parts, body) = request.into_parts();
    let body = read_body(body).await?;
    if parts.uri.path() == "/lentilhitch/kv-move" {
        return Some(on_kv_transfer(state, &body));
    }
    let header = |name: &str| parts.headers.get(name).and_then(|it| it.to_str().ok());
    let id = header("x-attempt-id").unwrap_or_default().to_owned();
    if header("x-expect-instance").is_some_and(|it| it != own_id) {
        return Some(with_status(421, &id, ""));
    }
    let behavior = state.lock().behavior;
    let statements = Statements::of(&state.lock());
    let has_room = state.lock().room.as_mut().is_none_or(Room::enter);
    let _slot = (has_room && statements.rejections_max.is_some()).then(|| Slot(state.clone()));
    let behavior = if has_room { behavior } else { Behavior::Full };
    if matches!(behavior, Behavior::Full | Behavior::Pause) {
        let mut response = with_status(503, &id, "");
        response.headers_mut().insert("x-not-executed", "1".parse().ok()?);
        if behavior == Behavior::Pause {
            response.headers_mut().insert("retry-after", PAUSE_S.parse().ok()?);
        }
        return Some(statements.add_to(response));
    }
    let (index, is_bad) = {
        let mut state = state.lock();
        let n_before = state.executed.len();
        let is_bad = state.badness.is_some_and(|it| {
            it.after <= n_before
                && parts.uri.path().starts_with(it.path)
                && n_before.is_multiple_of(it.every)
        });
        state.executed.push(ExecutedRequest {
            id: id.clone(),
            method: parts.method.to_string(),
            path: parts.uri.to_string(),
            headers: parts.headers.clone(),
            body,
            arrived: Instant::now(),
            is_response_complete: is_bad,
            is_bad,
        });
        (n_before, is_bad)
    };
    let behavior = if is_bad { Behavior::Fail } else { behavior };
    let crashing_segment = state.lock().crashing_segment.clone();
    let segments = header("x-prompt-prefix").unwrap_or_default().split(',');
    let mut segments = segments.filter_map(|it| it.split(':').next());
    let is_crashing = crashing_segment.is_some_and(|it| segments.any(|segment| segment == it));
    let after = header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or_default();
    let response = match behavior {
        Behavior::Serve { work_ms } => {
            tokio::time::sleep(Duration::from_millis(work_ms)).await;
            state.lock().executed[index].is_response_complete = true;
            Response::new(full(format!("answer of {own_id}")))
        }
        Behavior::Stream { n_events, interval_ms, .. } if is_crashing => {
            let crash = crash.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(interval_ms + interval_ms / 2)).await;
                crash.notify_one();
            });
            Response::new(events(state.clone(), index, (after, n_events), interval_ms, None))
        }
        Behavior::Stream { n_events, interval_ms, break_after } => {
            Response::new(events(state.clone(), index, (after, n_events), interval_ms, break_after))
        }
        Behavior::Fail => with_status(500, &id, "no"),
        Behavior::OtherId => return stamped(Response::new(full("another's")), "another", own_id),
        Behavior::Drop | Behavior::Full | Behavior::Pause => return None,
        Behavior::Hang => std::future::pending().await,
        Behavior::Crash => {
            crash.notify_one();
            return None;
        }
    };
    Some(statements.add_to(stamped(response, &id, own_id)?))
}

/// Pause that an upstream asks for, in seconds.
const PAUSE_S: &str = "0.4";

/// What the upstream states about itself in a response.
struct Statements {
    is_leaving: bool,
    limit: Option<&'static str>,
    load: Option<&'static str>,
    rejections_max: Option<usize>,
}

impl Statements {
    fn of(state: &State) -> Self {
        let rejections_max = state.room.as_ref().map(|it| it.rejections_max);
        Self { is_leaving: state.is_leaving, limit: state.limit, load: state.load, rejections_max }
    }

    fn add_to(&self, mut response: Response<StandInBody>) -> Response<StandInBody> {
        let headers = response.headers_mut();
        if self.is_leaving {
            headers.insert("server-leaving", 1.into());
        }
        if let Some(limit) = self.limit {
            headers.insert("server-limit", HeaderValue::from_static(limit));
        }
        if let Some(load) = self.load {
            headers.insert("x-server-load", HeaderValue::from_static(load));
        }
        if let Some(rejections_max) = self.rejections_max {
            headers.insert("server-brittle", rejections_max.into());
        }
        response
    }
}

fn on_kv_transfer(state: &Mutex<State>, body: &[u8]) -> Response<StandInBody> {
    let call: Value = serde_json::from_slice(body).unwrap_or_default();
    state.lock().kv_transfers.push(call);
    Response::new(full(json!({ "handle": "h1", "created": 1 }).to_string()))
}

/// Returns a response of a status to the request with the given id.
fn with_status(code: u16, id: &str, body: &'static str) -> Response<StandInBody> {
    let response = Response::builder().status(code).header("x-attempt-id", id);
    response.body(full(body)).expect("valid status code and id")
}

fn stamped(
    mut response: Response<StandInBody>,
    id: &str,
    own_id: &str,
) -> Option<Response<StandInBody>> {
    let headers = response.headers_mut();
    headers.insert("x-attempt-id", id.parse().ok()?);
    headers.insert("x-server-stamp", format!("stamp.{own_id}").parse().ok()?);
    Some(response)
}

/// A task that is aborted when this handle is dropped.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Counts a stream as aborted if it is dropped while the flag is false, that is, before its end or its intended break.
struct AbortCounter(Arc<Mutex<State>>, bool);

impl Drop for AbortCounter {
    fn drop(&mut self) {
        if !self.1 {
            self.0.lock().n_aborted_streams += 1;
        }
    }
}

/// Returns the body of a stream with the events from `after + 1` to `last`.
fn events(
    state: Arc<Mutex<State>>,
    index: usize,
    (after, last): (u64, u64),
    interval_ms: u64,
    break_after: Option<u64>,
) -> StandInBody {
    let first = (after + 1, AbortCounter(state.clone(), false));
    let frames = stream::unfold(Some(first), move |next| {
        let state = state.clone();
        async move {
            let (id, mut abort_counter) = next?;
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            if last < id {
                abort_counter.1 = true;
                state.lock().executed[index].is_response_complete = true;
                return None;
            }
            if break_after.is_some_and(|it| after + it < id) {
                abort_counter.1 = true;
                return Some((Err(std::io::Error::other("broken off")), None));
            }
            let event = Bytes::from(format!("id: {id}\ndata: {id}\n\n"));
            Some((Ok(Frame::data(event)), Some((id + 1, abort_counter))))
        }
    });
    BodyExt::boxed(StreamBody::new(Box::pin(SyncStream(Mutex::new(Box::pin(frames))))))
}

/// Makes a stream `Sync`, as the body type requires. Only one task polls it at a time.
struct SyncStream<S>(Mutex<S>);

impl<S: stream::Stream + Unpin> stream::Stream for SyncStream<S> {
    type Item = S::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        std::pin::Pin::new(self.0.get_mut()).poll_next(cx)
    }
}

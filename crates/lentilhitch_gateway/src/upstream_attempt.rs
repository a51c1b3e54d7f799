//! Sends a request to one chosen upstream and reads the response. One such sending is called an attempt.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header, response};
use http_body::Body as _;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

use lentilhitch_policy::{
    body_memory::{BodyBuffer, BodyError, Owner, Reservation},
    pauses::PAUSE_MAX_MS,
    placement::{Assignment, AttemptResult},
    rollout::{ResponseOutcome, RunKind},
    stream_end::EndMarker,
    suspects::Suspect,
    traffic::{Repeat, UpstreamEntry},
};
use lentilhitch_types::UpstreamName;

use crate::{
    admission::AdmittedRequest,
    node::Node,
    peer_relay,
    platform::{KvCopy, Platform, ResponseHead, ResponseKind, UpstreamRequestHead},
    pool::{Connection, SendResult},
    rollouts::{SentRequest, VersionWithheld},
    upstream_paths::CONNECT_TIMEOUT_MS,
};

/// Maximum idle time of a pooled connection on which a request that must run at most once is sent. After a longer idle
/// time the connection may have been dropped without this node noticing it.
const AT_MOST_ONCE_IDLE_MAX_MS: u64 = 2_000;
/// Maximum size of a response body that is read completely before it is passed on.
const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Assignment of a request to an upstream. Released when dropped.
pub(crate) struct AssignmentGuard<P> {
    node: Rc<Node<P>>,
    assignment: Option<Assignment>,
    started_ms: u64,
    /// When the response started.
    responded_ms: Option<u64>,
    result: AttemptResult,
    /// The request as one that counts for its version, once it is sent.
    sent: Option<SentRequest<P>>,
}

impl<P> AssignmentGuard<P> {
    pub(crate) fn new(node: &Rc<Node<P>>, assignment: Assignment) -> Self {
        let started_ms = node.now_ms();
        node.on_request_sent();
        Self {
            node: node.clone(),
            assignment: Some(assignment),
            started_ms,
            responded_ms: None,
            result: AttemptResult::Canceled,
            sent: None,
        }
    }

    /// Sets the result with which the assignment will be released.
    pub(crate) fn set_result(&mut self, result: AttemptResult) {
        self.result = result;
        let outcome = match result {
            AttemptResult::Served => ResponseOutcome::Succeeded,
            AttemptResult::Failed => ResponseOutcome::Failed,
            AttemptResult::Full | AttemptResult::Unreachable | AttemptResult::Canceled => {
                ResponseOutcome::NotJudged
            }
        };
        self.set_version_outcome(outcome);
    }

    /// Counts the request for the version of the upstream, immediately before it is first sent. Fails if the version may
    /// not run it.
    fn count_sent(&mut self, params: &AttemptParams<'_>) -> Result<(), VersionWithheld> {
        if self.sent.is_none() {
            let AttemptParams { admitted, run_kind, entry, .. } = params;
            let (route, tokens) = (&admitted.route.name, self.uncached_tokens());
            self.sent = SentRequest::count(&self.node, route, tokens, *run_kind, entry)?;
        }
        Ok(())
    }

    /// Sets what the attempt says about the version of the upstream, if that is not the result of the attempt.
    fn set_version_outcome(&mut self, outcome: ResponseOutcome) {
        if let Some(sent) = &mut self.sent {
            sent.set_outcome(outcome);
        }
    }

    /// Records the end of a stream for the version of the upstream. `first_event_ms` is when its first event arrived.
    pub(crate) fn record_version_outcome(
        &mut self,
        outcome: ResponseOutcome,
        first_event_ms: Option<u64>,
    ) {
        self.set_version_outcome(outcome);
        if let (Some(sent), Some(at_ms)) = (&mut self.sent, first_event_ms) {
            sent.set_responded_at(at_ms);
        }
    }

    /// Records that the response has started.
    pub(crate) fn on_response_start(&mut self) {
        if let Some(assignment) = &mut self.assignment {
            let now_ms = self.node.now_ms();
            self.responded_ms = Some(now_ms);
            let elapsed_ms = now_ms - self.started_ms;
            let load_table = &mut self.node.state.borrow_mut().load_table;
            load_table.record_first_token(assignment, elapsed_ms);
            load_table.on_response_start(assignment);
        }
    }

    pub(crate) fn uncached_tokens(&self) -> u32 {
        self.assignment.as_ref().map_or(0, |it| it.uncached_tokens)
    }
}

impl<P> Drop for AssignmentGuard<P> {
    fn drop(&mut self) {
        if let Some(assignment) = self.assignment.take() {
            self.node.on_request_ended();
            let now_ms = self.node.now_ms();
            let mut state = self.node.state.borrow_mut();
            if let (AttemptResult::Served, Some(responded_ms)) = (self.result, self.responded_ms)
                && let Some(upstream) = state.catalog.get(&assignment.upstream)
            {
                let service = &upstream.entry.service;
                self.node.record_slot_time(&state, service, now_ms.saturating_sub(responded_ms));
            }
            state.load_table.release(assignment, self.result, now_ms);
        }
    }
}

/// Response of an upstream whose body has not been read yet.
pub(crate) struct UpstreamResponse<P> {
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) assignment: AssignmentGuard<P>,
    pub(crate) entry: UpstreamEntry,
    pub(crate) end_marker: EndMarker,
}

/// Outcome of an attempt.
pub(crate) enum AttemptOutcome<P> {
    Responded(Box<UpstreamResponse<P>>),
    /// The upstream did not run the request, for the given reason.
    NotRun(&'static str),
    /// No byte of the request was sent.
    NotSent,
    /// The version of the upstream may not run the request any more, so no byte of it was sent.
    Withheld,
    /// The request may have run. The attempt failed for the given reason.
    Unknown(&'static str),
}

/// Parameters of an attempt.
pub(crate) struct AttemptParams<'a> {
    pub(crate) admitted: &'a AdmittedRequest,
    pub(crate) entry: UpstreamEntry,
    pub(crate) run_kind: RunKind,
    /// Maximum time for sending the request and waiting for the response head.
    pub(crate) head_timeout_ms: u64,
    pub(crate) resume_after: Option<u64>,
    pub(crate) kv_copy: Option<KvCopy>,
    /// Whether the request is sent on a new connection, since an earlier attempt got no answer on an idle one.
    pub(crate) needs_fresh: bool,
    /// Whether the request is not sent to another upstream once this attempt has begun to send it.
    pub(crate) is_last: bool,
}

/// Sends a request to an upstream and reads the head of the response.
pub(crate) async fn run<P: Platform>(
    node: &Rc<Node<P>>,
    params: AttemptParams<'_>,
    mut assignment: AssignmentGuard<P>,
) -> AttemptOutcome<P> {
    let AttemptParams { admitted, entry, head_timeout_ms, .. } = &params;
    let head_timeout = Duration::from_millis(*head_timeout_ms);
    let idle_max_ms = match admitted.route.repeat {
        Repeat::AtMostOnce => AT_MOST_ONCE_IDLE_MAX_MS,
        _ => u64::MAX,
    };
    let mut pooled =
        if params.needs_fresh { None } else { node.take_pooled(&entry.id, idle_max_ms) };
    let mut n_failed_at_peers = 0;
    loop {
        let connection = match pooled.take() {
            Some(it) => Some(it),
            None => open(node, &params).await,
        };
        let Some(mut connection) = connection else {
            assignment.set_result(node.connect_failure_result());
            return AttemptOutcome::NotSent;
        };
        if assignment.count_sent(&params).is_err() {
            node.put_pooled(&entry.id, connection, None);
            return AttemptOutcome::Withheld;
        }
        let was_fresh = connection.is_fresh;
        let is_direct = connection.peer.is_none();
        let mut request = build_request::<P>(&params, is_direct, node.now_ms());
        if !is_direct {
            peer_relay::address_to(&mut request, entry);
        }
        let send_result = timeout(head_timeout, connection.send(request)).await;
        let send_result = match connection.peer {
            Some(peer) => send_result.map(|it| node.decode_relayed(peer, it)),
            None => send_result,
        };
        return match send_result {
            Err(_) => {
                assignment.set_result(AttemptResult::Failed);
                if !was_fresh {
                    node.close_idle_like(&entry.id, connection.peer);
                }
                AttemptOutcome::Unknown(NO_ANSWER)
            }
            Ok(SendResult::NotSent(body)) => {
                if let Some(body) = body {
                    admitted.body.replace(body);
                }
                // The pooled connection was closed and nothing was sent, so a new connection is opened.
                if !was_fresh {
                    continue;
                }
                if connection.peer.is_some() && n_failed_at_peers < FAILED_AT_PEERS_MAX {
                    n_failed_at_peers += 1;
                    continue;
                }
                assignment.set_result(node.connect_failure_result());
                AttemptOutcome::NotSent
            }
            Ok(SendResult::Broken(err)) => {
                log::info!(request = admitted.head.id.as_str(), upstream = entry.id.as_str(), error:% = err; "connection to upstream broke");
                assignment.set_result(AttemptResult::Failed);
                record_broken_connection_and_probe(node, &admitted.suspect, entry);
                AttemptOutcome::Unknown("the connection broke")
            }
            Ok(SendResult::Response(response)) => {
                handle_response_head(node, params, response, connection, assignment)
            }
        };
    }
}

/// Reason of an attempt that ended without a response head.
pub(crate) const NO_ANSWER: &str = "no answer in time";
/// Number of peers that may fail to pass on a request of one attempt before the attempt ends.
const FAILED_AT_PEERS_MAX: u32 = 3;

/// Records that a connection to an upstream broke during a request, and probes whether the upstream has crashed. The
/// purpose is to find requests that crash upstreams: a request that was present at several crashes is quarantined.
///
/// The probe opens a connection after [`PROBE_DELAY`], because a crashed process needs a moment until its port is
/// closed. Only a refused connection counts as a crash, because it shows that no process listens at the address. Any
/// other error may have other causes. No probe is made if the last probe of the upstream was scheduled less than
/// [`PROBE_INTERVAL_MS`] ago, or if this node is cut off from the upstreams.
pub(crate) fn record_broken_connection_and_probe<P: Platform>(
    node: &Rc<Node<P>>,
    suspect: &Suspect,
    entry: &UpstreamEntry,
) {
    let is_cut_off = node.cut_off_since_ms().is_some();
    let now_ms = node.now_ms();
    let mut state = node.state.borrow_mut();
    let incarnation = (entry.id.clone(), entry.started_ms);
    state.suspects.record_broken_connection(incarnation.clone(), suspect.clone(), now_ms);
    if state.suspects.has_crashed(&incarnation) {
        state.record_crash(&incarnation, now_ms);
        return;
    }
    if is_cut_off {
        return;
    }
    let last_probe_ms = state.last_probe_ms.entry(entry.id.clone()).or_default();
    if now_ms < *last_probe_ms + PROBE_INTERVAL_MS {
        return;
    }
    *last_probe_ms = now_ms;
    let (node, entry) = (node.clone(), entry.clone());
    tokio::task::spawn_local(async move {
        tokio::time::sleep(PROBE_DELAY).await;
        let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        if let Err(err) = Connection::open(entry.address, connect_timeout).await
            && err.kind() == std::io::ErrorKind::ConnectionRefused
        {
            node.on_connect_failed(&entry, &err);
        }
    });
}

/// Delay of the probe after a connection broke. Within this time a crashed process has closed its port.
const PROBE_DELAY: Duration = Duration::from_millis(30);
/// Minimum interval between probes of one upstream. A probe that would be due earlier is skipped.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// Opens a connection to the upstream, or to a peer if this node is cut off from the upstreams.
async fn open<P: Platform>(node: &Rc<Node<P>>, params: &AttemptParams<'_>) -> Option<Connection> {
    let AttemptParams { admitted, entry, head_timeout_ms, .. } = params;
    let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS.min(*head_timeout_ms));
    if node.cut_off_since_ms().is_none() {
        match Connection::open(entry.address, connect_timeout).await {
            Ok(it) => {
                node.on_upstream_connected();
                return Some(it);
            }
            Err(err) => {
                log::info!(request = admitted.head.id.as_str(), upstream = entry.id.as_str(), error:% = err; "failed to connect to upstream");
                node.on_connect_failed(entry, &err);
            }
        }
        node.cut_off_since_ms()?;
    }
    node.connect_to_peer(connect_timeout).await
}

fn build_request<P: Platform>(
    params: &AttemptParams<'_>,
    is_direct: bool,
    now_ms: u64,
) -> Request<Full<Bytes>> {
    let admitted = params.admitted;
    let head = UpstreamRequestHead {
        upstream: &params.entry.id,
        team: admitted.team.as_ref(),
        remaining_ms: admitted.remaining_ms(now_ms),
        priority: admitted.head.prompt.as_ref().map(|_| admitted.priority),
        resume_after: params.resume_after,
        kv_copy: params.kv_copy.as_ref(),
    };
    // In the last attempt, the HTTP library alone has the body and drops it when it is written. A request that a peer
    // could not pass on is sent again.
    let body = if params.is_last && is_direct {
        admitted.body.take()
    } else {
        admitted.body.borrow().clone()
    };
    let is_empty = body.is_empty();
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = admitted.parts.method.clone();
    *request.uri_mut() = admitted.parts.uri.clone();
    *request.headers_mut() = P::upstream_headers(&admitted.parts.headers, &head);
    if is_empty && admitted.parts.headers.contains_key(header::CONTENT_LENGTH) {
        request.headers_mut().insert(header::CONTENT_LENGTH, 0.into());
    }
    request
}

fn handle_response_head<P: Platform>(
    node: &Rc<Node<P>>,
    params: AttemptParams<'_>,
    response: http::Response<Incoming>,
    connection: Connection,
    mut assignment: AssignmentGuard<P>,
) -> AttemptOutcome<P> {
    let (mut parts, body) = response.into_parts();
    if !is_final_status(parts.status) {
        let (request, upstream) = (params.admitted.head.id.as_str(), params.entry.id.as_str());
        log::warn!(request, upstream, status = parts.status.as_u16(); "response with a status out of range");
        assignment.set_result(AttemptResult::Failed);
        return AttemptOutcome::Unknown(INVALID_STATUS);
    }
    let end_marker =
        peer_relay::take_end_marker(&mut parts).unwrap_or_else(|| end_marker(&parts, &body));
    if connection.peer.is_none() {
        node.on_upstream_heard();
    }
    let head = P::decode_response(&parts);
    let entry = params.entry;
    if !node.on_response_head(&entry, &head, &params.admitted.head.id) {
        assignment.set_result(AttemptResult::Failed);
        return AttemptOutcome::Unknown(FOREIGN_RESPONSE);
    }
    let outcome = match head.kind {
        ResponseKind::Ran => {
            assignment.on_response_start();
            None
        }
        ResponseKind::NotRun => {
            assignment.set_result(AttemptResult::Full);
            Some(AttemptOutcome::NotRun("the upstream is full"))
        }
        ResponseKind::Unstated => {
            assignment.set_result(AttemptResult::Failed);
            Some(AttemptOutcome::Unknown("the answer does not state whether the request ran"))
        }
        ResponseKind::Misdirected => {
            assignment.set_result(AttemptResult::Unreachable);
            return AttemptOutcome::NotRun("another upstream has the address");
        }
    };
    let response = UpstreamResponse { parts, body, connection, assignment, entry, end_marker };
    let Some(outcome) = outcome else { return AttemptOutcome::Responded(Box::new(response)) };
    let node = node.clone();
    tokio::task::spawn_local(async move { response.discard(&node).await });
    outcome
}

/// Reason for which a response is not used whose status is out of range.
pub(crate) const INVALID_STATUS: &str = "the answer has a status out of range";

/// Returns whether a response may have a status as its last one. The HTTP library lets through 101, although no request
/// asks for another protocol, and what is above the classes that HTTP has.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Reason for which a response is not used that has the id of another request or none. An upstream may send a copy of
/// an earlier response where the response to a request is due.
pub(crate) const FOREIGN_RESPONSE: &str = "the answer belongs to another request";

impl<P: Platform> Node<P> {
    /// Handles what the head of the response to a request states, if it comes from the upstream that the request was sent
    /// to. Returns whether it is the response to this request.
    pub(crate) fn on_response_head(
        &self,
        entry: &UpstreamEntry,
        head: &ResponseHead,
        request_id: &str,
    ) -> bool {
        let is_own = head.id.as_deref() == Some(request_id);
        if !is_own {
            log::warn!(request = request_id, upstream = entry.id.as_str(), response_id = head.id.as_deref(), kind:? = head.kind; "response to another request");
        }
        if is_own && head.kind != ResponseKind::Misdirected {
            self.on_upstream_statements(entry, head);
            self.on_limit_statement(entry, head);
            self.on_brittle_statement(entry, head);
        }
        is_own
    }

    /// Closes the idle connections to an upstream or a peer after a request on one of them got no answer. Open connections
    /// may all have fallen silent for good while new ones work.
    fn close_idle_like(&self, upstream: &UpstreamName, peer: Option<SocketAddr>) {
        match peer {
            Some(peer) => self.peer_pool.close_idle(&peer),
            None => self.pool.close_idle(upstream),
        }
    }

    /// Returns the result of an attempt for which no connection could be opened. A node that is cut off from the upstreams
    /// does not hold it against the upstream.
    fn connect_failure_result(&self) -> AttemptResult {
        match self.cut_off_since_ms() {
            Some(_) => AttemptResult::Canceled,
            None => AttemptResult::Unreachable,
        }
    }

    /// Handles what an upstream states about itself in the head of a response.
    pub(crate) fn on_upstream_statements(&self, entry: &UpstreamEntry, head: &ResponseHead) {
        self.on_load_statement(entry, head);
        if head.is_leaving {
            self.on_stated_leaving(entry);
        }
        match &head.pause_ms {
            Some(Ok(pause_ms)) => self.on_pause(entry, *pause_ms),
            Some(Err(err)) => {
                log::warn!(upstream = entry.id.as_str(), error:% = err; "ignoring pause that an upstream asks for");
            }
            None => {}
        }
    }

    /// Handles the load that an upstream states. The first load of an incarnation that has an unusable figure is logged.
    fn on_load_statement(&self, entry: &UpstreamEntry, head: &ResponseHead) {
        let now_ms = self.now_ms();
        let load_table = &mut self.state.borrow_mut().load_table;
        if let Some(load) = head.load {
            load_table.record_load(&entry.id, load, now_ms);
            if let Some(pace) = load.pace {
                load_table.record_pace(entry, pace, now_ms);
            }
        }
        if let Some(err) = &head.invalid_load
            && load_table.is_first_invalid_load(&entry.id)
        {
            log::warn!(upstream = entry.id.as_str(), error:% = err; "ignoring figures of the load that an upstream states");
        }
    }

    /// Handles whether an upstream states in the response to a request that it is brittle.
    fn on_brittle_statement(&self, entry: &UpstreamEntry, head: &ResponseHead) {
        let rejections_max_per_s = match &head.rejections_max_per_s {
            Some(Ok(it)) => Some(*it),
            None => None,
            Some(Err(err)) => {
                log::warn!(upstream = entry.id.as_str(), error:% = err; "ignoring number of rejections that an upstream states");
                return;
            }
        };
        let now_ms = self.now_ms();
        let brittle = &mut self.state.borrow_mut().restrictions.brittle;
        if brittle.record(&entry.service, rejections_max_per_s, now_ms) {
            log::info!(service = entry.service.as_str(), upstream = entry.id.as_str(), rejections_max_per_s; "brittleness of upstreams changed");
        }
        if head.kind == ResponseKind::NotRun {
            brittle.record_rejection(entry, now_ms);
        }
    }

    /// Handles the limit that an upstream states in the response to a request, or that it states none.
    fn on_limit_statement(&self, entry: &UpstreamEntry, head: &ResponseHead) {
        let per_s = match &head.limit_per_s {
            Some(Ok(it)) => Some(*it),
            None => None,
            Some(Err(err)) => {
                log::warn!(upstream = entry.id.as_str(), error:% = err; "ignoring limit that an upstream states");
                return;
            }
        };
        self.state.borrow_mut().record_limit(entry, per_s, self.now_ms());
    }

    fn on_pause(&self, entry: &UpstreamEntry, pause_ms: u64) {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let was_paused = state.restrictions.pauses.remaining_ms(entry, now_ms).is_some();
        state.restrictions.pauses.record(entry, pause_ms, now_ms, &mut state.rng);
        if !was_paused {
            let is_capped = PAUSE_MAX_MS < pause_ms;
            log::info!(upstream = entry.id.as_str(), pause_ms, is_capped; "upstream asks for a pause");
        }
    }
}

impl<P: Platform> UpstreamResponse<P> {
    /// Reads the complete response. The connection returns to the pool unless the read fails.
    pub(crate) async fn read_to_end(
        mut self,
        node: &Rc<Node<P>>,
        admitted: &AdmittedRequest,
    ) -> Result<(response::Parts, Bytes), &'static str> {
        let marker = self.end_marker;
        let body_timeout_ms = admitted.remaining_ms(node.now_ms());
        self.assignment.set_result(AttemptResult::Failed);
        // If the client leaves while the body is read, this says nothing about the version.
        self.assignment.set_version_outcome(ResponseOutcome::NotJudged);
        let body = read_body(node, self.body);
        let body = timeout(Duration::from_millis(body_timeout_ms), body).await;
        let responded_ms = node.now_ms();
        let body = match body.unwrap_or(Err("the answer did not end in time")) {
            Ok(it) => it,
            Err(reason) => {
                if reason != NO_MEMORY {
                    self.assignment.set_version_outcome(ResponseOutcome::Failed);
                }
                return Err(reason);
            }
        };
        let is_failure = self.parts.status.is_server_error();
        if self.parts.status.is_success() && marker == EndMarker::Explicit {
            node.record_answer(admitted);
        }
        self.assignment.set_result(if is_failure {
            AttemptResult::Failed
        } else {
            AttemptResult::Served
        });
        if let Some(sent) = &mut self.assignment.sent {
            sent.set_responded_at(responded_ms);
        }
        node.put_pooled(&self.entry.id, self.connection, keep_alive_ms(&self.parts));
        Ok((self.parts, body))
    }

    /// Reads the rest of a response that is not needed, so that its connection can return to the pool.
    async fn discard(self, node: &Rc<Node<P>>) {
        let body = http_body_util::Limited::new(self.body, DISCARD_BYTES_MAX);
        let body = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), body.collect()).await;
        if matches!(body, Ok(Ok(_))) {
            node.put_pooled(&self.entry.id, self.connection, keep_alive_ms(&self.parts));
        }
    }
}

/// Returns how the end of the body of a response is marked.
pub(crate) fn end_marker(parts: &response::Parts, body: &Incoming) -> EndMarker {
    let headers = &parts.headers;
    let is_chunked = |value: &HeaderValue| {
        let last = value.as_bytes().rsplit(|it| *it == b',').next().unwrap_or_default();
        last.trim_ascii().eq_ignore_ascii_case(b"chunked")
    };
    // A transfer coding takes precedence over a length.
    let is_explicit = match headers.get_all(header::TRANSFER_ENCODING).iter().next_back() {
        Some(value) => is_chunked(value),
        None => headers.contains_key(header::CONTENT_LENGTH) || body.is_end_stream(),
    };
    if is_explicit { EndMarker::Explicit } else { EndMarker::ConnectionEnd }
}

/// Reads a body of at most [`RESPONSE_BYTES_MAX`], as far as the node has memory for it. A body without a length, which
/// ends with its connection, might otherwise never end.
async fn read_body<P>(node: &Rc<Node<P>>, mut body: Incoming) -> Result<Bytes, &'static str> {
    let reservation = Reservation::new(&node.body_memory, Owner::Responses);
    let stated_bytes = body.size_hint().lower();
    let mut buffer = BodyBuffer::new(reservation, RESPONSE_BYTES_MAX, stated_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| "the answer broke off")?;
        let Ok(chunk) = frame.into_data() else { continue };
        buffer.push(chunk).map_err(|err| match err {
            BodyError::TooLarge => "the answer is too large",
            BodyError::MemoryExhausted => NO_MEMORY,
        })?;
    }
    Ok(buffer.finish())
}

/// Reason of a response that was not read for want of memory at this node.
const NO_MEMORY: &str = "no memory for the answer";
/// Maximum number of bytes that are read of a response that is not needed.
const DISCARD_BYTES_MAX: usize = 64 * 1024;

/// Returns how long the upstream keeps an idle connection, as stated in its response.
pub(crate) fn keep_alive_ms(parts: &response::Parts) -> Option<u64> {
    let text = parts.headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = text.split(',').filter_map(|it| it.trim().strip_prefix("timeout="));
    let seconds: u64 = fields.next()?.trim().parse().ok()?;
    Some(seconds * 1_000)
}

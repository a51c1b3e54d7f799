//! Requests that a node which is cut off from the upstreams sends through a peer.
//!
//! The node sends the request as the upstream is to get it to the peer's exchange address, with a header that names the
//! upstream and its incarnation. The peer passes it on over its own connection and returns the response, with headers
//! that say what has become of the request. So the node remains responsible for the request: it has chosen the upstream
//! and decides on other attempts, and its closed connection cancels the attempt. The peer applies what it knows of the
//! upstream, and passes nothing on to one that is leaving or wants no requests from it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, response};
use http_body::Body as _;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use tokio::{sync::mpsc, time::timeout};

use lentilhitch_policy::{
    body_memory::{BodyBuffer, BodyError, Owner, Reservation},
    stream_end::EndMarker,
    traffic::UpstreamEntry,
};

use crate::{
    client_response::{InFlightGuard, ResponseBody, StreamAborted},
    node::{Node, NodePhase},
    platform::{Platform, ResponseKind},
    pool::{Connection, SendError, SendResult},
    upstream_attempt::{
        FOREIGN_RESPONSE, INVALID_STATUS, end_marker, is_final_status, keep_alive_ms,
    },
    upstream_paths::CONNECT_TIMEOUT_MS,
};

/// Upstream that the request is for, and the start of its incarnation in milliseconds since the Unix epoch.
const UPSTREAM: HeaderName = HeaderName::from_static("lentilhitch-upstream");
/// What has become of the request at the peer, as one of the values below.
const RESULT: HeaderName = HeaderName::from_static("lentilhitch-result");
/// Present if only the end of its connection marked the end of the upstream's body.
const CONNECTION_END: HeaderName = HeaderName::from_static("lentilhitch-connection-end");

/// The upstream has responded.
const RESULT_PASSED: &str = "passed";
/// No byte of the request was sent to the upstream.
const RESULT_NOT_SENT: &str = "not-sent";
/// The connection to the upstream broke after the request may have reached it.
const RESULT_BROKEN: &str = "broken";

/// Number of peers that are tried for one connection.
const PEERS_MAX: u32 = 3;
/// Maximum number of parts of a body that wait for the node.
const QUEUED_CHUNKS_MAX: usize = 64;

/// Adds to a request for an upstream what the peer needs to pass it on.
pub(crate) fn address_to(request: &mut Request<Full<Bytes>>, upstream: &UpstreamEntry) {
    let value = format!("{} {}", upstream.id, upstream.started_ms);
    if let Ok(value) = HeaderValue::from_str(&value) {
        request.headers_mut().insert(UPSTREAM, value);
    }
}

/// Returns whether a request of another node is to be passed on to an upstream.
pub(crate) fn is_relayed(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(UPSTREAM)
}

/// Returns how the peer says that the upstream's body ends, and removes this from the head.
pub(crate) fn take_end_marker(parts: &mut response::Parts) -> Option<EndMarker> {
    parts.headers.remove(CONNECTION_END).map(|_| EndMarker::ConnectionEnd)
}

impl<P: Platform> Node<P> {
    /// Opens a connection to a peer that may reach the upstreams, or takes an idle one.
    pub(crate) async fn connect_to_peer(&self, connect_timeout: Duration) -> Option<Connection> {
        for _ in 0..PEERS_MAX {
            let peer = self.choose_peer()?;
            if let Some(connection) = self.peer_pool.take(&peer, u64::MAX, self.clock) {
                return Some(connection);
            }
            match Connection::open(peer, connect_timeout).await {
                Ok(mut connection) => {
                    connection.peer = Some(peer);
                    return Some(connection);
                }
                Err(err) => {
                    log::info!(peer:% = peer, error:% = err; "failed to connect to peer");
                    self.on_peer_failed(peer);
                }
            }
        }
        None
    }

    fn choose_peer(&self) -> Option<SocketAddr> {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let peers: Vec<_> = state.gossip.node_addresses().copied().collect();
        state.paths.choose_peer(&peers, state.gossip.local_zone(), now_ms, &mut state.rng)
    }

    fn on_peer_failed(&self, peer: SocketAddr) {
        self.peer_pool.close_idle(&peer);
        self.state.borrow_mut().paths.on_peer_failed(peer, self.now_ms());
    }

    /// Translates what came back from a peer into the result of sending the request to the upstream.
    pub(crate) fn decode_relayed(&self, peer: SocketAddr, sent: SendResult) -> SendResult {
        let mut response = match sent {
            SendResult::Response(it) => it,
            failed => {
                self.on_peer_failed(peer);
                return failed;
            }
        };
        let result = response.headers_mut().remove(RESULT);
        match result.as_ref().map(HeaderValue::as_bytes) {
            Some(it) if it == RESULT_PASSED.as_bytes() => SendResult::Response(response),
            Some(it) if it == RESULT_NOT_SENT.as_bytes() => {
                self.on_peer_failed(peer);
                SendResult::NotSent(None)
            }
            _ => SendResult::Broken(SendError::BrokenAtPeer),
        }
    }
}

/// Passes on a request of another node.
pub(crate) async fn serve<P: Platform>(
    node: Rc<Node<P>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let in_flight = InFlightGuard::new(&node.n_in_flight);
    let result = pass_on(&node, request).await;
    let response = result.unwrap_or_else(|failure| {
        log::info!(result = failure.result, why = failure.reason; "request of another node not passed on");
        let mut response = Response::new(ResponseBody::complete(Bytes::new()));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response.headers_mut().insert(RESULT, HeaderValue::from_static(failure.result));
        response
    });
    response.map(|it| it.with_in_flight(in_flight))
}

/// Why a request of another node got no response.
struct Failure {
    result: &'static str,
    reason: &'static str,
}

impl Failure {
    fn not_sent(reason: &'static str) -> Self {
        Self { result: RESULT_NOT_SENT, reason }
    }
}

async fn pass_on<P: Platform>(
    node: &Rc<Node<P>>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Failure> {
    let upstream = node.requested_upstream(&request).map_err(Failure::not_sent)?;
    let (mut parts, body) = request.into_parts();
    parts.headers.remove(UPSTREAM);
    let id = P::decode_request(&parts).map_err(|_| Failure::not_sent("malformed request"))?.id;
    let mut body = read_body(node, body).await.map_err(Failure::not_sent)?;
    let mut pooled = node.take_pooled(&upstream.id, u64::MAX);
    loop {
        let mut connection = match pooled.take() {
            Some(it) => it,
            None => open(node, &upstream).await?,
        };
        let was_fresh = connection.is_fresh;
        let request = Request::from_parts(parts.clone(), Full::new(std::mem::take(&mut body)));
        match connection.send(request).await {
            SendResult::NotSent(Some(unsent)) if !was_fresh => body = unsent,
            SendResult::NotSent(_) => return Err(Failure::not_sent("the connection was closed")),
            SendResult::Broken(_) => {
                return Err(Failure { result: RESULT_BROKEN, reason: "the connection broke" });
            }
            SendResult::Response(response) => {
                return relay_response(node, response, connection, &upstream, &id);
            }
        }
    }
}

async fn open<P: Platform>(
    node: &Rc<Node<P>>,
    upstream: &UpstreamEntry,
) -> Result<Connection, Failure> {
    let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    match Connection::open(upstream.address, connect_timeout).await {
        Ok(it) => {
            node.on_upstream_connected();
            Ok(it)
        }
        Err(err) => {
            node.on_connect_failed(upstream, &err);
            Err(Failure::not_sent("the upstream can't be reached"))
        }
    }
}

impl<P: Platform> Node<P> {
    /// Returns the upstream that a request of another node names, if this node may send it a request now.
    fn requested_upstream(
        &self,
        request: &Request<Incoming>,
    ) -> Result<UpstreamEntry, &'static str> {
        let named = request.headers().get(UPSTREAM).and_then(|it| it.to_str().ok());
        let (id, started_ms) =
            named.and_then(|it| it.split_once(' ')).ok_or("the upstream is not readable")?;
        let id = id.parse().map_err(|_| "the upstream is not readable")?;
        let now_ms = self.now_ms();
        if *self.phase.borrow() != NodePhase::Serving {
            return Err("the node is stopping");
        }
        let mut state = self.state.borrow_mut();
        if state.paths.cut_off_since_ms().is_some() {
            return Err("the node is cut off from the upstreams");
        }
        let upstream = state.catalog.get(&id).filter(|it| it.is_ready());
        let entry = upstream.map(|it| it.entry.clone()).ok_or("the upstream is not ready")?;
        if started_ms.parse() != Ok(entry.started_ms) {
            return Err("the upstream is of another incarnation");
        }
        if state.restrictions.remaining_ms(&entry, now_ms).is_some() {
            return Err("the upstream wants no request of this node now");
        }
        if self.rollouts.as_ref().is_some_and(|it| !it.may_relay(&entry)) {
            return Err("the version of the upstream gets no more requests");
        }
        state.restrictions.record_send(&entry, now_ms);
        Ok(entry)
    }
}

async fn read_body<P: Platform>(
    node: &Rc<Node<P>>,
    mut body: Incoming,
) -> Result<Bytes, &'static str> {
    let limits = node.client_limits();
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let reservation = Reservation::new(&node.body_memory, Owner::Peers);
    let mut buffer = BodyBuffer::new(reservation, limits.body_bytes, body.size_hint().lower());
    while let Some(frame) =
        timeout(idle_timeout, body.frame()).await.map_err(|_| "the body did not come in time")?
    {
        let frame = frame.map_err(|_| "the body is broken")?;
        let Ok(chunk) = frame.into_data() else { continue };
        buffer.push(chunk).map_err(|err| match err {
            BodyError::TooLarge => "the body is too large",
            BodyError::MemoryExhausted => "no memory for the body",
        })?;
    }
    Ok(buffer.finish())
}

/// Starts to pass on the response of an upstream.
fn relay_response<P: Platform>(
    node: &Rc<Node<P>>,
    response: Response<Incoming>,
    connection: Connection,
    upstream: &UpstreamEntry,
    request_id: &str,
) -> Result<Response<ResponseBody>, Failure> {
    let (parts, body) = response.into_parts();
    node.on_upstream_heard();
    if !is_final_status(parts.status) {
        return Err(Failure { result: RESULT_BROKEN, reason: INVALID_STATUS });
    }
    let head = P::decode_response(&parts);
    if !node.on_response_head(upstream, &head, request_id) {
        return Err(Failure { result: RESULT_BROKEN, reason: FOREIGN_RESPONSE });
    }
    let is_from_upstream = head.kind != ResponseKind::Misdirected;
    let mut headers = P::client_headers(&parts.headers);
    headers.insert(RESULT, HeaderValue::from_static(RESULT_PASSED));
    if end_marker(&parts, &body) == EndMarker::ConnectionEnd {
        headers.insert(CONNECTION_END, HeaderValue::from_static("1"));
    }
    let (chunks, receiver) = mpsc::channel(QUEUED_CHUNKS_MAX);
    let mut relayed = Response::new(ResponseBody::chunks(receiver));
    *relayed.status_mut() = parts.status;
    *relayed.headers_mut() = headers;
    let (node, id) = (node.clone(), upstream.id.clone());
    tokio::task::spawn_local(async move {
        if relay_body(&node, body, chunks).await && is_from_upstream {
            node.pool.put(&id, connection, keep_alive_ms(&parts), node.clock);
        }
    });
    Ok(relayed)
}

/// Passes on a body. Returns whether it was complete.
async fn relay_body<P>(
    node: &Node<P>,
    mut body: Incoming,
    chunks: mpsc::Sender<Result<Bytes, StreamAborted>>,
) -> bool {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = chunks.closed() => return false,
        };
        let Some(frame) = frame else { return true };
        node.on_upstream_heard();
        let chunk = match frame.map(http_body::Frame::into_data) {
            Ok(Ok(data)) => Ok(data),
            Ok(Err(_)) => continue,
            Err(_) => Err(StreamAborted),
        };
        let is_aborted = chunk.is_err();
        if chunks.send(chunk).await.is_err() || is_aborted {
            return false;
        }
    }
}

//! One try of a call at one upstream.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, header, response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

use lentilhitch_policy::{
    placement::{Assignment, AttemptResult},
    traffic::{Repeat, UpstreamEntry},
};

use lentilhitch_types::Fingerprint;

use crate::{
    admission::Call,
    node::Node,
    platform::{KvCopy, Platform, ResponseHead, ResponseKind, UpstreamRequestHead},
    pool::{Connection, Sent},
};

/// How long a connection may take to open; above a round trip with one lost packet is not waited for.
const CONNECT_MS: u64 = 400;
/// A kept connection idle for longer isn't used for what may run only once: it may have been dropped silently.
const ONCE_IDLE_MAX_MS: u64 = 2_000;
/// The largest plain answer that is read whole.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// A place at an upstream, given back when dropped.
pub(crate) struct PlaceGuard<P> {
    node: Rc<Node<P>>,
    placed: Option<Assignment>,
    since_ms: u64,
    result: AttemptResult,
}

impl<P> PlaceGuard<P> {
    pub(crate) fn new(node: &Rc<Node<P>>, placed: Assignment) -> Self {
        let since_ms = node.now_ms();
        Self { node: node.clone(), placed: Some(placed), since_ms, result: AttemptResult::Canceled }
    }

    /// How the try will be counted.
    pub(crate) fn set(&mut self, result: AttemptResult) {
        self.result = result;
    }

    /// The first answer came.
    pub(crate) fn began(&mut self) {
        if let Some(placed) = &mut self.placed {
            let elapsed_ms = self.node.now_ms() - self.since_ms;
            let load_table = &mut self.node.state.borrow_mut().load_table;
            load_table.record_first_token(placed, elapsed_ms);
            load_table.on_response_start(placed);
        }
    }

    pub(crate) fn uncached_tokens(&self) -> u32 {
        self.placed.as_ref().map_or(0, |it| it.uncached_tokens)
    }
}

impl<P> Drop for PlaceGuard<P> {
    fn drop(&mut self) {
        if let Some(placed) = self.placed.take() {
            let now_ms = self.node.now_ms();
            self.node.state.borrow_mut().load_table.release(placed, self.result, now_ms);
        }
    }
}

/// An answer whose body is still to be read.
pub(crate) struct Answered<P> {
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) place: PlaceGuard<P>,
    pub(crate) listed: UpstreamEntry,
}

/// How a try ended.
pub(crate) enum TryEnd<P> {
    Answered(Box<Answered<P>>),
    /// The upstream says that it did not run it.
    NotRun(&'static str),
    /// No byte was sent.
    NotSent,
    /// It may have run.
    Unknown(&'static str),
}

/// What a try is given.
pub(crate) struct TryOrder<'a> {
    pub(crate) call: &'a Call,
    pub(crate) listed: UpstreamEntry,
    /// How long the head of the answer is waited for.
    pub(crate) patience_ms: u64,
    pub(crate) resume_after: Option<u64>,
    pub(crate) memory: Option<KvCopy>,
}

/// Sends a call to an upstream and reads the head of the answer.
pub(crate) async fn run<P: Platform>(
    node: &Rc<Node<P>>,
    order: TryOrder<'_>,
    mut place: PlaceGuard<P>,
) -> TryEnd<P> {
    let TryOrder { call, listed, patience_ms, .. } = &order;
    let patience = Duration::from_millis(*patience_ms);
    let idle_max_ms = match call.route.repeat {
        Repeat::AtMostOnce => ONCE_IDLE_MAX_MS,
        _ => u64::MAX,
    };
    let mut kept = node.pool.take(&listed.id, idle_max_ms, node.clock);
    loop {
        let connection = match kept.take() {
            Some(it) => Some(it),
            None => open(node, &order).await,
        };
        let Some(mut connection) = connection else {
            place.set(AttemptResult::Unreachable);
            return TryEnd::NotSent;
        };
        let was_fresh = connection.is_fresh;
        let request = request::<P>(&order, node.now_ms());
        let sent = timeout(patience, connection.send(request)).await;
        return match sent {
            Err(_) => {
                place.set(AttemptResult::Failed);
                TryEnd::Unknown("no answer in time")
            }
            Ok(Sent::Nothing) if !was_fresh => continue,
            Ok(Sent::Nothing) => {
                place.set(AttemptResult::Unreachable);
                TryEnd::NotSent
            }
            Ok(Sent::Broken(err)) => {
                log::info!(request = call.head.id.as_str(), upstream = listed.id.as_str(), error:% = err; "connection broke");
                place.set(AttemptResult::Failed);
                note_broken(node, call.fingerprint, listed);
                TryEnd::Unknown("the connection broke")
            }
            Ok(Sent::Answer(response)) => read_head(node, order, response, connection, place),
        };
    }
}

/// Notes that a connection broke under a request, and asks whether the upstream has crashed.
pub(crate) fn note_broken<P: Platform>(
    node: &Rc<Node<P>>,
    request: Fingerprint,
    listed: &UpstreamEntry,
) {
    let now_ms = node.now_ms();
    let mut state = node.state.borrow_mut();
    state.suspects.record_broken_connection(
        (listed.id.clone(), listed.started_ms),
        request,
        now_ms,
    );
    let probed_ms = state.probed_ms.entry(listed.id.clone()).or_default();
    if now_ms < *probed_ms + PROBE_PAUSE_MS {
        return;
    }
    *probed_ms = now_ms;
    let (node, listed) = (node.clone(), listed.clone());
    tokio::task::spawn_local(async move {
        tokio::time::sleep(PROBE_DELAY).await;
        let limit = Duration::from_millis(CONNECT_MS);
        let refused = std::io::ErrorKind::ConnectionRefused;
        if Connection::open(listed.address, limit).await.is_err_and(|it| it.kind() == refused) {
            node.record_crash(&listed);
        }
    });
}

/// A broken connection is followed by a probe after so long, within which a crashed process has closed its port.
const PROBE_DELAY: Duration = Duration::from_millis(30);
/// The pause between probes of one upstream.
const PROBE_PAUSE_MS: u64 = 1_000;

async fn open<P: Platform>(node: &Rc<Node<P>>, order: &TryOrder<'_>) -> Option<Connection> {
    let TryOrder { call, listed, patience_ms, .. } = order;
    let limit = Duration::from_millis(CONNECT_MS.min(*patience_ms));
    match Connection::open(listed.address, limit).await {
        Ok(it) => Some(it),
        Err(err) => {
            log::info!(request = call.head.id.as_str(), upstream = listed.id.as_str(), error:% = err; "can't connect");
            if err.kind() == std::io::ErrorKind::ConnectionRefused {
                node.record_crash(listed);
            }
            None
        }
    }
}

fn request<P: Platform>(order: &TryOrder<'_>, now_ms: u64) -> Request<Full<Bytes>> {
    let call = order.call;
    let send = UpstreamRequestHead {
        upstream: &order.listed.id,
        team: call.team.as_ref(),
        remaining_ms: call.remaining_ms(now_ms),
        priority: call.head.prompt.as_ref().map(|_| call.priority),
        resume_after: order.resume_after,
        kv_copy: order.memory.as_ref(),
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    *request.headers_mut() = P::upstream_headers(&call.parts.headers, &send);
    if call.body.is_empty() && call.parts.headers.contains_key(header::CONTENT_LENGTH) {
        request.headers_mut().insert(header::CONTENT_LENGTH, 0.into());
    }
    request
}

fn read_head<P: Platform>(
    node: &Rc<Node<P>>,
    order: TryOrder<'_>,
    response: http::Response<Incoming>,
    connection: Connection,
    mut place: PlaceGuard<P>,
) -> TryEnd<P> {
    let (parts, body) = response.into_parts();
    let ResponseHead { id, kind, load } = P::decode_response(&parts);
    let listed = order.listed;
    if let Some(load) = load {
        let now_ms = node.now_ms();
        node.state.borrow_mut().load_table.record_load(&listed.id, load, now_ms);
    }
    match kind {
        ResponseKind::NotRun => {
            place.set(AttemptResult::Full);
            let rest = Answered { parts, body, connection, place, listed };
            let node = node.clone();
            tokio::task::spawn_local(async move { rest.discard(&node).await });
            TryEnd::NotRun("the upstream is full")
        }
        ResponseKind::Misdirected => {
            place.set(AttemptResult::Unreachable);
            TryEnd::NotRun("another upstream has the address")
        }
        ResponseKind::Ran if id.as_deref() != Some(&order.call.head.id) => {
            place.set(AttemptResult::Failed);
            TryEnd::Unknown("the answer belongs to another request")
        }
        ResponseKind::Ran => {
            place.began();
            TryEnd::Answered(Box::new(Answered { parts, body, connection, place, listed }))
        }
    }
}

impl<P: Platform> Answered<P> {
    /// Reads a plain answer whole. The connection is kept if it can be.
    pub(crate) async fn read_whole(
        mut self,
        node: &Rc<Node<P>>,
        patience_ms: u64,
    ) -> Result<(response::Parts, Bytes), &'static str> {
        self.place.set(AttemptResult::Failed);
        let body = http_body_util::Limited::new(self.body, ANSWER_BYTES_MAX);
        let whole = match timeout(Duration::from_millis(patience_ms), body.collect()).await {
            Err(_) => return Err("the answer did not end in time"),
            Ok(Err(_)) => return Err("the answer broke off"),
            Ok(Ok(whole)) => whole.to_bytes(),
        };
        let is_failure = self.parts.status.is_server_error();
        self.place.set(if is_failure { AttemptResult::Failed } else { AttemptResult::Served });
        node.pool.put(&self.listed.id, self.connection, kept_ms(&self.parts), node.clock);
        Ok((self.parts, whole))
    }

    /// Reads what is left of an answer that nobody needs, so that its connection can be kept.
    async fn discard(self, node: &Rc<Node<P>>) {
        let body = http_body_util::Limited::new(self.body, DISCARD_BYTES_MAX);
        let whole = timeout(Duration::from_millis(CONNECT_MS), body.collect()).await;
        if matches!(whole, Ok(Ok(_))) {
            node.pool.put(&self.listed.id, self.connection, kept_ms(&self.parts), node.clock);
        }
    }
}

/// An answer that nobody needs is read up to here.
const DISCARD_BYTES_MAX: usize = 64 * 1024;

/// How long an upstream says that it keeps an idle connection.
pub(crate) fn kept_ms(parts: &response::Parts) -> Option<u64> {
    let text = parts.headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = text.split(',').filter_map(|it| it.trim().strip_prefix("timeout="));
    let seconds: u64 = fields.next()?.trim().parse().ok()?;
    Some(seconds * 1_000)
}

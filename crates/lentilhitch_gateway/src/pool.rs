//! Connections to upstreams, and to peers through which requests are sent. Each connection carries one request at a time.

use std::{
    cell::RefCell,
    hash::Hash,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, sync::Notify, task::JoinHandle, time::timeout};

use lentilhitch_types::UpstreamName;

use crate::clock::Clock;

/// Time that an idle connection is kept if the upstream states no limit.
const IDLE_TIMEOUT_DEFAULT_MS: u64 = 4_000;
/// An idle connection is no longer used from this time before the idle limit that the upstream states.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 500;
/// Maximum number of idle connections to one upstream.
const IDLE_CONNECTIONS_MAX: usize = 24;
/// A connection is closed when sent bytes stay unacknowledged for this time, which is far above any round-trip time.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without traffic after which TCP keepalive probes start.
const KEEPALIVE_DELAY: Duration = Duration::from_secs(2);
/// Interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of the head of a response, and of each part of its body that is read at once.
const READ_BUFFER_BYTES_MAX: usize = 64 * 1024;
/// Maximum number of informational responses (status 1xx) before the response to a request.
const INFORMATIONAL_RESPONSES_MAX: u32 = 16;

/// An open connection. Dropping it closes it, even while a request is in progress.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// Whether nothing has been sent on the connection yet.
    pub(crate) is_fresh: bool,
    /// Exchange address of the peer that the connection leads to, or `None` if it leads to an upstream.
    pub(crate) peer: Option<SocketAddr>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Result of sending a request.
pub(crate) enum SendResult {
    Response(Response<Incoming>),
    /// No byte was sent to the upstream. Has the body of the request if none was sent to a peer either.
    NotSent(Option<Bytes>),
    /// The connection broke after the request may have reached the upstream.
    Broken(SendError),
}

/// Reason why a connection broke during a request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    #[error(transparent)]
    Http(hyper::Error),
    #[error("too many informational responses")]
    TooManyInformationalResponses,
    #[error("the connection of a peer to the upstream broke")]
    BrokenAtPeer,
}

impl Connection {
    /// Connects to an upstream within the given time.
    pub(crate) async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> std::io::Result<Self> {
        let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
            Ok(stream) => stream?,
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        };
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let keepalive =
            TcpKeepalive::new().with_time(KEEPALIVE_DELAY).with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive)?;
        let handshake = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(err) = connection.await {
                log::debug!("connection to {address} failed: {err}");
            }
        });
        Ok(Self { sender, task, is_fresh: true, peer: None })
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(&mut self, mut request: Request<Full<Bytes>>) -> SendResult {
        if self.sender.ready().await.is_err() {
            return SendResult::NotSent(Some(into_bytes(request).await));
        }
        self.is_fresh = false;
        let informational = Arc::new(InformationalResponses::default());
        let counter = informational.clone();
        hyper::ext::on_informational(&mut request, move |_| counter.count());
        let result = tokio::select! {
            result = self.sender.try_send_request(request) => result,
            () = informational.too_many.notified() => {
                return SendResult::Broken(SendError::TooManyInformationalResponses);
            }
        };
        match result {
            Ok(response) => SendResult::Response(response),
            Err(mut err) => match err.take_message() {
                Some(request) => SendResult::NotSent(Some(into_bytes(request).await)),
                None => SendResult::Broken(SendError::Http(err.into_error())),
            },
        }
    }
}

async fn into_bytes(request: Request<Full<Bytes>>) -> Bytes {
    match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(never) => match never {},
    }
}

/// Informational responses to one request.
#[derive(Default)]
struct InformationalResponses {
    n_received: AtomicU32,
    too_many: Notify,
}

impl InformationalResponses {
    fn count(&self) {
        if INFORMATIONAL_RESPONSES_MAX < self.n_received.fetch_add(1, Ordering::Relaxed) + 1 {
            self.too_many.notify_one();
        }
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since_ms: u64,
    timeout_ms: u64,
}

/// Idle connections by upstream or peer.
pub(crate) struct ConnectionPool<K = UpstreamName> {
    idle: RefCell<FxHashMap<K, Vec<IdleConnection>>>,
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> Self {
        Self { idle: RefCell::default() }
    }
}

impl<K: Clone + Eq + Hash> ConnectionPool<K> {
    /// Removes and returns the most recently used connection that is still open and was idle for at most `idle_max_ms`.
    pub(crate) fn take(&self, target: &K, idle_max_ms: u64, clock: Clock) -> Option<Connection> {
        let now_ms = clock.monotonic_ms();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target)?;
        while let Some(it) = connections.pop() {
            let idle_ms = now_ms.saturating_sub(it.idle_since_ms);
            if !it.connection.sender.is_closed() && idle_ms <= it.timeout_ms.min(idle_max_ms) {
                return Some(it.connection);
            }
        }
        None
    }

    /// Adds a connection on which a response has been read completely. `keep_alive_ms` is the idle limit that the
    /// upstream stated.
    pub(crate) fn put(
        &self,
        target: &K,
        connection: Connection,
        keep_alive_ms: Option<u64>,
        clock: Clock,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let timeout_ms = keep_alive_ms
            .map_or(IDLE_TIMEOUT_DEFAULT_MS, |it| it.saturating_sub(IDLE_TIMEOUT_MARGIN_MS));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(target.clone()).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push(IdleConnection {
                connection,
                idle_since_ms: clock.monotonic_ms(),
                timeout_ms,
            });
        }
    }

    /// Closes the idle connections to an upstream or peer.
    pub(crate) fn close_idle(&self, target: &K) {
        self.idle.borrow_mut().remove(target);
    }

    /// Closes the connections that were idle for too long.
    pub(crate) fn close_expired(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|it| {
                !it.connection.sender.is_closed()
                    && now_ms.saturating_sub(it.idle_since_ms) <= it.timeout_ms
            });
            !connections.is_empty()
        });
    }
}

//! The listeners of a node: for clients, for readiness checks of the load balancer, and for other nodes and operators.

use std::{convert::Infallible, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use lentilhitch_policy::traffic::ClientLimits;

use crate::{
    client_io::{ClientIo, PhaseTracker},
    client_response::ResponseBody,
    exchange, explain, forward,
    node::{Node, NodePhase},
    peer_relay,
    platform::Platform,
};

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1_024;
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A client's connection is closed when sent bytes stay unacknowledged for this time.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum read buffer that the HTTP library accepts.
const READ_BUFFER_BYTES_MIN: usize = 8_192;

/// Opens a listener on an address that a restarted process can bind again immediately.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts clients until the phase of the node is `Closing`. Clients are thus still accepted in the phase `Draining`,
/// while the load balancer notices the failing readiness check and chooses other nodes. In the phase `Closing` the port
/// is closed: clients are refused before any of their request is read, so they can safely retry at another node.
pub(crate) async fn serve_clients<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    let mut phase = node.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|it| *it == NodePhase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_client(node.clone(), stream));
            }
            Err(err) => {
                log::warn!(error:% = err; "failed to accept a client connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_client<P: Platform>(node: Rc<Node<P>>, stream: TcpStream) {
    let limits = node.client_limits();
    let user_timeout = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    if let Err(err) = stream.set_nodelay(true).and(user_timeout) {
        log::debug!("client connection lost before its first request: {err}");
        return;
    }
    let phase_tracker =
        Rc::new(PhaseTracker::new(limits.idle_timeout_ms, limits.header_timeout_ms));
    let io = TokioIo::new(ClientIo::new(stream, phase_tracker.clone()));
    let service = service_fn(|request: Request<Incoming>| {
        let (node, phase_tracker) = (node.clone(), phase_tracker.clone());
        async move {
            phase_tracker.on_request_head(request.version());
            let mut response = forward::serve(node.clone(), request).await;
            if let Some(body) = response.body_mut().take_unread() {
                discard(body, limits, phase_tracker.clone());
            }
            if *node.phase.borrow() != NodePhase::Serving {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|it| it.with_phase_tracker(phase_tracker)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.header_bytes.max(READ_BUFFER_BYTES_MIN));
    let mut connection = std::pin::pin!(builder.serve_connection(io, service));
    let mut phase = node.phase.subscribe();
    let closing = async move {
        let closing = phase.wait_for(|it| *it == NodePhase::Closing).await;
        if closing.is_err() {
            std::future::pending::<()>().await;
        }
    };
    let res = tokio::select! {
        res = connection.as_mut() => res,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = res {
        log::debug!("client connection failed: {err}");
    }
}

/// Reads the rest of a request's body and drops it. Otherwise the connection would be reset, with the response in it.
fn discard(body: Incoming, limits: ClientLimits, phase_tracker: Rc<PhaseTracker>) {
    phase_tracker.on_body_unread();
    let mut body = Limited::new(body, limits.body_bytes);
    let read = async move { while let Some(Ok(_)) = body.frame().await {} };
    tokio::task::spawn_local(async move {
        // The connection ends if the client takes longer, or sends more than any body may have.
        let _ = timeout(Duration::from_millis(limits.idle_timeout_ms), read).await;
        phase_tracker.on_body_discarded();
    });
}

/// Serves the readiness check of the load balancer.
pub(crate) async fn serve_readiness<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    serve_internal(listener, move |request: Request<Incoming>| {
        let is_readiness_path = request.uri().path() == P::readiness_path();
        let status = match (is_readiness_path, node.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { build_response(status, Bytes::new()) }
    })
    .await;
}

/// Serves the requests of other nodes.
pub(crate) async fn serve_exchange<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    let server = Rc::new(exchange::Server::new(&node));
    serve_internal(listener, move |request: Request<Incoming>| {
        let (node, server) = (node.clone(), server.clone());
        async move {
            if peer_relay::is_relayed(&request) {
                return peer_relay::serve(node, request).await;
            }
            respond_internal(&node, &server, &request)
        }
    })
    .await;
}

/// Serves the requests of operators.
pub(crate) async fn serve_admin<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    let server = Rc::new(exchange::Server::new(&node));
    serve_internal(listener, move |request: Request<Incoming>| {
        let (node, server) = (node.clone(), server.clone());
        async move {
            if request.uri().path() == explain::PATH {
                let (status, bytes) = explain::respond(&node, request.into_body()).await;
                return build_response(status, bytes);
            }
            respond_internal(&node, &server, &request)
        }
    })
    .await;
}

fn respond_internal<P: Platform>(
    node: &Node<P>,
    server: &exchange::Server,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    match server.respond(node, request.uri().path()) {
        Ok((status, bytes)) => build_response(status, bytes),
        Err(err) => {
            log::warn!(error:% = err; "failed to respond to a node or operator");
            build_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

/// Serves a listener with a handler.
async fn serve_internal<F, R>(listener: TcpListener, respond: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(error:% = err; "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let respond = respond.clone();
        tokio::task::spawn_local(async move {
            let limits = ClientLimits::default();
            let phase_tracker =
                Rc::new(PhaseTracker::new(limits.idle_timeout_ms, limits.header_timeout_ms));
            let io = TokioIo::new(ClientIo::new(stream, phase_tracker.clone()));
            let service = service_fn(|request: Request<Incoming>| {
                phase_tracker.on_request_head(request.version());
                let (response, phase_tracker) = (respond(request), phase_tracker.clone());
                async move {
                    let response = response.await;
                    Ok::<_, Infallible>(response.map(|it| it.with_phase_tracker(phase_tracker)))
                }
            });
            if let Err(err) = http1::Builder::new().serve_connection(io, service).await {
                log::debug!("connection failed: {err}");
            }
        });
    }
}

fn build_response(status: StatusCode, bytes: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(bytes));
    *response.status_mut() = status;
    response
}

impl<P> Node<P> {
    pub(crate) fn client_limits(&self) -> ClientLimits {
        let state = self.state.borrow();
        state.route_table.as_ref().map(|it| it.config.limits).unwrap_or_default()
    }
}

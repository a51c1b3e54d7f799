//! The listeners of a node: clients, the balancer's question, other nodes and operators.

use std::{convert::Infallible, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

use lentilhitch_policy::traffic::ClientLimits;

use crate::{
    answer::AnswerBody,
    client_io::{ClientIo, Phases},
    exchange, forward,
    node::{Node, StopPhase},
    platform::Platform,
};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// How long the listener rests when no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Unacknowledged bytes to a client break its connection after this time.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// The least read buffer that the HTTP library takes.
const READ_BUFFER_MIN: usize = 8_192;

/// Opens a listener that a restarted process can open again at once.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts clients until the balancer has had time to look elsewhere; later ones are turned away by the closed port,
/// unread, so that they may safely go to another node.
pub(crate) async fn serve_clients<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    let mut stop = node.stop_phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|it| *it == StopPhase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_client(node.clone(), stream));
            }
            Err(err) => {
                log::warn!(error:% = err; "can't accept a client");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_client<P: Platform>(node: Rc<Node<P>>, stream: TcpStream) {
    let limits = node.client_limits();
    let user_timeout = SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    if let Err(err) = stream.set_nodelay(true).and(user_timeout) {
        log::debug!("client connection lost at once: {err}");
        return;
    }
    let phases = Rc::new(Phases::new(limits.idle_timeout_ms, limits.header_timeout_ms));
    let io = TokioIo::new(ClientIo::new(stream, phases.clone()));
    let service = service_fn(|request: Request<Incoming>| {
        let (node, phases) = (node.clone(), phases.clone());
        async move {
            phases.begin_request();
            let mut response = forward::serve(node.clone(), request).await;
            if *node.stop_phase.borrow() != StopPhase::Running {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|it| it.with_phases(phases)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.header_bytes.max(READ_BUFFER_MIN));
    let mut connection = std::pin::pin!(builder.serve_connection(io, service));
    let mut stop = node.stop_phase.subscribe();
    let closing = async move {
        let closing = stop.wait_for(|it| *it == StopPhase::Closing).await;
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
        log::debug!("client connection ended: {err}");
    }
}

/// Answers the balancer's question whether the node is ready.
pub(crate) async fn serve_ready<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    serve_small(listener, move |request: Request<Incoming>| {
        let is_known = request.uri().path() == P::readiness_path();
        let status = match (is_known, node.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        small_response(status, Bytes::new())
    })
    .await;
}

/// Answers other nodes and operators.
pub(crate) async fn serve_exchange<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    serve_small(listener, move |request: Request<Incoming>| {
        match exchange::response_body(&node, request.uri().path()) {
            Ok(Some(bytes)) => small_response(StatusCode::OK, bytes),
            Ok(None) => small_response(StatusCode::NOT_FOUND, Bytes::new()),
            Err(err) => {
                log::warn!(error:% = err; "can't answer a node or operator");
                small_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    })
    .await;
}

async fn serve_small<F>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>) -> Response<AnswerBody> + Clone + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(error:% = err; "can't accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = answer(request);
                async { Ok::<_, Infallible>(response) }
            });
            let limits = ClientLimits::default();
            let phases = Rc::new(Phases::new(limits.idle_timeout_ms, limits.header_timeout_ms));
            let io = TokioIo::new(ClientIo::new(stream, phases));
            if let Err(err) = http1::Builder::new().serve_connection(io, service).await {
                log::debug!("connection ended: {err}");
            }
        });
    }
}

fn small_response(status: StatusCode, bytes: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(bytes));
    *response.status_mut() = status;
    response
}

impl<P> Node<P> {
    fn client_limits(&self) -> ClientLimits {
        let state = self.state.borrow();
        state.route_table.as_ref().map(|it| it.config.limits).unwrap_or_default()
    }
}

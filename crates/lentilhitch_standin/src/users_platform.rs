//! Stand-ins for the users' platform (log store, duties API, readiness probe of the load balancer, upstreams), and a
//! site that runs real nodes with them.
//!
//! The stand-ins implement the published protocol and run inside the test's process, so that a test can inspect the
//! requests they received and change their behavior. The nodes are processes of the shipped binary.

mod link;
mod log_store;
mod raw_upstream;
mod rollout;
mod site;
mod upstream;

pub use link::{Cut, Link};
pub use log_store::{LogStore, Read, StoreFault};
pub use raw_upstream::{RawEnd, RawResponse, RawScript, RawUpstream};
pub use rollout::{Rollout, RolloutWatch};
pub use site::{Client, ClientResponse, Node, Site, SiteOptions};
pub use upstream::{Badness, Behavior, ExecutedRequest, Upstream};

use std::{convert::Infallible, future::Future, net::SocketAddr};

use bytes::Bytes;
use http_body_util::{BodyExt as _, combinators::BoxBody};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Body of a stand-in's response. An error closes the connection before the body is complete.
type StandInBody = BoxBody<Bytes, std::io::Error>;

/// Serves HTTP on a separate loopback address. A handler that returns `None` closes the connection without a response.
async fn serve_http<F, R>(handler: F) -> std::io::Result<(SocketAddr, tokio::task::JoinHandle<()>)>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Option<Response<StandInBody>>> + Send,
{
    let listener = TcpListener::bind((crate::harness::own_ip(), 0)).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            connections.spawn(async move {
                let service = service_fn(|request| {
                    let response = handler(request);
                    async { response.await.ok_or(std::io::Error::other("broken off")) }
                });
                // Many tests close connections on purpose, so an error here is expected.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok((address, task))
}

fn full(bytes: impl Into<Bytes>) -> StandInBody {
    http_body_util::Full::new(bytes.into()).map_err(infallible).boxed()
}

fn infallible(never: Infallible) -> std::io::Error {
    match never {}
}

/// Reads a request body. Returns `None` if the connection fails before the end.
async fn read_body(body: Incoming) -> Option<Bytes> {
    Some(body.collect().await.ok()?.to_bytes())
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
}

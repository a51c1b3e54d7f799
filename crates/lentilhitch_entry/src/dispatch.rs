//! Sending of requests to upstreams, with types that state what is known about the outcome.
//!
//! A new request has an [`UnsentProof`]. Sending the request consumes the proof and returns the proof only if no
//! connection was made. All attempts of a request share one proof. Only code that holds the proof may respond to the
//! client that the request was not run.

use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response};

/// Proof that no byte of a request was sent to an upstream.
#[derive(Debug)]
#[must_use]
pub(crate) struct UnsentProof(());

/// Outcome of sending a request.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The upstream started to respond.
    Responded(Response),
    /// The request failed after a connection was made, so the upstream may have received it.
    Interrupted(reqwest::Error),
    /// No connection was made, so this attempt sent nothing. The proof is present if no earlier attempt sent anything
    /// either.
    NotConnected(Option<UnsentProof>),
}

impl UnsentProof {
    /// Creates the proof for a newly accepted request.
    pub(crate) fn new() -> Self {
        Self(())
    }
}

/// Sends a request to an upstream. `unsent_proof` is the proof of the request, if no earlier attempt consumed it.
pub(crate) async fn send(
    unsent_proof: Option<UnsentProof>,
    request: RequestBuilder,
) -> SendOutcome {
    match request.send().await {
        Ok(response) => SendOutcome::Responded(response),
        Err(err) if err.is_connect() => SendOutcome::NotConnected(unsent_proof),
        Err(err) => SendOutcome::Interrupted(err),
    }
}

/// Whether connections are reused for later requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    Enabled,
    Disabled,
}

/// Creates an HTTP client for upstreams. It follows no redirects, uses no proxy and never retries by itself.
pub(crate) fn client(connect_timeout_ms: u64, reuse: ConnectionReuse) -> reqwest::Result<Client> {
    let idle_connections_max = if reuse == ConnectionReuse::Enabled { usize::MAX } else { 0 };
    Client::builder()
        .pool_max_idle_per_host(idle_connections_max)
        .connect_timeout(Duration::from_millis(connect_timeout_ms))
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .tcp_nodelay(true)
        .build()
}

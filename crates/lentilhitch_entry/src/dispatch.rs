//! Sending a request to an upstream, so that what is known of its outcome is in the types.
//!
//! A request begins with a [`UnsentProof`]. Sending takes it; only when no connection was made does it come back. A request has
//! one ticket for all its tries, so who still holds it may answer that the request was not run, and nobody else.

use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response};

/// Proof that no byte of a request was sent to an upstream.
#[derive(Debug)]
#[must_use]
pub(crate) struct UnsentProof(());

/// What became of a request that was sent.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The upstream began to answer.
    Responded(Response),
    /// The request may have been received.
    Interrupted(reqwest::Error),
    /// There was no connection, so nothing was sent this time. The ticket is there if nothing was sent before either.
    NotConnected(Option<UnsentProof>),
}

impl UnsentProof {
    /// A ticket for a request that was just accepted.
    pub(crate) fn new() -> Self {
        Self(())
    }
}

/// Sends a request, with its ticket if it still has it.
pub(crate) async fn send(unsent: Option<UnsentProof>, request: RequestBuilder) -> SendOutcome {
    match request.send().await {
        Ok(response) => SendOutcome::Responded(response),
        Err(err) if err.is_connect() => SendOutcome::NotConnected(unsent),
        Err(err) => SendOutcome::Interrupted(err),
    }
}

/// Whether connections are kept for later requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    Enabled,
    Disabled,
}

/// A client for upstreams. It follows no redirects, uses no proxy and never sends a request again by itself.
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

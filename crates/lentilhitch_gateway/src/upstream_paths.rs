//! Finds out whether this node itself reaches the upstreams.
//!
//! What follows from each connection that was opened or failed is decided by [`lentilhitch_policy::upstream_paths`].
//! Besides the connections for requests, this module opens some to probe upstreams: after a refusal, to tell a crash from a
//! partition of this node; when nothing is heard from any upstream, since requests may hang on open connections; and
//! while this node is cut off, to notice the end of that.

use std::{io, rc::Rc, time::Duration};

use rand::seq::IteratorRandom as _;
use tokio::time::sleep;

use lentilhitch_policy::{
    traffic::UpstreamEntry,
    upstream_paths::{ConnectFailure, UpstreamCounts},
};

use crate::{node::Node, platform::Platform, pool::Connection};

/// Timeout for opening a connection. It covers a round trip with one lost packet, but not with two.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 400;
/// Interval of the checks whether upstreams have to be probed.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time without a byte from any upstream, while requests are in progress, after which an upstream is probed.
const SILENCE_MAX_MS: u64 = 300;
/// Minimum interval between probes on account of silence, and while this node is cut off.
const PROBE_INTERVAL_MS: u64 = 500;
/// Time before the first failed connection from which on broken connections are put down to the partition.
const BROKEN_BEFORE_MS: u64 = 1_000;

impl<P> Node<P> {
    /// Returns since when this node is cut off from the upstreams, if it is.
    pub(crate) fn cut_off_since_ms(&self) -> Option<u64> {
        self.state.borrow().paths.cut_off_since_ms()
    }

    /// Records that bytes of an upstream were received on a connection of this node to it.
    pub(crate) fn on_upstream_heard(&self) {
        self.upstream_heard_ms.set(self.now_ms());
    }

    /// Counts a request that is sent to an upstream.
    pub(crate) fn on_request_sent(&self) {
        let n_sent = self.n_at_upstreams.get();
        if n_sent == 0 {
            self.on_upstream_heard();
        }
        self.n_at_upstreams.set(n_sent + 1);
    }

    /// Counts a request that has ended at an upstream.
    pub(crate) fn on_request_ended(&self) {
        self.n_at_upstreams.set(self.n_at_upstreams.get().saturating_sub(1));
    }

    /// Handles a connection to an upstream that this node has opened.
    pub(crate) fn on_upstream_connected(&self) {
        let now_ms = self.now_ms();
        self.upstream_heard_ms.set(now_ms);
        let mut state = self.state.borrow_mut();
        let connected = state.paths.on_connected();
        if connected.was_cut_off {
            log::info!("upstreams can be reached again");
        }
        for it in connected.crashed {
            state.record_crash(&it, now_ms);
        }
    }

    /// Handles a request that a peer has passed on to an upstream.
    pub(crate) fn on_peer_served(&self) {
        let mut state = self.state.borrow_mut();
        if let Some(since_ms) = state.paths.on_peer_served() {
            log::info!("peers reach the upstreams");
            state.suspects.forget_broken_connections(since_ms.saturating_sub(BROKEN_BEFORE_MS));
        }
    }

    /// Returns an upstream to probe: one to which no connection has failed since one was last opened, of the own zone if
    /// possible, otherwise any.
    fn upstream_to_probe(&self) -> Option<UpstreamEntry> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let ready = || state.catalog.iter().filter(|it| it.is_ready());
        let untried = || ready().filter(|it| !state.paths.has_failed(&it.entry.id));
        let local = untried().filter(|it| it.entry.zone == self.settings.zone);
        let chosen = local.choose(&mut state.rng);
        let chosen = chosen.or_else(|| untried().choose(&mut state.rng));
        let chosen = chosen.or_else(|| ready().choose(&mut state.rng));
        chosen.map(|it| it.entry.clone())
    }
}

impl<P: Platform> Node<P> {
    /// Handles the failure to open a connection to an upstream.
    pub(crate) fn on_connect_failed(self: &Rc<Self>, upstream: &UpstreamEntry, err: &io::Error) {
        let now_ms = self.now_ms();
        let is_refused = err.kind() == io::ErrorKind::ConnectionRefused;
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let is_local = |it: &UpstreamEntry| it.zone == self.settings.zone;
        let counts = UpstreamCounts {
            n_all: state.catalog.iter().count(),
            n_local: state.catalog.iter().filter(|it| is_local(&it.entry)).count(),
        };
        let incarnation = (upstream.id.clone(), upstream.started_ms);
        let failure = ConnectFailure { incarnation, is_refused, is_local: is_local(upstream) };
        let is_cut_off_now = state.paths.on_connect_failed(failure, counts, now_ms);
        if is_cut_off_now {
            let since_ms = state.paths.cut_off_since_ms().unwrap_or(now_ms);
            log::warn!(upstream = upstream.id.as_str(), since_ms = now_ms - since_ms; "cut off from the upstreams, sending requests through other nodes");
            state.load_table.end_ejections();
        } else if is_refused && state.paths.cut_off_since_ms().is_none() {
            let node = self.clone();
            tokio::task::spawn_local(async move { node.probe_until_decided().await });
        }
    }

    /// Probes upstreams until one can be reached or this node counts as cut off.
    async fn probe_until_decided(self: Rc<Self>) {
        if self.is_probing.replace(true) {
            return;
        }
        while self.cut_off_since_ms().is_none() {
            let Some(upstream) = self.upstream_to_probe() else { break };
            if self.probe(upstream).await {
                break;
            }
        }
        self.is_probing.set(false);
    }

    /// Returns whether a connection to the upstream can be opened. The connection is kept for later requests.
    async fn probe(self: &Rc<Self>, upstream: UpstreamEntry) -> bool {
        let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        match Connection::open(upstream.address, connect_timeout).await {
            Ok(connection) => {
                self.on_upstream_connected();
                self.pool.put(&upstream.id, connection, None, self.clock);
                true
            }
            Err(err) => {
                log::info!(upstream = upstream.id.as_str(), error:% = err; "failed to connect to probed upstream");
                self.on_connect_failed(&upstream, &err);
                false
            }
        }
    }
}

/// Probes upstreams when nothing is heard from any of them, and while this node is cut off.
pub(crate) async fn watch<P: Platform>(node: Rc<Node<P>>) {
    let mut probed_ms = 0;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now_ms = node.now_ms();
        if now_ms < probed_ms + PROBE_INTERVAL_MS {
            continue;
        }
        let is_cut_off = node.cut_off_since_ms().is_some();
        let silence_ms = now_ms.saturating_sub(node.upstream_heard_ms.get());
        let is_silent = node.n_at_upstreams.get() != 0 && SILENCE_MAX_MS <= silence_ms;
        if is_cut_off {
            probed_ms = now_ms;
            if let Some(upstream) = node.upstream_to_probe() {
                node.probe(upstream).await;
            }
        } else if is_silent {
            probed_ms = now_ms;
            node.clone().probe_until_decided().await;
        }
    }
}

//! Finds out whether this node itself reaches the upstreams.
//!
//! What follows from each connection that was opened or failed is decided by [`lentilhitch_policy::upstream_paths`].
//! Besides the connections for requests, this module opens some to probe upstreams: after a refusal, to tell a crash from a
//! partition of this node; when nothing is heard from any upstream, since requests may hang on open connections; and
//! while this node is cut off, to notice the end of that.

use std::{io, rc::Rc, time::Duration};

use futures_util::future::join_all;
use rand::seq::IteratorRandom as _;
use tokio::time::sleep;

use lentilhitch_policy::{
    suspects::UpstreamIncarnation,
    traffic::UpstreamEntry,
    upstream_paths::{ConnectFailure, Connected, UpstreamCounts},
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
/// Number of upstreams that are probed at once, and of those of the own zone among them.
const PROBES_MAX: usize = 8;
const LOCAL_PROBES_MAX: usize = 2;
/// Number of times that upstreams are probed in a row.
const PROBE_ROUNDS_MAX: usize = 3;
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

    /// Returns up to `n_max` upstreams to probe: those to which no connection has failed since one was last opened, of the
    /// own zone first, and if there are none, any.
    fn upstreams_to_probe(&self, n_max: usize) -> Vec<UpstreamEntry> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let ready = || state.catalog.iter().filter(|it| it.is_ready());
        let untried = || ready().filter(|it| !state.paths.has_failed(&it.entry.id));
        let local = untried().filter(|it| it.entry.zone == self.settings.zone);
        let mut chosen = local.sample(&mut state.rng, n_max.min(LOCAL_PROBES_MAX));
        let others =
            untried().filter(|it| chosen.iter().all(|other| other.entry.id != it.entry.id));
        let others = others.sample(&mut state.rng, n_max - chosen.len());
        chosen.extend(others);
        if chosen.is_empty() {
            chosen = ready().sample(&mut state.rng, n_max);
        }
        chosen.into_iter().map(|it| it.entry.clone()).collect()
    }
}

impl<P: Platform> Node<P> {
    /// Handles a connection to an upstream that this node has opened.
    pub(crate) fn on_upstream_connected(self: &Rc<Self>) {
        let now_ms = self.now_ms();
        self.upstream_heard_ms.set(now_ms);
        let mut state = self.state.borrow_mut();
        let Connected { cut_off_since_ms, refused } = state.paths.on_connected();
        let Some(since_ms) = cut_off_since_ms else {
            for it in refused {
                state.record_crash(&it, now_ms);
            }
            return;
        };
        log::info!(cut_off_ms = now_ms - since_ms; "upstreams can be reached again");
        let broken_from_ms = since_ms.saturating_sub(BROKEN_BEFORE_MS);
        state.suspects.forget_broken_connections(broken_from_ms, &refused);
        let node = self.clone();
        tokio::task::spawn_local(async move { node.verify_refused(refused, broken_from_ms).await });
    }

    /// Finds out which of the upstreams that refused connections while this node counted as cut off have crashed: those
    /// that still refuse them now that others can be reached.
    async fn verify_refused(
        self: Rc<Self>,
        refused: Vec<UpstreamIncarnation>,
        broken_from_ms: u64,
    ) {
        let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let mut crashed = Vec::new();
        for incarnation in refused {
            let entry = self.state.borrow().catalog.get(&incarnation.0).map(|it| it.entry.clone());
            let entry = entry.filter(|it| it.started_ms == incarnation.1);
            // The crash of an incarnation that is listed no more follows from the list.
            let Some(entry) = entry else {
                crashed.push(incarnation);
                continue;
            };
            if let Err(err) = Connection::open(entry.address, connect_timeout).await
                && err.kind() == io::ErrorKind::ConnectionRefused
            {
                let now_ms = self.now_ms();
                self.state.borrow_mut().record_crash(&incarnation, now_ms);
                crashed.push(incarnation);
            }
        }
        let mut state = self.state.borrow_mut();
        state.suspects.forget_broken_connections(broken_from_ms, &crashed);
    }

    /// Handles the failure to open a connection for a request. A refusal is followed by probes of other upstreams, which tell
    /// a crash from a partition of this node.
    pub(crate) fn on_connect_failed(self: &Rc<Self>, upstream: &UpstreamEntry, err: &io::Error) {
        self.record_connect_failure(upstream, err);
        let is_refused = err.kind() == io::ErrorKind::ConnectionRefused;
        if is_refused && self.cut_off_since_ms().is_none() {
            let node = self.clone();
            tokio::task::spawn_local(async move { node.probe_until_decided().await });
        }
    }

    /// Records the failure to open a connection to an upstream.
    fn record_connect_failure(&self, upstream: &UpstreamEntry, err: &io::Error) {
        let now_ms = self.now_ms();
        let is_refused = err.kind() == io::ErrorKind::ConnectionRefused;
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let is_local = |it: &UpstreamEntry| it.zone == self.settings.zone;
        let ready = || state.catalog.iter().filter(|it| it.is_ready());
        let counts = UpstreamCounts {
            n_all: ready().count(),
            n_local: ready().filter(|it| is_local(&it.entry)).count(),
        };
        let incarnation = (upstream.id.clone(), upstream.started_ms);
        let failure = ConnectFailure { incarnation, is_refused, is_local: is_local(upstream) };
        let is_cut_off_now = state.paths.on_connect_failed(failure, counts, now_ms);
        if is_cut_off_now {
            let since_ms = state.paths.cut_off_since_ms().unwrap_or(now_ms);
            log::warn!(upstream = upstream.id.as_str(), since_ms = now_ms - since_ms; "cut off from the upstreams, sending requests through other nodes");
            state.load_table.end_ejections();
        }
    }

    /// Probes upstreams until one can be reached or this node counts as cut off.
    async fn probe_until_decided(self: Rc<Self>) {
        if self.is_probing.replace(true) {
            return;
        }
        for _ in 0..PROBE_ROUNDS_MAX {
            if self.cut_off_since_ms().is_some() {
                break;
            }
            let probes = self.upstreams_to_probe(PROBES_MAX).into_iter().map(|it| self.probe(it));
            let results = join_all(probes).await;
            if results.is_empty() || results.contains(&true) {
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
                self.record_connect_failure(&upstream, &err);
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
            join_all(node.upstreams_to_probe(1).into_iter().map(|it| node.probe(it))).await;
        } else if is_silent {
            probed_ms = now_ms;
            node.clone().probe_until_decided().await;
        }
    }
}

//! Whether a node reaches the upstreams itself, and otherwise through which other node.
//!
//! A node may be partitioned from all upstreams while clients, the store and other nodes still reach it. It then counts as
//! cut off and sends requests through a peer that reaches the upstreams. A single upstream that can't be reached is a
//! matter of that upstream. A node counts as cut off when connections to several upstreams failed, some of its own zone
//! among them, and none was opened meanwhile, until a connection to any upstream is opened again. A zone that is cut off
//! from the others still reaches its own upstreams, so failures in other zones alone say nothing.
//!
//! A refused connection shows that an upstream has crashed, but only if the refusal does not come from a partition.
//! Refusals are therefore held back until a connection to another upstream is opened. If the node counted as cut off until
//! then, either may be the case, so the upstreams that refused have to be tried again.

use std::net::SocketAddr;

use rand::{Rng, seq::IteratorRandom as _};
use rustc_hash::{FxHashMap, FxHashSet};

use lentilhitch_types::UpstreamName;

use crate::{gossip::message::NodeAddress, suspects::UpstreamIncarnation};

/// Limits of the detection.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of upstreams to which connections must fail, unless the deployment has fewer.
    pub n_failed_min: usize,
    /// Number of upstreams of the own zone among them, unless the zone has fewer.
    pub n_failed_local_min: usize,
    /// Time for which a peer that could not pass a request on is not asked again, if there are others.
    pub peer_pause_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { n_failed_min: 8, n_failed_local_min: 2, peer_pause_ms: 1_000 }
    }
}

/// Numbers of ready upstreams.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCounts {
    pub n_all: usize,
    /// Upstreams in the zone of this node.
    pub n_local: usize,
}

/// A connection to an upstream that could not be opened.
#[derive(Clone, Debug)]
pub struct ConnectFailure {
    pub incarnation: UpstreamIncarnation,
    pub is_refused: bool,
    /// Whether the upstream is in the zone of this node.
    pub is_local: bool,
}

/// What follows from a connection that was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Connected {
    /// Since when the node was cut off, if it was. The upstreams that refused connections may then be sound.
    pub cut_off_since_ms: Option<u64>,
    /// Upstreams that have refused connections.
    pub refused: Vec<UpstreamIncarnation>,
}

/// Paths of a node to the upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPaths {
    settings: Settings,
    /// Upstreams to which a connection failed since one was last opened.
    failed: FxHashSet<UpstreamName>,
    /// Number of upstreams of the own zone among them.
    n_failed_local: usize,
    /// Upstreams among them that refused it.
    refused: Vec<UpstreamIncarnation>,
    /// Time of the first of these failures.
    first_failed_ms: Option<u64>,
    is_cut_off: bool,
    /// Until when each peer is not asked.
    paused_peers: FxHashMap<SocketAddr, u64>,
}

impl UpstreamPaths {
    /// Creates the paths of a node that has tried no connection yet.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Returns since when this node is cut off from the upstreams, if it is.
    pub fn cut_off_since_ms(&self) -> Option<u64> {
        if self.is_cut_off { self.first_failed_ms } else { None }
    }

    /// Returns whether a connection to the upstream failed since one to any upstream was last opened.
    pub fn has_failed(&self, upstream: &UpstreamName) -> bool {
        self.failed.contains(upstream)
    }

    /// Records that this node itself has opened a connection to an upstream.
    pub fn on_connected(&mut self) -> Connected {
        let cut_off_since_ms = self.cut_off_since_ms();
        self.failed.clear();
        self.n_failed_local = 0;
        self.first_failed_ms = None;
        self.is_cut_off = false;
        Connected { cut_off_since_ms, refused: std::mem::take(&mut self.refused) }
    }

    /// Records that a connection to an upstream could not be opened. Returns whether the node counts as cut off from now
    /// on.
    pub fn on_connect_failed(
        &mut self,
        failure: ConnectFailure,
        counts: UpstreamCounts,
        now_ms: u64,
    ) -> bool {
        let ConnectFailure { incarnation, is_refused, is_local } = failure;
        self.first_failed_ms.get_or_insert(now_ms);
        if self.failed.insert(incarnation.0.clone()) && is_local {
            self.n_failed_local += 1;
        }
        if is_refused && !self.refused.contains(&incarnation) {
            self.refused.push(incarnation);
        }
        let Settings { n_failed_min, n_failed_local_min, .. } = self.settings;
        let is_cut_off = n_failed_min.min(counts.n_all).max(1) <= self.failed.len()
            && n_failed_local_min.min(counts.n_local) <= self.n_failed_local;
        is_cut_off && !std::mem::replace(&mut self.is_cut_off, true)
    }

    /// Records that a peer could not pass a request on.
    pub fn on_peer_failed(&mut self, peer: SocketAddr, now_ms: u64) {
        self.paused_peers.retain(|_, until_ms| now_ms < *until_ms);
        self.paused_peers.insert(peer, now_ms + self.settings.peer_pause_ms);
    }

    /// Returns the exchange address of a peer to send a request through. It is drawn among the peers of the own zone, unless
    /// one of these failed lately, because a partition may concern the whole zone. Otherwise it is drawn among all peers.
    /// Peers that failed lately come last.
    pub fn choose_peer(
        &self,
        peers: &[NodeAddress],
        local_zone: u32,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let is_paused = |it: &NodeAddress| {
            self.paused_peers.get(&it.exchange).is_some_and(|until_ms| now_ms < *until_ms)
        };
        let local = || peers.iter().filter(|it| it.zone == local_zone);
        let chosen = if local().any(is_paused) { None } else { local().choose(rng) };
        let chosen = chosen
            .or_else(|| peers.iter().filter(|it| !is_paused(it)).choose(rng))
            .or_else(|| peers.iter().choose(rng));
        chosen.map(|it| it.exchange)
    }
}

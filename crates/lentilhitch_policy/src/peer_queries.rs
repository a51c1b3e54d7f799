//! Which peer a node queries for what the store has not delivered: a newer configuration, or a list of upstreams that was
//! read more recently.
//!
//! Only nodes that have what is wanted are queried, and one of them at random. A peer that did not help is left out for a
//! while, so that the queries of many nodes spread over all sources, which become more with each node that is helped.

use std::net::SocketAddr;

use rand::{Rng, seq::IteratorRandom as _};

use crate::cursor::Lag;

/// Time since the last read or confirmation of the list of upstreams after which the store counts as unavailable and
/// peers are queried.
const LIST_AGE_MAX_MS: u64 = 3_000;
/// Interval between queries for the list while the store is unavailable.
const LIST_QUERY_INTERVAL_MS: u64 = 1_000;
/// Time for which a peer is left out that had nothing newer or did not respond, and one that was busy.
const USELESS_PEER_PAUSE_MS: u64 = 1_000;
const BUSY_PEER_PAUSE_MS: u64 = 200;

/// Copies of a node.
#[derive(Clone, Copy, Debug)]
pub struct LocalCopies {
    pub config_version: u64,
    /// Whether the node knows that there is a newer configuration, or has none.
    pub is_config_outdated: bool,
    pub list_digest: u64,
    /// Time since the list of upstreams was last read or confirmed, if it ever was.
    pub list_age_ms: Option<u64>,
}

/// Newest copies in a zone. Sources are exchange addresses of nodes that have the copies.
#[derive(Clone, Copy, Debug)]
pub struct ZoneCopies {
    pub config_version: u64,
    pub config_source: SocketAddr,
    pub list_digest: u64,
    pub list_age_ms: u64,
    pub list_source: SocketAddr,
}

/// Peers that a node may query.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Exchange address of the node itself.
    pub local: Option<SocketAddr>,
    /// Zones that can be reached.
    pub zones: Vec<ZoneCopies>,
    /// Exchange addresses of the nodes that have announced a newer configuration.
    pub announcers: Vec<SocketAddr>,
    /// Exchange addresses of all known nodes, and of those that the settings name if none is known.
    pub nodes: Vec<SocketAddr>,
}

/// What a query is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    Config,
    /// All that the peer knows of the cluster.
    ClusterState,
}

/// Query to send now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// Exchange address of the peer.
    pub peer: SocketAddr,
    pub wanted: Wanted,
}

/// Result of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryResult {
    Newer,
    NotNewer,
    /// The peer answers too many other queries.
    Busy,
    Failed,
}

/// Queries of one node. One is in progress at a time.
#[derive(Clone, Debug, Default)]
pub struct PeerQueries {
    lag: Lag,
    list_queried_ms: u64,
    /// Peers that are left out, each until a time.
    paused: Vec<(SocketAddr, u64)>,
}

impl PeerQueries {
    /// Returns the query to send now, if any.
    pub fn next(
        &mut self,
        local: LocalCopies,
        peers: &Peers,
        rng: &mut impl Rng,
        now_ms: u64,
    ) -> Option<Query> {
        self.paused.retain(|it| now_ms < it.1);
        if self.lag.update(local.is_config_outdated, now_ms) {
            let newer = peers.zones.iter().filter(|it| local.config_version < it.config_version);
            let sources = newer.map(|it| it.config_source).chain(peers.announcers.iter().copied());
            if let Some(peer) = self.choose(sources, peers.local, rng) {
                return Some(Query { peer, wanted: Wanted::Config });
            }
        }
        let peer = self.list_source(local, peers, rng, now_ms)?;
        self.list_queried_ms = now_ms;
        Some(Query { peer, wanted: Wanted::ClusterState })
    }

    /// Handles the result of a query.
    pub fn on_result(&mut self, peer: SocketAddr, result: QueryResult, now_ms: u64) {
        let pause_ms = match result {
            QueryResult::Newer => return,
            QueryResult::Busy => BUSY_PEER_PAUSE_MS,
            QueryResult::NotNewer | QueryResult::Failed => USELESS_PEER_PAUSE_MS,
        };
        self.paused.push((peer, now_ms + pause_ms));
    }

    fn list_source(
        &self,
        local: LocalCopies,
        peers: &Peers,
        rng: &mut impl Rng,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        if local.list_age_ms.is_some_and(|it| it < LIST_AGE_MAX_MS)
            || now_ms < self.list_queried_ms + LIST_QUERY_INTERVAL_MS
        {
            return None;
        }
        let newer = peers.zones.iter().filter(|it| {
            it.list_digest != local.list_digest
                && local.list_age_ms.is_none_or(|own_ms| it.list_age_ms < own_ms)
        });
        let source = self.choose(newer.map(|it| it.list_source), peers.local, rng);
        if source.is_some() || (local.list_age_ms.is_some() && !peers.zones.is_empty()) {
            // Otherwise no reachable zone has read the list more recently.
            return source;
        }
        self.choose(peers.nodes.iter().copied(), peers.local, rng)
    }

    /// Returns one of the sources at random, each with the same probability.
    fn choose(
        &self,
        sources: impl Iterator<Item = SocketAddr>,
        local: Option<SocketAddr>,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let mut sources: Vec<_> = sources.collect();
        sources.sort_unstable();
        sources.dedup();
        sources.retain(|it| Some(*it) != local && self.paused.iter().all(|paused| paused.0 != *it));
        sources.into_iter().choose(rng)
    }
}

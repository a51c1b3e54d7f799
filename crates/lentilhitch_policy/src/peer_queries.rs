//! Which peer a node queries for what the store has not delivered: a newer configuration, or a list of upstreams that was
//! read more recently.

use std::net::SocketAddr;

use rand::{Rng, seq::IteratorRandom as _};

use crate::cursor::Lag;

/// Time since the last read or confirmation of the list of upstreams after which the store counts as unavailable and
/// peers are queried.
const LIST_AGE_MAX_MS: u64 = 3_000;
/// Interval between queries while the store is unavailable.
const LIST_QUERY_INTERVAL_MS: u64 = 1_000;

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

/// Copies of another zone's nodes, or of the other nodes of the own zone.
#[derive(Clone, Copy, Debug)]
pub struct ZoneCopies {
    /// Exchange address of the delegate of the zone.
    pub exchange: SocketAddr,
    pub config_version: u64,
    pub list_digest: u64,
    pub list_age_ms: u64,
}

/// Peers that a node may query.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Zones that can be reached.
    pub zones: Vec<ZoneCopies>,
    /// Exchange addresses of the nodes that have announced a newer configuration.
    pub announcers: Vec<SocketAddr>,
    /// Exchange addresses of all known nodes, and of those that the settings name if none is known.
    pub nodes: Vec<SocketAddr>,
}

/// Queries of one node. One is in progress at a time.
#[derive(Clone, Debug, Default)]
pub struct PeerQueries {
    lag: Lag,
    queried_ms: u64,
}

impl PeerQueries {
    /// Returns the exchange address of the peer to query now, if any.
    pub fn next(
        &mut self,
        local: LocalCopies,
        peers: &Peers,
        rng: &mut impl Rng,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let is_config_overdue = self.lag.update(local.is_config_outdated, now_ms);
        let peer = choose(local, peers, is_config_overdue, self.queried_ms, rng, now_ms)?;
        self.queried_ms = now_ms;
        Some(peer)
    }
}

fn choose(
    local: LocalCopies,
    peers: &Peers,
    is_config_overdue: bool,
    queried_ms: u64,
    rng: &mut impl Rng,
    now_ms: u64,
) -> Option<SocketAddr> {
    if is_config_overdue {
        let newer = peers.zones.iter().filter(|it| local.config_version < it.config_version);
        if let Some(zone) = newer.choose(rng) {
            return Some(zone.exchange);
        }
        if let Some(announcer) = peers.announcers.iter().choose(rng) {
            return Some(*announcer);
        }
    }
    if local.list_age_ms.is_some_and(|it| it < LIST_AGE_MAX_MS)
        || now_ms < queried_ms + LIST_QUERY_INTERVAL_MS
    {
        return None;
    }
    let newer = peers.zones.iter().filter(|it| {
        it.list_digest != local.list_digest
            && local.list_age_ms.is_none_or(|own_ms| it.list_age_ms < own_ms)
    });
    if let Some(zone) = newer.choose(rng) {
        return Some(zone.exchange);
    }
    if local.list_age_ms.is_some() && !peers.zones.is_empty() {
        // No reachable zone has read the list more recently.
        return None;
    }
    peers.nodes.iter().choose(rng).copied()
}

//! Which software version of which service began each stream, so that a stream goes on only at that version.
//!
//! Upstreams of several versions may serve side by side in one service, and what two versions write does not fit
//! together. A client that takes a stream up again may reach any node. While a service has several versions, the node at
//! which a stream begins therefore tells two other nodes, the holders of the stream: one of its own zone and one of
//! another, each the first in the hash order of the stream. A node that doesn't know a stream asks the first nodes of the
//! same orders, see [`holders`] and [`nodes_to_ask`].
//!
//! While a service has a single version, nothing is told: nodes that have seen only this version for as long as a stream
//! may last infer that it began the stream. Lists of upstreams differ between nodes for a moment, so a node does so only
//! after it has asked the holders, which know of a stream of a version that is not in its own list yet. When a second version appears, a node tells the holders of all streams that it
//! has begun. A node that was lost by then can't: a stream of which the holders were not told, although they have been there
//! since the second version appeared, began at the version that was the only one before ([`would_be_known`]). What the holders are told is kept in the store too ([`crate::stream_archive`]).
//!
//! A node that starts in a running deployment has not followed the versions yet. It takes over what another node knows of
//! them ([`VersionHistory`]), so a series of planned restarts does not end with nodes of which none can tell.

use std::collections::{VecDeque, hash_map::Entry};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use lentilhitch_types::ServiceName;

use crate::{
    gossip::message::NodeAddress,
    stream_lifetime::{ClientWait, StreamLifetime},
    traffic::UpstreamEntry,
};

/// Identifies a stream: the hash of the id of the client's sending that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that the sending with this id began.
    pub fn of(request_id: &str) -> Self {
        Self(xxh3_64(request_id.as_bytes()))
    }
}

/// Service and software version of the upstreams that may write a stream, as hashes of their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    #[serde(rename = "s")]
    pub service: u32,
    #[serde(rename = "v")]
    pub version: u32,
}

impl StreamOrigin {
    /// Returns the service and version of an upstream.
    pub fn of(upstream: &UpstreamEntry) -> Self {
        Self {
            service: service_hash(&upstream.service),
            version: xxh3_64(upstream.version.as_str().as_bytes()) as u32,
        }
    }
}

/// Returns the hash that stands for a service.
pub fn service_hash(service: &ServiceName) -> u32 {
    xxh3_64(service.as_str().as_bytes()) as u32
}

/// Origin of a stream, as nodes tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    #[serde(rename = "k")]
    pub key: StreamKey,
    #[serde(rename = "o")]
    pub origin: StreamOrigin,
    /// Time since the first event.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// The software versions of a service that have upstreams, or had some within the lifetime of a stream, as one node tells
/// another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionHistory {
    #[serde(rename = "s")]
    service: u32,
    /// For each version, the time in milliseconds since its last upstream was gone, or `None` while it has some.
    #[serde(rename = "v")]
    versions: Vec<(u32, Option<u64>)>,
}

/// What a node that follows the software versions tells one that has just started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionHistories {
    #[serde(rename = "h")]
    pub services: Vec<VersionHistory>,
    /// For how long clients wait for streams, which decides for how long a version that is gone still counts.
    #[serde(rename = "w")]
    pub waits: Vec<ClientWait>,
}

impl VersionHistories {
    /// Returns the versions of all services.
    pub fn versions(&self) -> impl Iterator<Item = StreamOrigin> {
        self.services.iter().flat_map(|it| {
            let service = it.service;
            it.versions.iter().map(move |it| StreamOrigin { service, version: it.0 })
        })
    }

    /// Returns the same without the versions for which `is_kept` is false.
    #[must_use]
    pub fn retain(&self, is_kept: impl Fn(StreamOrigin) -> bool) -> Self {
        let mut kept = self.clone();
        for VersionHistory { service, versions } in &mut kept.services {
            versions.retain(|it| is_kept(StreamOrigin { service: *service, version: it.0 }));
        }
        kept
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    origin: StreamOrigin,
    began_ms: u64,
}

/// The software versions of a service that have upstreams, or had some not long ago.
#[derive(Clone, Debug, Default)]
struct ServiceVersions {
    /// For each version, when its last upstream was gone, or `None` while it has some.
    gone_ms: FxHashMap<u32, Option<u64>>,
    /// Streams that began at this node while the service had a single version.
    untold: VecDeque<StreamKey>,
    /// The change to several versions, if this node has seen it.
    mixing: Option<Mixing>,
}

/// The change of a service from a single version to several.
#[derive(Clone, Copy, Debug)]
struct Mixing {
    /// The version that was the only one before.
    sole_before: u32,
    since_ms: u64,
}

impl ServiceVersions {
    fn is_mixed(&self) -> bool {
        1 < self.gone_ms.len()
    }
}

/// Since when a node knows the versions of the services.
#[derive(Clone, Copy, Debug)]
enum Followed {
    Since(u64),
    /// For as long as a stream may last: since the deployment's start, or through the node or the store that it has them from.
    Always,
}

/// Origins of streams that began at this node or that other nodes have told it, and the versions of the services.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    /// Time for which a stream may last, and a client may take it up.
    lifetime: StreamLifetime,
    /// Since when this node knows the versions of the services, or `None` before the first list.
    followed: Option<Followed>,
    /// When this node had its first list of upstreams.
    first_list_ms: Option<u64>,
    known: FxHashMap<StreamKey, Known>,
    /// Keys in the order in which their records were inserted, which expire in about this order.
    expiring: VecDeque<(u64, StreamKey)>,
    services: FxHashMap<u32, ServiceVersions>,
    /// Streams to tell their holders of.
    due: Vec<StreamKey>,
    /// Streams of which the store is to be told.
    unwritten: Vec<StreamKey>,
}

impl StreamOrigins {
    /// Sets the longest timeout of the streaming routes.
    pub fn set_timeout_max_ms(&mut self, timeout_ms: u64, now_ms: u64) {
        self.lifetime.set_configured(timeout_ms, now_ms);
    }

    /// Records that a client waits so long for a stream that begins now.
    pub fn record_client_wait(&mut self, wait_ms: u64, now_ms: u64) {
        self.lifetime.record_wait(wait_ms, now_ms);
    }

    /// Takes over for how long clients wait for streams that other nodes have relayed.
    pub fn adopt_waits(&mut self, waits: &[ClientWait], now_ms: u64) {
        self.lifetime.adopt(waits, now_ms);
    }

    /// Handles a change of the upstreams. `is_first_start` means that there was no stream before this node started.
    pub fn on_upstreams_changed<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a UpstreamEntry>,
        is_first_start: bool,
        now_ms: u64,
    ) {
        let followed = if is_first_start { Followed::Always } else { Followed::Since(now_ms) };
        self.followed.get_or_insert(followed);
        self.first_list_ms.get_or_insert(now_ms);
        let services = self.services.keys().copied().collect::<Vec<_>>();
        let sole_before = services.into_iter().filter_map(|it| self.sole_origin(it, now_ms));
        let sole_before: Vec<_> = sole_before.collect();
        for it in self.services.values_mut().flat_map(|it| it.gone_ms.values_mut()) {
            it.get_or_insert(now_ms);
        }
        for it in upstreams {
            let StreamOrigin { service, version } = StreamOrigin::of(it);
            self.services.entry(service).or_default().gone_ms.insert(version, None);
        }
        self.discard_past_versions(now_ms);
        for StreamOrigin { service, version } in sole_before {
            let versions = self.services.entry(service).or_default();
            if versions.is_mixed() {
                versions.mixing = Some(Mixing { sole_before: version, since_ms: now_ms });
            }
        }
    }

    /// Discards versions that were gone before any stream began that may still run. The holders of streams of services
    /// that are left with several versions are due to be told.
    fn discard_past_versions(&mut self, now_ms: u64) {
        let lifetime_ms = self.lifetime.ms(now_ms);
        for it in self.services.values_mut() {
            it.gone_ms.retain(|_, it| it.is_none_or(|it| now_ms < it + lifetime_ms));
            if it.is_mixed() {
                self.due.extend(&it.untold);
                self.unwritten.extend(it.untold.drain(..));
            } else {
                it.mixing = None;
            }
        }
    }

    /// Records that an upstream has written the first event of a stream which this node relays.
    pub fn on_first_event(&mut self, key: StreamKey, origin: StreamOrigin, now_ms: u64) {
        self.insert(OriginRecord { key, origin, age_ms: 0 }, now_ms);
        let is_complete = self.is_complete(now_ms);
        let versions = self.services.entry(origin.service).or_default();
        // A node that has just started may lack a version that others know of.
        if versions.is_mixed() || !is_complete {
            self.due.push(key);
            self.unwritten.push(key);
        } else {
            versions.untold.push_back(key);
        }
    }

    /// Records what another node has told.
    pub fn insert(&mut self, record: OriginRecord, now_ms: u64) {
        self.discard_expired(now_ms);
        let OriginRecord { key, origin, age_ms } = record;
        let began_ms = now_ms.saturating_sub(age_ms);
        match self.known.entry(key) {
            Entry::Vacant(entry) => {
                entry.insert(Known { origin, began_ms });
                self.expiring.push_back((began_ms, key));
            }
            Entry::Occupied(mut entry) => {
                let began_ms = began_ms.max(entry.get().began_ms);
                entry.insert(Known { origin, began_ms });
            }
        }
    }

    /// Returns where a stream began, if this node knows it.
    pub fn get(&self, key: StreamKey) -> Option<StreamOrigin> {
        self.known.get(&key).map(|it| it.origin)
    }

    /// Returns the origin of every stream of a service, if all its upstreams have had the same version for as long as a
    /// stream may last.
    pub fn sole_origin(&self, service: u32, now_ms: u64) -> Option<StreamOrigin> {
        if !self.is_complete(now_ms) {
            return None;
        }
        let mut recent = self.recent_versions(self.services.get(&service)?, now_ms);
        match (recent.next(), recent.next()) {
            (Some(version), None) => Some(StreamOrigin { service, version }),
            _ => None,
        }
    }

    /// Returns the version at which a stream of a service began that this node would hold, and does not: the only one that
    /// the service had before it got several. From then on this node has been told of the streams that it holds. Returns
    /// `None` if this node has not seen that change, or started shortly before it, when others may not have known it as a
    /// holder yet, or if streams from before are over.
    pub fn origin_if_untold(&self, service: u32, now_ms: u64) -> Option<StreamOrigin> {
        let Mixing { sole_before, since_ms } = self.services.get(&service)?.mixing?;
        let known_since_ms = self.first_list_ms? + HOLDER_KNOWN_AFTER_MS;
        let is_valid = known_since_ms <= since_ms && now_ms < since_ms + self.lifetime.ms(now_ms);
        is_valid.then_some(StreamOrigin { service, version: sole_before })
    }

    /// Returns whether a service has several versions, or had within the lifetime of a stream.
    pub fn is_mixed(&self, service: u32, now_ms: u64) -> bool {
        self.services.get(&service).is_some_and(|it| 1 < self.recent_versions(it, now_ms).count())
    }

    /// Returns the versions that have upstreams, or had some within the lifetime of a stream.
    fn recent_versions(
        &self,
        versions: &ServiceVersions,
        now_ms: u64,
    ) -> impl Iterator<Item = u32> {
        let lifetime_ms = self.lifetime.ms(now_ms);
        let recent = versions.gone_ms.iter();
        recent
            .filter(move |it| it.1.is_none_or(|gone_ms| now_ms < gone_ms + lifetime_ms))
            .map(|it| *it.0)
    }

    /// Returns whether this node knows all versions that the services have had for as long as a stream may last.
    pub fn is_complete(&self, now_ms: u64) -> bool {
        match self.followed {
            None => false,
            Some(Followed::Since(it)) => it + self.lifetime.ms(now_ms) <= now_ms,
            Some(Followed::Always) => true,
        }
    }

    /// Returns the versions of all services, for a node that has just started, or `None` if this node does not know all.
    pub fn histories(&self, now_ms: u64) -> Option<VersionHistories> {
        let history = |(service, versions): (&u32, &ServiceVersions)| VersionHistory {
            service: *service,
            versions: self
                .recent_versions(versions, now_ms)
                .map(|version| {
                    let gone_ms = versions.gone_ms[&version];
                    (version, gone_ms.map(|it| now_ms.saturating_sub(it)))
                })
                .collect(),
        };
        self.is_complete(now_ms).then(|| VersionHistories {
            services: self.services.iter().map(history).collect(),
            waits: self.lifetime.waits(now_ms),
        })
    }

    /// Takes over the versions that another node knows. A version that has no upstream in the list of this node counts as
    /// gone since now.
    pub fn adopt(&mut self, histories: &VersionHistories, now_ms: u64) {
        self.adopt_waits(&histories.waits, now_ms);
        for VersionHistory { service, versions } in &histories.services {
            let known = &mut self.services.entry(*service).or_default().gone_ms;
            for (version, gone_age_ms) in versions {
                let told_ms = now_ms.saturating_sub(gone_age_ms.unwrap_or_default());
                let gone_ms = known.entry(*version).or_insert(Some(told_ms));
                *gone_ms = gone_ms.map(|it| it.max(told_ms));
            }
        }
        self.followed = Some(Followed::Always);
        self.discard_past_versions(now_ms);
    }

    /// Returns the streams to tell their holders of. Each is returned once.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<OriginRecord> {
        let due = std::mem::take(&mut self.due);
        self.records_of(due, now_ms)
    }

    /// Returns whether there are streams to tell the store of.
    pub fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Returns the streams to tell the store of. Each is returned once.
    pub fn take_unwritten(&mut self, now_ms: u64) -> Vec<OriginRecord> {
        let unwritten = std::mem::take(&mut self.unwritten);
        self.records_of(unwritten, now_ms)
    }

    fn records_of(&self, keys: Vec<StreamKey>, now_ms: u64) -> Vec<OriginRecord> {
        let records = keys.into_iter().filter_map(|key| {
            let Known { origin, began_ms } = *self.known.get(&key)?;
            Some(OriginRecord { key, origin, age_ms: now_ms.saturating_sub(began_ms) })
        });
        records.collect()
    }

    fn discard_expired(&mut self, now_ms: u64) {
        let lifetime_ms = self.lifetime.ms(now_ms);
        while let Some((began_ms, key)) = self.expiring.front().copied()
            && began_ms + lifetime_ms < now_ms
        {
            self.expiring.pop_front();
            match self.known.get(&key) {
                // The client has taken the stream up since.
                Some(it) if now_ms <= it.began_ms + lifetime_ms => {
                    self.expiring.push_back((it.began_ms, key));
                }
                _ => {
                    self.known.remove(&key);
                }
            }
        }
        for it in self.services.values_mut() {
            while it.untold.front().is_some_and(|it| !self.known.contains_key(it)) {
                it.untold.pop_front();
            }
        }
    }
}

/// Returns the nodes that a node tells of a stream which began there: the first other node of its zone and the first
/// node outside of it, in the hash order of the stream.
pub fn holders<'a>(
    key: StreamKey,
    local_zone: u32,
    others: impl Iterator<Item = &'a NodeAddress>,
) -> Vec<NodeAddress> {
    let order = hash_order(key, others);
    let inside = order.iter().find(|it| it.zone == local_zone);
    let outside = order.iter().find(|it| it.zone != local_zone);
    inside.into_iter().chain(outside).copied().collect()
}

/// Returns the nodes that a node asks for a stream. These are the first two other nodes of its zone, in the hash order of
/// the stream, since one of them may be the node where it began. Outside of the zone they are the first node of the
/// order and the first one of another zone than this, since either may be the holder, depending on the zone where the
/// stream began.
pub fn nodes_to_ask<'a>(
    key: StreamKey,
    local_zone: u32,
    others: impl Iterator<Item = &'a NodeAddress>,
) -> Vec<NodeAddress> {
    let order = hash_order(key, others);
    let inside = order.iter().filter(|it| it.zone == local_zone).take(N_ASKED_INSIDE);
    let mut asked: Vec<_> = inside.copied().collect();
    let Some(first) = order.first() else { return asked };
    let first_of_other_zone = order.iter().find(|it| it.zone != first.zone);
    for it in [Some(first), first_of_other_zone].into_iter().flatten() {
        if !asked.contains(it) {
            asked.push(*it);
        }
    }
    asked
}

/// Number of nodes of the own zone that are asked first.
const N_ASKED_INSIDE: usize = 2;

/// Time from the start of a node until all others count it among the holders.
const HOLDER_KNOWN_AFTER_MS: u64 = 5_000;
/// Number of nodes of each zone among which the holder inside the zone of a stream is, whichever node of it began the stream.
const N_HOLDERS_INSIDE: usize = 2;

/// Returns all nodes that may hold a stream, whichever node began it: the first nodes of each zone, in the hash order.
pub fn possible_holders<'a>(
    key: StreamKey,
    nodes: impl Iterator<Item = &'a NodeAddress>,
) -> Vec<NodeAddress> {
    let mut n_by_zone: FxHashMap<u32, usize> = FxHashMap::default();
    let mut order = hash_order(key, nodes);
    order.retain(|it| {
        let n_before = n_by_zone.entry(it.zone).or_default();
        *n_before += 1;
        *n_before <= N_HOLDERS_INSIDE
    });
    order
}

/// Returns whether at least one of the given nodes, which do not know the stream, would know it if its holders had been
/// told, whichever of all nodes began it.
pub fn would_be_known(key: StreamKey, nodes: &[NodeAddress], asked: &[u64]) -> bool {
    let order = hash_order(key, nodes.iter());
    let knows = |it: &NodeAddress| asked.contains(&it.node);
    order.iter().all(|first| {
        let others = || order.iter().filter(|it| it.node != first.node);
        knows(first)
            || others().find(|it| it.zone == first.zone).is_some_and(knows)
            || others().find(|it| it.zone != first.zone).is_some_and(knows)
    })
}

/// Returns the nodes in the hash order of a stream (rendezvous hashing).
fn hash_order<'a>(
    key: StreamKey,
    nodes: impl Iterator<Item = &'a NodeAddress>,
) -> Vec<NodeAddress> {
    let mut order: Vec<_> = nodes.copied().collect();
    order.sort_unstable_by_key(|it| xxh3_64_with_seed(&it.node.to_le_bytes(), key.0));
    order
}

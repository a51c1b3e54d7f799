//! The known nodes, and the delegates among the nodes of the own zone.
//!
//! The delegates of a zone are the first nodes in the order of their hashes that are not suspected. No agreement is
//! needed: nodes that disagree for a while report to different delegates, and the totals of either replace earlier
//! ones. A node expects a message of each delegate at every interval. A delegate that stays silent for several intervals
//! is suspected, and the next node in the order takes its place. Any message of a suspected node ends the suspicion.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::gossip::message::NodeAddress;

/// Number of delegates of a zone: the primary, and a standby that takes over from it.
pub(super) const N_DELEGATES: usize = 2;

/// Another node.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownNode {
    pub(super) address: NodeAddress,
    /// When a new record of the node was last read from the store.
    listed_ms: u64,
    /// When a message of the node was last received.
    heard_ms: u64,
    /// When a summary of the node was last received.
    summary_ms: u64,
    /// Since when the node counts as a delegate, while it does.
    delegate_since_ms: Option<u64>,
    is_suspect: bool,
}

/// All known nodes but this one, by hash of their names.
#[derive(Clone, Debug)]
pub(super) struct Nodes {
    local: NodeAddress,
    others: BTreeMap<u64, KnownNode>,
    /// Number of nodes of each zone, including this node.
    zone_sizes: BTreeMap<u32, usize>,
}

impl Nodes {
    pub(super) fn new(local: NodeAddress) -> Self {
        let zone_sizes = BTreeMap::from([(local.zone, 1)]);
        Self { local, others: BTreeMap::new(), zone_sizes }
    }

    /// Adds a node or updates its addresses.
    fn insert(&mut self, address: NodeAddress) -> &mut KnownNode {
        let previous_zone = self.others.get(&address.node).map(|it| it.address.zone);
        if previous_zone != Some(address.zone) {
            *self.zone_sizes.entry(address.zone).or_default() += 1;
            if let Some(size) = previous_zone.and_then(|it| self.zone_sizes.get_mut(&it)) {
                *size -= 1;
            }
        }
        let it = self.others.entry(address.node).or_insert(KnownNode {
            address,
            listed_ms: 0,
            heard_ms: 0,
            summary_ms: 0,
            delegate_since_ms: None,
            is_suspect: false,
        });
        it.address = address;
        it
    }

    /// Records a new record of a node in the store, which shows that the node runs.
    pub(super) fn on_listed(&mut self, address: NodeAddress, now_ms: u64) {
        let it = self.insert(address);
        it.listed_ms = now_ms;
        it.is_suspect = false;
    }

    /// Records a message of a node.
    pub(super) fn on_heard(&mut self, address: NodeAddress, now_ms: u64) {
        if address.node != self.local.node {
            let it = self.insert(address);
            it.heard_ms = now_ms;
            it.is_suspect = false;
        }
    }

    /// Records a summary of a delegate.
    pub(super) fn on_summary(&mut self, node: u64, now_ms: u64) {
        if let Some(it) = self.others.get_mut(&node) {
            it.summary_ms = now_ms;
        }
    }

    /// Suspects the nodes of the own zone that precede a live one in the order and are neither live nor heard recently.
    pub(super) fn suspect_missing(&mut self, live: &[u64], timeout_ms: u64, now_ms: u64) {
        let (zone, Some(last)) = (self.local.zone, live.last().copied()) else { return };
        for (node, it) in self.others.range_mut(..last) {
            let is_missing = it.address.zone == zone && !live.contains(node);
            if is_missing && it.heard_ms + timeout_ms < now_ms {
                it.is_suspect = true;
            }
        }
    }

    /// Suspects delegates from which nothing was heard for the timeout.
    pub(super) fn update_suspicion(&mut self, timeout_ms: u64, now_ms: u64) {
        loop {
            let delegates = self.delegates();
            let mut has_changed = false;
            for (node, it) in &mut self.others {
                if !delegates.contains(node) {
                    it.delegate_since_ms = None;
                    continue;
                }
                let since_ms = *it.delegate_since_ms.get_or_insert(now_ms);
                if since_ms.max(it.heard_ms) + timeout_ms < now_ms {
                    it.is_suspect = true;
                    has_changed = true;
                }
            }
            if !has_changed {
                return;
            }
        }
    }

    /// Returns the delegates of the own zone in their order.
    pub(super) fn delegates(&self) -> Vec<u64> {
        let mut members: Vec<_> =
            self.members().filter(|it| !it.is_suspect).map(|it| it.address.node).collect();
        let position = members.partition_point(|it| *it < self.local.node);
        members.insert(position, self.local.node);
        members.truncate(N_DELEGATES);
        members
    }

    /// Returns the addresses of the delegates of the own zone, without this node.
    pub(super) fn delegate_addresses(&self) -> Vec<SocketAddr> {
        let delegates = self.delegates();
        delegates.iter().filter_map(|it| self.others.get(it)).map(|it| it.address.gossip).collect()
    }

    /// Returns whether a node that precedes this one has sent a summary within the timeout.
    pub(super) fn has_preceding_primary(&self, timeout_ms: u64, now_ms: u64) -> bool {
        let mut preceding = self.others.range(..self.local.node).map(|it| it.1);
        preceding.any(|it| {
            it.address.zone == self.local.zone
                && it.summary_ms != 0
                && now_ms <= it.summary_ms + timeout_ms
        })
    }

    /// Returns the other nodes of the own zone.
    pub(super) fn members(&self) -> impl Iterator<Item = &KnownNode> {
        self.others.values().filter(|it| it.address.zone == self.local.zone)
    }

    /// Returns the nodes of a zone, without this node.
    pub(super) fn in_zone(&self, zone: u32) -> impl Iterator<Item = &KnownNode> {
        self.others.values().filter(move |it| it.address.zone == zone)
    }

    /// Returns the number of known nodes of a zone, including this node if it is its zone.
    pub(super) fn n_in_zone(&self, zone: u32) -> usize {
        self.zone_sizes.get(&zone).copied().unwrap_or_default()
    }

    /// Returns the zones of the known nodes, each once, in ascending order.
    pub(super) fn zones(&self) -> impl Iterator<Item = u32> {
        self.zone_sizes.iter().filter(|it| 0 < *it.1).map(|it| *it.0)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &KnownNode> {
        self.others.values()
    }

    pub(super) fn contains(&self, node: u64) -> bool {
        self.others.contains_key(&node)
    }

    /// Drops nodes without a message and a new record for the retention time.
    pub(super) fn drop_expired(&mut self, retention_ms: u64, now_ms: u64) {
        self.others.retain(|_, it| now_ms <= it.heard_ms.max(it.listed_ms) + retention_ms);
        self.zone_sizes = BTreeMap::from([(self.local.zone, 1)]);
        for it in self.others.values() {
            *self.zone_sizes.entry(it.address.zone).or_default() += 1;
        }
    }
}

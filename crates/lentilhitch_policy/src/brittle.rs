//! Upstreams that fail when they have to turn many requests away.
//!
//! At times the upstreams of a service are brittle: each of them fails when it rejects more than some number of requests
//! in a second because it has no room. They state this number in all their responses. Nodes share the number without
//! agreement: each gets an equal part for each upstream, and the first nodes of a hash order get the rest. A node has no more
//! requests at an upstream that are unanswered, or were rejected within the last second, than its part. So all nodes
//! together cause no more rejections in a second than the upstream bears, however old their knowledge of its load is.
//!
//! Where there are more nodes than rejections to share, some of the rejections are reserved for the nodes without a part. Each of
//! these sends a request now and then, in turn, to an upstream that is known to be at most half full.

use std::{cmp::Reverse, collections::VecDeque};

use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use lentilhitch_types::{ServiceName, UpstreamName};

use crate::{placement::upstream_hash, traffic::UpstreamEntry, upstream_limits::Members};

/// Time for which a rejection counts, and over which upstreams count them.
const REJECTION_WINDOW_MS: u64 = 1_000;
/// Time without a response of a service after which its upstreams no longer count as brittle.
const RETENTION_MS: u64 = 10_000;
/// Interval at which the parts follow the known nodes.
const PART_UPDATE_INTERVAL_MS: u64 = 1_000;

/// Requests in progress at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests of this node whose response has not started.
    pub n_unanswered: u32,
    /// Requests of all nodes, as known to this node.
    pub n_requests: u32,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    rejections_max_per_s: u32,
    stated_ms: u64,
}

/// What a node may risk at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// Number of requests that are unanswered or were rejected within the last second.
    Requests(u32),
    /// One request in each interval. The first one may be sent after the delay.
    Interval { interval_ms: u64, delay_ms: u64 },
}

#[derive(Clone, Debug, Default)]
struct UpstreamState {
    /// When this node received the rejections of the last second.
    rejected_ms: VecDeque<u64>,
    /// This node's part, and when it was computed.
    part: Option<(Part, u64)>,
    /// When this node may send the next request without a part.
    next_ms: Option<u64>,
}

/// The services whose upstreams are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleUpstreams {
    services: FxHashMap<ServiceName, Statement>,
    upstreams: FxHashMap<UpstreamName, UpstreamState>,
}

impl BrittleUpstreams {
    /// Records the number of rejections per second that an upstream states in a response, or that it states none. Returns
    /// whether this changes what is known of the service.
    pub fn record(
        &mut self,
        service: &ServiceName,
        rejections_max_per_s: Option<u32>,
        now_ms: u64,
    ) -> bool {
        let previous = self.services.get(service).map(|it| it.rejections_max_per_s);
        match rejections_max_per_s {
            Some(rejections_max_per_s) => {
                let statement = Statement { rejections_max_per_s, stated_ms: now_ms };
                self.services.insert(service.clone(), statement);
            }
            None if previous.is_some() => {
                self.services.remove(service);
                self.upstreams.clear();
            }
            None => {}
        }
        previous != rejections_max_per_s
    }

    /// Records that an upstream rejected a request because it has no room.
    pub fn record_rejection(&mut self, upstream: &UpstreamEntry, now_ms: u64) {
        if self.services.contains_key(&upstream.service) {
            self.upstreams.entry(upstream.id.clone()).or_default().rejected_ms.push_back(now_ms);
        }
    }

    /// Returns whether the upstreams of a service are brittle.
    pub fn is_brittle(&self, service: &ServiceName, now_ms: u64) -> bool {
        self.services.get(service).is_some_and(|it| now_ms <= it.stated_ms + RETENTION_MS)
    }

    /// Returns whether this node may send a request to an upstream of a brittle service.
    pub fn may_send(
        &mut self,
        upstream: &UpstreamEntry,
        load: Load,
        members: Members<'_>,
        now_ms: u64,
    ) -> bool {
        let Some(statement) = self.services.get(&upstream.service) else { return true };
        let rejections_max = statement.rejections_max_per_s;
        let state = self.upstreams.entry(upstream.id.clone()).or_default();
        while state.rejected_ms.front().is_some_and(|it| it + REJECTION_WINDOW_MS <= now_ms) {
            state.rejected_ms.pop_front();
        }
        let part = state.part.filter(|it| now_ms < it.1 + PART_UPDATE_INTERVAL_MS);
        let part = part.unwrap_or_else(|| (part_of(upstream, rejections_max, members), now_ms));
        state.part = Some(part);
        let n_risked = load.n_unanswered + state.rejected_ms.len() as u32;
        match part.0 {
            Part::Requests(n_max) => n_risked < n_max,
            Part::Interval { delay_ms, .. } => {
                let next_ms = *state.next_ms.get_or_insert(now_ms + delay_ms);
                n_risked == 0 && next_ms <= now_ms && 2 * (load.n_requests + 1) <= upstream.slots
            }
        }
    }

    /// Records that this node sends a request to an upstream.
    pub fn record_send(&mut self, upstream: &UpstreamEntry, now_ms: u64) {
        if let Some(state) = self.upstreams.get_mut(&upstream.id)
            && let Some((Part::Interval { interval_ms, .. }, _)) = state.part
        {
            state.next_ms = Some(now_ms + interval_ms);
        }
    }
}

/// Part of the rejections, as a divisor, that is reserved for nodes without a part if there are such.
const RESERVED_DIVISOR: u32 = 3;

/// Returns the part of this node in the rejections that an upstream bears.
fn part_of(upstream: &UpstreamEntry, rejections_max: u32, members: Members<'_>) -> Part {
    let seed = u64::from(upstream_hash(&upstream.id));
    let rank = |node: u64| (xxh3_64_with_seed(&node.to_le_bytes(), seed), Reverse(node));
    let n_nodes = members.others.len() as u32 + 1;
    let local_rank = rank(members.local);
    let n_before = members.others.iter().filter(|it| rank(**it) < local_rank).count() as u32;
    if n_nodes <= rejections_max {
        let rest = u32::from(n_before < rejections_max % n_nodes);
        return Part::Requests(rejections_max / n_nodes + rest);
    }
    let n_reserved = rejections_max / RESERVED_DIVISOR;
    let n_parts = rejections_max - n_reserved;
    if n_before < n_parts {
        return Part::Requests(1);
    }
    let interval_ms =
        u64::from(n_nodes - n_parts) * REJECTION_WINDOW_MS / u64::from(n_reserved.max(1));
    Part::Interval { interval_ms, delay_ms: local_rank.0 % interval_ms }
}

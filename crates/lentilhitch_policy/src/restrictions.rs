//! What upstreams have asked of this node or of all nodes: pauses, limits, and care while they are brittle.

use crate::{
    brittle::BrittleUpstreams, pauses::Pauses, traffic::UpstreamEntry,
    upstream_limits::UpstreamLimits,
};

/// Restrictions on sending requests to upstreams.
#[derive(Clone, Debug, Default)]
pub struct Restrictions {
    pub pauses: Pauses,
    pub limits: UpstreamLimits,
    /// Applies to services whose upstreams say so, when a request is assigned.
    pub brittle: BrittleUpstreams,
}

impl Restrictions {
    /// Returns the time until this node may send a request to the upstream, or `None` if it may send one now.
    pub fn remaining_ms(&self, upstream: &UpstreamEntry, now_ms: u64) -> Option<u64> {
        let pause_ms = self.pauses.remaining_ms(upstream, now_ms);
        pause_ms.max(self.limits.remaining_ms(upstream, now_ms))
    }

    /// Records that this node sends a request to the upstream.
    pub fn record_send(&mut self, upstream: &UpstreamEntry, now_ms: u64) {
        self.limits.record_send(upstream, now_ms);
        self.brittle.record_send(upstream, now_ms);
    }
}

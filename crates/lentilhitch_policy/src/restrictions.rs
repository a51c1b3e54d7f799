//! What upstreams have asked of this node or of all nodes: pauses and limits.

use crate::{pauses::Pauses, traffic::UpstreamEntry, upstream_limits::UpstreamLimits};

/// Restrictions on sending requests to upstreams.
#[derive(Clone, Debug, Default)]
pub struct Restrictions {
    pub pauses: Pauses,
    pub limits: UpstreamLimits,
}

impl Restrictions {
    /// Returns the time until this node may send a request to the upstream, or `None` if it may send one now.
    pub fn remaining_ms(&self, upstream: &UpstreamEntry, now_ms: u64) -> Option<u64> {
        let pause_ms = self.pauses.remaining_ms(upstream, now_ms);
        pause_ms.max(self.limits.remaining_ms(upstream, now_ms))
    }
}

//! Baseline: the upstream that reported the lowest load.

use crate::routing::{RequestEstimate, Strategy, UpstreamView};

/// Chooses the upstream with the fewest reported requests, the first in case of a tie.
#[derive(Debug, Default)]
pub struct LeastReported;

impl Strategy for LeastReported {
    fn choose(&mut self, _: &RequestEstimate, views: &[UpstreamView]) -> Option<usize> {
        (0..views.len()).min_by_key(|it| views[*it].load.n_requests)
    }
}

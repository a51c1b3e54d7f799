//! Baseline: the upstream that reported the least load.

use crate::routing::{RequestEstimate, Strategy, UpstreamView};

/// Chooses the smallest reported number of requests, the first among equals.
#[derive(Debug, Default)]
pub struct LeastReported;

impl Strategy for LeastReported {
    fn choose(&mut self, _: &RequestEstimate, views: &[UpstreamView]) -> Option<usize> {
        (0..views.len()).min_by_key(|it| views[*it].load.n_requests)
    }
}

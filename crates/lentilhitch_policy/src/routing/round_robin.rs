//! Baseline: each upstream in turn.

use crate::routing::{RequestEstimate, Strategy, UpstreamView};

/// Chooses the next upstream of the list, starting over at its end.
#[derive(Debug, Default)]
pub struct RoundRobin {
    n_chosen: usize,
}

impl Strategy for RoundRobin {
    fn choose(&mut self, _: &RequestEstimate, views: &[UpstreamView]) -> Option<usize> {
        self.n_chosen = self.n_chosen.wrapping_add(1);
        (!views.is_empty()).then(|| self.n_chosen % views.len())
    }
}

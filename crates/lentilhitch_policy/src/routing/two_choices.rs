//! Baseline: the better of two random upstreams (Mitzenmacher, "The Power of Two Choices", 2001).

use rand::{Rng, RngExt};

use crate::routing::{RequestEstimate, Strategy, UpstreamView};

/// Draws two upstreams and chooses the one with fewer requests.
#[derive(Debug)]
pub struct TwoChoices<R>(pub R);

impl<R: Rng> Strategy for TwoChoices<R> {
    fn choose(&mut self, _: &RequestEstimate, views: &[UpstreamView]) -> Option<usize> {
        if views.is_empty() {
            return None;
        }
        let first = self.0.random_range(0..views.len());
        let second = self.0.random_range(0..views.len());
        let is_first_better = views[first].n_requests() <= views[second].n_requests();
        Some(if is_first_better { first } else { second })
    }
}

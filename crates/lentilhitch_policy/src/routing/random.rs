//! Baseline: a random upstream.

use rand::{Rng, RngExt};

use crate::routing::{RequestEstimate, Strategy, UpstreamView};

/// Chooses an upstream uniformly at random.
#[derive(Debug)]
pub struct Random<R>(pub R);

impl<R: Rng> Strategy for Random<R> {
    fn choose(&mut self, _: &RequestEstimate, views: &[UpstreamView]) -> Option<usize> {
        (!views.is_empty()).then(|| self.0.random_range(0..views.len()))
    }
}

//! Baseline: the upstream that reported the least load.

use crate::routing::{Job, Strategy, View};

/// Chooses the smallest reported number of requests, the first among equals.
#[derive(Debug, Default)]
pub struct LeastReported;

impl Strategy for LeastReported {
    fn choose(&mut self, _: &Job, views: &[View]) -> Option<usize> {
        (0..views.len()).min_by_key(|it| views[*it].load.n_requests)
    }
}

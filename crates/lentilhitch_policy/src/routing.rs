//! Strategies that choose the upstream for a request.
//!
//! All strategies implement one trait, so that the baselines and the strategy in use can be replayed side by side.

mod expected_cost;
mod least_reported;
mod prefix;
mod random;
mod round_robin;
mod two_choices;
mod view;

pub use expected_cost::{ExpectedCost, Weights};
pub use least_reported::LeastReported;
pub use prefix::{BlockHash, PrefixIndex, block_hashes};
pub use random::Random;
pub use round_robin::RoundRobin;
pub use two_choices::TwoChoices;
pub use view::{Load, RequestEstimate, UpstreamView};

/// A strategy for choosing among upstreams.
pub trait Strategy {
    /// Returns the index of the chosen view, or `None` if `views` is empty.
    fn choose(&mut self, request: &RequestEstimate, views: &[UpstreamView]) -> Option<usize>;
}

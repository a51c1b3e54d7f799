//! Strategies by which an entry process chooses the upstream for a request of a language service.
//!
//! Entry processes use [`ExpectedCost`]. The other strategies are baselines. All of them implement one trait, so that a
//! recorded sequence of requests can be replayed with each of them for comparison.

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

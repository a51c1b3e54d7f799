//! Which upstream gets a request.
//!
//! Every strategy has the same shape, so that the baselines and ours can be replayed side by side.

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

/// A way to choose among upstreams.
pub trait Strategy {
    /// The index of the chosen view, or `None` when there is none to choose.
    fn choose(&mut self, job: &RequestEstimate, views: &[UpstreamView]) -> Option<usize>;
}

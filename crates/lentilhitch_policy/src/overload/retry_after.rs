//! The time after which a client whose request did not run may retry.

use rand::{Rng, RngExt};

/// Minimum `Retry-After`.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// A client is told to return within this fraction of the time that its request has left, since a later return is
/// useless to it.
const REMAINING_DIVISOR: u64 = 3;

/// Returns the time after which a client may retry: between the forecast time until the work that waits before the
/// request is done and twice that time, so that clients return over as long a time as that work takes.
pub fn retry_after_ms(queue_ms: f64, remaining_ms: u64, rng: &mut impl Rng) -> u64 {
    let cap_ms = (remaining_ms / REMAINING_DIVISOR).max(RETRY_AFTER_MIN_MS);
    let from_ms = (queue_ms as u64).clamp(RETRY_AFTER_MIN_MS, cap_ms);
    let to_ms = (2 * from_ms).min(cap_ms);
    rng.random_range(from_ms..=to_ms)
}

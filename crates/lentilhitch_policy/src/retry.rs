//! Decides whether a failed request may be retried, and after which delay.
//!
//! A budget keeps retries below a fraction of the requests, so that retries do not overload a failing upstream (the
//! method of gRPC's retry throttling). Delays grow exponentially with full jitter, as in Brooker, "Exponential Backoff
//! and Jitter" (2015).

use rand::{Rng, RngExt};

/// Limits and delays of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    pub attempts_max: u32,
    /// Amount that each first attempt adds to the budget. A retry withdraws 1.
    pub budget_ratio: f64,
    pub budget_max: f64,
    pub delay_min_ms: u64,
    pub delay_max_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            attempts_max: 4,
            budget_ratio: 0.2,
            budget_max: 50.0,
            delay_min_ms: 10,
            delay_max_ms: 1_000,
        }
    }
}

/// Whether a failed request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatable {
    /// No byte of the request was sent, or running it twice is harmless.
    Yes,
    No,
}

/// Budget of the retries that this process may still make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: Settings,
    level: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: Settings) -> Self {
        Self { settings, level: settings.budget_max }
    }

    /// Records a first attempt, which adds to the budget.
    pub fn record_first_attempt(&mut self) {
        self.level = (self.level + self.settings.budget_ratio).min(self.settings.budget_max);
    }

    /// Withdraws 1 from the budget and returns the delay before the next attempt, or returns `None` if the request must
    /// not be retried. `n_attempts` is the number of attempts made so far.
    pub fn retry_delay_ms(
        &mut self,
        repeatable: Repeatable,
        n_attempts: u32,
        remaining_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<u64> {
        if repeatable == Repeatable::No
            || self.settings.attempts_max <= n_attempts
            || self.level < 1.0
        {
            return None;
        }
        let exponent = n_attempts.saturating_sub(1).min(16);
        let ceiling_ms = (self.settings.delay_min_ms << exponent).min(self.settings.delay_max_ms);
        let delay_ms = rng.random_range(0..=ceiling_ms);
        if remaining_ms <= delay_ms {
            return None;
        }
        self.level -= 1.0;
        Some(delay_ms)
    }
}

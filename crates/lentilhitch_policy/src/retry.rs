//! Whether a failed request may be tried again, and when.
//!
//! A budget keeps retries below a share of the requests, so that a failing upstream is not buried under repeats (the
//! method of gRPC's retry throttling). Delays grow exponentially with full jitter, as in Brooker, "Exponential Backoff
//! and Jitter" (2015).

use rand::{Rng, RngExt};

/// How much may be retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    pub attempts_max: u32,
    /// What each first try adds to the budget; a retry takes 1.
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

/// Whether a request that failed may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatable {
    /// No byte of it was sent, or running it twice does no harm.
    Yes,
    No,
}

/// Retries that this process may still make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: Settings,
    level: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: Settings) -> Self {
        Self { settings, level: settings.budget_max }
    }

    /// Counts a first try.
    pub fn record_first_attempt(&mut self) {
        self.level = (self.level + self.settings.budget_ratio).min(self.settings.budget_max);
    }

    /// The delay before the next try, or `None` when there is none. `n_attempts` counts those already made.
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

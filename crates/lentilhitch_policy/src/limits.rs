//! Request rates of teams, divided between entry processes.
//!
//! Each entry process admits requests of a team through its own token bucket, with a share of the team's rate. Demand
//! is the rate at which requests of the team arrive at a process. While all peers are alive, half of the rate is
//! divided equally and half in proportion to the demand at each process. A process that considers one of its peers not
//! alive uses the fixed share `rate / n_processes`.
//!
//! A process uses its own demand as last sent to the peers, not the current one, so that all processes that have
//! received the same demand reports compute shares that add up to the rate. The shares add up to more than the rate
//! only while a report is in transit, or after a report was lost, until its sender is found to be unresponsive. With
//! `n` processes, the excess is then at most `(n - 1) / 2` times the rate.

use serde::{Deserialize, Serialize};

/// Declared limit of a team.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamLimit {
    pub rate_per_s: f64,
    /// Number of requests that may arrive at once after an idle period, over all processes.
    pub burst: f64,
}

/// Returns the share of a rate for the process with index `local`, given the demand of every process in requests per
/// second.
///
/// Half of the rate is divided equally, so that a process without demand can admit a first request immediately. The
/// other half is divided in proportion to demand.
pub fn demand_share(rate_per_s: f64, demands_per_s: &[f64], local: usize) -> f64 {
    let n_processes = demands_per_s.len() as f64;
    let even = rate_per_s / n_processes;
    let total: f64 = demands_per_s.iter().sum();
    if total <= 0.0 {
        return even;
    }
    even / 2.0 + rate_per_s / 2.0 * demands_per_s[local] / total
}

/// Returns the share of a process that does not know the demand of the others.
pub fn fixed_share(rate_per_s: f64, n_processes: usize) -> f64 {
    rate_per_s / n_processes.max(1) as f64
}

/// A token bucket whose rate can change.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    /// Number of requests that can be admitted now.
    level: f64,
    /// Time up to which the bucket was refilled.
    refilled_until_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(limit: TeamLimit, now_ms: u64) -> Self {
        Self {
            rate_per_s: limit.rate_per_s,
            capacity: limit.burst,
            level: limit.burst,
            refilled_until_ms: now_ms,
        }
    }

    /// Changes the rate and the capacity from now on. Keeps the level, up to the new capacity.
    pub fn set_limit(&mut self, limit: TeamLimit, now_ms: u64) {
        self.refill(now_ms);
        self.rate_per_s = limit.rate_per_s;
        self.capacity = limit.burst;
        self.level = self.level.min(limit.burst);
    }

    /// Admits one request, or returns the number of milliseconds after which one will be admitted.
    pub fn try_admit(&mut self, now_ms: u64) -> Result<(), u64> {
        self.refill(now_ms);
        if 1.0 <= self.level {
            self.level -= 1.0;
            return Ok(());
        }
        if self.rate_per_s <= 0.0 {
            return Err(u64::MAX);
        }
        Err(((1.0 - self.level) / self.rate_per_s * 1000.0).ceil() as u64)
    }

    /// Adds the content that has accrued since the last call.
    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_until_ms);
        self.refilled_until_ms = self.refilled_until_ms.max(now_ms);
        self.level = (self.level + self.rate_per_s * elapsed_ms as f64 / 1000.0).min(self.capacity);
    }
}

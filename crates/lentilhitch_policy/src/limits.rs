//! Request rates of teams, split between entry processes.
//!
//! Each process admits a share of a team's rate through a token bucket. Shares follow demand while the peers are in
//! reach; a process that does not hear of one of its peers falls back to the fixed share `rate / n_processes`.
//!
//! A process counts its local demand as it last told it, not as it is now: then all who have heard the same reports compute
//! shares that add up to the rate. They add up to more only while a report is under way, or is lost before the silence of
//! its sender is noticed; then by at most half of the rate for each process but one.

use serde::{Deserialize, Serialize};

/// What a team may ask for, as declared.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamLimit {
    pub rate_per_s: f64,
    /// Requests that may come at once after a pause, over all processes.
    pub burst: f64,
}

/// The part of a rate that the process with index `local` gets, from the demand of every process in requests a second.
///
/// Half of the rate is split evenly, so that a process without demand can admit a first request at once; the other half
/// follows demand.
pub fn demand_share(rate_per_s: f64, demands_per_s: &[f64], local: usize) -> f64 {
    let n_processes = demands_per_s.len() as f64;
    let even = rate_per_s / n_processes;
    let total: f64 = demands_per_s.iter().sum();
    if total <= 0.0 {
        return even;
    }
    even / 2.0 + rate_per_s / 2.0 * demands_per_s[local] / total
}

/// The share of a process that does not know the others' demand.
pub fn fixed_share(rate_per_s: f64, n_processes: usize) -> f64 {
    rate_per_s / n_processes.max(1) as f64
}

/// A token bucket whose rate can change.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    level: f64,
    filled_ms: u64,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(limit: TeamLimit, now_ms: u64) -> Self {
        Self {
            rate_per_s: limit.rate_per_s,
            capacity: limit.burst,
            level: limit.burst,
            filled_ms: now_ms,
        }
    }

    /// Changes the rate and capacity from now on; keeps what is in the bucket.
    pub fn set_limit(&mut self, limit: TeamLimit, now_ms: u64) {
        self.fill(now_ms);
        self.rate_per_s = limit.rate_per_s;
        self.capacity = limit.burst;
        self.level = self.level.min(limit.burst);
    }

    /// Takes one request's worth, or says in how many milliseconds one will be there.
    pub fn try_admit(&mut self, now_ms: u64) -> Result<(), u64> {
        self.fill(now_ms);
        if 1.0 <= self.level {
            self.level -= 1.0;
            return Ok(());
        }
        if self.rate_per_s <= 0.0 {
            return Err(u64::MAX);
        }
        Err(((1.0 - self.level) / self.rate_per_s * 1000.0).ceil() as u64)
    }

    fn fill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        self.level = (self.level + self.rate_per_s * elapsed_ms as f64 / 1000.0).min(self.capacity);
    }
}

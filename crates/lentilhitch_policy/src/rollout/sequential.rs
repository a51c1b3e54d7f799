//! Sequential comparison of the rates of bad responses of two versions.
//!
//! The e-value of a block of `n_a` responses of the base and `n_b` of the target is the ratio of their likelihood under
//! two different rates to that under one common rate, which is the mean of the two weighted by `n_a` and `n_b`. Its
//! expectation is at most 1 if both versions have the same rate, whatever this rate is (Turner, Ly, Grünwald, "Generic
//! E-variables for exact sequential k-sample tests of 2x2 tables"). The product over blocks is an e-process: the
//! probability that it ever exceeds `1 / a` is at most `a` (Ville's inequality), however often it is looked at.
//!
//! The alternatives are a few fixed increases of the rate, in equal parts. So that a version that turns bad late is
//! found soon, a part of the initial capital enters at each restart ([`EProcess::restart`]): the sum over restarts is an
//! e-process too, and the good responses before the change cost only the parts that entered before.

/// Number of responses, and how many of them were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    pub n: u64,
    pub bad: u64,
}

impl Sample {
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { n: self.n + other.n, bad: self.bad + other.bad }
    }
}

/// Increases of the rate of bad responses that are tested, as the share of good responses that turn bad.
const LIFTS: [f64; 4] = [0.03, 0.08, 0.25, 0.6];
/// Number of parts in which the capital enters.
pub const N_PARTS: u32 = 32;
/// Capital from which on the value is not raised any more, so that it stays finite.
const CAPITAL_MAX: f64 = 1e200;
/// Rate of bad responses that is assumed before the base has responses, and its weight as a number of responses.
const PRIOR_RATE: f64 = 0.01;
const PRIOR_WEIGHT: f64 = 25.0;
/// Number of responses of the base from which on older ones count half.
const MEMORY: f64 = 4_000.0;
/// Lower and upper limit of rates, so that no likelihood is 0.
const RATE_MIN: f64 = 1e-4;
const RATE_MAX: f64 = 0.98;
/// Increase of the rate against which the evidence for a version is measured.
const LIFT_EXCLUDED: f64 = 0.1;
/// The target is compared with this multiple of the base's earlier rate, plus an allowance, once the base gets no
/// requests any more: the rate is known with an error, and may change with the time.
const REFERENCE_FACTOR: f64 = 1.5;
const REFERENCE_ALLOWANCE: f64 = 0.01;

/// Rate of bad responses of the base, estimated from the past.
#[derive(Clone, Copy, Debug, Default)]
pub struct BaseRate {
    n: f64,
    bad: f64,
}

impl BaseRate {
    pub fn observe(&mut self, base: Sample) {
        if MEMORY < self.n {
            self.n /= 2.0;
            self.bad /= 2.0;
        }
        self.n += base.n as f64;
        self.bad += base.bad.min(base.n) as f64;
    }

    pub fn get(&self) -> f64 {
        let rate = (self.bad + PRIOR_RATE * PRIOR_WEIGHT) / (self.n + PRIOR_WEIGHT);
        rate.clamp(RATE_MIN, RATE_MAX / 2.0)
    }
}

/// Evidence that the target has more bad responses than the base, and evidence for the opposite.
#[derive(Clone, Debug)]
pub struct EProcess {
    capital: [f64; LIFTS.len()],
    parts_left: u32,
    /// Logarithm of the likelihood ratio of the base's rate to one that is higher by `LIFT_EXCLUDED`.
    log_favor: f64,
}

impl Default for EProcess {
    fn default() -> Self {
        let mut this = Self { capital: [0.0; LIFTS.len()], parts_left: N_PARTS, log_favor: 0.0 };
        this.restart();
        this
    }
}

impl EProcess {
    /// Adds the next part of the capital, if there is one left.
    pub fn restart(&mut self) {
        if 0 < self.parts_left {
            self.parts_left -= 1;
            for it in &mut self.capital {
                *it += 1.0 / f64::from(N_PARTS) / LIFTS.len() as f64;
            }
        }
    }

    /// Handles a block of responses of both versions at the same time. `rate` is the base's rate before this block. With
    /// `has_base` false, the base gets too few requests to compare with, and the target is compared with `rate`.
    pub fn observe(&mut self, base: Sample, target: Sample, rate: f64, has_base: bool) {
        if target.n == 0 {
            return;
        }
        let worse = |lift: f64| (1.0 - (1.0 - rate) * (1.0 - lift)).clamp(RATE_MIN, RATE_MAX);
        let reference = (rate * REFERENCE_FACTOR + REFERENCE_ALLOWANCE).min(RATE_MAX / 2.0);
        for (capital, lift) in self.capital.iter_mut().zip(LIFTS) {
            let raised = worse(lift);
            let log_factor = if has_base {
                let total = (base.n + target.n) as f64;
                let common = (base.n as f64 * rate + target.n as f64 * raised) / total;
                log_likelihood(base, rate) + log_likelihood(target, raised)
                    - log_likelihood(base.plus(target), common)
            } else if raised <= reference {
                0.0
            } else {
                log_likelihood(target, raised) - log_likelihood(target, reference)
            };
            *capital = (*capital * log_factor.exp()).min(CAPITAL_MAX);
        }
        self.log_favor +=
            log_likelihood(target, rate) - log_likelihood(target, worse(LIFT_EXCLUDED));
    }

    /// Returns the e-value against the target.
    pub fn e_value(&self) -> f64 {
        self.capital.iter().sum::<f64>() + f64::from(self.parts_left) / f64::from(N_PARTS)
    }

    /// Returns the logarithm of the evidence for the target.
    pub fn log_favor(&self) -> f64 {
        self.log_favor
    }
}

fn log_likelihood(sample: Sample, rate: f64) -> f64 {
    let bad = sample.bad.min(sample.n) as f64;
    bad * rate.ln() + (sample.n as f64 - bad) * (1.0 - rate).ln()
}

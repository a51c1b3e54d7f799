//! Selects the upstreams that are compared for a request.
//!
//! The reports of peers are out of date when they are used. If every node compared all upstreams, all nodes would send
//! their requests to the upstream that was reported as idle last (herd effect). For each request, a node therefore
//! compares only a few upstreams: those that come first in the hash order of the request's shared prefix, which differ
//! between prefixes, and some drawn at random (power of two choices with stale information; Mitzenmacher, "How Useful
//! Is Old Information?", 2000).

use std::str::FromStr;

use rand::{Rng, seq::index};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Strategy for choosing an upstream. All but the first are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strategy {
    /// Lowest expected cost among a few upstreams.
    #[default]
    Cost,
    /// An upstream drawn at random.
    Random,
    /// Each upstream in turn.
    RoundRobin,
    /// Fewest requests among all upstreams.
    LeastReported,
    /// Fewer requests of two upstreams drawn at random.
    TwoChoices,
}

impl FromStr for Strategy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "cost" => Ok(Self::Cost),
            "random" => Ok(Self::Random),
            "round-robin" => Ok(Self::RoundRobin),
            "least-reported" => Ok(Self::LeastReported),
            "two-choices" => Ok(Self::TwoChoices),
            _ => Err(format!(
                "no strategy is named {text}: cost, random, round-robin, least-reported, two-choices"
            )),
        }
    }
}

/// Maximum number of upstreams that a request compares by hash order, and likewise at random.
pub(super) const COMPARED_MAX: usize = 8;

/// Returns the indices of the first `n` upstreams in the hash order of a key (rendezvous hashing; Thaler and
/// Ravishankar, 1998). `hashes` are those of the upstreams' names.
pub(super) fn first_in_hash_order(
    key: u64,
    hashes: impl Iterator<Item = u32>,
    n: usize,
) -> Vec<usize> {
    let mut first: Vec<(u64, usize)> = Vec::with_capacity(n + 1);
    for (idx, hash) in hashes.enumerate() {
        let weight = xxh3_64_with_seed(&hash.to_le_bytes(), key);
        let position = first.partition_point(|it| weight <= it.0);
        if position < n {
            first.insert(position, (weight, idx));
            first.truncate(n);
        }
    }
    first.into_iter().map(|it| it.1).collect()
}

/// Adds `n` random indices below `len` that `chosen` does not contain, or all of them if there are fewer.
pub(super) fn add_random(chosen: &mut Vec<usize>, len: usize, n: usize, rng: &mut impl Rng) {
    if len <= chosen.len() + n {
        *chosen = with_remaining(chosen, len);
        return;
    }
    let n_total = chosen.len() + n;
    for idx in index::sample(rng, len, n_total) {
        if chosen.len() < n_total && !chosen.contains(&idx) {
            chosen.push(idx);
        }
    }
}

fn with_remaining(chosen: &[usize], len: usize) -> Vec<usize> {
    let remaining = (0..len).filter(|it| !chosen.contains(it));
    chosen.iter().copied().chain(remaining).collect()
}

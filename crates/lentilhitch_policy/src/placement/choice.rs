//! Which upstreams are compared for a request.
//!
//! Reports of peers are old when they are used. If every node compared all upstreams, all would run to the one that
//! looked idle last (herd). So each compares few: those that come first in the hash order of the prompt's shared prefix,
//! which differ from prefix to prefix, and some drawn at random (the power of two choices with old information;
//! Mitzenmacher, 2000).

use std::str::FromStr;

use rand::{Rng, seq::index};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How an upstream is chosen. All but the first are baselines to compare with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strategy {
    /// The least expected cost of a few.
    #[default]
    Cost,
    /// Any.
    Random,
    /// One after the other.
    RoundRobin,
    /// The fewest requests, of all.
    LeastReported,
    /// The fewest requests of two drawn at random.
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

/// The most upstreams that one request compares of each sort.
pub(super) const COMPARED_MAX: usize = 8;

/// The indices of the `n` upstreams that come first for a key, in order (rendezvous hashing; Thaler and Ravishankar,
/// 1998). `hashes` are the upstreams' own.
pub(super) fn first_in_hash_order(
    key: u64,
    hashes: impl Iterator<Item = u32>,
    n: usize,
) -> Vec<usize> {
    let mut first: Vec<(u64, usize)> = Vec::with_capacity(n + 1);
    for (idx, hash) in hashes.enumerate() {
        let weight = xxh3_64_with_seed(&hash.to_le_bytes(), key);
        let at = first.partition_point(|it| weight <= it.0);
        if at < n {
            first.insert(at, (weight, idx));
            first.truncate(n);
        }
    }
    first.into_iter().map(|it| it.1).collect()
}

/// Adds `n` indices below `len` that `chosen` doesn't hold yet, or as many as there are.
pub(super) fn add_random(chosen: &mut Vec<usize>, len: usize, n: usize, rng: &mut impl Rng) {
    if len <= chosen.len() + n {
        *chosen = with_rest(chosen, len);
        return;
    }
    let wanted = chosen.len() + n;
    for idx in index::sample(rng, len, wanted) {
        if chosen.len() < wanted && !chosen.contains(&idx) {
            chosen.push(idx);
        }
    }
}

fn with_rest(chosen: &[usize], len: usize) -> Vec<usize> {
    let rest = (0..len).filter(|it| !chosen.contains(it));
    chosen.iter().copied().chain(rest).collect()
}

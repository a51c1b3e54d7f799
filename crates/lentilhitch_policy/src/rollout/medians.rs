//! Median latencies of the base version by route and size class, over the last responses.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::rollout::evidence::LatencySample;

/// Number of responses over which a median is taken.
const WINDOW: usize = 48;
/// Number of responses from which on a median is used.
const N_MIN: usize = 8;
/// Maximum number of routes and size classes.
const N_CLASSES_MAX: usize = 256;

#[derive(Clone, Debug, Default)]
struct Window {
    latencies_ms: VecDeque<u32>,
    median_ms: Option<u32>,
}

/// Median latencies by hash of the route and size class.
#[derive(Clone, Debug, Default)]
pub struct Medians(FxHashMap<(u32, u8), Window>);

impl Medians {
    pub fn add(&mut self, samples: &[LatencySample]) {
        for it in samples {
            let key = (it.route, it.size_class);
            if !self.0.contains_key(&key) && N_CLASSES_MAX <= self.0.len() {
                continue;
            }
            let window = self.0.entry(key).or_default();
            window.latencies_ms.push_back(it.latency_ms);
            if WINDOW < window.latencies_ms.len() {
                window.latencies_ms.pop_front();
            }
            if N_MIN <= window.latencies_ms.len() {
                let mut sorted: Vec<_> = window.latencies_ms.iter().copied().collect();
                let middle = sorted.len() / 2;
                window.median_ms = Some(*sorted.select_nth_unstable(middle).1);
            }
        }
    }

    /// Returns the median in milliseconds, if there are enough responses.
    pub fn get(&self, route: u32, size_class: u8) -> Option<u32> {
        self.0.get(&(route, size_class))?.median_ms
    }

    /// Returns up to `n_max` medians.
    pub fn all(&self, n_max: usize) -> Vec<LatencySample> {
        let known = self.0.iter().filter_map(|((route, size_class), window)| {
            let latency_ms = window.median_ms?;
            Some(LatencySample { route: *route, size_class: *size_class, latency_ms })
        });
        known.take(n_max).collect()
    }
}

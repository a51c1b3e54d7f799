//! Pauses that upstreams ask this node for: an upstream that turns a request away may state how long it wants no further
//! request from this node.
//!
//! A pause concerns one incarnation of an upstream and this node alone, so it is not passed on to other nodes.

use rand::{Rng, RngExt as _};
use rustc_hash::FxHashMap;

use lentilhitch_types::UpstreamName;

use crate::traffic::UpstreamEntry;

/// Maximum duration of a pause. An upstream that asks for a longer one is tried again after it.
pub const PAUSE_MAX_MS: u64 = 300_000;
/// Maximum random addition to a pause, as a fraction of it. Otherwise all nodes that were turned away at one moment would
/// return at one moment.
const SPREAD_FRACTION: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
struct Pause {
    /// Start of the incarnation that asked for the pause.
    started_ms: u64,
    until_ms: u64,
}

/// Pauses in force, by upstream.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    pauses: FxHashMap<UpstreamName, Pause>,
}

impl Pauses {
    /// Records that an upstream asks for a pause. A pause that is in force is not shortened.
    pub fn record(
        &mut self,
        upstream: &UpstreamEntry,
        pause_ms: u64,
        now_ms: u64,
        rng: &mut impl Rng,
    ) {
        self.pauses.retain(|_, it| now_ms < it.until_ms);
        let pause_ms = pause_ms.min(PAUSE_MAX_MS);
        let spread_ms = rng.random_range(0.0..=SPREAD_FRACTION) * pause_ms as f64;
        let until_ms = now_ms + pause_ms + spread_ms as u64;
        let pause = Pause { started_ms: upstream.started_ms, until_ms };
        let current = self.pauses.entry(upstream.id.clone()).or_insert(pause);
        if current.started_ms != pause.started_ms || current.until_ms < pause.until_ms {
            *current = pause;
        }
    }

    /// Returns the time until the upstream accepts requests from this node again, or `None` if it accepts them now.
    pub fn remaining_ms(&self, upstream: &UpstreamEntry, now_ms: u64) -> Option<u64> {
        if self.pauses.is_empty() {
            return None;
        }
        let pause = self.pauses.get(&upstream.id)?;
        let is_in_force = pause.started_ms == upstream.started_ms && now_ms < pause.until_ms;
        is_in_force.then(|| pause.until_ms - now_ms)
    }
}

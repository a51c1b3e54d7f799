//! Requests that crash the upstreams that run them.
//!
//! The evidence is a set of pairs (fingerprint, crashed life of an upstream) that only grows, so processes that exchange
//! it agree. One crash makes every request that was running there a suspect, unless one of them already was: then that
//! one alone is blamed. Two crashes quarantine a fingerprint. A suspect shares an upstream with no other suspect, so a
//! second crash has one culprit.

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use lentilhitch_types::{Fingerprint, Incarnation, UpstreamName};

/// The number of crashes after which a request is refused.
pub const CRASHES_MAX: usize = 2;

/// One life of an upstream.
pub type UpstreamLife = (UpstreamName, Incarnation);

/// A request that was running on an upstream when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    pub fingerprint: Fingerprint,
    pub crashed: UpstreamLife,
}

/// What is held against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Clear,
    /// May run, but with no other suspect on the same upstream.
    Suspect,
    Quarantined,
}

/// All evidence, and the requests that have since proved harmless.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: FxHashMap<Fingerprint, FxHashSet<UpstreamLife>>,
    cleared: FxHashSet<Fingerprint>,
}

impl Quarantine {
    /// What is held against a request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        match self.crashes.get(&fingerprint).map_or(0, FxHashSet::len) {
            CRASHES_MAX.. => Verdict::Quarantined,
            1.. if !self.cleared.contains(&fingerprint) => Verdict::Suspect,
            _ => Verdict::Clear,
        }
    }

    /// Takes evidence, one's own or a peer's; says whether it was new.
    pub fn insert(&mut self, evidence: &Evidence) -> bool {
        let is_new =
            self.crashes.entry(evidence.fingerprint).or_default().insert(evidence.crashed.clone());
        if is_new {
            self.cleared.remove(&evidence.fingerprint);
        }
        is_new
    }

    /// Whom to blame for a crash, from the requests that were running there.
    pub fn blame(&self, crashed: &UpstreamLife, running: &[Fingerprint]) -> Vec<Evidence> {
        let suspects = running.iter().filter(|it| self.verdict(**it) != Verdict::Clear);
        let suspects: Vec<_> = suspects.copied().collect();
        let blamed = if suspects.is_empty() { running } else { &suspects };
        blamed.iter().map(|it| Evidence { fingerprint: *it, crashed: crashed.clone() }).collect()
    }

    /// A suspect was answered whole, so it was not the cause of the one crash that it saw.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if self.verdict(fingerprint) == Verdict::Suspect {
            self.cleared.insert(fingerprint);
        }
    }

    /// Every piece of evidence, for a peer that has just come into reach.
    pub fn iter(&self) -> impl Iterator<Item = Evidence> {
        self.crashes.iter().flat_map(|(fingerprint, lives)| {
            lives.iter().map(|it| Evidence { fingerprint: *fingerprint, crashed: it.clone() })
        })
    }
}

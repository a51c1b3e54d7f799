//! Requests that crash the upstreams that run them.
//!
//! The evidence is a set of pairs (fingerprint, crashed life of an upstream) that only grows, so processes that exchange
//! it agree. One crash makes every request that was running there a suspect. A suspect runs on trial: it shares an
//! upstream with no other trial, and every process is told where, so that a crash during a trial is blamed on the suspect
//! alone and not on what else was running there. A trial ends well after a few tokens past the point of the crash, so
//! that many suspects of one crash are soon through. Two crashes quarantine a fingerprint.

use indexmap::IndexMap;
use rustc_hash::{FxBuildHasher, FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use lentilhitch_types::{Fingerprint, Incarnation, UpstreamName};

/// The number of crashes after which a request is refused.
pub const CRASHES_UNTIL_QUARANTINE: usize = 2;
/// New tokens after which a suspect has stood its trial.
pub const TRIAL_TOKENS: usize = 4;
/// Lives of upstreams whose trials are remembered.
const TRIAL_UPSTREAMS_MAX: usize = 1_024;

/// One life of an upstream.
pub type UpstreamIncarnation = (UpstreamName, Incarnation);

/// A request that was running on an upstream when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    pub fingerprint: Fingerprint,
    pub crashed: UpstreamIncarnation,
}

/// A step in the trial of a suspect at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    pub fingerprint: Fingerprint,
    #[serde(rename = "place")]
    pub upstream: UpstreamIncarnation,
    pub step: TrialStep,
}

/// What happened to a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialStep {
    #[serde(rename = "Begun")]
    Started,
    /// The suspect did no harm.
    Passed,
    /// The upstream was lost, but did not crash.
    Aborted,
}

/// What is crashes against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Clear,
    /// May run on trial.
    Suspect,
    Quarantined,
}

/// All evidence, and the requests that have since proved harmless.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// The crashes that each request saw, and whether it has since been cleared of them.
    crashes_by_request: FxHashMap<Fingerprint, FxHashMap<UpstreamIncarnation, bool>>,
    trials_by_upstream: IndexMap<UpstreamIncarnation, FxHashSet<Fingerprint>, FxBuildHasher>,
}

impl Quarantine {
    /// What is crashes against a request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let crashes = self.crashes_by_request.get(&fingerprint);
        match crashes.map_or(0, |it| it.values().filter(|is_cleared| !**is_cleared).count()) {
            0 => Verdict::Clear,
            CRASHES_UNTIL_QUARANTINE.. => Verdict::Quarantined,
            _ => Verdict::Suspect,
        }
    }

    /// Takes evidence, one's own or a peer's; says whether it was new.
    pub fn insert(&mut self, evidence: &Evidence) -> bool {
        let crashes = self.crashes_by_request.entry(evidence.fingerprint).or_default();
        let is_new = !crashes.contains_key(&evidence.crashed);
        crashes.entry(evidence.crashed.clone()).or_insert(false);
        is_new
    }

    /// Takes a step of a trial, one's own or a peer's.
    pub fn apply_trial(&mut self, trial: &Trial) {
        let on_trial = self.trials_by_upstream.entry(trial.upstream.clone()).or_default();
        if trial.step == TrialStep::Started {
            on_trial.insert(trial.fingerprint);
        } else {
            on_trial.remove(&trial.fingerprint);
        }
        if on_trial.is_empty() {
            self.trials_by_upstream.shift_remove(&trial.upstream);
        }
        let n_excess = self.trials_by_upstream.len().saturating_sub(TRIAL_UPSTREAMS_MAX);
        self.trials_by_upstream.drain(..n_excess);
        if trial.step == TrialStep::Passed {
            self.clear(trial.fingerprint);
        }
    }

    /// Whether any suspect is on trial at an upstream.
    pub fn has_trial(&self, upstream: &UpstreamIncarnation) -> bool {
        self.trials_by_upstream.contains_key(upstream)
    }

    /// Begins a trial unless another suspect is on trial there; says whether it may begin.
    pub fn grant_trial(&mut self, trial: &Trial) -> bool {
        let on_trial = self.trials_by_upstream.get(&trial.upstream);
        let is_free = on_trial.is_none_or(|it| it.iter().all(|it| *it == trial.fingerprint));
        if is_free {
            self.apply_trial(trial);
        }
        is_free
    }

    /// Whom to blame for a crash: those on trial there, else all that was running.
    pub fn attribute_crash(
        &self,
        crashed: &UpstreamIncarnation,
        running: &[Fingerprint],
    ) -> Vec<Evidence> {
        let on_trial: Option<Vec<_>> =
            self.trials_by_upstream.get(crashed).map(|it| it.iter().copied().collect());
        let blamed = on_trial.as_deref().unwrap_or(running);
        blamed.iter().map(|it| Evidence { fingerprint: *it, crashed: crashed.clone() }).collect()
    }

    /// A suspect has stood its trial, so it was not the cause of the one crash that it saw.
    fn clear(&mut self, fingerprint: Fingerprint) {
        if self.verdict(fingerprint) == Verdict::Suspect
            && let Some(crashes) = self.crashes_by_request.get_mut(&fingerprint)
        {
            for is_cleared in crashes.values_mut() {
                *is_cleared = true;
            }
        }
    }

    /// Every piece of evidence, for a peer that has just come into reach.
    pub fn iter(&self) -> impl Iterator<Item = Evidence> {
        self.crashes_by_request.iter().flat_map(|(fingerprint, incarnations)| {
            incarnations
                .keys()
                .map(|it| Evidence { fingerprint: *fingerprint, crashed: it.clone() })
        })
    }
}

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
pub const CRASHES_MAX: usize = 2;
/// New tokens after which a suspect has stood its trial.
pub const TRIAL_TOKENS: usize = 4;
/// Lives of upstreams whose trials are remembered.
const TRIALS_MAX: usize = 1_024;

/// One life of an upstream.
pub type UpstreamLife = (UpstreamName, Incarnation);

/// A request that was running on an upstream when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    pub fingerprint: Fingerprint,
    pub crashed: UpstreamLife,
}

/// A step in the trial of a suspect at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    pub fingerprint: Fingerprint,
    pub place: UpstreamLife,
    pub step: TrialStep,
}

/// What happened to a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialStep {
    Begun,
    /// The suspect did no harm.
    Passed,
    /// The upstream was lost, but did not crash.
    Aborted,
}

/// What is held against a request.
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
    crashes: FxHashMap<Fingerprint, FxHashMap<UpstreamLife, bool>>,
    trials: IndexMap<UpstreamLife, FxHashSet<Fingerprint>, FxBuildHasher>,
}

impl Quarantine {
    /// What is held against a request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let held = self.crashes.get(&fingerprint);
        match held.map_or(0, |it| it.values().filter(|is_cleared| !**is_cleared).count()) {
            0 => Verdict::Clear,
            CRASHES_MAX.. => Verdict::Quarantined,
            _ => Verdict::Suspect,
        }
    }

    /// Takes evidence, one's own or a peer's; says whether it was new.
    pub fn insert(&mut self, evidence: &Evidence) -> bool {
        let held = self.crashes.entry(evidence.fingerprint).or_default();
        let is_new = !held.contains_key(&evidence.crashed);
        held.entry(evidence.crashed.clone()).or_insert(false);
        is_new
    }

    /// Takes a step of a trial, one's own or a peer's.
    pub fn take_trial(&mut self, trial: &Trial) {
        let on_trial = self.trials.entry(trial.place.clone()).or_default();
        if trial.step == TrialStep::Begun {
            on_trial.insert(trial.fingerprint);
        } else {
            on_trial.remove(&trial.fingerprint);
        }
        if on_trial.is_empty() {
            self.trials.shift_remove(&trial.place);
        }
        let n_over = self.trials.len().saturating_sub(TRIALS_MAX);
        self.trials.drain(..n_over);
        if trial.step == TrialStep::Passed {
            self.clear(trial.fingerprint);
        }
    }

    /// Whether any suspect is on trial at an upstream.
    pub fn has_trial(&self, place: &UpstreamLife) -> bool {
        self.trials.contains_key(place)
    }

    /// Begins a trial unless another suspect is on trial there; says whether it may begin.
    pub fn grant_trial(&mut self, trial: &Trial) -> bool {
        let on_trial = self.trials.get(&trial.place);
        let is_free = on_trial.is_none_or(|it| it.iter().all(|it| *it == trial.fingerprint));
        if is_free {
            self.take_trial(trial);
        }
        is_free
    }

    /// Whom to blame for a crash: those on trial there, else all that was running.
    pub fn blame(&self, crashed: &UpstreamLife, running: &[Fingerprint]) -> Vec<Evidence> {
        let on_trial: Option<Vec<_>> =
            self.trials.get(crashed).map(|it| it.iter().copied().collect());
        let blamed = on_trial.as_deref().unwrap_or(running);
        blamed.iter().map(|it| Evidence { fingerprint: *it, crashed: crashed.clone() }).collect()
    }

    /// A suspect has stood its trial, so it was not the cause of the one crash that it saw.
    fn clear(&mut self, fingerprint: Fingerprint) {
        if self.verdict(fingerprint) == Verdict::Suspect
            && let Some(held) = self.crashes.get_mut(&fingerprint)
        {
            for is_cleared in held.values_mut() {
                *is_cleared = true;
            }
        }
    }

    /// Every piece of evidence, for a peer that has just come into reach.
    pub fn iter(&self) -> impl Iterator<Item = Evidence> {
        self.crashes.iter().flat_map(|(fingerprint, lives)| {
            lives.keys().map(|it| Evidence { fingerprint: *fingerprint, crashed: it.clone() })
        })
    }
}

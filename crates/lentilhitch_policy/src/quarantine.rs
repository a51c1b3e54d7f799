//! Quarantine of requests that crash the upstreams that run them, as used by entry processes.
//!
//! Evidence is a set of pairs (fingerprint of a request, crashed incarnation of an upstream) that only grows, so that
//! processes that exchange their evidence reach the same state. One crash makes every request that was running on the
//! upstream a suspect. A suspect runs on trial: only one suspect is on trial at an upstream at a time, and every
//! process is notified of this upstream. A crash during a trial is therefore attributed to the suspect alone and not to
//! the other requests that were running there. A suspect passes its trial after [`TRIAL_TOKENS`] tokens that it had not
//! received before the trial, or when its response is complete, so that many suspects of one crash are cleared quickly.
//! A fingerprint with [`CRASHES_UNTIL_QUARANTINE`] crashes is quarantined.

use indexmap::IndexMap;
use rustc_hash::{FxBuildHasher, FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use lentilhitch_types::{Fingerprint, Incarnation, UpstreamName};

/// Number of uncleared crashes after which a request is rejected.
pub const CRASHES_UNTIL_QUARANTINE: usize = 2;
/// Number of new tokens after which a suspect has passed its trial.
pub const TRIAL_TOKENS: usize = 4;
/// Maximum number of upstream incarnations whose trials are kept.
const TRIAL_UPSTREAMS_MAX: usize = 1_024;

/// An upstream and one of its incarnations.
pub type UpstreamIncarnation = (UpstreamName, Incarnation);

/// Evidence that a request was running on an upstream when the upstream crashed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    pub fingerprint: Fingerprint,
    pub crashed: UpstreamIncarnation,
}

/// A change in the state of the trial of a suspect at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    pub fingerprint: Fingerprint,
    #[serde(rename = "place")]
    pub upstream: UpstreamIncarnation,
    pub step: TrialStep,
}

/// The change in the state of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialStep {
    #[serde(rename = "Begun")]
    Started,
    /// The suspect ran without crashing the upstream.
    Passed,
    /// The trial ended before it was passed, for example because the upstream was lost without crashing.
    Aborted,
}

/// Classification of a request by the crashes during which it was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Clear,
    /// The request may run, but only on trial.
    Suspect,
    Quarantined,
}

/// All evidence of crashes, with the requests that were cleared, and the trials in progress.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// The crashes during which each request was running, and whether the request was cleared of each.
    crashes_by_request: FxHashMap<Fingerprint, FxHashMap<UpstreamIncarnation, bool>>,
    trials_by_upstream: IndexMap<UpstreamIncarnation, FxHashSet<Fingerprint>, FxBuildHasher>,
}

impl Quarantine {
    /// Classifies a request by the number of crashes that it was not cleared of.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let crashes = self.crashes_by_request.get(&fingerprint);
        match crashes.map_or(0, |it| it.values().filter(|is_cleared| !**is_cleared).count()) {
            0 => Verdict::Clear,
            CRASHES_UNTIL_QUARANTINE.. => Verdict::Quarantined,
            _ => Verdict::Suspect,
        }
    }

    /// Adds evidence found by this process or received from a peer. Returns whether it was new.
    pub fn insert(&mut self, evidence: &Evidence) -> bool {
        let crashes = self.crashes_by_request.entry(evidence.fingerprint).or_default();
        let is_new = !crashes.contains_key(&evidence.crashed);
        crashes.entry(evidence.crashed.clone()).or_insert(false);
        is_new
    }

    /// Applies a change in a trial of this process or of a peer.
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

    /// Returns whether any suspect is on trial at an upstream.
    pub fn has_trial(&self, upstream: &UpstreamIncarnation) -> bool {
        self.trials_by_upstream.contains_key(upstream)
    }

    /// Starts a trial unless another suspect is on trial at the upstream. Returns whether the trial was granted.
    pub fn grant_trial(&mut self, trial: &Trial) -> bool {
        let on_trial = self.trials_by_upstream.get(&trial.upstream);
        let is_granted = on_trial.is_none_or(|it| it.iter().all(|it| *it == trial.fingerprint));
        if is_granted {
            self.apply_trial(trial);
        }
        is_granted
    }

    /// Returns the evidence that follows from a crash: against the suspects on trial at the upstream, or against all
    /// running requests if no suspect was on trial.
    pub fn attribute_crash(
        &self,
        crashed: &UpstreamIncarnation,
        running: &[Fingerprint],
    ) -> Vec<Evidence> {
        let on_trial: Option<Vec<_>> =
            self.trials_by_upstream.get(crashed).map(|it| it.iter().copied().collect());
        let attributed = on_trial.as_deref().unwrap_or(running);
        attributed
            .iter()
            .map(|it| Evidence { fingerprint: *it, crashed: crashed.clone() })
            .collect()
    }

    /// Clears a suspect that passed its trial: it did not cause the one crash during which it was running.
    fn clear(&mut self, fingerprint: Fingerprint) {
        if self.verdict(fingerprint) == Verdict::Suspect
            && let Some(crashes) = self.crashes_by_request.get_mut(&fingerprint)
        {
            for is_cleared in crashes.values_mut() {
                *is_cleared = true;
            }
        }
    }

    /// Iterates over all evidence, to be sent to a peer that has just become reachable.
    pub fn iter(&self) -> impl Iterator<Item = Evidence> {
        self.crashes_by_request.iter().flat_map(|(fingerprint, incarnations)| {
            incarnations
                .keys()
                .map(|it| Evidence { fingerprint: *fingerprint, crashed: it.clone() })
        })
    }
}

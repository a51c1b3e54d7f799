//! Placement of a request on an upstream.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use lentilhitch_config::Upstream;
use lentilhitch_policy::{
    quarantine::{Trial, TrialStep, Verdict},
    routing::{ExpectedCost, RequestEstimate, Strategy as _, Weights},
};
use lentilhitch_types::Fingerprint;

use crate::{
    journals::EvacuationDecision,
    runner::{EXPECTED_DECODE_MS_PER_TOKEN, POLL_INTERVAL_MS, PROMPT_BYTES_PER_TOKEN, Runner},
};

/// Maximum time that a request waits for an upstream while none has accepted it.
const PLACEMENT_WAIT_MS: u64 = 2_000;

impl Runner {
    /// Chooses an upstream, and waits until there is one. Returns `None` if the request is stopped or quarantined, or
    /// if no upstream was available in time.
    pub(super) async fn place(&mut self) -> Option<Upstream> {
        let is_accepted = self.tracked.is_durable || self.unsent_proof.is_none();
        let wait_limit = Instant::now() + Duration::from_millis(PLACEMENT_WAIT_MS);
        let wait_until = if is_accepted { self.deadline } else { wait_limit.min(self.deadline) };
        loop {
            if self.tracked.stop.borrow().is_some() {
                return None;
            }
            let fingerprint = self.tracked.journal.lock().record.fingerprint;
            let verdict = self.entry.quarantine.lock().verdict(fingerprint);
            if verdict == Verdict::Quarantined {
                return None;
            }
            let chosen = self.choose(verdict);
            if let Some(upstream) = chosen
                && (verdict == Verdict::Clear || self.start_trial(fingerprint, &upstream).await)
            {
                return Some(upstream);
            }
            if wait_until <= Instant::now() {
                return None;
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Requests a trial from the arbiter, which allows only one suspect at a time on an upstream. Returns whether the
    /// trial was granted.
    async fn start_trial(&mut self, fingerprint: Fingerprint, upstream: &Upstream) -> bool {
        let incarnation = self.entry.upstreams.current_incarnation(&upstream.name);
        let trial = Trial { fingerprint, upstream: incarnation, step: TrialStep::Started };
        let is_granted = self.entry.peers().request_trial(&self.entry, &trial).await;
        let position = self.tracked.journal.lock().position();
        self.trial = is_granted.then_some((trial, position));
        is_granted
    }

    /// Returns the upstream for the next attempt of the request, or `None` if there is none at present. `verdict` is
    /// the current classification of the request by the crashes during which it was running: clear or suspect. A
    /// quarantined request is not placed at all.
    ///
    /// Only upstreams of the service that accept requests are considered. The rules are, in this order:
    ///
    /// 1. For a suspect, returns `None` while this process runs a request with the same fingerprint (hash of the team
    ///    and the body) on any upstream.
    /// 2. If the KV cache was transferred because the last upstream is leaving, returns the target of the transfer if
    ///    the target accepts requests.
    /// 3. A suspect runs on trial, and only one suspect at a time is on trial at an upstream. Returns the upstream with
    ///    the fewest requests among those without a trial, or `None` if there are none. The caller must request the
    ///    trial from the arbiter.
    /// 4. A clear request avoids, first, the upstream of the last lost attempt and, second, upstreams with a trial,
    ///    each only if other upstreams remain. Returns the upstream with the lowest expected cost, or `None` if there
    ///    are none.
    fn choose(&self, verdict: Verdict) -> Option<Upstream> {
        let entry = &self.entry;
        let fingerprint = self.tracked.journal.lock().record.fingerprint;
        if verdict == Verdict::Suspect && entry.upstreams.is_request_running(fingerprint) {
            return None;
        }
        let directory = entry.directory();
        let service_upstreams =
            self.service.upstreams.iter().filter_map(|it| directory.upstreams.get(&it.name));
        let available = service_upstreams.filter(|it| entry.upstreams.accepts_requests(&it.name));
        let mut candidates: Vec<_> = available.collect();
        // `Migrate(None)` names no target, because no upstream received the KV cache. The choice is then free.
        if let Some(EvacuationDecision::Migrate(Some(target))) = &*self.tracked.evacuation.borrow()
            && let Some(target_upstream) = candidates.iter().find(|it| it.name == *target)
        {
            return Some((*target_upstream).clone());
        }
        let has_trial = |it: &Upstream| {
            entry.quarantine.lock().has_trial(&entry.upstreams.current_incarnation(&it.name))
        };
        if verdict == Verdict::Suspect {
            candidates.retain(|it| !has_trial(it));
            let least_loaded = candidates
                .into_iter()
                .min_by_key(|it| entry.upstreams.view(it, &entry.settings.zone).n_requests());
            return least_loaded.cloned();
        }
        prefer(&mut candidates, |it| Some(&it.name) != self.last_failed.as_ref());
        prefer(&mut candidates, |it| !has_trial(it));
        self.cheapest(&candidates)
    }

    /// Returns the upstream with the lowest expected cost.
    fn cheapest(&self, candidates: &[&Upstream]) -> Option<Upstream> {
        let entry = &self.entry;
        let body_bytes = self.tracked.journal.lock().record.body.len() as u64;
        let prompt_tokens = body_bytes / PROMPT_BYTES_PER_TOKEN;
        let prefixes = entry.prefixes.lock();
        let views: Vec<_> = candidates
            .iter()
            .map(|it| {
                let mut view = entry.upstreams.view(it, &entry.settings.zone);
                let cached_fraction = prefixes.cached_fraction(&it.name, &self.prompt_blocks);
                view.cached_tokens = (cached_fraction * prompt_tokens as f64) as u64;
                view
            })
            .collect();
        let estimate = RequestEstimate {
            prompt_tokens,
            first_token_target_ms: self.language.first_token_ms as f64,
            duration_ms: prompt_tokens as f64 * EXPECTED_DECODE_MS_PER_TOKEN,
        };
        let weights = Weights {
            recomputed_token_ms: self.language.recomputed_token_ms,
            microusd_ms: self.language.microusd_ms,
            ..Weights::default()
        };
        let chosen = ExpectedCost { weights }.choose(&estimate, &views)?;
        Some(candidates[chosen].clone())
    }
}

/// Keeps only the candidates that satisfy a preference, if there are any.
fn prefer<T>(candidates: &mut Vec<T>, preference: impl Fn(&T) -> bool) {
    if candidates.iter().any(&preference) {
        candidates.retain(preference);
    }
}

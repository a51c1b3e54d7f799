//! Execution of an accepted request on upstreams until its response is complete.

mod attempt;
mod chunk;
mod placement;

use std::{sync::Arc, time::Duration};

use reqwest::StatusCode;
use tokio::time::{Instant, sleep};

use lentilhitch_chart::charts::stream::{Event, State};
use lentilhitch_config::{Language, Service};
use lentilhitch_policy::{
    quarantine::{Trial, TrialStep, Verdict},
    retry::Repeatable,
    routing::{BlockHash, block_hashes},
};
use lentilhitch_types::{Outcome, Problem, UpstreamName};

use crate::{
    directory::language,
    dispatch::UnsentProof,
    entry::Entry,
    journals::{Phase, TrackedRequest},
    problems,
};

/// Assumed size of a prompt token, which is used to estimate the number of tokens from the size of the body.
pub(crate) const PROMPT_BYTES_PER_TOKEN: u64 = 4;
/// Expected time to decode one token.
pub(crate) const EXPECTED_DECODE_MS_PER_TOKEN: f64 = 28.0;
/// Interval between checks of the conditions that a waiting request depends on.
const POLL_INTERVAL_MS: u64 = 200;
pub(crate) const QUARANTINED_DETAIL: &str = "two upstreams crashed while they ran it";

/// Outcome of an attempt.
enum AttemptOutcome {
    /// The response is complete.
    Completed,
    /// The attempt ended without a complete response. The request may continue at another upstream.
    Lost,
    /// The upstream responded with a status that is neither a success nor a server error, or the body can't be sent to
    /// any upstream. The request is not sent to another upstream, since that one is expected to reject it too.
    Rejected(StatusCode),
    /// This event stopped the request: its client is gone, or another process runs it now.
    Stopped(Event),
    /// The deadline of the request passed.
    Deadline,
}

/// Execution of one request over all its attempts.
struct Runner {
    entry: Arc<Entry>,
    tracked: Arc<TrackedRequest>,
    service: Arc<Service>,
    language: Language,
    prompt_blocks: Vec<BlockHash>,
    deadline: Instant,
    /// Proof that no byte of the request was sent to any upstream, while this is certain.
    unsent_proof: Option<UnsentProof>,
    last_failed: Option<UpstreamName>,
    /// Number of tokens of the current attempt that arrived without a position.
    n_without_position: usize,
    /// Trial that this request is on, and the position at which the trial started.
    trial: Option<(Trial, usize)>,
}

/// Runs a request until it finishes or another process takes it over.
pub(crate) async fn run(entry: Arc<Entry>, tracked: Arc<TrackedRequest>, service: Arc<Service>) {
    let Some(language) = language(&service).cloned() else { return };
    let (prompt_blocks, is_new) = {
        let journal = tracked.journal.lock();
        (block_hashes(&journal.record.body), journal.position() == 0)
    };
    let deadline = Instant::now() + Duration::from_millis(language.deadline_ms);
    let unsent_proof = is_new.then(UnsentProof::new);
    entry.retry_budget.lock().record_first_attempt();
    let mut runner = Runner {
        entry,
        tracked,
        service,
        language,
        prompt_blocks,
        deadline,
        unsent_proof,
        last_failed: None,
        n_without_position: 0,
        trial: None,
    };
    let problem = runner.run_to_end().await;
    runner.finish(problem);
}

impl Runner {
    /// Makes attempts until one completes or none is left. Returns the problem to report, if any.
    async fn run_to_end(&mut self) -> Option<Problem> {
        loop {
            let Some(upstream) = self.place().await else { return self.give_up() };
            let outcome = self.attempt(&upstream).await;
            self.end_trial(TrialStep::Aborted);
            match outcome {
                AttemptOutcome::Completed => return None,
                AttemptOutcome::Lost => {
                    self.tracked.journal.lock().step(Event::UpstreamLost);
                    self.last_failed = Some(upstream.name.clone());
                    if !self.wait_before_retry().await {
                        return self.give_up();
                    }
                }
                AttemptOutcome::Rejected(status) => {
                    self.tracked.journal.lock().step(Event::UpstreamLost);
                    self.tracked.journal.lock().step(Event::TriesSpent);
                    return Some(problems::UPSTREAM_REJECTED.with(format!("status {status}")));
                }
                AttemptOutcome::Stopped(event) => {
                    self.tracked.journal.lock().step(event);
                    return None;
                }
                AttemptOutcome::Deadline => return self.give_up(),
            }
        }
    }

    /// Ends the journal as failed. The outcome depends on whether the request still has its proof that nothing was
    /// sent.
    fn give_up(&mut self) -> Option<Problem> {
        if let Some(event) = *self.tracked.stop.borrow() {
            self.tracked.journal.lock().step(event);
            return None;
        }
        let event =
            if Instant::now() < self.deadline { Event::TriesSpent } else { Event::Deadline };
        let mut journal = self.tracked.journal.lock();
        journal.step(event);
        let n_attempts = journal.n_attempts();
        let verdict = self.entry.quarantine.lock().verdict(journal.record.fingerprint);
        let is_quarantined = verdict == Verdict::Quarantined;
        Some(match self.unsent_proof.take() {
            Some(_proof) if is_quarantined => problems::QUARANTINED.with(QUARANTINED_DETAIL),
            Some(_proof) => {
                problems::NO_UPSTREAM.with(format!("{} is not reachable", self.service.service))
            }
            None if is_quarantined => Problem {
                outcome: Outcome::Failed,
                ..problems::QUARANTINED.with(QUARANTINED_DETAIL)
            },
            None => problems::NOT_FINISHED.with(format!("given up after {n_attempts} tries")),
        })
    }

    /// Publishes the final phase of the request.
    fn finish(&self, problem: Option<Problem>) {
        let now_ms = self.entry.clock.now_ms();
        let state = self.tracked.journal.lock().state();
        match (state, problem) {
            (_, Some(problem)) => {
                log::warn!(request_id:% = self.tracked.request_id(), problem = problem.kind.as_str(); "request failed");
                self.tracked.finish(Phase::Failed(problem), now_ms);
            }
            (State::Done, None) if !self.tracked.is_durable => {
                self.tracked.finish(Phase::Done, now_ms);
            }
            // `maintain_copy` finishes a durable request once its last token is copied.
            (State::Done, None) => {}
            (State::HandedOver, None) => self.tracked.finish(Phase::HandedOver, now_ms),
            (_, None) => {
                self.tracked.finish(
                    Phase::Failed(problems::NOT_FINISHED.with("the caller went away")),
                    now_ms,
                );
            }
        }
    }

    /// Waits before the next attempt if the retry budget and the deadline permit another attempt. Returns whether to
    /// continue. A durable request, or a request with tokens, is not dropped when the budget is used up. The next
    /// attempt then follows after the poll interval.
    async fn wait_before_retry(&self) -> bool {
        let remaining_ms =
            self.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        let n_attempts = self.tracked.journal.lock().n_attempts();
        let has_tokens = self.tracked.journal.lock().position() > 0;
        let delay_ms = {
            let mut budget = self.entry.retry_budget.lock();
            budget.retry_delay_ms(Repeatable::Yes, n_attempts, remaining_ms, &mut rand::rng())
        };
        let must_continue = self.tracked.is_durable || has_tokens;
        let Some(delay_ms) = delay_ms.or(must_continue.then_some(POLL_INTERVAL_MS)) else {
            return false;
        };
        sleep(Duration::from_millis(delay_ms.min(remaining_ms))).await;
        Instant::now() < self.deadline
    }

    /// Ends the trial that this request is on, if any, and announces its result.
    fn end_trial(&mut self, step: TrialStep) {
        if let Some((trial, _)) = self.trial.take() {
            self.entry.announce_trial(Trial { step, ..trial });
        }
    }

    /// Publishes the number of tokens received. Releases them to clients at once, unless the request is durable: then
    /// `maintain_copy` releases them.
    fn publish_received(&self, n_tokens: usize, is_complete: bool) {
        self.tracked.received.send_replace((n_tokens, is_complete));
        if !self.tracked.is_durable {
            self.tracked.release(n_tokens);
        }
    }
}

//! Running an accepted request on upstreams until its answer is whole.

mod attempt;
mod chunk;
mod place;

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
    dispatch::Ticket,
    entry::Entry,
    journals::{Active, Phase},
    problems,
};

pub(crate) const PROMPT_BYTES_PER_TOKEN: u64 = 4;
pub(crate) const DECODE_MS_EXPECTED: f64 = 28.0;
/// Between two looks at what a waiting attempt depends on.
const LOOK_MS: u64 = 200;
pub(crate) const QUARANTINED_DETAIL: &str = "two upstreams crashed while they ran it";

/// How an attempt ended.
enum Ended {
    Whole,
    /// It goes on elsewhere.
    Lost,
    /// The upstream refused the request itself; another would too.
    Refused(StatusCode),
    Stopped(Event),
    Deadline,
}

/// What stays the same over all attempts.
struct Runner {
    entry: Arc<Entry>,
    active: Arc<Active>,
    service: Arc<Service>,
    language: Language,
    blocks: Vec<BlockHash>,
    deadline: Instant,
    /// Present until a byte was sent to any upstream.
    ticket: Option<Ticket>,
    last_failed: Option<UpstreamName>,
    /// Tokens of the present attempt that came without a position.
    n_unnumbered: usize,
    /// The trial that this request stands, and the position at which it began.
    trial: Option<(Trial, usize)>,
}

/// Runs a request to its end.
pub(crate) async fn run(entry: Arc<Entry>, active: Arc<Active>, service: Arc<Service>) {
    let Some(language) = language(&service).cloned() else { return };
    let (blocks, is_new) = {
        let journal = active.journal.lock();
        (block_hashes(&journal.record.body), journal.position() == 0)
    };
    let deadline = Instant::now() + Duration::from_millis(language.deadline_ms);
    let ticket = is_new.then(Ticket::new);
    entry.retry_budget.lock().record_first_attempt();
    let mut runner = Runner {
        entry,
        active,
        service,
        language,
        blocks,
        deadline,
        ticket,
        last_failed: None,
        n_unnumbered: 0,
        trial: None,
    };
    let problem = runner.run_to_end().await;
    runner.finish(problem);
}

impl Runner {
    async fn run_to_end(&mut self) -> Option<Problem> {
        loop {
            let Some(upstream) = self.place().await else { return self.give_up() };
            let ended = self.attempt(&upstream).await;
            self.end_trial(TrialStep::Aborted);
            match ended {
                Ended::Whole => return None,
                Ended::Lost => {
                    self.active.journal.lock().step(Event::UpstreamLost);
                    self.last_failed = Some(upstream.upstream.clone());
                    if !self.pause_before_retry().await {
                        return self.give_up();
                    }
                }
                Ended::Refused(status) => {
                    self.active.journal.lock().step(Event::UpstreamLost);
                    self.active.journal.lock().step(Event::TriesSpent);
                    return Some(problems::UPSTREAM_REFUSED.with(format!("status {status}")));
                }
                Ended::Stopped(event) => {
                    self.active.journal.lock().step(event);
                    return None;
                }
                Ended::Deadline => return self.give_up(),
            }
        }
    }

    /// Ends the journal as failed, with an outcome that the ticket decides.
    fn give_up(&mut self) -> Option<Problem> {
        if let Some(event) = *self.active.stop.borrow() {
            self.active.journal.lock().step(event);
            return None;
        }
        let event =
            if Instant::now() < self.deadline { Event::TriesSpent } else { Event::Deadline };
        let mut journal = self.active.journal.lock();
        journal.step(event);
        let n_tries = journal.n_attempts();
        let verdict = self.entry.quarantine.lock().verdict(journal.record.fingerprint);
        let is_quarantined = verdict == Verdict::Quarantined;
        Some(match self.ticket.take() {
            Some(_unsent) if is_quarantined => problems::QUARANTINED.with(QUARANTINED_DETAIL),
            Some(_unsent) => {
                problems::NO_UPSTREAM.with(format!("{} is not reachable", self.service.service))
            }
            None if is_quarantined => Problem {
                outcome: Outcome::Failed,
                ..problems::QUARANTINED.with(QUARANTINED_DETAIL)
            },
            None => problems::NOT_FINISHED.with(format!("given up after {n_tries} tries")),
        })
    }

    fn finish(&self, problem: Option<Problem>) {
        let now_ms = self.entry.clock.now_ms();
        let state = self.active.journal.lock().state();
        match (state, problem) {
            (_, Some(problem)) => {
                log::warn!(request_id:% = self.active.request_id(), problem = problem.kind.as_str(); "request failed");
                self.active.end(Phase::Failed(problem), now_ms);
            }
            (State::Done, None) if !self.active.is_durable => self.active.end(Phase::Done, now_ms),
            // The copier ends a durable request once its last token is copied.
            (State::Done, None) => {}
            (State::HandedOver, None) => self.active.end(Phase::HandedOver, now_ms),
            (_, None) => {
                self.active.end(
                    Phase::Failed(problems::NOT_FINISHED.with("the caller went away")),
                    now_ms,
                );
            }
        }
    }

    /// Waits before the next try, as far as the budget and the deadline allow. An accepted durable request is not
    /// dropped for want of budget; it only waits longer.
    async fn pause_before_retry(&self) -> bool {
        let remaining_ms =
            self.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        let n_tries = self.active.journal.lock().n_attempts();
        let has_tokens = self.active.journal.lock().position() > 0;
        let delay_ms = {
            let mut budget = self.entry.retry_budget.lock();
            budget.retry_delay_ms(Repeatable::Yes, n_tries, remaining_ms, &mut rand::rng())
        };
        let keeps_on = self.active.is_durable || has_tokens;
        let Some(delay_ms) = delay_ms.or(keeps_on.then_some(LOOK_MS)) else { return false };
        sleep(Duration::from_millis(delay_ms.min(remaining_ms))).await;
        Instant::now() < self.deadline
    }

    fn end_trial(&mut self, step: TrialStep) {
        if let Some((trial, _)) = self.trial.take() {
            self.entry.announce_trial(Trial { step, ..trial });
        }
    }

    /// Shows new tokens to the callers, or to the copier first.
    fn received(&self, n_tokens: usize, is_all: bool) {
        self.active.received.send_replace((n_tokens, is_all));
        if !self.active.is_durable {
            self.active.release(n_tokens);
        }
    }
}

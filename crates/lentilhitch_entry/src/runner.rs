//! Running an accepted request on upstreams until its answer is whole.

use std::{sync::Arc, time::Duration};

use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use reqwest::{Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use lentilhitch_chart::charts::stream::{Event, State};
use lentilhitch_config::{Language, Service, Upstream};
use lentilhitch_policy::{
    quarantine::{TRIAL_TOKENS, Trial, TrialStep, Verdict},
    retry::Repeatable,
    routing::{BlockHash, ExpectedCost, Job, Strategy as _, Weights, block_hashes},
    streams::{Received, Record},
};
use lentilhitch_types::{AttemptId, Fingerprint, Outcome, Problem, UpstreamName};

use crate::{
    directory::language,
    dispatch::{self, Sent, Ticket},
    entry::Entry,
    journals::{Active, Moving, Phase},
    problems,
    upstreams::{Running, Upstreams},
};

pub(crate) const PROMPT_BYTES_PER_TOKEN: u64 = 4;
pub(crate) const DECODE_MS_EXPECTED: f64 = 28.0;
/// Between two looks at what a waiting attempt depends on.
const LOOK_MS: u64 = 200;
/// How long a request that no upstream has accepted waits for one.
const PLACE_WAIT_MS: u64 = 2_000;

/// One event of an engine's stream. Engines that do not give attempt and position are taken to send in order.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    attempt: Option<AttemptId>,
    #[serde(default)]
    position: Option<usize>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

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
    entry.retries.lock().record_first_try();
    let mut runner = Runner {
        entry,
        active,
        service,
        language,
        blocks,
        deadline,
        ticket,
        last_failed: None,
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
        let n_tries = journal.n_tries();
        let verdict = self.entry.quarantine.lock().verdict(journal.record.fingerprint);
        Some(match self.ticket.take() {
            _ if verdict == Verdict::Quarantined && n_tries > 0 => Problem {
                outcome: Outcome::Failed,
                ..problems::QUARANTINED.with("two upstreams crashed while they ran it")
            },
            Some(_unsent) => {
                problems::NO_UPSTREAM.with(format!("{} is not reachable", self.service.service))
            }
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
        let n_tries = self.active.journal.lock().n_tries();
        let has_tokens = self.active.journal.lock().position() > 0;
        let delay_ms = {
            let mut budget = self.entry.retries.lock();
            budget.retry_delay_ms(Repeatable::Yes, n_tries, remaining_ms, &mut rand::rng())
        };
        let keeps_on = self.active.is_durable || has_tokens;
        let Some(delay_ms) = delay_ms.or(keeps_on.then_some(LOOK_MS)) else { return false };
        sleep(Duration::from_millis(delay_ms.min(remaining_ms))).await;
        Instant::now() < self.deadline
    }

    /// Chooses an upstream; waits for one as long as that makes sense.
    async fn place(&mut self) -> Option<Upstream> {
        let is_accepted = self.active.is_durable || self.ticket.is_none();
        let wait = Instant::now() + Duration::from_millis(PLACE_WAIT_MS);
        let until = if is_accepted { self.deadline } else { wait.min(self.deadline) };
        loop {
            if self.active.stop.borrow().is_some() {
                return None;
            }
            let fingerprint = self.active.journal.lock().record.fingerprint;
            let verdict = self.entry.quarantine.lock().verdict(fingerprint);
            if verdict == Verdict::Quarantined {
                return None;
            }
            let chosen = self.choose(verdict);
            if let Some(upstream) = chosen
                && (verdict == Verdict::Clear || self.begin_trial(fingerprint, &upstream).await)
            {
                return Some(upstream);
            }
            if until <= Instant::now() {
                return None;
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// A suspect may run on an upstream only alone among suspects, which an arbiter sees to.
    async fn begin_trial(&mut self, fingerprint: Fingerprint, upstream: &Upstream) -> bool {
        let place = self.entry.upstreams.life(&upstream.upstream);
        let trial = Trial { fingerprint, place, step: TrialStep::Begun };
        let is_granted = self.entry.peers().ask_trial(&self.entry, &trial).await;
        let position = self.active.journal.lock().position();
        self.trial = is_granted.then_some((trial, position));
        is_granted
    }

    fn choose(&self, verdict: Verdict) -> Option<Upstream> {
        let entry = &self.entry;
        let fingerprint = self.active.journal.lock().record.fingerprint;
        if verdict == Verdict::Suspect && entry.upstreams.is_running(fingerprint) {
            return None;
        }
        let directory = entry.directory();
        let declared =
            self.service.upstreams.iter().filter_map(|it| directory.upstreams.get(&it.upstream));
        let open = declared.filter(|it| entry.upstreams.is_open(&it.upstream));
        let mut candidates: Vec<_> = open.collect();
        if let Some(Moving::Go(Some(target))) = &*self.active.moving.borrow()
            && let Some(moved) = candidates.iter().find(|it| it.upstream == *target)
        {
            return Some((*moved).clone());
        }
        let has_trial =
            |it: &Upstream| entry.quarantine.lock().has_trial(&entry.upstreams.life(&it.upstream));
        if verdict == Verdict::Suspect {
            candidates.retain(|it| !has_trial(it));
            let quietest = candidates
                .into_iter()
                .min_by_key(|it| entry.upstreams.view(it, &entry.settings.zone).n_requests());
            return quietest.cloned();
        }
        prefer(&mut candidates, |it| Some(&it.upstream) != self.last_failed.as_ref());
        prefer(&mut candidates, |it| !has_trial(it));
        let journal = self.active.journal.lock();
        let prompt_tokens = journal.record.body.len() as u64 / PROMPT_BYTES_PER_TOKEN;
        drop(journal);
        let prefixes = entry.prefixes.lock();
        let views: Vec<_> = candidates
            .iter()
            .map(|it| {
                let mut view = entry.upstreams.view(it, &entry.settings.zone);
                let share = prefixes.cached_share(&it.upstream, &self.blocks);
                view.cached_tokens = (share * prompt_tokens as f64) as u64;
                view
            })
            .collect();
        let job = Job {
            prompt_tokens,
            first_token_target_ms: self.language.first_token_ms as f64,
            duration_ms: prompt_tokens as f64 * DECODE_MS_EXPECTED,
        };
        let weights = Weights {
            recomputed_token_ms: self.language.recomputed_token_ms,
            microusd_ms: self.language.microusd_ms,
            ..Weights::default()
        };
        let chosen = ExpectedCost { weights }.choose(&job, &views)?;
        Some(candidates[chosen].clone())
    }

    async fn attempt(&mut self, upstream: &Upstream) -> Ended {
        let attempt = AttemptId::from_random(rand::random());
        let (record, fingerprint) = {
            let mut journal = self.active.journal.lock();
            journal.place(attempt);
            self.active.moving.send_replace(None);
            *self.active.place.lock() = Some((upstream.upstream.clone(), attempt));
            (journal.record.clone(), journal.record.fingerprint)
        };
        let prompt_tokens = record.body.len() as u64 / PROMPT_BYTES_PER_TOKEN;
        let running = Upstreams::begin(&self.entry, &upstream.upstream, fingerprint, prompt_tokens);
        let url = format!("http://{}{}", upstream.address, record.path);
        let Some(body) = upstream_body(&record, attempt) else {
            return Ended::Refused(StatusCode::BAD_REQUEST);
        };
        let request = self
            .entry
            .http
            .post(url)
            .header("x-request-id", record.request_id.to_string())
            .json(&body);
        let first_ticket = self.ticket.take();
        let is_first = first_ticket.is_some();
        let sent = dispatch::send(first_ticket.unwrap_or_else(Ticket::new), request);
        let wait = Duration::from_millis(self.entry.settings.timing.token_silence_ms);
        let Ok(sent) = timeout(wait, sent).await else {
            return self.lost(upstream, &running).await;
        };
        match sent {
            Sent::NotConnected(ticket) => {
                if is_first {
                    self.ticket = Some(ticket);
                }
                self.entry.metrics.upstream_try("not_connected");
                self.entry.upstream_refused(&upstream.upstream);
                Ended::Lost
            }
            Sent::Broken(err) => {
                log::info!(upstream:% = upstream.upstream, error:% = err; "upstream broke off");
                self.lost(upstream, &running).await
            }
            Sent::Answered(response) if response.status().is_success() => {
                self.active.journal.lock().step(Event::Started);
                self.active.start();
                let ended = self.receive(response, attempt, upstream, &running).await;
                if matches!(ended, Ended::Lost) {
                    self.lost(upstream, &running).await
                } else {
                    ended
                }
            }
            Sent::Answered(response) if response.status().is_server_error() => Ended::Lost,
            Sent::Answered(response) => Ended::Refused(response.status()),
        }
    }

    /// An attempt was lost. If the upstream has crashed, whoever ran there is suspected; `running` must still be held.
    async fn lost(&mut self, upstream: &Upstream, running: &Running) -> Ended {
        self.entry.metrics.upstream_try("lost");
        let life = (upstream.upstream.clone(), running.incarnation);
        let on_board = self.entry.upstreams.running(&upstream.upstream);
        if !running.is_leaving() && self.entry.has_crashed(upstream, &life).await {
            let evidence = self.entry.quarantine.lock().blame(&life, &on_board);
            log::warn!(upstream:% = upstream.upstream, n_running = on_board.len(); "upstream crashed");
            self.entry.take_evidence(&evidence);
            self.entry.upstream_refused(&upstream.upstream);
            // The trial stays on record, so that other processes blame the suspect alone as well.
            self.trial = None;
        }
        Ended::Lost
    }

    async fn receive(
        &mut self,
        response: Response,
        attempt: AttemptId,
        upstream: &Upstream,
        running: &Running,
    ) -> Ended {
        let mut events = std::pin::pin!(response.bytes_stream().eventsource());
        let mut stop = self.active.stop.subscribe();
        let mut moving = self.active.moving.subscribe();
        if running.is_leaving() && self.has_other(upstream) && self.active.moving.borrow().is_none()
        {
            return Ended::Lost;
        }
        let mut heard = Instant::now();
        let silence = Duration::from_millis(self.entry.settings.timing.token_silence_ms);
        loop {
            if let Some(event) = *stop.borrow_and_update() {
                return Ended::Stopped(event);
            }
            if self.deadline <= Instant::now() {
                return Ended::Deadline;
            }
            let look = Instant::now() + Duration::from_millis(LOOK_MS);
            let event = tokio::select! {
                _ = stop.changed() => continue,
                _ = moving.changed() => {
                    let is_going = matches!(*moving.borrow_and_update(), Some(Moving::Go(_)));
                    if is_going && self.has_other(upstream) {
                        return Ended::Lost;
                    }
                    continue;
                }
                event = timeout_at(look, next_chunk(&mut events)) => event,
            };
            let has_tokens = self.active.journal.lock().position() > 0;
            match event {
                Err(_) if has_tokens && silence < heard.elapsed() => return Ended::Lost,
                Err(_)
                    if self.entry.upstreams.is_unreachable(&upstream.upstream)
                        && self.has_other(upstream) =>
                {
                    return Ended::Lost;
                }
                Err(_) => {}
                Ok(None) => return Ended::Lost,
                Ok(Some(chunk)) => {
                    heard = Instant::now();
                    if let Some(ended) = self.take(chunk, attempt, upstream) {
                        return ended;
                    }
                }
            }
        }
    }

    /// Whether the request could go on at another upstream.
    fn has_other(&self, upstream: &Upstream) -> bool {
        let others = self.service.upstreams.iter().filter(|it| it.upstream != upstream.upstream);
        others.clone().any(|it| self.entry.upstreams.is_open(&it.upstream))
    }

    fn take(&mut self, chunk: Chunk, attempt: AttemptId, upstream: &Upstream) -> Option<Ended> {
        let choice = chunk.choices.into_iter().next()?;
        let from = chunk.attempt.unwrap_or(attempt);
        let mut journal = self.active.journal.lock();
        let position = chunk.position.unwrap_or(journal.position());
        let text = choice.text.or(choice.delta.and_then(|it| it.content)).unwrap_or_default();
        if let Some(reason) = choice.finish_reason {
            if from != attempt {
                return None;
            }
            if !text.is_empty() {
                journal.token(from, position, text);
            }
            let n_tokens = chunk.position.unwrap_or(journal.position());
            if !journal.end(from, n_tokens, reason) {
                return Some(Ended::Lost);
            }
            let n_tokens = journal.position();
            drop(journal);
            self.entry.prefixes.lock().insert(&upstream.upstream, &self.blocks);
            self.end_trial(TrialStep::Passed);
            self.entry.metrics.upstream_try("whole");
            self.received(n_tokens, true);
            return Some(Ended::Whole);
        }
        let is_first = journal.position() == 0;
        let received = journal.token(from, position, text);
        let n_tokens = journal.position();
        drop(journal);
        if self.trial.as_ref().is_some_and(|it| it.1 + TRIAL_TOKENS <= n_tokens) {
            self.end_trial(TrialStep::Passed);
        }
        if let Received::Appended(n_new) = received {
            self.entry.metrics.tokens(n_new as u64);
            if is_first {
                let first_token_ms = self.entry.clock.now_ms() - self.active.accepted_ms;
                self.entry.metrics.first_token(first_token_ms as f64);
            }
            self.received(n_tokens, false);
        }
        None
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

/// Keeps only those that fulfil a wish, if there are any.
fn prefer<T>(candidates: &mut Vec<T>, wish: impl Fn(&T) -> bool) {
    if candidates.iter().any(&wish) {
        candidates.retain(wish);
    }
}

/// The next event that can be understood; `None` when there is none any more.
async fn next_chunk<S, E>(events: &mut S) -> Option<Chunk>
where
    S: Stream<Item = Result<eventsource_stream::Event, E>> + Unpin,
{
    loop {
        let event = events.next().await?.ok()?;
        if event.data == "[DONE]" {
            return None;
        }
        match serde_json::from_str(&event.data) {
            Ok(chunk) => return Some(chunk),
            Err(err) => log::warn!(error:% = err; "event of an upstream not understood"),
        }
    }
}

/// The caller's request with what the upstream needs to go on from the journal's position.
fn upstream_body(record: &Record, attempt: AttemptId) -> Option<Value> {
    let mut body: Value = serde_json::from_slice(&record.body).ok()?;
    let fields = body.as_object_mut()?;
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("attempt".to_owned(), json!(attempt));
    fields.insert("resume_tokens".to_owned(), json!(record.tokens));
    Some(body)
}

//! One try at running a request on one upstream.

use std::time::Duration;

use eventsource_stream::Eventsource;
use reqwest::{Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Instant, timeout, timeout_at};

use lentilhitch_chart::charts::stream::Event;
use lentilhitch_config::Upstream;
use lentilhitch_policy::{
    journal::{JournalRecord, TokenOutcome},
    quarantine::{TRIAL_TOKENS, TrialStep},
};
use lentilhitch_types::AttemptId;

use crate::{
    dispatch::{self, Sent},
    journals::Moving,
    runner::{
        Ended, LOOK_MS, PROMPT_BYTES_PER_TOKEN, Runner,
        chunk::{Chunk, next_chunk},
    },
    upstreams::{Running, Upstreams},
};

impl Runner {
    /// Sends the request to an upstream and receives until the attempt has ended.
    pub(super) async fn attempt(&mut self, upstream: &Upstream) -> Ended {
        let attempt = AttemptId::from_random(rand::random());
        self.n_unnumbered = 0;
        let (record, fingerprint) = {
            let mut journal = self.active.journal.lock();
            journal.start_attempt(attempt);
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
        let sent = dispatch::send(self.ticket.take(), request);
        let wait = Duration::from_millis(self.entry.settings.timing.token_silence_ms);
        let Ok(sent) = timeout(wait, sent).await else {
            return self.lost(upstream, &running).await;
        };
        match sent {
            Sent::NotConnected(ticket) => {
                self.ticket = ticket;
                self.entry.metrics.record_attempt("not_connected");
                self.entry.upstream_refused(&upstream.upstream);
                Ended::Lost
            }
            Sent::Broken(err) => {
                log::info!(upstream:% = upstream.upstream, error:% = err; "upstream broke off");
                self.lost(upstream, &running).await
            }
            Sent::Answered(response) if response.status().is_success() => {
                self.active.journal.lock().step(Event::Started);
                self.entry.prefixes.lock().insert(&upstream.upstream, &self.blocks);
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
        self.entry.metrics.record_attempt("lost");
        let life = (upstream.upstream.clone(), running.incarnation);
        let on_board = self.entry.upstreams.running(&upstream.upstream);
        if !running.is_leaving() && self.entry.has_crashed(upstream, &life).await {
            let evidence = self.entry.quarantine.lock().attribute_crash(&life, &on_board);
            log::warn!(upstream:% = upstream.upstream, n_running = on_board.len(); "upstream crashed");
            self.entry.on_evidence(&evidence);
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
                    if let Some(ended) = self.take(chunk, attempt) {
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

    fn take(&mut self, chunk: Chunk, attempt: AttemptId) -> Option<Ended> {
        let choice = chunk.choices.into_iter().next()?;
        let from = chunk.attempt.unwrap_or(attempt);
        let mut journal = self.active.journal.lock();
        let position = chunk.position.unwrap_or(self.n_unnumbered);
        let text = choice.text.or(choice.delta.and_then(|it| it.content)).unwrap_or_default();
        if let Some(reason) = choice.finish_reason {
            if from != attempt {
                return None;
            }
            if !text.is_empty() {
                journal.record_token(from, position, text);
                self.n_unnumbered += 1;
            }
            let n_tokens = chunk.position.unwrap_or(self.n_unnumbered);
            if !journal.finish_attempt(from, n_tokens, reason) {
                return Some(Ended::Lost);
            }
            let n_tokens = journal.position();
            drop(journal);
            self.end_trial(TrialStep::Passed);
            self.entry.metrics.record_attempt("whole");
            self.received(n_tokens, true);
            return Some(Ended::Whole);
        }
        let is_first = journal.position() == 0;
        let received = journal.record_token(from, position, text);
        self.n_unnumbered += 1;
        let n_tokens = journal.position();
        drop(journal);
        if self.trial.as_ref().is_some_and(|it| it.1 + TRIAL_TOKENS <= n_tokens) {
            self.end_trial(TrialStep::Passed);
        }
        if let TokenOutcome::Appended(n_new) = received {
            self.entry.metrics.record_tokens(n_new as u64);
            if is_first {
                let first_token_ms = self.entry.clock.now_ms() - self.active.accepted_ms;
                self.entry.metrics.record_first_token(first_token_ms as f64);
            }
            self.received(n_tokens, false);
        }
        None
    }
}

/// The caller's request with what the upstream needs to go on from the journal's position.
fn upstream_body(record: &JournalRecord, attempt: AttemptId) -> Option<Value> {
    let mut body: Value = serde_json::from_slice(&record.body).ok()?;
    let fields = body.as_object_mut()?;
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("attempt".to_owned(), json!(attempt));
    fields.insert("resume_tokens".to_owned(), json!(record.tokens));
    Some(body)
}

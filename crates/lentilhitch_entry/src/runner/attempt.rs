//! A single attempt to run a request on one upstream.

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
    dispatch::{self, SendOutcome},
    journals::EvacuationDecision,
    runner::{
        AttemptOutcome, POLL_INTERVAL_MS, PROMPT_BYTES_PER_TOKEN, Runner,
        chunk::{Chunk, next_chunk},
    },
    upstreams::{AssignmentGuard, Upstreams},
};

impl Runner {
    /// Sends the request to an upstream and receives its stream until the attempt has finished.
    pub(super) async fn attempt(&mut self, upstream: &Upstream) -> AttemptOutcome {
        let attempt = AttemptId::from_random(rand::random());
        self.n_without_position = 0;
        let (record, fingerprint) = {
            let mut journal = self.tracked.journal.lock();
            journal.start_attempt(attempt);
            self.tracked.evacuation.send_replace(None);
            *self.tracked.assignment.lock() = Some((upstream.name.clone(), attempt));
            (journal.record.clone(), journal.record.fingerprint)
        };
        let prompt_tokens = record.body.len() as u64 / PROMPT_BYTES_PER_TOKEN;
        let assignment = Upstreams::assign(&self.entry, &upstream.name, fingerprint, prompt_tokens);
        let url = format!("http://{}{}", upstream.address, record.path);
        let Some(body) = upstream_body(&record, attempt) else {
            return AttemptOutcome::Rejected(StatusCode::BAD_REQUEST);
        };
        let request = self
            .entry
            .http
            .post(url)
            .header("x-request-id", record.request_id.to_string())
            .json(&body);
        let sent = dispatch::send(self.unsent_proof.take(), request);
        let response_timeout = Duration::from_millis(self.entry.settings.timing.token_silence_ms);
        let Ok(sent) = timeout(response_timeout, sent).await else {
            return self.on_attempt_lost(upstream, &assignment).await;
        };
        match sent {
            SendOutcome::NotConnected(unsent_proof) => {
                self.unsent_proof = unsent_proof;
                self.entry.metrics.record_attempt("not_connected");
                self.entry.on_connect_failed(&upstream.name);
                AttemptOutcome::Lost
            }
            SendOutcome::Interrupted(err) => {
                log::info!(upstream:% = upstream.name, error:% = err; "failed to get a response from the upstream");
                self.on_attempt_lost(upstream, &assignment).await
            }
            SendOutcome::Responded(response) if response.status().is_success() => {
                self.tracked.journal.lock().step(Event::Started);
                self.entry.prefixes.lock().insert(&upstream.name, &self.prompt_blocks);
                self.tracked.mark_started();
                let outcome = self.receive_stream(response, attempt, upstream, &assignment).await;
                if matches!(outcome, AttemptOutcome::Lost) {
                    self.on_attempt_lost(upstream, &assignment).await
                } else {
                    outcome
                }
            }
            SendOutcome::Responded(response) if response.status().is_server_error() => {
                AttemptOutcome::Lost
            }
            SendOutcome::Responded(response) => AttemptOutcome::Rejected(response.status()),
        }
    }

    /// Handles the loss of an attempt. If the upstream has crashed, the requests that ran on it become suspects. The
    /// caller must still hold `assignment`, so that this request counts as running.
    async fn on_attempt_lost(
        &mut self,
        upstream: &Upstream,
        assignment: &AssignmentGuard,
    ) -> AttemptOutcome {
        self.entry.metrics.record_attempt("lost");
        let upstream_incarnation = (upstream.name.clone(), assignment.incarnation);
        let running_requests = self.entry.upstreams.running_requests(&upstream.name);
        if !assignment.is_leaving() && self.entry.has_crashed(upstream, &upstream_incarnation).await
        {
            let evidence = self
                .entry
                .quarantine
                .lock()
                .attribute_crash(&upstream_incarnation, &running_requests);
            log::warn!(upstream:% = upstream.name, n_running = running_requests.len(); "upstream crashed");
            self.entry.on_evidence(&evidence);
            self.entry.on_connect_failed(&upstream.name);
            // The trial is not ended, so that other processes also attribute the crash to the suspect alone.
            self.trial = None;
        }
        AttemptOutcome::Lost
    }

    /// Receives the stream of an attempt until it completes, is lost or is stopped.
    async fn receive_stream(
        &mut self,
        response: Response,
        attempt: AttemptId,
        upstream: &Upstream,
        assignment: &AssignmentGuard,
    ) -> AttemptOutcome {
        let mut events = std::pin::pin!(response.bytes_stream().eventsource());
        let mut stop = self.tracked.stop.subscribe();
        let mut evacuation = self.tracked.evacuation.subscribe();
        if assignment.is_leaving()
            && self.has_alternative(upstream)
            && self.tracked.evacuation.borrow().is_none()
        {
            return AttemptOutcome::Lost;
        }
        let mut last_received = Instant::now();
        let token_timeout = Duration::from_millis(self.entry.settings.timing.token_silence_ms);
        loop {
            if let Some(event) = *stop.borrow_and_update() {
                return AttemptOutcome::Stopped(event);
            }
            if self.deadline <= Instant::now() {
                return AttemptOutcome::Deadline;
            }
            let next_poll = Instant::now() + Duration::from_millis(POLL_INTERVAL_MS);
            let event = tokio::select! {
                _ = stop.changed() => continue,
                _ = evacuation.changed() => {
                    let is_migrating = matches!(*evacuation.borrow_and_update(), Some(EvacuationDecision::Migrate(_)));
                    if is_migrating && self.has_alternative(upstream) {
                        return AttemptOutcome::Lost;
                    }
                    continue;
                }
                event = timeout_at(next_poll, next_chunk(&mut events)) => event,
            };
            let has_tokens = self.tracked.journal.lock().position() > 0;
            match event {
                Err(_) if has_tokens && token_timeout < last_received.elapsed() => {
                    return AttemptOutcome::Lost;
                }
                Err(_)
                    if self.entry.upstreams.is_unreachable(&upstream.name)
                        && self.has_alternative(upstream) =>
                {
                    return AttemptOutcome::Lost;
                }
                Err(_) => {}
                Ok(None) => return AttemptOutcome::Lost,
                Ok(Some(chunk)) => {
                    last_received = Instant::now();
                    if let Some(outcome) = self.on_chunk(chunk, attempt) {
                        return outcome;
                    }
                }
            }
        }
    }

    /// Returns whether the request could continue at another upstream.
    fn has_alternative(&self, upstream: &Upstream) -> bool {
        let others = self.service.upstreams.iter().filter(|it| it.name != upstream.name);
        others.clone().any(|it| self.entry.upstreams.accepts_requests(&it.name))
    }

    /// Records the token or the end that an event carries. Returns the outcome if the event ends the attempt.
    fn on_chunk(&mut self, chunk: Chunk, attempt: AttemptId) -> Option<AttemptOutcome> {
        let choice = chunk.choices.into_iter().next()?;
        let chunk_attempt = chunk.attempt.unwrap_or(attempt);
        let mut journal = self.tracked.journal.lock();
        let position = chunk.position.unwrap_or(self.n_without_position);
        let text = choice.text.or(choice.delta.and_then(|it| it.content)).unwrap_or_default();
        if let Some(reason) = choice.finish_reason {
            if chunk_attempt != attempt {
                return None;
            }
            if !text.is_empty() {
                journal.record_token(chunk_attempt, position, text);
                self.n_without_position += 1;
            }
            let n_tokens = chunk.position.unwrap_or(self.n_without_position);
            if !journal.finish_attempt(chunk_attempt, n_tokens, reason) {
                return Some(AttemptOutcome::Lost);
            }
            let n_tokens = journal.position();
            drop(journal);
            self.end_trial(TrialStep::Passed);
            self.entry.metrics.record_attempt("whole");
            self.publish_received(n_tokens, true);
            return Some(AttemptOutcome::Completed);
        }
        let is_first = journal.position() == 0;
        let recorded = journal.record_token(chunk_attempt, position, text);
        self.n_without_position += 1;
        let n_tokens = journal.position();
        drop(journal);
        if self.trial.as_ref().is_some_and(|it| it.1 + TRIAL_TOKENS <= n_tokens) {
            self.end_trial(TrialStep::Passed);
        }
        if let TokenOutcome::Appended(n_appended) = recorded {
            self.entry.metrics.record_tokens(n_appended as u64);
            if is_first {
                let first_token_ms = self.entry.clock.now_ms() - self.tracked.accepted_ms;
                self.entry.metrics.record_first_token(first_token_ms as f64);
            }
            self.publish_received(n_tokens, false);
        }
        None
    }
}

/// Returns the client's request body with the fields that the upstream needs to continue from the journal's position.
fn upstream_body(record: &JournalRecord, attempt: AttemptId) -> Option<Value> {
    let mut body: Value = serde_json::from_slice(&record.body).ok()?;
    let fields = body.as_object_mut()?;
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("attempt".to_owned(), json!(attempt));
    fields.insert("resume_tokens".to_owned(), json!(record.tokens));
    Some(body)
}

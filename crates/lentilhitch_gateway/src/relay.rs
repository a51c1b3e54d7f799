//! Relay of an event stream from an upstream to the client. If the upstream stops, the stream can continue at another.
//!
//! Only complete events are passed on, so the stream can continue after the last of them. The execution of a request by
//! an upstream is called a run. When the upstream is leaving, the KV cache of the run is transferred to another
//! upstream and the run continues there. When the stream breaks off or this continuation fails, a resumable stream is
//! run again from the last event. Any other stream is aborted, so that the client sees that it is incomplete.

use std::{
    pin::{Pin, pin},
    time::Duration,
};

use bytes::Bytes;
use http::{Response, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::{
    sync::mpsc::{self, Sender},
    time::{Instant, sleep_until, timeout},
};

use lentilhitch_policy::{
    events::{EventSplitter, EventTooLarge},
    placement::AttemptResult,
    rollout::ResponseOutcome,
    stream_end::{EndMarker, RunStop, StreamEnd},
    traffic::UpstreamEntry,
};

use crate::{
    attempts::Attempts,
    client_response::{ResponseBody, StreamAborted},
    node::available,
    platform::{KvCopy, Platform},
    pool::Connection,
    run_transfer::{self, TransferOutcome},
    upstream_attempt::{UpstreamResponse, keep_alive_ms, record_broken_connection_and_probe},
};

/// Maximum number of chunks that are queued for a slow client.
const QUEUED_CHUNKS_MAX: usize = 64;
/// Multiple of the route's maximum event interval after which a resumable stream counts as stalled and is resumed in
/// a new attempt.
const STALL_TIMEOUT_INTERVAL_MULTIPLE: u64 = 4;
/// Minimum time without data after which a stream counts as stalled.
const STALL_TIMEOUT_MIN_MS: u64 = 1_500;

/// Starts to relay an upstream's stream and returns the response to the client.
pub(crate) fn stream_response<P: Platform>(
    attempts: Attempts<P>,
    response: UpstreamResponse<P>,
) -> Response<ResponseBody> {
    let mut headers = P::client_headers(&response.parts.headers);
    headers.remove(header::CONTENT_LENGTH);
    let status = response.parts.status;
    let (chunks, body) = mpsc::channel(QUEUED_CHUNKS_MAX);
    let resume_after = attempts.admitted.head.resume_after;
    let relay = StreamRelay {
        attempts,
        chunks,
        splitter: EventSplitter::after(resume_after),
        has_passed_event: false,
        first_event_ms: None,
        body_end: None,
    };
    tokio::task::spawn_local(relay.run(response));
    let mut response = Response::new(ResponseBody::chunks(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

struct StreamRelay<P> {
    attempts: Attempts<P>,
    chunks: Sender<Result<Bytes, StreamAborted>>,
    splitter: EventSplitter,
    /// Whether an event was passed on to the client.
    has_passed_event: bool,
    /// When the first event of the current upstream has arrived.
    first_event_ms: Option<u64>,
    /// End of the body that was read last. `None` before the first end.
    body_end: Option<BodyEnd>,
}

/// End of the body of one upstream's response, for the logs.
#[derive(Clone, Copy)]
struct BodyEnd {
    /// Marker of the end, or `error` if reading the body failed.
    how: &'static str,
    /// Number of bytes that followed the last complete event.
    n_partial_bytes: usize,
}

/// What has become of a chunk of a stream.
enum Pushed {
    /// The chunk completed an event.
    Progress,
    NoProgress,
    /// The chunk belongs to no event of an acceptable size.
    TooLarge,
    ClientDisconnected,
}

/// What interrupted a stream.
#[derive(Clone, Copy)]
enum BreakCause {
    /// The connection ended before the stream was complete.
    ConnectionLost,
    /// The upstream stalled or sent something that is no stream.
    Upstream,
    /// The transfer of the run's KV cache, which may have stopped the run.
    Transfer,
}

/// How the relay of the stream from one upstream ended.
enum RelayOutcome {
    Complete,
    ClientDisconnected,
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// The stream was interrupted, for this reason.
    Broken(BreakCause, &'static str),
    /// The run was stopped, and this upstream can fetch the run's KV cache.
    Transferred(Box<UpstreamEntry>, KvCopy),
}

impl<P: Platform> StreamRelay<P> {
    async fn run(mut self, first: UpstreamResponse<P>) {
        let mut response = first;
        loop {
            let upstream = response.entry.id.clone();
            let outcome = self.relay_response(response).await;
            let reason = match outcome {
                RelayOutcome::Complete => return self.log_end("complete"),
                RelayOutcome::ClientDisconnected => return self.log_end("client disconnected"),
                RelayOutcome::DeadlinePassed => {
                    self.log_end("deadline passed");
                    return self.abort().await;
                }
                RelayOutcome::Broken(_, reason) => reason,
                RelayOutcome::Transferred(to, kv_copy) => {
                    let last_id = self.splitter.last_id();
                    self.log_transfer(upstream.as_str(), &to);
                    // If the run does not continue from the copy, the request is run again below, if that is allowed.
                    match self.attempts.resume_from_copy(&to, kv_copy, last_id).await {
                        Some(it) if it.parts.status.is_success() => {
                            response = *it;
                            continue;
                        }
                        _ => "run did not continue after its KV cache transfer",
                    }
                }
            };
            let Some(resumed) = self.resume(reason).await else {
                self.log_end(reason);
                return self.abort().await;
            };
            response = resumed;
        }
    }

    /// Runs the request again without a KV cache copy, from the last event on, if the route and the deadline allow
    /// another attempt. The upstream is chosen anew. Unlike this, [`Attempts::resume_from_copy`] continues the run at
    /// one given upstream.
    async fn resume(&mut self, reason: &'static str) -> Option<UpstreamResponse<P>> {
        if !self.attempts.may_retry() {
            return None;
        }
        let last_id = self.splitter.last_id();
        let (body_end, partial_bytes) = self.body_end_fields();
        log::info!(request = self.id(), why = reason, last_id, body_end, partial_bytes; "resuming stream in a new attempt");
        let response = self.attempts.next_response(last_id).await.ok()?;
        self.attempts.log_response(&response.entry.id, response.parts.status.as_u16());
        response.parts.status.is_success().then_some(*response)
    }

    /// Passes on the stream of one upstream until it ends or is interrupted.
    async fn relay_response(&mut self, response: UpstreamResponse<P>) -> RelayOutcome {
        self.splitter.start_body();
        self.first_event_ms = None;
        let marker = response.end_marker;
        let UpstreamResponse { parts, body, connection, mut assignment, entry, .. } = response;
        let outcome = self.relay_body(body, marker, &entry, &connection).await;
        assignment.set_result(self.attempt_result(&outcome));
        assignment.record_version_outcome(version_outcome(&outcome), self.first_event_ms);
        let node = &self.attempts.node;
        match outcome {
            RelayOutcome::Complete => {
                if marker == EndMarker::Explicit {
                    node.record_answer(&self.attempts.admitted);
                }
                node.put_pooled(&entry.id, connection, keep_alive_ms(&parts));
            }
            RelayOutcome::Broken(BreakCause::ConnectionLost, _) => {
                let suspect = &self.attempts.admitted.suspect;
                record_broken_connection_and_probe(node, suspect, &entry);
            }
            _ => {}
        }
        outcome
    }

    fn attempt_result(&self, outcome: &RelayOutcome) -> AttemptResult {
        match outcome {
            RelayOutcome::Broken(BreakCause::ConnectionLost | BreakCause::Upstream, _) => {
                AttemptResult::Failed
            }
            RelayOutcome::ClientDisconnected => AttemptResult::Canceled,
            RelayOutcome::DeadlinePassed if !self.splitter.has_event() => AttemptResult::Canceled,
            RelayOutcome::Complete
            | RelayOutcome::DeadlinePassed
            | RelayOutcome::Broken(BreakCause::Transfer, _)
            | RelayOutcome::Transferred(..) => AttemptResult::Served,
        }
    }

    async fn relay_body(
        &mut self,
        mut body: Incoming,
        marker: EndMarker,
        entry: &UpstreamEntry,
        connection: &Connection,
    ) -> RelayOutcome {
        let node = self.attempts.node.clone();
        let deadline_at_ms = self.attempts.admitted.deadline_at_ms;
        let deadline = sleep_until(
            Instant::now() + Duration::from_millis(deadline_at_ms.saturating_sub(node.now_ms())),
        );
        let mut deadline = pin!(deadline);
        let stall_timeout = Duration::from_millis(self.stall_timeout_ms());
        let mut stall_timer = pin!(sleep_until(Instant::now() + stall_timeout));
        let mut transfer_timer = pin!(run_transfer::wait_until_transfer_due(node, entry.clone()));
        let mut transfer: Option<Pin<Box<_>>> = None;
        let mut is_transfer_due = false;
        let mut run_stop = RunStop::NotStopped;
        loop {
            tokio::select! {
                frame = body.frame() => match self.record_body_end(marker, frame) {
                    Some(Ok(frame)) => {
                        if connection.peer.is_none() {
                            self.attempts.node.on_upstream_heard();
                        }
                        let Ok(data) = frame.into_data() else { continue };
                        match self.push(&data, entry).await {
                            Pushed::Progress => {
                                stall_timer.as_mut().reset(Instant::now() + stall_timeout);
                            }
                            Pushed::NoProgress => {}
                            Pushed::ClientDisconnected => return RelayOutcome::ClientDisconnected,
                            Pushed::TooLarge => {
                                let reason = "stream contains bytes that are no events";
                                return RelayOutcome::Broken(BreakCause::Upstream, reason);
                            }
                        }
                    }
                    end => {
                        let is_error = end.is_some();
                        let Some(transfer) = transfer else {
                            return self.finish_body(is_error, marker, run_stop).await;
                        };
                        return match transfer.await {
                            TransferOutcome::NoCopy(run_stop) => {
                                self.finish_body(is_error, marker, run_stop).await
                            }
                            TransferOutcome::Stopped(to, kv_copy) => {
                                RelayOutcome::Transferred(to, kv_copy)
                            }
                        };
                    }
                },
                () = self.chunks.closed() => return RelayOutcome::ClientDisconnected,
                () = &mut deadline => return RelayOutcome::DeadlinePassed,
                () = &mut stall_timer, if transfer.is_none() => {
                    if self.attempts.may_retry() {
                        return RelayOutcome::Broken(BreakCause::Upstream, "stream stalled");
                    }
                    // No other attempt is allowed, so the stream may stall until its deadline.
                    stall_timer.as_mut().reset(Instant::now() + Duration::from_millis(deadline_at_ms));
                }
                () = &mut transfer_timer, if !is_transfer_due => {
                    is_transfer_due = true;
                    if let Some(to) = self.transfer_target(entry) {
                        let id = self.attempts.admitted.head.id.clone();
                        let (node, from) = (self.attempts.node.clone(), entry.clone());
                        transfer = Some(Box::pin(run_transfer::stop_and_transfer(node, id, from, to)));
                    }
                }
                transferred = completion_of(&mut transfer) => {
                    transfer = None;
                    match transferred {
                        TransferOutcome::NoCopy(it) => run_stop = it,
                        TransferOutcome::Stopped(to, kv_copy) => {
                            return self.drain(body, entry, to, kv_copy).await;
                        }
                    }
                }
            }
        }
    }

    /// Passes on the events that the source sent before it stopped the run.
    async fn drain(
        &mut self,
        mut body: Incoming,
        from: &UpstreamEntry,
        to: Box<UpstreamEntry>,
        kv_copy: KvCopy,
    ) -> RelayOutcome {
        while let Ok(Some(Ok(frame))) = timeout(DRAIN_TIMEOUT, body.frame()).await {
            let Ok(data) = frame.into_data() else { continue };
            match self.push(&data, from).await {
                Pushed::ClientDisconnected => return RelayOutcome::ClientDisconnected,
                Pushed::TooLarge => break,
                Pushed::Progress | Pushed::NoProgress => {}
            }
        }
        RelayOutcome::Transferred(to, kv_copy)
    }

    /// Passes a frame through. Records the end of the body.
    fn record_body_end<F, E>(
        &mut self,
        marker: EndMarker,
        frame: Option<Result<F, E>>,
    ) -> Option<Result<F, E>> {
        let how = match frame {
            Some(Ok(_)) => return frame,
            Some(Err(_)) => "error",
            None => marker.as_str(),
        };
        self.body_end = Some(BodyEnd { how, n_partial_bytes: self.splitter.n_partial_bytes() });
        frame
    }

    /// Handles the end of the body of one upstream's response.
    async fn finish_body(
        &mut self,
        is_error: bool,
        marker: EndMarker,
        run_stop: RunStop,
    ) -> RelayOutcome {
        let end = StreamEnd {
            marker,
            has_event: self.splitter.has_event(),
            is_inside_event: self.splitter.is_inside_event(),
            run_stop,
        };
        let reason = if is_error { Some("stream broke off") } else { end.incomplete_reason() };
        if let Some(reason) = reason {
            let cause = match (run_stop, marker) {
                (RunStop::MaybeStopped, _) => BreakCause::Transfer,
                (RunStop::NotStopped, EndMarker::Explicit) if !is_error => BreakCause::Upstream,
                (RunStop::NotStopped, _) => BreakCause::ConnectionLost,
            };
            return RelayOutcome::Broken(cause, reason);
        }
        let rest = self.splitter.take_rest();
        if !rest.is_empty() && self.chunks.send(Ok(rest)).await.is_err() {
            return RelayOutcome::ClientDisconnected;
        }
        RelayOutcome::Complete
    }

    /// Passes on the events that are complete now. Only a new event is progress: an engine that has stalled may still
    /// send parts of an event, or events without an id, now and then.
    async fn push(&mut self, data: &[u8], from: &UpstreamEntry) -> Pushed {
        let previous_id = self.splitter.last_id();
        let events = match self.splitter.push(data) {
            Ok(Some(events)) => events,
            Ok(None) => return Pushed::NoProgress,
            Err(EventTooLarge) => return Pushed::TooLarge,
        };
        let now_ms = self.attempts.node.now_ms();
        self.first_event_ms.get_or_insert(now_ms);
        self.attempts.count_usage_once();
        if !std::mem::replace(&mut self.has_passed_event, true) {
            self.attempts.on_first_event(from);
        }
        if self.chunks.send(Ok(events)).await.is_err() {
            return Pushed::ClientDisconnected;
        }
        let last_id = self.splitter.last_id();
        let is_progress = last_id != previous_id || last_id.is_none();
        if is_progress { Pushed::Progress } else { Pushed::NoProgress }
    }

    /// Returns an upstream to which a run can be transferred from a leaving upstream.
    fn transfer_target(&self, from: &UpstreamEntry) -> Option<UpstreamEntry> {
        let node = &self.attempts.node;
        let mut state = node.state.borrow_mut();
        let state = &mut *state;
        let service = state.route_table.as_ref()?.config.services.get(&from.service)?;
        if !service.engine.is_some_and(|it| it.can_transfer_kv) {
            return None;
        }
        let now_ms = node.now_ms();
        if state.restrictions.pauses.remaining_ms(from, now_ms).is_some() {
            return None;
        }
        let candidates = available(&state.catalog, &state.restrictions, &from.service, now_ms);
        let candidates = candidates.filter(|it| {
            it.entry.version == from.version && node.may_continue_at(&it.entry, now_ms)
        });
        let excluded = std::slice::from_ref(&from.id);
        let assignment =
            state.load_table.assign(None, candidates, excluded, now_ms, &mut state.rng)?;
        let entry = state.catalog.get(&assignment.upstream).map(|it| it.entry.clone());
        state.load_table.release(assignment, AttemptResult::Canceled, now_ms);
        entry
    }

    /// Ends the stream with an error, so that the client sees that it is incomplete.
    async fn abort(self) {
        let _ = self.chunks.send(Err(StreamAborted)).await;
    }

    fn stall_timeout_ms(&self) -> u64 {
        let interval_ms =
            self.attempts.admitted.route.event_interval_max_ms.unwrap_or(STALL_TIMEOUT_MIN_MS);
        (STALL_TIMEOUT_INTERVAL_MULTIPLE * interval_ms).max(STALL_TIMEOUT_MIN_MS)
    }

    fn id(&self) -> &str {
        self.attempts.admitted.head.id.as_str()
    }

    fn log_end(&self, outcome: &'static str) {
        let elapsed_ms = self.attempts.node.now_ms() - self.attempts.admitted.arrived_ms;
        let last_id = self.splitter.last_id();
        let (body_end, partial_bytes) = self.body_end_fields();
        log::info!(request = self.id(), how = outcome, last_id, body_end, partial_bytes, elapsed_ms; "stream ended");
    }

    /// Returns the fields of [`BodyEnd`], if a body has ended.
    fn body_end_fields(&self) -> (Option<&'static str>, Option<usize>) {
        (self.body_end.map(|it| it.how), self.body_end.map(|it| it.n_partial_bytes))
    }

    fn log_transfer(&self, from: &str, to: &UpstreamEntry) {
        let version = to.version.as_str();
        log::info!(request = self.id(), from, to = to.id.as_str(), version; "continuing run after KV cache transfer");
    }
}

/// Returns what the end of a stream says about the version of its upstream.
fn version_outcome(outcome: &RelayOutcome) -> ResponseOutcome {
    match outcome {
        RelayOutcome::Broken(BreakCause::ConnectionLost | BreakCause::Upstream, _)
        | RelayOutcome::DeadlinePassed => ResponseOutcome::Failed,
        RelayOutcome::Broken(BreakCause::Transfer, _) | RelayOutcome::ClientDisconnected => {
            ResponseOutcome::NotJudged
        }
        RelayOutcome::Complete | RelayOutcome::Transferred(..) => ResponseOutcome::Succeeded,
    }
}

/// Maximum wait for each further chunk from a source that has stopped the run.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

/// Waits for the future to complete. Never returns if there is none.
async fn completion_of<F: Future + Unpin>(pending: &mut Option<F>) -> F::Output {
    match pending {
        Some(it) => it.await,
        None => std::future::pending().await,
    }
}

//! A stream from an upstream to its client, event by event, across upstreams that end before it does.
//!
//! Only whole events are passed on, so a stream can go on elsewhere after the last of them. When the upstream is
//! leaving, its memory of the run is copied to another one and the run goes on there. When it breaks off, a resumable
//! stream is run again from the last event; any other ends without its end, which the client can see.

use std::{
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Response, header, response};
use http_body_util::BodyExt as _;
use tokio::{
    sync::mpsc::{self, Sender},
    time::{Instant, sleep_until, timeout},
};

use lentilhitch_policy::{events::EventSplitter, placement::AttemptResult, traffic::UpstreamEntry};

use crate::{
    answer::{AnswerBody, BrokenOff},
    node::Node,
    platform::{KvCopy, KvTransfer, Platform},
    pool::{Connection, Sent},
    tries::Tries,
    upstream_try::{Answered, kept_ms, note_broken},
};

/// Pieces that wait for a slow client.
const PIECES_MAX: usize = 64;
/// A resumable stream goes on elsewhere after so many times the longest pause that is on time.
const STALL_PAUSES: u64 = 4;
/// The shortest silence that counts as a stall.
const STALL_MIN_MS: u64 = 1_500;
/// A leaving upstream with no stated end is left alone for so long; many streams end by themselves in it.
const LEAVE_WAIT_MS: u64 = 1_000;
/// An upstream that leaves within this time is moved from at once: a copy and a new start take well below it.
const MOVE_LEAD_MS: u64 = 1_200;
/// How long a copy of a run's memory may take.
const MOVE_MS: u64 = 1_500;

/// Starts a stream to the client.
pub(crate) fn stream_response<P: Platform>(
    tries: Tries<P>,
    answered: Answered<P>,
) -> Response<AnswerBody> {
    let mut headers = P::client_headers(&answered.parts.headers);
    headers.remove(header::CONTENT_LENGTH);
    let status = answered.parts.status;
    let (pieces, body) = mpsc::channel(PIECES_MAX);
    let resume_after = tries.call.head.resume_after;
    let pump = Pump { tries, pieces, cutter: EventSplitter::after(resume_after) };
    tokio::task::spawn_local(pump.run(answered));
    let mut response = Response::new(AnswerBody::pieces(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

struct Pump<P> {
    tries: Tries<P>,
    pieces: Sender<Result<Bytes, BrokenOff>>,
    cutter: EventSplitter,
}

/// How an upstream's part of a stream ended.
enum PartEnd {
    Complete,
    /// The client has left.
    Left,
    /// The time is over.
    Over,
    Broken(&'static str),
    /// The run's memory was copied and the run stopped.
    Moved(UpstreamEntry, KvCopy),
}

impl<P: Platform> Pump<P> {
    async fn run(mut self, first: Answered<P>) {
        let mut answered = first;
        loop {
            let upstream = answered.listed.id.clone();
            let end = self.pass_on(answered).await;
            let why = match end {
                PartEnd::Complete => return self.log_end("complete"),
                PartEnd::Left => return self.log_end("the client left"),
                PartEnd::Over => {
                    self.log_end("the time is over");
                    return self.break_off().await;
                }
                PartEnd::Broken(why) => why,
                PartEnd::Moved(to, memory) => {
                    let last_id = self.cutter.last_id();
                    self.log_move(upstream.as_str(), &to);
                    match self.tries.resume_from(to, memory, last_id).await {
                        Some(it) if it.parts.status.is_success() => {
                            answered = *it;
                            continue;
                        }
                        _ => "the copied run did not start",
                    }
                }
            };
            let Some(resumed) = self.resume(why).await else {
                self.log_end(why);
                return self.break_off().await;
            };
            answered = resumed;
        }
    }

    /// Runs a resumable stream again from its last event.
    async fn resume(&mut self, why: &'static str) -> Option<Answered<P>> {
        self.cutter.take_rest();
        if !self.tries.may_go_on() {
            return None;
        }
        let last_id = self.cutter.last_id();
        log::info!(request = self.id(), why, last_id; "stream resumes elsewhere");
        let answered = self.tries.next(last_id).await.ok()?;
        self.tries.log_answer(&answered.listed.id, answered.parts.status.as_u16());
        answered.parts.status.is_success().then_some(*answered)
    }

    /// Passes on what one upstream sends.
    async fn pass_on(&mut self, answered: Answered<P>) -> PartEnd {
        let Answered { parts, mut body, connection, mut place, listed } = answered;
        let node = self.tries.node.clone();
        let ends_ms = self.tries.call.ends_ms;
        let over = sleep_until(
            Instant::now() + Duration::from_millis(ends_ms.saturating_sub(node.now_ms())),
        );
        let mut over = pin!(over);
        let stall = Duration::from_millis(self.stall_ms());
        let mut quiet = pin!(sleep_until(Instant::now() + stall));
        let mut leaving = pin!(wait_leaving(node.clone(), listed.clone()));
        let mut moving: Option<Pin<Box<_>>> = None;
        let mut has_left = false;
        loop {
            tokio::select! {
                frame = body.frame() => match frame {
                    Some(Ok(frame)) => {
                        let Ok(data) = frame.into_data() else { continue };
                        quiet.as_mut().reset(Instant::now() + stall);
                        place.set(AttemptResult::Served);
                        if !self.push(&data).await {
                            place.set(AttemptResult::Canceled);
                            return PartEnd::Left;
                        }
                    }
                    Some(Err(_)) | None if moving.is_some() => {
                        let is_whole = frame.is_none();
                        place.set(AttemptResult::Served);
                        return self.finish_move(moving.take(), is_whole).await;
                    }
                    Some(Err(_)) => {
                        place.set(AttemptResult::Failed);
                        note_broken(&node, self.tries.call.fingerprint, &listed);
                        return PartEnd::Broken("the stream broke off");
                    }
                    None => {
                        place.set(AttemptResult::Served);
                        node.pool.put(&listed.id, connection, kept_ms(&parts), node.clock);
                        let rest = self.cutter.take_rest();
                        if !rest.is_empty() && self.pieces.send(Ok(rest)).await.is_err() {
                            return PartEnd::Left;
                        }
                        return PartEnd::Complete;
                    }
                },
                () = self.pieces.closed() => {
                    place.set(AttemptResult::Canceled);
                    return PartEnd::Left;
                }
                () = &mut over => return PartEnd::Over,
                () = &mut quiet, if moving.is_none() => {
                    if self.tries.may_go_on() {
                        place.set(AttemptResult::Failed);
                        return PartEnd::Broken("the stream stalled");
                    }
                    quiet.as_mut().reset(Instant::now() + Duration::from_millis(ends_ms));
                }
                () = &mut leaving, if !has_left => {
                    has_left = true;
                    if let Some(to) = self.move_target(&listed) {
                        let id = self.tries.call.head.id.clone();
                        moving = Some(Box::pin(move_memory::<P>(id, listed.clone(), to)));
                    }
                }
                moved = end_of(&mut moving) => {
                    moving = None;
                    if let Some((to, memory)) = moved {
                        // What the source still sent before it stopped comes first.
                        while let Ok(Some(Ok(frame))) = timeout(DRAIN_WAIT, body.frame()).await {
                            if let Ok(data) = frame.into_data() && !self.push(&data).await {
                                return PartEnd::Left;
                            }
                        }
                        self.cutter.take_rest();
                        place.set(AttemptResult::Served);
                        return PartEnd::Moved(to, memory);
                    }
                }
            }
        }
    }

    /// The source's stream ended while its memory was copied.
    async fn finish_move<F>(&mut self, moving: Option<Pin<Box<F>>>, is_whole: bool) -> PartEnd
    where
        F: Future<Output = Option<(UpstreamEntry, KvCopy)>>,
    {
        let Some(moving) = moving else { return PartEnd::Broken("the stream broke off") };
        match moving.await {
            Some((to, memory)) => {
                self.cutter.take_rest();
                PartEnd::Moved(to, memory)
            }
            None if is_whole => PartEnd::Complete,
            None => PartEnd::Broken("the stream broke off"),
        }
    }

    /// Passes on whole events; says whether the client is there.
    async fn push(&mut self, data: &[u8]) -> bool {
        let Some(whole) = self.cutter.push(data) else { return true };
        self.tries.count_begun();
        self.pieces.send(Ok(whole)).await.is_ok()
    }

    /// Where the run may go on when its upstream leaves.
    fn move_target(&self, from: &UpstreamEntry) -> Option<UpstreamEntry> {
        let node = &self.tries.node;
        let mut state = node.state.borrow_mut();
        let state = &mut *state;
        let service = state.route_table.as_ref()?.config.services.get(&from.service)?;
        if !service.engine.is_some_and(|it| it.can_transfer_kv) {
            return None;
        }
        let now_ms = node.now_ms();
        let ready = state.catalog.ready(&from.service);
        let excluded = std::slice::from_ref(&from.id);
        let placed = state.load_table.assign(None, ready, excluded, now_ms, &mut state.rng)?;
        let listed = state.catalog.get(&placed.upstream).map(|it| it.entry.clone());
        state.load_table.release(placed, AttemptResult::Canceled, now_ms);
        listed
    }

    /// Ends the stream so that the client sees that it is not whole.
    async fn break_off(self) {
        let _ = self.pieces.send(Err(BrokenOff)).await;
    }

    fn stall_ms(&self) -> u64 {
        let pause_ms = self.tries.call.route.event_interval_max_ms.unwrap_or(STALL_MIN_MS);
        (STALL_PAUSES * pause_ms).max(STALL_MIN_MS)
    }

    fn id(&self) -> &str {
        self.tries.call.head.id.as_str()
    }

    fn log_end(&self, how: &'static str) {
        let elapsed_ms = self.tries.node.now_ms() - self.tries.call.arrived_ms;
        let last_id = self.cutter.last_id();
        log::info!(request = self.id(), how, last_id, elapsed_ms; "stream ended");
    }

    fn log_move(&self, from: &str, to: &UpstreamEntry) {
        log::info!(request = self.id(), from, to = to.id.as_str(); "run moved");
    }
}

/// How long events that a stopped source has still sent are waited for.
const DRAIN_WAIT: Duration = Duration::from_millis(20);

/// Waits for the end of what is under way; for ever if nothing is.
async fn end_of<F: Future + Unpin>(under_way: &mut Option<F>) -> F::Output {
    match under_way {
        Some(it) => it.await,
        None => std::future::pending().await,
    }
}

/// How the life of an upstream that runs a stream stands in the list.
enum Standing {
    Ready,
    /// Another life has its name.
    Replaced,
    Leaving {
        ends_at_ms: Option<u64>,
    },
}

fn standing<P>(node: &Node<P>, listed: &UpstreamEntry) -> Standing {
    match node.state.borrow().catalog.get(&listed.id) {
        Some(it) if it.entry.started_ms != listed.started_ms => Standing::Replaced,
        Some(it) if it.is_ready() => Standing::Ready,
        Some(it) => Standing::Leaving { ends_at_ms: it.ends_at_ms },
        None => Standing::Leaving { ends_at_ms: None },
    }
}

/// Returns when a run should be moved from its upstream.
async fn wait_leaving<P: Platform>(node: Rc<Node<P>>, listed: UpstreamEntry) {
    let mut changes = node.upstreams_leaving.subscribe();
    loop {
        let now_ms = node.now_ms();
        match standing(&node, &listed) {
            Standing::Ready => {}
            Standing::Replaced => return std::future::pending().await,
            Standing::Leaving { ends_at_ms } => {
                let move_ms =
                    ends_at_ms.map_or(now_ms + LEAVE_WAIT_MS, |it| it.saturating_sub(MOVE_LEAD_MS));
                tokio::time::sleep(Duration::from_millis(move_ms.saturating_sub(now_ms))).await;
                return;
            }
        }
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Copies a run's memory from the upstream that runs it to another one and stops the run.
async fn move_memory<P: Platform>(
    id: String,
    from: UpstreamEntry,
    to: UpstreamEntry,
) -> Option<(UpstreamEntry, KvCopy)> {
    let request = P::kv_transfer_request(&id, to.address, true).map(http_body_util::Full::new);
    let limit = Duration::from_millis(MOVE_MS);
    let moved = timeout(limit, async {
        let mut connection = Connection::open(from.address, limit).await.ok()?;
        let Sent::Answer(response) = connection.send(request).await else { return None };
        let (parts, body): (response::Parts, _) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(P::decode_kv_transfer(parts.status, &body))
    });
    let result = moved.await.ok().flatten();
    log::info!(request = id.as_str(), from = from.id.as_str(), to = to.id.as_str(), result:? = result; "copy of a run");
    match result? {
        KvTransfer::Copied { handle } => Some((to, KvCopy { source: from.address, handle })),
        KvTransfer::Kept { handle } => {
            let source = from.address;
            Some((from, KvCopy { source, handle }))
        }
        KvTransfer::Ended | KvTransfer::Refused => None,
    }
}

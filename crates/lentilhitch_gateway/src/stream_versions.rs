//! Resumed streams: finds out which software version began a stream, and tells other nodes where streams have begun.
//!
//! What is known, who is told and who is asked is decided by [`lentilhitch_policy::stream_origins`].

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout, timeout_at},
};

use lentilhitch_policy::{
    gossip::message::NodeAddress,
    send_queue::Urgency,
    stream_origins::{self, OriginRecord, StreamKey, StreamOrigin, service_hash},
    traffic::UpstreamEntry,
};
use lentilhitch_types::ServiceName;

use crate::{
    admission::AdmittedRequest, client_response::Rejection, gossip::Datagram, node::Node,
    platform::Platform,
};

/// Time limit for the answers of the nodes that are asked first.
const FIRST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit for the answers of all nodes of the zone and all possible holders, which are asked next.
const ZONE_ANSWERS_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which it is checked whether the list was read.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of records in one message, so that the message fits into one packet.
pub(crate) const RECORDS_PER_MESSAGE_MAX: usize = 32;
/// `Retry-After` of a resumed stream whose version no node knows.
const RETRY_AFTER_MS: u64 = 500;

/// Message between nodes about the origin of streams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum OriginMessage {
    /// From a node at which streams have begun to a holder of these.
    #[serde(rename = "r")]
    Records(Vec<OriginRecord>),
    #[serde(rename = "q")]
    Question(Question),
    #[serde(rename = "a")]
    Answer(Answer),
    /// From a node at which streams have begun to the node of its zone that writes them to the store.
    #[serde(rename = "w")]
    ToWriter(Vec<OriginRecord>),
}

/// Asks where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Question {
    /// Identifies the question at the node that asks.
    #[serde(rename = "n")]
    number: u64,
    /// Absent if the client does not say which stream it resumes.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    key: Option<StreamKey>,
    /// Hash of the service that the request would be sent to.
    #[serde(rename = "s")]
    service: u32,
}

/// Answers a question as far as the node can.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Answer {
    #[serde(rename = "n")]
    number: u64,
    /// Where the stream began.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    known: Option<StreamOrigin>,
    /// Origin of all streams of the service, if it has had a single version for long enough.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    sole: Option<StreamOrigin>,
    /// Whether the service has several versions, or had some not long ago.
    #[serde(rename = "m", default, skip_serializing_if = "std::ops::Not::not")]
    is_mixed: bool,
    /// The node that answers, and where the stream began if it is one that this node would hold and does not.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    untold: Option<(u64, StreamOrigin)>,
}

/// What nodes have answered to a question.
#[derive(Debug, Default)]
struct Answers {
    known: Option<StreamOrigin>,
    sole: Vec<StreamOrigin>,
    is_mixed: bool,
    untold: Vec<(u64, StreamOrigin)>,
}

impl Answers {
    /// Returns the only version of the service, if this node and all that state one agree and none knows of several.
    fn sole_version(&self, local: Option<StreamOrigin>) -> Option<StreamOrigin> {
        let mut stated = local.iter().chain(&self.sole);
        let first = *stated.next()?;
        (!self.is_mixed && stated.all(|it| *it == first)).then_some(first)
    }

    /// Returns the version at which all streams began that no node was told of, if the nodes that state one agree and one
    /// of them would know this stream otherwise.
    fn untold_version(&self, key: StreamKey, nodes: &[NodeAddress]) -> Option<StreamOrigin> {
        let first = self.untold.first()?.1;
        let asked: Vec<_> = self.untold.iter().map(|it| it.0).collect();
        let is_agreed = self.untold.iter().all(|it| it.1 == first);
        (is_agreed && stream_origins::would_be_known(key, nodes, &asked)).then_some(first)
    }
}

/// Questions of this node whose answers are awaited, by number.
#[derive(Default)]
pub(crate) struct Inquiries {
    n_started: Cell<u64>,
    waiting: RefCell<FxHashMap<u64, mpsc::UnboundedSender<Answer>>>,
}

impl Inquiries {
    fn start(&self) -> Inquiry<'_> {
        let number = self.n_started.get() + 1;
        self.n_started.set(number);
        let (sender, answers) = mpsc::unbounded_channel();
        self.waiting.borrow_mut().insert(number, sender);
        Inquiry { inquiries: self, number, answers }
    }

    fn on_answer(&self, answer: Answer) {
        if let Some(sender) = self.waiting.borrow().get(&answer.number) {
            // The receiver may have just given up.
            let _ = sender.send(answer);
        }
    }
}

/// A question whose answers are awaited until this is dropped, also when the client has left.
struct Inquiry<'a> {
    inquiries: &'a Inquiries,
    number: u64,
    answers: mpsc::UnboundedReceiver<Answer>,
}

impl Drop for Inquiry<'_> {
    fn drop(&mut self) {
        self.inquiries.waiting.borrow_mut().remove(&self.number);
    }
}

/// How the origin of a resumed stream was found out, for the logs.
#[derive(Clone, Copy, Debug)]
enum Source {
    Local,
    SoleVersion,
    Peer,
    Store,
    SoleVersionAtPeer,
    /// The only version before the service got several, since the holders were not told.
    NotTold,
}

/// Finds out which version began the stream that a request resumes, and binds the request to this version and its
/// service. Fails if no node knows.
pub(crate) async fn bind_resumed<P: Platform>(
    node: &Node<P>,
    admitted: &mut AdmittedRequest,
) -> Result<(), Rejection> {
    if !admitted.route.repeat.is_stream() || !admitted.head.is_resumed() {
        return Ok(());
    }
    let key = admitted.head.resumed_id.as_deref().map(StreamKey::of);
    let known = key.and_then(|it| node.state.borrow().stream_origins.get(it));
    let found = match known {
        Some(it) => Some((it, Source::Local)),
        None => node.ask_for_origin(key, &admitted.service).await,
    };
    let request = admitted.head.id.as_str();
    let resumed = admitted.head.resumed_id.as_deref();
    let elapsed_ms = node.now_ms() - admitted.arrived_ms;
    let Some((origin, source)) = found else {
        log::warn!(request, resumed, elapsed_ms; "no node knows which version began the stream");
        return Err(Rejection::Unavailable {
            reason: "no node knows which version began the stream",
            retry_after_ms: RETRY_AFTER_MS,
        });
    };
    log::info!(request, resumed, version_hash = origin.version, source:? = source, elapsed_ms; "version that began the stream is known");
    let services = admitted.route.split.iter().map(|it| &it.0);
    if let Some(service) = services.into_iter().find(|it| service_hash(it) == origin.service) {
        admitted.service = service.clone();
    }
    admitted.origin = Some(origin);
    Ok(())
}

impl<P: Platform> Node<P> {
    /// Asks the nodes that may hold the stream, and then all nodes of the zone. If none knows it, the only version of the
    /// service is taken if there is one. The list from which it follows may lack a version at which the stream began, so
    /// either all nodes that may hold the stream have to answer, or the list has to be read again first. Nobody holds a stream
    /// that its client does not name. If the service has several versions, the store may know the stream. If nodes that
    /// would have been told of it otherwise don't know it, it began before.
    async fn ask_for_origin(
        &self,
        key: Option<StreamKey>,
        service: &ServiceName,
    ) -> Option<(StreamOrigin, Source)> {
        let service = service_hash(service);
        let asked_ms = self.now_ms();
        let mut answers = Answers::default();
        let mut has_read_store = false;
        let (first, zone) = self.nodes_to_ask(key);
        let mut inquiry = self.inquiries.start();
        let question = Question { number: inquiry.number, key, service };
        for (nodes, time_limit) in [(first, FIRST_ANSWERS_TIMEOUT), (zone, ZONE_ANSWERS_TIMEOUT)] {
            let n_silent =
                self.ask(question, &nodes, time_limit, &mut inquiry.answers, &mut answers).await;
            if let Some(origin) = answers.known {
                return Some((origin, Source::Peer));
            }
            // No node knows a stream without a name, so answers show nothing.
            let may_infer = n_silent == 0 && key.is_some();
            if may_infer || self.is_list_read_since(asked_ms) {
                let inferred = self.infer_origin(service, &answers);
                if inferred.is_some() {
                    return inferred;
                }
            }
            let Some(key) = key else { continue };
            let is_mixed = answers.is_mixed || self.is_mixed(service);
            if is_mixed && !std::mem::replace(&mut has_read_store, true) {
                self.read_origins_since(asked_ms).await;
                if let Some(origin) = self.state.borrow().stream_origins.get(key) {
                    return Some((origin, Source::Store));
                }
            }
            if let Some(origin) = self.untold_origin(key, service, &answers) {
                return Some((origin, Source::NotTold));
            }
        }
        // Without any version to infer, there is nothing to wait for.
        self.infer_origin(service, &answers)?;
        let time_limit = Duration::from_millis(self.confirmation_age_max_ms());
        let res = timeout(time_limit, self.list_read_since(asked_ms)).await;
        if res.is_err() {
            log::info!(service_hash = service, list_age_ms = self.list_age_ms(); "version not inferred, since the list of upstreams was not read in time");
            return None;
        }
        self.infer_origin(service, &answers)
    }
}

impl<P> Node<P> {
    /// Returns the origin of all streams of a service, if it has had a single version for long enough and this node's list of
    /// upstreams is current.
    fn sole_origin(&self, service: u32) -> Option<StreamOrigin> {
        let now_ms = self.now_ms();
        if !self.is_list_current(now_ms) {
            return None;
        }
        self.state.borrow().stream_origins.sole_origin(service, now_ms)
    }

    /// Returns whether the list of upstreams was read or confirmed recently enough to rely on the versions in it.
    pub(crate) fn is_list_current(&self, now_ms: u64) -> bool {
        let age_ms = self.state.borrow().catalog.age_ms(now_ms);
        age_ms.is_some_and(|it| it <= self.settings.bounds.contact_ms)
    }

    /// Handles a change of the upstreams and their versions.
    pub(crate) fn on_versions_changed(&self) {
        let now_ms = self.now_ms();
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let upstreams = state.catalog.iter().map(|it| &it.entry);
            let is_first_start = self.settings.is_first_start;
            state.stream_origins.on_upstreams_changed(upstreams, is_first_start, now_ms);
            if let Some(rollouts) = &self.rollouts {
                rollouts.on_upstreams_changed(&state.catalog, now_ms);
            }
        }
        self.tell_holders();
        self.version_register.on_versions_changed();
    }

    /// Records that an upstream has written the first event of a stream, and tells the holders if necessary. `wait_ms` is
    /// how long the client waits for the stream.
    pub(crate) fn on_stream_begun(&self, key: StreamKey, upstream: &UpstreamEntry, wait_ms: u64) {
        let now_ms = self.now_ms();
        let origin = StreamOrigin::of(upstream);
        {
            let origins = &mut self.state.borrow_mut().stream_origins;
            origins.record_client_wait(wait_ms, now_ms);
            origins.on_first_event(key, origin, now_ms);
        }
        self.tell_holders();
    }

    /// Tells the holders of the streams that are due, which are to be written to the store too.
    pub(crate) fn tell_holders(&self) {
        let now_ms = self.now_ms();
        let mut by_holder: FxHashMap<SocketAddr, Vec<OriginRecord>> = FxHashMap::default();
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            if state.stream_origins.has_unwritten() {
                self.origins_due.notify_one();
            }
            for record in state.stream_origins.take_due(now_ms) {
                let (zone, others) = (state.gossip.local_zone(), state.gossip.node_addresses());
                for holder in stream_origins::holders(record.key, zone, others) {
                    by_holder.entry(holder.gossip).or_default().push(record);
                }
            }
        }
        for (holder, records) in by_holder {
            for it in records.chunks(RECORDS_PER_MESSAGE_MAX) {
                let message = OriginMessage::Records(it.to_vec());
                self.send_to(&Datagram::StreamOrigin(message), &[holder], Urgency::Urgent);
            }
        }
    }

    /// Returns the only version of a service, if this node or a node that has answered knows of one, and none of several.
    fn infer_origin(&self, service: u32, answers: &Answers) -> Option<(StreamOrigin, Source)> {
        let local = self.sole_origin(service);
        if self.is_mixed(service) {
            return None;
        }
        let source = if local.is_some() { Source::SoleVersion } else { Source::SoleVersionAtPeer };
        answers.sole_version(local).map(|it| (it, source))
    }

    /// Returns the only version that a service had before it got several, if the stream began there.
    fn untold_origin(
        &self,
        key: StreamKey,
        service: u32,
        answers: &Answers,
    ) -> Option<StreamOrigin> {
        let untold = answers.untold.iter().copied().chain(self.untold_answer(service)).collect();
        let state = self.state.borrow();
        let others = state.gossip.node_addresses().copied();
        let nodes: Vec<_> = others.chain([state.gossip.local_address()]).collect();
        Answers { untold, ..Answers::default() }.untold_version(key, &nodes)
    }

    /// Returns this node, and where a stream of the service began that this node would hold and does not.
    fn untold_answer(&self, service: u32) -> Option<(u64, StreamOrigin)> {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        let origin = state.stream_origins.origin_if_untold(service, now_ms)?;
        Some((state.gossip.local_node(), origin))
    }

    /// Returns whether a service has several versions, or had some within the lifetime of a stream.
    fn is_mixed(&self, service: u32) -> bool {
        self.state.borrow().stream_origins.is_mixed(service, self.now_ms())
    }

    fn list_age_ms(&self) -> Option<u64> {
        self.state.borrow().catalog.age_ms(self.now_ms())
    }

    /// Returns whether the list of upstreams was read, by this node or the one that confirms it, at the given time or later.
    fn is_list_read_since(&self, since_ms: u64) -> bool {
        let now_ms = self.now_ms();
        self.list_age_ms().is_some_and(|it| it <= now_ms - since_ms)
    }

    /// Waits until the list of upstreams is read.
    async fn list_read_since(&self, since_ms: u64) {
        while !self.is_list_read_since(since_ms) {
            sleep(LIST_CHECK_INTERVAL).await;
        }
    }

    /// Returns the gossip addresses of the nodes that are asked first, and of those, all others of the zone and all that may
    /// hold the stream.
    fn nodes_to_ask(&self, key: Option<StreamKey>) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let state = self.state.borrow();
        let (zone, others) = (state.gossip.local_zone(), state.gossip.node_addresses());
        // Without a key, any node may know whether the service has a single version.
        let key = key.unwrap_or(StreamKey::of(""));
        let first = stream_origins::nodes_to_ask(key, zone, others);
        let first: Vec<_> = first.iter().map(|it: &NodeAddress| it.gossip).collect();
        let possible = stream_origins::possible_holders(key, state.gossip.node_addresses());
        let mut all = state.gossip.zone_addresses();
        for it in possible.iter().map(|it| it.gossip).chain(first.iter().copied()) {
            if !all.contains(&it) {
                all.push(it);
            }
        }
        (first, all)
    }

    /// Asks nodes and waits until one of them knows the stream, all have answered or the time is over. Returns the number of
    /// nodes that have not answered.
    async fn ask(
        &self,
        question: Question,
        nodes: &[SocketAddr],
        time_limit: Duration,
        receiver: &mut mpsc::UnboundedReceiver<Answer>,
        answers: &mut Answers,
    ) -> usize {
        let message = OriginMessage::Question(question);
        self.send_to(&Datagram::StreamOrigin(message), nodes, Urgency::Urgent);
        let end = Instant::now() + time_limit;
        let mut n_silent = nodes.len();
        while 0 < n_silent
            && let Ok(Some(answer)) = timeout_at(end, receiver.recv()).await
        {
            n_silent -= 1;
            answers.known = answer.known;
            answers.sole.extend(answer.sole);
            answers.is_mixed |= answer.is_mixed;
            answers.untold.extend(answer.untold);
            if answers.known.is_some() {
                break;
            }
        }
        n_silent
    }

    /// Handles a message of another node.
    pub(crate) fn on_origin_message(&self, message: OriginMessage, from: SocketAddr) {
        match message {
            OriginMessage::Records(records) => {
                let now_ms = self.now_ms();
                let mut state = self.state.borrow_mut();
                for it in records {
                    state.stream_origins.insert(it, now_ms);
                }
            }
            OriginMessage::Question(Question { number, key, service }) => {
                let known = key.and_then(|it| self.state.borrow().stream_origins.get(it));
                let sole = if known.is_none() { self.sole_origin(service) } else { None };
                let is_mixed = self.is_mixed(service);
                let untold = if known.is_none() { self.untold_answer(service) } else { None };
                let answer =
                    OriginMessage::Answer(Answer { number, known, sole, is_mixed, untold });
                self.send_to(&Datagram::StreamOrigin(answer), &[from], Urgency::Urgent);
            }
            OriginMessage::Answer(answer) => self.inquiries.on_answer(answer),
            OriginMessage::ToWriter(records) => self.archive(records),
        }
    }
}

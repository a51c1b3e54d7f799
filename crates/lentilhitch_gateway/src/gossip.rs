//! What nodes tell each other a few times a second: load, admitted work, clocks and evidence of crashes.
//!
//! Each message is one datagram with the sender's whole state, so a lost one does no harm. Nothing that must be agreed
//! on goes this way. Names travel as hashes and fields under short names, since every node tells every other.
//!
//! In each zone one node reads the store for the others: the first in hash order that reaches it. It tells what changed at
//! once, and with each message a digest of its list; a node with the same digest knows that its own list is as fresh, and
//! one that hears of no fresh reading reads by itself.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep, sleep_until},
};

use lentilhitch_policy::{placement::InProgress, traffic::UpstreamEntry, usage::NodeCounts};
use lentilhitch_types::{Fingerprint, LogOffset, UpstreamName};

use crate::{
    clock::wall_ms,
    discovery::UPSTREAMS_PAUSE_MS,
    node::{Node, Peer, State, short_hash},
    platform::Platform,
};

/// The pause between messages in a small deployment; it grows with the nodes, so that a node's traffic does not.
const PAUSE_MS: u64 = 250;
/// Nodes up to which the pause is the shortest.
const PAUSE_NODES: u64 = 20;
/// The pause between tellings of news.
const NEWS_PAUSE_MS: u64 = 150;
/// The least pause between tellings of what was admitted of short rates, in milliseconds for each node: so that a node
/// hears no more than one in a millisecond.
const RATES_PAUSE_MS: u64 = 1;
/// A node is out of reach after so many pauses without a message, and some time for delays.
const SILENT_PAUSES: u64 = 4;
const SILENT_SLACK_MS: u64 = 300;
/// The largest datagram that is read.
const DATAGRAM_BYTES_MAX: usize = 16 * 1024;
/// Pieces of evidence in one message.
const EVIDENCE_MAX: usize = 32;

/// What travels in a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    #[serde(rename = "s")]
    State(Box<Gossip>),
    /// What the sender counted, for the holder of the duties.
    #[serde(rename = "c")]
    Counts(NodeCounts),
    /// What the sender admitted of teams whose rates are short, by hash of their names.
    #[serde(rename = "q")]
    Rates { node: u64, life: u64, admitted: Vec<(u32, f64)> },
    /// Upstreams that changed a moment ago, for the sender's zone.
    #[serde(rename = "r")]
    News(Vec<News>),
}

/// A changed upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct News {
    #[serde(rename = "i")]
    pub(crate) id: UpstreamName,
    #[serde(rename = "o")]
    pub(crate) offset: LogOffset,
    /// Absent if it has ended.
    #[serde(rename = "l")]
    pub(crate) listed: Option<UpstreamEntry>,
}

/// One node's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Gossip {
    /// The sender and its zone, by hash of their names.
    #[serde(rename = "n")]
    node: u64,
    #[serde(rename = "z")]
    zone: u32,
    #[serde(rename = "l")]
    life: u64,
    #[serde(rename = "w")]
    wall_ms: u64,
    #[serde(rename = "x")]
    exchange: SocketAddr,
    /// The version in force, and how long ago the store told the sender itself that it is the newest.
    #[serde(rename = "v")]
    config: (u64, u64),
    /// A digest of the list of upstreams, and how long ago the sender itself read it.
    #[serde(rename = "u")]
    upstreams: (u64, u64),
    /// Requests at upstreams, those that wait, and their prompt tokens, by hash of the upstreams' names.
    #[serde(rename = "p")]
    in_progress: Vec<(u32, u32, u32, u32)>,
    /// What each team was admitted since the start, by hash of its name.
    #[serde(rename = "a")]
    admitted: Vec<(u32, f64)>,
    /// Uncached prompt tokens a second, by hash of the service.
    #[serde(rename = "d")]
    demand: Vec<(u32, f32)>,
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    evidence: Vec<(Fingerprint, u64)>,
    /// Where the topic of the duties ended at the sender's last renewal, if it holds them.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    duty: Option<LogOffset>,
}

impl From<(&UpstreamEntry, LogOffset)> for News {
    fn from((listed, offset): (&UpstreamEntry, LogOffset)) -> Self {
        Self { id: listed.id.clone(), offset, listed: Some(listed.clone()) }
    }
}

/// Tells and hears until the process ends.
pub(crate) async fn run<P: Platform>(node: Rc<Node<P>>, socket: Rc<UdpSocket>) -> io::Result<()> {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    let mut next = Box::pin(sleep(Duration::from_millis(PAUSE_MS)));
    let mut next_news = Box::pin(sleep(Duration::from_millis(NEWS_PAUSE_MS)));
    let mut next_rates = Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((n_bytes, from)) => node.hear(&buffer[..n_bytes], from),
                Err(err) => log::debug!("can't receive: {err}"),
            },
            () = node.tell.notified() => node.tell_news(&socket).await,
            () = async { sleep_until(next_rates).await; node.rates_due.notified().await } => {
                node.tell_rates(&socket).await;
                let pause_ms = RATES_PAUSE_MS * node.n_nodes() as u64;
                next_rates = Instant::now() + Duration::from_millis(pause_ms);
            }
            () = &mut next_news => {
                node.tell_news(&socket).await;
                next_news = Box::pin(sleep(Duration::from_millis(NEWS_PAUSE_MS)));
            }
            () = &mut next => {
                node.tell(&socket).await;
                let has_evidence = !node.state.borrow().evidence.is_empty();
                let pause_ms = if has_evidence { NEWS_PAUSE_MS } else { node.pause_ms() };
                next = Box::pin(sleep(Duration::from_millis(pause_ms)));
            }
        }
    }
}

impl<P> Node<P> {
    /// The pause between messages.
    pub(crate) fn pause_ms(&self) -> u64 {
        PAUSE_MS * (self.n_nodes() as u64).max(PAUSE_NODES) / PAUSE_NODES
    }

    /// A peer that was not heard for so long is out of reach.
    pub(crate) fn silent_after_ms(&self) -> u64 {
        SILENT_PAUSES * self.pause_ms() + SILENT_SLACK_MS
    }

    /// Nodes that are in reach, this one included.
    pub(crate) fn n_heard(&self) -> usize {
        let (now_ms, silent_ms) = (self.now_ms(), self.silent_after_ms());
        let state = self.state.borrow();
        1 + state.peers.values().filter(|it| it.is_heard(silent_ms, now_ms)).count()
    }

    /// Whether a peer in reach has a newer configuration, or this node has none.
    pub(crate) fn is_behind(&self) -> bool {
        let (now_ms, silent_ms) = (self.now_ms(), self.silent_after_ms());
        let state = self.state.borrow();
        let Some(table) = &state.table else { return true };
        let mut heard = state.peers.values().filter(|it| it.is_heard(silent_ms, now_ms));
        heard.any(|it| table.config.version < it.version)
    }

    /// Whether this node reads the store for its zone.
    pub(crate) fn is_reader(&self) -> bool {
        let now_ms = self.now_ms();
        let fresh_ms = self.vouched_ms();
        let (zone, own) = (self.zone_hash(), self.own_hash());
        let state = self.state.borrow();
        let mut before = state.peers.iter().filter(|it| it.1.zone == zone && *it.0 < own);
        !before.any(|it| now_ms <= it.1.upstreams_read_ms + fresh_ms)
    }

    /// How old a reading may be that a peer vouches for: its pause, and that of its messages.
    pub(crate) fn vouched_ms(&self) -> u64 {
        UPSTREAMS_PAUSE_MS + self.pause_ms() + SILENT_SLACK_MS
    }
}

impl<P: Platform> Node<P> {
    async fn tell(&self, socket: &UdpSocket) {
        let (message, addresses) = self.message();
        self.send(socket, &Message::State(Box::new(message)), &addresses).await;
    }

    /// Tells the holder of the duties what this node counted; says whether a holder is in reach.
    pub(crate) async fn tell_counts(&self, socket: &UdpSocket) -> bool {
        let (now_ms, true_ms, silent_ms) = (self.now_ms(), self.true_ms(), self.silent_after_ms());
        let (counts, holder) = {
            let state = self.state.borrow();
            let heard = state.duty_holder.filter(|it| now_ms <= it.1 + silent_ms);
            let holder = heard.and_then(|it| state.peers.get(&it.0)).map(|it| it.gossip);
            (state.tally.counts(self.instance(), self.life, true_ms), holder)
        };
        let Some(holder) = holder else { return false };
        self.send(socket, &Message::Counts(counts), &[holder]).await;
        true
    }

    /// Tells all nodes what was admitted of rates that are short.
    async fn tell_rates(&self, socket: &UdpSocket) {
        let (message, addresses) = {
            let mut state = self.state.borrow_mut();
            let urgent = state.rates.iter_mut().filter(|it| it.1.needs_urgent_report());
            let admitted = urgent.map(|(team, it)| (short_hash(team.as_str()), it.report()));
            let admitted = admitted.collect();
            let node = self.own_hash();
            let addresses: Vec<_> = state.peers.values().map(|it| it.gossip).collect();
            (Message::Rates { node, life: self.life, admitted }, addresses)
        };
        self.send(socket, &message, &addresses).await;
    }

    /// Tells the other nodes of the zone what changed; those of other zones hear it from their own reader.
    async fn tell_news(&self, socket: &UdpSocket) {
        loop {
            let (news, addresses) = {
                let mut state = self.state.borrow_mut();
                let zone = self.zone_hash();
                let peers = state.peers.values().filter(|it| it.zone == zone);
                let addresses: Vec<_> = peers.map(|it| it.gossip).collect();
                (state.take_news(), addresses)
            };
            let is_last = news.len() < NEWS_MAX;
            if !news.is_empty() {
                self.send(socket, &Message::News(news), &addresses).await;
            }
            if is_last {
                return;
            }
        }
    }

    async fn send(&self, socket: &UdpSocket, message: &Message, addresses: &[SocketAddr]) {
        let mut bytes = Vec::new();
        if let Err(err) = ciborium::into_writer(message, &mut bytes) {
            log::error!(error:% = err; "can't write a message to nodes");
            return;
        }
        for address in addresses {
            if let Err(err) = socket.send_to(&bytes, address).await {
                log::debug!("can't tell {address}: {err}");
            }
        }
    }

    fn message(&self) -> (Gossip, Vec<SocketAddr>) {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let offsets: Vec<_> =
            state.peers.values().map(|it| (it.wall_offset_ms, it.heard_ms)).collect();
        state.true_time.update(wall_ms(), &offsets, now_ms);
        let demand = state.demand.iter_mut();
        let demand = demand
            .map(|(service, meter)| (short_hash(service.as_str()), meter.per_s(now_ms) as f32));
        let in_progress = state.load_table.report().into_iter();
        let admitted = state.rates.iter_mut();
        let version = state.table.as_ref().map_or(0, |it| it.config.version);
        let message = Gossip {
            node: self.own_hash(),
            zone: self.zone_hash(),
            life: self.life,
            wall_ms: wall_ms(),
            exchange: self.settings.exchange_address,
            config: (version, now_ms.saturating_sub(state.own_config_read_ms)),
            upstreams: (state.catalog.digest(), now_ms.saturating_sub(state.own_list_read_ms)),
            in_progress: in_progress
                .map(|(id, it)| (id, it.n_requests, it.n_waiting, it.waiting_tokens))
                .collect(),
            admitted: admitted.map(|(team, it)| (short_hash(team.as_str()), it.report())).collect(),
            demand: demand.collect(),
            evidence: state.take_evidence(),
            duty: state.duty_news,
        };
        (message, state.peers.values().map(|it| it.gossip).collect())
    }

    fn hear(&self, bytes: &[u8], from: SocketAddr) {
        let message: Message = match ciborium::from_reader(bytes) {
            Ok(it) => it,
            Err(err) => {
                log::debug!("unreadable message from {from}: {err}");
                return;
            }
        };
        match message {
            Message::State(it) => self.hear_state(&it, from),
            Message::News(news) => self.take_news(news),
            Message::Rates { node, life, admitted } => {
                let now_ms = self.now_ms();
                self.state.borrow_mut().hear_rates(node, life, &admitted, now_ms);
            }
            Message::Counts(counts) => {
                let mut state = self.state.borrow_mut();
                state.peer_counts.push(counts);
                let n_over = state.peer_counts.len().saturating_sub(PEER_COUNTS_MAX);
                state.peer_counts.drain(..n_over);
            }
        }
    }

    fn hear_state(&self, message: &Gossip, from: SocketAddr) {
        if message.node == self.own_hash() {
            return;
        }
        let now_ms = self.now_ms();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let peer = state.peers.entry(message.node);
        let peer = peer.or_insert_with(|| Peer::new(from, message.exchange));
        peer.gossip = from;
        peer.exchange = message.exchange;
        peer.zone = message.zone;
        peer.heard_ms = now_ms;
        peer.life = message.life;
        peer.wall_offset_ms = message.wall_ms.cast_signed() - now_ms.cast_signed();
        peer.version = message.config.0;
        peer.upstreams_read_ms = now_ms.saturating_sub(message.upstreams.1);
        peer.demand = message.demand.iter().map(|it| (it.0, f64::from(it.1))).collect();
        state.vouch(message, now_ms);
        let in_progress = message.in_progress.iter();
        let in_progress: Vec<_> = in_progress
            .map(|&(id, n_requests, n_waiting, waiting_tokens)| {
                (id, InProgress { n_requests, n_waiting, waiting_tokens })
            })
            .collect();
        state.load_table.on_peer_report(message.node, in_progress, now_ms);
        state.hear_rates(message.node, message.life, &message.admitted, now_ms);
        for (request, crash) in &message.evidence {
            if state.suspects.insert_evidence(*request, *crash) {
                state.log_if_stopped(*request);
            }
        }
        if let Some(end) = message.duty {
            state.duty_heard = Some((end, now_ms));
            state.duty_holder = Some((message.node, now_ms));
        }
    }

    /// Takes what another node knows of upstreams.
    pub(crate) fn take_news(&self, news: Vec<News>) {
        let now_ms = self.now_ms();
        let changes: Vec<_> = {
            let mut state = self.state.borrow_mut();
            let changes = news.into_iter().filter_map(|it| match it.listed {
                Some(listed) => state.catalog.insert(listed, it.offset, now_ms),
                None => state.catalog.remove(&it.id, it.offset, now_ms),
            });
            changes.collect()
        };
        self.take_changes(&changes);
    }
}

/// Counts of peers that are kept for the case that this node gets the duties.
const PEER_COUNTS_MAX: usize = 4_096;
/// Changed upstreams in one message, so that it fits into one packet.
const NEWS_MAX: usize = 12;

impl State {
    /// A peer that knows the same knows how fresh it is.
    fn vouch(&mut self, message: &Gossip, now_ms: u64) {
        let version = self.table.as_ref().map_or(0, |it| it.config.version);
        if version == message.config.0 {
            self.config_read_ms = self.config_read_ms.max(now_ms.saturating_sub(message.config.1));
        }
        let read_ms = now_ms.saturating_sub(message.upstreams.1);
        let own_age_ms = self.catalog.age_ms(now_ms);
        let is_newer = own_age_ms.is_some_and(|it| now_ms.saturating_sub(it) < read_ms);
        if is_newer && self.catalog.digest() == message.upstreams.0 {
            self.catalog.confirm(read_ms);
        }
    }

    fn hear_rates(&mut self, node: u64, life: u64, admitted: &[(u32, f64)], now_ms: u64) {
        for (team, admitted) in admitted {
            let rate = self.rate_names.get(team).and_then(|it| self.rates.get_mut(it));
            if let Some(rate) = rate {
                rate.handle_report(node, life, *admitted, now_ms);
            }
        }
    }

    fn take_news(&mut self) -> Vec<News> {
        let told = self.news.iter_mut().take(NEWS_MAX);
        let told = told.map(|it| {
            it.1 -= 1;
            it.0.clone()
        });
        let told = told.collect();
        self.news.retain(|it| 0 < it.1);
        told
    }

    fn take_evidence(&mut self) -> Vec<(Fingerprint, u64)> {
        let told = self.evidence.iter_mut().take(EVIDENCE_MAX);
        let told = told.map(|it| {
            it.2 -= 1;
            (it.0, it.1)
        });
        let told = told.collect();
        self.evidence.retain(|it| 0 < it.2);
        told
    }
}

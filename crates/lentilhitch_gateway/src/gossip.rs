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
    discovery::UPSTREAMS_POLL_INTERVAL_MS,
    node::{Node, Peer, State, short_hash},
    platform::Platform,
};

/// The pause between messages in a small deployment; it grows with the nodes, so that a node's traffic does not.
const STATE_INTERVAL_MS: u64 = 250;
/// Nodes up to which the pause is the shortest.
const STATE_INTERVAL_NODES: u64 = 20;
/// The pause between tellings of news.
const UPDATE_INTERVAL_MS: u64 = 150;
/// The least pause between tellings of what was admitted of short rates, in milliseconds for each node: so that a node
/// hears no more than one in a millisecond.
const RATES_INTERVAL_PER_NODE_MS: u64 = 1;
/// A node is out of reach after so many pauses without a message, and some time for delays.
const PEER_TIMEOUT_INTERVALS: u64 = 4;
const DELAY_ALLOWANCE_MS: u64 = 300;
/// The largest datagram that is read.
const DATAGRAM_BYTES_MAX: usize = 16 * 1024;
/// Pieces of evidence in one message.
const EVIDENCE_PER_MESSAGE_MAX: usize = 32;

/// What travels in a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    #[serde(rename = "s")]
    State(Box<StateMessage>),
    /// What the sender counted, for the holder of the duties.
    #[serde(rename = "c")]
    Counts(NodeCounts),
    /// What the sender admitted of teams whose rates are short, by hash of their names.
    #[serde(rename = "q")]
    Rates {
        node: u64,
        #[serde(rename = "life")]
        incarnation: u64,
        admitted: Vec<(u32, f64)>,
    },
    /// Upstreams that changed a moment ago, for the sender's zone.
    #[serde(rename = "r")]
    UpstreamUpdates(Vec<UpstreamUpdate>),
}

/// A changed upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct UpstreamUpdate {
    #[serde(rename = "i")]
    pub(crate) id: UpstreamName,
    #[serde(rename = "o")]
    pub(crate) offset: LogOffset,
    /// Absent if it has ended.
    #[serde(rename = "l")]
    pub(crate) entry: Option<UpstreamEntry>,
}

/// One node's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StateMessage {
    /// The sender and its zone, by hash of their names.
    #[serde(rename = "n")]
    node: u64,
    #[serde(rename = "z")]
    zone: u32,
    #[serde(rename = "l")]
    incarnation: u64,
    #[serde(rename = "w")]
    wall_ms: u64,
    #[serde(rename = "x")]
    exchange_address: SocketAddr,
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

impl From<(&UpstreamEntry, LogOffset)> for UpstreamUpdate {
    fn from((entry, offset): (&UpstreamEntry, LogOffset)) -> Self {
        Self { id: entry.id.clone(), offset, entry: Some(entry.clone()) }
    }
}

/// Tells and hears until the process ends.
pub(crate) async fn run<P: Platform>(node: Rc<Node<P>>, socket: Rc<UdpSocket>) -> io::Result<()> {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    let mut next_state_send = Box::pin(sleep(Duration::from_millis(STATE_INTERVAL_MS)));
    let mut next_updates_send = Box::pin(sleep(Duration::from_millis(UPDATE_INTERVAL_MS)));
    let mut next_rates_send = Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((n_bytes, from)) => node.on_datagram(&buffer[..n_bytes], from),
                Err(err) => log::debug!("can't receive: {err}"),
            },
            () = node.updates_due.notified() => node.send_updates(&socket).await,
            () = async { sleep_until(next_rates_send).await; node.rates_due.notified().await } => {
                node.send_rates(&socket).await;
                let interval_ms = RATES_INTERVAL_PER_NODE_MS * node.n_nodes() as u64;
                next_rates_send = Instant::now() + Duration::from_millis(interval_ms);
            }
            () = &mut next_updates_send => {
                node.send_updates(&socket).await;
                next_updates_send = Box::pin(sleep(Duration::from_millis(UPDATE_INTERVAL_MS)));
            }
            () = &mut next_state_send => {
                node.send_state(&socket).await;
                let has_evidence = !node.state.borrow().evidence.is_empty();
                let interval_ms = if has_evidence { UPDATE_INTERVAL_MS } else { node.gossip_interval_ms() };
                next_state_send = Box::pin(sleep(Duration::from_millis(interval_ms)));
            }
        }
    }
}

impl<P> Node<P> {
    /// The pause between messages.
    pub(crate) fn gossip_interval_ms(&self) -> u64 {
        STATE_INTERVAL_MS * (self.n_nodes() as u64).max(STATE_INTERVAL_NODES) / STATE_INTERVAL_NODES
    }

    /// A peer that was not heard for so long is out of reach.
    pub(crate) fn peer_timeout_ms(&self) -> u64 {
        PEER_TIMEOUT_INTERVALS * self.gossip_interval_ms() + DELAY_ALLOWANCE_MS
    }

    /// Nodes that are in reach, this one included.
    pub(crate) fn n_reachable_nodes(&self) -> usize {
        let (now_ms, timeout_ms) = (self.now_ms(), self.peer_timeout_ms());
        let state = self.state.borrow();
        1 + state.peers.values().filter(|it| it.is_reachable(timeout_ms, now_ms)).count()
    }

    /// Whether a peer in reach has a newer configuration, or this node has none.
    pub(crate) fn is_behind(&self) -> bool {
        let (now_ms, timeout_ms) = (self.now_ms(), self.peer_timeout_ms());
        let state = self.state.borrow();
        let Some(route_table) = &state.route_table else { return true };
        let mut reachable = state.peers.values().filter(|it| it.is_reachable(timeout_ms, now_ms));
        reachable.any(|it| route_table.config.version < it.config_version)
    }

    /// Whether this node reads the store for its zone.
    pub(crate) fn is_store_reader(&self) -> bool {
        let now_ms = self.now_ms();
        let age_max_ms = self.confirmation_age_max_ms();
        let (zone, node) = (self.zone_hash(), self.node_hash());
        let state = self.state.borrow();
        let mut before = state.peers.iter().filter(|it| it.1.zone == zone && *it.0 < node);
        !before.any(|it| now_ms <= it.1.upstreams_read_ms + age_max_ms)
    }

    /// How old a reading may be that a peer vouches for: its pause, and that of its messages.
    pub(crate) fn confirmation_age_max_ms(&self) -> u64 {
        UPSTREAMS_POLL_INTERVAL_MS + self.gossip_interval_ms() + DELAY_ALLOWANCE_MS
    }
}

impl<P: Platform> Node<P> {
    async fn send_state(&self, socket: &UdpSocket) {
        let (message, addresses) = self.state_message();
        self.send_to_all(socket, &Message::State(Box::new(message)), &addresses).await;
    }

    /// Tells the holder of the duties what this node counted; says whether a holder is in reach.
    pub(crate) async fn send_counts(&self, socket: &UdpSocket) -> bool {
        let (now_ms, synced_ms, timeout_ms) =
            (self.now_ms(), self.synced_ms(), self.peer_timeout_ms());
        let (counts, holder) = {
            let state = self.state.borrow();
            let reachable = state.duty_holder.filter(|it| now_ms <= it.1 + timeout_ms);
            let holder =
                reachable.and_then(|it| state.peers.get(&it.0)).map(|it| it.gossip_address);
            (state.usage_counter.counts(self.instance(), self.incarnation, synced_ms), holder)
        };
        let Some(holder) = holder else { return false };
        self.send_to_all(socket, &Message::Counts(counts), &[holder]).await;
        true
    }

    /// Tells all nodes what was admitted of rates that are short.
    async fn send_rates(&self, socket: &UdpSocket) {
        let (message, addresses) = {
            let mut state = self.state.borrow_mut();
            let urgent = state.rates.iter_mut().filter(|it| it.1.needs_urgent_report());
            let admitted = urgent.map(|(team, it)| (short_hash(team.as_str()), it.report()));
            let admitted = admitted.collect();
            let node = self.node_hash();
            let addresses: Vec<_> = state.peers.values().map(|it| it.gossip_address).collect();
            (Message::Rates { node, incarnation: self.incarnation, admitted }, addresses)
        };
        self.send_to_all(socket, &message, &addresses).await;
    }

    /// Tells the other nodes of the zone what changed; those of other zones hear it from their own reader.
    async fn send_updates(&self, socket: &UdpSocket) {
        loop {
            let (updates, addresses) = {
                let mut state = self.state.borrow_mut();
                let zone = self.zone_hash();
                let peers = state.peers.values().filter(|it| it.zone == zone);
                let addresses: Vec<_> = peers.map(|it| it.gossip_address).collect();
                (state.next_updates(), addresses)
            };
            let is_last = updates.len() < UPDATES_PER_MESSAGE_MAX;
            if !updates.is_empty() {
                self.send_to_all(socket, &Message::UpstreamUpdates(updates), &addresses).await;
            }
            if is_last {
                return;
            }
        }
    }

    async fn send_to_all(&self, socket: &UdpSocket, message: &Message, addresses: &[SocketAddr]) {
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

    fn state_message(&self) -> (StateMessage, Vec<SocketAddr>) {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let offsets: Vec<_> =
            state.peers.values().map(|it| (it.wall_offset_ms, it.last_received_ms)).collect();
        state.synced_clock.update(wall_ms(), &offsets, now_ms);
        let demand = state.demand.iter_mut();
        let demand = demand
            .map(|(service, meter)| (short_hash(service.as_str()), meter.per_s(now_ms) as f32));
        let in_progress = state.load_table.report().into_iter();
        let admitted = state.rates.iter_mut();
        let version = state.route_table.as_ref().map_or(0, |it| it.config.version);
        let message = StateMessage {
            node: self.node_hash(),
            zone: self.zone_hash(),
            incarnation: self.incarnation,
            wall_ms: wall_ms(),
            exchange_address: self.settings.exchange_address,
            config: (version, now_ms.saturating_sub(state.local_config_read_ms)),
            upstreams: (state.catalog.digest(), now_ms.saturating_sub(state.local_list_read_ms)),
            in_progress: in_progress
                .map(|(id, it)| (id, it.n_requests, it.n_waiting, it.waiting_tokens))
                .collect(),
            admitted: admitted.map(|(team, it)| (short_hash(team.as_str()), it.report())).collect(),
            demand: demand.collect(),
            evidence: state.next_evidence(),
            duty: state.local_duty_end,
        };
        (message, state.peers.values().map(|it| it.gossip_address).collect())
    }

    fn on_datagram(&self, bytes: &[u8], from: SocketAddr) {
        let message: Message = match ciborium::from_reader(bytes) {
            Ok(it) => it,
            Err(err) => {
                log::debug!("unreadable message from {from}: {err}");
                return;
            }
        };
        match message {
            Message::State(it) => self.on_state_message(&it, from),
            Message::UpstreamUpdates(updates) => self.apply_updates(updates),
            Message::Rates { node, incarnation, admitted } => {
                let now_ms = self.now_ms();
                self.state.borrow_mut().on_rates(node, incarnation, &admitted, now_ms);
            }
            Message::Counts(counts) => {
                let mut state = self.state.borrow_mut();
                state.peer_counts.push(counts);
                let n_excess = state.peer_counts.len().saturating_sub(PEER_COUNTS_MAX);
                state.peer_counts.drain(..n_excess);
            }
        }
    }

    fn on_state_message(&self, message: &StateMessage, from: SocketAddr) {
        if message.node == self.node_hash() {
            return;
        }
        let now_ms = self.now_ms();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let peer = state.peers.entry(message.node);
        let peer = peer.or_insert_with(|| Peer::new(from, message.exchange_address));
        peer.gossip_address = from;
        peer.exchange_address = message.exchange_address;
        peer.zone = message.zone;
        peer.last_received_ms = now_ms;
        peer.incarnation = message.incarnation;
        peer.wall_offset_ms = message.wall_ms.cast_signed() - now_ms.cast_signed();
        peer.config_version = message.config.0;
        peer.upstreams_read_ms = now_ms.saturating_sub(message.upstreams.1);
        peer.demand = message.demand.iter().map(|it| (it.0, f64::from(it.1))).collect();
        state.on_confirmation(message, now_ms);
        let in_progress = message.in_progress.iter();
        let in_progress: Vec<_> = in_progress
            .map(|&(id, n_requests, n_waiting, waiting_tokens)| {
                (id, InProgress { n_requests, n_waiting, waiting_tokens })
            })
            .collect();
        state.load_table.on_peer_report(message.node, in_progress, now_ms);
        state.on_rates(message.node, message.incarnation, &message.admitted, now_ms);
        for (request, crash) in &message.evidence {
            if state.suspects.insert_evidence(*request, *crash) {
                state.log_if_quarantined(*request);
            }
        }
        if let Some(end) = message.duty {
            state.received_duty_end = Some((end, now_ms));
            state.duty_holder = Some((message.node, now_ms));
        }
    }

    /// Takes what another node knows of upstreams.
    pub(crate) fn apply_updates(&self, updates: Vec<UpstreamUpdate>) {
        let now_ms = self.now_ms();
        let changes: Vec<_> = {
            let mut state = self.state.borrow_mut();
            let changes = updates.into_iter().filter_map(|it| match it.entry {
                Some(entry) => state.catalog.insert(entry, it.offset, now_ms),
                None => state.catalog.remove(&it.id, it.offset, now_ms),
            });
            changes.collect()
        };
        self.apply_changes(&changes);
    }
}

/// Counts of peers that are kept for the case that this node gets the duties.
const PEER_COUNTS_MAX: usize = 4_096;
/// Changed upstreams in one message, so that it fits into one packet.
const UPDATES_PER_MESSAGE_MAX: usize = 12;

impl State {
    /// A peer that knows the same knows how fresh it is.
    fn on_confirmation(&mut self, message: &StateMessage, now_ms: u64) {
        let version = self.route_table.as_ref().map_or(0, |it| it.config.version);
        if version == message.config.0 {
            self.config_read_ms = self.config_read_ms.max(now_ms.saturating_sub(message.config.1));
        }
        let read_ms = now_ms.saturating_sub(message.upstreams.1);
        let local_age_ms = self.catalog.age_ms(now_ms);
        let is_newer = local_age_ms.is_some_and(|it| now_ms.saturating_sub(it) < read_ms);
        if is_newer && self.catalog.digest() == message.upstreams.0 {
            self.catalog.confirm(read_ms);
        }
    }

    fn on_rates(&mut self, node: u64, incarnation: u64, admitted: &[(u32, f64)], now_ms: u64) {
        for (team, admitted) in admitted {
            let rate = self.team_names.get(team).and_then(|it| self.rates.get_mut(it));
            if let Some(rate) = rate {
                rate.handle_report(node, incarnation, *admitted, now_ms);
            }
        }
    }

    fn next_updates(&mut self) -> Vec<UpstreamUpdate> {
        let due = self.updates.iter_mut().take(UPDATES_PER_MESSAGE_MAX);
        let due = due.map(|it| {
            it.1 -= 1;
            it.0.clone()
        });
        let due = due.collect();
        self.updates.retain(|it| 0 < it.1);
        due
    }

    fn next_evidence(&mut self) -> Vec<(Fingerprint, u64)> {
        let due = self.evidence.iter_mut().take(EVIDENCE_PER_MESSAGE_MAX);
        let due = due.map(|it| {
            it.2 -= 1;
            (it.0, it.1)
        });
        let due = due.collect();
        self.evidence.retain(|it| 0 < it.2);
        due
    }
}

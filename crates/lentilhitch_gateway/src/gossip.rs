//! Gossip between nodes: unacknowledged UDP datagrams.
//!
//! Every node sends state messages to every other node, in a small deployment several times a second. A state message
//! contains among other things the sender's requests in progress at each upstream, the total cost of the requests that
//! the sender has admitted for each team, the sender's wall-clock time, and evidence of crashes (requests that were
//! present when an upstream crashed). Loads are current figures, and costs are totals since the start of the sender.
//! Neither is a difference from an earlier message, so the next message replaces a lost one. Evidence is sent several
//! times, because datagrams get lost. Usage counts are also sent, to the holder of the duty lease, as running totals of
//! each usage window. Nothing that requires agreement between nodes is sent as gossip. To keep messages small, names
//! are sent as hashes and most field names are single letters, since every node sends to every other node.
//!
//! The store reader of a zone is the first node of the zone, in the order of the name hashes, that has recently read
//! the list of upstreams from the store. It sends each changed upstream entry to the other nodes of its zone
//! immediately, as an update. Each update is sent several times, because datagrams get lost. Each state message
//! contains a digest of the sender's list of upstreams, and the time since the sender itself read the list from the
//! store. An equal digest confirms to the receiver that both lists contain the same incarnations of upstreams in the
//! same states. The receiver's list is then as recent as the sender's read. A receiver that has lost all datagrams of
//! an update has another digest, so its list is no longer confirmed. A node whose list was not confirmed recently reads
//! it from the store itself.

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

/// Interval between state messages in a small deployment. In a larger one the interval grows with the number of nodes,
/// so that the traffic of a node does not grow.
const GOSSIP_INTERVAL_MIN_MS: u64 = 250;
/// Number of nodes up to which the interval between state messages stays at `GOSSIP_INTERVAL_MIN_MS`.
const SMALL_DEPLOYMENT_NODES: u64 = 20;
/// Interval at which an update of an upstream entry is sent again. While there is evidence of crashes to send, it is
/// also the interval between state messages.
const UPDATE_INTERVAL_MS: u64 = 150;
/// Minimum interval between urgent reports of admitted requests, in milliseconds per node of the deployment. It limits
/// the reports that a node receives to one per millisecond.
const RATES_INTERVAL_PER_NODE_MS: u64 = 1;
/// Number of intervals without a state message after which a peer is unresponsive. `DELAY_ALLOWANCE_MS` is added.
const PEER_TIMEOUT_INTERVALS: u64 = 4;
/// Allowance for delays of messages between nodes.
const DELAY_ALLOWANCE_MS: u64 = 300;
/// Maximum size of a datagram that is read.
const DATAGRAM_BYTES_MAX: usize = 16 * 1024;
/// Maximum number of pieces of evidence of crashes in one state message.
const EVIDENCE_PER_MESSAGE_MAX: usize = 32;

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    #[serde(rename = "s")]
    State(Box<StateMessage>),
    /// Usage counts of the sender, for the holder of the duty lease.
    #[serde(rename = "c")]
    Counts(NodeCounts),
    /// Total cost that the sender has admitted since its start for teams whose rates need an urgent report, by hash of
    /// the team's name.
    #[serde(rename = "q")]
    Rates {
        node: u64,
        #[serde(rename = "life")]
        incarnation: u64,
        admitted: Vec<(u32, f64)>,
    },
    /// Changed upstream entries that the sender has read from the store, sent to the other nodes of its zone.
    #[serde(rename = "r")]
    UpstreamUpdates(Vec<UpstreamUpdate>),
}

/// Current entry of an upstream, sent when the entry changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct UpstreamUpdate {
    #[serde(rename = "i")]
    pub(crate) id: UpstreamName,
    #[serde(rename = "o")]
    pub(crate) offset: LogOffset,
    /// Absent if the upstream was removed.
    #[serde(rename = "l")]
    pub(crate) entry: Option<UpstreamEntry>,
}

/// State of a node, as sent to all other nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StateMessage {
    /// Hash of the sender's name.
    #[serde(rename = "n")]
    node: u64,
    /// Hash of the name of the sender's zone.
    #[serde(rename = "z")]
    zone: u32,
    #[serde(rename = "l")]
    incarnation: u64,
    /// Wall-clock time of the sender, in milliseconds since the Unix epoch.
    #[serde(rename = "w")]
    wall_ms: u64,
    /// HTTP address at which the sender responds to its peers' queries for its cluster state.
    #[serde(rename = "x")]
    exchange_address: SocketAddr,
    /// Version of the sender's configuration, and the time in milliseconds since the sender itself last read the
    /// configuration from the store.
    #[serde(rename = "v")]
    config: (u64, u64),
    /// Digest of the sender's list of upstreams, and the time in milliseconds since the sender itself last read the
    /// list from the store.
    #[serde(rename = "u")]
    upstreams: (u64, u64),
    /// For each upstream: hash of its name, number of requests in progress, number of waiting requests among them, and
    /// uncached prompt tokens of the waiting requests.
    #[serde(rename = "p")]
    in_progress: Vec<(u32, u32, u32, u32)>,
    /// Total cost that the sender has admitted since its start for each team, by hash of the team's name.
    #[serde(rename = "a")]
    admitted: Vec<(u32, f64)>,
    /// Uncached prompt tokens per second that the sender sends to each service, by hash of the service's name.
    #[serde(rename = "d")]
    demand: Vec<(u32, f32)>,
    /// Evidence of crashes: requests that were present at a crash of an upstream, each with the id of the crash.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    evidence: Vec<(Fingerprint, u64)>,
    /// End offset of the duty topic after the sender's last claim or renewal. Present only if the sender holds the duty
    /// lease.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    duty_topic_end: Option<LogOffset>,
}

impl From<(&UpstreamEntry, LogOffset)> for UpstreamUpdate {
    fn from((entry, offset): (&UpstreamEntry, LogOffset)) -> Self {
        Self { id: entry.id.clone(), offset, entry: Some(entry.clone()) }
    }
}

/// Sends and receives gossip until the process exits.
pub(crate) async fn run<P: Platform>(node: Rc<Node<P>>, socket: Rc<UdpSocket>) -> io::Result<()> {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    let mut state_timer = Box::pin(sleep(Duration::from_millis(GOSSIP_INTERVAL_MIN_MS)));
    let mut updates_timer = Box::pin(sleep(Duration::from_millis(UPDATE_INTERVAL_MS)));
    let mut next_rates_send = Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((n_bytes, from)) => node.on_datagram(&buffer[..n_bytes], from),
                Err(err) => log::debug!("failed to receive a gossip message: {err}"),
            },
            () = node.updates_due.notified() => node.send_updates(&socket).await,
            () = async { sleep_until(next_rates_send).await; node.rates_due.notified().await } => {
                node.send_rates(&socket).await;
                let interval_ms = RATES_INTERVAL_PER_NODE_MS * node.n_nodes() as u64;
                next_rates_send = Instant::now() + Duration::from_millis(interval_ms);
            }
            () = &mut updates_timer => {
                node.send_updates(&socket).await;
                updates_timer = Box::pin(sleep(Duration::from_millis(UPDATE_INTERVAL_MS)));
            }
            () = &mut state_timer => {
                node.send_state(&socket).await;
                let has_evidence = !node.state.borrow().evidence.is_empty();
                let interval_ms =
                    if has_evidence { UPDATE_INTERVAL_MS } else { node.gossip_interval_ms() };
                state_timer = Box::pin(sleep(Duration::from_millis(interval_ms)));
            }
        }
    }
}

impl<P> Node<P> {
    /// Returns the interval between state messages.
    pub(crate) fn gossip_interval_ms(&self) -> u64 {
        GOSSIP_INTERVAL_MIN_MS * (self.n_nodes() as u64).max(SMALL_DEPLOYMENT_NODES)
            / SMALL_DEPLOYMENT_NODES
    }

    /// Returns the time without a state message after which a peer is unresponsive.
    pub(crate) fn peer_timeout_ms(&self) -> u64 {
        PEER_TIMEOUT_INTERVALS * self.gossip_interval_ms() + DELAY_ALLOWANCE_MS
    }

    /// Returns the number of reachable nodes, including this node.
    pub(crate) fn n_reachable_nodes(&self) -> usize {
        let (now_ms, timeout_ms) = (self.now_ms(), self.peer_timeout_ms());
        let state = self.state.borrow();
        1 + state.peers.values().filter(|it| it.is_reachable(timeout_ms, now_ms)).count()
    }

    /// Returns whether a reachable peer has a newer configuration than this node, or this node has none.
    pub(crate) fn is_config_outdated(&self) -> bool {
        let (now_ms, timeout_ms) = (self.now_ms(), self.peer_timeout_ms());
        let state = self.state.borrow();
        let Some(route_table) = &state.route_table else { return true };
        let mut reachable = state.peers.values().filter(|it| it.is_reachable(timeout_ms, now_ms));
        reachable.any(|it| route_table.config.version < it.config_version)
    }

    /// Returns whether this node is the store reader of its zone: no node of the zone with a smaller name hash has
    /// recently read the list of upstreams from the store.
    pub(crate) fn is_store_reader(&self) -> bool {
        let now_ms = self.now_ms();
        let age_max_ms = self.confirmation_age_max_ms();
        let (zone, node) = (self.zone_hash(), self.node_hash());
        let state = self.state.borrow();
        let mut preceding = state.peers.iter().filter(|it| it.1.zone == zone && *it.0 < node);
        !preceding.any(|it| now_ms <= it.1.upstreams_read_ms + age_max_ms)
    }

    /// Returns the maximum age of a node's own read of the list of upstreams up to which the node can be the store
    /// reader of its zone and confirms the lists of its peers: the interval between reads, plus the interval between
    /// state messages, plus an allowance for delays.
    pub(crate) fn confirmation_age_max_ms(&self) -> u64 {
        UPSTREAMS_POLL_INTERVAL_MS + self.gossip_interval_ms() + DELAY_ALLOWANCE_MS
    }
}

impl<P: Platform> Node<P> {
    async fn send_state(&self, socket: &UdpSocket) {
        let (message, addresses) = self.state_message();
        self.send_to_all(socket, &Message::State(Box::new(message)), &addresses).await;
    }

    /// Sends this node's usage counts to the holder of the duty lease. Returns whether a reachable holder is known.
    pub(crate) async fn send_counts(&self, socket: &UdpSocket) -> bool {
        // `now_ms` is this node's monotonic clock. `synced_ms` is the synchronized time, which determines the usage
        // windows.
        let (now_ms, synced_ms, timeout_ms) =
            (self.now_ms(), self.synced_ms(), self.peer_timeout_ms());
        let (counts, holder) = {
            let state = self.state.borrow();
            // The holder is known by the hash of its name (`it.0`) and the time of its last message as holder (`it.1`).
            let reachable = state.duty_holder.filter(|it| now_ms <= it.1 + timeout_ms);
            let holder =
                reachable.and_then(|it| state.peers.get(&it.0)).map(|it| it.gossip_address);
            (state.usage_counter.counts(self.instance(), self.incarnation, synced_ms), holder)
        };
        let Some(holder) = holder else { return false };
        self.send_to_all(socket, &Message::Counts(counts), &[holder]).await;
        true
    }

    /// Sends to all nodes the cost that this node has admitted for the teams whose rates need an urgent report.
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

    /// Sends the queued updates of upstream entries to the other nodes of the zone, as many in a message as fit. Nodes
    /// in other zones receive updates from the store reader of their own zone. An update stays in the queue until it
    /// has been sent several times, because datagrams get lost.
    async fn send_updates(&self, socket: &UdpSocket) {
        loop {
            let (updates, addresses) = {
                let mut state = self.state.borrow_mut();
                let zone = self.zone_hash();
                let peers = state.peers.values().filter(|it| it.zone == zone);
                let addresses: Vec<_> = peers.map(|it| it.gossip_address).collect();
                (state.take_updates_to_send(), addresses)
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
            log::error!(error:% = err; "failed to encode a gossip message");
            return;
        }
        for address in addresses {
            if let Err(err) = socket.send_to(&bytes, address).await {
                log::debug!("failed to send a gossip message to {address}: {err}");
            }
        }
    }

    /// Updates the synchronized clock and returns the current state message and the addresses of all peers.
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
            evidence: state.take_evidence_to_send(),
            duty_topic_end: state.local_duty_topic_end,
        };
        (message, state.peers.values().map(|it| it.gossip_address).collect())
    }

    fn on_datagram(&self, bytes: &[u8], from: SocketAddr) {
        let message: Message = match ciborium::from_reader(bytes) {
            Ok(it) => it,
            Err(err) => {
                log::debug!("failed to decode a gossip message from {from}: {err}");
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
        if let Some(end) = message.duty_topic_end {
            state.received_duty_topic_end = Some((end, now_ms));
            state.duty_holder = Some((message.node, now_ms));
        }
    }

    /// Applies upstream entries that another node sent.
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

/// Maximum number of usage counts from peers that are kept in case this node acquires the duty lease.
const PEER_COUNTS_MAX: usize = 4_096;
/// Maximum number of updates in one message, so that the message fits into one packet.
const UPDATES_PER_MESSAGE_MAX: usize = 12;

impl State {
    /// Handles a state message as a confirmation. If the peer has the same version of the configuration as this node,
    /// the peer's last read of the configuration counts as a read by this node. The same applies to the list of
    /// upstreams if the digests are equal.
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

    /// Handles a peer's report of the total cost that it has admitted for each team.
    fn on_rates(&mut self, node: u64, incarnation: u64, admitted: &[(u32, f64)], now_ms: u64) {
        for (team, admitted) in admitted {
            let rate = self.team_names.get(team).and_then(|it| self.rates.get_mut(it));
            if let Some(rate) = rate {
                rate.handle_report(node, incarnation, *admitted, now_ms);
            }
        }
    }

    /// Returns the updates of upstream entries for the next message. Decrements the number of times that each of them
    /// is still to be sent, and removes an update from the queue after its last time.
    fn take_updates_to_send(&mut self) -> Vec<UpstreamUpdate> {
        let due = self.upstream_updates.iter_mut().take(UPDATES_PER_MESSAGE_MAX);
        let due = due.map(|it| {
            it.1 -= 1;
            it.0.clone()
        });
        let due = due.collect();
        self.upstream_updates.retain(|it| 0 < it.1);
        due
    }

    /// Returns the evidence of crashes for the next state message. Decrements the number of times that each piece is
    /// still to be sent, and removes a piece from the queue after its last time.
    fn take_evidence_to_send(&mut self) -> Vec<(Fingerprint, u64)> {
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

//! What nodes tell each other a few times a second: load, admitted work, clocks and evidence of crashes.
//!
//! Each message is one datagram with the sender's whole state, so a lost one does no harm. Nothing that must be agreed
//! on goes this way.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use lentilhitch_policy::{placement::InProgress, usage::NodeCounts};
use lentilhitch_types::{Fingerprint, LogOffset, TeamName};

use crate::{
    clock::wall_ms,
    node::{Node, Peer, State, name_hash},
    platform::{Platform, Record},
};

/// The pause between messages in a small deployment; it grows with the nodes, so that a node's traffic does not.
const PAUSE_MS: u64 = 250;
/// Nodes up to which the pause is the shortest.
const PAUSE_NODES: u64 = 10;
/// The largest datagram that is read.
const DATAGRAM_BYTES_MAX: usize = 16 * 1024;
/// Pieces of evidence in one message.
const EVIDENCE_MAX: usize = 32;

/// One node's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Gossip {
    /// The sender, by hash of its name.
    node: u64,
    life: u64,
    wall_ms: u64,
    config_version: u64,
    exchange: SocketAddr,
    /// Requests and waiting prompt tokens at upstreams, by hash of their names.
    in_progress: Vec<(u32, InProgress)>,
    /// What each team was admitted since the start.
    admitted: Vec<(TeamName, f64)>,
    /// Uncached prompt tokens a second, by hash of the service.
    demand: Vec<(u32, f32)>,
    evidence: Vec<(Fingerprint, u64)>,
    /// Entries of upstreams that changed a moment ago.
    news: Vec<Record>,
    /// Where the topic of the duties ended at the sender's last renewal, if it holds them.
    duty: Option<LogOffset>,
    /// What the sender counted, for the holder of the duties.
    counts: Option<NodeCounts>,
}

/// Tells and hears until the process ends.
pub(crate) async fn run<P: Platform>(node: Rc<Node<P>>, socket: UdpSocket) -> io::Result<()> {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    let mut next = Box::pin(sleep(Duration::from_millis(PAUSE_MS)));
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((n_bytes, from)) => node.hear(&buffer[..n_bytes], from),
                Err(err) => log::debug!("can't receive: {err}"),
            },
            () = node.tell.notified() => node.tell(&socket).await,
            () = &mut next => {
                node.tell(&socket).await;
                let n_nodes = node.n_nodes() as u64;
                let pause_ms = PAUSE_MS * n_nodes.max(PAUSE_NODES) / PAUSE_NODES;
                next = Box::pin(sleep(Duration::from_millis(pause_ms)));
            }
        }
    }
}

impl<P: Platform> Node<P> {
    async fn tell(&self, socket: &UdpSocket) {
        let (message, addresses) = self.message();
        let mut bytes = Vec::new();
        if let Err(err) = ciborium::into_writer(&message, &mut bytes) {
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
        let true_ms = self.true_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let offsets: Vec<_> =
            state.peers.values().map(|it| (it.wall_offset_ms, it.heard_ms)).collect();
        state.true_time.update(wall_ms(), &offsets, now_ms);
        let demand = state.demand.iter_mut();
        let demand = demand.map(|(service, meter)| {
            (name_hash(service.as_str()) as u32, meter.per_s(now_ms) as f32)
        });
        let message = Gossip {
            node: name_hash(self.instance().as_str()),
            life: self.life,
            wall_ms: wall_ms(),
            config_version: state.table.as_ref().map_or(0, |it| it.config.version),
            exchange: self.settings.exchange_address,
            in_progress: state.board.report(),
            admitted: state.rates.iter().map(|it| (it.0.clone(), it.1.admitted())).collect(),
            demand: demand.collect(),
            evidence: state.take_evidence(),
            news: state.take_news(),
            duty: state.duty_news,
            counts: Some(state.tally.counts(self.instance(), self.life, true_ms)),
        };
        (message, state.peers.values().map(|it| it.gossip).collect())
    }

    fn hear(&self, bytes: &[u8], from: SocketAddr) {
        let message: Gossip = match ciborium::from_reader(bytes) {
            Ok(it) => it,
            Err(err) => {
                log::debug!("unreadable message from {from}: {err}");
                return;
            }
        };
        if message.node == name_hash(self.instance().as_str()) {
            return;
        }
        let now_ms = self.now_ms();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let peer = state.peers.entry(message.node);
        let peer = peer.or_insert_with(|| Peer::new(from, message.exchange));
        peer.gossip = from;
        peer.exchange = message.exchange;
        peer.heard_ms = now_ms;
        peer.life = message.life;
        peer.wall_offset_ms = message.wall_ms as i64 - now_ms as i64;
        peer.version = message.config_version;
        peer.demand = message.demand.iter().map(|it| (it.0, f64::from(it.1))).collect();
        state.board.hear(message.node, &message.in_progress, now_ms);
        for (team, admitted) in &message.admitted {
            if let Some(rate) = state.rates.get_mut(team) {
                rate.hear(message.node, message.life, *admitted, now_ms);
            }
        }
        for (request, crash) in message.evidence {
            state.suspects.note(request, crash);
        }
        state.peer_counts.extend(message.counts);
        let n_over = state.peer_counts.len().saturating_sub(PEER_COUNTS_MAX);
        state.peer_counts.drain(..n_over);
        if message.duty.is_some() {
            state.duty_heard = message.duty.map(|it| (it, now_ms));
        }
        drop(guard);
        self.take_news(&message.news, now_ms);
    }

    fn take_news(&self, news: &[Record], now_ms: u64) {
        let changes: Vec<_> =
            news.iter().filter_map(|it| self.take_upstream_record(it, now_ms)).collect();
        self.take_changes(&changes);
    }
}

/// Counts of peers that are kept for the case that this node gets the duties.
const PEER_COUNTS_MAX: usize = 4_096;
/// Changed entries in one message.
const NEWS_MAX: usize = 32;

impl State {
    fn take_news(&mut self) -> Vec<Record> {
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

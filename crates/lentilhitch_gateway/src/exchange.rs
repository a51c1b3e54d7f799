//! HTTP requests from other nodes and from operators, and queries to peers for their shared state.
//!
//! A node returns its shared state (the configuration, the upstreams and the nodes that it knows of), its status and
//! its metrics. A node whose store calls fail, or that starts while the store is unavailable, fetches the shared state
//! of a peer.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use lentilhitch_policy::cursor::Lag;

use crate::{
    gossip::UpstreamUpdate,
    node::{Node, Peer},
    platform::{Platform, Record},
};

const SHARED_STATE_PATH: &str = "/v1/knowledge";
const METRICS_PATH: &str = "/metrics";
const STATUS_PATH: &str = "/v1/status";
/// Interval at which a node checks whether it has to query a peer.
const CHECK_INTERVAL_MS: u64 = 250;
/// Age that the last read of the list of upstreams must reach before peers are queried.
const STORE_READ_AGE_MAX_MS: u64 = 3_000;
/// Interval between queries while the store is unavailable.
const QUERY_INTERVAL_MS: u64 = 1_000;
/// Time limit for the response of a peer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(700);

/// State that a node hands to a peer in full.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct SharedState {
    /// Encoded configuration; empty if there is none.
    config: Bytes,
    upstreams: Vec<UpstreamUpdate>,
    /// Time since the list of upstreams was read.
    upstreams_age_ms: u64,
    /// Name hash, gossip address and exchange address of each known node.
    nodes: Vec<(u64, SocketAddr, SocketAddr)>,
}

/// Status of a node, for operators.
#[derive(Serialize)]
struct Status {
    instance: String,
    config_version: u64,
    n_upstreams: usize,
    n_peers: usize,
    n_in_flight: usize,
    is_ready: bool,
}

/// Returns the body of the response to another node or an operator, or `None` if the path is unknown.
pub(crate) fn response_body<P: Platform>(
    node: &Node<P>,
    path: &str,
) -> anyhow::Result<Option<Bytes>> {
    Ok(match path {
        SHARED_STATE_PATH => Some(node.shared_state()?),
        METRICS_PATH => Some(Bytes::from(node.metrics.render()?)),
        STATUS_PATH => Some(node.status()?),
        _ => None,
    })
}

/// Queries a peer whenever a newer configuration is overdue or the store is unavailable.
pub(crate) async fn run<P: Platform>(node: Rc<Node<P>>) {
    let client = match reqwest::Client::builder().no_proxy().timeout(QUERY_TIMEOUT).build() {
        Ok(it) => it,
        Err(err) => {
            log::error!(error:% = err; "can't create the HTTP client for queries to peers");
            return;
        }
    };
    let mut queried_ms = 0;
    let mut lag = Lag::default();
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let now_ms = node.now_ms();
        let is_overdue = lag.update(node.is_config_outdated(), now_ms);
        let Some(address) = node.peer_to_query(is_overdue, queried_ms, now_ms) else { continue };
        queried_ms = now_ms;
        match fetch_shared_state(&client, address).await {
            Ok(shared_state) => node.apply_shared_state(&shared_state),
            Err(err) => log::info!(peer:% = address, error:% = err; "query to a peer failed"),
        }
    }
}

async fn fetch_shared_state(
    client: &reqwest::Client,
    address: SocketAddr,
) -> anyhow::Result<SharedState> {
    let response = client.get(format!("http://{address}{SHARED_STATE_PATH}")).send().await?;
    let bytes = response.error_for_status()?.bytes().await?;
    Ok(ciborium::from_reader(&bytes[..])?)
}

impl<P: Platform> Node<P> {
    /// Returns this node's shared state, encoded as CBOR.
    fn shared_state(&self) -> anyhow::Result<Bytes> {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        let shared_state = SharedState {
            config: state.config_text.clone(),
            upstreams: state.catalog.entries().map(UpstreamUpdate::from).collect(),
            upstreams_age_ms: state.catalog.age_ms(now_ms).unwrap_or(u64::MAX),
            nodes: state
                .peers
                .iter()
                .map(|it| (*it.0, it.1.gossip_address, it.1.exchange_address))
                .collect(),
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&shared_state, &mut bytes)?;
        Ok(bytes.into())
    }

    /// Returns the status of this node as JSON.
    fn status(&self) -> anyhow::Result<Bytes> {
        let is_ready = self.is_ready();
        let state = self.state.borrow();
        let status = Status {
            instance: self.instance().to_string(),
            config_version: state.route_table.as_ref().map_or(0, |it| it.config.version),
            n_upstreams: state.catalog.iter().count(),
            n_peers: state.peers.len(),
            n_in_flight: self.n_in_flight.get(),
            is_ready,
        };
        Ok(serde_json::to_vec(&status)?.into())
    }

    /// Returns the exchange address of the peer to query now, if any. `is_config_overdue` means that a peer has a newer
    /// configuration which the store has not delivered in time.
    fn peer_to_query(
        &self,
        is_config_overdue: bool,
        queried_ms: u64,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let timeout_ms = self.peer_timeout_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if is_config_overdue {
            let version = state.route_table.as_ref().map_or(0, |it| it.config.version);
            let newer = state.peers.values().filter(|it| version < it.config_version);
            let reachable = newer.filter(|it| it.is_reachable(timeout_ms, now_ms));
            if let Some(peer) = reachable.choose(&mut state.rng) {
                return Some(peer.exchange_address);
            }
        }
        let read_age_ms = state.catalog.age_ms(now_ms).unwrap_or(u64::MAX);
        if read_age_ms < STORE_READ_AGE_MAX_MS || now_ms < queried_ms + QUERY_INTERVAL_MS {
            return None;
        }
        let reachable: Vec<_> =
            state.peers.values().filter(|it| it.is_reachable(timeout_ms, now_ms)).collect();
        let round = (now_ms / QUERY_INTERVAL_MS) as usize;
        let local_address = self.settings.exchange_address;
        let seeds: Vec<_> = self.settings.seeds.iter().filter(|it| **it != local_address).collect();
        match (reachable.is_empty(), seeds.is_empty()) {
            (false, _) => Some(reachable[round % reachable.len()].exchange_address),
            (true, false) => Some(*seeds[round % seeds.len()]),
            (true, true) => None,
        }
    }

    /// Applies the state of a peer where it is newer than this node's state, and adds nodes that are not known yet.
    fn apply_shared_state(&self, shared_state: &SharedState) {
        let now_ms = self.now_ms();
        if !shared_state.config.is_empty() {
            let record = Record { value: Some(shared_state.config.clone()), ..Record::default() };
            self.apply_config_record(record, "peer");
        }
        let age_ms = self.state.borrow().catalog.age_ms(now_ms).unwrap_or(u64::MAX);
        if shared_state.upstreams_age_ms < age_ms {
            self.apply_updates(shared_state.upstreams.clone());
        }
        let mut state = self.state.borrow_mut();
        for (node, gossip_address, exchange_address) in &shared_state.nodes {
            if *gossip_address != self.settings.gossip_address {
                let peer = || Peer {
                    last_listed_ms: now_ms,
                    ..Peer::new(*gossip_address, *exchange_address)
                };
                state.peers.entry(*node).or_insert_with(peer);
            }
        }
    }
}

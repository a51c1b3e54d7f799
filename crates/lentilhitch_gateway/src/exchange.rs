//! What a node tells others on request: the configuration, the upstreams and the nodes it knows of, and its metrics.
//!
//! A node that the store turns away, or that starts while the store is down, asks its peers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use lentilhitch_policy::cursor::Lag;

use crate::{
    gossip::News,
    node::{Node, Peer},
    platform::{Platform, Record},
};

const KNOWLEDGE_PATH: &str = "/v1/knowledge";
const METRICS_PATH: &str = "/metrics";
const STATUS_PATH: &str = "/v1/status";
/// How often a node checks whether its peers know more.
const CHECK_MS: u64 = 250;
/// Age of the last reading of the store from which on peers are asked.
const STORE_OLD_MS: u64 = 3_000;
/// The pause between questions while the store is out of reach.
const ASK_PAUSE_MS: u64 = 1_000;
/// How long a peer may take to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);

/// All that a node knows of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Knowledge {
    config: Bytes,
    upstreams: Vec<News>,
    /// How long ago the list of upstreams was read.
    upstreams_age_ms: u64,
    /// Gossip and exchange addresses.
    nodes: Vec<(u64, SocketAddr, SocketAddr)>,
}

/// How a node stands, for operators.
#[derive(Serialize)]
struct Status {
    instance: String,
    config_version: u64,
    n_upstreams: usize,
    n_peers: usize,
    n_in_flight: usize,
    is_ready: bool,
}

/// Answers a question of a node or an operator.
pub(crate) fn answer<P: Platform>(node: &Node<P>, path: &str) -> anyhow::Result<Option<Bytes>> {
    Ok(match path {
        KNOWLEDGE_PATH => Some(node.knowledge()?),
        METRICS_PATH => Some(Bytes::from(node.metrics.render()?)),
        STATUS_PATH => Some(node.status()?),
        _ => None,
    })
}

/// Asks peers whenever they know a newer configuration or the store is out of reach.
pub(crate) async fn run<P: Platform>(node: Rc<Node<P>>) {
    let client = match reqwest::Client::builder().no_proxy().timeout(ASK_TIMEOUT).build() {
        Ok(it) => it,
        Err(err) => {
            log::error!(error:% = err; "peers can't be asked");
            return;
        }
    };
    let mut asked_ms = 0;
    let mut lag = Lag::default();
    loop {
        sleep(Duration::from_millis(CHECK_MS)).await;
        let now_ms = node.now_ms();
        let asks_newer = lag.update(node.is_behind(), now_ms);
        let Some(address) = node.whom_to_ask(asks_newer, asked_ms, now_ms) else { continue };
        asked_ms = now_ms;
        match ask(&client, address).await {
            Ok(knowledge) => node.take_knowledge(&knowledge),
            Err(err) => log::info!(peer:% = address, error:% = err; "peer can't be asked"),
        }
    }
}

async fn ask(client: &reqwest::Client, address: SocketAddr) -> anyhow::Result<Knowledge> {
    let response = client.get(format!("http://{address}{KNOWLEDGE_PATH}")).send().await?;
    let bytes = response.error_for_status()?.bytes().await?;
    Ok(ciborium::from_reader(&bytes[..])?)
}

impl<P: Platform> Node<P> {
    fn knowledge(&self) -> anyhow::Result<Bytes> {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        let knowledge = Knowledge {
            config: state.config_text.clone(),
            upstreams: state.catalog.entries().map(News::from).collect(),
            upstreams_age_ms: state.catalog.age_ms(now_ms).unwrap_or(u64::MAX),
            nodes: state.peers.iter().map(|it| (*it.0, it.1.gossip, it.1.exchange)).collect(),
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&knowledge, &mut bytes)?;
        Ok(bytes.into())
    }

    fn status(&self) -> anyhow::Result<Bytes> {
        let is_ready = self.is_ready();
        let state = self.state.borrow();
        let status = Status {
            instance: self.instance().to_string(),
            config_version: state.table.as_ref().map_or(0, |it| it.config.version),
            n_upstreams: state.catalog.iter().count(),
            n_peers: state.peers.len(),
            n_in_flight: self.n_in_flight.get(),
            is_ready,
        };
        Ok(serde_json::to_vec(&status)?.into())
    }

    /// `asks_newer` says that a peer's newer configuration did not come from the store in time.
    fn whom_to_ask(&self, asks_newer: bool, asked_ms: u64, now_ms: u64) -> Option<SocketAddr> {
        let silent_ms = self.silent_after_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if asks_newer {
            let version = state.table.as_ref().map_or(0, |it| it.config.version);
            let newer = state.peers.values().filter(|it| version < it.version);
            let heard = newer.filter(|it| it.is_heard(silent_ms, now_ms));
            if let Some(peer) = heard.choose(&mut state.rng) {
                return Some(peer.exchange);
            }
        }
        let read_age_ms = state.catalog.age_ms(now_ms).unwrap_or(u64::MAX);
        if read_age_ms < STORE_OLD_MS || now_ms < asked_ms + ASK_PAUSE_MS {
            return None;
        }
        let heard: Vec<_> =
            state.peers.values().filter(|it| it.is_heard(silent_ms, now_ms)).collect();
        let turn = (now_ms / ASK_PAUSE_MS) as usize;
        let own = self.settings.exchange_address;
        let seeds: Vec<_> = self.settings.seeds.iter().filter(|it| **it != own).collect();
        match (heard.is_empty(), seeds.is_empty()) {
            (false, _) => Some(heard[turn % heard.len()].exchange),
            (true, false) => Some(*seeds[turn % seeds.len()]),
            (true, true) => None,
        }
    }

    fn take_knowledge(&self, knowledge: &Knowledge) {
        let now_ms = self.now_ms();
        if !knowledge.config.is_empty() {
            let record = Record { value: Some(knowledge.config.clone()), ..Record::default() };
            self.take_config_record(record, "peer");
        }
        let age_ms = self.state.borrow().catalog.age_ms(now_ms).unwrap_or(u64::MAX);
        if knowledge.upstreams_age_ms < age_ms {
            self.take_news(knowledge.upstreams.clone());
        }
        let mut state = self.state.borrow_mut();
        for (node, gossip, exchange) in &knowledge.nodes {
            if *gossip != self.settings.gossip_address {
                let peer = || Peer { listed_ms: now_ms, ..Peer::new(*gossip, *exchange) };
                state.peers.entry(*node).or_insert_with(peer);
            }
        }
    }
}

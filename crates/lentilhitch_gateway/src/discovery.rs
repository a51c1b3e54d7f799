//! Following the store: the configuration, the list of upstreams and the other nodes.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use rand::RngExt as _;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use lentilhitch_policy::{
    catalog::Change,
    cursor::{self, CallResult, Cursor, NextCall},
};
use lentilhitch_types::LogOffset;

use crate::{
    gossip::News,
    node::{Node, Peer, name_hash},
    platform::{CallError, Listing, Platform, ReadResult, Record, Topic},
};

/// How long a reading of the configuration waits for news. A connection that has gone silent is noticed this late.
const CONFIG_WAIT_MS: u64 = 3_000;
/// The pause between them, for the case that a reading returns at once without news.
const CONFIG_PAUSE_MS: u64 = 50;
/// The pause between readings of the upstreams. Each one writes about once a second, so waiting would return at once.
/// Nodes read at different times, and the first to see a change tells the others.
pub(crate) const UPSTREAMS_PAUSE_MS: u64 = 1_000;
/// How often a node lists itself and reads the list of nodes.
/// In a larger deployment the pause grows with the nodes.
const NODES_PAUSE_MS: u64 = 12_000;
/// Nodes up to which that pause is the shortest.
const NODES_PAUSE_NODES: u64 = 12;
/// How often a node that does not read looks whether it has to.
const LOOK: Duration = Duration::from_millis(100);
/// Logs the loss and the return of a topic once each.
struct Contact {
    topic: &'static str,
    is_lost: bool,
}

impl Contact {
    fn new(topic: &'static str) -> Self {
        Self { topic, is_lost: false }
    }

    fn note<P, T>(&mut self, node: &Node<P>, res: &Result<T, CallError>) {
        node.metrics.store_call(self.topic, res.is_ok());
        match res {
            Err(err) if !self.is_lost => {
                self.is_lost = true;
                log::warn!(topic = self.topic, error:% = err; "store lost");
            }
            Ok(_) if self.is_lost => {
                self.is_lost = false;
                log::info!(topic = self.topic; "store regained");
            }
            _ => {}
        }
    }
}

/// Keeps the newest configuration in force.
pub(crate) async fn follow_config<P: Platform>(node: Rc<Node<P>>) {
    let mut contact = Contact::new("config");
    let settings =
        cursor::Settings { poll_interval_ms: CONFIG_PAUSE_MS, ..cursor::Settings::default() };
    let mut cursor = Cursor::new(settings);
    loop {
        if node.is_config_vouched() {
            sleep(LOOK).await;
            continue;
        }
        let res = next_records(&node, Topic::Config, cursor.next_call(), CONFIG_WAIT_MS).await;
        contact.note(&node, &res);
        let result = match res {
            Ok(Followed::Records { records, next, .. }) => {
                node.note_config_reading();
                for record in records {
                    node.take_config_record(record, "store");
                }
                CallResult::UpTo(next)
            }
            Ok(Followed::Expired) => CallResult::Expired,
            Err(_) => CallResult::Failed,
        };
        node.pause_after(&mut cursor, result).await;
    }
}

/// Keeps the list of upstreams.
pub(crate) async fn follow_upstreams<P: Platform>(node: Rc<Node<P>>) {
    let mut contact = Contact::new("upstreams");
    let settings =
        cursor::Settings { poll_interval_ms: UPSTREAMS_PAUSE_MS, ..cursor::Settings::default() };
    let mut cursor = Cursor::new(settings);
    loop {
        if node.is_list_vouched() {
            sleep(LOOK).await;
            continue;
        }
        let res = next_records(&node, Topic::Upstreams, cursor.next_call(), 0).await;
        contact.note(&node, &res);
        let result = match res {
            Ok(Followed::Records { records, next, is_whole }) => {
                if is_whole {
                    node.take_upstream_list(&records, next);
                } else {
                    node.take_upstream_records(&records);
                }
                CallResult::UpTo(next)
            }
            Ok(Followed::Expired) => CallResult::Expired,
            Err(_) => {
                let now_ms = node.now_ms();
                node.state.borrow_mut().catalog.on_read_failed(now_ms);
                CallResult::Failed
            }
        };
        node.pause_after(&mut cursor, result).await;
    }
}

/// What a topic holds from some place on.
enum Followed {
    Records {
        records: Vec<Record>,
        next: LogOffset,
        /// The newest of every key, not only what is new.
        is_whole: bool,
    },
    Expired,
}

/// Makes one call. The caller logs a failure.
async fn next_records<P: Platform>(
    node: &Node<P>,
    topic: Topic,
    step: NextCall,
    wait_ms: u64,
) -> Result<Followed, CallError> {
    match step {
        NextCall::List => {
            let Listing { records, next } = node.platform.list(topic).await?;
            Ok(Followed::Records { records, next, is_whole: true })
        }
        NextCall::Read(from) => Ok(match node.platform.read(topic, from, wait_ms).await? {
            ReadResult::Records { records, next } => {
                Followed::Records { records, next, is_whole: false }
            }
            ReadResult::Expired { .. } => Followed::Expired,
        }),
    }
}

/// Drops upstreams whose entries lapsed, and connections that were idle too long.
pub(crate) async fn tick<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(TICK).await;
        let now_ms = node.now_ms();
        let changes = node.state.borrow_mut().catalog.tick(now_ms);
        node.take_changes(&changes);
        node.pool.close_expired(now_ms);
    }
}

const TICK: Duration = Duration::from_millis(200);

/// How often news is told, since datagrams get lost.
const NEWS_TELLINGS: u8 = 3;

/// How a node lists itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeRecord {
    pub(crate) gossip: SocketAddr,
    pub(crate) exchange: SocketAddr,
    pub(crate) life: u64,
    /// Changes with each writing, so that readers see that the node runs.
    pub(crate) written_ms: u64,
}

/// Lists this node and learns of the others.
pub(crate) async fn follow_nodes<P: Platform>(node: Rc<Node<P>>) {
    let mut contact = Contact::new("nodes");
    loop {
        let res = node.list_nodes().await;
        contact.note(&node, &res);
        node.drop_peers(res.is_ok());
        let pause_ms = if res.is_ok() { node.nodes_pause_ms() } else { NODES_PAUSE_MS / 5 };
        let jittered_ms = node.state.borrow_mut().rng.random_range(pause_ms / 2..=pause_ms);
        sleep(Duration::from_millis(jittered_ms)).await;
    }
}

impl<P> Node<P> {
    /// Waits as long as the end of a call asks for.
    async fn pause_after(&self, cursor: &mut Cursor, result: CallResult) {
        let wait_ms = cursor.on_result(result, &mut self.state.borrow_mut().rng);
        sleep(Duration::from_millis(wait_ms)).await;
    }

    /// The store told this node what the newest configuration is.
    fn note_config_reading(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        state.config_read_ms = now_ms;
        state.own_config_read_ms = now_ms;
    }

    /// The pause between entries of this node in the list of nodes.
    pub(crate) fn nodes_pause_ms(&self) -> u64 {
        NODES_PAUSE_MS * (self.n_nodes() as u64).max(NODES_PAUSE_NODES) / NODES_PAUSE_NODES
    }

    /// Whether another node reads the list of upstreams for this one.
    fn is_list_vouched(&self) -> bool {
        let age_ms = self.state.borrow().catalog.age_ms(self.now_ms());
        age_ms.is_some_and(|it| it <= self.vouched_ms()) && !self.is_reader()
    }

    /// Whether another node waits for the next configuration for this one. A node that hears of a newer one reads it
    /// itself: the store bears that better than the few nodes that have it already.
    fn is_config_vouched(&self) -> bool {
        let read_ms = self.state.borrow().config_read_ms;
        let is_fresh = self.now_ms() <= read_ms + CONFIG_WAIT_MS + self.vouched_ms();
        is_fresh && !self.is_behind() && !self.is_reader()
    }
}

impl<P: Platform> Node<P> {
    pub(crate) fn take_config_record(&self, record: Record, source: &'static str) {
        let Some(value) = record.value else { return };
        match P::decode_config(&value) {
            Ok(config) => self.apply_config(config, value, source),
            Err(err) => log::warn!(error = err.as_str(), source; "unreadable configuration"),
        }
    }

    fn take_upstream_records(&self, records: &[Record]) {
        let now_ms = self.now_ms();
        let outage_ms = self.settings.upstream_heartbeat_ms;
        {
            let mut state = self.state.borrow_mut();
            state.own_list_read_ms = now_ms;
            state.catalog.start_read(now_ms, outage_ms);
        }
        for record in records {
            if let Some(change) = self.take_upstream_record(record, now_ms) {
                self.take_changes(std::slice::from_ref(&change));
                self.pass_on(record.offset, &change);
            }
        }
    }

    /// Tells the peers of a changed entry at once.
    fn pass_on(&self, offset: LogOffset, change: &Change) {
        let id = change.upstream().clone();
        let mut state = self.state.borrow_mut();
        let listed = state.catalog.get(&id).map(|it| it.entry.clone());
        state.news.push((News { id, offset, listed }, NEWS_TELLINGS));
        self.tell.notify_one();
    }

    /// Takes one entry of an upstream, from the store or a peer.
    pub(crate) fn take_upstream_record(&self, record: &Record, now_ms: u64) -> Option<Change> {
        let mut state = self.state.borrow_mut();
        if record.value.is_none() {
            let id = record.key.parse().ok()?;
            return state.catalog.remove(&id, record.offset, now_ms);
        }
        match P::decode_upstream(record) {
            Ok(listed) => state.catalog.insert(listed, record.offset, now_ms),
            Err(err) => {
                log::debug!("unreadable entry of {}: {err}", record.key);
                None
            }
        }
    }

    /// Takes the whole list; entries that can't be read leave what is known of their upstreams as it is.
    fn take_upstream_list(&self, records: &[Record], end: LogOffset) {
        let now_ms = self.now_ms();
        let outage_ms = self.settings.upstream_heartbeat_ms;
        let mut state = self.state.borrow_mut();
        let mut listed = Vec::new();
        for record in records {
            match P::decode_upstream(record) {
                Ok(it) => {
                    listed.push((it, record.offset));
                }
                Err(err) => {
                    log::debug!("unreadable entry of {}: {err}", record.key);
                    let known = record.key.parse().ok();
                    let known = known.and_then(|it| state.catalog.get(&it));
                    listed.extend(known.map(|it| (it.entry.clone(), record.offset)));
                }
            }
        }
        state.own_list_read_ms = now_ms;
        state.catalog.start_read(now_ms, outage_ms);
        let changes = state.catalog.replace(listed, end, now_ms);
        drop(state);
        self.take_changes(&changes);
    }

    async fn list_nodes(&self) -> Result<(), CallError> {
        let own = NodeRecord {
            gossip: self.settings.gossip_address,
            exchange: self.settings.exchange_address,
            life: self.life,
            written_ms: self.now_ms(),
        };
        let mut value = Vec::new();
        if let Err(err) = ciborium::into_writer(&own, &mut value) {
            return Err(CallError::NotDone(err.to_string()));
        }
        let key = self.instance().to_string();
        let record = Record { key, value: Some(Bytes::from(value)), ..Record::default() };
        self.platform.append(Topic::Nodes, record, None).await?;
        let listing = self.platform.list(Topic::Nodes).await?;
        let now_ms = self.now_ms();
        for record in listing.records {
            self.take_node_record(&record, now_ms);
        }
        Ok(())
    }

    fn take_node_record(&self, record: &Record, now_ms: u64) {
        let Some(value) = &record.value else { return };
        if record.key == self.instance().as_str() {
            return;
        }
        let read: Result<NodeRecord, _> = ciborium::from_reader(&value[..]);
        let read = match read {
            Ok(it) => it,
            Err(err) => {
                log::warn!(node = record.key.as_str(), error:% = err; "unreadable entry of a node");
                return;
            }
        };
        let mut state = self.state.borrow_mut();
        let known = state.peers.entry(name_hash(&record.key)).or_insert_with(|| {
            log::info!(node = record.key.as_str(); "node found");
            Peer::new(read.gossip, read.exchange)
        });
        if known.listed != (read.life, read.written_ms) {
            known.listed_ms = now_ms;
        }
        known.listed = (read.life, read.written_ms);
        known.gossip = read.gossip;
        known.exchange = read.exchange;
    }
}

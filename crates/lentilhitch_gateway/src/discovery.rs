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
    gossip::UpstreamUpdate,
    node::{Node, Peer, name_hash},
    platform::{CallError, Listing, Platform, ReadResult, Record, Topic},
};

/// How long a reading of the configuration waits for news. A connection that has gone silent is noticed this late.
const CONFIG_READ_WAIT_MS: u64 = 3_000;
/// The pause between them, for the case that a reading returns at once without news.
const CONFIG_POLL_INTERVAL_MS: u64 = 50;
/// The pause between readings of the upstreams. Each one writes about once a second, so waiting would return at once.
/// Nodes read at different times, and the first to see a change tells the others.
pub(crate) const UPSTREAMS_POLL_INTERVAL_MS: u64 = 1_000;
/// How often a node lists itself and reads the list of nodes.
/// In a larger deployment the pause grows with the nodes.
const NODES_INTERVAL_MS: u64 = 12_000;
/// Nodes up to which that pause is the shortest.
const NODES_INTERVAL_NODES: u64 = 12;
/// How often a node that does not read looks whether it has to.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Logs the loss and the return of a topic once each.
struct TopicStatus {
    topic: &'static str,
    is_lost: bool,
}

impl TopicStatus {
    fn new(topic: &'static str) -> Self {
        Self { topic, is_lost: false }
    }

    fn on_result<P, T>(&mut self, node: &Node<P>, res: &Result<T, CallError>) {
        node.metrics.record_store_call(self.topic, res.is_ok());
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
    let mut topic_status = TopicStatus::new("config");
    let settings = cursor::Settings {
        poll_interval_ms: CONFIG_POLL_INTERVAL_MS,
        ..cursor::Settings::default()
    };
    let mut cursor = Cursor::new(settings);
    loop {
        if node.is_config_confirmed() {
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let res =
            fetch_records(&node, Topic::Config, cursor.next_call(), CONFIG_READ_WAIT_MS).await;
        topic_status.on_result(&node, &res);
        let result = match res {
            Ok(FetchResult::Records { records, next, .. }) => {
                node.record_config_read();
                for record in records {
                    node.apply_config_record(record, "store");
                }
                CallResult::UpTo(next)
            }
            Ok(FetchResult::Expired) => CallResult::Expired,
            Err(_) => CallResult::Failed,
        };
        node.wait_after(&mut cursor, result).await;
    }
}

/// Keeps the list of upstreams.
pub(crate) async fn follow_upstreams<P: Platform>(node: Rc<Node<P>>) {
    let mut topic_status = TopicStatus::new("upstreams");
    let settings = cursor::Settings {
        poll_interval_ms: UPSTREAMS_POLL_INTERVAL_MS,
        ..cursor::Settings::default()
    };
    let mut cursor = Cursor::new(settings);
    loop {
        if node.is_list_confirmed() {
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let res = fetch_records(&node, Topic::Upstreams, cursor.next_call(), 0).await;
        topic_status.on_result(&node, &res);
        let result = match res {
            Ok(FetchResult::Records { records, next, is_complete }) => {
                if is_complete {
                    node.apply_upstream_list(&records, next);
                } else {
                    node.apply_upstream_records(&records);
                }
                CallResult::UpTo(next)
            }
            Ok(FetchResult::Expired) => CallResult::Expired,
            Err(_) => {
                let now_ms = node.now_ms();
                node.state.borrow_mut().catalog.on_read_failed(now_ms);
                CallResult::Failed
            }
        };
        node.wait_after(&mut cursor, result).await;
    }
}

/// What a topic holds from some place on.
enum FetchResult {
    Records {
        records: Vec<Record>,
        next: LogOffset,
        /// The newest of every key, not only what is new.
        is_complete: bool,
    },
    Expired,
}

/// Makes one call. The caller logs a failure.
async fn fetch_records<P: Platform>(
    node: &Node<P>,
    topic: Topic,
    call: NextCall,
    wait_ms: u64,
) -> Result<FetchResult, CallError> {
    match call {
        NextCall::List => {
            let Listing { records, next } = node.platform.list(topic).await?;
            Ok(FetchResult::Records { records, next, is_complete: true })
        }
        NextCall::Read(from) => Ok(match node.platform.read(topic, from, wait_ms).await? {
            ReadResult::Records { records, next } => {
                FetchResult::Records { records, next, is_complete: false }
            }
            ReadResult::Expired { .. } => FetchResult::Expired,
        }),
    }
}

/// Drops upstreams whose entries lapsed, and connections that were idle too long.
pub(crate) async fn tick<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(TICK).await;
        let now_ms = node.now_ms();
        let changes = node.state.borrow_mut().catalog.tick(now_ms);
        node.apply_changes(&changes);
        node.pool.sweep(now_ms);
    }
}

const TICK: Duration = Duration::from_millis(200);

/// How often news is told, since datagrams get lost.
const UPDATE_SENDS: u8 = 3;

/// How a node lists itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeRecord {
    pub(crate) gossip: SocketAddr,
    pub(crate) exchange: SocketAddr,
    #[serde(rename = "life")]
    pub(crate) incarnation: u64,
    /// Changes with each writing, so that readers see that the node runs.
    pub(crate) written_ms: u64,
}

/// Lists this node and learns of the others.
pub(crate) async fn follow_nodes<P: Platform>(node: Rc<Node<P>>) {
    let mut topic_status = TopicStatus::new("nodes");
    loop {
        let res = node.refresh_nodes().await;
        topic_status.on_result(&node, &res);
        node.drop_expired_peers(res.is_ok());
        let interval_ms =
            if res.is_ok() { node.nodes_interval_ms() } else { NODES_INTERVAL_MS / 5 };
        let jittered_ms = node.state.borrow_mut().rng.random_range(interval_ms / 2..=interval_ms);
        sleep(Duration::from_millis(jittered_ms)).await;
    }
}

impl<P> Node<P> {
    /// Waits as long as the end of a call asks for.
    async fn wait_after(&self, cursor: &mut Cursor, result: CallResult) {
        let wait_ms = cursor.on_result(result, &mut self.state.borrow_mut().rng);
        sleep(Duration::from_millis(wait_ms)).await;
    }

    /// The store told this node what the newest configuration is.
    fn record_config_read(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        state.config_read_ms = now_ms;
        state.local_config_read_ms = now_ms;
    }

    /// The pause between entries of this node in the list of nodes.
    pub(crate) fn nodes_interval_ms(&self) -> u64 {
        NODES_INTERVAL_MS * (self.n_nodes() as u64).max(NODES_INTERVAL_NODES) / NODES_INTERVAL_NODES
    }

    /// Whether another node reads the list of upstreams for this one.
    fn is_list_confirmed(&self) -> bool {
        let age_ms = self.state.borrow().catalog.age_ms(self.now_ms());
        age_ms.is_some_and(|it| it <= self.confirmation_age_max_ms()) && !self.is_store_reader()
    }

    /// Whether another node waits for the next configuration for this one. A node that hears of a newer one reads it
    /// itself: the store bears that better than the few nodes that have it already.
    fn is_config_confirmed(&self) -> bool {
        let read_ms = self.state.borrow().config_read_ms;
        let is_fresh =
            self.now_ms() <= read_ms + CONFIG_READ_WAIT_MS + self.confirmation_age_max_ms();
        is_fresh && !self.is_behind() && !self.is_store_reader()
    }
}

impl<P: Platform> Node<P> {
    pub(crate) fn apply_config_record(&self, record: Record, source: &'static str) {
        let Some(value) = record.value else { return };
        match P::decode_config(&value) {
            Ok(config) => self.apply_config(config, value, source),
            Err(err) => log::warn!(error = err.as_str(), source; "unreadable configuration"),
        }
    }

    fn apply_upstream_records(&self, records: &[Record]) {
        let now_ms = self.now_ms();
        let outage_ms = self.settings.upstream_heartbeat_ms;
        {
            let mut state = self.state.borrow_mut();
            state.local_list_read_ms = now_ms;
            state.catalog.start_read(now_ms, outage_ms);
        }
        for record in records {
            if let Some(change) = self.apply_upstream_record(record, now_ms) {
                self.apply_changes(std::slice::from_ref(&change));
                self.queue_update(record.offset, &change);
            }
        }
    }

    /// Tells the peers of a changed entry at once.
    fn queue_update(&self, offset: LogOffset, change: &Change) {
        let id = change.upstream().clone();
        let mut state = self.state.borrow_mut();
        let entry = state.catalog.get(&id).map(|it| it.entry.clone());
        state.updates.push((UpstreamUpdate { id, offset, entry }, UPDATE_SENDS));
        self.updates_due.notify_one();
    }

    /// Takes one entry of an upstream, from the store or a peer.
    pub(crate) fn apply_upstream_record(&self, record: &Record, now_ms: u64) -> Option<Change> {
        let mut state = self.state.borrow_mut();
        if record.value.is_none() {
            let id = record.key.parse().ok()?;
            return state.catalog.remove(&id, record.offset, now_ms);
        }
        match P::decode_upstream(record) {
            Ok(entry) => state.catalog.insert(entry, record.offset, now_ms),
            Err(err) => {
                log::debug!("unreadable entry of {}: {err}", record.key);
                None
            }
        }
    }

    /// Takes the whole list; entries that can't be read leave what is known of their upstreams as it is.
    fn apply_upstream_list(&self, records: &[Record], end: LogOffset) {
        let now_ms = self.now_ms();
        let outage_ms = self.settings.upstream_heartbeat_ms;
        let mut state = self.state.borrow_mut();
        let mut entries = Vec::new();
        for record in records {
            match P::decode_upstream(record) {
                Ok(it) => {
                    entries.push((it, record.offset));
                }
                Err(err) => {
                    log::debug!("unreadable entry of {}: {err}", record.key);
                    let id = record.key.parse().ok();
                    let known = id.and_then(|it| state.catalog.get(&it));
                    entries.extend(known.map(|it| (it.entry.clone(), record.offset)));
                }
            }
        }
        state.local_list_read_ms = now_ms;
        state.catalog.start_read(now_ms, outage_ms);
        let changes = state.catalog.replace(entries, end, now_ms);
        drop(state);
        self.apply_changes(&changes);
    }

    async fn refresh_nodes(&self) -> Result<(), CallError> {
        let local_record = NodeRecord {
            gossip: self.settings.gossip_address,
            exchange: self.settings.exchange_address,
            incarnation: self.incarnation,
            written_ms: self.now_ms(),
        };
        let mut value = Vec::new();
        if let Err(err) = ciborium::into_writer(&local_record, &mut value) {
            return Err(CallError::NotDone(err.to_string()));
        }
        let key = self.instance().to_string();
        let record = Record { key, value: Some(Bytes::from(value)), ..Record::default() };
        self.platform.append(Topic::Nodes, record, None).await?;
        let listing = self.platform.list(Topic::Nodes).await?;
        let now_ms = self.now_ms();
        for record in listing.records {
            self.apply_node_record(&record, now_ms);
        }
        Ok(())
    }

    fn apply_node_record(&self, record: &Record, now_ms: u64) {
        let Some(value) = &record.value else { return };
        if record.key == self.instance().as_str() {
            return;
        }
        let decoded: Result<NodeRecord, _> = ciborium::from_reader(&value[..]);
        let node_record = match decoded {
            Ok(it) => it,
            Err(err) => {
                log::warn!(node = record.key.as_str(), error:% = err; "unreadable entry of a node");
                return;
            }
        };
        let mut state = self.state.borrow_mut();
        let peer = state.peers.entry(name_hash(&record.key)).or_insert_with(|| {
            log::info!(node = record.key.as_str(); "node found");
            Peer::new(node_record.gossip, node_record.exchange)
        });
        if peer.last_record != (node_record.incarnation, node_record.written_ms) {
            peer.last_listed_ms = now_ms;
        }
        peer.last_record = (node_record.incarnation, node_record.written_ms);
        peer.gossip_address = node_record.gossip;
        peer.exchange_address = node_record.exchange;
    }
}

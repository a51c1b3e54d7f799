//! Discovery of the configuration, the upstreams and the other nodes through the store.
//!
//! The store reader of a zone reads the configuration and the list of upstreams. The other nodes of the zone read them
//! only if no peer confirms that their copies are current. Every node reads the list of nodes itself.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use rand::RngExt as _;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use lentilhitch_policy::{
    catalog::Change,
    cursor::{self, CallResult, Cursor, NextCall},
    gossip::message::NodeAddress,
    traffic::UpstreamEntry,
};
use lentilhitch_types::LogPosition;

use crate::{
    gossip::UpstreamUpdate,
    node::{Node, name_hash},
    platform::{CallError, Listing, Platform, ReadResult, Record, Topic},
};

/// Interval between reads of the list of upstreams. Each upstream writes about once a second, so a read that waits for
/// a new record would return almost immediately. Nodes read at different times, and a node that reads a changed entry
/// sends it to the other nodes of its zone.
pub(crate) const UPSTREAMS_POLL_INTERVAL_MS: u64 = 1_000;
/// Interval at which a node writes its own record and reads the list of nodes, in a small deployment. In a larger one
/// the interval grows with the number of nodes. Up to half of it is subtracted at random.
const NODES_POLL_INTERVAL_MS: u64 = 12_000;
/// Number of nodes up to which the interval stays at `NODES_POLL_INTERVAL_MS`.
const SMALL_DEPLOYMENT_NODES: u64 = 12;
/// Interval at which a node whose copies are confirmed by a peer checks whether it must read the store itself.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Availability of a topic of the store. Logs the start and the end of an outage once each.
struct TopicStatus {
    topic: &'static str,
    outage: Option<Outage>,
}

/// Calls that have failed since the last one that succeeded.
struct Outage {
    /// When the first call that failed was sent.
    since_ms: u64,
    n_failed: u32,
    longest_call_ms: u64,
}

impl TopicStatus {
    fn new(topic: &'static str) -> Self {
        Self { topic, outage: None }
    }

    /// Handles the result of a call that was sent at `sent_ms`.
    fn on_result<P, T>(&mut self, node: &Node<P>, sent_ms: u64, res: &Result<T, CallError>) {
        let (topic, now_ms) = (self.topic, node.now_ms());
        let call_ms = now_ms - sent_ms;
        node.metrics.record_store_call(topic, res.is_ok());
        if let Err(err) = res {
            let outage = self.outage.get_or_insert_with(|| {
                log::warn!(topic, call_ms, error:% = err; "store calls fail");
                Outage { since_ms: sent_ms, n_failed: 0, longest_call_ms: 0 }
            });
            outage.n_failed += 1;
            outage.longest_call_ms = outage.longest_call_ms.max(call_ms);
        } else if let Some(outage) = self.outage.take() {
            let Outage { since_ms, n_failed, longest_call_ms } = outage;
            let outage_ms = now_ms - since_ms;
            log::info!(topic, outage_ms, n_failed, longest_call_ms, call_ms; "store calls succeed again");
        }
    }
}

/// Reads the configuration repeatedly and applies the newest one.
pub(crate) async fn follow_config<P: Platform>(node: Rc<Node<P>>) {
    let mut topic_status = TopicStatus::new("config");
    let settings = cursor::Settings::for_config(node.settings.bounds.contact_ms);
    let mut cursor = Cursor::new(settings);
    loop {
        if node.is_config_confirmed(settings.read_wait_ms) {
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let sent_ms = node.now_ms();
        let res = fetch_records(&node, Topic::Config, cursor.next_call()).await;
        topic_status.on_result(&node, sent_ms, &res);
        let result = match res {
            Ok(FetchResult::Records { records, next, .. }) => {
                node.record_config_read();
                let previous_version = node.config_version();
                for record in records {
                    node.apply_config_record(record, "store");
                }
                let version = node.config_version();
                let is_announced = node.state.borrow().config_announcements.is_announced(version);
                if previous_version < version && (node.is_store_reader() || !is_announced) {
                    node.announce_config(version);
                }
                CallResult::UpTo(next)
            }
            Ok(FetchResult::Expired) => CallResult::Expired,
            Err(_) => CallResult::Failed,
        };
        node.wait_after(&mut cursor, result).await;
    }
}

/// Reads the list of upstreams repeatedly and applies the changes.
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
        let sent_ms = node.now_ms();
        let res = fetch_records(&node, Topic::Upstreams, cursor.next_call()).await;
        topic_status.on_result(&node, sent_ms, &res);
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

/// Result of a call that fetches records of a topic.
enum FetchResult {
    Records {
        records: Vec<Record>,
        next: LogPosition,
        /// Whether `records` has the newest record of every key, instead of only the records since the last call.
        is_complete: bool,
    },
    Expired,
}

/// Makes one call to the store. A failure is logged by the caller.
async fn fetch_records<P: Platform>(
    node: &Node<P>,
    topic: Topic,
    call: NextCall,
) -> Result<FetchResult, CallError> {
    match call {
        NextCall::List => {
            let Listing { records, next } = node.list(topic).await?;
            Ok(FetchResult::Records { records, next, is_complete: true })
        }
        NextCall::Read { from, wait_ms } => Ok(match node.read(topic, from, wait_ms).await? {
            ReadResult::Records { records, next } => {
                FetchResult::Records { records, next, is_complete: false }
            }
            ReadResult::Expired { .. } => FetchResult::Expired,
        }),
    }
}

/// Periodically drops upstreams whose grace period has expired, and connections that were idle for too long.
pub(crate) async fn tick<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(TICK_INTERVAL).await;
        let now_ms = node.now_ms();
        let changes = node.state.borrow_mut().catalog.tick(now_ms);
        node.apply_changes(&changes);
        node.pool.close_expired(now_ms);
        node.peer_pool.close_expired(now_ms);
    }
}

const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of times that an update of an upstream entry is sent to the peers, since datagrams get lost.
const UPDATE_SENDS: u8 = 2;

/// Record that a node writes about itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeRecord {
    /// UDP address at which the node receives gossip.
    pub(crate) gossip: SocketAddr,
    /// HTTP address at which the node responds to its peers' queries for its cluster state.
    pub(crate) exchange: SocketAddr,
    /// Hash of the name of the node's zone.
    #[serde(default)]
    pub(crate) zone: u32,
    /// Random number that the process draws at its start.
    #[serde(rename = "life")]
    pub(crate) incarnation: u64,
    /// Time of the write on the monotonic clock of the writer, which readers can't compare with their own clocks. A
    /// reader takes a change of this field or of `incarnation`, whatever the values are, as the sign that the node is
    /// running.
    pub(crate) written_ms: u64,
}

/// Periodically writes this node's record and reads those of the other nodes.
/// After the store has returned from a copy, which may lack this node's record, writes it again soon.
pub(crate) async fn follow_nodes<P: Platform>(node: Rc<Node<P>>) {
    let mut topic_status = TopicStatus::new("nodes");
    let mut restored = node.store_restored.subscribe();
    loop {
        let sent_ms = node.now_ms();
        let res = node.refresh_nodes().await;
        topic_status.on_result(&node, sent_ms, &res);
        node.drop_expired_nodes(res.is_ok());
        let interval_ms =
            if res.is_ok() { node.nodes_poll_interval_ms() } else { NODES_POLL_INTERVAL_MS / 5 };
        let jittered_ms = node.state.borrow_mut().rng.random_range(interval_ms / 2..=interval_ms);
        tokio::select! {
            () = sleep(Duration::from_millis(jittered_ms)) => {}
            _ = restored.changed() => {
                let delay_ms = node.state.borrow_mut().rng.random_range(0..=RESTORE_SPREAD_MS);
                sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
}

/// Time over which the nodes write their records again after the store has returned from a copy.
const RESTORE_SPREAD_MS: u64 = 3_000;

impl<P> Node<P> {
    /// Waits for the delay that the cursor determines from the result of a call.
    async fn wait_after(&self, cursor: &mut Cursor, result: CallResult) {
        let wait_ms = cursor.on_result(result, &mut self.state.borrow_mut().rng);
        sleep(Duration::from_millis(wait_ms)).await;
    }

    /// Records that this node has read the newest configuration from the store.
    fn record_config_read(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        state.config_read_ms = now_ms;
        state.local_config_read_ms = now_ms;
    }

    /// Returns the maximum interval at which this node writes its record and reads the list of nodes.
    pub(crate) fn nodes_poll_interval_ms(&self) -> u64 {
        NODES_POLL_INTERVAL_MS * (self.n_nodes() as u64).max(SMALL_DEPLOYMENT_NODES)
            / SMALL_DEPLOYMENT_NODES
    }

    /// Returns whether another node is the store reader and this node's list of upstreams was confirmed recently, and
    /// not contradicted since.
    fn is_list_confirmed(&self) -> bool {
        let age_ms = self.state.borrow().catalog.age_ms(self.now_ms());
        let is_recent = age_ms.is_some_and(|it| it <= self.confirmation_age_max_ms());
        is_recent && !self.state.borrow().is_list_doubtful() && !self.is_store_reader()
    }

    /// Returns whether another node is the store reader and this node's configuration was confirmed recently. A node
    /// that knows of a peer with a newer configuration reads the configuration from the store itself, because the store
    /// can take that load better than the few nodes that already have the newer configuration. `read_wait_ms` is the time
    /// that a read of the store reader takes at most while nothing changes.
    fn is_config_confirmed(&self, read_wait_ms: u64) -> bool {
        let read_ms = self.state.borrow().config_read_ms;
        let is_fresh = self.now_ms() <= read_ms + read_wait_ms + self.confirmation_age_max_ms();
        is_fresh && !self.is_config_outdated() && !self.is_store_reader()
    }
}

impl<P: Platform> Node<P> {
    /// Decodes a configuration and applies it if it is newer than the current one. `source` is where it came from.
    pub(crate) fn apply_config_record(&self, record: Record, source: &'static str) {
        let Some(value) = record.value else { return };
        match P::decode_config(&value) {
            Ok(config) => self.apply_config(config, value, source),
            Err(err) => log::warn!(error = err.as_str(), source; "failed to decode configuration"),
        }
    }

    /// Applies records of upstreams that were written since the last read.
    fn apply_upstream_records(&self, records: &[Record]) {
        let now_ms = self.now_ms();
        let outage_ms = self.settings.upstream_heartbeat_ms;
        {
            let mut state = self.state.borrow_mut();
            state.local_list_read_ms = now_ms;
            state.n_list_mismatches = 0;
            state.catalog.on_read_succeeded(now_ms, outage_ms);
        }
        for record in records {
            if let Some(change) = self.apply_upstream_record(record, now_ms) {
                self.apply_changes(std::slice::from_ref(&change));
                self.queue_update(record.position, &change);
            }
        }
    }

    /// Queues a changed entry to be sent to the peers immediately.
    fn queue_update(&self, position: LogPosition, change: &Change) {
        let id = change.upstream().clone();
        let mut state = self.state.borrow_mut();
        let entry = state.catalog.get(&id).map(|it| &it.entry);
        let update = UpstreamUpdate::of_change(id, position, entry);
        state.upstream_updates.push((update, UPDATE_SENDS));
        self.updates_due.notify_one();
    }

    /// Handles the statement of an upstream, in a response, that its incarnation is leaving.
    pub(crate) fn on_stated_leaving(&self, entry: &UpstreamEntry) {
        let now_ms = self.now_ms();
        let change = {
            let mut state = self.state.borrow_mut();
            state.catalog.set_leaving(&entry.id, entry.started_ms, None, now_ms)
        };
        if let Some(change) = change {
            self.apply_changes(std::slice::from_ref(&change));
            // Receivers accept a statement that an incarnation is leaving at any position.
            self.queue_update(LogPosition::default(), &change);
        }
    }

    /// Applies one record of an upstream and returns the resulting change, if any.
    pub(crate) fn apply_upstream_record(&self, record: &Record, now_ms: u64) -> Option<Change> {
        let mut state = self.state.borrow_mut();
        if record.value.is_none() {
            let id = record.key.parse().ok()?;
            return state.catalog.remove(&id, record.position, now_ms);
        }
        match P::decode_upstream(record) {
            Ok(entry) => state.catalog.insert(entry, record.position, now_ms),
            Err(err) => {
                log::debug!("failed to decode the entry of upstream {}: {err}", record.key);
                None
            }
        }
    }

    /// Applies the complete list of upstreams. An upstream whose record cannot be decoded keeps its current entry.
    fn apply_upstream_list(&self, records: &[Record], end: LogPosition) {
        let now_ms = self.now_ms();
        let outage_ms = self.settings.upstream_heartbeat_ms;
        let mut state = self.state.borrow_mut();
        let mut entries = Vec::new();
        for record in records {
            match P::decode_upstream(record) {
                Ok(it) => {
                    entries.push((it, record.position));
                }
                Err(err) => {
                    log::debug!("failed to decode the entry of upstream {}: {err}", record.key);
                    let id = record.key.parse().ok();
                    let known = id.and_then(|it| state.catalog.get(&it));
                    entries.extend(known.map(|it| (it.entry.clone(), record.position)));
                }
            }
        }
        state.local_list_read_ms = now_ms;
        state.n_list_mismatches = 0;
        state.catalog.on_read_succeeded(now_ms, outage_ms);
        let changes = state.catalog.replace(entries, end, now_ms);
        drop(state);
        self.apply_changes(&changes);
    }

    /// Writes this node's own record to the topic of nodes. Then reads the records of all nodes and applies those of the
    /// other nodes. Of two nodes that start at the same time, the one that reads later knows the other, which is enough
    /// for both to find the delegates of their zone.
    async fn refresh_nodes(&self) -> Result<(), CallError> {
        let local_record = NodeRecord {
            gossip: self.settings.gossip_address,
            exchange: self.settings.exchange_address,
            zone: self.zone_hash(),
            incarnation: self.incarnation,
            written_ms: self.now_ms(),
        };
        let mut value = Vec::new();
        if let Err(err) = ciborium::into_writer(&local_record, &mut value) {
            return Err(CallError::NotDone(err.to_string()));
        }
        let key = self.instance().to_string();
        let record = Record { key, value: Some(Bytes::from(value)), ..Record::default() };
        // `None`: appended wherever the topic ends, since other nodes write to it too.
        self.append(Topic::Nodes, record, None).await?;
        let listing = self.list(Topic::Nodes).await?;
        let now_ms = self.now_ms();
        for record in listing.records {
            self.apply_node_record(&record, now_ms);
        }
        Ok(())
    }

    /// Records the node that wrote the record.
    fn apply_node_record(&self, record: &Record, now_ms: u64) {
        let Some(value) = &record.value else { return };
        if record.key == self.instance().as_str() {
            return;
        }
        let decoded: Result<NodeRecord, _> = ciborium::from_reader(&value[..]);
        let node_record = match decoded {
            Ok(it) => it,
            Err(err) => {
                log::warn!(node = record.key.as_str(), error:% = err; "failed to decode the record of a node");
                return;
            }
        };
        let address = NodeAddress {
            node: name_hash(&record.key),
            zone: node_record.zone,
            gossip: node_record.gossip,
            exchange: node_record.exchange,
        };
        let mut state = self.state.borrow_mut();
        let written = (node_record.incarnation, node_record.written_ms);
        let is_new_record = state.last_node_records.insert(address.node, written) != Some(written);
        if state.gossip.on_listed(address, is_new_record, now_ms) {
            log::info!(node = record.key.as_str(); "node discovered");
        }
    }
}

//! Exchange over HTTP: responses to other nodes and to operators, and queries of this node to its peers.
//!
//! A node serves its cluster state, which is what it knows of the cluster (the configuration, the upstream entries and
//! the addresses of the other nodes), and for operators its status and its metrics. A node fetches the cluster state of
//! a peer if its store calls fail or if it starts while the store is unavailable, and the configuration alone if a peer has
//! a newer one that the store has not delivered in time. A node that starts in a running deployment fetches the software versions of
//! the services from a peer.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::sleep;

use lentilhitch_policy::{
    gossip::message::NodeAddress,
    peer_queries::{LocalCopies, PeerQueries, Peers, Query, QueryResult, Wanted, ZoneCopies},
    response_budget::{ResponseBudget, ResponseKind},
    stream_origins::VersionHistories,
};

use crate::{
    gossip::UpstreamUpdate,
    node::Node,
    platform::{Platform, Record},
    rollouts::follow::StoreCopyMessage,
};

const CLUSTER_STATE_PATH: &str = "/v1/knowledge";
/// Path of the configuration, followed by a version. There is no content if the node has no newer one.
const NEWER_CONFIG_PATH: &str = "/v1/config-after/";
const VERSIONS_PATH: &str = "/v1/version-histories";
/// Path of the versions without the times for which clients wait, for nodes of earlier builds.
const VERSIONS_ONLY_PATH: &str = "/v1/versions";
const ROLLOUTS_PATH: &str = "/v1/rollouts";
const METRICS_PATH: &str = "/metrics";
const STATUS_PATH: &str = "/v1/status";
/// Interval at which a node checks whether it has to query a peer.
const CHECK_INTERVAL_MS: u64 = 250;
/// Time limit for the response of a peer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(700);

/// What a node knows of the cluster, sent in full in response to a peer's query.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct ClusterState {
    /// Encoded configuration; empty if there is none.
    config: Bytes,
    upstreams: Vec<UpstreamUpdate>,
    /// Time since the list of upstreams was last read or confirmed. `u64::MAX` means that it never was.
    upstreams_age_ms: u64,
    /// Other nodes that the sender knows of.
    nodes: Vec<NodeAddress>,
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

/// Server of a listener for other nodes or operators.
pub(crate) struct Server {
    budget: RefCell<ResponseBudget>,
}

impl Server {
    pub(crate) fn new<P>(node: &Node<P>) -> Self {
        let budget = ResponseBudget::new(node.settings.link_bytes_per_s, node.now_ms());
        Self { budget: RefCell::new(budget) }
    }

    /// Returns the status and the body of the response.
    pub(crate) fn respond<P: Platform>(
        &self,
        node: &Node<P>,
        path: &str,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        if let Some(version) = path.strip_prefix(NEWER_CONFIG_PATH) {
            let Ok(version) = version.parse() else { return Ok(empty(StatusCode::BAD_REQUEST)) };
            let Some(config) = node.newer_config(version) else {
                return Ok(empty(StatusCode::NO_CONTENT));
            };
            return Ok(self.within_budget(node, config, ResponseKind::Urgent));
        }
        let body = match path {
            CLUSTER_STATE_PATH => {
                let body = node.cluster_state()?;
                return Ok(self.within_budget(node, body, ResponseKind::Normal));
            }
            VERSIONS_PATH => node.version_histories().map(|it| encode(&it)).transpose()?,
            VERSIONS_ONLY_PATH => {
                node.version_histories().map(|it| encode(&it.services)).transpose()?
            }
            ROLLOUTS_PATH => node.rollouts_body()?,
            METRICS_PATH => Some(Bytes::from(node.metrics.render()?)),
            STATUS_PATH => Some(node.status()?),
            _ => None,
        };
        Ok(body.map_or(empty(StatusCode::NOT_FOUND), |it| (StatusCode::OK, it)))
    }

    fn within_budget<P>(
        &self,
        node: &Node<P>,
        body: Bytes,
        kind: ResponseKind,
    ) -> (StatusCode, Bytes) {
        if self.budget.borrow_mut().try_take(body.len(), kind, node.now_ms()) {
            node.metrics.record_peer_response("sent", body.len());
            return (StatusCode::OK, body);
        }
        node.metrics.record_peer_response("busy", body.len());
        empty(StatusCode::SERVICE_UNAVAILABLE)
    }
}

fn empty(status: StatusCode) -> (StatusCode, Bytes) {
    (status, Bytes::new())
}

/// Returns a client for queries to peers.
pub(crate) fn client() -> Option<reqwest::Client> {
    let client = reqwest::Client::builder().no_proxy().timeout(QUERY_TIMEOUT).build();
    if let Err(err) = &client {
        log::error!(error:% = err; "failed to create the HTTP client for queries to peers");
    }
    client.ok()
}

/// Queries a peer whenever a newer configuration is overdue or the store is unavailable.
pub(crate) async fn run<P: Platform>(node: Rc<Node<P>>) {
    let Some(client) = client() else { return };
    let mut queries = PeerQueries::default();
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let now_ms = node.now_ms();
        let local = node.local_copies();
        let peers = node.peers(local.config_version);
        let query = {
            let mut state = node.state.borrow_mut();
            queries.next(local, &peers, &mut state.rng, now_ms)
        };
        let Some(query) = query else { continue };
        let result = node.query_peer(&client, query, local.config_version).await;
        queries.on_result(query.peer, result, node.now_ms());
    }
}

/// Configuration or cluster state of a peer, as encoded by the peer.
enum PeerAnswer {
    Config(Bytes),
    ClusterState(Bytes),
    NotNewer,
    Busy,
}

async fn fetch_wanted(
    client: &reqwest::Client,
    query: Query,
    config_version: u64,
) -> anyhow::Result<PeerAnswer> {
    let peer = query.peer;
    if query.wanted == Wanted::Config {
        let url = format!("http://{peer}{NEWER_CONFIG_PATH}{config_version}");
        let response = client.get(url).send().await?;
        match response.status() {
            StatusCode::NO_CONTENT => return Ok(PeerAnswer::NotNewer),
            StatusCode::SERVICE_UNAVAILABLE => return Ok(PeerAnswer::Busy),
            // The peer is of an earlier build.
            StatusCode::NOT_FOUND => {}
            _ => return Ok(PeerAnswer::Config(response.error_for_status()?.bytes().await?)),
        }
    }
    let response = client.get(format!("http://{peer}{CLUSTER_STATE_PATH}")).send().await?;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return Ok(PeerAnswer::Busy);
    }
    Ok(PeerAnswer::ClusterState(response.error_for_status()?.bytes().await?))
}

/// Returns the software versions of the services that a peer knows of.
pub(crate) async fn fetch_versions(
    client: &reqwest::Client,
    peer: SocketAddr,
) -> anyhow::Result<VersionHistories> {
    if let Ok(it) = fetch(client, peer, VERSIONS_PATH).await {
        return Ok(it);
    }
    // The peer may be of an earlier build.
    let services = fetch(client, peer, VERSIONS_ONLY_PATH).await?;
    Ok(VersionHistories { services, ..VersionHistories::default() })
}

/// Returns the orders and plans of rollouts that a peer knows of.
pub(crate) async fn fetch_rollouts(
    client: &reqwest::Client,
    peer: SocketAddr,
) -> anyhow::Result<StoreCopyMessage> {
    fetch(client, peer, ROLLOUTS_PATH).await
}

async fn fetch<T: DeserializeOwned>(
    client: &reqwest::Client,
    peer: SocketAddr,
    path: &str,
) -> anyhow::Result<T> {
    let response = client.get(format!("http://{peer}{path}")).send().await?;
    decode(&response.error_for_status()?.bytes().await?)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> anyhow::Result<T> {
    Ok(ciborium::from_reader(bytes)?)
}

/// Encodes a response to another node as CBOR.
pub(crate) fn encode<T: Serialize>(value: &T) -> anyhow::Result<Bytes> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)?;
    Ok(bytes.into())
}

impl<P: Platform> Node<P> {
    /// Returns this node's cluster state, encoded as CBOR.
    fn cluster_state(&self) -> anyhow::Result<Bytes> {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        let cluster_state = ClusterState {
            config: state.config_text.clone(),
            upstreams: state.catalog.entries().map(UpstreamUpdate::from).collect(),
            upstreams_age_ms: state.catalog.age_ms(now_ms).unwrap_or(u64::MAX),
            nodes: state.gossip.node_addresses().copied().collect(),
        };
        encode(&cluster_state)
    }

    /// Returns the configuration in force, as it was read from the store, if it is newer than a version.
    fn newer_config(&self, version: u64) -> Option<Bytes> {
        let state = self.state.borrow();
        let is_newer = state.route_table.as_ref().is_some_and(|it| version < it.config.version);
        is_newer.then(|| state.config_text.clone())
    }

    /// Queries a peer and applies what it answers.
    async fn query_peer(
        &self,
        client: &reqwest::Client,
        query: Query,
        config_version: u64,
    ) -> QueryResult {
        let Query { peer, wanted } = query;
        let sent_ms = self.now_ms();
        let res = fetch_wanted(client, query, config_version).await;
        let query_ms = self.now_ms() - sent_ms;
        let res = res.and_then(|answer| {
            Ok(match answer {
                PeerAnswer::Config(config) => {
                    let n_bytes = config.len();
                    let record = Record { value: Some(config), ..Record::default() };
                    self.apply_config_record(record, "peer");
                    (n_bytes, None)
                }
                PeerAnswer::ClusterState(bytes) => {
                    self.apply_cluster_state(&decode(&bytes)?);
                    (bytes.len(), None)
                }
                PeerAnswer::NotNewer => (0, Some(QueryResult::NotNewer)),
                PeerAnswer::Busy => (0, Some(QueryResult::Busy)),
            })
        });
        let version = self.config_version();
        let has_newer_config = config_version < version;
        if has_newer_config {
            self.announce_config_from_peer(version);
        }
        match res {
            Ok((n_bytes, result)) => {
                let is_useful = has_newer_config || wanted == Wanted::ClusterState;
                let default = if is_useful { QueryResult::Newer } else { QueryResult::NotNewer };
                let result = result.unwrap_or(default);
                self.metrics.record_peer_query(result);
                log::info!(peer:% = peer, wanted:? = wanted, result:? = result, config_version, version, n_bytes, query_ms; "peer queried");
                result
            }
            Err(err) => {
                self.metrics.record_peer_query(QueryResult::Failed);
                log::info!(peer:% = peer, wanted:? = wanted, config_version, query_ms, error:% = err; "failed to query a peer");
                QueryResult::Failed
            }
        }
    }

    /// Returns the status of this node as JSON.
    fn status(&self) -> anyhow::Result<Bytes> {
        let is_ready = self.is_ready();
        let state = self.state.borrow();
        let status = Status {
            instance: self.instance().to_string(),
            config_version: state.route_table.as_ref().map_or(0, |it| it.config.version),
            n_upstreams: state.catalog.iter().count(),
            n_peers: state.gossip.n_peers(),
            n_in_flight: self.n_in_flight.get(),
            is_ready,
        };
        Ok(serde_json::to_vec(&status)?.into())
    }

    /// Returns the versions and ages of this node's copies.
    fn local_copies(&self) -> LocalCopies {
        let is_config_outdated = self.is_config_outdated();
        let state = self.state.borrow();
        LocalCopies {
            config_version: state.route_table.as_ref().map_or(0, |it| it.config.version),
            is_config_outdated,
            list_digest: state.catalog.digest(),
            list_age_ms: state.catalog.age_ms(self.now_ms()),
        }
    }

    /// Returns the peers that this node may query.
    fn peers(&self, config_version: u64) -> Peers {
        let now_ms = self.now_ms();
        let local_address = self.settings.exchange_address;
        let state = self.state.borrow();
        let zones = state.gossip.zones().filter(|it| it.is_reachable(now_ms));
        let zones = zones.map(|it| ZoneCopies {
            config_version: it.state.config.version,
            config_source: it.state.config_source(),
            list_digest: it.state.upstreams.version,
            list_age_ms: {
                let waited_ms = now_ms.saturating_sub(it.as_of_ms);
                it.state.upstreams.age_ms.saturating_add(waited_ms)
            },
            list_source: it.state.upstreams_source(),
        });
        let announcers: Vec<_> = state.config_announcements.announcers(config_version).collect();
        let known = state.gossip.node_addresses();
        let announcers = known.filter(|it| announcers.contains(&it.gossip));
        let mut nodes: Vec<_> = state.gossip.node_addresses().map(|it| it.exchange).collect();
        if nodes.is_empty() {
            nodes.clone_from(&self.settings.seeds);
        }
        Peers {
            local: Some(local_address),
            zones: zones.collect(),
            announcers: announcers.map(|it| it.exchange).collect(),
            nodes,
        }
    }

    /// Applies the cluster state of a peer: a newer configuration, upstream entries if the peer's list was read or
    /// confirmed more recently than this node's list, and nodes that this node doesn't know yet.
    fn apply_cluster_state(&self, cluster_state: &ClusterState) {
        let now_ms = self.now_ms();
        if !cluster_state.config.is_empty() {
            let record = Record { value: Some(cluster_state.config.clone()), ..Record::default() };
            self.apply_config_record(record, "peer");
        }
        // `u64::MAX` means that this node's list was never read or confirmed.
        let age_ms = self.state.borrow().catalog.age_ms(now_ms).unwrap_or(u64::MAX);
        if cluster_state.upstreams_age_ms < age_ms {
            self.apply_updates(cluster_state.upstreams.clone());
        }
        let mut state = self.state.borrow_mut();
        for address in &cluster_state.nodes {
            if address.gossip != self.settings.gossip_address {
                state.gossip.on_listed(*address, false, now_ms);
            }
        }
    }
}

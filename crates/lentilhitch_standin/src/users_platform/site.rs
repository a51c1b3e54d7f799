//! A complete deployment: store, upstreams and nodes.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Context as _;
use bytes::Bytes;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::{
    harness::{Process, free_address, until},
    users_platform::{Behavior, Cut, Link, LogStore, RawUpstream, Upstream},
};

/// `Host` header of every request.
const HOST: &str = "estate.example";
/// API key of the default team.
const KEY: &str = "key-of-etna";
const ZONES: [&str; 2] = ["a", "b"];
/// Topic of the list of upstreams with the addresses of the links to them.
const LINKED_UPSTREAMS_TOPIC: &str = "keyed.linked-servers";

/// Size and settings of a site.
#[derive(Clone, Copy, Debug)]
pub struct SiteOptions {
    pub n_nodes: usize,
    pub n_engines: usize,
    pub n_applications: usize,
    /// Number of software versions among the upstreams of a service, which alternate in each zone.
    pub n_versions: usize,
    /// Number of nodes, from the first on, that the store can turn away while it serves the others.
    pub n_refusable: usize,
    /// Whether the first node reaches the upstreams over links that can be cut. It must be the only one of its zone.
    pub has_links: bool,
    /// Duration of a usage window in seconds.
    pub usage_window_s: f64,
    /// Time after the end of a usage window until which it may be reported, in seconds.
    pub usage_delay_s: f64,
    /// Whether operators order the versions of the services.
    pub has_rollouts: bool,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            n_nodes: 1,
            n_engines: 1,
            n_applications: 1,
            n_versions: 1,
            n_refusable: 0,
            has_links: false,
            usage_window_s: 1.0,
            usage_delay_s: 4.0,
            has_rollouts: false,
        }
    }
}

/// Process of one node, and the addresses that it listens on.
pub struct Node {
    pub process: Process,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub exchange: SocketAddr,
    settings: PathBuf,
}

/// A running deployment.
pub struct Site {
    pub store: LogStore,
    pub engines: Vec<Upstream>,
    pub applications: Vec<Upstream>,
    pub nodes: Vec<Node>,
    /// Links of the first node to the upstreams, if it has some.
    pub links: Vec<Link>,
    pub http: reqwest::Client,
    is_refusing: Arc<AtomicBool>,
    /// Version of the last configuration that was written.
    version: u64,
    folder: TempDir,
}

/// Response as a client received it.
#[derive(Debug)]
pub struct ClientResponse {
    pub status: u16,
    pub headers: reqwest::header::HeaderMap,
    /// Body as far as it was received.
    pub body: Bytes,
    /// Whether the body was received completely.
    pub is_complete: bool,
}

impl ClientResponse {
    /// Returns a header as text, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
    }

    /// Returns the IDs of the events in the body.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        text.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect()
    }
}

impl Site {
    /// Starts the store, the upstreams and the nodes, and waits until all nodes are ready.
    pub async fn start(options: SiteOptions) -> anyhow::Result<Self> {
        let site = Self::start_without_waiting(options).await?;
        site.until_ready().await?;
        Ok(site)
    }

    /// Starts the store, the upstreams and the nodes. Nodes are not ready before there is an upstream, so a caller whose
    /// options contain none adds one.
    pub async fn start_without_waiting(options: SiteOptions) -> anyhow::Result<Self> {
        let store = LogStore::start().await?;
        let stream = Behavior::Stream { n_events: 5, interval_ms: 5, break_after: None };
        let engines =
            start_upstreams("engine", "draft", options.n_engines, &options, stream).await?;
        let serve = Behavior::Serve { work_ms: 1 };
        let applications =
            start_upstreams("app", "filing", options.n_applications, &options, serve).await?;
        for it in engines.iter().chain(&applications) {
            it.write_entry(&store, &json!({}));
        }
        let http = reqwest::Client::builder().no_proxy().build()?;
        let folder = tempfile::tempdir()?;
        let (nodes, links) = (Vec::new(), Vec::new());
        let mut site = Self {
            store,
            engines,
            applications,
            nodes,
            links,
            http,
            is_refusing: Arc::default(),
            version: 0,
            folder,
        };
        site.put_config(|_| {});
        for idx in 0..options.n_nodes {
            let has_links = options.has_links && idx == 0;
            let store_address = if has_links {
                site.start_links().await?
            } else if idx < options.n_refusable {
                site.store.listen_refusing(site.is_refusing.clone()).await?
            } else {
                site.store.address
            };
            site.start_node(idx, &options, store_address)?;
        }
        Ok(site)
    }

    /// Writes a new version of the default configuration with a change, and returns the version.
    pub fn put_config(&mut self, change: impl FnOnce(&mut Value)) -> u64 {
        self.version += 3;
        let mut config = default_config(self.version);
        change(&mut config);
        self.store.put("keyed.op", "config", &config);
        self.version
    }

    /// Lets the store turn away the first `SiteOptions::n_refusable` nodes from now on.
    pub fn turn_nodes_away(&self) {
        self.is_refusing.store(true, Ordering::Relaxed);
    }

    /// Starts a link to each upstream. Returns the address of the store for a node that uses them.
    async fn start_links(&mut self) -> anyhow::Result<SocketAddr> {
        for it in self.engines.iter().chain(&self.applications) {
            let link = Link::start(it.address).await?;
            let extra = json!({ "address": link.address.to_string() });
            it.write_entry_to(&self.store, LINKED_UPSTREAMS_TOPIC, &extra);
            self.links.push(link);
        }
        Ok(self.store.listen_with("keyed.servers", LINKED_UPSTREAMS_TOPIC).await?)
    }

    /// Starts a link of the first node to an upstream that is not among those of the site.
    pub async fn link(&mut self, upstream: &RawUpstream) -> anyhow::Result<()> {
        let link = Link::start(upstream.address).await?;
        let extra = json!({ "address": link.address.to_string() });
        upstream.write_entry_to(&self.store, LINKED_UPSTREAMS_TOPIC, &extra);
        self.links.push(link);
        Ok(())
    }

    /// Lists an upstream that is not among those of the site for the first node only.
    pub fn list_for_first_node(&self, upstream: &Upstream) {
        upstream.write_entry_to(&self.store, LINKED_UPSTREAMS_TOPIC, &json!({}));
    }

    /// Cuts all links of the first node to the upstreams.
    pub async fn cut_links(&self, cut: Cut) -> anyhow::Result<()> {
        for it in &self.links {
            it.cut(cut).await?;
        }
        Ok(())
    }

    /// Heals all links of the first node to the upstreams.
    pub fn heal_links(&self) -> anyhow::Result<()> {
        for it in &self.links {
            it.heal()?;
        }
        Ok(())
    }

    fn start_node(
        &mut self,
        idx: usize,
        options: &SiteOptions,
        store_address: SocketAddr,
    ) -> anyhow::Result<()> {
        let name = format!("edge-{}-{idx}", ZONES[idx % 2]);
        let front = free_address();
        let ready = free_address();
        let ip = front.ip();
        // All ports of a node lie within one range, on an address that only this node uses.
        let first_port = 20_000;
        let mut settings = json!({
            "nodeName": name, "role": "edge", "machineClass": "edge", "serves": ["edge"],
            "ip": ip.to_string(), "zone": ZONES[idx % 2], "region": "r",
            "listen": { "frontend": front.to_string(), "ready": ready.to_string() },
            "portRange": [first_port, first_port + 15], "seeds": [], "bootstrap": true,
            "limits": { "memoryMb": 260 },
            "bounds": {
                "usageWindowS": options.usage_window_s, "usageDelayS": options.usage_delay_s,
                "graceS": 6,
            },
            "platform": { "address": store_address.to_string() },
            "cloud": {
                "address": self.store.cloud_address.to_string(),
                "duties": ["usage_report", "autoscale"],
            },
            "aFieldOfLater": true,
        });
        if options.has_rollouts {
            settings["contracts"] = json!(["rollout"]);
            settings["bounds"]["exposureShare"] = json!(0.1);
            settings["bounds"]["exposureSlack"] = json!(50);
            settings["bounds"]["rollbackMs"] = json!(5_000);
            settings["bounds"]["contactMs"] = json!(4_000);
        }
        let path = self.folder.path().join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let process = start_process(&name, &path)?;
        let exchange = SocketAddr::new(ip, first_port + 1);
        let metrics = SocketAddr::new(ip, first_port + 2);
        self.nodes.push(Node { process, front, ready, metrics, exchange, settings: path });
        Ok(())
    }

    /// Starts a node again whose process has ended. Its settings no longer say that the deployment starts for the first
    /// time.
    pub fn restart(&mut self, idx: usize) -> anyhow::Result<()> {
        let node = &mut self.nodes[idx];
        let mut settings: Value = serde_json::from_str(&fs::read_to_string(&node.settings)?)?;
        settings["bootstrap"] = json!(false);
        fs::write(&node.settings, settings.to_string())?;
        let name = node.process.name.clone();
        node.process = start_process(&name, &node.settings)?;
        Ok(())
    }

    /// Waits until every node reports that it is ready.
    pub async fn until_ready(&self) -> anyhow::Result<()> {
        for node in &self.nodes {
            let ready = until("a node is ready", || async { self.is_ready(node).await }).await;
            ready.with_context(|| {
                format!("log of {}:\n{}", node.process.name, node.process.log_tail())
            })?;
        }
        Ok(())
    }

    /// Returns whether a node reports that it is ready.
    pub async fn is_ready(&self, node: &Node) -> bool {
        let url = format!("http://{}/lentilhitch/readiness", node.ready);
        let response = self.http.get(url).timeout(Duration::from_secs(2)).send().await;
        response.is_ok_and(|it| it.status().is_success())
    }

    /// Returns a client of the nodes that doesn't borrow the site, for requests during other operations on it.
    pub fn client(&self) -> Client {
        let front_addresses = self.nodes.iter().map(|it| it.front).collect();
        Client { http: self.http.clone(), front_addresses }
    }

    /// Builds a request of the default team to a node.
    pub fn request(&self, node: usize, id: &str, path: &str) -> reqwest::RequestBuilder {
        self.client().request_with_key(node, id, path, KEY)
    }

    /// Sends a request and reads its response as far as it is received.
    pub async fn send(&self, request: reqwest::RequestBuilder) -> anyhow::Result<ClientResponse> {
        read_response(request).await
    }

    /// Sends the default request for a path.
    pub async fn call(&self, node: usize, id: &str, path: &str) -> anyhow::Result<ClientResponse> {
        self.client().call(node, id, path).await
    }

    /// Returns how often upstreams executed the request with this ID.
    pub fn n_runs(&self, id: &str) -> usize {
        let upstreams = self.engines.iter().chain(&self.applications);
        upstreams.flat_map(Upstream::executed).filter(|it| it.id == id).count()
    }
}

/// A client that sends requests to the nodes.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    front_addresses: Vec<SocketAddr>,
}

impl Client {
    /// Sends the default request for a path.
    pub async fn call(&self, node: usize, id: &str, path: &str) -> anyhow::Result<ClientResponse> {
        read_response(self.request_with_key(node, id, path, KEY)).await
    }

    /// Builds a request with an API key to a node.
    pub fn request_with_key(
        &self,
        node: usize,
        id: &str,
        path: &str,
        key: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.front_addresses[node]);
        let request = if path.starts_with("/status/") {
            self.http.get(url)
        } else {
            self.http.post(url).body("what the client says")
        };
        request
            .header("host", HOST)
            .header("x-attempt-id", id)
            .header("x-deadline-ms", "8000")
            .bearer_auth(key)
    }
}

async fn read_response(request: reqwest::RequestBuilder) -> anyhow::Result<ClientResponse> {
    let mut response = request.timeout(RESPONSE_TIMEOUT).send().await.context("no response")?;
    let (status, headers) = (response.status().as_u16(), response.headers().clone());
    let mut body = Vec::new();
    let is_complete = loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    Ok(ClientResponse { status, headers, body: body.into(), is_complete })
}

/// Upper limit on a client's wait for a response, also when its node fails.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);

fn start_process(name: &str, settings: &std::path::Path) -> anyhow::Result<Process> {
    let folder = settings.parent().context("the settings file has no parent folder")?;
    let args = ["edge".to_owned(), "--settings".to_owned(), settings.display().to_string()];
    Process::start(name, folder, "lentilhitch", &args)
}

async fn start_upstreams(
    name: &str,
    service: &str,
    n: usize,
    options: &SiteOptions,
    behavior: Behavior,
) -> anyhow::Result<Vec<Upstream>> {
    let mut upstreams = Vec::new();
    for idx in 0..n {
        let id = format!("{name}-{idx}");
        let mut upstream = Upstream::start(&id, service, ZONES[idx % 2], behavior).await?;
        upstream.version = format!("v{}", 1 + idx / ZONES.len() % options.n_versions);
        upstreams.push(upstream);
    }
    Ok(upstreams)
}

/// Returns a configuration with a route of each kind: `/review/` is a stream that may be resumed, `/ask/` is one that
/// may not, `/book/` runs at most once, `/status/` may be repeated, and `/open/` needs no key.
fn default_config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "routeKind": kind,
            "timeoutMs": 8_000, "ttftTargetMs": 500, "priority": 1, "service": service,
            "attempts": attempts, "anonymous": name == "open", "sticky": false,
            "resumable": name == "review", "itlTargetMs": 500,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("review", "streaming", "draft", 2),
            route("ask", "streaming", "draft", 1),
            route("book", "non_idempotent", "filing", 1),
            route("status", "idempotent", "filing", 2),
            route("open", "idempotent", "filing", 1),
        ],
        "services": [
            { "name": "draft", "healthPath": "/health", "maxConns": 100,
              "engine": { "slots": 8, "kvCapacity": 100_000, "moves": true, "backups": true } },
            { "name": "filing", "healthPath": "/health", "maxConns": 100 },
        ],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 100_000,
                    "headerTimeoutMs": 500, "idleTimeoutMs": 15_000 },
        "tenants": [
            { "name": "etna", "apiKeys": [KEY], "priority": 1, "unit": "token_count",
              "uncachedTokens": 200, "ratePerS": 1_000_000, "burst": 1_000_000 },
        ],
    })
}

//! The configuration that operators publish (routes, services, teams and client limits) and the choice of a route.

use std::net::SocketAddr;

use rand::{Rng, RngExt};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use lentilhitch_types::{ServiceName, SoftwareVersion, TeamName, UpstreamName, Zone};

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: FxHashMap<ServiceName, Service>,
    pub limits: ClientLimits,
    pub teams: Vec<Team>,
}

/// Maximum time that a client of a route without a timeout waits.
const ROUTE_TIMEOUT_DEFAULT_MS: u64 = 30_000;

impl Config {
    /// Returns the longest timeout of the streaming routes.
    pub fn stream_timeout_max_ms(&self) -> u64 {
        let streams = self.routes.iter().filter(|it| it.repeat.is_stream());
        let timeouts_ms = streams.map(|it| it.timeout_ms.unwrap_or(ROUTE_TIMEOUT_DEFAULT_MS));
        timeouts_ms.max().unwrap_or(ROUTE_TIMEOUT_DEFAULT_MS)
    }

    /// Returns the longest timeout of the routes that lead to a service, or `None` if there are none.
    pub fn timeout_max_ms(&self, service: &ServiceName) -> Option<u64> {
        let routes = self.routes.iter().filter(|it| it.split.iter().any(|it| it.0 == *service));
        routes.map(|it| it.timeout_ms.unwrap_or(ROUTE_TIMEOUT_DEFAULT_MS)).max()
    }
}

/// Whether a node may send a request of a route to an upstream more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once for each time that the client sends it.
    AtMostOnce,
    /// The response is a stream of events. The request may run again only if the stream is resumable.
    Stream { is_resumable: bool },
}

impl Repeat {
    /// Returns whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A route for the requests to a host under a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub repeat: Repeat,
    /// Maximum time that a client waits.
    pub timeout_ms: Option<u64>,
    /// Latency objective for the complete response, or for the first byte of a stream.
    pub target_ms: Option<u64>,
    /// Priority of the requests, where 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests, with their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts_max: u32,
    /// Objective for the interval between two events of a stream.
    pub event_interval_max_ms: Option<u64>,
    /// Whether requests need no API key.
    pub is_anonymous: bool,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    pub engine: Option<Engine>,
    pub scaling: Option<Scaling>,
}

/// Capabilities of the model engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    pub slots: u32,
    /// Whether the engines can export and import KV caches.
    pub can_transfer_kv: bool,
}

/// Bounds and prices of the replicas that may be ordered for a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Minimum number of replicas in a zone, reclaimable and on-demand together.
    pub zone_min: u32,
    /// Maximum number of replicas in a zone, reclaimable and on-demand together.
    pub zone_max: u32,
    pub boot_ms: u64,
    /// Price of a reclaimable replica as a fraction of the on-demand price, or `None` if there are no such replicas.
    pub spot_price: Option<f64>,
    pub zone_prices: FxHashMap<Zone, f64>,
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A team, identified by the API keys that its clients send.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub name: TeamName,
    pub keys: Vec<String>,
    /// Overrides the priority of the route.
    pub priority: Option<u8>,
    /// Rate limit over all nodes, or `None` if there is none.
    pub limit: Option<TeamRate>,
}

/// Rate limit of a team over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamRate {
    /// Tokens or requests per second.
    pub per_s: f64,
    pub burst: f64,
    /// Unit in which requests are counted.
    pub unit: RateUnit,
}

/// Unit of a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateUnit {
    Requests,
    /// Prompt and output tokens. A request with an unknown number counts as `default_tokens`.
    Tokens {
        default_tokens: u64,
    },
}

impl RateUnit {
    /// Returns the cost of a request with the given number of tokens.
    pub fn cost(self, tokens: Option<u64>) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Tokens { default_tokens } => tokens.unwrap_or(default_tokens) as f64,
        }
    }
}

/// State of an upstream in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    Ready,
    Draining,
}

/// An upstream's entry in the platform's list. Nodes send each other changed entries, so the field names on the wire
/// are short.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    #[serde(rename = "i")]
    pub id: UpstreamName,
    #[serde(rename = "s")]
    pub service: ServiceName,
    #[serde(rename = "a")]
    pub address: SocketAddr,
    #[serde(rename = "z")]
    pub zone: Zone,
    #[serde(rename = "v", default)]
    pub version: SoftwareVersion,
    #[serde(rename = "t")]
    pub state: EntryState,
    #[serde(rename = "n")]
    pub slots: u32,
    /// Start of this incarnation, which distinguishes it from others under the same name.
    #[serde(rename = "b")]
    pub started_ms: u64,
    #[serde(rename = "p")]
    pub is_spot: bool,
    /// Time that a leaving upstream continues to run, in milliseconds, if known.
    #[serde(rename = "l")]
    pub leaves_in_ms: Option<u64>,
}

/// A configuration with an index to look up the routes and teams of requests.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Indices of the routes of each host, longest prefix first.
    routes_by_host: FxHashMap<String, Vec<usize>>,
    /// Index of the team that holds each key.
    teams_by_key: FxHashMap<String, usize>,
    pub config: Config,
}

impl RouteTable {
    /// Builds the index.
    pub fn new(config: Config) -> Self {
        let mut routes_by_host: FxHashMap<String, Vec<usize>> = FxHashMap::default();
        for (idx, route) in config.routes.iter().enumerate() {
            routes_by_host.entry(route.host.to_ascii_lowercase()).or_default().push(idx);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(config.routes[*it].path_prefix.len()));
        }
        let teams = config.teams.iter().enumerate();
        let teams_by_key =
            teams.flat_map(|(idx, team)| team.keys.iter().map(move |it| (it.clone(), idx)));
        let teams_by_key = teams_by_key.collect();
        Self { routes_by_host, teams_by_key, config }
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|it| it.is_ascii_digit()) { name } else { host }
        });
        let routes = match self.routes_by_host.get(host) {
            Some(it) => it,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut routes = routes.iter().map(|it| &self.config.routes[*it]);
        routes.find(|it| path.starts_with(&it.path_prefix))
    }

    /// Returns the team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.teams_by_key.get(key).map(|it| &self.config.teams[*it])
    }

    /// Draws a service of the route at random, by weight.
    pub fn draw_service<'a>(route: &'a Route, rng: &mut impl Rng) -> Option<&'a ServiceName> {
        let total: u32 = route.split.iter().map(|it| it.1).sum();
        if total == 0 {
            return None;
        }
        let mut point = rng.random_range(0..total);
        for (service, weight) in &route.split {
            if point < *weight {
                return Some(service);
            }
            point -= weight;
        }
        None
    }
}

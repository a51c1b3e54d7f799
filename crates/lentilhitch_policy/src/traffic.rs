//! What operators put into force: routes, services, teams and client limits, and the choice of a route.

use std::net::SocketAddr;

use rand::{Rng, RngExt};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use lentilhitch_types::{ServiceName, TeamName, UpstreamName, Zone};

/// One whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: FxHashMap<ServiceName, Service>,
    pub limits: ClientLimits,
    pub teams: Vec<Team>,
}

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each attempt of a client.
    AtMostOnce,
    /// A stream of events; only a resumable one may run again.
    Stream { is_resumable: bool },
}

impl Repeat {
    /// Whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Requests of one host below one path.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub repeat: Repeat,
    /// The longest time that a client is kept waiting.
    pub timeout_ms: Option<u64>,
    /// The latency objective, up to the first byte of a stream.
    pub target_ms: Option<u64>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// The number of upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// The longest pause between events of a stream that is on time.
    pub event_interval_max_ms: Option<u64>,
    /// Whether no key is asked for.
    pub is_anonymous: bool,
}

/// A group of upstreams that answer alike.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    pub engine: Option<Engine>,
    pub scaling: Option<Scaling>,
}

/// What the model engines of a service can do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    pub slots: u32,
    pub can_transfer_kv: bool,
}

/// Bounds and prices of the replicas that may be ordered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Replicas in a zone, reclaimable and on-demand together.
    pub zone_min: u32,
    pub zone_max: u32,
    pub boot_ms: u64,
    /// The price of a reclaimable replica as a part of an on-demand one; absent if there are none.
    pub spot_price: Option<f64>,
    pub zone_prices: FxHashMap<Zone, f64>,
}

/// Bounds on what a client may send.
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

/// A customer, known by its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub name: TeamName,
    pub keys: Vec<String>,
    /// Goes before the route's.
    pub priority: Option<u8>,
    /// Over all nodes; absent if there is no limit.
    pub limit: Option<TeamRate>,
}

/// A team's rate over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamRate {
    /// Tokens or requests a second.
    pub per_s: f64,
    pub burst: f64,
    /// What one request counts.
    pub unit: RateUnit,
}

/// What a rate counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateUnit {
    Requests,
    /// Prompt and output tokens; a request without figures counts as the given number.
    Tokens {
        default_tokens: u64,
    },
}

impl RateUnit {
    /// What a request of so many tokens counts.
    pub fn cost(self, tokens: Option<u64>) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Tokens { default_tokens } => tokens.unwrap_or(default_tokens) as f64,
        }
    }
}

/// The state of an upstream as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    Ready,
    Draining,
}

/// One upstream as the platform lists it. Nodes tell each other of changed ones, so the fields travel under short names.
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
    #[serde(rename = "t")]
    pub state: EntryState,
    #[serde(rename = "n")]
    pub slots: u32,
    /// Tells one life under a name from the next.
    #[serde(rename = "b")]
    pub started_ms: u64,
    #[serde(rename = "p")]
    pub is_spot: bool,
    /// How much longer a leaving upstream runs, if known.
    #[serde(rename = "l")]
    pub leaves_in_ms: Option<u64>,
}

/// An index of a configuration for looking up requests.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Indices into the routes of a host, longest prefix first.
    hosts: FxHashMap<String, Vec<usize>>,
    keys: FxHashMap<String, usize>,
    pub config: Config,
}

impl RouteTable {
    /// Builds the index.
    pub fn new(config: Config) -> Self {
        let mut hosts: FxHashMap<String, Vec<usize>> = FxHashMap::default();
        for (idx, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(idx);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(config.routes[*it].path_prefix.len()));
        }
        let teams = config.teams.iter().enumerate();
        let keys = teams.flat_map(|(idx, team)| team.keys.iter().map(move |it| (it.clone(), idx)));
        let keys = keys.collect();
        Self { hosts, keys, config }
    }

    /// The route with the longest prefix of the path among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|it| it.is_ascii_digit()) { name } else { host }
        });
        let routes = match self.hosts.get(host) {
            Some(it) => it,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let mut routes = routes.iter().map(|it| &self.config.routes[*it]);
        routes.find(|it| path.starts_with(&it.path_prefix))
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.keys.get(key).map(|it| &self.config.teams[*it])
    }

    /// A service of the route, drawn by weight.
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

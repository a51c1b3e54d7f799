//! Declarations of services: what serves them, their routes or models, and their upstreams.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use lentilhitch_types::{Findings, ServiceName, TeamName, UpstreamName, Zone};

use crate::json_text::JsonText;

const FIRST_TOKEN_TARGET_MS_DEFAULT: u64 = 710;
const BETWEEN_TOKENS_TARGET_MS_DEFAULT: u64 = 28;
const LANGUAGE_DEADLINE_MS_DEFAULT: u64 = 600_000;
const APPLICATION_DEADLINE_MS_DEFAULT: u64 = 30_000;

/// Service declaration as written by an operator.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceOptions {
    service: ServiceName,
    /// Teams that may call the service.
    #[schemars(length(min = 1))]
    teams: Vec<TeamName>,
    /// Present if the service is served by model engines.
    language: Option<LanguageOptions>,
    /// Present if the service is an ordinary application.
    application: Option<ApplicationOptions>,
    #[schemars(length(min = 1))]
    upstreams: Vec<UpstreamOptions>,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct LanguageOptions {
    /// Values of the `model` field in requests that select this service.
    #[schemars(length(min = 1))]
    models: Vec<String>,
    /// Model version that every upstream should load. If absent, upstreams are not ordered to load a version.
    version: Option<String>,
    /// Whether an accepted request continues after its client disconnects or its entry instance is lost.
    /// Default: false.
    durable: Option<bool>,
    /// Target for the time to the first token, in milliseconds. Default: 710.
    #[schemars(range(min = 1))]
    first_token_ms: Option<u64>,
    /// Target for the time between two tokens, in milliseconds. Default: 28.
    #[schemars(range(min = 1))]
    between_tokens_ms: Option<u64>,
    /// Maximum time for a complete response, in milliseconds. Default: 600000.
    #[schemars(range(min = 1))]
    deadline_ms: Option<u64>,
    /// Placement cost of recomputing one prompt token, as an equivalent time to the first token in milliseconds.
    /// Default: 0.05.
    #[schemars(range(min = 0.0))]
    recomputed_token_ms: Option<f64>,
    /// Placement cost of one millionth of a US dollar, as an equivalent time to the first token in milliseconds.
    /// Default: 0.2.
    #[schemars(range(min = 0.0))]
    microusd_ms: Option<f64>,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct ApplicationOptions {
    #[schemars(length(min = 1))]
    routes: Vec<RouteOptions>,
    /// Maximum time for a response, in milliseconds. Default: 30000.
    #[schemars(range(min = 1))]
    deadline_ms: Option<u64>,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct RouteOptions {
    /// Path prefix. It matches whole segments: the path itself and all paths below it.
    #[schemars(regex(pattern = r"^/"))]
    path: String,
    /// HTTP methods. If absent, the route matches all methods.
    methods: Option<Vec<String>>,
    /// Whether a call may be sent to an upstream again. Default: `idempotent` for GET and HEAD, `single` for other
    /// methods.
    repeat: Option<Repeat>,
}

/// Whether a call may be sent to an upstream again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running the call more than once has the same effect as running it once.
    Idempotent,
    /// Sent to an upstream at most once per client request.
    Single,
    /// Runs at most once per `Idempotency-Key`, regardless of how often clients send the request.
    AtMostOnce,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct UpstreamOptions {
    upstream: UpstreamName,
    /// IP address and port of the upstream.
    address: String,
    zone: Zone,
    /// Price of the instance, in millionths of a US dollar per hour. Default: 0.
    price_microusd_per_hour: Option<u64>,
    /// Expected number of reclaims of the instance per hour. Default: 0.
    #[schemars(range(min = 0.0))]
    reclaims_per_hour: Option<f64>,
    /// Whether the upstream rejects orders that carry an outdated fencing token. Default: false.
    checks_fencing: Option<bool>,
}

/// Validated service declaration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub service: ServiceName,
    pub teams: Vec<TeamName>,
    pub kind: ServiceKind,
    pub upstreams: Vec<Upstream>,
}

/// Type of the upstreams that serve a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    Language(Language),
    Application(Application),
}

/// Service that is served by model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Language {
    pub models: Vec<String>,
    pub version: Option<String>,
    pub durable: bool,
    pub first_token_ms: u64,
    pub between_tokens_ms: u64,
    pub deadline_ms: u64,
    pub recomputed_token_ms: f64,
    pub microusd_ms: f64,
}

/// Service that is an ordinary HTTP application.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Application {
    pub routes: Vec<Route>,
    pub deadline_ms: u64,
}

/// Calls of an application that match a path prefix and methods, and the rule for repeating them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub path: String,
    /// Uppercase HTTP methods. Empty if the route matches all methods.
    pub methods: Vec<String>,
    /// Rule for repeating calls, or `None` for the default of the method.
    pub repeat: Option<Repeat>,
}

/// Instance that serves a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    #[serde(rename = "upstream")]
    pub name: UpstreamName,
    pub address: SocketAddr,
    pub zone: Zone,
    pub price_microusd_per_hour: u64,
    pub reclaims_per_hour: f64,
    pub checks_fencing: bool,
}

impl Route {
    /// Returns whether a call with this method and path belongs to the route.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let remainder = path.strip_prefix(self.path.trim_end_matches('/'));
        let is_path_match = remainder.is_some_and(|it| it.is_empty() || it.starts_with('/'));
        is_path_match && (self.methods.is_empty() || self.methods.iter().any(|it| it == method))
    }

    /// Returns whether a call with this method may be sent to an upstream again.
    pub fn repeat(&self, method: &str) -> Repeat {
        let method_default =
            if matches!(method, "GET" | "HEAD") { Repeat::Idempotent } else { Repeat::Single };
        self.repeat.unwrap_or(method_default)
    }
}

impl ServiceOptions {
    pub(crate) fn resolve(self, text: &JsonText<'_>, findings: &mut Findings) -> Option<Service> {
        let kind = match (self.language, self.application) {
            (Some(language), None) => Some(ServiceKind::Language(language.resolve())),
            (None, Some(application)) => {
                Some(ServiceKind::Application(application.resolve(text, findings)))
            }
            (Some(_), Some(_)) => {
                findings.push(
                    text.position("/application"),
                    "a service has either `language` or `application`, not both",
                );
                None
            }
            (None, None) => {
                findings.push(text.position(""), "a service needs `language` or `application`");
                None
            }
        };
        let upstreams = resolve_upstreams(self.upstreams, text, findings);
        Some(Service { service: self.service, teams: self.teams, kind: kind?, upstreams })
    }
}

impl LanguageOptions {
    fn resolve(self) -> Language {
        Language {
            models: self.models,
            version: self.version,
            durable: self.durable.unwrap_or(false),
            first_token_ms: self.first_token_ms.unwrap_or(FIRST_TOKEN_TARGET_MS_DEFAULT),
            between_tokens_ms: self.between_tokens_ms.unwrap_or(BETWEEN_TOKENS_TARGET_MS_DEFAULT),
            deadline_ms: self.deadline_ms.unwrap_or(LANGUAGE_DEADLINE_MS_DEFAULT),
            recomputed_token_ms: self.recomputed_token_ms.unwrap_or(0.05),
            microusd_ms: self.microusd_ms.unwrap_or(0.2),
        }
    }
}

impl ApplicationOptions {
    fn resolve(self, text: &JsonText<'_>, findings: &mut Findings) -> Application {
        let mut routes = Vec::new();
        for (idx, route) in self.routes.into_iter().enumerate() {
            let methods: Vec<_> =
                route.methods.unwrap_or_default().iter().map(|it| it.to_uppercase()).collect();
            if routes.iter().any(|it: &Route| it.path == route.path && it.methods == methods) {
                let position = text.position(&format!("/application/routes/{idx}/path"));
                findings.push(position, format!("the route {:?} is listed twice", route.path));
            }
            routes.push(Route { path: route.path, methods, repeat: route.repeat });
        }
        Application {
            routes,
            deadline_ms: self.deadline_ms.unwrap_or(APPLICATION_DEADLINE_MS_DEFAULT),
        }
    }
}

fn resolve_upstreams(
    options: Vec<UpstreamOptions>,
    text: &JsonText<'_>,
    findings: &mut Findings,
) -> Vec<Upstream> {
    let mut upstreams: Vec<Upstream> = Vec::new();
    for (idx, it) in options.into_iter().enumerate() {
        if upstreams.iter().any(|other| other.name == it.upstream) {
            let position = text.position(&format!("/upstreams/{idx}/upstream"));
            findings.push(position, format!("the upstream {} is listed twice", it.upstream));
        }
        let Ok(address) = it.address.parse() else {
            let position = text.position(&format!("/upstreams/{idx}/address"));
            findings.push(position, format!("{:?} is not an IP address with a port", it.address));
            continue;
        };
        upstreams.push(Upstream {
            name: it.upstream,
            address,
            zone: it.zone,
            price_microusd_per_hour: it.price_microusd_per_hour.unwrap_or(0),
            reclaims_per_hour: it.reclaims_per_hour.unwrap_or(0.0),
            checks_fencing: it.checks_fencing.unwrap_or(false),
        });
    }
    upstreams
}

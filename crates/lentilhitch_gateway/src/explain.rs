//! Answers operators where this node would send a given request now, and why. Nothing is sent to an upstream, counted or
//! charged.

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use lentilhitch_policy::{
    placement::{Prompt, PromptSegment, explain::Candidate},
    traffic::{Route, RouteTable, Team},
};
use lentilhitch_types::{SegmentId, ServiceName, TeamName};

use crate::{
    admission::CLIENT_TIMEOUT_DEFAULT_MS,
    attempts::first_token_limit_ms,
    node::{Node, available},
    platform::Platform,
};

/// Path at the administrative address, for a POST request with a [`Query`] as JSON.
pub const PATH: &str = "/v1/explain";
/// Maximum size of a query.
const QUERY_BYTES_MAX: usize = 64 * 1024;

/// Request that an operator asks about.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    pub host: String,
    pub path: String,
    pub team: Option<TeamName>,
    /// Replaces the priority of the route and the team.
    pub priority: Option<u8>,
    /// Segments of the prompt with their numbers of tokens. Other requests may share all but the last.
    pub segments: Vec<(SegmentId, u32)>,
    /// Tokens of the prompt. The request has no prompt if absent.
    pub input_tokens: Option<u64>,
    pub output_tokens: u64,
    /// Time that the client waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Number of candidates to return for each service, beside those that are always compared.
    pub candidates_max: usize,
}

/// What a node would do with a request now.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    pub instance: String,
    pub config_version: u64,
    pub route: String,
    pub team: Option<TeamName>,
    pub priority: u8,
    /// Time until the timeout of the client or of the route expires, whichever is earlier.
    pub remaining_ms: u64,
    /// Set if the request would be rejected before a service is drawn.
    pub rejection: Option<Rejection>,
    /// Services of the route. One of them is drawn by weight.
    pub services: Vec<ServiceExplanation>,
}

/// A service that may get the request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceExplanation {
    pub name: ServiceName,
    pub weight: u32,
    /// Ready upstreams, and those of them that may get requests from this node now.
    pub n_ready: usize,
    pub n_available: usize,
    /// The first candidate gets the request if it is compared.
    pub candidates: Vec<Candidate>,
    /// Expected time to the first token at the first candidate, and the limit above which the request is rejected. Set
    /// only for a request with a prompt.
    pub expected_wait_ms: Option<f64>,
    pub wait_limit_ms: Option<f64>,
    /// Rank of the request and threshold of the service while capacity is short. Always absent in this version.
    pub rank: Option<Rank>,
    /// Versions that may run the request during a rollout. Always absent in this version.
    pub version_side: Option<String>,
    pub rejection: Option<Rejection>,
}

/// Rank of a request among those that wait, and the threshold that it must reach.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Rank {
    pub rank: f64,
    pub threshold: f64,
}

/// Rejection that the request would get.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rejection {
    pub status: u16,
    pub reason: String,
    /// Range from which `Retry-After` is drawn.
    pub retry_after_ms: (u64, u64),
}

/// Reason why a query has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum QueryError {
    #[error("the query is too large or broke off")]
    Unreadable,
    #[error("malformed query: {0}")]
    Malformed(String),
    #[error("the node knows no configuration")]
    NoConfig,
    #[error("no route for host {host:?} and path {path:?}")]
    NoRoute { host: String, path: String },
    #[error("no team is named {0}")]
    NoTeam(TeamName),
    #[error("the answer cannot be encoded")]
    Encoding,
}

impl QueryError {
    fn status(&self) -> StatusCode {
        match self {
            Self::Unreadable | Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::NoRoute { .. } | Self::NoTeam(_) => StatusCode::NOT_FOUND,
            Self::NoConfig => StatusCode::SERVICE_UNAVAILABLE,
            Self::Encoding => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// Returns the response to a query: an [`Explanation`] as JSON, or an error as text.
pub(crate) async fn respond<P: Platform>(node: &Node<P>, body: Incoming) -> (StatusCode, Bytes) {
    let body = Limited::new(body, QUERY_BYTES_MAX).collect().await;
    let answer = body.map_err(|_| QueryError::Unreadable).and_then(|it| {
        let query: Query = serde_json::from_slice(&it.to_bytes())
            .map_err(|err| QueryError::Malformed(err.to_string()))?;
        let explanation = node.explain(&query)?;
        serde_json::to_vec(&explanation).map_err(|_| QueryError::Encoding)
    });
    match answer {
        Ok(bytes) => (StatusCode::OK, bytes.into()),
        Err(err) => (err.status(), err.to_string().into()),
    }
}

impl Query {
    fn prompt(&self) -> Option<Prompt> {
        let segments =
            self.segments.iter().map(|(id, tokens)| PromptSegment { id: *id, tokens: *tokens });
        Some(Prompt {
            input_tokens: self.input_tokens?,
            output_tokens_max: self.output_tokens,
            segments: segments.collect(),
        })
    }

    fn team<'a>(&self, table: &'a RouteTable) -> Result<Option<&'a Team>, QueryError> {
        let Some(name) = &self.team else { return Ok(None) };
        let team = table.config.teams.iter().find(|it| it.name == *name);
        team.map(Some).ok_or_else(|| QueryError::NoTeam(name.clone()))
    }
}

impl<P: Platform> Node<P> {
    fn explain(&self, query: &Query) -> Result<Explanation, QueryError> {
        let table = self.state.borrow().route_table.clone().ok_or(QueryError::NoConfig)?;
        let route = table.route(&query.host, &query.path).ok_or_else(|| QueryError::NoRoute {
            host: query.host.clone(),
            path: query.path.clone(),
        })?;
        let team = query.team(&table)?.filter(|_| !route.is_anonymous);
        let priority = team.and_then(|it| it.priority).unwrap_or(route.priority);
        let deadline_ms = query.deadline_ms.unwrap_or(CLIENT_TIMEOUT_DEFAULT_MS);
        let remaining_ms = route.timeout_ms.unwrap_or(u64::MAX).min(deadline_ms);
        let prompt = query.prompt();
        let n_tokens =
            prompt.as_ref().map(|it| it.input_tokens.saturating_add(it.output_tokens_max));
        let wait_ms = team.and_then(|it| self.rate_limit_wait_ms(it, n_tokens));
        let rejection = wait_ms.map(|it| Rejection {
            status: StatusCode::TOO_MANY_REQUESTS.as_u16(),
            reason: "the team is over its rate limit".to_owned(),
            retry_after_ms: (it, it),
        });
        let services = route.split.iter().map(|(service, weight)| {
            let it = ServiceQuery { service, weight: *weight, route, remaining_ms };
            self.explain_service(&it, prompt.as_ref(), query.candidates_max)
        });
        Ok(Explanation {
            instance: self.settings.instance.to_string(),
            config_version: table.config.version,
            route: route.name.clone(),
            team: team.map(|it| it.name.clone()),
            priority: query.priority.unwrap_or(priority),
            remaining_ms,
            rejection,
            services: services.collect(),
        })
    }

    fn explain_service(
        &self,
        query: &ServiceQuery<'_>,
        prompt: Option<&Prompt>,
        candidates_max: usize,
    ) -> ServiceExplanation {
        let service = query.service;
        let now_ms = self.now_ms();
        let (n_ready, mut candidates) = {
            let mut state = self.state.borrow_mut();
            let blocked = state.blocked_upstreams(service, now_ms);
            let candidates = available(&state.catalog, &state.restrictions, service, now_ms);
            let candidates: Vec<_> =
                candidates.filter(|it| !blocked.contains(&it.entry.id)).collect();
            let n_ready = state.catalog.ready(service).count();
            (n_ready, state.load_table.explain(prompt, &candidates, now_ms))
        };
        let n_available = candidates.len();
        let expected_wait_ms = candidates.first().filter(|_| prompt.is_some());
        let expected_wait_ms = expected_wait_ms.map(|it| it.first_token_ms);
        let wait_limit_ms = prompt.map(|_| first_token_limit_ms(query.route, query.remaining_ms));
        let reason = match (expected_wait_ms, wait_limit_ms) {
            _ if candidates.is_empty() => Some("no upstream is ready"),
            (Some(expected_ms), Some(limit_ms)) if limit_ms < expected_ms => {
                Some("the first token would come too late")
            }
            _ => None,
        };
        let rejection = reason.map(|reason| {
            let (min, max) = self.retry_after_range_ms(service).into_inner();
            let status = StatusCode::SERVICE_UNAVAILABLE.as_u16();
            Rejection { status, reason: reason.to_owned(), retry_after_ms: (min, max) }
        });
        let mut n_kept = 0;
        candidates.retain(|it| {
            n_kept += 1;
            n_kept <= candidates_max || it.hash_rank.is_some()
        });
        ServiceExplanation {
            name: service.clone(),
            weight: query.weight,
            n_ready,
            n_available,
            candidates,
            expected_wait_ms,
            wait_limit_ms,
            rank: None,
            version_side: None,
            rejection,
        }
    }
}

/// A service of the route of a query.
struct ServiceQuery<'a> {
    service: &'a ServiceName,
    weight: u32,
    route: &'a Route,
    remaining_ms: u64,
}

//! Admission of client requests: determines route, team and service, reads the body and applies the limits.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{header, request};
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;

use lentilhitch_policy::{
    body_memory::{BodyBuffer, BodyError, Owner, Reservation},
    placement::Prompt,
    shared_rate::ClusterView,
    stream_origins::StreamOrigin,
    suspects::Suspect,
    traffic::{ClientLimits, Route, RouteTable, Team},
};
use lentilhitch_types::{Fingerprint, ServiceName, TeamName};

use crate::{
    client_response::Rejection,
    node::{Node, NodePhase, short_hash},
    platform::{Platform, RequestHead},
};

/// `Retry-After` of rejections for which no better estimate exists.
const RETRY_AFTER_DEFAULT_MS: u64 = 500;

/// A client request that was admitted and may be sent to an upstream.
pub(crate) struct AdmittedRequest {
    /// Method, URI and headers as received from the client.
    pub(crate) parts: request::Parts,
    /// Empty while the last sending that is allowed has it.
    pub(crate) body: RefCell<Bytes>,
    /// Values decoded from the headers in `parts`.
    pub(crate) head: RequestHead,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) team: Option<TeamName>,
    /// 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) arrived_ms: u64,
    /// Time at which the timeout of the client or of the route expires, whichever is earlier.
    pub(crate) deadline_at_ms: u64,
    /// Identifies the request and the segments of its prompt in the evidence of crashes and for the quarantine. The
    /// request is identified by the path with the query, the team's name and the body.
    pub(crate) suspect: Suspect,
    /// Cost that was charged to the team's rate limit.
    pub(crate) cost: f64,
    /// Service and software version that began the stream which the request resumes.
    pub(crate) origin: Option<StreamOrigin>,
}

impl AdmittedRequest {
    /// Returns the time until the deadline.
    pub(crate) fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.deadline_at_ms.saturating_sub(now_ms)
    }
}

/// Timeout of a client that states none.
pub(crate) const CLIENT_TIMEOUT_DEFAULT_MS: u64 = 30_000;

/// Reads the complete request and decides whether it may be sent to an upstream.
pub(crate) async fn admit<P: Platform>(
    node: &Rc<Node<P>>,
    parts: request::Parts,
    head: RequestHead,
    body: &mut Incoming,
    arrived_ms: u64,
) -> Result<AdmittedRequest, Rejection> {
    if *node.phase.borrow() == NodePhase::Closing {
        return Err(Rejection::Unavailable { reason: "the node is stopping", retry_after_ms: 0 });
    }
    let table = node.state.borrow().route_table.clone();
    let Some(table) = table else {
        return Err(Rejection::Unavailable {
            reason: "no configuration is known",
            retry_after_ms: RETRY_AFTER_DEFAULT_MS,
        });
    };
    let route = find_route(&parts, &table)
        .ok_or_else(|| node.replace_if_config_stale(Rejection::NoRoute))?;
    let (team, priority) =
        find_team(&head, &route, &table).map_err(|it| node.replace_if_config_stale(it))?;
    let limits = table.config.limits;
    let owner = Owner::Team(team.map(|it| short_hash(it.name.as_str())));
    let body = read_body(node, body, owner, limits).await?;
    let client_timeout_ms = head.deadline_ms.unwrap_or(CLIENT_TIMEOUT_DEFAULT_MS);
    let deadline_at_ms = arrived_ms + route.timeout_ms.unwrap_or(u64::MAX).min(client_timeout_ms);
    let service = {
        let mut state = node.state.borrow_mut();
        RouteTable::draw_service(&route, &mut state.rng).cloned()
    };
    let service = service.ok_or(Rejection::Unavailable {
        reason: "the route has no service",
        retry_after_ms: RETRY_AFTER_DEFAULT_MS,
    })?;
    let path = parts.uri.path_and_query().map_or("", |it| it.as_str());
    let team_name = team.map_or("", |it| it.name.as_str());
    let segments = head.prompt.iter().flat_map(Prompt::shared_segments).map(|it| it.id);
    let suspect = Suspect {
        request: Fingerprint::of(&[path.as_bytes(), team_name.as_bytes(), &body]),
        segments: segments.collect(),
    };
    if node.state.borrow().suspects.is_stopped(&suspect) {
        return Err(Rejection::Quarantined);
    }
    let cost = node.charge(team, &head)?;
    let team = team.map(|it| it.name.clone());
    Ok(AdmittedRequest {
        parts,
        body: RefCell::new(body),
        head,
        route,
        service,
        team,
        priority,
        arrived_ms,
        deadline_at_ms,
        suspect,
        cost,
        origin: None,
    })
}

fn find_route(parts: &request::Parts, table: &RouteTable) -> Option<Route> {
    let host = parts.headers.get(header::HOST)?.to_str().ok()?;
    table.route(host, parts.uri.path()).cloned()
}

/// Returns the team and the priority of a request.
fn find_team<'a>(
    head: &RequestHead,
    route: &Route,
    table: &'a RouteTable,
) -> Result<(Option<&'a Team>, u8), Rejection> {
    if route.is_anonymous || table.config.teams.is_empty() {
        return Ok((None, route.priority));
    }
    let key = head.key.as_deref().ok_or(Rejection::UnknownKey)?;
    let team = table.team(key).ok_or(Rejection::UnknownKey)?;
    Ok((Some(team), team.priority.unwrap_or(route.priority)))
}

/// Reads a body. Fails if no data arrives for the idle timeout of clients.
async fn read_body<P>(
    node: &Rc<Node<P>>,
    body: &mut Incoming,
    owner: Owner,
    limits: ClientLimits,
) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let stated_bytes = body.size_hint().lower();
    if (limits.body_bytes as u64) < stated_bytes {
        return Err(Rejection::BodyTooLarge);
    }
    let reservation = Reservation::new(&node.body_memory, owner);
    let mut buffer = BodyBuffer::new(reservation, limits.body_bytes, stated_bytes);
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
    loop {
        let frame = match timeout(idle_timeout, body.frame()).await {
            Err(_) => return Err(Rejection::BodyTimeout),
            Ok(None) => return Ok(buffer.finish()),
            Ok(Some(Err(_))) => return Err(Rejection::Malformed("the body is broken")),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(chunk) = frame.into_data() else { continue };
        buffer.push(chunk).map_err(|err| match err {
            BodyError::TooLarge => Rejection::BodyTooLarge,
            BodyError::MemoryExhausted => Rejection::Unavailable {
                reason: "no memory for the body",
                retry_after_ms: RETRY_AFTER_DEFAULT_MS,
            },
        })?;
    }
}

impl<P: Platform> Node<P> {
    /// Replaces a rejection by a temporary one if this node's configuration was neither read nor confirmed recently,
    /// because the request may be valid under a newer configuration.
    fn replace_if_config_stale(&self, rejection: Rejection) -> Rejection {
        let age_ms = self.now_ms().saturating_sub(self.state.borrow().config_read_ms);
        if age_ms <= CONFIG_AGE_MAX_MS {
            return rejection;
        }
        Rejection::Unavailable {
            reason: "the configuration may be out of date",
            retry_after_ms: RETRY_AFTER_DEFAULT_MS,
        }
    }

    /// Returns what is known of the other nodes, for rate limits.
    fn cluster_view(&self, now_ms: u64) -> ClusterView {
        let zone = self.zone_hash();
        let gossip = &self.state.borrow().gossip;
        // The other nodes of each zone, and the age of the zone's state.
        let peers = gossip.zones().map(|it| {
            let n_nodes = it.state.n_nodes as usize;
            let n_nodes = n_nodes.saturating_sub(usize::from(it.state.zone == zone));
            (n_nodes, now_ms.saturating_sub(it.as_of_ms))
        });
        ClusterView::new(gossip.n_nodes(now_ms), gossip.state_age_ms(now_ms), peers)
    }

    /// Returns the time after which a request of a team would be admitted, if it would be rejected now for the team's
    /// limit. Nothing is charged.
    pub(crate) fn rate_limit_wait_ms(&self, team: &Team, total_tokens: Option<u64>) -> Option<u64> {
        let cost = team.limit?.unit.cost(total_tokens);
        let now_ms = self.now_ms();
        let view = self.cluster_view(now_ms);
        let mut rate = self.state.borrow().rates.get(&team.name)?.clone();
        rate.try_admit(cost, view, now_ms).err().map(|it| it.min(RETRY_AFTER_MAX_MS))
    }

    /// Charges a request to the rate limit of its team and returns the cost. A request without a team, of a team
    /// without a limit, or of a team that has a limit but no entry in the node's rates is admitted at no cost.
    fn charge(&self, team: Option<&Team>, head: &RequestHead) -> Result<f64, Rejection> {
        let Some((team, limit)) = team.and_then(|it| Some((&it.name, it.limit?))) else {
            return Ok(0.0);
        };
        let cost = limit.unit.cost(head.total_tokens());
        let now_ms = self.now_ms();
        let view = self.cluster_view(now_ms);
        let mut state = self.state.borrow_mut();
        let Some(rate) = state.rates.get_mut(team) else { return Ok(0.0) };
        let res = if head.is_resumed() {
            rate.try_admit_resumed(cost, view, now_ms)
        } else {
            rate.try_admit(cost, view, now_ms)
        };
        match res {
            Ok(()) => {
                // A report is urgent if this node has admitted more than its share since its last report, or anything
                // while the bucket is low. The gossip task then sends it to all peers without waiting for the next
                // state message.
                if rate.needs_urgent_report() {
                    self.rates_due.notify_one();
                }
                Ok(cost)
            }
            Err(wait_ms) => {
                Err(Rejection::OverRateLimit { retry_after_ms: wait_ms.min(RETRY_AFTER_MAX_MS) })
            }
        }
    }

    /// Charges the cost of a request to the rate limit of its team once more, since the request may run a second time.
    pub(crate) fn charge_again(&self, admitted: &AdmittedRequest) {
        let Some(team) = &admitted.team else { return };
        if let Some(rate) = self.state.borrow_mut().rates.get_mut(team) {
            rate.charge_repeat(admitted.cost);
        }
    }

    /// Refunds the cost of a request that did not run to the rate limit of its team.
    pub(crate) fn refund(&self, admitted: &AdmittedRequest) {
        let Some(team) = &admitted.team else { return };
        if let Some(rate) = self.state.borrow_mut().rates.get_mut(team) {
            rate.refund(admitted.cost);
        }
    }
}

/// Maximum `Retry-After` of requests over the rate limit.
const RETRY_AFTER_MAX_MS: u64 = 10_000;
/// Maximum time since the configuration was last read or confirmed. After a longer time, rejections of unknown routes
/// and keys are temporary.
const CONFIG_AGE_MAX_MS: u64 = 6_000;

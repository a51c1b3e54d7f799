//! From a client's request to a call that may be sent: route, team, limits and body.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{header, request};
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;

use lentilhitch_policy::{
    shared_rate::ClusterView,
    traffic::{Route, RouteTable, Team},
};
use lentilhitch_types::{Fingerprint, ServiceName, TeamName};

use crate::{
    answer::Refusal,
    node::{Node, StopPhase},
    platform::{Platform, RequestHead},
};

/// The part of a node's memory that request bodies may take.
const BUFFERED_SHARE: u64 = 5;
/// When a client may come back that was refused before anything is known.
const UNKNOWN_WAIT_MS: u64 = 500;

/// A request that may be sent to an upstream.
pub(crate) struct Call {
    pub(crate) parts: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) head: RequestHead,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) team: Option<TeamName>,
    pub(crate) priority: u8,
    pub(crate) arrived_ms: u64,
    /// When the client, or the route, stops waiting.
    pub(crate) ends_ms: u64,
    pub(crate) fingerprint: Fingerprint,
    /// What it took from the team's rate.
    pub(crate) cost: f64,
}

impl Call {
    /// Milliseconds until nobody waits for it any more.
    pub(crate) fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.ends_ms.saturating_sub(now_ms)
    }
}

/// A client that told no deadline waits so long.
const DEADLINE_DEFAULT_MS: u64 = 30_000;

/// Reads a request whole and decides whether it may be sent.
pub(crate) async fn admit<P: Platform>(
    node: &Rc<Node<P>>,
    parts: request::Parts,
    head: RequestHead,
    body: Incoming,
    arrived_ms: u64,
) -> Result<Call, Refusal> {
    if *node.stop_phase.borrow() == StopPhase::Closing {
        return Err(Refusal::Unavailable { why: "the node is stopping", wait_ms: 0 });
    }
    let table = node.state.borrow().route_table.clone();
    let Some(table) = table else {
        return Err(Refusal::Unavailable {
            why: "no configuration is known",
            wait_ms: UNKNOWN_WAIT_MS,
        });
    };
    let route = find_route(&parts, &table).ok_or_else(|| node.denied(Refusal::NoRoute))?;
    let (team, priority) = find_team(&head, &route, &table).map_err(|it| node.denied(it))?;
    let limits = table.config.limits;
    let body = read_body(node, body, limits.body_bytes, limits.idle_timeout_ms).await?;
    let waits_ms = head.deadline_ms.unwrap_or(DEADLINE_DEFAULT_MS);
    let ends_ms = arrived_ms + route.timeout_ms.unwrap_or(u64::MAX).min(waits_ms);
    let service = {
        let mut state = node.state.borrow_mut();
        RouteTable::draw_service(&route, &mut state.rng).cloned()
    };
    let service = service.ok_or(Refusal::Unavailable {
        why: "the route has no service",
        wait_ms: UNKNOWN_WAIT_MS,
    })?;
    let path = parts.uri.path_and_query().map_or("", |it| it.as_str());
    let team_text = team.map_or("", |it| it.name.as_str());
    let fingerprint = Fingerprint::of(&[path.as_bytes(), team_text.as_bytes(), &body]);
    if node.state.borrow().suspects.is_quarantined(fingerprint) {
        return Err(Refusal::Stopped);
    }
    let cost = node.charge(team, &head)?;
    let team = team.map(|it| it.name.clone());
    Ok(Call {
        parts,
        body,
        head,
        route,
        service,
        team,
        priority,
        arrived_ms,
        ends_ms,
        fingerprint,
        cost,
    })
}

fn find_route(parts: &request::Parts, table: &RouteTable) -> Option<Route> {
    let host = parts.headers.get(header::HOST)?.to_str().ok()?;
    table.route(host, parts.uri.path()).cloned()
}

/// The team of a request, and how urgent it is.
fn find_team<'a>(
    head: &RequestHead,
    route: &Route,
    table: &'a RouteTable,
) -> Result<(Option<&'a Team>, u8), Refusal> {
    if route.is_anonymous || table.config.teams.is_empty() {
        return Ok((None, route.priority));
    }
    let key = head.key.as_deref().ok_or(Refusal::UnknownKey)?;
    let team = table.team(key).ok_or(Refusal::UnknownKey)?;
    Ok((Some(team), team.priority.unwrap_or(route.priority)))
}

/// Reads a body within a size, with pauses no longer than the idle limit.
async fn read_body<P>(
    node: &Rc<Node<P>>,
    mut body: Incoming,
    bytes_max: usize,
    pause_max_ms: u64,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > bytes_max as u64 {
        return Err(Refusal::BodyTooLarge);
    }
    let mut buffered = Buffered { node, n_bytes: 0 };
    let mut bytes = BytesMut::new();
    let mut only: Option<Bytes> = None;
    loop {
        let frame = match timeout(Duration::from_millis(pause_max_ms), body.frame()).await {
            Err(_) => return Err(Refusal::BodyLate),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(Refusal::Malformed("the body is broken")),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        buffered.add(data.len())?;
        if bytes_max < buffered.n_bytes {
            return Err(Refusal::BodyTooLarge);
        }
        match only.take() {
            None if bytes.is_empty() => only = Some(data),
            Some(first) => {
                bytes.extend_from_slice(&first);
                bytes.extend_from_slice(&data);
            }
            None => bytes.extend_from_slice(&data),
        }
    }
    Ok(only.unwrap_or_else(|| bytes.freeze()))
}

/// Bytes of bodies that are being read.
struct Buffered<'a, P> {
    node: &'a Rc<Node<P>>,
    n_bytes: usize,
}

impl<P> Buffered<'_, P> {
    fn add(&mut self, n_bytes: usize) -> Result<(), Refusal> {
        let bytes_max = (self.node.settings.memory_bytes / BUFFERED_SHARE) as usize;
        let mut state = self.node.state.borrow_mut();
        if bytes_max < state.buffered_bytes + n_bytes {
            return Err(Refusal::Unavailable {
                why: "too many bodies are being read",
                wait_ms: UNKNOWN_WAIT_MS,
            });
        }
        state.buffered_bytes += n_bytes;
        self.n_bytes += n_bytes;
        Ok(())
    }
}

impl<P> Drop for Buffered<'_, P> {
    fn drop(&mut self) {
        self.node.state.borrow_mut().buffered_bytes -= self.n_bytes;
    }
}

impl<P: Platform> Node<P> {
    /// A node that has not heard of the newest configuration lately can't say that a request is wrong.
    fn denied(&self, refusal: Refusal) -> Refusal {
        let age_ms = self.now_ms().saturating_sub(self.state.borrow().config_read_ms);
        if age_ms <= CONFIG_FRESH_MS {
            return refusal;
        }
        Refusal::Unavailable {
            why: "the configuration may be out of date",
            wait_ms: UNKNOWN_WAIT_MS,
        }
    }

    /// Takes what a request counts from its team's rate.
    fn charge(&self, team: Option<&Team>, head: &RequestHead) -> Result<f64, Refusal> {
        let Some((team, limit)) = team.and_then(|it| Some((&it.name, it.limit?))) else {
            return Ok(0.0);
        };
        let cost = limit.unit.cost(head.total_tokens());
        let now_ms = self.now_ms();
        let (n_nodes, interval_ms) = (self.n_nodes(), self.gossip_interval_ms());
        let mut state = self.state.borrow_mut();
        let ages_ms = state.peers.values().map(|it| now_ms.saturating_sub(it.last_received_ms));
        let peering = ClusterView::new(n_nodes, interval_ms, ages_ms);
        let Some(rate) = state.rates.get_mut(team) else { return Ok(0.0) };
        match rate.try_admit(cost, peering, now_ms) {
            Ok(()) => {
                if rate.needs_urgent_report() {
                    self.rates_due.notify_one();
                }
                Ok(cost)
            }
            Err(wait_ms) => Err(Refusal::OverLimit { wait_ms: wait_ms.min(WAIT_MAX_MS) }),
        }
    }

    /// Takes what a call counts once more, since it may run a second time.
    pub(crate) fn charge_again(&self, call: &Call) {
        let Some(team) = &call.team else { return };
        if let Some(rate) = self.state.borrow_mut().rates.get_mut(team) {
            rate.charge_repeat(call.cost);
        }
    }

    /// Puts back what a call took from its team's rate, since it did not run.
    pub(crate) fn refund(&self, call: &Call) {
        let Some(team) = &call.team else { return };
        if let Some(rate) = self.state.borrow_mut().rates.get_mut(team) {
            rate.refund(call.cost);
        }
    }
}

/// The longest time after which a refused client is asked to come back.
const WAIT_MAX_MS: u64 = 10_000;
/// Age of the last word on the configuration up to which unknown routes and keys are refused for good.
const CONFIG_FRESH_MS: u64 = 6_000;

//! Forwarding of a client's request, from its head to the response.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, header, response};
use hyper::body::Incoming;

use lentilhitch_policy::traffic::Repeat;

use crate::{
    admission::{AdmittedRequest, admit},
    attempts::Attempts,
    client_response::{InFlightGuard, Rejection, ResponseBody},
    node::Node,
    platform::Platform,
    relay,
    stream_versions::bind_resumed,
};

/// Serves one request.
pub(crate) async fn serve<P: Platform>(
    node: Rc<Node<P>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived_ms = node.now_ms();
    let (parts, mut body) = request.into_parts();
    let in_flight = InFlightGuard::new(&node.n_in_flight);
    let response = match P::decode_request(&parts) {
        Err(invalid) => {
            let rejected = Rejected { id: "", resumed: None, route: "", arrived_ms };
            reject(&node, rejected, Rejection::Malformed(invalid.0))
        }
        Ok(head) => {
            let (id, resumed) = (head.id.clone(), head.resumed_id.clone());
            match admit(&node, parts, head, &mut body, arrived_ms).await {
                Ok(admitted) => serve_admitted(&node, admitted).await,
                Err(rejection) => {
                    let resumed = resumed.as_deref();
                    let rejected = Rejected { id: &id, resumed, route: "", arrived_ms };
                    reject(&node, rejected, rejection).map(|it| it.with_unread(body))
                }
            }
        }
    };
    response.map(|it| it.with_in_flight(in_flight))
}

/// Request that is rejected, for the log.
#[derive(Clone, Copy, Debug)]
struct Rejected<'a> {
    id: &'a str,
    /// Identifier of the client's earlier sending whose stream the request resumes.
    resumed: Option<&'a str>,
    route: &'a str,
    arrived_ms: u64,
}

/// Returns the node's own response to a request that gets none from an upstream. Rejections are logged as warnings, so
/// that they are kept when log lines have to be dropped.
fn reject<P: Platform>(
    node: &Rc<Node<P>>,
    rejected: Rejected<'_>,
    rejection: Rejection,
) -> Response<ResponseBody> {
    let Rejected { id: request, resumed, route, arrived_ms } = rejected;
    let elapsed_ms = node.now_ms() - arrived_ms;
    let status = rejection.status().as_u16();
    let config_version = node.config_version();
    let retry_after_ms = rejection.retry_after_ms();
    let shed = if let Rejection::Shed(it) = rejection { Some(it) } else { None };
    let priority = shed.map(|it| it.priority);
    let expected_ms = shed.map(|it| it.expected_ms);
    let n_there = shed.map(|it| it.n_there);
    let n_queued = shed.map(|it| it.n_queued);
    log::warn!(request, resumed, route, status, reason = rejection.reason(), elapsed_ms, config_version, retry_after_ms, priority, expected_ms, n_there, n_queued; "request rejected");
    node.metrics.record_request(route, status, elapsed_ms);
    rejection.response::<P>()
}

/// Sends an admitted request to upstreams until one of them responds or the request is rejected.
async fn serve_admitted<P: Platform>(
    node: &Rc<Node<P>>,
    mut admitted: AdmittedRequest,
) -> Response<ResponseBody> {
    let bound = bind_resumed(node, &mut admitted).await;
    let admitted = Rc::new(admitted);
    let mut attempts = Attempts::new(node, &admitted);
    let res = match (bound, admitted.route.repeat) {
        (Err(rejection), _) => Err(rejection),
        (Ok(()), Repeat::Stream { .. }) => serve_stream(attempts).await,
        (Ok(()), _) => serve_non_streaming(&mut attempts).await,
    };
    match res {
        Ok(response) => {
            let elapsed_ms = node.now_ms() - admitted.arrived_ms;
            node.metrics.record_request(
                &admitted.route.name,
                response.status().as_u16(),
                elapsed_ms,
            );
            response
        }
        Err(rejection) => {
            if matches!(
                rejection,
                Rejection::Unavailable { .. } | Rejection::Shed(_) | Rejection::Quarantined
            ) {
                node.refund(&admitted);
            }
            let rejected = Rejected {
                id: &admitted.head.id,
                resumed: admitted.head.resumed_id.as_deref(),
                route: &admitted.route.name,
                arrived_ms: admitted.arrived_ms,
            };
            reject(node, rejected, rejection)
        }
    }
}

/// Serves a request whose response is read completely before it is passed on.
async fn serve_non_streaming<P: Platform>(
    attempts: &mut Attempts<P>,
) -> Result<Response<ResponseBody>, Rejection> {
    let (node, admitted) = (attempts.node.clone(), attempts.admitted.clone());
    let mut upstream_failure = None;
    loop {
        let response = match attempts.next_response(None).await {
            Ok(it) => it,
            // A failure response of an upstream takes precedence over the node's own rejection.
            Err(rejection) => return upstream_failure.ok_or(rejection),
        };
        attempts.count_usage_once();
        let upstream = response.entry.id.clone();
        match response.read_to_end(&node, &admitted).await {
            Ok((parts, body)) => {
                let is_failure = parts.status.is_server_error();
                attempts.log_response(&upstream, parts.status.as_u16());
                let response = complete_response::<P>(&admitted, &parts, body);
                if !is_failure || !attempts.may_retry() {
                    return Ok(response);
                }
                upstream_failure = Some(response);
            }
            Err(reason) => {
                log::info!(request = admitted.head.id.as_str(), upstream = upstream.as_str(), why = reason; "upstream response lost");
                if !attempts.may_retry() {
                    return upstream_failure.ok_or(Rejection::OutcomeUnknown(reason));
                }
            }
        }
    }
}

/// Returns the response to the client for an upstream response that was read completely.
fn complete_response<P: Platform>(
    admitted: &AdmittedRequest,
    parts: &response::Parts,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut headers = P::client_headers(&parts.headers);
    if admitted.parts.method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    let mut response = Response::new(ResponseBody::complete(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    response
}

/// Serves a request whose response is streamed. A response of another type than an event stream is passed on as a whole.
async fn serve_stream<P: Platform>(
    mut attempts: Attempts<P>,
) -> Result<Response<ResponseBody>, Rejection> {
    let (node, admitted) = (attempts.node.clone(), attempts.admitted.clone());
    let resume_after = admitted.head.resume_after;
    let mut upstream_failure = None;
    loop {
        let response = match attempts.next_response(resume_after).await {
            Ok(it) => it,
            Err(rejection) => return upstream_failure.ok_or(rejection),
        };
        attempts.log_response(&response.entry.id, response.parts.status.as_u16());
        if response.parts.status.is_success() && is_event_stream(&response.parts.headers) {
            return Ok(relay::stream_response(attempts, *response));
        }
        let is_server_error = response.parts.status.is_server_error();
        if response.parts.status.is_success() {
            attempts.count_usage_once();
        }
        match response.read_to_end(&node, &admitted).await {
            Ok((parts, body)) => {
                let response = complete_response::<P>(&admitted, &parts, body);
                if !is_server_error || !attempts.may_retry() {
                    return Ok(response);
                }
                upstream_failure = Some(response);
            }
            Err(reason) if !attempts.may_retry() => {
                return upstream_failure.ok_or(Rejection::OutcomeUnknown(reason));
            }
            Err(_) => {}
        }
    }
}

/// Returns whether a response is an event stream, which it is if it states no type.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(content_type) = headers.get(header::CONTENT_TYPE) else { return true };
    let essence = content_type.as_bytes().split(|it| *it == b';').next().unwrap_or_default();
    essence.trim_ascii().eq_ignore_ascii_case(b"text/event-stream")
}

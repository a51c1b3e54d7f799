//! A client's request from its head to its answer.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, header, response};
use hyper::body::Incoming;

use lentilhitch_policy::traffic::Repeat;

use crate::{
    admission::{AdmittedRequest, admit},
    attempts::Attempts,
    client_response::{InFlightGuard, Rejection, ResponseBody},
    node::Node,
    platform::Platform,
    relay,
};

/// Serves one request.
pub(crate) async fn serve<P: Platform>(
    node: Rc<Node<P>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived_ms = node.now_ms();
    let (parts, body) = request.into_parts();
    let in_flight = InFlightGuard::new(&node.n_in_flight);
    let response = match P::decode_request(&parts) {
        Err(invalid) => reject(&node, "", "", Rejection::Malformed(invalid.0), arrived_ms),
        Ok(head) => {
            let id = head.id.clone();
            match admit(&node, parts, head, body, arrived_ms).await {
                Ok(admitted) => serve_admitted(&node, Rc::new(admitted)).await,
                Err(rejection) => reject(&node, &id, "", rejection, arrived_ms),
            }
        }
    };
    response.map(|it| it.with_in_flight(in_flight))
}

/// Answers a request that gets no answer of an upstream. Such lines are warnings, so that they outlive the others when
/// lines have to be dropped.
fn reject<P: Platform>(
    node: &Rc<Node<P>>,
    request_id: &str,
    route: &str,
    rejection: Rejection,
    arrived_ms: u64,
) -> Response<ResponseBody> {
    let elapsed_ms = node.now_ms() - arrived_ms;
    let status = rejection.status().as_u16();
    let config_version = node.config_version();
    log::warn!(request = request_id, route, status, reason = rejection.reason(), elapsed_ms, config_version; "refused");
    node.metrics.request(route, status, elapsed_ms);
    rejection.response::<P>()
}

async fn serve_admitted<P: Platform>(
    node: &Rc<Node<P>>,
    admitted: Rc<AdmittedRequest>,
) -> Response<ResponseBody> {
    let mut attempts = Attempts::new(node, &admitted);
    let res = match admitted.route.repeat {
        Repeat::Stream { .. } => serve_stream(attempts).await,
        _ => serve_non_streaming(&mut attempts).await,
    };
    match res {
        Ok(response) => {
            let elapsed_ms = node.now_ms() - admitted.arrived_ms;
            node.metrics.request(&admitted.route.name, response.status().as_u16(), elapsed_ms);
            response
        }
        Err(rejection) => {
            if matches!(rejection, Rejection::Unavailable { .. }) {
                node.refund(&admitted);
            }
            reject(node, &admitted.head.id, &admitted.route.name, rejection, admitted.arrived_ms)
        }
    }
}

async fn serve_non_streaming<P: Platform>(
    attempts: &mut Attempts<P>,
) -> Result<Response<ResponseBody>, Rejection> {
    let (node, admitted) = (attempts.node.clone(), attempts.admitted.clone());
    let mut upstream_failure = None;
    loop {
        let response = match attempts.next_response(None).await {
            Ok(it) => it,
            // A failure that an upstream told goes before one's own words.
            Err(rejection) => return upstream_failure.ok_or(rejection),
        };
        attempts.count_usage_once();
        let body_timeout_ms = admitted.remaining_ms(node.now_ms());
        let upstream = response.entry.id.clone();
        match response.read_to_end(&node, body_timeout_ms).await {
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
                log::info!(request = admitted.head.id.as_str(), upstream = upstream.as_str(), why = reason; "answer lost");
                if !attempts.may_retry() {
                    return upstream_failure.ok_or(Rejection::OutcomeUnknown(reason));
                }
            }
        }
    }
}

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
        if response.parts.status.is_success() {
            return Ok(relay::stream_response(attempts, *response));
        }
        let body_timeout_ms = admitted.remaining_ms(node.now_ms());
        let is_server_error = response.parts.status.is_server_error();
        match response.read_to_end(&node, body_timeout_ms).await {
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

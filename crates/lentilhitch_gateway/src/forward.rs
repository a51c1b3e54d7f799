//! A client's request from its head to its answer.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, header, response};
use hyper::body::Incoming;

use lentilhitch_policy::traffic::Repeat;

use crate::{
    admission::{Call, admit},
    answer::{AnswerBody, InFlight, Refusal},
    node::Node,
    platform::Platform,
    pump,
    tries::Tries,
};

/// Serves one request.
pub(crate) async fn serve<P: Platform>(
    node: Rc<Node<P>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived_ms = node.now_ms();
    let (parts, body) = request.into_parts();
    let in_flight = InFlight::new(&node.n_in_flight);
    let response = match P::decode_request(&parts) {
        Err(bad) => refuse(&node, "", "", Refusal::Malformed(bad.0), arrived_ms),
        Ok(head) => {
            let id = head.id.clone();
            match admit(&node, parts, head, body, arrived_ms).await {
                Ok(call) => serve_call(&node, Rc::new(call)).await,
                Err(refusal) => refuse(&node, &id, "", refusal, arrived_ms),
            }
        }
    };
    response.map(|it| it.with_in_flight(in_flight))
}

/// Answers a request that gets no answer of an upstream. Such lines are warnings, so that they outlive the others when
/// lines have to be dropped.
fn refuse<P: Platform>(
    node: &Rc<Node<P>>,
    request: &str,
    route: &str,
    refusal: Refusal,
    arrived_ms: u64,
) -> Response<AnswerBody> {
    let elapsed_ms = node.now_ms() - arrived_ms;
    let status = refusal.status().as_u16();
    let config_version = node.config_version();
    log::warn!(request, route, status, reason = refusal.reason(), elapsed_ms, config_version; "refused");
    node.metrics.record_request(route, status, elapsed_ms);
    refusal.response::<P>()
}

async fn serve_call<P: Platform>(node: &Rc<Node<P>>, call: Rc<Call>) -> Response<AnswerBody> {
    let mut tries = Tries::new(node, &call);
    let res = match call.route.repeat {
        Repeat::Stream { .. } => serve_stream(tries).await,
        _ => serve_plain(&mut tries).await,
    };
    match res {
        Ok(response) => {
            let elapsed_ms = node.now_ms() - call.arrived_ms;
            node.metrics.record_request(&call.route.name, response.status().as_u16(), elapsed_ms);
            response
        }
        Err(refusal) => {
            if matches!(refusal, Refusal::Unavailable { .. }) {
                node.refund(&call);
            }
            refuse(node, &call.head.id, &call.route.name, refusal, call.arrived_ms)
        }
    }
}

async fn serve_plain<P: Platform>(tries: &mut Tries<P>) -> Result<Response<AnswerBody>, Refusal> {
    let (node, call) = (tries.node.clone(), tries.call.clone());
    let mut failure = None;
    loop {
        let answered = match tries.next(None).await {
            Ok(it) => it,
            // A failure that an upstream told goes before one's own words.
            Err(refusal) => return failure.ok_or(refusal),
        };
        tries.count_begun();
        let patience_ms = call.remaining_ms(node.now_ms());
        let upstream = answered.listed.id.clone();
        match answered.read_whole(&node, patience_ms).await {
            Ok((parts, body)) => {
                let is_failure = parts.status.is_server_error();
                tries.log_answer(&upstream, parts.status.as_u16());
                let response = whole_response::<P>(&call, &parts, body);
                if !is_failure || !tries.may_go_on() {
                    return Ok(response);
                }
                failure = Some(response);
            }
            Err(why) => {
                log::info!(request = call.head.id.as_str(), upstream = upstream.as_str(), why; "answer lost");
                if !tries.may_go_on() {
                    return failure.ok_or(Refusal::Unknown(why));
                }
            }
        }
    }
}

fn whole_response<P: Platform>(
    call: &Call,
    parts: &response::Parts,
    body: Bytes,
) -> Response<AnswerBody> {
    let mut headers = P::client_headers(&parts.headers);
    if call.parts.method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    response
}

async fn serve_stream<P: Platform>(mut tries: Tries<P>) -> Result<Response<AnswerBody>, Refusal> {
    let (node, call) = (tries.node.clone(), tries.call.clone());
    let resume_after = call.head.resume_after;
    let mut failure = None;
    loop {
        let answered = match tries.next(resume_after).await {
            Ok(it) => it,
            Err(refusal) => return failure.ok_or(refusal),
        };
        tries.log_answer(&answered.listed.id, answered.parts.status.as_u16());
        if answered.parts.status.is_success() {
            return Ok(pump::stream_response(tries, *answered));
        }
        let patience_ms = call.remaining_ms(node.now_ms());
        let is_server_error = answered.parts.status.is_server_error();
        match answered.read_whole(&node, patience_ms).await {
            Ok((parts, body)) => {
                let response = whole_response::<P>(&call, &parts, body);
                if !is_server_error || !tries.may_go_on() {
                    return Ok(response);
                }
                failure = Some(response);
            }
            Err(why) if !tries.may_go_on() => return failure.ok_or(Refusal::Unknown(why)),
            Err(_) => {}
        }
    }
}

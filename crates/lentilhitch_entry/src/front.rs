//! HTTP interface for clients: authentication, routing of calls and writing of responses.

use std::{io::Cursor, str::FromStr, sync::Arc};

use bytes::Bytes;
use futures_util::stream::BoxStream;
use rocket::{
    Data, Request, Response, Route,
    data::ByteUnit,
    http::{Header, Method, Status},
    response::{Responder, stream::ByteStream},
    route::{Handler, Outcome},
};

use lentilhitch_config::{Service, Team, token_digest};
use lentilhitch_types::{Problem, RequestId};

use crate::{
    application,
    entry::{Entry, InProgressGuard},
    language, problems,
};

const PROBLEM_TYPE: &str = "application/problem+json";
const JSON_TYPE: &str = "application/json";
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Client request with its full body.
pub(crate) struct Call {
    pub(crate) method: Method,
    /// Path and query as the client sent them.
    pub(crate) path_and_query: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
    pub(crate) request_id: RequestId,
    pub(crate) team: Arc<Team>,
    pub(crate) in_progress: InProgressGuard,
}

impl Call {
    /// Returns the first value of a header. `name` must be in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// Admits a call of a service, or returns the problem that rejects it.
    pub(crate) fn admit(&self, entry: &Entry, service: &Service) -> Result<(), Problem> {
        let team = &self.team.team;
        if !service.teams.contains(team) {
            let detail = format!("service {}, team {team}", service.service);
            return Err(problems::NOT_ALLOWED.with(detail));
        }
        entry.admit(&self.team).map_err(|wait_ms| {
            problems::RATE_EXCEEDED
                .with_retry_after("the rate is a team's, over all callers", wait_ms)
        })
    }

    /// Returns the path without the query.
    pub(crate) fn path_without_query(&self) -> &str {
        self.path_and_query.split('?').next().unwrap_or_default()
    }
}

/// Response to a client.
pub(crate) enum ClientResponse {
    Full {
        status: u16,
        headers: Vec<(String, String)>,
        body: Bytes,
    },
    /// Stream of server-sent events.
    EventStream(BoxStream<'static, Bytes>),
}

impl ClientResponse {
    pub(crate) fn json(status: u16, value: &serde_json::Value) -> Self {
        let headers = vec![("content-type".to_owned(), JSON_TYPE.to_owned())];
        Self::Full { status, headers, body: value.to_string().into() }
    }
}

/// Handler of every request that no fixed route matches.
#[derive(Clone)]
pub(crate) struct FrontHandler(pub(crate) Arc<Entry>);

impl FrontHandler {
    /// Returns a catch-all route for each method.
    pub(crate) fn routes(&self) -> Vec<Route> {
        let methods = [
            Method::Get,
            Method::Put,
            Method::Post,
            Method::Delete,
            Method::Options,
            Method::Head,
            Method::Patch,
        ];
        methods.into_iter().map(|it| Route::ranked(10, it, "/<path..>", self.clone())).collect()
    }

    async fn serve(
        &self,
        request: &Request<'_>,
        data: Data<'_>,
        request_id: RequestId,
    ) -> Result<ClientResponse, Problem> {
        let entry = &self.0;
        let in_progress = entry.try_start_request().ok_or_else(|| {
            problems::BUSY
                .with(format!("{} requests are in progress", entry.settings.bounds.requests_max))
        })?;
        let headers = read_headers(request, entry.settings.bounds.header_bytes_max)?;
        let team = authenticate(entry, &headers)?;
        let body = read_body(data, entry.settings.bounds.body_bytes_max).await?;
        let path_and_query = request.uri().to_string();
        let call = Call {
            method: request.method(),
            path_and_query,
            headers,
            body,
            request_id,
            team,
            in_progress,
        };
        match call.path_without_query() {
            "/v1/completions" | "/v1/chat/completions" if call.method == Method::Post => {
                language::serve(entry, call).await
            }
            path if path.starts_with("/v1/requests/") => language::resume(entry, call).await,
            _ => application::serve(entry, call).await,
        }
    }
}

#[rocket::async_trait]
impl Handler for FrontHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let requested_id = request.headers().get_one("x-request-id");
        let request_id = match requested_id.map(RequestId::from_str) {
            None => RequestId::from_random(rand::random()),
            Some(Ok(request_id)) => request_id,
            Some(Err(_)) => {
                let problem = problems::BAD_REQUEST.with("X-Request-Id is not a UUID");
                return Outcome::Success(respond_problem(problem, None));
            }
        };
        let result = self.serve(request, data, request_id).await;
        let mut response = match result {
            Ok(response) => respond(response, request),
            Err(problem) => {
                self.0.metrics.record_request(&problem.kind, problem.status);
                respond_problem(problem, Some(request_id))
            }
        };
        if !response.headers().contains("x-request-id") {
            response.set_header(Header::new("x-request-id", request_id.to_string()));
        }
        Outcome::Success(response)
    }
}

fn read_headers(request: &Request<'_>, bytes_max: u64) -> Result<Vec<(String, String)>, Problem> {
    let headers = request.headers().iter();
    let headers: Vec<_> =
        headers.map(|it| (it.name().as_str().to_lowercase(), it.value().to_owned())).collect();
    let bytes: u64 = headers.iter().map(|it| (it.0.len() + it.1.len()) as u64).sum();
    if bytes_max < bytes {
        return Err(
            problems::HEADERS_TOO_LARGE.with(format!("{bytes} bytes, more than {bytes_max}"))
        );
    }
    Ok(headers)
}

fn authenticate(entry: &Entry, headers: &[(String, String)]) -> Result<Arc<Team>, Problem> {
    if entry.directory().teams.is_empty() {
        return Err(problems::NOT_READY.with("no team is declared yet"));
    }
    let value = headers.iter().find(|it| it.0 == "authorization").map(|it| it.1.as_str());
    let token = value.and_then(|it| it.strip_prefix("Bearer ").or(it.strip_prefix("bearer ")));
    let token =
        token.ok_or_else(|| problems::MISSING_TOKEN.with("send `Authorization: Bearer ...`"))?;
    let directory = entry.directory();
    let team = directory.team(&token_digest(token.trim()));
    team.cloned().ok_or_else(|| problems::INVALID_TOKEN.with("the token may have been withdrawn"))
}

async fn read_body(data: Data<'_>, bytes_max: u64) -> Result<Bytes, Problem> {
    let read = data.open(ByteUnit::Byte(bytes_max)).into_bytes().await;
    let body = read
        .map_err(|err| problems::BAD_REQUEST.with(format!("the body could not be read: {err}")))?;
    if !body.is_complete() {
        return Err(problems::BODY_TOO_LARGE.with(format!("more than {bytes_max} bytes")));
    }
    Ok(body.into_inner().into())
}

fn respond<'r>(client_response: ClientResponse, request: &'r Request<'_>) -> Response<'r> {
    match client_response {
        ClientResponse::Full { status, headers, body } => {
            let mut response = Response::build();
            response.status(Status::new(status));
            for (name, value) in headers {
                response.raw_header_adjoin(name, value);
            }
            response.sized_body(body.len(), Cursor::new(body)).finalize()
        }
        ClientResponse::EventStream(events) => {
            let mut response = ByteStream(events).respond_to(request).unwrap_or_default();
            response.set_header(Header::new("content-type", EVENT_STREAM_TYPE));
            response.set_header(Header::new("cache-control", "no-store"));
            response
        }
    }
}

/// Returns a problem as an HTTP response.
pub(crate) fn respond_problem(
    mut problem: Problem,
    request_id: Option<RequestId>,
) -> Response<'static> {
    problem.request_id = request_id.map(|it| it.to_string());
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::build();
    response.status(Status::new(problem.status)).raw_header("content-type", PROBLEM_TYPE);
    if let Some(seconds) = problem.retry_after_s {
        response.raw_header("retry-after", seconds.to_string());
    }
    if problem.status == 401 {
        response.raw_header("www-authenticate", "Bearer");
    }
    response.sized_body(body.len(), Cursor::new(body)).finalize()
}

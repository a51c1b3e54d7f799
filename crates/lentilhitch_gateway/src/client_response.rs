//! Responses to clients: their bodies, and the rejections that the node generates itself.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::{client_io::PhaseTracker, overload::Shed, platform::HttpCodec};

/// Error that aborts a client's stream before its end, so that the client sees that the stream is incomplete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("stream aborted before its end")]
pub(crate) struct StreamAborted;

/// Counts a request as in progress until the guard is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Rc<Cell<usize>>);

impl InFlightGuard {
    pub(crate) fn new(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        Self(counter.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Body of a response to a client. The client's connection counts as busy, and the request as in progress, until the
/// body was written.
pub(crate) struct ResponseBody {
    source: Source,
    phase_tracker: Option<Rc<PhaseTracker>>,
    in_flight: Option<InFlightGuard>,
    /// Body of the request as far as it was not read.
    unread: Option<Incoming>,
}

enum Source {
    Complete(Option<Bytes>),
    Chunks(mpsc::Receiver<Result<Bytes, StreamAborted>>),
}

impl ResponseBody {
    pub(crate) fn complete(bytes: Bytes) -> Self {
        Self::new(Source::Complete(Some(bytes)))
    }

    pub(crate) fn chunks(chunks: mpsc::Receiver<Result<Bytes, StreamAborted>>) -> Self {
        Self::new(Source::Chunks(chunks))
    }

    fn new(source: Source) -> Self {
        Self { source, phase_tracker: None, in_flight: None, unread: None }
    }

    /// Attaches the body of the request if it was not read to its end.
    pub(crate) fn with_unread(mut self, body: Incoming) -> Self {
        self.unread = (!body.is_end_stream()).then_some(body);
        self
    }

    /// Returns the body of the request if it was not read to its end.
    pub(crate) fn take_unread(&mut self) -> Option<Incoming> {
        self.unread.take()
    }

    /// Attaches the phase tracker of the connection, which becomes idle when the body was written.
    pub(crate) fn with_phase_tracker(mut self, phase_tracker: Rc<PhaseTracker>) -> Self {
        self.phase_tracker = Some(phase_tracker);
        self
    }

    /// Attaches the guard that counts the request as in progress until the body was written.
    pub(crate) fn with_in_flight(mut self, in_flight: InFlightGuard) -> Self {
        self.in_flight = Some(in_flight);
        self
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        // The HTTP library may still hold the last part of the body.
        if let Some(phase_tracker) = &self.phase_tracker {
            phase_tracker.on_response_end(self.in_flight.take());
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        let chunk = match &mut self.source {
            Source::Complete(bytes) => bytes.take().filter(|it| !it.is_empty()).map(Ok),
            Source::Chunks(chunks) => ready!(chunks.poll_recv(cx)),
        };
        if let (Some(Err(_)), Some(phase_tracker)) = (&chunk, &self.phase_tracker) {
            phase_tracker.on_response_abort();
        }
        Poll::Ready(chunk.map(|it| it.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Source::Chunks(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            Source::Chunks(_) => SizeHint::default(),
        }
    }
}

/// Reason why the node responds itself instead of passing on the response of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The request cannot be decoded, for this reason.
    Malformed(&'static str),
    /// The request has no API key, or one that belongs to no team.
    UnknownKey,
    /// No route matches the host and path of the request.
    NoRoute,
    BodyTooLarge,
    /// The body did not arrive in time. The request did not run.
    BodyTimeout,
    /// The rate limit of the team is exhausted.
    OverRateLimit {
        retry_after_ms: u64,
    },
    /// The request cannot be served at present, for this reason. It did not run.
    Unavailable {
        reason: &'static str,
        retry_after_ms: u64,
    },
    /// Capacity is short, and the first event of the request would come too late. It did not run.
    Shed(Shed),
    /// The request is quarantined because it crashed the upstreams that ran it.
    Quarantined,
    /// The request may have run. Its response was lost for this reason.
    OutcomeUnknown(&'static str),
    /// The request may have run, and its deadline has passed.
    TimedOut,
}

impl Rejection {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::OverRateLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Unavailable { .. } | Self::Shed(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Quarantined => StatusCode::INTERNAL_SERVER_ERROR,
            Self::OutcomeUnknown(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason in words, for logs and for the title of the problem document that the client receives.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Malformed(reason)
            | Self::Unavailable { reason, .. }
            | Self::OutcomeUnknown(reason) => reason,
            Self::Shed(_) => "capacity is short and the first event would come too late",
            Self::UnknownKey => "no team has this key",
            Self::NoRoute => "no route",
            Self::BodyTooLarge => "the body is too large",
            Self::BodyTimeout => "the body did not come in time",
            Self::OverRateLimit { .. } => "over the team's limit",
            Self::Quarantined => "the request crashed the upstreams that ran it",
            Self::TimedOut => "the time is over",
        }
    }

    pub(crate) fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::OverRateLimit { retry_after_ms } | Self::Unavailable { retry_after_ms, .. } => {
                Some(retry_after_ms)
            }
            Self::Shed(it) => Some(it.retry_after_ms),
            _ => None,
        }
    }

    /// Returns the response to the client.
    pub(crate) fn response<C: HttpCodec>(self) -> Response<ResponseBody> {
        let text = format!("{{\"title\":\"{}\"}}\n", self.reason());
        let mut response = Response::new(ResponseBody::complete(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        // The rest of the request is not read, so the connection is closed. The header tells the client not to reuse
        // it.
        if matches!(self, Self::BodyTooLarge | Self::BodyTimeout | Self::Malformed(_)) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(retry_after_ms) = self.retry_after_ms() {
            headers.insert(header::RETRY_AFTER, C::retry_after(retry_after_ms));
        }
        response
    }
}

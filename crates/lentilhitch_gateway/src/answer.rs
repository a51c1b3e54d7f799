//! Answers to clients and their bodies.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::{client_io::Phases, platform::HttpCodec};

/// A stream to a client ended without its end.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream was broken off")]
pub(crate) struct BrokenOff;

/// Counts a request until its answer has been sent.
pub(crate) struct InFlight(Rc<Cell<usize>>);

impl InFlight {
    pub(crate) fn new(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        Self(counter.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The body of an answer. While it lives, its connection counts as busy.
pub(crate) struct AnswerBody {
    source: Source,
    phases: Option<Rc<Phases>>,
    in_flight: Option<InFlight>,
}

enum Source {
    Whole(Option<Bytes>),
    Pieces(mpsc::Receiver<Result<Bytes, BrokenOff>>),
}

impl AnswerBody {
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self { source: Source::Whole(Some(bytes)), phases: None, in_flight: None }
    }

    pub(crate) fn pieces(pieces: mpsc::Receiver<Result<Bytes, BrokenOff>>) -> Self {
        Self { source: Source::Pieces(pieces), phases: None, in_flight: None }
    }

    /// Marks the connection idle when the body has been sent.
    pub(crate) fn with_phases(mut self, phases: Rc<Phases>) -> Self {
        self.phases = Some(phases);
        self
    }

    /// Keeps a request counted until its answer has been sent.
    pub(crate) fn with_in_flight(mut self, in_flight: InFlight) -> Self {
        self.in_flight = Some(in_flight);
        self
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(phases) = &self.phases {
            phases.answered();
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut self.source {
            Source::Whole(bytes) => {
                Poll::Ready(bytes.take().filter(|it| !it.is_empty()).map(|it| Ok(Frame::data(it))))
            }
            Source::Pieces(pieces) => {
                pieces.poll_recv(cx).map(|it| it.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Source::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            Source::Pieces(_) => SizeHint::default(),
        }
    }
}

/// Why the node itself answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request can't be read.
    Malformed(&'static str),
    UnknownKey,
    NoRoute,
    BodyTooLarge,
    /// The body did not come in time; it has not run.
    BodyLate,
    OverLimit {
        wait_ms: u64,
    },
    /// Nothing can take it now; it has not run.
    Unavailable {
        why: &'static str,
        wait_ms: u64,
    },
    /// It crashed the upstreams that ran it.
    Stopped,
    /// It may have run.
    Unknown(&'static str),
    /// It may have run; its time is over.
    TimedOut,
}

impl Refusal {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::OverLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Stopped => StatusCode::INTERNAL_SERVER_ERROR,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// A word for logs and metrics.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Malformed(why) | Self::Unavailable { why, .. } | Self::Unknown(why) => why,
            Self::UnknownKey => "no team has this key",
            Self::NoRoute => "no route",
            Self::BodyTooLarge => "the body is too large",
            Self::BodyLate => "the body did not come in time",
            Self::OverLimit { .. } => "over the team's limit",
            Self::Stopped => "the request crashed the upstreams that ran it",
            Self::TimedOut => "the time is over",
        }
    }

    fn wait_ms(self) -> Option<u64> {
        match self {
            Self::OverLimit { wait_ms } | Self::Unavailable { wait_ms, .. } => Some(wait_ms),
            _ => None,
        }
    }

    /// The answer to the client.
    pub(crate) fn response<D: HttpCodec>(self) -> Response<AnswerBody> {
        let text = format!("{{\"title\":\"{}\"}}\n", self.reason());
        let mut response = Response::new(AnswerBody::whole(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        // What is left of the request is not read, so the connection ends; the client is told not to use it again.
        if matches!(self, Self::BodyTooLarge | Self::BodyLate | Self::Malformed(_)) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(wait_ms) = self.wait_ms() {
            headers.insert(header::RETRY_AFTER, D::retry_after(wait_ms));
        }
        response
    }
}

//! All rejections and failures that clients can receive.

use lentilhitch_types::{Outcome, Problem};

/// Kind of problem: its short name, HTTP status, title, outcome and default retry delay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProblemKind {
    name: &'static str,
    status: u16,
    title: &'static str,
    outcome: Outcome,
    retry_after_s: Option<u64>,
}

macro_rules! problem_kinds {
    ($($name:ident = $short:literal, $status:literal, $outcome:ident, $retry:expr, $title:literal;)*) => {
        $(pub(crate) const $name: ProblemKind = ProblemKind {
            name: $short,
            status: $status,
            title: $title,
            outcome: Outcome::$outcome,
            retry_after_s: $retry,
        };)*
    };
}

problem_kinds!(
    MISSING_TOKEN = "no-token", 401, NotRun, None, "A bearer token is needed.";
    INVALID_TOKEN = "wrong-token", 401, NotRun, None, "No team has this bearer token.";
    NOT_ALLOWED = "not-allowed", 403, NotRun, None, "The service is not for this team.";
    NO_SERVICE = "no-service", 404, NotRun, None, "No service answers to this.";
    NO_REQUEST = "no-request", 404, Unknown, None, "No request with this id is known.";
    DUPLICATE_ID = "duplicate-id", 409, NotRun, None, "A request with this id is known already.";
    KEY_MISMATCH = "key-mismatch", 409, NotRun, None, "The idempotency key was used for another request.";
    KEY_OUTCOME_UNKNOWN = "key-unknown", 409, Unknown, None, "The call was begun before and its outcome is not known.";
    RESPONSE_NOT_STORED = "answer-not-kept", 409, Failed, None, "The call ran before; its answer is not kept.";
    BODY_TOO_LARGE = "body-too-large", 413, NotRun, None, "The body is too large.";
    HEADERS_TOO_LARGE = "headers-too-large", 431, NotRun, None, "The headers are too large.";
    BAD_REQUEST = "bad-request", 400, NotRun, None, "The request can't be understood.";
    MISSING_IDEMPOTENCY_KEY = "no-idempotency-key", 400, NotRun, None, "This call needs an Idempotency-Key.";
    QUARANTINED = "quarantined", 422, NotRun, None, "This request has crashed upstreams and is not run.";
    RATE_EXCEEDED = "rate", 429, NotRun, Some(1), "The team's rate is used up.";
    BUSY = "busy", 503, NotRun, Some(1), "Too many requests are in progress here.";
    NOT_READY = "not-ready", 503, NotRun, Some(2), "This process has no configuration yet.";
    LOG_UNREACHABLE = "log-unreachable", 503, NotRun, Some(2), "The call could not be claimed in the log.";
    NO_UPSTREAM = "no-upstream", 503, NotRun, Some(1), "No upstream could be reached.";
    DEADLINE_BEFORE_SEND = "deadline", 504, NotRun, Some(1), "The deadline passed before the call was sent.";
    UPSTREAM_INTERRUPTED = "upstream-broken", 502, Unknown, None, "The upstream broke off; it may have run the call.";
    UPSTREAM_TIMED_OUT = "upstream-late", 504, Unknown, None, "The upstream did not answer within the deadline.";
    RESPONSE_TOO_LARGE = "answer-too-large", 502, Failed, None, "The upstream's answer is too large.";
    NOT_FINISHED = "not-finished", 503, Failed, Some(1), "The answer could not be finished.";
    UPSTREAM_REJECTED = "upstream-refused", 502, Failed, None, "The upstream refused the request.";
);

impl ProblemKind {
    /// Returns a problem of this kind.
    pub(crate) fn with(self, detail: impl Into<String>) -> Problem {
        Problem {
            kind: self.name.to_owned(),
            title: self.title.to_owned(),
            status: self.status,
            detail: detail.into(),
            outcome: self.outcome,
            request_id: None,
            retry_after_s: self.retry_after_s,
        }
    }

    /// Returns a problem of this kind that asks the client to retry after `wait_ms`, rounded up to whole seconds and
    /// limited to 1 s to 3,600 s.
    pub(crate) fn with_retry_after(self, detail: impl Into<String>, wait_ms: u64) -> Problem {
        Problem { retry_after_s: Some(wait_ms.div_ceil(1000).clamp(1, 3_600)), ..self.with(detail) }
    }
}

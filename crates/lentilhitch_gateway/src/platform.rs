//! What a node needs of the platform it runs on, as small traits.
//!
//! An implementation translates: it holds no decision, no state machine and no rule on repeats.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use http::{HeaderMap, request, response};
use serde::{Deserialize, Serialize};

use lentilhitch_policy::{
    fleet::Order,
    placement::{Prompt, ToldLoad},
    traffic::{Config, Listed},
    usage::{Counts, WindowNumber},
};
use lentilhitch_types::{InstanceName, LogOffset, TeamName, UpstreamName};

/// Everything together.
pub trait Platform: Dialect + Store + Cloud + 'static {}

impl<T: Dialect + Store + Cloud + 'static> Platform for T {}

/// What the head of a client's request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The client's id of this attempt.
    pub id: String,
    /// How long the client waits.
    pub deadline_ms: Option<u64>,
    /// The key that names its team.
    pub key: Option<String>,
    pub prompt: Option<Prompt>,
    /// The last event of a stream that the client has.
    pub resume_after: Option<u64>,
}

impl CallHead {
    /// Prompt and output tokens together, if told.
    pub fn total_tokens(&self) -> Option<u64> {
        self.prompt.as_ref().map(|it| it.input_tokens + it.output_tokens_max)
    }
}

/// Why a request can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct BadCall(pub &'static str);

/// What the node says to an upstream beside the client's own words.
#[derive(Clone, Debug)]
pub struct SendHead<'a> {
    /// The only upstream that may run the request.
    pub upstream: &'a UpstreamName,
    pub team: Option<&'a TeamName>,
    pub remaining_ms: u64,
    /// 0 is the most urgent.
    pub priority: Option<u8>,
    pub resume_after: Option<u64>,
    /// A copy of the run's memory to go on from.
    pub memory: Option<&'a MemoryCopy>,
}

/// Where a copy of a run's memory can be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryCopy {
    /// The upstream that made the copy.
    pub source: SocketAddr,
    pub handle: String,
}

/// How an upstream's request to copy a run's memory ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemoryMove {
    Copied {
        handle: String,
    },
    /// The source stopped the run and keeps its memory.
    Kept {
        handle: String,
    },
    /// No such run.
    Ended,
    Refused,
}

/// Whether an upstream ran the request that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    Ran,
    /// It did not, being full or late.
    NotRun,
    /// It is another upstream than the one that was meant.
    Misdirected,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub id: Option<String>,
    pub kind: AnswerKind,
    pub load: Option<ToldLoad>,
}

/// The words of requests and answers.
pub trait Dialect {
    /// Reads the head of a client's request.
    fn read_call(parts: &request::Parts) -> Result<CallHead, BadCall>;

    /// The headers for an upstream.
    fn upstream_headers(client: &HeaderMap, send: &SendHead<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn read_answer(parts: &response::Parts) -> AnswerHead;

    /// The headers of an answer for the client.
    fn client_headers(upstream: &HeaderMap) -> HeaderMap;

    /// A header that tells when to come back, if there is one.
    fn retry_after(wait_ms: u64) -> http::HeaderValue;

    /// The path of a question whether a node is ready.
    fn ready_path() -> &'static str;

    /// The request that makes an upstream copy a run's memory to another one; `is_last` stops the run first.
    fn move_request(id: &str, to: SocketAddr, is_last: bool) -> http::Request<Bytes>;

    /// Reads the answer to a request for a copy.
    fn read_move(status: http::StatusCode, body: &[u8]) -> MemoryMove;
}

/// A topic of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Written by operators; one record holds the newest configuration.
    Config,
    /// Written by the upstreams.
    Upstreams,
    /// Where nodes can be reached, by name.
    Nodes,
    /// Counts of requests, by node.
    Usage,
    /// What was decided on usage windows.
    Decisions,
    /// Who has the duties.
    Duty,
}

/// One record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Of topics that keep the newest record of each key.
    pub key: String,
    /// Where it was written; not used for appends.
    pub offset: LogOffset,
    /// Absent if the key has ended.
    pub value: Option<Bytes>,
}

/// What a reading found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reading {
    Records {
        records: Vec<Record>,
        next: LogOffset,
    },
    /// Records from the offset on are no longer kept; the first that is.
    Expired {
        first: LogOffset,
    },
}

/// The newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    pub records: Vec<Record>,
    /// Where reading goes on.
    pub next: LogOffset,
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Appended {
    At(LogOffset),
    /// The topic ends elsewhere; nothing was written.
    Conflict,
}

/// Why a call to the platform gave no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    #[error("not done: {0}")]
    NotDone(String),
    /// It may have been done, or may be done later.
    #[error("no answer: {0}")]
    Unknown(String),
}

/// The platform's store.
pub trait Store {
    /// The newest record of each key of a topic.
    fn list(&self, topic: Topic) -> impl Future<Output = Result<Listing, CallError>>;

    /// Records from an offset on; waits for one up to `wait_ms`.
    fn read(
        &self,
        topic: Topic,
        from: LogOffset,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Reading, CallError>>;

    /// Appends a record, if the topic ends `at`.
    fn append(
        &self,
        topic: Topic,
        record: Record,
        at: Option<LogOffset>,
    ) -> impl Future<Output = Result<Appended, CallError>>;

    /// Reads a configuration.
    fn read_config(value: &[u8]) -> Result<Config, String>;

    /// Reads an upstream's own record.
    fn read_upstream(record: &Record) -> Result<Listed, String>;
}

/// How a duty's call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyResult {
    Done,
    /// A higher fencing number was seen.
    Fenced,
    /// What was ordered is not to be had at present.
    Unavailable,
}

/// Who calls, and under which fencing number.
#[derive(Clone, Copy, Debug)]
pub struct Permit<'a> {
    pub holder: &'a InstanceName,
    pub fence: LogOffset,
}

/// The platform's calls that one node at a time may make.
pub trait Cloud {
    /// Reports the requests of a window.
    fn report_usage(
        &self,
        permit: Permit<'_>,
        window: WindowNumber,
        counts: &Counts,
    ) -> impl Future<Output = Result<DutyResult, CallError>>;

    /// Orders replicas.
    fn order_replicas(
        &self,
        permit: Permit<'_>,
        order: &Order,
    ) -> impl Future<Output = Result<DutyResult, CallError>>;
}

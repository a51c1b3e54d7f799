//! Traits through which a node uses the platform that it runs on.
//!
//! An implementation only translates between these types and the platform's interfaces. It makes no decisions, runs no
//! state machine and has no retry rules.
//!
//! A platform consists of HTTP conventions between clients, nodes and upstreams ([`HttpCodec`]), the store with its
//! topics of records ([`Store`]), and a cloud API for the duties ([`Cloud`]).

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use http::{HeaderMap, request, response};
use serde::{Deserialize, Serialize};

use lentilhitch_policy::{
    fleet::Order,
    placement::{Prompt, ReportedLoad},
    traffic::{Config, UpstreamEntry},
    usage::{Counts, WindowNumber},
};
use lentilhitch_types::{
    InstanceName, LogPosition, ServiceName, SoftwareVersion, StoreEra, TeamName, UpstreamName,
};

/// All interfaces of a platform.
pub trait Platform: HttpCodec + Store + Cloud + 'static {}

impl<T: HttpCodec + Store + Cloud + 'static> Platform for T {}

/// Decoded head of a client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Identifier that the client gave to this sending of the request. All attempts of the node at upstreams carry it.
    pub id: String,
    /// Time that the client waits for the response, from the arrival of the request.
    pub deadline_ms: Option<u64>,
    /// API key that identifies the client's team.
    pub key: Option<String>,
    pub prompt: Option<Prompt>,
    /// Id of the last event of a stream that the client has received.
    pub resume_after: Option<u64>,
    /// Identifier of the client's earlier sending that brought the first event of the stream to resume.
    pub resumed_id: Option<String>,
}

impl RequestHead {
    /// Returns whether the client has a part of the answer, and asks for the rest.
    pub fn is_resumed(&self) -> bool {
        self.resume_after.is_some() || self.resumed_id.is_some()
    }

    /// Returns the sum of the prompt tokens and the maximum of output tokens, if the request states them.
    pub fn total_tokens(&self) -> Option<u64> {
        self.prompt.as_ref().map(|it| it.input_tokens + it.output_tokens_max)
    }
}

/// Reason why the head of a request cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidRequest(pub &'static str);

/// What a node adds to the client's headers when it sends a request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequestHead<'a> {
    /// The only upstream that may run the request. Any other upstream at the same address must reject it.
    pub upstream: &'a UpstreamName,
    pub team: Option<&'a TeamName>,
    /// Time until the deadline of the request.
    pub remaining_ms: u64,
    /// Priority of the request. 0 is the most urgent.
    pub priority: Option<u8>,
    /// Id of the event after which the upstream resumes the stream.
    pub resume_after: Option<u64>,
    /// KV cache copy from which the upstream continues the run.
    pub kv_copy: Option<&'a KvCopy>,
}

/// Reference to the KV cache copy of a run, not the data itself: where an upstream can fetch the copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCopy {
    /// Address of the upstream that holds the copy.
    pub source: SocketAddr,
    /// Name of the copy at the source.
    pub handle: String,
}

/// Result of a request to an upstream to transfer the KV cache of a run to another upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvTransfer {
    /// The KV cache was copied, and the other upstream can fetch the copy from the source under this handle.
    Copied { handle: String },
    /// The source stopped the run and retains the run's KV cache under this handle, so that the run can continue at the
    /// source.
    Kept { handle: String },
    /// The source has no such run.
    Ended,
    /// The source did not accept the request, and the run continues.
    Refused,
    /// The response does not tell whether the source stopped the run.
    Unknown,
}

/// Whether the upstream that responds ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    Ran,
    /// The upstream did not run the request because it was full or late.
    NotRun,
    /// The upstream at this address is not the one that the request was meant for.
    Misdirected,
    /// The status would tell a client that its request has not run, but the upstream does not state so.
    Unstated,
}

/// Decoded head of an upstream's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// Identifier of the request that this is the response to.
    pub id: Option<String>,
    pub kind: ResponseKind,
    pub load: Option<ReportedLoad>,
    /// Set if a figure of the load is missing or ignored.
    pub invalid_load: Option<InvalidLoad>,
    /// Whether the upstream states that it is leaving.
    pub is_leaving: bool,
    /// Pause that an upstream asks for which has turned a request away, in milliseconds.
    pub pause_ms: Option<Result<u64, InvalidPause>>,
    /// Requests per second that the upstream accepts from all nodes together.
    pub limit_per_s: Option<Result<f64, InvalidLimit>>,
    /// Rejections for want of room in a second above which the upstream fails.
    pub rejections_max_per_s: Option<Result<u32, InvalidRejectionsMax>>,
}

/// A load with a figure that is missing, cannot be decoded or is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} has a figure that is missing, unreadable or out of range")]
pub struct InvalidLoad(pub String);

/// A pause that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no number of seconds")]
pub struct InvalidPause(pub String);

/// A limit that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no number of requests per second")]
pub struct InvalidLimit(pub String);

/// A number of rejections that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no number of rejections per second")]
pub struct InvalidRejectionsMax(pub String);

/// Encoding of requests and responses in HTTP headers and bodies.
pub trait HttpCodec {
    /// Decodes the head of a client's request.
    fn decode_request(parts: &request::Parts) -> Result<RequestHead, InvalidRequest>;

    /// Returns the headers of a request to an upstream.
    fn upstream_headers(client: &HeaderMap, send: &UpstreamRequestHead<'_>) -> HeaderMap;

    /// Decodes the head of an upstream's response.
    fn decode_response(parts: &response::Parts) -> ResponseHead;

    /// Returns the headers of a response to the client.
    fn client_headers(upstream: &HeaderMap) -> HeaderMap;

    /// Returns the value of the `Retry-After` header.
    fn retry_after(wait_ms: u64) -> http::HeaderValue;

    /// Returns the path of the readiness check of a node.
    fn readiness_path() -> &'static str;

    /// Returns the request that makes an upstream copy the KV cache of a run to another upstream. With `stops_run` the
    /// upstream stops the run first.
    fn kv_transfer_request(id: &str, to: SocketAddr, stops_run: bool) -> http::Request<Bytes>;

    /// Decodes the response to a KV cache transfer request.
    fn decode_kv_transfer(status: http::StatusCode, body: &[u8]) -> KvTransfer;
}

/// Topic of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Configuration, written by operators. One record holds the newest configuration.
    Config,
    /// Upstream entries, each written by the upstream itself.
    Upstreams,
    /// Addresses of the nodes, by node name.
    Nodes,
    /// Usage counts of the nodes: numbers of requests that have started to run, by usage window and team.
    Usage,
    /// Final counts of usage windows, decided by the holder of the duty lease.
    Decisions,
    /// Claims, renewals and releases of the duty lease.
    Duty,
    /// Software versions that began streams, while a service has several.
    StreamOrigins,
    /// Software versions at which streams may have begun. One record holds those of all services.
    StreamVersions,
    /// Quarantined requests and prompt segments. One record holds all.
    Quarantines,
    /// Orders of rollouts, written by operators: one record for each service.
    RolloutOrders,
    /// Plans of rollouts, by service.
    RolloutPlans,
    /// States of rollouts for operators: one record for each service.
    RolloutStatus,
}

/// Order of a rollout as an operator has written it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRequest {
    pub service: ServiceName,
    /// Version to which the traffic of the service is to be moved.
    pub to: SoftwareVersion,
    /// Time from the acknowledgement of the order until its verdict is due.
    pub duration_ms: u64,
}

/// State of a rollout, as operators read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    InProgress,
    Completed,
    RolledBack,
}

/// One record of a topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Key of the record, in topics that keep the newest record of each key. Empty in other topics.
    pub key: String,
    /// Position at which the record was written. Ignored by appends.
    pub position: LogPosition,
    /// Absent if the key was removed.
    pub value: Option<Bytes>,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    Records {
        records: Vec<Record>,
        next: LogPosition,
    },
    /// The record at the requested position is not retained, or does not exist in the era of the store. `first` is the
    /// first position whose record is retained.
    Expired {
        first: LogPosition,
    },
}

/// Newest record of each key of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    pub records: Vec<Record>,
    /// Position from which to read subsequent records.
    pub next: LogPosition,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    Appended(LogPosition),
    /// The end of the topic is not at the expected position, and nothing was written.
    Conflict {
        era: StoreEra,
    },
}

impl ReadResult {
    /// Returns the era of the store that answered.
    pub fn era(&self) -> StoreEra {
        match self {
            Self::Records { next, .. } => next.era(),
            Self::Expired { first } => first.era(),
        }
    }
}

impl AppendResult {
    /// Returns the era of the store that answered.
    pub fn era(self) -> StoreEra {
        match self {
            Self::Appended(position) => position.era(),
            Self::Conflict { era } => era,
        }
    }
}

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The call had no effect and will have none.
    #[error("call not executed: {0}")]
    NotDone(String),
    /// The call may have taken effect, or may do so later.
    #[error("outcome of the call unknown: {0}")]
    Unknown(String),
}

/// The platform's store.
pub trait Store {
    /// Returns the newest record of each key of a topic.
    fn list(&self, topic: Topic) -> impl Future<Output = Result<Listing, CallError>>;

    /// Reads records from a position on. The store knows the offset of the position only, so it may answer from a later
    /// era, in which the offset is of another record. If there are none yet, waits for one up to `wait_ms`.
    fn read(
        &self,
        topic: Topic,
        from: LogPosition,
        wait_ms: u64,
    ) -> impl Future<Output = Result<ReadResult, CallError>>;

    /// Appends a record. If `at` is `None`, the record is appended wherever the topic ends. Otherwise it is appended
    /// only if the topic ends at the offset of `at`, and the result is a conflict if not. The store may append it in a
    /// later era than that of `at`.
    fn append(
        &self,
        topic: Topic,
        record: Record,
        at: Option<LogPosition>,
    ) -> impl Future<Output = Result<AppendResult, CallError>>;

    /// Decodes a configuration.
    fn decode_config(value: &[u8]) -> Result<Config, String>;

    /// Decodes an upstream entry: the record that an upstream writes about itself.
    fn decode_upstream(record: &Record) -> Result<UpstreamEntry, String>;

    /// Decodes a record of the orders of rollouts.
    fn decode_rollout(record: &Record) -> Result<RolloutRequest, String>;

    /// Returns the service that a record of the orders or the status of rollouts is about, also if it was removed.
    fn rollout_service(record: &Record) -> Option<ServiceName>;

    /// Encodes the status of a rollout to the version `to`.
    fn encode_rollout_status(
        service: &ServiceName,
        state: RolloutState,
        to: &SoftwareVersion,
    ) -> Record;

    /// Decodes the status of a rollout.
    fn decode_rollout_status(record: &Record) -> Result<(RolloutState, SoftwareVersion), String>;
}

/// Result of a duty call, which is a call to the cloud API under the duty lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyResult {
    Done,
    /// The platform has already seen a higher fencing token, so the duty lease has been claimed again since.
    Fenced,
    /// The platform cannot supply the ordered replicas at present.
    Unavailable,
}

/// Duty lease under which a node makes a duty call.
#[derive(Clone, Copy, Debug)]
pub struct DutyLease<'a> {
    pub holder: &'a InstanceName,
    /// Offset of the holder's claim in the duty topic.
    pub fencing_token: LogPosition,
}

/// Calls to the platform's cloud API. Only the node that holds the duty lease may make them.
pub trait Cloud {
    /// Reports the request counts of a usage window.
    fn report_usage(
        &self,
        lease: DutyLease<'_>,
        window: WindowNumber,
        counts: &Counts,
    ) -> impl Future<Output = Result<DutyResult, CallError>>;

    /// Orders the number of replicas of one kind that a service is to have in a zone.
    fn order_replicas(
        &self,
        lease: DutyLease<'_>,
        order: &Order,
    ) -> impl Future<Output = Result<DutyResult, CallError>>;
}

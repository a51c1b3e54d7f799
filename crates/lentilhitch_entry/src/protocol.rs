//! Messages between entry processes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use lentilhitch_platform::{AppendError, LogPage, Stream};
use lentilhitch_policy::{
    journal::JournalRecord,
    notice::Notice,
    quarantine::{Evidence, Trial},
};
use lentilhitch_types::{Incarnation, InstanceName, LogOffset, RequestId, TeamName};

/// State of a process, sent to each peer at a fixed interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub incarnation: Incarnation,
    pub is_leaving: bool,
    /// First offset of the configuration stream that the sender has not applied.
    pub config_next: LogOffset,
    /// First offset of the claims stream that the sender has not applied.
    pub claims_next: LogOffset,
    /// Demand of teams at the sender, in requests per second: a moving average of the requests that arrive from
    /// clients, including those that the rate limit rejects. A team whose demand is at most `REPORTED_DEMAND_MIN_PER_S`
    /// is left out and counts as having no demand.
    pub demand: Vec<(TeamName, f32)>,
}

/// Message on a peer link. Notifications come first, except `CopyDrop`. Each request is followed by its response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Heartbeat(Heartbeat),
    /// Notifies all peers that the sender suspects the given peer. A receiver that considers that peer alive sends
    /// `SuspectAlive` back.
    #[serde(rename = "WhoHears")]
    SuspectQuery(InstanceName),
    /// Reply to a `SuspectQuery`: the sender considers the suspected peer alive. Holds the incarnation of the last
    /// heartbeat that the sender received from that peer.
    #[serde(rename = "Heard")]
    SuspectAlive(InstanceName, Incarnation),
    Notices(Vec<Notice>),
    Evidence(Vec<Evidence>),
    Trial(Trial),

    /// Requests that a suspect may start its trial. Sent to the arbiter of the upstream.
    #[serde(rename = "TrialAsk")]
    TrialRequest(Trial),
    TrialGranted(bool),

    /// Requests an append to the log for a process that can't reach it.
    LogAppend {
        stream: Stream,
        payload: String,
    },
    LogAppended(Result<LogOffset, AppendError>),

    /// Requests a read of the log for a process that can't reach it.
    LogRead {
        stream: Stream,
        from: LogOffset,
    },
    LogPage(Option<LogPage>),

    /// Requests the state of a stream if the receiver has applied records from offset `next` on.
    #[serde(rename = "Snapshot")]
    SnapshotRequest {
        stream: Stream,
        next: LogOffset,
    },
    /// A `fold::Snapshot`, serialized as JSON.
    #[serde(rename = "SnapshotIs")]
    SnapshotResponse(Option<Bytes>),

    /// Requests that the receiver stores a copy of a journal.
    #[serde(rename = "CopyBegin")]
    CopyStart(JournalRecord),
    /// Requests that tokens are added to a copy. `from` is the position of the first token.
    CopyTokens {
        request_id: RequestId,
        from: usize,
        tokens: Vec<String>,
        finish_reason: Option<String>,
    },
    /// Notifies that the client has received the complete response.
    CopyDrop(RequestId),
    /// Whether the copy was stored or extended.
    #[serde(rename = "Copied")]
    CopyResult(bool),

    /// Requests the journal of a request whose client is now connected to the sender. If the receiver runs the request,
    /// the receiver stops running it.
    #[serde(rename = "Pull")]
    JournalPull {
        request_id: RequestId,
        team: TeamName,
    },
    #[serde(rename = "Pulled")]
    JournalPulled(Option<PulledJournal>),

    /// Requests that the receiver takes over a request and runs it to completion.
    HandOver(JournalRecord),
    #[serde(rename = "Taken")]
    HandOverAccepted(bool),

    /// Response to a message that is not a request.
    #[serde(rename = "NotUnderstood")]
    UnexpectedRequest,
}

/// Journal that a peer returned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PulledJournal {
    pub record: JournalRecord,
    /// Whether the peer owned the request, which it no longer runs, rather than only holding a copy of its journal.
    pub was_owner: bool,
}

//! What entry processes say to and ask of each other.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use lentilhitch_platform::{AppendError, LogPage, Stream};
use lentilhitch_policy::{
    journal::JournalRecord,
    notice::Notice,
    quarantine::{Evidence, Trial},
};
use lentilhitch_types::{Incarnation, InstanceName, LogOffset, RequestId, TeamName};

/// Sent to each peer at a fixed interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub incarnation: Incarnation,
    pub is_leaving: bool,
    pub config_next: LogOffset,
    pub claims_next: LogOffset,
    /// Requests a second of each team with any.
    pub demand: Vec<(TeamName, f32)>,
}

/// One message; the questions come first, each with its answer below.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Heartbeat(Heartbeat),
    /// The sender suspects this peer; who hears it says so.
    WhoHears(InstanceName),
    /// The sender hears this peer.
    Heard(InstanceName, Incarnation),
    Notices(Vec<Notice>),
    Evidence(Vec<Evidence>),
    Trial(Trial),

    /// Let a suspect begin its trial; asked of the process that arbitrates for the upstream.
    TrialAsk(Trial),
    TrialGranted(bool),

    /// Append to the log for a process that can't reach it.
    LogAppend {
        stream: Stream,
        payload: String,
    },
    LogAppended(Result<LogOffset, AppendError>),

    /// Read the log for a process that can't reach it.
    LogRead {
        stream: Stream,
        from: LogOffset,
    },
    LogPage(Option<LogPage>),

    /// Give the state of a stream if it is further along.
    Snapshot {
        stream: Stream,
        next: LogOffset,
    },
    /// A serialized `fold::Snapshot`, in JSON.
    SnapshotIs(Option<Bytes>),

    /// Keep a copy of a journal.
    CopyBegin(JournalRecord),
    /// Add tokens to a copy; `from` is the position of the first.
    CopyTokens {
        request_id: RequestId,
        from: usize,
        tokens: Vec<String>,
        finish_reason: Option<String>,
    },
    /// The caller has the whole answer.
    CopyDrop(RequestId),
    /// Whether the copy now stands as the sender believes.
    Copied(bool),

    /// Give up a request to the process where its caller now is.
    Pull {
        request_id: RequestId,
        team: TeamName,
    },
    Pulled(Option<Pulled>),

    /// Take a request over and run it to its end.
    HandOver(JournalRecord),
    Taken(bool),

    /// The question was not understood.
    NotUnderstood,
}

/// A journal found at a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pulled {
    pub record: JournalRecord,
    /// Whether the peer ran the request and has now stopped; otherwise it only had a copy.
    pub was_owner: bool,
}

//! The charts of this system and the enums that they are checked against.
//!
//! Each module holds the vocabulary of one chart; the chart itself is the JSON file of the same name in `charts/`.

use std::sync::LazyLock;

use serde::Deserialize;

use crate::{Chart, Vocabulary};

macro_rules! vocabulary {
    ($(#[$doc:meta])* $name:ident { $($value:ident),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Deserialize, serde::Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum $name { $($value),* }

        impl Vocabulary for $name {
            const ALL: &'static [Self] = &[$(Self::$value),*];
        }
    };
}

macro_rules! embedded_chart {
    ($file:literal) => {
        /// The checked chart. Its file is part of the binary, so a defect is a defect of the build.
        pub static CHART: LazyLock<Chart<State, Event, Action>> =
            LazyLock::new(|| match Chart::load(SOURCE) {
                Ok(chart) => chart,
                Err(defects) => panic!("{}: {defects}", $file),
            });

        /// The text of the chart file.
        pub const SOURCE: &str = include_str!($file);
    };
}

/// A call that must not be repeated, at one entry process.
pub mod call {
    use super::{Chart, Deserialize, LazyLock, Vocabulary};

    vocabulary!(
        /// Where the call stands.
        State { New, Joined, Claiming, Settling, Won, Sent, Answered, Replayed, NotRun, Unknown, Mismatch }
    );
    vocabulary!(
        /// What can happen to the call.
        Event {
            KeyFree, KeyOpen, KeyAnswered, KeyMismatch, AppendRejected, AppendLost, OwnClaimFirst, OtherClaimFirst,
            ClaimantGone, Deadline, Dispatched, ConnectFailed, UpstreamAnswered, UpstreamBroken
        }
    );
    vocabulary!(
        /// What the process does about it.
        Action { AppendClaim, ReadLog, Send, RecordOutcome, Release }
    );
    embedded_chart!("charts/call.json");
}

/// An accepted request of a language service and its journal.
pub mod stream {
    use super::{Chart, Deserialize, LazyLock, Vocabulary};

    vocabulary!(
        /// Where the request stands.
        State { Waiting, Connecting, Running, Moving, Done, Failed, HandedOver, Cancelled }
    );
    vocabulary!(
        /// What can happen to the request.
        Event { Placed, Started, Token, End, UpstreamLost, UpstreamLeaving, TriesSpent, Deadline, CallerGone, PulledByPeer }
    );
    vocabulary!(
        /// What the process does about it.
        Action { Connect, Forward, CancelUpstream, Place, Finish, Report }
    );
    embedded_chart!("charts/stream.json");
}

/// An upstream as one entry process sees it.
pub mod upstream {
    use super::{Chart, Deserialize, LazyLock, Vocabulary};

    vocabulary!(
        /// Whether new work goes to the upstream.
        State { Untried, Available, Unreachable, Leaving }
    );
    vocabulary!(
        /// What can be learnt of the upstream.
        Event { Report, ConnectFailed, ReportOverdue, Notice, NewIncarnation }
    );
    vocabulary!(
        /// What the process does about it.
        Action { TellPeers, MoveStreams, ForgetCache }
    );
    embedded_chart!("charts/upstream.json");
}

/// An entry process from start to exit.
pub mod process {
    use super::{Chart, Deserialize, LazyLock, Vocabulary};

    vocabulary!(
        /// What the process does for callers.
        State { Starting, Serving, Unready, Draining, HandingOver, Stopped }
    );
    vocabulary!(
        /// What can happen to the process.
        Event { Configured, Terminate, BalancerInformed, Idle, NoticeEnding, HandedOver }
    );
    vocabulary!(
        /// What the process does about it.
        Action { AnnounceLeaving, ReleaseLeases, HandOver, CloseListeners }
    );
    embedded_chart!("charts/process.json");
}

/// A lease as its holder or candidate sees it.
pub mod lease {
    use super::{Chart, Deserialize, LazyLock, Vocabulary};

    vocabulary!(
        /// Whether the process may give orders.
        State { Idle, Requesting, Held, Renewing, Released }
    );
    vocabulary!(
        /// What can happen to the lease.
        Event { Free, Granted, Denied, AppendFailed, RenewalDue, Expired, Terminate }
    );
    vocabulary!(
        /// What the process does about it.
        Action { AppendRequest, AppendRelease, BeginOrders, EndOrders }
    );
    embedded_chart!("charts/lease.json");
}

/// Another entry process as this one sees it.
pub mod peer {
    use super::{Chart, Deserialize, LazyLock, Vocabulary};

    vocabulary!(
        /// What is believed of the peer.
        State { Unknown, Alive, Suspect, Dead, Leaving }
    );
    vocabulary!(
        /// What can be learnt of the peer.
        Event { Heartbeat, Silence, SeenBySecond, SuspicionOver, LeavingAnnounced, NewIncarnation }
    );
    vocabulary!(
        /// What the process does about it.
        Action { AskSecond, Reshare, AdoptJournals }
    );
    embedded_chart!("charts/peer.json");
}

//! The state charts of the system and the enums that they are checked against.
//!
//! Each module defines the states, events and actions of one chart. The chart itself, with the transitions between the
//! states, is the JSON file of the same name in `charts/`.

use std::sync::LazyLock;

use serde::Deserialize;

use crate::{Chart, ChartEnum};

macro_rules! chart_enum {
    ($(#[$doc:meta])* $name:ident { $($value:ident),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Deserialize, serde::Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum $name { $($value),* }

        impl ChartEnum for $name {
            const ALL: &'static [Self] = &[$(Self::$value),*];
        }
    };
}

macro_rules! embedded_chart {
    ($file:literal) => {
        /// Validated chart. Its file is embedded in the binary, so a defect is a programming error and panics.
        pub static CHART: LazyLock<Chart<State, Event, Action>> =
            LazyLock::new(|| match Chart::load(SOURCE) {
                Ok(chart) => chart,
                Err(defects) => panic!("{}: {defects}", $file),
            });

        /// Text of the chart file.
        pub const SOURCE: &str = include_str!($file);
    };
}

/// A call that is sent to an upstream at most once, as one entry process handles it. The process claims the key of the
/// call in the log before it sends the call.
pub mod call {
    use super::{Chart, ChartEnum, Deserialize, LazyLock};

    chart_enum!(
        /// State of the call. `New`: the key was not looked up yet. `Joined`: waits for the outcome under another
        /// claim. `Claiming`: the claim is being appended. `Settling`: it is unknown whether the claim was appended.
        /// `Won`: this process's claim holds the key, so the call may be sent. `Sent`: the call was sent, and its
        /// response is awaited. `Answered`: the upstream's response is the outcome. `Replayed`: the outcome under an
        /// earlier claim is returned. `NotRun`: the call was not sent. `Unknown`: the call may have been sent, without
        /// a known outcome. `Mismatch`: the key is held by another request.
        State { New, Joined, Claiming, Settling, Won, Sent, Answered, Replayed, NotRun, Unknown, Mismatch }
    );
    chart_enum!(
        /// Event that affects the call.
        Event {
            KeyFree, KeyOpen, KeyAnswered, KeyMismatch, AppendRejected, AppendLost, OwnClaimFirst, OtherClaimFirst,
            ClaimantGone, Deadline, Dispatched, ConnectFailed, UpstreamAnswered, UpstreamBroken
        }
    );
    chart_enum!(
        /// Action of the process on a transition.
        Action { AppendClaim, ReadLog, Send, RecordOutcome, Release }
    );
    embedded_chart!("charts/call.json");
}

/// An accepted request to a language service, with its journal.
pub mod stream {
    use super::{Chart, ChartEnum, Deserialize, LazyLock};

    chart_enum!(
        /// State of the request.
        State { Waiting, Connecting, Running, Moving, Done, Failed, HandedOver, Cancelled }
    );
    chart_enum!(
        /// Event that affects the request.
        Event { Placed, Started, Token, End, UpstreamLost, UpstreamLeaving, TriesSpent, Deadline, CallerGone, PulledByPeer }
    );
    chart_enum!(
        /// Action of the process on a transition.
        Action { Connect, Forward, CancelUpstream, Place, Finish, Report }
    );
    embedded_chart!("charts/stream.json");
}

/// An upstream, as one entry process sees it.
pub mod upstream {
    use super::{Chart, ChartEnum, Deserialize, LazyLock};

    chart_enum!(
        /// State of the upstream, which determines whether it gets new requests.
        State { Untried, Available, Unreachable, Leaving }
    );
    chart_enum!(
        /// Event that the process observes of the upstream.
        Event { Report, ConnectFailed, ReportOverdue, Notice, NewIncarnation }
    );
    chart_enum!(
        /// Action of the process on a transition.
        Action { TellPeers, MoveStreams, ForgetCache }
    );
    embedded_chart!("charts/upstream.json");
}

/// An entry process from start to exit.
pub mod process {
    use super::{Chart, ChartEnum, Deserialize, LazyLock};

    chart_enum!(
        /// State of the process, which determines what it does for clients.
        State { Starting, Serving, Unready, Draining, HandingOver, Stopped }
    );
    chart_enum!(
        /// Event that affects the process.
        Event { Configured, Terminate, BalancerInformed, Idle, NoticeEnding, HandedOver }
    );
    chart_enum!(
        /// Action of the process on a transition.
        Action { AnnounceLeaving, ReleaseLeases, HandOver, CloseListeners }
    );
    embedded_chart!("charts/process.json");
}

/// A lease, as its holder or a candidate for it sees it.
pub mod lease {
    use super::{Chart, ChartEnum, Deserialize, LazyLock};

    chart_enum!(
        /// State of the lease. The process may send orders only while the lease is `Held` or `Renewing`.
        State { Idle, Requesting, Held, Renewing, Released }
    );
    chart_enum!(
        /// Event that affects the lease.
        Event { Free, Granted, Denied, AppendFailed, RenewalDue, Expired, Terminate }
    );
    chart_enum!(
        /// Action of the process on a transition.
        Action { AppendRequest, AppendRelease, BeginOrders, EndOrders }
    );
    embedded_chart!("charts/lease.json");
}

/// Another entry process, as this one sees it.
pub mod peer {
    use super::{Chart, ChartEnum, Deserialize, LazyLock};

    chart_enum!(
        /// Presumed state of the peer.
        State { Unknown, Alive, Suspect, Dead, Leaving }
    );
    chart_enum!(
        /// Event that the process observes of the peer.
        Event { Heartbeat, Silence, SeenBySecond, SuspicionOver, LeavingAnnounced, NewIncarnation }
    );
    chart_enum!(
        /// Action of the process on a transition.
        Action { AskSecond, Reshare, AdoptJournals }
    );
    embedded_chart!("charts/peer.json");
}

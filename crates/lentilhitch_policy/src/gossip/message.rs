//! Messages between nodes.
//!
//! Names are sent as hashes, and most field names are single letters, because a delegate sends a summary to each node
//! of its zone. Ages are relative to the time at which the message is sent.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use lentilhitch_types::{Fingerprint, LogPosition};

use crate::{
    placement::InProgress,
    suspects::{QuarantinedRequest, segments::SegmentReport},
    upstream_limits::LimitReport,
};

/// A message of one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a node to the delegates of its zone.
    #[serde(rename = "r")]
    Report(Box<NodeReport>),
    /// From a delegate that sends no summaries to the nodes of its zone, and the response to a report that reached a
    /// node which is no delegate.
    #[serde(rename = "p")]
    Pulse(Pulse),
    /// From the primary delegate of a zone to a node of the zone.
    #[serde(rename = "s")]
    Summary(Box<Summary>),
    /// From the primary delegate of a zone to the delegates of another zone.
    #[serde(rename = "z")]
    Zone(Box<ZoneSummary>),
    /// Urgent report of a node to the delegates of its zone.
    #[serde(rename = "q")]
    Rates(NodeRates),
    /// Urgent reports of zones, from a delegate to the nodes of its zone and to the delegates of other zones.
    #[serde(rename = "t")]
    ZoneRates(Vec<ZoneRates>),
}

/// Total cost admitted for each team since the start of the counting process, by hash of the team's name.
pub type Admitted = Vec<(u32, f64)>;
/// Requests in progress at each upstream, by hash of the upstream's name.
pub type Loads = Vec<(u32, InProgress)>;
/// Total of the requests in progress at the upstreams that a message does not name. Encoded as a tuple of its fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct UnnamedLoads {
    pub n_requests: u64,
    /// Requests among them whose response has not started.
    pub n_waiting: u64,
    /// Uncached prompt tokens of the waiting requests.
    pub waiting_tokens: u64,
}

impl From<(u64, u64, u64)> for UnnamedLoads {
    fn from((n_requests, n_waiting, waiting_tokens): (u64, u64, u64)) -> Self {
        Self { n_requests, n_waiting, waiting_tokens }
    }
}

impl From<UnnamedLoads> for (u64, u64, u64) {
    fn from(it: UnnamedLoads) -> Self {
        (it.n_requests, it.n_waiting, it.waiting_tokens)
    }
}

impl UnnamedLoads {
    pub(crate) fn add(&mut self, other: impl Into<Self>) {
        let other = other.into();
        self.n_requests += other.n_requests;
        self.n_waiting += other.n_waiting;
        self.waiting_tokens += other.waiting_tokens;
    }

    pub(crate) fn subtract(&mut self, other: InProgress) {
        let other = Self::from(other);
        self.n_requests = self.n_requests.saturating_sub(other.n_requests);
        self.n_waiting = self.n_waiting.saturating_sub(other.n_waiting);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(other.waiting_tokens);
    }
}

impl From<InProgress> for UnnamedLoads {
    fn from(it: InProgress) -> Self {
        Self {
            n_requests: it.n_requests.into(),
            n_waiting: it.n_waiting.into(),
            waiting_tokens: it.waiting_tokens.into(),
        }
    }
}

/// Prompt tokens per second that are sent to each service, by hash of the service's name.
pub type DemandRates = Vec<(u32, f32)>;
/// Requests that were present at a crash of an upstream, each with the id of the crash.
pub type Evidence = Vec<(Fingerprint, u64)>;

/// Identity of a node and its addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddress {
    /// Hash of the node's name.
    #[serde(rename = "n")]
    pub node: u64,
    /// Hash of the name of the node's zone.
    #[serde(rename = "z")]
    pub zone: u32,
    /// UDP address at which the node receives messages.
    #[serde(rename = "g")]
    pub gossip: SocketAddr,
    /// HTTP address at which the node responds to its peers' queries for its cluster state.
    #[serde(rename = "x")]
    pub exchange: SocketAddr,
}

/// Version of something that a node has read from the store, and how long ago a node last read it from there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCopy {
    /// Version of the configuration, or digest of the list of upstreams.
    #[serde(rename = "v")]
    pub version: u64,
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// What a node reports about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    #[serde(rename = "f")]
    pub from: NodeAddress,
    #[serde(rename = "l")]
    pub incarnation: u64,
    /// Number of the report, counted from the start of the process.
    #[serde(rename = "k")]
    pub number: u64,
    #[serde(rename = "s")]
    pub state: LocalState,
}

/// Current values of a node, which it reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LocalState {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    #[serde(rename = "w")]
    pub wall_ms: u64,
    #[serde(rename = "c")]
    pub config: StoreCopy,
    #[serde(rename = "u")]
    pub upstreams: StoreCopy,
    #[serde(rename = "p")]
    pub loads: Loads,
    #[serde(rename = "a")]
    pub admitted: Admitted,
    #[serde(rename = "d")]
    pub demand: DemandRates,
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Evidence,
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub segment_reports: Vec<SegmentReport>,
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub limit_reports: Vec<LimitReport>,
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<QuarantinedRequest>,
    /// End offset of the duty topic after the node's last claim or renewal. Present only if the node holds the duty
    /// lease.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub duty_topic_end: Option<LogPosition>,
}

/// Sign of life of a delegate, or referral to the primary delegate of the zone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pulse {
    #[serde(rename = "f")]
    pub from: NodeAddress,
    /// The primary delegate, if the sender knows it.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub primary: Option<NodeAddress>,
}

/// State of a zone, added up by one of its delegates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneState {
    #[serde(rename = "z")]
    pub zone: u32,
    /// Identifies the delegate's process, whose totals start at its own start.
    #[serde(rename = "s")]
    pub source: u64,
    /// Number of the state, counted by its source.
    #[serde(rename = "k")]
    pub number: u64,
    #[serde(rename = "o")]
    pub age_ms: u64,
    /// Interval between the summaries of the zone.
    #[serde(rename = "i")]
    pub interval_ms: u64,
    /// Nodes of the zone that are known to run, also those that are out of reach.
    #[serde(rename = "n")]
    pub n_nodes: u32,
    /// Nodes of the zone that have reported recently.
    #[serde(rename = "l")]
    pub n_live: u32,
    /// Exchange address of the delegate.
    #[serde(rename = "x")]
    pub exchange: SocketAddr,
    /// Newest configuration in the zone.
    #[serde(rename = "c")]
    pub config: StoreCopy,
    /// Exchange address of a node that has `config`, unless the delegate itself has it.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub config_source: Option<SocketAddr>,
    /// List of upstreams of the node that read it last.
    #[serde(rename = "u")]
    pub upstreams: StoreCopy,
    /// Exchange address of the node that read `upstreams`, unless the delegate itself has the same list.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    pub upstreams_source: Option<SocketAddr>,
    #[serde(rename = "a")]
    pub admitted: Admitted,
    /// Wall-clock times of some nodes of the zone, in milliseconds since the Unix epoch.
    #[serde(rename = "w")]
    pub clocks_ms: Vec<u64>,
}

impl ZoneState {
    /// Returns the exchange address of a node that has the newest configuration of the zone.
    pub fn config_source(&self) -> SocketAddr {
        self.config_source.unwrap_or(self.exchange)
    }

    /// Returns the exchange address of a node that has the list of upstreams which was read last in the zone.
    pub fn upstreams_source(&self) -> SocketAddr {
        self.upstreams_source.unwrap_or(self.exchange)
    }
}

/// The holder of the duty lease, as last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyHolder {
    #[serde(rename = "n")]
    pub node: u64,
    #[serde(rename = "g")]
    pub gossip: SocketAddr,
    #[serde(rename = "e")]
    pub topic_end: LogPosition,
    #[serde(rename = "o")]
    pub age_ms: u64,
}

/// State of one zone for the delegates of another zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneSummary {
    #[serde(rename = "f")]
    pub from: NodeAddress,
    /// Address of another delegate, to which messages for the zone are sent too.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub standby: Option<SocketAddr>,
    /// Whether a node that is no delegate has passed the message on.
    #[serde(rename = "r", default)]
    pub is_forwarded: bool,
    #[serde(rename = "s")]
    pub state: ZoneState,
    /// If there are too many to name, those with the most waiting tokens and requests.
    #[serde(rename = "p")]
    pub loads: Loads,
    /// Present if `loads` does not name all busy upstreams. An older build does not know the others as busy.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub unnamed: Option<UnnamedLoads>,
    #[serde(rename = "d")]
    pub demand: DemandRates,
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Evidence,
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub segment_reports: Vec<SegmentReport>,
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub limit_reports: Vec<LimitReport>,
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<QuarantinedRequest>,
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub duty: Option<DutyHolder>,
}

/// State of the cluster for one node of a zone. Totals leave out what the receiver itself has reported.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    #[serde(rename = "f")]
    pub from: NodeAddress,
    /// States of all zones that are known to the delegate, its own among them.
    #[serde(rename = "s")]
    pub zones: Vec<ZoneState>,
    /// Node of the zone that reads the list of upstreams for the others.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub reader: Option<u64>,
    /// First nodes of the zone that have reported recently, in the order of their hashes.
    #[serde(rename = "b")]
    pub live: Vec<u64>,
    /// Sums over all zones. If there are too many to name, those with the most waiting tokens and requests.
    #[serde(rename = "p")]
    pub loads: Loads,
    /// Present if `loads` does not name all busy upstreams. An older build does not know the others as busy.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub unnamed: Option<UnnamedLoads>,
    #[serde(rename = "d")]
    pub demand: DemandRates,
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Evidence,
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub segment_reports: Vec<SegmentReport>,
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub limit_reports: Vec<LimitReport>,
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<QuarantinedRequest>,
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub duty: Option<DutyHolder>,
}

/// Totals of a node for teams whose rates need an urgent report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRates {
    #[serde(rename = "n")]
    pub node: u64,
    #[serde(rename = "l")]
    pub incarnation: u64,
    #[serde(rename = "a")]
    pub admitted: Admitted,
}

/// Totals of a zone for teams whose rates need an urgent report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneRates {
    #[serde(rename = "z")]
    pub zone: u32,
    #[serde(rename = "s")]
    pub source: u64,
    #[serde(rename = "a")]
    pub admitted: Admitted,
}

//! The settings of one process.

use std::{fmt, net::SocketAddr, path::Path};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use lentilhitch_types::{ByteSize, Findings, InstanceName, SourcePosition, Zone};

use crate::{
    json_text::JsonText,
    schema::{SchemaName, schema},
};

const PEER_KEY_BYTES_MIN: usize = 16;

/// The settings file as an operator writes it.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct SettingsOptions {
    /// The name of this entry instance.
    instance: InstanceName,
    /// The data centre that it stands in.
    zone: Zone,
    /// IP address and port for callers.
    front_address: String,
    /// IP address and port for operators; callers must not be able to reach it.
    admin_address: String,
    /// IP address and port for the other entry instances.
    peer_address: String,
    /// IP address and port of the platform.
    platform_address: String,
    /// The other entry instances.
    #[serde(default)]
    peers: Vec<PeerOptions>,
    /// Keys shared by all entry instances: the first is used, every one is accepted.
    #[schemars(length(min = 1))]
    peer_keys: Vec<String>,
    #[serde(default)]
    bounds: BoundsOptions,
    #[serde(default)]
    timing: TimingOptions,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct PeerOptions {
    instance: InstanceName,
    zone: Zone,
    address: String,
}

macro_rules! numbers {
    (
        $(#[$options_doc:meta])* $options:ident,
        $(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident = $default:expr),* $(,)? }
    ) => {
        $(#[$options_doc])*
        #[derive(Clone, Debug, Default)]
        #[derive(Deserialize, JsonSchema)]
        #[serde(deny_unknown_fields, default)]
        struct $options {
            $($(#[$field_doc])* #[schemars(range(min = 1))] $field: Option<u64>),*
        }

        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[derive(Serialize)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: u64),*
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default),* }
            }
        }

        impl $options {
            fn resolve(self) -> $name {
                let default = $name::default();
                $name { $($field: self.$field.unwrap_or(default.$field)),* }
            }
        }
    };
}

numbers!(
    /// Bounds as an operator writes them.
    BoundsOptions,
    /// What a process refuses to exceed.
    Bounds {
        /// Largest body of a request.
        body_bytes_max = 4 * 1024 * 1024,
        /// All headers of a request together.
        header_bytes_max = 32 * 1024,
        /// Requests in progress at once; more are refused.
        requests_max = 2_048,
        /// Finished and orphaned answers kept for callers that lost their connection.
        kept_answer_bytes_max = 32 * 1024 * 1024,
        /// Largest answer of a non-repeatable call that is kept for repeats.
        kept_call_bytes_max = 4 * 1024,
        /// Largest frame on a link between entry instances.
        peer_frame_bytes_max = 8 * 1024 * 1024,
        /// Prompt blocks remembered of each upstream.
        prefix_blocks_max = 4_096,
    }
);

numbers!(
    /// Durations as an operator writes them.
    TimingOptions,
    /// Durations that a process keeps to, all in milliseconds.
    Timing {
        /// Between heartbeats to each peer.
        heartbeat_ms = 500,
        /// Between load reports of an upstream.
        load_report_ms = 500,
        /// How long a request for new log records waits.
        log_wait_ms = 2_000,
        /// Longest wait for an answer of the platform.
        platform_timeout_ms = 3_000,
        /// Longest wait for a claim to be settled before the call is refused.
        claim_timeout_ms = 4_000,
        /// Longest wait for a connection to an upstream.
        connect_timeout_ms = 500,
        /// Silence of an engine after which the answer goes on elsewhere.
        token_silence_ms = 5_000,
        /// From the start of a stop until the balancer has seen it.
        balancer_ms = 1_000,
        /// Longest wait for requests in progress at a planned stop.
        drain_ms = 600_000,
        /// How long a finished or orphaned answer is kept.
        kept_answer_ms = 600_000,
        /// Age of the last checkpoint at which a new one is written.
        checkpoint_ms = 3_600_000,
        /// Number of records since the last checkpoint at which a new one is written.
        checkpoint_records = 2_000,
        /// Longest wait for a peer's answer.
        peer_timeout_ms = 1_000,
        /// Longest wait for a journal copy before tokens go on without it.
        copy_timeout_ms = 200,
    }
);

/// A key shared by all entry instances. It is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey(String);

impl PeerKey {
    /// The bytes of the key, for a message authentication code only.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// Another entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Peer {
    pub instance: InstanceName,
    pub zone: Zone,
    pub address: SocketAddr,
}

/// What a process runs on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Settings {
    pub instance: InstanceName,
    pub zone: Zone,
    pub front_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub platform_address: SocketAddr,
    pub peers: Vec<Peer>,
    #[serde(skip)]
    pub peer_keys: Vec<PeerKey>,
    pub bounds: Bounds,
    pub timing: Timing,
}

impl Settings {
    /// Reads a settings file; reports all findings together.
    pub fn load(file: &Path) -> Result<Self, Findings> {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Ok(text) => Self::parse(&name, &text),
            Err(err) => {
                let mut findings = Findings::default();
                findings.push(
                    SourcePosition { file: name, ..SourcePosition::default() },
                    format!("can't be read: {err}"),
                );
                Err(findings)
            }
        }
    }

    /// Reads the text of a settings file; reports all findings together.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let settings = JsonText::parse(file, text, &mut findings).and_then(|text| {
            let options: SettingsOptions =
                text.read(&schema(SchemaName::Settings), &mut findings)?;
            options.resolve(&text, &mut findings)
        });
        match settings {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(findings),
        }
    }

    /// The largest request body.
    pub fn body_max(&self) -> ByteSize {
        ByteSize(self.bounds.body_bytes_max)
    }
}

impl SettingsOptions {
    fn resolve(self, text: &JsonText<'_>, findings: &mut Findings) -> Option<Settings> {
        let mut address = |pointer: &str, written: &str| -> Option<SocketAddr> {
            let parsed = written.parse().ok();
            if parsed.is_none() {
                findings.push(
                    text.place(pointer),
                    format!("{written:?} is not an IP address with a port"),
                );
            }
            parsed
        };
        let front_address = address("/front_address", &self.front_address);
        let admin_address = address("/admin_address", &self.admin_address);
        let peer_address = address("/peer_address", &self.peer_address);
        let platform_address = address("/platform_address", &self.platform_address);
        let mut peers = Vec::new();
        for (idx, it) in self.peers.into_iter().enumerate() {
            if let Some(address) = address(&format!("/peers/{idx}/address"), &it.address) {
                peers.push(Peer { instance: it.instance, zone: it.zone, address });
            }
        }
        check_peers(&self.instance, &peers, text, findings);
        for (idx, key) in self.peer_keys.iter().enumerate() {
            if key.len() < PEER_KEY_BYTES_MIN {
                let place = text.place(&format!("/peer_keys/{idx}"));
                findings
                    .push(place, format!("a peer key needs at least {PEER_KEY_BYTES_MIN} bytes"));
            }
        }
        Some(Settings {
            instance: self.instance,
            zone: self.zone,
            front_address: front_address?,
            admin_address: admin_address?,
            peer_address: peer_address?,
            platform_address: platform_address?,
            peers,
            peer_keys: self.peer_keys.into_iter().map(PeerKey).collect(),
            bounds: self.bounds.resolve(),
            timing: self.timing.resolve(),
        })
    }
}

fn check_peers(own: &InstanceName, peers: &[Peer], text: &JsonText<'_>, findings: &mut Findings) {
    for (idx, peer) in peers.iter().enumerate() {
        let place = || text.place(&format!("/peers/{idx}/instance"));
        if peer.instance == *own {
            findings.push(place(), "an instance can't be its own peer");
        }
        if peers[..idx].iter().any(|it| it.instance == peer.instance) {
            findings.push(place(), format!("the peer {} is listed twice", peer.instance));
        }
    }
}

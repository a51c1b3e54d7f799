//! Settings of one entry process.

use std::{fmt, net::SocketAddr, path::Path};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use lentilhitch_types::{ByteSize, Findings, InstanceName, SourcePosition, Zone};

use crate::{
    json_text::JsonText,
    schema::{SchemaName, schema},
};

const PEER_KEY_BYTES_MIN: usize = 16;

/// Settings file as written by an operator.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct SettingsOptions {
    /// Name of this entry instance.
    instance: InstanceName,
    /// Zone (data center) of this entry instance.
    zone: Zone,
    /// IP address and port that clients connect to.
    front_address: String,
    /// IP address and port for operators. Clients must not be able to reach it.
    admin_address: String,
    /// IP address and port that the other entry instances connect to.
    peer_address: String,
    /// IP address and port of the platform.
    platform_address: String,
    /// The other entry instances.
    #[serde(default)]
    peers: Vec<PeerOptions>,
    /// Keys shared by all entry instances. The first is used to open links to peers, and all of them are accepted.
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

/// Defines a struct of numeric settings twice: as options, where every field may be absent, and resolved with defaults.
macro_rules! numeric_settings {
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

numeric_settings!(
    /// Limits as written by an operator.
    BoundsOptions,
    /// Limits that a process enforces.
    Bounds {
        /// Maximum size of a request body, in bytes.
        body_bytes_max = 4 * 1024 * 1024,
        /// Maximum total size of the headers of a request, in bytes.
        header_bytes_max = 32 * 1024,
        /// Maximum number of requests in progress. Further requests are rejected.
        requests_max = 2_048,
        /// Maximum total size of finished and orphaned responses that are stored for clients that lost their
        /// connection, in bytes.
        kept_answer_bytes_max = 32 * 1024 * 1024,
        /// Maximum size of a response of an at-most-once call that is stored for repeats of the call, in bytes.
        kept_call_bytes_max = 4 * 1024,
        /// Maximum size of a frame on a link between entry instances, in bytes.
        peer_frame_bytes_max = 8 * 1024 * 1024,
        /// Maximum number of prompt blocks stored per upstream.
        prefix_blocks_max = 4_096,
    }
);

numeric_settings!(
    /// Intervals and time limits as written by an operator.
    TimingOptions,
    /// Intervals and time limits of a process. Those that end in `_ms` are in milliseconds.
    Timing {
        /// Interval between heartbeats to each peer.
        heartbeat_ms = 500,
        /// Interval at which the load report of an upstream is fetched.
        load_report_ms = 500,
        /// How long a read of the log waits for new records.
        log_wait_ms = 2_000,
        /// Timeout for a response of the platform.
        platform_timeout_ms = 3_000,
        /// Timeout for a claim to be settled, after which the call is rejected.
        claim_timeout_ms = 4_000,
        /// Timeout for connecting to an upstream.
        connect_timeout_ms = 500,
        /// Time without a token from an engine after which the response continues at another upstream.
        token_silence_ms = 5_000,
        /// Time from the start of a shutdown until the load balancer has noticed it.
        balancer_ms = 1_000,
        /// Maximum wait for requests in progress at a planned shutdown.
        drain_ms = 600_000,
        /// How long a finished or orphaned response is stored.
        kept_answer_ms = 600_000,
        /// Age of the last checkpoint at which a new one is written.
        checkpoint_ms = 3_600_000,
        /// Number of records since the last checkpoint at which a new one is written.
        checkpoint_records = 2_000,
        /// Timeout for a response of a peer.
        peer_timeout_ms = 1_000,
        /// Timeout for copying the journal to a peer, after which tokens are sent to the client without a copy.
        copy_timeout_ms = 200,
    }
);

/// Key shared by all entry instances. Its value is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey(String);

impl PeerKey {
    /// Returns the bytes of the key. For computing message authentication codes only.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// Another entry instance, to which this process opens a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Peer {
    pub instance: InstanceName,
    pub zone: Zone,
    pub address: SocketAddr,
}

/// Validated settings of a process, with all defaults filled in.
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
    /// Reads a settings file. Returns all findings together if there are any.
    pub fn load(file: &Path) -> Result<Self, Findings> {
        let file_name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Ok(text) => Self::parse(&file_name, &text),
            Err(err) => {
                let mut findings = Findings::default();
                findings.push(
                    SourcePosition { file: file_name, ..SourcePosition::default() },
                    format!("can't be read: {err}"),
                );
                Err(findings)
            }
        }
    }

    /// Parses the text of a settings file. Returns all findings together if there are any.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let settings = JsonText::parse(file, text, &mut findings).and_then(|text| {
            let options: SettingsOptions =
                text.deserialize(&schema(SchemaName::Settings), &mut findings)?;
            options.resolve(&text, &mut findings)
        });
        match settings {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(findings),
        }
    }

    /// Returns the maximum size of a request body.
    pub fn body_size_max(&self) -> ByteSize {
        ByteSize(self.bounds.body_bytes_max)
    }
}

impl SettingsOptions {
    fn resolve(self, text: &JsonText<'_>, findings: &mut Findings) -> Option<Settings> {
        let mut parse_address = |pointer: &str, address_text: &str| -> Option<SocketAddr> {
            let address = address_text.parse().ok();
            if address.is_none() {
                findings.push(
                    text.position(pointer),
                    format!("{address_text:?} is not an IP address with a port"),
                );
            }
            address
        };
        let front_address = parse_address("/front_address", &self.front_address);
        let admin_address = parse_address("/admin_address", &self.admin_address);
        let peer_address = parse_address("/peer_address", &self.peer_address);
        let platform_address = parse_address("/platform_address", &self.platform_address);
        let mut peers = Vec::new();
        for (idx, it) in self.peers.into_iter().enumerate() {
            if let Some(address) = parse_address(&format!("/peers/{idx}/address"), &it.address) {
                peers.push(Peer { instance: it.instance, zone: it.zone, address });
            }
        }
        check_peers(&self.instance, &peers, text, findings);
        for (idx, key) in self.peer_keys.iter().enumerate() {
            if key.len() < PEER_KEY_BYTES_MIN {
                let position = text.position(&format!("/peer_keys/{idx}"));
                findings.push(
                    position,
                    format!("a peer key needs at least {PEER_KEY_BYTES_MIN} bytes"),
                );
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

/// Reports peers that are listed twice, and the instance itself among its peers.
fn check_peers(local: &InstanceName, peers: &[Peer], text: &JsonText<'_>, findings: &mut Findings) {
    for (idx, peer) in peers.iter().enumerate() {
        let position = || text.position(&format!("/peers/{idx}/instance"));
        if peer.instance == *local {
            findings.push(position(), "an instance can't be its own peer");
        }
        if peers[..idx].iter().any(|it| it.instance == peer.instance) {
            findings.push(position(), format!("the peer {} is listed twice", peer.instance));
        }
    }
}

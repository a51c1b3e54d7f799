//! Options of a cluster.

use serde_json::{Value, json};

/// Number and settings of the processes of a cluster.
#[derive(Clone, Debug)]
pub struct Options {
    pub n_engines: usize,
    pub n_applications: usize,
    pub n_entries: usize,
    /// Time that engines need to generate one token, in milliseconds.
    pub decode_ms: u64,
    /// Prompt tokens that each engine processes per second.
    pub prefill_tokens_per_s: f64,
    /// `timing` in the settings of each entry process.
    pub timing: Value,
    /// `bounds` in the settings of each entry process.
    pub bounds: Value,
    /// Maximum number of requests per second of the team.
    pub requests_per_s: f64,
    /// Whether upstreams are declared with their own addresses instead of those of their proxies.
    pub is_direct: bool,
    /// Number of zones. Entry processes and upstreams are assigned to zones in turn.
    pub n_zones: usize,
    /// Model version of the durable service.
    pub version: Option<&'static str>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            n_engines: 2,
            n_applications: 1,
            n_entries: 2,
            decode_ms: 5,
            prefill_tokens_per_s: 20_000.0,
            timing: json!({}),
            bounds: json!({}),
            requests_per_s: 10_000.0,
            is_direct: false,
            n_zones: usize::MAX,
            version: None,
        }
    }
}

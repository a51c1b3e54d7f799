//! What to start.

use serde_json::{Value, json};

/// What to start.
#[derive(Clone, Debug)]
pub struct Options {
    pub n_engines: usize,
    pub n_applications: usize,
    pub n_entries: usize,
    pub decode_ms: u64,
    pub prefill_tokens_per_s: f64,
    /// Merged into `timing` of each entry process.
    pub timing: Value,
    /// Merged into `bounds` of each entry process.
    pub bounds: Value,
    /// Requests a second of the team.
    pub requests_per_s: f64,
    /// Upstreams are declared under their own addresses, not those of their links.
    pub is_direct: bool,
    /// Zones that processes and upstreams are spread over, in turns.
    pub n_zones: usize,
    /// The model version of the durable service.
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

//! Recorded traces: the requests and other events of a run with their times, and the latencies that were measured.

use std::{fs, path::Path};

use anyhow::Context as _;
use serde::{Deserialize, Serialize};

/// A recorded run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trace {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the load.
    pub seed: u64,
    /// One-way network latency between two zones, in milliseconds.
    pub network_ms: f64,
    /// Target for the time to the first token, in milliseconds.
    pub target_ms: f64,
    /// Cost of each recomputed token, in milliseconds.
    pub recomputed_token_ms: f64,
    /// Cost of each millionth of a dollar, in milliseconds.
    pub microusd_ms: f64,
    /// Number of entry processes. Entry process `n` is in zone `n`.
    pub n_entries: usize,
    pub engines: Vec<Engine>,
    pub events: Vec<Event>,
}

/// An engine of the run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Engine {
    pub zone: usize,
    pub price_microusd_per_hour: u64,
    pub slots: u32,
    pub prefill_tokens_per_s: f64,
    pub decode_ms: f64,
}

/// One event of the run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// Time since the start of the run, in milliseconds.
    pub at_ms: u64,
    #[serde(flatten)]
    pub kind: EventKind,
}

/// Kind of an event, with its details.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A request arrives.
    Arrival(Arrival),
    /// An engine gets notice that it will be reclaimed. It stops later, and restarts with an empty cache.
    Notice {
        engine: usize,
        /// Time at which the engine stops.
        #[serde(rename = "gone_ms")]
        stopped_ms: u64,
        /// Time at which the engine is available again.
        #[serde(rename = "back_ms")]
        restarted_ms: u64,
    },
    /// The price of all engines of a zone changes.
    Price { zone: usize, price_microusd_per_hour: u64 },
}

/// A request as it arrived at an entry process.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Arrival {
    /// Number of the conversation. Requests of a conversation share the beginning of their prompts.
    pub conversation: u64,
    /// Number of tokens at the beginning of the prompt that belong to the conversation.
    pub shared_tokens: u64,
    /// Number of all prompt tokens.
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    /// Index of the entry process that received the request.
    pub entry: usize,
    /// Time to the first token that the client measured when the trace was recorded. `None` if it received no token.
    #[serde(rename = "seen_first_token_ms")]
    pub measured_first_token_ms: Option<u64>,
}

impl Trace {
    /// Reads a trace file.
    pub fn load(file: &Path) -> anyhow::Result<Self> {
        let text = fs::read_to_string(file)
            .with_context(|| format!("{} can't be read", file.display()))?;
        serde_json::from_str(&text).with_context(|| format!("{} is not a trace", file.display()))
    }

    /// Writes a trace file with one event per line.
    pub fn save(&self, file: &Path) -> anyhow::Result<()> {
        let mut header = serde_json::to_value(Self { events: Vec::new(), ..self.clone() })?;
        let events: Vec<_> =
            self.events.iter().map(serde_json::to_string).collect::<Result<_, _>>()?;
        header["events"] = serde_json::json!([]);
        let text = header.to_string();
        let event_lines = format!("\"events\":[\n{}\n]", events.join(",\n"));
        fs::write(file, text.replace("\"events\":[]", &event_lines) + "\n")?;
        Ok(())
    }
}

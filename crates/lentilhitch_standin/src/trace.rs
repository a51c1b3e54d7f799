//! Recorded traces: what came when, and what the system that was recorded did with it.

use std::{fs, path::Path};

use anyhow::Context as _;
use serde::{Deserialize, Serialize};

/// A recorded run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trace {
    pub deployment: String,
    pub seed: u64,
    /// One way between two zones.
    pub network_ms: f64,
    /// The first-token target.
    pub target_ms: f64,
    /// What a token that is computed again counts, in milliseconds.
    pub recomputed_token_ms: f64,
    /// What a millionth of a dollar counts, in milliseconds.
    pub microusd_ms: f64,
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
    pub at_ms: u64,
    #[serde(flatten)]
    pub kind: Kind,
}

/// What happened.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Arrival(Arrival),
    /// An engine is told to leave, is gone, and comes back empty.
    Notice {
        engine: usize,
        gone_ms: u64,
        back_ms: u64,
    },
    Price {
        zone: usize,
        price_microusd_per_hour: u64,
    },
}

/// A request.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Arrival {
    /// Requests of a conversation share the beginning of their prompts.
    pub conversation: u64,
    pub shared_tokens: u64,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    /// The entry process that it came to.
    pub entry: usize,
    /// Time to the first token as its caller saw it when the run was recorded; `None` if there was none.
    pub seen_first_token_ms: Option<u64>,
}

impl Trace {
    /// Reads a trace file.
    pub fn load(file: &Path) -> anyhow::Result<Self> {
        let text = fs::read_to_string(file)
            .with_context(|| format!("{} can't be read", file.display()))?;
        serde_json::from_str(&text).with_context(|| format!("{} is not a trace", file.display()))
    }

    /// Writes a trace file, an event a line.
    pub fn save(&self, file: &Path) -> anyhow::Result<()> {
        let mut head = serde_json::to_value(Self { events: Vec::new(), ..self.clone() })?;
        let events: Vec<_> =
            self.events.iter().map(serde_json::to_string).collect::<Result<_, _>>()?;
        head["events"] = serde_json::json!([]);
        let text = head.to_string();
        let lines = format!("\"events\":[\n{}\n]", events.join(",\n"));
        fs::write(file, text.replace("\"events\":[]", &lines) + "\n")?;
        Ok(())
    }
}

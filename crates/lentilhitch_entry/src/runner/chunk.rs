//! The events of an engine's stream.

use futures_util::{Stream, StreamExt};
use serde::Deserialize;

use lentilhitch_types::AttemptId;

/// One event of an engine's stream. Engines that do not give attempt and position are taken to
/// send in order, and every attempt from the first token.
#[derive(Debug, Deserialize)]
pub(super) struct Chunk {
    #[serde(default)]
    pub(super) attempt: Option<AttemptId>,
    #[serde(default)]
    pub(super) position: Option<usize>,
    #[serde(default)]
    pub(super) choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Choice {
    #[serde(default)]
    pub(super) text: Option<String>,
    #[serde(default)]
    pub(super) delta: Option<Delta>,
    #[serde(default)]
    pub(super) finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Delta {
    #[serde(default)]
    pub(super) content: Option<String>,
}

/// The next event that can be understood; `None` when there is none any more.
pub(super) async fn next_chunk<S, E>(events: &mut S) -> Option<Chunk>
where
    S: Stream<Item = Result<eventsource_stream::Event, E>> + Unpin,
{
    loop {
        let event = events.next().await?.ok()?;
        if event.data == "[DONE]" {
            return None;
        }
        match serde_json::from_str(&event.data) {
            Ok(chunk) => return Some(chunk),
            Err(err) => log::warn!(error:% = err; "event of an upstream not understood"),
        }
    }
}

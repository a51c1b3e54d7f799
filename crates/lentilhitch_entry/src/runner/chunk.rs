//! Events of an upstream's stream.

use futures_util::{Stream, StreamExt};
use serde::Deserialize;

use lentilhitch_types::AttemptId;

/// Event of an upstream's stream. Upstreams that omit the attempt and the position are assumed to send tokens in order,
/// and to start each attempt with the first token.
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

/// Returns the next valid event, or `None` at the end of the stream.
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
            Err(err) => log::warn!(error:% = err; "skipping invalid upstream event"),
        }
    }
}

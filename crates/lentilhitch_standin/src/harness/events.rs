//! Streamed responses as clients receive them.

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde_json::Value;

/// Server-sent events of a response, as far as they were received.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// Name, ID and data of each event.
    pub events: Vec<(String, String, String)>,
    /// Whether the response body ended without an error.
    pub is_closed_properly: bool,
}

impl Events {
    /// Returns the text of all tokens.
    pub fn text(&self) -> String {
        let data = self.events.iter().filter_map(|it| serde_json::from_str::<Value>(&it.2).ok());
        data.filter_map(|it| it["choices"][0]["text"].as_str().map(str::to_owned)).collect()
    }

    /// Returns whether the last event is the end marker of a complete response.
    pub fn is_done(&self) -> bool {
        self.events.last().is_some_and(|it| it.2 == "[DONE]")
    }

    /// Returns the last event ID that is a number, or 0 if there is none.
    pub fn last_id(&self) -> usize {
        self.events.iter().rev().find_map(|it| it.1.parse().ok()).unwrap_or_default()
    }

    /// Returns the data of the first event with this name.
    pub fn event_data(&self, name: &str) -> Option<&str> {
        self.events.iter().find(|it| it.0 == name).map(|it| it.2.as_str())
    }
}

/// Reads a response to its end.
pub async fn read_events(response: reqwest::Response) -> Events {
    read_events_until(response, |_| false).await
}

/// Reads a response until a condition holds for the events received so far, and then drops the connection.
pub async fn read_events_until(
    response: reqwest::Response,
    is_sufficient: impl Fn(&Events) -> bool,
) -> Events {
    let mut received = Events::default();
    let mut stream = response.bytes_stream().eventsource();
    while !is_sufficient(&received) {
        match stream.next().await {
            Some(Ok(event)) => received.events.push((event.event, event.id, event.data)),
            Some(Err(_)) => return received,
            None => {
                received.is_closed_properly = true;
                return received;
            }
        }
    }
    received
}

//! Answers as their callers see them.

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde_json::Value;

/// The server-sent events of an answer, as far as they came.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// Name, id and data of each event.
    pub events: Vec<(String, String, String)>,
    /// Whether the connection ended as HTTP wants it.
    pub is_closed_properly: bool,
}

impl Events {
    /// The text of all tokens.
    pub fn text(&self) -> String {
        let data = self.events.iter().filter_map(|it| serde_json::from_str::<Value>(&it.2).ok());
        data.filter_map(|it| it["choices"][0]["text"].as_str().map(str::to_owned)).collect()
    }

    /// Whether the last event says that the answer is whole.
    pub fn is_done(&self) -> bool {
        self.events.last().is_some_and(|it| it.2 == "[DONE]")
    }

    /// The id of the last event that has one.
    pub fn last_id(&self) -> usize {
        self.events.iter().rev().find_map(|it| it.1.parse().ok()).unwrap_or_default()
    }

    /// The data of the first event of a name.
    pub fn event_data(&self, name: &str) -> Option<&str> {
        self.events.iter().find(|it| it.0 == name).map(|it| it.2.as_str())
    }
}

/// Reads an answer to its end.
pub async fn read_events(response: reqwest::Response) -> Events {
    read_events_until(response, |_| false).await
}

/// Reads an answer until a condition holds, and then drops the connection.
pub async fn read_events_until(
    response: reqwest::Response,
    is_enough: impl Fn(&Events) -> bool,
) -> Events {
    let mut read = Events::default();
    let mut stream = response.bytes_stream().eventsource();
    while !is_enough(&read) {
        match stream.next().await {
            Some(Ok(event)) => read.events.push((event.event, event.id, event.data)),
            Some(Err(_)) => return read,
            None => {
                read.is_closed_properly = true;
                return read;
            }
        }
    }
    read
}

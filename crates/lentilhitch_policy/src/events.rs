//! Splitting of an event stream, received in chunks of any size, into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event. Engines send far smaller events.
const EVENT_BYTES_MAX: usize = 256 * 1024;

/// The stream contains an event that exceeds the maximum size, or bytes that are no events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

/// Splits a stream into complete events and keeps the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
    /// Whether the current body has contained a complete event.
    has_event: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event with the given id.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Starts the body of another response, which continues after the last event. Discards the bytes of a partial event.
    pub fn start_body(&mut self) {
        self.partial.clear();
        self.has_event = false;
    }

    /// Appends a chunk. Returns the bytes of all events that are complete now, unchanged, if there are any.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        // A line end of an earlier chunk may belong to the end of an event in this chunk.
        let searched_from = self.partial.len().saturating_sub(EVENT_END_BYTES_MAX - 1);
        self.partial.extend_from_slice(chunk);
        let Some(end) = last_event_end(&self.partial[searched_from..]) else {
            return if EVENT_BYTES_MAX < self.partial.len() {
                Err(EventTooLarge)
            } else {
                Ok(None)
            };
        };
        let end = searched_from + end;
        let complete = self.partial.split_to(end).freeze();
        for line in lines(&complete) {
            self.has_event |= is_field(line);
            if let Some(id) = parse_id(line) {
                self.last_id = Some(id);
            }
        }
        Ok(Some(complete))
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the current body has contained a complete event. Comments are not events.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns whether an event has started that is not complete.
    pub fn is_inside_event(&self) -> bool {
        let is_inside_line = self.partial.last().is_some_and(|it| !is_line_end(*it));
        is_inside_line || lines(&self.partial).any(is_field)
    }

    /// Returns the number of bytes after the last complete event.
    pub fn n_partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Removes and returns the bytes after the last complete event, for example a comment.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Returns the lines of a text. A pair of carriage return and line feed gives an additional empty line.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|it| is_line_end(*it))
}

/// Returns whether a line is a field of an event, rather than empty or a comment.
fn is_field(line: &[u8]) -> bool {
    !line.is_empty() && !line.starts_with(b":")
}

/// Ends of an event: the end of a line, followed by that of an empty line. Lines end with a line feed, a carriage return or
/// both.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
/// Size of the longest of [`EVENT_ENDS`].
const EVENT_END_BYTES_MAX: usize = 3;

/// Returns the index after the last end of an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    EVENT_ENDS.iter().filter_map(|it| last_match_end(bytes, it)).max()
}

/// Returns the index after the last occurrence of the pattern.
fn last_match_end(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|it| it == pattern).map(|it| it + pattern.len())
}

/// Returns the id if the line is the `id` field of an event.
fn parse_id(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
    text.trim().parse().ok()
}

//! Whole events of a stream, cut from the chunks in which they arrive.

use bytes::{Bytes, BytesMut};

/// An event that grows beyond this is passed on in parts; engines send far smaller ones.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Cuts a stream into complete events and keeps the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A stream that goes on after the given event.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Takes a chunk; returns the complete events that it completes, as they came.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(chunk);
        let end = last_event_end(&self.partial)?;
        let complete = self.partial.split_to(end).freeze();
        for line in complete.split(|it| *it == b'\n') {
            if let Some(id) = parse_id(line) {
                self.last_id = Some(id);
            }
        }
        Some(complete)
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Bytes after the last complete event; a stream that ends in order may leave some.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    if EVENT_BYTES_MAX < bytes.len() {
        return Some(bytes.len());
    }
    let lf = last_match_end(bytes, b"\n\n");
    let crlf = last_match_end(bytes, b"\r\n\r\n");
    lf.max(crlf)
}

/// Where the last occurrence of the pattern ends.
fn last_match_end(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|it| it == pattern).map(|it| it + pattern.len())
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
    text.trim().parse().ok()
}

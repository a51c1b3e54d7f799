//! Whole events of a stream, cut from the pieces in which they arrive.

use bytes::{Bytes, BytesMut};

/// An event that grows beyond this is passed on in parts; engines send far smaller ones.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Cuts a stream into whole events and keeps the id of the last one.
#[derive(Debug, Default)]
pub struct EventCutter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventCutter {
    /// A stream that goes on after the given event.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Takes a piece; returns the whole events that it completes, as they came.
    pub fn push(&mut self, piece: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(piece);
        let end = whole_end(&self.partial)?;
        let whole = self.partial.split_to(end).freeze();
        for line in whole.split(|it| *it == b'\n') {
            if let Some(id) = parse_id(line) {
                self.last_id = Some(id);
            }
        }
        Some(whole)
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Bytes after the last whole event; a stream that ends in order may leave some.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

fn whole_end(bytes: &[u8]) -> Option<usize> {
    if EVENT_BYTES_MAX < bytes.len() {
        return Some(bytes.len());
    }
    let lf = memrchr_pair(bytes, b"\n\n");
    let crlf = memrchr_pair(bytes, b"\r\n\r\n");
    lf.max(crlf)
}

/// Where the last occurrence of the pattern ends.
fn memrchr_pair(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|it| it == pattern).map(|it| it + pattern.len())
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
    text.trim().parse().ok()
}

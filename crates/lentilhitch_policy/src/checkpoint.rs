//! Checkpoints in the log, in parts that fit into its records.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use lentilhitch_types::{AttemptId, LogOffset};

use crate::fold::Snapshot;

/// Checkpoints that may be incomplete at once; of more, the oldest is given up.
const OPEN_MAX: usize = 8;

/// One part of a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Tells the parts of one checkpoint from those of another.
    pub checkpoint: AttemptId,
    /// The offset of the snapshot.
    pub next: LogOffset,
    pub idx: u32,
    pub n_parts: u32,
    /// A piece of the snapshot as JSON text.
    pub text: String,
}

impl Part {
    /// Whether the checkpoint is complete with this part.
    pub fn is_last(&self) -> bool {
        self.idx + 1 == self.n_parts
    }
}

/// Cuts a snapshot into parts of at most `part_bytes_max` bytes of text. They must be appended in order, and a later one
/// only when the earlier ones are known to be in the log.
pub fn split<F: Serialize>(
    snapshot: &Snapshot<F>,
    checkpoint: AttemptId,
    part_bytes_max: usize,
) -> serde_json::Result<Vec<Part>> {
    let text = serde_json::to_string(snapshot)?;
    let mut texts = Vec::new();
    let mut rest = text.as_str();
    while !rest.is_empty() {
        let end = rest.floor_char_boundary(part_bytes_max.max(4));
        let (piece, after) = rest.split_at(end);
        texts.push(piece.to_owned());
        rest = after;
    }
    let n_parts = texts.len() as u32;
    let part = |(idx, text)| Part { checkpoint, next: snapshot.next, idx, n_parts, text };
    Ok((0..).zip(texts).map(part).collect())
}

/// Puts parts together as they are read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Assembly {
    open: FxHashMap<AttemptId, Open>,
    n_begun: u64,
}

#[derive(Clone, Debug)]
struct Open {
    begun: u64,
    n_read: u32,
    text: String,
}

impl Assembly {
    /// Takes a part; returns the snapshot that it completes. A part may be in the log twice; a checkpoint that lacks one
    /// is given up.
    pub(crate) fn take<F: DeserializeOwned>(&mut self, part: &Part) -> Option<Snapshot<F>> {
        if part.idx == 0 {
            self.begin(part.checkpoint);
        }
        let open = self.open.get_mut(&part.checkpoint)?;
        if part.idx < open.n_read {
            return None;
        }
        if open.n_read < part.idx {
            self.open.remove(&part.checkpoint);
            return None;
        }
        open.n_read += 1;
        open.text.push_str(&part.text);
        if !part.is_last() {
            return None;
        }
        let text = self.open.remove(&part.checkpoint)?.text;
        serde_json::from_str(&text).ok()
    }

    fn begin(&mut self, checkpoint: AttemptId) {
        self.n_begun += 1;
        self.open.insert(checkpoint, Open { begun: self.n_begun, n_read: 0, text: String::new() });
        if OPEN_MAX < self.open.len() {
            let oldest = self.open.iter().min_by_key(|it| it.1.begun).map(|it| *it.0);
            oldest.and_then(|it| self.open.remove(&it));
        }
    }
}

//! Checkpoints in the log, split into parts that fit into its records.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use lentilhitch_types::{AttemptId, LogOffset};

use crate::fold::Snapshot;

/// Maximum number of incomplete checkpoints. If there are more, the checkpoint that was started first is dropped.
const PARTIAL_CHECKPOINTS_MAX: usize = 8;

/// Part of a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Identifies the checkpoint that this part belongs to.
    pub checkpoint: AttemptId,
    /// Offset of the snapshot: the first record that it doesn't include.
    pub next: LogOffset,
    pub idx: u32,
    pub n_parts: u32,
    /// Chunk of the snapshot's JSON text.
    pub text: String,
}

impl Part {
    /// Returns whether this is the last part of its checkpoint.
    pub fn is_last(&self) -> bool {
        self.idx + 1 == self.n_parts
    }
}

/// Splits a snapshot into parts of at most `part_bytes_max` bytes of text. The parts must be appended in order, each
/// one only after the previous ones are known to be in the log.
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
        let (chunk, remaining) = rest.split_at(end);
        texts.push(chunk.to_owned());
        rest = remaining;
    }
    let n_parts = texts.len() as u32;
    let part = |(idx, text)| Part { checkpoint, next: snapshot.next, idx, n_parts, text };
    Ok((0..).zip(texts).map(part).collect())
}

/// Assembles snapshots from parts as they are read from the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct CheckpointAssembler {
    partial: FxHashMap<AttemptId, PartialCheckpoint>,
    n_started: u64,
}

/// Checkpoint of which some parts have been read.
#[derive(Clone, Debug)]
struct PartialCheckpoint {
    /// Position in the order in which checkpoints were started.
    start_idx: u64,
    n_read: u32,
    text: String,
}

impl CheckpointAssembler {
    /// Adds a part and returns the snapshot if the part completes it. A part that is in the log twice is ignored the
    /// second time. A checkpoint with a missing part is dropped.
    pub(crate) fn add_part<F: DeserializeOwned>(&mut self, part: &Part) -> Option<Snapshot<F>> {
        if part.idx == 0 {
            self.start(part.checkpoint);
        }
        let partial = self.partial.get_mut(&part.checkpoint)?;
        if part.idx < partial.n_read {
            return None;
        }
        if partial.n_read < part.idx {
            self.partial.remove(&part.checkpoint);
            return None;
        }
        partial.n_read += 1;
        partial.text.push_str(&part.text);
        if !part.is_last() {
            return None;
        }
        let text = self.partial.remove(&part.checkpoint)?.text;
        serde_json::from_str(&text).ok()
    }

    fn start(&mut self, checkpoint: AttemptId) {
        self.n_started += 1;
        self.partial.insert(
            checkpoint,
            PartialCheckpoint { start_idx: self.n_started, n_read: 0, text: String::new() },
        );
        if PARTIAL_CHECKPOINTS_MAX < self.partial.len() {
            let oldest = self.partial.iter().min_by_key(|it| it.1.start_idx).map(|it| *it.0);
            oldest.and_then(|it| self.partial.remove(&it));
        }
    }
}

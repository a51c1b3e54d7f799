//! Batches in which the origins of streams are kept in the store, for the case that all nodes are lost at once.
//!
//! The holders of a stream are other nodes, so when all of them are lost at once, none knows which version began the
//! streams that clients then take up. While a service has several versions, each node therefore passes the origins of
//! its streams on to one node of its zone, which appends them to a topic of the store, some times a second. A node
//! that starts in a running deployment reads the topic. What was not written yet when all nodes were lost stays unknown.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::stream_origins::{OriginRecord, StreamKey, StreamOrigin};

/// Maximum number of streams in a batch, so that its record stays below the limit of the store.
const BATCH_STREAMS_MAX: usize = 4_096;
/// Maximum number of streams that wait to be written. The oldest ones are dropped first, since they end first.
const WAITING_STREAMS_MAX: usize = 65_536;

/// Origins of streams, as one record of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginBatch {
    /// Synchronized time of the writing in milliseconds since the Unix epoch.
    #[serde(rename = "t")]
    written_ms: u64,
    #[serde(rename = "o")]
    groups: Vec<(StreamOrigin, Vec<StreamKey>)>,
}

impl OriginBatch {
    /// Returns the origins. `synced_ms` is the synchronized time now in milliseconds since the Unix epoch.
    pub fn into_records(self, synced_ms: u64) -> impl Iterator<Item = OriginRecord> {
        let age_ms = synced_ms.saturating_sub(self.written_ms);
        self.groups.into_iter().flat_map(move |(origin, keys)| {
            keys.into_iter().map(move |key| OriginRecord { key, origin, age_ms })
        })
    }
}

/// Origins that wait to be written to the store by this node.
#[derive(Clone, Debug, Default)]
pub struct OriginArchive {
    waiting: VecDeque<OriginRecord>,
    /// Number of streams at the front that are being written.
    n_writing: usize,
}

impl OriginArchive {
    /// Adds origins to the next batch.
    pub fn push(&mut self, records: impl IntoIterator<Item = OriginRecord>) {
        self.waiting.extend(records);
        let n_excess = self.waiting.len().saturating_sub(WAITING_STREAMS_MAX);
        self.waiting.drain(..n_excess);
        self.n_writing = self.n_writing.saturating_sub(n_excess);
    }

    /// Returns whether origins wait to be written.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the batch to write now, if any origin waits. The caller states with [`Self::on_written`] that it was.
    pub fn next_batch(&mut self, synced_ms: u64) -> Option<OriginBatch> {
        self.n_writing = self.waiting.len().min(BATCH_STREAMS_MAX);
        if self.n_writing == 0 {
            return None;
        }
        let mut groups: FxHashMap<StreamOrigin, Vec<StreamKey>> = FxHashMap::default();
        for it in self.waiting.iter().take(self.n_writing) {
            groups.entry(it.origin).or_default().push(it.key);
        }
        Some(OriginBatch { written_ms: synced_ms, groups: groups.into_iter().collect() })
    }

    /// Removes the origins of the last batch and returns their number.
    pub fn on_written(&mut self) -> usize {
        self.waiting.drain(..self.n_writing);
        std::mem::take(&mut self.n_writing)
    }
}

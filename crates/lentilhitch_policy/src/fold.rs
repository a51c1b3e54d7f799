//! State that every process computes from the same log stream.
//!
//! A [`Fold`] is a pure function of a prefix of the stream, so any two processes at the same offset have the same
//! state. A [`Snapshot`] from a peer or from a checkpoint record is therefore equal to the state that results from
//! reading every earlier record. A [`Follower`] only moves to higher offsets, so a stale snapshot has no effect, no
//! matter who wrote it and when it arrives.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use lentilhitch_types::LogOffset;

use crate::checkpoint::{CheckpointAssembler, Part};

/// State that is computed from the records of a log stream in order.
pub trait Fold: Clone + Default + Serialize + DeserializeOwned {
    /// Type of the stream's records.
    type Record: Clone + Serialize + DeserializeOwned;

    /// Applies one record to the state. The result must depend on the state and the arguments only.
    fn apply(&mut self, meta: RecordMeta, record: &Self::Record);
}

/// Offset and time that the log service gave to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordMeta {
    pub offset: LogOffset,
    /// Time of the append by the log service's clock. It never decreases along a stream.
    pub appended_ms: u64,
}

/// State of a fold after every record before the offset `next`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot<F> {
    pub next: LogOffset,
    pub state: F,
}

/// Payload of a record in a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload<R> {
    Record(R),
    Checkpoint(Part),
}

/// Section of a stream as the log service returned it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Oldest offset that the log service still keeps.
    pub oldest: LogOffset,
    /// Offset that the next append will get.
    pub end: LogOffset,
    pub records: Vec<RawRecord>,
}

/// Record of a page whose payload is not decoded yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRecord {
    pub offset: LogOffset,
    pub appended_ms: u64,
    pub payload: String,
}

/// Result of applying a page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadReport {
    /// Number of records applied. An adopted checkpoint counts as one.
    pub n_applied: usize,
    /// Offsets of records that could not be decoded and were skipped.
    pub unreadable: Vec<LogOffset>,
}

/// Completeness of a follower's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FoldStatus {
    /// No page has been applied and no snapshot adopted yet.
    Unread,
    /// Every record before the end of the last page is applied.
    Current,
    /// There are more records to read.
    Reading,
    /// The next records have expired, and no snapshot from a checkpoint or a peer has closed the gap yet.
    Gap,
    /// The log ends before records that this follower has already applied.
    LogTruncated,
}

/// Reader of one stream, with the state that it has computed.
#[derive(Clone, Debug)]
pub struct Follower<F> {
    state: F,
    next: LogOffset,
    /// Offset at which the search for a checkpoint continues while there is a gap.
    search_from: LogOffset,
    status: FoldStatus,
    /// Parts of checkpoints that were read while there was a gap.
    assembler: CheckpointAssembler,
    /// Number of records since the last checkpoint that was read to its end.
    n_since_checkpoint: u64,
    /// When that checkpoint was appended; before the first checkpoint, when the first applied record was appended.
    last_checkpoint_ms: Option<u64>,
}

impl<F: Fold> Default for Follower<F> {
    fn default() -> Self {
        Self {
            state: F::default(),
            next: LogOffset::default(),
            search_from: LogOffset::default(),
            status: FoldStatus::Unread,
            assembler: CheckpointAssembler::default(),
            n_since_checkpoint: 0,
            last_checkpoint_ms: None,
        }
    }
}

impl<F: Fold> Follower<F> {
    /// Returns the state after every record before [`Follower::next`].
    pub fn state(&self) -> &F {
        &self.state
    }

    /// Returns the first offset that has not been applied.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns how complete the state is.
    pub fn status(&self) -> FoldStatus {
        self.status
    }

    /// Returns the offset from which to request the next page.
    pub fn read_from(&self) -> LogOffset {
        if self.status == FoldStatus::Gap { self.search_from } else { self.next }
    }

    /// Applies a page that was requested from [`Follower::read_from`].
    pub fn apply_page(&mut self, page: &Page) -> ReadReport {
        let mut report = ReadReport::default();
        if page.end < self.next {
            self.status = FoldStatus::LogTruncated;
            return report;
        }
        if self.next < page.oldest {
            self.search_checkpoint(page, &mut report);
            return report;
        }
        self.status = FoldStatus::Reading;
        for record in &page.records {
            if self.next == record.offset {
                self.apply(record, &mut report);
            }
        }
        if self.next == page.end {
            self.status = FoldStatus::Current;
        }
        report
    }

    /// Replaces the state with a snapshot if the snapshot is at a higher offset, and returns whether it did.
    pub fn adopt(&mut self, snapshot: Snapshot<F>) -> bool {
        if snapshot.next <= self.next {
            return false;
        }
        self.next = snapshot.next;
        self.state = snapshot.state;
        self.status = FoldStatus::Reading;
        true
    }

    /// Returns a snapshot that a peer can adopt.
    pub fn snapshot(&self) -> Snapshot<F> {
        Snapshot { next: self.next, state: self.state.clone() }
    }

    /// Returns whether a checkpoint should be written, because enough records have been applied or enough time of the
    /// log has passed since the last one. Time counts even without new records, because a checkpoint itself expires.
    pub fn is_checkpoint_due(&self, records_max: u64, age_ms_max: u64, log_now_ms: u64) -> bool {
        let is_old = self.last_checkpoint_ms.is_none_or(|it| it + age_ms_max <= log_now_ms);
        let is_empty = self.next == LogOffset::default();
        self.status == FoldStatus::Current
            && !is_empty
            && (is_old || records_max <= self.n_since_checkpoint)
    }

    fn apply(&mut self, raw: &RawRecord, report: &mut ReadReport) {
        self.last_checkpoint_ms.get_or_insert(raw.appended_ms);
        match serde_json::from_str::<Payload<F::Record>>(&raw.payload) {
            Ok(Payload::Record(record)) => {
                let meta = RecordMeta { offset: raw.offset, appended_ms: raw.appended_ms };
                self.state.apply(meta, &record);
                self.n_since_checkpoint += 1;
                report.n_applied += 1;
            }
            Ok(Payload::Checkpoint(part)) if part.is_last() => {
                self.n_since_checkpoint = 0;
                self.last_checkpoint_ms = Some(raw.appended_ms);
            }
            Ok(Payload::Checkpoint(_)) => {}
            Err(_) => report.unreadable.push(raw.offset),
        }
        self.next = raw.offset.next();
    }

    /// Searches a page for a checkpoint of a state at a higher offset, and adopts the state. If that offset is still
    /// before the oldest record, the gap becomes smaller but remains.
    fn search_checkpoint(&mut self, page: &Page, report: &mut ReadReport) {
        self.status = FoldStatus::Gap;
        self.search_from = self.search_from.max(page.oldest);
        for raw in &page.records {
            if raw.offset < self.search_from {
                continue;
            }
            self.search_from = raw.offset.next();
            let payload = serde_json::from_str::<Payload<F::Record>>(&raw.payload);
            let Ok(Payload::Checkpoint(part)) = payload else { continue };
            let Some(snapshot) = self.assembler.add_part::<F>(&part) else { continue };
            if snapshot.next <= raw.offset && self.adopt(snapshot) {
                report.n_applied += 1;
                return;
            }
        }
    }
}

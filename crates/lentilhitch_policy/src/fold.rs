//! State that every process computes from the same log stream.
//!
//! A [`Fold`] is a pure function of a prefix of the stream, so any two processes at the same offset hold the same state.
//! That makes a [`Snapshot`] exchangeable: one that a peer sends, or one that a checkpoint record carries, is exactly the
//! state that reading every earlier record would have given. A [`Follower`] only ever moves to a higher offset; a stale
//! snapshot, whoever wrote it and whenever it arrives, is therefore without effect.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use lentilhitch_types::LogOffset;

use crate::checkpoint::{CheckpointAssembler, Part};

/// A state that is computed from the records of a log stream, in order.
pub trait Fold: Clone + Default + Serialize + DeserializeOwned {
    /// What the stream carries.
    type Record: Clone + Serialize + DeserializeOwned;

    /// Takes one record into the state. Must depend on nothing but the state and the arguments.
    fn apply(&mut self, meta: RecordMeta, record: &Self::Record);
}

/// What the log service says of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordMeta {
    pub offset: LogOffset,
    /// The log service's own time of the append, which never decreases along a stream.
    pub appended_ms: u64,
}

/// A state after every record before `next`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot<F> {
    pub next: LogOffset,
    pub state: F,
}

/// The payload of one record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload<R> {
    Record(R),
    Checkpoint(Part),
}

/// Part of a stream as the log service returned it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The oldest offset that the service still keeps.
    pub oldest: LogOffset,
    /// The offset that the next append will get.
    pub end: LogOffset,
    pub records: Vec<RawRecord>,
}

/// One record of a page, not yet understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRecord {
    pub offset: LogOffset,
    pub appended_ms: u64,
    pub payload: String,
}

/// What one page did to a follower.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadReport {
    pub n_applied: usize,
    /// Offsets of records that could not be understood; they are passed over.
    pub unreadable: Vec<LogOffset>,
}

/// How complete a follower's state is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FoldStatus {
    /// No page was read and no snapshot adopted yet.
    Unread,
    /// Every record before the end of the last page is applied.
    Current,
    /// More records are known to exist.
    Reading,
    /// Records that are needed have expired, and neither a checkpoint nor a peer has filled the gap yet.
    Gap,
    /// The log ends before what this follower has already applied.
    LogTruncated,
}

/// A reader of one stream and the state that it has computed.
#[derive(Clone, Debug)]
pub struct Follower<F> {
    state: F,
    next: LogOffset,
    /// While there is a gap: where the search for a checkpoint goes on.
    search_from: LogOffset,
    status: FoldStatus,
    /// Parts of checkpoints that were read while there is a gap.
    assembler: CheckpointAssembler,
    /// Records since the last checkpoint that was read to its end.
    n_since_checkpoint: u64,
    /// When that checkpoint, or the first record, was appended.
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
    /// The state after every record before [`Follower::next`].
    pub fn state(&self) -> &F {
        &self.state
    }

    /// The first offset that is not applied.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// How complete the state is.
    pub fn status(&self) -> FoldStatus {
        self.status
    }

    /// The offset from which the next page should be asked for.
    pub fn read_from(&self) -> LogOffset {
        if self.status == FoldStatus::Gap { self.search_from } else { self.next }
    }

    /// Takes a page that was asked for at [`Follower::read_from`].
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

    /// Takes a snapshot of a peer if it is further along; says whether it was taken.
    pub fn adopt(&mut self, snapshot: Snapshot<F>) -> bool {
        if snapshot.next <= self.next {
            return false;
        }
        self.next = snapshot.next;
        self.state = snapshot.state;
        self.status = FoldStatus::Reading;
        true
    }

    /// What a peer may adopt.
    pub fn snapshot(&self) -> Snapshot<F> {
        Snapshot { next: self.next, state: self.state.clone() }
    }

    /// Whether a checkpoint should be written: enough records, or enough time of the log, since the last one. Time counts
    /// without new records too, for a checkpoint itself expires.
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

    /// Looks for a checkpoint that is further along; one that lies before the oldest record narrows the gap.
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

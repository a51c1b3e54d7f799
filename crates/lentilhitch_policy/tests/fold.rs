//! Checks that a follower agrees with a naive fold of the complete log when records expire, and that its offset never
//! decreases.

use lentilhitch_policy::{
    checkpoint::{Part, split},
    fold::{Fold, FoldStatus, Follower, Page, Payload, RawRecord, RecordMeta, Snapshot},
};
use lentilhitch_types::{AttemptId, LogOffset};
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest};
use serde::{Deserialize, Serialize};

/// Digest that depends on the order of all records and on their offsets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Digest(u64);

impl Fold for Digest {
    type Record = u64;

    fn apply(&mut self, meta: RecordMeta, record: &u64) {
        self.0 = self
            .0
            .wrapping_mul(31)
            .wrapping_add(meta.offset.0)
            .wrapping_mul(31)
            .wrapping_add(*record);
    }
}

/// Simulated log whose oldest records expire.
#[derive(Default)]
struct Log {
    records: Vec<RawRecord>,
    oldest: u64,
}

impl Log {
    fn append(&mut self, payload: String) {
        let offset = LogOffset(self.records.len() as u64);
        self.records.push(RawRecord { offset, appended_ms: offset.0 * 10, payload });
    }

    fn append_parts(&mut self, parts: &[Part]) {
        for part in parts {
            self.append(serde_json::to_string(&Payload::<u64>::Checkpoint(part.clone())).unwrap());
        }
    }

    fn read(&self, from: LogOffset, max: usize) -> Page {
        let from = from.0.max(self.oldest) as usize;
        let kept = self.records.iter().skip(from).take(max).cloned().collect();
        Page {
            oldest: LogOffset(self.oldest),
            end: LogOffset(self.records.len() as u64),
            records: kept,
        }
    }

    /// Reference implementation: applies every record from the first, including expired ones.
    fn state_at(&self, next: LogOffset) -> Digest {
        let mut state = Digest::default();
        for raw in &self.records[..next.0 as usize] {
            if let Ok(Payload::<u64>::Record(record)) = serde_json::from_str(&raw.payload) {
                state.apply(
                    RecordMeta { offset: raw.offset, appended_ms: raw.appended_ms },
                    &record,
                );
            }
        }
        state
    }
}

#[derive(Clone, Debug)]
enum Operation {
    Append(u64),
    AppendUnreadable,
    /// Checkpoint of the state a number of records ago. The fields are that number, the bytes per part, and the number
    /// of last parts that are missing.
    Checkpoint(u64, usize, usize),
    Expire(u64),
    Read(usize),
    /// A peer sends its snapshot of the state this many records ago.
    OfferSnapshot(u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => any::<u64>().prop_map(Operation::Append),
        1 => Just(Operation::AppendUnreadable),
        2 => (0..12_u64, 4..60_usize, 0..3_usize).prop_map(|it| Operation::Checkpoint(it.0, it.1, it.2)),
        2 => (0..8_u64).prop_map(Operation::Expire),
        3 => (1..6_usize).prop_map(Operation::Read),
        1 => (0..12_u64).prop_map(Operation::OfferSnapshot),
    ]
}

proptest! {
    #[test]
    fn follower_agrees_with_naive_fold(operations in proptest::collection::vec(operation(), 1..120)) {
        let mut log = Log::default();
        let mut follower = Follower::<Digest>::default();
        let mut n_checkpoints = 0;
        for operation in operations {
            let before = follower.next();
            let end = log.records.len() as u64;
            let past_snapshot = |age: u64| Snapshot { next: LogOffset(end.saturating_sub(age)), state: log.state_at(LogOffset(end.saturating_sub(age))) };
            match operation {
                Operation::Append(value) => log.append(serde_json::to_string(&Payload::<u64>::Record(value)).unwrap()),
                Operation::AppendUnreadable => log.append("{\"flood\": 1}".to_owned()),
                Operation::Checkpoint(age, part_bytes, n_missing) => {
                    n_checkpoints += 1;
                    let parts = split(&past_snapshot(age), AttemptId::from_random(n_checkpoints), part_bytes).unwrap();
                    // A writer that crashes doesn't write the last parts.
                    let n_written = parts.len().saturating_sub(n_missing);
                    log.append_parts(&parts[..n_written]);
                }
                Operation::Expire(n) => log.oldest = (log.oldest + n).min(end),
                Operation::Read(max) => {
                    let page = log.read(follower.read_from(), max);
                    follower.apply_page(&page);
                }
                Operation::OfferSnapshot(age) => {
                    follower.adopt(past_snapshot(age));
                }
            }
            prop_assert!(before <= follower.next(), "offset decreased from {before} to {}", follower.next());
            prop_assert_eq!(follower.state(), &log.state_at(follower.next()));
        }
    }

    #[test]
    fn any_checkpoint_after_the_oldest_record_closes_the_gap(n in 1..40_u64, expired in 1..40_u64, age in 0..6_u64) {
        let mut log = Log::default();
        for value in 0..n {
            log.append(serde_json::to_string(&Payload::<u64>::Record(value)).unwrap());
        }
        log.oldest = expired.min(n);
        let next = LogOffset(n.saturating_sub(age).max(log.oldest));
        let snapshot = Snapshot { next, state: log.state_at(next) };
        let parts = split(&snapshot, AttemptId::from_random(1), 20).unwrap();
        // Each part is written twice.
        for part in &parts {
            log.append_parts(&[part.clone(), part.clone()]);
        }
        let mut follower = Follower::<Digest>::default();
        for _ in 0..2 * n + 40 {
            let page = log.read(follower.read_from(), 3);
            follower.apply_page(&page);
        }
        prop_assert_eq!(follower.status(), FoldStatus::Current);
        prop_assert_eq!(follower.state(), &log.state_at(LogOffset(log.records.len() as u64)));
    }
}

#[test]
fn a_truncated_log_leaves_the_state_unchanged() {
    let mut log = Log::default();
    for value in 0..5 {
        log.append(serde_json::to_string(&Payload::<u64>::Record(value)).unwrap());
    }
    let mut follower = Follower::<Digest>::default();
    follower.apply_page(&log.read(follower.read_from(), 10));
    let state = follower.state().clone();
    log.records.truncate(2);
    follower.apply_page(&log.read(follower.read_from(), 10));
    assert_eq!(follower.status(), FoldStatus::LogTruncated);
    assert_eq!(follower.state(), &state);
}

#[test]
fn a_checkpoint_is_due_again_without_new_records() {
    let mut log = Log::default();
    log.append(serde_json::to_string(&Payload::<u64>::Record(1)).unwrap());
    let mut follower = Follower::<Digest>::default();
    assert!(!follower.is_checkpoint_due(1, 100, 1_000), "no page has been applied yet");
    follower.apply_page(&log.read(follower.read_from(), 10));
    assert!(follower.is_checkpoint_due(1, 100, 0), "maximum number of records reached");
    assert!(!follower.is_checkpoint_due(2, 100, 99));
    assert!(follower.is_checkpoint_due(2, 100, 100), "maximum age reached");
    log.append_parts(&split(&follower.snapshot(), AttemptId::from_random(1), 20).unwrap());
    follower.apply_page(&log.read(follower.read_from(), 10));
    let appended_ms = log.records.last().unwrap().appended_ms;
    assert!(!follower.is_checkpoint_due(1, 100, appended_ms + 99));
    assert!(
        follower.is_checkpoint_due(1, 100, appended_ms + 100),
        "the last checkpoint has reached the maximum age"
    );
}

//! Copies of other processes' journals, in memory only.

use parking_lot::Mutex;
use rustc_hash::FxHashMap;

use lentilhitch_policy::journal::JournalRecord;
use lentilhitch_types::{InstanceName, RequestId, TeamName};

/// Tokens that a journal got since its copy was last changed.
#[derive(Clone, Debug)]
pub(crate) struct CopyChange {
    pub(crate) from: usize,
    pub(crate) tokens: Vec<String>,
    pub(crate) finish_reason: Option<String>,
}

#[derive(Clone, Debug)]
struct Copy {
    owner: InstanceName,
    record: JournalRecord,
    changed_ms: u64,
}

/// The copies that this process keeps.
#[derive(Default)]
pub(crate) struct Copies(Mutex<FxHashMap<RequestId, Copy>>);

impl Copies {
    /// Keeps a copy, or replaces it by one that is as long at least.
    pub(crate) fn begin(&self, owner: &InstanceName, record: JournalRecord, now_ms: u64) -> bool {
        let mut copies = self.0.lock();
        let is_shorter = copies
            .get(&record.request_id)
            .is_some_and(|it| record.tokens.len() < it.record.tokens.len());
        if is_shorter {
            return false;
        }
        copies.insert(record.request_id, Copy { owner: owner.clone(), record, changed_ms: now_ms });
        true
    }

    /// Adds tokens; says whether the copy now ends where the sender believes.
    pub(crate) fn extend(&self, request_id: RequestId, change: CopyChange, now_ms: u64) -> bool {
        let mut copies = self.0.lock();
        let Some(copy) = copies.get_mut(&request_id) else { return false };
        let known = copy.record.tokens.len();
        if known < change.from {
            return false;
        }
        let n_repeated = known - change.from;
        copy.record.tokens.extend(change.tokens.into_iter().skip(n_repeated));
        if change.finish_reason.is_some() {
            copy.record.finish_reason = change.finish_reason;
        }
        copy.changed_ms = now_ms;
        true
    }

    pub(crate) fn get(&self, request_id: RequestId, team: &TeamName) -> Option<JournalRecord> {
        let copies = self.0.lock();
        copies.get(&request_id).map(|it| &it.record).filter(|it| it.team == *team).cloned()
    }

    /// Gives a copy out to the process that takes the request over. It stays here and counts as that process's, so that it
    /// is run here only if that one is gone as well.
    pub(crate) fn give(
        &self,
        request_id: RequestId,
        team: &TeamName,
        to: &InstanceName,
    ) -> Option<JournalRecord> {
        let mut copies = self.0.lock();
        let copy = copies.get_mut(&request_id).filter(|it| it.record.team == *team)?;
        copy.owner = to.clone();
        Some(copy.record.clone())
    }

    pub(crate) fn remove(&self, request_id: RequestId) {
        self.0.lock().remove(&request_id);
    }

    /// Removes and returns the unfinished copies of a process that is gone.
    pub(crate) fn take_of(&self, owner: &InstanceName) -> Vec<JournalRecord> {
        let mut copies = self.0.lock();
        let is_due = |it: &Copy| it.owner == *owner && it.record.finish_reason.is_none();
        let ids: Vec<_> = copies.iter().filter(|it| is_due(it.1)).map(|it| *it.0).collect();
        ids.iter().filter_map(|it| copies.remove(it)).map(|it| it.record).collect()
    }

    /// Drops copies that have not changed for a time.
    pub(crate) fn expire(&self, now_ms: u64, kept_ms: u64) {
        self.0.lock().retain(|_, it| now_ms < it.changed_ms + kept_ms);
    }

    /// The number of copies and the bytes of their requests and tokens.
    pub(crate) fn size(&self) -> (usize, usize) {
        let copies = self.0.lock();
        let tokens = |it: &Copy| it.record.tokens.iter().map(String::len).sum::<usize>();
        (copies.len(), copies.values().map(|it| it.record.body.len() + tokens(it)).sum())
    }
}

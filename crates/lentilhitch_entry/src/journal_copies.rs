//! Copies of other processes' journals, in memory only.

use parking_lot::Mutex;
use rustc_hash::FxHashMap;

use lentilhitch_policy::journal::JournalRecord;
use lentilhitch_types::{InstanceName, RequestId, TeamName};

/// Tokens that a journal has received since its copy was last updated.
#[derive(Clone, Debug)]
pub(crate) struct CopyUpdate {
    /// Position of the first token.
    pub(crate) from: usize,
    pub(crate) tokens: Vec<String>,
    pub(crate) finish_reason: Option<String>,
}

#[derive(Clone, Debug)]
struct JournalCopy {
    /// Process that runs the request.
    owner: InstanceName,
    record: JournalRecord,
    updated_ms: u64,
}

/// Journal copies that this process holds, by request.
#[derive(Default)]
pub(crate) struct JournalCopies(Mutex<FxHashMap<RequestId, JournalCopy>>);

impl JournalCopies {
    /// Inserts a copy, or replaces the present one unless that has more tokens. Returns whether the copy was stored.
    pub(crate) fn insert(&self, owner: &InstanceName, record: JournalRecord, now_ms: u64) -> bool {
        let mut copies = self.0.lock();
        let is_shorter = copies
            .get(&record.request_id)
            .is_some_and(|it| record.tokens.len() < it.record.tokens.len());
        if is_shorter {
            return false;
        }
        copies.insert(
            record.request_id,
            JournalCopy { owner: owner.clone(), record, updated_ms: now_ms },
        );
        true
    }

    /// Adds tokens to a copy. Tokens that the copy already has are skipped. Returns false and changes nothing if there
    /// is no copy, or if tokens before the update are missing in it.
    pub(crate) fn extend(&self, request_id: RequestId, update: CopyUpdate, now_ms: u64) -> bool {
        let mut copies = self.0.lock();
        let Some(copy) = copies.get_mut(&request_id) else { return false };
        let n_known = copy.record.tokens.len();
        if n_known < update.from {
            return false;
        }
        let n_repeated = n_known - update.from;
        copy.record.tokens.extend(update.tokens.into_iter().skip(n_repeated));
        if update.finish_reason.is_some() {
            copy.record.finish_reason = update.finish_reason;
        }
        copy.updated_ms = now_ms;
        true
    }

    /// Returns the journal of a request of this team.
    pub(crate) fn get(&self, request_id: RequestId, team: &TeamName) -> Option<JournalRecord> {
        let copies = self.0.lock();
        copies.get(&request_id).map(|it| &it.record).filter(|it| it.team == *team).cloned()
    }

    /// Returns the journal of a request for the process that takes the request over. The copy is kept with that process
    /// as its owner, so that the request runs here only if that process is lost as well.
    pub(crate) fn reassign(
        &self,
        request_id: RequestId,
        team: &TeamName,
        new_owner: &InstanceName,
    ) -> Option<JournalRecord> {
        let mut copies = self.0.lock();
        let copy = copies.get_mut(&request_id).filter(|it| it.record.team == *team)?;
        copy.owner = new_owner.clone();
        Some(copy.record.clone())
    }

    pub(crate) fn remove(&self, request_id: RequestId) {
        self.0.lock().remove(&request_id);
    }

    /// Removes and returns the journals of the unfinished requests of a lost process.
    pub(crate) fn take_unfinished(&self, owner: &InstanceName) -> Vec<JournalRecord> {
        let mut copies = self.0.lock();
        let is_unfinished =
            |it: &JournalCopy| it.owner == *owner && it.record.finish_reason.is_none();
        let ids: Vec<_> = copies.iter().filter(|it| is_unfinished(it.1)).map(|it| *it.0).collect();
        ids.iter().filter_map(|it| copies.remove(it)).map(|it| it.record).collect()
    }

    /// Removes the copies that have not been updated within the retention period.
    pub(crate) fn expire(&self, now_ms: u64, retention_ms: u64) {
        self.0.lock().retain(|_, it| now_ms < it.updated_ms + retention_ms);
    }

    /// Returns the number of copies and the total size of their request bodies and tokens in bytes.
    pub(crate) fn size(&self) -> (usize, usize) {
        let copies = self.0.lock();
        let token_bytes =
            |it: &JournalCopy| it.record.tokens.iter().map(String::len).sum::<usize>();
        (copies.len(), copies.values().map(|it| it.record.body.len() + token_bytes(it)).sum())
    }
}

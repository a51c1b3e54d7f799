//! Starting, taking over, copying and giving up requests of language services.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use lentilhitch_chart::charts::stream::Event;
use lentilhitch_policy::journal::JournalRecord;
use lentilhitch_types::{InstanceName, RequestId, TeamName};

use crate::{
    directory::language,
    entry::Entry,
    journals::{Active, Phase},
    protocol::{Message, PulledJournal},
    runner,
};

/// How long a request that is not durable goes on without a caller.
const ORPHAN_MS: u64 = 5_000;
const COPY_RETRY_MS: u64 = 500;

/// A caller that follows an answer, until dropped.
pub(crate) struct Caller {
    entry: Arc<Entry>,
    pub(crate) active: Arc<Active>,
}

impl Caller {
    pub(crate) fn new(entry: &Arc<Entry>, active: &Arc<Active>) -> Self {
        active.add_caller();
        Self { entry: entry.clone(), active: active.clone() }
    }

    /// The caller was sent everything.
    pub(crate) fn delivered(&self) {
        self.active.delivered(self.entry.clock.now_ms());
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        let n_left = self.active.remove_caller();
        if n_left == 0 && !self.active.is_durable && !self.active.has_ended() {
            let active = self.active.clone();
            tokio::spawn(async move {
                sleep(Duration::from_millis(ORPHAN_MS)).await;
                if active.n_callers() == 0 {
                    active.stop.send_replace(Some(Event::CallerGone));
                }
            });
        }
    }
}

impl Entry {
    /// Begins to run a request; `None` if there is one with its id already.
    pub(crate) fn start(self: &Arc<Self>, record: JournalRecord) -> Option<Arc<Active>> {
        let directory = self.directory();
        let service = directory.services.iter().find(|it| it.service == record.service)?.clone();
        let is_durable = language(&service)?.durable;
        let is_finished = record.finish_reason.is_some();
        let active = Active::new(record, is_durable, self.clock.now_ms());
        if !self.journals.insert(&active) {
            return None;
        }
        if !is_finished {
            tokio::spawn(runner::run(self.clone(), active.clone(), service));
        }
        if is_durable && !is_finished {
            tokio::spawn(keep_copied(self.clone(), active.clone()));
        }
        Some(active)
    }

    /// Takes a request over from a peer that stops.
    pub(crate) fn take_over(self: &Arc<Self>, record: JournalRecord) -> bool {
        self.journal_copies.remove(record.request_id);
        log::info!(request_id:% = record.request_id, position = record.tokens.len(); "request taken over");
        self.start(record).is_some()
    }

    /// Goes on with the requests of a peer that is gone.
    pub(crate) fn adopt_copies_of(self: &Arc<Self>, peer: &InstanceName) {
        for record in self.journal_copies.take_unfinished(peer) {
            self.take_over(record);
        }
    }

    /// Gives a request up to the process where its caller now is.
    pub(crate) fn give_up(
        &self,
        to: &InstanceName,
        request_id: RequestId,
        team: &TeamName,
    ) -> Option<PulledJournal> {
        let Some(active) = self.journals.get(request_id, team) else {
            let record = self.journal_copies.reassign(request_id, team, to)?;
            return Some(PulledJournal { record, was_owner: false });
        };
        let record = active.journal.lock().record.clone();
        if !active.has_ended() {
            active.journal.lock().step(Event::PulledByPeer);
            active.stop.send_replace(Some(Event::PulledByPeer));
            active.end(Phase::HandedOver, self.clock.now_ms());
            self.journals.remove(request_id);
        }
        Some(PulledJournal { record, was_owner: true })
    }

    /// Finds a request here, in a copy, or at a peer, and makes it run here if it has not ended.
    pub(crate) async fn find(
        self: &Arc<Self>,
        request_id: RequestId,
        team: &TeamName,
    ) -> Option<Arc<Active>> {
        if let Some(active) = self.journals.get(request_id, team) {
            return Some(active);
        }
        let own_copy = self.journal_copies.get(request_id, team);
        let pulled = self.peers().pull_journal(request_id, team).await;
        let record = match (pulled, own_copy) {
            (Some(pulled), _) if pulled.was_owner => pulled.record,
            (Some(pulled), Some(own)) if pulled.record.tokens.len() < own.tokens.len() => own,
            (Some(pulled), _) => pulled.record,
            (None, own) => own?,
        };
        self.journal_copies.remove(request_id);
        match self.start(record) {
            Some(active) => Some(active),
            // Another caller was faster.
            None => self.journals.get(request_id, team),
        }
    }

    /// Hands a request to a peer; says whether one took it.
    pub(crate) async fn hand_over(&self, active: &Arc<Active>) -> bool {
        let (record, request_id) = {
            let journal = active.journal.lock();
            (journal.record.clone(), journal.record.request_id)
        };
        let mut tried = Vec::new();
        while let Some(peer) = self.peers().copy_holder(request_id, &self.settings, &tried) {
            let answer = self.peers().request(&peer, Message::HandOver(record.clone())).await;
            if answer == Some(Message::HandOverAccepted(true)) {
                active.stop.send_replace(Some(Event::PulledByPeer));
                active.end(Phase::HandedOver, self.clock.now_ms());
                return true;
            }
            tried.push(peer);
        }
        false
    }
}

/// Copies a durable request and its tokens to a peer; callers see a token when it is copied, or when no peer can.
async fn keep_copied(entry: Arc<Entry>, active: Arc<Active>) {
    let request_id = active.request_id();
    let mut received = active.received.subscribe();
    let mut holder = None;
    loop {
        let (n_received, is_all) = *received.borrow_and_update();
        if holder.is_none() {
            holder = begin_copy(&entry, &active).await;
        }
        let is_copied = match &holder {
            Some(peer) => extend_copy(&entry, &active, peer).await,
            None => false,
        };
        if !is_copied {
            holder = None;
            entry.metrics.record_uncopied_release();
        }
        active.release(n_received);
        if is_all {
            active.end(Phase::Done, entry.clock.now_ms());
            break;
        }
        if active.has_ended() || active.stop.borrow().is_some() {
            break;
        }
        let retry = async {
            if holder.is_none() {
                sleep(Duration::from_millis(COPY_RETRY_MS)).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        let mut progress = active.progress.subscribe();
        tokio::select! {
            _ = received.changed() => {}
            _ = progress.changed() => {}
            () = retry => {}
        }
    }
    log::debug!(request_id:% = request_id; "copying ended");
}

async fn begin_copy(entry: &Arc<Entry>, active: &Arc<Active>) -> Option<InstanceName> {
    let record = active.journal.lock().record.clone();
    let mut tried = Vec::new();
    while let Some(peer) = entry.peers().copy_holder(record.request_id, &entry.settings, &tried) {
        let asked = entry.peers().request(&peer, Message::CopyStart(record.clone()));
        let wait = Duration::from_millis(entry.settings.timing.copy_timeout_ms);
        if tokio::time::timeout(wait, asked).await == Ok(Some(Message::CopyResult(true))) {
            *active.copied.lock() = record.tokens.len();
            return Some(peer);
        }
        tried.push(peer);
    }
    None
}

async fn extend_copy(entry: &Arc<Entry>, active: &Arc<Active>, peer: &InstanceName) -> bool {
    let from = *active.copied.lock();
    let (message, n_tokens) = {
        let journal = active.journal.lock();
        let record = &journal.record;
        if from == record.tokens.len() && record.finish_reason.is_none() {
            return true;
        }
        let tokens = record.tokens[from..].to_vec();
        let (request_id, finish_reason) = (record.request_id, record.finish_reason.clone());
        (Message::CopyTokens { request_id, from, tokens, finish_reason }, record.tokens.len())
    };
    let wait = Duration::from_millis(entry.settings.timing.copy_timeout_ms);
    let answer = tokio::time::timeout(wait, entry.peers().request(peer, message)).await;
    let is_copied = answer == Ok(Some(Message::CopyResult(true)));
    if is_copied {
        *active.copied.lock() = n_tokens;
    }
    is_copied
}

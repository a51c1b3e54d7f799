//! Start, take-over, copying and hand-over of requests of language services.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use lentilhitch_chart::charts::stream::Event;
use lentilhitch_policy::journal::JournalRecord;
use lentilhitch_types::{InstanceName, RequestId, TeamName};

use crate::{
    directory::language,
    entry::Entry,
    journals::{Phase, TrackedRequest},
    protocol::{Message, PulledJournal},
    runner,
};

/// Time for which a request that is not durable continues without a client.
const ORPHAN_TIMEOUT_MS: u64 = 5_000;
const COPY_RETRY_DELAY_MS: u64 = 500;

/// Client that follows a response, counted until dropped.
pub(crate) struct AttachedClient {
    entry: Arc<Entry>,
    pub(crate) tracked: Arc<TrackedRequest>,
}

impl AttachedClient {
    pub(crate) fn new(entry: &Arc<Entry>, tracked: &Arc<TrackedRequest>) -> Self {
        tracked.add_client();
        Self { entry: entry.clone(), tracked: tracked.clone() }
    }

    /// Records that the client was sent the full response.
    pub(crate) fn mark_delivered(&self) {
        self.tracked.mark_delivered(self.entry.clock.now_ms());
    }
}

impl Drop for AttachedClient {
    fn drop(&mut self) {
        let n_remaining = self.tracked.remove_client();
        if n_remaining == 0 && !self.tracked.is_durable && !self.tracked.is_finished() {
            let tracked = self.tracked.clone();
            tokio::spawn(async move {
                sleep(Duration::from_millis(ORPHAN_TIMEOUT_MS)).await;
                if tracked.n_clients() == 0 {
                    tracked.stop.send_replace(Some(Event::CallerGone));
                }
            });
        }
    }
}

impl Entry {
    /// Starts to run a request. Returns `None` if its id is in use already, or if its language service is not declared.
    pub(crate) fn start_request(
        self: &Arc<Self>,
        record: JournalRecord,
    ) -> Option<Arc<TrackedRequest>> {
        let directory = self.directory();
        let service = directory.services.iter().find(|it| it.service == record.service)?.clone();
        let is_durable = language(&service)?.durable;
        let is_finished = record.finish_reason.is_some();
        let tracked = TrackedRequest::new(record, is_durable, self.clock.now_ms());
        if !self.journals.insert(&tracked) {
            return None;
        }
        if !is_finished {
            tokio::spawn(runner::run(self.clone(), tracked.clone(), service));
        }
        if is_durable && !is_finished {
            tokio::spawn(maintain_copy(self.clone(), tracked.clone()));
        }
        Some(tracked)
    }

    /// Takes over a request from another process. Returns whether this process now tracks it.
    pub(crate) fn take_over(self: &Arc<Self>, record: JournalRecord) -> bool {
        self.journal_copies.remove(record.request_id);
        log::info!(request_id:% = record.request_id, position = record.tokens.len(); "request taken over");
        self.start_request(record).is_some()
    }

    /// Takes over the unfinished requests of a lost peer from their local copies.
    pub(crate) fn take_over_copies_of(self: &Arc<Self>, peer: &InstanceName) {
        for record in self.journal_copies.take_unfinished(peer) {
            self.take_over(record);
        }
    }

    /// Handles a `JournalPull` of the peer `to`, to which the client of a request is now connected. This process stops
    /// running the request, or assigns its copy of the journal to that peer.
    pub(crate) fn on_pull(
        &self,
        to: &InstanceName,
        request_id: RequestId,
        team: &TeamName,
    ) -> Option<PulledJournal> {
        let Some(tracked) = self.journals.get(request_id, team) else {
            let record = self.journal_copies.reassign(request_id, team, to)?;
            return Some(PulledJournal { record, was_owner: false });
        };
        let record = tracked.journal.lock().record.clone();
        if !tracked.is_finished() {
            tracked.journal.lock().step(Event::PulledByPeer);
            tracked.stop.send_replace(Some(Event::PulledByPeer));
            tracked.finish(Phase::HandedOver, self.clock.now_ms());
            self.journals.remove(request_id);
        }
        Some(PulledJournal { record, was_owner: true })
    }

    /// Finds a request among the requests of this process, in a journal copy or at a peer. Continues the request at
    /// this process if it has not finished.
    pub(crate) async fn find_or_take_over(
        self: &Arc<Self>,
        request_id: RequestId,
        team: &TeamName,
    ) -> Option<Arc<TrackedRequest>> {
        if let Some(tracked) = self.journals.get(request_id, team) {
            return Some(tracked);
        }
        let local_copy = self.journal_copies.get(request_id, team);
        let pulled = self.peers().pull_journal(request_id, team).await;
        let record = match (pulled, local_copy) {
            (Some(pulled), _) if pulled.was_owner => pulled.record,
            (Some(pulled), Some(local)) if pulled.record.tokens.len() < local.tokens.len() => local,
            (Some(pulled), _) => pulled.record,
            (None, local) => local?,
        };
        self.journal_copies.remove(request_id);
        match self.start_request(record) {
            Some(tracked) => Some(tracked),
            // A concurrent call of another client has started the request.
            None => self.journals.get(request_id, team),
        }
    }

    /// Hands a request over to a peer. Returns whether a peer accepted it.
    pub(crate) async fn hand_over(&self, tracked: &Arc<TrackedRequest>) -> bool {
        let (record, request_id) = {
            let journal = tracked.journal.lock();
            (journal.record.clone(), journal.record.request_id)
        };
        let mut tried_peers = Vec::new();
        while let Some(peer) = self.peers().copy_holder(request_id, &self.settings, &tried_peers) {
            let response = self.peers().request(&peer, Message::HandOver(record.clone())).await;
            if response == Some(Message::HandOverAccepted(true)) {
                tracked.stop.send_replace(Some(Event::PulledByPeer));
                tracked.finish(Phase::HandedOver, self.clock.now_ms());
                return true;
            }
            tried_peers.push(peer);
        }
        false
    }
}

/// Copies a durable request and its tokens to a peer. Tokens are released to clients once they are copied, or without a
/// copy if no peer accepts a copy.
async fn maintain_copy(entry: Arc<Entry>, tracked: Arc<TrackedRequest>) {
    let request_id = tracked.request_id();
    let mut received = tracked.received.subscribe();
    let mut holder = None;
    loop {
        let (n_received, is_complete) = *received.borrow_and_update();
        if holder.is_none() {
            holder = start_copy(&entry, &tracked).await;
        }
        let is_copied = match &holder {
            Some(peer) => extend_copy(&entry, &tracked, peer).await,
            None => false,
        };
        if !is_copied {
            holder = None;
            entry.metrics.record_uncopied_release();
        }
        tracked.release(n_received);
        if is_complete {
            tracked.finish(Phase::Done, entry.clock.now_ms());
            break;
        }
        if tracked.is_finished() || tracked.stop.borrow().is_some() {
            break;
        }
        let retry = async {
            if holder.is_none() {
                sleep(Duration::from_millis(COPY_RETRY_DELAY_MS)).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        let mut progress = tracked.progress.subscribe();
        tokio::select! {
            _ = received.changed() => {}
            _ = progress.changed() => {}
            () = retry => {}
        }
    }
    log::debug!(request_id:% = request_id; "stopped copying the request");
}

/// Sends the full journal to a peer. Returns the peer that confirmed the copy.
async fn start_copy(entry: &Arc<Entry>, tracked: &Arc<TrackedRequest>) -> Option<InstanceName> {
    let record = tracked.journal.lock().record.clone();
    let mut tried_peers = Vec::new();
    while let Some(peer) =
        entry.peers().copy_holder(record.request_id, &entry.settings, &tried_peers)
    {
        let request = entry.peers().request(&peer, Message::CopyStart(record.clone()));
        let copy_timeout = Duration::from_millis(entry.settings.timing.copy_timeout_ms);
        if tokio::time::timeout(copy_timeout, request).await == Ok(Some(Message::CopyResult(true)))
        {
            *tracked.n_copied.lock() = record.tokens.len();
            return Some(peer);
        }
        tried_peers.push(peer);
    }
    None
}

/// Sends the tokens that the copy lacks. Returns whether the peer confirmed them.
async fn extend_copy(
    entry: &Arc<Entry>,
    tracked: &Arc<TrackedRequest>,
    peer: &InstanceName,
) -> bool {
    let from = *tracked.n_copied.lock();
    let (message, n_tokens) = {
        let journal = tracked.journal.lock();
        let record = &journal.record;
        if from == record.tokens.len() && record.finish_reason.is_none() {
            return true;
        }
        let tokens = record.tokens[from..].to_vec();
        let (request_id, finish_reason) = (record.request_id, record.finish_reason.clone());
        (Message::CopyTokens { request_id, from, tokens, finish_reason }, record.tokens.len())
    };
    let copy_timeout = Duration::from_millis(entry.settings.timing.copy_timeout_ms);
    let response = tokio::time::timeout(copy_timeout, entry.peers().request(peer, message)).await;
    let is_copied = response == Ok(Some(Message::CopyResult(true)));
    if is_copied {
        *tracked.n_copied.lock() = n_tokens;
    }
    is_copied
}

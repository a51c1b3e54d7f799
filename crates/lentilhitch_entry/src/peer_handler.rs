//! Handler for messages from the other entry processes.

use std::sync::Arc;

use bytes::Bytes;

use lentilhitch_peer::Handler;
use lentilhitch_platform::Stream;
use lentilhitch_policy::fold::{Fold, Snapshot};
use lentilhitch_types::{InstanceName, LogOffset};

use crate::{entry::Entry, journal_copies::CopyUpdate, protocol::Message};

/// Time that a log read for a peer waits for new records.
const PEER_READ_WAIT_MS: u64 = 300;

/// Handler of the notifications and requests that arrive on peer links.
pub(crate) struct PeerHandler(pub(crate) Arc<Entry>);

impl Handler<Message> for PeerHandler {
    fn on_notification(&self, peer: &InstanceName, message: Message) {
        let entry = &self.0;
        match message {
            Message::Heartbeat(heartbeat) => entry.peers().on_heartbeat(entry, peer, heartbeat),
            Message::SuspectQuery(suspect) => entry.peers().on_suspect_query(peer, &suspect),
            Message::SuspectAlive(suspect, incarnation) => {
                entry.peers().on_suspect_alive(&suspect, incarnation, entry.clock.now_ms());
            }
            Message::Notices(notices) => entry.on_notices(&notices),
            Message::Evidence(evidence) => entry.on_evidence(&evidence),
            Message::Trial(trial) => entry.quarantine.lock().apply_trial(&trial),
            Message::CopyDrop(request_id) => entry.journal_copies.remove(request_id),
            _ => log::warn!(peer:% = peer; "unexpected notification from peer"),
        }
    }

    async fn on_request(&self, peer: &InstanceName, message: Message) -> Message {
        let entry = &self.0;
        match message {
            Message::TrialRequest(trial) => Message::TrialGranted(entry.grant_trial(&trial)),
            Message::LogAppend { stream, payload } => {
                Message::LogAppended(entry.log_client().append(stream, &payload).await)
            }
            Message::LogRead { stream, from } => Message::LogPage(
                entry.log_client().read(stream, from, PEER_READ_WAIT_MS).await.ok(),
            ),
            Message::SnapshotRequest { stream, next } => {
                Message::SnapshotResponse(snapshot(entry, stream, next))
            }
            Message::CopyStart(record) => {
                Message::CopyResult(entry.journal_copies.insert(peer, record, entry.clock.now_ms()))
            }
            Message::CopyTokens { request_id, from, tokens, finish_reason } => {
                let update = CopyUpdate { from, tokens, finish_reason };
                Message::CopyResult(entry.journal_copies.extend(
                    request_id,
                    update,
                    entry.clock.now_ms(),
                ))
            }
            Message::JournalPull { request_id, team } => {
                Message::JournalPulled(entry.on_pull(peer, request_id, &team))
            }
            Message::HandOver(record) => Message::HandOverAccepted(entry.take_over(record)),
            _ => Message::UnexpectedRequest,
        }
    }
}

/// Returns the state of a stream if this process has applied records from `next` on and the state is at most half the
/// maximum frame size. A frame above the maximum would close the link.
fn snapshot(entry: &Entry, stream: Stream, next: LogOffset) -> Option<Bytes> {
    let bytes = encode_snapshot(entry, stream, next)?;
    let bytes_max = entry.settings.bounds.peer_frame_bytes_max as usize / 2;
    if bytes_max < bytes.len() {
        log::warn!(stream:% = stream, n_bytes = bytes.len(); "stream state too large to send to a peer");
        return None;
    }
    Some(bytes)
}

fn encode_snapshot(entry: &Entry, stream: Stream, next: LogOffset) -> Option<Bytes> {
    match stream {
        Stream::Config => to_json(&entry.config.snapshot_if_after(next)?),
        Stream::Claims => to_json(&entry.claims().follower.snapshot_if_after(next)?),
        Stream::Leases => to_json(&entry.orders.follower.snapshot_if_after(next)?),
    }
}

fn to_json<F: Fold>(snapshot: &Snapshot<F>) -> Option<Bytes> {
    serde_json::to_vec(snapshot).ok().map(Bytes::from)
}

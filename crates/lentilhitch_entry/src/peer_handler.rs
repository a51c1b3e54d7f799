//! What is heard from the other entry processes, and what they are answered.

use std::sync::Arc;

use bytes::Bytes;

use lentilhitch_peer::Handler;
use lentilhitch_platform::Stream;
use lentilhitch_policy::fold::{Fold, Snapshot};
use lentilhitch_types::{InstanceName, LogOffset};

use crate::{copies::CopyChange, entry::Entry, protocol::Message};

/// How long a read for a peer waits for new records.
const READ_FOR_PEER_MS: u64 = 300;

/// Hears and answers the peers.
pub(crate) struct PeerHandler(pub(crate) Arc<Entry>);

impl Handler<Message> for PeerHandler {
    fn on_notification(&self, peer: &InstanceName, message: Message) {
        let entry = &self.0;
        match message {
            Message::Heartbeat(heartbeat) => entry.peers().hear_heartbeat(entry, peer, heartbeat),
            Message::WhoHears(suspect) => entry.peers().answer_who_hears(peer, &suspect),
            Message::Heard(other, incarnation) => {
                entry.peers().hear_of(&other, incarnation, entry.clock.now_ms());
            }
            Message::Notices(notices) => entry.on_notices(&notices),
            Message::Evidence(evidence) => entry.take_evidence(&evidence),
            Message::Trial(trial) => entry.quarantine.lock().apply_trial(&trial),
            Message::CopyDrop(request_id) => entry.copies.remove(request_id),
            _ => log::warn!(peer:% = peer; "unexpected message"),
        }
    }

    async fn on_request(&self, peer: &InstanceName, message: Message) -> Message {
        let entry = &self.0;
        match message {
            Message::TrialAsk(trial) => Message::TrialGranted(entry.grant_trial(&trial)),
            Message::LogAppend { stream, payload } => {
                Message::LogAppended(entry.log_client().append(stream, &payload).await)
            }
            Message::LogRead { stream, from } => {
                Message::LogPage(entry.log_client().read(stream, from, READ_FOR_PEER_MS).await.ok())
            }
            Message::Snapshot { stream, next } => {
                Message::SnapshotIs(snapshot(entry, stream, next))
            }
            Message::CopyBegin(record) => {
                Message::Copied(entry.copies.begin(peer, record, entry.clock.now_ms()))
            }
            Message::CopyTokens { request_id, from, tokens, finish_reason } => {
                let change = CopyChange { from, tokens, finish_reason };
                Message::Copied(entry.copies.extend(request_id, change, entry.clock.now_ms()))
            }
            Message::Pull { request_id, team } => {
                Message::Pulled(entry.on_pull(peer, request_id, &team))
            }
            Message::HandOver(record) => Message::Taken(entry.take_over(record)),
            _ => Message::NotUnderstood,
        }
    }
}

/// The state of a stream if it is further along and fits into a frame; a larger one would close the link.
fn snapshot(entry: &Entry, stream: Stream, next: LogOffset) -> Option<Bytes> {
    let bytes = whole_snapshot(entry, stream, next)?;
    let bytes_max = entry.settings.bounds.peer_frame_bytes_max as usize / 2;
    if bytes_max < bytes.len() {
        log::warn!(stream:% = stream, n_bytes = bytes.len(); "state too large for a peer link");
        return None;
    }
    Some(bytes)
}

fn whole_snapshot(entry: &Entry, stream: Stream, next: LogOffset) -> Option<Bytes> {
    match stream {
        Stream::Config => to_bytes(&entry.config.snapshot_if_after(next)?),
        Stream::Claims => to_bytes(&entry.claims().followed.snapshot_if_after(next)?),
        Stream::Leases => to_bytes(&entry.orders.followed.snapshot_if_after(next)?),
    }
}

fn to_bytes<F: Fold>(snapshot: &Snapshot<F>) -> Option<Bytes> {
    serde_json::to_vec(snapshot).ok().map(Bytes::from)
}

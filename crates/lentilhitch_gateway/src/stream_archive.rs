//! Keeps the origins of streams in the store, and reads them when the node starts in a running deployment, and when a
//! client takes up a stream that no other node knows.
//!
//! What is written, and why, is decided by [`lentilhitch_policy::stream_archive`].

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::Mutex,
    time::{sleep, timeout},
};

use lentilhitch_policy::{
    gossip::Role, send_queue::Urgency, stream_archive::OriginBatch, stream_origins::OriginRecord,
};
use lentilhitch_types::LogPosition;

use crate::{
    gossip::Datagram,
    node::Node,
    platform::{CallError, Platform, Record, Topic},
    store_register,
    stream_versions::{OriginMessage, RECORDS_PER_MESSAGE_MAX},
    version_register::Versions,
};

/// Time for which a node collects the origins of its streams before it passes them on.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// Time from the first origin that waits until a batch is written, and between batches.
const WRITE_INTERVAL: Duration = Duration::from_millis(150);
/// Delay after a failed read of the topic.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Minimum time between the starts of two reads for streams that are taken up, for each node of the deployment. All nodes
/// together thus make at most a thousand reads a second.
const READ_INTERVAL_PER_NODE_MS: u64 = 1;
/// Minimum of this time. Batches are not written more often.
const READ_INTERVAL_MIN_MS: u64 = 100;
/// Time limit for a read for a stream that is taken up, beside the time until it may begin.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Reads of the origins by this node. At most one runs at a time.
#[derive(Default)]
pub(crate) struct OriginReader {
    progress: Mutex<ReadProgress>,
}

#[derive(Default)]
struct ReadProgress {
    /// Position up to which the topic has been read.
    next: LogPosition,
    /// When the last successful read began.
    began_ms: Option<u64>,
}

/// Passes the origins of streams that began at this node on while a service has several versions.
pub(crate) async fn pass_on<P: Platform>(node: Rc<Node<P>>) {
    loop {
        node.origins_due.notified().await;
        sleep(COLLECT_TIME).await;
        node.pass_on_origins();
    }
}

/// Writes the origins of streams of the zone to the store.
pub(crate) async fn write<P: Platform>(node: Rc<Node<P>>) {
    loop {
        if !node.state.borrow().origin_archive.has_waiting() {
            node.archive_due.notified().await;
        }
        sleep(WRITE_INTERVAL).await;
        if let Err(err) = node.write_origins().await {
            log::info!(error:% = err; "failed to write the origins of streams; will be retried");
        }
    }
}

/// Reads the origins of the streams that began before this node started.
pub(crate) async fn load<P: Platform>(node: Rc<Node<P>>) {
    if node.settings.is_first_start {
        return;
    }
    // Decides which of the records have expired.
    store_register::read_at_start::<Versions, P>(&node).await;
    loop {
        let res = node.load_origins(&mut *node.origin_reader.progress.lock().await).await;
        match res {
            Ok(n_streams) => {
                let uptime_ms = node.clock.uptime_ms();
                log::info!(n_streams, uptime_ms; "origins of streams read from the store");
                return;
            }
            Err(err) => {
                log::info!(error:% = err; "failed to read the origins of streams; will be retried");
            }
        }
        sleep(LOAD_RETRY_DELAY).await;
    }
}

impl<P: Platform> Node<P> {
    /// Passes the origins of streams that began at this node on to the node of the zone that writes them.
    fn pass_on_origins(&self) {
        let now_ms = self.now_ms();
        let records = self.state.borrow_mut().stream_origins.take_unwritten(now_ms);
        let Some(writer) = self.origin_writer() else {
            self.archive(records);
            return;
        };
        for it in records.chunks(RECORDS_PER_MESSAGE_MAX) {
            let message = OriginMessage::ToWriter(it.to_vec());
            self.send_to(&Datagram::StreamOrigin(message), &[writer], Urgency::Normal);
        }
    }

    /// Returns the gossip address of the node that writes the origins of streams for the zone, or `None` if this node
    /// does or knows of none.
    fn origin_writer(&self) -> Option<SocketAddr> {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        match state.gossip.role() {
            Role::Primary => None,
            Role::Member | Role::Standby => state.gossip.primary(now_ms).map(|it| it.gossip),
        }
    }

    async fn write_origins(&self) -> Result<(), CallError> {
        let synced_ms = self.synced_ms();
        let Some(batch) = self.state.borrow_mut().origin_archive.next_batch(synced_ms) else {
            return Ok(());
        };
        let mut value = Vec::new();
        if let Err(err) = ciborium::into_writer(&batch, &mut value) {
            return Err(CallError::NotDone(err.to_string()));
        }
        let record = Record { value: Some(Bytes::from(value)), ..Record::default() };
        self.append(Topic::StreamOrigins, record, None).await?;
        let n_streams = self.state.borrow_mut().origin_archive.on_written();
        log::info!(n_streams; "origins of streams written");
        Ok(())
    }

    /// Reads the origins of streams that the store has, unless a read that began at the given time or later has done so.
    /// Requests that come meanwhile share one read. Returns whether the origins were read.
    pub(crate) async fn read_origins_since(&self, since_ms: u64) -> bool {
        let interval_ms = READ_INTERVAL_PER_NODE_MS * self.n_nodes() as u64;
        let interval = Duration::from_millis(interval_ms.max(READ_INTERVAL_MIN_MS));
        let read = async {
            let mut progress = self.origin_reader.progress.lock().await;
            if progress.began_ms.is_some_and(|it| since_ms <= it) {
                return true;
            }
            let since_last_ms = progress.began_ms.map_or(u64::MAX, |it| self.now_ms() - it);
            sleep(interval.saturating_sub(Duration::from_millis(since_last_ms))).await;
            match self.load_origins(&mut progress).await {
                Ok(n_streams) => {
                    log::info!(n_streams; "origins of streams read for a stream that is taken up");
                    true
                }
                Err(err) => {
                    log::info!(error:% = err; "failed to read the origins of streams for a stream that is taken up");
                    false
                }
            }
        };
        timeout(interval + READ_TIMEOUT, read).await.unwrap_or(false)
    }

    /// Returns the number of streams whose origins were read.
    async fn load_origins(&self, progress: &mut ReadProgress) -> Result<usize, CallError> {
        let began_ms = self.now_ms();
        // The read may be canceled between two pages.
        let mut next = progress.next;
        let records = self.read_all(Topic::StreamOrigins, &mut next).await?;
        *progress = ReadProgress { next, began_ms: Some(began_ms) };
        let (now_ms, synced_ms) = (self.now_ms(), self.synced_ms());
        let batches = records.iter().filter_map(decode);
        let origins: Vec<OriginRecord> =
            batches.flat_map(|it| it.into_records(synced_ms)).collect();
        let mut state = self.state.borrow_mut();
        for it in &origins {
            state.stream_origins.insert(*it, now_ms);
        }
        Ok(origins.len())
    }
}

impl<P> Node<P> {
    /// Adds origins to those that this node writes to the store.
    pub(crate) fn archive(&self, records: Vec<OriginRecord>) {
        self.state.borrow_mut().origin_archive.push(records);
        self.archive_due.notify_one();
    }
}

fn decode(record: &Record) -> Option<OriginBatch> {
    let decoded = ciborium::from_reader(&record.value.as_ref()?[..]);
    if let Err(err) = &decoded {
        log::warn!(error:% = err; "failed to decode origins of streams");
    }
    decoded.ok()
}

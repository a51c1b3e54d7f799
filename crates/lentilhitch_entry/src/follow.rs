//! Followers of the log streams, which read directly, through a peer, or from a peer's snapshot.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use rand::RngExt;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use lentilhitch_platform::Stream;
use lentilhitch_policy::{
    checkpoint::split,
    fold::{Fold, FoldStatus, Follower, Payload, Snapshot},
};
use lentilhitch_types::{AttemptId, LogOffset};

use crate::entry::Entry;

/// Delay before the next read after a failed read, or while there is a gap or the log is truncated.
const READ_RETRY_DELAY_MS: u64 = 100;
/// Maximum random delay before a due checkpoint is written.
const CHECKPOINT_JITTER_MS_MAX: u64 = 2_000;
/// Maximum size of the text in a checkpoint part. Less than half of the maximum size of a record, because the text is
/// escaped once more as a JSON string in the record.
const CHECKPOINT_PART_BYTES_MAX: usize = 256 * 1024;

/// Follower of a stream that is shared between tasks. Tasks can wait for changes of its state.
#[derive(Debug)]
pub(crate) struct SharedFollower<F> {
    inner: Mutex<Follower<F>>,
    changes: watch::Sender<LogOffset>,
}

impl<F: Fold> Default for SharedFollower<F> {
    fn default() -> Self {
        Self { inner: Mutex::default(), changes: watch::Sender::new(LogOffset::default()) }
    }
}

impl<F: Fold> SharedFollower<F> {
    /// Calls a function with the present state and returns its result. The state is locked during the call.
    pub(crate) fn with<T>(&self, read: impl FnOnce(&F) -> T) -> T {
        read(self.inner.lock().state())
    }

    /// Returns the first offset that has not been applied.
    pub(crate) fn next(&self) -> LogOffset {
        self.inner.lock().next()
    }

    /// Returns how complete the state is.
    pub(crate) fn status(&self) -> FoldStatus {
        self.inner.lock().status()
    }

    /// Returns a receiver that is notified of each change of the state.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LogOffset> {
        self.changes.subscribe()
    }

    /// Returns a snapshot of the state if records from `next` on have been applied.
    pub(crate) fn snapshot_if_after(&self, next: LogOffset) -> Option<Snapshot<F>> {
        let follower = self.inner.lock();
        (next < follower.next()).then(|| follower.snapshot())
    }

    fn update<T>(&self, change: impl FnOnce(&mut Follower<F>) -> T) -> T {
        let (result, next) = {
            let mut follower = self.inner.lock();
            let result = change(&mut follower);
            (result, follower.next())
        };
        self.changes.send_if_modified(|it| std::mem::replace(it, next) != next);
        result
    }
}

/// Follows a stream until the process ends. Calls `on_change` after each change of the state.
pub(crate) async fn follow<F: Fold + Send + 'static>(
    entry: Arc<Entry>,
    stream: Stream,
    follower: &SharedFollower<F>,
    on_change: impl Fn(&Entry) + Send,
) {
    let mut checkpoint_at = None;
    loop {
        let (next_before, read_from) = {
            let inner = follower.inner.lock();
            (inner.next(), inner.read_from())
        };
        let page = entry.log_access().read(stream, read_from).await;
        let is_read = page.is_some();
        if let Some(page) = page {
            entry.orders.record_log_time(page.now_ms, entry.clock.now_ms());
            let report = follower.update(|it| it.apply_page(&page.into()));
            for offset in report.unreadable {
                log::warn!(stream:% = stream, offset:% = offset; "failed to decode log record; record skipped");
            }
        }
        if !is_read || follower.status() == FoldStatus::Gap {
            adopt_peer_snapshot(&entry, stream, follower).await;
        }
        if follower.next() != next_before {
            on_change(&entry);
        }
        write_checkpoint(&entry, stream, follower, &mut checkpoint_at).await;
        if !is_read || matches!(follower.status(), FoldStatus::Gap | FoldStatus::LogTruncated) {
            sleep(Duration::from_millis(READ_RETRY_DELAY_MS)).await;
        }
    }
}

/// Adopts the state of a peer that has applied more records.
async fn adopt_peer_snapshot<F: Fold>(entry: &Entry, stream: Stream, follower: &SharedFollower<F>) {
    let Some(bytes) = entry.peers().snapshot(stream, follower.next()).await else { return };
    match serde_json::from_slice(&bytes) {
        Ok(snapshot) => {
            if follower.update(|it| it.adopt(snapshot)) {
                log::info!(stream:% = stream, next:% = follower.next(); "adopted stream state from a peer");
            }
        }
        Err(err) => {
            log::warn!(stream:% = stream, error:% = err; "failed to decode stream state from a peer");
        }
    }
}

/// Writes a checkpoint after one has been due for a random time. The checkpoint of the first process to do so makes
/// those of the other processes unnecessary.
async fn write_checkpoint<F: Fold>(
    entry: &Entry,
    stream: Stream,
    follower: &SharedFollower<F>,
    checkpoint_at: &mut Option<Instant>,
) {
    let timing = entry.settings.timing;
    let Some(log_now_ms) = entry.orders.log_now_ms(entry.clock.now_ms()) else { return };
    let (records_max, age_ms_max) = (timing.checkpoint_records, timing.checkpoint_ms);
    if !follower.inner.lock().is_checkpoint_due(records_max, age_ms_max, log_now_ms) {
        *checkpoint_at = None;
        return;
    }
    let jitter_ms = rand::rng().random_range(0..CHECKPOINT_JITTER_MS_MAX);
    let write_at =
        *checkpoint_at.get_or_insert_with(|| Instant::now() + Duration::from_millis(jitter_ms));
    if Instant::now() < write_at {
        return;
    }
    *checkpoint_at = None;
    let snapshot = follower.inner.lock().snapshot();
    match append_checkpoint(entry, stream, &snapshot).await {
        Ok(n_parts) => {
            log::info!(stream:% = stream, next:% = snapshot.next, n_parts = n_parts; "checkpoint written");
        }
        Err(err) => log::warn!(stream:% = stream, error:% = err; "failed to write checkpoint"),
    }
}

/// Appends the parts of a checkpoint in order and returns their number. If an append fails, the incomplete checkpoint
/// stays in the log, where readers ignore it.
async fn append_checkpoint<F: Fold>(
    entry: &Entry,
    stream: Stream,
    snapshot: &Snapshot<F>,
) -> anyhow::Result<usize> {
    let checkpoint_id = AttemptId::from_random(rand::random());
    let parts = split(snapshot, checkpoint_id, CHECKPOINT_PART_BYTES_MAX)?;
    let n_parts = parts.len();
    for part in parts {
        let payload = serde_json::to_string(&Payload::<F::Record>::Checkpoint(part))?;
        entry.log_access().append(stream, &payload).await?;
    }
    Ok(n_parts)
}

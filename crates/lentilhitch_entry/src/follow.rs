//! Following the streams of the log, directly, through a peer, or from a peer's snapshot.

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

const RETRY_MS: u64 = 100;
const CHECKPOINT_JITTER_MS: u64 = 2_000;
/// Less than half of what a record may be: the text is quoted once more in the record.
const CHECKPOINT_PART_BYTES_MAX: usize = 256 * 1024;

/// A follower that tasks can read and wait for.
#[derive(Debug)]
pub(crate) struct Followed<F> {
    follower: Mutex<Follower<F>>,
    changed: watch::Sender<LogOffset>,
}

impl<F: Fold> Default for Followed<F> {
    fn default() -> Self {
        Self { follower: Mutex::default(), changed: watch::Sender::new(LogOffset::default()) }
    }
}

impl<F: Fold> Followed<F> {
    /// Looks at the state as it is now.
    pub(crate) fn with<T>(&self, look: impl FnOnce(&F) -> T) -> T {
        look(self.follower.lock().state())
    }

    pub(crate) fn next(&self) -> LogOffset {
        self.follower.lock().next()
    }

    pub(crate) fn standing(&self) -> FoldStatus {
        self.follower.lock().status()
    }

    /// Signals each change of the state.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LogOffset> {
        self.changed.subscribe()
    }

    pub(crate) fn snapshot_if_after(&self, next: LogOffset) -> Option<Snapshot<F>> {
        let follower = self.follower.lock();
        (next < follower.next()).then(|| follower.snapshot())
    }

    fn update<T>(&self, change: impl FnOnce(&mut Follower<F>) -> T) -> T {
        let (result, next) = {
            let mut follower = self.follower.lock();
            let result = change(&mut follower);
            (result, follower.next())
        };
        self.changed.send_if_modified(|it| std::mem::replace(it, next) != next);
        result
    }
}

/// Follows a stream until the process ends. `applied` runs after each change of the state.
pub(crate) async fn follow<F: Fold + Send + 'static>(
    entry: Arc<Entry>,
    stream: Stream,
    followed: &Followed<F>,
    applied: impl Fn(&Entry) + Send,
) {
    let mut checkpoint_at = None;
    loop {
        let (before, from) = {
            let held = followed.follower.lock();
            (held.next(), held.read_from())
        };
        let page = entry.log_access().read(stream, from).await;
        let is_read = page.is_some();
        if let Some(page) = page {
            entry.orders.record_log_time(page.now_ms, entry.clock.now_ms());
            let report = followed.update(|it| it.apply_page(&page.into()));
            for offset in report.unreadable {
                log::warn!(stream:% = stream, offset:% = offset; "log record not understood");
            }
        }
        if !is_read || followed.standing() == FoldStatus::Gap {
            adopt(&entry, stream, followed).await;
        }
        if followed.next() != before {
            applied(&entry);
        }
        write_checkpoint(&entry, stream, followed, &mut checkpoint_at).await;
        if !is_read || matches!(followed.standing(), FoldStatus::Gap | FoldStatus::LogTruncated) {
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
}

async fn adopt<F: Fold>(entry: &Entry, stream: Stream, followed: &Followed<F>) {
    let Some(bytes) = entry.peers().snapshot(stream, followed.next()).await else { return };
    match serde_json::from_slice(&bytes) {
        Ok(snapshot) => {
            if followed.update(|it| it.adopt(snapshot)) {
                log::info!(stream:% = stream, next:% = followed.next(); "adopted a peer's state");
            }
        }
        Err(err) => {
            log::warn!(stream:% = stream, error:% = err; "a peer's state was not understood");
        }
    }
}

/// Writes a checkpoint when one has been due for a random time; whoever is first spares the others the work.
async fn write_checkpoint<F: Fold>(
    entry: &Entry,
    stream: Stream,
    followed: &Followed<F>,
    checkpoint_at: &mut Option<Instant>,
) {
    let timing = entry.settings.timing;
    let Some(log_now_ms) = entry.orders.log_now_ms(entry.clock.now_ms()) else { return };
    let (records, age_ms) = (timing.checkpoint_records, timing.checkpoint_ms);
    if !followed.follower.lock().is_checkpoint_due(records, age_ms, log_now_ms) {
        *checkpoint_at = None;
        return;
    }
    let jitter_ms = rand::rng().random_range(0..CHECKPOINT_JITTER_MS);
    let at =
        *checkpoint_at.get_or_insert_with(|| Instant::now() + Duration::from_millis(jitter_ms));
    if Instant::now() < at {
        return;
    }
    *checkpoint_at = None;
    let snapshot = followed.follower.lock().snapshot();
    match append_checkpoint(entry, stream, &snapshot).await {
        Ok(n_parts) => {
            log::info!(stream:% = stream, next:% = snapshot.next, n_parts = n_parts; "checkpoint written");
        }
        Err(err) => log::warn!(stream:% = stream, error:% = err; "checkpoint not written"),
    }
}

/// Appends the parts in order; one that fails leaves a checkpoint that nobody can complete, which does no harm.
async fn append_checkpoint<F: Fold>(
    entry: &Entry,
    stream: Stream,
    snapshot: &Snapshot<F>,
) -> anyhow::Result<usize> {
    let id = AttemptId::from_random(rand::random());
    let parts = split(snapshot, id, CHECKPOINT_PART_BYTES_MAX)?;
    let n_parts = parts.len();
    for part in parts {
        let payload = serde_json::to_string(&Payload::<F::Record>::Checkpoint(part))?;
        entry.log_access().append(stream, &payload).await?;
    }
    Ok(n_parts)
}

//! Records in the store that all nodes keep up to date together: one record for each matter, replaced as a whole by the
//! primaries of the zones, each time only if nobody has written meanwhile, and read by each node that starts in a
//! running deployment.

use std::{ops::RangeInclusive, rc::Rc, time::Duration};

use rand::RngExt as _;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{sync::Notify, time::sleep};

use lentilhitch_policy::gossip::Role;
use lentilhitch_types::{LogPosition, StoreEra};

use crate::{
    exchange,
    node::Node,
    platform::{AppendResult, CallError, Platform, Record, Topic},
};

/// Interval at which a node checks whether the record is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Bounds of the delay before a node writes that knows no primary of its zone, which may just be starting.
const NO_PRIMARY_DELAY_MS: RangeInclusive<u64> = 500..=1_000;
/// Bounds of the delay after a failed write, or after one that another node has overtaken.
const RETRY_DELAY_MS: RangeInclusive<u64> = 50..=300;
/// Delay after a failed read at the start.
const READ_RETRY_DELAY: Duration = Duration::from_millis(300);

/// One matter of which the store has a record.
pub(crate) trait Register {
    type Record: Serialize + DeserializeOwned;

    const TOPIC: Topic;
    /// Key of the only record of the topic.
    const KEY: &'static str;
    /// Name of the matter in the logs.
    const NAME: &'static str;

    /// Returns what is notified when the record may be due.
    fn changed<P>(node: &Node<P>) -> &Notify;

    /// Handles the record that a node finds when it starts.
    fn on_found_at_start<P>(node: &Node<P>, record: Self::Record);

    /// Returns the record to write in the given era, or `None` if the last one that was read or written is up to date.
    fn due_record<P>(node: &Node<P>, era: StoreEra) -> Option<Self::Record>;

    /// Handles the record in the store, or that there is none.
    fn on_read<P>(node: &Node<P>, record: Option<Self::Record>);

    /// Handles that the record was written.
    fn on_written<P>(node: &Node<P>, record: Self::Record);
}

/// Reads the record when the node starts in a running deployment.
pub(crate) async fn read_at_start<R: Register, P: Platform>(node: &Rc<Node<P>>) {
    loop {
        match read::<R, P>(node).await {
            Ok((record, _)) => {
                log::info!(is_found = record.is_some(); "{} read from the store", R::NAME);
                if let Some(record) = record {
                    R::on_found_at_start(node, record);
                }
                return;
            }
            Err(err) => {
                log::info!(error:% = err; "failed to read the {}; will be retried", R::NAME);
            }
        }
        sleep(READ_RETRY_DELAY).await;
    }
}

/// Writes the record whenever it is due, if this node writes for its zone.
pub(crate) async fn maintain<R: Register, P: Platform>(node: Rc<Node<P>>) {
    let mut restored = node.store_restored.subscribe();
    loop {
        tokio::select! {
            () = R::changed(&node).notified() => {}
            _ = restored.changed() => {}
            () = sleep(CHECK_INTERVAL) => {}
        }
        if !has_to_write::<R, P>(&node) {
            continue;
        }
        if node.state.borrow().gossip.role() != Role::Primary {
            node.sleep_between(NO_PRIMARY_DELAY_MS).await;
            if !has_to_write::<R, P>(&node) {
                continue;
            }
        }
        match update::<R, P>(&node).await {
            Ok(Updated::UpToDate) => continue,
            Ok(Updated::Overtaken) => {}
            Err(err) => {
                log::info!(error:% = err; "failed to write the {}; will be retried", R::NAME);
            }
        }
        node.sleep_between(RETRY_DELAY_MS).await;
        R::changed(&node).notify_one();
    }
}

/// Result of an update of the record.
enum Updated {
    /// The record has what this node sees.
    UpToDate,
    /// Another node has written the record since it was read.
    Overtaken,
}

/// Returns whether the record is due and this node writes for its zone.
fn has_to_write<R: Register, P>(node: &Node<P>) -> bool {
    let now_ms = node.now_ms();
    let era = {
        let state = node.state.borrow();
        let is_writer = match state.gossip.role() {
            Role::Primary => true,
            Role::Member | Role::Standby => state.gossip.primary(now_ms).is_none(),
        };
        state.store_era.current().filter(|_| is_writer)
    };
    era.is_some_and(|it| R::due_record(node, it).is_some())
}

/// Reads the record, and writes it again unless another node has done so already.
async fn update<R: Register, P: Platform>(node: &Node<P>) -> Result<Updated, CallError> {
    let (found, end) = read::<R, P>(node).await?;
    R::on_read(node, found);
    let Some(record) = R::due_record(node, end.era()) else { return Ok(Updated::UpToDate) };
    let value = exchange::encode(&record).map_err(|it| CallError::NotDone(it.to_string()))?;
    let stored = Record { key: R::KEY.to_owned(), value: Some(value), ..Record::default() };
    match node.append(R::TOPIC, stored, Some(end)).await? {
        AppendResult::Conflict { .. } => Ok(Updated::Overtaken),
        AppendResult::Appended(_) => {
            R::on_written(node, record);
            Ok(Updated::UpToDate)
        }
    }
}

/// Returns the record, if there is one that can be read, and the end of the topic.
async fn read<R: Register, P: Platform>(
    node: &Node<P>,
) -> Result<(Option<R::Record>, LogPosition), CallError> {
    let listing = node.list(R::TOPIC).await?;
    let record = listing.records.iter().find(|it| it.key == R::KEY);
    Ok((record.and_then(decode::<R>), listing.next))
}

fn decode<R: Register>(record: &Record) -> Option<R::Record> {
    let decoded = ciborium::from_reader(&record.value.as_ref()?[..]);
    if let Err(err) = &decoded {
        log::warn!(error:% = err; "failed to decode the {}", R::NAME);
    }
    decoded.ok()
}

impl<P> Node<P> {
    async fn sleep_between(&self, bounds_ms: RangeInclusive<u64>) {
        let delay_ms = self.state.borrow_mut().rng.random_range(bounds_ms);
        sleep(Duration::from_millis(delay_ms)).await;
    }
}

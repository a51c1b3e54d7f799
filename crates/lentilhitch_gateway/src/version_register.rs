//! Keeps the software versions of the services in the store, and reads them when the node starts in a running deployment.
//!
//! What is written, and why, is decided by [`lentilhitch_policy::version_register`].

use std::{cell::RefCell, ops::RangeInclusive, rc::Rc, time::Duration};

use bytes::Bytes;
use rand::RngExt as _;
use tokio::{sync::Notify, time::sleep};

use lentilhitch_policy::{
    gossip::Role,
    stream_origins::VersionHistories,
    version_register::{VersionRecord, VersionRegister},
};
use lentilhitch_types::{LogPosition, StoreEra};

use crate::{
    exchange,
    node::Node,
    platform::{AppendResult, CallError, Platform, Record, Topic},
};

/// Key of the only record of the topic.
const RECORD_KEY: &str = "versions";
/// Interval at which a node checks whether the record is due, as a version may have been gone for long enough.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Bounds of the delay before a node writes that knows no primary of its zone, which may just be starting.
const NO_PRIMARY_DELAY_MS: RangeInclusive<u64> = 500..=1_000;
/// Bounds of the delay after a failed write, or after one that another node has overtaken.
const RETRY_DELAY_MS: RangeInclusive<u64> = 50..=300;
/// Delay after a failed read at the start.
const READ_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The register as this node knows it.
#[derive(Default)]
pub(crate) struct SharedRegister {
    register: RefCell<VersionRegister>,
    /// Notified when the versions of the services may have changed.
    versions_changed: Notify,
}

impl SharedRegister {
    pub(crate) fn on_versions_changed(&self) {
        self.versions_changed.notify_one();
    }

    /// Returns the versions that were found in the store at the start, if none can be missing in the given era.
    pub(crate) fn found_at_start(&self, era: StoreEra) -> Option<VersionHistories> {
        self.register.borrow().found_at_start(era).cloned()
    }
}

/// Reads the record when the node starts in a running deployment.
pub(crate) async fn read_at_start<P: Platform>(node: &Rc<Node<P>>) {
    loop {
        match node.read_version_record().await {
            Ok((record, _)) => {
                let is_found = record.is_some();
                if let Some(record) = record {
                    let now_ms = node.now_ms();
                    let waits = &record.histories.waits;
                    node.state.borrow_mut().stream_origins.adopt_waits(waits, now_ms);
                    node.version_register.register.borrow_mut().on_found_at_start(record);
                }
                log::info!(is_found; "versions of the services read from the store");
                return;
            }
            Err(err) => {
                log::info!(error:% = err; "failed to read the versions of the services; will be retried");
            }
        }
        sleep(READ_RETRY_DELAY).await;
    }
}

/// Writes the record whenever it is due, if this node writes for its zone.
pub(crate) async fn maintain<P: Platform>(node: Rc<Node<P>>) {
    let mut restored = node.store_restored.subscribe();
    loop {
        tokio::select! {
            () = node.version_register.versions_changed.notified() => {}
            _ = restored.changed() => {}
            () = sleep(CHECK_INTERVAL) => {}
        }
        if !node.has_to_write_versions() {
            continue;
        }
        if node.state.borrow().gossip.role() != Role::Primary {
            node.sleep_between(NO_PRIMARY_DELAY_MS).await;
            if !node.has_to_write_versions() {
                continue;
            }
        }
        match node.update_version_record().await {
            Ok(Updated::UpToDate) => continue,
            Ok(Updated::Overtaken) => {}
            Err(err) => {
                log::info!(error:% = err; "failed to write the versions of the services; will be retried");
            }
        }
        node.sleep_between(RETRY_DELAY_MS).await;
        node.version_register.on_versions_changed();
    }
}

/// Result of an update of the record.
enum Updated {
    /// The record has what this node sees.
    UpToDate,
    /// Another node has written the record since it was read.
    Overtaken,
}

impl<P: Platform> Node<P> {
    /// Returns whether the record is due and this node writes for its zone.
    fn has_to_write_versions(&self) -> bool {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        let is_writer = match state.gossip.role() {
            Role::Primary => true,
            Role::Member | Role::Standby => state.gossip.primary(now_ms).is_none(),
        };
        let Some(era) = state.store_era.current() else { return false };
        let register = self.version_register.register.borrow();
        is_writer && register.is_due(&state.stream_origins, era, now_ms)
    }

    /// Reads the record, and writes it again unless another node has done so already.
    async fn update_version_record(&self) -> Result<Updated, CallError> {
        let (found, end) = self.read_version_record().await?;
        let now_ms = self.now_ms();
        let record = {
            let origins = &mut self.state.borrow_mut().stream_origins;
            let mut register = self.version_register.register.borrow_mut();
            register.on_read(found, origins, now_ms);
            let is_due = register.is_due(origins, end.era(), now_ms);
            let histories = if is_due { origins.histories(now_ms) } else { None };
            histories.map(|histories| VersionRecord { era: end.era(), histories })
        };
        let Some(record) = record else { return Ok(Updated::UpToDate) };
        let value = exchange::encode(&record).map_err(|it| CallError::NotDone(it.to_string()))?;
        let stored = Record { key: RECORD_KEY.to_owned(), value: Some(value), ..Record::default() };
        match self.append(Topic::StreamVersions, stored, Some(end)).await? {
            AppendResult::Conflict { .. } => Ok(Updated::Overtaken),
            AppendResult::Appended(_) => {
                let n_versions = record.histories.versions().count();
                log::info!(n_versions, era:% = record.era; "versions of the services written");
                self.version_register.register.borrow_mut().on_written(record);
                Ok(Updated::UpToDate)
            }
        }
    }

    /// Returns the record, if there is one that can be read, and the end of the topic.
    async fn read_version_record(&self) -> Result<(Option<VersionRecord>, LogPosition), CallError> {
        let listing = self.list(Topic::StreamVersions).await?;
        let record = listing.records.iter().find(|it| it.key == RECORD_KEY);
        Ok((record.and_then(|it| decode(it.value.as_ref()?)), listing.next))
    }

    async fn sleep_between(&self, bounds_ms: RangeInclusive<u64>) {
        let delay_ms = self.state.borrow_mut().rng.random_range(bounds_ms);
        sleep(Duration::from_millis(delay_ms)).await;
    }
}

fn decode(value: &Bytes) -> Option<VersionRecord> {
    let decoded = ciborium::from_reader(&value[..]);
    if let Err(err) = &decoded {
        log::warn!(error:% = err; "failed to decode the versions of the services");
    }
    decoded.ok()
}

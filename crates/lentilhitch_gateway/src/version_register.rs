//! Keeps the software versions of the services in the store, and reads them when the node starts in a running deployment.
//!
//! What is written, and why, is decided by [`lentilhitch_policy::version_register`].

use std::cell::RefCell;

use tokio::sync::Notify;

use lentilhitch_policy::{
    stream_origins::VersionHistories,
    version_register::{VersionRecord, VersionRegister},
};
use lentilhitch_types::StoreEra;

use crate::{node::Node, platform::Topic, store_register::Register};

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

/// The record of the versions.
pub(crate) struct Versions;

impl Register for Versions {
    type Record = VersionRecord;

    const TOPIC: Topic = Topic::StreamVersions;
    const KEY: &'static str = "versions";
    const NAME: &'static str = "versions of the services";

    fn changed<P>(node: &Node<P>) -> &Notify {
        &node.version_register.versions_changed
    }

    fn on_found_at_start<P>(node: &Node<P>, record: VersionRecord) {
        let now_ms = node.now_ms();
        node.state.borrow_mut().stream_origins.adopt_waits(&record.histories.waits, now_ms);
        node.version_register.register.borrow_mut().on_found_at_start(record);
    }

    fn due_record<P>(node: &Node<P>, era: StoreEra) -> Option<VersionRecord> {
        let now_ms = node.now_ms();
        let origins = &node.state.borrow().stream_origins;
        let is_due = node.version_register.register.borrow().is_due(origins, era, now_ms);
        let histories = if is_due { origins.histories(now_ms) } else { None };
        histories.map(|histories| VersionRecord { era, histories })
    }

    fn on_read<P>(node: &Node<P>, record: Option<VersionRecord>) {
        let now_ms = node.now_ms();
        let origins = &mut node.state.borrow_mut().stream_origins;
        node.version_register.register.borrow_mut().on_read(record, origins, now_ms);
    }

    fn on_written<P>(node: &Node<P>, record: VersionRecord) {
        let n_versions = record.histories.versions().count();
        log::info!(n_versions, era:% = record.era; "versions of the services written");
        node.version_register.register.borrow_mut().on_written(record);
    }
}

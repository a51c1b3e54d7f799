//! Keeps the quarantined requests and prompt segments in the store, and reads them when the node starts in a running
//! deployment.
//!
//! What is written, and why, is decided by [`lentilhitch_policy::quarantine_register`].

use std::{cell::RefCell, rc::Rc};

use tokio::sync::Notify;

use lentilhitch_policy::quarantine_register::{Now, QuarantineRecord, QuarantineRegister};
use lentilhitch_types::StoreEra;

use crate::{
    node::Node,
    platform::{Platform, Topic},
    store_register::{self, Register},
};

/// The register as this node knows it.
#[derive(Default)]
pub(crate) struct SharedQuarantines {
    register: RefCell<QuarantineRegister>,
    /// Notified when a quarantine may have begun or ended.
    changed: Notify,
}

impl SharedQuarantines {
    pub(crate) fn on_quarantines_changed(&self) {
        self.changed.notify_one();
    }
}

/// Takes over the quarantines that the store has.
pub(crate) async fn load<P: Platform>(node: Rc<Node<P>>) {
    if !node.settings.is_first_start {
        store_register::read_at_start::<Quarantines, P>(&node).await;
    }
}

/// The record of the quarantines.
pub(crate) struct Quarantines;

impl Register for Quarantines {
    type Record = QuarantineRecord;

    const TOPIC: Topic = Topic::Quarantines;
    const KEY: &'static str = "quarantines";
    const NAME: &'static str = "quarantines";

    fn changed<P>(node: &Node<P>) -> &Notify {
        &node.quarantine_register.changed
    }

    fn on_found_at_start<P>(node: &Node<P>, record: QuarantineRecord) {
        log::info!(n_entries = record.n_entries(); "quarantines taken over");
        Self::on_read(node, Some(record));
    }

    fn due_record<P>(node: &Node<P>, era: StoreEra) -> Option<QuarantineRecord> {
        let now = node.both_times();
        let suspects = &node.state.borrow().suspects;
        node.quarantine_register.register.borrow_mut().due_record(suspects, era, now)
    }

    fn on_read<P>(node: &Node<P>, record: Option<QuarantineRecord>) {
        let now = node.both_times();
        let suspects = &mut node.state.borrow_mut().suspects;
        node.quarantine_register.register.borrow_mut().on_read(record, suspects, now);
    }

    fn on_written<P>(node: &Node<P>, record: QuarantineRecord) {
        log::info!(n_entries = record.n_entries(), era:% = record.era; "quarantines written");
        node.quarantine_register.register.borrow_mut().on_written(record);
    }
}

impl<P> Node<P> {
    fn both_times(&self) -> Now {
        Now { local_ms: self.now_ms(), synced_ms: self.synced_ms() }
    }
}

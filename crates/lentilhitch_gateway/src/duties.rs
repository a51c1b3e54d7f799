//! Duties that only the holder of the duty lease carries out: reporting usage and ordering replicas.
//!
//! At most one node holds the duty lease at a time. The lease is kept in the duty topic of the store. The usage counts
//! of a node are the numbers of its requests that have started to run, by usage window and team. Every node that has
//! the usage duty in its settings sends its usage counts to the holder. A node that knows of no reachable holder writes
//! its usage counts to the store instead, where the holder reads them. The holder adds up the counts of all nodes,
//! fixes the final counts of each usage window and reports them. It also compares the replicas of each service with the
//! demand and orders replicas.

mod scaling;
mod usage;

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::sleep;

use lentilhitch_policy::duty::{self, DutyLeaseView, DutyRecord, DutyStep, Next};
use lentilhitch_types::LogPosition;

use crate::{
    node::{Node, NodePhase},
    platform::{AppendResult, CallError, DutyResult, Platform, ReadResult, Record, Topic},
};

pub(crate) use scaling::scale;
pub(crate) use usage::{flush_counts, report_usage, send_counts};

/// Maximum interval at which a node checks for messages from the holder of the duty lease.
const LEASE_CHECK_INTERVAL_MS: u64 = 250;
/// Delay after a failed read of the duty topic or a failed append to it.
const LEASE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// View of the duty lease that is shared by the tasks of a node.
pub(crate) type SharedDuty = Rc<RefCell<DutyLeaseView>>;

/// Creates the view of the duty lease for this node.
pub(crate) fn shared_duty<P>(node: &Node<P>) -> SharedDuty {
    let settings = duty::Settings {
        is_first_start: node.settings.is_first_start,
        ..duty::Settings::for_lease(node.settings.bounds.lease_ms)
    };
    let duty =
        DutyLeaseView::new(settings, node.instance().clone(), node.incarnation, node.now_ms());
    Rc::new(RefCell::new(duty))
}

/// Acquires the duty lease, renews it, and releases it when the node stops. Only the store readers of the zones try to
/// acquire it, so that the number of calls to the store does not grow with the number of nodes. A holder that is no
/// longer the store reader of its zone keeps the lease and continues to renew it.
pub(crate) async fn keep_lease<P: Platform>(node: Rc<Node<P>>, duty: SharedDuty) {
    let mut was_held = false;
    loop {
        let now_ms = node.now_ms();
        let is_held = duty.borrow().is_held(now_ms);
        if is_held != was_held {
            log::info!(instance = node.instance().as_str(), is_held; "duty lease status changed");
            was_held = is_held;
        }
        if *node.phase.borrow() != NodePhase::Serving {
            if is_held {
                release(&node, &duty).await;
            }
            return;
        }
        let holder_update = node.state.borrow_mut().received_duty_topic_end.take();
        if let Some((end, received_ms)) = holder_update {
            duty.borrow_mut().on_holder_update(end, received_ms);
        }
        node.state.borrow_mut().local_duty_topic_end = is_held.then(|| duty.borrow().end());
        if !is_held && !node.is_store_reader() {
            sleep(Duration::from_millis(LEASE_CHECK_INTERVAL_MS)).await;
            continue;
        }
        let next = duty.borrow().next(now_ms);
        match next {
            Next::Wait { until_ms } => {
                let wait_ms = until_ms.saturating_sub(now_ms).clamp(1, LEASE_CHECK_INTERVAL_MS);
                sleep(Duration::from_millis(wait_ms)).await;
            }
            Next::Read { from } => {
                if let Err(err) = read_lease(&node, &duty, from).await {
                    log::debug!("failed to read the duty lease: {err}");
                    sleep(LEASE_RETRY_DELAY).await;
                }
            }
            Next::Append { step, topic_end } => append_lease(&node, &duty, step, topic_end).await,
        }
    }
}

/// Reads the duty topic from a position on, without waiting for new records, and updates the node's view of the lease
/// (`duty`) with the end of the topic and the newest record of the read, which determines the state of the lease. If
/// the record at the position is not retained, the read is repeated from the first position whose record is retained.
async fn read_lease<P: Platform>(
    node: &Rc<Node<P>>,
    duty: &SharedDuty,
    from: LogPosition,
) -> Result<(), CallError> {
    let mut from = from;
    loop {
        match node.read(Topic::Duty, from, 0).await? {
            ReadResult::Expired { first } => from = first,
            ReadResult::Records { records, next } => {
                let last = records.last().and_then(decode::<DutyRecord>);
                duty.borrow_mut().on_read(next, last, node.now_ms());
                return Ok(());
            }
        }
    }
}

/// Appends a claim or renewal of the duty lease, if the duty topic still ends at `at`.
async fn append_lease<P: Platform>(
    node: &Rc<Node<P>>,
    duty: &SharedDuty,
    step: DutyStep,
    at: LogPosition,
) {
    let record = encode(&duty.borrow().record(step));
    let sent_ms = node.now_ms();
    match node.append(Topic::Duty, record, Some(at)).await {
        Ok(AppendResult::Appended(position)) => {
            duty.borrow_mut().on_append(step, position, sent_ms);
        }
        Ok(AppendResult::Conflict { .. }) => {
            duty.borrow_mut().on_append_failed(true, node.now_ms());
        }
        Err(err) => {
            log::info!(error:% = err; "failed to write the duty lease");
            duty.borrow_mut().on_append_failed(false, node.now_ms());
            sleep(LEASE_RETRY_DELAY).await;
        }
    }
}

/// Gives up the duty lease and appends the release to the duty topic, so that another node can claim the lease without
/// waiting until it expires.
async fn release<P: Platform>(node: &Rc<Node<P>>, duty: &SharedDuty) {
    let (record, at) = {
        let mut duty = duty.borrow_mut();
        duty.resign(node.now_ms());
        (encode(&duty.record(DutyStep::Release)), duty.end())
    };
    if let Err(err) = node.append(Topic::Duty, record, Some(at)).await {
        log::info!(error:% = err; "failed to release the duty lease; it will expire");
    }
}

/// Returns the metric label for the result of a duty call.
fn result_label(res: &Result<DutyResult, CallError>) -> &'static str {
    match res {
        Ok(DutyResult::Done) => "done",
        Ok(DutyResult::Fenced) => "fenced",
        Ok(DutyResult::Unavailable) => "unavailable",
        Err(CallError::NotDone(_)) => "not_done",
        Err(CallError::Unknown(_)) => "unknown",
    }
}

fn encode<T: Serialize>(value: &T) -> Record {
    let mut bytes = Vec::new();
    if let Err(err) = ciborium::into_writer(value, &mut bytes) {
        log::error!(error:% = err; "failed to encode a record");
    }
    Record { value: Some(Bytes::from(bytes)), ..Record::default() }
}

fn decode<T: DeserializeOwned>(record: &Record) -> Option<T> {
    let value = record.value.as_ref()?;
    match ciborium::from_reader(&value[..]) {
        Ok(it) => Some(it),
        Err(err) => {
            log::warn!(error:% = err; "failed to decode a record");
            None
        }
    }
}

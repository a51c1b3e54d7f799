//! Usage counts that each node sends to the holder of the duty lease, and the reports of usage windows by the holder.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use lentilhitch_policy::usage::{
    self, Decision, DecisionRecord, NodeCounts, Tenure, UsageLedger, WindowNumber,
};
use lentilhitch_types::LogPosition;

use crate::{
    duties::{SharedDuty, decode, encode, result_label},
    node::Node,
    platform::{AppendResult, CallError, DutyLease, DutyResult, Platform, Topic},
};

/// Interval at which a node sends its counts to the holder.
const COUNTS_SEND_INTERVAL: Duration = Duration::from_millis(800);
/// Validities of the lease after which another node holds the lease if the holder was lost.
const HOLDER_TAKEOVER_LEASES: u64 = 2;
/// Interval at which the holder writes the counts that it received, so that they survive the loss of all nodes.
const CHECKPOINT_INTERVAL_MS: u64 = 2_500;
/// Interval at which the holder checks for usage windows whose final counts are to be fixed or reported.
const USAGE_CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// Periodically sends this node's counts to the holder. If no holder has been reachable for the time that a new one needs
/// to acquire the lease, writes them to the store instead.
pub(crate) async fn send_counts<P: Platform>(node: Rc<Node<P>>, duty: SharedDuty) {
    let takeover_ms = HOLDER_TAKEOVER_LEASES * node.settings.bounds.lease_ms;
    let mut last_holder_ms = node.now_ms();
    loop {
        sleep(COUNTS_SEND_INTERVAL).await;
        let now_ms = node.now_ms();
        if duty.borrow().is_held(now_ms) || node.send_counts() {
            last_holder_ms = now_ms;
        } else if last_holder_ms + takeover_ms <= now_ms {
            flush_counts(&node).await;
        }
    }
}

/// Writes this node's counts to the store now, unless there is nothing new to write.
pub(crate) async fn flush_counts<P: Platform>(node: &Rc<Node<P>>) {
    let synced_ms = node.synced_ms();
    let counts = {
        let mut state = node.state.borrow_mut();
        if !state.usage_counter.take_write_due(synced_ms) {
            return;
        }
        state.usage_counter.counts(node.instance(), node.incarnation, synced_ms)
    };
    if let Err(err) = write_counts(node, vec![counts]).await {
        log::info!(error:% = err; "failed to write usage counts; they will be written later");
        node.state.borrow_mut().usage_counter.mark_unwritten();
    }
}

/// Appends usage counts to the usage topic, in as many records as they need. A node writes its own counts this way when
/// no holder is reachable, and when it stops. The holder periodically writes the counts that it has received from all
/// nodes for the windows after the last decided one.
async fn write_counts<P: Platform>(
    node: &Rc<Node<P>>,
    counts: Vec<NodeCounts>,
) -> Result<(), CallError> {
    for chunk in counts.chunks(RECORD_NODES_MAX) {
        // `None`: appended wherever the topic ends, since other nodes write to it too.
        node.append(Topic::Usage, encode(&chunk), None).await?;
    }
    Ok(())
}

/// Maximum number of nodes whose counts are written as one record. A record of the store is limited to a quarter of a
/// megabyte.
const RECORD_NODES_MAX: usize = 100;

/// Reports usage while this node holds the duty lease. Once the store has returned from a copy, writes the decisions again
/// that this node has made or read, so that the next holder reports the same counts.
pub(crate) async fn report_usage<P: Platform>(node: Rc<Node<P>>, duty: SharedDuty) {
    let bounds = node.settings.bounds;
    let settings = usage::Settings {
        window_ms: bounds.usage_window_ms,
        report_age_max_ms: bounds.usage_report_deadline_ms,
        wait_max_ms: bounds.usage_report_deadline_ms / 2,
        ..usage::Settings::default()
    };
    // Kept over the terms, since the decisions in the store may be lost.
    let mut ledger = UsageLedger::new(settings);
    let mut term: Option<UsageTerm> = None;
    let mut restored = node.store_restored.subscribe();
    let mut is_restore_pending = false;
    loop {
        sleep(USAGE_CHECK_INTERVAL).await;
        note_era(&node, &mut ledger);
        is_restore_pending |= restored.has_changed().unwrap_or(false);
        restored.mark_unchanged();
        if is_restore_pending {
            match write_lost_decisions(&node, &mut ledger).await {
                Ok(()) => is_restore_pending = false,
                Err(err) => {
                    log::info!(error:% = err; "failed to write lost decisions; will be retried");
                }
            }
        }
        if !duty.borrow().is_held(node.now_ms()) {
            term = None;
            continue;
        }
        let current = term.get_or_insert_with(|| UsageTerm::new(node.synced_ms()));
        if let Err(err) = current.step(&node, &duty, &mut ledger).await {
            log::info!(error:% = err; "failed to report usage; will be retried");
        }
    }
}

/// Notes since when the current era of the store is known. At the first start of the deployment there was no era before.
fn note_era<P>(node: &Node<P>, ledger: &mut UsageLedger) {
    let Some(era) = node.state.borrow().store_era.current() else { return };
    let is_first = node.settings.is_first_start && ledger.knows_no_era();
    ledger.on_era(era, if is_first { 0 } else { node.synced_ms() });
}

/// Returns a decision as it is written to the store now.
fn record_of<P>(node: &Node<P>, decision: Decision) -> DecisionRecord {
    let era = node.state.borrow().store_era.current();
    DecisionRecord::new(decision, era.map(|it| (it, node.synced_ms())))
}

/// Writes the known decisions again that the store has lost.
async fn write_lost_decisions<P: Platform>(
    node: &Rc<Node<P>>,
    ledger: &mut UsageLedger,
) -> Result<(), CallError> {
    ledger.tick(node.synced_ms());
    if ledger.decisions().next().is_none() {
        return Ok(());
    }
    let records = node.read_all(Topic::Decisions, &mut LogPosition::default()).await?;
    let present: Vec<DecisionRecord> = records.iter().filter_map(decode).collect();
    let is_present = |window: WindowNumber| present.iter().any(|it| it.window == window);
    let lost: Vec<_> = ledger.decisions().filter(|it| !is_present(it.window)).collect();
    for decision in lost {
        log::info!(window = decision.window; "writing lost decision again");
        node.append(Topic::Decisions, encode(&record_of(node, decision)), None).await?;
    }
    Ok(())
}

/// What this node has read of the usage counts and decisions since it acquired the duty lease.
struct UsageTerm {
    /// Synchronized time from which on this node has held the lease.
    held_since_ms: u64,
    /// Position in the usage topic from which to read next.
    next_counts: LogPosition,
    /// Position in the decisions topic from which to read next.
    next_decisions: LogPosition,
    has_read_decisions: bool,
    /// When the received counts were last written.
    last_checkpoint_ms: u64,
}

impl UsageTerm {
    fn new(held_since_ms: u64) -> Self {
        Self {
            held_since_ms,
            next_counts: LogPosition::default(),
            next_decisions: LogPosition::default(),
            has_read_decisions: false,
            last_checkpoint_ms: 0,
        }
    }

    /// Collects the counts of all nodes, writes them to the store when that is due, and fixes and reports the final
    /// counts of the usage windows that are due.
    async fn step<P: Platform>(
        &mut self,
        node: &Rc<Node<P>>,
        duty: &SharedDuty,
        ledger: &mut UsageLedger,
    ) -> Result<(), CallError> {
        // The synchronized time determines the usage windows. Intervals at this node are measured with `now_ms`, its
        // monotonic clock.
        let synced_ms = node.synced_ms();
        let (received, local) = {
            let mut state = node.state.borrow_mut();
            let local = state.usage_counter.counts(node.instance(), node.incarnation, synced_ms);
            (std::mem::take(&mut state.peer_counts), local)
        };
        for counts in received.into_iter().chain([local]) {
            ledger.insert_counts(counts);
        }
        ledger.tick(synced_ms);
        let now_ms = node.now_ms();
        if self.last_checkpoint_ms + CHECKPOINT_INTERVAL_MS <= now_ms {
            self.last_checkpoint_ms = now_ms;
            write_counts(node, ledger.undecided_counts()).await?;
        }
        if !ledger.has_pending_window(synced_ms) {
            return Ok(());
        }
        for record in node.read_all(Topic::Usage, &mut self.next_counts).await? {
            let counts: Option<Vec<NodeCounts>> = decode(&record);
            for it in counts.into_iter().flatten() {
                ledger.insert_counts(it);
            }
        }
        if !std::mem::replace(&mut self.has_read_decisions, true) {
            self.read_decisions(node, ledger).await?;
        }
        while let Some(decision) = self.next_decision(node, ledger) {
            if duty.borrow_mut().permit(node.now_ms()).is_none() {
                return Ok(());
            }
            self.write_decision(node, ledger, decision).await?;
        }
        while let Some(decision) = ledger.next_report(node.synced_ms()) {
            let Some(token) = duty.borrow_mut().permit(node.now_ms()) else { return Ok(()) };
            let lease = DutyLease { holder: node.instance(), fencing_token: token };
            let Decision { window, counts } = &decision;
            let res = node.platform.report_usage(lease, *window, counts).await;
            node.metrics.record_duty_call("usage", result_label(&res));
            log::info!(window, fence:% = token, result:? = res; "usage reported");
            match res? {
                DutyResult::Done | DutyResult::Unavailable => ledger.mark_reported(*window),
                DutyResult::Fenced => {
                    duty.borrow_mut().resign(node.now_ms());
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Returns the next window to decide, with its counts. The era of the store may have changed since the last one.
    fn next_decision<P>(&self, node: &Node<P>, ledger: &mut UsageLedger) -> Option<Decision> {
        let synced_ms = node.synced_ms();
        let era = node.state.borrow().store_era.current();
        let tenure = Tenure { held_since_ms: self.held_since_ms, era };
        for window in ledger.give_up_windows(tenure, synced_ms) {
            log::warn!(window, held_since_ms = self.held_since_ms; "usage window is not decided, since the store may have lost a decision on it");
        }
        ledger.next_decision(node.n_nodes(), synced_ms)
    }

    /// Reads the decisions (final counts of usage windows) that were written since the last read.
    async fn read_decisions<P: Platform>(
        &mut self,
        node: &Rc<Node<P>>,
        ledger: &mut UsageLedger,
    ) -> Result<(), CallError> {
        for record in node.read_all(Topic::Decisions, &mut self.next_decisions).await? {
            if let Some(record) = decode(&record) {
                ledger.insert_record(record);
            }
        }
        Ok(())
    }

    /// Appends a decision at the known end of the topic. If another node has appended one in the meantime, reads that
    /// one instead.
    async fn write_decision<P: Platform>(
        &mut self,
        node: &Rc<Node<P>>,
        ledger: &mut UsageLedger,
        decision: Decision,
    ) -> Result<(), CallError> {
        let at = Some(self.next_decisions);
        let record = record_of(node, decision.clone());
        match node.append(Topic::Decisions, encode(&record), at).await? {
            AppendResult::Appended(position) => {
                self.next_decisions = position.next();
                ledger.insert_decision(decision);
                Ok(())
            }
            AppendResult::Conflict { .. } => self.read_decisions(node, ledger).await,
        }
    }
}

//! Counts of requests on their way to the holder, and its reports.

use std::{rc::Rc, time::Duration};

use tokio::{net::UdpSocket, time::sleep};

use lentilhitch_policy::usage::{self, Decision, NodeCounts, UsageLedger};
use lentilhitch_types::LogOffset;

use crate::{
    duties::{SharedDuty, decode, encode, result_label},
    node::Node,
    platform::{
        AppendResult, CallError, DutyLease, DutyResult, Platform, ReadResult, Record, Topic,
    },
};

/// How often a node tells the holder its counts.
const COUNTS_SEND_INTERVAL: Duration = Duration::from_millis(800);
/// How often the holder writes what it heard; that outlives the loss of all nodes.
const CHECKPOINT_INTERVAL_MS: u64 = 2_500;
/// How often the holder looks at usage.
const USAGE_CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// Tells the holder what this node counted, or writes it while no holder is in reach.
pub(crate) async fn send_counts<P: Platform>(
    node: Rc<Node<P>>,
    duty: SharedDuty,
    socket: Rc<UdpSocket>,
) {
    loop {
        sleep(COUNTS_SEND_INTERVAL).await;
        let is_holder = duty.borrow().is_held(node.now_ms());
        if !is_holder && !node.send_counts(&socket).await {
            flush_counts(&node).await;
        }
    }
}

/// Writes this node's counts now, if there is something new.
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
        log::info!(error:% = err; "counts can't be written now");
        node.state.borrow_mut().usage_counter.mark_unwritten();
    }
}

async fn write_counts<P: Platform>(
    node: &Rc<Node<P>>,
    counts: Vec<NodeCounts>,
) -> Result<(), CallError> {
    for chunk in counts.chunks(RECORD_NODES_MAX) {
        node.platform.append(Topic::Usage, encode(&chunk), None).await?;
    }
    Ok(())
}

/// Nodes whose counts are written as one record; a record of the store holds a quarter of a megabyte.
const RECORD_NODES_MAX: usize = 100;

/// Reports usage while the lease is held.
pub(crate) async fn report_usage<P: Platform>(node: Rc<Node<P>>, duty: SharedDuty) {
    let bounds = node.settings.bounds;
    let settings = usage::Settings {
        window_ms: bounds.usage_window_ms,
        report_age_max_ms: bounds.usage_report_deadline_ms,
        wait_max_ms: bounds.usage_report_deadline_ms / 2,
        ..usage::Settings::default()
    };
    let mut term: Option<UsageTerm> = None;
    loop {
        sleep(USAGE_CHECK_INTERVAL).await;
        if !duty.borrow().is_held(node.now_ms()) {
            term = None;
            continue;
        }
        let current = term.get_or_insert_with(|| UsageTerm::new(settings));
        if let Err(err) = current.step(&node, &duty).await {
            log::info!(error:% = err; "usage waits");
        }
    }
}

/// What a holder has read in its present term.
struct UsageTerm {
    ledger: UsageLedger,
    next_counts_offset: LogOffset,
    next_decisions_offset: LogOffset,
    has_read_decisions: bool,
    checkpoint_ms: u64,
}

impl UsageTerm {
    fn new(settings: usage::Settings) -> Self {
        let ledger = UsageLedger::new(settings);
        Self {
            ledger,
            next_counts_offset: LogOffset(0),
            next_decisions_offset: LogOffset(0),
            has_read_decisions: false,
            checkpoint_ms: 0,
        }
    }

    async fn step<P: Platform>(
        &mut self,
        node: &Rc<Node<P>>,
        duty: &SharedDuty,
    ) -> Result<(), CallError> {
        let synced_ms = node.synced_ms();
        let (received, local) = {
            let mut state = node.state.borrow_mut();
            let local = state.usage_counter.counts(node.instance(), node.incarnation, synced_ms);
            (std::mem::take(&mut state.peer_counts), local)
        };
        for counts in received.into_iter().chain([local]) {
            self.ledger.insert_counts(counts);
        }
        self.ledger.tick(synced_ms);
        let n_nodes = node.n_reachable_nodes();
        let now_ms = node.now_ms();
        if self.checkpoint_ms + CHECKPOINT_INTERVAL_MS <= now_ms {
            self.checkpoint_ms = now_ms;
            write_counts(node, self.ledger.undecided_counts()).await?;
        }
        if !self.ledger.has_pending_window(synced_ms) {
            return Ok(());
        }
        for record in read_all(node, Topic::Usage, &mut self.next_counts_offset).await? {
            let counts: Option<Vec<NodeCounts>> = decode(&record);
            for it in counts.into_iter().flatten() {
                self.ledger.insert_counts(it);
            }
        }
        if !std::mem::replace(&mut self.has_read_decisions, true) {
            self.read_decisions(node).await?;
        }
        while let Some(decision) = self.ledger.next_decision(n_nodes, node.synced_ms()) {
            if duty.borrow_mut().permit(node.now_ms()).is_none() {
                return Ok(());
            }
            self.write_decision(node, decision).await?;
        }
        while let Some(decision) = self.ledger.next_report(node.synced_ms()) {
            let Some(fencing_token) = duty.borrow_mut().permit(node.now_ms()) else {
                return Ok(());
            };
            let lease = DutyLease { holder: node.instance(), fencing_token };
            let Decision { window, counts } = &decision;
            let res = node.platform.report_usage(lease, *window, counts).await;
            node.metrics.record_duty_call("usage", result_label(&res));
            log::info!(window, fence:% = fencing_token, result:? = res; "usage reported");
            match res? {
                DutyResult::Done | DutyResult::Unavailable => self.ledger.mark_reported(*window),
                DutyResult::Fenced => {
                    duty.borrow_mut().resign(node.now_ms());
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    async fn read_decisions<P: Platform>(&mut self, node: &Rc<Node<P>>) -> Result<(), CallError> {
        for record in read_all(node, Topic::Decisions, &mut self.next_decisions_offset).await? {
            if let Some(decision) = decode(&record) {
                self.ledger.insert_decision(decision);
            }
        }
        Ok(())
    }

    /// Writes a decision where the topic ends; if another one was written first, that one is read.
    async fn write_decision<P: Platform>(
        &mut self,
        node: &Rc<Node<P>>,
        decision: Decision,
    ) -> Result<(), CallError> {
        let at = Some(self.next_decisions_offset);
        match node.platform.append(Topic::Decisions, encode(&decision), at).await? {
            AppendResult::Appended(offset) => {
                self.next_decisions_offset = offset.next();
                self.ledger.insert_decision(decision);
                Ok(())
            }
            AppendResult::Conflict => self.read_decisions(node).await,
        }
    }
}

/// Reads a topic up to its end.
async fn read_all<P: Platform>(
    node: &Rc<Node<P>>,
    topic: Topic,
    next: &mut LogOffset,
) -> Result<Vec<Record>, CallError> {
    let mut all = Vec::new();
    loop {
        match node.platform.read(topic, *next, 0).await? {
            ReadResult::Expired { first } if *next < first => *next = first,
            ReadResult::Expired { .. } => return Ok(all),
            ReadResult::Records { records, next: end } => {
                let is_end = records.is_empty() || end == *next;
                all.extend(records);
                *next = end;
                if is_end || all.len() < READ_PAGE_MIN {
                    return Ok(all);
                }
            }
        }
    }
}

/// A reading with fewer records than this was not cut short by its size.
const READ_PAGE_MIN: usize = 500;

//! The duties of one node at a time: reports of usage and orders of replicas.
//!
//! Every node writes what it counted; the holder of the lease reads all counts, decides, and calls the platform.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use rustc_hash::FxHashMap;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::UdpSocket, time::sleep};

use lentilhitch_policy::{
    duty::{self, Duty, DutyRecord, DutyStep, Next},
    fleet::{self, Demand, Kind, Order, OrderResult, Plan, Slot},
    traffic::Scaling,
    usage::{self, Decision, Ledger, NodeCounts},
};
use lentilhitch_types::{LogOffset, ServiceName};

use crate::{
    node::{Node, Stop, name_hash},
    platform::{Appended, CallError, DutyResult, Permit, Platform, Reading, Record, Topic},
};

/// How often a node tells the holder its counts.
const COUNTS_PAUSE: Duration = Duration::from_millis(800);
/// How often the holder writes what it heard; that outlives the loss of all nodes.
const CHECKPOINT_MS: u64 = 2_500;
/// How often the holder looks at usage.
const USAGE_PAUSE: Duration = Duration::from_millis(700);
/// How often the holder compares replicas with the need.
const SCALING_PAUSE: Duration = Duration::from_millis(500);
/// How often a node looks whether the holder was heard of.
const LEASE_LOOK_MS: u64 = 250;
/// The pause after a failed call for the lease.
const LEASE_RETRY: Duration = Duration::from_millis(300);

/// The lease, as the tasks of a node share it.
pub(crate) type SharedDuty = Rc<RefCell<Duty>>;

/// A lease that this node may want.
pub(crate) fn shared_duty<P>(node: &Node<P>) -> SharedDuty {
    let settings = duty::Settings::for_lease(node.settings.bounds.lease_ms);
    let duty = Duty::new(settings, node.instance().clone(), node.life, node.now_ms());
    Rc::new(RefCell::new(duty))
}

/// Gets, keeps and gives back the lease. Candidates are the nodes that read the store for their zones, so that the calls do
/// not grow with the nodes.
pub(crate) async fn keep_lease<P: Platform>(node: Rc<Node<P>>, duty: SharedDuty) {
    let mut was_held = false;
    loop {
        let now_ms = node.now_ms();
        let is_held = duty.borrow().is_held(now_ms);
        if is_held != was_held {
            log::info!(instance = node.instance().as_str(), is_held; "duties change hands");
            was_held = is_held;
        }
        if *node.stop.borrow() != Stop::Running {
            if is_held {
                release(&node, &duty).await;
            }
            return;
        }
        let heard = node.state.borrow_mut().duty_heard.take();
        if let Some((end, heard_ms)) = heard {
            duty.borrow_mut().hear(end, heard_ms);
        }
        node.state.borrow_mut().duty_news = is_held.then(|| duty.borrow().end());
        if !is_held && !node.is_reader() {
            sleep(Duration::from_millis(LEASE_LOOK_MS)).await;
            continue;
        }
        let next = duty.borrow().next(now_ms);
        match next {
            Next::Wait { until_ms } => {
                let wait_ms = until_ms.saturating_sub(now_ms).clamp(1, LEASE_LOOK_MS);
                sleep(Duration::from_millis(wait_ms)).await;
            }
            Next::Read { from } => {
                if let Err(err) = read_lease(&node, &duty, from).await {
                    log::debug!("the lease can't be read: {err}");
                    sleep(LEASE_RETRY).await;
                }
            }
            Next::Append { step, at } => append_lease(&node, &duty, step, at).await,
        }
    }
}

async fn read_lease<P: Platform>(
    node: &Rc<Node<P>>,
    duty: &SharedDuty,
    from: LogOffset,
) -> Result<(), CallError> {
    let mut from = from;
    loop {
        match node.platform.read(Topic::Duty, from, 0).await? {
            Reading::Expired { first } => from = first,
            Reading::Records { records, next } => {
                let last = records.last().and_then(decode::<DutyRecord>);
                duty.borrow_mut().take_reading(next, last, node.now_ms());
                return Ok(());
            }
        }
    }
}

async fn append_lease<P: Platform>(
    node: &Rc<Node<P>>,
    duty: &SharedDuty,
    step: DutyStep,
    at: LogOffset,
) {
    let record = encode(&duty.borrow().record(step));
    let sent_ms = node.now_ms();
    match node.platform.append(Topic::Duty, record, Some(at)).await {
        Ok(Appended::At(offset)) => duty.borrow_mut().take_append(step, offset, sent_ms),
        Ok(Appended::Conflict) => duty.borrow_mut().fail_append(true, node.now_ms()),
        Err(err) => {
            log::info!(error:% = err; "the lease can't be written");
            duty.borrow_mut().fail_append(false, node.now_ms());
            sleep(LEASE_RETRY).await;
        }
    }
}

async fn release<P: Platform>(node: &Rc<Node<P>>, duty: &SharedDuty) {
    let (record, at) = {
        let mut duty = duty.borrow_mut();
        duty.resign(node.now_ms());
        (encode(&duty.record(DutyStep::Release)), duty.end())
    };
    if let Err(err) = node.platform.append(Topic::Duty, record, Some(at)).await {
        log::info!(error:% = err; "the lease was not given back; it runs out");
    }
}

/// Tells the holder what this node counted, or writes it while no holder is in reach.
pub(crate) async fn tell_counts<P: Platform>(
    node: Rc<Node<P>>,
    duty: SharedDuty,
    socket: Rc<UdpSocket>,
) {
    loop {
        sleep(COUNTS_PAUSE).await;
        let is_own = duty.borrow().is_held(node.now_ms());
        if !is_own && !node.tell_counts(&socket).await {
            flush_counts(&node).await;
        }
    }
}

/// Writes this node's counts now, if there is something new.
pub(crate) async fn flush_counts<P: Platform>(node: &Rc<Node<P>>) {
    let true_ms = node.true_ms();
    let counts = {
        let mut state = node.state.borrow_mut();
        if !state.tally.take_is_due(true_ms) {
            return;
        }
        state.tally.counts(node.instance(), node.life, true_ms)
    };
    if let Err(err) = write_counts(node, vec![counts]).await {
        log::info!(error:% = err; "counts can't be written now");
        node.state.borrow_mut().tally.put_back();
    }
}

async fn write_counts<P: Platform>(
    node: &Rc<Node<P>>,
    counts: Vec<NodeCounts>,
) -> Result<(), CallError> {
    for some in counts.chunks(RECORD_NODES_MAX) {
        node.platform.append(Topic::Usage, encode(&some), None).await?;
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
        late_ms: bounds.usage_due_ms,
        wait_max_ms: bounds.usage_due_ms / 2,
        ..usage::Settings::default()
    };
    let mut term: Option<UsageTerm> = None;
    loop {
        sleep(USAGE_PAUSE).await;
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
    ledger: Ledger,
    counts_next: LogOffset,
    decisions_next: LogOffset,
    has_read_decisions: bool,
    written_ms: u64,
}

impl UsageTerm {
    fn new(settings: usage::Settings) -> Self {
        let ledger = Ledger::new(settings);
        Self {
            ledger,
            counts_next: LogOffset(0),
            decisions_next: LogOffset(0),
            has_read_decisions: false,
            written_ms: 0,
        }
    }

    async fn step<P: Platform>(
        &mut self,
        node: &Rc<Node<P>>,
        duty: &SharedDuty,
    ) -> Result<(), CallError> {
        let true_ms = node.true_ms();
        let (heard, own) = {
            let mut state = node.state.borrow_mut();
            let own = state.tally.counts(node.instance(), node.life, true_ms);
            (std::mem::take(&mut state.peer_counts), own)
        };
        for counts in heard.into_iter().chain([own]) {
            self.ledger.take_counts(counts);
        }
        self.ledger.tick(true_ms);
        let n_nodes = node.n_heard();
        let now_ms = node.now_ms();
        if self.written_ms + CHECKPOINT_MS <= now_ms {
            self.written_ms = now_ms;
            write_counts(node, self.ledger.open_counts()).await?;
        }
        if !self.ledger.has_open_window(true_ms) {
            return Ok(());
        }
        for record in read_all(node, Topic::Usage, &mut self.counts_next).await? {
            let counts: Option<Vec<NodeCounts>> = decode(&record);
            for it in counts.into_iter().flatten() {
                self.ledger.take_counts(it);
            }
        }
        if !std::mem::replace(&mut self.has_read_decisions, true) {
            self.read_decisions(node).await?;
        }
        while let Some(decision) = self.ledger.next_decision(n_nodes, node.true_ms()) {
            if duty.borrow_mut().permit(node.now_ms()).is_none() {
                return Ok(());
            }
            self.decide(node, decision).await?;
        }
        while let Some(decision) = self.ledger.next_report(node.true_ms()) {
            let Some(fence) = duty.borrow_mut().permit(node.now_ms()) else { return Ok(()) };
            let permit = Permit { holder: node.instance(), fence };
            let Decision { window, counts } = &decision;
            let res = node.platform.report_usage(permit, *window, counts).await;
            node.metrics.duty_call("usage", result_word(&res));
            log::info!(window, fence:% = fence, result:? = res; "usage reported");
            match res? {
                DutyResult::Done | DutyResult::Unavailable => self.ledger.close(*window),
                DutyResult::Fenced => {
                    duty.borrow_mut().resign(node.now_ms());
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    async fn read_decisions<P: Platform>(&mut self, node: &Rc<Node<P>>) -> Result<(), CallError> {
        for record in read_all(node, Topic::Decisions, &mut self.decisions_next).await? {
            if let Some(decision) = decode(&record) {
                self.ledger.take_decision(decision);
            }
        }
        Ok(())
    }

    /// Writes a decision where the topic ends; if another one was written first, that one is read.
    async fn decide<P: Platform>(
        &mut self,
        node: &Rc<Node<P>>,
        decision: Decision,
    ) -> Result<(), CallError> {
        let at = Some(self.decisions_next);
        match node.platform.append(Topic::Decisions, encode(&decision), at).await? {
            Appended::At(offset) => {
                self.decisions_next = offset.next();
                self.ledger.take_decision(decision);
                Ok(())
            }
            Appended::Conflict => self.read_decisions(node).await,
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
            Reading::Expired { first } if *next < first => *next = first,
            Reading::Expired { .. } => return Ok(all),
            Reading::Records { records, next: end } => {
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

/// Orders replicas while the lease is held.
pub(crate) async fn scale<P: Platform>(node: Rc<Node<P>>, duty: SharedDuty) {
    let mut plans: FxHashMap<ServiceName, Plan> = FxHashMap::default();
    loop {
        sleep(SCALING_PAUSE).await;
        if !duty.borrow().is_held(node.now_ms()) {
            plans.clear();
            continue;
        }
        for (service, scaling, slots) in node.scaled_services() {
            let plan = plans
                .entry(service.clone())
                .or_insert_with(|| Plan::new(fleet::Settings::default(), service.clone()));
            plan.measure(node.state.borrow().board.prefill_tokens_per_s());
            let now_ms = node.now_ms();
            let (present, reclaimed) = node.present(&service);
            if present.is_empty() {
                continue;
            }
            for zone in &reclaimed {
                plan.take_reclaim(zone, now_ms);
            }
            let demand = node.demand(&service);
            for order in plan.orders(demand, slots, &scaling, &present, now_ms) {
                let Some(fence) = duty.borrow_mut().permit(node.now_ms()) else { break };
                let result = give_order(&node, &duty, fence, &order, demand, plan.need()).await;
                plan.take_result(&order, result, node.now_ms());
            }
        }
    }
}

async fn give_order<P: Platform>(
    node: &Rc<Node<P>>,
    duty: &SharedDuty,
    fence: LogOffset,
    order: &Order,
    demand: Demand,
    need: u32,
) -> OrderResult {
    let permit = Permit { holder: node.instance(), fence };
    let res = node.platform.order_replicas(permit, order).await;
    node.metrics.duty_call("scale", result_word(&res));
    log::info!(
        service = order.service.as_str(),
        zone = order.zone.as_str(),
        kind:? = order.kind,
        n_replicas = order.n_replicas,
        need,
        n_in_progress = demand.n_in_progress,
        prefill_tokens_per_s = demand.prefill_tokens_per_s,
        fence:% = fence,
        result:? = res;
        "replicas ordered"
    );
    match res {
        Ok(DutyResult::Done) => OrderResult::Accepted,
        Ok(DutyResult::Unavailable) => OrderResult::Unavailable,
        Ok(DutyResult::Fenced) => {
            duty.borrow_mut().resign(node.now_ms());
            OrderResult::Unknown
        }
        Err(_) => OrderResult::Unknown,
    }
}

fn result_word(res: &Result<DutyResult, CallError>) -> &'static str {
    match res {
        Ok(DutyResult::Done) => "done",
        Ok(DutyResult::Fenced) => "fenced",
        Ok(DutyResult::Unavailable) => "unavailable",
        Err(CallError::NotDone(_)) => "not_done",
        Err(CallError::Unknown(_)) => "unknown",
    }
}

impl<P: Platform> Node<P> {
    fn scaled_services(&self) -> Vec<(ServiceName, Scaling, u32)> {
        let state = self.state.borrow();
        let services = state.table.iter().flat_map(|it| &it.config.services);
        let scaled = services.filter_map(|(name, it)| {
            let slots = it.engine.map_or(1, |it| it.slots);
            Some((name.clone(), it.scaling.clone()?, slots))
        });
        scaled.collect()
    }

    /// Replicas that are ready, and zones whose reclaimable ones are being taken away.
    fn present(
        &self,
        service: &ServiceName,
    ) -> (FxHashMap<Slot, u32>, Vec<lentilhitch_types::Zone>) {
        let state = self.state.borrow();
        let mut present: FxHashMap<Slot, u32> = FxHashMap::default();
        let mut reclaimed = Vec::new();
        for it in state.catalog.iter().filter(|it| it.listed.service == *service) {
            let kind = if it.listed.is_spot { Kind::Spot } else { Kind::OnDemand };
            if it.is_ready() {
                *present.entry((it.listed.zone.clone(), kind)).or_default() += 1;
            } else if it.listed.is_spot && it.ends_at_ms.is_some() {
                reclaimed.push(it.listed.zone.clone());
            }
        }
        (present, reclaimed)
    }

    fn demand(&self, service: &ServiceName) -> Demand {
        let (now_ms, silent_ms) = (self.now_ms(), self.silent_after_ms());
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let upstreams = state.catalog.iter().filter(|it| it.listed.service == *service);
        let n_in_progress =
            upstreams.map(|it| f64::from(state.board.n_requests(&it.listed.id, now_ms))).sum();
        let own = state.demand.get_mut(service).map_or(0.0, |it| it.per_s(now_ms));
        let hash = name_hash(service.as_str()) as u32;
        let peers = state.peers.values().filter(|it| it.is_heard(silent_ms, now_ms));
        let others: f64 = peers.filter_map(|it| it.demand.get(&hash)).sum();
        Demand { n_in_progress, prefill_tokens_per_s: own + others }
    }
}

fn encode<T: Serialize>(value: &T) -> Record {
    let mut bytes = Vec::new();
    if let Err(err) = ciborium::into_writer(value, &mut bytes) {
        log::error!(error:% = err; "a record can't be written");
    }
    Record { value: Some(Bytes::from(bytes)), ..Record::default() }
}

fn decode<T: DeserializeOwned>(record: &Record) -> Option<T> {
    let value = record.value.as_ref()?;
    match ciborium::from_reader(&value[..]) {
        Ok(it) => Some(it),
        Err(err) => {
            log::warn!(error:% = err; "unreadable record");
            None
        }
    }
}

//! Orders and plans in the store, as all nodes follow them.
//!
//! The store reader of a zone and the holder of the duty lease read both topics. The store reader tells the other nodes of
//! its zone of each change, and sends them a digest every second. An equal digest confirms that both have the same orders
//! and plans. A node with another digest, or one that starts, fetches all of them from the store reader. A node that is
//! not told for some seconds reads the store itself.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use lentilhitch_policy::{
    rollout::{Order, Plan, Stage},
    send_queue::Urgency,
};
use lentilhitch_types::LogPosition;

use crate::{
    exchange,
    gossip::Datagram,
    node::Node,
    platform::{CallError, Platform, ReadResult, Record, Topic},
    rollouts::{RolloutMessage, Rollouts, StoreCopy},
};

/// Time for which a read of the orders waits for a new record. It limits the age of a confirmation.
const ORDERS_WAIT_MS: u64 = 1_000;
/// Time for which a read of the plans waits for a new record, while a rollout is in progress and otherwise.
const PLANS_WAIT_MS: u64 = 1_000;
const IDLE_PLANS_WAIT_MS: u64 = 5_000;
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval at which a node that need not read the store checks whether it must.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between digests of the store reader.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Age of the last confirmation from which on a node reads the store itself: two digests may be lost.
const CONFIRMATION_AGE_MAX_MS: u64 = 3_500;
/// Allowance for the delay of a digest on its way.
const DELAY_ALLOWANCE_MS: u64 = 300;
/// Interval between queries to peers.
const QUERY_INTERVAL_MS: u64 = 500;

/// Orders and plans that a node sends to another one on request.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct StoreCopyMessage {
    #[serde(rename = "c")]
    copy: StoreCopy,
    /// Time since the sender or its store reader has read the store.
    #[serde(rename = "a")]
    age_ms: u64,
}

/// Follows the orders and plans until the process exits.
pub(super) async fn follow_store<P: Platform>(node: Rc<Node<P>>) {
    tokio::join!(follow_orders(&node), follow_plans(&node), query_peers(&node));
}

async fn follow_orders<P: Platform>(node: &Rc<Node<P>>) {
    let Some(rollouts) = &node.rollouts else { return };
    let mut next: Option<LogPosition> = None;
    loop {
        if !node.must_read_rollouts(rollouts) {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let sent_ms = node.now_ms();
        let res = read(node, Topic::RolloutOrders, &mut next, ORDERS_WAIT_MS).await;
        node.metrics.record_store_call("rollout-orders", res.is_ok());
        match res {
            Ok(Some(update)) => node.on_orders_read(rollouts, &update, sent_ms),
            Ok(None) => {}
            Err(err) => {
                log::debug!("failed to read the orders of rollouts: {err}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn follow_plans<P: Platform>(node: &Rc<Node<P>>) {
    let Some(rollouts) = &node.rollouts else { return };
    let mut next: Option<LogPosition> = None;
    loop {
        if !node.must_read_rollouts(rollouts) {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let is_active = rollouts.copy.borrow().is_active();
        let wait_ms = if is_active { PLANS_WAIT_MS } else { IDLE_PLANS_WAIT_MS };
        let res = read(node, Topic::RolloutPlans, &mut next, wait_ms).await;
        node.metrics.record_store_call("rollout-plans", res.is_ok());
        match res {
            Ok(Some(update)) => node.on_plans_read(rollouts, &update),
            Ok(None) => {}
            Err(err) => {
                log::debug!("failed to read the plans of rollouts: {err}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Records of a topic that were read.
struct Update {
    records: Vec<Record>,
    end: LogPosition,
    /// Whether `records` has the newest record of every key, instead of only the records since the last read.
    is_complete: bool,
}

/// Reads what is new in a topic since `next`, and everything if there is no `next`. Returns `None` if everything has to be
/// read again.
async fn read<P: Platform>(
    node: &Node<P>,
    topic: Topic,
    next: &mut Option<LogPosition>,
    wait_ms: u64,
) -> Result<Option<Update>, CallError> {
    let Some(from) = *next else {
        let listing = node.list(topic).await?;
        *next = Some(listing.next);
        let (records, end) = (listing.records, listing.next);
        return Ok(Some(Update { records, end, is_complete: true }));
    };
    match node.read(topic, from, wait_ms).await? {
        ReadResult::Expired { .. } => {
            *next = None;
            Ok(None)
        }
        ReadResult::Records { records, next: end } => {
            *next = Some(end);
            Ok(Some(Update { records, end, is_complete: false }))
        }
    }
}

/// Sends the digest of the orders and plans to the other nodes of the zone while this node is its store reader.
pub(super) async fn inform_zone<P: Platform>(node: Rc<Node<P>>) {
    let Some(rollouts) = &node.rollouts else { return };
    loop {
        sleep(DIGEST_INTERVAL).await;
        if node.is_store_reader() {
            node.send_digest(rollouts);
        }
    }
}

/// Fetches the orders and plans from a peer when the store reader has others, or when this node knows of none yet.
async fn query_peers<P: Platform>(node: &Rc<Node<P>>) {
    let Some(rollouts) = &node.rollouts else { return };
    let Some(client) = exchange::client() else { return };
    loop {
        sleep(Duration::from_millis(QUERY_INTERVAL_MS)).await;
        let Some(address) = node.rollouts_peer(rollouts) else { continue };
        match exchange::fetch_rollouts(&client, address).await {
            Ok(message) => {
                rollouts.missed_digest.set(None);
                node.on_copy_fetched(rollouts, message);
            }
            Err(err) => {
                log::info!(peer:% = address, error:% = err; "a peer does not know the rollouts");
            }
        }
    }
}

/// Decodes a plan record.
pub(super) fn decode_plan(record: &Record) -> Option<Plan> {
    let value = record.value.as_ref()?;
    match ciborium::from_reader(&value[..]) {
        Ok(it) => Some(it),
        Err(err) => {
            log::warn!(key = record.key.as_str(), error:% = err; "failed to decode the plan of a rollout");
            None
        }
    }
}

impl StoreCopy {
    /// Returns whether there is an order without a verdict.
    fn is_active(&self) -> bool {
        let has_plan = |it: &Order| {
            self.plans.get(&it.service).is_some_and(|plan| plan.order.position == it.position)
        };
        self.orders.values().any(|it| !has_plan(it))
            || self.plans.values().any(|it| it.verdict.is_none())
    }

    /// Returns a hash of what decides which versions may run requests.
    fn digest(&self) -> u64 {
        use std::fmt::Write as _;
        let mut text = String::new();
        for it in self.orders.values() {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{}\0{}\0{}", it.service, it.to, it.position.number());
        }
        for it in self.plans.values() {
            let (service, tag, stage) = (&it.order.service, it.tag.0, stage_number(it.stage));
            let _ = writeln!(text, "{service}\0{tag}\0{stage}");
        }
        xxh3_64(text.as_bytes())
    }
}

fn stage_number(stage: Stage) -> u8 {
    match stage {
        Stage::Waiting => 0,
        Stage::Probing => 1,
        Stage::Loading => 2,
        Stage::Shifting => 3,
        Stage::Completed => 4,
        Stage::RolledBack => 5,
    }
}

impl Rollouts {
    /// Handles that this node has all orders and plans as of a time of its own.
    fn confirm(&self, as_of_ms: u64) {
        let mut copy = self.copy.borrow_mut();
        copy.as_of_ms = copy.as_of_ms.max(Some(as_of_ms));
        self.view.borrow_mut().on_orders_confirmed(as_of_ms);
    }

    /// Handles a read of the store by this node itself. Orders alone do not tell which versions are in force, so the plans
    /// must have been read in the same era.
    fn confirm_reads(&self) {
        let read_ms = {
            let copy = self.copy.borrow();
            let has_plans = copy.plans_era == Some(copy.orders_end.era());
            copy.orders_read_ms.filter(|_| has_plans)
        };
        if let Some(it) = read_ms {
            self.confirm(it);
        }
    }
}

impl<P: Platform> Node<P> {
    /// Returns whether this node reads the orders and plans from the store itself.
    fn must_read_rollouts(&self, rollouts: &Rollouts) -> bool {
        let now_ms = self.now_ms();
        let as_of_ms = rollouts.copy.borrow().as_of_ms;
        let is_confirmed = as_of_ms.is_some_and(|it| now_ms <= it + CONFIRMATION_AGE_MAX_MS);
        !is_confirmed || rollouts.holds_lease(now_ms) || self.is_store_reader()
    }

    fn on_orders_read(&self, rollouts: &Rollouts, update: &Update, sent_ms: u64) {
        let mut changed = Vec::new();
        {
            let mut copy = rollouts.copy.borrow_mut();
            let previous = copy.orders.clone();
            if update.is_complete {
                copy.orders.clear();
            }
            for record in &update.records {
                let Some(service) = P::rollout_service(record) else { continue };
                if record.value.is_none() {
                    copy.orders.remove(&service);
                    continue;
                }
                match P::decode_rollout(record) {
                    Ok(it) => {
                        let order = Order {
                            service: it.service,
                            to: it.to,
                            duration_ms: it.duration_ms,
                            position: record.position,
                        };
                        if previous.get(&service) != Some(&order) {
                            log::info!(service = service.as_str(), to = order.to.as_str(), duration_ms = order.duration_ms, position:% = order.position; "order of a rollout read");
                            changed.push(order.clone());
                        }
                        copy.orders.insert(service, order);
                    }
                    Err(err) => {
                        log::warn!(key = record.key.as_str(), error = err.as_str(); "ignoring order of a rollout that cannot be decoded");
                        if let Some(it) = previous.get(&service) {
                            copy.orders.insert(service, it.clone());
                        }
                    }
                }
            }
            copy.orders_end = update.end;
            copy.orders_read_ms = Some(sent_ms);
        }
        self.apply_orders(rollouts);
        rollouts.confirm_reads();
        self.send_news(rollouts, changed, Vec::new());
    }

    fn on_plans_read(&self, rollouts: &Rollouts, update: &Update) {
        let now_ms = self.now_ms();
        let mut changed = Vec::new();
        {
            let mut copy = rollouts.copy.borrow_mut();
            let previous = copy.plans.clone();
            if update.is_complete {
                copy.plans.clear();
            }
            for plan in update.records.iter().filter_map(decode_plan) {
                let service = plan.order.service.clone();
                let is_news = previous.get(&service).is_none_or(|it| {
                    (it.tag, it.stage, it.order.position)
                        != (plan.tag, plan.stage, plan.order.position)
                });
                if is_news {
                    changed.push(plan.clone());
                }
                copy.plans.insert(service, plan);
            }
            copy.plans_era = Some(update.end.era());
        }
        self.apply_plans(rollouts, now_ms);
        rollouts.confirm_reads();
        self.send_news(rollouts, Vec::new(), changed);
    }

    /// Tells the view and the controller of all orders.
    fn apply_orders(&self, rollouts: &Rollouts) {
        let synced_ms = self.synced_ms();
        let (orders, end) = {
            let copy = rollouts.copy.borrow();
            (copy.orders.values().cloned().collect::<Vec<_>>(), copy.orders_end)
        };
        rollouts.view.borrow_mut().on_orders(&orders, end);
        rollouts.controller.borrow_mut().on_orders(&orders, end, synced_ms);
        rollouts.control_due.notify_one();
    }

    /// Tells the view of all plans in the store.
    fn apply_plans(&self, rollouts: &Rollouts, now_ms: u64) {
        {
            let copy = rollouts.copy.borrow();
            let mut view = rollouts.view.borrow_mut();
            for (service, plan) in &copy.plans {
                view.on_plan(plan.clone(), now_ms);
                view.on_store_sequence(service, plan.sequence);
            }
            for service in copy.orders.keys().filter(|it| !copy.plans.contains_key(*it)) {
                view.on_store_sequence(service, 0);
            }
        }
        self.apply_targets(rollouts, now_ms);
    }

    /// Tells the view which upstreams there are after it was told of other plans, and so of other targets.
    pub(super) fn apply_targets(&self, rollouts: &Rollouts, now_ms: u64) {
        rollouts.on_upstreams_changed(&self.state.borrow().catalog, now_ms);
    }

    /// Sends changed orders and plans to the other nodes of the zone.
    fn send_news(&self, rollouts: &Rollouts, orders: Vec<Order>, plans: Vec<Plan>) {
        if orders.is_empty() && plans.is_empty() {
            return;
        }
        let addresses = self.state.borrow().gossip.zone_addresses();
        let news = RolloutMessage::News { orders, plans };
        self.send_to(&Datagram::Rollouts(news), &addresses, Urgency::Urgent);
        self.send_digest(rollouts);
    }

    fn send_digest(&self, rollouts: &Rollouts) {
        let now_ms = self.now_ms();
        let (digest, as_of_ms) = {
            let copy = rollouts.copy.borrow();
            (copy.digest(), copy.as_of_ms)
        };
        let Some(as_of_ms) = as_of_ms else { return };
        let message = RolloutMessage::Digest { digest, age_ms: now_ms.saturating_sub(as_of_ms) };
        let addresses = self.state.borrow().gossip.zone_addresses();
        self.send_to(&Datagram::Rollouts(message), &addresses, Urgency::Urgent);
    }

    /// Handles a message of another node on rollouts. Ignored in deployments without rollouts.
    pub(crate) fn on_rollout_message(&self, message: RolloutMessage, from: SocketAddr) {
        let Some(rollouts) = &self.rollouts else { return };
        let now_ms = self.now_ms();
        match message {
            RolloutMessage::Digest { digest, age_ms } => {
                if rollouts.copy.borrow().digest() != digest {
                    rollouts.missed_digest.set(Some(from));
                } else if rollouts.copy.borrow().as_of_ms.is_some() {
                    rollouts.missed_digest.set(None);
                    let as_of_ms = now_ms.saturating_sub(age_ms + DELAY_ALLOWANCE_MS);
                    rollouts.confirm(as_of_ms);
                }
            }
            RolloutMessage::News { orders, plans } => {
                if let Some(era) = orders.iter().map(|it| it.position.era()).max() {
                    self.learn_store_era(era);
                }
                {
                    let mut copy = rollouts.copy.borrow_mut();
                    for it in orders {
                        let known = copy.orders.get(&it.service);
                        if known.is_none_or(|known| known.position < it.position) {
                            copy.orders_end = copy.orders_end.max(it.position.next());
                            copy.orders.insert(it.service.clone(), it);
                        }
                    }
                    for it in plans {
                        let known = copy.plans.get(&it.order.service);
                        if known.is_none_or(|known| known.sequence < it.sequence) {
                            copy.plans.insert(it.order.service.clone(), it);
                        }
                    }
                }
                self.apply_orders(rollouts);
                self.apply_plans(rollouts, now_ms);
            }
            RolloutMessage::Grant(grant) => self.on_grant(rollouts, *grant),
            it @ (RolloutMessage::Evidence(_) | RolloutMessage::LostPlan(_)) => {
                self.on_message_to_holder(rollouts, it, Some(from));
            }
        }
    }

    /// Returns the exchange address of the node from which this node has to fetch the orders and plans, if it has to.
    fn rollouts_peer(&self, rollouts: &Rollouts) -> Option<SocketAddr> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(reader) = rollouts.missed_digest.get() {
            let mut nodes = state.gossip.node_addresses();
            return nodes.find(|it| it.gossip == reader).map(|it| it.exchange);
        }
        if rollouts.copy.borrow().as_of_ms.is_some() {
            return None;
        }
        state.gossip.node_addresses().map(|it| it.exchange).choose(&mut state.rng)
    }

    /// Returns the orders and plans for another node, if this node knows them as of a recent time.
    pub(crate) fn rollouts_body(&self) -> anyhow::Result<Option<Bytes>> {
        let Some(rollouts) = &self.rollouts else { return Ok(None) };
        let copy = rollouts.copy.borrow().clone();
        let Some(as_of_ms) = copy.as_of_ms else { return Ok(None) };
        let age_ms = self.now_ms().saturating_sub(as_of_ms);
        Ok(Some(exchange::encode(&StoreCopyMessage { copy, age_ms })?))
    }

    /// Handles the orders and plans of another node, which replace those of this node if they are as recent.
    fn on_copy_fetched(&self, rollouts: &Rollouts, message: StoreCopyMessage) {
        let now_ms = self.now_ms();
        let as_of_ms = now_ms.saturating_sub(message.age_ms + DELAY_ALLOWANCE_MS);
        self.learn_store_era(message.copy.orders_end.era());
        {
            let mut copy = rollouts.copy.borrow_mut();
            if message.copy.orders_end < copy.orders_end {
                return;
            }
            copy.orders = message.copy.orders;
            copy.orders_end = message.copy.orders_end;
            copy.plans = message.copy.plans;
        }
        self.apply_orders(rollouts);
        self.apply_plans(rollouts, now_ms);
        rollouts.confirm(as_of_ms);
    }
}

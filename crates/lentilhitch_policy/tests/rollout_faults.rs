//! Rollouts under any sequence of orders, deaths, partitions, freezes, late and lost messages, new holders, lost responses
//! to writes, and restores of the store from a copy: the budget holds, and each order has one verdict.

use proptest::{prelude::*, test_runner::RngSeed};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rustc_hash::FxHashMap;

use lentilhitch_policy::{
    rollout::{
        Controller, EVIDENCE_BYTES_MAX, Evidence, Grant, NodeRun, NodeView, Order, OrderTag, Plan,
        RequestClass, ResponseOutcome, RunKind, Settings, Side, Stage, Verdict, budget,
    },
    traffic::{EntryState, UpstreamEntry},
};
use lentilhitch_types::{LogPosition, ServiceName, SoftwareVersion, StoreEra};

const N_NODES: usize = 5;
const STEP_MS: u64 = 50;
const N_VERSIONS: usize = 4;

#[derive(Clone, Debug)]
enum Event {
    Order {
        to: usize,
        is_bad: bool,
        duration_s: u64,
    },
    Withdraw,
    Kill(usize),
    KillAll,
    /// Cuts a node off from the store and from other nodes, or ends this.
    TogglePartition(usize),
    ToggleFreeze(usize),
    NewHolder(usize),
    /// The response to the next append is lost; the append is executed or not.
    LoseResponse {
        is_executed: bool,
    },
    Delay {
        max_ms: u64,
        is_lossy: bool,
    },
    /// The store returns from a copy of this age.
    Restore {
        age_steps: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let node = 0..N_NODES;
    prop_oneof![
        3 => (1..N_VERSIONS, any::<bool>(), 8_u64..30)
            .prop_map(|(to, is_bad, duration_s)| Event::Order { to, is_bad, duration_s }),
        1 => Just(Event::Withdraw),
        2 => node.clone().prop_map(Event::Kill),
        1 => Just(Event::KillAll),
        2 => node.clone().prop_map(Event::TogglePartition),
        2 => node.clone().prop_map(Event::ToggleFreeze),
        3 => node.prop_map(Event::NewHolder),
        3 => any::<bool>().prop_map(|is_executed| Event::LoseResponse { is_executed }),
        2 => (0_u64..2_000, any::<bool>())
            .prop_map(|(max_ms, is_lossy)| Event::Delay { max_ms, is_lossy }),
        2 => (1_usize..80).prop_map(|age_steps| Event::Restore { age_steps }),
    ]
}

#[derive(Clone, Default)]
struct Store {
    era: u32,
    n_plans: u64,
    n_orders: u64,
    plan: Option<Plan>,
    order: Option<Order>,
}

impl Store {
    fn end(&self) -> LogPosition {
        LogPosition::new(StoreEra(self.era), self.n_plans)
    }

    fn orders_end(&self) -> LogPosition {
        LogPosition::new(StoreEra(self.era), self.n_orders)
    }

    fn write_order(&mut self, mut order: Order) {
        order.position = self.orders_end();
        self.n_orders += 1;
        self.order = Some(order);
    }
}

struct Node {
    view: NodeView,
    controller: Controller,
    run: NodeRun,
    /// Offset of the node's monotonic clock.
    offset_ms: u64,
    known_end: LogPosition,
    is_partitioned: bool,
    is_frozen: bool,
    sent: FxHashMap<OrderTag, u64>,
}

enum Message {
    Evidence(Box<Evidence>),
    Grant(Box<Grant>),
    Offer(Box<Plan>),
}

struct World {
    rng: SmallRng,
    now_ms: u64,
    store: Store,
    copies: Vec<Store>,
    /// Order that is to be written again after a restore, and when.
    rewrite: Option<(u64, Option<Order>)>,
    nodes: Vec<Node>,
    holder: usize,
    messages: Vec<(u64, usize, Message)>,
    delay_ms: u64,
    is_lossy: bool,
    lost_response: Option<bool>,
    bad: [bool; N_VERSIONS],
    arrived: FxHashMap<OrderTag, u64>,
    sent: FxHashMap<OrderTag, u64>,
    reserved: FxHashMap<OrderTag, u64>,
    shifted: Vec<OrderTag>,
    verdicts: FxHashMap<OrderTag, Verdict>,
    last_incarnation: u64,
}

fn service() -> ServiceName {
    "chat".parse().expect("name")
}

fn version(idx: usize) -> SoftwareVersion {
    format!("v{idx}").into()
}

fn upstream(version_idx: usize, idx: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("u{version_idx}-{idx}").parse().expect("name"),
        service: service(),
        address: ([127, 0, 0, 1], 1_000).into(),
        zone: "z1".parse().expect("name"),
        version: version(version_idx),
        state: EntryState::Ready,
        slots: 4,
        started_ms: 0,
        is_spot: false,
        leaves_in_ms: None,
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut this = Self {
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 10_000,
            store: Store { n_orders: 1, ..Store::default() },
            copies: Vec::new(),
            rewrite: None,
            nodes: Vec::new(),
            holder: 0,
            messages: Vec::new(),
            delay_ms: 20,
            is_lossy: false,
            lost_response: None,
            bad: [false; N_VERSIONS],
            arrived: FxHashMap::default(),
            sent: FxHashMap::default(),
            reserved: FxHashMap::default(),
            shifted: Vec::new(),
            verdicts: FxHashMap::default(),
            last_incarnation: 0,
        };
        this.nodes = (0..N_NODES).map(|it| this.new_node(it)).collect();
        this.nodes[0].controller.on_lease(true, this.now_ms);
        this
    }

    fn new_node(&mut self, idx: usize) -> Node {
        self.last_incarnation += 1;
        let run = NodeRun { node: idx as u64, incarnation: self.last_incarnation };
        let offset_ms = self.last_incarnation * 7_777;
        let settings = Settings::default();
        let mut controller = Controller::new(settings);
        controller.on_routes(&service(), 4_000);
        Node {
            view: NodeView::new(settings, run, false, self.now_ms + offset_ms),
            controller,
            run,
            offset_ms,
            known_end: LogPosition::default(),
            is_partitioned: false,
            is_frozen: false,
            sent: FxHashMap::default(),
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Order { to, is_bad, duration_s } => {
                self.bad[to] = is_bad;
                let order = Order {
                    service: service(),
                    to: version(to),
                    duration_ms: duration_s * 1_000,
                    position: LogPosition::default(),
                };
                if self.rewrite.is_none() {
                    self.store.write_order(order);
                }
            }
            Event::Withdraw => self.store.order = None,
            Event::Kill(idx) => self.kill(idx),
            Event::KillAll => (0..N_NODES).for_each(|it| self.kill(it)),
            Event::TogglePartition(idx) => self.nodes[idx].is_partitioned ^= true,
            Event::ToggleFreeze(idx) => self.nodes[idx].is_frozen ^= true,
            Event::NewHolder(idx) => self.set_holder(idx),
            Event::LoseResponse { is_executed } => self.lost_response = Some(is_executed),
            Event::Delay { max_ms, is_lossy } => {
                self.delay_ms = max_ms;
                self.is_lossy = is_lossy;
            }
            Event::Restore { age_steps } => self.restore(age_steps),
        }
    }

    fn kill(&mut self, idx: usize) {
        self.nodes[idx] = self.new_node(idx);
        if self.holder == idx {
            self.set_holder((idx + 1) % N_NODES);
        }
    }

    fn set_holder(&mut self, idx: usize) {
        let now_ms = self.now_ms;
        self.nodes[self.holder].controller.on_lease(false, now_ms);
        self.holder = idx;
        self.nodes[idx].controller.on_lease(true, now_ms);
    }

    fn restore(&mut self, age_steps: usize) {
        let Some(idx) = self.copies.len().checked_sub(age_steps) else { return };
        let era = self.store.era + 1;
        let lost = match self.rewrite.take() {
            Some((_, lost)) => lost,
            None => self.store.order.clone(),
        };
        self.store = self.copies[idx].clone();
        self.store.era = era;
        if let Some(order) = &mut self.store.order {
            order.position = LogPosition::new(StoreEra(era), order.position.offset());
        }
        self.copies.clear();
        self.rewrite = Some((self.now_ms + 700, lost));
    }

    fn send(&mut self, to: usize, message: Message) {
        if self.is_lossy && self.rng.random_bool(0.3) {
            return;
        }
        let delay_ms = self.rng.random_range(0..=self.delay_ms);
        self.messages.push((self.now_ms + delay_ms, to, message));
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        if let Some((_, order)) = self.rewrite.take_if(|it| it.0 <= self.now_ms) {
            let is_same = match (&order, &self.store.order) {
                (Some(lost), Some(kept)) => lost.is_equal_request(kept),
                (None, None) => true,
                _ => false,
            };
            if !is_same {
                match order {
                    Some(order) => self.store.write_order(order),
                    None => self.store.order = None,
                }
            }
        }
        self.read_store();
        self.write_plan();
        self.deliver();
        for idx in 0..N_NODES {
            if !self.nodes[idx].is_frozen {
                self.report(idx);
                self.run_requests(idx);
            }
        }
        self.copies.push(self.store.clone());
        self.check();
    }

    fn read_store(&mut self) {
        let runs: Vec<_> = self.nodes.iter().map(|it| it.run).collect();
        let upstreams: Vec<_> = (0..N_VERSIONS)
            .flat_map(|version| (0..3).map(move |idx| upstream(version, idx)))
            .filter(|it| self.is_present(&it.version))
            .collect();
        let counts: Vec<_> = (0..N_VERSIONS)
            .map(version)
            .filter(|it| self.is_present(it))
            .map(|it| (it, 3))
            .collect();
        let Self { nodes, store, now_ms, .. } = self;
        for node in nodes.iter_mut().filter(|it| !it.is_frozen) {
            node.view.on_upstreams(upstreams.iter(), *now_ms + node.offset_ms);
            node.controller.on_upstreams(&service(), &counts, *now_ms);
            node.controller.on_nodes(&runs, *now_ms);
            if node.is_partitioned {
                continue;
            }
            let orders = store.order.as_slice();
            node.view.on_orders(orders, store.orders_end());
            node.controller.on_orders(orders, store.orders_end(), *now_ms);
            node.controller.on_plan(&service(), store.plan.clone(), store.end());
            node.known_end = store.end();
            node.view
                .on_store_sequence(&service(), store.plan.as_ref().map_or(0, |it| it.sequence));
            if let Some(plan) = &store.plan {
                node.view.on_plan(plan.clone(), *now_ms + node.offset_ms);
            }
            node.view.on_orders_confirmed(*now_ms + node.offset_ms);
        }
    }

    /// Versions are started when they are ordered, and stay.
    fn is_present(&self, it: &SoftwareVersion) -> bool {
        let is_planned = self.store.plan.as_ref().is_some_and(|plan| plan.order.to == *it);
        *it == version(0) || is_planned
    }

    fn write_plan(&mut self) {
        let node = &mut self.nodes[self.holder];
        if node.is_frozen || node.is_partitioned {
            return;
        }
        let Some(plan) = node.controller.next_write(&service(), self.now_ms) else { return };
        let lost = self.lost_response.take();
        let is_executed = lost != Some(false) && node.known_end == self.store.end();
        if is_executed {
            self.store.plan = Some(plan.clone());
            self.store.n_plans += 1;
        }
        if is_executed && lost.is_none() {
            node.controller.on_written(&service(), plan, self.now_ms);
        } else {
            node.controller.on_write_failed(&service());
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|it| it.0 <= now_ms);
        self.messages = later;
        for (_, to, message) in due {
            let node = &mut self.nodes[to];
            if node.is_partitioned {
                continue;
            }
            if node.is_frozen {
                self.messages.push((now_ms, to, message));
                continue;
            }
            match message {
                Message::Offer(plan) => node.controller.on_offered_plan(*plan),
                Message::Grant(grant) => {
                    let sent_ms = grant.answers_ms;
                    node.view.on_grant(*grant, sent_ms, now_ms + node.offset_ms);
                }
                Message::Evidence(evidence) => {
                    node.controller.on_evidence(&evidence, now_ms);
                    if let Some(grant) = node.controller.grant(evidence.from, &service(), now_ms) {
                        let to = evidence.from.node as usize;
                        self.send(to, Message::Grant(Box::new(grant)));
                    }
                }
            }
        }
    }

    fn report(&mut self, idx: usize) {
        let holder = self.holder;
        let node = &mut self.nodes[idx];
        let evidence = node.view.evidence(N_NODES, self.now_ms + node.offset_ms);
        let offers: Vec<_> = node.view.offered_plans().into_iter().cloned().collect();
        if node.is_partitioned {
            return;
        }
        for it in evidence {
            self.send(holder, Message::Evidence(Box::new(it)));
        }
        for it in offers {
            self.send(holder, Message::Offer(Box::new(it)));
        }
    }

    fn run_requests(&mut self, idx: usize) {
        for _ in 0..self.rng.random_range(0..4) {
            let node = &mut self.nodes[idx];
            let now_ms = self.now_ms + node.offset_ms;
            let class = RequestClass::new("chat", 10);
            if let Some(plan) = &self.store.plan {
                *self.arrived.entry(plan.tag).or_default() += 1;
            }
            let side = node.view.draw(&service(), &mut self.rng, now_ms);
            let known = node.view.plans().first().map(|it| (*it).clone());
            let targets = known.as_ref().filter(|it| it.verdict.is_none());
            let target = targets.map(|it| it.order.to.clone());
            let all = (0..N_VERSIONS).flat_map(|it| (0..3).map(move |idx| upstream(it, idx)));
            let is_allowed = |it: &UpstreamEntry| node.view.allowed(&service(), it, side, now_ms);
            let allowed: Vec<_> =
                all.filter(|it| self.store.plan.is_some() && is_allowed(it)).collect();
            let is_target = |it: &UpstreamEntry| target.as_ref() == Some(&it.version);
            let chosen = allowed.iter().find(|it| side == Side::Target && is_target(it));
            let Some(chosen) = chosen.or(allowed.first()) else { continue };
            if !node.view.record_sent(&service(), class, RunKind::New, chosen, now_ms) {
                continue;
            }
            if let (true, Some(plan)) = (is_target(chosen), known) {
                *self.sent.entry(plan.tag).or_default() += 1;
                *node.sent.entry(plan.tag).or_default() += 1;
            }
            let version_idx = (0..N_VERSIONS).find(|it| version(*it) == chosen.version);
            let is_bad = version_idx.is_some_and(|it| self.bad[it]) && self.rng.random_bool(0.5);
            let outcome = if is_bad { ResponseOutcome::Failed } else { ResponseOutcome::Succeeded };
            node.view.record_outcome(&service(), class, chosen, outcome, Some(20), 0, now_ms);
        }
    }

    fn check(&mut self) {
        let Some(plan) = &self.store.plan else { return };
        let reserved = self.reserved.entry(plan.tag).or_default();
        *reserved = plan.reserved.max(*reserved);
        if matches!(plan.stage, Stage::Shifting | Stage::Completed) {
            self.shifted.push(plan.tag);
        }
        if !self.shifted.contains(&plan.tag) {
            let sent = self.sent.get(&plan.tag).copied().unwrap_or(0);
            assert!(sent <= *reserved, "{sent} sent of {reserved} reserved: {plan:?}");
            let arrived = self.arrived.get(&plan.tag).copied().unwrap_or(0);
            let bound = budget::bound(&Settings::default(), arrived);
            assert!(*reserved <= bound, "{reserved} reserved, {bound} permitted: {plan:?}");
        }
        // A verdict counts once operators see it.
        let controller = &self.nodes[self.holder].controller;
        let is_shown = controller.status(&service()).is_some_and(|it| it.0 == plan.state());
        if let (Some(verdict), true) = (plan.verdict, is_shown) {
            let first = *self.verdicts.entry(plan.tag).or_insert(verdict);
            assert_eq!(first.is_completed, verdict.is_completed, "reversed: {plan:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against exposure beyond the reservation, and against a second verdict on one order.
    #[test]
    fn the_budget_holds_and_verdicts_are_final(
        seed in any::<u64>(),
        events in prop::collection::vec((event(), 1_usize..120), 1..30),
    ) {
        let mut world = World::new(seed);
        for _ in 0..40 {
            world.step();
        }
        for (event, n_steps) in events {
            world.apply(&event);
            for _ in 0..n_steps {
                world.step();
            }
        }
    }
}

/// Guards against evidence that does not fit into a datagram.
#[test]
fn evidence_of_many_routes_and_groups_fits_into_a_datagram() {
    let mut world = World::new(1);
    world.apply(&Event::Order { to: 1, is_bad: false, duration_s: 600 });
    (0..200).for_each(|_| world.step());
    let node = &mut world.nodes[1];
    let now_ms = world.now_ms + node.offset_ms;
    for idx in 0..20_000_usize {
        let class = RequestClass::new(&format!("route {}", idx % 20), 1 << (idx % 9));
        let upstream = upstream(usize::from(idx % 9 == 0), idx % 40);
        if node.view.record_sent(&service(), class, RunKind::New, &upstream, now_ms) {
            let latency_ms = Some(100_000);
            let outcome = ResponseOutcome::Succeeded;
            node.view.record_outcome(&service(), class, &upstream, outcome, latency_ms, 0, now_ms);
        }
    }
    let evidence = node.view.evidence(N_NODES, now_ms + 1_000);
    let mut encoded = Vec::new();
    ciborium::into_writer(&evidence[0], &mut encoded).expect("encodable");
    assert!(encoded.len() <= EVIDENCE_BYTES_MAX, "{} bytes", encoded.len());
}

/// Guards against a simulation above in which nothing happens: without faults, a good version is completed and a bad one
/// is rolled back, both within the time limit.
#[test]
fn without_faults_each_order_gets_its_verdict_in_time() {
    for is_bad in [false, true] {
        let mut world = World::new(3);
        (0..40).for_each(|_| world.step());
        world.apply(&Event::Order { to: 1, is_bad, duration_s: 20 });
        (0..20 * 1_000 / STEP_MS).for_each(|_| world.step());
        let plan = world.store.plan.as_ref().expect("plan");
        assert_eq!(plan.verdict.map(|it| it.is_completed), Some(!is_bad), "{plan:?}");
    }
}

/// Guards against streams of the earlier version that no node lets go on at the last stage of a rollout, although its
/// upstreams serve until the verdict, and against a verdict that interrupts them.
#[test]
fn stream_may_go_on_at_the_base_until_the_verdict() {
    let mut world = World::new(3);
    (0..40).for_each(|_| world.step());
    world.apply(&Event::Order { to: 1, is_bad: false, duration_s: 20 });
    let base = upstream(0, 0);
    let class = RequestClass::new("chat", 10);
    let gets_new = |world: &World, idx: usize| {
        let node = &world.nodes[idx];
        node.view.allowed(&service(), &base, Side::Base, world.now_ms + node.offset_ms)
    };
    let verdict = |world: &World| world.store.plan.as_ref().and_then(|it| it.verdict);
    while gets_new(&world, 1) {
        world.step();
    }
    assert_eq!(verdict(&world), None);
    let node = &mut world.nodes[1];
    let now_ms = world.now_ms + node.offset_ms;
    assert!(!node.view.record_sent(&service(), class, RunKind::New, &base, now_ms));
    assert!(node.view.record_sent(&service(), class, RunKind::Continued, &base, now_ms));
    (0..2_000 / STEP_MS).for_each(|_| world.step());
    assert_eq!(verdict(&world), None, "the stream is still running");
    let node = &mut world.nodes[1];
    let now_ms = world.now_ms + node.offset_ms;
    assert!(node.view.may_continue(&service(), &base, now_ms));
    let outcome = ResponseOutcome::Succeeded;
    node.view.record_outcome(&service(), class, &base, outcome, Some(20), 2_000, now_ms);
    (0..2_000 / STEP_MS).for_each(|_| world.step());
    assert_eq!(verdict(&world).map(|it| it.is_completed), Some(true));
    let node = &world.nodes[1];
    let now_ms = world.now_ms + node.offset_ms;
    assert!(!node.view.may_continue(&service(), &base, now_ms), "its upstreams are stopped");
}

//! The exchange between nodes under a seeded schedule of delays, losses, cuts, freezes and restarts.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{Ipv4Addr, SocketAddr},
};

use lentilhitch_policy::{
    config_announcements::ConfigAnnouncements,
    gossip::{
        Gossip, Output, Role, Settings, Update,
        message::{Evidence, Loads, LocalState, Message, NodeAddress, StoreCopy, ZoneRates},
        relay::Relay,
    },
    peer_queries::{LocalCopies, PeerQueries, Peers, Query, QueryResult, ZoneCopies},
    placement::InProgress,
    response_budget::{ResponseBudget, ResponseKind},
    shared_rate::{self, ClusterView, PeerReport, SharedRate},
    suspects::{
        QuarantinedRequest, Suspects,
        segments::{SegmentReport, SegmentSuspects},
    },
    traffic::{RateUnit, TeamRate},
};
use lentilhitch_types::{Fingerprint, SegmentId};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rustc_hash::FxHashMap;

/// Sizes of today's deployments and of the target, as numbers of nodes and zones.
const SIZES: [(usize, usize); 4] = [(8, 4), (74, 4), (295, 6), (340, 31)];
/// Number of upstreams that have requests of every node.
const N_UPSTREAMS: usize = 40;
const TEAM: u32 = 7;
const STEP_MS: u64 = 10;
/// Interval at which a node updates its evidence of crashes.
const UPDATE_INTERVAL_MS: u64 = 150;
/// Interval at which a node checks whether it has to query a peer, and time limit of a query.
const QUERY_CHECK_INTERVAL_MS: u64 = 250;
const QUERY_TIMEOUT_MS: u64 = 700;
/// Link of the smallest machines: 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// Size of a configuration.
const CONFIG_BYTES: usize = 20_000;
/// Time at which simulations start, since 0 means never.
const START_MS: u64 = 1_000_000;
/// Time after the start at which every size has exchanged its state.
const SETTLED_MS: u64 = 8_000;

/// A node of a simulation.
struct Node {
    gossip: Gossip,
    address: NodeAddress,
    incarnation: u64,
    next_tick_ms: u64,
    loads: Loads,
    /// Requests in progress of the other nodes, as last applied.
    others: FxHashMap<u32, InProgress>,
    /// Evidence to report, and evidence that was received.
    evidence: Evidence,
    received_evidence: Evidence,
    segments: SegmentSuspects,
    segment_reports: Relay<SegmentReport>,
    suspects: Suspects,
    quarantine_reports: Relay<QuarantinedRequest>,
    rate: SharedRate,
    rates_due: bool,
    next_rates_ms: u64,
    frozen_until_ms: u64,
    is_dead: bool,
    config_version: u64,
    announcements: ConfigAnnouncements,
    /// Whether the store serves the node. Otherwise, it queries other nodes for configurations.
    has_store: bool,
    queries: PeerQueries,
    next_query_ms: u64,
    response_budget: ResponseBudget,
    bytes_sent: usize,
    bytes_received: usize,
}

/// Response to a query that is being sent. The responses of a node share its link.
struct Response {
    from: usize,
    to: usize,
    query_ms: u64,
    config_version: u64,
    remaining_bytes: f64,
}

/// A message on its way: arrival, sequence number, receiver and sender.
type InTransit = (u64, u64, usize, usize);

struct Simulation {
    nodes: Vec<Node>,
    n_zones: usize,
    rng: SmallRng,
    now_ms: u64,
    n_sent: u64,
    arrivals: BinaryHeap<Reverse<InTransit>>,
    messages: FxHashMap<u64, Message>,
    responses: Vec<Response>,
    loss: f64,
    /// Nodes that are cut off from all others, by position.
    is_cut: fn(usize, usize, &Simulation) -> bool,
    /// Whether message sizes are counted.
    counts_bytes: bool,
    rate: TeamRate,
}

fn name_hash(idx: usize) -> u64 {
    // Spreads the nodes over the order of the hashes.
    (idx as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

fn address(idx: usize, n_zones: usize) -> NodeAddress {
    let ip = Ipv4Addr::from(0x7F00_0000 + idx as u32 + 1);
    let socket_address = SocketAddr::from((ip, 7_600));
    NodeAddress {
        node: name_hash(idx),
        zone: (idx % n_zones) as u32 + 1,
        gossip: socket_address,
        exchange: socket_address,
    }
}

const RATE: TeamRate = TeamRate {
    per_s: 1_000_000.0,
    burst: 1_000_000.0,
    unit: RateUnit::Tokens { default_tokens: 200 },
};

impl Simulation {
    /// Starts all nodes, each of which knows all others.
    fn start((n_nodes, n_zones): (usize, usize), seed: u64) -> Self {
        let mut simulation = Self {
            nodes: Vec::new(),
            n_zones,
            rng: SmallRng::seed_from_u64(seed),
            now_ms: START_MS,
            n_sent: 0,
            arrivals: BinaryHeap::new(),
            messages: FxHashMap::default(),
            responses: Vec::new(),
            loss: 0.01,
            is_cut: |_, _, _| false,
            counts_bytes: false,
            rate: RATE,
        };
        for idx in 0..n_nodes {
            let node = simulation.new_node(idx, n_nodes, 1);
            simulation.nodes.push(node);
        }
        simulation
    }

    fn new_node(&mut self, idx: usize, n_nodes: usize, incarnation: u64) -> Node {
        let own = address(idx, self.n_zones);
        let mut gossip = Gossip::new(Settings::default(), own, incarnation);
        for other in (0..n_nodes).filter(|it| *it != idx) {
            gossip.on_listed(address(other, self.n_zones), true, self.now_ms);
        }
        let load = InProgress { n_requests: 2, n_waiting: 1, waiting_tokens: 500 };
        let uptime_ms = if incarnation == 1 { 10_000 } else { 0 };
        Node {
            gossip,
            address: own,
            incarnation,
            next_tick_ms: self.now_ms + self.rng.random_range(0..300),
            loads: (0..N_UPSTREAMS as u32).map(|it| (it, load)).collect(),
            others: FxHashMap::default(),
            evidence: Evidence::new(),
            received_evidence: Evidence::new(),
            segments: SegmentSuspects::default(),
            segment_reports: Relay::default(),
            suspects: Suspects::default(),
            quarantine_reports: Relay::default(),
            rate: SharedRate::new(
                shared_rate::Settings::default(),
                self.rate,
                uptime_ms,
                self.now_ms,
            ),
            rates_due: false,
            next_rates_ms: 0,
            frozen_until_ms: 0,
            is_dead: false,
            config_version: 1,
            announcements: ConfigAnnouncements::default(),
            has_store: true,
            queries: PeerQueries::default(),
            next_query_ms: self.now_ms + self.rng.random_range(0..QUERY_CHECK_INTERVAL_MS),
            response_budget: ResponseBudget::new(LINK_BYTES_PER_S, self.now_ms),
            bytes_sent: 0,
            bytes_received: 0,
        }
    }

    fn restart(&mut self, idx: usize) {
        let (n_nodes, incarnation) = (self.nodes.len(), self.nodes[idx].incarnation + 1);
        self.nodes[idx] = self.new_node(idx, n_nodes, incarnation);
    }

    fn run_for(&mut self, duration_ms: u64) {
        self.run_until(self.now_ms + duration_ms, |_| false);
    }

    /// Runs until the condition holds or the time is over. Returns whether the condition holds.
    fn run_until(&mut self, end_ms: u64, is_met: impl Fn(&Self) -> bool) -> bool {
        while self.now_ms < end_ms {
            self.step();
            if is_met(self) {
                return true;
            }
        }
        false
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        while let Some(Reverse((arrival_ms, number, to, from))) = self.arrivals.peek().copied() {
            if self.now_ms < arrival_ms {
                break;
            }
            self.arrivals.pop();
            let Some(message) = self.messages.remove(&number) else { continue };
            self.receive(to, from, message);
        }
        self.send_responses();
        self.query_peers();
        for idx in 0..self.nodes.len() {
            if !self.is_running(idx) {
                continue;
            }
            if self.now_ms.is_multiple_of(UPDATE_INTERVAL_MS) {
                self.nodes[idx].update_segments(self.now_ms);
            }
            if self.nodes[idx].next_tick_ms <= self.now_ms {
                self.tick(idx);
            }
            let node = &self.nodes[idx];
            if node.rates_due && node.next_rates_ms <= self.now_ms {
                self.send_rates(idx);
            }
        }
    }

    fn is_running(&self, idx: usize) -> bool {
        let node = &self.nodes[idx];
        !node.is_dead && node.frozen_until_ms <= self.now_ms
    }

    fn tick(&mut self, idx: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[idx];
        let mut state = LocalState::default();
        if node.gossip.starts_interval() {
            state = node.state(now_ms);
        }
        let output = node.gossip.tick(state, now_ms);
        let has_evidence = node.segment_reports.is_urgent();
        node.next_tick_ms = now_ms + node.gossip.next_tick_ms(has_evidence, now_ms);
        self.handle(idx, output);
    }

    fn send_rates(&mut self, idx: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[idx];
        node.rates_due = false;
        node.next_rates_ms = now_ms + node.gossip.rates_interval_ms();
        let mut output = Output::default();
        if node.rate.needs_urgent_report() {
            let admitted = vec![(TEAM, node.rate.report())];
            output.outgoing = node.gossip.report_rates(admitted);
        }
        let passed_on = node.gossip.send_rates(now_ms);
        output.outgoing.extend(passed_on.outgoing);
        output.updates.extend(passed_on.updates);
        self.handle(idx, output);
    }

    fn receive(&mut self, idx: usize, from: usize, message: Message) {
        let is_cut = self.is_cut;
        if !self.is_running(idx) || is_cut(idx, from, self) {
            return;
        }
        if self.counts_bytes {
            self.nodes[idx].bytes_received += encoded_bytes(&message);
        }
        let now_ms = self.now_ms;
        let output = self.nodes[idx].gossip.on_message(message, now_ms);
        let node = &mut self.nodes[idx];
        node.rates_due |= node.gossip.has_urgent_rates();
        self.handle(idx, output);
    }

    fn handle(&mut self, idx: usize, output: Output) {
        for update in output.updates {
            self.apply(idx, update);
        }
        let mut summary_bytes = 0;
        for it in output.outgoing {
            let SocketAddr::V4(to) = it.to else { continue };
            let to = (to.ip().to_bits() - 0x7F00_0001) as usize;
            if self.counts_bytes {
                let n_bytes = encoded_bytes(&it.message);
                self.nodes[idx].bytes_sent += n_bytes;
                if matches!(it.message, Message::Summary(_)) {
                    summary_bytes = n_bytes.max(summary_bytes);
                }
            }
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let arrival_ms = self.now_ms + self.rng.random_range(1..20);
            self.n_sent += 1;
            self.arrivals.push(Reverse((arrival_ms, self.n_sent, to, idx)));
            self.messages.insert(self.n_sent, it.message);
        }
        for it in output.announcements {
            let SocketAddr::V4(to) = it.to else { continue };
            let to = (to.ip().to_bits() - 0x7F00_0001) as usize;
            self.announce(idx, to, it.config_version);
        }
        if 0 < summary_bytes {
            self.nodes[idx].gossip.on_summary_sent(summary_bytes as u64);
        }
    }

    /// Lets nodes that the store turns away query peers for newer configurations.
    fn query_peers(&mut self) {
        let now_ms = self.now_ms;
        for idx in 0..self.nodes.len() {
            let is_waiting = self.responses.iter().any(|it| it.to == idx);
            let is_due = self.nodes[idx].next_query_ms <= now_ms;
            if self.nodes[idx].has_store || is_waiting || !is_due || !self.is_running(idx) {
                continue;
            }
            self.nodes[idx].next_query_ms = now_ms + QUERY_CHECK_INTERVAL_MS;
            let peers = self.nodes[idx].peers(now_ms);
            let local = self.nodes[idx].copies(&peers);
            let query = self.nodes[idx].queries.next(local, &peers, &mut self.rng, now_ms);
            let Some(Query { peer: SocketAddr::V4(peer), .. }) = query else { continue };
            let from = (peer.ip().to_bits() - 0x7F00_0001) as usize;
            let source = &mut self.nodes[from];
            let config_version = source.config_version;
            let kind = ResponseKind::Urgent;
            let result = if config_version <= local.config_version {
                QueryResult::NotNewer
            } else if source.response_budget.try_take(CONFIG_BYTES, kind, now_ms) {
                let remaining_bytes = CONFIG_BYTES as f64;
                let to = idx;
                self.responses.push(Response {
                    from,
                    to,
                    query_ms: now_ms,
                    config_version,
                    remaining_bytes,
                });
                continue;
            } else {
                QueryResult::Busy
            };
            self.nodes[idx].queries.on_result(peer.into(), result, now_ms);
        }
    }

    /// Sends responses on. One that takes longer than the node waits is broken off.
    fn send_responses(&mut self) {
        let mut n_sending: FxHashMap<usize, usize> = FxHashMap::default();
        for it in &self.responses {
            *n_sending.entry(it.from).or_default() += 1;
        }
        let step_bytes = LINK_BYTES_PER_S * STEP_MS as f64 / 1_000.0;
        for it in &mut self.responses {
            if !self.nodes[it.from].is_dead && self.nodes[it.from].frozen_until_ms <= self.now_ms {
                it.remaining_bytes -= step_bytes / n_sending[&it.from] as f64;
            }
        }
        let now_ms = self.now_ms;
        let ended = self.responses.extract_if(.., |it| {
            it.remaining_bytes <= 0.0 || it.query_ms + QUERY_TIMEOUT_MS <= now_ms
        });
        let ended: Vec<_> = ended.collect();
        for it in ended {
            if it.remaining_bytes <= 0.0 {
                self.receive_config(it.to, it.config_version);
            } else {
                let peer = self.nodes[it.from].address.exchange;
                self.nodes[it.to].queries.on_result(peer, QueryResult::Failed, now_ms);
            }
        }
    }

    /// Lets a node have a configuration that came from a peer. It announces the configuration if few others have.
    fn receive_config(&mut self, idx: usize, config_version: u64) {
        let node = &mut self.nodes[idx];
        node.config_version = config_version.max(node.config_version);
        if !node.announcements.needs_announcers(config_version) {
            return;
        }
        for to in node.gossip.zone_addresses() {
            let SocketAddr::V4(to) = to else { continue };
            let to = (to.ip().to_bits() - 0x7F00_0001) as usize;
            self.announce(idx, to, config_version);
        }
    }

    /// Announces a configuration to a node, unless the announcement is lost. The node then reads it, if the store serves it.
    fn announce(&mut self, from: usize, to: usize, config_version: u64) {
        let is_lost = self.rng.random_bool(self.loss);
        let node = &mut self.nodes[to];
        if !is_lost && !node.is_dead && node.frozen_until_ms <= self.now_ms {
            node.announcements.record(config_version, address(from, self.n_zones).gossip);
            if node.has_store {
                node.config_version = config_version.max(node.config_version);
            }
        }
    }

    fn apply(&mut self, idx: usize, update: Update) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[idx];
        match update {
            Update::Cluster { summary, fresh_zones } => {
                node.others = summary.loads.iter().copied().collect();
                node.received_evidence.extend(&summary.evidence);
                for it in &summary.segment_reports {
                    node.segments.on_report(*it, now_ms);
                }
                for it in &summary.quarantined {
                    node.suspects.on_quarantined(*it);
                }
                let newest = summary.zones.iter().map(|it| it.config.version).max();
                if node.has_store {
                    node.config_version = newest.unwrap_or(0).max(node.config_version);
                }
                for zone in summary.zones.iter().filter(|it| fresh_zones.contains(&it.zone)) {
                    let (zone_id, source) = (zone.zone, zone.source);
                    let admitted = zone.admitted.clone();
                    let rates = ZoneRates { zone: zone_id, source, admitted };
                    node.apply_rates(&rates, now_ms - zone.age_ms, now_ms);
                }
            }
            Update::Rates(rates) => {
                for it in &rates {
                    node.apply_rates(it, now_ms, now_ms);
                }
            }
        }
    }

    /// Lets a client ask a node for a request of the team, and returns whether the node admits it.
    fn try_admit(&mut self, idx: usize, cost: f64) -> bool {
        self.try_admit_kind(idx, cost, false)
    }

    fn try_admit_kind(&mut self, idx: usize, cost: f64, is_resumed: bool) -> bool {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[idx];
        let view = node.view(now_ms);
        let res = if is_resumed {
            node.rate.try_admit_resumed(cost, view, now_ms)
        } else {
            node.rate.try_admit(cost, view, now_ms)
        };
        let is_admitted = res.is_ok();
        node.rates_due |= is_admitted && node.rate.needs_urgent_report();
        is_admitted
    }

    /// Returns whether every running node sees exactly what the other running nodes have in progress.
    fn is_converged(&self) -> bool {
        let running: Vec<_> = self.nodes.iter().filter(|it| !it.is_dead).collect();
        let mut total: FxHashMap<u32, u32> = FxHashMap::default();
        for (upstream, it) in running.iter().flat_map(|it| &it.loads) {
            *total.entry(*upstream).or_default() += it.n_requests;
        }
        running.iter().all(|node| {
            node.loads.iter().all(|(upstream, own)| {
                let others = node.others.get(upstream).map_or(0, |it| it.n_requests);
                others + own.n_requests == total[upstream]
            })
        })
    }

    fn primaries_of(&self, zone: u32) -> Vec<usize> {
        let in_zone = (0..self.nodes.len()).filter(|it| self.nodes[*it].address.zone == zone);
        let primaries = in_zone.filter(|it| self.nodes[*it].gossip.role() == Role::Primary);
        primaries.filter(|it| !self.nodes[*it].is_dead).collect()
    }

    fn interval_ms(&self) -> u64 {
        self.nodes.iter().map(|it| it.gossip.interval_ms(self.now_ms)).max().unwrap_or_default()
    }
}

impl Node {
    /// Returns the state to report, and takes the evidence.
    fn state(&mut self, now_ms: u64) -> LocalState {
        LocalState {
            wall_ms: now_ms,
            config: StoreCopy { version: self.config_version, age_ms: 0 },
            upstreams: StoreCopy { version: 1, age_ms: 100 },
            loads: self.loads.clone(),
            admitted: vec![(TEAM, self.rate.report())],
            evidence: std::mem::take(&mut self.evidence),
            segment_reports: self.segment_reports.take_due(),
            quarantined: self.quarantine_reports.take_due(),
            ..LocalState::default()
        }
    }

    /// Returns the peers that the node may query.
    fn peers(&self, now_ms: u64) -> Peers {
        let zones = self.gossip.zones().filter(|it| it.is_reachable(now_ms));
        let zones = zones.map(|it| ZoneCopies {
            config_version: it.state.config.version,
            config_source: it.state.config_source(),
            list_digest: it.state.upstreams.version,
            list_age_ms: it.state.upstreams.age_ms,
            list_source: it.state.upstreams_source(),
        });
        Peers {
            local: Some(self.address.exchange),
            zones: zones.collect(),
            // A node has one address in simulations.
            announcers: self.announcements.announcers(self.config_version).collect(),
            nodes: Vec::new(),
        }
    }

    fn copies(&self, peers: &Peers) -> LocalCopies {
        let version = self.config_version;
        let is_newer_elsewhere = peers.zones.iter().any(|it| version < it.config_version);
        LocalCopies {
            config_version: version,
            is_config_outdated: is_newer_elsewhere || self.announcements.has_newer(version),
            list_digest: 1,
            list_age_ms: Some(100),
        }
    }

    /// Updates the evidence on prompt segments. Evidence to send does not wait for the next report.
    fn update_segments(&mut self, now_ms: u64) {
        self.segments.decide(now_ms);
        self.segment_reports.extend(&self.segments.take_reports(now_ms), now_ms);
        self.quarantine_reports.extend(&self.suspects.take_reminders(now_ms), now_ms);
        if self.segment_reports.is_urgent() {
            self.next_tick_ms = now_ms;
        }
    }

    fn apply_rates(&mut self, rates: &ZoneRates, as_of_ms: u64, now_ms: u64) {
        let is_own = rates.zone == self.address.zone;
        let (n_live, silence_ms) = self.gossip.n_live_in(rates.zone, now_ms);
        let n_nodes = n_live.saturating_sub(usize::from(is_own));
        for (_, admitted) in &rates.admitted {
            self.rate.handle_report(PeerReport {
                peer: u64::from(rates.zone),
                n_nodes,
                silence_ms,
                source: rates.source,
                admitted: *admitted,
                as_of_ms,
            });
        }
    }

    fn view(&self, now_ms: u64) -> ClusterView {
        let own_zone = self.address.zone;
        let peers = self.gossip.zones().map(|it| {
            let n_nodes = it.state.n_nodes as usize - usize::from(it.state.zone == own_zone);
            (n_nodes, now_ms - it.as_of_ms)
        });
        ClusterView::new(self.gossip.n_nodes(now_ms), self.gossip.state_age_ms(now_ms), peers)
    }
}

fn encoded_bytes(message: &Message) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).unwrap();
    bytes.len()
}

#[test]
fn every_node_sees_the_requests_of_all_others() {
    for size in SIZES {
        let mut simulation = Simulation::start(size, 1);
        let end_ms = simulation.now_ms + SETTLED_MS;
        assert!(simulation.run_until(end_ms, Simulation::is_converged), "{size:?}");
        assert_eq!(simulation.nodes[0].gossip.n_nodes(simulation.now_ms), size.0, "{size:?}");
        assert_eq!(simulation.nodes[0].gossip.n_live_nodes(simulation.now_ms), size.0, "{size:?}");
    }
}

#[test]
fn a_change_is_known_everywhere_after_a_few_intervals() {
    for size in SIZES {
        let mut simulation = Simulation::start(size, 2);
        simulation.run_for(SETTLED_MS);
        simulation.loss = 0.0;
        simulation.nodes[1].loads[0].1.n_requests = 90;
        // Up to one interval each at the node, at its delegate and at the delegate of the receiver, and the delays.
        let bound_ms = 3 * simulation.interval_ms() + 100;
        let end_ms = simulation.now_ms + bound_ms;
        let is_known = simulation.run_until(end_ms, Simulation::is_converged);
        assert!(is_known, "{size:?}: not within {bound_ms} ms");
    }
}

#[test]
fn state_converges_despite_lost_messages() {
    for size in SIZES {
        let mut simulation = Simulation::start(size, 3);
        simulation.loss = 0.1;
        let end_ms = simulation.now_ms + 2 * SETTLED_MS;
        assert!(simulation.run_until(end_ms, Simulation::is_converged), "{size:?}");
    }
}

#[test]
fn a_lost_delegate_is_replaced_in_a_time_that_does_not_grow_with_the_nodes() {
    for size in SIZES {
        for n_lost in [1, 2] {
            let mut simulation = Simulation::start(size, 4);
            simulation.run_for(SETTLED_MS);
            let mut in_zone: Vec<_> =
                (0..size.0).filter(|it| simulation.nodes[*it].address.zone == 1).collect();
            in_zone.sort_by_key(|it| simulation.nodes[*it].address.node);
            if in_zone.len() <= n_lost {
                continue;
            }
            for idx in &in_zone[..n_lost] {
                simulation.nodes[*idx].is_dead = true;
            }
            // The silence of the lost delegates, the warm-up of the new primary, and three steps of the exchange.
            let bound_ms = (3 + 2 + 3 + 1) * simulation.interval_ms() + 300 + 500;
            let end_ms = simulation.now_ms + bound_ms;
            let is_converged = simulation.run_until(end_ms, Simulation::is_converged);
            assert!(is_converged, "{size:?}, {n_lost} lost: not within {bound_ms} ms");
            let primaries = simulation.primaries_of(1);
            assert_eq!(primaries, [in_zone[n_lost]], "{size:?}, {n_lost} lost");
        }
    }
}

#[test]
fn a_delegate_that_wakes_after_a_freeze_takes_over_again() {
    for size in SIZES {
        let mut simulation = Simulation::start(size, 5);
        simulation.run_for(SETTLED_MS);
        let primary = simulation.primaries_of(1)[0];
        simulation.nodes[primary].frozen_until_ms = simulation.now_ms + 6_000;
        simulation.run_for(6_000);
        assert!(!simulation.primaries_of(1).is_empty(), "{size:?}");
        let end_ms = simulation.now_ms + SETTLED_MS;
        let is_settled = |it: &Simulation| it.is_converged() && it.primaries_of(1) == [primary];
        assert!(simulation.run_until(end_ms, is_settled), "{size:?}");
    }
}

#[test]
fn a_zone_that_is_cut_off_keeps_its_own_state_and_rejoins() {
    for size in SIZES {
        let mut simulation = Simulation::start(size, 6);
        simulation.run_for(SETTLED_MS);
        simulation.is_cut =
            |a, b, it| (it.nodes[a].address.zone == 1) != (it.nodes[b].address.zone == 1);
        simulation.run_for(10_000);
        let n_in_zone = simulation.nodes.iter().filter(|it| it.address.zone == 1).count();
        let inside = &simulation.nodes[0].gossip;
        let outside = &simulation.nodes[1].gossip;
        let now_ms = simulation.now_ms;
        assert_eq!(inside.n_live_nodes(now_ms), n_in_zone, "{size:?}");
        assert_eq!(outside.n_live_nodes(now_ms), size.0 - n_in_zone, "{size:?}");
        assert_eq!(inside.n_nodes(now_ms), size.0, "{size:?}: the others still count");
        simulation.is_cut = |_, _, _| false;
        let end_ms = simulation.now_ms + SETTLED_MS;
        assert!(simulation.run_until(end_ms, Simulation::is_converged), "{size:?}");
    }
}

#[test]
fn evidence_of_a_primary_and_of_a_member_reaches_all_nodes() {
    for size in SIZES {
        let mut simulation = Simulation::start(size, 9);
        simulation.run_for(SETTLED_MS);
        let primary = simulation.primaries_of(1)[0];
        let mut expected = Evidence::new();
        for (idx, crash) in [(primary, 1), (size.0 - 1, 2)] {
            let piece = (Fingerprint::of(&[b"request"]), crash);
            expected.push(piece);
            simulation.nodes[idx].evidence.push(piece);
        }
        let is_known = |it: &Simulation| {
            it.nodes.iter().all(|it| expected.iter().all(|e| it.received_evidence.contains(e)))
        };
        let end_ms = simulation.now_ms + SETTLED_MS;
        assert!(simulation.run_until(end_ms, is_known), "{size:?}");
    }
}

/// Guards against nodes that serve by an older configuration because they lost its announcement while the primary
/// delegates of the zones were stopped and started again.
/// Guards against nodes that send a quarantined request because they did not run, or were out of reach, when it was
/// quarantined.
#[test]
fn quarantined_request_becomes_known_to_nodes_that_start_and_to_a_zone_that_was_cut_off() {
    const CONTACT_MS: u64 = 3_000;
    const CUT_ZONE: u32 = 4;
    const REQUEST: QuarantinedRequest = QuarantinedRequest(Fingerprint(7));
    fn is_cut(a: usize, b: usize, it: &Simulation) -> bool {
        (it.nodes[a].address.zone == CUT_ZONE) != (it.nodes[b].address.zone == CUT_ZONE)
    }
    for size in SIZES {
        let mut simulation = Simulation::start(size, 13);
        simulation.run_for(SETTLED_MS);
        simulation.is_cut = is_cut;
        simulation.run_for(SETTLED_MS);
        for idx in [0, 1, 2] {
            simulation.nodes[idx].suspects.on_quarantined(REQUEST);
        }
        let knows = |it: &Node| it.suspects.is_quarantined(REQUEST.0);
        simulation.run_for(CONTACT_MS);
        for node in &simulation.nodes {
            let is_reached = node.address.zone != CUT_ZONE;
            assert_eq!(knows(node), is_reached, "{size:?}: during the cut");
        }
        simulation.is_cut = |_, _, _| false;
        let end_ms = simulation.now_ms + CONTACT_MS;
        let all_know = |it: &Simulation| it.nodes.iter().all(knows);
        assert!(simulation.run_until(end_ms, all_know), "{size:?}: after the cut");
        simulation.restart(3);
        let end_ms = simulation.now_ms + CONTACT_MS;
        assert!(simulation.run_until(end_ms, all_know), "{size:?}: after a restart");
    }
}

/// Guards against nodes that send requests with a quarantined segment because they were out of reach, or did not run, when
/// it was quarantined.
#[test]
fn quarantine_reaches_all_nodes_and_those_that_return_within_the_contact_time() {
    const CONTACT_MS: u64 = 3_000;
    const FIRST: SegmentId = SegmentId(7);
    const SECOND: SegmentId = SegmentId(8);
    /// Zone that is cut off during the crashes of the second segment, and nodes outside of it.
    const CUT_ZONE: u32 = 4;
    const WITNESSES: [usize; 3] = [0, 1, 2];
    fn is_cut(a: usize, b: usize, it: &Simulation) -> bool {
        (it.nodes[a].address.zone == CUT_ZONE) != (it.nodes[b].address.zone == CUT_ZONE)
    }
    fn crash_upstreams(simulation: &mut Simulation, segment: SegmentId) {
        for idx in WITNESSES {
            let now_ms = simulation.now_ms;
            // The time identifies the crash.
            simulation.nodes[idx].segments.record_crash(now_ms, &[segment], now_ms);
            simulation.run_for(400);
        }
    }
    for size in SIZES {
        let knows = |segment: SegmentId| {
            move |it: &Simulation| it.nodes.iter().all(|it| it.segments.is_quarantined(segment))
        };
        let mut simulation = Simulation::start(size, 12);
        simulation.run_for(SETTLED_MS);
        crash_upstreams(&mut simulation, FIRST);
        let end_ms = simulation.now_ms + CONTACT_MS;
        assert!(simulation.run_until(end_ms, knows(FIRST)), "{size:?}");

        simulation.restart(3);
        let end_ms = simulation.now_ms + CONTACT_MS;
        assert!(simulation.run_until(end_ms, knows(FIRST)), "{size:?}: after a restart");

        simulation.is_cut = is_cut;
        simulation.run_for(SETTLED_MS);
        crash_upstreams(&mut simulation, SECOND);
        simulation.run_for(SETTLED_MS);
        for node in &simulation.nodes {
            let is_known = node.segments.is_quarantined(SECOND);
            assert_eq!(is_known, node.address.zone != CUT_ZONE, "{size:?}: during the cut");
        }
        simulation.is_cut = |_, _, _| false;
        let end_ms = simulation.now_ms + CONTACT_MS;
        assert!(simulation.run_until(end_ms, knows(SECOND)), "{size:?}: after the cut");
    }
}

#[test]
fn new_configuration_reaches_all_nodes_while_primaries_are_restarted() {
    /// Bound of the users for a configuration to be in force at 295 nodes, without the read of the store.
    const BOUND_MS: u64 = 4_000;
    const STORE_READ_MS: u64 = 1_000;
    const NEW_VERSION: u64 = 2;
    for size in [(74, 4), (295, 6), (340, 31)] {
        for seed in 0..4 {
            let mut simulation = Simulation::start(size, 20 + seed);
            simulation.run_for(SETTLED_MS);
            // Half of the announcements are lost with the packets of an overloaded link, and so are summaries.
            simulation.loss = 0.5;
            for zone in 1..=size.1 as u32 {
                let mut in_zone: Vec<_> =
                    (0..size.0).filter(|it| simulation.nodes[*it].address.zone == zone).collect();
                in_zone.sort_by_key(|it| simulation.nodes[*it].address.node);
                let reader = in_zone[in_zone.len() - 1];
                simulation.nodes[reader].config_version = NEW_VERSION;
                for to in &in_zone {
                    simulation.announce(reader, *to, NEW_VERSION);
                }
            }
            simulation.loss = 0.05;
            let end_ms = simulation.now_ms + BOUND_MS - STORE_READ_MS;
            let mut restart_ms = simulation.now_ms;
            let is_known = loop {
                if simulation.now_ms == restart_ms {
                    // A process that starts reads the configuration itself.
                    for zone in 1..=size.1 as u32 {
                        let Some(primary) = simulation.primaries_of(zone).first().copied() else {
                            continue;
                        };
                        simulation.restart(primary);
                        simulation.nodes[primary].config_version = NEW_VERSION;
                    }
                    restart_ms += 700;
                }
                simulation.step();
                if simulation.nodes.iter().all(|it| it.config_version == NEW_VERSION) {
                    break true;
                }
                if end_ms <= simulation.now_ms {
                    break false;
                }
            };
            let n_old = simulation.nodes.iter().filter(|it| it.config_version < NEW_VERSION);
            assert!(is_known, "{size:?}, seed {seed}: {} nodes", n_old.count());
        }
    }
}

/// Guards against nodes that serve by an older configuration because the store turns them away and they learn only from
/// summaries who has the new one.
#[test]
fn new_configuration_reaches_nodes_that_the_store_turns_away() {
    /// Bound of the users for a configuration to be in force at 295 nodes, without the read of the store by another node.
    const BOUND_MS: u64 = 4_000;
    const STORE_READ_MS: u64 = 1_000;
    const NEW_VERSION: u64 = 2;
    const FREEZE_MS: u64 = 2_500;
    for size in SIZES {
        for seed in 0..3 {
            let mut simulation = Simulation::start(size, 40 + seed);
            simulation.run_for(SETTLED_MS);
            let mut readers = Vec::new();
            for zone in 1..=size.1 as u32 {
                let mut in_zone: Vec<_> =
                    (0..size.0).filter(|it| simulation.nodes[*it].address.zone == zone).collect();
                in_zone.sort_by_key(|it| simulation.nodes[*it].address.node);
                // The primary and the reader are turned away, and a third of the others. One node of the zone is served.
                let served = in_zone[in_zone.len() / 2];
                for (rank, idx) in in_zone.iter().enumerate() {
                    let is_last = rank + 1 == in_zone.len();
                    let is_refused = rank == 0 || is_last || rank % 3 == 0;
                    simulation.nodes[*idx].has_store = *idx == served || !is_refused;
                }
                readers.push((served, in_zone));
            }
            for zone in 1..=size.1 as u32 {
                // The primary stands still, and another one takes its place meanwhile.
                for idx in simulation.primaries_of(zone) {
                    simulation.nodes[idx].frozen_until_ms = simulation.now_ms + FREEZE_MS;
                }
            }
            simulation.loss = 0.05;
            for (reader, in_zone) in &readers {
                simulation.nodes[*reader].config_version = NEW_VERSION;
                for to in in_zone {
                    for _ in 0..3 {
                        simulation.announce(*reader, *to, NEW_VERSION);
                    }
                }
            }
            let end_ms = simulation.now_ms + BOUND_MS - STORE_READ_MS;
            simulation.run_for(end_ms - simulation.now_ms);
            // A node that stood still has not been in touch for long enough.
            let in_touch = simulation.nodes.iter().filter(|it| it.frozen_until_ms == 0);
            let n_old = in_touch.filter(|it| it.config_version < NEW_VERSION).count();
            assert_eq!(n_old, 0, "{size:?}, seed {seed}: nodes with the older configuration");
        }
    }
}

/// Guards against nodes that serve by an older configuration because all that the store turns away query the same few peers
/// at the same time, none of which need have the newer one.
#[test]
fn new_configuration_reaches_all_nodes_while_the_store_serves_few() {
    /// Time for the nodes that the store serves to read the configuration.
    const STORE_READ_MS: u64 = 300;
    const NEW_VERSION: u64 = 2;
    struct Case {
        size: (usize, usize),
        /// Bound of the users for a configuration to be in force.
        bound_ms: u64,
    }
    let cases = [
        Case { size: (8, 4), bound_ms: 2_000 },
        Case { size: (74, 4), bound_ms: 3_000 },
        Case { size: (295, 6), bound_ms: 4_000 },
        Case { size: (340, 31), bound_ms: 4_000 },
    ];
    for Case { size, bound_ms } in cases {
        for seed in 0..4 {
            let mut simulation = Simulation::start(size, 60 + seed);
            simulation.run_for(SETTLED_MS);
            let mut served = Vec::new();
            for zone in 1..=size.1 as u32 {
                let mut in_zone: Vec<_> =
                    (0..size.0).filter(|it| simulation.nodes[*it].address.zone == zone).collect();
                in_zone.sort_by_key(|it| simulation.nodes[*it].address.node);
                for idx in &in_zone {
                    simulation.nodes[*idx].has_store = false;
                }
                // In every second zone, the store serves none. Delegates are never among those that it serves.
                if zone % 2 == 1 {
                    let n_served = (in_zone.len() / 8).max(1);
                    let last = in_zone.split_off(in_zone.len() - n_served);
                    served.push(last);
                }
            }
            for idx in served.iter().flatten() {
                simulation.nodes[*idx].has_store = true;
                simulation.nodes[*idx].config_version = NEW_VERSION;
            }
            for in_zone in &served {
                let reader = in_zone[in_zone.len() - 1];
                for to in simulation.nodes[reader].gossip.zone_addresses() {
                    let SocketAddr::V4(to) = to else { continue };
                    let to = (to.ip().to_bits() - 0x7F00_0001) as usize;
                    simulation.announce(reader, to, NEW_VERSION);
                }
            }
            simulation.run_for(bound_ms - STORE_READ_MS);
            let n_old =
                simulation.nodes.iter().filter(|it| it.config_version < NEW_VERSION).count();
            assert_eq!(n_old, 0, "{size:?}, seed {seed}: nodes with the older configuration");
        }
    }
}

#[test]
fn traffic_of_a_node_does_not_grow_with_the_nodes() {
    /// Bytes per second that a node may use for control at the target size.
    const BYTES_PER_S_MAX: usize = 5_000;
    /// Number of nodes from which on the limit of the target size applies.
    const LARGE_NODES: usize = 295;
    /// Limit of smaller deployments, whose nodes exchange their state more often.
    const SMALL_BYTES_PER_S_MAX: usize = 3 * BYTES_PER_S_MAX;
    const DURATION_S: u64 = 10;
    for size in SIZES {
        let mut simulation = Simulation::start(size, 7);
        simulation.counts_bytes = true;
        simulation.run_for(SETTLED_MS);
        for it in &mut simulation.nodes {
            (it.bytes_sent, it.bytes_received) = (0, 0);
        }
        simulation.run_for(DURATION_S * 1_000);
        let members = simulation.nodes.iter().filter(|it| it.gossip.role() == Role::Member);
        let received = members.map(|it| it.bytes_received / DURATION_S as usize);
        let received_max = received.max().unwrap_or_default();
        let sent: usize = simulation.nodes.iter().map(|it| it.bytes_sent).sum();
        let sent_mean = sent / size.0 / DURATION_S as usize;
        println!(
            "{size:?}: members receive up to {received_max} B/s, a node sends {sent_mean} B/s on average, interval {} ms",
            simulation.interval_ms()
        );
        let limit = if size.0 < LARGE_NODES { SMALL_BYTES_PER_S_MAX } else { BYTES_PER_S_MAX };
        assert!(received_max <= limit, "{size:?}: {received_max} B/s received");
    }
}

#[test]
fn a_shared_rate_holds_while_demand_shifts_and_nodes_are_lost() {
    const WINDOW_MS: u64 = 8_000;
    const DURATION_MS: u64 = 20_000;
    /// Fraction by which operators allow the rate to be exceeded, and the fixed allowance.
    const EXCESS_FRACTION: f64 = 0.1;
    const EXCESS_FIXED: f64 = 140_000.0;
    const COST: f64 = 12_000.0;
    /// Minimum fraction of the rate that is used.
    const USED_MIN: f64 = 0.6;
    struct Case {
        name: &'static str,
        /// Time at which all demand moves to another zone, again and again.
        shift_interval_ms: u64,
        is_zone_cut: bool,
        restarts_delegate: bool,
        restarts_all: bool,
    }
    let base = Case {
        name: "demand in one zone after the other",
        shift_interval_ms: 1_000,
        is_zone_cut: false,
        restarts_delegate: false,
        restarts_all: false,
    };
    let cases = [
        Case { name: "a zone is cut off", is_zone_cut: true, ..base },
        Case { name: "a delegate restarts", restarts_delegate: true, ..base },
        Case { name: "all nodes restart", restarts_all: true, ..base },
        base,
    ];
    for size in [(8, 4), (74, 4), (340, 31)] {
        for case in &cases {
            let mut simulation = Simulation::start(size, 8);
            simulation.run_for(SETTLED_MS);
            let start_ms = simulation.now_ms;
            let mut admitted: Vec<(u64, f64)> = Vec::new();
            let mut pending = 0.0;
            while simulation.now_ms < start_ms + DURATION_MS {
                let elapsed_ms = simulation.now_ms - start_ms;
                if elapsed_ms == 8_000 {
                    if case.is_zone_cut {
                        simulation.is_cut = |a, b, it| {
                            (it.nodes[a].address.zone == 1) != (it.nodes[b].address.zone == 1)
                        };
                    }
                    if case.restarts_delegate {
                        let primary = simulation.primaries_of(1)[0];
                        simulation.restart(primary);
                    }
                    if case.restarts_all {
                        for idx in 0..size.0 {
                            simulation.restart(idx);
                        }
                    }
                }
                simulation.step();
                pending += 5.0 * RATE.per_s * STEP_MS as f64 / 1_000.0;
                let zone = (elapsed_ms / case.shift_interval_ms) as usize % size.1;
                while COST <= pending {
                    pending -= COST;
                    let n_in_zone = size.0.div_ceil(size.1);
                    let idx = zone + size.1 * simulation.rng.random_range(0..n_in_zone);
                    if idx < size.0 && simulation.try_admit(idx, COST) {
                        admitted.push((simulation.now_ms, COST));
                    }
                }
            }
            let sum_from = |from: u64| -> f64 {
                let within = admitted.iter().filter(|it| (from..from + WINDOW_MS).contains(&it.0));
                within.map(|it| it.1).sum()
            };
            let starts = (start_ms..start_ms + DURATION_MS - WINDOW_MS).step_by(100);
            let worst = starts.map(sum_from).fold(0.0, f64::max);
            let allowed = (RATE.per_s * WINDOW_MS as f64 / 1_000.0 + RATE.burst)
                * (1.0 + EXCESS_FRACTION)
                + EXCESS_FIXED;
            let total: f64 = admitted.iter().map(|it| it.1).sum();
            let used = total / (RATE.per_s * DURATION_MS as f64 / 1_000.0);
            let name = case.name;
            println!("{size:?} {name}: worst {:.3} of allowed, used {used:.3}", worst / allowed);
            assert!(worst <= allowed, "{size:?} {name}: {worst} admitted, {allowed} allowed");
            assert!(USED_MIN <= used, "{size:?} {name}: {used} used");
        }
    }
}

/// Guards against a team that gets more than its rate when its demand jumps just after a third of the nodes were each cut
/// off from all others.
#[test]
fn shared_rate_holds_when_demand_jumps_while_single_nodes_are_cut_off() {
    const WINDOW_MS: u64 = 8_000;
    const JUMP_MS: u64 = 3_000;
    const CUT_MS: u64 = JUMP_MS - 500;
    const DURATION_MS: u64 = 15_000;
    const DEMAND_BEFORE: f64 = 0.5;
    const DEMAND_AFTER: f64 = 3.0;
    /// Fraction by which operators allow the rate to be exceeded, and the fixed allowance.
    const EXCESS_FRACTION: f64 = 0.1;
    const EXCESS_FIXED: f64 = 140_000.0;
    const COST: f64 = 12_000.0;
    let window_s = WINDOW_MS as f64 / 1_000.0;
    let allowed = (RATE.per_s * window_s + RATE.burst) * (1.0 + EXCESS_FRACTION) + EXCESS_FIXED;
    for size in [(74, 4), (295, 6), (340, 31)] {
        let mut simulation = Simulation::start(size, 30);
        simulation.run_for(SETTLED_MS);
        let start_ms = simulation.now_ms;
        let mut admitted_ms: Vec<u64> = Vec::new();
        let mut pending = 0.0;
        while simulation.now_ms < start_ms + DURATION_MS {
            let elapsed_ms = simulation.now_ms - start_ms;
            if elapsed_ms == CUT_MS {
                simulation.is_cut = |a, b, _| a % 3 == 0 || b % 3 == 0;
            }
            simulation.step();
            let demand = if elapsed_ms < JUMP_MS { DEMAND_BEFORE } else { DEMAND_AFTER };
            pending += demand * RATE.per_s * STEP_MS as f64 / 1_000.0;
            while COST <= pending {
                pending -= COST;
                let idx = simulation.rng.random_range(0..size.0);
                if simulation.try_admit(idx, COST) {
                    admitted_ms.push(simulation.now_ms);
                }
            }
        }
        let starts = (start_ms..start_ms + DURATION_MS - WINDOW_MS).step_by(100);
        let n_from = |from: u64| {
            admitted_ms.iter().filter(|it| (from..from + WINDOW_MS).contains(*it)).count()
        };
        let worst = starts.map(n_from).max().unwrap_or_default() as f64 * COST;
        println!("{size:?}: worst {:.3} of allowed", worst / allowed);
        assert!(worst <= allowed, "{size:?}: {worst} admitted, {allowed} allowed");
    }
}

/// Guards against a team that gets more than its rate while other single nodes are cut off every few seconds, and its
/// demand moves between these and the others.
#[test]
fn shared_rate_holds_while_demand_follows_changing_cuts_of_single_nodes() {
    const WINDOW_MS: u64 = 8_000;
    const DURATION_MS: u64 = 20_000;
    /// Time after which other nodes are cut off, and the demand moves.
    const ROUND_MS: u64 = 2_500;
    const DEMAND: f64 = 4.0;
    const EXCESS_FRACTION: f64 = 0.1;
    const EXCESS_FIXED: f64 = 140_000.0;
    const COST: f64 = 12_000.0;
    /// Part of the rate that is used at least while all nodes reach each other, from some time after the cuts on.
    const USED_MIN: f64 = 0.97;
    const HEALED_MS: u64 = 10_000;
    fn round(simulation: &Simulation) -> u64 {
        simulation.now_ms / ROUND_MS
    }
    fn is_cut_off(idx: usize, it: &Simulation) -> bool {
        (idx as u64 * 7 + round(it) * 3) % 5 < 2
    }
    fn is_cut(a: usize, b: usize, it: &Simulation) -> bool {
        is_cut_off(a, it) || is_cut_off(b, it)
    }
    let window_s = WINDOW_MS as f64 / 1_000.0;
    let allowed = (RATE.per_s * window_s + RATE.burst) * (1.0 + EXCESS_FRACTION) + EXCESS_FIXED;
    for size in SIZES {
        let mut simulation = Simulation::start(size, 31);
        simulation.run_for(SETTLED_MS);
        simulation.is_cut = is_cut;
        let start_ms = simulation.now_ms;
        let mut admitted_ms: Vec<u64> = Vec::new();
        let mut pending = 0.0;
        let cuts_end_ms = start_ms + DURATION_MS;
        let end_ms = cuts_end_ms + HEALED_MS + WINDOW_MS;
        while simulation.now_ms < end_ms {
            if simulation.now_ms == cuts_end_ms {
                simulation.is_cut = |_, _, _| false;
            }
            simulation.step();
            pending += DEMAND * RATE.per_s * STEP_MS as f64 / 1_000.0;
            while COST <= pending {
                pending -= COST;
                let idx = simulation.rng.random_range(0..size.0);
                // In every second round, the clients are at the nodes that are cut off.
                let wants_cut_off = round(&simulation).is_multiple_of(2);
                let has_client = cuts_end_ms <= simulation.now_ms
                    || is_cut_off(idx, &simulation) == wants_cut_off;
                if has_client && simulation.try_admit(idx, COST) {
                    admitted_ms.push(simulation.now_ms);
                }
            }
        }
        let starts = (start_ms..end_ms - WINDOW_MS).step_by(100);
        let n_from = |from: u64| {
            admitted_ms.iter().filter(|it| (from..from + WINDOW_MS).contains(*it)).count()
        };
        let worst = starts.map(n_from).max().unwrap_or_default() as f64 * COST;
        let used_from =
            |from: u64| n_from(from) as f64 * COST / (RATE.per_s * WINDOW_MS as f64 / 1_000.0);
        let (used_cut, used) = (used_from(start_ms + WINDOW_MS), used_from(end_ms - WINDOW_MS));
        let fraction = worst / allowed;
        println!(
            "{size:?}: worst {fraction:.3}, used {used_cut:.3} during the cuts, {used:.3} after"
        );
        assert!(worst <= allowed, "{size:?}: {worst} admitted, {allowed} allowed");
        assert!(USED_MIN <= used, "{size:?}: {used} used after the cuts");
    }
}

/// Guards against streams that are given up although their upstreams live: after all nodes were restarted, resumed streams
/// competed for an empty bucket with three times as many new requests as the team may have.
#[test]
fn resumed_streams_go_before_new_requests_after_all_nodes_were_restarted() {
    const WINDOW_MS: u64 = 8_000;
    const RETURN_MS: u64 = 1_000;
    const DEMAND_NEW: f64 = 3.0;
    const DEMAND_RESUMED: f64 = 0.5;
    /// Number of times that a client sends a request, one second apart, before it gives up.
    const N_TRIES: u64 = 3;
    /// Part of the resumed streams that go on at least.
    const RESUMED_MIN: f64 = 0.5;
    const EXCESS_FRACTION: f64 = 0.1;
    const EXCESS_FIXED: f64 = 140_000.0;
    const COST: f64 = 12_000.0;
    let window_s = WINDOW_MS as f64 / 1_000.0;
    let allowed = (RATE.per_s * window_s + RATE.burst) * (1.0 + EXCESS_FRACTION) + EXCESS_FIXED;
    for size in [(8, 4), (74, 4), (340, 31)] {
        let mut simulation = Simulation::start(size, 38);
        simulation.run_for(SETTLED_MS);
        let start_ms = simulation.now_ms;
        for idx in 0..size.0 {
            simulation.restart(idx);
        }
        let mut clients: Vec<(u64, u64, bool)> = Vec::new();
        let (mut pending_new, mut pending_resumed) = (0.0, 0.0);
        let (mut n_resumed, mut n_went_on, mut n_admitted) = (0_u64, 0_u64, 0_u64);
        while simulation.now_ms < start_ms + WINDOW_MS {
            simulation.step();
            let now_ms = simulation.now_ms;
            let step_cost = RATE.per_s * STEP_MS as f64 / 1_000.0;
            pending_new += DEMAND_NEW * step_cost;
            if now_ms < start_ms + RETURN_MS {
                pending_resumed += DEMAND_RESUMED * step_cost;
            }
            for (pending, is_resumed) in [(&mut pending_new, false), (&mut pending_resumed, true)] {
                while COST <= *pending {
                    *pending -= COST;
                    clients.push((now_ms, N_TRIES, is_resumed));
                    n_resumed += u64::from(is_resumed);
                }
            }
            let due: Vec<_> = clients.extract_if(.., |it| it.0 <= now_ms).collect();
            for (_, n_tries, is_resumed) in due {
                let idx = simulation.rng.random_range(0..size.0);
                if simulation.try_admit_kind(idx, COST, is_resumed) {
                    n_admitted += 1;
                    n_went_on += u64::from(is_resumed);
                } else if 1 < n_tries {
                    clients.push((now_ms + RETURN_MS, n_tries - 1, is_resumed));
                }
            }
        }
        let went_on = n_went_on as f64 / n_resumed as f64;
        let admitted = n_admitted as f64 * COST;
        println!("{size:?}: {went_on:.3} of resumed streams, {:.3} of allowed", admitted / allowed);
        assert!(RESUMED_MIN <= went_on, "{size:?}: {went_on} of the resumed streams went on");
        assert!(admitted <= allowed, "{size:?}: {admitted} admitted, {allowed} allowed");
    }
}

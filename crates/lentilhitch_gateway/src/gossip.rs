//! Gossip between nodes: unacknowledged UDP datagrams.
//!
//! What nodes tell each other about load, admitted cost, demand, clocks and crashes, and through which nodes it goes, is
//! decided by [`lentilhitch_policy::gossip`]. This module encodes, sends and receives its messages and applies what they
//! say to the state of the node.
//!
//! The store reader of a zone is the last node of the zone, in the order of the name hashes, that has recently read
//! the list of upstreams from the store. It sends each changed upstream entry to the other nodes of its zone
//! immediately, as an update. Each update is sent several times, because datagrams get lost. The primary delegate's
//! summaries contain a digest of the reader's list of upstreams, and the time since the reader read the list from the
//! store. An equal digest confirms to the receiver that both lists contain the same incarnations of upstreams in the
//! same states. The receiver's list is then as recent as the reader's read. A receiver that has lost all datagrams of
//! an update has another digest in two summaries in a row. It then reads the list from the store itself, and so does a
//! node whose list was not confirmed recently.
//!
//! Usage counts are sent to the holder of the duty lease directly, as running totals of each usage window.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep, sleep_until},
};

use lentilhitch_policy::{
    gossip::{
        Outgoing, Output, Update,
        message::{LocalState, Message, StoreCopy, Summary, ZoneRates, ZoneState},
    },
    send_queue::Urgency,
    shared_rate::PeerReport,
    traffic::{EntryState, UpstreamEntry},
    usage::NodeCounts,
};
use lentilhitch_types::{LogPosition, UpstreamName};

use crate::{
    clock::wall_ms,
    discovery::UPSTREAMS_POLL_INTERVAL_MS,
    node::{Node, State, short_hash},
    platform::Platform,
    rollouts::RolloutMessage,
    stream_versions::OriginMessage,
};

/// Interval at which an update of an upstream entry is sent again.
const UPDATE_INTERVAL_MS: u64 = 150;
/// Allowance for delays of messages between nodes.
const DELAY_ALLOWANCE_MS: u64 = 300;
/// Maximum size of a datagram that is read.
const DATAGRAM_BYTES_MAX: usize = 64 * 1024;
/// Number of times that a new configuration is announced.
const CONFIG_ANNOUNCEMENTS: u8 = 3;
/// Number of summaries in a row with another list of upstreams after which a node reads the list itself.
const LIST_MISMATCHES_MAX: u32 = 2;

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    #[serde(rename = "g")]
    Gossip(Message),
    /// Usage counts of the sender, for the holder of the duty lease.
    #[serde(rename = "c")]
    Counts(NodeCounts),
    /// Version of a configuration, sent to nodes of the zone by the node that has read it from the store, and by a
    /// delegate to a node that has an older one.
    #[serde(rename = "v")]
    ConfigVersion(u64),
    /// Changed upstream entries that the sender has read from the store, and upstreams that have told the sender that they
    /// are leaving. Sent to the other nodes of its zone.
    #[serde(rename = "r")]
    UpstreamUpdates(Vec<UpstreamUpdate>),
    /// Which software version began a stream.
    #[serde(rename = "o")]
    StreamOrigin(OriginMessage),
    /// Orders, plans, evidence and grants of rollouts.
    #[serde(rename = "p")]
    Rollouts(RolloutMessage),
}

/// Current entry of an upstream, sent when the entry changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct UpstreamUpdate {
    #[serde(rename = "i")]
    pub(crate) id: UpstreamName,
    #[serde(rename = "o")]
    pub(crate) position: LogPosition,
    #[serde(rename = "c")]
    pub(crate) change: EntryChange,
}

/// Change of an upstream's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum EntryChange {
    #[serde(rename = "e")]
    Entry(Box<UpstreamEntry>),
    /// The incarnation that started at `started_ms` is leaving. All replicas of a zone may leave at once, so this is
    /// kept small.
    #[serde(rename = "l")]
    Leaving {
        #[serde(rename = "b")]
        started_ms: u64,
        #[serde(rename = "l")]
        leaves_in_ms: Option<u64>,
    },
    #[serde(rename = "r")]
    Removed,
}

impl From<(&UpstreamEntry, LogPosition)> for UpstreamUpdate {
    fn from((entry, position): (&UpstreamEntry, LogPosition)) -> Self {
        Self { id: entry.id.clone(), position, change: EntryChange::Entry(Box::new(entry.clone())) }
    }
}

impl UpstreamUpdate {
    /// Returns the update that the store reader sends for an upstream, whose entry is `None` if it was removed.
    pub(crate) fn of_change(
        id: UpstreamName,
        position: LogPosition,
        entry: Option<&UpstreamEntry>,
    ) -> Self {
        let change = match entry {
            None => EntryChange::Removed,
            Some(entry) if entry.state == EntryState::Draining => EntryChange::Leaving {
                started_ms: entry.started_ms,
                leaves_in_ms: entry.leaves_in_ms,
            },
            Some(entry) => EntryChange::Entry(Box::new(entry.clone())),
        };
        Self { id, position, change }
    }
}

/// Sends and receives gossip until the process exits.
pub(crate) async fn run<P: Platform>(node: Rc<Node<P>>, socket: UdpSocket) {
    tokio::join!(node.outbox.run(&socket), receive_and_tick(&node, &socket));
}

async fn receive_and_tick<P: Platform>(node: &Node<P>, socket: &UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    let mut tick_timer = Box::pin(sleep(Duration::ZERO));
    let mut updates_timer = Box::pin(sleep(Duration::from_millis(UPDATE_INTERVAL_MS)));
    let mut next_rates_send = Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((n_bytes, from)) => node.on_datagram(socket, &buffer[..n_bytes], from).await,
                Err(err) => log::debug!("failed to receive a gossip message: {err}"),
            },
            () = node.updates_due.notified() => node.send_updates(),
            () = async { sleep_until(next_rates_send).await; node.rates_due.notified().await } => {
                node.send_rates(socket).await;
                let interval_ms = node.state.borrow().gossip.rates_interval_ms();
                next_rates_send = Instant::now() + Duration::from_millis(interval_ms);
            }
            () = &mut updates_timer => {
                node.send_updates();
                if node.has_news_to_send() {
                    node.send_state(socket).await;
                    tick_timer = Box::pin(sleep(Duration::from_millis(node.next_tick_ms())));
                }
                updates_timer = Box::pin(sleep(Duration::from_millis(UPDATE_INTERVAL_MS)));
            }
            () = &mut tick_timer => {
                node.send_state(socket).await;
                tick_timer = Box::pin(sleep(Duration::from_millis(node.next_tick_ms())));
            }
        }
    }
}

impl<P> Node<P> {
    fn next_tick_ms(&self) -> u64 {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        state.gossip.next_tick_ms(state.has_urgent_news(), now_ms)
    }

    /// Updates what this node tells its peers of upstreams. Returns whether there is something that should not wait for
    /// the next report.
    fn has_news_to_send(&self) -> bool {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        if state.update_upstream_news(now_ms) {
            self.quarantine_register.on_quarantines_changed();
        }
        state.has_urgent_news()
    }

    /// Returns whether a newer configuration than that of this node was announced or is in force in a reachable zone, or
    /// this node has none.
    pub(crate) fn is_config_outdated(&self) -> bool {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        let Some(route_table) = &state.route_table else { return true };
        if state.config_announcements.has_newer(route_table.config.version) {
            return true;
        }
        let mut reachable = state.gossip.zones().filter(|it| it.is_reachable(now_ms));
        reachable.any(|it| route_table.config.version < it.state.config.version)
    }

    /// Returns whether this node is the store reader of its zone: no node of the zone with a larger name hash has
    /// recently read the list of upstreams from the store.
    pub(crate) fn is_store_reader(&self) -> bool {
        !self.state.borrow().gossip.has_reader(self.now_ms())
    }

    /// Returns the maximum age of a confirmation of the list of upstreams up to which this node need not read the list
    /// itself: the interval between reads, plus the time that a state takes from the reader through the primary
    /// delegate, plus an allowance for delays.
    pub(crate) fn confirmation_age_max_ms(&self) -> u64 {
        let state_age_ms = self.state.borrow().gossip.state_age_ms(self.now_ms());
        UPSTREAMS_POLL_INTERVAL_MS + state_age_ms + DELAY_ALLOWANCE_MS
    }

    /// Returns the gossip address of the holder of the duty lease, if a reachable one is known.
    pub(crate) fn duty_holder_address(&self) -> Option<SocketAddr> {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        let timeout_ms = DUTY_HOLDER_TIMEOUT_MS + state.gossip.state_age_ms(now_ms);
        state.gossip.duty_holder(timeout_ms, now_ms).map(|it| it.0.gossip)
    }

    /// Queues a datagram for each of the addresses.
    pub(crate) fn send_to(&self, datagram: &Datagram, addresses: &[SocketAddr], urgency: Urgency) {
        let Some(bytes) = encode(datagram) else { return };
        for address in addresses {
            self.outbox.push(&bytes, *address, urgency);
        }
    }
}

impl<P: Platform> Node<P> {
    /// Sends this node's state, and what follows from its role as a delegate.
    async fn send_state(&self, socket: &UdpSocket) {
        let now_ms = self.now_ms();
        let starts_interval = self.state.borrow().gossip.starts_interval();
        let local_state = if starts_interval { self.local_state() } else { LocalState::default() };
        let (output, role, previous_role) = {
            let mut state = self.state.borrow_mut();
            let previous_role = state.gossip.role();
            let output = state.gossip.tick(local_state, now_ms);
            (output, state.gossip.role(), previous_role)
        };
        if role != previous_role {
            let instance = self.instance().as_str();
            log::info!(instance, role:? = role, previous_role:? = previous_role; "role in gossip changed");
        }
        self.handle_output(socket, output).await;
    }

    /// Sends this node's usage counts to the holder of the duty lease. Returns whether a reachable holder is known.
    pub(crate) fn send_counts(&self) -> bool {
        // The synchronized time determines the usage windows.
        let synced_ms = self.synced_ms();
        let Some(holder) = self.duty_holder_address() else { return false };
        let state = self.state.borrow();
        let counts = state.usage_counter.counts(self.instance(), self.incarnation, synced_ms);
        drop(state);
        self.send_to(&Datagram::Counts(counts), &[holder], Urgency::Normal);
        true
    }

    /// Sends the cost that this node has admitted for the teams whose rates need an urgent report, and passes on urgent
    /// reports of other nodes.
    async fn send_rates(&self, socket: &UdpSocket) {
        let now_ms = self.now_ms();
        let (outgoing, output) = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let urgent = state.rates.iter_mut().filter(|it| it.1.needs_urgent_report());
            let admitted = urgent.map(|(team, it)| (short_hash(team.as_str()), it.report()));
            let admitted: Vec<_> = admitted.collect();
            let outgoing =
                if admitted.is_empty() { Vec::new() } else { state.gossip.report_rates(admitted) };
            (outgoing, state.gossip.send_rates(now_ms))
        };
        self.handle_output(socket, Output { outgoing, ..Output::default() }).await;
        self.handle_output(socket, output).await;
    }

    /// Sends the queued updates of upstream entries to the other nodes of the zone, as many in a message as fit. Nodes
    /// in other zones receive updates from the store reader of their own zone. An update stays in the queue until it
    /// has been sent several times, because datagrams get lost.
    fn send_updates(&self) {
        self.send_config_announcement();
        loop {
            let (updates, addresses) = {
                let mut state = self.state.borrow_mut();
                (state.take_updates_to_send(), state.gossip.zone_addresses())
            };
            let is_last = updates.len() < UPDATES_PER_MESSAGE_MAX;
            if !updates.is_empty() {
                self.send_to(&Datagram::UpstreamUpdates(updates), &addresses, Urgency::Normal);
            }
            if is_last {
                return;
            }
        }
    }

    /// Announces a new configuration to the other nodes of the zone. The announcement is sent several times, because
    /// datagrams get lost, and summaries alone may arrive too late.
    pub(crate) fn announce_config(&self, version: u64) {
        self.state.borrow_mut().config_announcement = Some((version, CONFIG_ANNOUNCEMENTS));
        self.updates_due.notify_one();
    }

    /// Announces a configuration that came from a peer, unless enough nodes have announced it.
    pub(crate) fn announce_config_from_peer(&self, version: u64) {
        let mut state = self.state.borrow_mut();
        if state.config_announcements.needs_announcers(version) {
            state.config_announcement = Some((version, 1));
            self.updates_due.notify_one();
        }
    }

    /// Sends the announcement of a configuration that is due.
    fn send_config_announcement(&self) {
        let (version, addresses) = {
            let mut state = self.state.borrow_mut();
            let Some((version, n_left)) = state.config_announcement.take() else { return };
            state.config_announcement = (1 < n_left).then(|| (version, n_left - 1));
            (version, state.gossip.zone_addresses())
        };
        self.send_to(&Datagram::ConfigVersion(version), &addresses, Urgency::Urgent);
    }

    /// Sends messages and applies updates.
    async fn handle_output(&self, socket: &UdpSocket, output: Output) {
        for it in output.updates {
            self.apply_update(it);
        }
        for it in output.announcements {
            let announcement = Datagram::ConfigVersion(it.config_version);
            self.send_to(&announcement, &[it.to], Urgency::Urgent);
        }
        let mut summary_bytes_max = 0;
        let mut encoded: Option<(Message, Rc<[u8]>)> = None;
        for Outgoing { to, message } in output.outgoing {
            let is_summary = matches!(message, Message::Summary(_));
            // Consecutive messages are often equal.
            if encoded.as_ref().is_none_or(|it| it.0 != message) {
                let Some(bytes) = encode(&Datagram::Gossip(message.clone())) else { continue };
                encoded = Some((message, bytes));
            }
            let Some((_, bytes)) = &encoded else { continue };
            if is_summary {
                summary_bytes_max = bytes.len().max(summary_bytes_max);
            }
            send_now(socket, bytes, to).await;
        }
        if 0 < summary_bytes_max {
            self.state.borrow_mut().gossip.on_summary_sent(summary_bytes_max as u64);
        }
    }

    /// Updates the synchronized clock and returns the values that this node reports.
    fn local_state(&self) -> LocalState {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.synced_clock.update(wall_ms(), &state.clock_offsets, now_ms);
        let demand = state.demand.iter_mut();
        let demand = demand
            .map(|(service, meter)| (short_hash(service.as_str()), meter.per_s(now_ms) as f32));
        let admitted = state.rates.iter_mut();
        LocalState {
            wall_ms: wall_ms(),
            config: StoreCopy {
                version: state.route_table.as_ref().map_or(0, |it| it.config.version),
                age_ms: now_ms.saturating_sub(state.local_config_read_ms),
            },
            upstreams: StoreCopy {
                version: state.catalog.digest(),
                age_ms: now_ms.saturating_sub(state.local_list_read_ms),
            },
            loads: state.load_table.report(),
            admitted: admitted.map(|(team, it)| (short_hash(team.as_str()), it.report())).collect(),
            demand: demand.collect(),
            evidence: state.evidence.take_due(),
            segment_reports: state.segment_reports.take_due(),
            limit_reports: state.limit_reports.take_due(),
            quarantined: state.quarantine_reports.take_due(),
            duty_topic_end: state.local_duty_topic_end,
        }
    }

    async fn on_datagram(&self, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
        let datagram: Datagram = match ciborium::from_reader(bytes) {
            Ok(it) => it,
            Err(err) => {
                log::debug!("failed to decode a gossip message from {from}: {err}");
                return;
            }
        };
        match datagram {
            Datagram::Gossip(message) => {
                let output = self.state.borrow_mut().gossip.on_message(message, self.now_ms());
                self.handle_output(socket, output).await;
                if self.state.borrow().gossip.has_urgent_rates() {
                    self.rates_due.notify_one();
                }
            }
            Datagram::ConfigVersion(version) => {
                self.state.borrow_mut().config_announcements.record(version, from);
            }
            Datagram::UpstreamUpdates(updates) => self.apply_updates(updates),
            Datagram::Rollouts(message) => self.on_rollout_message(message, from),
            Datagram::StreamOrigin(message) => self.on_origin_message(message, from),
            Datagram::Counts(counts) => {
                let mut state = self.state.borrow_mut();
                state.peer_counts.push(counts);
                let n_excess = state.peer_counts.len().saturating_sub(PEER_COUNTS_MAX);
                state.peer_counts.drain(..n_excess);
            }
        }
    }

    fn apply_update(&self, update: Update) {
        let now_ms = self.now_ms();
        if let Update::Cluster { summary, .. } = &update
            && let Some(duty) = summary.duty
        {
            self.learn_store_era(duty.topic_end.era());
        }
        let mut state = self.state.borrow_mut();
        match update {
            Update::Cluster { summary, fresh_zones } => {
                state.apply_summary(*summary, &fresh_zones, self.zone_hash(), now_ms);
            }
            Update::Rates(rates) => {
                for it in rates {
                    state.apply_zone_rates(&it, self.zone_hash(), now_ms, now_ms);
                }
            }
        }
    }

    /// Applies upstream entries that another node sent.
    pub(crate) fn apply_updates(&self, updates: Vec<UpstreamUpdate>) {
        let now_ms = self.now_ms();
        if let Some(era) = updates.iter().map(|it| it.position.era()).max() {
            // The sender has learned first that the store has returned from a copy.
            self.learn_store_era(era);
        }
        let changes: Vec<_> = {
            let mut state = self.state.borrow_mut();
            let changes = updates.into_iter().filter_map(|it| match it.change {
                EntryChange::Entry(entry) => state.catalog.insert(*entry, it.position, now_ms),
                EntryChange::Leaving { started_ms, leaves_in_ms } => {
                    state.catalog.set_leaving(&it.id, started_ms, leaves_in_ms, now_ms)
                }
                EntryChange::Removed => state.catalog.remove(&it.id, it.position, now_ms),
            });
            changes.collect()
        };
        self.apply_changes(&changes);
    }
}

fn encode(datagram: &Datagram) -> Option<Rc<[u8]>> {
    let mut bytes = Vec::new();
    if let Err(err) = ciborium::into_writer(datagram, &mut bytes) {
        log::error!(error:% = err; "failed to encode a gossip message");
        return None;
    }
    Some(bytes.into())
}

async fn send_now(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(err) = socket.send_to(bytes, to).await {
        log::debug!("failed to send a gossip message to {to}: {err}");
    }
}

/// Time without a message that names the holder of the duty lease after which no holder is known. The time that a state
/// takes to arrive is added.
const DUTY_HOLDER_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of usage counts from peers that are kept in case this node acquires the duty lease.
const PEER_COUNTS_MAX: usize = 4_096;
/// Maximum number of updates in one message, so that the message fits into one packet.
const UPDATES_PER_MESSAGE_MAX: usize = 24;
/// Key under which the load table holds the requests in progress of all other nodes.
const OTHER_NODES: u64 = 0;

impl State {
    /// Applies the state of the cluster.
    fn apply_summary(
        &mut self,
        summary: Summary,
        fresh_zones: &[u32],
        local_zone: u32,
        now_ms: u64,
    ) {
        self.load_table.on_peer_report(OTHER_NODES, summary.loads, now_ms);
        self.load_table.set_unnamed_loads(summary.unnamed, self.catalog.n_upstreams());
        let demand = summary.demand.into_iter().map(|it| (it.0, f64::from(it.1)));
        self.other_demand = (demand.collect(), now_ms);
        for zone in &summary.zones {
            let as_of_ms = now_ms.saturating_sub(zone.age_ms);
            if fresh_zones.contains(&zone.zone) {
                let ZoneState { zone, source, ref admitted, .. } = *zone;
                let rates = ZoneRates { zone, source, admitted: admitted.clone() };
                self.apply_zone_rates(&rates, local_zone, as_of_ms, now_ms);
            }
            self.on_confirmation(zone, zone.zone == local_zone, now_ms);
        }
        let clocks = summary.zones.iter().flat_map(|it| &it.clocks_ms);
        let offsets = clocks.map(|it| (it.cast_signed() - now_ms.cast_signed(), now_ms));
        self.clock_offsets = offsets.collect();
        for (request, crash) in &summary.evidence {
            if self.suspects.insert_evidence(*request, *crash) {
                self.log_if_quarantined(*request);
            }
        }
        for it in summary.segment_reports {
            if let Some(segment) = self.suspects.segments.on_report(it, now_ms) {
                log::warn!(segment:% = segment; "objected to the quarantine of a prompt segment that was answered before");
            }
        }
        self.on_limit_reports(&summary.limit_reports, now_ms);
        for it in summary.quarantined {
            if self.suspects.on_quarantined(it) {
                self.log_if_quarantined(it.0);
            }
        }
        if let Some(duty) = summary.duty {
            let as_of_ms = now_ms.saturating_sub(duty.age_ms);
            self.received_duty_topic_end = Some((duty.topic_end, as_of_ms));
        }
    }

    /// Handles the total cost that the nodes of a zone have admitted for each team. In the own zone, this is the cost
    /// that the other nodes have admitted.
    fn apply_zone_rates(&mut self, rates: &ZoneRates, local_zone: u32, as_of_ms: u64, now_ms: u64) {
        let (n_live, silence_ms) = self.gossip.n_live_in(rates.zone, now_ms);
        let n_nodes = n_live.saturating_sub(usize::from(rates.zone == local_zone));
        let (peer, source) = (u64::from(rates.zone), rates.source);
        for (team, admitted) in &rates.admitted {
            let rate = self.team_names.get(team).and_then(|it| self.rates.get_mut(it));
            if let Some(rate) = rate {
                let admitted = *admitted;
                rate.handle_report(PeerReport {
                    peer,
                    n_nodes,
                    silence_ms,
                    source,
                    admitted,
                    as_of_ms,
                });
            }
        }
    }

    /// Handles the state of a zone as a confirmation. If the zone has the same version of the configuration as this
    /// node, the last read of the configuration there counts as a read by this node. The same applies to the list of
    /// upstreams if the digests are equal. Another digest in the own zone shows that this node may have lost an update.
    fn on_confirmation(&mut self, zone: &ZoneState, is_local: bool, now_ms: u64) {
        let version = self.route_table.as_ref().map_or(0, |it| it.config.version);
        if version == zone.config.version {
            let read_ms = now_ms.saturating_sub(zone.config.age_ms);
            self.config_read_ms = self.config_read_ms.max(read_ms);
        }
        let read_ms = now_ms.saturating_sub(zone.upstreams.age_ms);
        let local_age_ms = self.catalog.age_ms(now_ms);
        let is_newer = local_age_ms.is_some_and(|it| now_ms.saturating_sub(it) < read_ms);
        if !is_newer {
            return;
        }
        if self.catalog.digest() == zone.upstreams.version {
            self.catalog.confirm(read_ms);
            self.n_list_mismatches = 0;
        } else if is_local {
            self.n_list_mismatches += 1;
        }
    }

    fn has_urgent_news(&self) -> bool {
        self.evidence.is_urgent()
            || self.segment_reports.is_urgent()
            || self.limit_reports.is_urgent()
    }

    /// Returns whether the store reader of the zone has had another list of upstreams for several summaries.
    pub(crate) fn is_list_doubtful(&self) -> bool {
        LIST_MISMATCHES_MAX <= self.n_list_mismatches
    }

    /// Returns the updates of upstream entries for the next message. Decrements the number of times that each of them
    /// is still to be sent, and removes an update from the queue after its last time.
    fn take_updates_to_send(&mut self) -> Vec<UpstreamUpdate> {
        let due = self.upstream_updates.iter_mut().take(UPDATES_PER_MESSAGE_MAX);
        let due = due.map(|it| {
            it.1 -= 1;
            it.0.clone()
        });
        let due = due.collect();
        self.upstream_updates.retain(|it| 0 < it.1);
        due
    }
}

//! The node and its state, which all tasks of the process share.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use rand::{SeedableRng, rngs::SmallRng};
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::xxh3_64;

use lentilhitch_policy::{
    body_memory::BodyMemory,
    brittle,
    catalog::{self, Catalog, Change, Upstream},
    config_announcements::ConfigAnnouncements,
    gossip::{self, Gossip, message::NodeAddress, relay::Relay},
    placement::{self, LoadTable},
    restrictions::Restrictions,
    retry::{self, RetryBudget},
    shared_rate::{self, SharedRate},
    store_era::EraTracker,
    stream_archive::OriginArchive,
    stream_origins::StreamOrigins,
    suspects::{
        QuarantinedRequest, Suspects, UpstreamIncarnation,
        segments::{self, SegmentReport},
    },
    synced_clock::SyncedClock,
    traffic::{Config, RouteTable, Team, UpstreamEntry},
    upstream_limits::{LimitReport, Members},
    upstream_paths::{self, UpstreamPaths},
    usage::{NodeCounts, UsageCounter},
};
use lentilhitch_types::{
    Fingerprint, InstanceName, LogPosition, ServiceName, StoreEra, TeamName, UpstreamName,
};

use crate::{
    admission::AdmittedRequest,
    clock::{Clock, wall_ms},
    gossip::UpstreamUpdate,
    metrics::Metrics,
    outbox::Outbox,
    overload::LoadShedding,
    pool::{Connection, ConnectionPool},
    quarantine_register::SharedQuarantines,
    rollouts::Rollouts,
    settings::NodeSettings,
    stream_archive::OriginReader,
    stream_versions::Inquiries,
    version_register::SharedRegister,
};

/// Phase of a node from its start to its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NodePhase {
    /// The node serves clients normally. No planned stop has started.
    Serving,
    /// A planned stop has started. The readiness check fails, so that the load balancer sends clients to other nodes.
    /// Clients are still served.
    Draining,
    /// No new connections are accepted, and open connections are closed as soon as they are idle.
    Closing,
}

/// A node: one process of the system.
pub(crate) struct Node<P> {
    pub(crate) settings: NodeSettings,
    pub(crate) platform: P,
    pub(crate) clock: Clock,
    /// Random number that distinguishes this process from earlier ones under the same name.
    pub(crate) incarnation: u64,
    pub(crate) metrics: Metrics,
    pub(crate) pool: ConnectionPool,
    /// Connections to peers through which requests are sent, by exchange address.
    pub(crate) peer_pool: ConnectionPool<SocketAddr>,
    pub(crate) state: RefCell<State>,
    /// Load shedding by priority.
    pub(crate) load_shedding: LoadShedding,
    /// Rollouts, in deployments whose operators order versions.
    pub(crate) rollouts: Option<Rollouts>,
    /// Messages to other nodes that wait to be sent.
    pub(crate) outbox: Outbox,
    /// When a byte of any upstream was last received on a connection of this node, or a connection was opened.
    pub(crate) upstream_heard_ms: Cell<u64>,
    /// Number of requests at upstreams.
    pub(crate) n_at_upstreams: Cell<usize>,
    /// Whether upstreams are being probed to tell a crash from a partition of this node.
    pub(crate) is_probing: Cell<bool>,
    /// Memory that bodies of requests and responses take.
    pub(crate) body_memory: Arc<BodyMemory>,
    /// Number of requests whose responses have not been sent completely.
    pub(crate) n_in_flight: Rc<Cell<usize>>,
    pub(crate) phase: watch::Sender<NodePhase>,
    /// Questions to other nodes about the origin of a stream.
    pub(crate) inquiries: Inquiries,
    /// Reads of the origins of streams that the store has.
    pub(crate) origin_reader: OriginReader,
    /// Software versions of the services in the store.
    pub(crate) version_register: SharedRegister,
    /// Quarantines in the store.
    pub(crate) quarantine_register: SharedQuarantines,
    /// Notified when there are changed upstream entries to send to the peers immediately.
    pub(crate) updates_due: Notify,
    /// Notified when the peers should immediately receive the cost of the requests that this node has admitted.
    pub(crate) rates_due: Notify,
    /// Notified when there are origins of streams to pass on to the node that writes them to the store.
    pub(crate) origins_due: Notify,
    /// Notified when this node has origins of streams to write to the store.
    pub(crate) archive_due: Notify,
    /// Era of the store, notified whenever the store has returned from a copy.
    pub(crate) store_restored: watch::Sender<StoreEra>,
    /// Notified whenever an upstream starts to leave or is removed.
    pub(crate) upstreams_leaving: watch::Sender<()>,
}

/// State of a node that changes while it runs.
pub(crate) struct State {
    pub(crate) route_table: Option<Rc<RouteTable>>,
    /// Configuration in force, encoded as it was read from the store.
    pub(crate) config_text: Bytes,
    /// When the configuration was last read from the store, by this node or by a peer that has the same version.
    pub(crate) config_read_ms: u64,
    /// When this node itself last read the configuration from the store, or 0 if it never did.
    pub(crate) local_config_read_ms: u64,
    /// When this node itself last read the list of upstreams from the store, or 0 if it never did.
    pub(crate) local_list_read_ms: u64,
    /// Configurations that nodes of the zone have announced.
    pub(crate) config_announcements: ConfigAnnouncements,
    /// Version of the configuration that this node announces to its zone, and the number of times that it is still to be
    /// sent.
    pub(crate) config_announcement: Option<(u64, u8)>,
    /// Era of the store, as known to this node.
    pub(crate) store_era: EraTracker,
    /// This node's copy of the list of upstreams.
    pub(crate) catalog: Catalog,
    /// Load of each upstream, as known to this node.
    pub(crate) load_table: LoadTable,
    /// Whether this node itself reaches the upstreams.
    pub(crate) paths: UpstreamPaths,
    /// What upstreams have asked of this node or of all nodes.
    pub(crate) restrictions: Restrictions,
    /// Rate limits of the teams that have one.
    pub(crate) rates: FxHashMap<TeamName, SharedRate>,
    /// Names of the teams that have a rate, by hash of the name.
    pub(crate) team_names: FxHashMap<u32, TeamName>,
    /// Retries that this node may still make, by service.
    pub(crate) retry_budgets: FxHashMap<ServiceName, RetryBudget>,
    /// Uncached prompt tokens that this node sends to each service.
    pub(crate) demand: FxHashMap<ServiceName, DemandMeter>,
    /// This node's usage counts.
    pub(crate) usage_counter: UsageCounter,
    /// Time estimated from the wall clocks of several nodes.
    pub(crate) synced_clock: SyncedClock,
    /// Software versions of the services, and which of them began each stream.
    pub(crate) stream_origins: StreamOrigins,
    /// Origins of streams of the zone that this node is to write to the store.
    pub(crate) origin_archive: OriginArchive,
    /// Requests that were present at crashes of upstreams, and so may have caused them.
    pub(crate) suspects: Suspects,
    /// For each upstream, when this node last probed whether it still accepts connections after a connection broke.
    pub(crate) last_probe_ms: FxHashMap<UpstreamName, u64>,
    /// Evidence of crashes to send to the peers: a request that was present at a crash of an upstream, and the id of the
    /// crash.
    pub(crate) evidence: Relay<(Fingerprint, u64)>,
    /// Reports on prompt segments to send to the peers.
    pub(crate) segment_reports: Relay<SegmentReport>,
    /// Reports on limits of upstreams to send to the peers.
    pub(crate) limit_reports: Relay<LimitReport>,
    /// Reports of quarantined requests to send to the peers.
    pub(crate) quarantine_reports: Relay<QuarantinedRequest>,
    /// Changed upstream entries to send to the peers, with the number of times that each is still to be sent.
    pub(crate) upstream_updates: Vec<(UpstreamUpdate, u8)>,
    /// The exchange of state with the other nodes.
    pub(crate) gossip: Gossip,
    /// Offsets of other nodes' wall clocks from this node's monotonic clock, each with the time at which it was received.
    pub(crate) clock_offsets: Vec<(i64, u64)>,
    /// Number of summaries in a row that showed another list of upstreams at the store reader of the zone.
    pub(crate) n_list_mismatches: u32,
    /// Uncached prompt tokens per second that the other nodes send to each service, by hash of the service's name, and
    /// when this was last received.
    pub(crate) other_demand: (FxHashMap<u32, f64>, u64),
    /// Incarnation and time of writing in the last record of each node in the store, by hash of the node's name. A change
    /// shows that the node has written a new record.
    pub(crate) last_node_records: FxHashMap<u64, (u64, u64)>,
    pub(crate) rng: SmallRng,
    /// End of the duty topic after this node's last claim or renewal, while this node holds the duty lease.
    pub(crate) local_duty_topic_end: Option<LogPosition>,
    /// End of the duty topic as last received from the holder of the duty lease, and when it was received.
    pub(crate) received_duty_topic_end: Option<(LogPosition, u64)>,
    /// Usage counts received from peers. They are processed while this node holds the duty lease.
    pub(crate) peer_counts: Vec<NodeCounts>,
}

/// Meter for the rate at which prompt tokens are sent, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DemandMeter {
    tokens: f64,
    decayed_ms: u64,
}

/// Time constant of the decay of the demand meter.
const DEMAND_TIME_CONSTANT_MS: f64 = 3_000.0;

impl DemandMeter {
    /// Counts tokens that are sent now.
    pub(crate) fn add(&mut self, tokens: f64, now_ms: u64) {
        self.decay(now_ms);
        self.tokens += tokens;
    }

    /// Returns the rate in tokens per second.
    pub(crate) fn per_s(&mut self, now_ms: u64) -> f64 {
        self.decay(now_ms);
        self.tokens / (DEMAND_TIME_CONSTANT_MS / 1000.0)
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.decayed_ms) as f64;
        self.decayed_ms = now_ms;
        self.tokens *= (-elapsed_ms / DEMAND_TIME_CONSTANT_MS).exp();
    }
}

/// Returns the hash that identifies a node in messages between nodes.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the shorter hash that identifies a zone, service or team in messages between nodes. There are fewer of them
/// than nodes, so 32 bits suffice.
pub(crate) fn short_hash(name: &str) -> u32 {
    name_hash(name) as u32
}

/// Part of the time after which nodes know of an event that other nodes have to object to a quarantine: the evidence and
/// the objection take one part each.
const OBJECTION_CONTACT_DIVISOR: u64 = 3;
/// Time for which a node counts as running after its last message or its last new record in the store. In large
/// deployments, three intervals between reads of the list of nodes apply instead if they are longer.
const NODE_RETENTION_MS: u64 = 25_000;

impl<P> Node<P> {
    pub(crate) fn new(settings: NodeSettings, platform: P) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let seed = name_hash(settings.instance.as_str()) ^ wall_ms();
        let incarnation = rand::random();
        let address = NodeAddress {
            node: name_hash(settings.instance.as_str()),
            zone: short_hash(settings.zone.as_str()),
            gossip: settings.gossip_address,
            exchange: settings.exchange_address,
        };
        let gossip = Gossip::new(gossip::Settings::default(), address, incarnation);
        let state = State {
            route_table: None,
            config_text: Bytes::new(),
            config_read_ms: 0,
            local_config_read_ms: 0,
            local_list_read_ms: 0,
            config_announcements: ConfigAnnouncements::default(),
            config_announcement: None,
            store_era: EraTracker::default(),
            catalog: Catalog::new(catalog::Settings::default()),
            load_table: LoadTable::new(
                placement::Settings {
                    strategy: settings.strategy,
                    ..placement::Settings::default()
                },
                settings.zone.clone(),
            ),
            paths: UpstreamPaths::new(upstream_paths::Settings::default()),
            restrictions: Restrictions::default(),
            rates: FxHashMap::default(),
            team_names: FxHashMap::default(),
            retry_budgets: FxHashMap::default(),
            demand: FxHashMap::default(),
            usage_counter: UsageCounter::new(settings.bounds.usage_window_ms),
            synced_clock: SyncedClock::default(),
            stream_origins: StreamOrigins::default(),
            origin_archive: OriginArchive::default(),
            suspects: Suspects::new(segments::Settings {
                objection_ms: settings.bounds.contact_ms / OBJECTION_CONTACT_DIVISOR,
                reminder_interval_ms: settings.bounds.contact_ms / OBJECTION_CONTACT_DIVISOR,
                ..segments::Settings::default()
            }),
            last_probe_ms: FxHashMap::default(),
            evidence: Relay::default(),
            segment_reports: Relay::default(),
            limit_reports: Relay::default(),
            quarantine_reports: Relay::default(),
            upstream_updates: Vec::new(),
            local_duty_topic_end: None,
            received_duty_topic_end: None,
            peer_counts: Vec::new(),
            gossip,
            clock_offsets: Vec::new(),
            n_list_mismatches: 0,
            other_demand: (FxHashMap::default(), 0),
            last_node_records: FxHashMap::default(),
            rng: SmallRng::seed_from_u64(seed),
        };
        let metrics = Metrics::new()?;
        let (phase, _) = watch::channel(NodePhase::Serving);
        let (upstreams_leaving, _) = watch::channel(());
        let (store_restored, _) = watch::channel(StoreEra::default());
        let outbox = Outbox::new(settings.link_bytes_per_s);
        let body_memory = BodyMemory::new(settings.memory_bytes);
        let rollouts = Rollouts::new(&settings, incarnation, clock.monotonic_ms());
        Ok(Self {
            settings,
            load_shedding: LoadShedding::default(),
            rollouts,
            outbox,
            platform,
            clock,
            incarnation,
            metrics,
            pool: ConnectionPool::default(),
            peer_pool: ConnectionPool::default(),
            upstream_heard_ms: Cell::default(),
            n_at_upstreams: Cell::default(),
            is_probing: Cell::default(),
            state: RefCell::new(state),
            body_memory,
            n_in_flight: Rc::default(),
            phase,
            inquiries: Inquiries::default(),
            origin_reader: OriginReader::default(),
            version_register: SharedRegister::default(),
            quarantine_register: SharedQuarantines::default(),
            updates_due: Notify::new(),
            rates_due: Notify::new(),
            origins_due: Notify::new(),
            archive_due: Notify::new(),
            store_restored,
            upstreams_leaving,
        })
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.monotonic_ms()
    }

    /// Returns the synchronized time in milliseconds since the Unix epoch.
    pub(crate) fn synced_ms(&self) -> u64 {
        let now_ms = self.now_ms();
        self.state.borrow().synced_clock.now_ms(now_ms).unwrap_or_else(wall_ms)
    }

    pub(crate) fn instance(&self) -> &InstanceName {
        &self.settings.instance
    }

    /// Returns the hash that identifies this node's zone in messages between nodes.
    pub(crate) fn zone_hash(&self) -> u32 {
        short_hash(self.settings.zone.as_str())
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.state.borrow().route_table.as_ref().map_or(0, |it| it.config.version)
    }

    /// Returns whether the load balancer may send clients to this node.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let is_initialized = state.route_table.is_some() && state.catalog.iter().next().is_some();
        is_initialized && *self.phase.borrow() == NodePhase::Serving
    }

    /// Returns the number of nodes that count as running, including this node.
    pub(crate) fn n_nodes(&self) -> usize {
        self.state.borrow().gossip.n_nodes(self.now_ms())
    }

    /// Puts a configuration into force if its version is higher than the current one. `source` is where it came from.
    pub(crate) fn apply_config(&self, config: Config, text: Bytes, source: &'static str) {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let current = state.route_table.as_ref().map(|it| it.config.version);
        if current.is_some_and(|it| config.version <= it) {
            return;
        }
        let version = config.version;
        let n_routes = config.routes.len();
        let instance = self.settings.instance.as_str();
        log::info!(instance, version, n_routes, source; "configuration in force");
        state.set_rates(&config.teams, self.clock.uptime_ms(), now_ms);
        state.stream_origins.set_timeout_max_ms(config.stream_timeout_max_ms(), now_ms);
        state.route_table = Some(Rc::new(RouteTable::new(config)));
        state.config_text = text;
    }

    /// Applies changes of the list of upstreams to the load table, the connection pool and the suspects, and notifies
    /// the tasks that wait for leaving upstreams.
    pub(crate) fn apply_changes(&self, changes: &[Change]) {
        let now_ms = self.now_ms();
        if !changes.is_empty() {
            self.on_versions_changed();
        }
        for change in changes {
            let mut state = self.state.borrow_mut();
            if matches!(change, Change::Leaving(_) | Change::Removed { .. }) {
                self.upstreams_leaving.send_replace(());
            }
            match change {
                Change::Added(id) => log::info!(upstream = id.as_str(); "upstream added"),
                Change::Leaving(id) => log::info!(upstream = id.as_str(); "upstream is leaving"),
                Change::Restarted(id, started_ms) => {
                    state.record_crash(&(id.clone(), *started_ms), now_ms);
                    log::info!(upstream = id.as_str(); "upstream restarted");
                    state.load_table.reset_upstream(id);
                    self.pool.close_idle(id);
                }
                Change::Removed { id, started_ms, was_leaving } => {
                    if !was_leaving {
                        state.record_crash(&(id.clone(), *started_ms), now_ms);
                    }
                    log::info!(upstream = id.as_str(); "upstream removed");
                    state.load_table.reset_upstream(id);
                    self.pool.close_idle(id);
                }
            }
        }
    }

    /// Removes and returns an idle connection to an upstream. While this node is cut off, only one that was used since is
    /// returned, because the others may hang.
    pub(crate) fn take_pooled(
        &self,
        upstream: &UpstreamName,
        idle_max_ms: u64,
    ) -> Option<Connection> {
        let since_ms = self.cut_off_since_ms();
        let idle_max_ms = since_ms.map_or(idle_max_ms, |it| idle_max_ms.min(self.now_ms() - it));
        self.pool.take(upstream, idle_max_ms, self.clock)
    }

    /// Keeps a connection on which a response has been read completely. `keep_alive_ms` is the idle limit that the
    /// upstream stated.
    pub(crate) fn put_pooled(
        &self,
        upstream: &UpstreamName,
        connection: Connection,
        keep_alive_ms: Option<u64>,
    ) {
        match connection.peer {
            Some(peer) => self.peer_pool.put(&peer, connection, None, self.clock),
            None => self.pool.put(upstream, connection, keep_alive_ms, self.clock),
        }
    }

    /// Records that a request was answered completely, so that the segments of its prompt do not crash upstreams.
    pub(crate) fn record_answer(&self, admitted: &AdmittedRequest) {
        let now_ms = self.now_ms();
        self.state.borrow_mut().suspects.segments.record_answer(&admitted.suspect.segments, now_ms);
    }

    /// Drops nodes whose last message and last new record in the store are both too old. Drops none if the list of nodes
    /// could not be read, in which case `is_store_reachable` is false.
    pub(crate) fn drop_expired_nodes(&self, is_store_reachable: bool) {
        if !is_store_reachable {
            return;
        }
        let now_ms = self.now_ms();
        let retention_ms = NODE_RETENTION_MS.max(3 * self.nodes_poll_interval_ms());
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.gossip.drop_expired_nodes(retention_ms, now_ms);
        let zones: Vec<_> = state.gossip.zones().map(|it| u64::from(it.state.zone)).collect();
        for rate in state.rates.values_mut() {
            rate.retain_peers(|it| zones.contains(&it));
        }
    }
}

/// Returns the upstreams of a service that may get requests from this node now.
pub(crate) fn available<'a>(
    catalog: &'a Catalog,
    restrictions: &'a Restrictions,
    service: &'a ServiceName,
    now_ms: u64,
) -> impl Iterator<Item = &'a Upstream> {
    catalog.ready(service).filter(move |it| restrictions.remaining_ms(&it.entry, now_ms).is_none())
}

impl State {
    /// Records that an incarnation of an upstream ended without notice. The requests whose connections to it broke
    /// become suspects.
    pub(crate) fn record_crash(&mut self, incarnation: &UpstreamIncarnation, now_ms: u64) {
        let present = self.suspects.record_crash(incarnation, now_ms);
        if present.is_empty() {
            return;
        }
        let suspects = present.iter().map(|it| it.0.to_string()).collect::<Vec<_>>().join(",");
        log::warn!(upstream = incarnation.0.as_str(), n_suspects = present.len(), suspects; "upstream crashed");
        self.evidence.extend(&present, now_ms);
        for (request, _) in present {
            self.log_if_quarantined(request);
        }
    }

    /// Starts the quarantines of prompt segments that are due, updates the shares in limits of upstreams, and queues the
    /// reports on both for the peers. Returns whether a quarantine has begun.
    pub(crate) fn update_upstream_news(&mut self, now_ms: u64) -> bool {
        self.suspects.end_adopted_quarantines(now_ms);
        let segments = &mut self.suspects.segments;
        let newly_quarantined = segments.decide(now_ms);
        for (segment, n_crashes) in &newly_quarantined {
            log::warn!(segment:% = segment, n_crashes; "prompt segment quarantined");
        }
        self.segment_reports.extend(&segments.take_reports(now_ms), now_ms);
        self.quarantine_reports.extend(&self.suspects.take_reminders(now_ms), now_ms);
        if !self.restrictions.limits.is_empty() {
            let others = self.gossip.other_nodes();
            let members = Members { local: self.gossip.local_node(), others: &others };
            self.restrictions.limits.update(members, now_ms);
            self.limit_reports.extend(&self.restrictions.limits.take_reports(), now_ms);
        }
        !newly_quarantined.is_empty()
    }

    /// Records the limit in requests per second that an upstream states in a response, or that it states none.
    pub(crate) fn record_limit(&mut self, entry: &UpstreamEntry, per_s: Option<f64>, now_ms: u64) {
        let limits = &mut self.restrictions.limits;
        if per_s.is_none() && limits.is_empty() {
            return;
        }
        let others = self.gossip.other_nodes();
        let members = Members { local: self.gossip.local_node(), others: &others };
        if limits.record(entry, per_s, members, now_ms) {
            let share_per_s = limits.share_per_s(entry);
            log::info!(upstream = entry.id.as_str(), limit_per_s = per_s, share_per_s; "limit of upstream changed");
        }
    }

    /// Returns the upstreams of a service to which this node sends nothing now because they are brittle.
    pub(crate) fn blocked_upstreams(
        &mut self,
        service: &ServiceName,
        now_ms: u64,
    ) -> FxHashSet<UpstreamName> {
        let Self { restrictions, catalog, load_table, gossip, .. } = self;
        if !restrictions.brittle.is_brittle(service, now_ms) {
            return FxHashSet::default();
        }
        let others = gossip.other_nodes();
        let members = Members { local: gossip.local_node(), others: &others };
        let blocked = catalog.ready(service).filter(|it| {
            let id = &it.entry.id;
            let load = brittle::Load {
                n_unanswered: load_table.n_unanswered(id),
                n_requests: load_table.n_requests(id, now_ms),
            };
            !restrictions.brittle.may_send(&it.entry, load, members, now_ms)
        });
        blocked.map(|it| it.entry.id.clone()).collect()
    }

    /// Handles the reports of other nodes on limits of upstreams.
    pub(crate) fn on_limit_reports(&mut self, reports: &[LimitReport], now_ms: u64) {
        if reports.is_empty() {
            return;
        }
        let others = self.gossip.other_nodes();
        let members = Members { local: self.gossip.local_node(), others: &others };
        for it in reports {
            if self.restrictions.limits.on_report(*it, members, now_ms) {
                log::info!(upstream_hash = it.upstream, limit_per_ks = it.limit_per_ks; "limit of upstream reported");
            }
        }
    }

    /// Logs if a request is quarantined, which means that it is no longer sent to any upstream.
    pub(crate) fn log_if_quarantined(&self, request: Fingerprint) {
        if self.suspects.is_quarantined(request) {
            log::warn!(fingerprint:% = request; "request stopped");
        }
    }

    /// Replaces the teams' rates. Teams that already had a rate keep their state.
    fn set_rates(&mut self, teams: &[Team], uptime_ms: u64, now_ms: u64) {
        let mut rates = FxHashMap::default();
        for team in teams {
            let Some(limit) = team.limit else { continue };
            let rate = if let Some(mut rate) = self.rates.remove(&team.name) {
                rate.set_rate(limit, now_ms);
                rate
            } else {
                let settings = shared_rate::Settings::default();
                SharedRate::new(settings, limit, uptime_ms, now_ms)
            };
            rates.insert(team.name.clone(), rate);
        }
        self.team_names = rates.keys().map(|it| (short_hash(it.as_str()), it.clone())).collect();
        self.rates = rates;
    }

    /// Returns the retry budget of a service.
    pub(crate) fn retry_budget(
        &mut self,
        service: &ServiceName,
        settings: retry::Settings,
    ) -> &mut RetryBudget {
        self.retry_budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(settings))
    }
}

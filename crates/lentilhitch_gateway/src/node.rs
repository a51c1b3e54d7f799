//! The state that the tasks of a node share.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use rand::{SeedableRng, rngs::SmallRng};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::xxh3_64;

use lentilhitch_policy::{
    catalog::{self, Catalog, Change},
    placement::{self, LoadTable},
    retry::{self, RetryBudget},
    shared_rate::{self, SharedRate},
    suspects::{Suspects, UpstreamIncarnation},
    synced_clock::SyncedClock,
    traffic::{Config, RouteTable, Team, UpstreamEntry},
    usage::{NodeCounts, UsageCounter},
};
use lentilhitch_types::{
    Fingerprint, InstanceName, LogOffset, ServiceName, TeamName, UpstreamName,
};

use crate::{
    clock::{Clock, wall_ms},
    gossip::UpstreamUpdate,
    metrics::Metrics,
    pool::Pool,
    settings::NodeSettings,
};

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    Running,
    /// The balancer is told to look elsewhere; clients are served.
    Draining,
    /// Connections close once they are idle.
    Closing,
}

/// One process, for all its tasks.
pub(crate) struct Node<P> {
    pub(crate) settings: NodeSettings,
    pub(crate) platform: P,
    pub(crate) clock: Clock,
    /// Tells this process from its earlier lives.
    pub(crate) incarnation: u64,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Pool,
    pub(crate) state: RefCell<State>,
    /// Requests whose answers have not been sent to their end.
    pub(crate) n_in_flight: Rc<Cell<usize>>,
    pub(crate) stop_phase: watch::Sender<StopPhase>,
    /// Rung when peers should be told something at once.
    pub(crate) updates_due: Notify,
    /// Rung when peers should be told at once what was admitted.
    pub(crate) rates_due: Notify,
    /// Changes whenever an upstream is found to be leaving.
    pub(crate) upstreams_leaving: watch::Sender<()>,
}

/// What a node believes.
pub(crate) struct State {
    pub(crate) route_table: Option<Rc<RouteTable>>,
    pub(crate) config_text: Bytes,
    /// When the store last said what the newest configuration is, to this node or to one that vouched for it.
    pub(crate) config_read_ms: u64,
    /// When this node itself last read the configuration and the list of upstreams.
    pub(crate) local_config_read_ms: u64,
    pub(crate) local_list_read_ms: u64,
    pub(crate) catalog: Catalog,
    pub(crate) load_table: LoadTable,
    pub(crate) rates: FxHashMap<TeamName, SharedRate>,
    /// Teams by hash of their names.
    pub(crate) team_names: FxHashMap<u32, TeamName>,
    pub(crate) retry_budgets: FxHashMap<ServiceName, RetryBudget>,
    pub(crate) demand: FxHashMap<ServiceName, DemandMeter>,
    pub(crate) usage_counter: UsageCounter,
    pub(crate) synced_clock: SyncedClock,
    pub(crate) suspects: Suspects,
    /// When each upstream was last asked whether it still takes connections.
    pub(crate) probed_ms: FxHashMap<UpstreamName, u64>,
    /// Evidence to pass on, with the number of times that it is still sent.
    pub(crate) evidence: Vec<(Fingerprint, u64, u8)>,
    /// Changed entries of upstreams to pass on, with the number of times that each is still sent.
    pub(crate) updates: Vec<(UpstreamUpdate, u8)>,
    pub(crate) peers: FxHashMap<u64, Peer>,
    pub(crate) rng: SmallRng,
    pub(crate) buffered_bytes: usize,
    /// Where the topic of the duties ended at this node's last renewal, while it holds them.
    pub(crate) local_duty_end: Option<LogOffset>,
    /// Where a peer that holds the duties said that their topic ended, and when it said so.
    pub(crate) received_duty_end: Option<(LogOffset, u64)>,
    /// The peer that holds the duties, and when it last said so.
    pub(crate) duty_holder: Option<(u64, u64)>,
    /// What peers said that they counted, until the holder takes it.
    pub(crate) peer_counts: Vec<NodeCounts>,
}

/// Another node.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// By hash of its name.
    pub(crate) zone: u32,
    pub(crate) gossip_address: SocketAddr,
    pub(crate) exchange_address: SocketAddr,
    /// When it last read the list of upstreams itself.
    pub(crate) upstreams_read_ms: u64,
    pub(crate) last_received_ms: u64,
    /// When the store last showed a new record of it.
    pub(crate) last_listed_ms: u64,
    pub(crate) incarnation: u64,
    pub(crate) wall_offset_ms: i64,
    pub(crate) config_version: u64,
    /// Uncached prompt tokens a second that it sends, by service hash.
    pub(crate) demand: FxHashMap<u32, f64>,
    /// Life and time of writing of its last record in the store.
    pub(crate) last_record: (u64, u64),
}

impl Peer {
    /// A peer that has said nothing yet.
    pub(crate) fn new(gossip_address: SocketAddr, exchange_address: SocketAddr) -> Self {
        Self {
            zone: 0,
            gossip_address,
            exchange_address,
            upstreams_read_ms: 0,
            last_received_ms: 0,
            last_listed_ms: 0,
            incarnation: 0,
            wall_offset_ms: 0,
            config_version: 0,
            demand: FxHashMap::default(),
            last_record: (0, 0),
        }
    }

    /// Whether it was heard of lately enough.
    pub(crate) fn is_reachable(&self, peer_timeout_ms: u64, now_ms: u64) -> bool {
        now_ms <= self.last_received_ms + peer_timeout_ms
    }
}

/// The rate at which prompt tokens are sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DemandMeter {
    tokens: f64,
    decayed_ms: u64,
}

/// The time constant of the demand meter.
const DEMAND_TIME_CONSTANT_MS: f64 = 3_000.0;

impl DemandMeter {
    pub(crate) fn add(&mut self, tokens: f64, now_ms: u64) {
        self.decay(now_ms);
        self.tokens += tokens;
    }

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

/// A short name for a node between nodes.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A still shorter one for a zone, service or team, of which there are fewer.
pub(crate) fn short_hash(name: &str) -> u32 {
    name_hash(name) as u32
}

/// A peer is taken to run if it was heard of or listed anew within this time.
const PEER_RETENTION_MS: u64 = 25_000;

impl<P> Node<P> {
    pub(crate) fn new(settings: NodeSettings, platform: P) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let seed = name_hash(settings.instance.as_str()) ^ wall_ms();
        let incarnation = rand::random();
        let state = State {
            route_table: None,
            config_text: Bytes::new(),
            config_read_ms: 0,
            local_config_read_ms: 0,
            local_list_read_ms: 0,
            catalog: Catalog::new(catalog::Settings::default()),
            load_table: LoadTable::new(
                placement::Settings {
                    strategy: settings.strategy,
                    ..placement::Settings::default()
                },
                settings.zone.clone(),
            ),
            rates: FxHashMap::default(),
            team_names: FxHashMap::default(),
            retry_budgets: FxHashMap::default(),
            demand: FxHashMap::default(),
            usage_counter: UsageCounter::new(settings.bounds.usage_window_ms),
            synced_clock: SyncedClock::default(),
            suspects: Suspects::default(),
            probed_ms: FxHashMap::default(),
            evidence: Vec::new(),
            updates: Vec::new(),
            local_duty_end: None,
            received_duty_end: None,
            duty_holder: None,
            peer_counts: Vec::new(),
            peers: FxHashMap::default(),
            rng: SmallRng::seed_from_u64(seed),
            buffered_bytes: 0,
        };
        let metrics = Metrics::new()?;
        let (stop_phase, _) = watch::channel(StopPhase::Running);
        let (upstreams_leaving, _) = watch::channel(());
        Ok(Self {
            settings,
            platform,
            clock,
            incarnation,
            metrics,
            pool: Pool::default(),
            state: RefCell::new(state),
            n_in_flight: Rc::default(),
            stop_phase,
            updates_due: Notify::new(),
            rates_due: Notify::new(),
            upstreams_leaving,
        })
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.monotonic_ms()
    }

    /// True time in milliseconds since 1970.
    pub(crate) fn synced_ms(&self) -> u64 {
        let now_ms = self.now_ms();
        self.state.borrow().synced_clock.now_ms(now_ms).unwrap_or_else(wall_ms)
    }

    pub(crate) fn instance(&self) -> &InstanceName {
        &self.settings.instance
    }

    /// How other nodes call this one and its zone.
    pub(crate) fn node_hash(&self) -> u64 {
        name_hash(self.instance().as_str())
    }

    pub(crate) fn zone_hash(&self) -> u32 {
        short_hash(self.settings.zone.as_str())
    }

    /// The version of the configuration in force; 0 if none is.
    pub(crate) fn config_version(&self) -> u64 {
        self.state.borrow().route_table.as_ref().map_or(0, |it| it.config.version)
    }

    /// Whether the balancer may send clients here.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let is_initialized = state.route_table.is_some() && state.catalog.iter().next().is_some();
        is_initialized && *self.stop_phase.borrow() == StopPhase::Running
    }

    /// Nodes that are taken to run, this one included.
    pub(crate) fn n_nodes(&self) -> usize {
        1 + self.state.borrow().peers.len()
    }

    /// Puts a configuration into force unless a newer one is.
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
        state.route_table = Some(Rc::new(RouteTable::new(config)));
        state.config_text = text;
    }

    /// Takes what changed in the list of upstreams.
    pub(crate) fn apply_changes(&self, changes: &[Change]) {
        let now_ms = self.now_ms();
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
                    self.pool.forget(id);
                }
                Change::Removed { id, started_ms, was_leaving } => {
                    if !was_leaving {
                        state.record_crash(&(id.clone(), *started_ms), now_ms);
                    }
                    log::info!(upstream = id.as_str(); "upstream is gone");
                    state.load_table.reset_upstream(id);
                    self.pool.forget(id);
                }
            }
        }
    }

    /// A life of an upstream refuses connections: it has crashed.
    pub(crate) fn record_crash(&self, entry: &UpstreamEntry) {
        let now_ms = self.now_ms();
        self.state.borrow_mut().record_crash(&(entry.id.clone(), entry.started_ms), now_ms);
    }

    /// Drops peers that neither speak nor are listed. `is_listing` says whether the store was read lately.
    pub(crate) fn drop_expired_peers(&self, is_store_reachable: bool) {
        if !is_store_reachable {
            return;
        }
        let now_ms = self.now_ms();
        let retention_ms = PEER_RETENTION_MS.max(3 * self.nodes_interval_ms());
        let mut state = self.state.borrow_mut();
        state
            .peers
            .retain(|_, it| now_ms <= it.last_received_ms.max(it.last_listed_ms) + retention_ms);
        let State { peers, rates, .. } = &mut *state;
        for rate in rates.values_mut() {
            rate.retain_peers(|it| peers.contains_key(&it));
        }
    }
}

/// How often a piece of evidence is told to the peers, since datagrams get lost.
const EVIDENCE_SENDS: u8 = 4;

impl State {
    /// A life of an upstream ended without notice: the requests whose connections broke there become suspects.
    fn record_crash(&mut self, incarnation: &UpstreamIncarnation, now_ms: u64) {
        let present = self.suspects.record_crash(incarnation, now_ms);
        if present.is_empty() {
            return;
        }
        log::warn!(upstream = incarnation.0.as_str(), n_suspects = present.len(); "upstream crashed");
        for (request, crash) in present {
            self.evidence.push((request, crash, EVIDENCE_SENDS));
            self.log_if_quarantined(request);
        }
    }

    /// Logs that a request is no longer sent on.
    pub(crate) fn log_if_quarantined(&self, request: Fingerprint) {
        if self.suspects.is_quarantined(request) {
            log::warn!(fingerprint:% = request; "request stopped");
        }
    }

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

    /// The budget of second tries at a service.
    pub(crate) fn retry_budget(
        &mut self,
        service: &ServiceName,
        settings: retry::Settings,
    ) -> &mut RetryBudget {
        self.retry_budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(settings))
    }
}

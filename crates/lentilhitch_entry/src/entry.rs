//! State that is shared by all tasks of an entry process.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use parking_lot::{Mutex, RwLock};
use reqwest::Client;
use rustc_hash::FxHashMap;

use lentilhitch_chart::charts::process::{Action, CHART, Event, State};
use lentilhitch_config::{PublishedDeclarations, Settings, Team};
use lentilhitch_platform::{CloudClient, LogClient};
use lentilhitch_policy::{
    limits::{TeamLimit, TokenBucket, demand_share, fixed_share},
    notice::Notices,
    quarantine::{Evidence, Quarantine, Trial},
    retry::{RetryBudget, Settings as RetrySettings},
    routing::PrefixIndex,
};
use lentilhitch_types::{Incarnation, TeamName};

use crate::{
    claims::{ClaimCommitter, ClaimLog},
    clock::{Clock, new_incarnation},
    directory::Directory,
    dispatch::{self, ConnectionReuse},
    follow::SharedFollower,
    journal_copies::JournalCopies,
    journals::Journals,
    log_access::LogAccess,
    metrics::Metrics,
    orders::Orders,
    peers::Peers,
    protocol::Message,
    upstreams::Upstreams,
};

/// Weight of the last second in the moving average of a team's demand. Demand is the number of requests of a team that
/// arrive at this process per second, including those that the rate limit rejects.
const DEMAND_SMOOTHING: f64 = 0.3;
/// Demand of a team, in requests per second, above which the demand is sent to the peers. A demand up to this value is
/// treated as zero.
const REPORTED_DEMAND_MIN_PER_S: f64 = 0.01;

/// Shared state of an entry process.
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) http: Client,
    /// Client that opens a new connection for each request. If a pooled connection turns out to be closed by the other
    /// side, it is unknown whether the request was received. If a new connection can't be made, the request was
    /// certainly not sent.
    pub(crate) http_unpooled: Client,
    pub(crate) cloud: CloudClient,
    pub(crate) config: SharedFollower<PublishedDeclarations>,
    pub(crate) journal_copies: JournalCopies,
    pub(crate) journals: Journals,
    pub(crate) metrics: Metrics,
    pub(crate) notices: Mutex<Notices>,
    pub(crate) orders: Orders,
    pub(crate) prefixes: Mutex<PrefixIndex>,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) upstreams: Upstreams,
    claims: ClaimLog,
    directory: RwLock<Arc<Directory>>,
    n_in_progress: Arc<AtomicUsize>,
    log_client: LogClient,
    peers: Peers,
    state: Mutex<State>,
    team_usages: Mutex<FxHashMap<TeamName, TeamUsage>>,
}

/// Rate limit and demand of a team at this process.
#[derive(Debug)]
struct TeamUsage {
    bucket: TokenBucket,
    /// Number of requests since the demand was last updated.
    n_requests: u32,
    /// Moving average of the requests per second that arrive at this process.
    demand_per_s: f64,
    /// Demand in the last heartbeat to the peers.
    sent_demand_per_s: f64,
}

/// Counts a client's request as in progress until dropped.
#[derive(Debug)]
pub(crate) struct InProgressGuard(Arc<AtomicUsize>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Entry {
    pub(crate) fn new(settings: Settings) -> anyhow::Result<(Arc<Self>, ClaimCommitter)> {
        let http = dispatch::client(settings.timing.connect_timeout_ms, ConnectionReuse::Enabled)?;
        let http_unpooled =
            dispatch::client(settings.timing.connect_timeout_ms, ConnectionReuse::Disabled)?;
        let (claims, committer) = ClaimLog::new();
        let (platform, timeout_ms) =
            (settings.platform_address, settings.timing.platform_timeout_ms);
        let entry = Self {
            incarnation: new_incarnation(),
            clock: Clock::start(),
            cloud: CloudClient::new(http.clone(), platform, timeout_ms),
            config: SharedFollower::default(),
            journal_copies: JournalCopies::default(),
            journals: Journals::default(),
            metrics: Metrics::new()?,
            notices: Mutex::default(),
            orders: Orders::new(&settings),
            prefixes: Mutex::new(PrefixIndex::new(settings.bounds.prefix_blocks_max as usize)),
            quarantine: Mutex::default(),
            retry_budget: Mutex::new(RetryBudget::new(RetrySettings::default())),
            upstreams: Upstreams::default(),
            claims,
            directory: RwLock::default(),
            n_in_progress: Arc::default(),
            log_client: LogClient::new(http.clone(), platform, timeout_ms),
            peers: Peers::new(&settings),
            state: Mutex::new(CHART.initial()),
            team_usages: Mutex::default(),
            http,
            http_unpooled,
            settings,
        };
        Ok((Arc::new(entry), committer))
    }

    pub(crate) fn claims(&self) -> &ClaimLog {
        &self.claims
    }

    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    pub(crate) fn log_client(&self) -> &LogClient {
        &self.log_client
    }

    pub(crate) fn log_access(&self) -> LogAccess<'_> {
        LogAccess {
            log_client: &self.log_client,
            peers: &self.peers,
            wait_ms: self.settings.timing.log_wait_ms,
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn directory(&self) -> Arc<Directory> {
        self.directory.read().clone()
    }

    /// Puts the last read configuration into force.
    pub(crate) fn apply_config(&self) {
        *self.directory.write() = Arc::new(self.config.with(Directory::new));
        self.step(Event::Configured);
        log::info!(next:% = self.config.next(); "configuration in force");
    }

    /// Returns the state of the process.
    pub(crate) fn state(&self) -> State {
        *self.state.lock()
    }

    /// Applies an event to the state of the process and returns the resulting actions.
    pub(crate) fn step(&self, event: Event) -> Vec<Action> {
        let mut state = self.state.lock();
        let step = CHART.step(*state, event);
        if step.to != *state {
            log::info!(from:? = *state, to:? = step.to; "process state changed");
        }
        *state = step.to;
        step.actions
    }

    /// Returns whether the load balancer should send clients to this process.
    pub(crate) fn is_ready(&self) -> bool {
        self.state() == State::Serving
    }

    /// Returns whether the process is stopping or has stopped.
    pub(crate) fn is_leaving(&self) -> bool {
        !matches!(self.state(), State::Starting | State::Serving)
    }

    /// Counts a request as in progress. Returns `None` if there are too many.
    pub(crate) fn try_start_request(&self) -> Option<InProgressGuard> {
        let n_before = self.n_in_progress.fetch_add(1, Ordering::SeqCst);
        let guard = InProgressGuard(self.n_in_progress.clone());
        ((n_before as u64) < self.settings.bounds.requests_max).then_some(guard)
    }

    pub(crate) fn n_in_progress(&self) -> usize {
        self.n_in_progress.load(Ordering::SeqCst)
    }

    /// Admits one request of a team, or returns the time in milliseconds after which one will be admitted.
    pub(crate) fn admit(&self, team: &Team) -> Result<(), u64> {
        let now_ms = self.clock.now_ms();
        let limit = TeamLimit { rate_per_s: team.requests_per_s, burst: team.burst_requests };
        let mut usages = self.team_usages.lock();
        let usage = usages.entry(team.team.clone()).or_insert_with(|| TeamUsage {
            bucket: TokenBucket::new(self.local_limit(limit, &team.team, 0.0), now_ms),
            n_requests: 0,
            demand_per_s: 0.0,
            sent_demand_per_s: 0.0,
        });
        usage.n_requests += 1;
        usage.bucket.try_admit(now_ms)
    }

    /// Updates the moving average of each team's demand at this process. Must be called once a second.
    pub(crate) fn measure_demand(&self) {
        let directory = self.directory();
        let mut usages = self.team_usages.lock();
        usages.retain(|name, _| directory.teams.iter().any(|it| it.team == *name));
        for usage in usages.values_mut() {
            let requests_per_s = f64::from(std::mem::take(&mut usage.n_requests));
            usage.demand_per_s += DEMAND_SMOOTHING * (requests_per_s - usage.demand_per_s);
        }
    }

    /// Returns the demand at this process, in requests per second, of each team whose demand exceeds
    /// [`REPORTED_DEMAND_MIN_PER_S`], and records these values as sent. The caller must send them to the peers in the
    /// next heartbeat.
    pub(crate) fn next_demand_report(&self) -> Vec<(TeamName, f32)> {
        let mut usages = self.team_usages.lock();
        for usage in usages.values_mut() {
            let is_reported = REPORTED_DEMAND_MIN_PER_S < usage.demand_per_s;
            usage.sent_demand_per_s = if is_reported { usage.demand_per_s } else { 0.0 };
        }
        let with_demand = usages.iter().filter(|it| 0.0 < it.1.sent_demand_per_s);
        with_demand.map(|(name, it)| (name.clone(), it.sent_demand_per_s as f32)).collect()
    }

    /// Updates this process's share of each team's rate limit. Called after each heartbeat that is sent or received.
    pub(crate) fn update_team_limits(&self) {
        let now_ms = self.clock.now_ms();
        let directory = self.directory();
        let mut usages = self.team_usages.lock();
        for team in &directory.teams {
            let Some(usage) = usages.get_mut(&team.team) else { continue };
            let limit = TeamLimit { rate_per_s: team.requests_per_s, burst: team.burst_requests };
            usage
                .bucket
                .set_limit(self.local_limit(limit, &team.team, usage.sent_demand_per_s), now_ms);
        }
    }

    /// Returns this process's share of a team's rate limit. The share of the rate depends on the demand at each process
    /// if all peers are alive ([`demand_share`]), otherwise all shares are equal. The burst is always divided equally,
    /// with a minimum of one request.
    fn local_limit(&self, limit: TeamLimit, team: &TeamName, local_demand_per_s: f64) -> TeamLimit {
        let n_processes = self.peers.n_processes();
        let rate_per_s = match self.peers.demands_per_s(team) {
            Some(mut demands) => {
                demands.push(local_demand_per_s);
                demand_share(limit.rate_per_s, &demands, demands.len() - 1)
            }
            None => fixed_share(limit.rate_per_s, n_processes),
        };
        TeamLimit { rate_per_s, burst: (limit.burst / n_processes as f64).max(1.0) }
    }

    /// Handles evidence of crashes, found by this process or received from a peer, and sends what is new to all peers.
    pub(crate) fn on_evidence(&self, evidence: &[Evidence]) {
        let mut quarantine = self.quarantine.lock();
        let new: Vec<_> = evidence.iter().filter(|it| quarantine.insert(it)).cloned().collect();
        drop(quarantine);
        if !new.is_empty() {
            self.peers.broadcast(&Message::Evidence(new));
        }
    }

    /// Starts a suspect's trial at an upstream unless another suspect is on trial there, and notifies the peers. Only
    /// the arbiter of the upstream may call this. Returns whether the trial was granted.
    pub(crate) fn grant_trial(&self, trial: &Trial) -> bool {
        let is_granted = self.quarantine.lock().grant_trial(trial);
        if is_granted {
            self.peers.broadcast(&Message::Trial(trial.clone()));
        }
        is_granted
    }

    /// Records the end of a trial and notifies the peers.
    pub(crate) fn announce_trial(&self, trial: Trial) {
        self.quarantine.lock().apply_trial(&trial);
        self.peers.broadcast(&Message::Trial(trial));
    }

    pub(crate) fn evidence(&self) -> Vec<Evidence> {
        self.quarantine.lock().iter().collect()
    }
}

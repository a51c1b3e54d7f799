//! Everything that the tasks of one process share.

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
    claims::{ClaimDesk, Committer},
    clock::{Clock, incarnation},
    copies::Copies,
    directory::Directory,
    dispatch::{self, ConnectionReuse},
    follow::Followed,
    journals::Journals,
    log_access::LogAccess,
    metrics::Metrics,
    orders::Orders,
    peers::Peers,
    protocol::Message,
    upstreams::Upstreams,
};

/// Weight of the newest second in the demand of a team.
const DEMAND_SMOOTHING: f64 = 0.3;
/// Less counts as none.
const DEMAND_MIN_PER_S: f64 = 0.01;

/// One entry process.
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) http: Client,
    /// Opens a connection for each request. A request that is written to a kept connection which the other side has
    /// closed may or may not have been received; on a new connection it is known not to have been sent.
    pub(crate) http_unkept: Client,
    pub(crate) cloud: CloudClient,
    pub(crate) config: Followed<PublishedDeclarations>,
    pub(crate) copies: Copies,
    pub(crate) journals: Journals,
    pub(crate) metrics: Metrics,
    pub(crate) notices: Mutex<Notices>,
    pub(crate) orders: Orders,
    pub(crate) prefixes: Mutex<PrefixIndex>,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) upstreams: Upstreams,
    claims: ClaimDesk,
    directory: RwLock<Arc<Directory>>,
    in_progress: Arc<AtomicUsize>,
    log: LogClient,
    peers: Peers,
    state: Mutex<State>,
    teams: Mutex<FxHashMap<TeamName, TeamUse>>,
}

/// What a team takes of this process.
#[derive(Debug)]
struct TeamUse {
    bucket: TokenBucket,
    n_asked: u32,
    demand_per_s: f64,
    /// The demand as the peers were last told.
    told_per_s: f64,
}

/// Counts a caller's request as in progress until dropped.
#[derive(Debug)]
pub(crate) struct InProgress(Arc<AtomicUsize>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Entry {
    pub(crate) fn new(settings: Settings) -> anyhow::Result<(Arc<Self>, Committer)> {
        let http = dispatch::client(settings.timing.connect_timeout_ms, ConnectionReuse::Enabled)?;
        let http_unkept =
            dispatch::client(settings.timing.connect_timeout_ms, ConnectionReuse::Disabled)?;
        let (claims, committer) = ClaimDesk::new();
        let (platform, timeout_ms) =
            (settings.platform_address, settings.timing.platform_timeout_ms);
        let entry = Self {
            incarnation: incarnation(),
            clock: Clock::start(),
            cloud: CloudClient::new(http.clone(), platform, timeout_ms),
            config: Followed::default(),
            copies: Copies::default(),
            journals: Journals::default(),
            metrics: Metrics::new()?,
            notices: Mutex::default(),
            orders: Orders::new(&settings),
            prefixes: Mutex::new(PrefixIndex::new(settings.bounds.prefix_blocks_max as usize)),
            quarantine: Mutex::default(),
            retries: Mutex::new(RetryBudget::new(RetrySettings::default())),
            upstreams: Upstreams::default(),
            claims,
            directory: RwLock::default(),
            in_progress: Arc::default(),
            log: LogClient::new(http.clone(), platform, timeout_ms),
            peers: Peers::new(&settings),
            state: Mutex::new(CHART.initial()),
            teams: Mutex::default(),
            http,
            http_unkept,
            settings,
        };
        Ok((Arc::new(entry), committer))
    }

    pub(crate) fn claims(&self) -> &ClaimDesk {
        &self.claims
    }

    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    pub(crate) fn log_client(&self) -> &LogClient {
        &self.log
    }

    pub(crate) fn log_access(&self) -> LogAccess<'_> {
        LogAccess {
            direct: &self.log,
            peers: &self.peers,
            wait_ms: self.settings.timing.log_wait_ms,
        }
    }

    /// The configuration in force.
    pub(crate) fn directory(&self) -> Arc<Directory> {
        self.directory.read().clone()
    }

    /// Puts the configuration that was read into force.
    pub(crate) fn apply_config(&self) {
        *self.directory.write() = Arc::new(self.config.with(Directory::new));
        self.step(Event::Configured);
        log::info!(next:% = self.config.next(); "configuration in force");
    }

    /// Where the process stands.
    pub(crate) fn state(&self) -> State {
        *self.state.lock()
    }

    /// Takes an event of the process's life.
    pub(crate) fn step(&self, event: Event) -> Vec<Action> {
        let mut state = self.state.lock();
        let step = CHART.step(*state, event);
        if step.to != *state {
            log::info!(from:? = *state, to:? = step.to; "process state");
        }
        *state = step.to;
        step.actions
    }

    /// Whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        self.state() == State::Serving
    }

    pub(crate) fn is_leaving(&self) -> bool {
        !matches!(self.state(), State::Starting | State::Serving)
    }

    /// Counts a request as in progress, unless there are too many.
    pub(crate) fn begin(&self) -> Option<InProgress> {
        let n_before = self.in_progress.fetch_add(1, Ordering::SeqCst);
        let guard = InProgress(self.in_progress.clone());
        ((n_before as u64) < self.settings.bounds.requests_max).then_some(guard)
    }

    pub(crate) fn n_in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Admits one request of a team, or says in how many milliseconds one will be admitted.
    pub(crate) fn admit(&self, team: &Team) -> Result<(), u64> {
        let now_ms = self.clock.now_ms();
        let limit = TeamLimit { rate_per_s: team.requests_per_s, burst: team.burst_requests };
        let mut teams = self.teams.lock();
        let own = teams.entry(team.team.clone()).or_insert_with(|| TeamUse {
            bucket: TokenBucket::new(self.share(limit, &team.team, 0.0), now_ms),
            n_asked: 0,
            demand_per_s: 0.0,
            told_per_s: 0.0,
        });
        own.n_asked += 1;
        own.bucket.try_admit(now_ms)
    }

    /// Once a second: measures each team's demand.
    pub(crate) fn measure_demand(&self) {
        let directory = self.directory();
        let mut teams = self.teams.lock();
        teams.retain(|name, _| directory.teams.iter().any(|it| it.team == *name));
        for own in teams.values_mut() {
            let asked_per_s = f64::from(std::mem::take(&mut own.n_asked));
            own.demand_per_s += DEMAND_SMOOTHING * (asked_per_s - own.demand_per_s);
        }
    }

    /// The demand of each team here, to be told to the peers now.
    pub(crate) fn tell_demand(&self) -> Vec<(TeamName, f32)> {
        let mut teams = self.teams.lock();
        for own in teams.values_mut() {
            let is_any = DEMAND_MIN_PER_S < own.demand_per_s;
            own.told_per_s = if is_any { own.demand_per_s } else { 0.0 };
        }
        let asking = teams.iter().filter(|it| 0.0 < it.1.told_per_s);
        asking.map(|(name, it)| (name.clone(), it.told_per_s as f32)).collect()
    }

    /// Sets this process's share of each team's rate, after each report told or heard.
    pub(crate) fn share_limits(&self) {
        let now_ms = self.clock.now_ms();
        let directory = self.directory();
        let mut teams = self.teams.lock();
        for team in &directory.teams {
            let Some(own) = teams.get_mut(&team.team) else { continue };
            let limit = TeamLimit { rate_per_s: team.requests_per_s, burst: team.burst_requests };
            own.bucket.set_limit(self.share(limit, &team.team, own.told_per_s), now_ms);
        }
    }

    /// This process's part of a team's limit.
    fn share(&self, limit: TeamLimit, team: &TeamName, own_told_per_s: f64) -> TeamLimit {
        let n_processes = self.peers.n_processes();
        let rate_per_s = match self.peers.demands_per_s(team) {
            Some(mut demands) => {
                demands.push(own_told_per_s);
                demand_share(limit.rate_per_s, &demands, demands.len() - 1)
            }
            None => fixed_share(limit.rate_per_s, n_processes),
        };
        TeamLimit { rate_per_s, burst: (limit.burst / n_processes as f64).max(1.0) }
    }

    /// Takes evidence of crashes, one's own or a peer's; passes new pieces on at once.
    pub(crate) fn take_evidence(&self, evidence: &[Evidence]) {
        let mut quarantine = self.quarantine.lock();
        let new: Vec<_> = evidence.iter().filter(|it| quarantine.insert(it)).cloned().collect();
        drop(quarantine);
        if !new.is_empty() {
            self.peers.broadcast(&Message::Evidence(new));
        }
    }

    /// Lets a suspect begin its trial unless another is on trial there, and tells the peers. Only for the arbiter.
    pub(crate) fn grant_trial(&self, trial: &Trial) -> bool {
        let is_granted = self.quarantine.lock().grant_trial(trial);
        if is_granted {
            self.peers.broadcast(&Message::Trial(trial.clone()));
        }
        is_granted
    }

    /// Ends a trial here and tells the peers.
    pub(crate) fn announce_trial(&self, trial: Trial) {
        self.quarantine.lock().apply_trial(&trial);
        self.peers.broadcast(&Message::Trial(trial));
    }

    pub(crate) fn evidence(&self) -> Vec<Evidence> {
        self.quarantine.lock().iter().collect()
    }
}

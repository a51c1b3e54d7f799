//! The other entry processes: links, heartbeats, and what is asked of them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use rustc_hash::FxHashMap;
use tokio::time::{interval, sleep};

use lentilhitch_chart::charts::peer::{Action, State};
use lentilhitch_config::{Peer, Settings};
use lentilhitch_peer::{Key, Link, LinkSettings, dial};
use lentilhitch_platform::{AppendError, LogPage, Stream};
use lentilhitch_policy::{
    membership::{Membership, Settings as MembershipSettings},
    quarantine::Trial,
};
use lentilhitch_types::{
    Fingerprint, Incarnation, InstanceName, LogOffset, RequestId, TeamName, UpstreamName,
};

use crate::{
    entry::Entry,
    protocol::{Heartbeat, Message, Pulled},
};

const DIAL_PAUSE_MS: u64 = 250;

/// Links to the other processes and what is believed of them. No method holds two of the locks at once, and none
/// calls out of this struct while it holds one.
pub(crate) struct Peers {
    own: InstanceName,
    peers: Vec<Peer>,
    timeout: Duration,
    links: Mutex<FxHashMap<InstanceName, Link<Message>>>,
    membership: Mutex<Membership>,
    heartbeats: Mutex<FxHashMap<InstanceName, Heartbeat>>,
}

impl Peers {
    pub(crate) fn new(settings: &Settings) -> Self {
        let heartbeat_ms = settings.timing.heartbeat_ms;
        let membership = MembershipSettings {
            heartbeat_ms,
            timeout_ms: heartbeat_ms * 4,
            suspicion_ms: heartbeat_ms * 4,
        };
        let names = settings.peers.iter().map(|it| it.instance.clone());
        Self {
            own: settings.instance.clone(),
            peers: settings.peers.clone(),
            timeout: Duration::from_millis(settings.timing.peer_timeout_ms),
            links: Mutex::default(),
            membership: Mutex::new(Membership::new(membership, names)),
            heartbeats: Mutex::default(),
        }
    }

    /// What is believed of each peer.
    pub(crate) fn states(&self) -> Vec<(InstanceName, State, bool)> {
        let linked: Vec<_> = self.links.lock().keys().cloned().collect();
        let membership = self.membership.lock();
        let names = self.peers.iter().map(|it| &it.instance);
        names.map(|it| (it.clone(), membership.state(it), linked.contains(it))).collect()
    }

    pub(crate) fn state(&self, peer: &InstanceName) -> State {
        self.membership.lock().state(peer)
    }

    /// Bytes sent over the links that are open now.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.links.lock().values().map(Link::sent_bytes).sum()
    }

    /// The number of entry processes, this one included.
    pub(crate) fn n_processes(&self) -> usize {
        self.peers.len() + 1
    }

    /// The demand for a team at every process that is alive, or `None` while any peer is out of reach.
    pub(crate) fn demands_per_s(&self, team: &TeamName) -> Option<Vec<f64>> {
        if self.membership.lock().alive().len() < self.peers.len() {
            return None;
        }
        let heartbeats = self.heartbeats.lock();
        let of_team = |it: &Heartbeat| {
            it.demand.iter().find(|it| it.0 == *team).map_or(0.0, |it| f64::from(it.1))
        };
        Some(
            self.peers.iter().map(|it| heartbeats.get(&it.instance).map_or(0.0, of_team)).collect(),
        )
    }

    /// Says something to every peer that has a link.
    pub(crate) fn broadcast(&self, message: &Message) {
        for link in self.links.lock().values() {
            link.notify(message.clone());
        }
    }

    /// Asks one peer.
    pub(crate) async fn ask(&self, peer: &InstanceName, message: Message) -> Option<Message> {
        let link = self.links.lock().get(peer).cloned()?;
        link.request(message, self.timeout).await.ok()
    }

    /// Asks the living peers one after the other, in random order, until `accept` takes an answer.
    async fn ask_any<T>(
        &self,
        message: &Message,
        accept: impl Fn(Message) -> Option<T>,
    ) -> Option<T> {
        let mut names = self.membership.lock().alive();
        names.shuffle(&mut rand::rng());
        for name in names {
            if let Some(taken) = self.ask(&name, message.clone()).await.and_then(&accept) {
                return Some(taken);
            }
        }
        None
    }

    /// Appends through a peer. `None` when none could be asked; a peer that may have appended ends the search.
    pub(crate) async fn log_append(
        &self,
        stream: Stream,
        payload: &str,
    ) -> Option<Result<LogOffset, AppendError>> {
        let mut names = self.membership.lock().alive();
        names.shuffle(&mut rand::rng());
        for name in names {
            let Some(link) = self.links.lock().get(&name).cloned() else { continue };
            let message = Message::LogAppend { stream, payload: payload.to_owned() };
            match link.request(message, self.timeout).await {
                Ok(Message::LogAppended(Err(AppendError::Rejected(_))))
                | Err(lentilhitch_peer::RequestError::NotSent) => {}
                Ok(Message::LogAppended(settled)) => return Some(settled),
                Ok(_) | Err(_) => {
                    return Some(Err(AppendError::Lost(format!("{name} did not answer"))));
                }
            }
        }
        None
    }

    /// Reads through a peer that reaches the log.
    pub(crate) async fn log_read(&self, stream: Stream, from: LogOffset) -> Option<LogPage> {
        let accept = |it| if let Message::LogPage(page) = it { page } else { None };
        self.ask_any(&Message::LogRead { stream, from }, accept).await
    }

    /// The state of a stream at a peer that is further along.
    pub(crate) async fn snapshot(&self, stream: Stream, next: LogOffset) -> Option<Bytes> {
        let accept = |it| if let Message::SnapshotIs(snapshot) = it { snapshot } else { None };
        self.ask_any(&Message::Snapshot { stream, next }, accept).await
    }

    /// Finds a request at the peers: its owner if possible, which then gives it up, else the longest copy.
    pub(crate) async fn pull(&self, request_id: RequestId, team: &TeamName) -> Option<Pulled> {
        let links: Vec<_> = self.links.lock().values().cloned().collect();
        let asks = links
            .iter()
            .map(|it| it.request(Message::Pull { request_id, team: team.clone() }, self.timeout));
        let answers = futures_util::future::join_all(asks).await;
        let found = answers.into_iter().filter_map(|it| match it {
            Ok(Message::Pulled(pulled)) => pulled,
            _ => None,
        });
        found.max_by_key(|it| {
            (it.was_owner, it.record.finish_reason.is_some(), it.record.tokens.len())
        })
    }

    /// The process that arbitrates for an upstream, the same for all that see the same peers alive; `None` for this one.
    fn arbiter(&self, upstream: &UpstreamName) -> Option<InstanceName> {
        let weight = |it: &InstanceName| {
            Fingerprint::of(&[upstream.as_str().as_bytes(), it.as_str().as_bytes()])
        };
        let alive = self.membership.lock().alive();
        let best = alive.into_iter().max_by_key(weight)?;
        (weight(&self.own) < weight(&best)).then_some(best)
    }

    /// Asks whether a suspect may begin its trial.
    pub(crate) async fn ask_trial(&self, entry: &Entry, trial: &Trial) -> bool {
        match self.arbiter(&trial.upstream.0) {
            None => entry.grant_trial(trial),
            Some(peer) => {
                let is_granted = self.ask(&peer, Message::TrialAsk(trial.clone())).await
                    == Some(Message::TrialGranted(true));
                if is_granted {
                    entry.quarantine.lock().apply_trial(trial);
                }
                is_granted
            }
        }
    }

    /// A living peer to keep copies for a request, in another zone if there is one; always the same one for a request
    /// while the same peers live (highest random weight, Thaler and Ravishankar 1998).
    pub(crate) fn copy_holder(
        &self,
        request_id: RequestId,
        own: &Settings,
        not: &[InstanceName],
    ) -> Option<InstanceName> {
        let alive = self.membership.lock().alive();
        let eligible = self
            .peers
            .iter()
            .filter(|it| alive.contains(&it.instance) && !not.contains(&it.instance));
        let weight = |it: &Peer| {
            let text = format!("{request_id} {}", it.instance);
            (it.zone != own.zone, Fingerprint::of(&[text.as_bytes()]))
        };
        eligible.max_by_key(|it| weight(it)).map(|it| it.instance.clone())
    }

    /// Answers a process that suspects another, if this one hears it.
    pub(crate) fn answer_who_hears(&self, asker: &InstanceName, suspect: &InstanceName) {
        if self.state(suspect) != State::Alive {
            return;
        }
        let incarnation = self.heartbeats.lock().get(suspect).map(|it| it.incarnation);
        if let (Some(incarnation), Some(link)) = (incarnation, self.links.lock().get(asker)) {
            link.notify(Message::Heard(suspect.clone(), incarnation));
        }
    }

    /// Another process hears this peer.
    pub(crate) fn hear_of(&self, peer: &InstanceName, incarnation: Incarnation, now_ms: u64) {
        self.membership.lock().on_seen_by_other(peer, incarnation, now_ms);
    }

    pub(crate) fn hear_heartbeat(
        &self,
        entry: &Arc<Entry>,
        peer: &InstanceName,
        heartbeat: Heartbeat,
    ) {
        let now_ms = entry.clock.now_ms();
        let mut actions = Vec::new();
        {
            let mut membership = self.membership.lock();
            actions.extend(membership.on_heartbeat(peer, heartbeat.incarnation, now_ms));
            if heartbeat.is_leaving {
                actions.extend(membership.on_leaving(peer, heartbeat.incarnation, now_ms));
            }
        }
        self.heartbeats.lock().insert(peer.clone(), heartbeat);
        entry.share_limits();
        act(entry, peer, &actions);
    }
}

/// Keeps a link to each peer, sends heartbeats and finds silent peers, until the process ends.
pub(crate) async fn run(entry: Arc<Entry>) {
    for peer in entry.settings.peers.clone() {
        tokio::spawn(keep_link(entry.clone(), peer));
    }
    let mut ticks = interval(Duration::from_millis(entry.settings.timing.heartbeat_ms));
    loop {
        ticks.tick().await;
        let peers = entry.peers();
        peers.broadcast(&Message::Heartbeat(heartbeat(&entry)));
        entry.share_limits();
        let changed = peers.membership.lock().tick(entry.clock.now_ms());
        for (peer, actions) in changed {
            log::info!(peer:% = peer, state:? = peers.state(&peer); "peer judged by silence");
            act(&entry, &peer, &actions);
        }
    }
}

pub(crate) fn link_settings(settings: &Settings) -> LinkSettings {
    LinkSettings {
        local_name: settings.instance.clone(),
        keys: settings.peer_keys.iter().map(|it| Key(it.as_bytes().to_vec())).collect(),
        frame_bytes_max: settings.bounds.peer_frame_bytes_max as usize,
        handshake_timeout: Duration::from_millis(settings.timing.peer_timeout_ms),
    }
}

fn heartbeat(entry: &Entry) -> Heartbeat {
    Heartbeat {
        incarnation: entry.incarnation,
        is_leaving: entry.is_leaving(),
        config_next: entry.config.next(),
        claims_next: entry.claims().followed.next(),
        demand: entry.tell_demand(),
    }
}

fn act(entry: &Arc<Entry>, peer: &InstanceName, actions: &[Action]) {
    for action in actions {
        match action {
            Action::AdoptJournals => entry.take_over_copies_of(peer),
            Action::AskSecond => entry.peers().broadcast(&Message::WhoHears(peer.clone())),
            // Shares follow the membership by themselves.
            Action::Reshare => {}
        }
    }
}

async fn keep_link(entry: Arc<Entry>, peer: Peer) {
    let settings = link_settings(&entry.settings);
    let mut was_refused = false;
    loop {
        match dial(&settings, &peer.instance, peer.address).await {
            Ok(link) => {
                was_refused = false;
                log::info!(peer:% = peer.instance; "peer link open");
                link.notify(Message::Notices(entry.notices()));
                link.notify(Message::Evidence(entry.evidence()));
                entry.peers().links.lock().insert(peer.instance.clone(), link.clone());
                link.closed().await;
                entry.peers().links.lock().remove(&peer.instance);
                log::info!(peer:% = peer.instance; "peer link closed");
            }
            Err(err) if !was_refused => {
                was_refused = true;
                log::warn!(peer:% = peer.instance, error:% = err; "peer link not opened");
            }
            Err(_) => {}
        }
        sleep(Duration::from_millis(DIAL_PAUSE_MS)).await;
    }
}

//! Links to the other entry processes, heartbeats, and requests to the peers.

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
    protocol::{Heartbeat, Message, PulledJournal},
};

/// Delay before a peer is dialed again after its link closed or could not be opened.
const DIAL_RETRY_DELAY_MS: u64 = 250;

/// Links to the peers, and the states of the peers. To avoid deadlocks, no method holds two of the locks at once, and
/// none calls out of this struct while it holds one, except for methods of the locked value.
pub(crate) struct Peers {
    local_name: InstanceName,
    peers: Vec<Peer>,
    request_timeout: Duration,
    links: Mutex<FxHashMap<InstanceName, Link<Message>>>,
    membership: Mutex<Membership>,
    /// Last heartbeat of each peer.
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
            local_name: settings.instance.clone(),
            peers: settings.peers.clone(),
            request_timeout: Duration::from_millis(settings.timing.peer_timeout_ms),
            links: Mutex::default(),
            membership: Mutex::new(Membership::new(membership, names)),
            heartbeats: Mutex::default(),
        }
    }

    /// Returns the name and state of each peer, and whether there is a link to it.
    pub(crate) fn states(&self) -> Vec<(InstanceName, State, bool)> {
        let linked: Vec<_> = self.links.lock().keys().cloned().collect();
        let membership = self.membership.lock();
        let names = self.peers.iter().map(|it| &it.instance);
        names.map(|it| (it.clone(), membership.state(it), linked.contains(it))).collect()
    }

    /// Returns the state of a peer.
    pub(crate) fn state(&self, peer: &InstanceName) -> State {
        self.membership.lock().state(peer)
    }

    /// Returns the number of bytes sent over the links that are open now.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.links.lock().values().map(Link::sent_bytes).sum()
    }

    /// Returns the number of entry processes, including this one.
    pub(crate) fn n_processes(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the demand of a team at every peer, in requests per second, as last reported by the peer. Returns `None`
    /// if not all peers are alive.
    pub(crate) fn demands_per_s(&self, team: &TeamName) -> Option<Vec<f64>> {
        if self.membership.lock().alive().len() < self.peers.len() {
            return None;
        }
        let heartbeats = self.heartbeats.lock();
        let team_demand = |it: &Heartbeat| {
            it.demand.iter().find(|it| it.0 == *team).map_or(0.0, |it| f64::from(it.1))
        };
        Some(
            self.peers
                .iter()
                .map(|it| heartbeats.get(&it.instance).map_or(0.0, team_demand))
                .collect(),
        )
    }

    /// Sends a notification to every peer that has a link.
    pub(crate) fn broadcast(&self, message: &Message) {
        for link in self.links.lock().values() {
            link.notify(message.clone());
        }
    }

    /// Sends a request to a peer and returns the response. Returns `None` if there is no link or no response in time.
    pub(crate) async fn request(&self, peer: &InstanceName, message: Message) -> Option<Message> {
        let link = self.links.lock().get(peer).cloned()?;
        link.request(message, self.request_timeout).await.ok()
    }

    /// Sends a request to the peers that are alive, one after the other in random order, until `accept` returns a value
    /// for a response.
    async fn request_any<T>(
        &self,
        message: &Message,
        accept: impl Fn(Message) -> Option<T>,
    ) -> Option<T> {
        let mut names = self.membership.lock().alive();
        names.shuffle(&mut rand::rng());
        for name in names {
            if let Some(accepted) = self.request(&name, message.clone()).await.and_then(&accept) {
                return Some(accepted);
            }
        }
        None
    }

    /// Appends to the log through a peer. Tries the peers that are alive until one of them may have appended the
    /// record. Returns `None` if the record was certainly not appended by any peer.
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
            match link.request(message, self.request_timeout).await {
                Ok(Message::LogAppended(Err(AppendError::Rejected(_))))
                | Err(lentilhitch_peer::RequestError::NotSent) => {}
                Ok(Message::LogAppended(result)) => return Some(result),
                Ok(_) | Err(_) => {
                    return Some(Err(AppendError::Lost(format!("{name} did not answer"))));
                }
            }
        }
        None
    }

    /// Reads from the log through a peer that can reach it.
    pub(crate) async fn log_read(&self, stream: Stream, from: LogOffset) -> Option<LogPage> {
        let accept = |it| if let Message::LogPage(page) = it { page } else { None };
        self.request_any(&Message::LogRead { stream, from }, accept).await
    }

    /// Returns the serialized state of a stream from a peer that has applied records from `next` on.
    pub(crate) async fn snapshot(&self, stream: Stream, next: LogOffset) -> Option<Bytes> {
        let accept =
            |it| if let Message::SnapshotResponse(snapshot) = it { snapshot } else { None };
        self.request_any(&Message::SnapshotRequest { stream, next }, accept).await
    }

    /// Requests the journal of a request from all peers. Prefers the journal of the owner, which then stops running the
    /// request, then a finished copy, then the longest copy.
    pub(crate) async fn pull_journal(
        &self,
        request_id: RequestId,
        team: &TeamName,
    ) -> Option<PulledJournal> {
        let links: Vec<_> = self.links.lock().values().cloned().collect();
        let requests = links.iter().map(|it| {
            it.request(
                Message::JournalPull { request_id, team: team.clone() },
                self.request_timeout,
            )
        });
        let responses = futures_util::future::join_all(requests).await;
        let found = responses.into_iter().filter_map(|it| match it {
            Ok(Message::JournalPulled(pulled)) => pulled,
            _ => None,
        });
        found.max_by_key(|it| {
            (it.was_owner, it.record.finish_reason.is_some(), it.record.tokens.len())
        })
    }

    /// Returns the arbiter of an upstream, or `None` if it is this process. All processes that consider the same
    /// processes alive get the same arbiter.
    fn arbiter(&self, upstream: &UpstreamName) -> Option<InstanceName> {
        let weight = |it: &InstanceName| {
            Fingerprint::of(&[upstream.as_str().as_bytes(), it.as_str().as_bytes()])
        };
        let alive = self.membership.lock().alive();
        let best = alive.into_iter().max_by_key(weight)?;
        (weight(&self.local_name) < weight(&best)).then_some(best)
    }

    /// Requests permission from the upstream's arbiter to start a suspect's trial. Returns whether it was granted.
    pub(crate) async fn request_trial(&self, entry: &Entry, trial: &Trial) -> bool {
        match self.arbiter(&trial.upstream.0) {
            None => entry.grant_trial(trial),
            Some(peer) => {
                let is_granted = self.request(&peer, Message::TrialRequest(trial.clone())).await
                    == Some(Message::TrialGranted(true));
                if is_granted {
                    entry.quarantine.lock().apply_trial(trial);
                }
                is_granted
            }
        }
    }

    /// Returns a peer to hold the journal copy of a request: one that is alive and not in `excluded`, in another zone
    /// if possible. The choice for a request only changes with the set of eligible peers (highest random weight, Thaler
    /// and Ravishankar 1998).
    pub(crate) fn copy_holder(
        &self,
        request_id: RequestId,
        settings: &Settings,
        excluded: &[InstanceName],
    ) -> Option<InstanceName> {
        let alive = self.membership.lock().alive();
        let eligible = self
            .peers
            .iter()
            .filter(|it| alive.contains(&it.instance) && !excluded.contains(&it.instance));
        let weight = |it: &Peer| {
            let text = format!("{request_id} {}", it.instance);
            (it.zone != settings.zone, Fingerprint::of(&[text.as_bytes()]))
        };
        eligible.max_by_key(|it| weight(it)).map(|it| it.instance.clone())
    }

    /// Handles a `SuspectQuery` of `sender`, which suspects the peer `suspect`. If this process considers the suspect
    /// alive, it replies with `SuspectAlive`. Otherwise it does not reply.
    pub(crate) fn on_suspect_query(&self, sender: &InstanceName, suspect: &InstanceName) {
        if self.state(suspect) != State::Alive {
            return;
        }
        let incarnation = self.heartbeats.lock().get(suspect).map(|it| it.incarnation);
        if let (Some(incarnation), Some(link)) = (incarnation, self.links.lock().get(sender)) {
            link.notify(Message::SuspectAlive(suspect.clone(), incarnation));
        }
    }

    /// Handles a `SuspectAlive`, with which another process replies to a `SuspectQuery` of this process. The replying
    /// process considers `suspect` alive in this incarnation.
    pub(crate) fn on_suspect_alive(
        &self,
        suspect: &InstanceName,
        incarnation: Incarnation,
        now_ms: u64,
    ) {
        self.membership.lock().on_seen_by_other(suspect, incarnation, now_ms);
    }

    /// Handles a heartbeat of a peer.
    pub(crate) fn on_heartbeat(
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
        entry.update_team_limits();
        perform_actions(entry, peer, &actions);
    }
}

/// Maintains a link to each peer, sends heartbeats and detects peers that have timed out, until the process ends.
pub(crate) async fn run(entry: Arc<Entry>) {
    for peer in entry.settings.peers.clone() {
        tokio::spawn(maintain_link(entry.clone(), peer));
    }
    let mut ticks = interval(Duration::from_millis(entry.settings.timing.heartbeat_ms));
    loop {
        ticks.tick().await;
        let peers = entry.peers();
        peers.broadcast(&Message::Heartbeat(heartbeat(&entry)));
        entry.update_team_limits();
        let changed = peers.membership.lock().tick(entry.clock.now_ms());
        for (peer, actions) in changed {
            log::info!(peer:% = peer, state:? = peers.state(&peer); "peer state changed: no heartbeat received in time");
            perform_actions(&entry, &peer, &actions);
        }
    }
}

/// Returns the settings for links to peers, for both dialing and listening.
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
        claims_next: entry.claims().follower.next(),
        demand: entry.next_demand_report(),
    }
}

fn perform_actions(entry: &Arc<Entry>, peer: &InstanceName, actions: &[Action]) {
    for action in actions {
        match action {
            Action::AdoptJournals => entry.take_over_copies_of(peer),
            Action::AskSecond => entry.peers().broadcast(&Message::SuspectQuery(peer.clone())),
            // This process's shares of the rate limits are updated with each heartbeat that is sent or received.
            Action::Reshare => {}
        }
    }
}

async fn maintain_link(entry: Arc<Entry>, peer: Peer) {
    let settings = link_settings(&entry.settings);
    let mut is_failure_logged = false;
    loop {
        match dial(&settings, &peer.instance, peer.address).await {
            Ok(link) => {
                is_failure_logged = false;
                log::info!(peer:% = peer.instance; "peer link opened");
                link.notify(Message::Notices(entry.notices()));
                link.notify(Message::Evidence(entry.evidence()));
                entry.peers().links.lock().insert(peer.instance.clone(), link.clone());
                link.closed().await;
                entry.peers().links.lock().remove(&peer.instance);
                log::info!(peer:% = peer.instance; "peer link closed");
            }
            Err(err) if !is_failure_logged => {
                is_failure_logged = true;
                log::warn!(peer:% = peer.instance, error:% = err; "failed to open peer link");
            }
            Err(_) => {}
        }
        sleep(Duration::from_millis(DIAL_RETRY_DELAY_MS)).await;
    }
}

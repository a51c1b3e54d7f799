//! Liveness of the entry processes.
//!
//! Every process receives heartbeats from its peers. A peer whose heartbeats time out becomes suspect, and the process
//! queries the other peers about it. The process considers the suspect dead if, until the suspicion period ends,
//! neither a heartbeat of the suspect arrives nor a report of another peer that the suspect is alive.

use rustc_hash::FxHashMap;

use lentilhitch_chart::charts::peer::{Action, CHART, Event, State};
use lentilhitch_types::{Incarnation, InstanceName};

/// Durations of failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    pub heartbeat_ms: u64,
    /// Time without a heartbeat after which a peer is suspect.
    pub timeout_ms: u64,
    /// Suspicion period: time for which a peer is suspect before it is considered dead.
    pub suspicion_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { heartbeat_ms: 500, timeout_ms: 2_000, suspicion_ms: 2_000 }
    }
}

#[derive(Clone, Debug)]
struct Member {
    state: State,
    incarnation: Incarnation,
    /// When the peer was last known to be running.
    last_received_ms: u64,
    /// When the peer became suspect or announced that it stops.
    suspected_since_ms: u64,
}

/// A process's view of its peers.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    members: FxHashMap<InstanceName, Member>,
}

impl Membership {
    /// Creates a view of the configured peers, all of them in the initial state.
    pub fn new(settings: Settings, peers: impl IntoIterator<Item = InstanceName>) -> Self {
        let member = Member {
            state: CHART.initial(),
            incarnation: Incarnation(0),
            last_received_ms: 0,
            suspected_since_ms: 0,
        };
        Self { settings, members: peers.into_iter().map(|it| (it, member.clone())).collect() }
    }

    /// Returns the state of a peer.
    pub fn state(&self, peer: &InstanceName) -> State {
        self.members.get(peer).map_or(State::Unknown, |it| it.state)
    }

    /// Returns the peers that can be given work, sorted by name.
    pub fn alive(&self) -> Vec<InstanceName> {
        let alive = self.members.iter().filter(|(_, it)| it.state == State::Alive);
        let mut names: Vec<_> = alive.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Handles a heartbeat. A heartbeat of an earlier incarnation is ignored.
    pub fn on_heartbeat(
        &mut self,
        peer: &InstanceName,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Vec<Action> {
        let Some(member) = self.member(peer, incarnation) else { return Vec::new() };
        member.last_received_ms = now_ms;
        let is_new = member.incarnation < incarnation && member.state != State::Unknown;
        member.incarnation = incarnation;
        step(member, if is_new { Event::NewIncarnation } else { Event::Heartbeat })
    }

    /// Handles a report that another process has recently received a heartbeat of the peer's current incarnation.
    pub fn on_seen_by_other(
        &mut self,
        peer: &InstanceName,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Vec<Action> {
        let Some(member) = self.member(peer, incarnation) else { return Vec::new() };
        if member.state == State::Suspect {
            member.last_received_ms = now_ms;
        }
        step(member, Event::SeenBySecond)
    }

    /// Handles the peer's announcement that it stops.
    pub fn on_leaving(
        &mut self,
        peer: &InstanceName,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Vec<Action> {
        let Some(member) = self.member(peer, incarnation) else { return Vec::new() };
        member.incarnation = incarnation;
        member.suspected_since_ms = now_ms;
        member.last_received_ms = now_ms;
        step(member, Event::LeavingAnnounced)
    }

    /// Checks for peers that have timed out. Returns the actions for each peer whose state changed.
    pub fn tick(&mut self, now_ms: u64) -> Vec<(InstanceName, Vec<Action>)> {
        let Settings { timeout_ms, suspicion_ms, .. } = self.settings;
        let mut changed = Vec::new();
        for (name, member) in &mut self.members {
            let is_timed_out = member.last_received_ms + timeout_ms <= now_ms;
            let event = match member.state {
                State::Alive if is_timed_out => Event::Silence,
                State::Suspect if member.suspected_since_ms + suspicion_ms <= now_ms => {
                    Event::SuspicionOver
                }
                State::Leaving
                    if is_timed_out && member.suspected_since_ms + suspicion_ms <= now_ms =>
                {
                    Event::SuspicionOver
                }
                _ => continue,
            };
            if event == Event::Silence {
                member.suspected_since_ms = now_ms;
            }
            changed.push((name.clone(), step(member, event)));
        }
        changed
    }

    /// Returns a peer, unless the message is about an earlier incarnation.
    fn member(&mut self, peer: &InstanceName, incarnation: Incarnation) -> Option<&mut Member> {
        self.members.get_mut(peer).filter(|it| it.incarnation <= incarnation)
    }
}

fn step(member: &mut Member, event: Event) -> Vec<Action> {
    let step = CHART.step(member.state, event);
    member.state = step.to;
    step.actions
}

//! Which entry processes are alive.
//!
//! Every process hears heartbeats of the others in its zone and of the delegates of other zones. Silence makes a peer
//! suspect; a suspect is confirmed dead only when no other path has seen it until the suspicion is over.

use rustc_hash::FxHashMap;

use lentilhitch_chart::charts::peer::{Action, CHART, Event, State};
use lentilhitch_types::{Incarnation, InstanceName};

/// When silence counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    pub heartbeat_ms: u64,
    /// Silence after which a peer is suspect.
    pub timeout_ms: u64,
    /// How long a suspicion lasts before the peer is dead.
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
    last_received_ms: u64,
    suspected_since_ms: u64,
}

/// What a process believes of its peers.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    members: FxHashMap<InstanceName, Member>,
}

impl Membership {
    /// Peers from the settings, of which nothing is known yet.
    pub fn new(settings: Settings, peers: impl IntoIterator<Item = InstanceName>) -> Self {
        let member = Member {
            state: CHART.initial(),
            incarnation: Incarnation(0),
            last_received_ms: 0,
            suspected_since_ms: 0,
        };
        Self { settings, members: peers.into_iter().map(|it| (it, member.clone())).collect() }
    }

    /// What is believed of a peer.
    pub fn state(&self, peer: &InstanceName) -> State {
        self.members.get(peer).map_or(State::Unknown, |it| it.state)
    }

    /// Peers that can be given work, in the order of their names.
    pub fn alive(&self) -> Vec<InstanceName> {
        let alive = self.members.iter().filter(|(_, it)| it.state == State::Alive);
        let mut names: Vec<_> = alive.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Takes a heartbeat. One of an earlier incarnation is ignored.
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

    /// Another process has heard the peer's present incarnation lately.
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

    /// The peer has said that it stops.
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

    /// Finds silent peers. Returns what to do about each peer whose state changed.
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

    /// A peer, unless what is said of it is about an earlier life.
    fn member(&mut self, peer: &InstanceName, incarnation: Incarnation) -> Option<&mut Member> {
        self.members.get_mut(peer).filter(|it| it.incarnation <= incarnation)
    }
}

fn step(member: &mut Member, event: Event) -> Vec<Action> {
    let step = CHART.step(member.state, event);
    member.state = step.to;
    step.actions
}

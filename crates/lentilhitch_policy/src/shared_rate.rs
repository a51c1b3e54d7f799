//! A team's rate, kept by all nodes together without asking anybody.
//!
//! Every node admits from one bucket that all of them share: it takes out what the node admitted itself and what its
//! peers admitted. Between a peer's reports it is charged what it last admitted a second, and the difference is settled
//! by its next report. A peer that has not been heard of for a while is charged its even part of the rate, and so charges
//! us; then the sum stays at the rate while nodes are cut off from each other. The sum passes the rate by no more than
//! demand shifts between nodes from one report to the next.

use rustc_hash::FxHashMap;

use crate::traffic::TeamRate;

/// How a shared rate behaves.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The part of the burst that is used, since what is under way isn't seen.
    pub burst_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { burst_share: 1.0 }
    }
}

/// The nodes that share a rate.
#[derive(Clone, Copy, Debug)]
pub struct Peering {
    /// Nodes that are known to run, this one included.
    pub n_nodes: usize,
    /// A peer that was heard of within this time is charged what it said; a few report intervals.
    pub silent_after_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    life: u64,
    /// What the peer has admitted since it started.
    admitted: f64,
    heard_ms: u64,
    /// What it admitted in a millisecond, smoothed.
    per_ms: f64,
    /// What it was charged since its last report, and up to when.
    charged: f64,
    charged_ms: u64,
}

/// What accrues in the first second of a process is left to those that it has not heard of yet.
const START_QUIET_MS: u64 = 1_000;

/// The weight of the newest report in a peer's smoothed rate.
const SMOOTHING: f64 = 0.4;

/// The bucket of one team.
#[derive(Clone, Debug)]
pub struct SharedRate {
    settings: Settings,
    rate: TeamRate,
    level: f64,
    filled_ms: u64,
    admitted: f64,
    peers: FxHashMap<u64, Peer>,
}

impl SharedRate {
    /// A bucket that holds what has accrued while this process runs: what was admitted before its start isn't known, and
    /// many processes may start at once.
    pub fn new(settings: Settings, rate: TeamRate, running_ms: u64, now_ms: u64) -> Self {
        let accrued = rate.per_s * running_ms.saturating_sub(START_QUIET_MS) as f64 / 1000.0;
        let level = accrued.min(rate.burst * settings.burst_share);
        Self {
            settings,
            rate,
            level,
            filled_ms: now_ms,
            admitted: 0.0,
            peers: FxHashMap::default(),
        }
    }

    /// Changes the rate; a lower burst holds at once.
    pub fn set_rate(&mut self, rate: TeamRate, now_ms: u64) {
        self.fill(now_ms, None);
        self.rate = rate;
        self.level = self.level.min(rate.burst * self.settings.burst_share);
    }

    /// What this node has admitted since it started.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Takes what a peer has admitted since it started.
    pub fn hear(&mut self, peer: u64, life: u64, admitted: f64, now_ms: u64) {
        let Some(known) = self.peers.get_mut(&peer) else {
            // What it admitted before this node knew of it is not this node's to charge.
            let known =
                Peer { life, admitted, heard_ms: now_ms, charged_ms: now_ms, ..Peer::default() };
            self.peers.insert(peer, known);
            return;
        };
        let told_before = if known.life == life { known.admitted } else { 0.0 };
        let new = (admitted - told_before).max(0.0);
        let elapsed_ms = now_ms.saturating_sub(known.heard_ms);
        if 0 < elapsed_ms {
            known.per_ms += SMOOTHING * (new / elapsed_ms as f64 - known.per_ms);
        }
        self.level += known.charged - new;
        let admitted = told_before + new;
        *known =
            Peer { life, admitted, heard_ms: now_ms, charged: 0.0, charged_ms: now_ms, ..*known };
    }

    /// Admits a request of this cost, or says in how many milliseconds there may be room.
    pub fn take(&mut self, cost: f64, peering: Peering, now_ms: u64) -> Result<(), u64> {
        self.fill(now_ms, Some(peering));
        // A request larger than the bucket passes when the bucket is full.
        let full = self.rate.burst * self.settings.burst_share;
        if cost.min(full) <= self.level {
            self.level -= cost;
            self.admitted += cost;
            return Ok(());
        }
        if self.rate.per_s <= 0.0 {
            return Err(u64::MAX);
        }
        Err(((cost.min(full) - self.level) / self.rate.per_s * 1000.0).ceil() as u64)
    }

    /// Puts back what a request took that did not run after all. The peers are not told, so they stay on the safe side.
    pub fn give_back(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.rate.burst * self.settings.burst_share);
    }

    fn fill(&mut self, now_ms: u64, peering: Option<Peering>) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        let per_ms = self.rate.per_s / 1000.0;
        self.level += per_ms * elapsed_ms as f64;
        let n_nodes = peering.map_or(self.peers.len() + 1, |it| it.n_nodes.max(1));
        let even_per_ms = per_ms / n_nodes as f64;
        let silent_after_ms = peering.map_or(u64::MAX, |it| it.silent_after_ms);
        // Nodes that are known to run but said nothing yet are charged like silent ones.
        let n_unheard = n_nodes.saturating_sub(1 + self.peers.len());
        self.level -= even_per_ms * n_unheard as f64 * elapsed_ms as f64;
        for peer in self.peers.values_mut() {
            let is_silent = silent_after_ms < now_ms.saturating_sub(peer.heard_ms);
            let peer_per_ms = if is_silent { even_per_ms } else { peer.per_ms };
            let charge = peer_per_ms * now_ms.saturating_sub(peer.charged_ms) as f64;
            peer.charged_ms = now_ms;
            peer.charged += charge;
            self.level -= charge;
        }
        self.level = self.level.min(self.rate.burst * self.settings.burst_share);
    }

    /// Forgets peers that no longer run.
    pub fn retain_peers(&mut self, runs: impl Fn(u64) -> bool) {
        self.peers.retain(|peer, _| runs(*peer));
    }
}

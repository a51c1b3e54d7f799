//! A team's rate, kept by all nodes together without asking anybody.
//!
//! Every node admits from one bucket that all of them share: it takes out what the node admitted itself and what its
//! peers admitted. Between a peer's reports it is charged what it last admitted a second, and the difference is settled
//! by its next report. A peer that has not been heard of for a while is charged its even part of the rate and of what the
//! bucket holds, and so charges us; then the sum stays at the rate while nodes are cut off from each other. The sum passes
//! the rate by no more than demand shifts between nodes from one report to the next. A node that takes much at once, or
//! anything of a bucket that is nearly empty, tells its peers at once.

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

impl Settings {
    /// What the bucket of a rate holds while all nodes are in reach.
    fn bucket(self, rate: TeamRate) -> f64 {
        rate.burst * self.burst_share
    }
}

/// The nodes that share a rate.
#[derive(Clone, Copy, Debug)]
pub struct Peering {
    /// Nodes that are known to run, this one included.
    pub n_nodes: usize,
    /// A peer that was heard of within this time is charged what it said.
    pub silent_after_ms: u64,
    /// Whether this node is cut off from most of its peers.
    pub is_cut_off: bool,
}

/// A peer is silent after so many report intervals, since single reports get lost, and some time for delays.
const SILENT_INTERVALS: u64 = 2;
const SILENT_SLACK_MS: u64 = 300;

impl Peering {
    /// Weighs how long ago each peer was heard of. One that hears less than half of its peers for somewhat longer than an
    /// interval is cut off itself: then all that it doesn't hear are silent to it, without further waiting.
    pub fn new(n_nodes: usize, interval_ms: u64, ages_ms: impl Iterator<Item = u64>) -> Self {
        let one_ms = interval_ms + interval_ms / 4;
        let n_fresh = ages_ms.filter(|it| *it <= one_ms).count();
        let is_cut_off = 2 * n_fresh + 1 < n_nodes;
        let patient_ms = SILENT_INTERVALS * interval_ms + SILENT_SLACK_MS;
        let silent_after_ms = if is_cut_off { one_ms } else { patient_ms };
        Self { n_nodes, silent_after_ms, is_cut_off }
    }
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
    /// Whether it was charged its part of what the bucket held, since it fell silent.
    has_part: bool,
}

/// A node's even share of a rate.
#[derive(Clone, Copy, Debug)]
struct Even {
    per_ms: f64,
    /// Of what the bucket holds.
    part: f64,
    /// Whether the charging node is cut off from most of its peers.
    is_cut_off: bool,
}

impl Peer {
    /// Charges the peer for the time since it was last charged: what it used to admit, or the even share if it is silent.
    fn charge(&mut self, silent: Option<Even>, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.charged_ms) as f64;
        let mut charge = silent.map_or(self.per_ms, |it| it.per_ms) * elapsed_ms;
        if let Some(even) = silent
            && !std::mem::replace(&mut self.has_part, true)
        {
            charge += even.part;
            if !even.is_cut_off {
                // Until now it was charged what it used to admit, and may have admitted its even part.
                let unheard_ms = self.charged_ms.saturating_sub(self.heard_ms) as f64;
                charge += (even.per_ms - self.per_ms).max(0.0) * unheard_ms;
            }
        }
        self.charged_ms = now_ms;
        self.charged += charge;
        charge
    }
}

/// What accrues in the first second of a process is left to those that it has not heard of yet.
const START_QUIET_MS: u64 = 1_000;

/// The time constant of a peer's smoothed rate; a few requests of a large team.
const SMOOTHING_MS: f64 = 2_000.0;
/// Below this part of the bucket every request is told at once: all nodes wait for what comes in, and would take it twice.
const LOW_SHARE: f64 = 0.25;

/// The bucket of one team.
#[derive(Clone, Debug)]
pub struct SharedRate {
    settings: Settings,
    rate: TeamRate,
    level: f64,
    /// What the bucket can hold at present.
    full: f64,
    filled_ms: u64,
    admitted: f64,
    /// What the peers were told last.
    told: f64,
    n_nodes: usize,
    peers: FxHashMap<u64, Peer>,
}

impl SharedRate {
    /// A bucket that holds what has accrued while this process runs: what was admitted before its start isn't known, and
    /// many processes may start at once.
    pub fn new(settings: Settings, rate: TeamRate, running_ms: u64, now_ms: u64) -> Self {
        let accrued = rate.per_s * running_ms.saturating_sub(START_QUIET_MS) as f64 / 1000.0;
        let full = settings.bucket(rate);
        Self {
            settings,
            rate,
            level: accrued.min(full),
            full,
            filled_ms: now_ms,
            admitted: 0.0,
            told: 0.0,
            n_nodes: 1,
            peers: FxHashMap::default(),
        }
    }

    /// Changes the rate; a lower burst holds at once.
    pub fn set_rate(&mut self, rate: TeamRate, now_ms: u64) {
        self.fill(now_ms, None);
        self.rate = rate;
        self.full = self.settings.bucket(rate);
        self.level = self.level.min(self.full);
    }

    /// What this node has admitted since it started.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// The peers are being told what this node has admitted.
    pub fn tell(&mut self) -> f64 {
        self.told = self.admitted;
        self.admitted
    }

    /// Whether the peers should be told at once: this node took more than its even part of the bucket since it told
    /// them, or anything of a bucket that is nearly empty. The sum can't pass the rate by much more than that.
    pub fn is_urgent(&self) -> bool {
        let untold = self.admitted - self.told;
        let is_low = self.level < self.full * LOW_SHARE;
        0.0 < untold && (is_low || self.full < untold * self.n_nodes as f64)
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
        let elapsed_ms = now_ms.saturating_sub(known.heard_ms).max(1) as f64;
        let per_ms = new / elapsed_ms;
        if known.has_part {
            // What a silent peer left of its part is not taken back: all nodes would take it at the same time.
            known.per_ms = per_ms;
            self.level += (known.charged - new).min(0.0);
        } else {
            known.per_ms += (1.0 - (-elapsed_ms / SMOOTHING_MS).exp()) * (per_ms - known.per_ms);
            self.level += known.charged - new;
        }
        let admitted = told_before + new;
        *known = Peer {
            life,
            admitted,
            heard_ms: now_ms,
            charged: 0.0,
            charged_ms: now_ms,
            has_part: false,
            ..*known
        };
    }

    /// Admits a request of this cost, or says in how many milliseconds there may be room.
    pub fn take(&mut self, cost: f64, peering: Peering, now_ms: u64) -> Result<(), u64> {
        self.fill(now_ms, Some(peering));
        // A request larger than the bucket passes when the bucket is full.
        let full = self.full;
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

    /// Takes the cost of a request that runs once more. It was admitted before, so it isn't refused now; later ones pay.
    pub fn take_again(&mut self, cost: f64) {
        self.level -= cost;
        self.admitted += cost;
    }

    /// Puts back what a request took that did not run after all. The peers are not told, so they stay on the safe side.
    pub fn give_back(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.full);
    }

    fn fill(&mut self, now_ms: u64, peering: Option<Peering>) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        let per_ms = self.rate.per_s / 1000.0;
        self.level += per_ms * elapsed_ms as f64;
        let n_nodes = peering.map_or(self.peers.len() + 1, |it| it.n_nodes.max(1));
        self.n_nodes = n_nodes;
        let even_per_ms = per_ms / n_nodes as f64;
        let silent_after_ms = peering.map_or(u64::MAX, |it| it.silent_after_ms);
        // Nodes that are known to run but said nothing yet are charged like silent ones.
        let mut n_silent = n_nodes.saturating_sub(1 + self.peers.len());
        self.level -= even_per_ms * n_silent as f64 * elapsed_ms as f64;
        let is_cut_off = peering.is_some_and(|it| it.is_cut_off);
        // While most are in reach, a silent one may have had its part of a full bucket. One that is cut off itself
        // leaves the others their part of what it knows of.
        let shared = if is_cut_off { self.level.min(self.full).max(0.0) } else { self.full };
        let even = Even { per_ms: even_per_ms, part: shared / n_nodes as f64, is_cut_off };
        for peer in self.peers.values_mut() {
            let is_silent = silent_after_ms < now_ms.saturating_sub(peer.heard_ms);
            n_silent += usize::from(is_silent);
            self.level -= peer.charge(is_silent.then_some(even), now_ms);
        }
        let heard_share = n_nodes.saturating_sub(n_silent).max(1) as f64 / n_nodes as f64;
        self.full = self.settings.bucket(self.rate) * heard_share;
        self.level = self.level.min(self.full);
    }

    /// Forgets peers that no longer run.
    pub fn retain_peers(&mut self, runs: impl Fn(u64) -> bool) {
        self.peers.retain(|peer, _| runs(*peer));
    }
}

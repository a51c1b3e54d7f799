//! Which upstreams there are, from the platform's list.
//!
//! An entry that vanishes is gone at once while the list is read without a break. Entries also lapse while the list is
//! out of reach; those that vanish around its return stay in use for a grace period, in which their upstreams list
//! themselves again. A leaving upstream stays leaving for the rest of its life.
//!
//! Every entry carries the offset at which it was written. Entries may come from the list or from other nodes, in any
//! order; the one with the highest offset holds.

use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use lentilhitch_types::{LogOffset, ServiceName, UpstreamName};

use crate::traffic::{EntryState, UpstreamEntry};

/// Durations of the catalog.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long an entry that vanished around an outage stays in use after the list is back. Living upstreams are
    /// listed again within two seconds.
    pub lapse_grace_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { lapse_grace_ms: 1_700 }
    }
}

/// One upstream in use.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub listed: UpstreamEntry,
    /// When it is dropped unless it is listed again.
    pub lapses_at_ms: Option<u64>,
    /// When a leaving upstream ends, if it said so.
    pub ends_at_ms: Option<u64>,
}

impl Upstream {
    /// Whether it may get new requests.
    pub fn is_ready(&self) -> bool {
        self.listed.state == EntryState::Ready
    }
}

/// What a reading changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Added(UpstreamName),
    /// A new life under a known name; the old one is told by its start.
    Restarted(UpstreamName, u64),
    Leaving(UpstreamName),
    /// The life that began then is gone, and whether it had said that it leaves.
    Removed {
        id: UpstreamName,
        started_ms: u64,
        was_leaving: bool,
    },
}

impl Change {
    fn removed(upstream: Upstream) -> Self {
        let was_leaving = !upstream.is_ready();
        let UpstreamEntry { id, started_ms, .. } = upstream.listed;
        Self::Removed { id, started_ms, was_leaving }
    }

    /// The upstream that changed.
    pub fn upstream(&self) -> &UpstreamName {
        match self {
            Self::Added(id)
            | Self::Restarted(id, _)
            | Self::Leaving(id)
            | Self::Removed { id, .. } => id,
        }
    }
}

/// All upstreams, by name.
#[derive(Debug, Default)]
pub struct Catalog {
    settings: Settings,
    upstreams: FxHashMap<UpstreamName, Upstream>,
    read_ms: Option<u64>,
    /// Since when readings fail.
    failing_ms: Option<u64>,
    /// Until when vanished entries are only on notice.
    grace_until_ms: u64,
    /// Where the newest known entry of each upstream was written, ended ones included.
    versions: FxHashMap<UpstreamName, LogOffset>,
}

/// Ended upstreams whose versions are remembered.
const VERSIONS_MAX: usize = 65_536;

impl Catalog {
    /// An empty catalog.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Every upstream in use.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Every upstream in use, and where its entry was written.
    pub fn entries(&self) -> impl Iterator<Item = (&UpstreamEntry, LogOffset)> {
        let offset = |id| self.versions.get(id).copied().unwrap_or_default();
        self.upstreams.values().map(move |it| (&it.listed, offset(&it.listed.id)))
    }

    /// One upstream.
    pub fn get(&self, id: &UpstreamName) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// The upstreams of a service that may get new requests.
    pub fn ready<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.values().filter(move |it| it.is_ready() && it.listed.service == *service)
    }

    /// Since when the list has not been read, or `None` if it never was.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.read_ms.map(|it| now_ms.saturating_sub(it))
    }

    /// A number that is the same wherever the same lives of upstreams stand the same way.
    pub fn digest(&self) -> u64 {
        let one = |it: &Upstream| {
            let seed = it.listed.started_ms << 1 | u64::from(it.is_ready());
            xxh3_64_with_seed(it.listed.id.as_str().as_bytes(), seed)
        };
        self.upstreams.values().fold(0, |sum, it| sum ^ one(it))
    }

    /// Notes that a reading failed.
    pub fn note_failure(&mut self, now_ms: u64) {
        self.failing_ms.get_or_insert(now_ms);
    }

    /// Notes that a peer which reads the list knows the same as this node; so whatever failed here is over.
    pub fn vouch(&mut self, read_ms: u64) {
        self.failing_ms = None;
        self.read_ms = Some(read_ms);
    }

    /// Notes that the list was read, before the entries of this reading are applied. Readings that failed for
    /// `outage_ms` or longer before were an outage; a long pause alone is none.
    pub fn begin_reading(&mut self, now_ms: u64, outage_ms: u64) {
        if self.failing_ms.take().is_some_and(|it| it + outage_ms <= now_ms) {
            self.grace_until_ms = now_ms + self.settings.lapse_grace_ms;
        }
        self.read_ms = Some(now_ms);
    }

    /// Takes one entry.
    pub fn insert(&mut self, listed: UpstreamEntry, at: LogOffset, now_ms: u64) -> Option<Change> {
        if !self.is_news(&listed.id, at) {
            return None;
        }
        let ends_at_ms = listed.leaves_in_ms.map(|it| now_ms + it);
        let Some(known) = self.upstreams.get_mut(&listed.id) else {
            let id = listed.id.clone();
            self.upstreams.insert(id.clone(), Upstream { listed, lapses_at_ms: None, ends_at_ms });
            return Some(Change::Added(id));
        };
        if listed.started_ms < known.listed.started_ms {
            return None;
        }
        known.lapses_at_ms = None;
        if known.listed.started_ms < listed.started_ms || known.listed.address != listed.address {
            let ended_ms = known.listed.started_ms;
            *known = Upstream { listed, lapses_at_ms: None, ends_at_ms };
            return Some(Change::Restarted(known.listed.id.clone(), ended_ms));
        }
        let was_ready = known.is_ready();
        let leaves = listed.state == EntryState::Draining;
        if was_ready {
            known.listed = listed;
        }
        if leaves {
            known.ends_at_ms = known.ends_at_ms.or(ends_at_ms);
        }
        (was_ready && leaves).then(|| Change::Leaving(known.listed.id.clone()))
    }

    /// Takes the end of one entry.
    pub fn remove(&mut self, id: &UpstreamName, at: LogOffset, now_ms: u64) -> Option<Change> {
        if !self.is_news(id, at) {
            return None;
        }
        let known = self.upstreams.get_mut(id)?;
        if now_ms < self.grace_until_ms && known.is_ready() {
            known.lapses_at_ms = Some(self.grace_until_ms);
            return None;
        }
        self.upstreams.remove(id).map(Change::removed)
    }

    /// Takes the whole list, as it was when the topic ended at `end`; what it does not hold has ended.
    pub fn replace(
        &mut self,
        listed: Vec<(UpstreamEntry, LogOffset)>,
        end: LogOffset,
        now_ms: u64,
    ) -> Vec<Change> {
        if self.versions.values().any(|it| end < *it) {
            // The topic has begun anew.
            self.versions.clear();
        }
        let kept: FxHashSet<_> = listed.iter().map(|it| it.0.id.clone()).collect();
        let ended: Vec<_> =
            self.upstreams.keys().filter(|it| !kept.contains(*it)).cloned().collect();
        let entries = listed.into_iter();
        let mut changes: Vec<_> =
            entries.filter_map(|(it, at)| self.insert(it, at, now_ms)).collect();
        changes.extend(ended.iter().filter_map(|it| self.remove(it, end, now_ms)));
        changes
    }

    /// Whether an entry is not older than what is known.
    fn is_news(&mut self, id: &UpstreamName, at: LogOffset) -> bool {
        if VERSIONS_MAX <= self.versions.len() {
            let Self { versions, upstreams, .. } = self;
            versions.retain(|id, _| upstreams.contains_key(id));
        }
        let version = self.versions.entry(id.clone()).or_default();
        let is_news = *version <= at;
        *version = at.max(*version);
        is_news
    }

    /// Drops the entries whose grace is over.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Change> {
        let over = |it: &Upstream| it.lapses_at_ms.is_some_and(|it| it <= now_ms);
        let ended: Vec<_> =
            self.upstreams.iter().filter(|it| over(it.1)).map(|it| it.0.clone()).collect();
        ended.iter().filter_map(|it| self.upstreams.remove(it)).map(Change::removed).collect()
    }
}

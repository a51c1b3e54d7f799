//! Upstreams in use by a node, from the list of upstreams in the store.
//!
//! Each upstream writes its entry again with each of its heartbeats. While the list can be read, an upstream whose
//! entry is removed from the list is dropped from the catalog at once. During an outage of the list, however, entries
//! may expire although their upstreams still run. The first successful read after an outage therefore starts a grace
//! period. An upstream whose entry is removed during this period, and which is not leaving, stays in use until the
//! period ends, and longer if it writes its entry again. A leaving upstream stays leaving until its incarnation ends,
//! also if it is removed and listed again. An upstream may state that it leaves in its responses before its entry does.
//!
//! Every entry carries the position at which it was written. A node receives entries from the list or from other nodes,
//! in any order. The entry with the highest position wins. When the store returns from a copy, its list is that of the
//! copy: upstreams that have started since are missing until they write again, and upstreams that were removed since are
//! listed. An incarnation that was removed is used again only if its entry was written after the first list of the new
//! era.

use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use lentilhitch_types::{LogPosition, ServiceName, UpstreamName};

use crate::{
    placement::upstream_hash,
    traffic::{EntryState, UpstreamEntry},
};

/// Durations of the catalog.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Duration of the grace period after an outage of the list. Live upstreams write their entries again within 2 s.
    pub expiry_grace_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { expiry_grace_ms: 1_700 }
    }
}

/// Upstream in use.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub entry: UpstreamEntry,
    /// Hash of the name, kept because each request compares the hashes of all candidates.
    pub hash: u32,
    /// When the upstream is dropped, unless a new entry of it is received before. `None` unless its entry was removed
    /// during a grace period.
    pub expires_at_ms: Option<u64>,
    /// When a leaving upstream stops running, if its entry states this time.
    pub ends_at_ms: Option<u64>,
}

impl Upstream {
    fn new(entry: UpstreamEntry, ends_at_ms: Option<u64>) -> Self {
        let hash = upstream_hash(&entry.id);
        Self { entry, hash, expires_at_ms: None, ends_at_ms }
    }

    /// Returns whether the upstream may get new requests.
    pub fn is_ready(&self) -> bool {
        self.entry.state == EntryState::Ready
    }
}

/// Change to the catalog.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Added(UpstreamName),
    /// A new incarnation of a known upstream, and when the previous incarnation started.
    Restarted(UpstreamName, u64),
    Leaving(UpstreamName),
    /// The incarnation that started at `started_ms` was removed. `was_leaving` is set if the incarnation was known to
    /// be leaving.
    Removed {
        id: UpstreamName,
        started_ms: u64,
        was_leaving: bool,
    },
}

impl Change {
    fn removed(upstream: Upstream) -> Self {
        let was_leaving = !upstream.is_ready();
        let UpstreamEntry { id, started_ms, .. } = upstream.entry;
        Self::Removed { id, started_ms, was_leaving }
    }

    /// Returns the upstream that changed.
    pub fn upstream(&self) -> &UpstreamName {
        match self {
            Self::Added(id)
            | Self::Restarted(id, _)
            | Self::Leaving(id)
            | Self::Removed { id, .. } => id,
        }
    }
}

/// Upstreams in use, by name.
#[derive(Debug, Default)]
pub struct Catalog {
    settings: Settings,
    upstreams: FxHashMap<UpstreamName, Upstream>,
    /// Combined hash of all upstreams in use, updated with each change, because each summary of the other nodes is
    /// compared with it.
    digest: u64,
    /// When this node, or the peer that last confirmed its entries, last read the list.
    last_read_ms: Option<u64>,
    /// When the first of the failed reads since the last successful one was made.
    failing_since_ms: Option<u64>,
    /// End of the grace period after the last outage.
    grace_until_ms: u64,
    /// Position of the newest known entry of each upstream, including removed upstreams.
    versions: FxHashMap<UpstreamName, LogPosition>,
    /// Start of the last incarnation of each upstream that is known to leave, including removed upstreams. The list may
    /// still contain it, or contain it again, as ready.
    leaving: FxHashMap<UpstreamName, u64>,
    /// Start of the last incarnation of each upstream that was removed.
    removed: FxHashMap<UpstreamName, u64>,
    /// End of the first list that was read in the current era of the store, if the era has risen since the start. Earlier
    /// entries may be those of the copy, unchanged since.
    copy_end: LogPosition,
    /// Whether the store has returned from a copy and no list has been read since.
    is_restored: bool,
}

/// Number of stored versions, and of leaving or removed incarnations, at which those of removed upstreams are discarded.
const REMOVED_MAX: usize = 65_536;

impl Catalog {
    /// Creates an empty catalog.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Returns every upstream in use.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Returns the number of upstreams in use.
    pub fn n_upstreams(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the entry of every upstream in use, and the position at which it was written.
    pub fn entries(&self) -> impl Iterator<Item = (&UpstreamEntry, LogPosition)> {
        let position = |id| self.versions.get(id).copied().unwrap_or_default();
        self.upstreams.values().map(move |it| (&it.entry, position(&it.entry.id)))
    }

    /// Returns an upstream, if it is in use.
    pub fn get(&self, id: &UpstreamName) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns the upstreams of a service that may get new requests.
    pub fn ready<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.values().filter(move |it| it.is_ready() && it.entry.service == *service)
    }

    /// Returns the time since the list was last read, or `None` if it never was.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_read_ms.map(|it| now_ms.saturating_sub(it))
    }

    /// Returns a hash that is equal on nodes with the same incarnations of upstreams in the same states.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Records that a read of the list failed.
    pub fn on_read_failed(&mut self, now_ms: u64) {
        self.failing_since_ms.get_or_insert(now_ms);
    }

    /// Records that a peer which reads the list confirms that this node's entries were current at `last_read_ms`.
    /// Earlier failed reads of this node no longer count as part of an outage.
    pub fn confirm(&mut self, last_read_ms: u64) {
        self.failing_since_ms = None;
        self.last_read_ms = Some(last_read_ms);
    }

    /// Records that the list was read successfully. Must be called before the entries of this read are applied.
    ///
    /// If the first failed read since the last success was `outage_ms` ago or longer, this was an outage, and the grace
    /// period starts. An interval without any reads does not count as an outage, however long it is.
    pub fn on_read_succeeded(&mut self, now_ms: u64, outage_ms: u64) {
        if self.failing_since_ms.take().is_some_and(|it| it + outage_ms <= now_ms) {
            self.grace_until_ms = now_ms + self.settings.expiry_grace_ms;
        }
        self.last_read_ms = Some(now_ms);
    }

    /// Handles the return of the store from a copy. Upstreams that the copy lacks write their entries again. So that they
    /// are not dropped meanwhile, the grace period starts.
    pub fn on_store_restored(&mut self, now_ms: u64) {
        self.grace_until_ms = now_ms + self.settings.expiry_grace_ms;
        self.is_restored = true;
    }

    /// Inserts or updates an upstream from an entry that was written at `position`.
    pub fn insert(
        &mut self,
        mut entry: UpstreamEntry,
        position: LogPosition,
        now_ms: u64,
    ) -> Option<Change> {
        if !self.accept_version(&entry.id, position) {
            return None;
        }
        if entry.state == EntryState::Draining {
            self.remember_leaving(&entry.id, entry.started_ms);
        } else if self.leaving.get(&entry.id) == Some(&entry.started_ms) {
            entry.state = EntryState::Draining;
        }
        let ends_at_ms = entry.leaves_in_ms.map(|it| now_ms + it);
        let is_removed =
            self.removed.get(&entry.id).is_some_and(|removed| entry.started_ms <= *removed);
        if is_removed && position < self.copy_end && !self.upstreams.contains_key(&entry.id) {
            return None;
        }
        let Some(current) = self.upstreams.get_mut(&entry.id) else {
            let id = entry.id.clone();
            self.digest ^= entry_hash(&entry);
            self.upstreams.insert(id.clone(), Upstream::new(entry, ends_at_ms));
            return Some(Change::Added(id));
        };
        if entry.started_ms < current.entry.started_ms {
            return None;
        }
        current.expires_at_ms = None;
        if current.entry.started_ms < entry.started_ms || current.entry.address != entry.address {
            let previous_started_ms = current.entry.started_ms;
            self.digest ^= entry_hash(&current.entry) ^ entry_hash(&entry);
            *current = Upstream::new(entry, ends_at_ms);
            return Some(Change::Restarted(current.entry.id.clone(), previous_started_ms));
        }
        let was_ready = current.is_ready();
        let is_leaving = entry.state == EntryState::Draining;
        if was_ready && current.entry != entry {
            self.digest ^= entry_hash(&current.entry) ^ entry_hash(&entry);
            current.entry = entry;
        }
        if is_leaving {
            current.ends_at_ms = current.ends_at_ms.or(ends_at_ms);
        }
        (was_ready && is_leaving).then(|| Change::Leaving(current.entry.id.clone()))
    }

    /// Records that an incarnation of an upstream is leaving, whatever its entry says. `leaves_in_ms` is how long it
    /// continues to run, if known.
    pub fn set_leaving(
        &mut self,
        id: &UpstreamName,
        started_ms: u64,
        leaves_in_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<Change> {
        self.remember_leaving(id, started_ms);
        let current = self.upstreams.get_mut(id)?;
        if current.entry.started_ms != started_ms {
            return None;
        }
        let ends_at_ms = leaves_in_ms.map(|it| now_ms + it);
        current.ends_at_ms = current.ends_at_ms.or(ends_at_ms);
        let was_ready = current.is_ready();
        self.digest ^= entry_hash(&current.entry);
        current.entry.state = EntryState::Draining;
        self.digest ^= entry_hash(&current.entry);
        was_ready.then(|| Change::Leaving(id.clone()))
    }

    fn remember_leaving(&mut self, id: &UpstreamName, started_ms: u64) {
        remember(&mut self.leaving, &self.upstreams, id, started_ms);
    }

    /// Handles the removal of an upstream's entry from the list at `position`. Drops the upstream. During the grace
    /// period after an outage, an upstream that is not leaving is dropped only at the end of the period.
    pub fn remove(
        &mut self,
        id: &UpstreamName,
        position: LogPosition,
        now_ms: u64,
    ) -> Option<Change> {
        if !self.accept_version(id, position) {
            return None;
        }
        let current = self.upstreams.get_mut(id)?;
        if now_ms < self.grace_until_ms && current.is_ready() {
            current.expires_at_ms = Some(self.grace_until_ms);
            return None;
        }
        self.drop_upstream(id)
    }

    fn drop_upstream(&mut self, id: &UpstreamName) -> Option<Change> {
        let upstream = self.upstreams.remove(id)?;
        self.digest ^= entry_hash(&upstream.entry);
        let UpstreamEntry { id, started_ms, .. } = &upstream.entry;
        remember(&mut self.removed, &self.upstreams, id, *started_ms);
        Some(Change::removed(upstream))
    }

    /// Applies the complete list as of the position `end`. Upstreams that are not in the list are handled like upstreams
    /// whose entries were removed at `end`.
    pub fn replace(
        &mut self,
        entries: Vec<(UpstreamEntry, LogPosition)>,
        end: LogPosition,
        now_ms: u64,
    ) -> Vec<Change> {
        if std::mem::take(&mut self.is_restored) {
            self.copy_end = end;
        }
        if self.versions.values().any(|it| end < *it) {
            // The topic of the list was created again, so its offsets have started over.
            self.versions.clear();
        }
        let listed_ids: FxHashSet<_> = entries.iter().map(|it| it.0.id.clone()).collect();
        let removed_ids: Vec<_> =
            self.upstreams.keys().filter(|it| !listed_ids.contains(*it)).cloned().collect();
        let entries = entries.into_iter();
        let mut changes: Vec<_> =
            entries.filter_map(|(it, position)| self.insert(it, position, now_ms)).collect();
        changes.extend(removed_ids.iter().filter_map(|it| self.remove(it, end, now_ms)));
        changes
    }

    /// Records the position of an entry and returns whether the entry is at least as new as the newest known one.
    fn accept_version(&mut self, id: &UpstreamName, position: LogPosition) -> bool {
        if REMOVED_MAX <= self.versions.len() {
            let Self { versions, upstreams, .. } = self;
            versions.retain(|id, _| upstreams.contains_key(id));
        }
        let version = self.versions.entry(id.clone()).or_default();
        let is_current = *version <= position;
        *version = position.max(*version);
        is_current
    }

    /// Drops the upstreams whose entries were removed during a grace period that has ended.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Change> {
        let is_expired = |it: &Upstream| it.expires_at_ms.is_some_and(|it| it <= now_ms);
        let expired_ids: Vec<_> =
            self.upstreams.iter().filter(|it| is_expired(it.1)).map(|it| it.0.clone()).collect();
        expired_ids.iter().filter_map(|it| self.drop_upstream(it)).collect()
    }
}

/// Returns the hash of an upstream's incarnation and state.
fn entry_hash(entry: &UpstreamEntry) -> u64 {
    let seed = entry.started_ms << 1 | u64::from(entry.state == EntryState::Ready);
    xxh3_64_with_seed(entry.id.as_str().as_bytes(), seed)
}

/// Records the last incarnation of an upstream. Discards those of upstreams that are not in use if there are too many.
fn remember(
    incarnations: &mut FxHashMap<UpstreamName, u64>,
    upstreams: &FxHashMap<UpstreamName, Upstream>,
    id: &UpstreamName,
    started_ms: u64,
) {
    if started_ms == 0 {
        // The start is unknown, so a later incarnation could not be told from this one.
        return;
    }
    if REMOVED_MAX <= incarnations.len() {
        incarnations.retain(|id, _| upstreams.contains_key(id));
    }
    let last_started_ms = incarnations.entry(id.clone()).or_default();
    *last_started_ms = started_ms.max(*last_started_ms);
}

//! Notices of upstreams that are leaving, that is, that take no new requests and will end.
//!
//! The notices form a set that only grows, so processes that exchange their sets in any order end up with the same set.
//! An incarnation that is leaving never becomes available again. A higher incarnation of the same upstream is not
//! affected by notices of earlier ones.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use lentilhitch_types::{Incarnation, UpstreamName};

/// Notice that an incarnation of an upstream is leaving and gets no new work.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Notice {
    pub upstream: UpstreamName,
    pub incarnation: Incarnation,
}

/// Highest incarnation of each upstream that is known to be leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notices(FxHashMap<UpstreamName, Incarnation>);

impl Notices {
    /// Inserts a notice. Returns whether it was new, that is, not covered by a notice of this or a higher incarnation.
    pub fn insert(&mut self, notice: &Notice) -> bool {
        let known = self.0.get(&notice.upstream).copied();
        if known.is_some_and(|it| notice.incarnation <= it) {
            return false;
        }
        self.0.insert(notice.upstream.clone(), notice.incarnation);
        true
    }

    /// Returns whether this incarnation or a later one is known to be leaving.
    pub fn is_leaving(&self, upstream: &UpstreamName, incarnation: Incarnation) -> bool {
        self.0.get(upstream).is_some_and(|it| incarnation <= *it)
    }

    /// Returns every notice, for a peer that has just become reachable.
    pub fn iter(&self) -> impl Iterator<Item = Notice> {
        self.0.iter().map(|(upstream, incarnation)| Notice {
            upstream: upstream.clone(),
            incarnation: *incarnation,
        })
    }
}

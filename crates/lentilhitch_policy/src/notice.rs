//! Upstreams that are known to leave.
//!
//! Notices are kept as a set that only grows, so processes that exchange their sets in any order agree, and a notice is
//! never taken back within an incarnation. The same address with a higher incarnation is a new upstream.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use lentilhitch_types::{Incarnation, UpstreamName};

/// An incarnation of an upstream gets no new work.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Notice {
    pub upstream: UpstreamName,
    pub incarnation: Incarnation,
}

/// The highest incarnation of each upstream that is known to leave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notices(FxHashMap<UpstreamName, Incarnation>);

impl Notices {
    /// Takes a notice; says whether it was new.
    pub fn insert(&mut self, notice: &Notice) -> bool {
        let known = self.0.get(&notice.upstream).copied();
        if known.is_some_and(|it| notice.incarnation <= it) {
            return false;
        }
        self.0.insert(notice.upstream.clone(), notice.incarnation);
        true
    }

    /// Whether this incarnation, or one after it, is known to leave.
    pub fn is_leaving(&self, upstream: &UpstreamName, incarnation: Incarnation) -> bool {
        self.0.get(upstream).is_some_and(|it| incarnation <= *it)
    }

    /// Every notice, for a peer that has just come into reach.
    pub fn iter(&self) -> impl Iterator<Item = Notice> {
        self.0.iter().map(|(upstream, incarnation)| Notice {
            upstream: upstream.clone(),
            incarnation: *incarnation,
        })
    }
}

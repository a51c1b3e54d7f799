//! Announcements of new configurations by other nodes, and whom of these to ask for one.
//!
//! A node that hears of a new configuration reads it from the store. If the store turns it away, it asks a node that has
//! announced the configuration. Summaries would name another one too, but in a large deployment only seconds later. A node
//! that gets a configuration from a peer announces it as well, until there are enough sources for all to choose among.

use std::{collections::VecDeque, net::SocketAddr};

/// Number of nodes that are remembered as having announced the newest configuration.
const ANNOUNCERS_MAX: usize = 4;

/// The newest configuration that was announced.
#[derive(Clone, Debug, Default)]
pub struct ConfigAnnouncements {
    version: u64,
    /// Gossip addresses of the nodes that have announced it last.
    announcers: VecDeque<SocketAddr>,
}

impl ConfigAnnouncements {
    /// Records that a node has announced a version.
    pub fn record(&mut self, version: u64, from: SocketAddr) {
        if version < self.version {
            return;
        }
        if self.version < version {
            self.version = version;
            self.announcers.clear();
        }
        if !self.announcers.contains(&from) {
            self.announcers.push_back(from);
        }
        if ANNOUNCERS_MAX < self.announcers.len() {
            self.announcers.pop_front();
        }
    }

    /// Returns whether this version or a newer one was announced.
    pub fn is_announced(&self, version: u64) -> bool {
        version <= self.version
    }

    /// Returns whether too few nodes have announced this version for the others to choose among.
    pub fn needs_announcers(&self, version: u64) -> bool {
        self.version < version
            || (self.version == version && self.announcers.len() < ANNOUNCERS_MAX)
    }

    /// Returns whether a newer version than this one was announced.
    pub fn has_newer(&self, version: u64) -> bool {
        version < self.version
    }

    /// Returns the gossip addresses of the nodes that have announced a newer version than this one. A delegate announces
    /// what it knows to exist, so it need not have it itself.
    pub fn announcers(&self, version: u64) -> impl Iterator<Item = SocketAddr> {
        let announcers = self.announcers.iter().copied();
        announcers.filter(move |_| self.has_newer(version))
    }
}

//! Distribution of the permitted number of requests to the nodes.
//!
//! A node's commitment is the number of requests that it may have sent at most: the highest of what it reported and of
//! the ceilings of its grants that may still be in force. The sum of the commitments never exceeds the reservation in the
//! store. A ceiling is no longer in force once the node itself reports from after its validity, by the node's clock; what
//! it did not use can then be granted to others. The ceilings of a node that reports no more stay committed.
//!
//! A next holder doesn't know the grants of its predecessors. It counts all that was reserved before as used, and grants
//! a node its new requests on top of what the node has reported. A node that has sent more since, under a grant of the
//! predecessor, is within the earlier reservation.

use rustc_hash::FxHashMap;

use crate::rollout::{NodeRun, Settings};

/// Part of the permitted exposure that is reserved, as an allowance for requests that are sent again.
const RESERVED_FRACTION: f64 = 0.8;
/// Part of the slack that is reserved.
const SLACK_FRACTION: f64 = 0.5;

/// Returns the maximum reservation after `arrived` requests, before the version is accepted.
pub fn bound(settings: &Settings, arrived: u64) -> u64 {
    let share = settings.exposure_share * arrived as f64 * RESERVED_FRACTION;
    (share + settings.exposure_slack * SLACK_FRACTION) as u64
}

#[derive(Clone, Debug, Default)]
struct Account {
    /// What the node had sent when this holder first heard of it.
    inherited: u64,
    /// What the node last reported.
    sent: u64,
    /// Node's time of the last report.
    reported_ms: u64,
    /// Grants that may be in force: the node's time from which they count, and the ceiling.
    granted: Vec<(u64, u64)>,
}

impl Account {
    fn committed(&self) -> u64 {
        self.granted.iter().map(|it| it.1).max().unwrap_or(0).max(self.sent)
    }

    fn is_outstanding(&self) -> bool {
        self.sent < self.committed()
    }

    /// Returns the commitment beyond what earlier holders have reserved.
    fn extra(&self) -> u64 {
        self.committed().saturating_sub(self.inherited)
    }
}

/// Commitments of all runs of nodes under one order and one holder.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Reservations of earlier holders.
    earlier: u64,
    sum_inherited: u64,
    sum_extra: u64,
    sum_sent: u64,
    n_outstanding: usize,
    accounts: FxHashMap<NodeRun, Account>,
}

impl Ledger {
    /// Starts the ledger of a holder that finds a reservation in the store.
    pub fn new(earlier: u64) -> Self {
        Self { earlier, ..Self::default() }
    }

    /// Counts what was reserved by another holder in the meantime as used.
    pub fn raise_earlier(&mut self, earlier: u64) {
        self.earlier = self.earlier.max(earlier);
    }

    /// Handles the number of requests that a node had sent at `reported_ms`, by its clock.
    pub fn on_report(&mut self, from: NodeRun, sent: u64, reported_ms: u64, valid_ms: u64) {
        if !self.accounts.contains_key(&from) {
            self.sum_inherited += sent;
            self.accounts.insert(from, Account { inherited: sent, ..Account::default() });
        }
        self.update(from, |account| {
            account.sent = account.sent.max(sent);
            account.reported_ms = account.reported_ms.max(reported_ms);
            let reported_ms = account.reported_ms;
            account.granted.retain(|it| reported_ms < it.0 + valid_ms);
        });
    }

    /// Changes an account and keeps the sums over all accounts.
    fn update(&mut self, node: NodeRun, change: impl FnOnce(&mut Account)) {
        let Some(account) = self.accounts.get_mut(&node) else { return };
        self.sum_extra -= account.extra();
        self.sum_sent -= account.sent;
        self.n_outstanding -= usize::from(account.is_outstanding());
        change(account);
        self.sum_extra += account.extra();
        self.sum_sent += account.sent;
        self.n_outstanding += usize::from(account.is_outstanding());
    }

    /// Returns the number of requests that may be or may have been sent.
    pub fn used(&self) -> u64 {
        self.earlier() + self.sum_extra
    }

    /// Returns what earlier holders have reserved or sent.
    pub fn earlier(&self) -> u64 {
        self.earlier.max(self.sum_inherited)
    }

    /// Returns the number of requests that the nodes have reported as sent.
    pub fn sent(&self) -> u64 {
        self.sum_sent
    }

    /// Returns the number of nodes that may send more than they have reported.
    pub fn n_outstanding(&self) -> usize {
        self.n_outstanding
    }

    /// Returns whether a node may send more than it has reported.
    pub fn is_outstanding(&self, node: NodeRun) -> bool {
        self.accounts.get(&node).is_some_and(Account::is_outstanding)
    }

    /// Returns the ceiling of a grant of up to `quota` requests on top of what the node has reported, within the
    /// reservation in the store. The grant counts from `answers_ms`, by the node's clock.
    pub fn grant(&mut self, to: NodeRun, quota: u64, answers_ms: u64, reserved: u64) -> u64 {
        let available = reserved.saturating_sub(self.used());
        let Some(account) = self.accounts.get(&to) else { return 0 };
        let ceiling = (account.sent + quota).min(account.committed() + available);
        self.update(to, |it| it.granted.push((answers_ms, ceiling)));
        ceiling
    }
}

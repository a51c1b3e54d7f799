//! Leases of entry processes that are granted through the log. Nodes use [`crate::duty`] instead.
//!
//! The offset of the record that grants a lease is the fencing token of the grant. Grants depend on the log service's
//! timestamps only, so every reader of the log reaches the same decision. The holder counts the validity of the lease
//! on its own clock, from before it sent the record. The log service writes the record after that, and grants the lease
//! to a successor only when the validity and a margin have passed since the timestamp of the record. The lease
//! therefore expires at the holder before a successor gets it, as long as the clocks drift apart by less than the
//! margin during the validity.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use lentilhitch_chart::charts::lease::{Action, CHART, Event, State};
use lentilhitch_types::{AttemptId, InstanceName, LogOffset};

use crate::fold::{Fold, RecordMeta};

/// Resource that a lease covers, for example `capacity/catania-1`.
pub type LeaseName = String;

/// Record of the lease stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRecord {
    Request {
        lease: LeaseName,
        holder: InstanceName,
        attempt: AttemptId,
        term: AttemptId,
        ttl_ms: u64,
        margin_ms: u64,
    },
    Release {
        lease: LeaseName,
        term: AttemptId,
    },
}

/// Latest grant of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub holder: InstanceName,
    /// Random id that each candidate process draws for each term, so that a restarted process is not mistaken for its
    /// previous incarnation.
    pub term: AttemptId,
    /// Offset of the first grant of this term.
    #[serde(rename = "fencing")]
    pub fencing_token: LogOffset,
    /// Append that last granted or renewed the lease.
    pub attempt: AttemptId,
    /// Log service's time from which a successor can be granted the lease.
    pub free_from_ms: u64,
    pub is_released: bool,
}

/// Latest grant of every lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leases(BTreeMap<LeaseName, Grant>);

impl Fold for Leases {
    type Record = LeaseRecord;

    fn apply(&mut self, meta: RecordMeta, record: &LeaseRecord) {
        match record {
            LeaseRecord::Request { lease, holder, attempt, term, ttl_ms, margin_ms } => {
                let free_from_ms =
                    meta.appended_ms.saturating_add(*ttl_ms).saturating_add(*margin_ms);
                let current = self.0.get(lease);
                let renewed = current.filter(|it| it.term == *term && !it.is_released);
                let is_free =
                    current.is_none_or(|it| it.is_released || it.free_from_ms <= meta.appended_ms);
                let fencing_token = match renewed {
                    Some(grant) if meta.appended_ms < grant.free_from_ms => grant.fencing_token,
                    _ if is_free => meta.offset,
                    _ => return,
                };
                let (holder, term, attempt) = (holder.clone(), *term, *attempt);
                let grant = Grant {
                    holder,
                    term,
                    fencing_token,
                    attempt,
                    free_from_ms,
                    is_released: false,
                };
                self.0.insert(lease.clone(), grant);
            }
            LeaseRecord::Release { lease, term } => {
                if let Some(grant) = self.0.get_mut(lease).filter(|it| it.term == *term) {
                    grant.is_released = true;
                }
            }
        }
    }
}

impl Leases {
    /// Returns the latest grant of a lease, which may have expired or been released.
    pub fn grant(&self, lease: &str) -> Option<&Grant> {
        self.0.get(lease)
    }
}

/// Durations of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Validity of the lease at the holder, counted from when its request was sent.
    pub ttl_ms: u64,
    /// Allowance for clocks that run at different rates and for the longest time that a sent order may be in flight.
    pub margin_ms: u64,
    /// Time between the start of the validity and the next renewal.
    pub renew_after_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { ttl_ms: 6_000, margin_ms: 2_000, renew_after_ms: 2_000 }
    }
}

/// Process that holds a lease or wants to hold it.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub lease: LeaseName,
    holder: InstanceName,
    term: AttemptId,
    settings: Settings,
    state: State,
    /// Append whose result is not known yet, and the local time just before it was sent.
    pending: Option<(AttemptId, u64)>,
    valid_until_ms: u64,
    /// When this process saw that it got the lease, on its own clock.
    held_since_ms: u64,
    fencing_token: Option<LogOffset>,
}

/// Permission to send one order to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderPermit {
    #[serde(rename = "fencing")]
    pub fencing_token: LogOffset,
    /// Time after sending within which the upstream may start the order, in milliseconds.
    pub not_after_ms: u64,
}

impl Candidate {
    /// Creates a candidate that has not requested the lease yet. `term` must be a new random id.
    pub fn new(
        lease: LeaseName,
        holder: InstanceName,
        term: AttemptId,
        settings: Settings,
    ) -> Self {
        let state = CHART.initial();
        Self {
            lease,
            holder,
            term,
            settings,
            state,
            pending: None,
            valid_until_ms: 0,
            held_since_ms: 0,
            fencing_token: None,
        }
    }

    /// Returns the state of the candidate.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the actions that follow from the time and from the leases as last read. `log_now_ms` is the reader's
    /// estimate of the log service's time, `now_ms` the time of its own monotonic clock.
    pub fn tick(&mut self, now_ms: u64, log_now_ms: u64, leases: &Leases) -> Vec<Action> {
        let grant = leases.grant(&self.lease);
        let is_own_grant = grant.is_some_and(|it| it.term == self.term && !it.is_released);
        self.apply_grant(now_ms, grant.filter(|_| is_own_grant));
        let may_send_orders = matches!(self.state, State::Held | State::Renewing);
        let event = if may_send_orders && self.valid_until_ms <= now_ms {
            Event::Expired
        } else if may_send_orders && !is_own_grant {
            Event::Denied
        } else {
            match self.state {
                State::Idle if is_own_grant || is_free(grant, log_now_ms) => Event::Free,
                State::Requesting | State::Renewing if is_own_grant && self.pending.is_none() => {
                    Event::Granted
                }
                State::Requesting
                    if grant.is_some_and(|it| !is_own_grant && log_now_ms < it.free_from_ms) =>
                {
                    Event::Denied
                }
                State::Requesting if self.is_pending_overdue(now_ms) => Event::Expired,
                State::Held if self.is_renewal_due(now_ms) => Event::RenewalDue,
                _ => return Vec::new(),
            }
        };
        self.step(event)
    }

    /// Handles an event that can't be derived from the time and the log: the append failed, its response was lost, or
    /// the process stops. A request whose response was lost may still be granted; requesting again under the same term
    /// is harmless.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        let step = CHART.step(self.state, event);
        self.state = step.to;
        if matches!(event, Event::AppendFailed | Event::Denied | Event::Expired) {
            self.pending = None;
        }
        step.actions
    }

    /// Returns the record to append for [`Action::AppendRequest`]. `now_ms` must be read before the append is sent.
    pub fn request_record(&mut self, attempt: AttemptId, now_ms: u64) -> LeaseRecord {
        self.pending = Some((attempt, now_ms));
        let Settings { ttl_ms, margin_ms, .. } = self.settings;
        let (lease, holder) = (self.lease.clone(), self.holder.clone());
        LeaseRecord::Request { lease, holder, attempt, term: self.term, ttl_ms, margin_ms }
    }

    /// Returns the record to append for [`Action::AppendRelease`].
    pub fn release_record(&self) -> LeaseRecord {
        LeaseRecord::Release { lease: self.lease.clone(), term: self.term }
    }

    /// Returns a permit for an order that is sent now, if the lease is valid.
    pub fn permit(&self, now_ms: u64) -> Option<OrderPermit> {
        let is_held = matches!(self.state, State::Held | State::Renewing);
        let fencing_token =
            self.fencing_token.filter(|_| is_held && now_ms < self.valid_until_ms)?;
        Some(OrderPermit { fencing_token, not_after_ms: self.valid_until_ms - now_ms })
    }

    /// Returns a permit for an order to an upstream that doesn't check fencing tokens. It is given only after the
    /// margin, when any order that a former holder sent in time has been executed or has failed.
    pub fn unfenced_permit(&self, now_ms: u64) -> Option<OrderPermit> {
        self.permit(now_ms).filter(|_| self.held_since_ms + self.settings.margin_ms <= now_ms)
    }

    fn apply_grant(&mut self, now_ms: u64, own_grant: Option<&Grant>) {
        let Some(grant) = own_grant else { return };
        if let Some((_, sent_ms)) = self.pending.filter(|it| it.0 == grant.attempt) {
            self.valid_until_ms = sent_ms + self.settings.ttl_ms;
            if self.fencing_token != Some(grant.fencing_token) {
                self.held_since_ms = now_ms;
            }
            self.fencing_token = Some(grant.fencing_token);
            self.pending = None;
        }
    }

    fn is_renewal_due(&self, now_ms: u64) -> bool {
        self.valid_until_ms - self.settings.ttl_ms + self.settings.renew_after_ms <= now_ms
    }

    fn is_pending_overdue(&self, now_ms: u64) -> bool {
        self.pending.is_some_and(|(_, sent_ms)| sent_ms + self.settings.ttl_ms <= now_ms)
    }
}

fn is_free(grant: Option<&Grant>, log_now_ms: u64) -> bool {
    grant.is_none_or(|it| it.is_released || it.free_from_ms <= log_now_ms)
}

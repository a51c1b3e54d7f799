//! Lease on the duties that only one node may carry out at a time: usage reports and replica orders.
//!
//! The lease is kept in one topic of the store. Each append is conditional on the end of the topic: the store rejects
//! it if the topic no longer ends at the position that the node expects. Of two concurrent claims, one therefore fails.
//! The position of the claim is the fencing token. The holder renews the lease and counts the validity from before the
//! claim or renewal was sent.
//!
//! Another node claims the lease only after a release, or after it has itself observed that the end of the topic did
//! not change for the validity and a margin (`ttl_ms + margin_ms`). A former holder waits for the same time after it
//! last acted under the lease or gave the lease up, before it claims the lease again. It waits even after a release, so
//! that the lease does not go back and forth between two nodes within one lease duration.
//!
//! When the store returns from a copy, claims and renewals are lost while their holder still acts, and the copy may be
//! empty or end with an old release. In a later era, every node therefore waits for the same time after it first learned of the era, and
//! so does a process that has just started to follow the topic, unless the deployment starts for the first time. Positions of a later era are higher, and so are the
//! fencing tokens.

use serde::{Deserialize, Serialize};

use lentilhitch_types::{InstanceName, LogPosition};

/// One record of the duty topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    pub holder: InstanceName,
    /// Random number that is drawn at each start of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    pub step: DutyStep,
}

/// Effect of a record on the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyStep {
    Claim,
    Renew,
    Release,
}

/// Durations of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Validity of the lease, counted from when the claim or renewal was sent.
    pub ttl_ms: u64,
    /// Allowance for clocks that run at different rates and for calls in flight.
    pub margin_ms: u64,
    /// Time between renewals by the holder.
    pub renew_after_ms: u64,
    /// Interval at which the other nodes read the topic.
    pub poll_interval_ms: u64,
    /// Whether the deployment starts for the first time, so that no node has held the lease before.
    pub is_first_start: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ttl_ms: 3_000,
            margin_ms: 500,
            renew_after_ms: 1_000,
            poll_interval_ms: 1_500,
            is_first_start: false,
        }
    }
}

impl Settings {
    /// Returns the settings for a lease with the given validity.
    pub fn for_lease(ttl_ms: u64) -> Self {
        Self {
            ttl_ms,
            margin_ms: ttl_ms / 6,
            renew_after_ms: ttl_ms / 3,
            poll_interval_ms: ttl_ms / 3,
            ..Self::default()
        }
    }
}

/// Next call or wait of a node that holds or wants the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Read the topic from this position.
    Read { from: LogPosition },
    /// Append a claim or renewal, on condition that the topic still ends at `topic_end`.
    Append { step: DutyStep, topic_end: LogPosition },
    /// Do nothing before this time.
    Wait { until_ms: u64 },
}

/// One node's view of the duty lease.
#[derive(Debug)]
pub struct DutyLeaseView {
    settings: Settings,
    /// Name and incarnation of this node.
    local_id: (InstanceName, u64),
    /// Last known end of the topic.
    end: LogPosition,
    /// Last record of the topic, if it is known.
    last_record: Option<DutyRecord>,
    /// When this node first read the topic, or first learned of the current era of the store. A release that it finds
    /// there, or an empty topic, may be that of a copy, older than a claim that was lost.
    era_seen_ms: Option<u64>,
    /// Whether the store has returned from a copy since this node first read the topic.
    was_restored: bool,
    /// When this node first saw the topic end at `end`, or sent the append that produced this end.
    end_first_seen_ms: u64,
    /// When this node last read the topic or received a new end from the holder. `None` if the topic must be read
    /// before this node may claim the lease.
    end_confirmed_ms: Option<u64>,
    /// Position of this node's claim, while this node believes that it holds the lease.
    fencing_token: Option<LogPosition>,
    /// End of the validity that follows from this node's last successful claim or renewal.
    valid_until_ms: u64,
    /// Start of the interval after which the next renewal is due: when the last successful claim or renewal was sent,
    /// or when a later append ended without a known result.
    renewal_interval_start_ms: u64,
    /// When this node last acted under the lease or gave it up.
    last_active_ms: Option<u64>,
    /// Whether the holder itself reported `end`. In that case, the last record of the topic has not been read.
    is_end_from_holder: bool,
}

impl DutyLeaseView {
    /// Creates the view of a node (`holder`, with its incarnation) that has not read the topic yet.
    pub fn new(settings: Settings, holder: InstanceName, incarnation: u64, now_ms: u64) -> Self {
        Self {
            settings,
            local_id: (holder, incarnation),
            end: LogPosition::default(),
            last_record: None,
            era_seen_ms: None,
            was_restored: false,
            end_first_seen_ms: now_ms,
            end_confirmed_ms: None,
            fencing_token: None,
            valid_until_ms: 0,
            renewal_interval_start_ms: 0,
            last_active_ms: None,
            is_end_from_holder: false,
        }
    }

    /// Returns the record that this node appends for a step.
    pub fn record(&self, step: DutyStep) -> DutyRecord {
        DutyRecord { holder: self.local_id.0.clone(), incarnation: self.local_id.1, step }
    }

    /// Returns the next call or wait, based on the time and on what is known of the topic.
    pub fn next(&self, now_ms: u64) -> Next {
        let Settings { renew_after_ms, poll_interval_ms, .. } = self.settings;
        if self.fencing_token.is_some() && now_ms < self.valid_until_ms {
            let due_ms = self.renewal_interval_start_ms + renew_after_ms;
            if now_ms < due_ms {
                return Next::Wait { until_ms: due_ms };
            }
            return Next::Append { step: DutyStep::Renew, topic_end: self.end };
        }
        let Some(end_confirmed_ms) = self.end_confirmed_ms else {
            return Next::Read { from: self.end };
        };
        if end_confirmed_ms + poll_interval_ms <= now_ms {
            return Next::Read { from: self.end };
        }
        let claimable_ms = self.claimable_from_ms();
        // Only a read after the expiry of the lease shows that no node renewed the lease.
        if claimable_ms <= now_ms && claimable_ms <= end_confirmed_ms {
            return Next::Append { step: DutyStep::Claim, topic_end: self.end };
        }
        Next::Wait {
            until_ms: (end_confirmed_ms + poll_interval_ms).min(claimable_ms.max(now_ms + 1)),
        }
    }

    /// Handles a read, which returned the end of the topic, and its last record if there are records from the last
    /// known end on.
    pub fn on_read(&mut self, end: LogPosition, last_record: Option<DutyRecord>, now_ms: u64) {
        self.start_era(end, now_ms);
        self.end_confirmed_ms = Some(now_ms);
        if end == self.end && self.is_end_from_holder {
            return;
        }
        self.is_end_from_holder = false;
        if end == self.end
            && (last_record.is_none() || last_record == self.last_record)
            && self.last_record.is_some()
        {
            return;
        }
        if end != self.end || self.last_record.is_none() {
            self.end_first_seen_ms = now_ms;
        }
        self.end = end;
        if last_record.is_some() {
            self.last_record = last_record;
        }
        let is_local_record = self
            .last_record
            .as_ref()
            .is_some_and(|it| (&it.holder, it.incarnation) == (&self.local_id.0, self.local_id.1));
        if !is_local_record {
            self.fencing_token = None;
        }
    }

    /// Handles a message from the holder that the topic ended at `end` after the holder's last append. The message
    /// postpones the next read of the topic, but a claim still requires a read.
    pub fn on_holder_update(&mut self, end: LogPosition, received_ms: u64) {
        if self.end.era() < end.era() {
            self.start_era(end, received_ms);
        }
        if self.end < end && self.fencing_token.is_none() {
            self.end = end;
            self.end_first_seen_ms = received_ms;
            self.end_confirmed_ms = Some(received_ms);
            self.last_record = None;
            self.is_end_from_holder = true;
        }
    }

    /// Starts to follow the topic, or follows it in a later era of the store. A claim of an earlier era is lost, so this
    /// node gives up the lease.
    fn start_era(&mut self, end: LogPosition, now_ms: u64) {
        let is_first = self.era_seen_ms.is_none();
        self.era_seen_ms.get_or_insert(now_ms);
        if end.era() <= self.end.era() {
            return;
        }
        self.was_restored |= !is_first;
        if self.fencing_token.is_some() {
            self.resign(now_ms);
        }
        self.era_seen_ms = Some(now_ms);
        self.end = LogPosition::new(end.era(), 0);
        self.last_record = None;
        self.end_first_seen_ms = now_ms;
        self.is_end_from_holder = false;
    }

    /// Handles an append of this node that was sent at `sent_ms` and succeeded at `position`.
    pub fn on_append(&mut self, step: DutyStep, position: LogPosition, sent_ms: u64) {
        self.end = position.next();
        self.is_end_from_holder = false;
        self.last_record = Some(self.record(step));
        self.end_first_seen_ms = sent_ms;
        self.renewal_interval_start_ms = sent_ms;
        self.valid_until_ms = sent_ms + self.settings.ttl_ms;
        if step == DutyStep::Claim {
            self.fencing_token = Some(position);
        }
    }

    /// Handles an append of this node without success. With `is_conflict`, the store rejected the append because the
    /// topic had another end, so this node no longer holds the lease. Otherwise the result of the append is unknown.
    /// The topic is read before the next append, except that a holder whose lease is still valid retries the renewal
    /// after `renew_after_ms`.
    pub fn on_append_failed(&mut self, is_conflict: bool, now_ms: u64) {
        self.end_confirmed_ms = None;
        if is_conflict {
            self.fencing_token = None;
        } else {
            self.renewal_interval_start_ms = now_ms;
        }
    }

    /// Gives up the lease, for example because a higher fencing token was seen.
    pub fn resign(&mut self, now_ms: u64) {
        self.fencing_token = None;
        self.last_active_ms = Some(now_ms);
        self.end_confirmed_ms = None;
    }

    /// Returns the fencing token if an action under the lease may start now, and records the time of that action. The
    /// remaining validity of the lease must exceed the margin.
    pub fn permit(&mut self, now_ms: u64) -> Option<LogPosition> {
        let fencing_token = self
            .fencing_token
            .filter(|_| now_ms + self.settings.margin_ms < self.valid_until_ms)?;
        self.last_active_ms = Some(now_ms);
        Some(fencing_token)
    }

    /// Returns whether this node holds a lease that is still valid.
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.fencing_token.is_some() && now_ms < self.valid_until_ms
    }

    /// Returns the last known end of the topic.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// Returns the time from which this node may claim the lease, unless the holder renews the lease before then.
    fn claimable_from_ms(&self) -> u64 {
        let is_released = !self.is_end_from_holder
            && self.last_record.as_ref().is_none_or(|it| it.step == DutyStep::Release);
        let lease_ms = self.settings.ttl_ms + self.settings.margin_ms;
        let is_unused =
            self.settings.is_first_start && self.end.offset() == 0 && !self.was_restored;
        let lease_expires_ms = match (is_unused, is_released) {
            (true, _) => 0,
            (false, true) => self.era_seen_ms.unwrap_or(0) + lease_ms,
            (false, false) => self.end_first_seen_ms + lease_ms,
        };
        let cooldown_ends_ms = self.last_active_ms.map_or(0, |it| it + lease_ms);
        lease_expires_ms.max(cooldown_ends_ms)
    }
}

//! Lease on the duties that only one node may carry out at a time.
//!
//! The lease is kept in one topic of the platform's log. Each append names the end of the topic that it expects, so of
//! two concurrent claims one fails. The offset of the claim is the fencing token. The holder renews the lease and
//! counts its validity from before the renewal was sent. Another node claims the lease only after a release, or after
//! it has itself observed that the end of the topic did not change for longer than that validity. A former holder waits
//! a full lease after its last action before it claims again, so that two nodes don't alternate within one lease.

use serde::{Deserialize, Serialize};

use lentilhitch_types::{InstanceName, LogOffset};

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
}

impl Default for Settings {
    fn default() -> Self {
        Self { ttl_ms: 3_000, margin_ms: 500, renew_after_ms: 1_000, poll_interval_ms: 1_500 }
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
        }
    }
}

/// Next step of a node that holds or wants the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Read the topic from this offset.
    Read { from: LogOffset },
    /// Append a claim or renewal, on condition that the topic still ends at `at`.
    Append { step: DutyStep, at: LogOffset },
    /// Do nothing before this time.
    Wait { until_ms: u64 },
}

/// One node's view of the lease.
#[derive(Debug)]
pub struct Duty {
    settings: Settings,
    /// Name and incarnation of this node.
    local_id: (InstanceName, u64),
    /// Last known end of the topic.
    end: LogOffset,
    /// Last record of the topic, if it is known.
    last_record: Option<DutyRecord>,
    /// When this node first saw the topic end at `end`.
    end_changed_ms: u64,
    /// When the topic was last read or its end was last received from the holder; `None` if a read is due.
    last_read_ms: Option<u64>,
    /// Set while this node believes that it holds the lease.
    fencing_token: Option<LogOffset>,
    valid_until_ms: u64,
    /// When the last claim or renewal was sent, or ended without a known result.
    last_renewal_ms: u64,
    /// When this node last acted under the lease or gave it up.
    last_active_ms: Option<u64>,
    /// Whether the holder itself reported `end`; the last record has not been read in that case.
    is_end_from_holder: bool,
}

impl Duty {
    /// Creates the view of a node that has not read the topic yet.
    pub fn new(settings: Settings, holder: InstanceName, incarnation: u64, now_ms: u64) -> Self {
        Self {
            settings,
            local_id: (holder, incarnation),
            end: LogOffset(0),
            last_record: None,
            end_changed_ms: now_ms,
            last_read_ms: None,
            fencing_token: None,
            valid_until_ms: 0,
            last_renewal_ms: 0,
            last_active_ms: None,
            is_end_from_holder: false,
        }
    }

    /// Returns the record that this node appends for a step.
    pub fn record(&self, step: DutyStep) -> DutyRecord {
        DutyRecord { holder: self.local_id.0.clone(), incarnation: self.local_id.1, step }
    }

    /// Returns the next step, based on the time and on the records read.
    pub fn next(&self, now_ms: u64) -> Next {
        let Settings { renew_after_ms, poll_interval_ms, .. } = self.settings;
        if self.fencing_token.is_some() && now_ms < self.valid_until_ms {
            let due_ms = self.last_renewal_ms + renew_after_ms;
            if now_ms < due_ms {
                return Next::Wait { until_ms: due_ms };
            }
            return Next::Append { step: DutyStep::Renew, at: self.end };
        }
        let Some(last_read_ms) = self.last_read_ms else { return Next::Read { from: self.end } };
        if last_read_ms + poll_interval_ms <= now_ms {
            return Next::Read { from: self.end };
        }
        let claimable_ms = self.claimable_from_ms();
        // Only a read after the lease has expired shows that nobody renewed it.
        if claimable_ms <= now_ms && claimable_ms <= last_read_ms {
            return Next::Append { step: DutyStep::Claim, at: self.end };
        }
        Next::Wait { until_ms: (last_read_ms + poll_interval_ms).min(claimable_ms.max(now_ms + 1)) }
    }

    /// Handles a read: the end of the topic, and its last record if there are new ones.
    pub fn on_read(&mut self, end: LogOffset, last_record: Option<DutyRecord>, now_ms: u64) {
        self.last_read_ms = Some(now_ms);
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
            self.end_changed_ms = now_ms;
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

    /// Handles a message from the holder that the topic ended at `end` when it last renewed. This saves a read, but a
    /// claim still requires one.
    pub fn on_holder_update(&mut self, end: LogOffset, received_ms: u64) {
        if self.end < end && self.fencing_token.is_none() {
            self.end = end;
            self.end_changed_ms = received_ms;
            self.last_read_ms = Some(received_ms);
            self.last_record = None;
            self.is_end_from_holder = true;
        }
    }

    /// Handles an append of this node that was sent at `sent_ms` and written at `offset`.
    pub fn on_append(&mut self, step: DutyStep, offset: LogOffset, sent_ms: u64) {
        self.end = offset.next();
        self.is_end_from_holder = false;
        self.last_record = Some(self.record(step));
        self.end_changed_ms = sent_ms;
        self.last_renewal_ms = sent_ms;
        self.valid_until_ms = sent_ms + self.settings.ttl_ms;
        if step == DutyStep::Claim {
            self.fencing_token = Some(offset);
        }
    }

    /// Handles an append of this node that failed, or whose result is unknown unless `is_conflict`. The topic is read
    /// before the next append, except that a holder whose lease is still valid retries the renewal after
    /// `renew_after_ms`.
    pub fn on_append_failed(&mut self, is_conflict: bool, now_ms: u64) {
        self.last_read_ms = None;
        if is_conflict {
            self.fencing_token = None;
        } else {
            self.last_renewal_ms = now_ms;
        }
    }

    /// Gives up the lease, for example because a higher fencing token was seen.
    pub fn resign(&mut self, now_ms: u64) {
        self.fencing_token = None;
        self.last_active_ms = Some(now_ms);
        self.last_read_ms = None;
    }

    /// Returns the fencing token if an action may start now, and records the time of that action. The lease must be
    /// valid for longer than the margin.
    pub fn permit(&mut self, now_ms: u64) -> Option<LogOffset> {
        let fencing_token = self
            .fencing_token
            .filter(|_| now_ms + self.settings.margin_ms < self.valid_until_ms)?;
        self.last_active_ms = Some(now_ms);
        Some(fencing_token)
    }

    /// Returns whether this node holds the lease.
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.fencing_token.is_some() && now_ms < self.valid_until_ms
    }

    /// Returns the last known end of the topic.
    pub fn end(&self) -> LogOffset {
        self.end
    }

    /// Returns the time from which this node may claim the lease, unless it is renewed before then.
    fn claimable_from_ms(&self) -> u64 {
        let is_released = !self.is_end_from_holder
            && self.last_record.as_ref().is_none_or(|it| it.step == DutyStep::Release);
        let lease_ms = self.settings.ttl_ms + self.settings.margin_ms;
        let lease_expires_ms = if is_released { 0 } else { self.end_changed_ms + lease_ms };
        let cooldown_ends_ms = self.last_active_ms.map_or(0, |it| it + lease_ms);
        lease_expires_ms.max(cooldown_ends_ms)
    }
}

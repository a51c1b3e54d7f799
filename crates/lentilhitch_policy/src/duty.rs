//! Who carries out the duties that only one node may have at a time.
//!
//! The holder is written into one topic of the platform's log by appends that name the end they follow, so of two
//! claims one fails. The offset of the claim is the fencing number. The holder renews; its validity counts from before
//! the renewal was sent. Another node claims only after it has itself watched the end stand still for longer than that
//! validity, or after a release. A node that held the lease before waits a whole lease after its last act, so that two
//! nodes don't take turns within one lease.

use serde::{Deserialize, Serialize};

use lentilhitch_types::{InstanceName, LogOffset};

/// One record of the topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    pub holder: InstanceName,
    /// Drawn anew at each start of a process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    pub step: DutyStep,
}

/// What a record does.
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
    pub ttl_ms: u64,
    /// Covers clocks that run at different rates and calls in flight.
    pub margin_ms: u64,
    pub renew_after_ms: u64,
    /// How often the others look.
    pub poll_interval_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { ttl_ms: 3_000, margin_ms: 500, renew_after_ms: 1_000, poll_interval_ms: 1_500 }
    }
}

impl Settings {
    /// Settings for a lease of the given length.
    pub fn for_lease(ttl_ms: u64) -> Self {
        Self {
            ttl_ms,
            margin_ms: ttl_ms / 6,
            renew_after_ms: ttl_ms / 3,
            poll_interval_ms: ttl_ms / 3,
        }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Read the topic from this offset on.
    Read { from: LogOffset },
    /// Append a claim or renewal if the topic still ends here.
    Append { step: DutyStep, at: LogOffset },
    /// Nothing before this time.
    Wait { until_ms: u64 },
}

/// One node's view of the lease.
#[derive(Debug)]
pub struct Duty {
    settings: Settings,
    local_id: (InstanceName, u64),
    end: LogOffset,
    /// The last record, and when its presence was first seen.
    last_record: Option<DutyRecord>,
    end_changed_ms: u64,
    last_read_ms: Option<u64>,
    fencing_token: Option<LogOffset>,
    valid_until_ms: u64,
    last_renewal_ms: u64,
    /// When this node last had the lease while it acted.
    last_active_ms: Option<u64>,
    /// The end is known from the holder itself; the last record was not read.
    is_end_from_holder: bool,
}

impl Duty {
    /// A node that has read nothing yet.
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

    /// The record that this node writes for a step.
    pub fn record(&self, step: DutyStep) -> DutyRecord {
        DutyRecord { holder: self.local_id.0.clone(), incarnation: self.local_id.1, step }
    }

    /// What follows from the time and from what was read.
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
        // Only a fresh reading says that nobody renewed.
        if claimable_ms <= now_ms && claimable_ms <= last_read_ms {
            return Next::Append { step: DutyStep::Claim, at: self.end };
        }
        Next::Wait { until_ms: (last_read_ms + poll_interval_ms).min(claimable_ms.max(now_ms + 1)) }
    }

    /// Takes a reading: where the topic ends and its last record, if any is new.
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
        let is_local = self
            .last_record
            .as_ref()
            .is_some_and(|it| (&it.holder, it.incarnation) == (&self.local_id.0, self.local_id.1));
        if !is_local {
            self.fencing_token = None;
        }
    }

    /// The holder said that the topic ended there when it last renewed. This spares a reading; a claim still needs one.
    pub fn on_holder_update(&mut self, end: LogOffset, received_ms: u64) {
        if self.end < end && self.fencing_token.is_none() {
            self.end = end;
            self.end_changed_ms = received_ms;
            self.last_read_ms = Some(received_ms);
            self.last_record = None;
            self.is_end_from_holder = true;
        }
    }

    /// An append of this node took effect at `offset`; it was sent at `sent_ms`.
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

    /// An append failed, or may have. The topic is read before anything else is tried.
    pub fn on_append_failed(&mut self, is_conflict: bool, now_ms: u64) {
        self.last_read_ms = None;
        if is_conflict {
            self.fencing_token = None;
        } else {
            self.last_renewal_ms = now_ms;
        }
    }

    /// Gives the lease up, for example since a higher fencing number was seen.
    pub fn resign(&mut self, now_ms: u64) {
        self.fencing_token = None;
        self.last_active_ms = Some(now_ms);
        self.last_read_ms = None;
    }

    /// The fencing number, if an act may begin now. The act counts.
    pub fn permit(&mut self, now_ms: u64) -> Option<LogOffset> {
        let fencing_token = self
            .fencing_token
            .filter(|_| now_ms + self.settings.margin_ms < self.valid_until_ms)?;
        self.last_active_ms = Some(now_ms);
        Some(fencing_token)
    }

    /// Whether the lease is held.
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.fencing_token.is_some() && now_ms < self.valid_until_ms
    }

    /// Where the topic ends, as far as known.
    pub fn end(&self) -> LogOffset {
        self.end
    }

    fn claimable_from_ms(&self) -> u64 {
        let is_released = !self.is_end_from_holder
            && self.last_record.as_ref().is_none_or(|it| it.step == DutyStep::Release);
        let lease_ms = self.settings.ttl_ms + self.settings.margin_ms;
        let lease_expires_ms = if is_released { 0 } else { self.end_changed_ms + lease_ms };
        let cooldown_ends_ms = self.last_active_ms.map_or(0, |it| it + lease_ms);
        lease_expires_ms.max(cooldown_ends_ms)
    }
}

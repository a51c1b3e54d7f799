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
    pub life: u64,
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
    pub watch_every_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { ttl_ms: 3_000, margin_ms: 500, renew_after_ms: 1_000, watch_every_ms: 1_500 }
    }
}

impl Settings {
    /// Settings for a lease of the given length.
    pub fn for_lease(ttl_ms: u64) -> Self {
        Self {
            ttl_ms,
            margin_ms: ttl_ms / 6,
            renew_after_ms: ttl_ms / 3,
            watch_every_ms: ttl_ms / 3,
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
    own: (InstanceName, u64),
    end: LogOffset,
    /// The last record, and when its presence was first seen.
    last: Option<DutyRecord>,
    changed_ms: u64,
    read_ms: Option<u64>,
    fence: Option<LogOffset>,
    valid_until_ms: u64,
    renewed_ms: u64,
    /// When this node last had the lease while it acted.
    acted_ms: Option<u64>,
    /// The end is known from the holder itself; the last record was not read.
    is_heard: bool,
}

impl Duty {
    /// A node that has read nothing yet.
    pub fn new(settings: Settings, holder: InstanceName, life: u64, now_ms: u64) -> Self {
        Self {
            settings,
            own: (holder, life),
            end: LogOffset(0),
            last: None,
            changed_ms: now_ms,
            read_ms: None,
            fence: None,
            valid_until_ms: 0,
            renewed_ms: 0,
            acted_ms: None,
            is_heard: false,
        }
    }

    /// The record that this node writes for a step.
    pub fn record(&self, step: DutyStep) -> DutyRecord {
        DutyRecord { holder: self.own.0.clone(), life: self.own.1, step }
    }

    /// What follows from the time and from what was read.
    pub fn next(&self, now_ms: u64) -> Next {
        let Settings { renew_after_ms, watch_every_ms, .. } = self.settings;
        if self.fence.is_some() && now_ms < self.valid_until_ms {
            let due_ms = self.renewed_ms + renew_after_ms;
            if now_ms < due_ms {
                return Next::Wait { until_ms: due_ms };
            }
            return Next::Append { step: DutyStep::Renew, at: self.end };
        }
        let Some(read_ms) = self.read_ms else { return Next::Read { from: self.end } };
        if read_ms + watch_every_ms <= now_ms {
            return Next::Read { from: self.end };
        }
        let free_ms = self.free_from_ms();
        // Only a fresh reading says that nobody renewed.
        if free_ms <= now_ms && free_ms <= read_ms {
            return Next::Append { step: DutyStep::Claim, at: self.end };
        }
        Next::Wait { until_ms: (read_ms + watch_every_ms).min(free_ms.max(now_ms + 1)) }
    }

    /// Takes a reading: where the topic ends and its last record, if any is new.
    pub fn take_reading(&mut self, end: LogOffset, last: Option<DutyRecord>, now_ms: u64) {
        self.read_ms = Some(now_ms);
        if end == self.end && self.is_heard {
            return;
        }
        self.is_heard = false;
        if end == self.end && (last.is_none() || last == self.last) && self.last.is_some() {
            return;
        }
        if end != self.end || self.last.is_none() {
            self.changed_ms = now_ms;
        }
        self.end = end;
        if last.is_some() {
            self.last = last;
        }
        let is_own =
            self.last.as_ref().is_some_and(|it| (&it.holder, it.life) == (&self.own.0, self.own.1));
        if !is_own {
            self.fence = None;
        }
    }

    /// The holder said that the topic ended there when it last renewed. This spares a reading; a claim still needs one.
    pub fn hear(&mut self, end: LogOffset, heard_ms: u64) {
        if self.end < end && self.fence.is_none() {
            self.end = end;
            self.changed_ms = heard_ms;
            self.read_ms = Some(heard_ms);
            self.last = None;
            self.is_heard = true;
        }
    }

    /// An append of this node took effect at `offset`; it was sent at `sent_ms`.
    pub fn take_append(&mut self, step: DutyStep, offset: LogOffset, sent_ms: u64) {
        self.end = offset.next();
        self.is_heard = false;
        self.last = Some(self.record(step));
        self.changed_ms = sent_ms;
        self.renewed_ms = sent_ms;
        self.valid_until_ms = sent_ms + self.settings.ttl_ms;
        if step == DutyStep::Claim {
            self.fence = Some(offset);
        }
    }

    /// An append failed, or may have. The topic is read before anything else is tried.
    pub fn fail_append(&mut self, is_conflict: bool, now_ms: u64) {
        self.read_ms = None;
        if is_conflict {
            self.fence = None;
        } else {
            self.renewed_ms = now_ms;
        }
    }

    /// Gives the lease up, for example since a higher fencing number was seen.
    pub fn resign(&mut self, now_ms: u64) {
        self.fence = None;
        self.acted_ms = Some(now_ms);
        self.read_ms = None;
    }

    /// The fencing number, if an act may begin now. The act counts.
    pub fn permit(&mut self, now_ms: u64) -> Option<LogOffset> {
        let fence =
            self.fence.filter(|_| now_ms + self.settings.margin_ms < self.valid_until_ms)?;
        self.acted_ms = Some(now_ms);
        Some(fence)
    }

    /// Whether the lease is held.
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.fence.is_some() && now_ms < self.valid_until_ms
    }

    /// Where the topic ends, as far as known.
    pub fn end(&self) -> LogOffset {
        self.end
    }

    fn free_from_ms(&self) -> u64 {
        let is_released =
            !self.is_heard && self.last.as_ref().is_none_or(|it| it.step == DutyStep::Release);
        let lease_ms = self.settings.ttl_ms + self.settings.margin_ms;
        let quiet_ms = if is_released { 0 } else { self.changed_ms + lease_ms };
        let own_ms = self.acted_ms.map_or(0, |it| it + lease_ms);
        quiet_ms.max(own_ms)
    }
}

//! Clocks of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use lentilhitch_types::Incarnation;

/// Monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the uptime of the process in milliseconds.
    pub(crate) fn now_ms(self) -> u64 {
        self.0.elapsed().as_millis() as u64
    }
}

/// Returns the incarnation of this process: its start time by the wall clock, in milliseconds since the Unix epoch.
pub(crate) fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.map_or(0, |it| it.as_millis() as u64))
}

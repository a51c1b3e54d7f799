//! The monotonic clock and the wall clock of a node.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the monotonic time in milliseconds. It starts at one hour instead of 0, so that times before the start
    /// of the process can be represented.
    pub(crate) fn monotonic_ms(&self) -> u64 {
        const START_MS: u64 = 3_600_000;
        START_MS + self.uptime_ms()
    }

    /// Returns the time since the start of the process in milliseconds.
    pub(crate) fn uptime_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Returns the machine's wall-clock time in milliseconds since the Unix epoch. It may be wrong.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

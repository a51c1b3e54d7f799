//! The two clocks of a node.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reads the steady clock and the time of day.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Milliseconds on the steady clock. It starts at an hour, so that times of before the start can be written.
    pub(crate) fn monotonic_ms(&self) -> u64 {
        const HOUR_MS: u64 = 3_600_000;
        HOUR_MS + self.uptime_ms()
    }

    /// Milliseconds since the start of the process.
    pub(crate) fn uptime_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// The machine's time of day in milliseconds since 1970, which may be wrong.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

//! The process's own clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use lentilhitch_types::Incarnation;

/// Milliseconds since the process started; never goes back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now_ms(self) -> u64 {
        self.0.elapsed().as_millis() as u64
    }
}

/// An incarnation for this life of the process, from the wall clock.
pub(crate) fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.map_or(0, |it| it.as_millis() as u64))
}

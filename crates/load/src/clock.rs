//! The clock of a run: monotonic, and aligned with the wall clock once, at its creation.

use crate::record::{
    unix_us,
    UnixUs, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Converts times of a run to wall-clock times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    start_us: UnixUs,
}

impl Clock {
    /// Creates the clock of a run that starts after `delay`.
    pub(crate) fn starting_in(delay: Duration) -> Self {
        Self {
            start: Instant::now() + delay,
            start_us: unix_us() + micros(delay),
        }
    }

    /// Start of the run.
    pub(crate) fn start(&self) -> Instant {
        self.start
    }

    /// Wall-clock time of an instant.
    pub(crate) fn wall_us(&self, instant: Instant) -> UnixUs {
        match instant.checked_duration_since(self.start) {
            Some(elapsed) => self.start_us + micros(elapsed),
            None => self.start_us - micros(self.start.duration_since(instant)),
        }
    }

    /// Wall-clock time at an offset from the start of the run.
    pub(crate) fn wall_us_at(&self, offset: Duration) -> UnixUs {
        self.start_us + micros(offset)
    }
}

/// Whole microseconds of a duration.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

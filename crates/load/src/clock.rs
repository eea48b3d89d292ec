//! One clock for a run: monotonic, tied to the wall clock once at its start.

use crate::record::{
    unix_us,
    UnixUs, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Turns moments of a run into times of the wall clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    start_us: UnixUs,
}

impl Clock {
    /// A clock whose run starts after `delay`.
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

    /// Wall time of a moment of the monotonic clock.
    pub(crate) fn us(&self, moment: Instant) -> UnixUs {
        match moment.checked_duration_since(self.start) {
            Some(since) => self.start_us + micros(since),
            None => self.start_us - micros(self.start.duration_since(moment)),
        }
    }

    /// Wall time of a moment counted from the start of the run.
    pub(crate) fn at(&self, since_start: Duration) -> UnixUs {
        self.start_us + micros(since_start)
    }
}

/// Whole microseconds of a duration.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

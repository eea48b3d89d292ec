//! Monotonic clock of a process.

use base::Now;
use nix::time::{
    clock_gettime,
    ClockId, //
};
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

/// Clock that measures the time since the start of the process, including the time that the machine is suspended.
///
/// With a clock that stops during a suspension, a resumed process would still use a lease that has expired and has
/// been granted to another entry meanwhile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub(crate) fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Returns the time since the clock was started.
    pub(crate) fn now(&self) -> Now {
        since_boot().saturating_sub(self.start)
    }
}

fn since_boot() -> Duration {
    let time =
        clock_gettime(ClockId::CLOCK_BOOTTIME).expect("every Linux kernel supports CLOCK_BOOTTIME");
    time.into()
}

/// Returns the wall-clock time, in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, millis)
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

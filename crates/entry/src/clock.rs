//! The clock of a process.

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

/// Time since the start of the process, suspensions of the machine included.
///
/// What goes wrong with a clock that stands still while the machine is suspended: a process that wakes up takes a
/// lease for its own that has run out, and was given to another one meanwhile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Duration,
}

impl Clock {
    /// A clock that begins now.
    pub(crate) fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Time since its beginning.
    pub(crate) fn now(&self) -> Now {
        since_boot().saturating_sub(self.start)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("every Linux has this clock");
    time.into()
}

/// Returns the wall-clock time, in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

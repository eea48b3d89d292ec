//! Wall time of one process, read once.

use base::Now;

/// Monotonic clock tied to wall time once, at the start of the process.
///
/// A wall clock stepped back makes an expired ticket look valid after its outcome was forgotten:
/// the work would run twice, and only the upstream's record would show it. This clock can't be
/// stepped, so what it once called expired stays expired.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WallClock {
    /// Wall time at `start`, milliseconds since the Unix epoch.
    pub start_wall_ms: u64,
    /// Monotonic time at which `start_wall_ms` was read.
    pub start: Now,
}

impl WallClock {
    /// Wall time at `now`, milliseconds since the Unix epoch; never goes back.
    pub fn wall_ms(&self, now: Now) -> u64 {
        let since_start = now.saturating_sub(self.start);
        let since_start_ms = u64::try_from(since_start.as_millis()).unwrap_or(u64::MAX);
        self.start_wall_ms.saturating_add(since_start_ms)
    }
}

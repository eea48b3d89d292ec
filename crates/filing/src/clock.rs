//! Wall time of a process, derived from a single reading of the system clock.

use base::Now;

/// Monotonic clock tied to wall time once, at the start of the process.
///
/// If the wall clock were stepped back, an expired ticket would look valid after its outcome was
/// forgotten: the filing would run twice, which only the upstream's own records would show. This
/// clock can't be stepped, so a ticket that has expired stays expired.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WallClock {
    /// Wall time at `start`, in milliseconds since the Unix epoch.
    pub start_wall_ms: u64,
    /// Monotonic time at which `start_wall_ms` was read.
    pub start: Now,
}

impl WallClock {
    /// Wall time at `now`, in milliseconds since the Unix epoch; monotonic.
    pub fn wall_ms(&self, now: Now) -> u64 {
        let since_start = now.saturating_sub(self.start);
        let since_start_ms = u64::try_from(since_start.as_millis()).unwrap_or(u64::MAX);
        self.start_wall_ms.saturating_add(since_start_ms)
    }
}

//! Whether this entry keeps up with its own work.
//!
//! An entry that has more to do than its processor can is late with everything: requests wait in its
//! sockets, and by the time it reads them their callers have little time left or are gone. Refusing a part
//! of them costs a fraction of serving them, and keeps the rest in time.

use std::time::Duration;

/// Part of the latest lateness in the lag: a single pause, however long, doesn't count as being behind.
const WEIGHT: f64 = 0.3;
/// Most that one lateness counts: what a processor with a quota of each tenth of a second may add, twice.
const LATE_MAX: Duration = Duration::from_millis(200);
/// Lag from which on requests are refused: half of the tenth of a second is usual where a processor has a
/// quota.
const BEHIND: Duration = Duration::from_millis(70);
/// Lag at which all but [`SERVED_MIN`] are refused.
const FAR_BEHIND: Duration = Duration::from_millis(160);
/// Part that is served however far behind, which shows when the rest can come back.
const SERVED_MIN: f64 = 0.2;

/// How late this entry is with what it does.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    lag_s: f64,
}

impl Pace {
    /// Notes how late something came that was due at a known time; to be called about every 100 ms.
    pub fn note(&mut self, late: Duration) {
        let late_s = late.min(LATE_MAX).as_secs_f64();
        self.lag_s += WEIGHT * (late_s - self.lag_s);
    }

    /// How late it is.
    pub fn lag(&self) -> Duration {
        Duration::from_secs_f64(self.lag_s)
    }

    /// Part of the requests that it can serve.
    pub fn served(&self) -> f64 {
        let over_s = self.lag_s - BEHIND.as_secs_f64();
        let range_s = (FAR_BEHIND - BEHIND).as_secs_f64();
        (1.0 - over_s.max(0.0) / range_s).max(SERVED_MIN)
    }

    /// Whether a request is served; `nonce` is another number for each.
    pub fn serves(&self, nonce: u64) -> bool {
        (nonce % 1000) as f64 <= self.served() * 1000.0
    }
}

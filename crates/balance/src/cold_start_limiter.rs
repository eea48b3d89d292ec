//! Rate limiter for a cold upstream, used by the entry that holds its lease.

use crate::window::Window;
use base::Now;
use std::time::Duration;

/// Window over which the rate is limited.
const SPAN: Duration = Duration::from_secs(1);
/// Percentage of the rate that is used, because requests may arrive closer together than they were sent.
const USED_PCT: f64 = 80.0;

/// Limits the requests that this entry sends to one cold upstream within any second.
///
/// A request counts from the moment the upstream is chosen for it until a second after its first byte is sent. If it
/// counted at the choice only, requests that wait longer than a second for a connection would be sent in addition to as
/// many that are chosen then.
#[derive(Clone, Debug)]
pub struct ColdStartLimiter {
    /// Number of requests for which the upstream was chosen and that are neither sent nor withdrawn yet.
    waiting: u32,
    sent: Window,
}

impl Default for ColdStartLimiter {
    fn default() -> Self {
        Self {
            waiting: 0,
            sent: Window::new(SPAN),
        }
    }
}

impl ColdStartLimiter {
    /// Returns whether one more request may be sent to an upstream that accepts `per_s` requests per second.
    pub fn allows(&mut self, per_s: f64, now: Now) -> bool {
        // The reserve must not exclude an upstream that accepts a single request.
        let allowed = (per_s * USED_PCT / 100.0).max(per_s.min(1.0)).floor();
        ((self.sent.count_upper_bound(now) + u64::from(self.waiting)) as f64) < allowed
    }

    /// Counts a request for which the upstream was chosen.
    pub fn note_chosen(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that is sent now.
    pub fn note_sent(&mut self, now: Now) {
        self.sent.add(1, now);
    }

    /// Stops counting a request as waiting, because it is being sent or has been withdrawn.
    pub fn note_wait_ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }
}

//! Rate limiter for an upstream that states a rate limit, used by the entry that holds its lease.

use crate::window::Window;
use base::Now;
use std::time::Duration;

/// Window that bounds bursts to one second's worth of the limit.
const BURST_SPAN: Duration = Duration::from_secs(1);
/// Window over which the limit is enforced. At least one request per window is allowed, however low the limit, because
/// its response shows whether the limit has ended.
const SPAN: Duration = Duration::from_secs(4);
/// Percentage of the limit that is used. The rest covers requests that other entries send before they learn of the
/// limit.
const USED_PCT: f64 = 80.0;

/// Limits the requests that this entry sends to an upstream that states a rate limit.
///
/// A request counts from the moment the upstream is chosen for it, since it may wait for a connection, until the window
/// after its sending has passed.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// Number of requests for which the upstream was chosen and that are neither sent nor withdrawn yet.
    waiting: u32,
    burst: Window,
    sent: Window,
}

impl Default for RateLimiter {
    fn default() -> Self {
        Self {
            waiting: 0,
            burst: Window::new(BURST_SPAN),
            sent: Window::new(SPAN),
        }
    }
}

impl RateLimiter {
    /// Returns whether one more request may be sent under a limit of `limit_per_s`.
    pub fn allows(&mut self, limit_per_s: f64, now: Now) -> bool {
        let waiting = u64::from(self.waiting);
        let allowed = |span: Duration, fraction: f64| {
            let allowed = limit_per_s * span.as_secs_f64() * fraction;
            allowed.floor().max(1.0)
        };
        let burst = (self.burst.count_upper_bound(now) + waiting) as f64;
        let sent = (self.sent.count_upper_bound(now) + waiting) as f64;
        burst < allowed(BURST_SPAN, 1.0) && sent < allowed(SPAN, USED_PCT / 100.0)
    }

    /// Counts a request for which the upstream was chosen.
    pub fn note_chosen(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that is sent now.
    pub fn note_sent(&mut self, now: Now) {
        self.burst.add(1, now);
        self.sent.add(1, now);
    }

    /// Stops counting a request as waiting, because it is being sent or has been withdrawn.
    pub fn note_wait_ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }
}

//! Budget for sends after a request's first.

use crate::window::Window;
use base::Now;
use std::time::Duration;

/// Percentage of the budget that is used. The rest covers that the windows of the entries don't begin at the same
/// moment and that an entry counted as live may be about to leave.
const USED_PCT: f64 = 80.0;

/// One entry's share of the retries that all entries combined may add to the requests for one service.
///
/// Within any window, the retries of all entries must stay below a ratio of the requests plus a constant. Each entry
/// applies the ratio to the requests that it received itself, and gets the constant divided by the number of entries.
/// The sum stays within the limit however requests are distributed over entries.
///
/// A process gets no share of the constant in its first window, because the process that it replaces may have just
/// spent it.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    requests: Window,
    retries: Window,
}

impl RetryBudget {
    /// Returns a budget of `ratio` retries per request within any `window`, to which a share of the constant is added.
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self {
            window,
            ratio,
            requests: Window::new(window),
            retries: Window::new(window),
        }
    }

    /// Counts a request from a caller.
    pub fn note_request(&mut self, now: Now) {
        self.requests.add(1, now);
    }

    /// Takes one retry from the budget. Returns whether the budget allowed it. `slack` is this entry's share of the
    /// constant, and `now` is the time since the start of the process.
    #[must_use]
    pub fn try_take(&mut self, slack: f64, now: Now) -> bool {
        let slack = if now < self.window { 0.0 } else { slack };
        let requests = self.requests.count_lower_bound(now) as f64;
        let allowed = (requests * self.ratio + slack) * USED_PCT / 100.0;
        let taken = self.retries.count_upper_bound(now) as f64 + 1.0 <= allowed;
        if taken {
            self.retries.add(1, now);
        }
        taken
    }
}

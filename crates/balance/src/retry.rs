//! Budget of sends beyond a request's first.

use crate::window::Window;
use base::Now;
use std::time::Duration;

/// Part of the allowance that is used, in hundredths: the rest covers that windows of the entries
/// don't begin at the same moment and that an entry counted as live may be about to leave.
const USED_PCT: f64 = 80.0;

/// One entry's part of the sends that all entries may add to what callers ask of one service.
///
/// Within any window the added sends of all entries must stay under a ratio of the requests plus a
/// constant. Each entry spends the ratio on the requests that it saw itself and the constant divided
/// by the number of entries; the sum keeps the bound whatever reaches which entry.
///
/// A process has no part of the constant in its first window. What goes wrong otherwise: after a loss of processes each
/// new one spends what its former life has just spent.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    offered: Window,
    added: Window,
}

impl RetryBudget {
    /// Budget of `ratio` times the requests of any `window`, plus a part of a constant.
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self {
            window,
            ratio,
            offered: Window::new(window),
            added: Window::new(window),
        }
    }

    /// Counts a request of a caller.
    pub fn offer(&mut self, now: Now) {
        self.offered.add(1, now);
    }

    /// Takes one added send if the budget holds it; `slack` is this entry's part of the constant, `now` the time since
    /// the start of the process.
    #[must_use]
    pub fn take(&mut self, slack: f64, now: Now) -> bool {
        let slack = if now < self.window { 0.0 } else { slack };
        let offered = self.offered.count_at_most(now) as f64;
        let allowed = (offered * self.ratio + slack) * USED_PCT / 100.0;
        let taken = self.added.count(now) as f64 + 1.0 <= allowed;
        if taken {
            self.added.add(1, now);
        }
        taken
    }
}

//! Allowance of a cold upstream, for the entry that holds its lease.

use crate::window::Window;
use base::Now;
use std::time::Duration;

/// The span for which the bound is stated.
const SPAN: Duration = Duration::from_secs(1);
/// Part of the bound that is used, in hundredths: requests of one span may arrive closer together
/// than they were sent.
const USED_PCT: f64 = 80.0;

/// Requests that this entry sends to one cold upstream in any second.
///
/// One counts from its choice until a second after its first byte. What goes wrong otherwise: requests that wait
/// for a connection are sent when the second in which they were chosen has passed, beside as many that
/// are chosen then.
#[derive(Clone, Debug)]
pub struct ColdGate {
    /// Chosen, and neither sent nor withdrawn yet.
    waiting: u32,
    sent: Window,
}

impl Default for ColdGate {
    fn default() -> Self {
        Self {
            waiting: 0,
            sent: Window::new(SPAN),
        }
    }
}

impl ColdGate {
    /// Whether one more fits; `per_s` is what the upstream bears.
    pub fn fits(&mut self, per_s: f64, now: Now) -> bool {
        // An upstream that bears a single request isn't left unused for the part that is kept back.
        let allowed = (per_s * USED_PCT / 100.0).max(per_s.min(1.0)).floor();
        ((self.sent.count(now) + u64::from(self.waiting)) as f64) < allowed
    }

    /// Counts a request that was chosen for it.
    pub fn note_chosen(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that is sent now.
    pub fn note_sent(&mut self, now: Now) {
        self.sent.add(1, now);
    }

    /// One that was chosen waits no more: it is sent, or never will be.
    pub fn note_waited(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }
}

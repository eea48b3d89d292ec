//! Allowance of a cold upstream.

use crate::{
    part::part,
    rank::rank,
    window::Window, //
};
use base::Now;
use std::time::Duration;

/// The span for which the bound is stated.
const SPAN: Duration = Duration::from_secs(1);
/// Part of the bound that is used, in hundredths: requests of one span may arrive closer together
/// than they were sent.
const USED_PCT: f64 = 80.0;

/// What a cold upstream bears, and which entries share it.
#[derive(Clone, Copy, Debug)]
pub struct ColdBound<'a> {
    /// Requests in a second, of all entries together.
    pub per_s: f64,
    /// Hash of this entry's name.
    pub own: u64,
    /// Hashes of the names of all entries of its region that may be sending, this one included; empty as long as
    /// they are not known.
    pub entries: &'a [u64],
}

impl ColdBound<'_> {
    /// This entry's part for the upstream whose name has the hash `upstream`, in requests a second.
    ///
    /// Each entry has the same part, as long as that is a request at least. Else so many entries as the bound has
    /// requests send one each, those that the upstream ranks highest. What goes wrong otherwise: 22 entries send
    /// their one request in the second in which a cold upstream is listed, which bears 12.
    pub fn part(&self, upstream: u64) -> f64 {
        let whole_requests = (self.per_s * USED_PCT / 100.0).floor();
        let entries = self.entries.len();
        if entries as f64 <= whole_requests {
            return part(self.per_s, (entries > 0).then_some(entries));
        }
        let own = rank(upstream, self.own);
        let higher = self
            .entries
            .iter()
            .filter(|entry| rank(upstream, **entry) > own);
        let is_chosen = (higher.count() as f64) < whole_requests.max(1.0);
        if is_chosen && !self.entries.is_empty() {
            1.0
        } else {
            0.0
        }
    }
}

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
    /// Whether one more fits; `per_s` is this entry's part of what the upstream bears.
    ///
    /// Unless the part is zero, one request a second always fits, or an upstream whose bound is cut into many parts would
    /// stay unused for as long as it is cold.
    pub fn fits(&mut self, per_s: f64, now: Now) -> bool {
        if per_s <= 0.0 {
            return false;
        }
        let allowed = (per_s * USED_PCT / 100.0).floor().max(1.0);
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

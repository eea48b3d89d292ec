//! Counts over a sliding window of time.

use base::Now;
use std::time::Duration;

/// Parts of a window; its ends are known to one part.
const PARTS: u128 = 10;
/// Parts that are kept: those of the window, and the one that it may have begun in.
const KEPT: u128 = PARTS + 1;

/// Events of the last `length`, counted in parts of a tenth.
#[derive(Clone, Debug)]
pub struct Window {
    part: Duration,
    counts: [u64; KEPT as usize],
    /// Number of the newest part since the start of time.
    newest: u128,
}

impl Window {
    /// An empty window.
    pub fn new(length: Duration) -> Self {
        Self {
            part: (length / PARTS as u32).max(Duration::from_millis(1)),
            counts: [0; KEPT as usize],
            newest: 0,
        }
    }

    /// Counts `events` at `now`.
    pub fn add(&mut self, events: u64, now: Now) {
        self.advance(now);
        self.counts[(self.newest % KEPT) as usize] += events;
    }

    /// Events within the window that ends at `now`, and some that are up to a tenth older: for a bound
    /// on the events themselves.
    pub fn count(&mut self, now: Now) -> u64 {
        self.advance(now);
        self.counts.iter().sum()
    }

    /// Events within the window that ends at `now`, but for some of its oldest tenth: for what a bound
    /// allows on account of them.
    pub fn count_at_most(&mut self, now: Now) -> u64 {
        let all = self.count(now);
        all - self.counts[((self.newest + 1) % KEPT) as usize]
    }

    fn advance(&mut self, now: Now) {
        let newest = now.as_nanos() / self.part.as_nanos();
        let passed = newest.saturating_sub(self.newest).min(KEPT);
        for step in 1..=passed {
            self.counts[((self.newest + step) % KEPT) as usize] = 0;
        }
        self.newest = self.newest.max(newest);
    }
}

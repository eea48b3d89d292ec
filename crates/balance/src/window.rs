//! Event counts over a sliding time window.

use base::Now;
use std::time::Duration;

/// Buckets per window, which is the resolution of its ends.
const BUCKETS: u128 = 10;
/// Stored buckets: those of a full window, and the one that the window may have begun in.
const STORED_BUCKETS: u128 = BUCKETS + 1;

/// Number of events in the last `length`, counted in buckets of a tenth of it.
#[derive(Clone, Debug)]
pub struct Window {
    bucket: Duration,
    counts: [u64; STORED_BUCKETS as usize],
    /// Index of the newest bucket, counted from time zero.
    newest: u128,
}

impl Window {
    /// Returns an empty window.
    pub fn new(length: Duration) -> Self {
        Self {
            bucket: (length / BUCKETS as u32).max(Duration::from_millis(1)),
            counts: [0; STORED_BUCKETS as usize],
            newest: 0,
        }
    }

    /// Counts `events` at `now`.
    pub fn add(&mut self, events: u64, now: Now) {
        self.advance(now);
        self.counts[(self.newest % STORED_BUCKETS) as usize] += events;
    }

    /// Returns the number of events in the window that ends at `now`, including some that are up to a tenth of the
    /// window older. This suits events that are limited.
    pub fn count_upper_bound(&mut self, now: Now) -> u64 {
        self.advance(now);
        self.counts.iter().sum()
    }

    /// Returns the number of events in the window that ends at `now`, without some of those in its oldest tenth. This
    /// suits events that raise a limit.
    pub fn count_lower_bound(&mut self, now: Now) -> u64 {
        let all = self.count_upper_bound(now);
        all - self.counts[((self.newest + 1) % STORED_BUCKETS) as usize]
    }

    fn advance(&mut self, now: Now) {
        let newest = now.as_nanos() / self.bucket.as_nanos();
        let passed = newest.saturating_sub(self.newest).min(STORED_BUCKETS);
        for step in 1..=passed {
            self.counts[((self.newest + step) % STORED_BUCKETS) as usize] = 0;
        }
        self.newest = self.newest.max(newest);
    }
}

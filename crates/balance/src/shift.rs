//! Limit on how fast the distribution of requests over regions may change.

use crate::rendezvous::{
    affinity_hash,
    rendezvous_score, //
};
use base::{
    FastMap,
    Now,
    RegionId, //
};
use std::time::Duration;

/// Minimum number of requests from which a distribution is compared.
const REQUESTS_MIN: f64 = 10.0;
/// Maximum number of windows between two requests. After a longer pause all counts are discarded.
const IDLE_WINDOWS_MAX: u128 = 8;

/// Limits the change of the distribution of this entry's requests over regions.
///
/// A region that suddenly receives many requests of another region serves them with cold caches, so the increase must
/// be small compared to what the region served before. From one window to the next, all regions together may gain at
/// most the limit, as a fraction of the requests. The other regions lose what these gain, so requests move back no
/// faster than they moved away. A window without a previous one, such as the first of a process, may have any
/// distribution. Each entry enforces the limit on its own requests, and thereby on the sum over all entries.
///
/// Entries that have few requests each must not all round in the same direction: if 22 entries with 13 requests per
/// window each send one more request away, 27 % of their region's requests move. The limit of a window and region is
/// therefore rounded up or down by a pseudorandom number that depends on the entry, window and region, so that the sum
/// over the entries stays at the limit.
///
/// Windows begin at the first request and not at the start of the process. Otherwise the first requests could arrive in
/// the middle of a window that is not limited, and the next window's limit would be based on a fraction of their first
/// seconds.
#[derive(Clone, Debug)]
pub struct ShiftLimiter {
    window: Duration,
    /// Differs between entries.
    seed: u64,
    current: RegionCounts,
    /// Counts of the last windows that had enough requests together, which usually is a single window.
    previous: RegionCounts,
    /// Counts of the windows since then.
    accumulated: RegionCounts,
    /// Start of the window with index zero; `None` before the first request.
    origin: Option<Now>,
    /// Index of the current window, counted from `origin`.
    window_index: u128,
}

#[derive(Clone, Debug, Default)]
struct RegionCounts {
    total: f64,
    by_region: FastMap<RegionId, f64>,
}

impl RegionCounts {
    fn add(&mut self, other: Self) {
        self.total += other.total;
        for (region, count) in other.by_region {
            *self.by_region.entry(region).or_insert(0.0) += count;
        }
    }

    fn of(&self, region: &str) -> f64 {
        self.by_region.get(region).copied().unwrap_or(0.0)
    }
}

impl ShiftLimiter {
    /// Returns a limiter over windows of this length; `seed` must differ between entries.
    pub fn new(window: Duration, seed: u64) -> Self {
        Self {
            window,
            seed,
            current: RegionCounts::default(),
            previous: RegionCounts::default(),
            accumulated: RegionCounts::default(),
            origin: None,
            window_index: 0,
        }
    }

    /// Returns whether one more request may run in `region` if all regions together may gain the fraction `growth` of
    /// the requests per window.
    pub fn allows(&mut self, region: &str, growth: f64, now: Now) -> bool {
        self.advance(now);
        let previous = &self.previous;
        if previous.total < REQUESTS_MIN {
            return true;
        }
        let total = self.current.total + 1.0;
        let expected = |region: &str| previous.of(region) / previous.total * total;
        let own = self.current.of(region) + 1.0 - expected(region);
        if own <= 0.0 {
            return true;
        }
        let others = self.current.by_region.iter();
        let others = others.filter(|(other, _)| **other != *region);
        let gained: f64 = others
            .map(|(other, count)| (count - expected(other)).max(0.0))
            .sum();
        gained + own <= growth * total + self.rounding_offset(region)
    }

    /// Returns a pseudorandom number from 0 to 1 for this entry, window and region.
    fn rounding_offset(&self, region: &str) -> f64 {
        let number = rendezvous_score(
            self.seed ^ self.window_index as u64,
            affinity_hash(region.as_bytes()),
        );
        (number >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Counts a request that was sent to an upstream in `region`.
    pub fn note(&mut self, region: &RegionId, now: Now) {
        self.advance(now);
        self.current.total += 1.0;
        if let Some(count) = self.current.by_region.get_mut(region) {
            *count += 1.0;
        } else {
            self.current.by_region.insert(region.clone(), 1.0);
        }
    }

    fn advance(&mut self, now: Now) {
        let origin = *self.origin.get_or_insert(now);
        let window_index = now.saturating_sub(origin).as_nanos() / self.window.as_nanos().max(1);
        if window_index > self.window_index {
            let ended = std::mem::take(&mut self.current);
            if window_index > self.window_index + IDLE_WINDOWS_MAX {
                self.previous = RegionCounts::default();
                self.accumulated = RegionCounts::default();
                self.origin = Some(now);
                self.window_index = 0;
                return;
            }
            self.accumulated.add(ended);
            if self.accumulated.total >= REQUESTS_MIN {
                self.previous = std::mem::take(&mut self.accumulated);
            }
            self.window_index = window_index;
        }
    }
}

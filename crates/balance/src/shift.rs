//! How fast the regions in which requests run may change.

use crate::rank::{
    affinity,
    rank, //
};
use base::{
    FastMap,
    Now,
    RegionId, //
};
use std::time::Duration;

/// Least requests before their parts say anything.
const FEW: f64 = 10.0;
/// Windows without any request after which nothing is known of the time before.
const FORGET_AFTER: u128 = 8;

/// Bound on the change of the regions in which this entry's requests run.
///
/// A region that suddenly gets much of another one's work meets it with cold caches; what came must
/// be small against what was there. From one window to the next, all regions together may gain at most
/// the bound, in parts of the requests; what they gain the others lose, so the way back is bound as the
/// way there. A window without one before it may have any parts, as the first of a process does. Each
/// entry keeps it for its own requests, which keeps it for their sum.
///
/// Many entries with few requests each must not round alike. What goes wrong otherwise: 22 entries with 13 requests a
/// window may each send one more away, and 27 in 100 requests of their region change theirs. So the bound of a
/// window and region is rounded up or down by a number that belongs to the entry and the window, and the sum over
/// entries keeps the bound as it is.
///
/// Windows begin with the first request, not with the process. What goes wrong otherwise: callers come in the middle of a
/// window, the next one is still free, and the bound of the one after it is taken from a part of their first seconds.
#[derive(Clone, Debug)]
pub struct ShiftBound {
    window: Duration,
    /// Another number for each entry.
    seed: u64,
    current: Counts,
    /// Counts of the last windows that had enough requests together, mostly of one.
    previous: Counts,
    /// Counts of the windows since then.
    gathered: Counts,
    /// When the window with number zero began; `None` before the first request.
    origin: Option<Now>,
    /// Number of the current window, from there.
    number: u128,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    all: f64,
    by_region: FastMap<RegionId, f64>,
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.all += other.all;
        for (region, count) in other.by_region {
            *self.by_region.entry(region).or_insert(0.0) += count;
        }
    }

    fn of(&self, region: &str) -> f64 {
        self.by_region.get(region).copied().unwrap_or(0.0)
    }
}

impl ShiftBound {
    /// Bound over windows of this length; `seed` is another number for each entry.
    pub fn new(window: Duration, seed: u64) -> Self {
        Self {
            window,
            seed,
            current: Counts::default(),
            previous: Counts::default(),
            gathered: Counts::default(),
            origin: None,
            number: 0,
        }
    }

    /// Whether one more request may run in `region`, when all may gain `growth` a window.
    pub fn fits(&mut self, region: &str, growth: f64, now: Now) -> bool {
        self.advance(now);
        let previous = &self.previous;
        if previous.all < FEW {
            return true;
        }
        let all = self.current.all + 1.0;
        let due = |region: &str| previous.of(region) / previous.all * all;
        let own = self.current.of(region) + 1.0 - due(region);
        if own <= 0.0 {
            return true;
        }
        let others = self.current.by_region.iter();
        let others = others.filter(|(other, _)| **other != *region);
        let gained: f64 = others
            .map(|(other, count)| (count - due(other)).max(0.0))
            .sum();
        gained + own <= growth * all + self.rounding(region)
    }

    /// A number from 0 to 1 that belongs to this entry, window and region.
    fn rounding(&self, region: &str) -> f64 {
        let number = rank(self.seed ^ self.number as u64, affinity(region.as_bytes()));
        (number >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Counts a request that was sent to an upstream of `region`.
    pub fn note(&mut self, region: &RegionId, now: Now) {
        self.advance(now);
        self.current.all += 1.0;
        if let Some(count) = self.current.by_region.get_mut(region) {
            *count += 1.0;
        } else {
            self.current.by_region.insert(region.clone(), 1.0);
        }
    }

    fn advance(&mut self, now: Now) {
        let origin = *self.origin.get_or_insert(now);
        let number = now.saturating_sub(origin).as_nanos() / self.window.as_nanos().max(1);
        if number > self.number {
            let ended = std::mem::take(&mut self.current);
            if number > self.number + FORGET_AFTER {
                self.previous = Counts::default();
                self.gathered = Counts::default();
                self.origin = Some(now);
                self.number = 0;
                return;
            }
            self.gathered.add(ended);
            if self.gathered.all >= FEW {
                self.previous = std::mem::take(&mut self.gathered);
            }
            self.number = number;
        }
    }
}

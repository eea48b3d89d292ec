//! Published policies that ours is measured against, kept in the tree for each round.
//!
//! They have no shares: by [`BaselineLimits::None`] they send whatever comes. All of them leave
//! out upstreams that are known to be leaving, as their users would configure them to.

use super::Choose;
use crate::{
    seed,
    view::View, //
};
use base::Now;
use serde::{
    Deserialize,
    Serialize, //
};
use std::time::Duration;

/// What binds a baseline.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum BaselineLimits {
    /// Nothing: as published.
    #[default]
    None,
    /// The slots that the entry owns, as for ours.
    Owned,
}

impl BaselineLimits {
    fn permits(self, view: &View) -> bool {
        let has_slot = match self {
            Self::None => true,
            Self::Owned => view.in_flight < view.limit(),
        };
        has_slot && !view.leaving
    }
}

/// Each in turn.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RoundRobin {
    limits: BaselineLimits,
    next: usize,
}

impl RoundRobin {
    /// Starts at the first upstream.
    pub fn new(limits: BaselineLimits) -> Self {
        Self { limits, next: 0 }
    }
}

impl Choose for RoundRobin {
    fn choose(&mut self, views: &[View], _now: Now, _seed: u64) -> Option<usize> {
        let start = self.next.checked_rem(views.len())?;
        let chosen = (start..views.len())
            .chain(0..start)
            .find(|&index| self.limits.permits(&views[index]))?;
        self.next = chosen + 1;
        Some(chosen)
    }
}

/// Least loaded by what the upstreams report, however old.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeastReported {
    limits: BaselineLimits,
}

impl LeastReported {
    /// Bound by `limits`.
    pub fn new(limits: BaselineLimits) -> Self {
        Self { limits }
    }
}

impl Choose for LeastReported {
    fn choose(&mut self, views: &[View], _now: Now, seed: u64) -> Option<usize> {
        let start = seed::below(seed, views.len());
        (start..views.len())
            .chain(0..start)
            .filter(|&index| self.limits.permits(&views[index]))
            .min_by(|&left, &right| {
                let left = reported_load(&views[left]);
                left.total_cmp(&reported_load(&views[right]))
            })
    }
}

/// Load of an upstream by its own words; by the entry's own requests when it never reported.
fn reported_load(view: &View) -> f64 {
    match view.reported {
        Some(reported) => {
            let work = reported.in_flight.saturating_add(reported.queued);
            f64::from(work) / f64::from(reported.slots.max(1))
        }
        None => f64::from(view.in_flight) / f64::from(view.usable.max(1)),
    }
}

/// The less loaded, by the entry's own requests in flight, of two drawn at random.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PowerOfTwo {
    limits: BaselineLimits,
}

impl PowerOfTwo {
    /// Bound by `limits`.
    pub fn new(limits: BaselineLimits) -> Self {
        Self { limits }
    }
}

impl Choose for PowerOfTwo {
    fn choose(&mut self, views: &[View], _now: Now, seed: u64) -> Option<usize> {
        let permitted = |index: &usize| self.limits.permits(&views[*index]);
        let count = (0..views.len()).filter(permitted).count();
        if count == 0 {
            return None;
        }
        let first = seed::below(seed, count);
        let other = seed::below(seed::mix(seed), count.max(2) - 1);
        // Skips the first, so that the two differ.
        let second = if other >= first { other + 1 } else { other };
        let nth = |n: usize| (0..views.len()).filter(permitted).nth(n);
        let first = nth(first)?;
        match nth(second) {
            Some(second) if views[second].in_flight < views[first].in_flight => Some(second),
            _ => Some(first),
        }
    }
}

/// Probes that the hot and cold rule looks at for a request.
const PROBES: usize = 3;
/// Probes older than this are not used.
const PROBE_AGE_MAX: Duration = Duration::from_secs(1);
/// Counts of requests in flight that the threshold is taken from.
const REMEMBERED: usize = 32;
/// Place of the threshold among them, in increasing order: about the quantile 0.8.
const THRESHOLD_AT: usize = 25;

/// The published hot and cold rule, over a few fresh probes.
///
/// A probe is hot when its requests in flight exceed the threshold, a quantile of the counts seen
/// of late. The cold one with the lowest latency wins; among hot ones only, the one with the
/// fewest requests in flight. The upstream's report stands for the probe while it is fresh; this
/// entry's own count stands in for one that is not, as the published rule falls back on it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HotCold {
    limits: BaselineLimits,
    remembered: [u32; REMEMBERED],
    at: usize,
}

impl HotCold {
    /// Bound by `limits`.
    pub fn new(limits: BaselineLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    fn remember(&mut self, in_flight: u32) {
        self.remembered[self.at] = in_flight;
        self.at = (self.at + 1) % REMEMBERED;
    }

    fn threshold(&self) -> u32 {
        let mut counts = self.remembered;
        let (_, threshold, _) = counts.select_nth_unstable(THRESHOLD_AT);
        *threshold
    }
}

impl Choose for HotCold {
    fn choose(&mut self, views: &[View], _now: Now, seed: u64) -> Option<usize> {
        let permitted = |index: &usize| self.limits.permits(&views[*index]);
        let count = (0..views.len()).filter(permitted).count();
        if count == 0 {
            return None;
        }
        let threshold = self.threshold();
        let mut best: Option<(bool, u128, usize)> = None;
        let mut draw = seed;
        for _ in 0..PROBES {
            draw = seed::mix(draw);
            let nth = seed::below(draw, count);
            let limits = self.limits;
            let index = (0..views.len())
                .filter(|&index| limits.permits(&views[index]))
                .nth(nth)?;
            let view = &views[index];
            let in_flight = probed_in_flight(view);
            self.remember(in_flight);
            let hot = in_flight > threshold;
            let order = if hot {
                u128::from(in_flight)
            } else {
                view.latency.as_nanos()
            };
            if best.is_none_or(|(h, o, _)| (hot, order) < (h, o)) {
                best = Some((hot, order, index));
            }
        }
        best.map(|(_, _, index)| index)
    }
}

/// Requests in flight by a fresh probe, and at least those of this entry.
fn probed_in_flight(view: &View) -> u32 {
    match view.reported {
        Some(reported) if reported.age <= PROBE_AGE_MAX => {
            let work = reported.in_flight.saturating_add(reported.queued);
            work.max(view.in_flight)
        }
        _ => view.in_flight,
    }
}

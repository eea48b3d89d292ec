//! Published load-balancing policies that the default policy is compared with.
//!
//! They own no slots: with [`BaselineLimits::None`] they send every request. All of them skip
//! upstreams that are known to be leaving, as their users would configure them to.

use super::Choose;
use crate::{
    seed,
    view::UpstreamView, //
};
use base::Now;
use serde::{
    Deserialize,
    Serialize, //
};
use std::time::Duration;

/// Limits that apply to a baseline.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum BaselineLimits {
    /// No limits, as published.
    #[default]
    None,
    /// The slots that the entry owns, as for the default policy.
    Owned,
}

impl BaselineLimits {
    fn permits(self, view: &UpstreamView) -> bool {
        let has_slot = match self {
            Self::None => true,
            Self::Owned => view.in_flight < view.limit(),
        };
        has_slot && !view.leaving
    }
}

/// Round robin.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RoundRobin {
    limits: BaselineLimits,
    next: usize,
}

impl RoundRobin {
    /// Creates a policy that is bound by `limits` and starts at the first upstream.
    pub fn new(limits: BaselineLimits) -> Self {
        Self { limits, next: 0 }
    }
}

impl Choose for RoundRobin {
    fn choose(&mut self, views: &[UpstreamView], _now: Now, _seed: u64) -> Option<usize> {
        let start = self.next.checked_rem(views.len())?;
        let chosen = (start..views.len())
            .chain(0..start)
            .find(|&index| self.limits.permits(&views[index]))?;
        self.next = chosen + 1;
        Some(chosen)
    }
}

/// Least loaded by the upstreams' reports, regardless of their age.
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
    fn choose(&mut self, views: &[UpstreamView], _now: Now, seed: u64) -> Option<usize> {
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

/// Load of an upstream by its report, or by the entry's own requests if there is none.
fn reported_load(view: &UpstreamView) -> f64 {
    match view.reported {
        Some(reported) => {
            let work = reported.in_flight.saturating_add(reported.queued);
            f64::from(work) / f64::from(reported.slots.max(1))
        }
        None => f64::from(view.in_flight) / f64::from(view.usable.max(1)),
    }
}

/// The less loaded of two random upstreams, by the entry's own requests in flight.
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
    fn choose(&mut self, views: &[UpstreamView], _now: Now, seed: u64) -> Option<usize> {
        let permitted = |index: &usize| self.limits.permits(&views[*index]);
        let count = (0..views.len()).filter(permitted).count();
        if count == 0 {
            return None;
        }
        let first = seed::below(seed, count);
        let other = seed::below(seed::mix(seed), count.max(2) - 1);
        // Skips `first`, so that the two differ.
        let second = if other >= first { other + 1 } else { other };
        let nth = |n: usize| (0..views.len()).filter(permitted).nth(n);
        let first = nth(first)?;
        match nth(second) {
            Some(second) if views[second].in_flight < views[first].in_flight => Some(second),
            _ => Some(first),
        }
    }
}

/// Probes that the hot-cold rule compares for one request.
const PROBES: usize = 3;
/// Maximum age of a probe.
const PROBE_AGE_MAX: Duration = Duration::from_secs(1);
/// Number of recent in-flight counts from which the threshold is computed.
const RECENT_LEN: usize = 32;
/// Index of the threshold among the sorted counts: about the 0.8 quantile.
const THRESHOLD_INDEX: usize = 25;

/// The published hot-cold rule, over a few recent probes.
///
/// A probe is hot if its requests in flight exceed the threshold, a quantile of the recent counts.
/// The cold probe with the lowest latency is chosen; if all are hot, the one with the fewest
/// requests in flight. The upstream's report serves as the probe while it is recent; otherwise this
/// entry's own count is used, as in the published rule.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HotCold {
    limits: BaselineLimits,
    recent: [u32; RECENT_LEN],
    next: usize,
}

impl HotCold {
    /// Bound by `limits`.
    pub fn new(limits: BaselineLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    fn record(&mut self, in_flight: u32) {
        self.recent[self.next] = in_flight;
        self.next = (self.next + 1) % RECENT_LEN;
    }

    fn threshold(&self) -> u32 {
        let mut counts = self.recent;
        let (_, threshold, _) = counts.select_nth_unstable(THRESHOLD_INDEX);
        *threshold
    }
}

impl Choose for HotCold {
    fn choose(&mut self, views: &[UpstreamView], _now: Now, seed: u64) -> Option<usize> {
        let permitted = |index: &usize| self.limits.permits(&views[*index]);
        let count = (0..views.len()).filter(permitted).count();
        if count == 0 {
            return None;
        }
        let threshold = self.threshold();
        let mut best: Option<(bool, u128, usize)> = None;
        let mut random = seed;
        for _ in 0..PROBES {
            random = seed::mix(random);
            let nth = seed::below(random, count);
            let limits = self.limits;
            let index = (0..views.len())
                .filter(|&index| limits.permits(&views[index]))
                .nth(nth)?;
            let view = &views[index];
            let in_flight = probed_in_flight(view);
            self.record(in_flight);
            let hot = in_flight > threshold;
            let order = if hot {
                u128::from(in_flight)
            } else {
                view.latency.as_nanos()
            };
            if best.is_none_or(|(best_hot, best_order, _)| (hot, order) < (best_hot, best_order)) {
                best = Some((hot, order, index));
            }
        }
        best.map(|(_, _, index)| index)
    }
}

/// Requests in flight by a recent probe, but at least those of this entry.
fn probed_in_flight(view: &UpstreamView) -> u32 {
    match view.reported {
        Some(reported) if reported.age <= PROBE_AGE_MAX => {
            let work = reported.in_flight.saturating_add(reported.queued);
            work.max(view.in_flight)
        }
        _ => view.in_flight,
    }
}

//! Region selection: the local region, unless its expected latency or its headroom rules it out.

use crate::freshness::Freshness;
use std::time::Duration;

/// Operators' targets for a class, as far as routing decisions use them.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClassTarget {
    /// Latency that the class's responses should stay within.
    pub latency_target: Duration,
    /// Percentage of a region's slots that should stay free.
    pub headroom_pct: u32,
    /// Whether a request may be sent again when its outcome is unknown.
    pub idempotent: bool,
    /// Explicit priority among classes that share a service; higher values rank first.
    pub priority: Option<u32>,
}

/// Expected state of one region for one class, as known to an entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RegionEstimate {
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Expected service time.
    pub service_time: Duration,
    /// Round-trip time from the local region; zero for the local region itself.
    pub round_trip: Duration,
    /// Free percentage of its open slots, see [`Capacity`](crate::Capacity).
    pub headroom_left_pct: u32,
    /// Whether an entry of the region admits work; false when the region is lost.
    pub admitting: bool,
    /// Whether this entry's part of the cap allows one more shift to the region.
    pub shift_allowed: bool,
    /// Freshness of this information.
    pub freshness: Freshness,
    /// Whether operators drain the region.
    pub drained: bool,
}

impl RegionEstimate {
    /// Expected latency of a request sent there from the local region.
    pub fn expected_latency(&self) -> Duration {
        self.wait
            .saturating_add(self.service_time)
            .saturating_add(self.round_trip)
    }

    fn is_usable(&self) -> bool {
        self.admitting && !self.drained
    }

    fn has_room(&self, target: &ClassTarget) -> bool {
        self.headroom_left_pct > target.headroom_pct
    }
}

/// Thresholds for shifting requests to another region, and bounds of the retry delay.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlacementSettings {
    /// Minimum gain that starts a shift, in thousandths of the local latency.
    pub gain_permille: u32,
    /// Minimum gain that keeps a shift going, in thousandths of the local latency.
    pub keep_permille: u32,
    /// Minimum gain that starts a shift.
    pub gain_min: Duration,
    /// Minimum retry delay of a refusal.
    pub retry_min: Duration,
    /// Maximum retry delay of a refusal.
    pub retry_max: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            gain_permille: 250,
            keep_permille: 125,
            gain_min: Duration::from_millis(2),
            retry_min: Duration::from_millis(100),
            retry_max: Duration::from_secs(10),
        }
    }
}

/// Input of [`place`] for one request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Index of this entry's region, or of the caller's region for a lookup.
    pub local_region: usize,
    /// Region indices in the caller's order of preference, best first.
    pub preference: &'a [usize],
    /// Estimates by region index.
    pub estimates: &'a [RegionEstimate],
    /// Target of the class.
    pub target: &'a ClassTarget,
    /// Region to which this entry's previous request of the class was shifted, if any.
    pub previous: Option<usize>,
    /// Whether the request exceeds the local headroom, see [`Demand`](crate::Demand).
    pub exceeds_headroom: bool,
    /// Time left until the caller's deadline.
    pub deadline_left: Duration,
}

/// Destination of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Placement {
    /// The local region; its admission control makes the final decision.
    Local,
    /// An entry of the region with this index; its admission control makes the final decision.
    Shift(usize),
    /// No region can take the request.
    Refuse {
        /// Time after which a retry may be placed.
        retry_after: Duration,
    },
}

/// Selects the region for a request.
///
/// - A drained or lost region receives no new requests.
/// - A request within the local headroom stays local, unless it is idempotent and another region is
///   expected to be faster by the margin of `settings`. Once a request was shifted, the following
///   ones need a smaller margin (hysteresis), so that requests do not flap. Without any margin, a
///   short slow period would keep half of the work away from a region that is as fast as the other
///   one, and its callers would pay the round trip for no benefit; the symptom is shifts between
///   regions of equal latency.
/// - A request that exceeds the local headroom goes to the best region that keeps its own headroom
///   and responds within the deadline; if there is none, it stays local.
/// - No new shift starts on old information, but missing updates alone do not leave a caller whose
///   own region is drained or lost without a region.
///
/// A request is never shifted to a region at or below the class's headroom target.
pub fn place(question: &PlacementQuery<'_>, settings: &PlacementSettings) -> Placement {
    let local = question.estimates.get(question.local_region);
    let Some(local) = local.filter(|local| local.is_usable()) else {
        return place_remote(question, settings);
    };
    if !question.exceeds_headroom {
        return match faster_region(question, settings, local) {
            Some(region) => Placement::Shift(region),
            None => Placement::Local,
        };
    }
    match best_remote(question, Freshness::allows_new_shift) {
        Some(region) => Placement::Shift(region),
        None => Placement::Local,
    }
}

/// Region that is faster than the local one by the margin, for a request that may be shifted.
fn faster_region(
    question: &PlacementQuery<'_>,
    settings: &PlacementSettings,
    local: &RegionEstimate,
) -> Option<usize> {
    if !question.target.idempotent {
        return None;
    }
    let region = best_remote(question, Freshness::allows_new_shift)?;
    let remote = question.estimates[region].expected_latency();
    let permille = if question.previous == Some(region) {
        settings.keep_permille
    } else {
        settings.gain_permille
    };
    let ratio = local.expected_latency() / 1000 * permille;
    let margin = ratio.max(settings.gain_min);
    (remote.saturating_add(margin) < local.expected_latency()).then_some(region)
}

/// Placement when the local region is drained or lost.
fn place_remote(question: &PlacementQuery<'_>, settings: &PlacementSettings) -> Placement {
    let fresh = best_remote(question, Freshness::allows_new_shift);
    // Missing updates alone must not leave a caller without a region: any region that was last
    // known to admit work is tried.
    match fresh.or_else(|| best_remote(question, |_| true)) {
        Some(region) => Placement::Shift(region),
        None => Placement::Refuse {
            retry_after: retry_after(question, settings),
        },
    }
}

/// Remote region with the lowest expected latency among the usable ones.
///
/// `allows` tells whether a region's freshness suffices when nothing is shifted there yet.
fn best_remote(question: &PlacementQuery<'_>, allows: fn(Freshness) -> bool) -> Option<usize> {
    question
        .preference
        .iter()
        .copied()
        .filter(|&region| region != question.local_region)
        .filter(|&region| {
            question.estimates.get(region).is_some_and(|estimate| {
                let fresh_enough = allows(estimate.freshness) || question.previous == Some(region);
                fresh_enough
                    && estimate.is_usable()
                    && estimate.shift_allowed
                    && estimate.has_room(question.target)
                    && estimate.expected_latency() <= question.deadline_left
            })
        })
        .min_by_key(|&region| question.estimates[region].expected_latency())
}

/// Shortest wait among the regions that may admit later, within the bounds of the settings.
fn retry_after(question: &PlacementQuery<'_>, settings: &PlacementSettings) -> Duration {
    let usable = question
        .estimates
        .iter()
        .filter(|estimate| estimate.is_usable());
    let wait = usable.map(|estimate| estimate.wait).min();
    let wait = wait.unwrap_or(settings.retry_max);
    wait.clamp(settings.retry_min, settings.retry_max)
}

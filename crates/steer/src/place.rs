//! Which region: home, unless its expected latency or its headroom says otherwise.

use crate::fresh::Freshness;
use std::time::Duration;

/// What the operators ask for a class, as far as decisions go.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClassTarget {
    /// Latency that the class's answers should keep.
    pub latency_target: Duration,
    /// Percent of a region's slots that should stay free.
    pub headroom_pct: u32,
    /// Whether a request may be sent again when its fate is unknown.
    pub idempotent: bool,
    /// Explicit rank among classes that share a service; the higher goes first.
    pub priority: Option<u32>,
}

/// What an entry expects of one region for one class.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Estimate {
    /// Expected wait for a slot there.
    pub wait: Duration,
    /// Expected time of service there.
    pub service: Duration,
    /// Round trip from here to there; zero for this region.
    pub link: Duration,
    /// Percent of its open slots that are free, see [`Capacity`](crate::Capacity).
    pub headroom_left_pct: u32,
    /// Whether an entry there admits work; false when the region is lost.
    pub admitting: bool,
    /// Whether this entry's part of the cap has room for one more shift there.
    pub shift_open: bool,
    /// Age of what is known of it.
    pub freshness: Freshness,
    /// Operators drain it.
    pub drained: bool,
}

impl Estimate {
    /// Expected latency of a request that is sent there from here.
    pub fn expected(&self) -> Duration {
        self.wait
            .saturating_add(self.service)
            .saturating_add(self.link)
    }

    fn is_usable(&self) -> bool {
        self.admitting && !self.drained
    }

    fn has_room(&self, target: &ClassTarget) -> bool {
        self.headroom_left_pct > target.headroom_pct
    }
}

/// How eagerly requests leave their region.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlaceSettings {
    /// A gain of fewer thousandths of the latency here does not start a shift.
    pub gain_permille: u32,
    /// A gain of fewer thousandths ends it.
    pub keep_permille: u32,
    /// A gain below this does not start a shift.
    pub gain_min: Duration,
    /// Shortest retry delay of a refusal.
    pub retry_min: Duration,
    /// Longest retry delay of a refusal.
    pub retry_max: Duration,
}

impl Default for PlaceSettings {
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

/// One request to place.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// Index of this entry's region; of the caller's home when a look-up asks.
    pub here: usize,
    /// Regions by the caller's preference, best first.
    pub preference: &'a [usize],
    /// Each region by its index.
    pub estimates: &'a [Estimate],
    /// The class's target.
    pub target: &'a ClassTarget,
    /// Region to which this entry's last request of the class was shifted, if it was.
    pub previous: Option<usize>,
    /// Whether the request exceeds the headroom here, see [`Demand`](crate::Demand).
    pub excess: bool,
    /// Time that the caller leaves.
    pub deadline_left: Duration,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Placement {
    /// To this region; admission here has the last word.
    Here,
    /// To an entry of the region with this index; admission there has the last word.
    Shift(usize),
    /// Nowhere.
    Refuse {
        /// Time after which another try may be placed.
        retry_after: Duration,
    },
}

/// Places a request in a region.
///
/// - A drained or lost region gets nothing new.
/// - A request within the headroom here stays, unless it is idempotent and another region promises
///   a latency that is lower by the margin of `settings`. Once shifted, the next ones follow by a
///   smaller margin, so that requests do not flap. Without any, half of the work would stay away
///   from a region that is as quick as the other after one slow moment: its callers cross the link
///   for nothing, which one would notice as shifts between regions of equal latency.
/// - One that exceeds it goes to the best region that keeps its own headroom and answers within
///   the deadline; when there is none, it stays.
/// - Nothing new is shifted on an old picture, but silence alone does not strand a caller whose
///   own region is drained or lost.
///
/// A shift is never to a region at or below the class's headroom target.
pub fn place(question: &Question<'_>, settings: &PlaceSettings) -> Placement {
    let here = question.estimates.get(question.here);
    let Some(here) = here.filter(|here| here.is_usable()) else {
        return place_away(question, settings);
    };
    if !question.excess {
        return match gain(question, settings, here) {
            Some(region) => Placement::Shift(region),
            None => Placement::Here,
        };
    }
    match best_other(question, Freshness::allows_new_shift) {
        Some(region) => Placement::Shift(region),
        None => Placement::Here,
    }
}

/// Region that beats this one by the margin, for a request that may leave.
fn gain(question: &Question<'_>, settings: &PlaceSettings, here: &Estimate) -> Option<usize> {
    if !question.target.idempotent {
        return None;
    }
    let region = best_other(question, Freshness::allows_new_shift)?;
    let there = question.estimates[region].expected();
    let permille = if question.previous == Some(region) {
        settings.keep_permille
    } else {
        settings.gain_permille
    };
    let ratio = here.expected() / 1000 * permille;
    let margin = ratio.max(settings.gain_min);
    (there.saturating_add(margin) < here.expected()).then_some(region)
}

/// Placement when this region is drained or lost.
fn place_away(question: &Question<'_>, settings: &PlaceSettings) -> Placement {
    let known = best_other(question, Freshness::allows_new_shift);
    // Silence alone does not strand a caller: any region that was known to admit is tried.
    match known.or_else(|| best_other(question, |_| true)) {
        Some(region) => Placement::Shift(region),
        None => Placement::Refuse {
            retry_after: retry_after(question, settings),
        },
    }
}

/// Region other than this one with the lowest expected latency, among those that may be used.
///
/// `allows` judges the freshness that a region needs when nothing is shifted there yet.
fn best_other(question: &Question<'_>, allows: fn(Freshness) -> bool) -> Option<usize> {
    question
        .preference
        .iter()
        .copied()
        .filter(|&region| region != question.here)
        .filter(|&region| {
            question.estimates.get(region).is_some_and(|estimate| {
                let known = allows(estimate.freshness) || question.previous == Some(region);
                known
                    && estimate.is_usable()
                    && estimate.shift_open
                    && estimate.has_room(question.target)
                    && estimate.expected() <= question.deadline_left
            })
        })
        .min_by_key(|&region| question.estimates[region].expected())
}

/// The shortest wait among regions that may admit later, within the settings' bounds.
fn retry_after(question: &Question<'_>, settings: &PlaceSettings) -> Duration {
    let usable = question
        .estimates
        .iter()
        .filter(|estimate| estimate.is_usable());
    let wait = usable.map(|estimate| estimate.wait).min();
    let wait = wait.unwrap_or(settings.retry_max);
    wait.clamp(settings.retry_min, settings.retry_max)
}

//! Hedging: a second copy of a quick idempotent request that is late.

use crate::{
    latency::LatencyHistogram,
    place::ClassTarget,
    retry::RetryBudget, //
};
use std::time::Duration;

/// Quantile after which a request is late.
const LATE_PERMILLE: u32 = 950;

/// Where hedging is allowed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HedgeSettings {
    /// Off until a measurement shows that it pays.
    pub enabled: bool,
    /// Classes with a latency target above this are not quick.
    pub quick_at_most: Duration,
    /// Percent of slots that must stay free beyond the class's headroom target.
    pub spare_pct: u32,
    /// Answers that must have been seen before their quantile means anything.
    pub answers_min: u32,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            quick_at_most: Duration::from_millis(250),
            spare_pct: 20,
            answers_min: 200,
        }
    }
}

/// Rule of when to hedge.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Hedge {
    settings: HedgeSettings,
}

impl Hedge {
    /// Rule under `settings`.
    pub fn new(settings: HedgeSettings) -> Self {
        Self { settings }
    }

    /// Time after the sending at which a second copy may go out; none when it never may.
    pub fn after(&self, target: &ClassTarget, seen: &LatencyHistogram) -> Option<Duration> {
        let quick = target.idempotent && target.latency_target <= self.settings.quick_at_most;
        if !self.settings.enabled || !quick || seen.total() < self.settings.answers_min {
            return None;
        }
        seen.quantile(LATE_PERMILLE)
    }

    /// Whether the copy that is due may go out now; takes it from the `budget` when it does.
    ///
    /// `headroom_left_pct` is the percent of slots free in this region.
    #[must_use]
    pub fn take(
        &self,
        target: &ClassTarget,
        headroom_left_pct: u32,
        budget: &mut RetryBudget,
    ) -> bool {
        let needed = target.headroom_pct.saturating_add(self.settings.spare_pct);
        self.settings.enabled && headroom_left_pct > needed && budget.take()
    }
}

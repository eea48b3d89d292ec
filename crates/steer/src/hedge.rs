//! Request hedging: a second copy of a quick idempotent request whose response is late.

use crate::{
    latency::LatencyHistogram,
    placement::ClassTarget,
    retry::RetryBudget, //
};
use std::time::Duration;

/// Latency quantile after which a request is late.
const LATE_QUANTILE_PERMILLE: u32 = 950;

/// Conditions under which hedging is allowed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HedgeSettings {
    /// Off by default, as its benefit has not been measured.
    pub enabled: bool,
    /// Classes with a latency target above this are not hedged.
    pub latency_target_max: Duration,
    /// Percentage of slots that must be free beyond the class's headroom target.
    pub spare_headroom_pct: u32,
    /// Responses needed before their quantile is used.
    pub responses_min: u32,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            latency_target_max: Duration::from_millis(250),
            spare_headroom_pct: 20,
            responses_min: 200,
        }
    }
}

/// Decides when a request is hedged.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HedgePolicy {
    settings: HedgeSettings,
}

impl HedgePolicy {
    /// Creates a policy with `settings`.
    pub fn new(settings: HedgeSettings) -> Self {
        Self { settings }
    }

    /// Time after which a second copy may be sent; `None` if it never may.
    pub fn delay(&self, target: &ClassTarget, latencies: &LatencyHistogram) -> Option<Duration> {
        let eligible =
            target.idempotent && target.latency_target <= self.settings.latency_target_max;
        if !self.settings.enabled || !eligible || latencies.total() < self.settings.responses_min {
            return None;
        }
        latencies.quantile(LATE_QUANTILE_PERMILLE)
    }

    /// Whether the copy that is due may be sent now; if so, takes it from the `budget`.
    ///
    /// `headroom_left_pct` is the free percentage of the slots in this region.
    #[must_use]
    pub fn take(
        &self,
        target: &ClassTarget,
        headroom_left_pct: u32,
        budget: &mut RetryBudget,
    ) -> bool {
        let needed = target
            .headroom_pct
            .saturating_add(self.settings.spare_headroom_pct);
        self.settings.enabled && headroom_left_pct > needed && budget.take()
    }
}

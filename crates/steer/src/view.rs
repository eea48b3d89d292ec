//! State of one upstream as an entry sees it when it selects one.

use std::time::Duration;

/// Slow-start limit of an upstream that is not in slow start.
pub const NO_LIMIT: u32 = u32::MAX;

/// Load that an upstream reported at some time in the past.
///
/// The report may be stale or wrong, so it can lower the upstream's limit but never raise it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LoadReport {
    /// Requests being processed.
    pub in_flight: u32,
    /// Requests queued for a slot at the upstream.
    pub queued: u32,
    /// Slots that the upstream reports.
    pub slots: u32,
    /// Upper bound of the time since the report was true at its source.
    pub age: Duration,
}

/// One upstream as seen by this entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamView {
    /// Slots of the upstream that this entry owns and may use.
    pub usable: u32,
    /// Slots opened by slow start, or [`NO_LIMIT`].
    pub slow_start_limit: u32,
    /// Requests of this entry in flight at the upstream.
    pub in_flight: u32,
    /// Smoothed latency observed by this entry; zero when none was observed.
    pub latency: Duration,
    /// Errors recently observed by this entry.
    pub errors: u32,
    /// Last load report of the upstream.
    pub reported: Option<LoadReport>,
    /// Suspected of having failed; receives only probes.
    pub suspect: bool,
    /// In the probing phase of slow start; receives only probes.
    pub cold: bool,
    /// Leaving; receives no new requests.
    pub leaving: bool,
    /// Whether recent information about the upstream exists.
    pub fresh: bool,
    /// Whether a single probe of a suspect or cold upstream is due, which this request may be.
    pub probe_due: bool,
}

impl Default for UpstreamView {
    fn default() -> Self {
        Self {
            usable: 0,
            slow_start_limit: NO_LIMIT,
            in_flight: 0,
            latency: Duration::ZERO,
            errors: 0,
            reported: None,
            suspect: false,
            cold: false,
            leaving: false,
            fresh: true,
            probe_due: false,
        }
    }
}

impl UpstreamView {
    /// Requests that this entry may have in flight: the minimum of owned slots and slow start,
    /// lowered by the load report.
    pub fn limit(&self) -> u32 {
        let open = self.usable.min(self.slow_start_limit);
        match self.reported {
            Some(reported) => reported.lower(open),
            None => open,
        }
    }

    /// Whether a probe may be sent now.
    pub fn accepts_probe(&self) -> bool {
        let is_due = self.probes_only() && self.probe_due;
        is_due && !self.leaving && self.in_flight == 0 && self.limit() > 0
    }

    /// Whether the upstream receives only probes.
    pub fn probes_only(&self) -> bool {
        self.suspect || self.cold
    }
}

impl LoadReport {
    /// Reduces `limit` by the fraction of the upstream's requests that are reported as queued.
    ///
    /// At least one slot remains. An upstream that reports an endless queue would otherwise never
    /// be sent the request that disproves the report, and its slots would stay unused permanently.
    pub fn lower(&self, limit: u32) -> u32 {
        if self.queued == 0 || limit <= 1 {
            return limit;
        }
        let working = u64::from(self.in_flight);
        let total = working + u64::from(self.queued);
        let remaining = u64::from(limit) * working / total;
        u32::try_from(remaining).unwrap_or(limit).max(1)
    }
}

/// Index of an upstream to which a probe is due, for a copy of a quick idempotent request.
///
/// A caller's request that served as the probe of a cold or suspect upstream would get that
/// upstream's latency, and a few in a hundred are enough to determine the tail latency. A request
/// of an idempotent class is therefore routed as usual, with `probe_due` false in its views, and a
/// copy goes to this upstream if a [`RetryBudget`](crate::RetryBudget) allows one. The response to
/// the copy is only measured.
pub fn due_probe(views: &[UpstreamView]) -> Option<usize> {
    views.iter().position(UpstreamView::accepts_probe)
}

/// Slots of one service that an entry may use now, and those in use.
///
/// The headroom of a region is computed from its open slots: after a cold start few are open, and
/// the region accepts correspondingly little work. An upstream that receives only probes counts as
/// one slot while a probe is due. Otherwise a region of such upstreams would never be sent the
/// probes that end its cold start.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Capacity {
    /// Slots that this entry may use.
    pub open: u32,
    /// Requests of this entry in flight on them.
    pub in_flight: u32,
}

impl Capacity {
    /// Sum over the upstreams that accept new requests.
    pub fn of(views: &[UpstreamView]) -> Self {
        let mut sum = Self::default();
        for view in views.iter().filter(|view| !view.leaving) {
            let limit = view.limit();
            if !view.probes_only() {
                sum.open = sum.open.saturating_add(limit);
                sum.in_flight = sum.in_flight.saturating_add(view.in_flight.min(limit));
            } else if view.accepts_probe() {
                sum.open = sum.open.saturating_add(limit.min(1));
            }
        }
        sum
    }

    /// Adds the slots of another entry or service.
    pub fn add(&mut self, other: &Self) {
        self.open = self.open.saturating_add(other.open);
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
    }

    /// Free slots.
    pub fn free(&self) -> u32 {
        self.open.saturating_sub(self.in_flight)
    }

    /// Free percentage of the open slots, rounded down; 0 when none is open.
    pub fn headroom_left_pct(&self) -> u32 {
        let free = u64::from(self.free()) * 100;
        let pct = free.checked_div(u64::from(self.open)).unwrap_or(0);
        // A percentage is at most 100.
        u32::try_from(pct).unwrap_or(100)
    }
}

//! What an entry knows of one upstream when it chooses.

use std::time::Duration;

/// Slow-start limit of an upstream that is not held back.
pub const NO_LIMIT: u32 = u32::MAX;

/// What an upstream says of itself, at some time in the past.
///
/// It may lag or lie, so that it may lower what the upstream is sent and never raise it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Reported {
    /// Requests that it works on.
    pub in_flight: u32,
    /// Requests that wait for a slot there.
    pub queued: u32,
    /// Slots that it says it has.
    pub slots: u32,
    /// Time since the report was true at its source, at worst.
    pub age: Duration,
}

/// One upstream as seen by this entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct View {
    /// Slots of the upstream that this entry may use.
    pub usable: u32,
    /// Slots that slow start has opened, or [`NO_LIMIT`].
    pub ramp_limit: u32,
    /// Requests of this entry in flight there.
    pub in_flight: u32,
    /// Smoothed latency that this entry saw; zero when it saw none.
    pub latency: Duration,
    /// Errors that this entry saw of late.
    pub errors: u32,
    /// The upstream's last report.
    pub reported: Option<Reported>,
    /// This entry suspects it: it gets probes and nothing else.
    pub suspect: bool,
    /// It is in the trickle of a cold start: it gets probes and nothing else.
    pub cold: bool,
    /// It is leaving: it gets nothing new.
    pub leaving: bool,
    /// Something fresh is known of it.
    pub fresh: bool,
    /// A single probe of a suspect or cold upstream is due, and this request may be it.
    pub probe_due: bool,
}

impl Default for View {
    fn default() -> Self {
        Self {
            usable: 0,
            ramp_limit: NO_LIMIT,
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

impl View {
    /// Requests that this entry may have in flight there: owned slots, slow start and report.
    pub fn limit(&self) -> u32 {
        let opened = self.usable.min(self.ramp_limit);
        match self.reported {
            Some(reported) => reported.lower(opened),
            None => opened,
        }
    }

    /// Whether the upstream may be sent a probe now.
    pub fn takes_probe(&self) -> bool {
        let is_due = self.probes_only() && self.probe_due;
        is_due && !self.leaving && self.in_flight == 0 && self.limit() > 0
    }

    /// Whether the upstream gets probes and nothing else.
    pub fn probes_only(&self) -> bool {
        self.suspect || self.cold
    }
}

impl Reported {
    /// Lowers `limit` by the part of the upstream's work that it says is waiting.
    ///
    /// One slot is left. An upstream whose report claims an endless queue would otherwise never
    /// be sent the request that proves the report wrong, and its slots would be lost for good.
    pub fn lower(&self, limit: u32) -> u32 {
        if self.queued == 0 || limit <= 1 {
            return limit;
        }
        let working = u64::from(self.in_flight);
        let all = working + u64::from(self.queued);
        let kept = u64::from(limit) * working / all;
        u32::try_from(kept).unwrap_or(limit).max(1)
    }
}

/// Upstream to which a probe is due, for a copy of a quick idempotent request.
///
/// A request that is itself the probe of a cold or suspect upstream bears its latency, and a few
/// of a hundred already make the tail. So the request of an idempotent class goes where it would
/// go anyway, with `probe_due` false in its views, and a copy goes to this upstream, if a
/// [`RetryBudget`](crate::RetryBudget) holds one; the copy's answer is only measured.
pub fn due_probe(views: &[View]) -> Option<usize> {
    views.iter().position(View::takes_probe)
}

/// Slots of one service that an entry may use now, and those in use.
///
/// The headroom of a region is that of the slots that are open: after a cold start few are, and
/// the region takes as little. An upstream that only gets probes counts as one slot while a probe
/// is due, or a region of such upstreams would never be sent the probes that end its cold start.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Capacity {
    /// Slots open to this entry.
    pub open: u32,
    /// Requests of this entry in flight on them.
    pub in_flight: u32,
}

impl Capacity {
    /// Sums up the upstreams that may be sent new work.
    pub fn of(views: &[View]) -> Self {
        let mut sum = Self::default();
        for view in views.iter().filter(|view| !view.leaving) {
            let limit = view.limit();
            if !view.probes_only() {
                sum.open = sum.open.saturating_add(limit);
                sum.in_flight = sum.in_flight.saturating_add(view.in_flight.min(limit));
            } else if view.takes_probe() {
                sum.open = sum.open.saturating_add(limit.min(1));
            }
        }
        sum
    }

    /// Adds another entry's or service's slots.
    pub fn add(&mut self, other: &Self) {
        self.open = self.open.saturating_add(other.open);
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
    }

    /// Slots that are free.
    pub fn free(&self) -> u32 {
        self.open.saturating_sub(self.in_flight)
    }

    /// Percent of the open slots that are free, rounded down; 0 when none is open.
    pub fn headroom_left_pct(&self) -> u32 {
        let free = u64::from(self.free()) * 100;
        let pct = free.checked_div(u64::from(self.open)).unwrap_or(0);
        // A percentage is at most 100.
        u32::try_from(pct).unwrap_or(100)
    }
}

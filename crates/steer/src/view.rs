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

//! State of one upstream of the region, shared by traffic threads and control.

use crate::process::{
    pool::observations::{
        to_us,
        Observations, //
    },
    slots::{
        Entitlement,
        Slots, //
    },
};
use base::{
    DomainId,
    Now,
    UpstreamId, //
};
use bytestring::ByteString;
use std::{
    sync::atomic::{
        AtomicBool,
        AtomicU32,
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};
use steer::{
    LoadReport,
    UpstreamView,
    NO_LIMIT, //
};

/// State of one upstream of the region.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) id: UpstreamId,
    pub(crate) addr: ByteString,
    pub(crate) failure_domain: DomainId,
    /// Slots stated in the platform's list.
    pub(crate) listed_slots: u32,
    pub(crate) slots: Slots,
    pub(crate) observations: Observations,
    pub(crate) last_report: LastReport,
    /// Limit on requests in flight under slow start, set by control.
    pub(crate) slow_start_limit: AtomicU32,
    leaving: AtomicBool,
    /// Drained by an operator, which, unlike leaving, can be undone.
    pub(crate) drained: AtomicBool,
    /// Suspected to have failed; receives probes only.
    pub(crate) suspect: AtomicBool,
    /// In the probing phase of slow start; receives probes only.
    pub(crate) cold: AtomicBool,
    /// Neither a result nor a report was received recently.
    pub(crate) silent: AtomicBool,
    /// A probe is due; the thread that clears the flag sends it.
    probe_due: AtomicBool,
}

impl Upstream {
    /// Creates an upstream without results and without slots; control allots them.
    pub(crate) fn new(
        id: UpstreamId,
        addr: ByteString,
        failure_domain: DomainId,
        listed_slots: u32,
    ) -> Self {
        Self {
            id,
            addr,
            failure_domain,
            listed_slots,
            slots: Slots::default(),
            observations: Observations::default(),
            last_report: LastReport::default(),
            slow_start_limit: AtomicU32::new(NO_LIMIT),
            leaving: AtomicBool::new(false),
            drained: AtomicBool::new(false),
            suspect: AtomicBool::new(false),
            cold: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            probe_due: AtomicBool::new(false),
        }
    }

    /// Marks the upstream as leaving, so that it gets no new work; returns whether it was not yet.
    pub(crate) fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::AcqRel)
    }

    /// Sets the state from the membership view, which detects upstreams that return with their id.
    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Whether the upstream is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Whether the upstream accepts new work.
    pub(crate) fn accepts_work(&self) -> bool {
        !self.is_leaving() && !self.drained.load(Ordering::Acquire)
    }

    /// Input of a policy, under `entitlement`, for a request that is not a probe.
    pub(crate) fn view(&self, entitlement: Entitlement, now: Now) -> UpstreamView {
        let slots = self.slots.get();
        UpstreamView {
            usable: u32::from(slots.usable(entitlement)),
            slow_start_limit: self.slow_start_limit.load(Ordering::Relaxed),
            in_flight: u32::from(slots.in_flight),
            latency: self.observations.latency(),
            errors: 0,
            reported: self.last_report.get(now),
            suspect: self.suspect.load(Ordering::Relaxed) || self.observations.is_failing(),
            cold: self.cold.load(Ordering::Relaxed),
            leaving: !self.accepts_work(),
            fresh: !self.silent.load(Ordering::Relaxed),
            probe_due: false,
        }
    }

    /// Whether a probe is due.
    pub(crate) fn probe_due(&self) -> bool {
        self.probe_due.load(Ordering::Acquire)
    }

    /// Whether a probe is due and may be sent now.
    ///
    /// A suspect gets one probe at a time; for a cold upstream, the slow start limit applies.
    pub(crate) fn accepts_probe(&self) -> bool {
        let is_cold = self.cold.load(Ordering::Relaxed);
        self.probe_due() && self.accepts_work() && (is_cold || self.slots.get().in_flight == 0)
    }

    /// Sets whether a probe is due; returns the previous value.
    pub(crate) fn set_probe_due(&self, due: bool) -> bool {
        self.probe_due.swap(due, Ordering::AcqRel)
    }
}

/// Last load report of the upstream.
///
/// The three numbers are packed into one word, so that a reader gets them from the same report.
#[derive(Debug, Default)]
pub(crate) struct LastReport {
    packed: AtomicU64,
    measured_at_us: AtomicU64,
    received_at_us: AtomicU64,
    cold: AtomicBool,
}

/// Time after which a report is ignored. When polls are lost, an old queue length must not keep
/// lowering what is sent.
const REPORT_TTL: Duration = Duration::from_secs(5);

impl LastReport {
    /// Stores a report that was received at `now` and measured `age` earlier.
    pub(crate) fn set(&self, now: Now, age: Duration, slots: u32, in_flight: u64, queued: u64) {
        let part = |number: u64| number.min(0xffff);
        let packed = part(u64::from(slots)) << 32 | part(in_flight) << 16 | part(queued);
        self.packed.store(packed, Ordering::Relaxed);
        self.measured_at_us
            .store(to_us(now.saturating_sub(age)), Ordering::Relaxed);
        self.received_at_us
            .store(to_us(now).max(1), Ordering::Release);
    }

    /// Stores whether the upstream reports that it is cold.
    pub(crate) fn set_cold(&self, cold: bool) {
        self.cold.store(cold, Ordering::Relaxed);
    }

    /// Whether the upstream last reported that it is cold.
    pub(crate) fn reports_cold(&self) -> bool {
        self.cold.load(Ordering::Relaxed)
    }

    /// Time at which the last report was received.
    pub(crate) fn received_at(&self) -> Option<Now> {
        let received_us = self.received_at_us.load(Ordering::Acquire);
        (received_us > 0).then(|| Duration::from_micros(received_us))
    }

    fn get(&self, now: Now) -> Option<LoadReport> {
        let received_at = self.received_at()?;
        if now.saturating_sub(received_at) > REPORT_TTL {
            return None;
        }
        let packed = self.packed.load(Ordering::Relaxed);
        let part = |shift: u32| u32::try_from(packed >> shift & 0xffff).unwrap_or(0);
        let measured_at = Duration::from_micros(self.measured_at_us.load(Ordering::Relaxed));
        Some(LoadReport {
            in_flight: part(16),
            queued: part(0),
            slots: part(32),
            age: now.saturating_sub(measured_at),
        })
    }
}

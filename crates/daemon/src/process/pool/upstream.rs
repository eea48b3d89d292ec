//! One upstream of the region, as traffic threads and control share it.

use crate::process::{
    pool::seen::{
        to_us,
        Seen, //
    },
    slots::{
        Right,
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

/// One upstream of the region.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) id: UpstreamId,
    pub(crate) addr: ByteString,
    pub(crate) failure_domain: DomainId,
    /// Slots that the platform's list gives it.
    pub(crate) listed_slots: u32,
    pub(crate) slots: Slots,
    pub(crate) seen: Seen,
    pub(crate) report: Report,
    /// Slots open under slow start, set by control.
    pub(crate) limit: AtomicU32,
    leaving: AtomicBool,
    /// Draining by an operator's word; unlike leaving it can be taken back.
    pub(crate) drained: AtomicBool,
    /// Suspected: it gets probes and nothing else.
    pub(crate) suspect: AtomicBool,
    /// In the trickle of slow start: it gets probes and nothing else.
    pub(crate) cold: AtomicBool,
    /// Nothing was seen or heard of it for a while.
    pub(crate) silent: AtomicBool,
    /// One probe is due; whoever clears it sends the probe.
    probe_due: AtomicBool,
}

impl Upstream {
    /// Makes an upstream of which nothing was seen yet, without slots until control allots some.
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
            seen: Seen::default(),
            report: Report::default(),
            limit: AtomicU32::new(NO_LIMIT),
            leaving: AtomicBool::new(false),
            drained: AtomicBool::new(false),
            suspect: AtomicBool::new(false),
            cold: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            probe_due: AtomicBool::new(false),
        }
    }

    /// Takes no new work from now on; returns whether this was the first sign of it.
    pub(crate) fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::AcqRel)
    }

    /// Follows the picture, which knows when an upstream has come back under its name.
    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Whether it leaves.
    pub(crate) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Whether new work may go there at all.
    pub(crate) fn open(&self) -> bool {
        !self.leaving() && !self.drained.load(Ordering::Acquire)
    }

    /// What a policy decides from, under `right`, for a request that is no probe.
    pub(crate) fn view(&self, right: Right, now: Now) -> UpstreamView {
        let slots = self.slots.get();
        UpstreamView {
            usable: u32::from(slots.usable(right)),
            slow_start_limit: self.limit.load(Ordering::Relaxed),
            in_flight: u32::from(slots.in_flight),
            latency: self.seen.latency(),
            errors: 0,
            reported: self.report.get(now),
            suspect: self.suspect.load(Ordering::Relaxed) || self.seen.fails(),
            cold: self.cold.load(Ordering::Relaxed),
            leaving: !self.open(),
            fresh: !self.silent.load(Ordering::Relaxed),
            probe_due: false,
        }
    }

    /// Whether a probe is due.
    pub(crate) fn probe_due(&self) -> bool {
        self.probe_due.load(Ordering::Acquire)
    }

    /// Whether the probe that is due may be sent now.
    ///
    /// One at a time proves a suspect; how many warm a cold one is its limit's to say.
    pub(crate) fn takes_probe(&self) -> bool {
        let is_cold = self.cold.load(Ordering::Relaxed);
        self.probe_due() && self.open() && (is_cold || self.slots.get().in_flight == 0)
    }

    /// Sets whether a probe is due; returns what was there before.
    pub(crate) fn set_probe_due(&self, due: bool) -> bool {
        self.probe_due.swap(due, Ordering::AcqRel)
    }
}

/// What the upstream last said of its load.
///
/// One word holds the three numbers, so that they are of one report.
#[derive(Debug, Default)]
pub(crate) struct Report {
    numbers: AtomicU64,
    true_at_us: AtomicU64,
    heard_at_us: AtomicU64,
    cold: AtomicBool,
}

/// Time after which a report says nothing any more: the polls that would renew it are lost, and a
/// queue of long ago must not lower what is sent for good.
const REPORT_LIFE: Duration = Duration::from_secs(5);

impl Report {
    /// Takes a report that was heard at `now` and true `age` ago.
    pub(crate) fn set(&self, now: Now, age: Duration, slots: u32, in_flight: u64, queued: u64) {
        let part = |number: u64| number.min(0xffff);
        let numbers = part(u64::from(slots)) << 32 | part(in_flight) << 16 | part(queued);
        self.numbers.store(numbers, Ordering::Relaxed);
        self.true_at_us
            .store(to_us(now.saturating_sub(age)), Ordering::Relaxed);
        self.heard_at_us.store(to_us(now).max(1), Ordering::Release);
    }

    /// Takes its word on whether it is cold.
    pub(crate) fn set_cold(&self, cold: bool) {
        self.cold.store(cold, Ordering::Relaxed);
    }

    /// Whether it last said that it is cold.
    pub(crate) fn says_cold(&self) -> bool {
        self.cold.load(Ordering::Relaxed)
    }

    /// When the last report was heard.
    pub(crate) fn heard_at(&self) -> Option<Now> {
        let heard_us = self.heard_at_us.load(Ordering::Acquire);
        (heard_us > 0).then(|| Duration::from_micros(heard_us))
    }

    fn get(&self, now: Now) -> Option<LoadReport> {
        let heard_at = self.heard_at()?;
        if now.saturating_sub(heard_at) > REPORT_LIFE {
            return None;
        }
        let numbers = self.numbers.load(Ordering::Relaxed);
        let part = |shift: u32| u32::try_from(numbers >> shift & 0xffff).unwrap_or(0);
        let true_at = Duration::from_micros(self.true_at_us.load(Ordering::Relaxed));
        Some(LoadReport {
            in_flight: part(16),
            queued: part(0),
            slots: part(32),
            age: now.saturating_sub(true_at),
        })
    }
}

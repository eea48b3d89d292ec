//! Pools: the upstreams of one service in this region, and their use by this entry.
//!
//! A pool lives as long as the process. Control sets which upstreams it has, their allotments and
//! their limits; traffic threads take slots, send, and note what they saw. Both sides meet in
//! atomics only. Control reads the notes at each tick and runs the state machines of `steer`
//! (slow start, suspicion) over them.

use crate::process::slots::{
    LeaseClock,
    Right,
    Slots, //
};
use arc_swap::ArcSwap;
use base::{
    DomainId,
    Now,
    ServiceId,
    UpstreamId, //
};
use bytestring::ByteString;
use std::{
    sync::{
        atomic::{
            AtomicBool,
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};
use steer::View;
use tokio::sync::{
    futures::Notified,
    Notify, //
};

/// Weight of a new sample in the moving average of latency, as a power of two.
const EWMA_SHIFT: u32 = 3;

/// What traffic threads saw of an upstream since the process started.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    latency_us: AtomicU64,
    answered: AtomicU64,
    latency_sum_us: AtomicU64,
    failed: AtomicU64,
    refused: AtomicU64,
}

impl Seen {
    /// Notes a whole answer that took `latency` to its first byte.
    pub(crate) fn note_answer(&self, latency: Duration) {
        let sample_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.answered.fetch_add(1, Ordering::Relaxed);
        self.latency_sum_us.fetch_add(sample_us, Ordering::Relaxed);
        // Racing samples may lose one of them, which a moving average bears.
        let old_us = self.latency_us.load(Ordering::Relaxed);
        let new_us = if old_us == 0 {
            sample_us
        } else {
            old_us - (old_us >> EWMA_SHIFT) + (sample_us >> EWMA_SHIFT)
        };
        self.latency_us.store(new_us, Ordering::Relaxed);
    }

    /// Notes a request that timed out, was cut, or got a short answer.
    pub(crate) fn note_failure(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes a refused connection or a refusal by the upstream itself.
    pub(crate) fn note_refusal(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Moving average of latency; zero before the first answer.
    pub(crate) fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_us.load(Ordering::Relaxed))
    }

    /// Totals, for control to difference.
    pub(crate) fn totals(&self) -> Totals {
        Totals {
            answered: self.answered.load(Ordering::Relaxed),
            latency_sum_us: self.latency_sum_us.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }
}

/// Totals of [`Seen`] at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Totals {
    pub(crate) answered: u64,
    pub(crate) latency_sum_us: u64,
    pub(crate) failed: u64,
    pub(crate) refused: u64,
}

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
    /// Slots open under slow start and suspicion, set by control.
    pub(crate) limit: AtomicU32,
    leaving: AtomicBool,
    /// Draining by an operator's word; unlike leaving it can be taken back.
    pub(crate) drained: AtomicBool,
    /// Kept out of the choice until other upstreams have none left.
    pub(crate) suspect: AtomicBool,
}

impl Upstream {
    /// Makes an upstream of which nothing was seen yet, closed until control opens it.
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
            limit: AtomicU32::new(u32::MAX),
            leaving: AtomicBool::new(false),
            drained: AtomicBool::new(false),
            suspect: AtomicBool::new(false),
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

    /// What a policy decides from, under `right`.
    pub(crate) fn view(&self, right: Right) -> View {
        let slots = self.slots.get();
        View {
            usable: u32::from(slots.usable(right)),
            ramp_limit: self.limit.load(Ordering::Relaxed),
            in_flight: u32::from(slots.in_flight),
            latency: self.seen.latency(),
            suspect: self.suspect.load(Ordering::Relaxed),
            leaving: !self.open(),
            ..View::default()
        }
    }

    /// Whether new work may go there at all.
    pub(crate) fn open(&self) -> bool {
        !self.leaving() && !self.drained.load(Ordering::Acquire)
    }
}

/// Upstreams of one service in this region.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) service: ServiceId,
    /// Time up to which this entry may use its part of the slots.
    pub(crate) lease: LeaseClock,
    upstreams: ArcSwap<Vec<Arc<Upstream>>>,
    /// Requests that wait at this entry for a slot.
    waiting: AtomicU32,
    freed: Notify,
}

impl Pool {
    /// Makes a pool without upstreams.
    pub(crate) fn new(service: ServiceId) -> Self {
        Self {
            service,
            lease: LeaseClock::default(),
            upstreams: ArcSwap::default(),
            waiting: AtomicU32::new(0),
            freed: Notify::new(),
        }
    }

    /// Present upstreams, sorted by id.
    pub(crate) fn upstreams(&self) -> Arc<Vec<Arc<Upstream>>> {
        self.upstreams.load_full()
    }

    /// Replaces the upstreams; those that stay must be the same objects.
    pub(crate) fn set_upstreams(&self, upstreams: Vec<Arc<Upstream>>) {
        self.upstreams.store(Arc::new(upstreams));
        self.wake_all();
    }

    /// Slots usable and used at `now`, over all upstreams.
    pub(crate) fn use_now(&self, now: Now) -> (u32, u32) {
        let right = self.lease.right(now);
        self.upstreams()
            .iter()
            .map(|upstream| upstream.slots.get())
            .fold((0, 0), |(usable, used), slots| {
                (
                    usable + u32::from(slots.usable(right)),
                    used + u32::from(slots.in_flight),
                )
            })
    }

    /// Lets every waiting request look again, after allotments or limits grew.
    pub(crate) fn wake_all(&self) {
        self.freed.notify_waiters();
    }

    /// Requests that wait at this entry.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Ends when a slot may be free again.
    pub(crate) fn freed(&self) -> Notified<'_> {
        self.freed.notified()
    }

    /// Counts a request as waiting until the guard is dropped.
    pub(crate) fn wait_guard(self: &Arc<Self>) -> WaitGuard {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        WaitGuard(Arc::clone(self))
    }

    /// Takes a slot of `upstream`, if the lease and the limits allow one more.
    pub(crate) fn take(self: &Arc<Self>, upstream: &Arc<Upstream>, now: Now) -> Option<Permit> {
        let limit = upstream.limit.load(Ordering::Relaxed);
        let taken = upstream.open() && upstream.slots.take(self.lease.right(now), limit);
        taken.then(|| Permit {
            pool: Arc::clone(self),
            upstream: Arc::clone(upstream),
        })
    }
}

/// A request that waits for a slot.
#[derive(Debug)]
pub(crate) struct WaitGuard(Arc<Pool>);

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A slot in use; given back when dropped, whichever way the request ends.
#[derive(Debug)]
pub(crate) struct Permit {
    pool: Arc<Pool>,
    pub(crate) upstream: Arc<Upstream>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.upstream.slots.give_back();
        self.pool.freed.notify_one();
    }
}

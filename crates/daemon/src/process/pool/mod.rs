//! Pools: the upstreams of one service in this region, and their use by this entry.
//!
//! A pool exists as long as the process. Control sets its upstreams, their allotments and their
//! limits; traffic threads acquire slots, send requests and record the results. The two share
//! atomics only. At each tick, control reads the recorded results and feeds them to the state
//! machines of `steer` (slow start, failure detection).
//!
//! - `upstream`: one upstream, with its allotment, limits and last load report.
//! - `observations`: results of requests to one upstream, as recorded by traffic threads.
//! - `queue`: the requests that wait for a slot.
//! - `permit`: a slot in use, and when it is released.

mod observations;
mod permit;
mod queue;
mod upstream;

pub(crate) use self::{
    observations::ObservationTotals,
    permit::Permit,
    queue::LAST_RANK,
    upstream::Upstream, //
};

use crate::process::{
    pool::{
        observations::to_us, //
        permit::SlotGuard,
        queue::{
            Queue,
            Waiter, //
        },
    },
    slots::LeaseClock,
};
use arc_swap::ArcSwap;
use base::{
    Now,
    ServiceId, //
};
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

/// Counters of one service since the process started, written by traffic threads.
#[derive(Debug, Default)]
pub(crate) struct PoolCounts {
    arrived: AtomicU64,
    carried: AtomicU64,
    unserved: AtomicU64,
    completed: AtomicU64,
    held_us: AtomicU64,
}

impl PoolCounts {
    /// Counts a request from a caller of this region.
    pub(crate) fn record_arrived(&self) {
        self.arrived.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that this entry is to send to one of its upstreams.
    pub(crate) fn record_carried(&self) {
        self.carried.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that had to wait for a slot or was refused one.
    pub(crate) fn record_unserved(&self) {
        self.unserved.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that held its slot for `held` until its response was complete.
    fn record_completed(&self, held: Duration) {
        self.completed.fetch_add(1, Ordering::Relaxed);
        self.held_us.fetch_add(to_us(held), Ordering::Relaxed);
    }

    /// Current totals. Control uses the difference between two of them.
    pub(crate) fn totals(&self) -> PoolTotals {
        PoolTotals {
            arrived: self.arrived.load(Ordering::Relaxed),
            carried: self.carried.load(Ordering::Relaxed),
            unserved: self.unserved.load(Ordering::Relaxed),
            completed: self.completed.load(Ordering::Relaxed),
            held_us: self.held_us.load(Ordering::Relaxed),
        }
    }
}

/// Totals of the counters of a service at one moment, or their increase between two.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct PoolTotals {
    pub(crate) arrived: u64,
    pub(crate) carried: u64,
    pub(crate) unserved: u64,
    pub(crate) completed: u64,
    pub(crate) held_us: u64,
}

impl PoolTotals {
    /// Increase since `before`.
    pub(crate) fn since(&self, before: &Self) -> Self {
        Self {
            arrived: self.arrived - before.arrived,
            carried: self.carried - before.carried,
            unserved: self.unserved - before.unserved,
            completed: self.completed - before.completed,
            held_us: self.held_us - before.held_us,
        }
    }
}

/// Upstreams of one service in this region.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) service: ServiceId,
    /// Lease on this entry's part of the slots.
    pub(crate) lease: LeaseClock,
    pub(crate) counts: PoolCounts,
    upstreams: ArcSwap<Vec<Arc<Upstream>>>,
    queue: Queue,
    service_time_us: AtomicU64,
    completion_gap_us: AtomicU64,
    expected_latency_us: AtomicU64,
    sample_due: AtomicBool,
    smoothed_demand: AtomicU32,
}

impl Pool {
    /// Creates a pool without upstreams.
    pub(crate) fn new(service: ServiceId) -> Self {
        Self {
            service,
            lease: LeaseClock::default(),
            counts: PoolCounts::default(),
            upstreams: ArcSwap::default(),
            queue: Queue::default(),
            service_time_us: AtomicU64::new(0),
            completion_gap_us: AtomicU64::new(0),
            expected_latency_us: AtomicU64::new(0),
            sample_due: AtomicBool::new(false),
            smoothed_demand: AtomicU32::new(0),
        }
    }

    /// Current upstreams, sorted by id.
    pub(crate) fn upstreams(&self) -> Arc<Vec<Arc<Upstream>>> {
        self.upstreams.load_full()
    }

    /// Replaces the upstreams; retained ones must be the same objects.
    pub(crate) fn set_upstreams(&self, upstreams: Vec<Arc<Upstream>>) {
        self.upstreams.store(Arc::new(upstreams));
    }

    /// Whether any upstream accepts new work.
    pub(crate) fn accepts_work(&self) -> bool {
        self.upstreams
            .load()
            .iter()
            .any(|upstream| upstream.accepts_work())
    }

    /// Slots usable and in use at `now`, summed over all upstreams.
    pub(crate) fn slot_usage(&self, now: Now) -> (u32, u32) {
        let entitlement = self.lease.entitlement(now);
        self.upstreams()
            .iter()
            .map(|upstream| upstream.slots.get())
            .fold((0, 0), |(usable, used), slots| {
                (
                    usable + u32::from(slots.usable(entitlement)),
                    used + u32::from(slots.in_flight),
                )
            })
    }

    /// Smoothed time for which a request holds a slot; zero before the first sample.
    pub(crate) fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_time_us.load(Ordering::Relaxed))
    }

    /// Smoothed interval between completions while requests wait; zero if none waited recently.
    pub(crate) fn completion_gap(&self) -> Duration {
        Duration::from_micros(self.completion_gap_us.load(Ordering::Relaxed))
    }

    /// Sets the times that control computes from the counts.
    pub(crate) fn set_service_times(&self, service_time: Duration, completion_gap: Duration) {
        self.service_time_us
            .store(to_us(service_time), Ordering::Relaxed);
        self.completion_gap_us
            .store(to_us(completion_gap), Ordering::Relaxed);
    }

    /// Expected upstream latency of the next request; zero before the first response.
    pub(crate) fn expected_latency(&self) -> Duration {
        Duration::from_micros(self.expected_latency_us.load(Ordering::Relaxed))
    }

    /// Sets the expected upstream latency of the next request.
    pub(crate) fn set_expected_latency(&self, latency: Duration) {
        self.expected_latency_us
            .store(to_us(latency), Ordering::Relaxed);
    }

    /// Keeps one request in this region as a sample that latency would shift to another.
    pub(crate) fn set_sample_due(&self) {
        self.sample_due.store(true, Ordering::Relaxed);
    }

    /// Whether this request is that sample; resets the flag.
    pub(crate) fn take_sample(&self) -> bool {
        self.sample_due.swap(false, Ordering::Relaxed)
    }

    /// Slots that this entry could use now.
    ///
    /// If only the current requests counted, an entry that happens to be idle would give its slots
    /// to others and queue requests right after, while the others have spare slots. The demand is
    /// therefore at least the slots that the smoothed demand needs at its peaks, plus the waiting
    /// requests.
    pub(crate) fn demand(&self) -> u32 {
        let upstreams = self.upstreams.load();
        let used: u32 = upstreams
            .iter()
            .map(|upstream| u32::from(upstream.slots.get().in_flight))
            .sum();
        used.max(self.smoothed_demand.load(Ordering::Relaxed)) + self.waiting()
    }

    /// Sets the smoothed demand, in thousandths of a slot.
    pub(crate) fn set_smoothed_demand(&self, milli_slots: u64) {
        // Models the requests in flight as a Poisson distribution; two standard deviations above
        // the mean cover all but a few percent of the time.
        let mean = milli_slots as f64 / 1000.0;
        // Far below the limit of `u32`; rounding is intended.
        let demand = (mean + 2.0 * mean.sqrt()).ceil() as u32;
        self.smoothed_demand.store(demand, Ordering::Relaxed);
    }

    /// Wakes the first waiting request to retry.
    pub(crate) fn wake(&self) {
        self.queue.wake();
    }

    /// Number of requests that wait at this entry.
    pub(crate) fn waiting(&self) -> u32 {
        self.queue.waiting()
    }

    /// Number of waiting requests that precede a class of this rank.
    pub(crate) fn waiting_before(&self, rank: usize) -> u32 {
        self.queue.waiting_before(rank)
    }

    /// Queues a request of a class of this rank until the guard is dropped.
    pub(crate) fn enqueue(self: &Arc<Self>, rank: usize) -> WaitGuard {
        WaitGuard {
            waiter: self.queue.push(rank),
            pool: Arc::clone(self),
        }
    }

    /// Acquires a slot of `upstream`, if the lease and the limits allow one more.
    pub(crate) fn try_acquire(
        self: &Arc<Self>,
        upstream: &Arc<Upstream>,
        now: Now,
    ) -> Option<Permit> {
        let entitlement = self.lease.entitlement(now);
        let limit = upstream.view(entitlement, now).limit();
        let acquired = upstream.accepts_work() && upstream.slots.try_acquire(entitlement, limit);
        acquired.then(|| Permit::new(SlotGuard::new(self, upstream)))
    }

    /// Acquires a slot of `upstream` regardless of the allotment.
    ///
    /// For the baseline policies of measurements, which as published own no slots and let the
    /// upstream queue.
    pub(crate) fn try_acquire_unbounded(
        self: &Arc<Self>,
        upstream: &Arc<Upstream>,
    ) -> Option<Permit> {
        let acquired = upstream.accepts_work() && upstream.slots.try_acquire_unbounded();
        acquired.then(|| Permit::new(SlotGuard::new(self, upstream)))
    }
}

/// A request that waits for a slot; it keeps its position until dropped.
#[derive(Debug)]
pub(crate) struct WaitGuard {
    pool: Arc<Pool>,
    waiter: Waiter,
}

impl WaitGuard {
    /// Completes when the request may be the next to acquire a slot.
    pub(crate) async fn woken(&self) {
        self.waiter.woken().await;
    }

    /// Number of requests ahead of it.
    pub(crate) fn requests_ahead(&self) -> u32 {
        self.pool.queue.ahead_of(&self.waiter)
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.pool.queue.remove(&self.waiter);
    }
}

//! Pools: the upstreams of one service in this region, and their use by this entry.
//!
//! A pool lives as long as the process. Control sets which upstreams it has, their allotments and
//! their limits; traffic threads take slots, send, and note what they saw. Both sides meet in
//! atomics only. Control reads the notes at each tick and runs the state machines of `steer`
//! (slow start, suspicion) over them.
//!
//! - `upstream`: one upstream, with its allotment, limits and last report.
//! - `seen`: what traffic threads saw of it.
//! - `queue`: the requests that wait.
//! - `permit`: a slot in use, and when it is given back.

mod permit;
mod queue;
mod seen;
mod upstream;

pub(crate) use self::{
    permit::Permit,
    queue::LAST_RANK,
    seen::Totals,
    upstream::Upstream, //
};

use crate::process::{
    pool::{
        permit::Slot,
        queue::{
            Queue,
            Waiter, //
        },
        seen::to_us, //
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

/// What traffic threads counted of one service since the process started.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    arrived: AtomicU64,
    carried: AtomicU64,
    unserved: AtomicU64,
    completed: AtomicU64,
    held_us: AtomicU64,
}

impl Counts {
    /// Notes a request of this region's callers.
    pub(crate) fn note_arrived(&self) {
        self.arrived.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes a request that this entry is to send to one of the upstreams.
    pub(crate) fn note_carried(&self) {
        self.carried.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes a request that had to wait for a slot or was refused one.
    pub(crate) fn note_unserved(&self) {
        self.unserved.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes a request that held its slot for `held` until it was answered whole.
    fn note_completed(&self, held: Duration) {
        self.completed.fetch_add(1, Ordering::Relaxed);
        self.held_us.fetch_add(to_us(held), Ordering::Relaxed);
    }

    /// Totals, for control to difference.
    pub(crate) fn totals(&self) -> CountTotals {
        CountTotals {
            arrived: self.arrived.load(Ordering::Relaxed),
            carried: self.carried.load(Ordering::Relaxed),
            unserved: self.unserved.load(Ordering::Relaxed),
            completed: self.completed.load(Ordering::Relaxed),
            held_us: self.held_us.load(Ordering::Relaxed),
        }
    }
}

/// Totals of [`Counts`] at one moment, or their growth.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct CountTotals {
    pub(crate) arrived: u64,
    pub(crate) carried: u64,
    pub(crate) unserved: u64,
    pub(crate) completed: u64,
    pub(crate) held_us: u64,
}

impl CountTotals {
    /// Growth since `before`.
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
    /// Time up to which this entry may use its part of the slots.
    pub(crate) lease: LeaseClock,
    pub(crate) counts: Counts,
    upstreams: ArcSwap<Vec<Arc<Upstream>>>,
    queue: Queue,
    service_us: AtomicU64,
    completion_gap_us: AtomicU64,
    expected_us: AtomicU64,
    sample_due: AtomicBool,
    usual: AtomicU32,
}

impl Pool {
    /// Makes a pool without upstreams.
    pub(crate) fn new(service: ServiceId) -> Self {
        Self {
            service,
            lease: LeaseClock::default(),
            counts: Counts::default(),
            upstreams: ArcSwap::default(),
            queue: Queue::default(),
            service_us: AtomicU64::new(0),
            completion_gap_us: AtomicU64::new(0),
            expected_us: AtomicU64::new(0),
            sample_due: AtomicBool::new(false),
            usual: AtomicU32::new(0),
        }
    }

    /// Present upstreams, sorted by id.
    pub(crate) fn upstreams(&self) -> Arc<Vec<Arc<Upstream>>> {
        self.upstreams.load_full()
    }

    /// Replaces the upstreams; those that stay must be the same objects.
    pub(crate) fn set_upstreams(&self, upstreams: Vec<Arc<Upstream>>) {
        self.upstreams.store(Arc::new(upstreams));
    }

    /// Whether any upstream takes new work.
    pub(crate) fn takes_work(&self) -> bool {
        self.upstreams.load().iter().any(|upstream| upstream.open())
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

    /// Smoothed time that a request holds a slot; zero before the first.
    pub(crate) fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_us.load(Ordering::Relaxed))
    }

    /// Smoothed time between two completions while requests wait; zero when none waited of late.
    pub(crate) fn completion_gap(&self) -> Duration {
        Duration::from_micros(self.completion_gap_us.load(Ordering::Relaxed))
    }

    /// Sets what control worked out of the counts.
    pub(crate) fn set_pace(&self, service_time: Duration, completion_gap: Duration) {
        self.service_us
            .store(to_us(service_time), Ordering::Relaxed);
        self.completion_gap_us
            .store(to_us(completion_gap), Ordering::Relaxed);
    }

    /// Latency that the next request may expect of an upstream; zero before the first answer.
    pub(crate) fn expected(&self) -> Duration {
        Duration::from_micros(self.expected_us.load(Ordering::Relaxed))
    }

    /// Sets the latency that the next request may expect of an upstream.
    pub(crate) fn set_expected(&self, latency: Duration) {
        self.expected_us.store(to_us(latency), Ordering::Relaxed);
    }

    /// Lets one request stay here that would go to another region for its latency.
    pub(crate) fn set_sample_due(&self) {
        self.sample_due.store(true, Ordering::Relaxed);
    }

    /// Whether this request is the one that stays here.
    pub(crate) fn take_sample(&self) -> bool {
        self.sample_due.swap(false, Ordering::Relaxed)
    }

    /// Slots that this entry could use now.
    ///
    /// What goes wrong when only the requests of this moment count: an entry that is idle by chance
    /// hands its slots to others and queues right after, while the others have slots to spare. So
    /// it asks for what its smoothed demand needs now and then, and what waits besides.
    pub(crate) fn demand(&self) -> u32 {
        let upstreams = self.upstreams.load();
        let used: u32 = upstreams
            .iter()
            .map(|upstream| u32::from(upstream.slots.get().in_flight))
            .sum();
        used.max(self.usual.load(Ordering::Relaxed)) + self.waiting()
    }

    /// Sets the demand in slots, smoothed, in thousandths.
    pub(crate) fn set_usual(&self, milli_slots: u64) {
        // As many requests are in flight as in a Poisson process; two deviations above its mean
        // cover all but a few moments in a hundred.
        let mean = milli_slots as f64 / 1000.0;
        // Far below the limit of the type, and rounding is meant.
        let usual = (mean + 2.0 * mean.sqrt()).ceil() as u32;
        self.usual.store(usual, Ordering::Relaxed);
    }

    /// Lets the first waiting request look again.
    pub(crate) fn wake(&self) {
        self.queue.wake();
    }

    /// Requests that wait at this entry.
    pub(crate) fn waiting(&self) -> u32 {
        self.queue.waiting()
    }

    /// Requests that wait and go before a class of this rank.
    pub(crate) fn waiting_before(&self, rank: usize) -> u32 {
        self.queue.waiting_before(rank)
    }

    /// Lets a request of a class of this rank wait until the guard is dropped.
    pub(crate) fn wait(self: &Arc<Self>, rank: usize) -> WaitGuard {
        WaitGuard {
            waiter: self.queue.enter(rank),
            pool: Arc::clone(self),
        }
    }

    /// Takes a slot of `upstream`, if the lease and the limits allow one more.
    pub(crate) fn take(self: &Arc<Self>, upstream: &Arc<Upstream>, now: Now) -> Option<Permit> {
        let right = self.lease.right(now);
        let limit = upstream.view(right, now).limit();
        let taken = upstream.open() && upstream.slots.take(right, limit);
        taken.then(|| Permit::new(Slot::new(self, upstream)))
    }

    /// Takes a slot of `upstream` whatever is allotted, for the baselines of measurements: as
    /// published they own no slots and let the upstream queue.
    pub(crate) fn take_unbound(self: &Arc<Self>, upstream: &Arc<Upstream>) -> Option<Permit> {
        let taken = upstream.open() && upstream.slots.take_unbound();
        taken.then(|| Permit::new(Slot::new(self, upstream)))
    }
}

/// A request that waits for a slot; it keeps its place until the drop.
#[derive(Debug)]
pub(crate) struct WaitGuard {
    pool: Arc<Pool>,
    waiter: Waiter,
}

impl WaitGuard {
    /// Ends when the request may be the next to take a slot.
    pub(crate) async fn woken(&self) {
        self.waiter.woken().await;
    }

    /// Requests that go before it.
    pub(crate) fn ahead(&self) -> u32 {
        self.pool.queue.ahead_of(&self.waiter)
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.pool.queue.leave(&self.waiter);
    }
}

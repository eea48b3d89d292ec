//! The link to another region: this entry's part of its cap and the requests that use it.
//!
//! A request leaves its region only through an entry of the other region, and each entry sends at
//! most its escrowed part of the cap between the two. Control sets the part and reads the requests
//! in flight through atomics; traffic threads limit what they send with a [`steer::ShiftLimiter`].
//! Its lock is taken by traffic threads only and held for a few instructions.

use crate::process::slots::{
    LeaseClock,
    Slots, //
};
use base::Now;
use bytestring::ByteString;
use share::Amounts;
use std::{
    cell::Cell,
    sync::{
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};
use steer::{
    Freshness,
    ShiftCap,
    ShiftLimiter,
    ShiftRefusal, //
};

/// The single resource in the pool of a cap: requests in flight.
///
/// Bytes and growth are divided in the same proportion. With separate tokens for bytes, a member
/// could hold its fair number of tokens, all of one kind, and be unable to send: requests would
/// queue at that entry while the others shift.
pub(crate) const IN_FLIGHT: &str = "in-flight";
/// Divisor of the cap that gives the minimum demand, which an idle entry keeps.
const IDLE_DEMAND_DIVISOR: u32 = 32;

/// Generous estimate of the header bytes of one request and its response.
const HEADER_BYTES: u64 = 1024;
/// Maximum number of bytes booked when a request is admitted.
const BOOKED_MAX_BYTES: u64 = 64 * 1024 + HEADER_BYTES;
/// Divisor that gives the weight of a new sample in the moving average of sizes.
const SMOOTHING_DIVISOR: u64 = 8;
/// Sixteenths of the limiter's rate by which it refills; the remaining one is its burst.
const REFILL_PARTS: u64 = 15;

/// This entry's use of the cap from this region to another.
#[derive(Debug)]
pub(crate) struct Link {
    /// Lease on this entry's part of the cap.
    pub(crate) lease: LeaseClock,
    /// Configured cap of the region pair.
    cap: AtomicCap,
    /// Requests in flight and the allotment for them, in one word.
    requests: Slots,
    /// Requests refused by the in-flight or byte limit since the last call of [`Link::demand`].
    unmet_demand: AtomicU32,
    limiter: Mutex<ShiftLimiter>,
    transferred_bytes: AtomicU64,
    /// Moving average of the bytes per request and response, headers included.
    average_bytes: AtomicU64,
}

/// A cap in atomics. A reader may see a concurrent change in part.
#[derive(Debug, Default)]
struct AtomicCap {
    bytes_per_s: AtomicU64,
    in_flight: AtomicU32,
    growth_per_s: AtomicU32,
}

impl AtomicCap {
    fn set(&self, cap: ShiftCap) {
        self.bytes_per_s.store(cap.bytes_per_s, Ordering::Release);
        self.in_flight.store(cap.in_flight, Ordering::Release);
        self.growth_per_s.store(cap.growth_per_s, Ordering::Release);
    }

    fn get(&self) -> ShiftCap {
        ShiftCap {
            bytes_per_s: self.bytes_per_s.load(Ordering::Acquire),
            in_flight: self.in_flight.load(Ordering::Acquire),
            growth_per_s: self.growth_per_s.load(Ordering::Acquire),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// Creates a link without an allotment.
    pub(crate) fn new(cap: ShiftCap, now: Now) -> Self {
        let link = Self {
            lease: LeaseClock::default(),
            cap: AtomicCap::default(),
            requests: Slots::default(),
            unmet_demand: AtomicU32::new(0),
            limiter: Mutex::new(ShiftLimiter::new(now, ShiftCap::default())),
            transferred_bytes: AtomicU64::new(0),
            average_bytes: AtomicU64::new(BOOKED_MAX_BYTES),
        };
        link.cap.set(cap);
        link
    }

    /// Sets the cap of the region pair.
    pub(crate) fn set_cap(&self, cap: ShiftCap) {
        self.cap.set(cap);
    }

    /// Capacity that the pool of the cap divides between its members.
    pub(crate) fn capacity(&self) -> Amounts {
        let in_flight = self.cap.get().in_flight;
        Amounts::from([(ByteString::from_static(IN_FLIGHT), in_flight)])
    }

    /// Sets this entry's allotment, full and floor, in requests in flight.
    pub(crate) fn allot(&self, full: u32, floor: u32) {
        self.requests.allot(full, floor);
    }

    /// Requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        u32::from(self.requests.get().in_flight)
    }

    /// Requests that need the link now, including those refused since the last call.
    pub(crate) fn demand(&self) -> u32 {
        let wanted = self.in_flight() + self.unmet_demand.swap(0, Ordering::Relaxed);
        wanted.max(self.cap.get().in_flight / IDLE_DEMAND_DIVISOR)
    }

    /// Bytes transferred since the process started.
    pub(crate) fn transferred_bytes(&self) -> u64 {
        self.transferred_bytes.load(Ordering::Relaxed)
    }

    /// Whether one more request would be admitted at `now`.
    pub(crate) fn has_capacity(&self, now: Now, freshness: Freshness) -> bool {
        let requests = self.requests.get();
        if requests.in_flight >= requests.usable(self.lease.entitlement(now)) {
            return false;
        }
        let usable = self.usable_cap(now);
        let mut limiter = lock(&self.limiter);
        limiter.set_cap(now, usable);
        limiter
            .check_sized(now, freshness, self.expected_bytes())
            .is_ok()
    }

    /// Admits one request, which counts as in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// The limit that is reached.
    pub(crate) fn admit(
        self: &Arc<Self>,
        now: Now,
        freshness: Freshness,
    ) -> Result<ShiftGuard, ShiftRefusal> {
        let expected_bytes = self.expected_bytes();
        let admitted = self.try_admit(now, freshness, expected_bytes);
        // A larger part wouldn't help a request that the growth limit refuses.
        if admitted.is_err_and(|refusal| refusal != ShiftRefusal::Growth) {
            self.unmet_demand.fetch_add(1, Ordering::Relaxed);
        }
        admitted.map(|()| ShiftGuard {
            link: Arc::clone(self),
            admitted_at: now,
            started: std::time::Instant::now(),
            booked_bytes: Cell::new(expected_bytes),
            transferred_bytes: Cell::new(HEADER_BYTES),
        })
    }

    /// Bytes that one request is expected to transfer, both directions together.
    ///
    /// Bounded, because a response too long to be buffered is throttled as it arrives and needs no
    /// more booked ahead.
    fn expected_bytes(&self) -> u64 {
        self.average_bytes
            .load(Ordering::Relaxed)
            .min(BOOKED_MAX_BYTES)
    }

    /// Adds the bytes of one request to the moving average.
    fn record_size(&self, bytes: u64) {
        // Concurrent updates may lose a sample, which is acceptable in a moving average.
        let average = self.average_bytes.load(Ordering::Relaxed);
        let next = average - average / SMOOTHING_DIVISOR + bytes / SMOOTHING_DIVISOR;
        self.average_bytes.store(next, Ordering::Relaxed);
    }

    fn try_admit(
        &self,
        now: Now,
        freshness: Freshness,
        expected_bytes: u64,
    ) -> Result<(), ShiftRefusal> {
        // The token is acquired first, by one compare-and-exchange: if control lowers the allotment
        // concurrently, it either sees this request in flight or prevents it from starting.
        if !self
            .requests
            .try_acquire(self.lease.entitlement(now), u32::MAX)
        {
            return Err(ShiftRefusal::InFlight);
        }
        let usable = self.usable_cap(now);
        let mut limiter = lock(&self.limiter);
        limiter.set_cap(now, usable);
        let admitted = limiter.admit_sized(now, freshness, expected_bytes);
        drop(limiter);
        if admitted.is_err() {
            self.requests.release();
        }
        admitted
    }

    /// Part of the cap that this entry may use at `now`.
    fn usable_cap(&self, now: Now) -> ShiftCap {
        let cap = self.cap.get();
        let entitlement = self.lease.entitlement(now);
        let in_flight = u32::from(self.requests.get().usable(entitlement));
        // All entries of the region together stay within the cap. Growth is rounded up, as a small
        // part would otherwise round to zero and never grow.
        let whole = u64::from(cap.in_flight.max(1));
        let part = u64::from(in_flight).min(whole);
        let growth = (u64::from(cap.growth_per_s) * part).div_ceil(whole);
        ShiftCap {
            bytes_per_s: self.limiter_rate(cap.bytes_per_s / whole * part),
            in_flight,
            growth_per_s: u32::try_from(growth).unwrap_or(u32::MAX),
        }
    }
}

impl Link {
    /// Rate for the limiter that keeps each second within `bytes_per_s`.
    ///
    /// A request larger than the burst overdraws the limiter by the difference. Lowering the refill
    /// by the size of one request compensates for that.
    fn limiter_rate(&self, bytes_per_s: u64) -> u64 {
        let request_bytes = self.expected_bytes().min(bytes_per_s / 2);
        ((bytes_per_s - request_bytes) / REFILL_PARTS * (REFILL_PARTS + 1)).min(bytes_per_s)
    }
}

/// A shifted request in flight.
#[derive(Debug)]
pub(crate) struct ShiftGuard {
    link: Arc<Link>,
    admitted_at: Now,
    started: std::time::Instant,
    /// Booked at admission and not transferred yet.
    booked_bytes: Cell<u64>,
    /// Transferred so far, headers included.
    transferred_bytes: Cell<u64>,
}

impl ShiftGuard {
    /// Counts `bytes` as transferred; returns the delay for those not booked at admission.
    pub(crate) fn record_bytes(&self, bytes: usize) -> Duration {
        let bytes = bytes as u64;
        self.link
            .transferred_bytes
            .fetch_add(bytes, Ordering::Relaxed);
        self.transferred_bytes
            .set(self.transferred_bytes.get() + bytes);
        let booked = self.booked_bytes.get().min(bytes);
        self.booked_bytes.set(self.booked_bytes.get() - booked);
        if bytes == booked {
            return Duration::ZERO;
        }
        lock(&self.link.limiter).book_bytes(self.now(), bytes - booked)
    }

    fn now(&self) -> Now {
        self.admitted_at + self.started.elapsed()
    }
}

impl Drop for ShiftGuard {
    fn drop(&mut self) {
        let now = self.now();
        let unused = self.booked_bytes.get().saturating_sub(HEADER_BYTES);
        let mut limiter = lock(&self.link.limiter);
        limiter.release(now);
        limiter.refund(now, unused);
        drop(limiter);
        self.link.record_size(self.transferred_bytes.get());
        self.link.requests.release();
    }
}

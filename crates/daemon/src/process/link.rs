//! The link to another region: this entry's part of its cap, and what uses it.
//!
//! Work leaves its region only through the entry of the other one, and each entry may send no
//! more than its escrowed part of the cap between the two. Control sets the part and reads what is
//! in flight through atomics; traffic threads meter what they send in a [`steer::ShiftLimiter`]. The
//! lock around that is taken by traffic threads alone and held for a few instructions.

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

/// The one resource of a cap's pool: requests in flight.
///
/// Bytes and growth are divided as these are. With tokens of their own for bytes, a member could
/// hold its fair number of tokens, all of one kind, and send nothing: one would notice queues at
/// one entry while the others shift.
pub(crate) const IN_FLIGHT: &str = "in-flight";
/// Part of the cap, as a divisor, that an idle entry does not give away.
const IDLE_PART: u32 = 32;

/// Bytes of the heads of one request and its answer, with room to spare.
const HEADS_BYTES: u64 = 1024;
/// Most bytes that are booked when a request is admitted.
const BOOKED_MAX_BYTES: u64 = 64 * 1024 + HEADS_BYTES;
/// Weight of a new size in the moving average, as a divisor.
const SMOOTH_PART: u64 = 8;
/// The meter refills by so many parts of its rate, and keeps one part more as its burst.
const METER_PARTS: u64 = 15;

/// Use of the cap from this region to another.
#[derive(Debug)]
pub(crate) struct Link {
    /// Time up to which this entry may use its part.
    pub(crate) lease: LeaseClock,
    /// The whole cap, as configured.
    cap: Cap,
    /// Requests in flight and the part of them that may be, in one word.
    requests: Slots,
    demand: AtomicU32,
    meter: Mutex<ShiftLimiter>,
    passed_bytes: AtomicU64,
    /// Moving average of what one request passes, heads included.
    usual_bytes: AtomicU64,
}

/// A cap in atomics: a change while traffic threads read it gives them some of either.
#[derive(Debug, Default)]
struct Cap {
    bytes_per_s: AtomicU64,
    in_flight: AtomicU32,
    growth_per_s: AtomicU32,
}

impl Cap {
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
    /// Makes a link of which no part is held yet.
    pub(crate) fn new(cap: ShiftCap, now: Now) -> Self {
        let link = Self {
            lease: LeaseClock::default(),
            cap: Cap::default(),
            requests: Slots::default(),
            demand: AtomicU32::new(0),
            meter: Mutex::new(ShiftLimiter::new(now, ShiftCap::default())),
            passed_bytes: AtomicU64::new(0),
            usual_bytes: AtomicU64::new(BOOKED_MAX_BYTES),
        };
        link.cap.set(cap);
        link
    }

    /// Sets the whole cap.
    pub(crate) fn set_cap(&self, cap: ShiftCap) {
        self.cap.set(cap);
    }

    /// What the cap's pool has to share.
    pub(crate) fn capacity(&self) -> Amounts {
        let in_flight = self.cap.get().in_flight;
        Amounts::from([(ByteString::from_static(IN_FLIGHT), in_flight)])
    }

    /// Sets the part that this entry may use, full and floor, in requests in flight.
    pub(crate) fn allot(&self, full: u32, floor: u32) {
        self.requests.allot(full, floor);
    }

    /// Requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        u32::from(self.requests.get().in_flight)
    }

    /// Requests that would use the link now; what found no part since the last call counts.
    pub(crate) fn demand(&self) -> u32 {
        let wanted = self.in_flight() + self.demand.swap(0, Ordering::Relaxed);
        wanted.max(self.cap.get().in_flight / IDLE_PART)
    }

    /// Bytes passed so far.
    pub(crate) fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    /// Whether one more request would be admitted at `now`.
    pub(crate) fn is_open(&self, now: Now, freshness: Freshness) -> bool {
        let requests = self.requests.get();
        if requests.in_flight >= requests.usable(self.lease.right(now)) {
            return false;
        }
        let part = self.part(now);
        let mut meter = lock(&self.meter);
        meter.set_cap(now, part);
        meter
            .check_sized(now, freshness, self.expected_bytes())
            .is_ok()
    }

    /// Admits one request, in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// The limit that holds it back.
    pub(crate) fn admit(
        self: &Arc<Self>,
        now: Now,
        freshness: Freshness,
    ) -> Result<ShiftGuard, ShiftRefusal> {
        let expected_bytes = self.expected_bytes();
        let admitted = self.try_admit(now, freshness, expected_bytes);
        // A larger part would not let a shift grow that has grown enough for now.
        if admitted.is_err_and(|refusal| refusal != ShiftRefusal::Growth) {
            self.demand.fetch_add(1, Ordering::Relaxed);
        }
        admitted.map(|()| ShiftGuard {
            link: Arc::clone(self),
            admitted_at: now,
            since: std::time::Instant::now(),
            booked_bytes: Cell::new(expected_bytes),
            bytes: Cell::new(HEADS_BYTES),
        })
    }

    /// Bytes that one request is expected to pass both ways.
    ///
    /// Answers longer than what is read whole are paced as they come, so that no more is booked.
    fn expected_bytes(&self) -> u64 {
        self.usual_bytes
            .load(Ordering::Relaxed)
            .min(BOOKED_MAX_BYTES)
    }

    /// Notes what one request passed.
    fn note_size(&self, bytes: u64) {
        // Racing notes may lose one of them, which a moving average bears.
        let usual = self.usual_bytes.load(Ordering::Relaxed);
        let next = usual - usual / SMOOTH_PART + bytes / SMOOTH_PART;
        self.usual_bytes.store(next, Ordering::Relaxed);
    }

    fn try_admit(
        &self,
        now: Now,
        freshness: Freshness,
        expected_bytes: u64,
    ) -> Result<(), ShiftRefusal> {
        // The token comes first, by one exchange: control may lower the part at this moment and
        // must either see this request in flight or keep it from starting.
        if !self.requests.take(self.lease.right(now), u32::MAX) {
            return Err(ShiftRefusal::InFlight);
        }
        let part = self.part(now);
        let mut meter = lock(&self.meter);
        meter.set_cap(now, part);
        let admitted = meter.admit_sized(now, freshness, expected_bytes);
        drop(meter);
        if admitted.is_err() {
            self.requests.give_back();
        }
        admitted
    }

    /// Part of the cap that may be used at `now`.
    fn part(&self, now: Now) -> ShiftCap {
        let cap = self.cap.get();
        let right = self.lease.right(now);
        let in_flight = u32::from(self.requests.get().usable(right));
        // The region's entries together stay within the cap. Growth is rounded up, or a small part
        // would never grow at all.
        let whole = u64::from(cap.in_flight.max(1));
        let part = u64::from(in_flight).min(whole);
        let growth = (u64::from(cap.growth_per_s) * part).div_ceil(whole);
        ShiftCap {
            bytes_per_s: self.metered(cap.bytes_per_s / whole * part),
            in_flight,
            growth_per_s: u32::try_from(growth).unwrap_or(u32::MAX),
        }
    }
}

impl Link {
    /// Rate to meter by, so that `bytes_per_s` is kept in each second.
    ///
    /// A request that is larger than the meter's burst puts it into debt by the difference. The
    /// refill is lowered by as much as one request, which makes up for that.
    fn metered(&self, bytes_per_s: u64) -> u64 {
        let one = self.expected_bytes().min(bytes_per_s / 2);
        ((bytes_per_s - one) / METER_PARTS * (METER_PARTS + 1)).min(bytes_per_s)
    }
}

/// One shifted request.
#[derive(Debug)]
pub(crate) struct ShiftGuard {
    link: Arc<Link>,
    admitted_at: Now,
    since: std::time::Instant,
    /// Booked at the admission and not passed yet.
    booked_bytes: Cell<u64>,
    /// Passed so far, heads included.
    bytes: Cell<u64>,
}

impl ShiftGuard {
    /// Passes `bytes`; returns how long they must wait, for those that were not booked before.
    pub(crate) fn pass(&self, bytes: usize) -> Duration {
        let bytes = bytes as u64;
        self.link.passed_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes.set(self.bytes.get() + bytes);
        let booked = self.booked_bytes.get().min(bytes);
        self.booked_bytes.set(self.booked_bytes.get() - booked);
        if bytes == booked {
            return Duration::ZERO;
        }
        lock(&self.link.meter).book_bytes(self.now(), bytes - booked)
    }

    fn now(&self) -> Now {
        self.admitted_at + self.since.elapsed()
    }
}

impl Drop for ShiftGuard {
    fn drop(&mut self) {
        let now = self.now();
        let unused = self.booked_bytes.get().saturating_sub(HEADS_BYTES);
        let mut meter = lock(&self.link.meter);
        meter.release(now);
        meter.refund(now, unused);
        drop(meter);
        self.link.note_size(self.bytes.get());
        self.link.requests.give_back();
    }
}

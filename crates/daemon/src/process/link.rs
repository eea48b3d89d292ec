//! The link to another region: this entry's part of its cap, and what uses it.
//!
//! Work leaves its region only through the entry of the other one, and each entry may send no
//! more than its escrowed part of the cap between the two. Control sets the part; traffic threads
//! meter what they send in a [`steer::ShiftLimit`]. The lock around it is shared by traffic
//! threads alone and held for a few instructions.

use crate::process::slots::{
    LeaseClock,
    Right, //
};
use base::Now;
use bytestring::ByteString;
use share::Amounts;
use std::{
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
    ShiftLimit,
    ShiftRefusal, //
};

/// Resource of a cap's pool: requests in flight.
pub(crate) const IN_FLIGHT: &str = "in-flight";
/// Resource of a cap's pool: bytes a second, in hundredths of the cap.
pub(crate) const BYTES: &str = "bytes";
/// Tokens that the bytes of a cap are divided into.
const BYTES_TOKENS: u32 = 100;

/// Use of the cap from this region to another.
#[derive(Debug)]
pub(crate) struct Link {
    /// Time up to which this entry may use its part.
    pub(crate) lease: LeaseClock,
    /// The whole cap, as configured.
    cap: Mutex<ShiftCap>,
    full: Part,
    floor: Part,
    demand: AtomicU32,
    meter: Mutex<ShiftLimit>,
    passed_bytes: AtomicU64,
}

/// Tokens of a part.
#[derive(Debug, Default)]
struct Part {
    in_flight: AtomicU32,
    bytes: AtomicU32,
}

impl Part {
    fn set(&self, in_flight: u32, bytes: u32) {
        self.in_flight.store(in_flight, Ordering::Release);
        self.bytes.store(bytes, Ordering::Release);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// Makes a link of which no part is held yet.
    pub(crate) fn new(cap: ShiftCap, now: Now) -> Self {
        Self {
            lease: LeaseClock::default(),
            cap: Mutex::new(cap),
            full: Part::default(),
            floor: Part::default(),
            demand: AtomicU32::new(0),
            meter: Mutex::new(ShiftLimit::new(now, ShiftCap::default())),
            passed_bytes: AtomicU64::new(0),
        }
    }

    /// Sets the whole cap.
    pub(crate) fn set_cap(&self, cap: ShiftCap) {
        *lock(&self.cap) = cap;
    }

    /// What the cap's pool has to share.
    pub(crate) fn capacity(&self) -> Amounts {
        let in_flight = lock(&self.cap).in_flight;
        Amounts::from([
            (ByteString::from_static(IN_FLIGHT), in_flight),
            (ByteString::from_static(BYTES), BYTES_TOKENS),
        ])
    }

    /// Sets the part that this entry may use: tokens in flight and of bytes, full and floor.
    pub(crate) fn allot(&self, full: u32, floor: u32, full_bytes: u32, floor_bytes: u32) {
        self.full.set(full, full_bytes);
        self.floor.set(floor, floor_bytes);
    }

    /// Requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        lock(&self.meter).in_flight()
    }

    /// Requests that would use the link now; what was refused since the last call counts.
    pub(crate) fn demand(&self) -> u32 {
        self.in_flight() + self.demand.swap(0, Ordering::Relaxed)
    }

    /// Bytes passed so far.
    pub(crate) fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    /// Whether one more request would be admitted at `now`.
    pub(crate) fn is_open(&self, now: Now, freshness: Freshness) -> bool {
        let part = self.part(now);
        let mut meter = lock(&self.meter);
        meter.set_cap(now, part);
        meter.check(now, freshness).is_ok()
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
        let part = self.part(now);
        let mut meter = lock(&self.meter);
        meter.set_cap(now, part);
        let admitted = meter.admit(now, freshness);
        drop(meter);
        match admitted {
            Ok(()) => Ok(ShiftGuard {
                link: Arc::clone(self),
                admitted_at: now,
                since: std::time::Instant::now(),
            }),
            Err(refusal) => {
                self.demand.fetch_add(1, Ordering::Relaxed);
                Err(refusal)
            }
        }
    }

    /// Part of the cap that may be used at `now`.
    fn part(&self, now: Now) -> ShiftCap {
        let cap = *lock(&self.cap);
        let part = match self.lease.right(now) {
            Right::Full => &self.full,
            Right::Floor => &self.floor,
            Right::None => return ShiftCap::default(),
        };
        let bytes = u64::from(part.bytes.load(Ordering::Acquire));
        let in_flight = part.in_flight.load(Ordering::Acquire);
        // Growth is divided as requests in flight are: the region's entries together stay within
        // the cap's pace. It is rounded up, or a small part would never grow at all.
        let growth = u64::from(cap.growth_per_s) * u64::from(in_flight);
        let growth = growth.div_ceil(u64::from(cap.in_flight.max(1)));
        ShiftCap {
            bytes_per_s: cap.bytes_per_s / u64::from(BYTES_TOKENS) * bytes,
            in_flight,
            growth_per_s: u32::try_from(growth).unwrap_or(u32::MAX),
        }
    }
}

/// One shifted request.
#[derive(Debug)]
pub(crate) struct ShiftGuard {
    link: Arc<Link>,
    admitted_at: Now,
    since: std::time::Instant,
}

impl ShiftGuard {
    /// Books `bytes`; returns how long they must wait before they are passed on.
    pub(crate) fn pass(&self, bytes: usize) -> Duration {
        let bytes = bytes as u64;
        self.link.passed_bytes.fetch_add(bytes, Ordering::Relaxed);
        lock(&self.link.meter).pass(self.now(), bytes)
    }

    fn now(&self) -> Now {
        self.admitted_at + self.since.elapsed()
    }
}

impl Drop for ShiftGuard {
    fn drop(&mut self) {
        lock(&self.link.meter).finish(self.now());
    }
}

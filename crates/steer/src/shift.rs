//! Limits of what is shifted from one region to another.

use crate::fresh::Freshness;
use base::Now;
use std::{
    fmt,
    time::Duration, //
};

/// Part of a second's bytes or growth, as a divisor, that may come at once; the steady pace is
/// lowered by as much.
const BURST_PART: u64 = 16;
/// Thousandths of a request: the unit in which the growth of a shift is counted.
const MILLI: u64 = 1000;
const NANOS_PER_S: u128 = 1_000_000_000;
const NANOS_PER_S_SIGNED: i128 = 1_000_000_000;

/// This entry's part of the cap of one ordered pair of regions.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ShiftCap {
    /// Bytes a second, both ways together.
    pub bytes_per_s: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests in flight by which the shift may grow each second.
    pub growth_per_s: u32,
}

/// Why a shift is not open now.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ShiftRefusal {
    /// Requests in flight are at the cap.
    InFlight,
    /// The shift grows as fast as it may.
    Growth,
    /// Bytes went out ahead of the cap.
    Bytes,
}

/// Meter of the shift from one region to another, on an escrowed part of the cap.
///
/// Invariants: requests in flight admitted here stay within the cap in force when they were
/// admitted, and grow by `growth_per_s` in any second at most, beyond the first; in any window of a second or more the
/// bytes let through stay within the cap, for chunks up to a sixteenth of a second's bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ShiftLimit {
    cap: ShiftCap,
    in_flight: u32,
    open_milli: u64,
    opened_at: Now,
    may_grow: bool,
    /// Bytes that may go out at once, less those booked ahead; in parts of a nanosecond's refill.
    balance: i128,
    refilled_at: Now,
}

impl ShiftLimit {
    /// Meter with nothing in flight, on the part `cap`.
    pub fn new(now: Now, cap: ShiftCap) -> Self {
        let mut limit = Self {
            cap,
            in_flight: 0,
            open_milli: MILLI,
            opened_at: now,
            may_grow: false,
            balance: 0,
            refilled_at: now,
        };
        limit.balance = limit.burst();
        limit
    }

    /// Changes the part; what is in flight goes on, nothing more is admitted above it.
    pub fn set_cap(&mut self, now: Now, cap: ShiftCap) {
        self.refill(now);
        self.cap = cap;
        self.balance = self.balance.min(self.burst());
    }

    /// Whether one more request would be admitted.
    ///
    /// # Errors
    ///
    /// The first limit that holds it back.
    pub fn check(&self, now: Now, freshness: Freshness) -> Result<(), ShiftRefusal> {
        let mut later = *self;
        later.admit(now, freshness)
    }

    /// Whether one more request, of which `expected_bytes` are expected, would be admitted.
    ///
    /// # Errors
    ///
    /// The first limit that holds it back.
    pub fn check_sized(
        &self,
        now: Now,
        freshness: Freshness,
        expected_bytes: u64,
    ) -> Result<(), ShiftRefusal> {
        let mut later = *self;
        later.admit_sized(now, freshness, expected_bytes)
    }

    /// Admits one request and books what it is expected to pass.
    ///
    /// Bytes that are booked when they have come were on the link before: many requests admitted
    /// in one moment, none of them booked, pass together and exceed the cap for a second. So the
    /// balance must hold what is expected, or be as full as it gets.
    ///
    /// # Errors
    ///
    /// The first limit that holds it back.
    pub fn admit_sized(
        &mut self,
        now: Now,
        freshness: Freshness,
        expected_bytes: u64,
    ) -> Result<(), ShiftRefusal> {
        self.refill(now);
        let expected = i128::from(expected_bytes) * NANOS_PER_S_SIGNED;
        if self.balance < expected.min(self.burst()) {
            return Err(ShiftRefusal::Bytes);
        }
        self.admit(now, freshness)?;
        self.balance -= expected;
        Ok(())
    }

    /// Gives back `bytes` that were booked and are not passed.
    pub fn give_back(&mut self, now: Now, bytes: u64) {
        self.refill(now);
        let given = i128::from(bytes) * NANOS_PER_S_SIGNED;
        self.balance = (self.balance + given).min(self.burst());
    }

    /// Admits one request, which is then in flight until [`ShiftLimit::finish`].
    ///
    /// `freshness` is that of what is known of the other region: nothing grows on an old picture.
    ///
    /// # Errors
    ///
    /// The first limit that holds it back.
    pub fn admit(&mut self, now: Now, freshness: Freshness) -> Result<(), ShiftRefusal> {
        self.refill(now);
        self.may_grow = freshness.allows_growth();
        self.follow(now);
        if self.in_flight >= self.cap.in_flight {
            return Err(ShiftRefusal::InFlight);
        }
        if (u64::from(self.in_flight) + 1) * MILLI > self.open_milli {
            return Err(ShiftRefusal::Growth);
        }
        if self.cap.bytes_per_s == 0 || self.balance < 0 {
            return Err(ShiftRefusal::Bytes);
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Notes that a request is no longer in flight.
    pub fn finish(&mut self, now: Now) {
        self.follow(now);
        debug_assert!(self.in_flight > 0);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Books `bytes` that are to be passed on; returns how long they must wait before they are.
    ///
    /// A wait of [`Duration::MAX`] means that the part allows no bytes at all.
    pub fn pass(&mut self, now: Now, bytes: u64) -> Duration {
        self.refill(now);
        let refill = self.refill_per_s();
        if refill == 0 {
            return Duration::MAX;
        }
        self.balance -= i128::from(bytes) * NANOS_PER_S_SIGNED;
        let debt = self.balance.min(0).unsigned_abs();
        let wait_ns = debt.div_ceil(u128::from(refill));
        Duration::from_nanos(u64::try_from(wait_ns).unwrap_or(u64::MAX))
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// This entry's part of the cap.
    pub fn cap(&self) -> ShiftCap {
        self.cap
    }

    fn refill_per_s(&self) -> u64 {
        self.cap.bytes_per_s - self.cap.bytes_per_s / BURST_PART
    }

    fn burst(&self) -> i128 {
        i128::from(self.cap.bytes_per_s / BURST_PART) * NANOS_PER_S_SIGNED
    }

    /// Adds the refill since the last call, up to the burst.
    fn refill(&mut self, now: Now) {
        let elapsed_ns = now.saturating_sub(self.refilled_at).as_nanos();
        self.refilled_at = self.refilled_at.max(now);
        let refill = elapsed_ns * u128::from(self.refill_per_s());
        let refill = i128::try_from(refill).unwrap_or(i128::MAX);
        self.balance = self.balance.saturating_add(refill).min(self.burst());
    }

    /// Moves the open limit towards what is in flight and a burst more, at the pace of growth.
    ///
    /// It follows use down as well: a shift that ended starts small again, or the next one would
    /// reach a region whose caches have forgotten it with the whole load at once. Without the
    /// burst two requests that arrive together would be refused at any pace.
    fn follow(&mut self, now: Now) {
        let growth_milli = u64::from(self.cap.growth_per_s) * MILLI;
        let burst = growth_milli / BURST_PART;
        let pace = u128::from(growth_milli - burst);
        let elapsed_ns = now.saturating_sub(self.opened_at).as_nanos();
        let step = elapsed_ns * pace / NANOS_PER_S;
        if step == 0 {
            return;
        }
        // What is left of a step is kept: frequent calls would else lose all growth to rounding.
        let used_ns = (step * NANOS_PER_S).div_ceil(pace);
        self.opened_at += Duration::from_nanos(u64::try_from(used_ns).unwrap_or(u64::MAX));
        let step = u64::try_from(step).unwrap_or(u64::MAX);
        let goal = (u64::from(self.in_flight) + 1) * MILLI + burst;
        if goal <= self.open_milli {
            self.open_milli = self.open_milli.saturating_sub(step).max(goal);
        } else if self.may_grow {
            self.open_milli = self.open_milli.saturating_add(step).min(goal);
        }
    }
}

impl fmt::Display for ShiftLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let open = self.open_milli / MILLI;
        let cap = self.cap.in_flight;
        let rate = self.cap.bytes_per_s;
        write!(
            f,
            "{} in flight, {open} open of {cap}, {rate} bytes/s",
            self.in_flight
        )
    }
}

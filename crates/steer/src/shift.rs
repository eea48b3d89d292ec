//! Limits on the work that is shifted from one region to another.

use crate::freshness::Freshness;
use base::Now;
use std::{
    fmt,
    time::Duration, //
};

/// Divisor of one second's bytes or growth that gives the burst size; the steady rate is lowered by
/// the same amount.
const BURST_DIVISOR: u64 = 16;
/// Thousandths of a request, the unit of the growth of a shift.
const MILLI: u64 = 1000;
const NANOS_PER_S: u128 = 1_000_000_000;
const NANOS_PER_S_SIGNED: i128 = 1_000_000_000;

/// This entry's part of the cap for one ordered pair of regions.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ShiftCap {
    /// Bytes per second, both directions together.
    pub bytes_per_s: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests in flight by which the shift may grow per second.
    pub growth_per_s: u32,
}

/// Reason why a shift is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ShiftRefusal {
    /// The requests in flight have reached the cap.
    InFlight,
    /// The shift already grows at the maximum rate.
    Growth,
    /// The byte rate has reached the cap.
    Bytes,
}

/// Limits the shift from one region to another to this entry's escrowed part of the cap.
///
/// Invariants: the requests in flight admitted here stay within the cap that was in force when they
/// were admitted, and beyond the first request grow by at most `growth_per_s` in any second. In any
/// window of a second or more, the bytes let through stay within the cap, for chunks of up to a
/// sixteenth of one second's bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ShiftLimiter {
    cap: ShiftCap,
    in_flight: u32,
    limit_milli: u64,
    limit_updated_at: Now,
    may_grow: bool,
    /// Bytes that may be sent at once, less those booked ahead, in units of 10^-9 bytes.
    balance: i128,
    refilled_at: Now,
}

impl ShiftLimiter {
    /// Creates a limiter with nothing in flight for the part `cap`.
    pub fn new(now: Now, cap: ShiftCap) -> Self {
        let mut limiter = Self {
            cap,
            in_flight: 0,
            limit_milli: MILLI,
            limit_updated_at: now,
            may_grow: false,
            balance: 0,
            refilled_at: now,
        };
        limiter.balance = limiter.burst();
        limiter
    }

    /// Changes the part. Requests in flight continue; no more are admitted above the new part.
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
        let mut trial = *self;
        trial.admit(now, freshness)
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
        let mut trial = *self;
        trial.admit_sized(now, freshness, expected_bytes)
    }

    /// Admits one request and books its expected bytes.
    ///
    /// Bytes that are booked only on arrival have already used the link: many requests admitted at
    /// the same time without booking would transfer their bytes together and exceed the cap for a
    /// second. The balance must therefore cover the expected bytes, or be at its maximum.
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

    /// Returns `bytes` that were booked but not transferred.
    pub fn refund(&mut self, now: Now, bytes: u64) {
        self.refill(now);
        let returned = i128::from(bytes) * NANOS_PER_S_SIGNED;
        self.balance = (self.balance + returned).min(self.burst());
    }

    /// Admits one request, which is then in flight until [`ShiftLimiter::release`].
    ///
    /// `freshness` is that of the information about the other region: the shift does not grow on
    /// old information.
    ///
    /// # Errors
    ///
    /// The first limit that holds it back.
    pub fn admit(&mut self, now: Now, freshness: Freshness) -> Result<(), ShiftRefusal> {
        self.refill(now);
        self.may_grow = freshness.allows_growth();
        self.update_limit(now);
        if self.in_flight >= self.cap.in_flight {
            return Err(ShiftRefusal::InFlight);
        }
        if (u64::from(self.in_flight) + 1) * MILLI > self.limit_milli {
            return Err(ShiftRefusal::Growth);
        }
        if self.cap.bytes_per_s == 0 || self.balance < 0 {
            return Err(ShiftRefusal::Bytes);
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Records that a request is no longer in flight.
    pub fn release(&mut self, now: Now) {
        self.update_limit(now);
        debug_assert!(self.in_flight > 0);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Books `bytes` to be transferred; returns how long they must be delayed.
    ///
    /// A delay of [`Duration::MAX`] means that the part allows no bytes at all.
    pub fn book_bytes(&mut self, now: Now, bytes: u64) -> Duration {
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
        self.cap.bytes_per_s - self.cap.bytes_per_s / BURST_DIVISOR
    }

    fn burst(&self) -> i128 {
        i128::from(self.cap.bytes_per_s / BURST_DIVISOR) * NANOS_PER_S_SIGNED
    }

    /// Adds the refill since the last call, up to the burst size.
    fn refill(&mut self, now: Now) {
        let elapsed_ns = now.saturating_sub(self.refilled_at).as_nanos();
        self.refilled_at = self.refilled_at.max(now);
        let refill = elapsed_ns * u128::from(self.refill_per_s());
        let refill = i128::try_from(refill).unwrap_or(i128::MAX);
        self.balance = self.balance.saturating_add(refill).min(self.burst());
    }

    /// Moves the limit towards the requests in flight plus one burst, at the growth rate.
    ///
    /// The limit also falls with the use, so that after a shift has ended the next one starts small
    /// again. Otherwise the whole load would reach at once a region whose caches no longer hold the
    /// data for it. Without the burst, one of two requests that arrive together would be refused at
    /// any growth rate.
    fn update_limit(&mut self, now: Now) {
        let growth_milli = u64::from(self.cap.growth_per_s) * MILLI;
        let burst = growth_milli / BURST_DIVISOR;
        let rate_milli = u128::from(growth_milli - burst);
        let elapsed_ns = now.saturating_sub(self.limit_updated_at).as_nanos();
        let step = elapsed_ns * rate_milli / NANOS_PER_S;
        if step == 0 {
            return;
        }
        // The remainder of a step is kept, as frequent calls would otherwise lose all growth to
        // rounding.
        let step_ns = (step * NANOS_PER_S).div_ceil(rate_milli);
        self.limit_updated_at += Duration::from_nanos(u64::try_from(step_ns).unwrap_or(u64::MAX));
        let step = u64::try_from(step).unwrap_or(u64::MAX);
        let goal = (u64::from(self.in_flight) + 1) * MILLI + burst;
        if goal <= self.limit_milli {
            self.limit_milli = self.limit_milli.saturating_sub(step).max(goal);
        } else if self.may_grow {
            self.limit_milli = self.limit_milli.saturating_add(step).min(goal);
        }
    }
}

impl fmt::Display for ShiftLimiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let open = self.limit_milli / MILLI;
        let cap = self.cap.in_flight;
        let rate = self.cap.bytes_per_s;
        write!(
            f,
            "{} in flight, {open} open of {cap}, {rate} bytes/s",
            self.in_flight
        )
    }
}

//! Which part of the offered work exceeds the headroom of this entry's slots.

use crate::seed;
use base::Now;
use std::{
    fmt,
    time::Duration, //
};

/// Weight of one tick in the smoothed demand, as a divisor.
const SMOOTH_PART: u64 = 4;
/// Thousandths, the unit of demand and of spill.
const MILLI: u64 = 1000;

/// Demand for one service at this entry, in slots: the rate of arrivals times the time of service.
///
/// Spilling on the slots that are free at a moment sends work away at half load: an entry owns a
/// dozen slots, and the chance of the moment fills most of them now and then. One would notice it
/// as a tail of latencies that equals the link. The demand counts what arrives, also what is then
/// spilled, so that spilling does not take away its own reason and the flow does not flap.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Demand {
    milli_slots: Option<u64>,
    ticked_at: Now,
}

impl Demand {
    /// Demand that is counted from `now`.
    pub fn new(now: Now) -> Self {
        Self {
            milli_slots: None,
            ticked_at: now,
        }
    }

    /// Takes in the requests that arrived since the last tick; a tick each 100 ms suits.
    ///
    /// `service` is the smoothed time of service, waits excluded.
    pub fn tick(&mut self, now: Now, arrivals: u32, service: Duration) {
        let elapsed_ns = now.saturating_sub(self.ticked_at).as_nanos();
        let work_ns = service.as_nanos() * u128::from(arrivals) * u128::from(MILLI);
        let Some(sample) = work_ns.checked_div(elapsed_ns) else {
            return;
        };
        let sample = u64::try_from(sample).unwrap_or(u64::MAX);
        self.ticked_at = now;
        self.milli_slots = Some(match self.milli_slots {
            None => sample,
            Some(old) => old - old / SMOOTH_PART + sample / SMOOTH_PART,
        });
    }

    /// Slots that the demand keeps busy, in thousandths.
    pub fn milli_slots(&self) -> u64 {
        self.milli_slots.unwrap_or(0)
    }

    /// Thousandths of the demand that do not fit in `open` slots with `headroom_pct` kept free.
    pub fn spill_permille(&self, open: u32, headroom_pct: u32) -> u32 {
        let kept_pct = 100 - u64::from(headroom_pct.min(100));
        let fits = u64::from(open) * kept_pct * MILLI / 100;
        let demand = self.milli_slots();
        let excess = demand.saturating_sub(fits);
        let permille = excess.saturating_mul(MILLI).checked_div(demand);
        // At most a thousand.
        u32::try_from(permille.unwrap_or(0)).unwrap_or(1000)
    }
}

/// Whether the request with this `seed` belongs to the part `spill_permille` of the work.
pub fn is_excess(spill_permille: u32, seed: u64) -> bool {
    // Below a thousand, which fits.
    let part = seed::below(seed, 1000) as u32;
    part < spill_permille
}

impl fmt::Display for Demand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let milli = self.milli_slots();
        write!(f, "{}.{:03} slots", milli / MILLI, milli % MILLI)
    }
}

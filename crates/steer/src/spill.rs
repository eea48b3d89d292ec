//! Which part of the offered work exceeds the headroom of this entry's slots.

use crate::seed;
use base::Now;
use std::{
    fmt,
    time::Duration, //
};

/// Weight of one tick in the smoothed demand, as a divisor.
const SMOOTH_PART: u64 = 4;
/// The same for a tick far off the smoothed demand: a burst begins, or spill outlives its reason.
const JUMP_PART: u64 = 2;
/// Percent of a region's slots that are aimed to stay free beyond its headroom, so that what is
/// known late does not carry the shift past it.
const AIM_PCT: u32 = 5;
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
    /// `service` is the smoothed time of service, without waits and without the answers of
    /// probes: a few probes of cold upstreams would else pass for twice the demand.
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
            Some(old) => smooth(old, sample),
        });
    }

    /// Slots that the demand keeps busy, in thousandths.
    pub fn milli_slots(&self) -> u64 {
        self.milli_slots.unwrap_or(0)
    }

    /// Percent of `open` slots that the demand leaves free; 0 when none is open.
    ///
    /// This is what a region tells others of its headroom, from the demand that it carries. It is
    /// smooth, so that others neither rush in nor stay away for the chance of a moment.
    pub fn headroom_left_pct(&self, open: u32) -> u32 {
        let used_pct = (self.milli_slots() * 100)
            .div_ceil(MILLI)
            .checked_div(u64::from(open));
        let left = 100u64.saturating_sub(used_pct.unwrap_or(100));
        // At most a hundred.
        u32::try_from(left).unwrap_or(0)
    }

    /// Adds the demand at another entry.
    pub fn add(&mut self, other: &Self) {
        let sum = self.milli_slots().saturating_add(other.milli_slots());
        self.milli_slots = Some(sum);
    }

    /// Thousandths of the demand that do not fit in `open` slots with `headroom_pct` kept free and
    /// that `allowance` lets go elsewhere.
    pub fn spill_permille(&self, open: u32, headroom_pct: u32, allowance: &Allowance) -> u32 {
        let demand = self.milli_slots();
        let excess = demand.saturating_sub(fitting(open, headroom_pct));
        let spill = excess.min(allowance.milli_slots).saturating_mul(MILLI);
        // Nothing fits where nothing is open, whatever the demand turns out to be.
        let unknown = if open == 0 { MILLI } else { 0 };
        let permille = spill.checked_div(demand).unwrap_or(unknown);
        // At most a thousand.
        u32::try_from(permille).unwrap_or(1000)
    }
}

/// Smoothed demand after one more `sample`.
fn smooth(old: u64, sample: u64) -> u64 {
    let jumps = sample < old || sample > old + old / 2;
    let part = if jumps { JUMP_PART } else { SMOOTH_PART };
    old - old / part + sample / part
}

/// Demand in thousandths of a slot that fits in `open` slots with `headroom_pct` kept free.
fn fitting(open: u32, headroom_pct: u32) -> u64 {
    let kept_pct = 100 - u64::from(headroom_pct.min(100));
    u64::from(open) * kept_pct * MILLI / 100
}

/// Demand that this entry may shift to one other region, by the room there.
///
/// What is known of the other region lags. Were each entry to spill all of its excess while there
/// seems to be room, and nothing once there is none, the load would swing between the regions and
/// overload each in turn. So each entry moves towards what it shifts already and its part of the
/// room that is left, which may be negative.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Allowance {
    milli_slots: u64,
}

impl Allowance {
    /// Follows the room of the other region; a tick each 100 ms suits.
    ///
    /// `there` is the demand that it carries on `open` slots, with `headroom_pct` to be kept free;
    /// `shifted` is what this entry shifts to it, and `senders` the entries that may do so.
    pub fn tick(
        &mut self,
        there: &Demand,
        open: u32,
        headroom_pct: u32,
        shifted: &Demand,
        senders: u32,
    ) {
        let fits = fitting(open, headroom_pct + AIM_PCT);
        let carried = there.milli_slots();
        let senders = u64::from(senders.max(1));
        let more = fits.saturating_sub(carried) / senders;
        let less = carried.saturating_sub(fits) / senders;
        let goal = (shifted.milli_slots() + more).saturating_sub(less);
        self.milli_slots = (self.milli_slots + goal) / 2;
    }

    /// Demand that may be shifted, in thousandths of a slot.
    pub fn milli_slots(&self) -> u64 {
        self.milli_slots
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

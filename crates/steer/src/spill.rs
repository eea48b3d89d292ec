//! Spillover: the part of the offered work that exceeds the headroom of this entry's slots.

use crate::seed;
use base::Now;
use std::{
    fmt,
    time::Duration, //
};

/// Divisor that gives the weight of one tick in the smoothed demand.
const SMOOTHING_DIVISOR: u64 = 4;
/// The same for a tick that differs much from the smoothed demand, as at the start of a burst or
/// when the reason for spilling has ended.
const JUMP_SMOOTHING_DIVISOR: u64 = 2;
/// Percentage of a region's slots that the allowance leaves free beyond the headroom, so that
/// delayed information does not make the shift exceed it.
const SAFETY_MARGIN_PCT: u32 = 5;
/// Thousandths, the unit of demand and of spillover.
const MILLI: u64 = 1000;

/// Demand for one service at this entry, in slots: the arrival rate times the service time.
///
/// Spilling by the number of slots that are free at the moment would send work away at half load:
/// an entry owns about a dozen slots, and random variation fills most of them now and then. The
/// symptom is a tail latency equal to the round trip between regions. The demand counts all
/// arrivals, including those that are then spilled, so that spilling does not remove its own cause
/// and the flow does not flap.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Demand {
    milli_slots: Option<u64>,
    ticked_at: Now,
}

impl Demand {
    /// Creates a demand measured from `now`.
    pub fn new(now: Now) -> Self {
        Self {
            milli_slots: None,
            ticked_at: now,
        }
    }

    /// Processes the requests that arrived since the last tick. Intended for ticks of 100 ms.
    ///
    /// `service_time` is smoothed, without queueing and without the responses to probes: a few
    /// probes of cold upstreams would otherwise look like twice the demand.
    pub fn tick(&mut self, now: Now, arrivals: u32, service_time: Duration) {
        let elapsed_ns = now.saturating_sub(self.ticked_at).as_nanos();
        let work_ns = service_time.as_nanos() * u128::from(arrivals) * u128::from(MILLI);
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

    /// Demand in thousandths of a slot.
    pub fn milli_slots(&self) -> u64 {
        self.milli_slots.unwrap_or(0)
    }

    /// Percentage of `open` slots that the demand leaves free; 0 when none is open.
    ///
    /// A region reports this as its headroom, from the demand that it carries. The value is
    /// smoothed, so that other regions do not react to random variation.
    pub fn headroom_left_pct(&self, open: u32) -> u32 {
        let used_pct = (self.milli_slots() * 100)
            .div_ceil(MILLI)
            .checked_div(u64::from(open));
        let left = 100u64.saturating_sub(used_pct.unwrap_or(100));
        // At most 100.
        u32::try_from(left).unwrap_or(0)
    }

    /// Adds the demand of another entry.
    pub fn add(&mut self, other: &Self) {
        let sum = self.milli_slots().saturating_add(other.milli_slots());
        self.milli_slots = Some(sum);
    }

    /// Thousandths of the demand that do not fit in `open` slots with `headroom_pct` kept free and
    /// that `allowance` permits to be shifted.
    pub fn spill_permille(&self, open: u32, headroom_pct: u32, allowance: &Allowance) -> u32 {
        let demand = self.milli_slots();
        let excess = demand.saturating_sub(fitting_demand(open, headroom_pct));
        let spill = excess.min(allowance.milli_slots).saturating_mul(MILLI);
        // Without open slots nothing fits, whatever the demand.
        let unknown = if open == 0 { MILLI } else { 0 };
        let permille = spill.checked_div(demand).unwrap_or(unknown);
        // At most 1000.
        u32::try_from(permille).unwrap_or(1000)
    }
}

/// Moving average of the demand after one more `sample`.
fn smooth(old: u64, sample: u64) -> u64 {
    let is_jump = sample < old || sample > old + old / 2;
    let divisor = if is_jump {
        JUMP_SMOOTHING_DIVISOR
    } else {
        SMOOTHING_DIVISOR
    };
    old - old / divisor + sample / divisor
}

/// Demand, in thousandths of a slot, that fits in `open` slots with `headroom_pct` kept free.
fn fitting_demand(open: u32, headroom_pct: u32) -> u64 {
    let usable_pct = 100 - u64::from(headroom_pct.min(100));
    u64::from(open) * usable_pct * MILLI / 100
}

/// Demand that this entry may shift to one other region, by the room there.
///
/// Information about the other region is delayed. If each entry spilled all of its excess while
/// there seems to be room, and nothing otherwise, the load would oscillate between the regions and
/// overload each in turn. Each entry therefore moves towards the demand that it already shifts plus
/// its part of the remaining room, which may be negative.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Allowance {
    milli_slots: u64,
}

impl Allowance {
    /// Adjusts the allowance to the room of the other region. Intended for ticks of 100 ms.
    ///
    /// `carried` is the demand that the region carries on `open` slots, of which `headroom_pct` are
    /// to be kept free; `shifted` is the demand that this entry shifts to it, and `senders` the
    /// number of entries that may do so.
    pub fn tick(
        &mut self,
        carried: &Demand,
        open: u32,
        headroom_pct: u32,
        shifted: &Demand,
        senders: u32,
    ) {
        let fitting = fitting_demand(open, headroom_pct + SAFETY_MARGIN_PCT);
        let carried_milli = carried.milli_slots();
        let senders = u64::from(senders.max(1));
        let increase = fitting.saturating_sub(carried_milli) / senders;
        let decrease = carried_milli.saturating_sub(fitting) / senders;
        let goal = (shifted.milli_slots() + increase).saturating_sub(decrease);
        self.milli_slots = (self.milli_slots + goal) / 2;
    }

    /// Permitted demand in thousandths of a slot.
    pub fn milli_slots(&self) -> u64 {
        self.milli_slots
    }
}

/// Whether the request with this `seed` is among the `spill_permille` thousandths to be spilled.
pub fn is_excess(spill_permille: u32, seed: u64) -> bool {
    // Below 1000, which fits.
    let draw = seed::below(seed, 1000) as u32;
    draw < spill_permille
}

impl fmt::Display for Demand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let milli = self.milli_slots();
        write!(f, "{}.{:03} slots", milli / MILLI, milli % MILLI)
    }
}

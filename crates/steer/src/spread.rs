//! Which entry of the region takes a request that finds no slot free where it came.
//!
//! Callers hold one entry for as long as their look-up answer is good, so that one entry gets more
//! work than its slots for a second or two while others have slots free. One would notice it as a
//! tail of latencies in which the entries of one region differ. Allotments follow slower than
//! callers move.

/// Thousandths of a slot.
const MILLI: u64 = 1000;

/// Work at one entry for one service.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Occupancy {
    /// Work there, waiting or not, in thousandths of a slot.
    pub milli_slots: u64,
    /// Slots open to it.
    pub open: u32,
}

impl Occupancy {
    /// Work at this entry, as it counts it.
    pub fn here(in_flight: u32, waiting: u32, open: u32) -> Self {
        Self {
            milli_slots: (u64::from(in_flight) + u64::from(waiting)) * MILLI,
            open,
        }
    }

    /// Work at another entry, which last told of a demand of `told_milli_slots`, when this one has
    /// handed it `handed` requests that are not answered yet and `senders` entries may do so.
    ///
    /// What was told lags by a beat. By it alone all entries would send what they have to the one
    /// that was idle a moment ago, and a queue of a second would grow there while theirs are empty.
    /// What was handed there and is not answered tells of that queue at once.
    pub fn beside(told_milli_slots: u64, open: u32, handed: u32, senders: u32) -> Self {
        let handed = u64::from(handed) * u64::from(senders) * MILLI;
        Self {
            milli_slots: told_milli_slots.saturating_add(handed),
            open,
        }
    }

    /// Work for each slot, in millionths; `None` where no slot is open.
    fn per_slot(&self) -> Option<u64> {
        let milli = self.milli_slots.saturating_mul(MILLI);
        milli.checked_div(u64::from(self.open))
    }
}

/// Index among `others` of the entry with the least work for each slot; `None` when no other has
/// less than the one here.
pub fn least_occupied(here: &Occupancy, others: impl Iterator<Item = Occupancy>) -> Option<usize> {
    let (least, index) = others
        .enumerate()
        .filter_map(|(index, other)| Some((other.per_slot()?, index)))
        .min()?;
    here.per_slot()
        .is_none_or(|here| least < here)
        .then_some(index)
}

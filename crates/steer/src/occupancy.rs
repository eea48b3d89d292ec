//! Selects the entry of the region that takes a request for which the receiving entry has no slot.
//!
//! Callers use one entry until their lookup result expires, so that one entry may get more work
//! than it has slots for a second or two while others have free slots; allotments adapt more slowly
//! than callers move. The symptom is a tail latency that differs between the entries of one region.

/// Thousandths of a slot.
const MILLI: u64 = 1000;

/// Work of one service at one entry.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Occupancy {
    /// Work in service and queued, in thousandths of a slot.
    pub milli_slots: u64,
    /// Slots open to the entry.
    pub open: u32,
}

impl Occupancy {
    /// Work at this entry, by its own counts.
    pub fn local(in_flight: u32, queued: u32, open: u32) -> Self {
        Self {
            milli_slots: (u64::from(in_flight) + u64::from(queued)) * MILLI,
            open,
        }
    }

    /// Work at another entry that last reported a demand of `reported_milli_slots`, when this entry
    /// has `outstanding` forwarded requests there and `senders` entries may forward requests.
    ///
    /// The reported demand lags by one heartbeat. If it were used alone, all entries would forward
    /// their work to the entry that was last idle, and a queue of a second would build up there
    /// while their own are empty. The outstanding requests reflect that queue at once.
    pub fn peer(reported_milli_slots: u64, open: u32, outstanding: u32, senders: u32) -> Self {
        let outstanding = u64::from(outstanding) * u64::from(senders) * MILLI;
        Self {
            milli_slots: reported_milli_slots.saturating_add(outstanding),
            open,
        }
    }

    /// Work per slot, in millionths; `None` if no slot is open.
    fn per_slot(&self) -> Option<u64> {
        let milli = self.milli_slots.saturating_mul(MILLI);
        milli.checked_div(u64::from(self.open))
    }
}

/// Index among `others` of the entry with the least work per slot; `None` if none has less than the
/// local entry.
pub fn least_occupied(local: &Occupancy, others: impl Iterator<Item = Occupancy>) -> Option<usize> {
    let (least, index) = others
        .enumerate()
        .filter_map(|(index, other)| Some((other.per_slot()?, index)))
        .min()?;
    local
        .per_slot()
        .is_none_or(|local| least < local)
        .then_some(index)
}

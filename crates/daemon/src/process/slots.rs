//! Use of one upstream's slots by this entry.
//!
//! An upstream's slots are divided between the region's entries (crate `share`). This entry may
//! use `full` of them while its lease holds and `floor` of them for a while after. All three
//! numbers are in one atomic word, because what goes wrong otherwise is this: control lowers the
//! allotment, reads the requests in flight, finds them within it and acknowledges; a traffic
//! thread that had read the old allotment just before then starts one more. Two entries use the
//! same slot, and the upstream queues. With one word the traffic thread's exchange fails and it
//! looks again.

use base::Now;
use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// Largest number of slots of one upstream that can be told.
pub(crate) const MAX_SLOTS: u32 = u16::MAX as u32;

/// Time up to which the lease allows the use of slots, written by control, read by all.
#[derive(Debug, Default)]
pub(crate) struct LeaseClock {
    full_until_us: AtomicU64,
    floor_until_us: AtomicU64,
}

/// What the lease allows at a moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Right {
    /// The whole allotment.
    Full,
    /// The part that nobody else gets until the long term has lapsed.
    Floor,
    /// Nothing.
    None,
}

impl LeaseClock {
    /// Sets both terms.
    pub(crate) fn set(&self, full_until: Now, floor_until: Now) {
        self.full_until_us
            .store(to_us(full_until), Ordering::Release);
        self.floor_until_us
            .store(to_us(floor_until), Ordering::Release);
    }

    /// Right at `now`.
    ///
    /// Asked immediately before each send: a process that was paused past its lease and wakes
    /// must not use slots that others hold by now. The clock runs on through a pause.
    pub(crate) fn right(&self, now: Now) -> Right {
        let now_us = to_us(now);
        if now_us < self.full_until_us.load(Ordering::Acquire) {
            Right::Full
        } else if now_us < self.floor_until_us.load(Ordering::Acquire) {
            Right::Floor
        } else {
            Right::None
        }
    }
}

fn to_us(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Allotment and use of one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Use {
    /// Slots that may be used while the lease holds.
    pub(crate) full: u16,
    /// Slots that may be used after the short term.
    pub(crate) floor: u16,
    /// Requests in flight.
    pub(crate) in_flight: u16,
}

impl Use {
    fn pack(self) -> u64 {
        u64::from(self.full) << 32 | u64::from(self.floor) << 16 | u64::from(self.in_flight)
    }

    fn unpack(word: u64) -> Self {
        let part = |shift: u32| u16::try_from(word >> shift & 0xffff).expect("masked to 16 bits");
        Self {
            full: part(32),
            floor: part(16),
            in_flight: part(0),
        }
    }

    /// Slots that may be used under `right`.
    pub(crate) fn usable(self, right: Right) -> u16 {
        match right {
            Right::Full => self.full,
            Right::Floor => self.floor.min(self.full),
            Right::None => 0,
        }
    }
}

/// The word itself.
#[derive(Debug, Default)]
pub(crate) struct Slots(AtomicU64);

impl Slots {
    /// Present allotment and use.
    pub(crate) fn get(&self) -> Use {
        Use::unpack(self.0.load(Ordering::Acquire))
    }

    /// Sets the allotment and returns the use at that very moment.
    pub(crate) fn allot(&self, full: u32, floor: u32) -> Use {
        let full = clamp(full);
        let floor = clamp(floor);
        let before = self.update(|now| Some(Use { full, floor, ..now }));
        Use {
            full,
            floor,
            ..before.expect("an allotment is always taken")
        }
    }

    /// Takes a slot if fewer than `limit` and fewer than `right` allows are in use.
    pub(crate) fn take(&self, right: Right, limit: u32) -> bool {
        self.update(|now| {
            let most = u32::from(now.usable(right)).min(limit);
            (u32::from(now.in_flight) < most).then(|| Use {
                in_flight: now.in_flight + 1,
                ..now
            })
        })
        .is_some()
    }

    /// Takes a slot whatever is allotted, up to what can be counted.
    pub(crate) fn take_unbound(&self) -> bool {
        self.update(|now| {
            let in_flight = now.in_flight.checked_add(1)?;
            Some(Use { in_flight, ..now })
        })
        .is_some()
    }

    /// Gives a taken slot back.
    pub(crate) fn give_back(&self) {
        self.update(|now| {
            debug_assert!(now.in_flight > 0, "A slot is given back once.");
            Some(Use {
                in_flight: now.in_flight.saturating_sub(1),
                ..now
            })
        });
    }

    /// Applies `change` atomically; returns the state before it, or `None` if there was none.
    fn update(&self, change: impl Fn(Use) -> Option<Use>) -> Option<Use> {
        self.0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                change(Use::unpack(word)).map(Use::pack)
            })
            .ok()
            .map(Use::unpack)
    }
}

fn clamp(slots: u32) -> u16 {
    u16::try_from(slots.min(MAX_SLOTS)).expect("bounded by MAX_SLOTS")
}

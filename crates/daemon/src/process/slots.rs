//! This entry's allotment and use of one upstream's slots.
//!
//! An upstream's slots are divided between the entries of the region (crate `share`). This entry
//! may use `full` of them until the short TTL of its lease lapses, then `floor` until the long TTL
//! lapses. Both and the requests in flight share one atomic word. Otherwise control could lower the
//! allotment, find the requests in flight within it and acknowledge, while a traffic thread that
//! read the old allotment just before starts one more: two entries use the same slot, and the
//! upstream queues. With one word, the traffic thread's compare-and-exchange fails and is retried.

use base::Now;
use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// Maximum number of slots of one upstream that can be represented.
pub(crate) const MAX_SLOTS: u32 = u16::MAX as u32;

/// Expiry of the lease on slots; written by control, read by all threads.
#[derive(Debug, Default)]
pub(crate) struct LeaseClock {
    full_until_us: AtomicU64,
    floor_until_us: AtomicU64,
}

/// What the lease allows at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Entitlement {
    /// The whole allotment.
    Full,
    /// The floor, which no other member can get before the long TTL lapses.
    Floor,
    /// Nothing.
    None,
}

impl LeaseClock {
    /// Sets the expiry of the short and the long TTL.
    pub(crate) fn set(&self, full_until: Now, floor_until: Now) {
        self.full_until_us
            .store(to_us(full_until), Ordering::Release);
        self.floor_until_us
            .store(to_us(floor_until), Ordering::Release);
    }

    /// Entitlement at `now`.
    ///
    /// Must be checked immediately before each send: a process that resumes after a pause longer
    /// than its lease must not use slots that others hold by now. The clock continues during a
    /// pause.
    pub(crate) fn entitlement(&self, now: Now) -> Entitlement {
        let now_us = to_us(now);
        if now_us < self.full_until_us.load(Ordering::Acquire) {
            Entitlement::Full
        } else if now_us < self.floor_until_us.load(Ordering::Acquire) {
            Entitlement::Floor
        } else {
            Entitlement::None
        }
    }
}

fn to_us(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Allotment and use of one upstream's slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct SlotUsage {
    /// Slots that may be used until the short TTL lapses.
    pub(crate) full: u16,
    /// Slots that may be used after the short TTL.
    pub(crate) floor: u16,
    /// Requests in flight.
    pub(crate) in_flight: u16,
}

impl SlotUsage {
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

    /// Slots that may be used under `entitlement`.
    pub(crate) fn usable(self, entitlement: Entitlement) -> u16 {
        match entitlement {
            Entitlement::Full => self.full,
            Entitlement::Floor => self.floor.min(self.full),
            Entitlement::None => 0,
        }
    }
}

/// A [`SlotUsage`] packed into one atomic word.
#[derive(Debug, Default)]
pub(crate) struct Slots(AtomicU64);

impl Slots {
    /// Current allotment and use.
    pub(crate) fn get(&self) -> SlotUsage {
        SlotUsage::unpack(self.0.load(Ordering::Acquire))
    }

    /// Sets the allotment and returns it with the use, read atomically.
    pub(crate) fn allot(&self, full: u32, floor: u32) -> SlotUsage {
        let full = clamp(full);
        let floor = clamp(floor);
        let previous = self.update(|current| {
            Some(SlotUsage {
                full,
                floor,
                ..current
            })
        });
        SlotUsage {
            full,
            floor,
            ..previous.expect("the update always returns a value")
        }
    }

    /// Acquires a slot if fewer than `limit`, and fewer than `entitlement` allows, are in use.
    pub(crate) fn try_acquire(&self, entitlement: Entitlement, limit: u32) -> bool {
        self.update(|current| {
            let max = u32::from(current.usable(entitlement)).min(limit);
            (u32::from(current.in_flight) < max).then(|| SlotUsage {
                in_flight: current.in_flight + 1,
                ..current
            })
        })
        .is_some()
    }

    /// Acquires a slot regardless of the allotment, up to the range of the counter.
    pub(crate) fn try_acquire_unbounded(&self) -> bool {
        self.update(|current| {
            let in_flight = current.in_flight.checked_add(1)?;
            Some(SlotUsage {
                in_flight,
                ..current
            })
        })
        .is_some()
    }

    /// Releases an acquired slot.
    pub(crate) fn release(&self) {
        self.update(|current| {
            debug_assert!(current.in_flight > 0, "A slot is released once.");
            Some(SlotUsage {
                in_flight: current.in_flight.saturating_sub(1),
                ..current
            })
        });
    }

    /// Applies `change` atomically; returns the previous state, or `None` if `change` declined.
    fn update(&self, change: impl Fn(SlotUsage) -> Option<SlotUsage>) -> Option<SlotUsage> {
        self.0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                change(SlotUsage::unpack(word)).map(SlotUsage::pack)
            })
            .ok()
            .map(SlotUsage::unpack)
    }
}

fn clamp(slots: u32) -> u16 {
    u16::try_from(slots.min(MAX_SLOTS)).expect("bounded by MAX_SLOTS")
}

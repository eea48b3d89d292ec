//! Intervals of following the store's tables, as parts of the time within which a change has to be in force.
//!
//! An entry that no longer hears from the readers has to read the store itself, early enough that a change which the
//! store acknowledged just after the last message is still in force in time. Readers therefore read several times within
//! that time, and the part that an entry waits for them leaves the rest for its own read. Leaves wait longer than their
//! hubs, which forward what they read, so that leaves call the store only if their hubs are lost.

use overlay::Overlay;
use std::time::Duration;

/// Minimum time between two calls for changes of one table, per entry of the deployment. Changes within this time are
/// batched into one answer; a first change is read at once, since a call is waiting for it.
///
/// Without batching, rows that are written one after the other, such as those of upstreams that start or are replaced,
/// each end a call of every entry, and each call puts load on the store. So the time grows with the number of entries:
/// up to eighty entries together make a hundred calls per second for a table, a twentieth of the two thousand reads
/// per second that the smallest store sustains.
const BATCH_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(10);
/// Lower bound of the batch interval.
const BATCH_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Upper bound of the batch interval, in percent of the time for a change.
const BATCH_INTERVAL_MAX_PCT: u32 = 20;
/// Wait of a call of the first reader, in percent of the time for a change.
const CHANGES_WAIT_PCT: u32 = 25;
/// Wait of a call of a reader while a reader before it forwards, in percent of the time for a change.
const BACKUP_CHANGES_WAIT_PCT: u32 = 50;
/// Minimum time between keep-alives of a hub to its leaves, in percent of the time for a change.
const KEEP_ALIVE_PCT: u32 = 12;
/// Age at which a hub reads a table itself, in percent of the time for a change.
const HUB_AGE_MAX_PCT: u32 = 55;
/// Age at which a leaf reads a table itself, in percent of the time for a change.
const LEAF_AGE_MAX_PCT: u32 = 65;

/// Intervals that follow from the time within which a change has to be in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct FeedTiming {
    change_within: Duration,
}

impl FeedTiming {
    pub(super) fn new(change_within: Duration) -> Self {
        Self { change_within }
    }

    /// Returns the maximum time that a call of the first reader waits for changes. Each call puts load on the store, but
    /// readers whose calls get no answer go unnoticed for this long.
    pub(super) fn changes_wait(self) -> Duration {
        self.part(CHANGES_WAIT_PCT)
    }

    /// Returns the maximum time that a call of a reader waits for changes while a reader before it forwards them.
    pub(super) fn backup_changes_wait(self) -> Duration {
        self.part(BACKUP_CHANGES_WAIT_PCT)
    }

    /// Returns the minimum time between keep-alives of a hub to its leaves for an unchanged table.
    pub(super) fn keep_alive_interval(self) -> Duration {
        self.part(KEEP_ALIVE_PCT)
    }

    /// Returns the age of a table at which an entry calls the store itself.
    pub(super) fn age_max(self, is_hub: bool) -> Duration {
        self.part(if is_hub {
            HUB_AGE_MAX_PCT
        } else {
            LEAF_AGE_MAX_PCT
        })
    }

    /// Returns the minimum time between two calls for changes. It depends on the number of all entries, since all of them
    /// call the store if their hubs are lost.
    pub(super) fn batch_interval(self, overlay: &Overlay) -> Duration {
        let entries = overlay.sender_count().unwrap_or(1);
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let interval = BATCH_INTERVAL_PER_ENTRY.saturating_mul(entries);
        let longest = self.part(BATCH_INTERVAL_MAX_PCT).max(BATCH_INTERVAL_MIN);
        interval.clamp(BATCH_INTERVAL_MIN, longest)
    }

    fn part(self, pct: u32) -> Duration {
        self.change_within * pct / 100
    }
}

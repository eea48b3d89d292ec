//! Age of this entry's routes, shared by the control and traffic threads.

use crate::clock::millis;
use base::Now;
use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration,
};

/// Age from which routes may be outdated. While an entry reads the store, or hears from one that does, the age stays
/// within a call that waits for changes.
const STALE_AGE: Duration = Duration::from_secs(4);

/// Time of the last read of the store, by this entry or another one, that showed these routes to be the newest.
#[derive(Debug, Default)]
pub(crate) struct RoutesFreshness {
    read_ms: AtomicU64,
}

impl RoutesFreshness {
    /// Records that a read `age` ago showed the routes to be the newest. An earlier read than the last one is ignored.
    pub(crate) fn note_read(&self, age: Duration, now: Now) {
        let read_ms = millis(now.saturating_sub(age));
        self.read_ms.fetch_max(read_ms, Ordering::AcqRel);
    }

    /// Returns the time since the last read.
    pub(crate) fn age(&self, now: Now) -> Duration {
        let read = Duration::from_millis(self.read_ms.load(Ordering::Acquire));
        now.saturating_sub(read)
    }

    /// Returns whether the routes may be outdated, so that what they lack may exist.
    pub(crate) fn is_stale(&self, now: Now) -> bool {
        self.age(now) >= STALE_AGE
    }
}

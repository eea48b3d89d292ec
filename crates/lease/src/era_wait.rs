//! Wait before claims in a store that was restored from an older copy.

use base::Now;
use std::time::Duration;

/// Number of times that the store was restored.
pub type Era = u64;

/// Delays claims after the store was restored.
///
/// The copy lacks the leases that were granted after it was made. Their holders use them until they expire, so nobody
/// may claim a lease before that. A process that starts after a restore doesn't know when that was: it waits as well,
/// unless the store has a record, written by another entry in this era, that the wait is over.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraWait {
    era: Option<Era>,
    seen_at: Now,
    settled: bool,
}

impl EraWait {
    /// Records the era of the store's last answer; `None` if the store states none.
    pub fn observe(&mut self, era: Option<Era>, now: Now) {
        if era > self.era {
            self.era = era;
            self.seen_at = now;
            self.settled = false;
        }
    }

    /// Records that the store has a record which says that the wait in `era` is over.
    pub fn settle(&mut self, era: Era) {
        self.settled |= self.era == Some(era);
    }

    /// Returns whether leases may be claimed; `wait` is the time for which a lease of the era before may be used.
    pub fn is_over(&self, wait: Duration, now: Now) -> bool {
        self.era.is_none() || self.settled || now >= self.seen_at + wait
    }

    /// Returns the era to record as settled, if the store has no record of it and the wait is over.
    pub fn unrecorded(&self, wait: Duration, now: Now) -> Option<Era> {
        self.era
            .filter(|_| !self.settled && self.is_over(wait, now))
    }

    /// Returns the newest era that was observed.
    pub fn era(&self) -> Option<Era> {
        self.era
    }
}

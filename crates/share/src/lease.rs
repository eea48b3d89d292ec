//! Leases from both ends: the holder's own, and what an observer may conclude from another's.
//!
//! The holder counts from before its renewal left, the observer from after it saw it, so the
//! observer's count ends later. One thing is left to go wrong: a renewal that the table takes after
//! the observer's last look. So a lapse counts only with a read that started after it and still found
//! the old lease. A renewal after that read reaches the table after the holder's own count ended,
//! and the holder knows from its own clock that its chain of renewals is broken.

use crate::terms::{
    Guards,
    Terms, //
};
use base::Now;

/// Last renewal that the platform confirmed to its holder.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct OwnLease {
    /// Its sequence number.
    pub(crate) seq: u64,
    /// From when it counts.
    pub(crate) since: Now,
    /// First sequence number from which on no renewal came too late.
    pub(crate) chain_seq: u64,
}

impl OwnLease {
    /// Lease after a renewal; `previous` decides whether the chain goes on at `now`.
    pub(crate) fn renewed(
        previous: Option<Self>,
        (seq, since): (u64, Now),
        now: Now,
        terms: &Terms,
        guards: &Guards,
    ) -> Self {
        let unbroken = previous.filter(|old| now < old.short_end(terms) || !guards.broken_chain);
        Self {
            seq,
            since,
            chain_seq: unbroken.map_or(seq, |old| old.chain_seq),
        }
    }

    /// End of the short term, exclusive.
    pub(crate) fn short_end(&self, terms: &Terms) -> Now {
        self.since + terms.short_ttl
    }

    /// End of the long term, exclusive.
    pub(crate) fn long_end(&self, terms: &Terms) -> Now {
        self.since + terms.long_ttl
    }
}

/// Another member's lease as seen from here.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct SeenLease {
    /// Highest sequence number seen.
    pub(crate) seq: u64,
    /// When it was first seen.
    first_seen: Now,
    /// Start of the last read that still found it.
    confirmed: Now,
}

impl SeenLease {
    /// First sight of lease `seq`.
    pub(crate) fn new(seq: u64, now: Now) -> Self {
        Self {
            seq,
            first_seen: now,
            confirmed: now,
        }
    }

    /// Notes that a read of the table which started at `read_at` found this lease.
    pub(crate) fn confirm(&mut self, read_at: Now) {
        self.confirmed = self.confirmed.max(read_at);
    }

    /// Whether the holder has by its own clock been past the short term.
    pub(crate) fn short_lapsed(&self, now: Now, terms: &Terms, guards: &Guards) -> bool {
        self.lapsed(
            terms.with_drift(terms.short_ttl, guards),
            now,
            terms,
            guards,
        )
    }

    /// Whether the holder has by its own clock been past the long term.
    pub(crate) fn long_lapsed(&self, now: Now, terms: &Terms, guards: &Guards) -> bool {
        self.lapsed(terms.with_drift(terms.long_ttl, guards), now, terms, guards)
    }

    fn lapsed(&self, ttl: Now, now: Now, terms: &Terms, guards: &Guards) -> bool {
        let end = self.first_seen + ttl + terms.outliving(guards);
        let at = if guards.confirm_read {
            self.confirmed
        } else {
            now
        };
        at >= end
    }
}

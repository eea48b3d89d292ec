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

/// Stands for the last lease of a member whose instance has begun a new life.
///
/// Its number is unknown: it may have been renewed after the last look and before the new life began.
pub(crate) const REPLACED: u64 = u64::MAX;

/// Another member's lease as seen from here.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct SeenLease {
    /// Highest sequence number seen.
    pub(crate) seq: u64,
    /// When it was first seen.
    first_seen: Now,
    /// What a read that started after the term showed.
    confirmed: Lapse,
}

/// How far a lease has lapsed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Lapse {
    /// It may protect everything.
    Alive,
    /// The short term has passed.
    Short,
    /// The long term has passed.
    Long,
}

impl SeenLease {
    /// First sight of lease `seq`.
    pub(crate) fn new(seq: u64, now: Now) -> Self {
        Self {
            seq,
            first_seen: now,
            confirmed: Lapse::Alive,
        }
    }

    /// Notes that a read of the table which started at `read_at` found this lease.
    pub(crate) fn confirm(&mut self, read_at: Now, terms: &Terms, guards: &Guards) {
        self.confirmed = self.confirmed.max(self.lapse_at(read_at, terms, guards));
    }

    /// Whether the holder has by its own clock been past the short term.
    pub(crate) fn short_lapsed(&self, now: Now, terms: &Terms, guards: &Guards) -> bool {
        self.known_lapse(now, terms, guards) >= Lapse::Short
    }

    /// Whether the holder has by its own clock been past the long term.
    pub(crate) fn long_lapsed(&self, now: Now, terms: &Terms, guards: &Guards) -> bool {
        self.known_lapse(now, terms, guards) == Lapse::Long
    }

    fn known_lapse(&self, now: Now, terms: &Terms, guards: &Guards) -> Lapse {
        let may_be_renewed = self.seq != REPLACED;
        if may_be_renewed && guards.confirm_read {
            self.confirmed
        } else {
            self.lapse_at(now, terms, guards)
        }
    }

    /// How far a lease that nobody renews has lapsed at `at`.
    fn lapse_at(&self, at: Now, terms: &Terms, guards: &Guards) -> Lapse {
        let ended = |ttl| {
            let end = self.first_seen + terms.with_drift(ttl, guards) + terms.outliving(guards);
            at >= end
        };
        if ended(terms.long_ttl) {
            Lapse::Long
        } else if ended(terms.short_ttl) {
            Lapse::Short
        } else {
            Lapse::Alive
        }
    }
}

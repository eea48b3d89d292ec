//! Leases as the holder counts its own, and as observers judge those of others.
//!
//! The holder counts from before it sent the renewal, the observer from after it saw it, so the
//! observer's count ends later. One gap remains: the table may apply a renewal after the observer's
//! last read. So a lapse is conclusive only with a read that started after it and still found the
//! old lease. A renewal that is applied after that read comes after the end of the holder's own
//! count, and the holder knows by its own clock that its chain of renewals is broken.

use crate::terms::{
    Guards,
    Terms, //
};
use base::Now;

/// Last renewal that the platform confirmed to the holder.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct OwnLease {
    /// Sequence number.
    pub(crate) seq: u64,
    /// Start of the TTLs.
    pub(crate) since: Now,
    /// First sequence number since which no renewal came too late.
    pub(crate) chain_seq: u64,
}

impl OwnLease {
    /// Returns the lease after a renewal; `previous` determines whether the chain continues at
    /// `now`.
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

    /// Returns the end of the short TTL, exclusive.
    pub(crate) fn short_end(&self, terms: &Terms) -> Now {
        self.since + terms.short_ttl
    }

    /// Returns the end of the long TTL, exclusive.
    pub(crate) fn long_end(&self, terms: &Terms) -> Now {
        self.since + terms.long_ttl
    }
}

/// Stands for the last lease of a member whose instance has a newer incarnation.
///
/// Its sequence number is unknown: it may have been renewed between the last read and the start of
/// the newer incarnation.
pub(crate) const SUPERSEDED: u64 = u64::MAX;

/// Another member's lease as observed here.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct ObservedLease {
    /// Highest sequence number seen.
    pub(crate) seq: u64,
    /// When that number was first seen.
    first_seen: Now,
    /// State that a read of the table confirmed, by the time at which the read started.
    confirmed_state: LeaseState,
}

/// State of a lease; a later state is greater.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum LeaseState {
    /// Within the short TTL; may protect the whole allotment.
    Valid,
    /// Past the short TTL.
    Lapsed,
    /// Past the long TTL.
    Expired,
}

impl ObservedLease {
    /// Creates the record of lease `seq`, first seen at `now`.
    pub(crate) fn new(seq: u64, now: Now) -> Self {
        Self {
            seq,
            first_seen: now,
            confirmed_state: LeaseState::Valid,
        }
    }

    /// Records that a read of the table, which started at `read_at`, found this lease.
    pub(crate) fn confirm(&mut self, read_at: Now, terms: &Terms, guards: &Guards) {
        self.confirmed_state = self
            .confirmed_state
            .max(self.state_at(read_at, terms, guards));
    }

    /// Returns whether the holder is past the short TTL by its own clock.
    pub(crate) fn has_lapsed(&self, now: Now, terms: &Terms, guards: &Guards) -> bool {
        self.known_state(now, terms, guards) >= LeaseState::Lapsed
    }

    /// Returns whether the holder is past the long TTL by its own clock.
    pub(crate) fn has_expired(&self, now: Now, terms: &Terms, guards: &Guards) -> bool {
        self.known_state(now, terms, guards) == LeaseState::Expired
    }

    fn known_state(&self, now: Now, terms: &Terms, guards: &Guards) -> LeaseState {
        let may_be_renewed = self.seq != SUPERSEDED;
        if may_be_renewed && guards.confirm_read {
            self.confirmed_state
        } else {
            self.state_at(now, terms, guards)
        }
    }

    /// Returns the state at `at` of a lease that is not renewed.
    fn state_at(&self, at: Now, terms: &Terms, guards: &Guards) -> LeaseState {
        let ended = |ttl| {
            let end =
                self.first_seen + terms.with_drift(ttl, guards) + terms.grace_allowance(guards);
            at >= end
        };
        if ended(terms.long_ttl) {
            LeaseState::Expired
        } else if ended(terms.short_ttl) {
            LeaseState::Lapsed
        } else {
            LeaseState::Valid
        }
    }
}

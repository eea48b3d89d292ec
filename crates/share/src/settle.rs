//! When an epoch is settled here, and what protects a surplus.
//!
//! Adopting an epoch lowers at once and raises nothing. It is settled once each other member of the
//! row can no longer use more than its allotment of the row. One of four facts shows that:
//!
//! - It acknowledged this very epoch. An acknowledgement of another says nothing: the epochs differ in
//!   who gave way.
//! - It released everything.
//! - The long term of its lease has passed.
//! - The short term has passed, its allotment covers every floor it may still use, and a *witness*
//!   shows that no promises keep it: a member of every row the lapsed one may be at, which owes it
//!   nothing and knows no newer lease of it. A member that joined later can't be one. Two that were
//!   cut off together hold each other's promises, and the later one's was never asked for.

use crate::{
    lease::OwnLease,
    member::Member,
    row::{
        amount,
        within,
        MemberId,
        Row,
        RowMember, //
    },
};
use base::Now;

impl Member {
    /// Holds the whole allotment, if nobody else may use any of it.
    pub(crate) fn try_settle(&mut self, now: Now) {
        if self.settled || self.dead || self.leaving || now >= self.protected_until() {
            return;
        }
        let Some(row) = &self.row else {
            return;
        };
        let Some(entry) = row.members.get(&self.me) else {
            return;
        };
        let waits = self.guards.wait_for_acks;
        let others = || row.members.iter().filter(|(id, _)| **id != self.me);
        if waits && !others().all(|(id, other)| self.gave_way(row, id, other, now)) {
            return;
        }
        let mut held = entry.allot.clone();
        for (resource, net) in &self.net {
            let tokens = i64::from(amount(&held, resource)) + net;
            // Tokens given away were held, so the balance never goes below nothing.
            held.insert(resource.clone(), u32::try_from(tokens).unwrap_or(0));
        }
        held.retain(|_, n| *n > 0);
        self.held = held;
        self.settled = true;
    }

    /// Whether `id` can no longer use more than its allotment of `row`.
    fn gave_way(&self, row: &Row, id: &MemberId, entry: &RowMember, now: Now) -> bool {
        let acked = self.peers.get(id).is_some_and(|peer| {
            let exact = peer.epoch == row.epoch || !self.guards.exact_ack;
            peer.released || (peer.acked && exact)
        });
        acked || self.lapsed_for_good(id, entry, now) || self.surplus_lapsed(row, id, entry, now)
    }

    /// Whether `id` is past the long term by its own clock.
    pub(crate) fn lapsed_for_good(&self, id: &MemberId, entry: &RowMember, now: Now) -> bool {
        self.leases.get(id).is_some_and(|lease| {
            self.counts(lease.seq, entry) && lease.long_lapsed(now, &self.terms, &self.guards)
        })
    }

    /// Whether `id` can use no more than its floors, and these are within its allotment.
    fn surplus_lapsed(&self, row: &Row, id: &MemberId, entry: &RowMember, now: Now) -> bool {
        let Some(lease) = self.leases.get(id) else {
            return false;
        };
        let covered = !self.guards.floor_bound || within(&entry.bound, &entry.allot);
        covered
            && self.counts(lease.seq, entry)
            && lease.short_lapsed(now, &self.terms, &self.guards)
            && self.has_witness(row, id, lease.seq, now)
    }

    /// Whether a lapse of lease `seq` says anything at a row that lists `entry`.
    ///
    /// A member that came back under a newer lease may have settled a row in between. That row lists
    /// the newer lease, as does each after it.
    fn counts(&self, seq: u64, entry: &RowMember) -> bool {
        seq >= entry.lease_seq || !self.guards.listed_lease
    }

    /// Whether somebody shows that no promises keep the surplus of `lapsed`.
    fn has_witness(&self, row: &Row, lapsed: &MemberId, seq: u64, now: Now) -> bool {
        let adopted = row.members.get(lapsed).map_or(0, |entry| entry.adopted);
        row.members.iter().any(|(id, entry)| {
            let stayed = entry.since <= adopted || !self.guards.witness_since;
            id != lapsed && stayed && self.vouches(row, id, lapsed, seq, now)
        })
    }

    /// Whether `id` is at this epoch and owed `lapsed` no promise there.
    fn vouches(&self, row: &Row, id: &MemberId, lapsed: &MemberId, seq: u64, now: Now) -> bool {
        if *id == self.me {
            return !self.owed.owes(lapsed, now) || !self.guards.promise_kept;
        }
        self.peers.get(id).is_some_and(|peer| {
            let knew = peer.vouches.get(lapsed);
            peer.epoch == row.epoch && knew.is_some_and(|knew| *knew <= seq)
        })
    }

    /// End of what the lease or the promises of all others protect, exclusive.
    pub(crate) fn protected_until(&self) -> Now {
        let Some(lease) = self.lease else {
            return Now::ZERO;
        };
        let by_lease = self.lease_protects_until().unwrap_or_default();
        let by_promises = self.promised_until(&lease);
        by_lease.max(by_promises).min(lease.long_end(&self.terms))
    }

    /// End of the short term, if the lease protects the surplus of this epoch.
    ///
    /// After a lapse a renewed lease does so only when all who could take the surplus know of it: by
    /// the row, or each at this epoch by its own word.
    pub(crate) fn lease_protects_until(&self) -> Option<Now> {
        let lease = self.lease?;
        let row = self.row.as_ref()?;
        let entry = row.members.get(&self.me)?;
        let known = |id: &MemberId| {
            self.peers
                .get(id)
                .is_some_and(|peer| peer.epoch == row.epoch && peer.seen_mine >= lease.chain_seq)
        };
        let listed = entry.lease_seq >= lease.chain_seq || !self.guards.broken_chain;
        let all_know = || row.members.keys().all(|id| *id == self.me || known(id));
        (listed || all_know()).then(|| lease.short_end(&self.terms))
    }

    /// Whether the lease is alive but nothing protects the surplus.
    ///
    /// While promises do, no row is needed: the others hear of the lease with the next beats, and a
    /// new epoch would cost the surplus until it is settled.
    pub(crate) fn waits_to_be_listed(&self, now: Now) -> bool {
        let alive = |lease: OwnLease| now < lease.short_end(&self.terms);
        self.lease.is_some_and(alive) && now >= self.protected_until()
    }

    /// Earliest end of the promises of all others in the row.
    fn promised_until(&self, lease: &OwnLease) -> Now {
        let Some(row) = &self.row else {
            return Now::ZERO;
        };
        let others = row.members.keys().filter(|id| **id != self.me);
        let promise = |id| {
            self.peers
                .get(id)
                .map_or(Now::ZERO, |peer| peer.promise_until)
        };
        others
            .map(promise)
            .min()
            .unwrap_or_else(|| lease.long_end(&self.terms))
    }
}

//! When an epoch is settled here, and what protects the surplus over the floor.
//!
//! Adopting an epoch reduces what is held at once and increases nothing. The epoch is settled once
//! each other member of the row can no longer use more than its allotment. One of four facts shows
//! that of a member:
//!
//! - It acknowledged this very epoch. An acknowledgement of another epoch is not enough, since the
//!   members whose allotments shrink differ from epoch to epoch.
//! - It released everything.
//! - The long TTL of its lease has passed.
//! - The short TTL has passed, its allotment covers every floor that it may still use, and a
//!   *witness* shows that promises don't protect its surplus. A witness is a member of every row
//!   that the lapsed member may be at, has no promise to it and knows no newer lease of it. A
//!   member that joined later can't be a witness: two members that were cut off together hold each
//!   other's promises and never asked the later one for any.

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
    /// Raises what is held to the whole allotment, if no other member may use any of it.
    pub(crate) fn try_settle(&mut self, now: Now) {
        if self.settled || self.dead || self.leaving || now >= self.protected_until() {
            return;
        }
        let Some(row) = &self.row else {
            return;
        };
        let Some(entry) = row.members.get(&self.own_id) else {
            return;
        };
        let wait_for_acks = self.guards.wait_for_acks;
        let others = || row.members.iter().filter(|(id, _)| **id != self.own_id);
        if wait_for_acks
            && !others().all(|(id, other)| self.is_within_allotment(row, id, other, now))
        {
            return;
        }
        let mut held = entry.allot.clone();
        for (resource, net) in &self.net_received {
            let tokens = i64::from(amount(&held, resource)) + net;
            // Tokens given away were held before, so the sum is never negative.
            held.insert(resource.clone(), u32::try_from(tokens).unwrap_or(0));
        }
        held.retain(|_, n| *n > 0);
        self.held = held;
        self.settled = true;
    }

    /// Returns whether `id` can no longer use more than its allotment of `row`.
    fn is_within_allotment(&self, row: &Row, id: &MemberId, entry: &RowMember, now: Now) -> bool {
        let acked = self.peers.get(id).is_some_and(|peer| {
            let acks_epoch = peer.epoch == row.epoch || !self.guards.exact_ack;
            peer.released || (peer.acked && acks_epoch)
        });
        acked || self.is_expired(id, entry, now) || self.is_limited_to_floor(row, id, entry, now)
    }

    /// Returns whether `id` is past the long TTL by its own clock.
    pub(crate) fn is_expired(&self, id: &MemberId, entry: &RowMember, now: Now) -> bool {
        self.observed_leases.get(id).is_some_and(|lease| {
            self.is_lapse_conclusive(lease.seq, entry)
                && lease.has_expired(now, &self.terms, &self.guards)
        })
    }

    /// Returns whether `id` can use no more than its floors, and its allotment covers these.
    fn is_limited_to_floor(&self, row: &Row, id: &MemberId, entry: &RowMember, now: Now) -> bool {
        let Some(lease) = self.observed_leases.get(id) else {
            return false;
        };
        let covered = !self.guards.floor_bound || within(&entry.bound, &entry.allot);
        covered
            && self.is_lapse_conclusive(lease.seq, entry)
            && lease.has_lapsed(now, &self.terms, &self.guards)
            && self.has_witness(row, id, lease.seq, now)
    }

    /// Returns whether a lapse of lease `seq` is conclusive at a row that lists `entry`.
    ///
    /// A member that came back with a newer lease may have settled a row in between. That row and
    /// each later one list the newer lease.
    fn is_lapse_conclusive(&self, seq: u64, entry: &RowMember) -> bool {
        seq >= entry.lease_seq || !self.guards.listed_lease
    }

    /// Returns whether a witness shows that promises don't protect the surplus of `lapsed`.
    fn has_witness(&self, row: &Row, lapsed: &MemberId, seq: u64, now: Now) -> bool {
        let adopted = row.members.get(lapsed).map_or(0, |entry| entry.adopted);
        row.members.iter().any(|(id, entry)| {
            let listed_throughout = entry.since <= adopted || !self.guards.witness_since;
            id != lapsed && listed_throughout && self.attests_lapse(row, id, lapsed, seq, now)
        })
    }

    /// Returns whether `id` is at this epoch and had no promise to `lapsed` there.
    fn attests_lapse(
        &self,
        row: &Row,
        id: &MemberId,
        lapsed: &MemberId,
        seq: u64,
        now: Now,
    ) -> bool {
        if *id == self.own_id {
            return !self.promises_made.covers(lapsed, now) || !self.guards.promise_kept;
        }
        self.peers.get(id).is_some_and(|peer| {
            let known_seq = peer.attested_leases.get(lapsed);
            peer.epoch == row.epoch && known_seq.is_some_and(|known_seq| *known_seq <= seq)
        })
    }

    /// Returns the end of the protection by the lease or by the promises of all others, exclusive.
    pub(crate) fn protected_until(&self) -> Now {
        let Some(lease) = self.lease else {
            return Now::ZERO;
        };
        let by_lease = self.lease_protects_until().unwrap_or_default();
        let by_promises = self.promised_until(&lease);
        by_lease.max(by_promises).min(lease.long_end(&self.terms))
    }

    /// Returns the end of the short TTL, if the lease protects the surplus of this epoch.
    ///
    /// A lease renewed after a lapse does so only when every member that could reclaim the surplus
    /// knows it: by the row, or by its own heartbeat at this epoch.
    pub(crate) fn lease_protects_until(&self) -> Option<Now> {
        let lease = self.lease?;
        let row = self.row.as_ref()?;
        let entry = row.members.get(&self.own_id)?;
        let known = |id: &MemberId| {
            self.peers.get(id).is_some_and(|peer| {
                peer.epoch == row.epoch && peer.own_lease_seen >= lease.chain_seq
            })
        };
        let listed = entry.lease_seq >= lease.chain_seq || !self.guards.broken_chain;
        let all_know = || row.members.keys().all(|id| *id == self.own_id || known(id));
        (listed || all_know()).then(|| lease.short_end(&self.terms))
    }

    /// Returns whether the lease is valid but nothing protects the surplus.
    ///
    /// While promises protect it, no row is needed: the others learn of the lease with the next
    /// heartbeats, and a new epoch would take the surplus away until it is settled.
    pub(crate) fn is_unlisted(&self, now: Now) -> bool {
        let lease_valid = |lease: OwnLease| now < lease.short_end(&self.terms);
        self.lease.is_some_and(lease_valid) && now >= self.protected_until()
    }

    /// Returns the earliest end of the promises of all others in the row.
    fn promised_until(&self, lease: &OwnLease) -> Now {
        let Some(row) = &self.row else {
            return Now::ZERO;
        };
        let others = row.members.keys().filter(|id| **id != self.own_id);
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

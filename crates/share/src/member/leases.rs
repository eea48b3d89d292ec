//! Leases that a member knows: its own from the platform, others' from the table and from
//! heartbeats.

use crate::{
    lease::{
        ObservedLease,
        OwnLease,
        SUPERSEDED, //
    },
    member::Member,
    row::MemberId, //
};
use base::Now;
use std::collections::BTreeMap;

impl Member {
    /// Records a renewal of this member's lease that the platform confirmed.
    ///
    /// `sent_at` is the clock's reading before the renewal was sent: the table may have applied it
    /// at any moment since, and observers may count from that early.
    pub fn set_lease(&mut self, seq: u64, sent_at: Now, now: Now) {
        self.advance(now);
        if self.dead || self.lease.is_some_and(|lease| seq <= lease.seq) {
            return;
        }
        let since = if self.guards.lease_from_send {
            sent_at
        } else {
            now
        };
        let renewal = (seq, since);
        let lease = OwnLease::renewed(self.lease, renewal, now, &self.terms, &self.guards);
        self.lease = Some(lease);
        self.try_settle(now);
    }

    /// Records that a read of the table, which started at `read_at`, found `member` at lease `seq`.
    ///
    /// The table has one lease per instance. A lease of a higher incarnation shows that earlier
    /// ones can't be renewed any more; their TTLs count from when this was first seen.
    pub fn observe_lease(&mut self, member: &MemberId, seq: u64, read_at: Now, now: Now) {
        self.advance(now);
        if *member == self.own_id {
            return;
        }
        self.record_lease(member, seq, now);
        self.confirm_lease(member, seq, read_at);
        self.observe_next_incarnation(member, read_at, now);
        self.try_settle(now);
    }

    /// Records that `member` holds its instance's lease, so that no earlier incarnation can renew
    /// its own.
    pub(super) fn observe_next_incarnation(&mut self, member: &MemberId, read_at: Now, now: Now) {
        for earlier in self.earlier_incarnations(member) {
            if self.guards.superseded_from_first_seen {
                self.record_lease(&earlier, SUPERSEDED, now);
            } else {
                let last = self
                    .observed_leases
                    .get(&earlier)
                    .map_or(SUPERSEDED, |lease| lease.seq);
                self.confirm_lease(&earlier, last, read_at);
            }
        }
    }

    fn confirm_lease(&mut self, member: &MemberId, seq: u64, read_at: Now) {
        if let Some(lease) = self.observed_leases.get_mut(member) {
            if lease.seq == seq {
                lease.confirm(read_at, &self.terms, &self.guards);
            }
        }
    }

    /// Returns the members of the row that are earlier incarnations of the instance of `member`.
    fn earlier_incarnations(&self, member: &MemberId) -> Vec<MemberId> {
        let listed = self.row.iter().flat_map(|row| row.members.keys());
        let earlier =
            |id: &&MemberId| id.instance == member.instance && id.incarnation < member.incarnation;
        listed.filter(earlier).cloned().collect()
    }

    pub(super) fn record_lease(&mut self, member: &MemberId, seq: u64, now: Now) {
        if seq == 0 {
            return;
        }
        let newer = self
            .observed_leases
            .get(member)
            .is_none_or(|lease| lease.seq < seq);
        if newer {
            let lease = ObservedLease::new(seq, now);
            self.observed_leases.insert(member.clone(), lease);
        }
    }

    /// Returns the highest known lease of each member.
    pub(super) fn known_leases(&self) -> BTreeMap<MemberId, u64> {
        self.observed_leases
            .iter()
            .map(|(member, lease)| (member.clone(), lease.seq))
            .collect()
    }
}

//! What a member learns of leases: its own from the platform, others' from the table and from beats.

use crate::{
    lease::{
        OwnLease,
        SeenLease,
        REPLACED, //
    },
    member::Member,
    row::MemberId, //
};
use base::Now;
use std::collections::BTreeMap;

impl Member {
    /// Notes a renewal of the own lease that the platform confirmed.
    ///
    /// `sent_at` is read from the clock before the renewal left: the table may have taken it at any
    /// moment since, and observers count from as early as that.
    pub fn set_lease(&mut self, seq: u64, sent_at: Now, now: Now) {
        self.touch(now);
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

    /// Notes that a read of the table which started at `read_at` found `member` at lease `seq`.
    ///
    /// The table has one lease an instance. One of a higher incarnation shows that those before can't
    /// be renewed any more; they lapse counted from the first sight of that.
    pub fn observe_lease(&mut self, member: &MemberId, seq: u64, read_at: Now, now: Now) {
        self.touch(now);
        if *member == self.me {
            return;
        }
        self.see_lease(member, seq, now);
        self.confirm_lease(member, seq, read_at);
        self.see_next_life(member, read_at, now);
        self.try_settle(now);
    }

    /// Notes that `member` holds its instance's lease: no earlier life can renew any more.
    pub(super) fn see_next_life(&mut self, member: &MemberId, read_at: Now, now: Now) {
        for earlier in self.earlier_lives(member) {
            if self.guards.replaced_from_sight {
                self.see_lease(&earlier, REPLACED, now);
            } else {
                let last = self
                    .leases
                    .get(&earlier)
                    .map_or(REPLACED, |lease| lease.seq);
                self.confirm_lease(&earlier, last, read_at);
            }
        }
    }

    fn confirm_lease(&mut self, member: &MemberId, seq: u64, read_at: Now) {
        if let Some(lease) = self.leases.get_mut(member) {
            if lease.seq == seq {
                lease.confirm(read_at, &self.terms, &self.guards);
            }
        }
    }

    /// Members of the row that are an earlier life of the instance of `member`.
    fn earlier_lives(&self, member: &MemberId) -> Vec<MemberId> {
        let listed = self.row.iter().flat_map(|row| row.members.keys());
        let earlier =
            |id: &&MemberId| id.instance == member.instance && id.incarnation < member.incarnation;
        listed.filter(earlier).cloned().collect()
    }

    pub(super) fn see_lease(&mut self, member: &MemberId, seq: u64, now: Now) {
        if seq == 0 {
            return;
        }
        let newer = self.leases.get(member).is_none_or(|lease| lease.seq < seq);
        if newer {
            let lease = SeenLease::new(seq, now);
            self.leases.insert(member.clone(), lease);
        }
    }

    /// Highest lease that is known of each member.
    pub(super) fn seen(&self) -> BTreeMap<MemberId, u64> {
        self.leases
            .iter()
            .map(|(member, lease)| (member.clone(), lease.seq))
            .collect()
    }
}

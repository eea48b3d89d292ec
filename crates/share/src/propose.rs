//! When a member proposes the next row, and in which order members propose.

use crate::{
    member::Member,
    message::Action,
    plan::{
        plan,
        PlanMember,
        PlanState, //
    },
    row::{
        amount,
        total,
        MemberId,
        Row, //
    },
};
use base::Now;
use std::collections::BTreeMap;

impl Member {
    /// Returns the proposal of the next row, if one is needed and it is this member's turn.
    pub(crate) fn proposal(&mut self, now: Now) -> Option<Action> {
        let row = self.wanted_row(now);
        if row.is_none() {
            self.wanted_since = None;
        }
        let row = row?;
        let since = self.wanted_since.unwrap_or(now);
        if now < since + self.terms.propose_step * self.rank(&row) {
            self.wanted_since = Some(since);
            return None;
        }
        // The next attempt waits a whole round: for the result of this one or another member's
        // turn.
        let members = u32::try_from(row.members.len()).unwrap_or(u32::MAX);
        let round = self.terms.propose_step * members;
        self.wanted_since = (!round.is_zero()).then(|| now + round);
        let expect_epoch = self.row.as_ref().map(|row| row.epoch);
        Some(Action::Propose { expect_epoch, row })
    }

    fn wanted_row(&self, now: Now) -> Option<Row> {
        let lease_valid = self
            .lease
            .is_some_and(|lease| now < lease.short_end(&self.terms));
        if !lease_valid || self.dead || !(self.row.is_some() || self.row_absent) {
            return None;
        }
        let capacity = self.capacity.as_ref()?;
        let members = self.plan_members(now);
        let next = plan(self.row.as_deref(), capacity, &members, &self.terms);
        let Some(row) = &self.row else {
            return Some(next);
        };
        let needed = capacity_fell(row, &next)
            || self.members_differ(row, &next)
            || self.lapsed_allotment_shrinks(row, &next, &members)
            || self.has_unlisted_lease(row, &next, now);
        let interval_elapsed = now >= self.adopted_at + self.terms.rebalance_every;
        let improves = row.resources != next.resources || demand_moved(row, &next, &members);
        (needed || (interval_elapsed && improves)).then_some(next)
    }

    /// Returns the members that the next row should list.
    fn plan_members(&self, now: Now) -> BTreeMap<MemberId, PlanMember> {
        let mut all = BTreeMap::new();
        if !self.is_released() {
            all.insert(self.own_id.clone(), self.plan_self());
        }
        let listed = self.row.iter().flat_map(|row| row.members.keys());
        let joining = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.epoch == 0)
            .map(|(id, _)| id);
        for id in listed.chain(joining).filter(|id| **id != self.own_id) {
            if let Some(member) = self.plan_other(id, now) {
                all.insert(id.clone(), member);
            }
        }
        all
    }

    fn plan_self(&self) -> PlanMember {
        PlanMember {
            lease_seq: self.lease.map_or(0, |lease| lease.seq),
            adopted: self.epoch(),
            demand: self.demand,
            state: if self.leaving {
                PlanState::Leaving
            } else {
                PlanState::Live
            },
        }
    }

    /// Returns another member's entry for the next row; `None` if it is gone.
    fn plan_other(&self, id: &MemberId, now: Now) -> Option<PlanMember> {
        let peer = self.peers.get(id);
        let lease = self.observed_leases.get(id);
        let entry = self.row.as_ref().and_then(|row| row.members.get(id));
        if peer.is_some_and(|peer| peer.released) {
            return None;
        }
        let lapsed = lease.is_some_and(|lease| {
            lease.has_lapsed(now, &self.terms, &self.guards) && !self.promises_made.covers(id, now)
        });
        match entry {
            Some(entry) if self.is_expired(id, entry, now) => return None,
            None if lapsed || lease.is_none() => return None,
            _ => {}
        }
        let state = if peer.is_some_and(|peer| peer.leaving) {
            PlanState::Leaving
        } else if lapsed {
            PlanState::Lapsed
        } else {
            PlanState::Live
        };
        Some(PlanMember {
            lease_seq: lease.map_or(0, |lease| lease.seq),
            adopted: peer.map_or(0, |peer| peer.epoch),
            demand: peer.map_or(1, |peer| peer.demand),
            state,
        })
    }

    fn members_differ(&self, row: &Row, next: &Row) -> bool {
        !row.members.keys().eq(next.members.keys())
    }

    fn lapsed_allotment_shrinks(
        &self,
        row: &Row,
        next: &Row,
        members: &BTreeMap<MemberId, PlanMember>,
    ) -> bool {
        members
            .iter()
            .filter(|(_, member)| member.state == PlanState::Lapsed)
            .any(
                |(id, _)| match (row.members.get(id), next.members.get(id)) {
                    (Some(old), Some(new)) => total(&new.allot) < total(&old.allot),
                    _ => false,
                },
            )
    }

    /// Returns whether a valid lease protects nothing until a row lists it.
    fn has_unlisted_lease(&self, row: &Row, next: &Row, now: Now) -> bool {
        next.members.iter().any(|(id, new)| {
            let unlisted = if *id == self.own_id {
                self.is_unlisted(now)
            } else {
                self.peers.get(id).is_some_and(|peer| peer.unlisted)
            };
            unlisted
                && row
                    .members
                    .get(id)
                    .is_some_and(|old| old.lease_seq < new.lease_seq)
        })
    }

    /// Returns this member's position in the order of proposers.
    fn rank(&self, row: &Row) -> u32 {
        let own_weight = self.weight(&self.own_id);
        let ahead = row
            .members
            .keys()
            .filter(|id| **id != self.own_id && self.weight(id) > own_weight);
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }

    /// Returns the rendezvous weight of a member. FNV-1a, so that all members compute the same.
    fn weight(&self, member: &MemberId) -> u64 {
        let text = format!("{}/{}/{member}", self.terms.seed, self.pool);
        text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
    }
}

/// Returns whether the capacity of a resource is less than the row says.
///
/// An increase waits for the next regular row. The entries' views of the upstreams lag by different
/// times, and two entries that disagree would otherwise replace each other's rows forever.
fn capacity_fell(row: &Row, next: &Row) -> bool {
    row.resources
        .iter()
        .any(|(resource, n)| amount(&next.resources, resource) < *n)
}

/// Returns whether the next row gives more tokens to a live member whose demand exceeds its
/// allotment.
fn demand_moved(row: &Row, next: &Row, members: &BTreeMap<MemberId, PlanMember>) -> bool {
    members.iter().any(|(id, member)| {
        let tokens = |row: &Row| row.members.get(id).map_or(0, |entry| total(&entry.allot));
        let (old, new) = (tokens(row), tokens(next));
        member.state == PlanState::Live && member.demand > old && new > old
    })
}

//! When a member writes the next row, and who goes first.

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
    /// The next row, if one is wanted and it is this member's turn.
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
        // The next attempt waits a whole round, for the answer to this one or the others' turn.
        let members = u32::try_from(row.members.len()).unwrap_or(u32::MAX);
        let round = self.terms.propose_step * members;
        self.wanted_since = (!round.is_zero()).then(|| now + round);
        let expect_epoch = self.row.as_ref().map(|row| row.epoch);
        Some(Action::Propose { expect_epoch, row })
    }

    fn wanted_row(&self, now: Now) -> Option<Row> {
        let alive = self
            .lease
            .is_some_and(|lease| now < lease.short_end(&self.terms));
        if !alive || self.dead || !(self.row.is_some() || self.row_absent) {
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
            || self.lapsed_hold_too_much(row, &next, &members)
            || self.someone_waits_to_be_listed(row, &next, now);
        let rested = now >= self.adopted_at + self.terms.rebalance_every;
        let useful = row.resources != next.resources || demand_moved(row, &next, &members);
        (needed || (rested && useful)).then_some(next)
    }

    /// Everybody that the next row should list.
    fn plan_members(&self, now: Now) -> BTreeMap<MemberId, PlanMember> {
        let mut all = BTreeMap::new();
        if !self.is_released() {
            all.insert(self.me.clone(), self.plan_self());
        }
        let listed = self.row.iter().flat_map(|row| row.members.keys());
        let joining = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.epoch == 0)
            .map(|(id, _)| id);
        for id in listed.chain(joining).filter(|id| **id != self.me) {
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

    /// Another member's part in the next row; `None` for one that is gone.
    fn plan_other(&self, id: &MemberId, now: Now) -> Option<PlanMember> {
        let peer = self.peers.get(id);
        let lease = self.leases.get(id);
        let entry = self.row.as_ref().and_then(|row| row.members.get(id));
        if peer.is_some_and(|peer| peer.released) {
            return None;
        }
        let lapsed = lease.is_some_and(|lease| {
            lease.short_lapsed(now, &self.terms, &self.guards) && !self.owed.owes(id, now)
        });
        match entry {
            Some(entry) if self.lapsed_for_good(id, entry, now) => return None,
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

    fn lapsed_hold_too_much(
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

    /// Whether a live lease protects nothing until a row lists it.
    fn someone_waits_to_be_listed(&self, row: &Row, next: &Row, now: Now) -> bool {
        next.members.iter().any(|(id, new)| {
            let waits = if *id == self.me {
                self.waits_to_be_listed(now)
            } else {
                self.peers.get(id).is_some_and(|peer| peer.unlisted)
            };
            waits
                && row
                    .members
                    .get(id)
                    .is_some_and(|old| old.lease_seq < new.lease_seq)
        })
    }

    /// Place of this member in the order of those who may write the row.
    fn rank(&self, row: &Row) -> u32 {
        let mine = self.weight(&self.me);
        let before = row
            .members
            .keys()
            .filter(|id| **id != self.me && self.weight(id) > mine);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Weight in the rendezvous order; FNV-1a, so that all members agree on it.
    fn weight(&self, member: &MemberId) -> u64 {
        let text = format!("{}/{}/{member}", self.terms.seed, self.pool);
        text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
    }
}

/// Whether a resource has less than the row says.
///
/// More of it waits for the next regular row. The entries' pictures of the upstreams lag by different
/// times, and two that disagree would otherwise replace each other's row without end.
fn capacity_fell(row: &Row, next: &Row) -> bool {
    row.resources
        .iter()
        .any(|(resource, n)| amount(&next.resources, resource) < *n)
}

/// Whether the next row gives a token to a live member that lacks it.
fn demand_moved(row: &Row, next: &Row, members: &BTreeMap<MemberId, PlanMember>) -> bool {
    members.iter().any(|(id, member)| {
        let tokens = |row: &Row| row.members.get(id).map_or(0, |entry| total(&entry.allot));
        let (old, new) = (tokens(row), tokens(next));
        member.state == PlanState::Live && member.demand > old && new > old
    })
}

//! One instance's part in one pool: what it holds and when it may use it.
//!
//! Invariants, over all members of the pool:
//!
//! - What a member may use is at most what it holds. It holds at most its allotment of the epoch
//!   that it adopted, plus what others handed to it, less what it handed to others.
//! - Until an epoch is settled here, it holds no more than it did before that epoch.
//! - Without protection, by a lease or by the promises of all others in its row, it uses its floor at
//!   most; past the long term of its lease it is dead and never uses anything again. The daemon then
//!   starts a new `Member` under a higher incarnation.
//!
//! The rules of settling are in `settle`, of hand-overs in `handover`, of new rows in `propose`. Of
//! the modules below, `leases` has what it learns of leases, `peer` what it keeps of others, and
//! `status` what it says of itself.

mod leases;
mod peer;
mod status;

pub(crate) use peer::Peer;

use crate::{
    lease::{
        OwnLease,
        SeenLease, //
    },
    message::{
        Action,
        Give,
        PoolBeat, //
    },
    promise::Owed,
    row::{
        amount,
        floor_of,
        least,
        total,
        Amounts,
        MemberId,
        PoolId,
        ResourceId,
        Row, //
    },
    terms::{
        Guards,
        Terms, //
    },
};
use base::Now;
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

/// State machine of one member of one pool.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Member {
    pub(crate) me: MemberId,
    pub(crate) pool: PoolId,
    pub(crate) terms: Terms,
    pub(crate) guards: Guards,
    pub(crate) row: Option<Arc<Row>>,
    /// Whether the table is known to hold no row yet.
    pub(crate) row_absent: bool,
    /// When the row was adopted.
    pub(crate) adopted_at: Now,
    /// Tokens held.
    pub(crate) held: Amounts,
    /// Received less given in this epoch.
    pub(crate) net: BTreeMap<ResourceId, i64>,
    /// Whether the whole allotment of this epoch is held.
    pub(crate) settled: bool,
    pub(crate) in_flight: Amounts,
    /// Whether `in_flight` was reported after the last time that the limits were lowered.
    pub(crate) in_flight_fresh: bool,
    pub(crate) demand: u32,
    pub(crate) capacity: Option<Amounts>,
    pub(crate) lease: Option<OwnLease>,
    pub(crate) leases: BTreeMap<MemberId, SeenLease>,
    pub(crate) peers: BTreeMap<MemberId, Peer>,
    pub(crate) owed: Owed,
    /// Hand-over that waits for the work in flight to be within the rest.
    pub(crate) pending_give: Option<Give>,
    /// Hand-overs that may leave.
    pub(crate) gives: Vec<Give>,
    pub(crate) give_seq: u64,
    /// Hand-overs applied in this epoch, by giver and number.
    pub(crate) applied: BTreeSet<(MemberId, u64)>,
    pub(crate) leaving: bool,
    pub(crate) dead: bool,
    /// Since when a new row is wanted.
    pub(crate) wanted_since: Option<Now>,
}

impl Member {
    /// New member that holds nothing.
    pub fn new(me: MemberId, pool: PoolId, terms: Terms) -> Self {
        Self::with_guards(me, pool, terms, Guards::default())
    }

    /// New member with some guards off; for the search in `model` only.
    pub fn with_guards(me: MemberId, pool: PoolId, terms: Terms, guards: Guards) -> Self {
        Self {
            me,
            pool,
            terms,
            guards,
            row: None,
            row_absent: false,
            adopted_at: Now::ZERO,
            held: Amounts::new(),
            net: BTreeMap::new(),
            settled: false,
            in_flight: Amounts::new(),
            in_flight_fresh: false,
            demand: 0,
            capacity: None,
            lease: None,
            leases: BTreeMap::new(),
            peers: BTreeMap::new(),
            owed: Owed::default(),
            pending_give: None,
            gives: Vec::new(),
            give_seq: 0,
            applied: BTreeSet::new(),
            leaving: false,
            dead: false,
            wanted_since: None,
        }
    }

    /// Takes in a row that is known to be committed, read from the table or sent by a peer.
    pub fn on_row(&mut self, row: &Arc<Row>, now: Now) {
        self.touch(now);
        self.row_absent = false;
        if self.dead || row.epoch <= self.epoch() {
            return;
        }
        let listed_before = self.row.as_ref().is_some_and(|old| self.is_listed(old));
        if listed_before && !self.is_listed(row) {
            // Another member saw this one lapse for good, or heard its release.
            self.die();
        }
        self.begin_epoch(row, now);
        self.forget_strangers(row);
        self.try_settle(now);
    }

    /// Adopts the row: what is held becomes less at once, and more once the epoch is settled.
    fn begin_epoch(&mut self, row: &Arc<Row>, now: Now) {
        self.undo_pending_give();
        let clipped = self.held_after_lapse(now);
        let allot = self.allotment(row);
        self.held = if self.guards.keep_minimum {
            least(&clipped, &allot)
        } else {
            allot
        };
        self.net.clear();
        self.applied.clear();
        self.give_seq = 0;
        self.settled = false;
        self.in_flight_fresh = false;
        self.adopted_at = now;
        self.wanted_since = None;
        self.row = Some(Arc::clone(row));
    }

    /// Forgets members that are neither listed nor about to join.
    fn forget_strangers(&mut self, row: &Row) {
        let listed = |id: &MemberId| row.members.contains_key(id);
        self.peers.retain(|id, peer| listed(id) || peer.epoch == 0);
        let peers = &self.peers;
        self.leases
            .retain(|id, _| listed(id) || peers.contains_key(id));
    }

    /// Notes that the table holds no row for the pool yet.
    pub fn on_row_absent(&mut self) {
        self.row_absent = self.row.is_none();
    }

    /// Takes in another member's heartbeat.
    pub fn on_beat(&mut self, beat: &PoolBeat, now: Now) {
        self.touch(now);
        if beat.pool != self.pool || beat.from == self.me {
            return;
        }
        self.see_lease(&beat.from, beat.lease_seq, now);
        if beat.lease_seq > 0 {
            self.see_next_life(&beat.from, now, now);
        }
        let peer = self.peers.entry(beat.from.clone()).or_default();
        peer.hear(&self.me, beat, now, &self.terms, &self.guards);
        if self.may_promise(beat) {
            self.owed
                .grant(&beat.from, beat.asked, now, &self.terms, &self.guards);
        }
        self.try_settle(now);
    }

    /// Whether a beat is answered by a promise to its sender.
    fn may_promise(&self, beat: &PoolBeat) -> bool {
        let same_epoch = beat.epoch == self.epoch() || !self.guards.promise_same_epoch;
        let promises = !self.terms.promise_term.is_zero();
        promises && same_epoch && !self.dead && self.lists(&beat.from)
    }

    /// Sets what the pool's resources can take, as the list and the entries' own sight say.
    pub fn set_capacity(&mut self, capacity: Amounts) {
        self.capacity = Some(capacity);
    }

    /// Reports the work in flight by resource.
    ///
    /// Read the counts after the limits last returned were published to the traffic threads: a count
    /// from before may miss a request that was let in under the old limits.
    pub fn set_in_flight(&mut self, in_flight: Amounts) {
        self.in_flight = in_flight;
        self.in_flight_fresh = true;
        self.review_pending_give();
    }

    /// Reports how many tokens of the pool could be used now.
    pub fn set_demand(&mut self, demand: u32) {
        self.demand = demand;
    }

    /// Starts the planned stop: no new work; what is idle goes to others, the rest as it ends.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.in_flight_fresh = false;
    }

    /// State to send to every other member.
    pub fn beat(&mut self, now: Now) -> PoolBeat {
        self.touch(now);
        PoolBeat {
            pool: self.pool.clone(),
            from: self.me.clone(),
            epoch: self.epoch(),
            acked: self.acked(),
            released: self.is_released(),
            leaving: self.leaving,
            unlisted: self.waits_to_be_listed(now),
            lease_seq: self.lease.map_or(0, |lease| lease.seq),
            demand: self.demand,
            held: total(&self.held),
            asked: now,
            granted: self.owed.answered().clone(),
            promised: self.owed.all(now),
            seen: self.seen(),
        }
    }

    /// Lets time pass; what the daemon has to do.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        self.touch(now);
        self.try_settle(now);
        self.plan_give();
        let mut actions: Vec<Action> = self.gives.drain(..).map(Action::Give).collect();
        actions.extend(self.rows_for_those_behind(now));
        actions.extend(self.proposal(now));
        actions
    }

    /// Notes what follows from the time alone.
    pub(crate) fn touch(&mut self, now: Now) {
        if self.is_dead(now) {
            self.die();
        }
        self.owed.expire(now);
        for peer in self.peers.values_mut() {
            peer.touch(now);
        }
    }

    fn die(&mut self) {
        self.dead = true;
        self.held.clear();
        self.pending_give = None;
        self.gives.clear();
    }

    /// What remains held when an epoch ends at `now`.
    ///
    /// Promises bind those who made them only while this member stays in its epoch or goes on with its
    /// floor: somebody may have settled an epoch in between, which this member jumps over, counting
    /// on the floor once the promises ran out.
    fn held_after_lapse(&self, now: Now) -> Amounts {
        let by_lease = self.lease_protects_until().is_some_and(|end| now < end);
        if by_lease || !self.guards.clip_on_adopt {
            return self.held.clone();
        }
        least(&self.held, &self.floor())
    }

    fn is_listed(&self, row: &Row) -> bool {
        row.members.contains_key(&self.me)
    }

    pub(crate) fn lists(&self, member: &MemberId) -> bool {
        self.row
            .as_ref()
            .is_some_and(|row| row.members.contains_key(member))
    }

    fn allotment(&self, row: &Row) -> Amounts {
        let entry = row.members.get(&self.me).filter(|_| !self.dead);
        entry.map(|entry| entry.allot.clone()).unwrap_or_default()
    }

    /// Part of the allotment that only the long term frees.
    pub(crate) fn floor(&self) -> Amounts {
        let allot = self.row.as_ref().map(|row| self.allotment(row));
        floor_of(&allot.unwrap_or_default(), self.terms.floor_pct)
    }

    /// The row, for those who were heard lately and are behind: they may be cut off from the table.
    fn rows_for_those_behind(&self, now: Now) -> Vec<Action> {
        let Some(row) = &self.row else {
            return Vec::new();
        };
        let behind = |(_, peer): &(&MemberId, &Peer)| peer.epoch < row.epoch;
        let heard = self.peers.iter().filter(behind);
        heard
            .filter(|(to, _)| self.owed.owes(to, now))
            .map(|(to, _)| Action::SendRow {
                to: to.clone(),
                row: Arc::clone(row),
            })
            .collect()
    }

    /// Moves `n` tokens into what is held, or out of it, and notes it in the balance of the epoch.
    pub(crate) fn shift(&mut self, resource: &ResourceId, n: u32, receive: bool) {
        let held = amount(&self.held, resource);
        let (rest, change) = if receive {
            (held + n, i64::from(n))
        } else {
            (held.saturating_sub(n), -i64::from(n))
        };
        self.held.insert(resource.clone(), rest);
        self.held.retain(|_, n| *n > 0);
        *self.net.entry(resource.clone()).or_default() += change;
    }
}

//! The state of one instance in one pool: what it holds and when it may use it.
//!
//! Invariants, over all members of the pool:
//!
//! - A member may use at most what it holds. It holds at most its allotment of the epoch that it
//!   adopted, plus the tokens transferred to it, less those that it transferred to others.
//! - Until an epoch is settled here, it holds no more than it did before that epoch.
//! - Without protection, by a lease or by the promises of all others in its row, it uses its floor
//!   at most. Past the long TTL of its lease it is dead and never uses anything again. The daemon
//!   then starts a new `Member` with a higher incarnation.
//!
//! The rules for settling are in `settle`, for transfers in `transfer`, for new rows in `propose`.
//! Of the modules below, `leases` records the leases, `peer` the state of other members, and
//! `status` reports the state of this one.

mod leases;
mod peer;
mod status;

pub(crate) use peer::Peer;

use crate::{
    lease::{
        ObservedLease, //
        OwnLease,
    },
    message::{
        Action,
        PoolHeartbeat, //
        Transfer,
    },
    promise::PromisesMade,
    row::{
        amount,
        floor_of,
        min_amounts,
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
    pub(crate) own_id: MemberId,
    pub(crate) pool: PoolId,
    pub(crate) terms: Terms,
    pub(crate) guards: Guards,
    pub(crate) row: Option<Arc<Row>>,
    /// Whether the table is known to hold no row for the pool yet.
    pub(crate) row_absent: bool,
    /// When the row was adopted.
    pub(crate) adopted_at: Now,
    /// Tokens held.
    pub(crate) held: Amounts,
    /// Tokens received less tokens given away in this epoch.
    pub(crate) net_received: BTreeMap<ResourceId, i64>,
    /// Whether the whole allotment of this epoch is held.
    pub(crate) settled: bool,
    pub(crate) in_flight: Amounts,
    /// Whether `in_flight` was reported after the limits were last lowered.
    pub(crate) in_flight_fresh: bool,
    pub(crate) demand: u32,
    pub(crate) capacity: Option<Amounts>,
    pub(crate) lease: Option<OwnLease>,
    pub(crate) observed_leases: BTreeMap<MemberId, ObservedLease>,
    pub(crate) peers: BTreeMap<MemberId, Peer>,
    pub(crate) promises_made: PromisesMade,
    /// Transfer that waits until the work in flight fits the remaining tokens.
    pub(crate) pending_transfer: Option<Transfer>,
    /// Transfers that are ready to be sent.
    pub(crate) outgoing_transfers: Vec<Transfer>,
    pub(crate) transfer_seq: u64,
    /// Transfers applied in this epoch, by sender and sequence number.
    pub(crate) applied_transfers: BTreeSet<(MemberId, u64)>,
    pub(crate) leaving: bool,
    pub(crate) dead: bool,
    /// Since when a new row has been needed.
    pub(crate) wanted_since: Option<Now>,
}

impl Member {
    /// Creates a member that holds nothing.
    pub fn new(own_id: MemberId, pool: PoolId, terms: Terms) -> Self {
        Self::with_guards(own_id, pool, terms, Guards::default())
    }

    /// Creates a member with some guards off; only for the search in `model`.
    pub fn with_guards(own_id: MemberId, pool: PoolId, terms: Terms, guards: Guards) -> Self {
        Self {
            own_id,
            pool,
            terms,
            guards,
            row: None,
            row_absent: false,
            adopted_at: Now::ZERO,
            held: Amounts::new(),
            net_received: BTreeMap::new(),
            settled: false,
            in_flight: Amounts::new(),
            in_flight_fresh: false,
            demand: 0,
            capacity: None,
            lease: None,
            observed_leases: BTreeMap::new(),
            peers: BTreeMap::new(),
            promises_made: PromisesMade::default(),
            pending_transfer: None,
            outgoing_transfers: Vec::new(),
            transfer_seq: 0,
            applied_transfers: BTreeSet::new(),
            leaving: false,
            dead: false,
            wanted_since: None,
        }
    }

    /// Handles a committed row, read from the table or sent by a peer.
    pub fn on_row(&mut self, row: &Arc<Row>, now: Now) {
        self.advance(now);
        self.row_absent = false;
        if self.dead || row.epoch <= self.epoch() {
            return;
        }
        let listed_before = self.row.as_ref().is_some_and(|old| self.is_listed(old));
        if listed_before && !self.is_listed(row) {
            // Another member found this one's lease expired, or received its release.
            self.mark_dead();
        }
        self.begin_epoch(row, now);
        self.forget_nonmembers(row);
        self.try_settle(now);
    }

    /// Adopts the row. Held tokens decrease at once, and increase once the epoch is settled.
    fn begin_epoch(&mut self, row: &Arc<Row>, now: Now) {
        self.cancel_unsent_transfers();
        let retained = self.held_at_epoch_end(now);
        let allot = self.allotment(row);
        self.held = if self.guards.keep_minimum {
            min_amounts(&retained, &allot)
        } else {
            allot
        };
        self.net_received.clear();
        self.applied_transfers.clear();
        self.transfer_seq = 0;
        self.settled = false;
        self.in_flight_fresh = false;
        self.adopted_at = now;
        self.wanted_since = None;
        self.row = Some(Arc::clone(row));
    }

    /// Drops the state of members that are neither listed nor joining.
    fn forget_nonmembers(&mut self, row: &Row) {
        let listed = |id: &MemberId| row.members.contains_key(id);
        self.peers.retain(|id, peer| listed(id) || peer.epoch == 0);
        let peers = &self.peers;
        self.observed_leases
            .retain(|id, _| listed(id) || peers.contains_key(id));
    }

    /// Records that the table holds no row for the pool yet.
    pub fn on_row_absent(&mut self) {
        self.row_absent = self.row.is_none();
    }

    /// Handles another member's heartbeat.
    pub fn on_heartbeat(&mut self, heartbeat: &PoolHeartbeat, now: Now) {
        self.advance(now);
        if heartbeat.pool != self.pool || heartbeat.from == self.own_id {
            return;
        }
        self.record_lease(&heartbeat.from, heartbeat.lease_seq, now);
        if heartbeat.lease_seq > 0 {
            self.observe_next_incarnation(&heartbeat.from, now, now);
        }
        let peer = self.peers.entry(heartbeat.from.clone()).or_default();
        peer.apply_heartbeat(&self.own_id, heartbeat, now, &self.terms, &self.guards);
        if self.may_promise(heartbeat) {
            self.promises_made.grant(
                &heartbeat.from,
                heartbeat.asked,
                now,
                &self.terms,
                &self.guards,
            );
        }
        self.try_settle(now);
    }

    /// Returns whether a heartbeat is answered with a promise to its sender.
    fn may_promise(&self, heartbeat: &PoolHeartbeat) -> bool {
        let same_epoch = heartbeat.epoch == self.epoch() || !self.guards.promise_same_epoch;
        let enabled = !self.terms.promise_term.is_zero();
        enabled && same_epoch && !self.dead && self.lists(&heartbeat.from)
    }

    /// Sets the capacity of the pool's resources, from the platform's list and the entries' own
    /// observations.
    pub fn set_capacity(&mut self, capacity: Amounts) {
        self.capacity = Some(capacity);
    }

    /// Sets the work in flight by resource.
    ///
    /// Read the counts after the limits that were last returned were published to the traffic
    /// threads. An earlier count may miss a request that was admitted under the old limits.
    pub fn set_in_flight(&mut self, in_flight: Amounts) {
        self.in_flight = in_flight;
        self.in_flight_fresh = true;
        self.review_pending_transfer();
    }

    /// Sets how many tokens of the pool could be used now.
    pub fn set_demand(&mut self, demand: u32) {
        self.demand = demand;
    }

    /// Starts the planned stop: no new work; idle tokens go to others at once, the rest as their
    /// work ends.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.in_flight_fresh = false;
    }

    /// Returns the state to send to every other member.
    pub fn heartbeat(&mut self, now: Now) -> PoolHeartbeat {
        self.advance(now);
        PoolHeartbeat {
            pool: self.pool.clone(),
            from: self.own_id.clone(),
            epoch: self.epoch(),
            acked: self.acked(),
            released: self.is_released(),
            leaving: self.leaving,
            unlisted: self.is_unlisted(now),
            lease_seq: self.lease.map_or(0, |lease| lease.seq),
            demand: self.demand,
            held: total(&self.held),
            asked: now,
            granted: self.promises_made.answered().clone(),
            promised: self.promises_made.active(now),
            seen: self.known_leases(),
        }
    }

    /// Advances the time to `now` and returns the actions due.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        self.advance(now);
        self.try_settle(now);
        self.plan_transfer();
        let mut actions: Vec<Action> = self
            .outgoing_transfers
            .drain(..)
            .map(Action::Transfer)
            .collect();
        actions.extend(self.rows_for_lagging_peers(now));
        actions.extend(self.proposal(now));
        actions
    }

    /// Applies what follows from the passage of time alone.
    pub(crate) fn advance(&mut self, now: Now) {
        if self.is_dead(now) {
            self.mark_dead();
        }
        self.promises_made.expire(now);
        for peer in self.peers.values_mut() {
            peer.expire_promise(now);
        }
    }

    fn mark_dead(&mut self) {
        self.dead = true;
        self.held.clear();
        self.pending_transfer = None;
        self.outgoing_transfers.clear();
    }

    /// Returns what remains held when an epoch ends at `now`.
    ///
    /// Promises bind their makers only while this member stays in its epoch or continues with its
    /// floor. An epoch that this member skips may have been settled in between, on the assumption
    /// that it uses only its floor once the promises have run out.
    fn held_at_epoch_end(&self, now: Now) -> Amounts {
        let by_lease = self.lease_protects_until().is_some_and(|end| now < end);
        if by_lease || !self.guards.clip_on_adopt {
            return self.held.clone();
        }
        min_amounts(&self.held, &self.floor())
    }

    fn is_listed(&self, row: &Row) -> bool {
        row.members.contains_key(&self.own_id)
    }

    pub(crate) fn lists(&self, member: &MemberId) -> bool {
        self.row
            .as_ref()
            .is_some_and(|row| row.members.contains_key(member))
    }

    fn allotment(&self, row: &Row) -> Amounts {
        let entry = row.members.get(&self.own_id).filter(|_| !self.dead);
        entry.map(|entry| entry.allot.clone()).unwrap_or_default()
    }

    /// Returns the part of the allotment that is freed only after the long TTL.
    pub(crate) fn floor(&self) -> Amounts {
        let allot = self.row.as_ref().map(|row| self.allotment(row));
        floor_of(&allot.unwrap_or_default(), self.terms.floor_pct)
    }

    /// Returns the row for peers at an earlier epoch that were heard from recently: they may be cut
    /// off from the table.
    fn rows_for_lagging_peers(&self, now: Now) -> Vec<Action> {
        let Some(row) = &self.row else {
            return Vec::new();
        };
        let lags = |(_, peer): &(&MemberId, &Peer)| peer.epoch < row.epoch;
        let lagging = self.peers.iter().filter(lags);
        lagging
            .filter(|(to, _)| self.promises_made.covers(to, now))
            .map(|(to, _)| Action::SendRow {
                to: to.clone(),
                row: Arc::clone(row),
            })
            .collect()
    }

    /// Adds `n` tokens to what is held, or removes them, and updates the balance of the epoch.
    pub(crate) fn adjust_held(&mut self, resource: &ResourceId, n: u32, receive: bool) {
        let held = amount(&self.held, resource);
        let (remaining, change) = if receive {
            (held + n, i64::from(n))
        } else {
            (held.saturating_sub(n), -i64::from(n))
        };
        self.held.insert(resource.clone(), remaining);
        self.held.retain(|_, n| *n > 0);
        *self.net_received.entry(resource.clone()).or_default() += change;
    }
}

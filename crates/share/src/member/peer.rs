//! What a member records of another member's heartbeats.

use crate::{
    message::PoolHeartbeat,
    promise::promise_end,
    row::MemberId,
    terms::{
        Guards,
        Terms, //
    },
};
use base::{
    Epoch,
    Now, //
};
use std::collections::BTreeMap;

/// State that another member has reported.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Peer {
    /// Highest epoch seen; `acked`, `attested_leases` and `own_lease_seen` belong to this epoch.
    pub(crate) epoch: Epoch,
    /// Whether its use was within its allotment of that epoch.
    pub(crate) acked: bool,
    /// Whether it has released everything and uses nothing any more.
    pub(crate) released: bool,
    /// Whether it is stopping.
    pub(crate) leaving: bool,
    /// Whether its lease is not yet listed by a row.
    pub(crate) unlisted: bool,
    /// Tokens that it could use.
    pub(crate) demand: u32,
    /// Tokens that it holds.
    pub(crate) held: u32,
    /// Lowest lease of each member that it reported while it had no promise to that member.
    pub(crate) attested_leases: BTreeMap<MemberId, u64>,
    /// Highest lease of this member that it reported.
    pub(crate) own_lease_seen: u64,
    /// End of its promise to this member.
    pub(crate) promise_until: Now,
}

impl Peer {
    /// Merges a heartbeat received by the member `own_id` into the state of its sender.
    pub(super) fn apply_heartbeat(
        &mut self,
        own_id: &MemberId,
        heartbeat: &PoolHeartbeat,
        now: Now,
        terms: &Terms,
        guards: &Guards,
    ) {
        if let Some(asked) = heartbeat.granted.get(own_id) {
            let end = promise_end(*asked, now, terms, guards);
            if now < end {
                self.promise_until = self.promise_until.max(end);
            }
        }
        self.released |= heartbeat.released;
        self.leaving |= heartbeat.leaving;
        if heartbeat.epoch < self.epoch {
            return;
        }
        if heartbeat.epoch > self.epoch {
            self.begin_epoch(heartbeat.epoch);
        }
        self.acked |= heartbeat.acked;
        self.unlisted = heartbeat.unlisted;
        self.demand = heartbeat.demand;
        self.held = heartbeat.held;
        self.apply_seen_leases(own_id, heartbeat, guards);
    }

    /// Drops what was reported at an earlier epoch.
    fn begin_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
        self.acked = false;
        self.attested_leases.clear();
        self.own_lease_seen = 0;
    }

    /// Records which leases the sender has seen.
    fn apply_seen_leases(&mut self, own_id: &MemberId, heartbeat: &PoolHeartbeat, guards: &Guards) {
        for (member, seq) in &heartbeat.seen {
            if member == own_id {
                self.own_lease_seen = self.own_lease_seen.max(*seq);
            }
            if !heartbeat.promised.contains(member) || !guards.promise_kept {
                let lowest = self.attested_leases.entry(member.clone()).or_insert(*seq);
                *lowest = (*lowest).min(*seq);
            }
        }
    }

    /// Clears its promise once it has run out.
    pub(super) fn expire_promise(&mut self, now: Now) {
        if now >= self.promise_until {
            self.promise_until = Now::ZERO;
        }
    }
}

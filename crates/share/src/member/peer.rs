//! What one member remembers of another one's heartbeats.

use crate::{
    message::PoolBeat,
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

/// What another member has said of itself.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Peer {
    /// Highest epoch it was heard at; `acked`, `vouches` and `seen_mine` are of this epoch.
    pub(crate) epoch: Epoch,
    /// Whether its use was within its allotment of that epoch.
    pub(crate) acked: bool,
    /// Whether it uses nothing any more.
    pub(crate) released: bool,
    /// Whether it stops.
    pub(crate) leaving: bool,
    /// Whether its lease waits to be listed by a row.
    pub(crate) unlisted: bool,
    /// Tokens it could use.
    pub(crate) demand: u32,
    /// Tokens it holds.
    pub(crate) held: u32,
    /// Lowest lease of each member that it knew at a moment when it owed that member no promise.
    pub(crate) vouches: BTreeMap<MemberId, u64>,
    /// Highest lease of this member that it knew.
    pub(crate) seen_mine: u64,
    /// End of its promise to this member.
    pub(crate) promise_until: Now,
}

impl Peer {
    /// Sorts the facts of a beat to `me` into what is kept of its sender.
    pub(super) fn hear(
        &mut self,
        me: &MemberId,
        beat: &PoolBeat,
        now: Now,
        terms: &Terms,
        guards: &Guards,
    ) {
        if let Some(asked) = beat.granted.get(me) {
            let end = promise_end(*asked, now, terms, guards);
            if now < end {
                self.promise_until = self.promise_until.max(end);
            }
        }
        self.released |= beat.released;
        self.leaving |= beat.leaving;
        if beat.epoch < self.epoch {
            return;
        }
        if beat.epoch > self.epoch {
            self.begin_epoch(beat.epoch);
        }
        self.acked |= beat.acked;
        self.unlisted = beat.unlisted;
        self.demand = beat.demand;
        self.held = beat.held;
        self.hear_seen(me, beat, guards);
    }

    /// Forgets what was said at an earlier epoch.
    fn begin_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
        self.acked = false;
        self.vouches.clear();
        self.seen_mine = 0;
    }

    /// Takes in which leases it knows.
    fn hear_seen(&mut self, me: &MemberId, beat: &PoolBeat, guards: &Guards) {
        for (member, seq) in &beat.seen {
            if member == me {
                self.seen_mine = self.seen_mine.max(*seq);
            }
            if !beat.promised.contains(member) || !guards.promise_kept {
                let lowest = self.vouches.entry(member.clone()).or_insert(*seq);
                *lowest = (*lowest).min(*seq);
            }
        }
    }

    /// Forgets its promise once it has run out.
    pub(super) fn touch(&mut self, now: Now) {
        if now >= self.promise_until {
            self.promise_until = Now::ZERO;
        }
    }
}

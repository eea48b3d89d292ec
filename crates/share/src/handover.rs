//! Hand-over of idle tokens within an epoch.
//!
//! The giver holds less first, waits until its work in flight is within the rest, and only then sends.
//! The receiver applies each hand-over once and only at the same epoch. One that gets lost loses its
//! tokens until the next epoch; none is ever doubled.

use crate::{
    member::{
        Member,
        Peer, //
    },
    message::Give,
    row::{
        amount,
        total,
        within,
        MemberId,
        ResourceId, //
    },
};
use base::Now;

impl Member {
    /// Takes in a hand-over; anything out of place is dropped, and its tokens with it.
    pub fn on_give(&mut self, give: &Give, now: Now) {
        self.touch(now);
        let same_epoch = give.epoch == self.epoch() || !self.guards.give_same_epoch;
        let mine = give.pool == self.pool && give.to == self.me;
        if self.dead || !mine || !same_epoch || !self.lists(&give.from) {
            return;
        }
        let first = self.applied.insert((give.from.clone(), give.seq));
        if first || !self.guards.give_once {
            self.shift(&give.resource, give.n, true);
        }
    }

    /// Picks idle tokens for the neediest other member and stops using them.
    pub(crate) fn plan_give(&mut self) {
        if !self.may_give() {
            return;
        }
        let Some((resource, idle)) = self.most_idle() else {
            return;
        };
        let Some((to, need)) = self.neediest() else {
            return;
        };
        let n = idle.min(need).min(self.spare());
        if n == 0 {
            return;
        }
        self.give_seq += 1;
        let give = Give {
            pool: self.pool.clone(),
            epoch: self.epoch(),
            resource,
            n,
            from: self.me.clone(),
            to,
            seq: self.give_seq,
        };
        self.start_give(give);
    }

    fn start_give(&mut self, give: Give) {
        if let Some(peer) = self.peers.get_mut(&give.to) {
            peer.held += give.n;
        }
        self.shift(&give.resource, give.n, false);
        if self.guards.give_stops_first {
            self.in_flight_fresh = false;
            self.pending_give = Some(give);
        } else {
            self.gives.push(give);
        }
    }

    /// Sends the pending hand-over if work in flight is within the rest; else takes it back.
    pub(crate) fn review_pending_give(&mut self) {
        if within(&self.in_flight, &self.held) {
            self.gives.extend(self.pending_give.take());
        } else {
            self.undo_pending_give();
        }
    }

    /// Takes back tokens that were never sent.
    pub(crate) fn undo_pending_give(&mut self) {
        let unsent: Vec<Give> = self.pending_give.take().into_iter().collect();
        for give in unsent.into_iter().chain(std::mem::take(&mut self.gives)) {
            self.shift(&give.resource, give.n, true);
            self.give_seq -= 1;
            if let Some(peer) = self.peers.get_mut(&give.to) {
                peer.held = peer.held.saturating_sub(give.n);
            }
        }
    }

    /// Whether a hand-over can start: the allotment is held, and everything in flight is known.
    ///
    /// A giver needs no protection. Whoever may use the tokens after it is at the same epoch and has
    /// to be protected itself.
    fn may_give(&self) -> bool {
        let fresh = self.in_flight_fresh || !self.guards.give_stops_first;
        self.settled && fresh && self.pending_give.is_none() && !self.dead
    }

    /// Tokens that the own demand leaves; one is kept, so that a burst finds something.
    fn spare(&self) -> u32 {
        let keep = if self.leaving {
            0
        } else {
            self.demand.max(total(&self.in_flight)).max(1)
        };
        total(&self.held).saturating_sub(keep)
    }

    /// Resource with the most idle tokens, and how many.
    fn most_idle(&self) -> Option<(ResourceId, u32)> {
        let idle = |(resource, n): (&ResourceId, &u32)| {
            let used = if self.guards.give_stops_first {
                amount(&self.in_flight, resource)
            } else {
                0
            };
            (resource.clone(), n.saturating_sub(used))
        };
        let all = self.held.iter().map(idle).filter(|(_, n)| *n > 0);
        all.max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)))
    }

    /// Member at this epoch that lacks the most tokens, and how many.
    fn neediest(&self) -> Option<(MemberId, u32)> {
        let row = self.row.as_ref()?;
        let lacking = |(id, peer): (&MemberId, &Peer)| {
            let here = peer.epoch == row.epoch && peer.acked && row.members.contains_key(id);
            let lacks = peer.demand.saturating_sub(peer.held);
            (here && !peer.leaving && lacks > 0).then(|| (id.clone(), lacks))
        };
        let all = self.peers.iter().filter_map(lacking);
        all.max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)))
    }
}

//! Transfers of idle tokens within an epoch.
//!
//! The sender first reduces what it holds, then waits until its work in flight fits the rest, and
//! only then sends. The receiver applies each transfer once and only at the same epoch. The tokens
//! of a lost transfer stay unused until the next epoch; no token ever gets two users.

use crate::{
    member::{
        Member,
        Peer, //
    },
    message::Transfer,
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
    /// Handles a transfer. One that is not valid here is dropped together with its tokens.
    pub fn on_transfer(&mut self, transfer: &Transfer, now: Now) {
        self.advance(now);
        let same_epoch = transfer.epoch == self.epoch() || !self.guards.transfer_same_epoch;
        let addressed_here = transfer.pool == self.pool && transfer.to == self.own_id;
        if self.dead || !addressed_here || !same_epoch || !self.lists(&transfer.from) {
            return;
        }
        let first = self
            .applied_transfers
            .insert((transfer.from.clone(), transfer.seq));
        if first || !self.guards.transfer_once {
            self.adjust_held(&transfer.resource, transfer.n, true);
        }
    }

    /// Chooses idle tokens for the member with the largest shortfall, and stops using them.
    pub(crate) fn plan_transfer(&mut self) {
        if !self.can_transfer() {
            return;
        }
        let Some((resource, idle)) = self.most_idle() else {
            return;
        };
        let Some((to, shortfall)) = self.largest_shortfall() else {
            return;
        };
        let n = idle.min(shortfall).min(self.spare());
        if n == 0 {
            return;
        }
        self.transfer_seq += 1;
        let transfer = Transfer {
            pool: self.pool.clone(),
            epoch: self.epoch(),
            resource,
            n,
            from: self.own_id.clone(),
            to,
            seq: self.transfer_seq,
        };
        self.start_transfer(transfer);
    }

    fn start_transfer(&mut self, transfer: Transfer) {
        if let Some(peer) = self.peers.get_mut(&transfer.to) {
            peer.held += transfer.n;
        }
        self.adjust_held(&transfer.resource, transfer.n, false);
        if self.guards.transfer_stops_first {
            self.in_flight_fresh = false;
            self.pending_transfer = Some(transfer);
        } else {
            self.outgoing_transfers.push(transfer);
        }
    }

    /// Releases the pending transfer for sending if the work in flight fits the rest; otherwise
    /// cancels it.
    pub(crate) fn review_pending_transfer(&mut self) {
        if within(&self.in_flight, &self.held) {
            self.outgoing_transfers.extend(self.pending_transfer.take());
        } else {
            self.cancel_unsent_transfers();
        }
    }

    /// Takes back the tokens of transfers that were never sent.
    pub(crate) fn cancel_unsent_transfers(&mut self) {
        let pending: Vec<Transfer> = self.pending_transfer.take().into_iter().collect();
        for transfer in pending
            .into_iter()
            .chain(std::mem::take(&mut self.outgoing_transfers))
        {
            self.adjust_held(&transfer.resource, transfer.n, true);
            self.transfer_seq -= 1;
            if let Some(peer) = self.peers.get_mut(&transfer.to) {
                peer.held = peer.held.saturating_sub(transfer.n);
            }
        }
    }

    /// Returns whether a transfer can start: the allotment is held, and everything in flight is
    /// known.
    ///
    /// The sender needs no protection, since the receiver is at the same epoch and has to be
    /// protected itself.
    fn can_transfer(&self) -> bool {
        let fresh = self.in_flight_fresh || !self.guards.transfer_stops_first;
        self.settled && fresh && self.pending_transfer.is_none() && !self.dead
    }

    /// Returns the tokens that this member's own demand leaves. One is kept for a sudden request.
    fn spare(&self) -> u32 {
        let reserve = if self.leaving {
            0
        } else {
            self.demand.max(total(&self.in_flight)).max(1)
        };
        total(&self.held).saturating_sub(reserve)
    }

    /// Returns the resource with the most idle tokens, and how many.
    fn most_idle(&self) -> Option<(ResourceId, u32)> {
        let idle = |(resource, n): (&ResourceId, &u32)| {
            let used = if self.guards.transfer_stops_first {
                amount(&self.in_flight, resource)
            } else {
                0
            };
            (resource.clone(), n.saturating_sub(used))
        };
        let all = self.held.iter().map(idle).filter(|(_, n)| *n > 0);
        all.max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)))
    }

    /// Returns the member at this epoch with the largest shortfall, and its size in tokens.
    fn largest_shortfall(&self) -> Option<(MemberId, u32)> {
        let row = self.row.as_ref()?;
        let shortfall = |(id, peer): (&MemberId, &Peer)| {
            let at_epoch = peer.epoch == row.epoch && peer.acked && row.members.contains_key(id);
            let missing = peer.demand.saturating_sub(peer.held);
            (at_epoch && !peer.leaving && missing > 0).then(|| (id.clone(), missing))
        };
        let all = self.peers.iter().filter_map(shortfall);
        all.max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)))
    }
}

//! Hand-over of filing records and unused tickets to a successor at a planned stop.
//!
//! The successor is the first connected live entry of the same region. The offer is made once, to
//! one incarnation, and resent until it is acknowledged or the time limit expires. After that
//! nobody runs the unused tickets, and their callers receive `unknown`.

use crate::process::control::Control;
use base::{
    Incarnation,
    InstanceId, //
};
use filing::{
    Accepted,
    Offer, //
};
use member::LeaseState;
use peer::{
    Frame,
    HandOver,
    HandOverAck, //
};

impl Control {
    /// Removes filings whose tickets have expired.
    pub(super) fn expire_filings(&mut self) {
        let now = self.now();
        self.shared.with_filings(|filings| filings.expire(now));
    }

    /// Stops accepting new filings.
    pub(super) fn stop_filings(&mut self) {
        self.shared.advance_filings(|filings| filings.stop());
    }

    /// Offers the filings to a successor, if there is one.
    pub(super) fn offer_filings(&mut self) {
        let now = self.now();
        if let Some((successor, incarnation)) = self.successor() {
            spdlog::info!("handing filings over", kv: { successor = successor.to_string() });
            self.shared
                .advance_filings(|filings| filings.offer(&successor, incarnation, now));
            self.send_offer();
        }
    }

    /// Sends or resends the offer that awaits acknowledgement.
    pub(super) fn send_offer(&mut self) {
        let offered = self
            .shared
            .with_filings(|filings| filings.offered().map(to_frame));
        if let (Some(Some((to, frame))), Some(mesh)) = (offered, &self.mesh) {
            mesh.send(&to, frame);
        }
    }

    fn successor(&self) -> Option<(InstanceId, Incarnation)> {
        let mesh = self.mesh.as_ref()?;
        let region = &self.shared.settings.region;
        let peers = mesh.peers();
        let live = |instance: &InstanceId| {
            let facts = self.membership_view.instance(instance);
            facts.is_some_and(|facts| facts.state == LeaseState::Live)
        };
        peers
            .into_iter()
            .find(|info| info.region == *region && live(&info.instance))
            .map(|info| (info.instance, info.incarnation))
    }

    /// Whether no acknowledgement is pending.
    pub(super) fn is_hand_over_complete(&self) -> bool {
        let is_pending = self
            .shared
            .with_filings(|filings| filings.offered().is_some());
        is_pending != Some(true)
    }

    /// Handles the offer of a stopping instance.
    pub(super) fn on_hand_over(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        frame: &HandOver,
    ) {
        let Ok(offer) = peer::from_payload::<Offer>(&frame.payload) else {
            return;
        };
        if offer.from != *from || offer.from_incarnation != incarnation {
            return;
        }
        let accepted = self
            .shared
            .with_filings(|filings| filings.accept_offer(&offer));
        let accepted = accepted.flatten();
        let payload = accepted.as_ref().map(peer::to_payload);
        let ack = HandOverAck {
            seq: frame.seq,
            accepted: accepted.is_some(),
            payload: payload.and_then(Result::ok).unwrap_or_default(),
        };
        if let Some(mesh) = &self.mesh {
            mesh.send(from, Frame::HandOverAck(ack));
        }
    }

    /// Handles a successor's acknowledgement.
    pub(super) fn on_hand_over_ack(&mut self, ack: &HandOverAck) {
        let accepted = peer::from_payload::<Accepted>(&ack.payload);
        if let (true, Ok(accepted)) = (ack.accepted, accepted) {
            self.shared
                .advance_filings(|filings| filings.acknowledged(&accepted));
        }
    }
}

fn to_frame(offer: &Offer) -> (InstanceId, Frame) {
    let frame = HandOver {
        seq: offer.from_incarnation,
        payload: peer::to_payload(offer).unwrap_or_default(),
    };
    (offer.to.clone(), Frame::HandOver(frame))
}

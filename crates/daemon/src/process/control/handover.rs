//! Filings at a planned stop: their records and unused tickets go to a successor.
//!
//! The successor is the first live entry of the own region that a session stands to. The offer is
//! made once, to one incarnation, and repeated until it is acknowledged or time is up; then nobody
//! runs the unused tickets and their callers are told `unknown`.

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
    /// Forgets filings whose tickets are long over.
    pub(super) fn forget_filings(&mut self) {
        let now = self.now();
        self.shared.with_filings(|filings| filings.expire(now));
    }

    /// Starts no filing from now on.
    pub(super) fn stop_filings(&mut self) {
        self.shared.move_filings(|filings| filings.stop());
    }

    /// Makes the offer to a successor, if there is one.
    pub(super) fn hand_filings_over(&mut self) {
        let now = self.now();
        if let Some((successor, life)) = self.successor() {
            spdlog::info!("filings go to", kv: { successor = successor.to_string() });
            self.shared
                .move_filings(|filings| filings.offer(&successor, life, now));
            self.repeat_offer();
        }
    }

    /// Sends the offer that waits for its acknowledgement.
    pub(super) fn repeat_offer(&mut self) {
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
            let facts = self.picture.instance(instance);
            facts.is_some_and(|facts| facts.state == LeaseState::Live)
        };
        peers
            .into_iter()
            .find(|info| info.region == *region && live(&info.instance))
            .map(|info| (info.instance, info.incarnation))
    }

    /// Whether no acknowledgement is awaited any more.
    pub(super) fn filings_handed_over(&self) -> bool {
        let waits = self
            .shared
            .with_filings(|filings| filings.offered().is_some());
        waits != Some(true)
    }

    /// Takes what a stopping instance offers.
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
        let accepted = self.shared.with_filings(|filings| filings.adopt(&offer));
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

    /// Takes a successor's answer.
    pub(super) fn on_hand_over_ack(&mut self, ack: &HandOverAck) {
        let accepted = peer::from_payload::<Accepted>(&ack.payload);
        if let (true, Ok(accepted)) = (ack.accepted, accepted) {
            self.shared
                .move_filings(|filings| filings.acknowledged(&accepted));
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

//! Filings at a planned stop: their records and unused tickets go to a successor.

use crate::process::control::Control;
use base::{
    Incarnation,
    InstanceId, //
};
use peer::{
    HandOver,
    HandOverAck, //
};

impl Control {
    /// Forgets filings whose tickets are long over.
    pub(super) fn forget_filings(&mut self) {
        let now = self.now();
        if let Some(mut ledger) = self.shared.ledger() {
            ledger.expire(now);
        }
    }

    /// Starts the hand-over.
    pub(super) fn hand_filings_over(&mut self) {}

    /// Whether the hand-over has ended, one way or the other.
    pub(super) fn filings_handed_over(&self) -> bool {
        true
    }

    /// Takes what a stopping instance offers.
    pub(super) fn on_hand_over(
        &mut self,
        _from: &InstanceId,
        _incarnation: Incarnation,
        _offer: &HandOver,
    ) {
    }

    /// Takes a successor's answer.
    pub(super) fn on_hand_over_ack(&mut self, _from: &InstanceId, _ack: &HandOverAck) {}
}

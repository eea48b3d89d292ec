//! Handover at a planned stop: transfers records and the right to run unused tickets to a
//! successor.
//!
//! The predecessor closes first and never reopens. It then makes one offer, to one incarnation of
//! one successor, and may only repeat that offer. So whichever message is lost, at most one ledger
//! runs a ticket: the predecessor's before the offer, the successor's after it. If the
//! acknowledgement is lost, the predecessor names no successor and reports `unknown`.

use crate::{
    ledger::Phase,
    ticket_store::{
        unknown_record,
        TicketState, //
    },
    Ledger,
    Nonce,
    Record,
    Ticket, //
    TicketDecision,
};
use base::{
    Incarnation,
    InstanceId,
    Now, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;

/// Upper bound on the encoded size of a record in an offer besides its headers and body, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 160;

/// Expiry watermarks for the tickets of one incarnation that have no record.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TicketWatermarks {
    /// Unused tickets that expire at or before this time never run: wall time in milliseconds since
    /// the Unix epoch.
    pub closed_until_ms: u64,
    /// Outcomes of tickets that expire at or before this time may have been forgotten: wall time in
    /// milliseconds since the Unix epoch.
    pub forgotten_until_ms: u64,
}

/// Record of one ticket, as transferred to a successor.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HandoverRecord {
    /// Nonce of the ticket.
    pub nonce: Nonce,
    /// Expiry of the ticket: wall time in milliseconds since the Unix epoch.
    pub expires_at_ms: u64,
    /// Outcome of the filing; `unknown` if it was still running.
    pub record: Record,
}

/// Message from a stopping entry to its successor.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Offer {
    /// Stopping entry.
    pub from: InstanceId,
    /// Incarnation of the stopping entry.
    pub from_incarnation: Incarnation,
    /// Successor.
    pub to: InstanceId,
    /// Incarnation of the successor. A later one must not accept the offer, since it doesn't know
    /// what the earlier one ran.
    pub to_incarnation: Incarnation,
    /// Incarnations whose unused tickets the successor may run.
    pub origins: Vec<(InstanceId, Incarnation, TicketWatermarks)>,
    /// Records of the predecessor. Tickets whose records didn't fit are covered by the watermarks
    /// in `origins`.
    pub records: Vec<HandoverRecord>,
}

/// A successor's acknowledgement of an [`Offer`].
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Accepted {
    /// Stopping entry.
    pub from: InstanceId,
    /// Incarnation of the stopping entry.
    pub from_incarnation: Incarnation,
    /// Successor.
    pub by: InstanceId,
    /// Incarnation of the successor.
    pub by_incarnation: Incarnation,
}

/// Why an offer was not accepted.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AcceptError {
    /// The offer is for another entry, or for another incarnation of this one.
    WrongRecipient,
    /// This entry is stopping, too.
    Stopping,
    /// The records don't fit within the limits of this ledger.
    TooMany,
}

impl fmt::Display for AcceptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WrongRecipient => "the offer is for another incarnation",
            Self::Stopping => "the successor is stopping",
            Self::TooMany => "the successor has no room for the records",
        })
    }
}

impl std::error::Error for AcceptError {}

impl Ledger {
    /// Stops starting filings; running ones continue.
    pub fn stop(mut self) -> Stopping<Draining> {
        self.phase = Phase::Draining;
        Stopping {
            ledger: self,
            state: Draining,
        }
    }

    /// Accepts an offer: takes over the records and the unused tickets of a stopping entry.
    ///
    /// A repeated offer changes nothing, since it lacks what has run here since the first one.
    ///
    /// # Errors
    ///
    /// See [`AcceptError`]; the ledger is unchanged then.
    pub fn accept_offer(&mut self, offer: &Offer) -> Result<Accepted, AcceptError> {
        let for_this_incarnation =
            offer.to_incarnation == self.incarnation || !self.guards.bind_successor;
        if offer.to != self.instance || !for_this_incarnation {
            return Err(AcceptError::WrongRecipient);
        }
        if self.phase != Phase::Open {
            return Err(AcceptError::Stopping);
        }
        let predecessor = (offer.from.clone(), offer.from_incarnation);
        if !self.accepted_incarnations.contains_key(&predecessor) {
            self.check_capacity(offer)?;
            self.apply_offer(offer);
        } else if !self.guards.accept_once {
            self.apply_offer(offer);
        }
        Ok(Accepted {
            from: offer.from.clone(),
            from_incarnation: offer.from_incarnation,
            by: self.instance.clone(),
            by_incarnation: self.incarnation,
        })
    }

    fn check_capacity(&self, offer: &Offer) -> Result<(), AcceptError> {
        let records = offer.records.iter().map(|handover| &handover.record);
        if self.tickets.has_room_for(records) {
            Ok(())
        } else {
            Err(AcceptError::TooMany)
        }
    }

    fn apply_offer(&mut self, offer: &Offer) {
        for (instance, incarnation, watermarks) in &offer.origins {
            let watermarks = if self.guards.transfer_watermarks {
                *watermarks
            } else {
                TicketWatermarks::default()
            };
            let key = (instance.clone(), *incarnation);
            self.accepted_incarnations.insert(key, watermarks);
        }
        if !self.guards.accept_once {
            self.tickets.clear();
        }
        for handover in &offer.records {
            let record = handover.record.clone();
            self.tickets
                .import_record(handover.nonce, handover.expires_at_ms, record);
        }
    }

    fn make_offer(&self, to: InstanceId, to_incarnation: Incarnation, now: Now) -> Offer {
        let (records, dropped_until_ms) = self.records_within_limit();
        Offer {
            from: self.instance.clone(),
            from_incarnation: self.incarnation,
            to,
            to_incarnation,
            origins: self.watermarks_at(now, dropped_until_ms),
            records,
        }
    }

    /// Watermarks advanced past all tickets that have expired by this clock and all dropped
    /// records.
    ///
    /// The successor's clock may be behind. It would then run a ticket whose outcome was forgotten
    /// here, or whose caller was told that it expired unused.
    fn watermarks_at(
        &self,
        now: Now,
        dropped_until_ms: u64,
    ) -> Vec<(InstanceId, Incarnation, TicketWatermarks)> {
        let wall_ms = self.clock.wall_ms(now);
        let forgotten_until_ms = self.forgotten_until_ms(now).max(dropped_until_ms);
        let advance = |watermarks: &TicketWatermarks| TicketWatermarks {
            closed_until_ms: watermarks.closed_until_ms.max(wall_ms),
            forgotten_until_ms: watermarks.forgotten_until_ms.max(forgotten_until_ms),
        };
        self.accepted_incarnations
            .iter()
            .map(|((instance, incarnation), watermarks)| {
                (instance.clone(), *incarnation, advance(watermarks))
            })
            .collect()
    }

    /// Records that fit into an offer, latest expiry first, and the latest expiry of a dropped one,
    /// in milliseconds; 0 if all fit.
    fn records_within_limit(&self) -> (Vec<HandoverRecord>, u64) {
        let mut records = Vec::new();
        let mut bytes = 0;
        for (nonce, expires_at_ms, state) in self.tickets.by_latest_expiry() {
            let handover = HandoverRecord {
                nonce,
                expires_at_ms,
                record: handover_outcome(state),
            };
            bytes += RECORD_OVERHEAD_BYTES + handover.record.bytes();
            if bytes > self.bounds.offer_bytes_max {
                return (records, handover.expires_at_ms);
            }
            records.push(handover);
        }
        (records, 0)
    }
}

/// Record that a successor gets for a filing; `unknown` if it is still running.
fn handover_outcome(state: &TicketState) -> Record {
    match state {
        TicketState::Running => unknown_record(),
        TicketState::Ended(record) => record.clone(),
    }
}

/// State: waits for running filings to end.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Draining;

/// State: has made its offer and waits for the acknowledgement.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Offered {
    offer: Offer,
}

/// State: the successor has acknowledged the offer.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HandedOver {
    successor: InstanceId,
}

/// Ledger of a stopping entry, in state `S`: [`Draining`], [`Offered`] or [`HandedOver`].
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Stopping<S> {
    ledger: Ledger,
    state: S,
}

impl<S> Stopping<S> {
    /// See [`Ledger::begin`]; never returns [`TicketDecision::Run`].
    pub fn begin(&mut self, ticket: &Ticket, now: Now) -> TicketDecision {
        self.ledger.begin(ticket, now)
    }

    /// See [`Ledger::refuse`].
    pub fn refuse(&mut self, ticket: &Ticket, now: Now) -> TicketDecision {
        self.ledger.refuse(ticket, now)
    }

    /// See [`Ledger::finish`].
    pub fn finish(&mut self, nonce: Nonce, record: Record) {
        self.ledger.finish(nonce, record);
    }

    /// See [`Ledger::remove_unsent`].
    pub fn remove_unsent(&mut self, nonce: Nonce) {
        self.ledger.remove_unsent(nonce);
    }

    /// See [`Ledger::expire`].
    pub fn expire(&mut self, now: Now) -> usize {
        self.ledger.expire(now)
    }

    /// See [`Ledger::mark_written`].
    pub fn mark_written(&mut self, nonces: &[Nonce]) {
        self.ledger.mark_written(nonces);
    }

    /// Read access to the ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}

impl Stopping<Draining> {
    /// Closes the ledger and makes the only offer of this incarnation.
    ///
    /// Filings that still run are recorded in it as `unknown`, so prefer to call this once
    /// `ledger().running()` is 0.
    pub fn offer(
        mut self,
        to: InstanceId,
        to_incarnation: Incarnation,
        now: Now,
    ) -> Stopping<Offered> {
        self.ledger.phase = Phase::Closed { successor: None };
        let offer = self.ledger.make_offer(to, to_incarnation, now);
        Stopping {
            ledger: self.ledger,
            state: Offered { offer },
        }
    }
}

impl Stopping<Offered> {
    /// The offer, to be sent and resent.
    pub fn offer(&self) -> &Offer {
        &self.state.offer
    }

    /// Handles the successor's acknowledgement.
    ///
    /// # Errors
    ///
    /// Returns `self` unchanged if the acknowledgement belongs to another offer.
    pub fn acknowledged(mut self, accepted: &Accepted) -> Result<Stopping<HandedOver>, Box<Self>> {
        let offer = &self.state.offer;
        let same_predecessor =
            (&accepted.from, accepted.from_incarnation) == (&offer.from, offer.from_incarnation);
        let same_successor =
            (&accepted.by, accepted.by_incarnation) == (&offer.to, offer.to_incarnation);
        if !(same_predecessor && same_successor) {
            return Err(Box::new(self));
        }
        let successor = offer.to.clone();
        self.ledger.phase = Phase::Closed {
            successor: Some(successor.clone()),
        };
        Ok(Stopping {
            ledger: self.ledger,
            state: HandedOver { successor },
        })
    }
}

impl Stopping<HandedOver> {
    /// Entry that has taken over the records and runs the unused tickets.
    pub fn successor(&self) -> &InstanceId {
        &self.state.successor
    }
}

//! The ledger of filings, in its current stage of the process's lifecycle.
//!
//! The crate `filing` has one type per stage, so that an operation that a stage forbids doesn't
//! compile. Traffic threads share a single value whose stage control advances, so this module
//! dispatches each call to the type of the current stage.

use base::{
    Incarnation,
    InstanceId,
    Now, //
};
use filing::{
    Accepted,
    Draining,
    HandedOver,
    Ledger,
    Nonce,
    Offer,
    Offered,
    Record,
    Stopping,
    Ticket, //
    TicketDecision,
};

/// Ledger in its current stage.
pub(crate) enum Filings {
    /// Accepts and runs filings.
    Open(Ledger),
    /// Starts no filing; running ones continue.
    Draining(Stopping<Draining>),
    /// The single handover offer was made.
    Offered(Stopping<Offered>),
    /// The successor has acknowledged the handover.
    HandedOver(Stopping<HandedOver>),
}

/// Evaluates an expression on the ledger of the current stage.
macro_rules! dispatch {
    ($filings:expr, $ledger:ident => $call:expr) => {
        match $filings {
            Filings::Open($ledger) => $call,
            Filings::Draining($ledger) => $call,
            Filings::Offered($ledger) => $call,
            Filings::HandedOver($ledger) => $call,
        }
    };
}

impl Filings {
    /// Decides how to handle a request with `ticket`.
    pub(crate) fn begin(&mut self, ticket: &Ticket, now: Now) -> TicketDecision {
        dispatch!(self, ledger => ledger.begin(ticket, now))
    }

    /// Decides how to answer a request with `ticket` that the entry itself declines to run.
    pub(crate) fn refuse(&mut self, ticket: &Ticket, now: Now) -> TicketDecision {
        dispatch!(self, ledger => ledger.refuse(ticket, now))
    }

    /// Up to `count` outcomes that are not written to the table yet.
    pub(crate) fn unwritten(&self, count: usize) -> Vec<(Nonce, Record)> {
        match self {
            Self::Open(ledger) => ledger.unwritten(count),
            Self::Draining(stopping) => stopping.ledger().unwritten(count),
            Self::Offered(stopping) => stopping.ledger().unwritten(count),
            Self::HandedOver(stopping) => stopping.ledger().unwritten(count),
        }
    }

    /// Marks these outcomes as written to the table.
    pub(crate) fn mark_written(&mut self, nonces: &[Nonce]) {
        dispatch!(self, ledger => ledger.mark_written(nonces));
    }

    /// Records the outcome of a running filing.
    pub(crate) fn finish(&mut self, nonce: Nonce, record: Record) {
        dispatch!(self, ledger => ledger.finish(nonce, record));
    }

    /// Drops expired records.
    pub(crate) fn expire(&mut self, now: Now) {
        dispatch!(self, ledger => ledger.expire(now));
    }

    /// Stops starting filings.
    pub(crate) fn stop(self) -> Self {
        match self {
            Self::Open(ledger) => Self::Draining(ledger.stop()),
            stopping => stopping,
        }
    }

    /// Makes the single handover offer; a later call keeps it.
    pub(crate) fn offer(self, to: &InstanceId, incarnation: Incarnation, now: Now) -> Self {
        match self {
            Self::Draining(ledger) => Self::Offered(ledger.offer(to.clone(), incarnation, now)),
            other => other,
        }
    }

    /// Offer that is not acknowledged yet.
    pub(crate) fn offered(&self) -> Option<&Offer> {
        match self {
            Self::Offered(ledger) => Some(ledger.offer()),
            _ => None,
        }
    }

    /// Processes a successor's acknowledgement; one for another offer has no effect.
    pub(crate) fn acknowledged(self, accepted: &Accepted) -> Self {
        match self {
            Self::Offered(ledger) => match ledger.acknowledged(accepted) {
                Ok(ledger) => Self::HandedOver(ledger),
                Err(ledger) => Self::Offered(*ledger),
            },
            other => other,
        }
    }

    /// Takes over what a stopping entry offers; `None` if this ledger can't.
    pub(crate) fn accept_offer(&mut self, offer: &Offer) -> Option<Accepted> {
        match self {
            Self::Open(ledger) => ledger.accept_offer(offer).ok(),
            _ => None,
        }
    }
}

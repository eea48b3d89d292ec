//! The ledger of filings, in whichever stage of the process's life it is.
//!
//! Crate `filing` has a type for each stage, so that what may not happen any more can't be called.
//! Traffic threads meet one value whose stage control moves on; here each call is passed to the
//! type that is there.

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

/// Ledger with the stage it is in.
pub(crate) enum Filings {
    /// Runs tickets.
    Open(Ledger),
    /// Starts nothing; what runs goes on.
    Draining(Stopping<Draining>),
    /// Its one offer was made.
    Offered(Stopping<Offered>),
    /// The successor has all.
    HandedOver(Stopping<HandedOver>),
}

/// Calls the same method on whichever ledger is there.
macro_rules! each {
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
    /// Decides what to do with a request that brings `ticket`.
    pub(crate) fn begin(&mut self, ticket: &Ticket, now: Now) -> TicketDecision {
        each!(self, ledger => ledger.begin(ticket, now))
    }

    /// Decides what to tell a request that the entry won't run, for reasons of its own.
    pub(crate) fn refuse(&mut self, ticket: &Ticket, now: Now) -> TicketDecision {
        each!(self, ledger => ledger.refuse(ticket, now))
    }

    /// Outcomes that are not in the table yet, up to `count`.
    pub(crate) fn unwritten(&self, count: usize) -> Vec<(Nonce, Record)> {
        match self {
            Self::Open(ledger) => ledger.unwritten(count),
            Self::Draining(stopping) => stopping.ledger().unwritten(count),
            Self::Offered(stopping) => stopping.ledger().unwritten(count),
            Self::HandedOver(stopping) => stopping.ledger().unwritten(count),
        }
    }

    /// Notes that these outcomes are in the table.
    pub(crate) fn written(&mut self, nonces: &[Nonce]) {
        each!(self, ledger => ledger.mark_written(nonces));
    }

    /// Keeps what came of a running filing.
    pub(crate) fn finish(&mut self, nonce: Nonce, record: Record) {
        each!(self, ledger => ledger.finish(nonce, record));
    }

    /// Forgets what is long over.
    pub(crate) fn expire(&mut self, now: Now) {
        each!(self, ledger => ledger.expire(now));
    }

    /// Starts nothing from now on.
    pub(crate) fn stop(self) -> Self {
        match self {
            Self::Open(ledger) => Self::Draining(ledger.stop()),
            stopping => stopping,
        }
    }

    /// Makes the one offer, or repeats it.
    pub(crate) fn offer(self, to: &InstanceId, life: Incarnation, now: Now) -> Self {
        match self {
            Self::Draining(ledger) => Self::Offered(ledger.offer(to.clone(), life, now)),
            other => other,
        }
    }

    /// The offer that waits for its acknowledgement.
    pub(crate) fn offered(&self) -> Option<&Offer> {
        match self {
            Self::Offered(ledger) => Some(ledger.offer()),
            _ => None,
        }
    }

    /// Takes a successor's acknowledgement; one of another offer changes nothing.
    pub(crate) fn acknowledged(self, accepted: &Accepted) -> Self {
        match self {
            Self::Offered(ledger) => match ledger.acknowledged(accepted) {
                Ok(ledger) => Self::HandedOver(ledger),
                Err(ledger) => Self::Offered(*ledger),
            },
            other => other,
        }
    }

    /// Takes over what a stopping entry offers; `None` when it can't.
    pub(crate) fn adopt(&mut self, offer: &Offer) -> Option<Accepted> {
        match self {
            Self::Open(ledger) => ledger.accept_offer(offer).ok(),
            _ => None,
        }
    }
}

//! Hand-over at a planned stop: records and the right to unused tickets go to a successor.
//!
//! The giver closes first and never opens again, then makes one offer, to one incarnation of one
//! successor, and may repeat just that. So whatever is lost, at most one ledger runs a ticket: the
//! giver's before the offer, the successor's after it. If the acknowledgement is lost the giver
//! names no successor and answers `unknown`.

use crate::{
    ledger::Phase,
    memory::{
        unknown_record,
        Fate, //
    },
    Begin,
    Ledger,
    Nonce,
    Record,
    Ticket, //
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

/// What a record takes in an encoded offer besides its headers and body, at most.
const HANDED_BYTES: usize = 160;

/// What is known of the tickets of one incarnation, besides the records.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Origin {
    /// Tickets that end no later than this never run unless they did: wall time, milliseconds.
    pub closed_until_ms: u64,
    /// Outcomes of tickets that end no later than this may be forgotten: wall time, milliseconds.
    pub forgotten_until_ms: u64,
}

/// Record of one ticket on its way to a successor.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HandedRecord {
    /// The ticket's nonce.
    pub nonce: Nonce,
    /// The ticket's end: wall time, milliseconds.
    pub expires_at_ms: u64,
    /// What came of it; `unknown` for what was still running.
    pub record: Record,
}

/// Message of a stopping entry to its successor.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Offer {
    /// Entry that stops.
    pub from: InstanceId,
    /// Its life.
    pub from_incarnation: Incarnation,
    /// The one successor.
    pub to: InstanceId,
    /// Its life; a later one must not take the offer, for it forgot what the earlier one ran.
    pub to_incarnation: Incarnation,
    /// Incarnations whose unused tickets the successor may run.
    pub origins: Vec<(InstanceId, Incarnation, Origin)>,
    /// What the giver remembers; tickets of records that didn't fit are closed by the origins.
    pub records: Vec<HandedRecord>,
}

/// A successor's acknowledgement of an [`Offer`].
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Accepted {
    /// Entry that stops.
    pub from: InstanceId,
    /// Its life.
    pub from_incarnation: Incarnation,
    /// The successor.
    pub by: InstanceId,
    /// Its life.
    pub by_incarnation: Incarnation,
}

/// Why an offer wasn't taken.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AdoptError {
    /// It is for another entry, or another life of this one.
    NotForMe,
    /// This entry is stopping too.
    Stopping,
    /// The records don't fit.
    TooMany,
}

impl fmt::Display for AdoptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotForMe => "the offer is for another incarnation",
            Self::Stopping => "the successor is stopping",
            Self::TooMany => "the successor has no room for the records",
        })
    }
}

impl std::error::Error for AdoptError {}

impl Ledger {
    /// Starts nothing from now on; what runs goes on.
    pub fn stop(mut self) -> Stopping<Draining> {
        self.phase = Phase::Draining;
        Stopping {
            ledger: self,
            state: Draining,
        }
    }

    /// Takes over the records and the unused tickets of a stopping entry.
    ///
    /// A repeated offer changes nothing: it lacks what was run here since the first.
    ///
    /// # Errors
    ///
    /// See [`AdoptError`]; nothing was taken over then.
    pub fn adopt(&mut self, offer: &Offer) -> Result<Accepted, AdoptError> {
        let for_my_life = offer.to_incarnation == self.incarnation || !self.guards.bind_successor;
        if offer.to != self.me || !for_my_life {
            return Err(AdoptError::NotForMe);
        }
        if self.phase != Phase::Open {
            return Err(AdoptError::Stopping);
        }
        let giver = (offer.from.clone(), offer.from_incarnation);
        if !self.origins.contains_key(&giver) {
            self.check_room(offer)?;
            self.take_over(offer);
        } else if !self.guards.adopt_once {
            self.take_over(offer);
        }
        Ok(Accepted {
            from: offer.from.clone(),
            from_incarnation: offer.from_incarnation,
            by: self.me.clone(),
            by_incarnation: self.incarnation,
        })
    }

    fn check_room(&self, offer: &Offer) -> Result<(), AdoptError> {
        let records = offer.records.iter().map(|handed| &handed.record);
        if self.memory.has_room_for(records) {
            Ok(())
        } else {
            Err(AdoptError::TooMany)
        }
    }

    fn take_over(&mut self, offer: &Offer) {
        for (instance, incarnation, origin) in &offer.origins {
            let carried = if self.guards.carry_closed {
                *origin
            } else {
                Origin::default()
            };
            let key = (instance.clone(), *incarnation);
            self.origins.insert(key, carried);
        }
        if !self.guards.adopt_once {
            self.memory.forget_all();
        }
        for handed in &offer.records {
            let record = handed.record.clone();
            self.memory
                .take_record(handed.nonce, handed.expires_at_ms, record);
        }
    }

    fn offer(&self, to: InstanceId, to_incarnation: Incarnation, now: Now) -> Offer {
        let (records, dropped_until_ms) = self.handed_records();
        Offer {
            from: self.me.clone(),
            from_incarnation: self.incarnation,
            to,
            to_incarnation,
            origins: self.origins_at(now, dropped_until_ms),
            records,
        }
    }

    /// The origins, closed for all that this clock calls expired and for all dropped records.
    ///
    /// The successor's clock may be behind: it would run a ticket whose outcome was forgotten
    /// here, or of which a caller was told that it expired unused.
    fn origins_at(
        &self,
        now: Now,
        dropped_until_ms: u64,
    ) -> Vec<(InstanceId, Incarnation, Origin)> {
        let wall_ms = self.clock.wall_ms(now);
        let forgotten_until_ms = self.forgotten_until_ms(now).max(dropped_until_ms);
        let at_now = |origin: &Origin| Origin {
            closed_until_ms: origin.closed_until_ms.max(wall_ms),
            forgotten_until_ms: origin.forgotten_until_ms.max(forgotten_until_ms),
        };
        self.origins
            .iter()
            .map(|((instance, incarnation), origin)| {
                (instance.clone(), *incarnation, at_now(origin))
            })
            .collect()
    }

    /// Records that fit an offer, those whose tickets end last first, and the end of the last
    /// ticket that was dropped.
    fn handed_records(&self) -> (Vec<HandedRecord>, u64) {
        let mut records = Vec::new();
        let mut bytes = 0;
        for (nonce, expires_at_ms, fate) in self.memory.latest_first() {
            let handed = HandedRecord {
                nonce,
                expires_at_ms,
                record: record_of(fate),
            };
            bytes += HANDED_BYTES + handed.record.bytes();
            if bytes > self.bounds.offer_bytes_max {
                return (records, handed.expires_at_ms);
            }
            records.push(handed);
        }
        (records, 0)
    }
}

/// What a successor tells of a filing; of one that still runs nobody can tell its outcome.
fn record_of(fate: &Fate) -> Record {
    match fate {
        Fate::Running => unknown_record(),
        Fate::Ended(record) => record.clone(),
    }
}

/// Waits for what runs.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Draining;

/// Has made its offer and waits for the acknowledgement.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Offered {
    offer: Offer,
}

/// Knows that the successor has all.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HandedOver {
    successor: InstanceId,
}

/// Ledger of an entry that stops, in state `S`: [`Draining`], [`Offered`], [`HandedOver`].
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Stopping<S> {
    ledger: Ledger,
    state: S,
}

impl<S> Stopping<S> {
    /// See [`Ledger::begin`]; never [`Begin::Run`].
    pub fn begin(&mut self, ticket: &Ticket, now: Now) -> Begin {
        self.ledger.begin(ticket, now)
    }

    /// See [`Ledger::refuse`].
    pub fn refuse(&mut self, ticket: &Ticket, now: Now) -> Begin {
        self.ledger.refuse(ticket, now)
    }

    /// See [`Ledger::finish`].
    pub fn finish(&mut self, nonce: Nonce, record: Record) {
        self.ledger.finish(nonce, record);
    }

    /// See [`Ledger::unsent`].
    pub fn unsent(&mut self, nonce: Nonce) {
        self.ledger.unsent(nonce);
    }

    /// See [`Ledger::expire`].
    pub fn expire(&mut self, now: Now) -> usize {
        self.ledger.expire(now)
    }

    /// See [`Ledger::written`].
    pub fn written(&mut self, nonces: &[Nonce]) {
        self.ledger.written(nonces);
    }

    /// The ledger, to read from.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}

impl Stopping<Draining> {
    /// Closes, and makes the one offer that this incarnation will ever make.
    ///
    /// What still runs goes into it as `unknown`: better after `ledger().running()` is 0.
    pub fn offer(
        mut self,
        to: InstanceId,
        to_incarnation: Incarnation,
        now: Now,
    ) -> Stopping<Offered> {
        self.ledger.phase = Phase::Closed { successor: None };
        let offer = self.ledger.offer(to, to_incarnation, now);
        Stopping {
            ledger: self.ledger,
            state: Offered { offer },
        }
    }
}

impl Stopping<Offered> {
    /// The offer, to be sent and repeated.
    pub fn offer(&self) -> &Offer {
        &self.state.offer
    }

    /// Takes the successor's acknowledgement.
    ///
    /// # Errors
    ///
    /// Gives itself back if the acknowledgement belongs to another offer.
    pub fn acknowledged(mut self, accepted: &Accepted) -> Result<Stopping<HandedOver>, Box<Self>> {
        let offer = &self.state.offer;
        let same_giver =
            (&accepted.from, accepted.from_incarnation) == (&offer.from, offer.from_incarnation);
        let same_successor =
            (&accepted.by, accepted.by_incarnation) == (&offer.to, offer.to_incarnation);
        if !(same_giver && same_successor) {
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
    /// Entry that has the records and runs what is unused.
    pub fn successor(&self) -> &InstanceId {
        &self.state.successor
    }
}

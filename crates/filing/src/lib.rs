//! Non-idempotent work: tickets, claims and outcome records that make it run at most once.
//!
//! A caller files non-idempotent work in one of two ways.
//!
//! With a [`Ticket`], made by the entry that answered the look-up. It binds the filing to one
//! incarnation of one entry, whose [`Ledger`] is the only judge of whether it may run, and asks
//! the platform nothing; what came of it is written to the table afterwards, for whoever asks when
//! this process is gone. At a planned stop a [`Stopping`] ledger closes, then offers its records
//! and the right to its unused tickets to one incarnation of one successor.
//!
//! With a key of the caller's, claimed by a conditional insert into the table before anything is
//! sent: [`Claimer`] is the state machine of one request, [`Batch`] puts the inserts of many
//! callers into one transaction, and [`Releaser`] gives up a claim that was never used.
//!
//! Invariants: of one ticket, and of one claimed key, at most one request is ever sent; an answer
//! `not-run` is final, so no late copy of the ticket runs after it; an outcome is never forgotten
//! while a copy of its ticket could still be taken for a new one.
//!
//! Start with `ticket`, then `ledger`, which decides, and `memory`, which it decides from. The
//! reasons, and the gap that remains between the last check and the send, are in
//! `docs/design/filing.md`; the searches are in crate `model`.

mod batch;
mod bounds;
mod claim;
mod claimer;
mod clock;
mod escape;
mod guards;
mod handover;
mod ledger;
mod memory;
mod record;
mod refuse;
mod releaser;
mod ticket;

pub use batch::{
    Batch,
    Commit,
    CommitAnswer,
    Insert,
    Row,
    NO_CALLER, //
};
pub use bounds::Bounds;
pub use claim::{
    claim_key,
    Claim,
    ClaimState,
    MalformedClaim, //
};
pub use claimer::{
    may_send,
    ClaimAnswer,
    ClaimEvent,
    ClaimStep,
    Claimant, //
    Claimer,
};
pub use clock::WallClock;
pub use guards::Guards;
pub use handover::{
    Accepted,
    AdoptError,
    Draining,
    HandedOver,
    HandedRecord,
    Offer,
    Offered,
    Origin,
    Stopping, //
};
pub use ledger::{
    Begin,
    Ledger, //
};
pub use record::{
    outcome_key,
    MalformedRecord,
    Record, //
};
pub use refuse::RefuseReason;
pub use releaser::{
    ReleaseStep,
    Releaser, //
};
pub use ticket::{
    Key,
    Ticket,
    TicketError, //
};

/// Number that makes a ticket unique; random, 128 bits.
pub type Nonce = u128;
/// Number that makes a claim its holder's own; random, 128 bits.
pub type Token = u128;

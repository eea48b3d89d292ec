//! At-most-once execution of non-idempotent requests, by tickets, claims and outcome records.
//!
//! A filing is one non-idempotent request. A caller submits it in one of two ways.
//!
//! With a [`Ticket`], issued by the entry that answered the lookup. It binds the filing to one
//! incarnation of one entry. Only that entry's [`Ledger`] decides whether the filing may run, and
//! it decides without calling the platform. The outcome is written to the platform's table
//! afterwards, so that it can be read once this process is gone. At a planned stop, a [`Stopping`]
//! ledger closes, then offers its records and the right to run its unused tickets to one
//! incarnation of one successor.
//!
//! With an idempotency key of the caller's, claimed by a conditional insert into the table before
//! anything is sent: [`Claimer`] is the state machine of one request, [`Batch`] combines the writes
//! of many callers into one transaction, and [`Releaser`] releases a claim that was never used.
//!
//! Invariants: for each ticket, and for each claimed key, at most one request is ever sent; the
//! outcome `not-run` is final, so no late copy of the ticket runs after it; an outcome is never
//! forgotten while a copy of its ticket could still be taken for a new one.
//!
//! Start with `ticket`, then `ledger`, which decides, and `ticket_store`, which holds the state it
//! decides from. Design reasons, and the gap that remains between the last check and the send, are
//! in `docs/design/filing.md`; the model checks are in crate `model`.

mod batch;
mod bounds;
mod claim;
mod claimer;
mod clock;
mod escape;
mod guards;
mod handover;
mod ledger;
mod record;
mod refuse;
mod releaser;
mod ticket;
mod ticket_store;

pub use batch::{
    Batch,
    Commit,
    CommitResult,
    ConditionalWrite,
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
    ClaimEvent,
    ClaimResult,
    ClaimStep,
    Claimant, //
    Claimer,
};
pub use clock::WallClock;
pub use guards::Guards;
pub use handover::{
    AcceptError,
    Accepted,
    Draining,
    HandedOver,
    HandoverRecord,
    Offer,
    Offered,
    Stopping,
    TicketWatermarks, //
};
pub use ledger::{
    Ledger, //
    TicketDecision,
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

/// Random 128-bit number that makes a ticket unique.
pub type Nonce = u128;
/// Random 128-bit number that identifies the holder of a claim.
pub type Token = u128;

//! The operators' configuration: classes, targets, caps and drains, with validation, versions and
//! comparison.
//!
//! Operators state the targets of each class of work and the capacity of each link; they never
//! state weights or addresses. This crate uses no clock, socket or randomness. It has three parts.
//!
//! *The configuration.* [`Config`] is the value, [`parse()`] reads it from YAML and reports every
//! finding with its location, [`verify()`] returns the rules that a value violates, `Display`
//! prints the canonical text, and [`diff()`] compares two configurations. Edits such as
//! [`Config::with_drain`] return a new value. `examples/kilima.yaml` explains each field.
//!
//! *Accepting a version.* [`Proposal`] holds a configuration with the objects to store, and
//! [`Accept`] is the state machine that stores them and moves the head by compare-and-set:
//!
//! ```
//! # use spec::{Accept, AcceptAction, AcceptEvent, CommitOutcome, Guards, Proposal, WriteOutcome};
//! # fn drive(proposal: Proposal) -> spec::AcceptOutcome {
//! let (mut accept, mut action) = Accept::start(proposal, Guards::ALL);
//! loop {
//!     // A driver waits for `accept.backoff()` here, then sends the request to the platform.
//!     let event = match action {
//!         AcceptAction::Store { .. } => AcceptEvent::Stored(WriteOutcome::Done(())),
//!         AcceptAction::Read { keys } => AcceptEvent::Rows(Some(vec![None; keys.len()])),
//!         AcceptAction::Commit { .. } => {
//!             AcceptEvent::Commit(WriteOutcome::Done(CommitOutcome::Committed))
//!         }
//!         AcceptAction::Finish(outcome) => return outcome,
//!     };
//!     action = accept.handle(event).expect("The event answers the last action.");
//! }
//! # }
//! ```
//!
//! *Adopting a version.* In a daemon, [`Adopt`] takes [`Head`]s from the table and from peers,
//! requests objects by [`Digest`], and returns an [`Adopted`] version once it is complete.
//!
//! Invariants: equal configurations are equal values with equal texts; an accept reports "accepted"
//! or "not accepted" only when that is certain; a daemon's version never decreases; a daemon is not
//! ready before it has the highest version known to any source that it asked. [`Guards`] switches
//! off the mechanisms behind these invariants one by one for the state search in `model`, which
//! runs the same state machines.
//!
//! See `conf` for reading YAML, `blocks` for client blocks and `docs/design/versions.md` for the
//! design decisions.

mod config;
mod diff;
mod drain;
mod item;
mod limits;
mod parse;
mod text;
mod verify;
mod version;

pub use config::{
    BlockRule,
    Cap,
    Class,
    Config,
    Drain,
    Region,
    TargetUpdate, //
};
pub use diff::{
    diff,
    Change,
    ChangeKind, //
};
pub use drain::{
    DrainTarget,
    MalformedDrainTarget, //
};
pub use item::Item;
pub use parse::parse;
pub use verify::{
    verify,
    Section,
    Subject,
    Violation, //
};
pub use version::{
    parse_blocks,
    Accept,
    AcceptAction,
    AcceptEvent,
    AcceptId,
    AcceptOutcome,
    Adopt,
    AdoptAction,
    AdoptEvent,
    Adopted,
    BlockChange,
    BlockObject,
    BlockReader,
    Body,
    Check,
    CommitOutcome,
    Digest,
    FetchFailure,
    Guards,
    Head,
    MalformedHead,
    MalformedId,
    Object,
    ObjectError,
    Offer,
    Proposal,
    ProposalError,
    RowKey,
    RowValue,
    Source,
    Write, //
    WriteOutcome,
};

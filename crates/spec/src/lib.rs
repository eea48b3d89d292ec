//! The operators' configuration: classes, targets, caps, drains; checked whole, versioned, compared.
//!
//! Operators say what they want of each class of work and what each link may carry; they never
//! state weights or addresses. This crate has the words for that, and no clock, socket or
//! randomness. It has three parts.
//!
//! *What is configured.* [`Config`] is the value, [`parse()`] reads it from YAML and reports every
//! finding at its place, [`verify()`] says what does not hold of a value whoever built it, `Display`
//! prints the canonical text, and [`diff()`] compares two. Edits such as [`Config::with_drain`] give
//! a new value. `examples/kilima.yaml` explains each field.
//!
//! *How a version is accepted.* [`Proposal`] holds a configuration with the objects to store, and
//! [`Accept`] is the state machine that stores them and moves the head by compare-and-set:
//!
//! ```
//! # use spec::{Accept, AcceptAction, AcceptEvent, Answer, CommitAnswer, Guards, Proposal};
//! # fn drive(proposal: Proposal) -> spec::AcceptOutcome {
//! let (mut accept, mut action) = Accept::start(proposal, Guards::ALL);
//! loop {
//!     // Here a driver waits for `accept.pause()`, then asks the platform.
//!     let event = match action {
//!         AcceptAction::Store { .. } => AcceptEvent::Stored(Answer::Done(())),
//!         AcceptAction::Read { keys } => AcceptEvent::Rows(Some(vec![None; keys.len()])),
//!         AcceptAction::Commit { .. } => {
//!             AcceptEvent::Commit(Answer::Done(CommitAnswer::Committed))
//!         }
//!         AcceptAction::Finish(outcome) => return outcome,
//!     };
//!     action = accept.handle(event).expect("It is the answer to what was asked.");
//! }
//! # }
//! ```
//!
//! *How a daemon adopts it.* [`Adopt`] takes [`Head`]s from the table and from peers, asks for
//! objects by [`Digest`], and gives an [`Adopted`] version once it is whole.
//!
//! Invariants: equal configurations are equal values with equal texts; an operator is told
//! "accepted" or "not accepted" only when it is true; a daemon's version only grows; a daemon is not
//! ready before it has the highest version that any source it asked knows of. [`Guards`] switches
//! the mechanisms behind them off one by one for the search in `model`, which runs these very
//! machines.
//!
//! Where to go next: `conf` for reading YAML, `blocks` for client blocks,
//! `docs/design/versions.md` for what was weighed.

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
    Target, //
};
pub use diff::{
    diff,
    Change,
    ChangeKind, //
};
pub use drain::{
    DrainTarget,
    UnknownTarget, //
};
pub use item::Item;
pub use parse::parse;
pub use verify::{
    verify,
    Fault,
    Section,
    Subject, //
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
    Answer,
    BlockChange,
    BlockObject,
    BlockReader,
    Body,
    Check,
    CommitAnswer,
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
};

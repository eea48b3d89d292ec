//! The operators' configuration: classes, targets, caps, drains; checked whole, versioned, compared.

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

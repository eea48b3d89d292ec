//! Versions of the configuration: accepting a version, and its adoption by daemons.

mod accept;
mod adopt;
mod guards;
mod head;
mod id;
mod object;
mod proposal;

pub use accept::{
    Accept,
    AcceptAction,
    AcceptEvent,
    AcceptOutcome,
    Check,
    CommitOutcome,
    RowKey,
    RowValue,
    Write, //
    WriteOutcome,
};
pub use adopt::{
    Adopt,
    AdoptAction,
    AdoptEvent,
    Adopted,
    FetchFailure,
    Offer,
    Source, //
};
pub use guards::Guards;
pub use head::{
    Head,
    MalformedHead, //
};
pub use id::{
    AcceptId,
    Digest,
    MalformedId, //
};
pub use object::{
    BlockObject,
    Body,
    Object,
    ObjectError, //
};
pub use proposal::{
    parse_blocks,
    BlockChange,
    BlockReader,
    Proposal,
    ProposalError, //
};

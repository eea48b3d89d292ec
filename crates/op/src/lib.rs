//! The operators' port: its messages, and the client of it.
//!
//! A daemon answers operators with JSON on a port of its own. Here are the messages of both sides,
//! so that the daemon, `jasminectl` and `jasmine-report` can't drift apart, and [`Client`], which
//! tries the daemons it was given one after the other.
//!
//! Invariants: a request that changes something carries an accept id, so that repeating it is
//! harmless and tells what became of it. [`Failure`] says "nothing changed" only when that is
//! certain; a lost answer is [`Failure::Unknown`] until a repeat was answered for certain.
//!
//! Start with `request` and `answer` for the words, `refusal` for what goes wrong, and `client`.

mod answer;
mod burn;
mod change;
mod client;
mod daemon;
mod failure;
mod key;
mod refusal;
mod request;

pub use answer::{
    Accepted,
    AcceptedHow,
    Bounds,
    ConfigAnswer,
    Confirmation,
    DrainStatus,
    Drains,
    InFlight,
    InstanceStatus,
    Instances,
    PoolStatus,
    ResourceStatus,
    ShareStatus,
    Shares,
    Status,
    Unconfirmed, //
};
pub use burn::{
    Bucket,
    Burn, //
    ClassBurn,
};
pub use change::Change;
pub use client::Client;
pub use daemon::{
    read_addr,
    Daemon, //
};
pub use failure::Failure;
pub use key::{
    read_key,
    KeyError,
    KEY_VARIABLE, //
};
pub use refusal::Refusal;
pub use request::{
    AcceptRequest,
    DrainAction,
    DrainRequest,
    TargetRequest,
    WITH_BLOCKS, //
};

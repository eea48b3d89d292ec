//! The operators' port: its messages and its client.
//!
//! A daemon serves operators with JSON on a separate port. This crate defines the messages of both
//! sides, so that the daemon, `jasminectl` and `jasmine-report` can't drift apart, and [`Client`],
//! which tries its configured daemons one after the other.
//!
//! Invariants: a request that changes state carries an accept id, so that repeating it is harmless
//! and returns the outcome. [`Failure`] states that nothing changed only when that is certain; a
//! lost response is [`Failure::Unknown`] until a repeat gets a definite response.
//!
//! Start with `request` and `response` for the messages, `refusal` for errors, and `client`.

mod burn;
mod change;
mod client;
mod daemon;
mod failure;
mod key;
mod refusal;
mod request;
mod response;

pub use burn::{
    Bucket,
    Burn, //
    ClassBurn,
};
pub use change::Change;
pub use client::Client;
pub use daemon::{
    parse_addr,
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
    CONTENT_TYPE_WITH_BLOCKS, //
};
pub use response::{
    AcceptEffect,
    Accepted,
    ConfigResponse,
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
    SlotUsage,
    Status,
    Unconfirmed, //
};

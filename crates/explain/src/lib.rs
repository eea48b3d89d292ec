//! Explains the course of a request and the likely cause of its failure from logs alone.
//!
//! Start with [`Logs`], which holds the lines of any number of processes. [`Logs::trace`] returns the lines
//! about one request in order, the changes of its entry's view around that time, and a [`Cause`].
//! [`Logs::failures`] finds the causes of all failed requests and counts the requests by cause.
//!
//! - `logs` parses and indexes lines, and records which could not be parsed.
//! - `trace` collects the lines of one request and the events around it.
//! - `summary` counts all requests by route, failure domain, boundary, cause and second.
//! - `text` describes each event in one line; `fault` lists the kinds of failure.
//! - `cause` determines the cause. It reads events only, so that each rule is short and has a test.
//!
//! Invariant: nothing is concluded from missing lines. A request without a line is reported as unknown,
//! with the signs of a lost line and of a request that never arrived.

mod cause;
mod fault;
mod logs;
mod summary;
mod text;
mod trace;

pub use cause::Cause;
pub use fault::Fault;
pub use logs::{
    LocatedLine,
    Logs,
    UnreadableLine, //
};
pub use summary::{
    OutcomeCounts,
    Summary, //
};
pub use trace::{
    RequestTrace,
    Step,
    UnknownRequest, //
};

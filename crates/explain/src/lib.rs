//! From a request's id to its story and its likely cause, by logs alone.
//!
//! Start with [`Logs`], which holds the lines of any number of processes, and [`Logs::story`]: the lines
//! about one request in order, what its entry believed meanwhile, and a [`Cause`]. [`Logs::failures`]
//! does the same for all requests that failed, and counts them by cause.
//!
//! - `logs` reads lines, and remembers which could not be read.
//! - `story` puts the lines of one request together, with their surroundings.
//! - `summary` counts all requests by what they have in common.
//! - `text` says each event in a line; `fault` lists what can go wrong.
//! - `cause` names what went wrong; it reads events only, so each rule is a few lines with a test.
//!
//! Invariant: nothing is guessed from what is missing. A request of which no line is there is unknown,
//! with what speaks for a lost line and for a request that never came.

mod cause;
mod fault;
mod logs;
mod story;
mod summary;
mod text;

pub use cause::Cause;
pub use fault::Fault;
pub use logs::{
    Logs,
    Placed,
    Unreadable, //
};
pub use story::{
    Step,
    Story,
    Unknown, //
};
pub use summary::{
    Ends,
    Summary, //
};

//! What an entry writes to its log.
//!
//! Start with [`Event`], which lists everything that is ever written, as types: whoever reads a log
//! (`explain`, `jasminectl explain`) reads the same types that [`emit`] wrote. A log is lines of JSON on
//! standard output; [`Line`] is one of them, with the time and the instance.
//!
//! - `event` lists the events; `request` holds those about one request.
//! - `writer` hands lines to a thread of its own through a bounded queue.
//! - `line` reads them.
//!
//! Invariants: [`emit`] never waits. A line that finds the queue full is dropped and counted
//! ([`take_dropped`]), and the process ends in time even if nobody reads its output.

mod event;
mod line;
mod request;
mod writer;

pub use balance::UpstreamCounts;
pub use event::{
    Event,
    Severity, //
};
pub use line::Line;
pub use request::{
    Expected,
    Outcome,
    Picture,
    Reason,
    RequestEnded,
    SendFailed,
    Sent, //
};
pub use writer::{
    emit,
    end_log,
    init_log,
    take_dropped, //
};

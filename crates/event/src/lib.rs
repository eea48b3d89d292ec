//! Typed log events of an entry.
//!
//! [`Event`] defines every event that is logged. Log readers (`explain`, `jasminectl explain`) parse the
//! same types that [`emit`] serialises. A log is a sequence of JSON lines on standard output; a [`Line`]
//! adds the time and the instance to an event.
//!
//! - `event` defines the events; `request` defines those about a single request.
//! - `writer` passes lines to a logging thread through a bounded queue.
//! - `line` parses log lines.
//!
//! Invariants: [`emit`] never blocks. If the queue is full, a line is dropped and counted
//! ([`take_dropped_lines`]), and the process exits in time even if nothing reads its output.

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
    HedgeOutcome,
    Outcome,
    QueueWait,
    Reason,
    RequestEnded,
    ResponseEstimate,
    SendFailed,
    SendTarget,
    SnapshotInfo,
    StatedWorkTime, //
};
pub use writer::{
    emit,
    init_log,
    shutdown_log,
    take_dropped_lines, //
};

//! jasmine-report: service-level burn over all daemons.
//!
//! Each class has a success target: the part of its requests that should be answered whole within
//! the latency target. What is left over is the error budget, and the *burn* of a window is how
//! many times faster than allowed the budget is used up in it: 1 uses it up exactly by the end of
//! the target's period, 10 in a tenth of that.
//!
//! Every daemon counts for itself ([`op::Burn`]); [`Report::new`] merges what they answered, a pure
//! function of it, and [`text`](Report::text), [`html`](Report::html) and serde show it.
//!
//! Invariants: a request is counted by the one daemon that answered the caller. A daemon that did
//! not answer is named, never taken for one without requests. Counts begin with each process, so
//! what an instance counted before it was replaced is gone, and the report says how much of each
//! window is covered.
//!
//! Start with `merge`, then `window`.

mod html;
mod merge;
mod plot;
mod text;
mod window;

pub use merge::{
    ClassReport,
    Counted,
    LatencyReport,
    NotAnswered,
    Report, //
};
pub use window::{
    Alert,
    AlertKind,
    Minute,
    Window, //
};

//! jasmine-report: service-level burn over all daemons.
//!
//! Each class has a success target: the fraction of its requests that should be answered in full
//! within the latency target. The remaining fraction is the error budget. The *burn* of a window is
//! the rate at which the budget is used up in it, relative to the allowed rate: a burn of 1 uses it
//! up exactly by the end of the target's period, a burn of 10 in a tenth of that period.
//!
//! Every daemon counts the requests that it handles ([`op::Burn`]). [`Report::new`] merges these
//! counts without side effects; [`text`](Report::text), [`html`](Report::html) and serde format the
//! result.
//!
//! Invariants: a request is counted only by the daemon that answered the caller. A daemon that did
//! not answer is listed as such and never taken for one without requests. Counts start from zero
//! with each process, so the counts of a replaced instance are lost, and the report states how much
//! of each window is covered.
//!
//! `merge` is the entry point; `window` computes burn and alerts.

mod html;
mod merge;
mod plot;
mod text;
mod window;

pub use merge::{
    ClassReport,
    CountedDaemon,
    LatencyReport,
    Report, //
    UnansweredDaemon,
};
pub use window::{
    Alert,
    AlertKind,
    Minute,
    Window, //
};

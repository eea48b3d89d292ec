//! What can go wrong with a request.

use serde::Serialize;
use std::fmt;

/// What went wrong, in kinds that ask for different action.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing: it was answered whole and in time.
    None,
    /// More work than slots.
    Overload,
    /// All upstreams were closed, cold, failing, or tried already.
    NoUpstreamOpen,
    /// The service had no upstream in the list.
    NoUpstreamListed,
    /// The request is quarantined because it crashed upstreams.
    Quarantined,
    /// Upstreams said that they were full or not the right one.
    UpstreamRefused,
    /// No connection to the upstream came about.
    UpstreamUnreachable,
    /// The upstream ended with the request.
    UpstreamEnded,
    /// The upstream broke off or spoilt its answer, and goes on.
    UpstreamBrokeOff,
    /// The upstream gave nothing more to anybody.
    UpstreamSilent,
    /// The upstream took much longer than was expected.
    UpstreamSlow,
    /// The upstream answered with a failure of its own.
    UpstreamFailed,
    /// It was late because it waited for a slot.
    Queued,
    /// It was late because no upstream near had its key.
    ColdCache,
    /// It was late because the work was done in another region.
    FarAway,
    /// It was late, and nothing above explains it.
    Late,
    /// Its end is not in the logs: they end before it, or its process did.
    Unfinished,
    /// The caller left before its time was over.
    CallerLeft,
    /// The entry was in a planned stop.
    PlannedStop,
    /// The entry knew no routes yet.
    NoRoutes,
    /// The caller asked for what no route has, or without an id.
    BadRequest,
}

impl Fault {
    /// Whether a caller would call it a failure.
    pub fn is_failure(self) -> bool {
        self != Self::None
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "nothing: it was answered whole and in time",
            Self::Overload => "overload: every upstream that may do it had too much before it",
            Self::NoUpstreamOpen => "no upstream was open",
            Self::NoUpstreamListed => "no upstream was listed",
            Self::Quarantined => "the request itself: upstreams that ran it crashed",
            Self::UpstreamRefused => "the upstreams refused it",
            Self::UpstreamUnreachable => "the upstream could not be reached",
            Self::UpstreamEnded => "the upstream ended while it had the request",
            Self::UpstreamBrokeOff => "the upstream broke its answer off or spoilt it",
            Self::UpstreamSilent => "the upstream, or the way to it, went silent",
            Self::UpstreamSlow => "the upstream was slow",
            Self::UpstreamFailed => "the upstream answered with a failure",
            Self::Queued => "late: it waited for a slot",
            Self::ColdCache => "late: no upstream near had its key",
            Self::FarAway => "late: the work was done in another region",
            Self::Late => "late",
            Self::Unfinished => "not known: its end is not in these logs",
            Self::CallerLeft => "the caller left early",
            Self::PlannedStop => "the entry was in a planned stop",
            Self::NoRoutes => "the entry knew no routes yet",
            Self::BadRequest => "the request itself",
        })
    }
}

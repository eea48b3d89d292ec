//! Kinds of failure of a request.

use serde::Serialize;
use std::fmt;

/// Kind of failure of a request. Each kind calls for a different action of the operator.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No failure: the request was answered completely and in time.
    None,
    /// More work than the upstreams have slots for.
    Overload,
    /// All upstreams were closed, cold, failing or tried already.
    NoUpstreamOpen,
    /// The service had no upstream in the list.
    NoUpstreamListed,
    /// The request is quarantined because it crashed upstreams.
    Quarantined,
    /// Upstreams refused the request because they were full or not the intended ones.
    UpstreamRefused,
    /// The entry reached no upstream, and no other entry served the request.
    Partitioned,
    /// No connection to the upstream could be established.
    UpstreamUnreachable,
    /// The upstream's process ended while it had the request.
    UpstreamEnded,
    /// The upstream broke off its response or sent a malformed one, and kept running.
    UpstreamBrokeOff,
    /// The upstream sent no further response to any request.
    UpstreamSilent,
    /// The upstream took much longer than expected.
    UpstreamSlow,
    /// The upstream responded with an error status.
    UpstreamFailed,
    /// The response was late because the request waited for a slot.
    Queued,
    /// The response was late because no nearby upstream had the request's key.
    ColdCache,
    /// The response was late because the upstream was in another region.
    FarAway,
    /// The response was late for none of the reasons above.
    Late,
    /// The request's end is not in the logs: they stop before it, its process ended, or the line was left out.
    Unfinished,
    /// The caller left before its deadline.
    CallerLeft,
    /// The entry was in a planned stop.
    PlannedStop,
    /// The entry knew no routes yet.
    NoRoutes,
    /// The entry's routes may have been outdated.
    StaleRoutes,
    /// No route matched the request, or it had no id.
    BadRequest,
    /// The request had no key of an organisation, or none that is valid.
    Unauthorized,
    /// The quota of the request's organisation was used up.
    OverQuota,
}

impl Fault {
    /// Whether it counts as a failure from the caller's point of view.
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
            Self::Partitioned => "the entry could reach no upstream, and no other entry served it",
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
            Self::StaleRoutes => "the entry did not know whether its routes were the newest",
            Self::NoRoutes => "the entry knew no routes yet",
            Self::BadRequest => "the request itself",
            Self::Unauthorized => "its key: missing, or of no organisation",
            Self::OverQuota => "its organisation's quota was used up",
        })
    }
}

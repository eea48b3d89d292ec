//! What a request needs, and what became of the search for its upstream.

use crate::traffic::log::millis;
use balance::{
    Expectation,
    Upstream, //
};
use base::{
    DomainId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use bytestring::ByteString;
use event::{
    Expected,
    Reason, //
    UpstreamCounts,
};
use relay::Target;
use route::Route;
use std::time::Duration;

/// What a request needs, of what the fleet doesn't know itself.
pub(super) struct Need<'a> {
    pub(super) service: &'a ServiceId,
    pub(super) route: &'a Route,
    pub(super) key: u64,
    pub(super) keyed: bool,
    /// A number that is another one for each request.
    pub(super) nonce: u64,
    pub(super) target_left: Duration,
    pub(super) deadline_left: Duration,
    pub(super) tried: &'a [UpstreamId],
}

/// One life of an upstream: what comes of a request says nothing of a later one.
#[derive(Clone, Debug)]
pub(super) struct Incarnation {
    pub(super) service: ServiceId,
    pub(super) id: UpstreamId,
    /// When it started, in Unix milliseconds.
    pub(super) started_ms: u64,
}

impl Incarnation {
    /// Whether `upstream` is it.
    pub(super) fn is(&self, upstream: &Upstream) -> bool {
        self.id == upstream.id && self.started_ms == upstream.started_ms
    }
}

/// How a request stands at its upstream.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    /// Where it is.
    pub(super) at: Incarnation,
    /// Its route.
    pub(super) route: ByteString,
    /// Its affinity key, if it has one that makes a difference.
    pub(super) key: Option<u64>,
    /// The upstream had that key lately.
    pub(super) warm: bool,
    /// It should find a free slot.
    pub(super) idle: bool,
    /// Whether the upstream is cold or states a limit; the request then counts as waiting there until it is sent.
    pub(super) restricted: bool,
    /// Requests that the upstream had, as far as known.
    pub(super) load: f64,
    /// Requests that it works on at a time.
    pub(super) slots: u32,
    /// Age of what it last said of its load.
    pub(super) report_age: Option<Duration>,
    /// Its region.
    pub(super) region: RegionId,
    /// Its failure domain.
    pub(super) failure_domain: DomainId,
    /// What was expected of it.
    pub(super) expected: Expected,
}

/// Why a request is refused, and what that was decided from.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Refused {
    /// Reason.
    pub(super) reason: Reason,
    /// When to come back.
    pub(super) retry_after: Duration,
    /// What was expected of the upstream that would have answered first.
    pub(super) expected: Expected,
    /// How the service's upstreams stood.
    pub(super) census: UpstreamCounts,
}

impl Refused {
    /// A refusal that no look at upstreams decided.
    pub(super) fn new(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
            ..Self::default()
        }
    }
}

/// What to do with a request.
pub(super) enum Placed {
    Send {
        target: Target,
        /// How it stands there.
        placement: Box<Placement>,
    },
    Refuse(Refused),
}

/// An expectation as the log has it.
pub(super) fn logged(expected: Expectation) -> Expected {
    Expected {
        wait_ms: millis(expected.wait),
        answer_ms: millis(expected.response_time),
    }
}

//! Input and result of selecting an upstream for a request.

use crate::clock::millis;
use balance::{
    Expectation,
    PendingSend,
    StatedSpeed,
    Upstream, //
};
use base::{
    DomainId,
    Now,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use bytestring::ByteString;
use event::{
    Reason,
    ResponseEstimate,
    UpstreamCounts, //
};
use relay::Target;
use route::Route;
use std::time::Duration;

/// Properties of a request that determine its placement.
pub(super) struct PlacementRequest<'a> {
    pub(super) service: &'a ServiceId,
    pub(super) route: &'a Route,
    /// Regions that may serve the requests of its organisation; empty means all.
    pub(super) organisation_homes: &'a [RegionId],
    pub(super) key: u64,
    pub(super) has_affinity_key: bool,
    pub(super) target_left: Duration,
    pub(super) deadline_left: Duration,
    pub(super) tried: &'a [UpstreamId],
    /// The send that is to be hedged, if any; the request is then placed only if that is worth it.
    pub(super) pending: Option<PendingSend>,
    /// Maximum wait at an upstream, as a multiple of the warm service time; `None` leaves it to the target.
    pub(super) wait_max: Option<f64>,
    /// Whether it may be sent as a probe, if that is due.
    pub(super) may_probe: bool,
}

/// One incarnation of an upstream. The result of a request applies only to the incarnation that it was sent to.
#[derive(Clone, Debug)]
pub(super) struct Incarnation {
    pub(super) service: ServiceId,
    pub(super) id: UpstreamId,
    /// Start time, in Unix milliseconds.
    pub(super) started_ms: u64,
}

impl Incarnation {
    /// Returns whether `upstream` is this incarnation.
    pub(super) fn matches(&self, upstream: &Upstream) -> bool {
        self.id == upstream.id && self.started_ms == upstream.started_ms
    }
}

/// The upstream chosen for a request, and its state at that time.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    /// Incarnation of the upstream.
    pub(super) incarnation: Incarnation,
    /// Route of the request.
    pub(super) route: ByteString,
    /// Hash of the affinity key, if the request has one and its route is sticky.
    pub(super) key: Option<u64>,
    /// Whether the upstream is warm for that key.
    pub(super) warm: bool,
    /// Whether the upstream is expected to have a free slot.
    pub(super) idle: bool,
    /// Whether it is sent although no answer is expected in time.
    pub(super) is_probe: bool,
    /// Whether the upstream is cold or states a rate limit; the request then counts as waiting there until it is sent.
    pub(super) restricted: bool,
    /// Estimated number of requests at the upstream.
    pub(super) load: f64,
    /// Number of requests that the upstream runs concurrently.
    pub(super) slots: u32,
    /// Age of its last load report.
    pub(super) report_age: Option<Duration>,
    /// Speed that the upstream last stated.
    pub(super) speed: Option<StatedSpeed>,
    /// Time of the choice.
    pub(super) chosen_at: Now,
    /// Region of the upstream.
    pub(super) region: RegionId,
    /// Failure domain of the upstream.
    pub(super) failure_domain: DomainId,
    /// Expected wait and response time.
    pub(super) expected: ResponseEstimate,
}

/// Why a request is rejected, with the data behind the decision.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rejection {
    pub(super) reason: Reason,
    /// Time after which the caller should retry.
    pub(super) retry_after: Duration,
    /// Expected wait and response time of the upstream that would have responded first.
    pub(super) expected: ResponseEstimate,
    /// Counts of the service's upstreams by state.
    pub(super) upstream_counts: UpstreamCounts,
}

impl Rejection {
    /// Creates a rejection that doesn't depend on the state of the upstreams.
    pub(super) fn new(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
            ..Self::default()
        }
    }
}

/// Result of selecting an upstream.
pub(super) enum PlacementDecision {
    Send {
        target: Target,
        placement: Box<Placement>,
    },
    Reject(Rejection),
}

/// Converts an expectation to its form in log lines.
pub(super) fn logged_expectation(expected: Expectation) -> ResponseEstimate {
    ResponseEstimate {
        wait_ms: millis(expected.wait),
        answer_ms: millis(expected.response_time),
    }
}

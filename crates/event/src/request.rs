//! Events about a single request.

use balance::UpstreamCounts;
use base::{
    DomainId,
    InstanceId,
    OrganisationId,
    RegionId,
    ServiceId,
    UpstreamId,
    Version, //
};
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;

/// How a request ended; also the `outcome` label of the metrics.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream's response was passed on.
    Answered,
    /// An upstream's error response was passed on.
    UpstreamError,
    /// It was not executed, and the caller was told when to retry.
    Refused,
    /// It was sent and may have been executed; there is no response.
    Failed,
    /// It was sent and may have been executed; there was no response before the deadline.
    TimedOut,
    /// The caller disconnected before the response.
    Cancelled,
    /// The entry is shutting down, and the caller was told to use another entry.
    Closing,
    /// The entry has no routes yet.
    NoRoutes,
    /// The entry doesn't know its route or key, and its routes may be outdated.
    StaleRoutes,
    /// No route matches its host and path.
    NoSuchRoute,
    /// It had no request id.
    NoRequestId,
    /// It had no key of an organisation, or none that is valid.
    Unauthorized,
    /// The quota of its organisation is used up.
    OverQuota,
    /// Its route has no service with a non-zero weight.
    NoService,
}

impl Outcome {
    /// Whether an upstream's response was passed on.
    pub fn is_of_upstream(self) -> bool {
        matches!(self, Self::Answered | Self::UpstreamError)
    }

    /// Serialised name of the outcome.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::UpstreamError => "upstream-error",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::TimedOut => "timed-out",
            Self::Cancelled => "cancelled",
            Self::Closing => "closing",
            Self::NoRoutes => "no-routes",
            Self::StaleRoutes => "stale-routes",
            Self::NoSuchRoute => "no-such-route",
            Self::NoRequestId => "no-request-id",
            Self::Unauthorized => "unauthorized",
            Self::OverQuota => "over-quota",
            Self::NoService => "no-service",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why the entry ended a request without an upstream's response.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Every eligible upstream would respond too late.
    #[default]
    NoSlotInTime,
    /// All upstreams of the service are closed, cold with their allowance used up, failing or already tried.
    NoUpstreamOpen,
    /// The service has no upstreams.
    NoUpstreamListed,
    /// The upstream stated that it did not execute the request, which can't be retried.
    UpstreamRefused,
    /// A send failed, and the request can't be retried.
    SendFailed,
    /// Its body has been sent and was not buffered, so it can't be retried.
    BodySpent,
    /// It is quarantined because of the number of upstreams it crashed.
    Quarantined,
    /// The entry reaches no upstream, and no other entry took the request.
    Partitioned,
    /// The entry that it was relayed to rejected it.
    RelayRejected,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoSlotInTime => "no slot in time",
            Self::NoUpstreamOpen => "no upstream is open",
            Self::NoUpstreamListed => "no upstream is listed",
            Self::UpstreamRefused => "the upstream refused",
            Self::SendFailed => "the send failed",
            Self::BodySpent => "its body can be sent once only",
            Self::Quarantined => "it crashes upstreams",
            Self::Partitioned => "the entry reaches no upstream",
            Self::RelayRejected => "the entry that it was relayed to rejected it",
        })
    }
}

/// How the two sends of a hedged request ended; also the `outcome` label of the metric.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HedgeOutcome {
    /// The response of the first send was used.
    FirstWon,
    /// The response of the second send was used.
    SecondWon,
    /// Neither had a response other than a server error.
    BothFailed,
}

impl HedgeOutcome {
    /// Returns the outcome for the send whose response was used.
    pub fn won_by(second: bool) -> Self {
        if second {
            Self::SecondWon
        } else {
            Self::FirstWon
        }
    }

    /// Serialised name of the outcome.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FirstWon => "first-won",
            Self::SecondWon => "second-won",
            Self::BothFailed => "both-failed",
        }
    }
}

/// Estimates for an upstream at the time of a routing decision.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResponseEstimate {
    /// Wait for a slot, in milliseconds.
    pub wait_ms: u64,
    /// Time to the response (round trip, wait and execution), in milliseconds.
    pub answer_ms: u64,
}

/// Speed that an upstream stated before a routing decision.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatedWorkTime {
    /// Time that work took, in percent of the usual.
    pub pct: u32,
    /// Age of the statement, in milliseconds.
    pub age_ms: u64,
}

/// Upstream that a request was last sent to, and its known state at that time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SendTarget {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Region of the upstream.
    pub region: RegionId,
    /// Failure domain of the upstream.
    pub failure_domain: DomainId,
    /// Hash of the request's affinity key, in hexadecimal, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Estimated number of requests at the upstream.
    pub load: f64,
    /// Number of requests that the upstream executes concurrently.
    pub slots: u32,
    /// Age of the upstream's last load report, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report_age_ms: Option<u64>,
    /// Speed that the upstream last stated, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_time: Option<StatedWorkTime>,
    /// Whether the upstream recently handled the request's affinity key.
    pub warm: bool,
    /// Estimates for the upstream.
    pub expected: ResponseEstimate,
}

/// Wait of a request at the entry for a free slot.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueWait {
    /// Time that it waited, in milliseconds.
    pub ms: u64,
    /// Priorities of its organisation and of its route, which make its rank.
    pub rank: [u32; 2],
}

/// Snapshot of the state that a routing decision was based on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotInfo {
    /// Version of the routes; zero before the first version.
    pub routes: Version,
    /// Sequence number of the snapshot.
    pub number: u64,
    /// Age of the snapshot, in milliseconds.
    pub age_ms: u64,
}

/// End of a request: its final response, or the caller's disconnection.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestEnded {
    /// Id of the request; empty if it had none.
    pub id: String,
    /// How the request ended.
    pub outcome: Outcome,
    /// HTTP status of the response, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Why the entry ended the request, if it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// Route of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<ByteString>,
    /// Organisation that the request's key belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// Service selected for the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Number of sends that reached an upstream.
    #[serde(default)]
    pub sends: u32,
    /// Whether the request may have been executed.
    #[serde(default)]
    pub may_have_run: bool,
    /// Fingerprint of the request, in hexadecimal, if it failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<String>,
    /// Upstream that the request was last sent to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent: Option<SendTarget>,
    /// How its last pair of sends ended, if it was hedged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge: Option<HedgeOutcome>,
    /// Entry that it was last relayed to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub via: Option<InstanceId>,
    /// Entry that relayed it to this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relayed_by: Option<InstanceId>,
    /// Number of upstreams in each state, if the request was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub census: Option<UpstreamCounts>,
    /// Estimates for the best upstream, if the request was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<ResponseEstimate>,
    /// Delay after which the caller was told to retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// How long it waited at the entry, if it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait: Option<QueueWait>,
    /// Time since the request head was received, in milliseconds.
    pub took_ms: u64,
    /// Latency target, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u64>,
    /// Deadline of the request, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Snapshot that the decision was based on.
    pub picture: SnapshotInfo,
}

/// Send that yielded no response for the caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SendFailed {
    /// Id of the request.
    pub id: String,
    /// Fingerprint of the request, in hexadecimal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<String>,
    /// Service of the request.
    pub service: ServiceId,
    /// Upstream that the request was sent to.
    #[serde(flatten)]
    pub sent: SendTarget,
    /// Whether the request is known not to have been executed: the upstream stated so, or it is proved.
    pub not_run: bool,
    /// Cause of the failure.
    pub why: String,
    /// Time for which the upstream asked for no further requests, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Time since the request head was received, in milliseconds.
    pub after_ms: u64,
}

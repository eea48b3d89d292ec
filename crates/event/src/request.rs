//! Events about one request.

use balance::UpstreamCounts;
use base::{
    DomainId,
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

/// How a request ended; also the label `outcome` of the metrics.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream's answer was passed on.
    Answered,
    /// An upstream's own failure was passed on.
    UpstreamError,
    /// It did not run, and the caller was told when to come back.
    Refused,
    /// It was sent and may have run; there is no answer.
    Failed,
    /// It was sent and may have run; there was no answer before the deadline.
    TimedOut,
    /// The caller left before the answer.
    Cancelled,
    /// The entry is about to end, and the caller was told to use another one.
    Closing,
    /// The entry knows no routes yet.
    NoRoutes,
    /// No route has its host and path.
    NoSuchRoute,
    /// It had no request id.
    NoRequestId,
    /// Its route has no service with any weight.
    NoService,
}

impl Outcome {
    /// Its name.
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
            Self::NoSuchRoute => "no-such-route",
            Self::NoRequestId => "no-request-id",
            Self::NoService => "no-service",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why the entry itself ended a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Every upstream that may do it would answer too late.
    #[default]
    NoSlotInTime,
    /// All upstreams of the service are closed, cold beyond their allowance, failing or tried already.
    NoUpstreamOpen,
    /// The service has no upstream at all.
    NoUpstreamListed,
    /// The upstream stated that it did not run it, and it can't be sent again.
    UpstreamRefused,
    /// A send failed, and it can't be sent again.
    SendFailed,
    /// Its body was sent once and is not kept.
    BodySpent,
    /// It is quarantined because of the number of upstreams it crashed.
    Quarantined,
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
        })
    }
}

/// What was expected of an upstream when a decision was made.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Expected {
    /// Wait for a slot there, in milliseconds.
    pub wait_ms: u64,
    /// The way there and back, the wait and the work, in milliseconds.
    pub answer_ms: u64,
}

/// The upstream that a request was sent to last, and what was known of it then.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sent {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Hash of the request's affinity key, in hexadecimal, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Requests that it had, as far as known.
    pub load: f64,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Age of what it last said of its load, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report_age_ms: Option<u64>,
    /// It had the request's affinity key lately.
    pub warm: bool,
    /// What was expected of it.
    pub expected: Expected,
}

/// The picture that a decision was made from.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Picture {
    /// Version of the routes; zero before the first.
    pub routes: Version,
    /// Number of the snapshot.
    pub number: u64,
    /// Its age in milliseconds.
    pub age_ms: u64,
}

/// A request's final answer, or that its caller left.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestEnded {
    /// Its id; empty if it had none.
    pub id: String,
    /// How it ended.
    pub outcome: Outcome,
    /// Status of the answer, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Why this entry ended it, if it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// Its route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<ByteString>,
    /// The service that was to do it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Sends that reached an upstream.
    #[serde(default)]
    pub sends: u32,
    /// Whether it may have run.
    #[serde(default)]
    pub may_have_run: bool,
    /// Fingerprint of the request, in hexadecimal, if it failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<String>,
    /// Where it was sent last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent: Option<Sent>,
    /// How the upstreams stood, if it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub census: Option<UpstreamCounts>,
    /// What was expected of the best of them, if it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<Expected>,
    /// When the caller was told to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// From its head to now, in milliseconds.
    pub took_ms: u64,
    /// Time within which an answer is worth most, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u64>,
    /// Time that the caller waits, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// What it was decided from.
    pub picture: Picture,
}

/// A send that gave no answer for the caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SendFailed {
    /// Id of the request.
    pub id: String,
    /// Fingerprint of the request, in hexadecimal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<String>,
    /// The service.
    pub service: ServiceId,
    /// Where it was sent.
    #[serde(flatten)]
    pub sent: Sent,
    /// The upstream stated, or it is proved, that it did not run.
    pub not_run: bool,
    /// What happened.
    pub why: String,
    /// From the request's head to now, in milliseconds.
    pub after_ms: u64,
}

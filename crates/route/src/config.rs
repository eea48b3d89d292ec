//! Data types of one version of the routes.

use base::{
    OrganisationId,
    RegionId,
    ServiceId,
    Version, //
};
use bytestring::ByteString;
use org::{
    KeyDigest,
    Quota, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::time::Duration;

/// Whether a request may be repeated if its outcome is unknown.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run at most once; resent only if it is proven that it did not run.
    NonIdempotent,
    /// Idempotent, with large responses.
    Download,
    /// Non-idempotent, with large request bodies.
    Upload,
}

impl Kind {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

/// Size limits and timeouts for callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Maximum time from the first to the last byte of a request head, and between two chunks of a body.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns limits that are common among servers. They apply until a first version of the routes is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A set of upstreams that serve the same requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Unique name.
    pub id: ServiceId,
    /// Path of the health check endpoint of an upstream.
    pub health_path: ByteString,
    /// Maximum number of connections that one upstream accepts from all callers combined.
    pub max_connections: u32,
    /// Time for which an upstream is cold after its start.
    pub cold_start: Duration,
    /// Requests per second that a cold upstream accepts; zero means no limit.
    pub cold_per_s: f64,
}

/// Weight of a service in a route's traffic split.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the route's other services.
    pub weight: f64,
}

/// Settings for requests to one host and path prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub id: ByteString,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: ByteString,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// Maximum time until a caller gets a response.
    pub timeout: Duration,
    /// Response time that is aimed for.
    pub latency_target: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services that the requests are split over by weight. The weight of a single service is ignored.
    pub split: Vec<ServiceShare>,
    /// Maximum number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether an upstream that served the same affinity key recently is faster.
    pub sticky: bool,
    /// Regions that may serve the requests; empty means all.
    pub homes: Vec<RegionId>,
    /// Whether requests without a key are accepted although there are organisations.
    #[serde(default)]
    pub open: bool,
}

/// An organisation whose callers are identified by its keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Organisation {
    /// Unique name, sent to upstreams.
    pub id: OrganisationId,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority, which replaces the route's; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit on its requests.
    pub quota: Quota,
    /// Regions that may serve its requests, in addition to the limits of the route; empty means all.
    pub homes: Vec<RegionId>,
}

/// Routes of one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Host {
    /// Host name as callers send it, in lower case.
    pub host: ByteString,
    /// Routes of the host.
    pub routes: Vec<Route>,
}

/// One version of all routes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Routes {
    /// Version number, which only increases.
    pub version: Version,
    /// All services.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// All hosts.
    pub hosts: Vec<Host>,
    /// All organisations; `None` if callers need no keys.
    #[serde(default)]
    pub organisations: Option<Vec<Organisation>>,
}

//! Counts of good and bad requests, for the burn report: `GET /op/v1/burn`.

use base::{
    ClassId,
    DomainId,
    Incarnation,
    InstanceId,
    RegionId,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Requests that ended within one bucket of time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bucket {
    /// Number of the bucket since the process started.
    pub index: u64,
    /// Requests with a complete response within the class's latency target.
    pub good: u64,
    /// All other requests.
    pub bad: u64,
}

/// Counts of one class at one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClassBurn {
    /// Class.
    pub class: ClassId,
    /// Configured target for good requests, per million.
    pub success_target_ppm: u32,
    /// Latency up to which a complete response is good, in milliseconds.
    pub latency_target_ms: u64,
    /// Non-empty buckets, oldest first.
    pub buckets: Vec<Bucket>,
    /// Complete responses since the start, as latency in microseconds (to about 1 %) and count.
    pub latency_us: Vec<(u64, u64)>,
}

/// Counts of one daemon since its process started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Burn {
    /// The daemon.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Configuration version in force there.
    pub version: Version,
    /// Time since counting started, in milliseconds.
    pub age_ms: u64,
    /// Length of one bucket, in milliseconds.
    pub bucket_ms: u64,
    /// Classes, sorted by name.
    pub classes: Vec<ClassBurn>,
}

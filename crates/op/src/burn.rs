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
    /// Requests answered whole within the class's latency target.
    pub good: u64,
    /// All others.
    pub bad: u64,
}

/// Counts of one class at one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClassBurn {
    /// Class.
    pub class: ClassId,
    /// Good requests that the configuration asks for, per million.
    pub success_target_ppm: u32,
    /// Latency up to which a whole answer is good, in milliseconds.
    pub latency_target_ms: u64,
    /// Buckets that are not empty, oldest first.
    pub buckets: Vec<Bucket>,
    /// Whole answers since the start: latency in microseconds, to about 1 %, and their number.
    pub latency_us: Vec<(u64, u64)>,
}

/// Counts of one daemon. They begin with its process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Burn {
    /// The daemon.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Configuration in force there.
    pub version: Version,
    /// Time since counting started, in milliseconds.
    pub age_ms: u64,
    /// Length of one bucket, in milliseconds.
    pub bucket_ms: u64,
    /// Classes, sorted by name.
    pub classes: Vec<ClassBurn>,
}

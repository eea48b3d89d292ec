//! Responses of a daemon on the operators' port.

use base::{
    DomainId,
    Epoch,
    Incarnation,
    InstanceId,
    RegionId,
    ServiceId,
    UpstreamId,
    Version, //
};
use bytestring::ByteString;
use member::{
    Freshness,
    LeaseState, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use spec::{
    Digest,
    DrainTarget,
    Head, //
};

/// How an accepted version came into force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AcceptEffect {
    /// This request created the version.
    New,
    /// An earlier request with the same accept id created it.
    Repeated,
    /// The content was already in force through another accept; nothing changed.
    Unchanged,
}

/// Confirms that a configuration, a drain or a target is in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// Version that contains it.
    pub version: Version,
    /// How that version came into force.
    pub how: AcceptEffect,
    /// Changes from the previous version, as text; empty if nothing differs or they are unknown.
    #[serde(default)]
    pub difference: Vec<String>,
}

/// A version of the configuration: `GET /op/v1/config`, `GET /op/v1/config/<version>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigResponse {
    /// Version, author and the accept that created it.
    #[serde(flatten)]
    pub head: Head,
    /// Canonical text.
    pub text: String,
    /// Digest of the block object, if there are blocks besides those of the text.
    pub blocks: Option<Digest>,
}

/// A limit and its current use.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotUsage {
    /// Number that may be used now.
    pub usable: u32,
    /// Number in use.
    pub used: u32,
}

/// One daemon's state and view: `GET /op/v1/status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The daemon.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Lifecycle stage.
    pub stage: String,
    /// Configuration version in force there; 0 if none.
    pub version: Version,
    /// Highest version that it knows of.
    pub highest_version: Version,
    /// Time since it started, in milliseconds.
    pub uptime_ms: u64,
    /// Time for which its lease allows the whole allotment, in milliseconds.
    pub lease_left_ms: u64,
    /// Unfinished requests.
    pub active: u64,
    /// Sessions with other daemons.
    pub peers: usize,
    /// Pools of its region.
    pub pools: Vec<PoolStatus>,
    /// Its view of the other instances.
    pub instances: Vec<InstanceStatus>,
}

/// One pool of a daemon's region, as that daemon uses it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolStatus {
    /// Service.
    pub service: ServiceId,
    /// Listed upstreams.
    pub upstreams: usize,
    /// Listed upstreams that accept new work.
    pub open: usize,
    /// Slots of this daemon.
    pub slots: SlotUsage,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

/// A daemon's view of one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Its incarnation; 0 until it is known.
    pub incarnation: Incarnation,
    /// Lower bound of the configuration version in force there.
    pub version: Version,
    /// State of its lease.
    pub state: LeaseState,
    /// How recent this information is.
    pub freshness: Freshness,
    /// Upper bound of the information's age, in milliseconds; `None` if it is only listed.
    pub age_ms: Option<u64>,
    /// Address for callers.
    pub callers_addr: ByteString,
    /// Address for operators.
    pub operator_addr: ByteString,
}

/// All instances that a daemon knows, itself included: `GET /op/v1/instances`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instances {
    /// Daemon that responds.
    pub instance: InstanceId,
    /// Sorted by name.
    pub instances: Vec<InstanceStatus>,
}

/// One daemon's requests in flight at an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlight {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: ServiceId,
    /// Number of requests.
    pub requests: u32,
}

/// A daemon's view of one drain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainStatus {
    /// Drained target.
    pub target: DrainTarget,
    /// This daemon's requests in flight, for each drained upstream that has any.
    pub in_flight: Vec<InFlight>,
    /// Unfinished requests at this daemon, if the daemon itself is drained.
    pub active: Option<u64>,
}

/// Drains in force: `GET /op/v1/drain`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drains {
    /// Daemon that responds.
    pub instance: InstanceId,
    /// Configuration version in force there.
    pub version: Version,
    /// Sorted by target.
    pub drains: Vec<DrainStatus>,
}

/// One resource of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResourceStatus {
    /// Upstream, or unit of a cap.
    pub resource: ByteString,
    /// Total number of tokens.
    pub capacity: u32,
    /// Tokens that the row allots to this daemon.
    pub allotted: u32,
    /// Tokens that this daemon holds.
    pub held: u32,
    /// Tokens that it may use now.
    pub usable: u32,
    /// Tokens in use.
    pub used: u32,
}

/// A pool whose capacity is shared among instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareStatus {
    /// Pool.
    pub pool: ByteString,
    /// Epoch of the allotment; 0 before the first.
    pub epoch: Epoch,
    /// Whether the whole allotment of the epoch is held.
    pub settled: bool,
    /// Members of the pool.
    pub members: Vec<String>,
    /// Resources.
    pub resources: Vec<ResourceStatus>,
}

/// Capacity shares of one daemon: `GET /op/v1/shares`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shares {
    /// Daemon that responds.
    pub instance: InstanceId,
    /// Remaining time for which all held tokens may be used, in milliseconds.
    pub protected_ms: u64,
    /// Pools, sorted.
    pub pools: Vec<ShareStatus>,
}

/// An instance that has not confirmed a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Unconfirmed {
    /// The instance.
    pub instance: InstanceId,
    /// Latest version that it confirmed; 0 if none.
    pub version: Version,
    /// How recent this information is.
    pub freshness: Freshness,
    /// Age of the information, in milliseconds; `None` if it is only listed.
    pub age_ms: Option<u64>,
}

/// Which instances have a version in force: `GET /op/v1/confirmed?version=N`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// The version.
    pub version: Version,
    /// Instances that have it, or a higher one, in force.
    pub confirmed: Vec<InstanceId>,
    /// Live instances that have not confirmed it.
    pub missing: Vec<Unconfirmed>,
    /// Instances that are not waited for: silent, with a lapsed or released lease.
    pub lapsed: Vec<InstanceId>,
}

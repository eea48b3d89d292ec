//! What a daemon answers.

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

/// How an accept came to be in force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AcceptedHow {
    /// This request made the version.
    New,
    /// An earlier request with the same accept id had made it.
    Repeated,
    /// It was in force already, by another accept; nothing was changed.
    Unchanged,
}

/// A configuration, a drain or a target is in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// Version in which it is.
    pub version: Version,
    /// How it came to be.
    pub how: AcceptedHow,
    /// Steps from the version before, as text; empty when nothing differs or it is not known.
    #[serde(default)]
    pub difference: Vec<String>,
}

/// A version of the configuration: `GET /op/v1/config`, `GET /op/v1/config/<version>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigAnswer {
    /// Version, author and the accept that made it.
    #[serde(flatten)]
    pub head: Head,
    /// Canonical text.
    pub text: String,
    /// Block object, if there are blocks beside those of the text.
    pub blocks: Option<Digest>,
}

/// A limit and how much of it is used.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bounds {
    /// What may be used now.
    pub usable: u32,
    /// What is used.
    pub used: u32,
}

/// One daemon's picture: `GET /op/v1/status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The daemon.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Stage of its life.
    pub stage: String,
    /// Configuration in force there; 0 is none.
    pub version: Version,
    /// Highest version that it has heard of.
    pub highest_version: Version,
    /// Time since it started, in milliseconds.
    pub uptime_ms: u64,
    /// Time for which its lease allows the whole allotment, in milliseconds.
    pub lease_left_ms: u64,
    /// Requests that are not finished.
    pub active: u64,
    /// Sessions with other daemons.
    pub peers: usize,
    /// Pools of its region.
    pub pools: Vec<PoolStatus>,
    /// What it knows of the others.
    pub instances: Vec<InstanceStatus>,
}

/// One pool of a daemon's region, as that daemon uses it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolStatus {
    /// Service.
    pub service: ServiceId,
    /// Upstreams that the list names.
    pub upstreams: usize,
    /// Those of them that take new work.
    pub open: usize,
    /// Slots of this daemon.
    pub slots: Bounds,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

/// What a daemon knows of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Its life; 0 before it was heard of.
    pub incarnation: Incarnation,
    /// Configuration in force there, at least.
    pub version: Version,
    /// How far its life is.
    pub state: LeaseState,
    /// How far the news can be trusted.
    pub freshness: Freshness,
    /// Age of the news at worst, in milliseconds; none when only the list names it.
    pub age_ms: Option<u64>,
    /// Address for callers.
    pub callers_addr: ByteString,
    /// Address for operators.
    pub operator_addr: ByteString,
}

/// All instances that a daemon knows, itself included: `GET /op/v1/instances`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instances {
    /// Who says so.
    pub instance: InstanceId,
    /// Sorted by name.
    pub instances: Vec<InstanceStatus>,
}

/// Requests of one daemon that an upstream has not answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlight {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: ServiceId,
    /// Requests.
    pub requests: u32,
}

/// One drain, as one daemon sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainStatus {
    /// What is drained.
    pub target: DrainTarget,
    /// This daemon's requests at each upstream of it that has any.
    pub in_flight: Vec<InFlight>,
    /// Requests at this daemon itself that are not finished, if it is drained.
    pub active: Option<u64>,
}

/// Drains in force: `GET /op/v1/drain`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drains {
    /// Who says so.
    pub instance: InstanceId,
    /// Version in force there.
    pub version: Version,
    /// Sorted by target.
    pub drains: Vec<DrainStatus>,
}

/// One resource of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResourceStatus {
    /// Upstream, or unit of a cap.
    pub resource: ByteString,
    /// Tokens that there are.
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

/// One pool whose capacity instances share.
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
    /// Who says so.
    pub instance: InstanceId,
    /// Time up to which the whole of what is held may be used, in milliseconds from now.
    pub protected_ms: u64,
    /// Pools, sorted.
    pub pools: Vec<ShareStatus>,
}

/// An instance that has not confirmed a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Unconfirmed {
    /// The instance.
    pub instance: InstanceId,
    /// Version that it confirmed last; 0 is none.
    pub version: Version,
    /// How far that news can be trusted.
    pub freshness: Freshness,
    /// Age of the news, in milliseconds; none when only the list names it.
    pub age_ms: Option<u64>,
}

/// Which instances have a version in force: `GET /op/v1/confirmed?version=N`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// The version.
    pub version: Version,
    /// Instances that have it, or a higher one, in force.
    pub confirmed: Vec<InstanceId>,
    /// Live instances that have not said so.
    pub missing: Vec<Unconfirmed>,
    /// Instances that are not waited for: silent, and their lease has lapsed or was given back.
    pub lapsed: Vec<InstanceId>,
}

//! Identifier types, collections and request outcomes shared by all crates.
//!
//! Terms used throughout the workspace: an *instance* is a machine that runs one `jasmined`; an
//! *entry* is an instance as seen by a caller. An *upstream* is one server of a *service* and
//! executes requests. A *failure domain* is a part of a *region* that fails as a unit.
//!
//! Identifiers are type aliases of [`ByteString`]: they are read from the wire as bytes, and cloning
//! one only increments a reference count. The pure crates (`spec`, `blocks`, `steer`, `share`,
//! `filing`, `member`) don't read a clock: they take `now` as a [`Now`], the time since a fixed
//! point in the life of the process.
//!
//! See `spec` for the operators' configuration, `steer` for routing decisions, and the daemon,
//! which combines the two.

use bytestring::ByteString;
use std::time::Duration;

mod outcome;

pub use outcome::{
    RunOutcome,
    UnknownOutcome, //
};

/// Name of an instance, as listed by the platform.
pub type InstanceId = ByteString;
/// Name of a region.
pub type RegionId = ByteString;
/// Name of a failure domain, unique within its region.
pub type DomainId = ByteString;
/// Name of a request class.
pub type ClassId = ByteString;
/// Name of a service, a set of interchangeable upstreams.
pub type ServiceId = ByteString;
/// Name of an organisation, whose callers are identified by its keys.
pub type OrganisationId = ByteString;
/// Name of an upstream, unique across all services.
pub type UpstreamId = ByteString;

/// Incarnation number of an instance; increases with each restart.
pub type Incarnation = u64;
/// Version of the accepted configuration; increases monotonically.
pub type Version = u64;
/// Epoch of an allotment row; incremented by each compare-and-set.
pub type Epoch = u64;

/// Monotonic time since a fixed point in the life of the process.
pub type Now = Duration;

/// Hash map with a fast, randomly seeded hasher.
///
/// Use a `BTreeMap` where iteration order can affect a decision.
pub type FastMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with the hasher of [`FastMap`].
pub type FastSet<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;

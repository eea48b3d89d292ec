//! Ids, collections and outcomes that every other crate shares.
//!
//! Start here: the words of this crate appear everywhere. An *instance* is a machine that runs
//! one `jasmined`; an *entry* is such an instance seen from a caller. An *upstream* is one server
//! of a *service*, and does the work. A *failure domain* is a part of a *region* that fails as one.
//!
//! Ids are type aliases of [`ByteString`]: they come from the wire as bytes, and cloning one only
//! counts a reference. The pure crates (`spec`, `blocks`, `steer`, `share`, `filing`, `member`)
//! have no clock: they take `now` as a [`Now`], the time since some fixed start of the process.
//!
//! Where to go next: `spec` for what operators say, `steer` for how a request is decided, and the
//! daemon, which puts both together.

use bytestring::ByteString;
use std::time::Duration;

mod outcome;

pub use outcome::{
    RunOutcome,
    UnknownOutcome, //
};

/// Name of an instance, as the platform's list gives it.
pub type InstanceId = ByteString;
/// Name of a region.
pub type RegionId = ByteString;
/// Name of a failure domain, unique within its region.
pub type DomainId = ByteString;
/// Name of a class of work.
pub type ClassId = ByteString;
/// Name of a service, the set of upstreams that can do the same work.
pub type ServiceId = ByteString;
/// Name of an upstream, unique over all services.
pub type UpstreamId = ByteString;

/// Life of an instance: a restart gets a higher one.
pub type Incarnation = u64;
/// Version of the accepted configuration; only ever grows.
pub type Version = u64;
/// Epoch of an allotment row; grows with each compare-and-set.
pub type Epoch = u64;

/// Monotonic time since a fixed start.
pub type Now = Duration;

/// Hash map with a fast, seeded hasher, for lookups by key.
///
/// Where the order of iteration reaches a decision, use a `BTreeMap` instead.
pub type FastMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with the hasher of [`FastMap`].
pub type FastSet<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;

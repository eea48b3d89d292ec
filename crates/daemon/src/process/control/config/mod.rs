//! The accepted configuration: adopts newer versions and accepts new ones.
//!
//! The state machines live in crate `spec`; this module executes their actions. A version is
//! announced by the head's row in the table and by heartbeats of other daemons, whichever comes
//! first; its objects are fetched from a peer or from the store. A daemon without access to the
//! platform can thus still adopt what the others have, and a slow platform delays only the daemon
//! that accepts a version.
//!
//! - `adopt`: announced heads, and activating a version.
//! - `fetch`: fetching the objects that a head refers to.
//! - `serve`: serving objects to peers.
//! - `object_cache`: the cache of objects for peers.
//! - `accept`: configurations, drains and targets submitted by operators.
//! - `history`: earlier versions.
//! - `confirm`: which instances have a version in force.

mod accept;
mod adopt;
mod confirm;
mod fetch;
mod history;
mod object_cache;
mod serve;

pub(crate) use self::{
    accept::{
        Accept,
        Edit, //
    },
    confirm::GetConfirmation,
    history::{
        GetConfig,
        GetHistory, //
    },
};

use self::{
    adopt::Waiter,
    fetch::{
        Fetch,
        HeadRequest, //
    },
    object_cache::ObjectCache, //
};
use base::{
    InstanceId,
    Now,
    Version, //
};
use member::LeaseObserver;
use peer::ConfigAssembly;
use spec::Adopt;
use std::collections::BTreeMap;

/// Configuration versions known to this daemon, and operations in progress.
#[derive(Default)]
pub(super) struct Versions {
    /// The adoption state machine, once the peers to ask at startup are known.
    adopt: Option<Adopt>,
    /// Peers asked at startup that have not reported a version, or have reported one whose head has
    /// not arrived yet.
    unreported_peers: BTreeMap<InstanceId, Option<Version>>,
    /// Time at which peers that have not reported count as unreachable.
    peers_deadline: Now,
    /// Cache of objects for peers.
    object_cache: ObjectCache,
    /// Partially received objects, by peer.
    assemblies: BTreeMap<InstanceId, ConfigAssembly>,
    /// Pending request for a head.
    head_request: Option<HeadRequest>,
    /// Fetch in progress.
    fetch: Option<Fetch>,
    /// Accepts waiting for a version to be in force here.
    waiters: Vec<Waiter>,
    /// A snapshot is being serialised for a peer.
    is_serializing_snapshot: bool,
    /// Observed leases of silent instances, for accepts that wait for confirmations.
    leases: Option<LeaseObserver>,
}

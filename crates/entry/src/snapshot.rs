//! Immutable snapshot of the routing state, published by control and read by traffic.

use crate::settings::Bounds;
use balance::Location;
use base::{
    DomainId,
    InstanceId,
    Now,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use overlay::Capacity;
use route::Table;
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// An upstream as known to control.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamView {
    pub(crate) id: UpstreamId,
    /// Start time, in Unix milliseconds. Distinguishes incarnations with the same name.
    pub(crate) started_ms: u64,
    pub(crate) service: ServiceId,
    pub(crate) region: RegionId,
    pub(crate) failure_domain: DomainId,
    pub(crate) addr: SocketAddr,
    pub(crate) slots: u32,
    /// Gets no new requests: it is leaving or gone, or its failure domain is evacuated.
    pub(crate) closed: bool,
    /// Time until which it is cold.
    pub(crate) cold_until: Now,
    /// End of this entry's lease; `None` without a lease. While an upstream is cold or states a limit, only the holder
    /// of its lease may send to it.
    pub(crate) lease_until: Option<Now>,
}

/// An entry that accepts callers.
#[derive(Clone, Debug)]
pub(crate) struct EntryView {
    pub(crate) region: RegionId,
    pub(crate) callers_addr: SocketAddr,
    /// Whether it reaches no upstreams itself, and relays its callers' requests.
    pub(crate) is_partitioned: bool,
    /// Its capacity, if it states it.
    pub(crate) capacity: Option<Capacity>,
}

/// Another entry that reaches upstreams and takes requests from entries that don't.
#[derive(Clone, Debug)]
pub(crate) struct RelayView {
    pub(crate) instance: InstanceId,
    pub(crate) region: RegionId,
    pub(crate) failure_domain: DomainId,
    pub(crate) addr: SocketAddr,
}

/// Routing state at one point in time.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Incremented with each snapshot of a process.
    pub(crate) number: u64,
    /// Time at which the snapshot was created.
    pub(crate) created_at: Now,
    /// Compiled routes in force; `None` until a first version is known.
    pub(crate) routes: Option<Arc<Table>>,
    /// Upstreams; snapshots share the list until an upstream changes.
    pub(crate) upstreams: Arc<Vec<UpstreamView>>,
    /// Entries that accept new callers, including this one if it does.
    pub(crate) entries: Vec<EntryView>,
    /// Other entries that relay requests.
    pub(crate) relays: Vec<RelayView>,
    /// Number of entries that may be sending, including this one and those without a session; `None` until the rows of
    /// the other entries have been read.
    pub(crate) sender_count: Option<usize>,
    /// Location of this entry.
    pub(crate) location: Location,
    /// Bounds guaranteed to users.
    pub(crate) bounds: Bounds,
    /// Whether a planned stop has begun.
    pub(crate) stopping: bool,
}

impl Snapshot {
    /// Returns whether this entry accepts new callers.
    pub(crate) fn ready(&self) -> bool {
        self.routes.is_some() && !self.stopping
    }
}

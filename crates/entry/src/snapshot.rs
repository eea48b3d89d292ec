//! The immutable picture that traffic decides from.

use crate::settings::Bounds;
use balance::Location;
use base::{
    DomainId,
    Now,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use route::Table;
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// An upstream as control knows it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamView {
    pub(crate) id: UpstreamId,
    /// Tells incarnations of one name apart.
    pub(crate) started_ms: u64,
    pub(crate) service: ServiceId,
    pub(crate) region: RegionId,
    pub(crate) failure_domain: DomainId,
    pub(crate) addr: SocketAddr,
    pub(crate) slots: u32,
    /// Gets no new work: it leaves, is gone, or its failure domain is evacuated.
    pub(crate) closed: bool,
    /// Cold until then.
    pub(crate) cold_until: Now,
    /// End of this entry's lease, during which it alone may send while the upstream is cold or states a limit; `None`
    /// without a lease.
    pub(crate) lease_until: Option<Now>,
}

/// An entry as callers may use it.
#[derive(Clone, Debug)]
pub(crate) struct EntryView {
    pub(crate) region: RegionId,
    pub(crate) callers_addr: SocketAddr,
}

/// What control knew at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Grows with each snapshot of a process.
    pub(crate) number: u64,
    /// When it was made.
    pub(crate) made_at: Now,
    /// Routes in force; `None` until a first version is known.
    pub(crate) table: Option<Arc<Table>>,
    /// The same list in each snapshot until one of them changes.
    pub(crate) upstreams: Arc<Vec<UpstreamView>>,
    /// Entries that take new callers, this one included if it does.
    pub(crate) entries: Vec<EntryView>,
    /// Entries that may be sending, however little was heard of them, this one included; `None` until the
    /// others have been looked for.
    pub(crate) entries_known: Option<usize>,
    /// Where this entry is.
    pub(crate) here: Location,
    /// Promised bounds.
    pub(crate) bounds: Bounds,
    /// A planned stop has begun.
    pub(crate) stopping: bool,
}

impl Snapshot {
    /// Whether callers may be sent here.
    pub(crate) fn ready(&self) -> bool {
        self.table.is_some() && !self.stopping
    }
}

//! Snapshot of the configuration and the membership view.

use crate::process::{
    link::Link,
    pool::Pool,
    stop::Stage, //
};
use base::{
    ClassId,
    DomainId,
    FastMap,
    Incarnation,
    InstanceId,
    RegionId,
    Version, //
};
use blocks::Table;
use bytestring::ByteString;
use spec::Class;
use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::Arc, //
};
use steer::{
    AdmissionControl,
    ClassTarget, //
};

/// One entry, as lookup responses name it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) failure_domain: DomainId,
    pub(crate) callers_addr: ByteString,
    /// Address to dial from this instance.
    pub(crate) dial_addr: ByteString,
}

/// One region in this daemon's view.
#[derive(Clone, Debug)]
pub(crate) struct RegionView {
    pub(crate) id: RegionId,
    /// Entries that accept work, sorted by name.
    pub(crate) entries: Vec<Entry>,
    /// Whether operators are draining it.
    pub(crate) drained: bool,
}

/// One class, with its pool in this region.
#[derive(Debug)]
pub(crate) struct ClassView {
    pub(crate) class: Class,
    pub(crate) pool: Arc<Pool>,
    /// The class's target, as placement uses it.
    pub(crate) target: ClassTarget,
    /// Admission control of the classes that share the service.
    pub(crate) admission: Arc<AdmissionControl>,
    /// Index of this class in the admission control.
    pub(crate) class_index: usize,
    /// Number of classes of the service that precede this one in the queue.
    pub(crate) rank: usize,
    /// Whether its own requests serve as probes, since no class of the service can be copied.
    pub(crate) is_probe: bool,
}

/// State that traffic threads decide from; immutable once published.
pub(crate) struct Snapshot {
    pub(crate) version: Version,
    pub(crate) stage: Stage,
    /// Index of this daemon's region in `regions`.
    pub(crate) own_index: usize,
    pub(crate) regions: Vec<RegionView>,
    pub(crate) classes: FastMap<ClassId, Arc<ClassView>>,
    /// Maps a caller's address block to regions, most preferred first.
    pub(crate) blocks: Arc<Table>,
    /// Links to the other regions.
    pub(crate) links: BTreeMap<RegionId, Arc<Link>>,
}

impl Snapshot {
    /// Snapshot of a process that has no configuration yet.
    pub(crate) fn starting(own: RegionId) -> Self {
        Self {
            version: 0,
            stage: Stage::Starting,
            own_index: 0,
            regions: vec![RegionView {
                id: own,
                entries: Vec::new(),
                drained: false,
            }],
            classes: FastMap::default(),
            blocks: Arc::new(Table::default()),
            links: BTreeMap::new(),
        }
    }

    /// Whether a configuration is in force and work is accepted.
    pub(crate) fn is_ready(&self) -> bool {
        matches!(self.stage, Stage::Serving | Stage::Withdrawn)
    }

    /// This daemon's region.
    pub(crate) fn own_region(&self) -> &RegionView {
        &self.regions[self.own_index]
    }

    /// Whether `region` is the caller's most preferred region, live or not.
    pub(crate) fn is_home(&self, region: &RegionView, block: Option<IpAddr>) -> bool {
        let listed = block.and_then(|addr| self.blocks.lookup(addr));
        let home = listed.and_then(|listed| listed.first());
        home.map_or(self.own_region().id == region.id, |home| *home == region.id)
    }

    /// Regions for a caller, most preferred first: those listed for its block, then this daemon's
    /// own, then the rest. Drained regions come last, so that the list is never empty.
    pub(crate) fn preference(&self, block: Option<IpAddr>) -> Vec<&RegionView> {
        let listed = block.and_then(|addr| self.blocks.lookup(addr));
        let rank = |region: &RegionView| {
            let listed = listed.and_then(|listed| listed.iter().position(|id| *id == region.id));
            let is_remote = self.regions[self.own_index].id != region.id;
            (region.drained, listed.unwrap_or(usize::MAX), is_remote)
        };
        let mut regions: Vec<&RegionView> = self.regions.iter().collect();
        regions.sort_by_key(|region| rank(region));
        regions
    }
}

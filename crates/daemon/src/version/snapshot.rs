//! The snapshot itself.

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

/// One entry, as look-up answers name it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) failure_domain: DomainId,
    pub(crate) callers_addr: ByteString,
    /// Address to dial from this instance.
    pub(crate) dial_addr: ByteString,
}

/// One region, as this daemon sees it.
#[derive(Clone, Debug)]
pub(crate) struct RegionView {
    pub(crate) id: RegionId,
    /// Entries that take work, sorted by name.
    pub(crate) entries: Vec<Entry>,
    /// Whether operators drain it.
    pub(crate) drained: bool,
}

/// One class with its pool in this region.
#[derive(Debug)]
pub(crate) struct ClassView {
    pub(crate) class: Class,
    pub(crate) pool: Arc<Pool>,
    /// The class's target, as decisions take it.
    pub(crate) target: ClassTarget,
    /// Admission of the classes that share the service.
    pub(crate) admit: Arc<AdmissionControl>,
    /// Index of this class in it.
    pub(crate) place: usize,
    /// Classes of the service that go before this one.
    pub(crate) rank: usize,
    /// Its own requests are probes, since no class of the service can be copied.
    pub(crate) is_probe: bool,
}

/// All that a traffic thread decides from; never changed once published.
pub(crate) struct Snapshot {
    pub(crate) version: Version,
    pub(crate) stage: Stage,
    /// Index of the own region in `regions`.
    pub(crate) own: usize,
    pub(crate) regions: Vec<RegionView>,
    pub(crate) classes: FastMap<ClassId, Arc<ClassView>>,
    /// Caller's block to regions, most preferred first.
    pub(crate) blocks: Arc<Table>,
    /// Links to the other regions.
    pub(crate) links: BTreeMap<RegionId, Arc<Link>>,
}

impl Snapshot {
    /// Snapshot of a process that has no configuration.
    pub(crate) fn starting(own: RegionId) -> Self {
        Self {
            version: 0,
            stage: Stage::Starting,
            own: 0,
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

    /// Whether a configuration is in force and work is taken.
    pub(crate) fn ready(&self) -> bool {
        matches!(self.stage, Stage::Serving | Stage::Withdrawn)
    }

    /// Own region.
    pub(crate) fn own_region(&self) -> &RegionView {
        &self.regions[self.own]
    }

    /// Whether `region` is the one that a caller prefers to all others, live or not.
    pub(crate) fn is_home(&self, region: &RegionView, block: Option<IpAddr>) -> bool {
        let listed = block.and_then(|addr| self.blocks.lookup(addr));
        let home = listed.and_then(|listed| listed.first());
        home.map_or(self.own_region().id == region.id, |home| *home == region.id)
    }

    /// Regions for a caller, most preferred first: those of its block, then the own one, then the
    /// rest. Regions that operators drain come last, so that a caller always gets an answer.
    pub(crate) fn preference(&self, block: Option<IpAddr>) -> Vec<&RegionView> {
        let listed = block.and_then(|addr| self.blocks.lookup(addr));
        let rank = |region: &RegionView| {
            let listed = listed.and_then(|listed| listed.iter().position(|id| *id == region.id));
            let own = self.regions[self.own].id != region.id;
            (region.drained, listed.unwrap_or(usize::MAX), own)
        };
        let mut regions: Vec<&RegionView> = self.regions.iter().collect();
        regions.sort_by_key(|region| rank(region));
        regions
    }
}

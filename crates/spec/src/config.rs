//! The configuration's types and the edits that operators make without a file.

use crate::{
    verify,
    DrainTarget,
    Fault, //
};
use base::{
    ClassId,
    DomainId,
    RegionId,
    ServiceId, //
};
use blocks::Block;
use bytestring::ByteString;
use std::time::Duration;

/// The operators' configuration, in canonical order.
///
/// Each list is sorted by id and holds each id once, so that equal configurations are equal values
/// whatever order their files had. [`crate::parse()`] and the edits keep that; whoever builds one by
/// hand calls [`Config::canonical`].
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Config {
    /// Name of the deployment, for people.
    pub name: ByteString,
    /// Regions with their failure domains.
    pub regions: Vec<Region>,
    /// Services that upstreams of the platform's list may name.
    pub services: Vec<ServiceId>,
    /// Classes of work with their targets.
    pub classes: Vec<Class>,
    /// Cap of each ordered pair of regions.
    pub caps: Vec<Cap>,
    /// What is being drained.
    pub drains: Vec<Drain>,
    /// Client blocks stated in the file; they go before those of the block table.
    pub block_rules: Vec<BlockRule>,
}

/// A region and the parts of it that fail as one.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Region {
    /// Name.
    pub id: RegionId,
    /// Names of its failure domains.
    pub failure_domains: Vec<DomainId>,
}

/// A class of work with its targets.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Class {
    /// Name, as callers state it.
    pub id: ClassId,
    /// Service whose upstreams do the work.
    pub service: ServiceId,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Rank when work must be refused; 0 is refused last.
    pub priority: u8,
    /// Latency that all but few requests should stay below, seen by the entry.
    pub latency_target: Duration,
    /// Part of a region's slots that this class leaves free for bursts, in percent.
    pub headroom_pct: u8,
    /// Time after which a caller is answered for good; he may ask for less, not for more.
    pub deadline: Duration,
    /// Requests that should be answered whole and within the latency target, per million.
    pub success_target_ppm: u32,
}

/// Limit of what one region may send to another.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Cap {
    /// Region that sends.
    pub from: RegionId,
    /// Region that receives.
    pub to: RegionId,
    /// Bytes per second in both directions together.
    pub bytes_per_s: u64,
    /// Requests in flight at once.
    pub in_flight: u32,
    /// Requests in flight that a shift may add per second.
    pub growth_per_s: u32,
}

/// A drain in force.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Drain {
    /// What gets no new work.
    pub target: DrainTarget,
}

/// Preference of the callers of one client block.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BlockRule {
    /// Addresses of the callers.
    pub block: Block,
    /// Regions, the home first.
    pub regions: Vec<RegionId>,
}

/// New targets of a class; what is `None` stays as it is.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Target {
    /// Latency target.
    pub latency_target: Option<Duration>,
    /// Headroom in percent.
    pub headroom_pct: Option<u8>,
    /// Deadline.
    pub deadline: Option<Duration>,
    /// Rank when work must be refused.
    pub priority: Option<u8>,
    /// Success target per million.
    pub success_target_ppm: Option<u32>,
}

impl Config {
    /// Brings every list into canonical order.
    pub fn canonical(mut self) -> Self {
        for region in &mut self.regions {
            region.failure_domains.sort();
        }
        self.regions.sort();
        self.services.sort();
        self.classes.sort();
        self.caps.sort();
        self.drains.sort();
        self.block_rules.sort();
        self
    }

    /// The region of that name.
    pub fn region(&self, id: &str) -> Option<&Region> {
        self.regions.iter().find(|region| region.id == id)
    }

    /// The class of that name.
    pub fn class(&self, id: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.id == id)
    }

    /// The cap of that ordered pair.
    pub fn cap(&self, from: &str, to: &str) -> Option<&Cap> {
        self.caps
            .iter()
            .find(|cap| cap.from == from && cap.to == to)
    }

    /// Whether the target is named by a drain; drains that contain it don't count.
    pub fn has_drain(&self, target: &DrainTarget) -> bool {
        self.drains.iter().any(|drain| drain.target == *target)
    }

    /// Starts a drain; one that is in force already changes nothing.
    ///
    /// # Errors
    ///
    /// What the verifier says of the result, such as an unknown region.
    pub fn with_drain(&self, target: &DrainTarget) -> Result<Self, Vec<Fault>> {
        let mut config = self.clone();
        if !config.has_drain(target) {
            config.drains.push(Drain {
                target: target.clone(),
            });
        }
        config.checked()
    }

    /// Stops a drain; one that is not in force changes nothing.
    ///
    /// # Errors
    ///
    /// What the verifier says of the result.
    pub fn without_drain(&self, target: &DrainTarget) -> Result<Self, Vec<Fault>> {
        let mut config = self.clone();
        config.drains.retain(|drain| drain.target != *target);
        config.checked()
    }

    /// Revises the targets of a class.
    ///
    /// # Errors
    ///
    /// When there is no such class, or what the verifier says of the result.
    pub fn with_target(&self, class: &str, target: &Target) -> Result<Self, Vec<Fault>> {
        let mut config = self.clone();
        let Some(class) = config.classes.iter_mut().find(|c| c.id == class) else {
            let known = self.classes.iter().map(|class| &*class.id);
            return Err(vec![Fault::unknown_class(class, known)]);
        };
        class.latency_target = target.latency_target.unwrap_or(class.latency_target);
        class.headroom_pct = target.headroom_pct.unwrap_or(class.headroom_pct);
        class.deadline = target.deadline.unwrap_or(class.deadline);
        class.priority = target.priority.unwrap_or(class.priority);
        class.success_target_ppm = target
            .success_target_ppm
            .unwrap_or(class.success_target_ppm);
        config.checked()
    }

    /// The configuration in canonical order if the verifier has nothing to say.
    fn checked(self) -> Result<Self, Vec<Fault>> {
        let config = self.canonical();
        let faults = verify(&config);
        if faults.is_empty() {
            Ok(config)
        } else {
            Err(faults)
        }
    }
}

//! The types of the configuration, and the edits that operators make without a file.

use crate::{
    verify,
    DrainTarget,
    Violation, //
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
/// Each list is sorted by id and contains each id once, so that equal configurations are equal
/// values regardless of the order in their files. [`crate::parse()`] and the edits preserve this
/// order; code that builds a configuration itself calls [`Config::canonical`].
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Config {
    /// Name of the deployment, for display only.
    pub name: ByteString,
    /// Regions with their failure domains.
    pub regions: Vec<Region>,
    /// Services that the upstreams in the platform's list may belong to.
    pub services: Vec<ServiceId>,
    /// Classes of work with their targets.
    pub classes: Vec<Class>,
    /// Cap of each ordered pair of regions.
    pub caps: Vec<Cap>,
    /// Drains in force.
    pub drains: Vec<Drain>,
    /// Client blocks stated in the file; they take precedence over the block table.
    pub block_rules: Vec<BlockRule>,
}

/// A region and its failure domains.
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
    /// Priority when requests must be refused; 0 is refused last.
    pub priority: u8,
    /// Latency at the entry that all but a few requests should stay below.
    pub latency_target: Duration,
    /// Percentage of a region's slots that this class leaves free for bursts.
    pub headroom_pct: u8,
    /// Time within which a caller gets the final answer; a request may ask for less, but not for
    /// more.
    pub deadline: Duration,
    /// Requests per million that should be answered completely and within the latency target.
    pub success_target_ppm: u32,
}

/// Limits on the traffic from one region to another.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Cap {
    /// Region that sends the requests.
    pub from: RegionId,
    /// Region that receives the requests.
    pub to: RegionId,
    /// Bytes per second, both directions added.
    pub bytes_per_s: u64,
    /// Maximum number of requests in flight.
    pub in_flight: u32,
    /// Maximum number of requests in flight that a shift adds per second.
    pub growth_per_s: u32,
}

/// A drain in force.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Drain {
    /// Part of the fleet that gets no new work.
    pub target: DrainTarget,
}

/// Preferred regions of the callers in one client block.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BlockRule {
    /// Addresses of the callers.
    pub block: Block,
    /// Regions in order of preference; the first is the home region.
    pub regions: Vec<RegionId>,
}

/// New targets of a class; a target that is `None` stays unchanged.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetUpdate {
    /// Latency target.
    pub latency_target: Option<Duration>,
    /// Headroom in percent.
    pub headroom_pct: Option<u8>,
    /// Deadline.
    pub deadline: Option<Duration>,
    /// Priority when requests must be refused.
    pub priority: Option<u8>,
    /// Success target per million.
    pub success_target_ppm: Option<u32>,
}

impl Config {
    /// Sorts every list into canonical order.
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

    /// The region with this name.
    pub fn region(&self, id: &str) -> Option<&Region> {
        self.regions.iter().find(|region| region.id == id)
    }

    /// The class with this name.
    pub fn class(&self, id: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.id == id)
    }

    /// The cap of this ordered pair of regions.
    pub fn cap(&self, from: &str, to: &str) -> Option<&Cap> {
        self.caps
            .iter()
            .find(|cap| cap.from == from && cap.to == to)
    }

    /// Whether a drain names exactly this target; a drain of a region or failure domain that
    /// contains the target doesn't count.
    pub fn has_drain(&self, target: &DrainTarget) -> bool {
        self.drains.iter().any(|drain| drain.target == *target)
    }

    /// Adds a drain; a drain that is already in force changes nothing.
    ///
    /// # Errors
    ///
    /// The rules that the result violates, such as a reference to an unknown region.
    pub fn with_drain(&self, target: &DrainTarget) -> Result<Self, Vec<Violation>> {
        let mut config = self.clone();
        if !config.has_drain(target) {
            config.drains.push(Drain {
                target: target.clone(),
            });
        }
        config.verified()
    }

    /// Removes a drain; a drain that is not in force changes nothing.
    ///
    /// # Errors
    ///
    /// The rules that the result violates.
    pub fn without_drain(&self, target: &DrainTarget) -> Result<Self, Vec<Violation>> {
        let mut config = self.clone();
        config.drains.retain(|drain| drain.target != *target);
        config.verified()
    }

    /// Changes the targets of a class.
    ///
    /// # Errors
    ///
    /// If there is no such class, or the rules that the result violates.
    pub fn with_target(&self, class: &str, target: &TargetUpdate) -> Result<Self, Vec<Violation>> {
        let mut config = self.clone();
        let Some(class) = config.classes.iter_mut().find(|c| c.id == class) else {
            let known_classes = self.classes.iter().map(|class| &*class.id);
            return Err(vec![Violation::unknown_class(class, known_classes)]);
        };
        class.latency_target = target.latency_target.unwrap_or(class.latency_target);
        class.headroom_pct = target.headroom_pct.unwrap_or(class.headroom_pct);
        class.deadline = target.deadline.unwrap_or(class.deadline);
        class.priority = target.priority.unwrap_or(class.priority);
        class.success_target_ppm = target
            .success_target_ppm
            .unwrap_or(class.success_target_ppm);
        config.verified()
    }

    /// Returns the configuration in canonical order if it violates no rule.
    fn verified(self) -> Result<Self, Vec<Violation>> {
        let config = self.canonical();
        let violations = verify(&config);
        if violations.is_empty() {
            Ok(config)
        } else {
            Err(violations)
        }
    }
}

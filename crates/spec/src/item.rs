//! Items of a configuration: its parts, each with a name and with its fields as text.
//!
//! The canonical text and the difference of two configurations are both built from these fields, so
//! that a field that is printed can't be missing from a comparison.

use crate::{
    BlockRule,
    Cap,
    Class,
    Config,
    DrainTarget,
    Region, //
};
use base::{
    ClassId,
    RegionId,
    ServiceId, //
};
use blocks::Block;
use conf::quote;
use std::{
    fmt,
    time::Duration, //
};

/// Name of an item of a configuration.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Item {
    /// The deployment as a whole.
    Deployment,
    /// A region.
    Region(RegionId),
    /// A service.
    Service(ServiceId),
    /// A class.
    Class(ClassId),
    /// The cap of an ordered pair of regions.
    Cap(RegionId, RegionId),
    /// A drain.
    Drain(DrainTarget),
    /// A client block stated in the file.
    BlockRule(Block),
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deployment => write!(f, "deployment"),
            Self::Region(id) => write!(f, "region {id}"),
            Self::Service(id) => write!(f, "service {id}"),
            Self::Class(id) => write!(f, "class {id}"),
            Self::Cap(from, to) => write!(f, "cap {from} to {to}"),
            Self::Drain(target) => write!(f, "drain {target}"),
            Self::BlockRule(block) => write!(f, "block {block}"),
        }
    }
}

/// Names and YAML values of an item's fields, in the order of the canonical text.
pub(crate) type Fields = Vec<(&'static str, String)>;

/// Returns all items of a configuration with their fields.
pub(crate) fn items(config: &Config) -> Vec<(Item, Fields)> {
    let mut items = vec![(Item::Deployment, vec![("name", quote(&config.name))])];
    items.extend(config.regions.iter().map(region));
    items.extend(
        config
            .services
            .iter()
            .map(|id| (Item::Service(id.clone()), Vec::new())),
    );
    items.extend(config.classes.iter().map(class));
    items.extend(config.caps.iter().map(cap));
    items.extend(
        config
            .drains
            .iter()
            .map(|drain| (Item::Drain(drain.target.clone()), Vec::new())),
    );
    items.extend(config.block_rules.iter().map(block_rule));
    items
}

/// Fields of a region.
fn region(region: &Region) -> (Item, Fields) {
    let fields = vec![
        ("id", quote(&region.id)),
        ("failure_domains", list(&region.failure_domains)),
    ];
    (Item::Region(region.id.clone()), fields)
}

/// Fields of a class.
fn class(class: &Class) -> (Item, Fields) {
    let fields = vec![
        ("id", quote(&class.id)),
        ("service", quote(&class.service)),
        ("idempotent", class.idempotent.to_string()),
        ("priority", class.priority.to_string()),
        ("latency_ms", millis(class.latency_target)),
        ("headroom_pct", class.headroom_pct.to_string()),
        ("deadline_ms", millis(class.deadline)),
        ("success_pct", percent(class.success_target_ppm)),
    ];
    (Item::Class(class.id.clone()), fields)
}

/// Fields of a cap.
fn cap(cap: &Cap) -> (Item, Fields) {
    let fields = vec![
        ("from", quote(&cap.from)),
        ("to", quote(&cap.to)),
        ("bytes_per_s", cap.bytes_per_s.to_string()),
        ("in_flight", cap.in_flight.to_string()),
        ("growth_per_s", cap.growth_per_s.to_string()),
    ];
    (Item::Cap(cap.from.clone(), cap.to.clone()), fields)
}

/// Fields of a client block.
fn block_rule(rule: &BlockRule) -> (Item, Fields) {
    let fields = vec![
        ("block", quote(&rule.block.to_string())),
        ("regions", list(&rule.regions)),
    ];
    (Item::BlockRule(rule.block), fields)
}

/// Formats names as a YAML list on one line.
fn list(names: &[bytestring::ByteString]) -> String {
    let names: Vec<String> = names.iter().map(|name| quote(name)).collect();
    format!("[{}]", names.join(", "))
}

/// Formats a duration in whole milliseconds.
fn millis(duration: Duration) -> String {
    duration.as_millis().to_string()
}

/// Formats parts per million as a percentage without trailing zeros.
pub(crate) fn percent(ppm: u32) -> String {
    let text = format!("{}.{:04}", ppm / 10_000, ppm % 10_000);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

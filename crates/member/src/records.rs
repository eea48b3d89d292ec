//! Records of instances and upstreams, and their freshness.

use crate::{
    Identity,
    LeaseState, //
};
use base::{
    DomainId,
    Incarnation,
    Now,
    RegionId,
    ServiceId,
    UpstreamId,
    Version, //
};
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use std::time::Duration;

/// Ages at which records lose their freshness or are dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ViewTimeouts {
    /// Records younger than this are fresh and fully used; a few heartbeat intervals.
    pub fresh_for: Duration,
    /// Records younger than this are old: no growth and no new shifts. Older ones are silent.
    pub old_for: Duration,
    /// An instance that was neither listed nor reported for this long is dropped.
    pub forget_after: Duration,
    /// An upstream that the list still shows as live this long after it was marked as leaving has
    /// come back.
    pub revive_after: Duration,
}

impl Default for ViewTimeouts {
    fn default() -> Self {
        Self {
            fresh_for: Duration::from_secs(2),
            old_for: Duration::from_secs(5),
            forget_after: Duration::from_secs(600),
            revive_after: Duration::from_secs(600),
        }
    }
}

impl ViewTimeouts {
    /// Freshness at `now` of a record that was true at `as_of`; `None` means never reported.
    pub fn freshness(&self, as_of: Option<Now>, now: Now) -> Freshness {
        let Some(as_of) = as_of else {
            return Freshness::Silent;
        };
        let age = now.saturating_sub(as_of);
        if age < self.fresh_for {
            Freshness::Fresh
        } else if age < self.old_for {
            Freshness::Old
        } else {
            Freshness::Silent
        }
    }
}

/// How far a record may be relied on, by its age.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Freshness {
    /// Full use.
    Fresh,
    /// No growth, no new shifts.
    Old,
    /// The current state is unknown: existing assignments may be kept, and new ones are made only
    /// if there is no alternative.
    Silent,
}

/// State of the sender of a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Heartbeat {
    /// Name and location of the sender.
    pub identity: Identity,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Configuration in force at the sender.
    pub version: Version,
    /// Lease state of the sender.
    pub state: LeaseState,
    /// Upper bound of the heartbeat's age; a whole round trip if the one-way delay is unknown.
    pub age: Duration,
}

/// State of an instance as another daemon relays it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Summary {
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Configuration in force at the instance.
    pub version: Version,
    /// Lease state of the instance.
    pub state: LeaseState,
    /// Upper bound of the state's age when the summary was made, in milliseconds.
    pub age_ms: u64,
    /// Name and location of the instance, if the platform's list may not contain it.
    pub identity: Option<Identity>,
}

/// Report that an upstream is leaving, as another daemon relays it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeavingMark {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Upper bound of the report's age, in milliseconds.
    pub age_ms: u64,
}

/// Instance in the platform's list.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ListedInstance {
    /// Name and location.
    pub identity: Identity,
    /// Whether the list shows it as leaving.
    pub is_leaving: bool,
}

/// Upstream in the platform's list.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ListedUpstream {
    /// Name.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Region.
    pub region: RegionId,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Address that takes requests.
    pub addr: ByteString,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether the list shows it as leaving.
    pub is_leaving: bool,
}

/// The platform's list.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlatformList {
    /// Upper bound of the list's age.
    pub age: Duration,
    /// Instances.
    pub instances: Vec<ListedInstance>,
    /// Upstreams.
    pub upstreams: Vec<ListedUpstream>,
}

/// Known state of an instance.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct InstanceRecord {
    /// Name and location.
    pub identity: Identity,
    /// Latest known incarnation; 0 until a heartbeat or a summary reports one.
    pub incarnation: Incarnation,
    /// Lower bound of the configuration version in force at the instance.
    pub version: Version,
    /// Lease state; only advances within an incarnation.
    pub state: LeaseState,
    /// Lower bound of the time at which the record was last true at the instance; `None` if only
    /// the list names it.
    pub as_of: Option<Now>,
    /// When this incarnation was first reported.
    pub incarnation_since: Now,
    /// Whether the latest list names it.
    pub is_listed: bool,
}

/// Known state of an upstream.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamRecord {
    /// Latest list entry.
    pub listed: ListedUpstream,
    /// When it was first marked as leaving in its current lifetime.
    pub leaving_since: Option<Now>,
    /// Start of its current lifetime; earlier reports of leaving belong to a previous one.
    pub alive_since: Now,
    /// Lower bound of the time at which it last answered.
    pub as_of: Option<Now>,
    /// Whether the latest list names it.
    pub is_listed: bool,
    /// Whether a list has shown it as leaving or absent since it was marked.
    pub seen_gone: bool,
}

impl UpstreamRecord {
    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }
}

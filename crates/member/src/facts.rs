//! What is known of one instance or upstream, and how fresh it is.

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

/// How old facts may be.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PictureTerms {
    /// Younger is fresh: full use. A few heartbeats.
    pub fresh_for: Duration,
    /// Younger is old: no growth, no new shifts. Past it: silent.
    pub old_for: Duration,
    /// An instance that is neither listed nor heard of for so long is forgotten.
    pub forget_after: Duration,
    /// An upstream marked as leaving that the list shows as live for so long has come back.
    pub revive_after: Duration,
}

impl Default for PictureTerms {
    fn default() -> Self {
        Self {
            fresh_for: Duration::from_secs(2),
            old_for: Duration::from_secs(5),
            forget_after: Duration::from_secs(600),
            revive_after: Duration::from_secs(600),
        }
    }
}

impl PictureTerms {
    /// Freshness at `now` of what was true at `true_at`, or never heard.
    pub fn freshness(&self, true_at: Option<Now>, now: Now) -> Freshness {
        let Some(true_at) = true_at else {
            return Freshness::Silent;
        };
        let age = now.saturating_sub(true_at);
        if age < self.fresh_for {
            Freshness::Fresh
        } else if age < self.old_for {
            Freshness::Old
        } else {
            Freshness::Silent
        }
    }
}

/// How far a fact may be trusted, by its age.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Freshness {
    /// Full use.
    Fresh,
    /// No growth, no new shifts.
    Old,
    /// Nothing is known; what is held may be kept, nothing new where another will do.
    Silent,
}

/// What a heartbeat says of its sender.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BeatFacts {
    /// Sender, and where it is.
    pub identity: Identity,
    /// Its life.
    pub incarnation: Incarnation,
    /// Configuration in force there.
    pub version: Version,
    /// How far its life is.
    pub state: LeaseState,
    /// How long ago this was true, at worst: a whole round trip where the way here isn't known.
    pub age: Duration,
}

/// What a daemon passes on of another instance.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Summary {
    /// Its life.
    pub incarnation: Incarnation,
    /// Configuration in force there.
    pub version: Version,
    /// How far its life is.
    pub state: LeaseState,
    /// How long ago this was true, at worst, when the summary was made; milliseconds.
    pub age_ms: u64,
    /// Where it is, if the platform's list may not say so.
    pub identity: Option<Identity>,
}

/// A sign that an upstream is leaving, passed on.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UpstreamMark {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How long ago the sign was seen, at worst; milliseconds.
    pub age_ms: u64,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ListedInstance {
    /// Its name and where it is.
    pub identity: Identity,
    /// Whether the list says that it leaves.
    pub is_leaving: bool,
}

/// One upstream of the platform's list.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ListedUpstream {
    /// Its name.
    pub id: UpstreamId,
    /// Whose work it does.
    pub service: ServiceId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Where it is reached.
    pub addr: ByteString,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether the list says that it leaves.
    pub is_leaving: bool,
}

/// The platform's list.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ListFacts {
    /// How long ago the list was true, at worst.
    pub age: Duration,
    /// Instances.
    pub instances: Vec<ListedInstance>,
    /// Upstreams.
    pub upstreams: Vec<ListedUpstream>,
}

/// What is known of an instance.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct InstanceFacts {
    /// Its name and where it is.
    pub identity: Identity,
    /// Its life; 0 before it was heard of by heartbeat.
    pub incarnation: Incarnation,
    /// Configuration in force there, at least.
    pub version: Version,
    /// How far its life is; only grows within an incarnation.
    pub state: LeaseState,
    /// When it was last true at the instance, at worst; `None`: known by the list only.
    pub true_at: Option<Now>,
    /// When this incarnation was first heard of.
    pub incarnation_since: Now,
    /// Whether the latest list names it.
    pub is_listed: bool,
}

/// What is known of an upstream.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamFacts {
    /// As the list last named it.
    pub listed: ListedUpstream,
    /// When it was first marked as leaving in this life.
    pub left_at: Option<Now>,
    /// Since when it counts as alive in this life: older signs of leaving are of an earlier one.
    pub alive_since: Now,
    /// When it was last known to answer, at worst.
    pub true_at: Option<Now>,
    /// Whether the latest list names it.
    pub is_listed: bool,
    /// Whether a list has shown it as leaving or absent since it was marked.
    pub seen_gone: bool,
}

impl UpstreamFacts {
    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.left_at.is_some()
    }
}

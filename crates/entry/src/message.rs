//! Messages between entries.

use base::{
    DomainId,
    InstanceId,
    RegionId,
    UpstreamId, //
};
use bytes::{
    BufMut,
    Bytes,
    BytesMut, //
};
use org::DemandMessage;
use overlay::{
    CallerService,
    Capacity,
    Freshness,
    Load,
    LoadKey,
    Member,
    Roster, //
};
use picture::{
    Departure,
    Evacuation,
    UpstreamUpdate, //
    ViewVersions,
};
use plat::FeedRow;
use quarantine::Report;
use route::Routes;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// A message from one entry to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Message {
    /// State of the sender and the versions of its routing view.
    State(EntryState),
    /// Requests the parts in which the receiver's routing view is newer.
    #[serde(rename = "want")]
    WantUpdates(UpdateRequest),
    /// Routes in force.
    Routes(Arc<Routes>),
    /// Evacuations, including ended ones.
    Evacuations(Vec<(DomainId, Evacuation)>),
    /// Changed upstreams.
    Upstreams(Vec<UpstreamUpdate>),
    /// Changes that a reader has read from the store, for the other hubs and all leaves.
    Rows(ForwardedRows),
    /// Version up to which a hub has read a table, sent on a new session and as a keep-alive.
    Position(FollowedTable, u64, Freshness),
    /// The sender can't read this table of the store.
    NotReading(FollowedTable),
    /// The sender has just started and has not read any table yet.
    #[serde(rename = "want-picture")]
    WantView,
    /// Entire routing view of a hub, for an entry that has just started.
    #[serde(rename = "picture")]
    View(FullView),
    /// Entries that a hub has sessions with.
    Roster(Roster),
    /// The sender has lost its session with this hub.
    RosterGone(InstanceId),
    /// Upstreams that are cold or state a limit and whose leases the sender holds.
    ColdHeld(Vec<UpstreamId>),
    /// Affinity keys that the sender has sent to upstreams that it did not know to be warm for them.
    Warmed(Vec<WarmKey>),
    /// The sender has just started and requests all known warm keys.
    WantWarmed,
    /// Reports of upstreams that crashed while they ran a request.
    Crashes(Vec<Report>),
    /// Upstreams that have stated in a response that they are leaving.
    Departures(Vec<Departure>),
    /// Reports of rate limits that upstreams stated.
    Limits(Vec<limit::Report>),
    /// A leaf's requests in flight by upstream, for its hub. Upstreams without requests are omitted.
    Loads(PackedLoads),
    /// Requests in flight of a hub and its leaves, for the other hubs.
    DomainLoads(PackedLoads),
    /// Requests in flight of all entries, for a hub's leaves.
    FleetLoads(PackedLoads),
    /// A leaf's demand by organisation, for its hub.
    Demands(DemandMessage),
    /// Demand of a hub and its leaves, for the other hubs.
    DomainDemands(DemandMessage),
    /// Demand of all entries, for a hub's leaves.
    FleetDemands(DemandMessage),
}

impl Message {
    /// Returns the kind of the message, a label of a metric.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::State(_) => "state",
            Self::WantUpdates(_) => "want",
            Self::Routes(_) => "routes",
            Self::Evacuations(_) => "evacuations",
            Self::Upstreams(_) => "upstreams",
            Self::Rows(_) => "rows",
            Self::Position(..) => "position",
            Self::NotReading(_) => "not-reading",
            Self::WantView => "want-picture",
            Self::View(_) => "picture",
            Self::Roster(_) => "roster",
            Self::RosterGone(_) => "roster-gone",
            Self::ColdHeld(_) => "cold-held",
            Self::Warmed(_) => "warmed",
            Self::WantWarmed => "want-warmed",
            Self::Crashes(_) => "crashes",
            Self::Departures(_) => "departures",
            Self::Limits(_) => "limits",
            Self::Loads(_) => "loads",
            Self::DomainLoads(_) => "domain-loads",
            Self::FleetLoads(_) => "fleet-loads",
            Self::Demands(_) => "demands",
            Self::DomainDemands(_) => "domain-demands",
            Self::FleetDemands(_) => "fleet-demands",
        }
    }
}

/// Table of the store that entries follow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum FollowedTable {
    /// Rows written by operators.
    Operator,
    /// Rows of upstreams.
    Upstreams,
}

impl FollowedTable {
    /// Returns the name of the table in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Upstreams => "upstreams",
        }
    }
}

/// All changes of one table from one version to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ForwardedRows {
    pub(crate) table: FollowedTable,
    /// Version after which the changes begin.
    pub(crate) after: u64,
    /// Version up to which the changes reach.
    pub(crate) position: u64,
    /// Until when the sender's table is known to be complete.
    pub(crate) freshness: Freshness,
    /// Changed rows.
    pub(crate) rows: Vec<FeedRow>,
    /// The store has just become available again; rows may be missing that are soon rewritten.
    pub(crate) after_outage: bool,
}

/// Routing view of a hub, with the positions of both tables.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct FullView {
    /// Version up to which the operators' table was read.
    pub(crate) operator_position: u64,
    /// Version up to which the upstreams' table was read.
    pub(crate) upstreams_position: u64,
    /// Until when the operators' table is known to be complete.
    pub(crate) operator_freshness: Freshness,
    /// Until when the upstreams' table is known to be complete.
    pub(crate) upstreams_freshness: Freshness,
    /// Routes in force.
    pub(crate) routes: Option<Arc<Routes>>,
    /// Evacuations, including ended ones.
    pub(crate) evacuations: Vec<(DomainId, Evacuation)>,
    pub(crate) upstreams: Vec<UpstreamUpdate>,
}

/// Number of bits for the count in a word of [`PackedLoads`]; the other bits are the upstream's key.
const COUNT_BITS: u32 = 8;
/// Largest count: several times the slots of any upstream.
const COUNT_MAX: u32 = (1 << COUNT_BITS) - 1;

/// Requests in flight by upstream, four bytes each.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(transparent)]
pub(crate) struct PackedLoads(Bytes);

impl PackedLoads {
    pub(crate) fn pack(loads: &[Load]) -> Self {
        let mut packed = BytesMut::with_capacity(loads.len() * size_of::<u32>());
        for (key, requests) in loads {
            packed.put_u32(key << COUNT_BITS | (*requests).min(COUNT_MAX));
        }
        Self(packed.freeze())
    }

    pub(crate) fn unpack(&self) -> Vec<Load> {
        let words = self.0.chunks_exact(size_of::<u32>());
        let words = words.map(|word| {
            word.iter()
                .fold(0, |word, byte| word << 8 | u32::from(*byte))
        });
        words
            .map(|word: u32| (word >> COUNT_BITS, word & COUNT_MAX))
            .collect()
    }
}

/// Returns the key of an upstream in [`PackedLoads`], from the hash of its incarnation. Two upstreams may share a key, which
/// makes the choice of upstreams less efficient but never incorrect.
pub(crate) fn load_key(hash: u64) -> LoadKey {
    (hash >> (u64::BITS - (u32::BITS - COUNT_BITS))) as u32
}

/// An affinity key that an upstream is warm for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct WarmKey(
    /// Hash of the upstream's incarnation, computed by [`balance::Upstream::incarnation_hash`].
    pub(crate) u64,
    /// Hash of the key, computed by the same function.
    pub(crate) u64,
);

/// State of an entry, sent periodically and on each change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct EntryState {
    pub(crate) member: Member,
    /// Address that callers connect to.
    pub(crate) callers_addr: SocketAddr,
    /// Whether it accepts new callers.
    pub(crate) ready: bool,
    /// Address for requests that other entries can't send to upstreams themselves.
    #[serde(default)]
    pub(crate) relay_addr: Option<SocketAddr>,
    /// Whether it reaches no upstreams itself.
    #[serde(default)]
    pub(crate) is_partitioned: bool,
    /// Its capacity, if its settings state it.
    #[serde(default)]
    pub(crate) capacity: Option<Capacity>,
    pub(crate) is_hub: bool,
    /// Versions of its routing view.
    #[serde(rename = "reach")]
    pub(crate) versions: ViewVersions,
    /// Time since a read of the store showed these routes to be the newest.
    #[serde(default = "unknown_age")]
    pub(crate) routes_age: Duration,
    /// Round-trip times to other regions. Leaves have no sessions with these and use the times of their hubs.
    pub(crate) round_trips: Vec<(RegionId, Duration)>,
}

/// Returns the age of the routes of an entry that doesn't state it.
fn unknown_age() -> Duration {
    Duration::MAX
}

impl EntryState {
    /// Returns how the entry serves callers.
    pub(crate) fn service(&self) -> CallerService {
        CallerService {
            callers_addr: self.callers_addr,
            ready: self.ready,
            relay_addr: self.relay_addr,
            is_partitioned: self.is_partitioned,
            capacity: self.capacity,
        }
    }

    /// Returns whether the difference has to be sent to the other entries.
    pub(crate) fn differs(&self, other: &Self) -> bool {
        self.is_urgent(other) || self.versions != other.versions
    }

    /// Returns whether the difference affects callers or the roles of entries.
    pub(crate) fn is_urgent(&self, other: &Self) -> bool {
        self.service() != other.service() || self.is_hub != other.is_hub
    }
}

/// Parts of a routing view that are requested.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct UpdateRequest {
    pub(crate) operator: bool,
    pub(crate) upstreams: bool,
    /// Version up to which the sender has the upstreams' rows.
    pub(crate) upstreams_after: u64,
}

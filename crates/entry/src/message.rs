//! What entries tell each other.

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
use overlay::{
    Load,
    LoadKey,
    Member,
    Roster, //
};
use picture::{
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

/// One message between entries.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Message {
    /// How the sender is, and how far its picture reaches.
    State(State),
    /// The receiver's picture reaches farther: send me what it has.
    Want(Want),
    /// Routes.
    Routes(Arc<Routes>),
    /// Evacuations, and those taken back.
    Evacuations(Vec<(DomainId, Evacuation)>),
    /// Upstreams.
    Upstreams(Vec<UpstreamUpdate>),
    /// Changes that a reader has read from the store, for the other hubs and all leaves.
    Rows(ForwardedRows),
    /// How far the hub has read a table, on a new session.
    Position(Followed, u64),
    /// The reader can't read this table of the store.
    NotReading(Followed),
    /// The sender has just started and has read no table yet.
    WantPicture,
    /// All that a hub knows, for an entry that has just started.
    Picture(WholePicture),
    /// Entries that a hub is in session with.
    Roster(Roster),
    /// The sender has lost this hub.
    RosterGone(InstanceId),
    /// Cold upstreams of which the sender holds the leases.
    ColdHeld(Vec<UpstreamId>),
    /// Affinity keys that the sender has sent to upstreams which it did not know to be warm for them.
    Warmed(Vec<WarmKey>),
    /// The sender has just started: tell it all such keys that are known.
    WantWarmed,
    /// Reports of upstreams that crashed while they ran a request.
    Crashes(Vec<Report>),
    /// Reports of rate limits that upstreams stated.
    Limits(Vec<limit::Report>),
    /// A leaf's requests in flight at upstreams, for its hub; none at those not named.
    Loads(PackedLoads),
    /// Those of a hub and its leaves, for the other hubs.
    DomainLoads(PackedLoads),
    /// Those of all entries, for a hub's leaves.
    FleetLoads(PackedLoads),
}

impl Message {
    /// Its kind, for a metric.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::State(_) => "state",
            Self::Want(_) => "want",
            Self::Routes(_) => "routes",
            Self::Evacuations(_) => "evacuations",
            Self::Upstreams(_) => "upstreams",
            Self::Rows(_) => "rows",
            Self::Position(..) => "position",
            Self::NotReading(_) => "not-reading",
            Self::WantPicture => "want-picture",
            Self::Picture(_) => "picture",
            Self::Roster(_) => "roster",
            Self::RosterGone(_) => "roster-gone",
            Self::ColdHeld(_) => "cold-held",
            Self::Warmed(_) => "warmed",
            Self::WantWarmed => "want-warmed",
            Self::Crashes(_) => "crashes",
            Self::Limits(_) => "limits",
            Self::Loads(_) => "loads",
            Self::DomainLoads(_) => "domain-loads",
            Self::FleetLoads(_) => "fleet-loads",
        }
    }
}

/// The tables of the store that entries follow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Followed {
    /// What operators say.
    Operator,
    /// The upstreams.
    Upstreams,
}

impl Followed {
    /// Its name in log lines.
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
    /// The table.
    pub(crate) table: Followed,
    /// Version after which they begin.
    pub(crate) after: u64,
    /// Version up to which they reach.
    pub(crate) position: u64,
    /// The rows that changed.
    pub(crate) rows: Vec<FeedRow>,
    /// The store has just come back: rows may be missing that are written again soon.
    pub(crate) after_outage: bool,
}

/// What a hub knows from both tables.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WholePicture {
    /// Version up to which the operators' rows were read.
    pub(crate) operator_position: u64,
    /// Version up to which the rows of upstreams were read.
    pub(crate) upstreams_position: u64,
    /// Routes in force.
    pub(crate) routes: Option<Arc<Routes>>,
    /// Evacuations, and those taken back.
    pub(crate) evacuations: Vec<(DomainId, Evacuation)>,
    /// Upstreams.
    pub(crate) upstreams: Vec<UpstreamUpdate>,
}

/// Bits of a count in [`PackedLoads`]; the rest is the upstream's key.
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

/// Key of an upstream in a message of loads, by the hash of its name: two upstreams may share one, which makes a
/// choice worse, never wrong.
pub(crate) fn load_key(hash: u64) -> LoadKey {
    (hash >> (u64::BITS - (u32::BITS - COUNT_BITS))) as u32
}

/// An affinity key that an upstream had.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct WarmKey(
    /// Hash of the upstream's name, as [`balance::affinity_hash`] makes it.
    pub(crate) u64,
    /// Hash of the key, made likewise.
    pub(crate) u64,
);

/// State of an entry; told at intervals and at each change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct State {
    /// What it is.
    pub(crate) member: Member,
    /// Where callers reach it.
    pub(crate) callers_addr: SocketAddr,
    /// Takes new callers.
    pub(crate) ready: bool,
    /// It is a hub.
    pub(crate) is_hub: bool,
    /// How far its picture reaches.
    pub(crate) reach: ViewVersions,
    /// A hub's round trips to other regions, which its leaves have no sessions to.
    pub(crate) round_trips: Vec<(RegionId, Duration)>,
}

impl State {
    /// Whether the other entries have to be told of the difference.
    pub(crate) fn differs(&self, other: &Self) -> bool {
        self.is_urgent(other) || self.reach != other.reach
    }

    /// Whether that concerns callers or who sends what to whom.
    pub(crate) fn is_urgent(&self, other: &Self) -> bool {
        self.ready != other.ready
            || self.is_hub != other.is_hub
            || self.callers_addr != other.callers_addr
    }
}

/// The parts of a picture that are asked for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Want {
    pub(crate) operator: bool,
    pub(crate) upstreams: bool,
    /// Rows of upstreams up to this version are known.
    pub(crate) upstreams_after: u64,
}

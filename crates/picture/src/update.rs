//! Records and updates that a view consumes and produces.

use base::{
    DomainId,
    RegionId,
    ServiceId,
    UpstreamId,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Incarnation of an upstream as the store lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedUpstream {
    /// Name; earlier incarnations may have had the same one.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Region.
    pub region: RegionId,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Address that takes requests.
    pub addr: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Remaining time for which it stays cold, as of the write of the row.
    pub cold_left: Duration,
    /// Start time in Unix milliseconds by its own clock; zero if not reported. An upstream that restarts
    /// under the same name has lost its state, so another start time is another incarnation.
    #[serde(default)]
    pub started_ms: u64,
    /// Number of times that this incarnation has written its row; `None` if not reported.
    #[serde(default)]
    pub writes: Option<u64>,
}

/// Evacuation state of a failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Evacuation {
    /// Whether it is evacuated.
    pub on: bool,
    /// Version of the row that set this state.
    pub version: u64,
}

/// State of an upstream as entries exchange it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UpstreamUpdate {
    /// Latest listing.
    pub listed: ListedUpstream,
    /// Version of the row, or of its removal.
    pub version: u64,
    /// Whether its row was removed.
    pub gone: bool,
    /// Remaining time for which it stays cold, according to the sender.
    pub cold_left: Duration,
    /// Whether the sender has read the row in a whole table, which may be an older copy from which the store was
    /// restored.
    #[serde(default)]
    pub from_table: bool,
}

/// Incarnation of an upstream that has stated in a response that it is leaving.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Departure {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Start of the incarnation, in Unix milliseconds.
    pub started_ms: u64,
}

/// Newest version of each kind of row in a view.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewVersions {
    /// Version of the routes in force.
    pub routes: Version,
    /// Newest version of an evacuation row.
    pub operator: u64,
    /// Newest version of an upstream row.
    pub upstreams: u64,
}

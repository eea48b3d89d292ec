//! Statements that a picture takes and gives.

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

/// An incarnation of an upstream as the store lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedUpstream {
    /// Its name, which an earlier incarnation may have had.
    pub id: UpstreamId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it is about to go.
    pub leaving: bool,
    /// How much longer it stays cold, when the row was written.
    pub cold_left: Duration,
    /// When it started, in Unix milliseconds by its own clock; zero if it doesn't say. An upstream may start again
    /// under its name: it then knows nothing of before, and a later start is another incarnation.
    #[serde(default)]
    pub started_ms: u64,
}

/// A statement about one failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Evacuation {
    /// It is evacuated.
    pub on: bool,
    /// Version of the row that says so.
    pub version: u64,
}

/// One upstream, as entries tell each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UpstreamUpdate {
    /// As it was listed last.
    pub listed: ListedUpstream,
    /// Version of the row that this is of, or of its removal.
    pub version: u64,
    /// Its row was removed.
    pub gone: bool,
    /// How much longer it stays cold, at the sender.
    pub cold_left: Duration,
}

/// How far a picture reaches.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reach {
    /// Routes in force.
    pub routes: Version,
    /// Newest row about an evacuation.
    pub operator: u64,
    /// Newest row about an upstream.
    pub upstreams: u64,
}

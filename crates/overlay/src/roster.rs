//! Rosters: the entries that a hub has sessions to.

use base::{
    DomainId,
    InstanceId,
    Now,
    RegionId, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::net::SocketAddr;

/// An entry in a roster.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterEntry {
    /// Name.
    pub instance: InstanceId,
    /// Where callers reach it.
    pub callers_addr: SocketAddr,
    /// Whether it takes new callers.
    pub ready: bool,
}

/// Entries of one failure domain that have a session to one of its hubs, the hub included.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Roster {
    /// The hub.
    pub hub: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// The entries.
    pub entries: Vec<RosterEntry>,
}

/// An entry that is up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LiveEntry {
    /// Region.
    pub region: RegionId,
    /// Where callers reach it; `None` until it has said so.
    pub callers_addr: Option<SocketAddr>,
    /// Whether it takes new callers.
    pub ready: bool,
}

/// A roster and how it was received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRoster {
    pub(crate) roster: Roster,
    /// Unique for each version of the roster.
    pub(crate) version: u64,
    pub(crate) received_at: Now,
    /// When the session on which it arrived, or the sender's session to the hub, was lost.
    pub(crate) lost_at: Option<Now>,
}

//! Rosters: the entries that a hub has sessions to.

use crate::capacity::Capacity;
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
    /// Where other entries send requests that they can't send to upstreams themselves; `None` if it takes none.
    #[serde(default)]
    pub relay_addr: Option<SocketAddr>,
    /// Whether it reaches no upstreams itself.
    #[serde(default)]
    pub is_partitioned: bool,
    /// Its capacity; `None` if it states none.
    #[serde(default)]
    pub capacity: Option<Capacity>,
}

impl RosterEntry {
    /// Creates the roster entry of an instance.
    pub(crate) fn new(instance: InstanceId, service: CallerService) -> Self {
        Self {
            instance,
            callers_addr: service.callers_addr,
            ready: service.ready,
            relay_addr: service.relay_addr,
            is_partitioned: service.is_partitioned,
            capacity: service.capacity,
        }
    }

    /// Returns what the entry states about its service.
    pub(crate) fn service(&self) -> CallerService {
        CallerService {
            callers_addr: self.callers_addr,
            ready: self.ready,
            relay_addr: self.relay_addr,
            is_partitioned: self.is_partitioned,
            capacity: self.capacity,
        }
    }
}

/// What an entry states about how it serves callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerService {
    /// Where callers reach it.
    pub callers_addr: SocketAddr,
    /// Whether it takes new callers.
    pub ready: bool,
    /// Where other entries send requests that they can't send to upstreams themselves; `None` if it takes none.
    pub relay_addr: Option<SocketAddr>,
    /// Whether it reaches no upstreams itself.
    pub is_partitioned: bool,
    /// Its capacity; `None` if it states none.
    pub capacity: Option<Capacity>,
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
    /// Failure domain.
    pub failure_domain: DomainId,
    /// How it serves callers; `None` until it has said so.
    pub service: Option<CallerService>,
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

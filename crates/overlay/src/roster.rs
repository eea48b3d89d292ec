//! Entries that a hub has sessions to.

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

/// An entry on a roster.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listed {
    /// Name.
    pub instance: InstanceId,
    /// Where callers reach it.
    pub callers_addr: SocketAddr,
    /// Takes new callers.
    pub ready: bool,
}

/// Entries of one failure domain that a hub of it is in session with, itself included.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Roster {
    /// The hub.
    pub hub: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// The entries.
    pub entries: Vec<Listed>,
}

/// An entry that is up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Live {
    /// Region.
    pub region: RegionId,
    /// Where callers reach it, once it has said so.
    pub callers_addr: Option<SocketAddr>,
    /// Takes new callers.
    pub ready: bool,
}

/// A roster as it was received.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) roster: Roster,
    /// Another number for each version of it.
    pub(crate) number: u64,
    pub(crate) received_at: Now,
    /// When the session that it came by, or the one behind that, was lost.
    pub(crate) lost_at: Option<Now>,
}

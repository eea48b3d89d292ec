//! An entry as the others know it.

use base::{
    DomainId,
    InstanceId,
    RegionId, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    cmp::Reverse,
    net::SocketAddr, //
};

/// What an entry says of itself in its row and on its sessions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name.
    pub instance: InstanceId,
    /// Region.
    pub region: RegionId,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Where other entries connect.
    pub peers_addr: SocketAddr,
    /// Processor, in thousandths of a core.
    pub cpu_milli: u32,
}

impl Member {
    /// Place in the order of its domain: instances with the most processor first, since a hub has more to do.
    pub(crate) fn place(&self) -> (Reverse<u32>, &InstanceId) {
        (Reverse(self.cpu_milli), &self.instance)
    }
}

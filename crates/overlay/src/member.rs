//! An entry as other entries know it.

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

/// What an entry states about itself in its row and on its sessions.
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
    /// CPU, in thousandths of a core.
    pub cpu_milli: u32,
}

impl Member {
    /// Returns its rank in the order of its domain: instances with the most CPU first, since a hub has more work.
    pub(crate) fn rank(&self) -> (Reverse<u32>, &InstanceId) {
        (Reverse(self.cpu_milli), &self.instance)
    }
}

//! What operators see of this daemon.

use crate::process::{
    control::Control,
    pool::Pool, //
};
use actix::{
    Handler,
    Message,
    MessageResult, //
};
use base::{
    Incarnation,
    InstanceId,
    RegionId,
    ServiceId,
    Version, //
};
use serde::Serialize;
use std::sync::Arc;

/// Asks for the status.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Status")]
pub(crate) struct GetStatus;

/// One daemon's picture.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    instance: InstanceId,
    incarnation: Incarnation,
    region: RegionId,
    version: Version,
    active: u64,
    pools: Vec<PoolStatus>,
}

/// One pool of this region.
#[derive(Clone, Debug, Serialize)]
struct PoolStatus {
    service: ServiceId,
    upstreams: usize,
    slots_usable: u32,
    slots_used: u32,
    waiting: u32,
}

impl Handler<GetStatus> for Control {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _ctx: &mut Self::Context) -> Self::Result {
        let settings = &self.shared.settings;
        MessageResult(Status {
            instance: settings.instance.clone(),
            incarnation: self.shared.incarnation(),
            region: settings.region.clone(),
            version: self.version(),
            active: self.shared.active.count(),
            pools: self.pool_statuses(),
        })
    }
}

impl Control {
    fn pool_statuses(&self) -> Vec<PoolStatus> {
        let now = self.now();
        let status = |pool: &Arc<Pool>| {
            let (slots_usable, slots_used) = pool.use_now(now);
            PoolStatus {
                service: pool.service.clone(),
                upstreams: pool.upstreams().len(),
                slots_usable,
                slots_used,
                waiting: pool.waiting(),
            }
        };
        self.pools.values().map(status).collect()
    }
}

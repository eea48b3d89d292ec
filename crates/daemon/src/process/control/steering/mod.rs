//! Steering: slow start and failure detection of upstreams, and load reports of regions.
//!
//! At each tick control computes what traffic threads counted since the last one, feeds the state
//! machines of crate `steer`, and publishes their results: those for upstreams in the atomics of
//! the pools, those for regions as an [`Outlook`](crate::version::PlacementInputs).
//!
//! - `loads`: load reports of upstreams.
//! - `upstreams`: slow start and failure detection of each upstream.
//! - `flows`: demand per service that arrives here, is served here, or goes to other regions.
//! - `regions`: load summaries sent to and received from other daemons, and the outlook derived
//!   from them.

mod flows;
mod loads;
mod regions;
mod upstreams;

use crate::process::{
    control::{
        steering::{
            flows::Flows,
            loads::LoadPolls,
            regions::Regions,
            upstreams::UpstreamMonitors, //
        },
        Control, //
    },
    pool::Pool,
};
use base::{
    Now,
    ServiceId, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};
use steer::StarvationDetector;

/// State machines of steering.
#[derive(Debug, Default)]
pub(super) struct Steering {
    services: BTreeMap<ServiceId, Service>,
    regions: Regions,
    loads: LoadPolls,
}

/// State machines of one service in this region.
#[derive(Debug)]
struct Service {
    monitors: UpstreamMonitors,
    flows: Flows,
    starvation: StarvationDetector,
}

impl Service {
    fn new(now: Now) -> Self {
        Self {
            monitors: UpstreamMonitors::default(),
            flows: Flows::new(now),
            starvation: StarvationDetector::default(),
        }
    }

    fn tick(&mut self, pool: &Arc<Pool>, now: Now) {
        let counts = self.flows.tick(pool, now);
        let force_open = self.starvation.tick(counts.offered, counts.unserved);
        self.monitors.tick(pool, now, force_open);
        self.flows
            .set_expected(pool, self.monitors.median_latency());
        self.flows.count_open(pool, now);
    }
}

impl Control {
    /// Feeds the observations of traffic threads to the state machines.
    pub(super) fn tick_steering(&mut self) {
        let now = self.now();
        for (id, pool) in &self.pools {
            self.steering
                .services
                .entry(id.clone())
                .or_insert_with(|| Service::new(now))
                .tick(pool, now);
        }
        self.tick_regions(now);
    }
}

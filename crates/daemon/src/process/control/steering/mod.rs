//! Steering: slow start and suspicion of upstreams, and what regions say of themselves.
//!
//! At each tick control differences what traffic threads counted, feeds the state machines of
//! crate `steer`, and publishes their verdicts: those on upstreams into the atomics of the pools,
//! those on regions as an [`Outlook`](crate::version::Outlook).
//!
//! - `loads`: the upstreams' own word about their load.
//! - `upstreams`: slow start and suspicion of each upstream.
//! - `flows`: how much of each service arrives, is carried here, and goes elsewhere.
//! - `regions`: summaries of regions, told and heard, and the outlook made of them.

mod flows;
mod loads;
mod regions;
mod upstreams;

use crate::process::{
    control::{
        steering::{
            flows::Flows,
            loads::Loads,
            regions::Regions,
            upstreams::Machines, //
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
    loads: Loads,
}

/// State machines of one service in this region.
#[derive(Debug)]
struct Service {
    machines: Machines,
    flows: Flows,
    relief: StarvationDetector,
}

impl Service {
    fn new(now: Now) -> Self {
        Self {
            machines: Machines::default(),
            flows: Flows::new(now),
            relief: StarvationDetector::default(),
        }
    }

    fn tick(&mut self, pool: &Arc<Pool>, now: Now) {
        let counts = self.flows.tick(pool, now);
        let due = self.relief.tick(counts.offered, counts.unserved);
        self.machines.tick(pool, now, due);
        self.flows.expect(pool, self.machines.typical());
        self.flows.count_open(pool, now);
    }
}

impl Control {
    /// Feeds what traffic threads saw to the state machines.
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

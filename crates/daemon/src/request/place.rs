//! Placement: builds the query of one request for `steer`, which chooses the region.

use crate::{
    request::{
        acquire::expected_wait,
        work::Work, //
    },
    version::{
        ClassPlacementInputs,
        Entry,
        HandoverGuard,
        PlacementInputs, //
    },
};
use base::Now;
use std::{
    sync::Arc,
    time::Instant, //
};
use steer::{
    place,
    ClassTarget,
    Freshness,
    Occupancy,
    Placement,
    PlacementQuery,
    PlacementSettings,
    RegionEstimate, //
};

impl Work {
    /// Chooses the region of the request from the last published estimates.
    pub(super) fn place(&self) -> Placement {
        let inputs = self.traffic.shared.outlook.load();
        let Some(class) = self.class_inputs(&inputs) else {
            return self.place_without_estimates();
        };
        let spill = class.spill_region(self.traffic.seed());
        let mut placement = self.query_placement(class, spill, spill.is_some());
        if spill.is_none() && !self.snapshot.own_region().drained && self.is_sample(placement) {
            placement = Placement::Local;
        }
        let previous = match placement {
            Placement::Shift(region) => Some(region),
            _ => None,
        };
        self.traffic
            .set_previous_shift(&self.class.class.id, previous);
        placement
    }

    /// Whether a request to be shifted is kept here as a sample, to measure this region.
    fn is_sample(&self, placement: Placement) -> bool {
        matches!(placement, Placement::Shift(_)) && self.class.pool.take_sample()
    }

    /// Other region for a request that found no capacity here, regardless of the headroom.
    pub(super) fn place_remotely(&self) -> Option<usize> {
        let inputs = self.traffic.shared.outlook.load();
        let class = self.class_inputs(&inputs)?;
        match self.query_placement(class, None, true) {
            Placement::Shift(region) => Some(region),
            _ => None,
        }
    }

    /// Other entry of this region to hand the request to, if no slot is free here.
    ///
    /// Only idempotent work is handed over: a filing belongs to the entry that its ticket names. An
    /// entry that lookups don't list, because it is stopping or drained, hands nothing over: the
    /// other entries would treat its requests as another region's, which wait behind their own.
    pub(super) fn place_on_sibling(&self) -> Option<(&Entry, HandoverGuard)> {
        if !self.class.class.idempotent || self.traffic.is_baseline() {
            return None;
        }
        let inputs = self.traffic.shared.outlook.load();
        let class = self.class_inputs(&inputs)?;
        if expected_wait(&self.class, self.traffic.shared.now()).is_zero() {
            return None;
        }
        let chosen = class.least_occupied_sibling(&self.occupancy())?;
        let find_entry = |instance: &str| {
            let mut entries = self.snapshot.own_region().entries.iter();
            entries.find(|entry| entry.instance == instance)
        };
        find_entry(&self.traffic.shared.settings.instance)?;
        let entry = find_entry(&chosen.instance)?;
        Some((entry, chosen.handovers.guard()))
    }

    /// Occupancy of this entry.
    fn occupancy(&self) -> Occupancy {
        let pool = &self.class.pool;
        let (open, in_flight) = pool.slot_usage(self.traffic.shared.now());
        Occupancy::local(in_flight, pool.waiting(), open)
    }

    /// Counts a request placed in the region with this index.
    pub(super) fn record_flow(&self, region: usize) {
        let inputs = self.traffic.shared.outlook.load();
        if let Some(flow) = self
            .class_inputs(&inputs)
            .and_then(|class| class.flows.get(region))
        {
            flow.record();
        }
    }

    fn class_inputs<'a>(
        &self,
        inputs: &'a PlacementInputs,
    ) -> Option<&'a Arc<ClassPlacementInputs>> {
        inputs.for_class(&self.class.class.id, &self.snapshot)
    }

    /// Asks `steer` for the region; `only` restricts shifts to one region.
    fn query_placement(
        &self,
        class: &ClassPlacementInputs,
        only: Option<usize>,
        exceeds_headroom: bool,
    ) -> Placement {
        let own = self.snapshot.own_index;
        let now = self.traffic.shared.now();
        let estimates: Vec<RegionEstimate> = class
            .estimates
            .iter()
            .enumerate()
            .map(|(index, estimate)| {
                if index == own {
                    return self.local_estimate(estimate);
                }
                let is_candidate = only.is_none_or(|only| only == index);
                RegionEstimate {
                    shift_allowed: is_candidate && self.is_link_open(index, now),
                    ..*estimate
                }
            })
            .collect();
        let preference: Vec<usize> = (0..estimates.len()).collect();
        let query = PlacementQuery {
            local_region: own,
            preference: &preference,
            estimates: &estimates,
            target: &ClassTarget {
                headroom_pct: class
                    .remote_headroom_pct
                    .min(self.class.target.headroom_pct),
                ..self.class.target
            },
            previous: self.traffic.previous_shift(&self.class.class.id),
            exceeds_headroom,
            deadline_left: self.deadline.remaining(Instant::now()),
        };
        place(&query, &PlacementSettings::default())
    }

    fn local_estimate(&self, estimate: &RegionEstimate) -> RegionEstimate {
        RegionEstimate {
            // The request has already reached this entry, whether or not lookups list it.
            admitting: true,
            wait: expected_wait(&self.class, self.traffic.shared.now()),
            service_time: self.class.pool.expected_latency(),
            ..*estimate
        }
    }

    fn is_link_open(&self, region: usize, now: Now) -> bool {
        let id = &self.snapshot.regions[region].id;
        let link = self.snapshot.links.get(id);
        link.is_some_and(|link| link.has_capacity(now, Freshness::Fresh))
    }

    /// Placement without estimates: this region, or any other that is open if it is drained.
    fn place_without_estimates(&self) -> Placement {
        if !self.snapshot.own_region().drained {
            return Placement::Local;
        }
        let mut others = self.snapshot.regions.iter().enumerate();
        let other = others.find(|(index, region)| {
            *index != self.snapshot.own_index && !region.drained && !region.entries.is_empty()
        });
        match other {
            Some((index, _)) => Placement::Shift(index),
            None => Placement::Refuse {
                retry_after: PlacementSettings::default().retry_max,
            },
        }
    }
}

/// Target that admission control uses for the class.
///
/// A request that misses its latency target is still useful to its caller until the deadline.
/// Refusing it at the target during a burst only makes the caller retry, so that most of the load
/// is retries. It may wait for half the class's deadline, within its own remaining time.
pub(crate) fn admission_target(class: &spec::Class) -> ClassTarget {
    let target = class_target(class);
    ClassTarget {
        latency_target: target.latency_target.max(class.deadline / 2),
        ..target
    }
}

/// Target of a class, from its configuration.
pub(crate) fn class_target(class: &spec::Class) -> ClassTarget {
    ClassTarget {
        latency_target: class.latency_target,
        headroom_pct: u32::from(class.headroom_pct),
        idempotent: class.idempotent,
        // In the configuration, 0 is the highest priority, which is refused last.
        priority: Some(u32::from(u8::MAX - class.priority)),
    }
}

//! The region of one request: fills in what changes with each request and asks `steer`.

use crate::{
    request::{
        acquire::expected_wait,
        work::Work, //
    },
    version::{
        ClassOutlook,
        Entry,
        HandedGuard,
        Outlook, //
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
    PlacementQuery, //
    PlacementSettings,
    RegionEstimate,
};

impl Work {
    /// Region for the request, by the last outlook.
    pub(super) fn place(&self) -> Placement {
        let outlook = self.traffic.shared.outlook.load();
        let Some(class) = self.class_outlook(&outlook) else {
            return self.place_blindly();
        };
        let spilled = class.spilled_to(self.traffic.seed());
        let mut placement = self.ask(class, spilled, spilled.is_some());
        if spilled.is_none() && !self.snapshot.own_region().drained && self.stays(placement) {
            placement = Placement::Local;
        }
        let previous = match placement {
            Placement::Shift(region) => Some(region),
            _ => None,
        };
        self.traffic.set_previous(&self.class.class.id, previous);
        placement
    }

    /// Whether the request is kept here only to show what the region is like.
    fn stays(&self, placement: Placement) -> bool {
        matches!(placement, Placement::Shift(_)) && self.class.pool.take_sample()
    }

    /// Region for a request that has no room here, whatever the headroom says.
    pub(super) fn place_away(&self) -> Option<usize> {
        let outlook = self.traffic.shared.outlook.load();
        let class = self.class_outlook(&outlook)?;
        match self.ask(class, None, true) {
            Placement::Shift(region) => Some(region),
            _ => None,
        }
    }

    /// Entry of this region that is to take the request in place of this one, which has no slot
    /// free for it.
    ///
    /// Only work that may run twice: a filing belongs to the entry that its ticket names. An entry
    /// that look-ups don't name, since it stops or is drained, hands nothing over: the others would
    /// take what it sends for another region's, which waits behind their own.
    pub(super) fn place_beside(&self) -> Option<(&Entry, HandedGuard)> {
        if !self.class.class.idempotent || self.traffic.is_baseline() {
            return None;
        }
        let outlook = self.traffic.shared.outlook.load();
        let class = self.class_outlook(&outlook)?;
        if expected_wait(&self.class, self.traffic.shared.now()).is_zero() {
            return None;
        }
        let chosen = class.beside(&self.occupancy())?;
        let named = |instance: &str| {
            let mut entries = self.snapshot.own_region().entries.iter();
            entries.find(|entry| entry.instance == instance)
        };
        named(&self.traffic.shared.settings.instance)?;
        let entry = named(&chosen.instance)?;
        Some((entry, chosen.handed.guard()))
    }

    /// Work at this entry.
    fn occupancy(&self) -> Occupancy {
        let pool = &self.class.pool;
        let (open, in_flight) = pool.use_now(self.traffic.shared.now());
        Occupancy::local(in_flight, pool.waiting(), open)
    }

    /// Notes that the request goes to the region of this index.
    pub(super) fn note_flow(&self, region: usize) {
        let outlook = self.traffic.shared.outlook.load();
        if let Some(flow) = self
            .class_outlook(&outlook)
            .and_then(|class| class.flows.get(region))
        {
            flow.note();
        }
    }

    fn class_outlook<'a>(&self, outlook: &'a Outlook) -> Option<&'a Arc<ClassOutlook>> {
        outlook.of_class(&self.class.class.id, &self.snapshot)
    }

    fn ask(&self, class: &ClassOutlook, only: Option<usize>, excess: bool) -> Placement {
        let own = self.snapshot.own;
        let now = self.traffic.shared.now();
        let estimates: Vec<RegionEstimate> = class
            .estimates
            .iter()
            .enumerate()
            .map(|(index, estimate)| {
                if index == own {
                    return self.estimate_here(estimate);
                }
                let wanted = only.is_none_or(|only| only == index);
                RegionEstimate {
                    shift_allowed: wanted && self.is_link_open(index, now),
                    ..*estimate
                }
            })
            .collect();
        let preference: Vec<usize> = (0..estimates.len()).collect();
        let question = PlacementQuery {
            local_region: own,
            preference: &preference,
            estimates: &estimates,
            target: &ClassTarget {
                headroom_pct: class.headroom_away_pct.min(self.class.target.headroom_pct),
                ..self.class.target
            },
            previous: self.traffic.previous(&self.class.class.id),
            exceeds_headroom: excess,
            deadline_left: self.deadline.left(Instant::now()),
        };
        place(&question, &PlacementSettings::default())
    }

    fn estimate_here(&self, estimate: &RegionEstimate) -> RegionEstimate {
        RegionEstimate {
            // The request is here, so an entry of the region has it, named in look-ups or not.
            admitting: true,
            wait: expected_wait(&self.class, self.traffic.shared.now()),
            service_time: self.class.pool.expected(),
            ..*estimate
        }
    }

    fn is_link_open(&self, region: usize, now: Now) -> bool {
        let id = &self.snapshot.regions[region].id;
        let link = self.snapshot.links.get(id);
        link.is_some_and(|link| link.is_open(now, Freshness::Fresh))
    }

    /// Without an outlook: home, or anywhere else when it is drained.
    fn place_blindly(&self) -> Placement {
        if !self.snapshot.own_region().drained {
            return Placement::Local;
        }
        let mut others = self.snapshot.regions.iter().enumerate();
        let other = others.find(|(index, region)| {
            *index != self.snapshot.own && !region.drained && !region.entries.is_empty()
        });
        match other {
            Some((index, _)) => Placement::Shift(index),
            None => Placement::Refuse {
                retry_after: PlacementSettings::default().retry_max,
            },
        }
    }
}

/// The target by which requests of the class are admitted.
///
/// A request that misses its latency target is still of use to its caller until his deadline. In
/// a burst, refusing it at the target only makes him ask again: most of the work is then tries.
/// It may wait for half the class's deadline, and what is left of its own bounds the wait, too.
pub(crate) fn admission_of(class: &spec::Class) -> ClassTarget {
    let target = target_of(class);
    ClassTarget {
        latency_target: target.latency_target.max(class.deadline / 2),
        ..target
    }
}

/// What `steer` needs of a class's configuration.
pub(crate) fn target_of(class: &spec::Class) -> ClassTarget {
    ClassTarget {
        latency_target: class.latency_target,
        headroom_pct: u32::from(class.headroom_pct),
        idempotent: class.idempotent,
        // Operators rank by what is refused last, beginning with 0.
        priority: Some(u32::from(u8::MAX - class.priority)),
    }
}

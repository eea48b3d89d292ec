//! Estimates of each region, for each class, as of the last tick of control.
//!
//! They change ten times a second, far more often than the [`crate::version::Snapshot`] whose
//! regions they describe, so they are published separately. Region indices are the snapshot's;
//! estimates made for another version are ignored.

use crate::version::Snapshot;
use base::{
    ClassId,
    FastMap,
    InstanceId,
    Version, //
};
use std::{
    sync::{
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};
use steer::{
    Occupancy,
    RegionEstimate, //
};

/// Inputs of placement, for all classes; immutable once published.
#[derive(Debug, Default)]
pub(crate) struct PlacementInputs {
    /// Version of the snapshot that the region indices refer to.
    pub(crate) version: Version,
    pub(crate) classes: FastMap<ClassId, Arc<ClassPlacementInputs>>,
}

impl PlacementInputs {
    /// Inputs of a class, if they were made for the regions of this snapshot.
    pub(crate) fn for_class(
        &self,
        id: &ClassId,
        snapshot: &Snapshot,
    ) -> Option<&Arc<ClassPlacementInputs>> {
        let class = self.classes.get(id)?;
        let is_current = self.version == snapshot.version;
        (is_current && class.estimates.len() == snapshot.regions.len()).then_some(class)
    }
}

/// Inputs of placement for one class.
#[derive(Debug)]
pub(crate) struct ClassPlacementInputs {
    /// One per region; the traffic thread fills in what changes with each request.
    pub(crate) estimates: Vec<RegionEstimate>,
    /// Percentage of their slots that other regions keep free when work is shifted to them.
    pub(crate) remote_headroom_pct: u32,
    /// Fractions of the arriving work that exceed the local headroom, by target region.
    pub(crate) spill: Vec<Spill>,
    /// One per region: the requests that this entry placed there.
    pub(crate) flows: Vec<Arc<Flow>>,
    /// Other entries of this region whose last report is fresh.
    pub(crate) siblings: Vec<Sibling>,
}

/// Fraction of the arriving work that may go to one other region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Spill {
    /// Index of the region.
    pub(crate) region: usize,
    /// Thousandths of the arriving work.
    pub(crate) permille: u32,
}

/// Another entry of this region, which may take a request when no local slot is free.
#[derive(Clone, Debug)]
pub(crate) struct Sibling {
    pub(crate) instance: InstanceId,
    /// Demand in its last report, in thousandths of a slot.
    pub(crate) reported_milli_slots: u64,
    pub(crate) open_slots: u32,
    pub(crate) handovers: Arc<HandoverCounter>,
}

/// Number of requests of one service handed to another entry and not yet answered.
#[derive(Debug, Default)]
pub(crate) struct HandoverCounter(AtomicU32);

impl HandoverCounter {
    /// Counts one request until the guard is dropped.
    pub(crate) fn guard(self: &Arc<Self>) -> HandoverGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        HandoverGuard(Arc::clone(self))
    }
}

/// Guard of one request handed to another entry.
#[derive(Debug)]
pub(crate) struct HandoverGuard(Arc<HandoverCounter>);

impl Drop for HandoverGuard {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ClassPlacementInputs {
    /// The least occupied other entry of this region, if it is less occupied than `local`.
    pub(crate) fn least_occupied_sibling(&self, local: &Occupancy) -> Option<&Sibling> {
        let senders = u32::try_from(self.siblings.len()).unwrap_or(u32::MAX);
        let others = self.siblings.iter().map(|sibling| {
            let handed = sibling.handovers.0.load(Ordering::Relaxed);
            Occupancy::peer(
                sibling.reported_milli_slots,
                sibling.open_slots,
                handed,
                senders,
            )
        });
        let chosen = steer::least_occupied(local, others)?;
        self.siblings.get(chosen)
    }
}

/// Number of requests of one service that this entry placed in another region.
#[derive(Debug, Default)]
pub(crate) struct Flow(AtomicU64);

impl Flow {
    /// Counts one request.
    pub(crate) fn record(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Requests counted so far.
    pub(crate) fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl ClassPlacementInputs {
    /// Region that the request with this `seed` spills to, if it exceeds the headroom.
    pub(crate) fn spill_region(&self, seed: u64) -> Option<usize> {
        // All regions use one seed: each owns a disjoint interval of the thousand.
        let mut start = 0;
        self.spill.iter().find_map(|spill| {
            let end = start + spill.permille;
            let inside = steer::is_excess(end, seed) && !steer::is_excess(start, seed);
            start = end;
            inside.then_some(spill.region)
        })
    }
}

/// Round trip assumed for a region without measurements.
pub(crate) const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(100);

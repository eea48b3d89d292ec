//! What is expected of each region, for each class, at the last tick of control.
//!
//! It changes ten times a second, far more often than the [`crate::version::Snapshot`] whose
//! regions it speaks of, so it is published beside it. Region indices are the snapshot's; an
//! outlook of another version is not used.

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
    Occupancy, //
    RegionEstimate,
};

/// What traffic threads know of the regions; never changed once published.
#[derive(Debug, Default)]
pub(crate) struct Outlook {
    /// Version of the snapshot whose regions are meant.
    pub(crate) version: Version,
    pub(crate) classes: FastMap<ClassId, Arc<ClassOutlook>>,
}

impl Outlook {
    /// Outlook of a class, if it speaks of the regions of this snapshot.
    pub(crate) fn of_class(&self, id: &ClassId, snapshot: &Snapshot) -> Option<&Arc<ClassOutlook>> {
        let class = self.classes.get(id)?;
        let is_current = self.version == snapshot.version;
        (is_current && class.estimates.len() == snapshot.regions.len()).then_some(class)
    }
}

/// Outlook of one class.
#[derive(Debug)]
pub(crate) struct ClassOutlook {
    /// One for each region; what changes with each request is filled in by the traffic thread.
    pub(crate) estimates: Vec<RegionEstimate>,
    /// Percent of their slots that other regions keep free when work is shifted to them.
    pub(crate) headroom_away_pct: u32,
    /// Parts of the arriving work that exceed the headroom here, by where they may go.
    pub(crate) spill: Vec<Spill>,
    /// One for each region: what this entry sends there.
    pub(crate) flows: Vec<Arc<Flow>>,
    /// Other entries of this region whose word is fresh.
    pub(crate) siblings: Vec<Sibling>,
}

/// Part of the arriving work that may go to one other region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Spill {
    /// Index of the region.
    pub(crate) region: usize,
    /// Thousandths of the arriving work.
    pub(crate) permille: u32,
}

/// Another entry of this region, which may take a request for which no slot is free here.
#[derive(Clone, Debug)]
pub(crate) struct Sibling {
    pub(crate) instance: InstanceId,
    /// Demand that it last told of, in thousandths of a slot.
    pub(crate) told_milli_slots: u64,
    pub(crate) open: u32,
    pub(crate) handed: Arc<Handed>,
}

/// Requests of one service that this entry handed to another and that are not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Handed(AtomicU32);

impl Handed {
    /// Counts one request until the guard is dropped.
    pub(crate) fn guard(self: &Arc<Self>) -> HandedGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        HandedGuard(Arc::clone(self))
    }
}

/// One request at another entry.
#[derive(Debug)]
pub(crate) struct HandedGuard(Arc<Handed>);

impl Drop for HandedGuard {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ClassOutlook {
    /// Other entry of this region that has less work for each slot than `here`.
    pub(crate) fn beside(&self, here: &Occupancy) -> Option<&Sibling> {
        let senders = u32::try_from(self.siblings.len()).unwrap_or(u32::MAX);
        let others = self.siblings.iter().map(|it| {
            let handed = it.handed.0.load(Ordering::Relaxed);
            Occupancy::peer(it.told_milli_slots, it.open, handed, senders)
        });
        let chosen = steer::least_occupied(here, others)?;
        self.siblings.get(chosen)
    }
}

/// Requests of one service that this entry placed in another region.
#[derive(Debug, Default)]
pub(crate) struct Flow(AtomicU64);

impl Flow {
    /// Notes one request.
    pub(crate) fn note(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Requests so far.
    pub(crate) fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl ClassOutlook {
    /// Region that the request with this `seed` is to be spilled to, if it exceeds the headroom.
    pub(crate) fn spilled_to(&self, seed: u64) -> Option<usize> {
        // One seed for all regions: each has its own stretch of the thousand.
        let mut before = 0;
        self.spill.iter().find_map(|spill| {
            let until = before + spill.permille;
            let inside = steer::is_excess(until, seed) && !steer::is_excess(before, seed);
            before = until;
            inside.then_some(spill.region)
        })
    }
}

/// Round trip to a region that nothing was measured of.
pub(crate) const LINK_UNKNOWN: Duration = Duration::from_millis(100);

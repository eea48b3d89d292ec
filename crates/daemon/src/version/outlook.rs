//! What is expected of each region, for each class, at the last tick of control.
//!
//! It changes ten times a second, far more often than the [`crate::version::Snapshot`] whose
//! regions it speaks of, so it is published beside it. Region indices are the snapshot's; an
//! outlook of another version is not used.

use base::{
    ClassId,
    FastMap,
    Version, //
};
use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};
use steer::Estimate;

/// What traffic threads know of the regions; never changed once published.
#[derive(Debug, Default)]
pub(crate) struct Outlook {
    /// Version of the snapshot whose regions are meant.
    pub(crate) version: Version,
    pub(crate) classes: FastMap<ClassId, Arc<ClassOutlook>>,
}

/// Outlook of one class.
#[derive(Debug)]
pub(crate) struct ClassOutlook {
    /// One for each region; what changes with each request is filled in by the traffic thread.
    pub(crate) estimates: Vec<Estimate>,
    /// Percent of their slots that other regions keep free when work is shifted to them.
    pub(crate) headroom_away_pct: u32,
    /// Parts of the arriving work that exceed the headroom here, by where they may go.
    pub(crate) spill: Vec<Spill>,
    /// One for each region: what this entry sends there.
    pub(crate) flows: Vec<Arc<Flow>>,
}

/// Part of the arriving work that may go to one other region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Spill {
    /// Index of the region.
    pub(crate) region: usize,
    /// Thousandths of the arriving work.
    pub(crate) permille: u32,
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

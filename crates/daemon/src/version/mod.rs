//! The immutable snapshot that traffic threads read; one per configuration version and view.
//!
//! Control builds a [`Snapshot`] whenever the configuration or the membership view changes and
//! publishes it through an atomic pointer. Traffic threads load it once per request and never wait
//! for control. State that changes with every request, such as slot use, is in the
//! [`crate::process::pool::Pool`]s that the snapshot refers to; they live as long as the process.

mod placement;
mod snapshot;

pub(crate) use self::{
    placement::{
        ClassPlacementInputs,
        Flow,
        HandoverCounter,
        HandoverGuard,
        PlacementInputs,
        Sibling,
        Spill,
        DEFAULT_ROUND_TRIP, //
    },
    snapshot::{
        ClassView,
        Entry,
        RegionView,
        Snapshot, //
    },
};

use arc_swap::ArcSwap;
use std::sync::Arc;

/// Atomic pointer to the current snapshot.
pub(crate) type PublishedSnapshot = Arc<ArcSwap<Snapshot>>;

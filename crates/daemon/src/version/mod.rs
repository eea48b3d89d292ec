//! What lives as long as a version: the immutable picture that traffic threads decide from.
//!
//! Control builds a [`Snapshot`] whenever the configuration or the picture of instances changes
//! and publishes it through an atomic pointer. Traffic threads load it once for each request and
//! never wait for control. What changes with every request, such as the use of slots, is in the
//! process-long [`crate::process::pool::Pool`]s that the snapshot points to.

mod outlook;
mod snapshot;

pub(crate) use self::{
    outlook::{
        ClassOutlook,
        Flow,
        Handed,
        HandedGuard,
        Outlook,
        Sibling,
        Spill,
        LINK_UNKNOWN, //
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

/// Place where the newest snapshot is found.
pub(crate) type Published = Arc<ArcSwap<Snapshot>>;

//! Demand of organisations and the parts of their quotas, shared by the control and traffic threads.

use arc_swap::ArcSwap;
use org::{
    Demands,
    Parts, //
};
use std::sync::{
    atomic::{
        AtomicU64,
        Ordering, //
    },
    Arc, //
};

/// Demand and parts that the two threads exchange without blocking each other.
#[derive(Debug, Default)]
pub(crate) struct SharedQuotas {
    /// Demand of this entry's callers, as last stored by traffic.
    pub(crate) demands: ArcSwap<Demands>,
    /// Parts that this entry may use, as last stored by control.
    parts: ArcSwap<Parts>,
    /// Incremented with each change of `parts`.
    parts_version: AtomicU64,
}

impl SharedQuotas {
    /// Stores the parts that this entry may use.
    pub(crate) fn set_parts(&self, parts: Parts) {
        self.parts.store(Arc::new(parts));
        self.parts_version.fetch_add(1, Ordering::Release);
    }

    /// Returns the parts if their version differs from `seen`, and updates `seen`.
    pub(crate) fn parts_if_changed(&self, seen: &mut u64) -> Option<Parts> {
        let version = self.parts_version.load(Ordering::Acquire);
        if version == *seen {
            return None;
        }
        *seen = version;
        Some(Parts::clone(&self.parts.load()))
    }
}

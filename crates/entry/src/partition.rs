//! Whether this entry is partitioned from all upstreams, as found by the traffic thread, for the control thread.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use tokio::sync::Notify;

/// Whether this entry is partitioned from all upstreams.
#[derive(Debug, Default)]
pub(crate) struct SharedPartition {
    is_partitioned: AtomicBool,
    /// Signals a change.
    pub(crate) changed: Notify,
}

impl SharedPartition {
    pub(crate) fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.store(is_partitioned, Ordering::Relaxed);
        self.changed.notify_one();
    }

    pub(crate) fn is_partitioned(&self) -> bool {
        self.is_partitioned.load(Ordering::Relaxed)
    }
}

//! Requests in flight and warm affinity keys of upstreams, shared by the control and traffic threads.

use crate::message::WarmKey;
use arc_swap::ArcSwap;
use base::FastMap;
use overlay::{
    Load,
    LoadKey, //
};
use std::sync::{
    atomic::{
        AtomicBool,
        AtomicU64,
        Ordering, //
    },
    Arc,
    Mutex,
    PoisonError, //
};

/// Loads and warm keys that the two threads exchange without blocking each other.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    /// Requests of this entry in flight, as last stored by traffic.
    pub(crate) own: ArcSwap<Vec<Load>>,
    /// Sums over the other entries, as last stored by control; `None` if they are unknown.
    others: ArcSwap<Option<FastMap<LoadKey, u32>>>,
    /// Incremented with each change of `others`.
    others_version: AtomicU64,
    /// Keys that this entry's requests warmed upstreams for; from traffic to control.
    pub(crate) own_warm_keys: WarmKeyQueue,
    /// Warm keys that other entries reported; from control to traffic.
    pub(crate) received_warm_keys: WarmKeyQueue,
    /// All known warm keys, stored by traffic when another entry has requested them.
    pub(crate) all_warm_keys: WarmKeyQueue,
    /// Whether another entry has requested all warm keys.
    pub(crate) all_warm_keys_requested: AtomicBool,
}

impl Loads {
    /// Stores the sums over the other entries.
    pub(crate) fn set_others(&self, sums: Option<FastMap<LoadKey, u32>>) {
        self.others.store(Arc::new(sums));
        self.others_version.fetch_add(1, Ordering::Release);
    }

    /// Returns the sums over the other entries if their version differs from `seen`, and updates `seen`.
    pub(crate) fn others_if_changed(
        &self,
        seen: &mut u64,
    ) -> Option<Arc<Option<FastMap<LoadKey, u32>>>> {
        let others_version = self.others_version.load(Ordering::Acquire);
        if others_version == *seen {
            return None;
        }
        *seen = others_version;
        Some(self.others.load_full())
    }
}

/// Maximum number of keys in a queue: several seconds of any entry's requests. Further keys are dropped, which makes
/// the choice of upstreams less efficient but never incorrect.
const QUEUE_LEN_MAX: usize = 4096;

/// Queue of warm keys from one thread to the other.
///
/// The lock is held only to append keys or to take all of them, so neither thread blocks the other for long.
#[derive(Debug, Default)]
pub(crate) struct WarmKeyQueue(Mutex<Vec<WarmKey>>);

impl WarmKeyQueue {
    /// Appends keys, up to the capacity of the queue.
    pub(crate) fn put(&self, keys: impl IntoIterator<Item = WarmKey>) {
        let mut queue = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let capacity_left = QUEUE_LEN_MAX.saturating_sub(queue.len());
        queue.extend(keys.into_iter().take(capacity_left));
    }

    /// Removes and returns all keys.
    pub(crate) fn take(&self) -> Vec<WarmKey> {
        let mut queue = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut queue)
    }
}

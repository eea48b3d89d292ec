//! Requests in flight at upstreams and keys that these are warm for, between the two threads.

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

/// What each thread tells the other; neither waits.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    /// This entry's, as traffic last put them.
    pub(crate) own: ArcSwap<Vec<Load>>,
    /// Sums over the other entries, as control last put them; `None` if nothing is known of them.
    others: ArcSwap<Option<FastMap<LoadKey, u32>>>,
    /// Grows with each change of `others`.
    number: AtomicU64,
    /// Keys that this entry's requests warmed upstreams for, from traffic to control.
    pub(crate) warmed: WarmQueue,
    /// Those that other entries told of, from control to traffic.
    pub(crate) heard: WarmQueue,
    /// All keys that are known, as traffic puts them while another entry wants them.
    pub(crate) all_warm: WarmQueue,
    /// Another entry wants all keys.
    pub(crate) all_wanted: AtomicBool,
}

impl Loads {
    /// Puts the sums over the other entries.
    pub(crate) fn put_others(&self, sums: Option<FastMap<LoadKey, u32>>) {
        self.others.store(Arc::new(sums));
        self.number.fetch_add(1, Ordering::Release);
    }

    /// The sums, if they changed since `seen`, which is then set.
    pub(crate) fn others_since(
        &self,
        seen: &mut u64,
    ) -> Option<Arc<Option<FastMap<LoadKey, u32>>>> {
        let number = self.number.load(Ordering::Acquire);
        if number == *seen {
            return None;
        }
        *seen = number;
        Some(self.others.load_full())
    }
}

/// Most keys that wait in a queue: several seconds of any entry's requests. Beyond it keys are left out, which
/// makes choices worse, never wrong.
const QUEUE_MAX: usize = 4096;

/// Keys on their way from one thread to the other.
///
/// The lock is held for as long as it takes to append to a list or to take it away, so neither thread waits
/// for the other's work.
#[derive(Debug, Default)]
pub(crate) struct WarmQueue(Mutex<Vec<WarmKey>>);

impl WarmQueue {
    /// Appends keys.
    pub(crate) fn put(&self, keys: impl IntoIterator<Item = WarmKey>) {
        let mut queue = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let room = QUEUE_MAX.saturating_sub(queue.len());
        queue.extend(keys.into_iter().take(room));
    }

    /// Takes all keys.
    pub(crate) fn take(&self) -> Vec<WarmKey> {
        let mut queue = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut queue)
    }
}

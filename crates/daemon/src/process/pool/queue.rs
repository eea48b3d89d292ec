//! The queue of requests that wait at this entry for a slot of one service.
//!
//! It is ordered by the rank of the class, then by arrival. A request keeps its position until it
//! is removed, so a wake-up that finds no free slot costs it nothing. Only the first request
//! acquires a slot. The lock is taken by traffic threads only, for a few instructions; control
//! reads the counts.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};
use tokio::sync::Notify;

/// Number of ranks of a service; classes with higher ranks share the last.
const RANKS: usize = 8;
/// The last rank.
pub(crate) const LAST_RANK: usize = RANKS - 1;

/// Position in the queue: rank and sequence number.
type Position = (usize, u64);

/// The queue of one service.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Waiting requests by rank.
    counts: [AtomicU32; RANKS],
    next_seq: AtomicU64,
    waiters: Mutex<BTreeMap<Position, Arc<Notify>>>,
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct Waiter {
    position: Position,
    notify: Arc<Notify>,
}

impl Waiter {
    /// Completes when the request may be the next to acquire a slot.
    pub(super) async fn woken(&self) {
        self.notify.notified().await;
    }
}

impl Queue {
    fn waiters(&self) -> MutexGuard<'_, BTreeMap<Position, Arc<Notify>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a request to its rank.
    pub(super) fn push(&self, rank: usize) -> Waiter {
        let rank = rank.min(LAST_RANK);
        let waiter = Waiter {
            position: (rank, self.next_seq.fetch_add(1, Ordering::Relaxed)),
            notify: Arc::default(),
        };
        self.counts[rank].fetch_add(1, Ordering::AcqRel);
        self.waiters()
            .insert(waiter.position, Arc::clone(&waiter.notify));
        waiter
    }

    /// Removes a request, with or without a slot, and wakes the first of the rest.
    pub(super) fn remove(&self, waiter: &Waiter) {
        self.counts[waiter.position.0].fetch_sub(1, Ordering::AcqRel);
        self.waiters().remove(&waiter.position);
        self.wake();
    }

    /// Wakes the first request.
    pub(super) fn wake(&self) {
        if self.waiting() == 0 {
            return;
        }
        let first = self.waiters().values().next().cloned();
        if let Some(notify) = first {
            notify.notify_one();
        }
    }

    /// Number of waiting requests.
    pub(super) fn waiting(&self) -> u32 {
        self.waiting_before(RANKS)
    }

    /// Number of waiting requests with a rank below `rank`.
    pub(super) fn waiting_before(&self, rank: usize) -> u32 {
        let counts = &self.counts[..rank.min(RANKS)];
        let counts = counts.iter().map(|count| count.load(Ordering::Acquire));
        counts.sum()
    }

    /// Number of requests ahead of `waiter`.
    pub(super) fn ahead_of(&self, waiter: &Waiter) -> u32 {
        let ahead = self.waiters().range(..waiter.position).count();
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }
}

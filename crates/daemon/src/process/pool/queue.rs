//! The queue of requests that wait at this entry for a slot of one service.
//!
//! It is ordered by the rank of the class, then by coming, and who waits keeps his place until he
//! leaves: a wake that finds no slot free costs nothing. Only the first one takes a slot. The lock
//! is taken by traffic threads alone, for a few instructions; control reads the counts.

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

/// Ranks of a service; classes beyond share the last.
const RANKS: usize = 8;
/// The last rank.
pub(crate) const LAST_RANK: usize = RANKS - 1;

/// Place in the queue.
type Place = (usize, u64);

/// The queue of one service.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Requests that wait, by rank.
    counts: [AtomicU32; RANKS],
    next: AtomicU64,
    places: Mutex<BTreeMap<Place, Arc<Notify>>>,
}

/// One who waits.
#[derive(Debug)]
pub(super) struct Waiter {
    place: Place,
    woken: Arc<Notify>,
}

impl Waiter {
    /// Ends when the request may be the next to take a slot.
    pub(super) async fn woken(&self) {
        self.woken.notified().await;
    }
}

impl Queue {
    fn places(&self) -> MutexGuard<'_, BTreeMap<Place, Arc<Notify>>> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request at the end of its rank.
    pub(super) fn enter(&self, rank: usize) -> Waiter {
        let rank = rank.min(LAST_RANK);
        let waiter = Waiter {
            place: (rank, self.next.fetch_add(1, Ordering::Relaxed)),
            woken: Arc::default(),
        };
        self.counts[rank].fetch_add(1, Ordering::AcqRel);
        self.places()
            .insert(waiter.place, Arc::clone(&waiter.woken));
        waiter
    }

    /// Takes a request out, whether it got a slot or not, and lets the next one look.
    pub(super) fn leave(&self, waiter: &Waiter) {
        self.counts[waiter.place.0].fetch_sub(1, Ordering::AcqRel);
        self.places().remove(&waiter.place);
        self.wake();
    }

    /// Lets the first request look.
    pub(super) fn wake(&self) {
        if self.waiting() == 0 {
            return;
        }
        let first = self.places().values().next().cloned();
        if let Some(woken) = first {
            woken.notify_one();
        }
    }

    /// Requests that wait.
    pub(super) fn waiting(&self) -> u32 {
        self.waiting_before(RANKS)
    }

    /// Requests that wait and go before one that comes now with `rank`; with the next rank, all up
    /// to this one.
    pub(super) fn waiting_before(&self, rank: usize) -> u32 {
        let counts = &self.counts[..rank.min(RANKS)];
        let counts = counts.iter().map(|count| count.load(Ordering::Acquire));
        counts.sum()
    }

    /// Requests that go before `waiter`.
    pub(super) fn ahead_of(&self, waiter: &Waiter) -> u32 {
        let ahead = self.places().range(..waiter.place).count();
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }
}

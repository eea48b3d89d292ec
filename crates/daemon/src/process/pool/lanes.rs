//! The queue of requests that wait at this entry for a slot of one service.
//!
//! Each class has its lane; a slot that is given back goes to the first lane in which a request
//! waits, and there to the one that came first. Nobody holds a lock while he waits.

use std::sync::atomic::{
    AtomicU32,
    Ordering, //
};
use tokio::sync::{
    futures::Notified,
    Notify, //
};

/// Lanes of a service; classes beyond share the last.
const LANES: usize = 8;
/// Rank of the last lane.
pub(crate) const LAST_RANK: usize = LANES - 1;

/// Lanes by the rank of their class, first ranked first.
#[derive(Debug, Default)]
pub(super) struct Lanes([Lane; LANES]);

#[derive(Debug, Default)]
struct Lane {
    waiting: AtomicU32,
    freed: Notify,
}

impl Lanes {
    fn lane(&self, rank: usize) -> &Lane {
        &self.0[rank.min(LANES - 1)]
    }

    /// Counts one more request as waiting.
    pub(super) fn enter(&self, rank: usize) {
        self.lane(rank).waiting.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts one less.
    pub(super) fn leave(&self, rank: usize) {
        self.lane(rank).waiting.fetch_sub(1, Ordering::AcqRel);
    }

    /// Ends when the lane's first request should look again.
    pub(super) fn freed(&self, rank: usize) -> Notified<'_> {
        self.lane(rank).freed.notified()
    }

    /// Requests that wait in all lanes.
    pub(super) fn waiting(&self) -> u32 {
        self.waiting_before(LANES)
    }

    /// Requests that wait in the lanes before `rank`.
    pub(super) fn waiting_before(&self, rank: usize) -> u32 {
        let lanes = &self.0[..rank.min(LANES)];
        lanes
            .iter()
            .map(|lane| lane.waiting.load(Ordering::Acquire))
            .sum()
    }

    /// Wakes the first `count` requests: by lane, and in a lane by their coming.
    ///
    /// To wake all of them for a few slots would cost them their places: who finds none free goes
    /// to the end of its lane, and some wait for as long as the queue lasts.
    pub(super) fn wake(&self, count: u32) {
        let mut left = count;
        for lane in &self.0 {
            let woken = lane.waiting.load(Ordering::Acquire).min(left);
            (0..woken).for_each(|_| lane.freed.notify_one());
            left -= woken;
        }
    }
}

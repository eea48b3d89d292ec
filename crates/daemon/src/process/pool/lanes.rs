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

    /// Wakes the first request of the first lane in which one waits.
    pub(super) fn wake_next(&self) {
        let mut lanes = self.0.iter();
        if let Some(lane) = lanes.find(|lane| lane.waiting.load(Ordering::Acquire) > 0) {
            lane.freed.notify_one();
        }
    }

    /// Lets every request look again.
    pub(super) fn wake_all(&self) {
        for lane in &self.0 {
            lane.freed.notify_waiters();
        }
    }
}

//! A slot in use, and when it is given back.

use crate::process::pool::{
    Pool,
    Upstream, //
};
use std::{
    cell::Cell,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time for a cancellation to reach the upstream.
///
/// What goes wrong without it: a request is given up on, its slot is given back and used at once,
/// while the upstream still works on the first, so that the second queues there. One would notice
/// it as queues at upstreams after timeouts and callers that went away. It is short: a slot that is
/// held for longer than that is one that impatient callers, who ask again, take from each other.
const CANCELLATION: Duration = Duration::from_millis(5);

/// Where a request that holds a slot is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Nothing was sent.
    Unsent,
    /// The upstream may be working on it.
    Sent,
    /// The upstream has ended it.
    Ended,
}

/// A slot, given back when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    pool: Arc<Pool>,
    upstream: Arc<Upstream>,
}

impl Slot {
    /// The slot that was just taken.
    pub(super) fn new(pool: &Arc<Pool>, upstream: &Arc<Upstream>) -> Self {
        Self {
            pool: Arc::clone(pool),
            upstream: Arc::clone(upstream),
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.upstream.slots.give_back();
        self.pool.wake();
    }
}

/// A slot in use by one request; given back whichever way the request ends.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) upstream: Arc<Upstream>,
    /// Present until the drop.
    slot: Option<Slot>,
    taken_at: Instant,
    stage: Cell<Stage>,
    /// The answer is only measured.
    pub(crate) probe: Cell<bool>,
}

impl Permit {
    /// Permit for a slot that was just taken.
    pub(super) fn new(slot: Slot) -> Self {
        Self {
            upstream: Arc::clone(&slot.upstream),
            slot: Some(slot),
            taken_at: Instant::now(),
            stage: Cell::new(Stage::Unsent),
            probe: Cell::new(false),
        }
    }

    /// Notes that the request goes out now.
    pub(crate) fn sent(&self) {
        self.stage.set(Stage::Sent);
    }

    /// Notes that the upstream has ended the request, or never had it.
    pub(crate) fn ended(&self) {
        self.stage.set(Stage::Ended);
    }

    /// Notes that the upstream has answered whole.
    pub(crate) fn completed(&self) {
        self.ended();
        if let (Some(slot), false) = (&self.slot, self.probe.get()) {
            slot.pool.counts.note_completed(self.taken_at.elapsed());
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let slot = self.slot.take();
        if self.stage.get() != Stage::Sent {
            return;
        }
        // Without a runtime the process ends, and the slot with it.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                tokio::time::sleep(CANCELLATION).await;
                drop(slot);
            });
        }
    }
}

//! A slot in use, and when it is given back.

use crate::process::pool::{
    Pool,
    Upstream, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    sync::Arc,
    time::Duration, //
};
use strict::Closing;
use tokio::time::{
    timeout_at,
    Instant, //
};

/// Time after its deadline for an upstream to have stopped.
const STOPPED: Duration = Duration::from_millis(5);

/// Where a request that holds a slot is.
#[derive(Clone, Debug)]
enum Stage {
    /// Nothing was sent.
    Unsent,
    /// The upstream may be working on it.
    Sent(Cancellation),
    /// The upstream has ended it.
    Ended,
}

/// How to tell that the upstream works no longer on a request that was given up on.
#[derive(Clone, Debug)]
struct Cancellation {
    /// Connections that were given up, the request's own among them.
    closing: Closing,
    /// When the upstream stops by itself.
    deadline: Instant,
}

impl Cancellation {
    /// Ends when the upstream has noticed the cancellation, or stopped by its deadline.
    ///
    /// What goes wrong without it: a request is given up on, its slot is given back and used at
    /// once, while the upstream still works on the first, so that the second queues there. One
    /// would notice it as queues at upstreams after timeouts and callers that went away. A fixed
    /// pause doesn't help: too short a one fails on a busy machine, and a longer one takes slots
    /// from impatient callers, who ask again. The upstream's end of the connection tells.
    async fn noticed(self) {
        let _ = timeout_at(self.deadline + STOPPED, self.closing.closed()).await;
    }
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
    stage: RefCell<Stage>,
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
            stage: RefCell::new(Stage::Unsent),
            probe: Cell::new(false),
        }
    }

    /// Notes that the request goes out now, on a connection that `closing` watches.
    pub(crate) fn sent(&self, closing: &Closing, deadline: Instant) {
        self.stage.replace(Stage::Sent(Cancellation {
            closing: closing.clone(),
            deadline,
        }));
    }

    /// Notes that the upstream has ended the request, or never had it.
    pub(crate) fn ended(&self) {
        self.stage.replace(Stage::Ended);
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
        let Stage::Sent(cancellation) = self.stage.replace(Stage::Ended) else {
            return;
        };
        // Without a runtime the process ends, and the slot with it. The task runs after the request
        // and its connection are dropped, which whoever drops the permit does with it.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                cancellation.noticed().await;
                drop(slot);
            });
        }
    }
}

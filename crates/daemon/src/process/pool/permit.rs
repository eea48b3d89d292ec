//! A slot in use, and when it is released.

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
use strict::ClosingConnections;
use tokio::time::{
    timeout_at,
    Instant, //
};

/// Time after the deadline within which an upstream is assumed to stop.
const STOP_GRACE: Duration = Duration::from_millis(5);

/// Progress of a request that holds a slot.
#[derive(Clone, Debug)]
enum RequestState {
    /// Nothing has been sent.
    Unsent,
    /// The upstream may be processing it.
    Sent(Cancellation),
    /// The upstream has finished it.
    Ended,
}

/// Detects when the upstream has stopped processing an abandoned request.
#[derive(Clone, Debug)]
struct Cancellation {
    /// Abandoned connections, the one of the request among them.
    closing: ClosingConnections,
    /// Time at which the upstream stops by itself.
    deadline: Instant,
}

impl Cancellation {
    /// Completes when the upstream has detected the cancellation, or stopped at its deadline.
    ///
    /// Otherwise the slot of an abandoned request would be released and reused while the upstream
    /// still processes that request, and the next one would queue there: queues at upstreams would
    /// follow timeouts and disconnected callers. A fixed delay doesn't help: a short one fails on a
    /// busy machine, and a long one withholds slots from callers with short timeouts, who then
    /// retry. The upstream closing its end of the connection is the reliable signal.
    async fn upstream_stopped(self) {
        let _ = timeout_at(self.deadline + STOP_GRACE, self.closing.wait_closed()).await;
    }
}

/// An acquired slot, released when dropped.
#[derive(Debug)]
pub(super) struct SlotGuard {
    pool: Arc<Pool>,
    upstream: Arc<Upstream>,
}

impl SlotGuard {
    /// Guards a slot that was just acquired.
    pub(super) fn new(pool: &Arc<Pool>, upstream: &Arc<Upstream>) -> Self {
        Self {
            pool: Arc::clone(pool),
            upstream: Arc::clone(upstream),
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.upstream.slots.release();
        self.pool.wake();
    }
}

/// A slot in use by one request, released however the request ends.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) upstream: Arc<Upstream>,
    /// `Some` until dropped.
    slot: Option<SlotGuard>,
    taken_at: Instant,
    state: RefCell<RequestState>,
    /// The request is a probe; its response is only measured.
    pub(crate) probe: Cell<bool>,
}

impl Permit {
    /// Creates the permit for a slot that was just acquired.
    pub(super) fn new(slot: SlotGuard) -> Self {
        Self {
            upstream: Arc::clone(&slot.upstream),
            slot: Some(slot),
            taken_at: Instant::now(),
            state: RefCell::new(RequestState::Unsent),
            probe: Cell::new(false),
        }
    }

    /// Records that the request is being sent, on a connection that `closing` tracks.
    pub(crate) fn mark_sent(&self, closing: &ClosingConnections, deadline: Instant) {
        self.state.replace(RequestState::Sent(Cancellation {
            closing: closing.clone(),
            deadline,
        }));
    }

    /// Records that the upstream has finished the request or never received it.
    pub(crate) fn mark_ended(&self) {
        self.state.replace(RequestState::Ended);
    }

    /// Records that the upstream's response is complete.
    pub(crate) fn mark_completed(&self) {
        self.mark_ended();
        if let (Some(slot), false) = (&self.slot, self.probe.get()) {
            slot.pool.counts.record_completed(self.taken_at.elapsed());
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let slot = self.slot.take();
        let RequestState::Sent(cancellation) = self.state.replace(RequestState::Ended) else {
            return;
        };
        // Without a runtime the process is exiting, and the slot doesn't matter. The task runs
        // after the request and its connection are dropped, which happens together with the permit.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                cancellation.upstream_stopped().await;
                drop(slot);
            });
        }
    }
}

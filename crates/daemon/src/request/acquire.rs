//! Slot acquisition: admission, the queue, and the choice of the upstream.

use crate::{
    process::pool::{
        Permit,
        Pool,
        Upstream,
        WaitGuard,
        LAST_RANK, //
    },
    request::{
        answer::{
            ErrorResponse,
            Reason, //
        },
        dispatch::Job,
        place::admission_target, //
    },
    version::ClassView,
};
use base::{
    Now,
    UpstreamId, //
};
use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};
use steer::{
    Admission,
    Capacity,
    Choose,
    Load,
    UpstreamView, //
};

/// Most requests of one service that may be queued at this entry.
pub(crate) const QUEUE_MAX: u32 = 1024;

/// Longest time between two checks of a queued request.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Upstreams that one request may be sent to, with their state at `now`.
struct Candidates {
    upstreams: Arc<Vec<Arc<Upstream>>>,
    views: Vec<UpstreamView>,
    now: Now,
}

impl Candidates {
    /// Whether this entry was allotted no slot of the upstreams that accept new work.
    ///
    /// Also true if no upstream is known yet.
    fn has_no_allotment(&self) -> bool {
        let open = || self.views.iter().filter(|view| !view.leaving);
        let may_get_slots = self.views.is_empty() || open().next().is_some();
        may_get_slots && open().all(|view| view.usable == 0)
    }

    /// Upstreams of the pool; already tried ones are excluded unless there are no others.
    fn new(pool: &Pool, tried: &[UpstreamId], now: Now) -> Self {
        let right = pool.lease.entitlement(now);
        let upstreams = pool.upstreams();
        let is_tried = |upstream: &Arc<Upstream>| tried.contains(&upstream.id);
        let others = upstreams
            .iter()
            .any(|upstream| upstream.accepts_work() && !is_tried(upstream));
        let views = upstreams.iter().map(|upstream| {
            let view = upstream.view(right, now);
            UpstreamView {
                // For this request, an upstream that was tried counts as leaving.
                leaving: view.leaving || others && is_tried(upstream),
                ..view
            }
        });
        Self {
            views: views.collect(),
            upstreams,
            now,
        }
    }
}

/// Expected queue wait of a new request of the class at `now`.
pub(super) fn expected_wait(class: &ClassView, now: Now) -> Duration {
    let candidates = Candidates::new(&class.pool, &[], now);
    let load = load(
        class,
        &candidates,
        class.pool.waiting_before(class.rank + 1),
    );
    class.admission.expected_wait(class.class_index, &load)
}

/// Load of the class's service, as seen by a request with `queued_ahead` others before it.
fn load(class: &ClassView, candidates: &Candidates, queued_ahead: u32) -> Load {
    let pool = &class.pool;
    let capacity = Capacity::of(&candidates.views);
    Load {
        slots: capacity.open,
        in_flight: capacity.in_flight,
        queued_ahead,
        queued: pool.waiting(),
        service_time: pool.service_time(),
        completion_interval: pool.completion_gap(),
    }
}

impl Job<'_> {
    /// Takes a slot, if necessary after a wait that is expected to fit the target.
    ///
    /// # Errors
    ///
    /// No slot is expected to be free in time.
    pub(super) async fn acquire(&self, tried: &[UpstreamId]) -> Result<Permit, ErrorResponse> {
        if self.traffic.is_baseline() {
            return self.take_for_baseline(tried);
        }
        if let Some(permit) = self.take_own_probe() {
            return Ok(permit);
        }
        let arrived = Instant::now();
        let mut waiting: Option<WaitGuard> = None;
        loop {
            let pool = &self.class.pool;
            let mut candidates = Candidates::new(pool, tried, self.traffic.shared.now());
            let admission = self.admission(&candidates, waiting.as_ref());
            if admission == Admission::Send {
                if let Some(permit) = self.take(&mut candidates) {
                    self.counters.waited.record(arrived.elapsed().as_secs_f64());
                    return Ok(permit);
                }
            }
            let in_time = self.queue_time_left() > Duration::ZERO;
            let refused = match admission {
                Admission::Refuse { retry_after } => Some(retry_after),
                _ => (!in_time).then(|| expected_wait(self.class, candidates.now)),
            };
            if let Some(retry_after) = refused {
                return self.refuse_or_probe(waiting, retry_after);
            }
            let Some(guard) = &waiting else {
                pool.counts.record_unserved();
                waiting = Some(pool.enqueue(self.rank()));
                // A slot freed between the check and the queueing woke nobody: check again.
                continue;
            };
            // A slot gained by a larger allotment or limit wakes nobody, so the wait is bounded.
            let interval = self.queue_time_left().min(POLL_INTERVAL);
            // Woken or timed out, the loop checks again.
            let _ = tokio::time::timeout(interval, guard.woken()).await;
        }
    }

    /// Rank in the queue: requests shifted here by other regions wait behind this region's own.
    fn rank(&self) -> usize {
        if self.from_other_region {
            LAST_RANK
        } else {
            self.class.rank
        }
    }

    fn admission(&self, candidates: &Candidates, waiting: Option<&WaitGuard>) -> Admission {
        let now = Instant::now();
        let is_queued = waiting.is_some();
        let ahead = match waiting {
            Some(guard) => guard.requests_ahead(),
            None => self.class.pool.waiting_before(self.rank() + 1),
        };
        let load = load(self.class, candidates, ahead);
        if candidates.has_no_allotment() && (is_queued || load.queued < QUEUE_MAX) {
            // Otherwise an entry that has just started would refuse all work until it receives its
            // allotment, one or two ticks later.
            let expected_wait = Duration::ZERO;
            return Admission::Queue { expected_wait };
        }
        let waited = if is_queued {
            now.saturating_duration_since(self.started)
        } else {
            Duration::ZERO
        };
        let time_left = self.deadline.remaining(now);
        let seed = self.traffic.seed();
        self.class
            .admission
            .admit(self.class.class_index, &load, waited, time_left, seed)
    }

    /// Time that the request may still wait in the queue.
    fn queue_time_left(&self) -> Duration {
        let target = admission_target(&self.class.class).latency_target;
        let limit = target.saturating_sub(self.class.pool.service_time());
        let queue_deadline = self.deadline.within(self.started, limit);
        queue_deadline.remaining(Instant::now())
    }

    /// Refuses a request that gets no slot, unless it can serve as a probe.
    fn refuse_or_probe(
        &self,
        waiting: Option<WaitGuard>,
        retry_after: Duration,
    ) -> Result<Permit, ErrorResponse> {
        let pool = &self.class.pool;
        if waiting.is_none() {
            pool.counts.record_unserved();
        }
        drop(waiting);
        if let Some(permit) = self.take_due_probe() {
            return Ok(permit);
        }
        let reason = if self.deadline.remaining(Instant::now()).is_zero() {
            Reason::TooLate
        } else {
            Reason::NoCapacity
        };
        let error = ErrorResponse::not_run(reason, "no slot is expected to be free in time");
        Err(error.retry_after(retry_after))
    }

    /// Takes a slot of the upstream that the policy chooses.
    fn take(&self, candidates: &mut Candidates) -> Option<Permit> {
        let pool = &self.class.pool;
        // Another thread may take the last slot first; that upstream is then marked as full here.
        for _ in 0..candidates.upstreams.len() {
            let chosen = self.choose(candidates)?;
            if let Some(permit) = pool.try_acquire(&candidates.upstreams[chosen], candidates.now) {
                return Some(permit);
            }
            candidates.views[chosen].usable = 0;
        }
        None
    }

    /// Takes a slot that a baseline policy chooses, without an allotment.
    fn take_for_baseline(&self, tried: &[UpstreamId]) -> Result<Permit, ErrorResponse> {
        let pool = &self.class.pool;
        let candidates = Candidates::new(pool, tried, self.traffic.shared.now());
        let chosen = self.choose(&candidates);
        chosen
            .and_then(|chosen| pool.try_acquire_unbounded(&candidates.upstreams[chosen]))
            .ok_or_else(|| {
                let error =
                    ErrorResponse::not_run(Reason::NoCapacity, "no upstream takes new work");
                error.retry_after(pool.service_time())
            })
    }

    fn choose(&self, candidates: &Candidates) -> Option<usize> {
        let seed = self.traffic.seed();
        self.traffic
            .with_chooser(&self.class.pool.service, |chooser| {
                chooser.choose(&candidates.views, candidates.now, seed)
            })
    }

    /// Takes the slot of a due probe, for a class whose requests can't be copied.
    ///
    /// Work that must not run twice can't be copied, and without probes a recovered upstream of
    /// such a service would stay excluded for good.
    fn take_own_probe(&self) -> Option<Permit> {
        if self.class.is_probe {
            self.take_due_probe()
        } else {
            None
        }
    }

    /// Takes the slot of a due probe, if there is one.
    pub(super) fn take_due_probe(&self) -> Option<Permit> {
        let pool = &self.class.pool;
        let upstreams = pool.upstreams();
        let upstream = upstreams.iter().find(|upstream| upstream.accepts_probe())?;
        // Only one request may be the probe.
        if !upstream.set_probe_due(false) {
            return None;
        }
        let permit = pool.try_acquire(upstream, self.traffic.shared.now());
        match &permit {
            Some(permit) => permit.probe.set(true),
            None => {
                upstream.set_probe_due(true);
            }
        }
        permit
    }
}

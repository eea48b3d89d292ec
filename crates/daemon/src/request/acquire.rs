//! Finding a slot: admission, the short queue, and the choice of the upstream.

use crate::{
    process::pool::{
        Permit,
        Pool,
        Upstream,
        WaitGuard, //
        LAST_RANK,
    },
    request::{
        answer::{
            Answer,
            Reason, //
        },
        carry::Job,
        place::admission_of, //
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

/// Requests of one service that wait at this entry at most.
pub(crate) const QUEUE_MAX: u32 = 1024;

/// Longest time between two looks of a request that waits.
const LOOK: Duration = Duration::from_millis(100);

/// Upstreams that one request may go to, as they are now.
struct Choice {
    upstreams: Arc<Vec<Arc<Upstream>>>,
    views: Vec<UpstreamView>,
    now: Now,
}

impl Choice {
    /// Whether upstreams take new work and this entry was allotted no slot of theirs.
    fn owns_nothing(&self) -> bool {
        let open = || self.views.iter().filter(|view| !view.leaving);
        let may_come = self.views.is_empty() || open().next().is_some();
        may_come && open().all(|view| view.usable == 0)
    }

    /// Upstreams of the pool; those that were tried only when there are no others.
    fn new(pool: &Pool, tried: &[UpstreamId], now: Now) -> Self {
        let right = pool.lease.right(now);
        let upstreams = pool.upstreams();
        let is_tried = |upstream: &Arc<Upstream>| tried.contains(&upstream.id);
        let others = upstreams.iter().any(|it| it.open() && !is_tried(it));
        let views = upstreams.iter().map(|upstream| {
            let view = upstream.view(right, now);
            UpstreamView {
                // One that was tried is as good as leaving to this request.
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

/// Wait that a request of the class would expect at `now`.
pub(super) fn expected_wait(class: &ClassView, now: Now) -> Duration {
    let choice = Choice::new(&class.pool, &[], now);
    let load = load(class, &choice, class.pool.waiting_before(class.rank + 1));
    class.admit.expected_wait(class.place, &load)
}

/// Load of the class's service for a request that comes after `queued_ahead` others.
fn load(class: &ClassView, choice: &Choice, queued_ahead: u32) -> Load {
    let pool = &class.pool;
    let capacity = Capacity::of(&choice.views);
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
    /// Takes a slot: at once, after a wait that is expected to fit the target, or not at all.
    pub(super) async fn acquire(&self, tried: &[UpstreamId]) -> Result<Permit, Answer> {
        if self.traffic.is_baseline() {
            return self.take_unbound(tried);
        }
        if let Some(permit) = self.take_probe_of_filing() {
            return Ok(permit);
        }
        let came = Instant::now();
        let mut waiting: Option<WaitGuard> = None;
        loop {
            let pool = &self.class.pool;
            let mut choice = Choice::new(pool, tried, self.traffic.shared.now());
            let verdict = self.verdict(&choice, waiting.as_ref());
            if verdict == Admission::Send {
                if let Some(permit) = self.take(&mut choice) {
                    self.counters.waited.record(came.elapsed().as_secs_f64());
                    return Ok(permit);
                }
            }
            let in_time = self.queue_time_left() > Duration::ZERO;
            let refused = match verdict {
                Admission::Refuse { retry_after } => Some(retry_after),
                _ => (!in_time).then(|| expected_wait(self.class, choice.now)),
            };
            if let Some(retry_after) = refused {
                return self.give_up(waiting, retry_after);
            }
            let Some(guard) = &waiting else {
                pool.counts.note_unserved();
                waiting = Some(pool.wait(self.rank()));
                // A slot that was freed since the look woke nobody: look once more.
                continue;
            };
            // A slot that comes with an allotment or a limit that grew wakes nobody.
            let look = self.queue_time_left().min(LOOK);
            // Either end of the wait is followed by a look.
            let _ = tokio::time::timeout(look, guard.woken()).await;
        }
    }

    /// Rank in the queue: what other regions shift here waits behind this region's own work.
    fn rank(&self) -> usize {
        if self.from_other_region {
            LAST_RANK
        } else {
            self.class.rank
        }
    }

    fn verdict(&self, choice: &Choice, waiting: Option<&WaitGuard>) -> Admission {
        let now = Instant::now();
        let waits = waiting.is_some();
        let ahead = match waiting {
            Some(guard) => guard.ahead(),
            None => self.class.pool.waiting_before(self.rank() + 1),
        };
        let load = load(self.class, choice, ahead);
        if choice.owns_nothing() && (waits || load.queued < QUEUE_MAX) {
            // What goes wrong otherwise: an entry that has just started refuses all work until it
            // is allotted its part, a tick or two later.
            let expected_wait = Duration::ZERO;
            return Admission::Queue { expected_wait };
        }
        let waited = if waits {
            now.saturating_duration_since(self.started)
        } else {
            Duration::ZERO
        };
        let patience = self.deadline.left(now);
        let seed = self.traffic.seed();
        self.class
            .admit
            .admit(self.class.place, &load, waited, patience, seed)
    }

    /// Time for which waiting on has a sense.
    fn queue_time_left(&self) -> Duration {
        let target = admission_of(&self.class.class).latency_target;
        let limit = target.saturating_sub(self.class.pool.service_time());
        let until = self.deadline.within(self.started, limit);
        until.left(Instant::now())
    }

    /// The final answer to a request that gets no slot, unless it can serve as a probe.
    fn give_up(&self, waiting: Option<WaitGuard>, retry_after: Duration) -> Result<Permit, Answer> {
        let pool = &self.class.pool;
        if waiting.is_none() {
            pool.counts.note_unserved();
        }
        drop(waiting);
        if let Some(permit) = self.take_due_probe() {
            return Ok(permit);
        }
        let reason = if self.deadline.left(Instant::now()).is_zero() {
            Reason::TooLate
        } else {
            Reason::NoCapacity
        };
        let answer = Answer::not_run(reason, "no slot is expected to be free in time");
        Err(answer.retry_after(retry_after))
    }

    /// Takes a slot of the upstream that the policy chooses.
    fn take(&self, choice: &mut Choice) -> Option<Permit> {
        let pool = &self.class.pool;
        // Another thread may take the chosen slot first; its view then says that it is full.
        for _ in 0..choice.upstreams.len() {
            let chosen = self.choose(choice)?;
            if let Some(permit) = pool.take(&choice.upstreams[chosen], choice.now) {
                return Some(permit);
            }
            choice.views[chosen].usable = 0;
        }
        None
    }

    /// Takes what a baseline chooses, whose slots nobody owns.
    fn take_unbound(&self, tried: &[UpstreamId]) -> Result<Permit, Answer> {
        let pool = &self.class.pool;
        let choice = Choice::new(pool, tried, self.traffic.shared.now());
        let chosen = self.choose(&choice);
        chosen
            .and_then(|chosen| pool.take_unbound(&choice.upstreams[chosen]))
            .ok_or_else(|| {
                let answer = Answer::not_run(Reason::NoCapacity, "no upstream takes new work");
                answer.retry_after(pool.service_time())
            })
    }

    fn choose(&self, choice: &Choice) -> Option<usize> {
        let seed = self.traffic.seed();
        self.traffic
            .with_chooser(&self.class.pool.service, |chooser| {
                chooser.choose(&choice.views, choice.now, seed)
            })
    }

    /// Takes the probe that is due, for a class of which no copies can be sent.
    ///
    /// Work that must not run twice can't be copied, and without a probe a recovered upstream of
    /// such a service would stay out for good.
    fn take_probe_of_filing(&self) -> Option<Permit> {
        if self.class.is_probe {
            self.take_due_probe()
        } else {
            None
        }
    }

    /// Takes the slot of a probe that is due, if there is one.
    pub(super) fn take_due_probe(&self) -> Option<Permit> {
        let pool = &self.class.pool;
        let upstreams = pool.upstreams();
        let upstream = upstreams.iter().find(|upstream| upstream.takes_probe())?;
        // One request alone may be the probe.
        if !upstream.set_probe_due(false) {
            return None;
        }
        let permit = pool.take(upstream, self.traffic.shared.now());
        match &permit {
            Some(permit) => permit.probe.set(true),
            None => {
                upstream.set_probe_due(true);
            }
        }
        permit
    }
}

//! Carrying one request: find a slot, send, and try again where that is safe.
//!
//! A request that certainly did not run (no connection, or the upstream's own refusal) may go to
//! another upstream, whatever its class. One that may have run is only sent again when its class
//! is idempotent and the retry budget allows. Everything else ends here, with an answer that says
//! what is known.

use crate::{
    process::{
        link::ShiftGuard,
        pool::{
            Permit,
            Pool,
            Upstream, //
        }, //
    },
    request::{
        answer::{
            Answer,
            Reason, //
        },
        attempt::{
            self,
            AnswerBody,
            Body,
            Failure,
            Head,
            Outgoing, //
        },
        counters::ClassCounters,
        deadline::Deadline,
        Traffic, //
    },
    version::ClassView,
};
use base::UpstreamId;
use bytes::Bytes;
use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};
use steer::{
    Choose,
    View, //
};

/// Most attempts at one request.
const ATTEMPTS_MAX: u32 = 4;
/// Shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller is told to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// A request on its way, with what all its attempts share.
pub(crate) struct Job<'a> {
    pub(crate) traffic: &'a Traffic,
    pub(crate) class: &'a ClassView,
    pub(crate) counters: &'a ClassCounters,
    pub(crate) out: &'a Outgoing,
    pub(crate) deadline: Deadline,
}

/// An upstream's answer, with the slot that its body still uses.
pub(crate) struct Carried {
    pub(crate) head: Head,
    pub(crate) body: AnswerBody,
    pub(crate) hold: Hold,
}

/// What an answer uses until its body has ended.
#[derive(Debug)]
pub(crate) enum Hold {
    /// A slot of an upstream of this region.
    Slot(Permit),
    /// Room on the link to another region.
    Shift(ShiftGuard),
}

/// Body that can be sent once more, or only once.
enum Resend {
    Whole(Bytes),
    Once(Option<Body>),
}

impl Resend {
    fn new(body: Body) -> Self {
        match body {
            Body::Whole(bytes) => Self::Whole(bytes),
            body => Self::Once(Some(body)),
        }
    }

    /// Body for the next attempt, if there can be one.
    fn next(&mut self) -> Option<Body> {
        match self {
            Self::Whole(bytes) => Some(Body::Whole(bytes.clone())),
            Self::Once(body) => body.take(),
        }
    }

    fn can_resend(&self) -> bool {
        matches!(self, Self::Whole(_))
    }
}

impl Job<'_> {
    /// Carries the request to an upstream of this region.
    pub(crate) async fn run(&self, body: Body) -> Result<Carried, Answer> {
        let mut body = Resend::new(body);
        let mut tried = Vec::new();
        loop {
            let permit = self.acquire(&tried).await?;
            let Some(next) = body.next() else {
                return Err(self.gave_up("the request's body can be sent once only"));
            };
            let failure = match self.send(&permit, next).await {
                Ok((head, body)) => {
                    let hold = Hold::Slot(permit);
                    return Ok(Carried { head, body, hold });
                }
                Err(failure) => failure,
            };
            self.note(&permit, &failure);
            let attempts = u32::try_from(tried.len()).unwrap_or(u32::MAX) + 1;
            if !body.can_resend() || attempts >= ATTEMPTS_MAX || !self.may_retry(&failure) {
                return Err(self.failed(failure));
            }
            self.counters.retries.increment(1);
            tried.push(permit.upstream.id.clone());
        }
    }

    /// Whether the request may be sent to another upstream after `failure`.
    fn may_retry(&self, failure: &Failure) -> bool {
        let safe = failure.not_run() || self.class.class.idempotent;
        let in_time = !self.deadline.left(Instant::now()).is_zero();
        safe && in_time && self.traffic.budget.borrow_mut().take()
    }

    async fn send(&self, permit: &Permit, body: Body) -> Result<(Head, AnswerBody), Failure> {
        let upstream = &permit.upstream;
        let clients = &self.traffic.clients;
        let client = if self.class.class.idempotent {
            clients.get(&upstream.addr)
        } else {
            clients.fresh()
        };
        let id = self.traffic.request_id();
        let started = Instant::now();
        let sent = attempt::send(&client, &upstream.addr, self.out, body, &id, self.deadline).await;
        if let Ok((head, _)) = &sent {
            upstream.seen.note_answer(started.elapsed());
            if head.leaving {
                self.traffic.shared.note_leaving(upstream);
            }
        }
        sent
    }

    /// Notes what a failed attempt says about its upstream.
    fn note(&self, permit: &Permit, failure: &Failure) {
        let upstream = &permit.upstream;
        match failure {
            Failure::NotSent(_) => upstream.seen.note_refusal(),
            Failure::Refused { leaving } => {
                upstream.seen.note_refusal();
                if *leaving {
                    self.traffic.shared.note_leaving(upstream);
                }
            }
            Failure::Broken(_) => upstream.seen.note_failure(),
            Failure::Timeout => {
                upstream.seen.note_failure();
                self.traffic.clients.retire(&upstream.addr);
            }
        }
    }

    /// Takes a slot, waiting for one as long as the class's target and the deadline allow.
    async fn acquire(&self, tried: &[UpstreamId]) -> Result<Permit, Answer> {
        let pool = &self.class.pool;
        let started = Instant::now();
        let patience = self.class.class.latency_target;
        let until = self.deadline.within(started, patience);
        let mut guard = None;
        loop {
            let freed = pool.freed();
            tokio::pin!(freed);
            // Listening starts before the look, or a slot freed between the two is missed.
            freed.as_mut().enable();
            if let Some(permit) = self.take(pool, tried) {
                self.counters.waited.record(started.elapsed().as_secs_f64());
                return Ok(permit);
            }
            guard.get_or_insert_with(|| pool.wait_guard());
            if tokio::time::timeout_at(until.at(), freed).await.is_err() {
                return Err(self.gave_up("no slot became free in time"));
            }
        }
    }

    /// Takes a slot if one is free; upstreams that were tried come last.
    fn take(&self, pool: &Arc<Pool>, tried: &[UpstreamId]) -> Option<Permit> {
        let upstreams = pool.upstreams();
        let now = self.traffic.shared.now();
        let right = pool.lease.right(now);
        let untried = |upstream: &&Arc<Upstream>| !tried.contains(&upstream.id);
        let fresh: Vec<&Arc<Upstream>> = upstreams.iter().filter(untried).collect();
        let candidates = if fresh.is_empty() {
            upstreams.iter().collect()
        } else {
            fresh
        };
        let mut views: Vec<View> = candidates
            .iter()
            .map(|upstream| upstream.view(right))
            .collect();
        // Another thread may take the chosen slot first; its view then says that it is full.
        for _ in 0..candidates.len() {
            let seed = self.traffic.seed();
            let chosen = self
                .traffic
                .chooser
                .borrow_mut()
                .choose(&views, now, seed)?;
            if let Some(permit) = pool.take(candidates[chosen], now) {
                return Some(permit);
            }
            views[chosen].usable = 0;
        }
        None
    }

    fn failed(&self, failure: Failure) -> Answer {
        match failure {
            Failure::NotSent(why) => {
                Answer::not_run(Reason::UpstreamFailed, why).retry_after(RETRY_AFTER_MIN)
            }
            Failure::Refused { .. } => self.gave_up("the upstream refused"),
            Failure::Broken(why) => Answer::unknown(Reason::UpstreamFailed, why),
            Failure::Timeout => Answer::unknown(
                Reason::UpstreamTimeout,
                "no whole answer before the deadline",
            ),
        }
    }

    /// Final answer to a request that did not run.
    fn gave_up(&self, detail: &'static str) -> Answer {
        let reason = if self.deadline.left(Instant::now()).is_zero() {
            Reason::TooLate
        } else {
            Reason::NoCapacity
        };
        Answer::not_run(reason, detail).retry_after(self.retry_after())
    }

    /// When a slot is likely: the time that the queue here takes at the rate seen.
    fn retry_after(&self) -> Duration {
        let pool = &self.class.pool;
        let upstreams = pool.upstreams();
        let slots: u32 = upstreams
            .iter()
            .map(|upstream| u32::from(upstream.slots.get().full))
            .sum();
        let busiest = upstreams
            .iter()
            .map(|upstream| upstream.seen.latency())
            .max()
            .unwrap_or_default();
        let turns = (pool.waiting() + 1).div_ceil(slots.max(1));
        (busiest * turns).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}

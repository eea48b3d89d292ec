//! Carrying one request: find a slot, send, and try again where that is safe.
//!
//! A request that certainly did not run (no connection, or the upstream's own refusal) may go to
//! another upstream, whatever its class. One that may have run is only sent again when its class
//! is idempotent and the retry budget allows. Everything else ends here, with an answer that says
//! what is known.

use crate::{
    process::{
        link::ShiftGuard,
        pool::Permit, //
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
    version::{
        ClassView,
        HandedGuard, //
    },
};
use bytes::Bytes;
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Most attempts at one request.
const ATTEMPTS_MAX: u32 = 4;
/// When to come back after a failure that left nothing running.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// A caller's deadline below this many times an upstream's usual latency says nothing about the
/// upstream when it passes.
const IMPATIENT: u32 = 3;

/// A request on its way, with what all its attempts share.
pub(crate) struct Job<'a> {
    pub(crate) traffic: &'a Rc<Traffic>,
    pub(crate) class: &'a ClassView,
    pub(crate) counters: &'a ClassCounters,
    pub(crate) out: &'a Outgoing,
    pub(crate) deadline: Deadline,
    /// When it came to this entry.
    pub(crate) started: Instant,
    /// Another region sent it here.
    pub(crate) from_other_region: bool,
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
    /// Nothing here: another entry of this region holds the slot.
    Sibling(#[expect(dead_code, reason = "held for its drop")] HandedGuard),
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
        let mut may_have_run = false;
        self.class.pool.counts.note_carried();
        loop {
            let permit = match self.acquire(&tried).await {
                Ok(permit) => permit,
                Err(answer) => return Err(truthful(answer, may_have_run)),
            };
            let Some(next) = body.next() else {
                let answer = Answer::not_run(
                    Reason::UpstreamFailed,
                    "the request's body can be sent once only",
                );
                return Err(answer.retry_after(RETRY_AFTER));
            };
            let failure = match self.send(&permit, next).await {
                Ok((head, answer)) => {
                    if let Resend::Whole(bytes) = &body {
                        self.copy_to_due_probe(bytes);
                    }
                    return Ok(Carried {
                        head,
                        body: answer,
                        hold: Hold::Slot(permit),
                    });
                }
                Err(failure) => failure,
            };
            let attempts = u32::try_from(tried.len()).unwrap_or(u32::MAX) + 1;
            if !body.can_resend() || attempts >= ATTEMPTS_MAX || !self.may_retry(&failure) {
                return Err(truthful(self.failed(failure), may_have_run));
            }
            may_have_run |= !failure.not_run();
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
        let channel = if self.class.class.idempotent {
            clients.get(&upstream.addr)
        } else {
            clients.fresh()
        };
        let id = self.traffic.request_id();
        let started = Instant::now();
        permit.sent(&channel.closing, self.deadline.at());
        let client = &channel.client;
        let sent = attempt::send(client, &upstream.addr, self.out, body, &id, self.deadline).await;
        match &sent {
            Ok((head, answer)) => {
                upstream.seen.note_answer(started.elapsed());
                if matches!(answer, AnswerBody::Whole(_)) {
                    permit.completed();
                }
                if head.leaving {
                    self.traffic.shared.note_leaving(upstream);
                }
            }
            Err(failure) => note_failure(self.traffic, permit, failure, started.elapsed()),
        }
        sent
    }

    fn failed(&self, failure: Failure) -> Answer {
        match failure {
            Failure::NotSent(why) => {
                Answer::not_run(Reason::UpstreamFailed, why).retry_after(RETRY_AFTER)
            }
            Failure::Refused { .. } => {
                Answer::not_run(Reason::NoCapacity, "the upstream refused").retry_after(RETRY_AFTER)
            }
            Failure::Broken(why) => Answer::unknown(Reason::UpstreamFailed, why),
            Failure::Timeout => Answer::unknown(
                Reason::UpstreamTimeout,
                "no whole answer before the deadline",
            ),
        }
    }
}

/// The answer, or that nothing is known, if an earlier attempt may have run.
///
/// What goes wrong otherwise: an idempotent request whose first attempt broke off finds no slot for
/// the second, and its caller is told that it did not run.
pub(super) fn truthful(answer: Answer, may_have_run: bool) -> Answer {
    if may_have_run {
        Answer::unknown(answer.reason, answer.detail)
    } else {
        answer
    }
}

/// Notes what a failed attempt, `took` after its start, says about its upstream.
pub(super) fn note_failure(traffic: &Traffic, permit: &Permit, failure: &Failure, took: Duration) {
    let upstream = &permit.upstream;
    match failure {
        Failure::NotSent(_) => {
            permit.ended();
            upstream.seen.note_not_sent();
        }
        Failure::Refused { leaving } => {
            permit.ended();
            upstream.seen.note_shed();
            if *leaving {
                traffic.shared.note_leaving(upstream);
            }
        }
        Failure::Broken(_) => upstream.seen.note_broken(),
        Failure::Timeout => {
            // What goes wrong otherwise: one caller with deadlines that nothing could meet brings
            // every upstream under suspicion, and all callers are refused.
            if permit.probe.get() || took >= upstream.seen.latency() * IMPATIENT {
                upstream.seen.note_timeout();
            }
            traffic.clients.retire(&upstream.addr);
        }
    }
}

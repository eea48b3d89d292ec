//! Dispatch to an upstream: takes a slot, sends, and retries where that is safe.
//!
//! A request that certainly did not run (no connection, or a refusal by the upstream) may go to
//! another upstream, whatever its class. One that may have run is retried only if its class is
//! idempotent. The retry budget applies to both. Otherwise the request ends with an error response
//! that states the outcome.

use crate::{
    process::{
        link::ShiftGuard,
        pool::Permit, //
    },
    request::{
        answer::{
            ErrorResponse,
            Reason, //
        },
        attempt::{
            self,
            Body,
            Failure,
            Head,
            Outgoing,
            ResponseBody, //
        },
        counters::ClassCounters,
        deadline::Deadline,
        TrafficThread, //
    },
    version::{
        ClassView,
        HandoverGuard, //
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

/// Most attempts for one request.
const ATTEMPTS_MAX: u32 = 4;
/// Retry delay after a failure that left nothing running.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// A timeout sooner than this multiple of an upstream's usual latency is not held against it.
const TIMEOUT_LATENCY_FACTOR: u32 = 3;

/// A request to an upstream, with the state that its attempts share.
pub(crate) struct Job<'a> {
    pub(crate) traffic: &'a Rc<TrafficThread>,
    pub(crate) class: &'a ClassView,
    pub(crate) counters: &'a ClassCounters,
    pub(crate) out: &'a Outgoing,
    pub(crate) deadline: Deadline,
    /// When it arrived at this entry.
    pub(crate) started: Instant,
    /// Whether another region sent it.
    pub(crate) from_other_region: bool,
}

/// A response, with the guard of what its body still occupies.
pub(crate) struct Dispatched {
    pub(crate) head: Head,
    pub(crate) body: ResponseBody,
    pub(crate) guard: ResponseGuard,
}

/// Resource that a response occupies until its body has ended.
#[derive(Debug)]
pub(crate) enum ResponseGuard {
    /// A slot of an upstream of this region.
    Slot(Permit),
    /// Capacity of the link to another region.
    Shift(ShiftGuard),
    /// The count of requests handed to another entry of this region, which holds the slot.
    Sibling(#[expect(dead_code, reason = "held for its drop")] HandoverGuard),
}

/// Body that can be sent several times, or only once.
enum ResendBody {
    Whole(Bytes),
    Once(Option<Body>),
}

impl ResendBody {
    fn new(body: Body) -> Self {
        match body {
            Body::Whole(bytes) => Self::Whole(bytes),
            body => Self::Once(Some(body)),
        }
    }

    /// Body for the next attempt; `None` if it was already sent and can't be sent again.
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
    /// Sends the request to an upstream of this region, with retries.
    pub(crate) async fn run(&self, body: Body) -> Result<Dispatched, ErrorResponse> {
        let mut body = ResendBody::new(body);
        let mut tried = Vec::new();
        let mut may_have_run = false;
        self.class.pool.counts.record_carried();
        loop {
            let permit = match self.acquire(&tried).await {
                Ok(permit) => permit,
                Err(error) => return Err(with_prior_attempts(error, may_have_run)),
            };
            let Some(next) = body.next() else {
                let error = ErrorResponse::not_run(
                    Reason::UpstreamFailed,
                    "the request's body can be sent once only",
                );
                return Err(error.retry_after(RETRY_AFTER));
            };
            let failure = match self.send(&permit, next).await {
                Ok((head, response_body)) => {
                    if let ResendBody::Whole(bytes) = &body {
                        self.copy_to_due_probe(bytes);
                    }
                    return Ok(Dispatched {
                        head,
                        body: response_body,
                        guard: ResponseGuard::Slot(permit),
                    });
                }
                Err(failure) => failure,
            };
            let attempts = u32::try_from(tried.len()).unwrap_or(u32::MAX) + 1;
            if !body.can_resend() || attempts >= ATTEMPTS_MAX || !self.may_retry(&failure) {
                return Err(with_prior_attempts(
                    self.error_response(failure),
                    may_have_run,
                ));
            }
            may_have_run |= !failure.not_run();
            self.counters.retries.increment(1);
            tried.push(permit.upstream.id.clone());
        }
    }

    /// Whether the request may be sent to another upstream after `failure`.
    fn may_retry(&self, failure: &Failure) -> bool {
        let safe = failure.not_run() || self.class.class.idempotent;
        let in_time = !self.deadline.remaining(Instant::now()).is_zero();
        safe && in_time && self.traffic.budget.borrow_mut().take()
    }

    async fn send(&self, permit: &Permit, body: Body) -> Result<(Head, ResponseBody), Failure> {
        let upstream = &permit.upstream;
        let clients = &self.traffic.clients;
        let channel = if self.class.class.idempotent {
            clients.get(&upstream.addr)
        } else {
            clients.unpooled()
        };
        let id = self.traffic.request_id();
        let started = Instant::now();
        permit.mark_sent(&channel.closing, self.deadline.at());
        let client = &channel.client;
        let sent = attempt::send(client, &upstream.addr, self.out, body, &id, self.deadline).await;
        match &sent {
            Ok((head, body)) => {
                upstream.observations.record_response(started.elapsed());
                if matches!(body, ResponseBody::Whole(_)) {
                    permit.mark_completed();
                }
                if head.leaving {
                    self.traffic.shared.report_leaving(upstream);
                }
            }
            Err(failure) => record_failure(self.traffic, permit, failure, started.elapsed()),
        }
        sent
    }

    /// Error response after the last attempt failed.
    fn error_response(&self, failure: Failure) -> ErrorResponse {
        match failure {
            Failure::NotSent(detail) => {
                ErrorResponse::not_run(Reason::UpstreamFailed, detail).retry_after(RETRY_AFTER)
            }
            Failure::Refused { .. } => {
                ErrorResponse::not_run(Reason::NoCapacity, "the upstream refused")
                    .retry_after(RETRY_AFTER)
            }
            Failure::Broken(detail) => ErrorResponse::unknown(Reason::UpstreamFailed, detail),
            Failure::Timeout => ErrorResponse::unknown(
                Reason::UpstreamTimeout,
                "no whole answer before the deadline",
            ),
        }
    }
}

/// Changes the outcome of an error response to `unknown` if an earlier attempt may have run.
///
/// Otherwise the caller of an idempotent request whose first attempt broke off, and which found no
/// slot for the second, would be told that it did not run.
pub(super) fn with_prior_attempts(error: ErrorResponse, may_have_run: bool) -> ErrorResponse {
    if may_have_run {
        ErrorResponse::unknown(error.reason, error.detail)
    } else {
        error
    }
}

/// Updates the upstream's state after an attempt that failed `elapsed` after its start.
pub(super) fn record_failure(
    traffic: &TrafficThread,
    permit: &Permit,
    failure: &Failure,
    elapsed: Duration,
) {
    let upstream = &permit.upstream;
    match failure {
        Failure::NotSent(_) => {
            permit.mark_ended();
            upstream.observations.record_not_sent();
        }
        Failure::Refused { leaving } => {
            permit.mark_ended();
            upstream.observations.record_shed();
            if *leaving {
                traffic.shared.report_leaving(upstream);
            }
        }
        Failure::Broken(_) => upstream.observations.record_broken(),
        Failure::Timeout => {
            // Otherwise one caller with deadlines that no upstream can meet would make every
            // upstream suspect, and all callers would be refused.
            if permit.probe.get()
                || elapsed >= upstream.observations.latency() * TIMEOUT_LATENCY_FACTOR
            {
                upstream.observations.record_timeout();
            }
            traffic.clients.retire(&upstream.addr);
        }
    }
}

//! Rate-limited log lines about requests.
//!
//! Each request gets one line when it ends and one for each failed send, with the request's id, the data that the
//! decision was based on and its age. Answered requests (status below 500) have a lower limit than failures, so their
//! lines are dropped sooner. Dropped lines are counted, and the count is logged.

use crate::{
    clock::millis,
    metric,
    traffic::{
        attempt::SendOutcome,
        dispatch::{
            Dispatch,
            Progress, //
        },
        placement::{
            Placement,
            Rejection, //
        },
        plan::Rejected,
        Traffic, //
    },
};
use actix_http::header::{
    HeaderValue,
    RETRY_AFTER, //
};
use base::{
    Now,
    UpstreamId, //
};
use event::{
    emit,
    Event,
    Outcome,
    RequestEnded,
    SendFailed,
    SendTarget,
    SnapshotInfo,
    StatedWorkTime, //
};
use relay::Target;
use std::{
    cell::Cell,
    time::{
        Duration,
        Instant, //
    },
};

/// Lines per second about answered requests. The usual load of an entry is about 90 requests per second.
const ANSWERED_LINES_PER_S: u32 = 150;
/// Lines per second about all other results. Enough for an entry that rejects every request of a burst.
const FAILED_LINES_PER_S: u32 = 400;

/// Rate limiter for log lines, with counts for the current second.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    second: Cell<u64>,
    answered: Cell<u32>,
    failed: Cell<u32>,
    dropped: Cell<u32>,
}

impl LogLimiter {
    /// Counts one more line. Returns whether it may be written.
    pub(super) fn try_take(&self, failure: bool, now: Now) -> bool {
        let second = now.as_secs();
        if self.second.replace(second) != second {
            self.answered.set(0);
            self.failed.set(0);
            let dropped = self.dropped.replace(0);
            if dropped > 0 {
                let lines = u64::from(dropped);
                metrics::counter!(metric::LOG_LINES_LEFT_OUT, "reason" => "bound of a second")
                    .increment(lines);
                emit(&Event::LinesLeftOut { lines });
            }
        }
        let (lines, max) = if failure {
            (&self.failed, FAILED_LINES_PER_S)
        } else {
            (&self.answered, ANSWERED_LINES_PER_S)
        };
        let fits = lines.get() < max;
        let counter = if fits { lines } else { &self.dropped };
        counter.set(counter.get() + 1);
        fits
    }
}

impl Traffic {
    /// Logs a request that was rejected before dispatch.
    pub(super) fn log_rejected(
        &self,
        id: Option<&HeaderValue>,
        rejected: &Rejected,
        received: Instant,
    ) {
        if !self.log_limiter.try_take(true, self.now()) {
            return;
        }
        let Rejected {
            response,
            outcome,
            organisation,
        } = rejected;
        let retry_after = response.headers.get(RETRY_AFTER);
        let retry_after_s: Option<f64> = retry_after.and_then(|value| text(value).parse().ok());
        emit(&Event::Request(Box::new(RequestEnded {
            status: Some(response.status.as_u16()),
            organisation: organisation.clone(),
            retry_after_ms: retry_after_s.map(|after_s| millis(Duration::from_secs_f64(after_s))),
            ..self.end_event(id.map_or_else(String::new, text), *outcome, received)
        })));
    }

    /// Returns a `RequestEnded` with the fields that are known for any request.
    fn end_event(&self, id: String, outcome: Outcome, received: Instant) -> RequestEnded {
        let snapshot = self.shared.published.load();
        RequestEnded {
            id,
            outcome,
            status: None,
            reason: None,
            route: None,
            organisation: None,
            service: None,
            sends: 0,
            may_have_run: false,
            fingerprint: None,
            sent: None,
            via: None,
            hedge: None,
            relayed_by: None,
            census: None,
            expected: None,
            retry_after_ms: None,
            wait: None,
            took_ms: millis(received.elapsed()),
            target_ms: None,
            deadline_ms: None,
            picture: SnapshotInfo {
                routes: snapshot.routes.as_ref().map_or(0, |table| table.version()),
                number: snapshot.number,
                age_ms: millis(self.now().saturating_sub(snapshot.created_at)),
            },
        }
    }
}

impl Dispatch {
    /// Logs a send if it yielded no response.
    pub(super) fn log_failed_outcome(
        &self,
        target: &Target,
        placement: &Placement,
        outcome: &SendOutcome,
    ) {
        let failure = match outcome {
            SendOutcome::Answered(_) => return,
            SendOutcome::NotRun {
                status,
                retry_after,
            } => SendFailure {
                not_run: true,
                why: format!("status {status}"),
                retry_after: *retry_after,
            },
            SendOutcome::Failed(failure) => SendFailure {
                not_run: failure.not_run(),
                why: failure.to_string(),
                retry_after: None,
            },
        };
        self.log_failed_send(target, placement, failure);
    }

    /// Logs a send without a response for the caller.
    fn log_failed_send(&self, target: &Target, placement: &Placement, failure: SendFailure) {
        if !self.traffic.log_limiter.try_take(true, self.traffic.now()) {
            return;
        }
        emit(&Event::SendFailed(Box::new(SendFailed {
            id: text(&self.id),
            fingerprint: Some(hex(self.fingerprint)),
            service: self.service.clone(),
            sent: sent(&target.id, placement),
            not_run: failure.not_run,
            why: failure.why,
            retry_after_ms: failure.retry_after.map(millis),
            after_ms: millis(self.received.elapsed()),
        })));
    }

    /// Logs the end of a request.
    pub(super) fn log_end(&self, end: &EndSummary<'_>) {
        self.has_final_response.set(true);
        let failure = end.status >= 500;
        if !self
            .traffic
            .log_limiter
            .try_take(failure, self.traffic.now())
        {
            return;
        }
        let progress = end.progress;
        let rejection = end.rejection;
        let unplaced = rejection.filter(|_| progress.placement.is_none());
        let retryable = rejection.filter(|_| end.outcome == Outcome::Refused);
        emit(&Event::Request(Box::new(RequestEnded {
            status: Some(end.status),
            reason: rejection.map(|rejection| rejection.reason),
            sends: progress.sends,
            may_have_run: progress.may_have_run,
            fingerprint: failure.then(|| hex(self.fingerprint)),
            sent: self.last_sent(progress),
            via: progress.via.clone(),
            hedge: progress.hedge,
            census: unplaced.map(|rejection| rejection.upstream_counts),
            expected: unplaced.map(|rejection| rejection.expected),
            retry_after_ms: retryable.map(|rejection| millis(rejection.retry_after)),
            ..self.end_event(end.outcome)
        })));
    }

    fn last_sent(&self, progress: &Progress) -> Option<SendTarget> {
        let placement = progress.placement.as_ref()?;
        Some(sent(progress.upstream()?, placement))
    }

    /// Returns a `RequestEnded` with the fields that are known for any request with a route.
    fn end_event(&self, outcome: Outcome) -> RequestEnded {
        RequestEnded {
            route: Some(self.route.id.clone()),
            organisation: self.organisation.as_ref().map(|one| one.id.clone()),
            relayed_by: self.relayed_by().cloned(),
            service: Some(self.service.clone()),
            wait: self.waited.get(),
            target_ms: Some(millis(self.route.latency_target)),
            deadline_ms: Some(millis(self.deadline - self.received)),
            ..self
                .traffic
                .end_event(text(&self.id), outcome, self.received)
        }
    }
}

impl Drop for Dispatch {
    /// Logs a request that is dropped without a final response, because the caller has disconnected.
    fn drop(&mut self) {
        if self.has_final_response.get()
            || !self.traffic.log_limiter.try_take(true, self.traffic.now())
        {
            return;
        }
        let last = self.last_placed.borrow();
        emit(&Event::Request(Box::new(RequestEnded {
            may_have_run: last.is_some(),
            sent: last.as_ref().map(|(id, placement)| sent(id, placement)),
            ..self.end_event(Outcome::Cancelled)
        })));
    }
}

/// Why a send yielded no response for the caller.
struct SendFailure {
    not_run: bool,
    why: String,
    /// Time for which the upstream accepts no further requests from this entry, if stated.
    retry_after: Option<Duration>,
}

/// Result of a request.
#[derive(Clone, Copy)]
pub(super) struct EndSummary<'a> {
    pub(super) status: u16,
    pub(super) outcome: Outcome,
    /// The rejection, if this entry produced the final response.
    pub(super) rejection: Option<&'a Rejection>,
    pub(super) progress: &'a Progress,
}

fn sent(upstream: &UpstreamId, placement: &Placement) -> SendTarget {
    SendTarget {
        upstream: upstream.clone(),
        region: placement.region.clone(),
        failure_domain: placement.failure_domain.clone(),
        key: placement.key.map(hex),
        load: placement.load,
        slots: placement.slots,
        report_age_ms: placement.report_age.map(millis),
        work_time: placement.speed.map(|stated| StatedWorkTime {
            pct: stated.work_time_pct,
            age_ms: millis(stated.age(placement.chosen_at)),
        }),
        warm: placement.warm,
        expected: placement.expected,
    }
}

pub(super) fn hex(hash: u64) -> String {
    format!("{hash:016x}")
}

pub(super) fn text(value: &HeaderValue) -> String {
    value.to_str().unwrap_or("?").to_owned()
}

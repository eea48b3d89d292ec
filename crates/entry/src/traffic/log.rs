//! Log lines of requests, bounded a second.
//!
//! Each request gets one line when it ends, and one for each send that came to nothing; with the
//! request's id, what decided it and how old that was. Failures come first: a line of a request that
//! was answered in time is left out sooner than one that tells of a failure. What is left out is
//! counted, and said in a line of its own.

use crate::{
    metric,
    traffic::{
        job::{
            Job,
            Progress, //
        },
        placement::{
            Placement,
            Refused, //
        },
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
    Picture,
    RequestEnded,
    SendFailed,
    Sent, //
};
use relay::{
    CallerResponse,
    Target, //
};
use std::{
    cell::Cell,
    time::{
        Duration,
        Instant, //
    },
};

/// Lines a second of requests that were answered: above the usual load of an entry, some 90 a second.
const ANSWERED_PER_S: u32 = 150;
/// Lines a second of everything else about requests: enough for an entry that refuses all of a burst.
const FAILED_PER_S: u32 = 400;

/// How many lines were written in this second.
#[derive(Debug, Default)]
pub(crate) struct Limit {
    second: Cell<u64>,
    answered: Cell<u32>,
    failed: Cell<u32>,
    left_out: Cell<u32>,
}

impl Limit {
    /// Whether one more line may be written.
    pub(super) fn take(&self, failure: bool, now: Now) -> bool {
        let second = now.as_secs();
        if self.second.replace(second) != second {
            self.answered.set(0);
            self.failed.set(0);
            let left_out = self.left_out.replace(0);
            if left_out > 0 {
                let lines = u64::from(left_out);
                metrics::counter!(metric::LOG_LINES_LEFT_OUT, "reason" => "bound of a second")
                    .increment(lines);
                emit(&Event::LinesLeftOut { lines });
            }
        }
        let (lines, most) = if failure {
            (&self.failed, FAILED_PER_S)
        } else {
            (&self.answered, ANSWERED_PER_S)
        };
        let fits = lines.get() < most;
        let counter = if fits { lines } else { &self.left_out };
        counter.set(counter.get() + 1);
        fits
    }
}

impl Traffic {
    /// A request that was answered before it was known what it needs.
    pub(super) fn log_turned_away(
        &self,
        id: Option<&HeaderValue>,
        answer: &CallerResponse,
        outcome: Outcome,
        received: Instant,
    ) {
        if !self.log.take(true, self.now()) {
            return;
        }
        let retry_after = answer.headers.get(RETRY_AFTER);
        let retry_after_s: Option<f64> = retry_after.and_then(|value| text(value).parse().ok());
        emit(&Event::Request(Box::new(RequestEnded {
            status: Some(answer.status.as_u16()),
            retry_after_ms: retry_after_s.map(|after_s| millis(Duration::from_secs_f64(after_s))),
            ..self.ended(id.map_or_else(String::new, text), outcome, received)
        })));
    }

    /// What is known of the end of any request.
    fn ended(&self, id: String, outcome: Outcome, received: Instant) -> RequestEnded {
        let snapshot = self.shared.published.load();
        RequestEnded {
            id,
            outcome,
            status: None,
            reason: None,
            route: None,
            service: None,
            sends: 0,
            may_have_run: false,
            fingerprint: None,
            sent: None,
            census: None,
            expected: None,
            retry_after_ms: None,
            took_ms: millis(received.elapsed()),
            target_ms: None,
            deadline_ms: None,
            picture: Picture {
                routes: snapshot.table.as_ref().map_or(0, |table| table.version()),
                number: snapshot.number,
                age_ms: millis(self.now().saturating_sub(snapshot.made_at)),
            },
        }
    }
}

impl Job {
    /// A send that gave no answer for the caller.
    pub(super) fn log_send(
        &self,
        target: &Target,
        placement: &Placement,
        not_run: bool,
        why: String,
    ) {
        if !self.traffic.log.take(true, self.traffic.now()) {
            return;
        }
        emit(&Event::SendFailed(Box::new(SendFailed {
            id: text(&self.id),
            fingerprint: Some(hex(self.fingerprint)),
            service: self.service.clone(),
            sent: sent(&target.id, placement),
            not_run,
            why,
            after_ms: millis(self.received.elapsed()),
        })));
    }

    /// The end of a request.
    pub(super) fn log_end(&self, end: &End<'_>) {
        self.ended.set(true);
        let failure = end.status >= 500;
        if !self.traffic.log.take(failure, self.traffic.now()) {
            return;
        }
        let progress = end.progress;
        let refused = end.refused;
        let unsent = refused.filter(|_| progress.placement.is_none());
        let comes_back = refused.filter(|_| end.outcome == Outcome::Refused);
        emit(&Event::Request(Box::new(RequestEnded {
            status: Some(end.status),
            reason: refused.map(|refused| refused.reason),
            sends: progress.sends,
            may_have_run: progress.may_have_run,
            fingerprint: failure.then(|| hex(self.fingerprint)),
            sent: self.sent_last(progress),
            census: unsent.map(|refused| refused.census),
            expected: unsent.map(|refused| refused.expected),
            retry_after_ms: comes_back.map(|refused| millis(refused.retry_after)),
            ..self.ended(end.outcome)
        })));
    }

    fn sent_last(&self, progress: &Progress) -> Option<Sent> {
        let placement = progress.placement.as_ref()?;
        Some(sent(progress.upstream()?, placement))
    }

    /// What is known of the end of any request whose route is known.
    fn ended(&self, outcome: Outcome) -> RequestEnded {
        RequestEnded {
            route: Some(self.route.id.clone()),
            service: Some(self.service.clone()),
            target_ms: Some(millis(self.route.latency_target)),
            deadline_ms: Some(millis(self.deadline - self.received)),
            ..self.traffic.ended(text(&self.id), outcome, self.received)
        }
    }
}

impl Drop for Job {
    /// A request that is dropped without a final answer belongs to a caller who has gone.
    fn drop(&mut self) {
        if self.ended.get() || !self.traffic.log.take(true, self.traffic.now()) {
            return;
        }
        let last = self.last_placed.borrow();
        emit(&Event::Request(Box::new(RequestEnded {
            may_have_run: last.is_some(),
            sent: last.as_ref().map(|(id, placement)| sent(id, placement)),
            ..self.ended(Outcome::Cancelled)
        })));
    }
}

/// How a request ended.
#[derive(Clone, Copy)]
pub(super) struct End<'a> {
    pub(super) status: u16,
    pub(super) outcome: Outcome,
    /// What decided it, where that was this entry.
    pub(super) refused: Option<&'a Refused>,
    pub(super) progress: &'a Progress,
}

fn sent(upstream: &UpstreamId, placement: &Placement) -> Sent {
    Sent {
        upstream: upstream.clone(),
        region: placement.region.clone(),
        failure_domain: placement.failure_domain.clone(),
        key: placement.key.map(hex),
        load: placement.load,
        slots: placement.slots,
        report_age_ms: placement.report_age.map(millis),
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

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

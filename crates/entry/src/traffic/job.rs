//! Sending a request until there is an answer, or nothing more can be done.
//!
//! A request that certainly did not run may go to another upstream, whatever its kind. One that may
//! have run is sent again only if it is idempotent. Each send beyond the first that reached an
//! upstream is taken from the retry budget. When nothing more can be done the caller hears so at
//! once: with a claim that it did not run and a time to come back, if no send may have run, and
//! without a claim otherwise.

use crate::{
    metric,
    traffic::{
        attempt::{
            self,
            Answered,
            InFlight,
            Outcome, //
        },
        log::text,
        placement::{
            Need,
            Placed,
            Placement,
            Refused, //
        },
        reply::{
            Final,
            Last, //
        },
        Traffic, //
    },
};
use actix_http::{
    header::{
        HeaderMap,
        HeaderValue, //
    },
    Method, //
};
use base::{
    ServiceId,
    UpstreamId, //
};
use bytes::Bytes;
use event::Reason;
use quarantine::Fingerprint;
use relay::{
    request_head,
    Failure,
    Framing,
    RequestBody,
    Target, //
    UpstreamRequest,
};
use route::Route;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::time::timeout_at;

/// When to come back after a failure that left nothing running.
const FAILED_RETRY: Duration = Duration::from_millis(100);
/// Least time left for another send to be worth it: a round trip and the shortest work.
const RESEND_LEFT: Duration = Duration::from_millis(40);

/// A request on its way, with what all its sends share.
pub(super) struct Job {
    pub(super) traffic: Rc<Traffic>,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceId,
    pub(super) id: HeaderValue,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Resend,
    /// Identical for all attempts of a request, unlike the id.
    pub(super) fingerprint: Fingerprint,
    /// Hash of the affinity key, or of the id if there is none.
    pub(super) key: u64,
    pub(super) keyed: bool,
    pub(super) received: Instant,
    pub(super) deadline: Instant,
    /// It has its final answer.
    pub(super) ended: Cell<bool>,
    /// The upstream that has or had it last, and how it stood there.
    pub(super) last_placed: RefCell<Option<(UpstreamId, Placement)>>,
}

/// Body that can be sent once more, or only once.
pub(super) enum Resend {
    Whole(Bytes),
    Once(Option<RequestBody>),
}

impl Resend {
    fn next(&mut self) -> Option<RequestBody> {
        match self {
            Self::Whole(bytes) => Some(RequestBody::Whole(bytes.clone())),
            Self::Once(body) => body.take(),
        }
    }

    fn is_spent(&self) -> bool {
        matches!(self, Self::Once(None))
    }
}

/// What became of a request so far.
#[derive(Default)]
pub(super) struct Progress {
    tried: Vec<UpstreamId>,
    /// Sends that reached an upstream.
    pub(super) sends: u32,
    pub(super) may_have_run: bool,
    pub(super) last: Option<Last>,
    /// How it stood at the last upstream.
    pub(super) placement: Option<Placement>,
}

impl Progress {
    /// The upstream that it was sent to last.
    pub(super) fn upstream(&self) -> Option<&UpstreamId> {
        self.tried.last()
    }
}

/// Whether a request is sent once more.
enum Next {
    Again,
    Done(Final),
}

impl Job {
    /// Sends until there is an answer, or nothing more can be done.
    pub(super) async fn run(mut self) -> Final {
        let mut progress = Progress::default();
        loop {
            let crashes = &self.traffic.shared.channels.crashes;
            if let Some(remaining) = crashes.remaining(self.fingerprint, self.traffic.now()) {
                return self.give_up(progress, &Refused::new(Reason::Quarantined, remaining));
            }
            let (target, placement) = match self.place(&progress.tried) {
                Placed::Send { target, placement } => (target, *placement),
                Placed::Refuse(refused) => return self.give_up(progress, &refused),
            };
            let in_flight = InFlight::new(&self.traffic, &target, placement.clone());
            progress.tried.push(target.id.clone());
            let placed = (target.id.clone(), placement.clone());
            self.last_placed.replace(Some(placed));
            progress.placement = Some(placement.clone());
            let Some(exchange) = self.exchange(&target) else {
                return self.give_up(progress, &refused_after(Reason::BodySpent));
            };
            let outcome = attempt::send(&self.traffic, in_flight, exchange).await;
            metrics::counter!(metric::SENDS, "outcome" => name_of(&outcome)).increment(1);
            let next = match outcome {
                Outcome::Answered(answered) => self.after_answer(&mut progress, answered),
                Outcome::NotRun { status } => {
                    let why = format!("status {status}");
                    self.log_send(&target, &placement, true, why);
                    self.after_refusal(&mut progress)
                }
                Outcome::Failed(failure) => {
                    let why = failure.to_string();
                    self.log_send(&target, &placement, failure.not_run(), why);
                    if matches!(failure, Failure::Broken(_)) {
                        self.check_crash(&target, &placement).await;
                    }
                    self.after_failure(&mut progress, &failure)
                }
            };
            if let Next::Done(answer) = next {
                return answer;
            }
        }
    }

    /// Checks whether the upstream crashed while it ran this request.
    async fn check_crash(&self, target: &Target, placement: &Placement) {
        let check = attempt::check_crash(
            self.traffic.clone(),
            target.clone(),
            placement.at.clone(),
            text(&self.id),
            self.fingerprint,
        );
        // The spawned check continues after the deadline, or if the caller disconnects, so that the crash is recorded.
        let _ = timeout_at(self.deadline.into(), actix_rt::spawn(check)).await;
    }

    /// An answer is the caller's, unless it is a failure and another upstream may do better.
    fn after_answer(&self, progress: &mut Progress, answered: Box<Answered>) -> Next {
        let retry = answered.status.is_server_error()
            && self.route.kind.is_idempotent()
            && self.may_resend(progress.sends + 1);
        progress.sends += 1;
        progress.may_have_run = true;
        if !answered.status.is_server_error() {
            let crashes = &self.traffic.shared.channels.crashes;
            crashes.note_answer(self.fingerprint, self.traffic.now());
        }
        if !retry {
            let progress = std::mem::take(progress);
            return Next::Done(self.deliver(&progress, *answered));
        }
        progress.last = Some(Last::Answered(answered));
        Next::Again
    }

    /// The upstream did not run it.
    fn after_refusal(&self, progress: &mut Progress) -> Next {
        progress.sends += 1;
        progress.last.get_or_insert(Last::NotRun);
        if self.may_resend(progress.sends) {
            return Next::Again;
        }
        let progress = std::mem::take(progress);
        Next::Done(self.give_up(progress, &refused_after(Reason::UpstreamRefused)))
    }

    /// There was no answer.
    fn after_failure(&self, progress: &mut Progress, failure: &Failure) -> Next {
        let again = if failure.not_run() {
            self.in_time() && !self.body.is_spent()
        } else {
            progress.sends += 1;
            progress.may_have_run = true;
            let timeout = *failure == Failure::Timeout;
            progress.last = Some(Last::Failed { timeout });
            let whole = *failure != Failure::BodyTruncated;
            whole && self.route.kind.is_idempotent() && self.may_resend(progress.sends)
        };
        if again {
            return Next::Again;
        }
        let progress = std::mem::take(progress);
        Next::Done(self.give_up(progress, &refused_after(Reason::SendFailed)))
    }

    fn place(&self, tried: &[UpstreamId]) -> Placed {
        self.traffic.snapshot();
        let now = Instant::now();
        let target_at = self.received + self.route.latency_target;
        let need = Need {
            service: &self.service,
            route: &self.route,
            key: self.key,
            keyed: self.keyed,
            nonce: balance::affinity_hash(self.id.as_bytes()),
            target_left: target_at.saturating_duration_since(now),
            deadline_left: self.deadline.saturating_duration_since(now),
            tried,
        };
        let mut fleet = self.traffic.fleet.borrow_mut();
        fleet.place(&need, self.traffic.now())
    }

    fn in_time(&self) -> bool {
        self.deadline.saturating_duration_since(Instant::now()) > RESEND_LEFT
    }

    /// Whether one more send is allowed after `sends` that reached an upstream.
    fn may_resend(&self, sends: u32) -> bool {
        sends < self.route.max_attempts && self.in_time() && !self.body.is_spent() && {
            let mut fleet = self.traffic.fleet.borrow_mut();
            fleet.take_retry(&self.service, self.traffic.now())
        }
    }

    /// The request as it goes to one upstream.
    fn exchange(&mut self, target: &Target) -> Option<UpstreamRequest> {
        let body = self.body.next()?;
        let dialect = &self.traffic.shared.dialect;
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left_ms = HeaderValue::from(left.as_millis() as u64);
        self.headers.insert(dialect.deadline_ms.clone(), left_ms);
        let id = HeaderValue::from_maybe_shared(target.id.as_bytes().clone()).ok()?;
        self.headers.insert(dialect.target.clone(), id);
        let framing = match &body {
            RequestBody::Whole(bytes) if bytes.is_empty() && !expects_body(&self.method) => {
                Framing::None
            }
            RequestBody::Whole(bytes) => Framing::Length(bytes.len() as u64),
            RequestBody::Stream {
                length_bytes: Some(length),
                ..
            } => Framing::Length(*length),
            RequestBody::Stream { .. } => Framing::Chunked,
        };
        let head = request_head(&self.method, &self.path, &self.headers, framing);
        Some(UpstreamRequest {
            head: head.freeze(),
            body,
            echo: Some((
                dialect.request_id.clone(),
                Bytes::copy_from_slice(self.id.as_bytes()),
            )),
            head_only: self.method == Method::HEAD,
            deadline: self.deadline,
        })
    }
}

/// Nothing more can be done after a send.
fn refused_after(reason: Reason) -> Refused {
    Refused::new(reason, FAILED_RETRY)
}

fn name_of(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::NotRun { .. } => "not run",
        Outcome::Failed(Failure::NotSent(_) | Failure::Refused) => "not sent",
        Outcome::Failed(Failure::Withdrawn) => "withdrawn",
        Outcome::Failed(Failure::Timeout) => "timed out",
        Outcome::Failed(_) => "broken",
    }
}

/// Methods whose requests state a length even if it is zero.
fn expects_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

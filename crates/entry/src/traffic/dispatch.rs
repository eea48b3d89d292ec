//! Sends a request to upstreams, with retries, until there is a final response.
//!
//! A request that certainly did not run may be sent to another upstream, whether or not it is idempotent. One that may
//! have run is sent again only if it is idempotent. Each send after the first that reached an upstream is charged to
//! the retry budget. When no further send is possible, the caller gets a response at once. If no send may have run, the
//! response states that the request did not run and when to retry; otherwise it states neither.

use crate::{
    clock::millis,
    metric,
    traffic::{
        attempt::{
            self,
            InFlight,
            ReceivedResponse,
            SendOutcome, //
        },
        placement::{
            Placement,
            PlacementDecision,
            PlacementRequest,
            Rejection, //
        },
        request_log::{
            text,
            SendFailure, //
        },
        response::{
            FinalResponse,
            LastSend, //
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
    RegionId,
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
    Target,
    UpstreamRequest, //
};
use route::{
    Organisation,
    Route, //
};
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

/// Minimum `Retry-After` for a request that failed without having run.
const FAILURE_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Minimum time before the deadline for another send: one round trip and the shortest service time.
const RESEND_TIME_MIN: Duration = Duration::from_millis(40);

/// A request being dispatched, with the state shared by all its sends.
pub(super) struct Dispatch {
    pub(super) traffic: Rc<Traffic>,
    pub(super) route: Arc<Route>,
    /// Organisation of the caller, if it has one.
    pub(super) organisation: Option<Arc<Organisation>>,
    pub(super) service: ServiceId,
    pub(super) id: HeaderValue,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: BodySource,
    /// Identical for all attempts of a request, unlike the id.
    pub(super) fingerprint: Fingerprint,
    /// Hash of the affinity key, or of the id if there is none.
    pub(super) key: u64,
    pub(super) has_affinity_key: bool,
    pub(super) received: Instant,
    pub(super) deadline: Instant,
    /// If not set when the request is dropped, it is logged as cancelled.
    pub(super) has_final_response: Cell<bool>,
    /// The last upstream chosen, and the placement there.
    pub(super) last_placed: RefCell<Option<(UpstreamId, Placement)>>,
}

/// Source of the request body for each send.
pub(super) enum BodySource {
    /// A complete body, which can be sent any number of times.
    Buffered(Bytes),
    /// A streamed body, which can be sent once; `None` afterwards.
    Streamed(Option<RequestBody>),
}

impl BodySource {
    fn next_body(&mut self) -> Option<RequestBody> {
        match self {
            Self::Buffered(bytes) => Some(RequestBody::Whole(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    fn is_consumed(&self) -> bool {
        matches!(self, Self::Streamed(None))
    }
}

/// Results of the sends made so far.
#[derive(Default)]
pub(super) struct Progress {
    tried: Vec<UpstreamId>,
    /// Number of sends that reached an upstream.
    pub(super) sends: u32,
    pub(super) may_have_run: bool,
    pub(super) last: Option<LastSend>,
    /// Placement at the last upstream chosen.
    pub(super) placement: Option<Placement>,
}

impl Progress {
    /// Returns the last upstream chosen.
    pub(super) fn upstream(&self) -> Option<&UpstreamId> {
        self.tried.last()
    }
}

/// Whether to send the request again.
enum NextStep {
    Retry,
    Done(FinalResponse),
}

impl Dispatch {
    /// Sends the request until there is a response or no further send is possible.
    pub(super) async fn run(mut self) -> FinalResponse {
        let mut progress = Progress::default();
        loop {
            let crashes = &self.traffic.shared.channels.crashes;
            if let Some(remaining) = crashes.remaining(self.fingerprint, self.traffic.now()) {
                return self.give_up(progress, &Rejection::new(Reason::Quarantined, remaining));
            }
            let (target, placement) = match self.place(&progress.tried) {
                PlacementDecision::Send { target, placement } => (target, *placement),
                PlacementDecision::Reject(rejection) => return self.give_up(progress, &rejection),
            };
            let in_flight = InFlight::new(&self.traffic, &target, placement.clone());
            progress.tried.push(target.id.clone());
            let placed = (target.id.clone(), placement.clone());
            self.last_placed.replace(Some(placed));
            progress.placement = Some(placement.clone());
            let Some(upstream_request) = self.build_request(&target) else {
                return self.give_up(progress, &self.rejection_after_send(Reason::BodySpent));
            };
            let outcome = attempt::send(&self.traffic, in_flight, upstream_request).await;
            metrics::counter!(metric::SENDS, "outcome" => outcome_label(&outcome)).increment(1);
            let next = match outcome {
                SendOutcome::Answered(response) => self.after_response(&mut progress, response),
                SendOutcome::NotRun {
                    status,
                    retry_after,
                } => {
                    let failure = SendFailure {
                        not_run: true,
                        why: format!("status {status}"),
                        retry_after,
                    };
                    self.log_failed_send(&target, &placement, failure);
                    self.after_refusal(&mut progress)
                }
                SendOutcome::Failed(failure) => {
                    let logged = SendFailure {
                        not_run: failure.not_run(),
                        why: failure.to_string(),
                        retry_after: None,
                    };
                    self.log_failed_send(&target, &placement, logged);
                    if matches!(failure, Failure::Broken(_)) {
                        self.check_crash(&target, &placement).await;
                    }
                    self.after_failure(&mut progress, &failure)
                }
            };
            if let NextStep::Done(final_response) = next {
                return final_response;
            }
        }
    }

    /// Checks whether the upstream crashed while it ran this request.
    async fn check_crash(&self, target: &Target, placement: &Placement) {
        let check = attempt::check_crash(
            self.traffic.clone(),
            target.clone(),
            placement.incarnation.clone(),
            text(&self.id),
            self.fingerprint,
        );
        // The spawned check continues after the deadline, or if the caller disconnects, so that the crash is recorded.
        let _ = timeout_at(self.deadline.into(), actix_rt::spawn(check)).await;
    }

    /// Forwards a response to the caller, or retries if it is a server error and the request may be sent again.
    fn after_response(&self, progress: &mut Progress, response: Box<ReceivedResponse>) -> NextStep {
        let retry = response.status.is_server_error()
            && self.route.kind.is_idempotent()
            && self.may_resend(progress.sends + 1);
        progress.sends += 1;
        progress.may_have_run = true;
        if !response.status.is_server_error() {
            let crashes = &self.traffic.shared.channels.crashes;
            crashes.note_response(self.fingerprint, self.traffic.now());
        }
        if !retry {
            let progress = std::mem::take(progress);
            return NextStep::Done(self.forward_response(&progress, *response));
        }
        progress.last = Some(LastSend::Answered(response));
        NextStep::Retry
    }

    /// Retries after an upstream refused to run the request, if possible.
    fn after_refusal(&self, progress: &mut Progress) -> NextStep {
        progress.sends += 1;
        progress.last.get_or_insert(LastSend::NotRun);
        if self.may_resend(progress.sends) {
            return NextStep::Retry;
        }
        let progress = std::mem::take(progress);
        NextStep::Done(self.give_up(
            progress,
            &self.rejection_after_send(Reason::UpstreamRefused),
        ))
    }

    /// Retries after a send without a response, if possible.
    fn after_failure(&self, progress: &mut Progress, failure: &Failure) -> NextStep {
        let retry = if failure.not_run() {
            self.has_time_left() && !self.body.is_consumed()
        } else {
            progress.sends += 1;
            progress.may_have_run = true;
            let timeout = *failure == Failure::Timeout;
            progress.last = Some(LastSend::Failed { timeout });
            let whole = *failure != Failure::BodyTruncated;
            whole && self.route.kind.is_idempotent() && self.may_resend(progress.sends)
        };
        if retry {
            return NextStep::Retry;
        }
        let progress = std::mem::take(progress);
        NextStep::Done(self.give_up(progress, &self.rejection_after_send(Reason::SendFailed)))
    }

    fn place(&self, tried: &[UpstreamId]) -> PlacementDecision {
        self.traffic.refresh();
        let now = Instant::now();
        let target_at = self.received + self.route.latency_target;
        let request = PlacementRequest {
            service: &self.service,
            route: &self.route,
            organisation_homes: self.organisation_homes(),
            key: self.key,
            has_affinity_key: self.has_affinity_key,
            target_left: target_at.saturating_duration_since(now),
            deadline_left: self.deadline.saturating_duration_since(now),
            tried,
        };
        let mut fleet = self.traffic.fleet.borrow_mut();
        fleet.place(&request, self.traffic.now())
    }

    /// Gives back to the quota of the organisation what a request has taken that did not run.
    pub(super) fn refund_quota(&self) {
        if let Some(organisation) = &self.organisation {
            let mut quotas = self.traffic.quotas.borrow_mut();
            quotas.refund(&organisation.id, self.traffic.now());
        }
    }

    /// Returns the rejection of a request that can't be sent again.
    fn rejection_after_send(&self, reason: Reason) -> Rejection {
        let fleet = self.traffic.fleet.borrow();
        let homes = [&self.route.homes[..], self.organisation_homes()];
        let pause_left = fleet.pause_left(&self.service, homes, self.traffic.now());
        Rejection::new(reason, pause_left.max(FAILURE_RETRY_AFTER))
    }

    /// Returns the regions that may serve the requests of its organisation; empty means all.
    fn organisation_homes(&self) -> &[RegionId] {
        self.organisation.as_ref().map_or(&[], |one| &one.homes)
    }

    fn has_time_left(&self) -> bool {
        self.deadline.saturating_duration_since(Instant::now()) > RESEND_TIME_MIN
    }

    /// Returns whether another send is allowed after `sends` sends that reached an upstream. If so, it is charged to the
    /// retry budget.
    fn may_resend(&self, sends: u32) -> bool {
        sends < self.route.max_attempts && self.has_time_left() && !self.body.is_consumed() && {
            let mut fleet = self.traffic.fleet.borrow_mut();
            fleet.try_take_retry(&self.service, self.traffic.now())
        }
    }

    /// Builds the request for one upstream. Returns `None` if the body can't be sent again.
    fn build_request(&mut self, target: &Target) -> Option<UpstreamRequest> {
        let body = self.body.next_body()?;
        let dialect = &self.traffic.shared.dialect;
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left_ms = HeaderValue::from(millis(left));
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

/// Returns the metric label of an outcome.
fn outcome_label(outcome: &SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::Answered(_) => "answered",
        SendOutcome::NotRun { .. } => "not run",
        SendOutcome::Failed(Failure::NotSent(_) | Failure::Refused) => "not sent",
        SendOutcome::Failed(Failure::Withdrawn) => "withdrawn",
        SendOutcome::Failed(Failure::Timeout) => "timed out",
        SendOutcome::Failed(_) => "broken",
    }
}

/// Returns whether requests of this method state a length even if it is zero.
fn expects_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

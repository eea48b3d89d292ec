//! Sends a request to upstreams, with retries, until there is a final response.
//!
//! A request that certainly did not run may be sent to another upstream, whether or not it is idempotent. One that may
//! have run is sent again only if it is idempotent. Each send after the first that reached an upstream is charged to
//! the retry budget. When no further send is possible, the caller gets a response at once. If no send may have run, the
//! response states that the request did not run and when to retry; otherwise it states neither.
//!
//! While this entry reaches no upstream, the request is relayed through another entry instead (`relay`).

use crate::{
    clock::millis,
    metric,
    traffic::{
        attempt::{
            self,
            InFlight,
            ReceivedResponse,
            SendOutcome,
            SendState, //
        },
        hedge::{
            EndedSend,
            PreparedSend, //
        },
        path::SendPermit,
        placement::{
            Placement,
            PlacementDecision,
            PlacementRequest,
            Rejection, //
        },
        plan::Origin,
        request_log::text,
        response::{
            FinalResponse,
            LastSend, //
        },
        waiting::PlacementOutcome,
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
use actix_rt::task::JoinHandle;
use base::{
    InstanceId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use bytes::Bytes;
use event::{
    HedgeOutcome,
    QueueWait,
    Reason, //
};
use quarantine::Fingerprint;
use relay::{
    request_head,
    BodyHold,
    Echo,
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
    future::Future,
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
/// `Retry-After` of an entry that reaches neither an upstream nor an entry that does; the caller should use another one.
const PARTITIONED_RETRY_AFTER: Duration = Duration::from_millis(50);
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
    /// Memory held for the body.
    #[expect(dead_code, reason = "held for its drop")]
    pub(super) body_hold: Rc<BodyHold>,
    /// Identical for all attempts of a request, unlike the id.
    pub(super) fingerprint: Fingerprint,
    /// Hash of the affinity key, or of the id if there is none.
    pub(super) key: u64,
    pub(super) has_affinity_key: bool,
    pub(super) received: Instant,
    pub(super) deadline: Instant,
    pub(super) origin: Origin,
    /// Whether it counts in the retry budget of an entry.
    pub(super) is_counted: bool,
    /// If not set when the request is dropped, it is logged as cancelled.
    pub(super) has_final_response: Cell<bool>,
    /// The last upstream chosen, and the placement there.
    pub(super) last_placed: RefCell<Option<(UpstreamId, Placement)>>,
    /// How long it waited at this entry.
    pub(super) waited: Cell<Option<QueueWait>>,
}

/// Source of the request body for each send.
pub(super) enum BodySource {
    /// A complete body, which can be sent any number of times.
    Buffered(Bytes),
    /// A streamed body, which can be sent once; `None` afterwards.
    Streamed(Option<RequestBody>),
}

impl BodySource {
    pub(super) fn next_body(&mut self) -> Option<RequestBody> {
        match self {
            Self::Buffered(bytes) => Some(RequestBody::Whole(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    pub(super) fn is_consumed(&self) -> bool {
        matches!(self, Self::Streamed(None))
    }

    pub(super) fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}

/// Results of the sends made so far.
#[derive(Default)]
pub(super) struct Progress {
    /// Upstreams chosen; the last is the one that decided how to go on.
    pub(super) tried: Vec<UpstreamId>,
    /// Number of sends that reached an upstream.
    pub(super) sends: u32,
    pub(super) may_have_run: bool,
    pub(super) last: Option<LastSend>,
    /// Placement at the last upstream chosen.
    pub(super) placement: Option<Placement>,
    /// The entry that the request was last relayed to.
    pub(super) via: Option<InstanceId>,
    /// How the last pair of sends ended, if the request was hedged.
    pub(super) hedge: Option<HedgeOutcome>,
}

impl Progress {
    /// Counts a send that the upstream stated not to have run.
    pub(super) fn note_not_run(&mut self) {
        self.sends += 1;
        self.last.get_or_insert(LastSend::NotRun);
    }

    /// Counts a send without a response, if it reached the upstream.
    pub(super) fn note_failure(&mut self, failure: &Failure) {
        if failure.not_run() {
            return;
        }
        self.sends += 1;
        self.may_have_run = true;
        let timeout = *failure == Failure::Timeout;
        self.last = Some(LastSend::Failed { timeout });
    }

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
        let mut progress = Progress {
            sends: self.sends_before(),
            ..Progress::default()
        };
        loop {
            let crashes = &self.traffic.shared.channels.crashes;
            if let Some(remaining) = crashes.remaining(self.fingerprint, self.traffic.now()) {
                return self.give_up(progress, &Rejection::new(Reason::Quarantined, remaining));
            }
            let Some(permit) = self.traffic.admit(self.route.kind.is_idempotent()) else {
                let rejection = Rejection::new(Reason::Partitioned, PARTITIONED_RETRY_AFTER);
                return self.relay(progress, rejection).await;
            };
            self.count_in_budget();
            let (target, placement) = match self.place_in_turn(&progress).await {
                PlacementOutcome::Send { target, placement } => (target, *placement),
                // The next pass relays the request.
                PlacementOutcome::PathCut => continue,
                PlacementOutcome::Reject(rejection) => {
                    drop(permit);
                    if self.traffic.may_be_partitioned() {
                        return self.relay(progress, rejection).await;
                    }
                    return self.give_up(progress, &rejection);
                }
            };
            let Some(send) = self.start_send(&mut progress, target, placement, permit) else {
                return self.give_up(progress, &self.rejection_after_send(Reason::BodySpent));
            };
            let EndedSend {
                target,
                placement,
                outcome,
            } = self.send_hedged(&mut progress, send).await;
            self.log_failed_outcome(&target, &placement, &outcome);
            metrics::counter!(metric::SENDS, "outcome" => outcome_label(&outcome)).increment(1);
            let next = match outcome {
                SendOutcome::Answered(response) => self.after_response(&mut progress, response),
                SendOutcome::NotRun { .. } => self.after_refusal(&mut progress),
                SendOutcome::Failed(failure) => {
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

    /// Awaits a send, but gives it up once this entry loses all upstreams if the request may then be sent another way: it
    /// has not been sent yet, or it may run twice.
    pub(super) async fn until_partitioned<T>(
        &self,
        send: impl Future<Output = T>,
        state: &SendState,
    ) -> Result<T, Failure> {
        tokio::pin!(send);
        loop {
            tokio::select! {
                biased;
                outcome = &mut send => return Ok(outcome),
                () = self.traffic.path_cut.notified() => {}
            }
            if !state.is_sent() {
                return Err(Failure::Withdrawn);
            }
            let is_silent = self.traffic.reach.borrow().is_silent(self.traffic.now());
            if is_silent && self.route.kind.is_idempotent() && !self.body.is_consumed() {
                return Err(Failure::Abandoned);
            }
        }
    }

    /// Adds the request to the requests for its service that the retry budget depends on, once.
    fn count_in_budget(&mut self) {
        if !std::mem::replace(&mut self.is_counted, true) {
            let mut fleet = self.traffic.fleet.borrow_mut();
            fleet.note_request(&self.service, self.traffic.now());
        }
    }

    /// Returns whether another entry has relayed the request to this one.
    pub(super) fn is_relayed(&self) -> bool {
        matches!(self.origin, Origin::Entry(_))
    }

    /// Returns the entry that has relayed the request to this one.
    pub(super) fn relayed_by(&self) -> Option<&InstanceId> {
        match &self.origin {
            Origin::Caller => None,
            Origin::Entry(relayed) => Some(&relayed.from),
        }
    }

    /// Returns the number of sends that reached an upstream before this entry got the request.
    fn sends_before(&self) -> u32 {
        match &self.origin {
            Origin::Caller => 0,
            Origin::Entry(relayed) => relayed.sends,
        }
    }

    /// Checks whether the upstream crashed while it ran this request.
    async fn check_crash(&self, target: &Target, placement: &Placement) {
        let check = self.spawn_crash_check(target, placement);
        let _ = timeout_at(self.deadline.into(), check).await;
    }

    /// Spawns that check, which continues after the deadline, or if the caller disconnects, so that the crash is
    /// recorded.
    pub(super) fn spawn_crash_check(
        &self,
        target: &Target,
        placement: &Placement,
    ) -> JoinHandle<()> {
        let check = attempt::check_crash(
            self.traffic.clone(),
            target.clone(),
            placement.incarnation.clone(),
            text(&self.id),
            self.fingerprint,
        );
        actix_rt::spawn(check)
    }

    /// Forwards a response to the caller, or retries if it is a server error and the request may be sent again.
    fn after_response(&self, progress: &mut Progress, response: Box<ReceivedResponse>) -> NextStep {
        if self.is_untrue(response.status) {
            return self.after_untrue_response(progress);
        }
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

    /// Ends a request whose upstream responded with a status that would be a false statement to the caller.
    fn after_untrue_response(&self, progress: &mut Progress) -> NextStep {
        progress.sends += 1;
        progress.may_have_run = true;
        progress.last = Some(LastSend::Failed { timeout: false });
        let progress = std::mem::take(progress);
        NextStep::Done(self.give_up(progress, &self.rejection_after_send(Reason::SendFailed)))
    }

    /// Retries after an upstream refused to run the request, if possible.
    fn after_refusal(&self, progress: &mut Progress) -> NextStep {
        progress.note_not_run();
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
        progress.note_failure(failure);
        let retry = if failure.not_run() {
            self.has_time_left() && !self.body.is_consumed()
        } else {
            let whole = *failure != Failure::BodyTruncated;
            whole && self.route.kind.is_idempotent() && self.may_resend(progress.sends)
        };
        if retry {
            return NextStep::Retry;
        }
        let progress = std::mem::take(progress);
        NextStep::Done(self.give_up(progress, &self.rejection_after_send(Reason::SendFailed)))
    }

    /// Selects the upstream for a second send, beside one that was placed at `pending` and has had no response for `elapsed`.
    pub(super) fn place_hedge(
        &self,
        tried: &[UpstreamId],
        pending: &Placement,
        elapsed: Duration,
    ) -> PlacementDecision {
        self.traffic.refresh();
        let now = Instant::now();
        let target_at = self.received + self.route.latency_target;
        let target_left = target_at.saturating_duration_since(now);
        let deadline_left = self.deadline.saturating_duration_since(now);
        let mut fleet = self.traffic.fleet.borrow_mut();
        let pending = fleet.pending_send(pending, elapsed, target_left, deadline_left);
        let request = PlacementRequest {
            service: &self.service,
            route: &self.route,
            organisation_homes: self.organisation_homes(),
            key: self.key,
            has_affinity_key: self.has_affinity_key,
            target_left,
            deadline_left,
            tried,
            pending: Some(pending),
            wait_max: None,
            may_probe: false,
        };
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
    pub(super) fn organisation_homes(&self) -> &[RegionId] {
        self.organisation.as_ref().map_or(&[], |one| &one.homes)
    }

    fn has_time_left(&self) -> bool {
        self.deadline.saturating_duration_since(Instant::now()) > RESEND_TIME_MIN
    }

    /// Returns whether another send is allowed after `sends` sends that reached an upstream. If so, it is charged to the
    /// retry budget.
    pub(super) fn may_resend(&self, sends: u32) -> bool {
        self.may_send_after(sends) && {
            let mut fleet = self.traffic.fleet.borrow_mut();
            fleet.try_take_retry(&self.service, self.traffic.now())
        }
    }

    /// Returns whether another send is possible after `sends` sends that reached an upstream, apart from the retry budget.
    pub(super) fn may_send_after(&self, sends: u32) -> bool {
        sends < self.route.max_attempts && self.has_time_left() && !self.body.is_consumed()
    }

    /// Takes ownership of the counts that [`super::fleet::Fleet::place`] added, and builds the request. Returns `None` if
    /// the body can't be sent again.
    pub(super) fn start_send(
        &mut self,
        progress: &mut Progress,
        target: Target,
        placement: Placement,
        permit: SendPermit,
    ) -> Option<PreparedSend> {
        let in_flight = InFlight::new(&self.traffic, &target, placement.clone(), permit);
        progress.tried.push(target.id.clone());
        let placed = (target.id.clone(), placement.clone());
        self.last_placed.replace(Some(placed));
        progress.placement = Some(placement.clone());
        let upstream_request = self.build_request(&target)?;
        Some(PreparedSend {
            target,
            placement,
            in_flight,
            upstream_request,
        })
    }

    /// Builds the request for one upstream. Returns `None` if the body can't be sent again.
    fn build_request(&mut self, target: &Target) -> Option<UpstreamRequest> {
        let body = self.body.next_body()?;
        let dialect = &self.traffic.shared.dialect;
        let left_ms = self.deadline_header();
        self.headers.insert(dialect.deadline_ms.clone(), left_ms);
        let id = HeaderValue::from_maybe_shared(target.id.as_bytes().clone()).ok()?;
        self.headers.insert(dialect.target.clone(), id);
        Some(self.encode(&self.headers, body))
    }

    /// Encodes the request with these headers.
    pub(super) fn encode(&self, headers: &HeaderMap, body: RequestBody) -> UpstreamRequest {
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
        let head = request_head(&self.method, &self.path, headers, framing);
        UpstreamRequest {
            head: head.freeze(),
            body,
            echo: Some(Echo {
                name: self.traffic.shared.dialect.request_id.clone(),
                id: Bytes::copy_from_slice(self.id.as_bytes()),
                is_consistent: true,
            }),
            head_only: self.method == Method::HEAD,
            deadline: self.deadline,
        }
    }

    /// Returns the time left until the deadline as a header value, in milliseconds.
    pub(super) fn deadline_header(&self) -> HeaderValue {
        let left = self.deadline.saturating_duration_since(Instant::now());
        HeaderValue::from(millis(left))
    }
}

/// Returns the metric label of an outcome.
pub(super) fn outcome_label(outcome: &SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::Answered(_) => "answered",
        SendOutcome::NotRun { .. } => "not run",
        SendOutcome::Failed(Failure::NotSent(_) | Failure::Refused) => "not sent",
        SendOutcome::Failed(Failure::Withdrawn) => "withdrawn",
        SendOutcome::Failed(Failure::Timeout) => "timed out",
        SendOutcome::Failed(Failure::Abandoned) => "abandoned",
        SendOutcome::Failed(_) => "broken",
    }
}

/// Returns whether requests of this method state a length even if it is zero.
fn expects_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

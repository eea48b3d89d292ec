//! Sends a request once to one upstream and reports whether it may have run.

use crate::{
    metric,
    traffic::{
        path::{
            reaches_other_upstream,
            SendPermit, //
        },
        placement::{
            Incarnation,
            Placement, //
        },
        request_log::hex,
        signals::Signals,
        stream::StreamGuard,
        Traffic, //
    },
};
use actix_http::{
    header::HeaderMap,
    StatusCode, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use bytestring::ByteString;
use event::{
    emit,
    Event, //
};
use picture::Departure;
use quarantine::Fingerprint;
use relay::{
    BodyHold,
    BodyReader,
    Failure,
    Target,
    TruncatedBody,
    UpstreamRequest,
    UpstreamResponse, //
};
use std::{
    cell::Cell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Longest response body that is buffered completely before it is forwarded, so that the request can be retried if the
/// body breaks off. A longer body is streamed.
pub(super) const BUFFERED_BODY_BYTES_MAX: usize = 256 << 10;

/// Length up to which a response body is buffered completely even if there is no more memory for bodies.
const SMALL_BODY_BYTES: usize = 8 << 10;

/// Timeout of the connection attempt that checks whether an upstream has crashed. Covers a round trip to the farthest
/// region, including jitter.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// How far a send has come.
#[derive(Default)]
pub(super) struct SendState {
    is_sent: Cell<bool>,
    /// Whether the head of the response has arrived, or the send has ended without it.
    has_ended_wait: Cell<bool>,
}

impl SendState {
    /// Returns whether the request has been sent.
    pub(super) fn is_sent(&self) -> bool {
        self.is_sent.get()
    }

    /// Returns whether the request has been sent and the head of the response hasn't arrived.
    pub(super) fn awaits_response(&self) -> bool {
        self.is_sent.get() && !self.has_ended_wait.get()
    }
}

/// Guard that counts a request as in flight at an upstream until it is dropped.
pub(super) struct InFlight {
    traffic: Rc<Traffic>,
    target: Target,
    placement: Placement,
    chosen_at: Instant,
    /// Whether the request counts as waiting at a restricted upstream; cleared when it is sent.
    is_waiting: Cell<bool>,
    state: Rc<SendState>,
    permit: SendPermit,
}

impl InFlight {
    /// Takes ownership of the counts that [`super::fleet::Fleet::place`] added.
    pub(super) fn new(
        traffic: &Rc<Traffic>,
        target: &Target,
        placement: Placement,
        permit: SendPermit,
    ) -> Self {
        traffic.reach.borrow_mut().note_sent(traffic.now());
        Self {
            traffic: traffic.clone(),
            target: target.clone(),
            chosen_at: Instant::now(),
            is_waiting: Cell::new(placement.restricted),
            placement,
            state: Rc::default(),
            permit,
        }
    }

    /// Returns the state of the send.
    pub(super) fn state(&self) -> Rc<SendState> {
        self.state.clone()
    }

    /// Records the head of the response.
    fn note_response(&self) {
        self.traffic.note_contact();
        self.end_wait();
    }

    fn end_wait(&self) {
        if !self.state.has_ended_wait.replace(true) {
            self.traffic.reach.borrow_mut().note_ended();
        }
    }

    /// Returns whether the request may still be sent to its upstream, once a connection is open.
    fn may_send(&self) -> bool {
        // The upstream's state may have changed since it was chosen.
        self.traffic.refresh_snapshot();
        let mut fleet = self.traffic.fleet.borrow_mut();
        let wait = self.chosen_at.elapsed();
        metrics::histogram!(metric::SEND_WAIT_SECONDS).record(wait.as_secs_f64());
        let is_waiting = self.is_waiting.replace(false);
        let now = self.traffic.now();
        let may_send = fleet.may_send(&self.placement.incarnation, is_waiting, now);
        self.state.is_sent.set(may_send);
        may_send
    }
}

impl StreamGuard for InFlight {
    fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    fn source(&self) -> &ByteString {
        &self.target.id
    }

    fn note_end(&self, is_whole: bool) {
        let now = self.traffic.now();
        let mut fleet = self.traffic.fleet.borrow_mut();
        let incarnation = &self.placement.incarnation;
        if is_whole {
            fleet.note_streamed(incarnation, now);
        } else {
            fleet.note_failure(incarnation, false, now);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut fleet = self.traffic.fleet.borrow_mut();
        fleet.note_finished(&self.placement.incarnation, self.is_waiting.get());
        if !self.state.is_sent() {
            fleet.note_not_run(&self.placement);
        }
        drop(fleet);
        self.end_wait();
        self.traffic.note_room(&self.placement.incarnation.service);
    }
}

/// Checks whether an upstream whose connection broke has crashed, and records the crash if new connections to it are
/// refused and those to another upstream are not.
pub(super) async fn check_crash(
    traffic: Rc<Traffic>,
    target: Target,
    incarnation: Incarnation,
    id: String,
    request: Fingerprint,
) {
    let deadline = Instant::now() + CRASH_CHECK_TIMEOUT;
    if traffic.pool.open(&target, deadline).await != Err(Failure::Refused) {
        return;
    }
    // A partition breaks and refuses connections, too.
    if !reaches_other_upstream(&traffic, &target).await {
        return;
    }
    let now = traffic.now();
    traffic.fleet.borrow_mut().note_exit(&incarnation, now);
    metrics::counter!(metric::CRASHES).increment(1);
    let upstream = quarantine::incarnation_hash(&incarnation.id, incarnation.started_ms);
    let quarantined = traffic
        .shared
        .channels
        .crashes
        .note_crash(request, upstream, now);
    let fingerprint = hex(request);
    if traffic.log_limiter.try_take(true, now) {
        emit(&Event::UpstreamCrashed {
            id,
            fingerprint: fingerprint.clone(),
            upstream: incarnation.id,
            service: incarnation.service,
        });
    }
    if quarantined {
        let from = traffic.shared.settings.instance.to_string();
        emit(&Event::RequestQuarantined { fingerprint, from });
    }
}

/// Response received from an upstream.
pub(super) struct ReceivedResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) length_bytes: Option<u64>,
    pub(super) body: ReceivedBody,
    /// Memory held for the body.
    pub(super) body_hold: Rc<BodyHold>,
}

/// Body of a response received from an upstream.
pub(super) enum ReceivedBody {
    /// A complete body.
    Complete(Bytes),
    /// A long body: the data read so far, the reader of the rest, and the guard to keep until it ends.
    Partial {
        prefix: Bytes,
        rest: Box<BodyReader>,
        guard: Box<dyn StreamGuard>,
    },
}

/// Result of one send.
pub(super) enum SendOutcome {
    /// The upstream responded.
    Answered(Box<ReceivedResponse>),
    /// The upstream states that it did not run the request.
    NotRun {
        /// Status of its response.
        status: u16,
        /// Time for which it accepts no further requests from this entry, if stated.
        retry_after: Option<Duration>,
    },
    /// There was no complete response.
    Failed(Failure),
}

/// Sends a request once.
pub(super) async fn send(
    traffic: &Rc<Traffic>,
    in_flight: InFlight,
    upstream_request: UpstreamRequest,
) -> SendOutcome {
    let (incarnation, target) = (
        in_flight.placement.incarnation.clone(),
        in_flight.target.clone(),
    );
    let deadline = upstream_request.deadline;
    let sent = Instant::now();
    let may_send = || in_flight.may_send();
    let response = match traffic
        .pool
        .exchange(&target, upstream_request, may_send)
        .await
    {
        Ok(response) => response,
        Err(failure) => {
            if !matches!(failure, Failure::BodyTruncated | Failure::Withdrawn) {
                in_flight.permit.note_failed();
                traffic.reach.borrow_mut().note_failed(traffic.now());
            }
            if failure == Failure::Timeout && in_flight.state.awaits_response() {
                let mut fleet = traffic.fleet.borrow_mut();
                fleet.note_timeout(&in_flight.placement, sent.elapsed());
            }
            note_failure(traffic, &incarnation, &failure);
            return SendOutcome::Failed(failure);
        }
    };
    in_flight.note_response();
    let dialect = &traffic.shared.dialect;
    let status = response.status;
    let signals = Signals::parse(dialect, status, &response.headers);
    let head_at = traffic.now();
    if let Some(signals) = &signals {
        note_signals(traffic, &in_flight.placement, signals);
    }
    let not_run = response.headers.contains_key(&dialect.not_run);
    if not_run || status == StatusCode::MISDIRECTED_REQUEST {
        let mut fleet = traffic.fleet.borrow_mut();
        if status == StatusCode::MISDIRECTED_REQUEST {
            // Another incarnation has the address, so this one has ended.
            fleet.close(&incarnation, "another incarnation has its address");
        } else {
            fleet.note_failure(&incarnation, false, traffic.now());
            fleet.note_not_run(&in_flight.placement);
        }
        return SendOutcome::NotRun {
            status: status.as_u16(),
            retry_after: signals.and_then(|signals| signals.retry_after),
        };
    }
    if status.is_success() && !response.headers.contains_key(&dialect.seal) {
        let failure = Failure::Malformed("a success without the upstream's seal".to_owned());
        note_failure(traffic, &incarnation, &failure);
        return SendOutcome::Failed(failure);
    }
    if !status.is_server_error() {
        let mut fleet = traffic.fleet.borrow_mut();
        fleet.note_response_head(&in_flight.placement, sent.elapsed(), traffic.now());
    }
    let UpstreamResponse {
        headers,
        length_bytes,
        mut body,
        ..
    } = response;
    let hold = Rc::new(traffic.body_memory.hold());
    let prefix = match read_buffered(&mut body, deadline, &hold).await {
        Ok(Buffered::Complete(bytes)) => bytes,
        Ok(Buffered::Prefix(prefix)) => {
            let placement = &in_flight.placement;
            traffic.fleet.borrow_mut().note_stream_started(placement);
            let body = ReceivedBody::Partial {
                prefix,
                rest: Box::new(body),
                guard: Box::new(in_flight),
            };
            return received(status, headers, length_bytes, body, hold);
        }
        Err(cut) => {
            let failure = Failure::Broken(cut.to_string());
            note_failure(traffic, &incarnation, &failure);
            return SendOutcome::Failed(failure);
        }
    };
    let mut fleet = traffic.fleet.borrow_mut();
    if status.is_server_error() {
        fleet.note_failure(&incarnation, false, traffic.now());
    } else {
        let speed = signals.and_then(|signals| signals.speed(head_at));
        let placement = &in_flight.placement;
        fleet.note_response(placement, speed, sent.elapsed(), traffic.now());
    }
    drop(fleet);
    received(
        status,
        headers,
        length_bytes,
        ReceivedBody::Complete(prefix),
        hold,
    )
}

/// What was read of a body.
pub(super) enum Buffered {
    /// All of it.
    Complete(Bytes),
    /// The beginning of a long one.
    Prefix(Bytes),
}

/// Reads a body that is short enough to be buffered, or the beginning of a longer one, or of any while there is no more
/// memory for bodies: a response is delivered in any case, then part by part.
pub(super) async fn read_buffered(
    body: &mut BodyReader,
    deadline: Instant,
    hold: &BodyHold,
) -> Result<Buffered, TruncatedBody> {
    let mut prefix = BytesMut::new();
    while prefix.len() <= BUFFERED_BODY_BYTES_MAX {
        match body.next(deadline).await? {
            Some(data) => prefix.extend_from_slice(&data),
            None => return Ok(Buffered::Complete(prefix.freeze())),
        }
        let read_bytes = prefix.len() as u64;
        let is_held = hold.try_grow_to(read_bytes);
        if !is_held {
            hold.grow(read_bytes - hold.bytes());
        }
        if !is_held && prefix.len() > SMALL_BODY_BYTES {
            break;
        }
    }
    Ok(Buffered::Prefix(prefix.freeze()))
}

fn received(
    status: StatusCode,
    headers: HeaderMap,
    length_bytes: Option<u64>,
    body: ReceivedBody,
    body_hold: Rc<BodyHold>,
) -> SendOutcome {
    SendOutcome::Answered(Box::new(ReceivedResponse {
        status,
        headers,
        length_bytes,
        body,
        body_hold,
    }))
}

/// Records what the head of a response states.
fn note_signals(traffic: &Traffic, placement: &Placement, signals: &Signals) {
    let now = traffic.now();
    let incarnation = &placement.incarnation;
    let mut fleet = traffic.fleet.borrow_mut();
    if let Some(reported) = signals.load {
        fleet.note_load(placement, reported, now);
    }
    if signals.is_leaving && fleet.note_leaving(incarnation) {
        traffic.shared.channels.departures.push(Departure {
            upstream: incarnation.id.clone(),
            started_ms: incarnation.started_ms,
        });
    }
    if let Some(pause) = signals.retry_after {
        fleet.note_pause(incarnation, pause, now);
    }
    let limit_changed = fleet.note_limit(incarnation, signals.limit_per_s);
    drop(fleet);
    if limit_changed {
        let limits = &traffic.shared.channels.limits;
        limits.note(
            &incarnation.id,
            incarnation.started_ms,
            signals.limit_per_s,
            now,
        );
    }
}

fn note_failure(traffic: &Traffic, incarnation: &Incarnation, failure: &Failure) {
    let now = traffic.now();
    let mut fleet = traffic.fleet.borrow_mut();
    match failure {
        Failure::BodyTruncated | Failure::Withdrawn => {}
        Failure::Refused => fleet.note_exit(incarnation, now),
        Failure::NotSent(_) => fleet.note_failure(incarnation, true, now),
        _ => fleet.note_failure(incarnation, false, now),
    }
}

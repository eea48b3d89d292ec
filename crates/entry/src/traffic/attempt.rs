//! One send to one upstream, and what is known of the run afterwards.

use crate::{
    dialect::Dialect,
    metric,
    traffic::{
        log::hex,
        placement::{
            Incarnation,
            Placement, //
        },
        Traffic, //
    },
};
use actix_http::{
    header::HeaderMap,
    StatusCode, //
};
use balance::LoadReport;
use base::UpstreamId;
use bytes::{
    Bytes,
    BytesMut, //
};
use event::{
    emit,
    Event, //
};
use quarantine::Fingerprint;
use relay::{
    BodyReader,
    Failure,
    Target, //
    UpstreamRequest,
    UpstreamResponse,
};
use std::{
    cell::Cell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Longest answer that is held whole before its first byte goes to the caller. One that breaks off
/// can then be asked for again; a longer one is passed on as it comes.
const WHOLE_ANSWER_BYTES: usize = 256 << 10;

/// Timeout of the connection attempt that checks whether an upstream has crashed. Covers a round trip to the farthest
/// region, including jitter.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// A request in flight at an upstream, until it is dropped.
pub(super) struct InFlight {
    traffic: Rc<Traffic>,
    target: Target,
    placement: Placement,
    chosen_at: Instant,
    /// Whether it counts as waiting at a restricted upstream; cleared when it is sent.
    waits: Cell<bool>,
}

impl InFlight {
    /// Takes over what [`super::fleet::Fleet::place`] counted.
    pub(super) fn new(traffic: &Rc<Traffic>, target: &Target, placement: Placement) -> Self {
        Self {
            traffic: traffic.clone(),
            target: target.clone(),
            chosen_at: Instant::now(),
            waits: Cell::new(placement.restricted),
            placement,
        }
    }

    pub(super) fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    pub(super) fn upstream(&self) -> &UpstreamId {
        &self.target.id
    }

    /// Whether its upstream may have it now, when a connection stands.
    fn may_send(&self) -> bool {
        // What has come since the choice counts, too.
        self.traffic.follow_control();
        let mut fleet = self.traffic.fleet.borrow_mut();
        let wait = self.chosen_at.elapsed();
        metrics::histogram!(metric::SEND_WAIT_SECONDS).record(wait.as_secs_f64());
        let waited = self.waits.replace(false);
        fleet.may_send(&self.placement.at, waited, self.traffic.now())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut fleet = self.traffic.fleet.borrow_mut();
        fleet.ended(&self.placement.at, self.waits.get());
    }
}

/// Checks whether an upstream whose connection broke has crashed, and records the crash if new connections to it are
/// refused.
pub(super) async fn check_crash(
    traffic: Rc<Traffic>,
    target: Target,
    at: Incarnation,
    id: String,
    request: Fingerprint,
) {
    let deadline = Instant::now() + CRASH_CHECK_TIMEOUT;
    if traffic.pool.open(&target, deadline).await != Err(Failure::Refused) {
        return;
    }
    let now = traffic.now();
    traffic.fleet.borrow_mut().note_ended(&at, now);
    metrics::counter!(metric::CRASHES).increment(1);
    let upstream = quarantine::incarnation_hash(&at.id, at.started_ms);
    let quarantined = traffic
        .shared
        .channels
        .crashes
        .note_crash(request, upstream, now);
    let fingerprint = hex(request);
    if traffic.log.take(true, now) {
        emit(&Event::UpstreamCrashed {
            id,
            fingerprint: fingerprint.clone(),
            upstream: at.id,
            service: at.service,
        });
    }
    if quarantined {
        let from = traffic.shared.settings.instance.to_string();
        emit(&Event::RequestQuarantined { fingerprint, from });
    }
}

/// Answer of an upstream.
pub(super) struct Answered {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) length_bytes: Option<u64>,
    pub(super) body: AnsweredBody,
}

/// Body of an upstream's answer.
pub(super) enum AnsweredBody {
    /// All of it.
    Whole(Bytes),
    /// The beginning of a long one, and the rest with what it holds.
    Long {
        begun: Bytes,
        rest: Box<BodyReader>,
        in_flight: Box<InFlight>,
    },
}

/// What came of one send.
pub(super) enum Outcome {
    /// An answer that is the caller's.
    Answered(Box<Answered>),
    /// The upstream states that it did not run the request.
    NotRun {
        /// Its status.
        status: u16,
    },
    /// No answer.
    Failed(Failure),
}

/// Sends once.
pub(super) async fn send(
    traffic: &Rc<Traffic>,
    in_flight: InFlight,
    exchange: UpstreamRequest,
) -> Outcome {
    let (at, target) = (in_flight.placement.at.clone(), in_flight.target.clone());
    let deadline = exchange.deadline;
    let sent = Instant::now();
    let may_send = || in_flight.may_send();
    let response = match traffic.pool.exchange(&target, exchange, may_send).await {
        Ok(response) => response,
        Err(failure) => {
            note_failure(traffic, &at, &failure);
            return Outcome::Failed(failure);
        }
    };
    note_head(traffic, &at, &response);
    let dialect = &traffic.shared.dialect;
    let status = response.status;
    let not_run = response.headers.contains_key(&dialect.not_run);
    if not_run || status == StatusCode::MISDIRECTED_REQUEST {
        let mut fleet = traffic.fleet.borrow_mut();
        if status == StatusCode::MISDIRECTED_REQUEST {
            // Another incarnation has the address: this one is gone.
            fleet.close(&at, "another incarnation has its address");
        } else {
            fleet.note_failure(&at, false, traffic.now());
        }
        return Outcome::NotRun {
            status: status.as_u16(),
        };
    }
    if status.is_success() && !response.headers.contains_key(&dialect.seal) {
        let failure = Failure::Malformed("a success without the upstream's seal".to_owned());
        note_failure(traffic, &at, &failure);
        return Outcome::Failed(failure);
    }
    let UpstreamResponse {
        headers,
        length_bytes,
        mut body,
        ..
    } = response;
    let mut begun = BytesMut::new();
    loop {
        match body.next(deadline).await {
            Ok(Some(data)) => begun.extend_from_slice(&data),
            Ok(None) => break,
            Err(cut) => {
                let failure = Failure::Broken(cut.to_string());
                note_failure(traffic, &at, &failure);
                return Outcome::Failed(failure);
            }
        }
        if begun.len() > WHOLE_ANSWER_BYTES {
            let body = AnsweredBody::Long {
                begun: begun.freeze(),
                rest: Box::new(body),
                in_flight: Box::new(in_flight),
            };
            return answered(status, headers, length_bytes, body);
        }
    }
    let mut fleet = traffic.fleet.borrow_mut();
    if status.is_server_error() {
        fleet.note_failure(&at, false, traffic.now());
    } else {
        let placement = &in_flight.placement;
        fleet.note_answer(&at, placement, sent.elapsed(), traffic.now());
    }
    drop(fleet);
    answered(
        status,
        headers,
        length_bytes,
        AnsweredBody::Whole(begun.freeze()),
    )
}

fn answered(
    status: StatusCode,
    headers: HeaderMap,
    length_bytes: Option<u64>,
    body: AnsweredBody,
) -> Outcome {
    Outcome::Answered(Box::new(Answered {
        status,
        headers,
        length_bytes,
        body,
    }))
}

/// Takes what the head of an answer says of its upstream.
fn note_head(traffic: &Traffic, at: &Incarnation, response: &UpstreamResponse) {
    let load = response.headers.get(&traffic.shared.dialect.load);
    if let Some(reported) = load.and_then(|value| parse_load(value.to_str().ok()?)) {
        let mut fleet = traffic.fleet.borrow_mut();
        fleet.report(at, reported, traffic.now());
    }
    // A 421 answer comes from another incarnation, whose limit doesn't apply to `at`.
    if response.status != StatusCode::MISDIRECTED_REQUEST {
        let limit_per_s = parse_limit(&traffic.shared.dialect, &response.headers);
        let changed = traffic.fleet.borrow_mut().note_limit(at, limit_per_s);
        if changed {
            let limits = &traffic.shared.channels.limits;
            limits.note(&at.id, at.started_ms, limit_per_s, traffic.now());
        }
    }
}

/// Reads the request rate limit of an upstream; returns `None` if it is absent or invalid.
fn parse_limit(dialect: &Dialect, headers: &HeaderMap) -> Option<f64> {
    let mut names = dialect.limit_per_s.iter();
    let value = names.find_map(|name| headers.get(name))?;
    let limit_per_s: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (limit_per_s.is_finite() && limit_per_s >= 0.0).then_some(limit_per_s)
}

/// `running,waiting,slots`.
fn parse_load(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|part| part.trim().parse().ok());
    Some(LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}

fn note_failure(traffic: &Traffic, at: &Incarnation, failure: &Failure) {
    let now = traffic.now();
    let mut fleet = traffic.fleet.borrow_mut();
    match failure {
        Failure::BodyTruncated | Failure::Withdrawn => {}
        Failure::Refused => fleet.note_ended(at, now),
        Failure::NotSent(_) => fleet.note_failure(at, true, now),
        _ => fleet.note_failure(at, false, now),
    }
}

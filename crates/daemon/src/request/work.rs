//! Requests for work: validates, dispatches and answers them.

use crate::{
    process::{
        active::ActiveGuard,
        stop::Stage, //
    },
    request::{
        answer::{
            ErrorResponse,
            Reason, //
        },
        attempt::{
            Body,
            Outgoing,
            ResponseBody,
            WHOLE_BODY_BYTES, //
        },
        body::{
            ResponseStream,
            StreamState, //
        },
        counters::ClassCounters,
        deadline::Deadline,
        dispatch::{
            with_prior_attempts,
            Dispatched,
            Job, //
        },
        filing,
        header,
        input,
        shift::HandoverResult,
        traffic,
        TrafficThread, //
    },
    version::{
        ClassView,
        Snapshot, //
    },
};
use actix_web::{
    body::SizedStream,
    http::header::{
        HeaderMap,
        HeaderName,
        HeaderValue,
        CONTENT_LENGTH,
        HOST, //
    },
    web,
    HttpRequest,
    HttpResponse,
    HttpResponseBuilder, //
};
use base::RunOutcome;
use bytes::{
    Bytes,
    BytesMut, //
};
use bytestring::ByteString;
use futures_util::StreamExt;
use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};
use steer::Placement;

/// Path prefix of work.
const PREFIX: &str = "/v1/work/";
/// Retry delay given by an entry that is not ready, stopping or in a drained region.
const UNAVAILABLE_RETRY: Duration = Duration::from_millis(100);

/// `ANY /v1/work/<class>/<path>`.
pub(crate) async fn work(request: HttpRequest, payload: web::Payload) -> HttpResponse {
    let traffic = traffic(&request);
    let started = Instant::now();
    let snapshot = traffic.shared.published.load_full();
    let name = request.match_info().get("class").unwrap_or_default();
    let Some(class) = snapshot.classes.get(name) else {
        return refuse(&traffic, &request, &unknown_class(&snapshot, name));
    };
    let sender = sender(&traffic, &snapshot, name, &request);
    let forwarded = sender != Sender::Caller;
    let counters = traffic.counters.class(&class.class.id, forwarded);
    let work = Work {
        traffic: Rc::clone(&traffic),
        class: Arc::clone(class),
        snapshot: Arc::clone(&snapshot),
        counters: Rc::clone(&counters),
        deadline: Deadline::after(started, class.class.deadline),
        active: traffic.shared.active.guard(),
        sender,
        request_id: request.headers().get(header::REQUEST).cloned(),
        started,
    };
    work.answer(&request, payload)
        .await
        .unwrap_or_else(|error| {
            counters.record_error(error.outcome, started.elapsed());
            refuse(&traffic, &request, &error)
        })
}

/// Who sent a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sender {
    /// A caller.
    Caller,
    /// Another entry of this region, which had no free slot.
    Sibling,
    /// An entry of another region.
    Region,
}

/// Sender of the request: a caller unless a header proves that it is an entry.
fn sender(
    traffic: &TrafficThread,
    snapshot: &Snapshot,
    class: &str,
    request: &HttpRequest,
) -> Sender {
    let shared = &traffic.shared;
    let (key, instance) = (&shared.forward_key, &shared.settings.instance);
    let Some(from) = input::verified_forwarder(request.headers(), key, instance, class) else {
        return Sender::Caller;
    };
    // An entry that has just left the view counts as another region's, and its requests wait behind
    // this region's own.
    let mut siblings = snapshot.own_region().entries.iter();
    if siblings.any(|entry| entry.instance == from) {
        Sender::Sibling
    } else {
        Sender::Region
    }
}

/// Builds and counts an error response.
pub(crate) fn refuse(
    traffic: &TrafficThread,
    request: &HttpRequest,
    error: &ErrorResponse,
) -> HttpResponse {
    traffic.counters.record_reason(error.reason);
    let mut response = error.respond();
    add_origin_headers(traffic, response.headers_mut());
    echo_request_id(request.headers().get(header::REQUEST), &mut response);
    response
}

/// Echoes the id that the sender gave the request on this hop.
fn echo_request_id(request_id: Option<&HeaderValue>, response: &mut HttpResponse) {
    if let Some(id) = request_id {
        let name = HeaderName::from_static(header::REQUEST);
        response.headers_mut().insert(name, id.clone());
    }
}

fn unknown_class(snapshot: &Snapshot, name: &str) -> ErrorResponse {
    if snapshot.stage == Stage::Starting {
        return ErrorResponse::not_run(Reason::NotReady, "no configuration yet")
            .retry_after(UNAVAILABLE_RETRY);
    }
    ErrorResponse::not_run(Reason::UnknownClass, format!("no class named {name:?}"))
}

/// Error response of a stopping entry, which names another entry to use.
fn stopping(traffic: &TrafficThread, snapshot: &Snapshot) -> ErrorResponse {
    let own_instance = &traffic.shared.settings.instance;
    let others = snapshot.regions.iter().flat_map(|region| &region.entries);
    let other = others
        .filter(|entry| entry.instance != *own_instance)
        .map(|entry| entry.callers_addr.clone())
        .next();
    ErrorResponse::not_run(Reason::Stopping, "this entry stops")
        .retry_after(UNAVAILABLE_RETRY)
        .use_entry(other)
}

/// One request for work of a known class.
pub(crate) struct Work {
    pub(crate) traffic: Rc<TrafficThread>,
    pub(crate) class: Arc<ClassView>,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) counters: Rc<ClassCounters>,
    pub(crate) deadline: Deadline,
    /// Delays a planned stop until the request has ended.
    #[expect(dead_code, reason = "held for its drop")]
    active: ActiveGuard,
    sender: Sender,
    /// Id that the sender gave the request on this hop.
    request_id: Option<HeaderValue>,
    pub(crate) started: Instant,
}

impl Work {
    async fn answer(
        mut self,
        request: &HttpRequest,
        payload: web::Payload,
    ) -> Result<HttpResponse, ErrorResponse> {
        let checked = self.read_headers(request);
        self.traffic.budget.borrow_mut().record_request();
        if !self.class.class.idempotent && !self.is_forwarded() {
            // The ledger decides about filings, including those whose headers are invalid.
            return filing::file(self, checked, request, payload).await;
        }
        checked?;
        if self.is_refusing() {
            return Err(self.stopping());
        }
        let out = outgoing(request, self.is_forwarded());
        let body = self.read_body(request.headers(), payload).await?;
        let dispatched = self.dispatch(&out, body).await?;
        Ok(self.forward_response(dispatched))
    }

    fn read_headers(&mut self, request: &HttpRequest) -> Result<(), ErrorResponse> {
        input::check_upgrade(request.headers())?;
        let requested = input::parse_deadline(request.headers())?;
        self.deadline = Deadline::from_caller(self.started, requested, self.class.class.deadline);
        Ok(())
    }

    /// Sends the request to an upstream of this region, or to an entry of another region.
    pub(crate) async fn dispatch(
        &self,
        out: &Outgoing,
        body: Body,
    ) -> Result<Dispatched, ErrorResponse> {
        let drained = self.snapshot.own_region().drained;
        if self.is_forwarded() {
            // A forwarded request is never forwarded again: two full entries would pass it back and
            // forth.
            return if drained {
                let error = ErrorResponse::not_run(Reason::NoCapacity, "this region is drained");
                Err(error.retry_after(UNAVAILABLE_RETRY))
            } else {
                self.dispatch_here(out, body).await
            };
        }
        self.class.pool.counts.record_arrived();
        let Body::Whole(bytes) = body else {
            return self.dispatch_here(out, body).await;
        };
        let placement = if self.traffic.is_baseline() && !drained {
            Placement::Local
        } else {
            self.place()
        };
        match placement {
            Placement::Local => self.dispatch_local_first(out, bytes).await,
            Placement::Shift(region) if drained => {
                match self.shift_out(out, bytes.clone(), region).await {
                    Err(error) if is_no_capacity(&error) && self.class.pool.accepts_work() => {
                        self.dispatch_here(out, Body::Whole(bytes)).await
                    }
                    result => result,
                }
            }
            Placement::Shift(region) => match self.shift(out, bytes.clone(), &[region]).await {
                Err(error) if is_no_capacity(&error) => self.dispatch_in_region(out, bytes).await,
                result => result,
            },
            Placement::Refuse { .. } if self.class.pool.accepts_work() => {
                // The drain has just begun, and the shifted share grows only as fast as its limit
                // allows.
                self.dispatch_here(out, Body::Whole(bytes)).await
            }
            Placement::Refuse { retry_after } => {
                let error =
                    ErrorResponse::not_run(Reason::NoCapacity, "no region takes the request");
                Err(error.retry_after(retry_after))
            }
        }
    }

    /// Sends the request within this region, or to another region if there is no capacity here.
    async fn dispatch_local_first(
        &self,
        out: &Outgoing,
        bytes: Bytes,
    ) -> Result<Dispatched, ErrorResponse> {
        let refused = match self.dispatch_in_region(out, bytes.clone()).await {
            Err(error) if is_no_capacity(&error) => error,
            result => return result,
        };
        let Some(region) = self.place_remotely() else {
            return Err(refused);
        };
        match self.shift(out, bytes, &[region]).await {
            Err(error) if is_no_capacity(&error) => Err(refused),
            result => result,
        }
    }

    /// Sends the request out of this drained region: to `region`, or else to any other open region.
    async fn shift_out(
        &self,
        out: &Outgoing,
        bytes: Bytes,
        region: usize,
    ) -> Result<Dispatched, ErrorResponse> {
        let regions = self.snapshot.regions.iter().enumerate();
        let others = regions
            .filter(|(index, other)| {
                *index != region && *index != self.snapshot.own_index && !other.drained
            })
            .map(|(index, _)| index);
        let order: Vec<usize> = std::iter::once(region).chain(others).collect();
        self.shift(out, bytes, &order).await
    }

    /// Sends the request to an upstream, or to another entry of this region that has a free slot.
    async fn dispatch_in_region(
        &self,
        out: &Outgoing,
        bytes: Bytes,
    ) -> Result<Dispatched, ErrorResponse> {
        match self.hand_over(out, bytes.clone()).await {
            HandoverResult::Done(dispatched) => Ok(dispatched),
            HandoverResult::NotRun => self.dispatch_here(out, Body::Whole(bytes)).await,
            HandoverResult::Unknown(error) => {
                let in_time = !self.deadline.remaining(Instant::now()).is_zero();
                if !in_time || !self.traffic.budget.borrow_mut().take() {
                    return Err(error);
                }
                self.counters.retries.increment(1);
                let result = self.dispatch_here(out, Body::Whole(bytes)).await;
                result.map_err(|error| with_prior_attempts(error, true))
            }
        }
    }

    /// Whether another entry sent the request.
    fn is_forwarded(&self) -> bool {
        self.sender != Sender::Caller
    }

    /// Sends the request to an upstream of this region.
    async fn dispatch_here(&self, out: &Outgoing, body: Body) -> Result<Dispatched, ErrorResponse> {
        let job = Job {
            traffic: &self.traffic,
            class: &self.class,
            counters: &self.counters,
            out,
            deadline: self.deadline,
            started: self.started,
            from_other_region: self.sender == Sender::Region,
        };
        job.run(body).await
    }

    /// Forwards an upstream's response.
    pub(crate) fn forward_response(self, dispatched: Dispatched) -> HttpResponse {
        let Dispatched { head, body, guard } = dispatched;
        let mut response = HttpResponse::build(head.status);
        copy_headers(&head.headers, &mut response);
        let response = match body {
            ResponseBody::Whole(bytes) => {
                self.counters.record_done(self.started.elapsed());
                response.body(bytes)
            }
            ResponseBody::Stream {
                prefix,
                rest,
                length,
            } => {
                let state = StreamState {
                    guard,
                    active: self.traffic.shared.active.guard(),
                    counters: Rc::clone(&self.counters),
                    started: self.started,
                };
                let stream = ResponseStream::new(prefix, rest, self.deadline, state);
                match length {
                    Some(length) => response.body(SizedStream::new(length, stream)),
                    None => response.streaming(stream),
                }
            }
        };
        self.finish_response(response)
    }

    /// Adds the headers of a response whose outcome is `done`.
    pub(crate) fn finish_response(&self, mut response: HttpResponse) -> HttpResponse {
        add_origin_headers(&self.traffic, response.headers_mut());
        echo_request_id(self.request_id.as_ref(), &mut response);
        response.headers_mut().insert(
            HeaderName::from_static(header::OUTCOME),
            HeaderValue::from_static(RunOutcome::Done.as_str()),
        );
        response
    }

    /// Whether this entry is stopping and accepts nothing new.
    pub(crate) fn is_refusing(&self) -> bool {
        self.snapshot.stage == Stage::Refusing
    }

    /// Error response of a stopping entry, which names another entry to use.
    pub(crate) fn stopping(&self) -> ErrorResponse {
        stopping(&self.traffic, &self.snapshot)
    }

    /// Callers' address of an entry, if it is known to accept work.
    pub(crate) fn entry_addr(&self, instance: &str) -> Option<ByteString> {
        let mut entries = self
            .snapshot
            .regions
            .iter()
            .flat_map(|region| &region.entries);
        let entry = entries.find(|entry| entry.instance == instance)?;
        Some(entry.callers_addr.clone())
    }

    /// Buffers a short body, so that it can be sent again; a long or chunked one streams.
    pub(crate) async fn read_body(
        &self,
        headers: &HeaderMap,
        mut payload: web::Payload,
    ) -> Result<Body, ErrorResponse> {
        let length = headers.get(CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
        let is_chunked = headers.contains_key("transfer-encoding");
        if is_chunked || length.is_some_and(|length| length > WHOLE_BODY_BYTES) {
            return Ok(Body::Stream(payload));
        }
        let mut whole = BytesMut::new();
        let read = async {
            while let Some(chunk) = payload.next().await {
                whole.extend_from_slice(&chunk?);
            }
            Ok::<_, actix_web::error::PayloadError>(whole.freeze())
        };
        match tokio::time::timeout_at(self.deadline.at(), read).await {
            Ok(Ok(whole)) => Ok(Body::Whole(whole)),
            Ok(Err(err)) => {
                let detail = format!("the request's body: {err}");
                Err(ErrorResponse::not_run(Reason::BadRequest, detail))
            }
            Err(_) => Err(ErrorResponse::not_run(
                Reason::TooLate,
                "the request's body did not arrive before the deadline",
            )),
        }
    }
}

/// Whether the request did not run for lack of capacity, so that another region may accept it.
fn is_no_capacity(error: &ErrorResponse) -> bool {
    error.reason == Reason::NoCapacity && error.outcome == RunOutcome::NotRun
}

/// Adds the headers that name the instance and region that answered.
fn add_origin_headers(traffic: &TrafficThread, headers: &mut HeaderMap) {
    let settings = &traffic.shared.settings;
    let origin = [
        (header::INSTANCE, &settings.instance),
        (header::REGION, &settings.region),
    ];
    for (name, value) in origin {
        let name = HeaderName::from_static(name);
        // An id that is no valid header value is omitted; nothing depends on these headers.
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
}

/// Builds the request to send on, without hop-by-hop headers and the daemon's own.
pub(crate) fn outgoing(request: &HttpRequest, forwarded: bool) -> Outgoing {
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers() {
        let is_filing = forwarded && name == header::FILING;
        let is_own = (name.as_str().starts_with("jasmine-") && !is_filing) || name == HOST;
        if !is_own && !header::HOP_BY_HOP.contains(&name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    let rest = request
        .uri()
        .path()
        .strip_prefix(PREFIX)
        .and_then(|path| path.split_once('/'))
        .map_or("", |(_, rest)| rest);
    let path_and_query = match request.uri().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    Outgoing {
        method: request.method().clone(),
        path_and_query: path_and_query.into(),
        headers,
    }
}

fn copy_headers(from: &HeaderMap, to: &mut HttpResponseBuilder) {
    for (name, value) in from {
        if !header::HOP_BY_HOP.contains(&name.as_str()) {
            to.append_header((name.clone(), value.clone()));
        }
    }
}

//! Work: checks a request, carries it, and answers it.

use crate::{
    process::{
        active::ActiveGuard,
        stop::Stage, //
    },
    request::{
        answer::{
            Answer,
            Reason, //
        },
        attempt::{
            AnswerBody,
            Body,
            Outgoing,
            WHOLE_BODY_BYTES, //
        },
        body::{
            Held,
            Streamed, //
        },
        carry::{
            truthful,
            Carried,
            Job, //
        },
        counters::ClassCounters,
        deadline::Deadline,
        filing,
        header,
        input,
        shift::HandedOver,
        traffic,
        Traffic, //
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

/// Path under which work is served.
const PREFIX: &str = "/v1/work/";
/// When to ask again an entry that is not ready or stops.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(100);

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
        .unwrap_or_else(|answer| {
            counters.own(answer.outcome, started.elapsed());
            refuse(&traffic, &request, &answer)
        })
}

/// Who sent a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sender {
    /// A caller.
    Caller,
    /// Another entry of this region, which had no slot free.
    Sibling,
    /// An entry of another region.
    Region,
}

/// Sender of the request, if a header proves that it is an entry.
fn sender(traffic: &Traffic, snapshot: &Snapshot, class: &str, request: &HttpRequest) -> Sender {
    let shared = &traffic.shared;
    let (key, instance) = (&shared.forward_key, &shared.settings.instance);
    let Some(from) = input::forwarder(request.headers(), key, instance, class) else {
        return Sender::Caller;
    };
    // One that has just left the picture counts as another region's, and waits behind.
    let mut siblings = snapshot.own_region().entries.iter();
    if siblings.any(|entry| entry.instance == from) {
        Sender::Sibling
    } else {
        Sender::Region
    }
}

/// Gives an answer of the system's own, and counts it.
pub(crate) fn refuse(traffic: &Traffic, request: &HttpRequest, answer: &Answer) -> HttpResponse {
    traffic.counters.reason(answer.reason);
    let mut response = answer.respond();
    mark(traffic, response.headers_mut());
    echo(request.headers().get(header::REQUEST), &mut response);
    response
}

/// Repeats the id that the sender gave the request on this hop.
fn echo(request_id: Option<&HeaderValue>, response: &mut HttpResponse) {
    if let Some(id) = request_id {
        let name = HeaderName::from_static(header::REQUEST);
        response.headers_mut().insert(name, id.clone());
    }
}

fn unknown_class(snapshot: &Snapshot, name: &str) -> Answer {
    if snapshot.stage == Stage::Starting {
        return Answer::not_run(Reason::NotReady, "no configuration yet")
            .retry_after(ELSEWHERE_RETRY);
    }
    Answer::not_run(Reason::UnknownClass, format!("no class named {name:?}"))
}

/// Answer of an entry that stops, with another entry of the region.
fn stopping(traffic: &Traffic, snapshot: &Snapshot) -> Answer {
    let me = &traffic.shared.settings.instance;
    let others = snapshot.regions.iter().flat_map(|region| &region.entries);
    let other = others
        .filter(|entry| entry.instance != *me)
        .map(|entry| entry.callers_addr.clone())
        .next();
    Answer::not_run(Reason::Stopping, "this entry stops")
        .retry_after(ELSEWHERE_RETRY)
        .use_entry(other)
}

/// One request for work of a known class.
pub(crate) struct Work {
    pub(crate) traffic: Rc<Traffic>,
    pub(crate) class: Arc<ClassView>,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) counters: Rc<ClassCounters>,
    pub(crate) deadline: Deadline,
    /// Keeps a planned stop waiting.
    #[expect(dead_code, reason = "held for its drop")]
    active: ActiveGuard,
    sender: Sender,
    /// Id that the sender gave it on this hop.
    request_id: Option<HeaderValue>,
    pub(crate) started: Instant,
}

impl Work {
    async fn answer(
        mut self,
        request: &HttpRequest,
        payload: web::Payload,
    ) -> Result<HttpResponse, Answer> {
        let read = self.read_headers(request);
        self.traffic.budget.borrow_mut().record_request();
        if !self.class.class.idempotent && !self.is_forwarded() {
            // The ledger is the judge of filings, also of those that are refused.
            return filing::file(self, read, request, payload).await;
        }
        read?;
        if self.is_refusing() {
            return Err(self.stopping());
        }
        let out = outgoing(request, self.is_forwarded());
        let body = self.read_body(request.headers(), payload).await?;
        let carried = self.carry(&out, body).await?;
        Ok(self.pass_on(carried))
    }

    fn read_headers(&mut self, request: &HttpRequest) -> Result<(), Answer> {
        input::protocol(request.headers())?;
        let asked = input::deadline(request.headers())?;
        self.deadline = Deadline::of_caller(self.started, asked, self.class.class.deadline);
        Ok(())
    }

    /// Carries the request to an upstream of this region or, through an entry there, of another.
    pub(crate) async fn carry(&self, out: &Outgoing, body: Body) -> Result<Carried, Answer> {
        let drained = self.snapshot.own_region().drained;
        if self.is_forwarded() {
            // What was handed here is never handed on: two full entries would pass it around.
            return if drained {
                let answer = Answer::not_run(Reason::NoCapacity, "this region is drained");
                Err(answer.retry_after(ELSEWHERE_RETRY))
            } else {
                self.carry_here(out, body).await
            };
        }
        self.class.pool.counts.note_arrived();
        let Body::Whole(bytes) = body else {
            return self.carry_here(out, body).await;
        };
        let placement = if self.traffic.is_baseline() && !drained {
            Placement::Local
        } else {
            self.place()
        };
        match placement {
            Placement::Local => self.carry_here_first(out, bytes).await,
            Placement::Shift(region) if drained => {
                match self.shift_out(out, bytes.clone(), region).await {
                    Err(answer) if is_refusal(&answer) && self.class.pool.takes_work() => {
                        self.carry_here(out, Body::Whole(bytes)).await
                    }
                    ended => ended,
                }
            }
            Placement::Shift(region) => match self.shift(out, bytes.clone(), &[region]).await {
                Err(answer) if is_refusal(&answer) => self.carry_in_region(out, bytes).await,
                ended => ended,
            },
            Placement::Refuse { .. } if self.class.pool.takes_work() => {
                // The drain has just begun, and the shift grows no faster than its cap allows.
                self.carry_here(out, Body::Whole(bytes)).await
            }
            Placement::Refuse { retry_after } => {
                let answer = Answer::not_run(Reason::NoCapacity, "no region takes the request");
                Err(answer.retry_after(retry_after))
            }
        }
    }

    /// Carries the request here, or elsewhere if it is refused here.
    async fn carry_here_first(&self, out: &Outgoing, bytes: Bytes) -> Result<Carried, Answer> {
        let refused = match self.carry_in_region(out, bytes.clone()).await {
            Err(answer) if is_refusal(&answer) => answer,
            ended => return ended,
        };
        let Some(region) = self.place_away() else {
            return Err(refused);
        };
        match self.shift(out, bytes, &[region]).await {
            Err(answer) if is_refusal(&answer) => Err(refused),
            ended => ended,
        }
    }

    /// Sends the request out of a drained region: to the one placed first, else to any other.
    async fn shift_out(
        &self,
        out: &Outgoing,
        bytes: Bytes,
        region: usize,
    ) -> Result<Carried, Answer> {
        let regions = self.snapshot.regions.iter().enumerate();
        let others = regions
            .filter(|(index, other)| {
                *index != region && *index != self.snapshot.own && !other.drained
            })
            .map(|(index, _)| index);
        let order: Vec<usize> = std::iter::once(region).chain(others).collect();
        self.shift(out, bytes, &order).await
    }

    /// Carries the request here, or through another entry of this region that has slots for it.
    async fn carry_in_region(&self, out: &Outgoing, bytes: Bytes) -> Result<Carried, Answer> {
        match self.hand_over(out, bytes.clone()).await {
            HandedOver::Done(carried) => Ok(carried),
            HandedOver::NotRun => self.carry_here(out, Body::Whole(bytes)).await,
            HandedOver::Unknown(answer) => {
                let in_time = !self.deadline.left(Instant::now()).is_zero();
                if !in_time || !self.traffic.budget.borrow_mut().take() {
                    return Err(answer);
                }
                self.counters.retries.increment(1);
                let carried = self.carry_here(out, Body::Whole(bytes)).await;
                carried.map_err(|answer| truthful(answer, true))
            }
        }
    }

    /// Whether an entry sent it.
    fn is_forwarded(&self) -> bool {
        self.sender != Sender::Caller
    }

    async fn carry_here(&self, out: &Outgoing, body: Body) -> Result<Carried, Answer> {
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

    /// Passes an upstream's answer on.
    pub(crate) fn pass_on(self, carried: Carried) -> HttpResponse {
        let Carried { head, body, hold } = carried;
        let mut response = HttpResponse::build(head.status);
        copy_headers(&head.headers, &mut response);
        let response = match body {
            AnswerBody::Whole(bytes) => {
                self.counters.done(self.started.elapsed());
                response.body(bytes)
            }
            AnswerBody::Stream {
                prefix,
                rest,
                length,
            } => {
                let held = Held {
                    hold,
                    active: self.traffic.shared.active.guard(),
                    counters: Rc::clone(&self.counters),
                    started: self.started,
                };
                let stream = Streamed::new(prefix, rest, self.deadline, held);
                match length {
                    Some(length) => response.body(SizedStream::new(length, stream)),
                    None => response.streaming(stream),
                }
            }
        };
        self.finish_response(response)
    }

    /// Marks an answer as an upstream's, whole.
    pub(crate) fn finish_response(&self, mut response: HttpResponse) -> HttpResponse {
        mark(&self.traffic, response.headers_mut());
        echo(self.request_id.as_ref(), &mut response);
        response.headers_mut().insert(
            HeaderName::from_static(header::OUTCOME),
            HeaderValue::from_static(RunOutcome::Done.as_str()),
        );
        response
    }

    /// Whether this entry stops and takes nothing new.
    pub(crate) fn is_refusing(&self) -> bool {
        self.snapshot.stage == Stage::Refusing
    }

    /// Answer of an entry that stops, with another entry to use.
    pub(crate) fn stopping(&self) -> Answer {
        stopping(&self.traffic, &self.snapshot)
    }

    /// Callers' address of an entry, if it is known to take work.
    pub(crate) fn entry_addr(&self, instance: &str) -> Option<ByteString> {
        let mut entries = self
            .snapshot
            .regions
            .iter()
            .flat_map(|region| &region.entries);
        let entry = entries.find(|entry| entry.instance == instance)?;
        Some(entry.callers_addr.clone())
    }

    /// Reads a short body whole, so that it can be sent again; a long one streams.
    pub(crate) async fn read_body(
        &self,
        headers: &HeaderMap,
        mut payload: web::Payload,
    ) -> Result<Body, Answer> {
        let length = headers.get(CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
        let chunked = headers.contains_key("transfer-encoding");
        if chunked || length.is_some_and(|length| length > WHOLE_BODY_BYTES) {
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
                Err(Answer::not_run(Reason::BadRequest, detail))
            }
            Err(_) => Err(Answer::not_run(
                Reason::TooLate,
                "the request's body did not arrive before the deadline",
            )),
        }
    }
}

/// Whether the request did not run for want of room, so that another region may have some.
fn is_refusal(answer: &Answer) -> bool {
    answer.reason == Reason::NoCapacity && answer.outcome == RunOutcome::NotRun
}

/// Names who answered.
fn mark(traffic: &Traffic, headers: &mut HeaderMap) {
    let settings = &traffic.shared.settings;
    let marks = [
        (header::INSTANCE, &settings.instance),
        (header::REGION, &settings.region),
    ];
    for (name, value) in marks {
        let name = HeaderName::from_static(name);
        // An id that is no header value is only left out; nothing decides by these.
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
}

/// What of the request goes on to the upstream.
pub(crate) fn outgoing(request: &HttpRequest, forwarded: bool) -> Outgoing {
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers() {
        let filing = forwarded && name == header::FILING;
        let ours = (name.as_str().starts_with("jasmine-") && !filing) || name == HOST;
        if !ours && !header::HOP_BY_HOP.contains(&name.as_str()) {
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

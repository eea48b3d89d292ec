//! Work: checks a request, carries it, and answers it.

use crate::{
    process::stop::Stage,
    request::{
        answer::{
            Answer,
            Reason, //
        },
        attempt::{
            AnswerBody,
            Body,
            Head,
            Outgoing,
            WHOLE_BODY_BYTES, //
        },
        body::{
            Held,
            Streamed, //
        },
        carry::{
            Carried,
            Job, //
        },
        counters::ClassCounters,
        deadline::Deadline,
        header,
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
        CONTENT_LENGTH,
        HOST, //
    },
    web,
    HttpRequest,
    HttpResponse,
    HttpResponseBuilder, //
};
use base::RunOutcome;
use bytes::BytesMut;
use futures_util::StreamExt;
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

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
        return refuse(&traffic, &unknown_class(&snapshot, name));
    };
    let counters = traffic.counters.class(&class.class.id);
    let answer = admit(&traffic, &snapshot, class, &request, started);
    let answer = match answer {
        Ok(deadline) => {
            let work = Work {
                traffic: Rc::clone(&traffic),
                class,
                counters: Rc::clone(&counters),
                deadline,
                started,
            };
            work.run(&request, payload).await
        }
        Err(answer) => Err(answer),
    };
    answer.unwrap_or_else(|answer| {
        counters.own(answer.outcome, started.elapsed());
        refuse(&traffic, &answer)
    })
}

fn refuse(traffic: &Traffic, answer: &Answer) -> HttpResponse {
    traffic.counters.reason(answer.reason);
    let mut response = answer.respond();
    mark(traffic, response.headers_mut());
    response
}

fn unknown_class(snapshot: &Snapshot, name: &str) -> Answer {
    if snapshot.stage == Stage::Starting {
        return Answer::not_run(Reason::NotReady, "no configuration yet")
            .retry_after(ELSEWHERE_RETRY);
    }
    Answer::not_run(Reason::UnknownClass, format!("no class named {name:?}"))
}

/// Checks that the request can be taken here, now.
fn admit(
    traffic: &Traffic,
    snapshot: &Snapshot,
    class: &ClassView,
    request: &HttpRequest,
    now: Instant,
) -> Result<Deadline, Answer> {
    if snapshot.stage == Stage::Refusing {
        return Err(stopping(traffic, snapshot));
    }
    let text = request.headers().get(header::DEADLINE_MS);
    let text = text.map(|value| value.as_bytes());
    Deadline::from_header(text, now, class.class.deadline).map_err(|_| {
        let detail = format!("{}: no whole number of milliseconds", header::DEADLINE_MS);
        Answer::not_run(Reason::BadRequest, detail)
    })
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

/// One admitted request.
struct Work<'a> {
    traffic: Rc<Traffic>,
    class: &'a ClassView,
    counters: Rc<ClassCounters>,
    deadline: Deadline,
    started: Instant,
}

impl Work<'_> {
    async fn run(
        &self,
        request: &HttpRequest,
        payload: web::Payload,
    ) -> Result<HttpResponse, Answer> {
        let active = self.traffic.shared.active.guard();
        self.traffic.budget.borrow_mut().offer();
        let out = outgoing(request);
        let body = self.read_body(request.headers(), payload).await?;
        let job = Job {
            traffic: &self.traffic,
            class: self.class,
            counters: &self.counters,
            out: &out,
            deadline: self.deadline,
        };
        let Carried { head, body, permit } = job.run(body).await?;
        let held = Held {
            permit: Some(permit),
            active,
            counters: Rc::clone(&self.counters),
            started: self.started,
        };
        Ok(self.respond(head, body, held))
    }

    /// Reads a short body whole, so that it can be sent again; a long one streams.
    async fn read_body(
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

    /// Passes an upstream's answer on.
    fn respond(&self, head: Head, body: AnswerBody, held: Held) -> HttpResponse {
        let mut response = HttpResponse::build(head.status);
        copy_headers(&head.headers, &mut response);
        let mut response = match body {
            AnswerBody::Whole(bytes) => {
                held.counters.done(self.started.elapsed());
                response.body(bytes)
            }
            AnswerBody::Stream {
                prefix,
                rest,
                length,
            } => {
                let stream = Streamed::new(prefix, rest, self.deadline, held);
                match length {
                    Some(length) => response.body(SizedStream::new(length, stream)),
                    None => response.streaming(stream),
                }
            }
        };
        mark(&self.traffic, response.headers_mut());
        response.headers_mut().insert(
            actix_web::http::header::HeaderName::from_static(header::OUTCOME),
            actix_web::http::header::HeaderValue::from_static(RunOutcome::Done.as_str()),
        );
        response
    }
}

/// Names who answered.
fn mark(traffic: &Traffic, headers: &mut HeaderMap) {
    let settings = &traffic.shared.settings;
    let marks = [
        (header::INSTANCE, &settings.instance),
        (header::REGION, &settings.region),
    ];
    for (name, value) in marks {
        let name = actix_web::http::header::HeaderName::from_static(name);
        // An id that is no header value is only left out; nothing decides by these.
        if let Ok(value) = actix_web::http::header::HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
}

/// What of the request goes on to the upstream.
fn outgoing(request: &HttpRequest) -> Outgoing {
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers() {
        let ours = name.as_str().starts_with("jasmine-") || name == HOST;
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

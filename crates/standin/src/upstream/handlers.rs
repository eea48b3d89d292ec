//! HTTP handlers of an upstream, and the processing of one request.

use super::{
    record::{
        RecordEntry, //
        RequestOutcome,
    },
    Upstream, //
};
use crate::{
    lock,
    pattern::Pattern,
    timer,
    wall_ms, //
};
use actix_web::{
    body::{
        BodyStream,
        SizedStream, //
    },
    http::{
        header::CONTENT_TYPE,
        StatusCode, //
    },
    web,
    HttpRequest,
    HttpResponse,
    HttpResponseBuilder, //
};
use bytes::Bytes;
use futures_util::{
    stream,
    Stream,
    StreamExt, //
};
use serde_json::json;
use std::{
    future,
    io,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{
        sleep,
        timeout_at,
        Instant, //
    }, //
};

/// Maximum size of a chunk of a response body.
const CHUNK_BYTES: u64 = 32 << 10;
/// Maximum time until a deadline, also used for requests without one.
const MAX_DEADLINE: Duration = Duration::from_secs(86_400);
/// Delay before a response is truncated, so that the preceding data has been sent.
const TRUNCATE_DELAY: Duration = Duration::from_millis(5);

/// The upstream, shared by its handlers.
type Shared = web::Data<Arc<Upstream>>;

/// A request being processed; dropping it before it ended records it as cancelled.
struct Job {
    /// The upstream.
    upstream: Arc<Upstream>,
    /// Number of its entry in the record.
    number: u64,
    /// Current stage.
    stage: Stage,
    /// Its slot, once acquired.
    permit: Option<OwnedSemaphorePermit>,
}

/// Stage of a request, as counted in the load.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Stage {
    /// Not counted yet.
    Received,
    /// Waiting for a slot.
    Queued,
    /// Holding a slot.
    Serving,
    /// Ended.
    Finished,
}

/// Content of a response body.
enum Content {
    /// Pattern derived from the path.
    Pattern(Pattern),
    /// Literal bytes.
    Bytes(Bytes),
}

/// A response body being streamed.
struct ResponseBody {
    /// The request.
    job: Job,
    /// Content of the body.
    content: Content,
    /// Length of the body.
    len: u64,
    /// Number of bytes sent so far.
    sent: u64,
    /// Offset at which the body is truncated.
    truncate_at: u64,
    /// Time at which an unfinished body is aborted.
    deadline: Instant,
}

/// Handles `GET /health`.
pub(super) async fn health(upstream: Shared) -> HttpResponse {
    let state = match upstream.load().state {
        super::State::Leaving => "leaving",
        _ => "up",
    };
    response_builder(&upstream, StatusCode::OK, None).json(json!({ "state": state }))
}

/// Handles `GET /load`.
pub(super) async fn load(upstream: Shared) -> HttpResponse {
    response_builder(&upstream, StatusCode::OK, None).json(upstream.load())
}

/// Handles all other requests as work.
pub(super) async fn work(
    upstream: Shared,
    request: HttpRequest,
    mut body: web::Payload,
) -> HttpResponse {
    let mut job = Job::begin(Arc::clone(&upstream), &request);
    let overruns = lock(&upstream.inner).faults.overruns;
    let deadline = if overruns {
        Instant::now() + MAX_DEADLINE
    } else {
        request_deadline(&request)
    };
    let mut hasher = blake3::Hasher::new();
    let mut body_bytes = 0_u64;
    while let Some(chunk) = body.next().await {
        let Ok(chunk) = chunk else {
            // The caller disconnected or violated the framing, so no one will read the response.
            return response_builder(&upstream, StatusCode::BAD_REQUEST, Some(&request)).finish();
        };
        hasher.update(&chunk);
        body_bytes += chunk.len() as u64;
    }
    if job.record_body(body_bytes) {
        job.end(RequestOutcome::Shed);
        return refusal(&upstream, &request);
    }
    if timeout_at(deadline, job.acquire_slot()).await.is_err() {
        job.end(RequestOutcome::Expired);
        return refusal(&upstream, &request);
    }
    let (service_time, hangs, truncates) = job.start_service();
    if hangs {
        future::pending::<()>().await;
    }
    let service = timer::wait_until(std::time::Instant::now() + service_time);
    if timeout_at(deadline, service).await.is_err() {
        job.end(RequestOutcome::Expired);
        return response_builder(&upstream, StatusCode::GATEWAY_TIMEOUT, Some(&request)).finish();
    }
    let mut response = response_builder(&upstream, StatusCode::OK, Some(&request));
    let path = path_and_query(&request);
    let (content, len) = match requested_len(&path) {
        Some(len) => (Content::Pattern(Pattern::new(&path, len)), len),
        None => {
            let echo = json!({
                "upstream": upstream.id(), "path": path,
                "request": header(&request, "Jasmine-Request"),
                "filing": header(&request, "Jasmine-Filing"),
                "body_bytes": body_bytes, "body_digest": hasher.finalize().to_hex().as_str(),
            });
            let echo = Bytes::from(echo.to_string());
            response.insert_header((CONTENT_TYPE, "application/json"));
            let len = echo.len() as u64;
            (Content::Bytes(echo), len)
        }
    };
    let chunked = path.starts_with("/chunked/");
    if len == 0 {
        // The HTTP server never polls an empty body.
        job.end(RequestOutcome::Ran);
    }
    let truncate_at = if truncates { len / 2 } else { u64::MAX };
    let stream = body_stream(ResponseBody {
        job,
        content,
        len,
        sent: 0,
        truncate_at,
        deadline,
    });
    if chunked {
        response.body(BodyStream::new(stream))
    } else {
        response.body(SizedStream::new(len, stream))
    }
}

impl Job {
    /// Adds a request to the record.
    fn begin(upstream: Arc<Upstream>, request: &HttpRequest) -> Self {
        let entry = RecordEntry {
            request: header(request, "Jasmine-Request"),
            filing: header(request, "Jasmine-Filing"),
            method: request.method().to_string(),
            path: path_and_query(request),
            received_ms: wall_ms(),
            started_ms: None,
            finished_ms: None,
            body_bytes: None,
            outcome: RequestOutcome::Running,
        };
        let number = lock(&upstream.inner).log.begin(entry);
        Self {
            upstream,
            number,
            stage: Stage::Received,
            permit: None,
        }
    }

    /// Records the length of the complete body and returns whether to shed the request.
    fn record_body(&self, body_bytes: u64) -> bool {
        let mut inner = lock(&self.upstream.inner);
        if let Some(entry) = inner.log.running(self.number) {
            entry.body_bytes = Some(body_bytes);
        }
        let ratio = inner.faults.shed;
        inner.refuses_requests || inner.shed.select(ratio)
    }

    /// Acquires a slot, queueing for it if none is free.
    async fn acquire_slot(&mut self) {
        let slots = Arc::clone(&self.upstream.slots);
        if let Ok(permit) = Arc::clone(&slots).try_acquire_owned() {
            self.permit = Some(permit);
            return;
        }
        self.set_stage(Stage::Queued);
        let permit = slots.acquire_owned().await;
        self.permit = Some(permit.expect("the semaphore is never closed"));
    }

    /// Records the start of service and returns the service time and whether the request hangs and
    /// whether its response is truncated.
    fn start_service(&mut self) -> (Duration, bool, bool) {
        self.set_stage(Stage::Serving);
        let now_ms = wall_ms();
        let mut inner = lock(&self.upstream.inner);
        if let Some(entry) = inner.log.running(self.number) {
            entry.started_ms = Some(now_ms);
        }
        let service_time = inner.next_service_time(&self.upstream.spec, now_ms);
        let faults = inner.faults;
        let hangs = inner.hang.select(faults.hang);
        (service_time, hangs, inner.truncate.select(faults.truncate))
    }

    /// Moves to another stage and updates the counts.
    fn set_stage(&mut self, stage: Stage) {
        let mut inner = lock(&self.upstream.inner);
        match self.stage {
            Stage::Queued => inner.queued -= 1,
            Stage::Serving => inner.in_flight -= 1,
            Stage::Received | Stage::Finished => {}
        }
        match stage {
            Stage::Queued => inner.queued += 1,
            Stage::Serving => inner.in_flight += 1,
            Stage::Received | Stage::Finished => {}
        }
        inner.max_queued = inner.max_queued.max(inner.queued);
        inner.max_in_flight = inner.max_in_flight.max(inner.in_flight);
        inner.sample(&self.upstream.spec, wall_ms());
        drop(inner);
        self.stage = stage;
    }

    /// Records the outcome, unless the request has already ended.
    fn end(&mut self, outcome: RequestOutcome) {
        if self.stage != Stage::Finished {
            self.set_stage(Stage::Finished);
            lock(&self.upstream.inner)
                .log
                .end(self.number, outcome, wall_ms());
            // Released only after the counts are updated; otherwise the next request could be
            // counted while this one still is, and exceed the slots.
            self.permit = None;
        }
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.end(RequestOutcome::Cancelled);
    }
}

impl ResponseBody {
    /// Returns the next chunk; an error aborts the connection.
    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        if self.sent >= self.truncate_at {
            sleep(TRUNCATE_DELAY).await;
            self.job.end(RequestOutcome::Truncated);
            return Some(Err(io::Error::other("response truncated")));
        }
        if self.sent < self.len && Instant::now() >= self.deadline {
            self.job.end(RequestOutcome::Expired);
            return Some(Err(io::ErrorKind::TimedOut.into()));
        }
        if self.sent == self.len {
            self.job.end(RequestOutcome::Ran);
            return None;
        }
        let limit = CHUNK_BYTES.min(self.len.min(self.truncate_at) - self.sent);
        let chunk = match &self.content {
            Content::Pattern(pattern) => pattern.chunk(self.sent, limit),
            Content::Bytes(bytes) => bytes.slice(..usize::try_from(limit).unwrap_or(bytes.len())),
        };
        self.sent += chunk.len() as u64;
        if self.sent == self.len {
            // The HTTP server may not poll for the end of a body whose length it knows.
            self.job.end(RequestOutcome::Ran);
        }
        Some(Ok(chunk))
    }
}

/// Streams a response body; the stream ends after the first error.
fn body_stream(body: ResponseBody) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Some(body), |body| async {
        let mut body = body?;
        let chunk = body.next_chunk().await?;
        let rest = chunk.is_ok().then_some(body);
        Some((chunk, rest))
    })
    .boxed_local()
}

/// Creates a response with the headers common to all responses.
fn response_builder(
    upstream: &Upstream,
    status: StatusCode,
    request: Option<&HttpRequest>,
) -> HttpResponseBuilder {
    let mut response = HttpResponse::build(status);
    response.insert_header(("Upstream-Id", upstream.id()));
    if let Some(id) = request.and_then(|request| header(request, "Jasmine-Request")) {
        response.insert_header(("Jasmine-Request", id));
    }
    if upstream.leaving() {
        response.insert_header(("Upstream-State", "leaving"));
    }
    response
}

/// Creates a refusal whose header asserts that the request didn't run.
fn refusal(upstream: &Upstream, request: &HttpRequest) -> HttpResponse {
    let mut response = response_builder(upstream, StatusCode::SERVICE_UNAVAILABLE, Some(request));
    response.insert_header(("Upstream-Refused", "not-run"));
    if lock(&upstream.inner).refuses_requests {
        response.force_close();
    }
    response.finish()
}

/// Returns the caller's deadline.
fn request_deadline(request: &HttpRequest) -> Instant {
    let remaining_ms = header(request, "Jasmine-Deadline-Ms").and_then(|text| text.parse().ok());
    let remaining = remaining_ms.map_or(MAX_DEADLINE, Duration::from_millis);
    Instant::now() + remaining.min(MAX_DEADLINE)
}

/// Returns the value of a header as text.
fn header(request: &HttpRequest, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// Returns the path and query.
fn path_and_query(request: &HttpRequest) -> String {
    let path = request.uri().path_and_query();
    path.map_or_else(String::new, |path| path.as_str().to_owned())
}

/// Returns the body length requested by `/bytes/<n>…` or `/chunked/<n>…`.
fn requested_len(path: &str) -> Option<u64> {
    let suffix = path.strip_prefix("/bytes/");
    let suffix = suffix.or_else(|| path.strip_prefix("/chunked/"))?;
    suffix.split(['/', '?']).next()?.parse().ok()
}

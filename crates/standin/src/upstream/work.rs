//! The way of one request through an upstream.

use super::{
    record::{
        Ended,
        Entry, //
    },
    Upstream, //
};
use crate::{
    alarm,
    lock,
    pattern::Pattern,
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

/// Largest piece of an answer that is handed over at once.
const CHUNK_BYTES: u64 = 32 << 10;
/// The longest deadline that is kept; longer ones are as good as none.
const LONGEST: Duration = Duration::from_secs(86_400);
/// Pause before a cut, so that what came before it has left.
const BEFORE_CUT: Duration = Duration::from_millis(5);

/// The upstream as its handlers share it.
type Shared = web::Data<Arc<Upstream>>;

/// A request in the upstream's record; cancelled if it is dropped before it ended.
struct Job {
    /// The upstream.
    upstream: Arc<Upstream>,
    /// Number in the record.
    number: u64,
    /// Where it is.
    stage: Stage,
    /// Its slot, once it has one.
    permit: Option<OwnedSemaphorePermit>,
}

/// Where a request is, for the counts.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Stage {
    /// Not counted yet.
    Received,
    /// Waits for a slot.
    Queued,
    /// Holds a slot.
    Served,
    /// Ended.
    Over,
}

/// What an answer's body is made of.
enum Content {
    /// The pattern of the path.
    Pattern(Pattern),
    /// These bytes.
    Bytes(Bytes),
}

/// An answer on its way.
struct Answering {
    /// The request.
    job: Job,
    /// What the body is made of.
    content: Content,
    /// Its length.
    len: u64,
    /// How much of it went.
    sent: u64,
    /// Where it is cut short.
    cut_at: u64,
    /// When it is cut short.
    deadline: Instant,
}

/// Answers `GET /health`.
pub(super) async fn health(upstream: Shared) -> HttpResponse {
    let state = match upstream.load().state {
        super::State::Leaving => "leaving",
        _ => "up",
    };
    answer(&upstream, StatusCode::OK, None).json(json!({ "state": state }))
}

/// Answers `GET /load`.
pub(super) async fn load(upstream: Shared) -> HttpResponse {
    answer(&upstream, StatusCode::OK, None).json(upstream.load())
}

/// Answers everything else: work.
pub(super) async fn work(
    upstream: Shared,
    request: HttpRequest,
    mut body: web::Payload,
) -> HttpResponse {
    let mut job = Job::begin(Arc::clone(&upstream), &request);
    let overruns = lock(&upstream.inner).faults.overruns;
    let deadline = if overruns {
        Instant::now() + LONGEST
    } else {
        deadline(&request)
    };
    let mut digest = blake3::Hasher::new();
    let mut body_bytes = 0_u64;
    while let Some(chunk) = body.next().await {
        let Ok(chunk) = chunk else {
            // The caller went away or broke its framing, so there is nobody to answer.
            return answer(&upstream, StatusCode::BAD_REQUEST, Some(&request)).finish();
        };
        digest.update(&chunk);
        body_bytes += chunk.len() as u64;
    }
    if job.read(body_bytes) {
        job.end(Ended::Shed);
        return refused(&upstream, &request);
    }
    if timeout_at(deadline, job.queue()).await.is_err() {
        job.end(Ended::Expired);
        return refused(&upstream, &request);
    }
    let (service_time, hangs, truncates) = job.start();
    if hangs {
        future::pending::<()>().await;
    }
    let service = alarm::wait_until(std::time::Instant::now() + service_time);
    if timeout_at(deadline, service).await.is_err() {
        job.end(Ended::Expired);
        return answer(&upstream, StatusCode::GATEWAY_TIMEOUT, Some(&request)).finish();
    }
    let mut answer = answer(&upstream, StatusCode::OK, Some(&request));
    let path = path_of(&request);
    let (content, len) = match size_of(&path) {
        Some(len) => (Content::Pattern(Pattern::new(&path, len)), len),
        None => {
            let echo = json!({
                "upstream": upstream.id(), "path": path,
                "request": header(&request, "Jasmine-Request"),
                "filing": header(&request, "Jasmine-Filing"),
                "body_bytes": body_bytes, "body_digest": digest.finalize().to_hex().as_str(),
            });
            let echo = Bytes::from(echo.to_string());
            answer.insert_header((CONTENT_TYPE, "application/json"));
            let len = echo.len() as u64;
            (Content::Bytes(echo), len)
        }
    };
    let chunked = path.starts_with("/chunked/");
    if len == 0 {
        // A connection never asks for a piece of an empty answer.
        job.end(Ended::Ran);
    }
    let cut_at = if truncates { len / 2 } else { u64::MAX };
    let stream = body_stream(Answering {
        job,
        content,
        len,
        sent: 0,
        cut_at,
        deadline,
    });
    if chunked {
        answer.body(BodyStream::new(stream))
    } else {
        answer.body(SizedStream::new(len, stream))
    }
}

impl Job {
    /// Enters a request into the record.
    fn begin(upstream: Arc<Upstream>, request: &HttpRequest) -> Self {
        let entry = Entry {
            request: header(request, "Jasmine-Request"),
            filing: header(request, "Jasmine-Filing"),
            method: request.method().to_string(),
            path: path_of(request),
            received_ms: wall_ms(),
            started_ms: None,
            finished_ms: None,
            body_bytes: None,
            outcome: Ended::Running,
        };
        let number = lock(&upstream.inner).log.begin(entry);
        Self {
            upstream,
            number,
            stage: Stage::Received,
            permit: None,
        }
    }

    /// Notes the whole body; tells whether the request is to be shed.
    fn read(&self, body_bytes: u64) -> bool {
        let mut inner = lock(&self.upstream.inner);
        if let Some(entry) = inner.log.running(self.number) {
            entry.body_bytes = Some(body_bytes);
        }
        let ratio = inner.faults.shed;
        inner.gone || inner.shed.meets(ratio)
    }

    /// Waits for a slot.
    async fn queue(&mut self) {
        let slots = Arc::clone(&self.upstream.slots);
        if let Ok(permit) = Arc::clone(&slots).try_acquire_owned() {
            self.permit = Some(permit);
            return;
        }
        self.enter(Stage::Queued);
        let permit = slots.acquire_owned().await;
        self.permit = Some(permit.expect("the semaphore is never closed"));
    }

    /// Notes that the service starts; gives its time and whether it hangs or is cut short.
    fn start(&mut self) -> (Duration, bool, bool) {
        self.enter(Stage::Served);
        let now_ms = wall_ms();
        let mut inner = lock(&self.upstream.inner);
        if let Some(entry) = inner.log.running(self.number) {
            entry.started_ms = Some(now_ms);
        }
        let service_time = inner.service_time(&self.upstream.spec, now_ms);
        let faults = inner.faults;
        let hangs = inner.hang.meets(faults.hang);
        (service_time, hangs, inner.truncate.meets(faults.truncate))
    }

    /// Goes to another stage and counts it.
    fn enter(&mut self, stage: Stage) {
        let mut inner = lock(&self.upstream.inner);
        match self.stage {
            Stage::Queued => inner.queued -= 1,
            Stage::Served => inner.in_flight -= 1,
            Stage::Received | Stage::Over => {}
        }
        match stage {
            Stage::Queued => inner.queued += 1,
            Stage::Served => inner.in_flight += 1,
            Stage::Received | Stage::Over => {}
        }
        inner.max_queued = inner.max_queued.max(inner.queued);
        inner.max_in_flight = inner.max_in_flight.max(inner.in_flight);
        inner.sample(&self.upstream.spec, wall_ms());
        drop(inner);
        self.stage = stage;
    }

    /// Ends it, unless it ended.
    fn end(&mut self, outcome: Ended) {
        if self.stage != Stage::Over {
            self.enter(Stage::Over);
            lock(&self.upstream.inner)
                .log
                .end(self.number, outcome, wall_ms());
            // Only now, or the next request would be counted beside this one.
            self.permit = None;
        }
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.end(Ended::Cancelled);
    }
}

impl Answering {
    /// The next piece; an error breaks the connection off.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.sent >= self.cut_at {
            sleep(BEFORE_CUT).await;
            self.job.end(Ended::Truncated);
            return Some(Err(io::Error::other("cut short")));
        }
        if self.sent < self.len && Instant::now() >= self.deadline {
            self.job.end(Ended::Expired);
            return Some(Err(io::ErrorKind::TimedOut.into()));
        }
        if self.sent == self.len {
            self.job.end(Ended::Ran);
            return None;
        }
        let limit = CHUNK_BYTES.min(self.len.min(self.cut_at) - self.sent);
        let chunk = match &self.content {
            Content::Pattern(pattern) => pattern.chunk(self.sent, limit),
            Content::Bytes(bytes) => bytes.slice(..usize::try_from(limit).unwrap_or(bytes.len())),
        };
        self.sent += chunk.len() as u64;
        if self.sent == self.len {
            // The connection may never ask for the end of an answer whose length it knows.
            self.job.end(Ended::Ran);
        }
        Some(Ok(chunk))
    }
}

/// Pieces of an answer; a broken one ends after its error.
fn body_stream(answering: Answering) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Some(answering), |answering| async {
        let mut answering = answering?;
        let piece = answering.next().await?;
        let rest = piece.is_ok().then_some(answering);
        Some((piece, rest))
    })
    .boxed_local()
}

/// Begins an answer with the headers that each has.
fn answer(
    upstream: &Upstream,
    status: StatusCode,
    request: Option<&HttpRequest>,
) -> HttpResponseBuilder {
    let mut answer = HttpResponse::build(status);
    answer.insert_header(("Upstream-Id", upstream.id()));
    if let Some(id) = request.and_then(|request| header(request, "Jasmine-Request")) {
        answer.insert_header(("Jasmine-Request", id));
    }
    if upstream.leaving() {
        answer.insert_header(("Upstream-State", "leaving"));
    }
    answer
}

/// The refusal that proves that the request didn't run.
fn refused(upstream: &Upstream, request: &HttpRequest) -> HttpResponse {
    let mut answer = answer(upstream, StatusCode::SERVICE_UNAVAILABLE, Some(request));
    answer.insert_header(("Upstream-Refused", "not-run"));
    if lock(&upstream.inner).gone {
        answer.force_close();
    }
    answer.finish()
}

/// When the caller's time is over.
fn deadline(request: &HttpRequest) -> Instant {
    let left_ms = header(request, "Jasmine-Deadline-Ms").and_then(|text| text.parse().ok());
    let left = left_ms.map_or(LONGEST, Duration::from_millis);
    Instant::now() + left.min(LONGEST)
}

/// Text of a header.
fn header(request: &HttpRequest, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// Path and query.
fn path_of(request: &HttpRequest) -> String {
    let path = request.uri().path_and_query();
    path.map_or_else(String::new, |path| path.as_str().to_owned())
}

/// Length of the answer to `/bytes/<n>…` and `/chunked/<n>…`.
fn size_of(path: &str) -> Option<u64> {
    let rest = path.strip_prefix("/bytes/");
    let rest = rest.or_else(|| path.strip_prefix("/chunked/"))?;
    rest.split(['/', '?']).next()?.parse().ok()
}

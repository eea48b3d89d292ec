//! Handles one request from its head to its final response.

use crate::{
    metric,
    traffic::{
        plan::{
            plan,
            Origin,
            Rejected, //
        },
        response::{
            retry_later,
            FinalResponse, //
        },
        Traffic, //
    },
};
use actix_http::{
    header::HOST,
    HttpMessage,
    Request as Head,
    StatusCode, //
};
use event::{
    emit,
    Event,
    Outcome, //
};
use relay::{
    BodyMemory,
    CallerResponse,
    Concurrency,
    Handler,
    Refusal,
    Request, //
};
use route::{
    CallerLimits,
    Kind, //
};
use std::{
    rc::Rc,
    sync::atomic::Ordering,
    time::Duration, //
};

impl Handler for Traffic {
    fn limits(&self) -> CallerLimits {
        let snapshot = self.shared.published.load();
        let table = snapshot.routes.as_ref();
        table.map(|table| *table.limits()).unwrap_or_default()
    }

    fn is_stopping(&self) -> bool {
        self.shared.published.load().stopping
    }

    fn concurrency(&self, head: &Head) -> Concurrency {
        let snapshot = self.shared.published.load();
        let route = snapshot.routes.as_ref().and_then(|table| {
            let host = head.headers().get(HOST)?.to_str().ok()?;
            table.find(host, head.uri().path())
        });
        match route {
            Some(route) if route.kind == Kind::Download || self.has_long_responses(&route.id) => {
                Concurrency::Exclusive
            }
            Some(route) if route.kind.is_idempotent() => Concurrency::Concurrent,
            _ => Concurrency::Sequential,
        }
    }

    async fn handle(self: Rc<Self>, request: Request) -> CallerResponse {
        let (response, _outcome) = self.serve(request, Origin::Caller).await;
        response
    }

    fn body_memory(&self) -> BodyMemory {
        self.body_memory.clone()
    }

    fn refuse(&self, refusal: Refusal) -> CallerResponse {
        if refusal == Refusal::NoBodyMemory {
            return self.refuse_body();
        }
        let status = match refusal {
            Refusal::Malformed => StatusCode::BAD_REQUEST,
            Refusal::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Refusal::NoBodyMemory => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Internal => StatusCode::BAD_GATEWAY,
        };
        metrics::counter!(metric::REQUESTS, "outcome" => "unreadable").increment(1);
        if self.log_limiter.try_take(true, self.now()) {
            emit(&Event::RequestNotRead {
                why: format!("{refusal:?}"),
                status: status.as_u16(),
            });
        }
        CallerResponse::empty(status)
    }
}

/// `Retry-After` of a request for whose body there is no memory: the time that a body of the common length is held.
const BODY_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Traffic {
    /// Rejects a request for whose body there is no memory.
    fn refuse_body(&self) -> CallerResponse {
        let (response, outcome) = retry_later(BODY_RETRY_AFTER, Outcome::Refused);
        metrics::counter!(metric::REQUESTS, "outcome" => outcome.as_str()).increment(1);
        metrics::counter!(metric::BODIES_REFUSED).increment(1);
        if self.log_limiter.try_take(true, self.now()) {
            let budget = self.body_memory.budget();
            emit(&Event::BodyRefused {
                held_bytes: budget.held_bytes(),
                limit_bytes: budget.limit_bytes().unwrap_or_default(),
            });
        }
        response
    }

    /// Serves a request of a caller or of another entry.
    pub(super) async fn serve(self: &Rc<Self>, request: Request, origin: Origin) -> FinalResponse {
        let active = ActiveRequest::new(self);
        let received = request.received;
        let id = request
            .headers
            .get(&self.shared.dialect.request_id)
            .cloned();
        let snapshot = self.refresh();
        let (mut response, outcome) = match plan(self, &snapshot, request, origin) {
            Ok(dispatch) => dispatch.run().await,
            Err(rejected) => {
                self.log_rejected(id.as_ref(), &rejected, received);
                let Rejected {
                    response, outcome, ..
                } = *rejected;
                (response, outcome)
            }
        };
        if let Some(id) = id {
            let name = &self.shared.dialect.request_id;
            if !response.headers.contains_key(name) {
                response.headers.insert(name.clone(), id);
            }
        }
        response.guard = Some(Box::new(active));
        metrics::counter!(metric::REQUESTS, "outcome" => outcome.as_str()).increment(1);
        metrics::histogram!(metric::REQUEST_SECONDS, "outcome" => outcome.as_str())
            .record(received.elapsed().as_secs_f64());
        (response, outcome)
    }
}

/// Guard that counts a request as active until it is dropped, which is when its response has been written.
struct ActiveRequest(Rc<Traffic>);

impl ActiveRequest {
    fn new(traffic: &Rc<Traffic>) -> Self {
        traffic
            .shared
            .active_requests
            .fetch_add(1, Ordering::Relaxed);
        Self(traffic.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0
            .shared
            .active_requests
            .fetch_sub(1, Ordering::Relaxed);
    }
}

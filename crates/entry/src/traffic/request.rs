//! One request, from its head to its final answer.

use crate::{
    metric,
    traffic::{
        plan::plan,
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
    Event, //
};
use relay::{
    CallerResponse,
    Handler,
    Refusal,
    Request, //
};
use route::CallerLimits;
use std::{
    rc::Rc,
    sync::atomic::Ordering, //
};

impl Handler for Traffic {
    fn limits(&self) -> CallerLimits {
        let snapshot = self.shared.published.load();
        let table = snapshot.table.as_ref();
        table.map(|table| *table.limits()).unwrap_or_default()
    }

    fn is_stopping(&self) -> bool {
        self.shared.published.load().stopping
    }

    fn may_run_concurrently(&self, head: &Head) -> bool {
        let snapshot = self.shared.published.load();
        let route = snapshot.table.as_ref().and_then(|table| {
            let host = head.headers().get(HOST)?.to_str().ok()?;
            table.find(host, head.uri().path())
        });
        route.is_some_and(|route| route.kind.is_idempotent())
    }

    async fn handle(self: Rc<Self>, request: Request) -> CallerResponse {
        let _counted = Counted::new(&self);
        let received = request.received;
        let id = request
            .headers
            .get(&self.shared.dialect.request_id)
            .cloned();
        let snapshot = self.snapshot();
        let (mut answer, outcome) = match plan(&self, &snapshot, request) {
            Ok(job) => job.run().await,
            Err((answer, outcome)) => {
                self.log_turned_away(id.as_ref(), &answer, outcome, received);
                (answer, outcome)
            }
        };
        if let Some(id) = id {
            let name = &self.shared.dialect.request_id;
            if !answer.headers.contains_key(name) {
                answer.headers.insert(name.clone(), id);
            }
        }
        metrics::counter!(metric::REQUESTS, "outcome" => outcome.as_str()).increment(1);
        metrics::histogram!(metric::REQUEST_SECONDS, "outcome" => outcome.as_str())
            .record(received.elapsed().as_secs_f64());
        answer
    }

    fn refuse(&self, refusal: Refusal) -> CallerResponse {
        let status = match refusal {
            Refusal::Malformed => StatusCode::BAD_REQUEST,
            Refusal::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Refusal::Internal => StatusCode::BAD_GATEWAY,
        };
        metrics::counter!(metric::REQUESTS, "outcome" => "unreadable").increment(1);
        if self.log.take(true, self.now()) {
            emit(&Event::RequestNotRead {
                why: format!("{refusal:?}"),
                status: status.as_u16(),
            });
        }
        CallerResponse::empty(status)
    }
}

/// A request under way, until it is dropped.
struct Counted(Rc<Traffic>);

impl Counted {
    fn new(traffic: &Rc<Traffic>) -> Self {
        traffic.shared.under_way.fetch_add(1, Ordering::Relaxed);
        Self(traffic.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.shared.under_way.fetch_sub(1, Ordering::Relaxed);
    }
}

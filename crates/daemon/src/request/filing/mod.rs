//! Filings: work of a class that is not idempotent, run at most once.
//!
//! A filing carries either a ticket, about which only this entry's ledger decides, or an
//! idempotency key, which is first claimed in the table. Either way the request runs in a task of
//! its own, which continues when the caller disconnects: the next copy of the filing must get the
//! outcome of the first.

mod claim;
mod ticket;

use self::{
    claim::run_by_key,
    ticket::{
        read_body_for_ticket,
        refuse,
        run_by_ticket, //
    },
};
use crate::request::{
    answer::{
        ErrorResponse,
        Reason, //
    },
    attempt::{
        Body,
        Outgoing,
        ResponseBody, //
    },
    dispatch::Dispatched,
    header,
    input::FilingToken,
    work::Work, //
};
use ::filing::Record;
use actix_web::{
    http::{
        header::{
            HeaderName,
            HeaderValue,
            CONTENT_TYPE, //
        },
        StatusCode, //
    },
    web,
    HttpRequest,
    HttpResponse, //
};
use base::RunOutcome;
use bytes::Bytes;
use bytestring::ByteString;
use std::time::Duration;

/// Retry delay for a filing that is still running.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);
/// HTTP status recorded for the outcome `unknown`.
const UNKNOWN_STATUS: u16 = 504;
/// HTTP status recorded for the outcome `not-run`.
const NOT_RUN_STATUS: u16 = 503;

/// Response to a filing.
type FilingResult = Result<HttpResponse, ErrorResponse>;

/// Runs a filing, or replays the outcome of an earlier copy.
///
/// `checked` is the result of the header checks; a ticket that is refused for it can't be reused.
pub(crate) async fn file(
    work: Work,
    checked: Result<(), ErrorResponse>,
    request: &HttpRequest,
    payload: web::Payload,
) -> FilingResult {
    match FilingToken::from_headers(request.headers(), &work.traffic.shared.ticket_key)? {
        FilingToken::Ticket(ticket) => {
            let body = match checked {
                Ok(()) => read_body_for_ticket(&work, &ticket, request, payload).await,
                Err(error) => Err(error),
            };
            match body {
                Ok(body) => run_by_ticket(work, request, body, ticket).await,
                Err(error) => refuse(&work, &ticket, error).await,
            }
        }
        FilingToken::Key(_) if work.is_refusing() => Err(work.stopping()),
        FilingToken::Key(key) => {
            checked?;
            run_by_key(work, request, payload, &key).await
        }
    }
}

/// Runs the request once; returns the record to store and the response.
async fn run(work: Work, out: Outgoing, body: Body) -> (Record, FilingResult) {
    match work.dispatch(&out, body).await {
        Ok(dispatched) => {
            let record = response_record(&dispatched);
            (record, Ok(work.forward_response(dispatched)))
        }
        Err(error) => {
            let status = match error.outcome {
                RunOutcome::NotRun => NOT_RUN_STATUS,
                RunOutcome::Unknown | RunOutcome::Done => UNKNOWN_STATUS,
            };
            (Record::status_only(error.outcome, status), Err(error))
        }
    }
}

/// Record of a response. One that streams is not kept; its repeats get the outcome `unknown`.
fn response_record(dispatched: &Dispatched) -> Record {
    let ResponseBody::Whole(body) = &dispatched.body else {
        return Record::status_only(RunOutcome::Unknown, UNKNOWN_STATUS);
    };
    let content_type = dispatched.head.headers.get(CONTENT_TYPE);
    let headers = content_type.map(|value| {
        let name = ByteString::from_static("content-type");
        (name, Bytes::copy_from_slice(value.as_bytes()))
    });
    Record {
        outcome: RunOutcome::Done,
        status: dispatched.head.status.as_u16(),
        headers: headers.into_iter().collect(),
        body: body.clone(),
    }
}

/// Response to a repeated filing, from the record of an earlier copy.
fn replay(work: &Work, record: Record) -> Result<HttpResponse, ErrorResponse> {
    match record.outcome {
        RunOutcome::NotRun => Err(ErrorResponse::not_run(
            Reason::TicketRefused,
            "an earlier copy was answered not-run; take a new ticket",
        )),
        RunOutcome::Unknown => Err(ErrorResponse::unknown(
            Reason::UpstreamFailed,
            "the outcome of an earlier copy is not known",
        )),
        RunOutcome::Done => {
            let status = StatusCode::from_u16(record.status).unwrap_or(StatusCode::OK);
            let mut response = HttpResponse::build(status);
            for (name, value) in &record.headers {
                if let Ok(value) = HeaderValue::from_bytes(value) {
                    response.append_header((&**name, value));
                }
            }
            Ok(work.finish_response(response.body(record.body)))
        }
    }
}

/// Error response while an earlier copy is still running.
fn in_progress(entry: Option<ByteString>) -> ErrorResponse {
    ErrorResponse::unknown(Reason::InProgress, "an earlier copy has not ended")
        .retry_after(IN_PROGRESS_RETRY)
        .use_entry(entry)
}

/// Error response when the task that ran the filing ended without a result.
fn outcome_lost() -> ErrorResponse {
    ErrorResponse::unknown(Reason::UpstreamFailed, "the filing's outcome was lost")
}

/// Builds the request to send on, with the id of the filing.
fn outgoing(request: &HttpRequest, filing_id: &str) -> Outgoing {
    let mut out = crate::request::work::outgoing(request, false);
    if let Ok(value) = HeaderValue::from_str(filing_id) {
        let name = HeaderName::from_static(header::FILING);
        out.headers.insert(name, value);
    }
    out
}

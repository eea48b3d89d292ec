//! Filings: work of a class that is not idempotent, run at most once.
//!
//! A filing brings a ticket, whose only judge is this entry's ledger, or a key of the caller's,
//! which is claimed in the table first. Either way the request itself runs in a task of its own:
//! a caller who goes away must not leave a half-known outcome behind, for the next copy of the
//! filing has to be told what came of the first.

mod claim;
mod ticket;

use self::{
    claim::by_key,
    ticket::{
        by_ticket,
        read_for,
        refuse, //
    },
};
use crate::request::{
    answer::{
        Answer,
        Reason, //
    },
    attempt::{
        AnswerBody,
        Body,
        Outgoing, //
    },
    carry::Carried,
    header,
    input::Way,
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

/// When to come back for a filing that is still running.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);
/// Status of an answer that says `unknown`.
const UNKNOWN_STATUS: u16 = 504;
/// Status of an answer that says `not-run`.
const NOT_RUN_STATUS: u16 = 503;

/// What a run leaves for the ledger or the claim.
type Ran = Result<HttpResponse, Answer>;

/// Runs a filing, or answers what came of it before.
///
/// `admitted` says what else is wrong with the request; a ticket that is refused for it is burned.
pub(crate) async fn file(
    work: Work,
    admitted: Result<(), Answer>,
    request: &HttpRequest,
    payload: web::Payload,
) -> Ran {
    match Way::of(request.headers(), &work.traffic.shared.ticket_key)? {
        Way::Ticket(ticket) => {
            let body = match admitted {
                Ok(()) => read_for(&work, &ticket, request, payload).await,
                Err(answer) => Err(answer),
            };
            match body {
                Ok(body) => by_ticket(work, request, body, ticket).await,
                Err(answer) => refuse(&work, &ticket, answer).await,
            }
        }
        Way::Key(_) if work.is_refusing() => Err(work.stopping()),
        Way::Key(key) => {
            admitted?;
            by_key(work, request, payload, &key).await
        }
    }
}

/// Runs the request once; gives what to remember, and the answer.
async fn run(work: Work, out: Outgoing, body: Body) -> (Record, Ran) {
    match work.carry(&out, body).await {
        Ok(carried) => {
            let record = record_of(&carried);
            (record, Ok(work.pass_on(carried)))
        }
        Err(answer) => {
            let status = match answer.outcome {
                RunOutcome::NotRun => NOT_RUN_STATUS,
                RunOutcome::Unknown | RunOutcome::Done => UNKNOWN_STATUS,
            };
            (Record::status_only(answer.outcome, status), Err(answer))
        }
    }
}

/// Record of a whole answer; one that streams is not kept, and its repeats are told `unknown`.
fn record_of(carried: &Carried) -> Record {
    let AnswerBody::Whole(body) = &carried.body else {
        return Record::status_only(RunOutcome::Unknown, UNKNOWN_STATUS);
    };
    let content_type = carried.head.headers.get(CONTENT_TYPE);
    let headers = content_type.map(|value| {
        let name = ByteString::from_static("content-type");
        (name, Bytes::copy_from_slice(value.as_bytes()))
    });
    Record {
        outcome: RunOutcome::Done,
        status: carried.head.status.as_u16(),
        headers: headers.into_iter().collect(),
        body: body.clone(),
    }
}

/// Answers with what came of an earlier copy.
fn replay(work: &Work, record: Record) -> Result<HttpResponse, Answer> {
    match record.outcome {
        RunOutcome::NotRun => Err(Answer::not_run(
            Reason::TicketRefused,
            "an earlier copy was answered not-run; take a new ticket",
        )),
        RunOutcome::Unknown => Err(Answer::unknown(
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

fn in_progress(entry: Option<ByteString>) -> Answer {
    Answer::unknown(Reason::InProgress, "an earlier copy has not ended")
        .retry_after(IN_PROGRESS_RETRY)
        .use_entry(entry)
}

/// Answer when the task that ran the filing is gone without a word.
fn lost() -> Answer {
    Answer::unknown(Reason::UpstreamFailed, "the filing's outcome was lost")
}

fn outgoing(request: &HttpRequest, filing: &str) -> Outgoing {
    let mut out = crate::request::work::outgoing(request, false);
    if let Ok(value) = HeaderValue::from_str(filing) {
        let name = HeaderName::from_static(header::FILING);
        out.headers.insert(name, value);
    }
    out
}

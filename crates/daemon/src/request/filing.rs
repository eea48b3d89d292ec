//! Filings: work of a class that is not idempotent, run at most once.
//!
//! A filing brings a ticket, whose only judge is this entry's ledger, or a key of the caller's,
//! which is claimed in the table first. Either way the request itself runs in a task of its own:
//! a caller who goes away must not leave a half-known outcome behind, for the next copy of the
//! filing has to be told what came of the first.

use crate::{
    process::{
        control::release_later,
        shared::{
            ClaimReply,
            ClaimWanted,
            Note,
            Shared, //
        },
    },
    request::{
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
        work::Work, //
    },
};
use ::filing::{
    claim_key,
    Begin,
    ClaimAnswer,
    ClaimStep,
    Claimant,
    Claimer,
    Record,
    RefuseReason,
    Ticket,
    NO_CALLER, //
};
use actix_web::{
    http::{
        header::{
            HeaderMap,
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
use bytestring::ByteString;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::sync::oneshot;

/// Longest idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 200;
/// When to come back for a filing that is still running.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);
/// When to come back while the table can't be asked.
const TABLE_DOWN_RETRY: Duration = Duration::from_secs(2);
/// Status of an answer that says `unknown`.
const UNKNOWN_STATUS: u16 = 504;
/// Status of an answer that says `not-run`.
const NOT_RUN_STATUS: u16 = 503;

/// How a filing is made to run at most once.
enum Way {
    Ticket(Ticket),
    Key(ByteString),
}

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
) -> Result<HttpResponse, Answer> {
    match Way::of(request.headers(), &work.traffic.shared)? {
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

/// Reads the body of a filing whose ticket is for this class.
///
/// The body comes before the ledger is asked: a caller who sends it slowly holds nothing meanwhile.
async fn read_for(
    work: &Work,
    ticket: &Ticket,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<Body, Answer> {
    if ticket.class != work.class.class.id {
        let detail = "the ticket is for another class";
        return Err(Answer::not_run(Reason::TicketRefused, detail));
    }
    work.read_body(request.headers(), payload).await
}

/// Refuses a filing with a valid ticket, for reasons of this entry's own.
///
/// A copy of it may be running or may come later. `not-run` is only true once the ledger has made
/// sure that no copy ran or will run; otherwise the caller is told what is known of the copy.
async fn refuse(work: &Work, ticket: &Ticket, answer: Answer) -> Result<HttpResponse, Answer> {
    let shared = &work.traffic.shared;
    let begun = shared.with_filings(|filings| filings.refuse(ticket, shared.now()));
    match begun {
        Some(Begin::Replay(record)) if record.outcome == RunOutcome::NotRun => Err(answer),
        Some(Begin::Replay(record)) => replay(work, record),
        Some(Begin::Refuse(reason)) => refused(work, ticket, &reason).await,
        Some(Begin::Wait | Begin::Run) => Err(in_progress(None)),
        None => Err(Answer::unknown(Reason::NotReady, "no incarnation yet")),
    }
}

impl Way {
    fn of(headers: &HeaderMap, shared: &Shared) -> Result<Self, Answer> {
        let refuse = |reason, detail: String| Answer::not_run(reason, detail);
        let ticket = headers.get(header::TICKET);
        let key = headers.get(header::IDEMPOTENCY_KEY);
        match (ticket, key) {
            (Some(ticket), None) => {
                let text = ticket.to_str().unwrap_or_default();
                Ticket::verify(text, &shared.ticket_key)
                    .map(Self::Ticket)
                    .map_err(|error| refuse(Reason::TicketRefused, error.to_string()))
            }
            (None, Some(key)) => {
                let text = key.to_str().unwrap_or_default();
                if text.is_empty() || text.len() > KEY_MAX_BYTES {
                    let detail =
                        format!("Idempotency-Key: 1 to {KEY_MAX_BYTES} visible characters");
                    return Err(refuse(Reason::BadRequest, detail));
                }
                Ok(Self::Key(text.into()))
            }
            (None, None) => Err(refuse(
                Reason::BadRequest,
                "this class needs a Jasmine-Ticket or an Idempotency-Key".into(),
            )),
            (Some(_), Some(_)) => Err(refuse(
                Reason::BadRequest,
                "give a Jasmine-Ticket or an Idempotency-Key, not both".into(),
            )),
        }
    }
}

async fn by_ticket(
    work: Work,
    request: &HttpRequest,
    body: Body,
    ticket: Ticket,
) -> Result<HttpResponse, Answer> {
    let shared = Arc::clone(&work.traffic.shared);
    loop {
        let filed = shared.filed.notified();
        tokio::pin!(filed);
        filed.as_mut().enable();
        let begun = shared.with_filings(|filings| filings.begin(&ticket, shared.now()));
        match begun {
            None => return Err(Answer::unknown(Reason::NotReady, "no incarnation yet")),
            Some(Begin::Run) => {
                let out = outgoing(request, &format!("{:032x}", ticket.nonce));
                return run_ticket(work, out, body, ticket).await;
            }
            Some(Begin::Replay(record)) => return replay(&work, record),
            Some(Begin::Refuse(reason)) => return refused(&work, &ticket, &reason).await,
            Some(Begin::Wait) => {
                let ended = tokio::time::timeout_at(work.deadline.at(), filed).await;
                if ended.is_err() {
                    return Err(in_progress(None));
                }
            }
        }
    }
}

/// Runs in a task of its own, which outlives the caller.
async fn run_ticket(work: Work, out: Outgoing, body: Body, ticket: Ticket) -> Ran {
    let (answer, answered) = oneshot::channel();
    actix_rt::spawn(async move {
        let shared = Arc::clone(&work.traffic.shared);
        let (record, ran) = run(work, out, body).await;
        shared.with_filings(|filings| filings.finish(ticket.nonce, record));
        shared.filed.notify_waiters();
        // A caller who went away asks again with the same ticket.
        let _ = answer.send(ran);
    });
    answered.await.unwrap_or_else(|_| Err(lost()))
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
            (Record::bare(answer.outcome, status), Err(answer))
        }
    }
}

/// Record of a whole answer; one that streams is not kept, and its repeats are told `unknown`.
fn record_of(carried: &Carried) -> Record {
    let AnswerBody::Whole(body) = &carried.body else {
        return Record::bare(RunOutcome::Unknown, UNKNOWN_STATUS);
    };
    let content_type = carried.head.headers.get(CONTENT_TYPE);
    let headers = content_type.map(|value| {
        let name = ByteString::from_static("content-type");
        (name, bytes::Bytes::copy_from_slice(value.as_bytes()))
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

/// Answers a ticket that doesn't run here.
///
/// Where the ledger can't tell, the outcome may be in the table: its entry wrote it before it went.
async fn refused(
    work: &Work,
    ticket: &Ticket,
    reason: &RefuseReason,
) -> Result<HttpResponse, Answer> {
    let detail = format!("{reason:?}");
    if reason.outcome() == RunOutcome::NotRun {
        let why = match reason {
            RefuseReason::Stopping => Reason::Stopping,
            _ => Reason::TicketRefused,
        };
        return Err(Answer::not_run(why, detail).retry_after(IN_PROGRESS_RETRY));
    }
    if let Some(record) = table_outcome(work, ticket).await {
        return replay(work, record);
    }
    // Whoever has the right to the ticket can tell what came of it.
    let judge = match reason {
        RefuseReason::HandedOver(Some(successor)) => Some(successor),
        RefuseReason::OtherInstance => Some(&ticket.instance),
        _ => None,
    };
    let entry = judge.and_then(|instance| work.entry_addr(instance));
    Err(Answer::unknown(Reason::TicketRefused, detail).use_entry(entry))
}

/// Outcome that the ticket's entry wrote to the table, if there is one.
async fn table_outcome(work: &Work, ticket: &Ticket) -> Option<Record> {
    let (reply, replied) = oneshot::channel();
    let wanted = Note::Outcome(ticket.nonce, reply);
    work.traffic.shared.notes.send(wanted).ok()?;
    let replied = tokio::time::timeout_at(work.deadline.at(), replied).await;
    replied.ok()?.ok()?
}

async fn by_key(
    work: Work,
    request: &HttpRequest,
    payload: web::Payload,
    key: &ByteString,
) -> Result<HttpResponse, Answer> {
    let body = work.read_body(request.headers(), payload).await?;
    let claimant = Claimant {
        key: claim_key(&work.class.class.id, key.as_bytes()),
        token: work.traffic.random_u128(),
        instance: work.traffic.shared.settings.instance.clone(),
        incarnation: work.traffic.shared.incarnation(),
        digest: digest(request, &body),
    };
    let out = outgoing(request, key);
    match claim(&work, claimant).await? {
        ClaimReply::Ready(claimer) => run_claim(work, out, body, claimer).await,
        ClaimReply::Over(answer) => over(&work, answer),
    }
}

/// Asks control for the claim and waits for it until the deadline.
async fn claim(work: &Work, claimant: Claimant) -> Result<ClaimReply, Answer> {
    let (reply, replied) = oneshot::channel();
    let wanted = Note::Claim(ClaimWanted { claimant, reply });
    let sent = work.traffic.shared.notes.send(wanted);
    let not_run = |detail: &'static str| {
        let answer = Answer::not_run(Reason::ClaimImpossible, detail);
        answer.retry_after(TABLE_DOWN_RETRY)
    };
    if sent.is_err() {
        return Err(not_run("this process ends"));
    }
    let mut replied = replied;
    match tokio::time::timeout_at(work.deadline.at(), &mut replied).await {
        Ok(Ok(reply)) => return Ok(reply),
        Ok(Err(_)) => {}
        Err(_) => {
            // The claim may have arrived in this very moment: dropped with the channel, it would
            // hold the key for good. After the close control gives up what comes later.
            replied.close();
            if let Ok(ClaimReply::Ready(mut claimer)) = replied.try_recv() {
                if let ClaimStep::Answer(answer) = claimer.unsent() {
                    release_later(&work.traffic.shared.notes, &answer);
                }
            }
        }
    }
    Err(not_run("the key was not claimed in time"))
}

async fn run_claim(work: Work, out: Outgoing, body: Body, mut claimer: Claimer) -> Ran {
    let (answer, answered) = oneshot::channel();
    actix_rt::spawn(async move {
        let shared = Arc::clone(&work.traffic.shared);
        let step = claimer.send(shared.now(), shared.lease_until());
        if step != ClaimStep::Send {
            let ran = match step {
                ClaimStep::Answer(over_answer) => {
                    release_later(&shared.notes, &over_answer);
                    over(&work, over_answer)
                }
                _ => Err(lost()),
            };
            let _ = answer.send(ran);
            return;
        }
        let (record, ran) = run(work, out, body).await;
        conclude(&shared, &mut claimer, record);
        let _ = answer.send(ran);
    });
    answered.await.unwrap_or_else(|_| Err(lost()))
}

/// Writes what came of a claimed filing, or frees the key if nothing ran.
fn conclude(shared: &Shared, claimer: &mut Claimer, record: Record) {
    if record.outcome == RunOutcome::NotRun {
        if let ClaimStep::Answer(answer) = claimer.unsent() {
            release_later(&shared.notes, &answer);
        }
        return;
    }
    if let Some(insert) = claimer.ended(NO_CALLER, record) {
        // A closed channel means that the process ends; repeats are told `unknown`.
        let _ = shared.notes.send(Note::Ended(insert));
    }
}

fn over(work: &Work, answer: ClaimAnswer) -> Ran {
    match answer {
        ClaimAnswer::NotRun(_) => {
            let answer = Answer::not_run(Reason::ClaimImpossible, "the key was not claimed");
            Err(answer.retry_after(TABLE_DOWN_RETRY))
        }
        ClaimAnswer::Replay(record) => replay(work, record),
        ClaimAnswer::InProgress { owner, .. } => Err(in_progress(work.entry_addr(&owner))),
        ClaimAnswer::KeyReused => Err(Answer::not_run(
            Reason::BadRequest,
            "the Idempotency-Key was used for another request",
        )),
        ClaimAnswer::Unreadable => Err(Answer::unknown(
            Reason::InProgress,
            "the key's claim can't be read",
        )),
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

/// Digest of what is filed, so that a key used for something else is told from a repeat.
fn digest(request: &HttpRequest, body: &Body) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.method().as_str().as_bytes());
    hasher.update(b"\n");
    hasher.update(request.uri().to_string().as_bytes());
    hasher.update(b"\n");
    if let Body::Whole(bytes) = body {
        hasher.update(bytes);
    }
    let hash = hasher.finalize();
    let first: [u8; 16] = hash.as_bytes()[..16]
        .try_into()
        .expect("a hash has 32 bytes");
    u128::from_be_bytes(first)
}

fn outgoing(request: &HttpRequest, filing: &str) -> Outgoing {
    let mut out = crate::request::work::outgoing(request, false);
    if let Ok(value) = HeaderValue::from_str(filing) {
        let name = actix_web::http::header::HeaderName::from_static(header::FILING);
        out.headers.insert(name, value);
    }
    out
}

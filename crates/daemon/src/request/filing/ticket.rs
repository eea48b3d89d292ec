//! Filings by ticket: this entry's ledger is the only judge.

use crate::{
    process::shared::Note,
    request::{
        answer::{
            Answer,
            Reason, //
        },
        attempt::{
            Body,
            Outgoing, //
        },
        filing::{
            in_progress,
            lost,
            outgoing,
            replay,
            run,
            Ran,
            IN_PROGRESS_RETRY, //
        },
        work::Work, //
    },
};
use ::filing::{
    Record,
    RefuseReason,
    Ticket, //
    TicketDecision,
};
use actix_web::{
    web,
    HttpRequest, //
};
use base::RunOutcome;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Reads the body of a filing whose ticket is for this class.
///
/// The body comes before the ledger is asked: a caller who sends it slowly holds nothing meanwhile.
pub(super) async fn read_for(
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
pub(super) async fn refuse(work: &Work, ticket: &Ticket, answer: Answer) -> Ran {
    let shared = &work.traffic.shared;
    let begun = shared.with_filings(|filings| filings.refuse(ticket, shared.now()));
    match begun {
        Some(TicketDecision::Replay(record)) if record.outcome == RunOutcome::NotRun => Err(answer),
        Some(TicketDecision::Replay(record)) => replay(work, record),
        Some(TicketDecision::Refuse(reason)) => refused(work, ticket, &reason).await,
        Some(TicketDecision::Wait | TicketDecision::Run) => Err(in_progress(None)),
        None => Err(Answer::unknown(Reason::NotReady, "no incarnation yet")),
    }
}

/// Runs the ticket, waits for a copy that runs, or answers what came of one.
pub(super) async fn by_ticket(
    work: Work,
    request: &HttpRequest,
    body: Body,
    ticket: Ticket,
) -> Ran {
    let shared = Arc::clone(&work.traffic.shared);
    loop {
        let filed = shared.filed.notified();
        tokio::pin!(filed);
        filed.as_mut().enable();
        let begun = shared.with_filings(|filings| filings.begin(&ticket, shared.now()));
        match begun {
            None => return Err(Answer::unknown(Reason::NotReady, "no incarnation yet")),
            Some(TicketDecision::Run) => {
                let out = outgoing(request, &format!("{:032x}", ticket.nonce));
                return run_ticket(work, out, body, ticket).await;
            }
            Some(TicketDecision::Replay(record)) => return replay(&work, record),
            Some(TicketDecision::Refuse(reason)) => return refused(&work, &ticket, &reason).await,
            Some(TicketDecision::Wait) => {
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

/// Answers a ticket that doesn't run here.
///
/// Where the ledger can't tell, the outcome may be in the table: its entry wrote it before it went.
async fn refused(work: &Work, ticket: &Ticket, reason: &RefuseReason) -> Ran {
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

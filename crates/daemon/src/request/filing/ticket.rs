//! Filings with a ticket, about which only this entry's ledger decides.

use crate::{
    process::shared::ControlMessage,
    request::{
        answer::{
            ErrorResponse,
            Reason, //
        },
        attempt::{
            Body,
            Outgoing, //
        },
        filing::{
            in_progress,
            outcome_lost,
            outgoing,
            replay,
            run,
            FilingResult,
            IN_PROGRESS_RETRY, //
        },
        work::Work, //
    },
};
use ::filing::{
    Record,
    RefuseReason,
    Ticket,
    TicketDecision, //
};
use actix_web::{
    web,
    HttpRequest, //
};
use base::RunOutcome;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Checks that the ticket is for this class, and reads the body.
///
/// The body is read before the ledger is asked, so that a slow caller occupies nothing meanwhile.
pub(super) async fn read_body_for_ticket(
    work: &Work,
    ticket: &Ticket,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<Body, ErrorResponse> {
    if ticket.class != work.class.class.id {
        let detail = "the ticket is for another class";
        return Err(ErrorResponse::not_run(Reason::TicketRefused, detail));
    }
    work.read_body(request.headers(), payload).await
}

/// Refuses a filing with an authentic ticket because of another `error`.
///
/// A copy of it may be running or may arrive later. `not-run` is true only once the ledger ensures
/// that no copy ran or will run; otherwise the response gives the known outcome of the copy.
pub(super) async fn refuse(work: &Work, ticket: &Ticket, error: ErrorResponse) -> FilingResult {
    let shared = &work.traffic.shared;
    let decision = shared.with_filings(|filings| filings.refuse(ticket, shared.now()));
    match decision {
        Some(TicketDecision::Replay(record)) if record.outcome == RunOutcome::NotRun => Err(error),
        Some(TicketDecision::Replay(record)) => replay(work, record),
        Some(TicketDecision::Refuse(reason)) => respond_to_refusal(work, ticket, &reason).await,
        Some(TicketDecision::Wait | TicketDecision::Run) => Err(in_progress(None)),
        None => Err(ErrorResponse::unknown(
            Reason::NotReady,
            "no incarnation yet",
        )),
    }
}

/// Runs the filing, waits for a running copy, or replays the outcome of one.
pub(super) async fn run_by_ticket(
    work: Work,
    request: &HttpRequest,
    body: Body,
    ticket: Ticket,
) -> FilingResult {
    let shared = Arc::clone(&work.traffic.shared);
    loop {
        let filed = shared.filing_ended.notified();
        tokio::pin!(filed);
        filed.as_mut().enable();
        let decision = shared.with_filings(|filings| filings.begin(&ticket, shared.now()));
        match decision {
            None => {
                return Err(ErrorResponse::unknown(
                    Reason::NotReady,
                    "no incarnation yet",
                ))
            }
            Some(TicketDecision::Run) => {
                let out = outgoing(request, &format!("{:032x}", ticket.nonce));
                return run_ticket(work, out, body, ticket).await;
            }
            Some(TicketDecision::Replay(record)) => return replay(&work, record),
            Some(TicketDecision::Refuse(reason)) => {
                return respond_to_refusal(&work, &ticket, &reason).await
            }
            Some(TicketDecision::Wait) => {
                let ended = tokio::time::timeout_at(work.deadline.at(), filed).await;
                if ended.is_err() {
                    return Err(in_progress(None));
                }
            }
        }
    }
}

/// Runs the filing in a task of its own, which outlives the caller.
async fn run_ticket(work: Work, out: Outgoing, body: Body, ticket: Ticket) -> FilingResult {
    let (reply, replied) = oneshot::channel();
    actix_rt::spawn(async move {
        let shared = Arc::clone(&work.traffic.shared);
        let (record, response) = run(work, out, body).await;
        shared.with_filings(|filings| filings.finish(ticket.nonce, record));
        shared.filing_ended.notify_waiters();
        // A caller that has disconnected can repeat the filing with the same ticket.
        let _ = reply.send(response);
    });
    replied.await.unwrap_or_else(|_| Err(outcome_lost()))
}

/// Response to a ticket that the ledger refused.
///
/// If the ledger doesn't know the outcome, it may be in the table: the ticket's entry writes it
/// there before it exits.
async fn respond_to_refusal(work: &Work, ticket: &Ticket, reason: &RefuseReason) -> FilingResult {
    let detail = format!("{reason:?}");
    if reason.outcome() == RunOutcome::NotRun {
        let error_reason = match reason {
            RefuseReason::Stopping => Reason::Stopping,
            _ => Reason::TicketRefused,
        };
        return Err(ErrorResponse::not_run(error_reason, detail).retry_after(IN_PROGRESS_RETRY));
    }
    if let Some(record) = table_outcome(work, ticket).await {
        return replay(work, record);
    }
    // The entry that holds the ticket knows its outcome.
    let holder = match reason {
        RefuseReason::HandedOver(Some(successor)) => Some(successor),
        RefuseReason::OtherInstance => Some(&ticket.instance),
        _ => None,
    };
    let entry = holder.and_then(|instance| work.entry_addr(instance));
    Err(ErrorResponse::unknown(Reason::TicketRefused, detail).use_entry(entry))
}

/// Outcome that the ticket's entry wrote to the table, if any.
async fn table_outcome(work: &Work, ticket: &Ticket) -> Option<Record> {
    let (reply, replied) = oneshot::channel();
    let note = ControlMessage::ReadOutcome(ticket.nonce, reply);
    work.traffic.shared.control_tx.send(note).ok()?;
    let replied = tokio::time::timeout_at(work.deadline.at(), replied).await;
    replied.ok()?.ok()?
}

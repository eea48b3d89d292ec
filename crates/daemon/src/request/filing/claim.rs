//! Filings with an idempotency key, which is claimed in the table before anything is sent.

use crate::{
    process::{
        control::request_release,
        shared::{
            ClaimReply,
            ClaimRequest,
            ControlMessage,
            Shared, //
        },
    },
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
            FilingResult, //
        },
        work::Work, //
    },
};
use ::filing::{
    claim_key,
    ClaimResult,
    ClaimStep,
    Claimant,
    Claimer,
    Record,
    NO_CALLER, //
};
use actix_web::{
    http::header::CONTENT_LENGTH,
    web,
    HttpRequest, //
};
use base::RunOutcome;
use bytestring::ByteString;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::sync::oneshot;

/// Retry delay while the table is unavailable.
const TABLE_UNAVAILABLE_RETRY: Duration = Duration::from_secs(2);

/// Claims the key and runs the filing, or replays the outcome of an earlier copy.
pub(super) async fn run_by_key(
    work: Work,
    request: &HttpRequest,
    payload: web::Payload,
    key: &ByteString,
) -> FilingResult {
    let body = work.read_body(request.headers(), payload).await?;
    let claimant = Claimant {
        key: claim_key(&work.class.class.id, key.as_bytes()),
        token: work.traffic.random_u128(),
        instance: work.traffic.shared.settings.instance.clone(),
        incarnation: work.traffic.shared.incarnation(),
        digest: request_digest(request, &body),
    };
    let out = outgoing(request, key);
    match claim(&work, claimant).await? {
        ClaimReply::Ready(claimer) => run_claim(work, out, body, claimer).await,
        ClaimReply::Concluded(result) => respond_to(&work, result),
    }
}

/// Sends the claim to control and waits for the reply until the deadline.
async fn claim(work: &Work, claimant: Claimant) -> Result<ClaimReply, ErrorResponse> {
    let (reply, replied) = oneshot::channel();
    let note = ControlMessage::Claim(ClaimRequest { claimant, reply });
    let sent = work.traffic.shared.control_tx.send(note);
    let not_run = |detail: &'static str| {
        let error = ErrorResponse::not_run(Reason::ClaimImpossible, detail);
        error.retry_after(TABLE_UNAVAILABLE_RETRY)
    };
    if sent.is_err() {
        return Err(not_run("this process ends"));
    }
    let mut replied = replied;
    match tokio::time::timeout_at(work.deadline.at(), &mut replied).await {
        Ok(Ok(reply)) => return Ok(reply),
        Ok(Err(_)) => {}
        Err(_) => {
            // The claim may arrive at this moment: if it were dropped with the channel, it would
            // hold the key for good. Once the channel is closed, control releases later claims.
            replied.close();
            if let Ok(ClaimReply::Ready(mut claimer)) = replied.try_recv() {
                if let ClaimStep::Respond(result) = claimer.release() {
                    request_release(&work.traffic.shared.control_tx, &result);
                }
            }
        }
    }
    Err(not_run("the key was not claimed in time"))
}

/// Runs a claimed filing in a task of its own, which outlives the caller.
async fn run_claim(work: Work, out: Outgoing, body: Body, mut claimer: Claimer) -> FilingResult {
    let (reply, replied) = oneshot::channel();
    actix_rt::spawn(async move {
        let shared = Arc::clone(&work.traffic.shared);
        let step = claimer.send(shared.now(), shared.lease_until());
        if step != ClaimStep::Send {
            let response = match step {
                ClaimStep::Respond(result) => {
                    request_release(&shared.control_tx, &result);
                    respond_to(&work, result)
                }
                _ => Err(outcome_lost()),
            };
            let _ = reply.send(response);
            return;
        }
        let (record, response) = run(work, out, body).await;
        record_outcome(&shared, &mut claimer, record);
        let _ = reply.send(response);
    });
    replied.await.unwrap_or_else(|_| Err(outcome_lost()))
}

/// Writes the outcome of a claimed filing, or releases the key if nothing ran.
fn record_outcome(shared: &Shared, claimer: &mut Claimer, record: Record) {
    if record.outcome == RunOutcome::NotRun {
        if let ClaimStep::Respond(result) = claimer.release() {
            request_release(&shared.control_tx, &result);
        }
        return;
    }
    if let Some(insert) = claimer.outcome_write(NO_CALLER, record) {
        // A closed channel means that the process is ending; repeats get the outcome `unknown`.
        let _ = shared.control_tx.send(ControlMessage::WriteOutcome(insert));
    }
}

/// Response to a filing that is not run, from the result of its claim.
fn respond_to(work: &Work, result: ClaimResult) -> FilingResult {
    match result {
        ClaimResult::NotRun(_) => {
            let error = ErrorResponse::not_run(Reason::ClaimImpossible, "the key was not claimed");
            Err(error.retry_after(TABLE_UNAVAILABLE_RETRY))
        }
        ClaimResult::Replay(record) => replay(work, record),
        ClaimResult::InProgress { holder, .. } => Err(in_progress(work.entry_addr(&holder))),
        ClaimResult::KeyReused => Err(ErrorResponse::not_run(
            Reason::BadRequest,
            "the Idempotency-Key was used for another request",
        )),
        ClaimResult::Unreadable => Err(ErrorResponse::unknown(
            Reason::InProgress,
            "the key's claim can't be read",
        )),
    }
}

/// Digest of the request, which distinguishes a repeat from reuse of the key for another request.
fn request_digest(request: &HttpRequest, body: &Body) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.method().as_str().as_bytes());
    hasher.update(b"\n");
    hasher.update(request.uri().to_string().as_bytes());
    hasher.update(b"\n");
    match body {
        Body::Whole(bytes) => hasher.update(bytes),
        // A streaming body can't be read twice, so its declared length represents it.
        Body::Stream(_) => match request.headers().get(CONTENT_LENGTH) {
            Some(length) => hasher.update(length.as_bytes()),
            None => &mut hasher,
        },
    };
    let hash = hasher.finalize();
    let first: [u8; 16] = hash.as_bytes()[..16]
        .try_into()
        .expect("a hash has 32 bytes");
    u128::from_be_bytes(first)
}

//! Filings by the caller's key: claimed in the table before anything is sent.

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
            Body,
            Outgoing, //
        },
        filing::{
            in_progress,
            lost,
            outgoing,
            replay,
            run,
            Ran, //
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

/// When to come back while the table can't be asked.
const TABLE_DOWN_RETRY: Duration = Duration::from_secs(2);

/// Claims the key and runs the filing, or answers what came of an earlier one.
pub(super) async fn by_key(
    work: Work,
    request: &HttpRequest,
    payload: web::Payload,
    key: &ByteString,
) -> Ran {
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
                if let ClaimStep::Respond(answer) = claimer.release() {
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
                ClaimStep::Respond(over_answer) => {
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
        if let ClaimStep::Respond(answer) = claimer.release() {
            release_later(&shared.notes, &answer);
        }
        return;
    }
    if let Some(insert) = claimer.outcome_write(NO_CALLER, record) {
        // A closed channel means that the process ends; repeats are told `unknown`.
        let _ = shared.notes.send(Note::Ended(insert));
    }
}

fn over(work: &Work, answer: ClaimResult) -> Ran {
    match answer {
        ClaimResult::NotRun(_) => {
            let answer = Answer::not_run(Reason::ClaimImpossible, "the key was not claimed");
            Err(answer.retry_after(TABLE_DOWN_RETRY))
        }
        ClaimResult::Replay(record) => replay(work, record),
        ClaimResult::InProgress { holder: owner, .. } => Err(in_progress(work.entry_addr(&owner))),
        ClaimResult::KeyReused => Err(Answer::not_run(
            Reason::BadRequest,
            "the Idempotency-Key was used for another request",
        )),
        ClaimResult::Unreadable => Err(Answer::unknown(
            Reason::InProgress,
            "the key's claim can't be read",
        )),
    }
}

/// Digest of what is filed, so that a key used for something else is told from a repeat.
fn digest(request: &HttpRequest, body: &Body) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.method().as_str().as_bytes());
    hasher.update(b"\n");
    hasher.update(request.uri().to_string().as_bytes());
    hasher.update(b"\n");
    match body {
        Body::Whole(bytes) => hasher.update(bytes),
        // What streams can't be read twice; its length has to tell it from another.
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

//! Claims caller keys in the table on behalf of traffic threads.
//!
//! Claims of many callers are batched into one transaction, with one transaction in progress at a
//! time, so that a burst of filings stays within the table's write rate. Each claim is a state
//! machine of crate `filing`; this module executes its steps, and releases the claim when the
//! requester is gone before the answer.

use crate::process::{
    control::Control,
    shared::{
        ClaimReply,
        ClaimRequest,
        ControlMessage, //
    },
};
use actix::{
    ActorFutureExt,
    AsyncContext,
    Context,
    WrapFuture, //
};
use bytestring::ByteString;
use filing::{
    Batch,
    ClaimEvent,
    ClaimResult,
    ClaimStep,
    Claimer,
    CommitResult,
    ConditionalWrite,
    Guards,
    ReleaseStep,
    Releaser, //
};
use plat::{
    Check,
    Commit,
    FailureReason,
    HttpPlatform,
    Outcome,
    Table,
    Txn,
    Write, //
};
use std::{
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};
use tokio::sync::oneshot;

/// Maximum number of claims in one transaction.
const BATCH_MAX: usize = 64;
/// Delay before a release is retried.
const RELEASE_RETRY: Duration = Duration::from_secs(1);

/// Claims in progress.
pub(super) struct Claims {
    batch: Batch,
    pending: BTreeMap<u64, Pending>,
    next_caller: u64,
}

struct Pending {
    claimer: Claimer,
    reply: oneshot::Sender<ClaimReply>,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            batch: Batch::new(BATCH_MAX),
            pending: BTreeMap::new(),
            next_caller: 0,
        }
    }
}

impl Control {
    /// Starts claiming a key.
    pub(super) fn claim(&mut self, request: ClaimRequest, ctx: &mut Context<Self>) {
        let (claimer, step) = Claimer::start(request.claimant, Guards::default());
        let caller = self.claims.next_caller;
        self.claims.next_caller += 1;
        let pending = Pending {
            claimer,
            reply: request.reply,
        };
        self.claims.pending.insert(caller, pending);
        self.run_claim_step(caller, step, ctx);
    }

    /// Writes the outcome of a claimed filing; until it is stored, repeats receive `unknown`.
    pub(super) fn write_outcome(&mut self, insert: ConditionalWrite, ctx: &mut Context<Self>) {
        self.claims.batch.push(insert);
        self.commit_claims(ctx);
    }

    /// Retries failed writes that no caller waits for.
    pub(super) fn retry_deferred_claims(&mut self, ctx: &mut Context<Self>) {
        self.claims.batch.retry_deferred();
        self.commit_claims(ctx);
    }

    fn run_claim_step(&mut self, caller: u64, step: ClaimStep, ctx: &mut Context<Self>) {
        match step {
            ClaimStep::Nothing | ClaimStep::Send => {}
            ClaimStep::Insert { check, value } => {
                let Some(pending) = self.claims.pending.get(&caller) else {
                    return;
                };
                self.claims.batch.push(ConditionalWrite {
                    caller,
                    key: pending.claimer.key().clone(),
                    check,
                    value,
                });
                self.commit_claims(ctx);
            }
            ClaimStep::ReadBack => self.read_claim(caller, ctx),
            ClaimStep::Ready => {
                if let Some(Pending { claimer, reply }) = self.claims.pending.remove(&caller) {
                    if let Err(ClaimReply::Ready(claimer)) = reply.send(ClaimReply::Ready(claimer))
                    {
                        self.abandon_claim(claimer, ctx);
                    }
                }
            }
            ClaimStep::Respond(answer) => {
                if let ClaimResult::NotRun(Some(releaser)) = &answer {
                    self.release(releaser.clone(), ctx);
                }
                if let Some(pending) = self.claims.pending.remove(&caller) {
                    // The caller may be gone.
                    let _ = pending.reply.send(ClaimReply::Concluded(answer));
                }
            }
        }
    }

    /// Releases a claim whose caller is gone.
    fn abandon_claim(&mut self, mut claimer: Claimer, ctx: &mut Context<Self>) {
        if let ClaimStep::Respond(ClaimResult::NotRun(Some(releaser))) = claimer.release() {
            self.release(releaser, ctx);
        }
    }

    fn read_claim(&mut self, caller: u64, ctx: &mut Context<Self>) {
        let Some(pending) = self.claims.pending.get(&caller) else {
            return;
        };
        let key = pending.claimer.key().clone();
        let platform = Rc::clone(&self.platform);
        let read = async move { read_row(&platform, key).await };
        ctx.spawn(read.into_actor(self).map(move |event, control, ctx| {
            control.on_claim_event(caller, event, ctx);
        }));
    }

    fn on_claim_event(&mut self, caller: u64, event: ClaimEvent, ctx: &mut Context<Self>) {
        // Outcome writes have no pending caller.
        if let Some(pending) = self.claims.pending.get_mut(&caller) {
            let step = pending.claimer.on_event(event);
            self.run_claim_step(caller, step, ctx);
        }
    }

    fn commit_claims(&mut self, ctx: &mut Context<Self>) {
        let Some(commit) = self.claims.batch.commit() else {
            return;
        };
        let platform = Rc::clone(&self.platform);
        let call = async move { commit_rows(&platform, commit.writes).await };
        ctx.spawn(call.into_actor(self).map(|answer, control, ctx| {
            let failed = matches!(answer, CommitResult::Lost | CommitResult::Down);
            control.count_platform_call("claims", !failed);
            for (caller, event) in control.claims.batch.complete(answer) {
                control.on_claim_event(caller, event, ctx);
            }
            control.commit_claims(ctx);
        }));
    }

    /// Removes a claim from the table, retrying through outages.
    pub(super) fn release(&mut self, releaser: Releaser, ctx: &mut Context<Self>) {
        let step = releaser.start();
        self.run_release_step(releaser, step, ctx);
    }

    fn run_release_step(&mut self, releaser: Releaser, step: ReleaseStep, ctx: &mut Context<Self>) {
        let platform = Rc::clone(&self.platform);
        let key = releaser.key().clone();
        match step {
            ReleaseStep::Done => {}
            ReleaseStep::Later => {
                ctx.run_later(RELEASE_RETRY, |control, ctx| control.release(releaser, ctx));
            }
            ReleaseStep::Read => {
                let read = async move { read_row(&platform, key).await };
                ctx.spawn(read.into_actor(self).map(|event, control, ctx| {
                    let step = releaser.on_event(event);
                    control.run_release_step(releaser, step, ctx);
                }));
            }
            ReleaseStep::Write { check, value } => {
                let insert = ConditionalWrite {
                    caller: 0,
                    key,
                    check,
                    value,
                };
                let write = async move { commit_rows(&platform, vec![insert]).await };
                ctx.spawn(write.into_actor(self).map(|answer, control, ctx| {
                    let step = releaser.on_event(single_event(answer));
                    control.run_release_step(releaser, step, ctx);
                }));
            }
        }
    }
}

/// Asks control to release a claim; called from traffic threads.
pub(crate) fn request_release(
    notes: &tokio::sync::mpsc::UnboundedSender<ControlMessage>,
    answer: &ClaimResult,
) {
    if let ClaimResult::NotRun(Some(releaser)) = answer {
        // A closed channel means that the process is exiting; its claims lapse with its lease.
        let _ = notes.send(ControlMessage::Release(releaser.clone()));
    }
}

fn single_event(answer: CommitResult) -> ClaimEvent {
    match answer {
        CommitResult::Committed { version } => ClaimEvent::Committed { version },
        CommitResult::Conflict { rows } => ClaimEvent::Conflict(rows.into_iter().next().flatten()),
        CommitResult::Lost => ClaimEvent::Lost,
        CommitResult::Down => ClaimEvent::Down,
    }
}

fn to_row(row: plat::Row) -> filing::Row {
    filing::Row {
        version: row.version,
        value: row.value,
    }
}

async fn read_row(platform: &HttpPlatform, key: ByteString) -> ClaimEvent {
    match platform.read(&[key]).await {
        Ok(rows) => ClaimEvent::Read(rows.into_iter().next().flatten().map(to_row)),
        Err(error) if matches!(error.0, FailureReason::NotConnected(_)) => ClaimEvent::Down,
        Err(_) => ClaimEvent::Lost,
    }
}

async fn commit_rows(platform: &HttpPlatform, inserts: Vec<ConditionalWrite>) -> CommitResult {
    let check = |insert: &ConditionalWrite| match insert.check {
        Some(version) => Check::Version {
            key: insert.key.clone(),
            version,
        },
        None => Check::Absent {
            key: insert.key.clone(),
        },
    };
    let checks = inserts.iter().map(check).collect();
    let writes = inserts
        .into_iter()
        .map(|insert| Write::Put {
            key: insert.key,
            value: insert.value,
        })
        .collect();
    match platform.commit(Txn { checks, writes }).await {
        Outcome::Done(Commit::Committed { version }) => CommitResult::Committed { version },
        Outcome::Done(Commit::Conflict { rows }) => CommitResult::Conflict {
            rows: rows.into_iter().map(|row| row.map(to_row)).collect(),
        },
        Outcome::NotDone(_) => CommitResult::Down,
        Outcome::Unknown(_) => CommitResult::Lost,
    }
}

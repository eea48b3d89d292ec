//! Ticket outcomes in the table, for callers whose entry is gone.
//!
//! The outcome of a filing is held in its entry's ledger, which is lost if the entry is killed.
//! Outcomes are therefore also written to the table, in batches and with a short delay, and an
//! entry that receives a ticket of a lost entry reads them there. Nothing waits for these writes:
//! filings continue during a platform outage, and the outcomes are written afterwards.

use crate::process::control::Control;
use actix::{
    ActorFutureExt,
    AsyncContext,
    Context,
    WrapFuture, //
};
use base::Now;
use filing::{
    outcome_key,
    Nonce,
    Record, //
};
use plat::{
    Commit,
    Outcome,
    Table,
    Txn,
    Write, //
};
use std::{
    collections::VecDeque,
    rc::Rc,
    time::Duration, //
};
use tokio::sync::oneshot;

/// Maximum number of outcomes in one transaction.
const BATCH_MAX: usize = 64;
/// Minimum interval between two transactions of one daemon.
const INTERVAL: Duration = Duration::from_secs(1);
/// Average interval between transactions of different daemons: a hundred a second in total.
const SPACING: Duration = Duration::from_millis(10);
/// Retention of an outcome in the table; well beyond a ticket's lifetime and its caller's retries.
const RETENTION: Duration = Duration::from_secs(600);

/// Outcomes being written to the table, and those to be removed later.
#[derive(Debug, Default)]
pub(super) struct Outcomes {
    is_committing: bool,
    sent_at: Option<Now>,
    written: VecDeque<(Now, Nonce)>,
}

impl Control {
    /// Writes outcomes that are not in the table yet and removes expired ones.
    pub(super) fn tick_outcomes(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        let interval = self.fleet_interval(INTERVAL, SPACING);
        // The base interval equals that of the calling tick; comparing it as well would skip every
        // other tick.
        let is_too_soon =
            interval > INTERVAL && self.outcomes.sent_at.is_some_and(|at| now < at + interval);
        if self.outcomes.is_committing || is_too_soon {
            return;
        }
        let unwritten = self
            .shared
            .with_filings(|filings| filings.unwritten(BATCH_MAX))
            .unwrap_or_default();
        let expired = self.expired_outcomes();
        if unwritten.is_empty() && expired.is_empty() {
            return;
        }
        let puts = unwritten.iter().map(|(nonce, record)| Write::Put {
            key: outcome_key(*nonce),
            value: record.to_string().into(),
        });
        let deletes = expired.iter().map(|nonce| Write::Delete {
            key: outcome_key(*nonce),
        });
        let txn = Txn {
            checks: Vec::new(),
            writes: puts.chain(deletes).collect(),
        };
        let written: Vec<Nonce> = unwritten.into_iter().map(|(nonce, _)| nonce).collect();
        self.outcomes.is_committing = true;
        self.outcomes.sent_at = Some(now);
        let platform = Rc::clone(&self.platform);
        let commit = async move { platform.commit(txn).await };
        ctx.spawn(commit.into_actor(self).map(move |done, control, _| {
            let done = matches!(done, Outcome::Done(Commit::Committed { .. }));
            control.count_platform_call("outcomes", done);
            control.outcomes.is_committing = false;
            if done {
                control.on_outcomes_written(&written, expired.len());
            }
        }));
    }

    /// Outcomes past their retention, oldest first.
    fn expired_outcomes(&self) -> Vec<Nonce> {
        let now = self.now();
        let written = self.outcomes.written.iter();
        written
            .take(BATCH_MAX)
            .take_while(|(at, _)| now >= *at + RETENTION)
            .map(|(_, nonce)| *nonce)
            .collect()
    }

    fn on_outcomes_written(&mut self, written: &[Nonce], removed: usize) {
        let now = self.now();
        self.shared
            .with_filings(|filings| filings.mark_written(written));
        self.outcomes.written.drain(..removed);
        let fresh = written.iter().map(|nonce| (now, *nonce));
        self.outcomes.written.extend(fresh);
    }

    /// Reads the outcome of a ticket of another incarnation or entry.
    pub(super) fn read_outcome(
        &mut self,
        nonce: Nonce,
        reply: oneshot::Sender<Option<Record>>,
        ctx: &mut Context<Self>,
    ) {
        let platform = Rc::clone(&self.platform);
        let read = async move { platform.read(&[outcome_key(nonce)]).await };
        ctx.spawn(read.into_actor(self).map(move |read, control, _| {
            control.count_platform_call("outcome", read.is_ok());
            let row = read.ok().and_then(|rows| rows.into_iter().next().flatten());
            let record = row.and_then(|row| row.value.parse().ok());
            // The requester may be gone.
            let _ = reply.send(record);
        }));
    }
}

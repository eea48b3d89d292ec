//! Outcomes of tickets in the table, for callers whose entry is gone.
//!
//! What came of a filing is in its entry's ledger; a killed entry takes that with it. So outcomes
//! are also written to the table, many in one transaction and a moment later, and whoever is shown
//! a ticket of an entry that is gone reads them there. Nothing waits for these writes: through an
//! outage filings go on, and the outcomes are written afterwards.

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

/// Outcomes in one transaction.
const BATCH_MAX: usize = 64;
/// Least time between two transactions of one daemon.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time between two daemons' transactions, on average: a hundred a second in all.
const SPACING: Duration = Duration::from_millis(10);
/// Time that an outcome stays in the table; well past any ticket's life and its caller's retries.
const KEPT: Duration = Duration::from_secs(600);

/// Outcomes on their way into the table, and those to be removed again.
#[derive(Debug, Default)]
pub(super) struct Outcomes {
    busy: bool,
    sent_at: Option<Now>,
    written: VecDeque<(Now, Nonce)>,
}

impl Control {
    /// Writes outcomes that are not in the table yet, and removes those that nobody asks for.
    pub(super) fn tick_outcomes(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        let interval = self.spaced(INTERVAL, SPACING);
        // An interval as long as the ticks that call this must not skip every other one.
        let waits =
            interval > INTERVAL && self.outcomes.sent_at.is_some_and(|at| now < at + interval);
        if self.outcomes.busy || waits {
            return;
        }
        let unwritten = self
            .shared
            .with_filings(|filings| filings.unwritten(BATCH_MAX))
            .unwrap_or_default();
        let old = self.old_outcomes();
        if unwritten.is_empty() && old.is_empty() {
            return;
        }
        let puts = unwritten.iter().map(|(nonce, record)| Write::Put {
            key: outcome_key(*nonce),
            value: record.to_string().into(),
        });
        let deletes = old.iter().map(|nonce| Write::Delete {
            key: outcome_key(*nonce),
        });
        let txn = Txn {
            checks: Vec::new(),
            writes: puts.chain(deletes).collect(),
        };
        let written: Vec<Nonce> = unwritten.into_iter().map(|(nonce, _)| nonce).collect();
        self.outcomes.busy = true;
        self.outcomes.sent_at = Some(now);
        let platform = Rc::clone(&self.platform);
        let commit = async move { platform.commit(txn).await };
        ctx.spawn(commit.into_actor(self).map(move |done, control, _| {
            let done = matches!(done, Outcome::Done(Commit::Committed { .. }));
            control.note_call("outcomes", done);
            control.outcomes.busy = false;
            if done {
                control.outcomes_written(&written, old.len());
            }
        }));
    }

    /// Outcomes that have been in the table for long enough, oldest first.
    fn old_outcomes(&self) -> Vec<Nonce> {
        let now = self.now();
        let written = self.outcomes.written.iter();
        written
            .take(BATCH_MAX)
            .take_while(|(at, _)| now >= *at + KEPT)
            .map(|(_, nonce)| *nonce)
            .collect()
    }

    fn outcomes_written(&mut self, written: &[Nonce], removed: usize) {
        let now = self.now();
        self.shared.with_filings(|filings| filings.written(written));
        self.outcomes.written.drain(..removed);
        let fresh = written.iter().map(|nonce| (now, *nonce));
        self.outcomes.written.extend(fresh);
    }

    /// Reads the outcome of a ticket of another life or entry.
    pub(super) fn read_outcome(
        &mut self,
        nonce: Nonce,
        reply: oneshot::Sender<Option<Record>>,
        ctx: &mut Context<Self>,
    ) {
        let platform = Rc::clone(&self.platform);
        let read = async move { platform.read(&[outcome_key(nonce)]).await };
        ctx.spawn(read.into_actor(self).map(move |read, control, _| {
            control.note_call("outcome", read.is_ok());
            let row = read.ok().and_then(|rows| rows.into_iter().next().flatten());
            let record = row.and_then(|row| row.value.parse().ok());
            // Whoever asked may be gone.
            let _ = reply.send(record);
        }));
    }
}

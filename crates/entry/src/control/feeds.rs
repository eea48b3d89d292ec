//! Following the store's tables: by calls, or, for a leaf, through a hub that forwards what it reads.

use crate::{control::Control, message::Followed, metric, rows::RowReader};
use base::Now;
use event::{
    emit,
    Event, //
};
use plat::{
    Changes,
    Feed,
    FeedRow,
    ReadError,
    Rows,
    Table as StoreTable, //
};
use rand::RngExt;
use std::time::Duration;

/// How long one call waits for changes. Each call costs the store work; a connection that goes silent
/// meanwhile is ended by its probes within some six seconds, and the other entries tell sooner that
/// there is something new.
const WAIT: Duration = Duration::from_millis(2000);
/// Longest wait of a new entry for the picture of its hub: sessions stand within a second of the start, and a hub sends
/// it to a whole domain that starts at once, one after the other. Nobody waits for a new entry yet.
const PICTURE_WAIT: Duration = Duration::from_millis(4000);
/// Longest wait for the rows of the other entries, which say whether it is new.
const ROLE_WAIT: Duration = Duration::from_millis(300);
/// Time between two looks whether either has come.
const START_LOOK: Duration = Duration::from_millis(20);
/// Longest time between two looks whether the store is to be called.
const DUE_LOOK: Duration = Duration::from_millis(500);
/// Least time between two calls that wait for changes of one table: what changes within it comes with one answer.
/// A first change is read at once, since a call waits for it.
///
/// What goes wrong without it: rows that are written one after the other, as by upstreams that start or are
/// replaced, each end a call of every entry, and each such call costs the store work. So it grows with the entries:
/// up to eighty of them together make a hundred calls a second for a table, a twentieth of the two thousand reads
/// that the smallest store bears.
const GATHER_PER_ENTRY: Duration = Duration::from_millis(10);
/// Least such time: an eighth of the shortest bound within which a change has to be in force, two seconds.
const GATHER_MIN: Duration = Duration::from_millis(250);
/// Longest such time: a quarter of that bound where deployments have so many entries, three seconds or more.
const GATHER_MAX: Duration = Duration::from_millis(800);
/// First pause after a call that failed.
const PAUSE_MIN: Duration = Duration::from_millis(200);
/// Longest pause after a call that failed: what the store says after its return has to be in force
/// within seconds, and each call costs it work.
const PAUSE_MAX: Duration = Duration::from_millis(1000);
/// How long after a failed call rows that are missing may have expired during an outage.
const OUTAGE_MEMORY: Duration = Duration::from_secs(5);

/// Calls of one feed.
struct Calls {
    table: &'static str,
    followed: Followed,
    pause: Duration,
    failing_since: Option<Now>,
    last: Option<Now>,
    /// When the last call began that was answered with changes.
    changed_at: Now,
}

impl Calls {
    fn new(table: &'static str, followed: Followed) -> Self {
        Self {
            table,
            followed,
            pause: PAUSE_MIN,
            failing_since: None,
            last: None,
            changed_at: Now::ZERO,
        }
    }

    /// Notes a failure and waits a little, longer each time, not in step with other entries.
    async fn note(&mut self, error: &ReadError, now: Now) {
        metrics::counter!(metric::STORE_CALLS, "call" => "read", "outcome" => "failed")
            .increment(1);
        self.last = Some(now);
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            emit(&Event::StoreLost {
                table: self.table.to_owned(),
                error: error.to_string(),
            });
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(PAUSE_MAX);
    }

    fn end(&mut self, now: Now) {
        metrics::counter!(metric::STORE_CALLS, "call" => "read", "outcome" => "done").increment(1);
        if let Some(since) = self.failing_since.take() {
            emit(&Event::StoreRegained {
                table: self.table.to_owned(),
                outage_ms: (now - since).as_millis() as u64,
            });
        }
        self.pause = PAUSE_MIN;
    }

    fn after_outage(&self, now: Now) -> bool {
        self.last
            .is_some_and(|last| now.saturating_sub(last) < OUTAGE_MEMORY)
    }
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Follows a table of the store.
    pub(super) async fn follow(&self, table: &'static str, followed: Followed) {
        let mut calls = Calls::new(table, followed);
        if self.picture_came(followed).await {
            self.follow_changes(&mut calls).await;
        }
        loop {
            let whole = self.read_whole(&mut calls).await;
            let after_outage = calls.after_outage(self.now());
            self.take_whole(followed, &whole, after_outage);
            self.follow_changes(&mut calls).await;
        }
    }

    /// Follows the changes of a table until it has to be read anew.
    async fn follow_changes(&self, calls: &mut Calls) {
        while let Some((after, rows)) = self.next_changes(calls).await {
            let after_outage = calls.after_outage(self.now());
            self.forward_rows(calls.followed, after, &rows, after_outage);
            self.take_changes(calls.followed, &rows.rows, rows.position, after_outage);
        }
    }

    /// Whether a hub's picture has come in the place of the first whole table. A new leaf waits for it; any other entry
    /// has callers that wait, and reads by itself.
    async fn picture_came(&self, table: Followed) -> bool {
        let begun = self.now();
        while self.now().saturating_sub(begun) < self.picture_wait() {
            if self.position(table).is_some() {
                return true;
            }
            tokio::time::sleep(START_LOOK).await;
        }
        false
    }

    /// How long after its start this entry waits for a hub's picture.
    fn picture_wait(&self) -> Duration {
        let known = self.known.borrow();
        match known.is_new {
            None => ROLE_WAIT,
            Some(true) if !known.settled || !known.overlay.is_hub(self.now()) => PICTURE_WAIT,
            Some(_) => Duration::ZERO,
        }
    }

    fn position(&self, table: Followed) -> Option<u64> {
        self.known.borrow_mut().followed(table).follow.position()
    }

    fn take_whole(&self, table: Followed, whole: &Rows, after_outage: bool) {
        let mut known = self.known.borrow_mut();
        known.followed(table).follow.on_table_read(whole.position);
        drop(known);
        match table {
            Followed::Operator => self.take_operator_rows(&whole.rows, Some(whole.position)),
            Followed::Upstreams => self.apply_upstream_table(whole, after_outage),
        }
    }

    /// Takes all changes of a table up to `position`.
    pub(super) fn take_changes(
        &self,
        table: Followed,
        rows: &[FeedRow],
        position: u64,
        after_outage: bool,
    ) {
        if table == Followed::Upstreams {
            self.known
                .borrow_mut()
                .picture
                .advance_read_position(position);
        }
        if rows.is_empty() {
            return;
        }
        match table {
            Followed::Operator => self.take_operator_rows(rows, None),
            Followed::Upstreams => self.take_upstream_rows(rows, after_outage),
        }
    }

    /// The whole table, however long it takes.
    async fn read_whole(&self, calls: &mut Calls) -> Rows {
        loop {
            match self.store.read_all(calls.table).await {
                Ok(rows) => {
                    self.note_done(calls);
                    emit(&Event::TableRead {
                        table: calls.table.to_owned(),
                        rows: rows.rows.len(),
                        position: rows.position,
                    });
                    return rows;
                }
                Err(error) => self.note_failed(calls, &error).await,
            }
        }
    }

    async fn note_failed(&self, calls: &mut Calls, error: &ReadError) {
        self.note_reading(calls.followed, false);
        calls.note(error, self.now()).await;
    }

    fn note_done(&self, calls: &mut Calls) {
        self.note_reading(calls.followed, true);
        calls.end(self.now());
    }

    /// Least time between two calls for changes: all entries may call, if their hubs are lost.
    fn gather(&self) -> Duration {
        let entries = self.known.borrow().overlay.sender_count().unwrap_or(1);
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let gather = GATHER_PER_ENTRY.saturating_mul(entries);
        gather.clamp(GATHER_MIN, GATHER_MAX)
    }

    /// Waits until the store is to be called: always for a reader, for others as long as nobody forwards the table or
    /// something is missing of what was forwarded.
    async fn until_due(&self, table: Followed) {
        loop {
            let changed = self.feed_due.notified();
            tokio::pin!(changed);
            // Listening before looking: a change between the two would be missed otherwise.
            changed.as_mut().enable();
            if self.is_due(table) {
                return;
            }
            let _ = tokio::time::timeout(DUE_LOOK, changed).await;
        }
    }

    fn is_due(&self, table: Followed) -> bool {
        let mut known = self.known.borrow_mut();
        !self.is_forwarded(&mut known, table, self.now())
    }

    /// Version after which the next call for changes asks, and how long it may wait for some.
    fn next_call(&self, table: Followed) -> Option<(u64, Duration)> {
        let mut known = self.known.borrow_mut();
        let follow = &known.followed(table).follow;
        let wait = if follow.has_gap() {
            Duration::ZERO
        } else {
            WAIT
        };
        Some((follow.position()?, wait))
    }

    /// The next changes and the version after which they begin, however long it takes; `None` if the table has to be
    /// read anew.
    async fn next_changes(&self, calls: &mut Calls) -> Option<(u64, Rows)> {
        loop {
            self.until_due(calls.followed).await;
            let gathered = self.now().saturating_sub(calls.changed_at);
            tokio::time::sleep(self.gather().saturating_sub(gathered)).await;
            let begun = self.now();
            let (position, wait) = self.next_call(calls.followed)?;
            match self.store.changes(calls.table, position, wait).await {
                // A position before ours: another history than the one that we followed.
                Ok(Changes::Rows(rows)) if rows.position < position => return None,
                Ok(Changes::Rows(rows)) => {
                    self.note_done(calls);
                    if !rows.rows.is_empty() {
                        calls.changed_at = begun;
                    }
                    let mut known = self.known.borrow_mut();
                    let follow = &mut known.followed(calls.followed).follow;
                    follow.on_changes_read(rows.position);
                    return Some((position, rows));
                }
                Ok(Changes::HistoryGone) => {
                    emit(&Event::HistoryGone {
                        table: calls.table.to_owned(),
                        position,
                    });
                    return None;
                }
                Err(error) => self.note_failed(calls, &error).await,
            }
        }
    }
}

//! Following the store's tables, by calls to the store or through other entries that forward the rows.

use crate::{
    clock::millis,
    control::{
        apply::Source,
        hubs::table_age_max,
        Control, //
    },
    message::FollowedTable,
    metric,
    rows::RowReader, //
};
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

/// Maximum time that a new entry waits for the routing view of its hub. Sessions are up within a second of the start,
/// and if an entire domain starts at once, its hub sends the view to one entry after the other. No caller uses a new
/// entry yet.
const VIEW_WAIT: Duration = Duration::from_millis(4000);
/// Maximum wait for the first scan of the entries' rows, which determines whether this entry is new.
const FIRST_SCAN_WAIT: Duration = Duration::from_millis(300);
/// Interval between checks whether the scan or the view has arrived.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum interval between checks whether a call to the store is due.
const DUE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a first failed call.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(200);
/// Maximum delay after a failed call. Changes that the store has after an outage have to be in force within seconds,
/// and each call puts load on the store.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(1000);
/// Time for operators and upstreams to write again what a store lacks that was restored from an older copy, and for the
/// rows of upstreams that have ended to expire, which takes three of their heartbeats.
const REWRITE_WAIT: Duration = Duration::from_millis(6000);
/// Time after a failed call during which missing rows may be rows that expired during an outage.
const OUTAGE_RETENTION: Duration = Duration::from_secs(5);

/// Time in which the calls for a table fail.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// End of the first call that failed.
    since: Now,
    failed_calls: u32,
    /// Duration of the last call.
    last_call: Duration,
}

impl Outage {
    fn begin(now: Now) -> Self {
        Self {
            since: now,
            failed_calls: 0,
            last_call: Duration::ZERO,
        }
    }
}

/// State of the calls that follow one table.
struct FeedCalls {
    table_name: &'static str,
    table: FollowedTable,
    retry_delay: Duration,
    outage: Option<Outage>,
    last_failure: Option<Now>,
    /// Start of the current or last call.
    called_at: Now,
    /// Start of the last call that returned changes.
    changed_at: Now,
    /// Whether the store was restored from an older copy since the whole table was last read.
    restored: bool,
}

impl FeedCalls {
    fn new(table_name: &'static str, table: FollowedTable) -> Self {
        Self {
            table_name,
            table,
            retry_delay: RETRY_DELAY_MIN,
            outage: None,
            last_failure: None,
            called_at: Now::ZERO,
            changed_at: Now::ZERO,
            restored: false,
        }
    }

    /// Records a failed call and waits, with exponential backoff and jitter.
    async fn on_failure(&mut self, error: &ReadError, now: Now) {
        metrics::counter!(metric::STORE_CALLS, "call" => "read", "outcome" => "failed")
            .increment(1);
        self.last_failure = Some(now);
        let outage = self.outage.get_or_insert_with(|| {
            emit(&Event::StoreLost {
                table: self.table_name.to_owned(),
                error: error.to_string(),
            });
            Outage::begin(now)
        });
        outage.failed_calls += 1;
        outage.last_call = now.saturating_sub(self.called_at);
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.retry_delay.mul_f64(jitter)).await;
        self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY_MAX);
    }

    fn on_success(&mut self, now: Now) {
        metrics::counter!(metric::STORE_CALLS, "call" => "read", "outcome" => "done").increment(1);
        if let Some(outage) = self.outage.take() {
            let retried_after = self
                .called_at
                .saturating_sub(self.last_failure.unwrap_or(now));
            emit(&Event::StoreRegained {
                table: self.table_name.to_owned(),
                outage_ms: millis(now.saturating_sub(outage.since)),
                failed_calls: outage.failed_calls,
                last_call_ms: millis(outage.last_call),
                retry_ms: millis(retried_after),
            });
        }
        self.retry_delay = RETRY_DELAY_MIN;
    }

    fn after_outage(&self, now: Now) -> bool {
        self.last_failure
            .is_some_and(|last_failure| now.saturating_sub(last_failure) < OUTAGE_RETENTION)
    }
}

/// A whole table, and when its read began.
struct TableRead {
    rows: Rows,
    called_at: Now,
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Follows a table of the store for the lifetime of the process.
    pub(super) async fn follow(&self, table_name: &'static str, table: FollowedTable) {
        let mut calls = FeedCalls::new(table_name, table);
        if self.view_received(table).await {
            self.follow_changes(&mut calls).await;
        }
        loop {
            let read = self.read_table(&mut calls).await;
            if std::mem::take(&mut calls.restored) {
                self.apply_restored_table(table, &read);
                let following = self.follow_changes(&mut calls);
                let _ = tokio::time::timeout(REWRITE_WAIT, following).await;
                continue;
            }
            let after_outage = calls.after_outage(self.now());
            self.apply_table(table, &read, after_outage);
            self.follow_changes(&mut calls).await;
        }
    }

    /// Follows the changes of a table until the whole table has to be read again.
    async fn follow_changes(&self, calls: &mut FeedCalls) {
        while let Some((after, rows)) = self.next_changes(calls).await {
            let after_outage = calls.after_outage(self.now());
            self.forward_rows(calls.table, after, &rows, after_outage);
            self.apply_changes(
                calls.table,
                &rows.rows,
                rows.position,
                after_outage,
                Source::Store,
            );
        }
    }

    /// Waits for a hub's routing view, which replaces the first read of the whole table, and returns whether it has
    /// arrived. Only a new leaf waits for it; callers may already use any other entry, which reads the store itself.
    async fn view_received(&self, table: FollowedTable) -> bool {
        let started = self.now();
        while self.now().saturating_sub(started) < self.view_wait() {
            if self.position(table).is_some() {
                return true;
            }
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
        false
    }

    /// Returns how long after its start this entry waits for a hub's routing view.
    fn view_wait(&self) -> Duration {
        let state = self.state.borrow();
        match state.is_new {
            None => FIRST_SCAN_WAIT,
            Some(true) if !state.joined || !state.overlay.is_hub(self.now()) => VIEW_WAIT,
            Some(_) => Duration::ZERO,
        }
    }

    fn position(&self, table: FollowedTable) -> Option<u64> {
        self.state.borrow_mut().table_mut(table).follower.position()
    }

    fn apply_table(&self, table: FollowedTable, read: &TableRead, after_outage: bool) {
        let rows = &read.rows;
        let mut state = self.state.borrow_mut();
        let follower = &mut state.table_mut(table).follower;
        follower.on_read(rows.position, read.called_at);
        drop(state);
        match table {
            FollowedTable::Operator => {
                let position = Some(rows.position);
                self.apply_operator_rows(&rows.rows, position, Source::Store);
            }
            FollowedTable::Upstreams => self.apply_upstream_table(rows, after_outage),
        }
        self.note_current(table);
    }

    /// Records that all rows of a table that the store has are applied.
    pub(super) fn note_current(&self, table: FollowedTable) {
        if table == FollowedTable::Operator {
            let freshness = &self.channels.routes_freshness;
            freshness.note_read(Duration::ZERO, self.now());
        }
    }

    /// Applies a whole table of a store that was restored from an older copy. Nothing ends or is removed because its row
    /// is missing: the row may have been written after the copy and will be written again.
    fn apply_restored_table(&self, table: FollowedTable, read: &TableRead) {
        let rows = &read.rows;
        let mut state = self.state.borrow_mut();
        let follower = &mut state.table_mut(table).follower;
        follower.on_read(rows.position, read.called_at);
        drop(state);
        match table {
            FollowedTable::Operator => {
                self.apply_operator_rows(&rows.rows, None, Source::Store);
            }
            FollowedTable::Upstreams => self.apply_restored_upstreams(rows),
        }
    }

    /// Applies all changes of a table up to `position`.
    pub(super) fn apply_changes(
        &self,
        table: FollowedTable,
        rows: &[FeedRow],
        position: u64,
        after_outage: bool,
        source: Source<'_>,
    ) {
        if table == FollowedTable::Upstreams {
            self.state.borrow_mut().view.advance_read_position(position);
        }
        match table {
            _ if rows.is_empty() => {}
            FollowedTable::Operator => self.apply_operator_rows(rows, None, source),
            FollowedTable::Upstreams => self.apply_upstream_rows(rows, after_outage),
        }
        self.note_current(table);
    }

    /// Reads the whole table, and retries until a read succeeds.
    async fn read_table(&self, calls: &mut FeedCalls) -> TableRead {
        loop {
            calls.called_at = self.now();
            match self.store.read_all(calls.table_name).await {
                Ok(rows) => {
                    self.on_read_done(calls);
                    emit(&Event::TableRead {
                        table: calls.table_name.to_owned(),
                        rows: rows.rows.len(),
                        position: rows.position,
                    });
                    return TableRead {
                        rows,
                        called_at: calls.called_at,
                    };
                }
                Err(error) => self.on_read_failed(calls, &error).await,
            }
        }
    }

    async fn on_read_failed(&self, calls: &mut FeedCalls, error: &ReadError) {
        self.set_reading(calls.table, false);
        calls.on_failure(error, self.now()).await;
    }

    fn on_read_done(&self, calls: &mut FeedCalls) {
        self.set_reading(calls.table, true);
        calls.on_success(self.now());
    }

    /// Waits until a call to the store is due: always for a reader, and for other entries while the table is not
    /// forwarded to them or forwarded changes are missing.
    async fn wait_until_due(&self, table: FollowedTable) {
        loop {
            let changed = self.feed_due.notified();
            tokio::pin!(changed);
            // Registers for the notification before the check; a change between the two would be missed otherwise.
            changed.as_mut().enable();
            let Some(forwarded_for) = self.forwarded_for(table) else {
                return;
            };
            let _ = tokio::time::timeout(forwarded_for.min(DUE_POLL_INTERVAL), changed).await;
        }
    }

    /// Returns for how long a table counts as forwarded if no further message arrives; `None` if it doesn't.
    fn forwarded_for(&self, table: FollowedTable) -> Option<Duration> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_forwarded = self.is_forwarded(&mut state, table, now);
        let age_max = table_age_max(&state, now);
        let follower = &state.table_mut(table).follower;
        is_forwarded.then(|| follower.forwarded_until(age_max).saturating_sub(now))
    }

    /// Returns the version after which the next call requests changes, and the maximum time that it waits for them.
    ///
    /// A call whose answer is lost ends only after its wait. During an outage the calls don't wait, so that the first one
    /// after it begins soon. The first call of an entry whose copy is too old doesn't wait either, since the copies of the
    /// entries that it forwards to are as old.
    fn next_call(&self, calls: &FeedCalls) -> Option<(u64, Duration)> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let timing = state.feed_timing();
        let age_max = table_age_max(&state, now);
        let follower = &state.table_mut(calls.table).follower;
        let mut forwarders = follower.forwarders(age_max, now);
        let is_old = follower.age(now) >= age_max;
        let wait = if follower.has_gap() || is_old || calls.outage.is_some() {
            Duration::ZERO
        } else if forwarders.any(|reader| *reader < self.settings.instance) {
            timing.backup_changes_wait()
        } else {
            timing.changes_wait()
        };
        Some((follower.position()?, wait))
    }

    fn batch_interval(&self) -> Duration {
        let state = self.state.borrow();
        state.feed_timing().batch_interval(&state.overlay)
    }

    /// Waits for changes and returns them with the version after which they begin. Returns `None` if the whole table
    /// has to be read again.
    async fn next_changes(&self, calls: &mut FeedCalls) -> Option<(u64, Rows)> {
        loop {
            self.wait_until_due(calls.table).await;
            let elapsed = self.now().saturating_sub(calls.changed_at);
            let batch_interval = self.batch_interval();
            tokio::time::sleep(batch_interval.saturating_sub(elapsed)).await;
            let started = self.now();
            calls.called_at = started;
            let (position, wait) = self.next_call(calls)?;
            match self.store.changes(calls.table_name, position, wait).await {
                // A position that has gone back: the store has another history than the one that was followed.
                Ok(Changes::Rows(rows)) if rows.position < position => return None,
                Ok(Changes::Rows(rows)) => {
                    self.on_read_done(calls);
                    if !rows.rows.is_empty() {
                        calls.changed_at = started;
                    }
                    let mut state = self.state.borrow_mut();
                    let follower = &mut state.table_mut(calls.table).follower;
                    // A process that was paused meanwhile sees the answer late, but not before its wait has passed.
                    let complete_at = self.now().min(started + wait);
                    follower.on_read(rows.position, complete_at);
                    return Some((position, rows));
                }
                Ok(Changes::HistoryGone) => {
                    emit(&Event::HistoryGone {
                        table: calls.table_name.to_owned(),
                        position,
                    });
                    return None;
                }
                Ok(Changes::Restored) => {
                    emit(&Event::StoreRestored {
                        table: calls.table_name.to_owned(),
                        position,
                    });
                    calls.restored = true;
                    return None;
                }
                Err(error) => self.on_read_failed(calls, &error).await,
            }
        }
    }
}

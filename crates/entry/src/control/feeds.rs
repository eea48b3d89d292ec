//! Following the store's tables.

use crate::{
    control::Control,
    metric,
    rows::{
        OperatorRow,
        RowReader,
        UnreadableRow, //
    },
};
use base::Now;
use event::{
    emit,
    Event, //
};
use picture::{
    Applied,
    ListedUpstream, //
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
const WAIT: Duration = Duration::from_millis(4000);
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
    pause: Duration,
    failing_since: Option<Now>,
    last: Option<Now>,
    /// When the last call began that was answered with changes.
    changed_at: Now,
}

impl Calls {
    fn new(table: &'static str) -> Self {
        Self {
            table,
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
    /// Follows what operators say.
    pub(super) async fn follow_operator(&self, table: &'static str) {
        let mut calls = Calls::new(table);
        loop {
            let whole = self.read_whole(table, &mut calls).await;
            self.take_operator_rows(&whole.rows, Some(whole.position));
            let mut position = whole.position;
            while let Some(rows) = self.next_changes(table, position, &mut calls).await {
                position = rows.position;
                if !rows.rows.is_empty() {
                    self.take_operator_rows(&rows.rows, None);
                }
            }
        }
    }

    /// Follows the upstreams.
    pub(super) async fn follow_upstreams(&self, table: &'static str) {
        let mut calls = Calls::new(table);
        loop {
            let whole = self.read_whole(table, &mut calls).await;
            let after_outage = calls.after_outage(self.now());
            self.apply_upstream_table(&whole, after_outage);
            let mut position = whole.position;
            while let Some(rows) = self.next_changes(table, position, &mut calls).await {
                position = rows.position;
                self.known.borrow_mut().picture.note_read(position);
                if !rows.rows.is_empty() {
                    let after_outage = calls.after_outage(self.now());
                    self.take_upstream_rows(&rows.rows, after_outage);
                }
            }
        }
    }

    /// The whole table, however long it takes.
    async fn read_whole(&self, table: &'static str, calls: &mut Calls) -> Rows {
        loop {
            match self.store.read_all(table).await {
                Ok(rows) => {
                    calls.end(self.now());
                    emit(&Event::TableRead {
                        table: table.to_owned(),
                        rows: rows.rows.len(),
                        position: rows.position,
                    });
                    return rows;
                }
                Err(error) => calls.note(&error, self.now()).await,
            }
        }
    }

    fn gather(&self) -> Duration {
        let entries = self.known.borrow().members.len() + 1;
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let gather = GATHER_PER_ENTRY.saturating_mul(entries);
        gather.clamp(GATHER_MIN, GATHER_MAX)
    }

    /// The next changes, however long it takes; `None` if the table has to be read anew.
    async fn next_changes(
        &self,
        table: &'static str,
        position: u64,
        calls: &mut Calls,
    ) -> Option<Rows> {
        loop {
            let gathered = self.now().saturating_sub(calls.changed_at);
            tokio::time::sleep(self.gather().saturating_sub(gathered)).await;
            let begun = self.now();
            match self.store.changes(table, position, WAIT).await {
                // A position before ours: another history than the one that we followed.
                Ok(Changes::Rows(rows)) if rows.position < position => return None,
                Ok(Changes::Rows(rows)) => {
                    calls.end(self.now());
                    if !rows.rows.is_empty() {
                        calls.changed_at = begun;
                    }
                    return Some(rows);
                }
                Ok(Changes::HistoryGone) => {
                    emit(&Event::HistoryGone {
                        table: table.to_owned(),
                        position,
                    });
                    return None;
                }
                Err(error) => calls.note(&error, self.now()).await,
            }
        }
    }

    /// Takes rows of the operators' table; with a position, they are the whole table.
    fn take_operator_rows(&self, rows: &[FeedRow], whole_at: Option<u64>) {
        let now = self.now();
        let mut changed = whole_at.is_some();
        let mut standing = Vec::new();
        let mut known = self.known.borrow_mut();
        let picture = &mut known.picture;
        for row in rows {
            let applied = match self.rows.operator(row) {
                Ok(OperatorRow::Routes(routes)) => {
                    let applied = picture.apply_routes(&routes);
                    if applied == Applied::Changed {
                        emit(&Event::RoutesInForce {
                            version: routes.version,
                            from: "store".to_owned(),
                        });
                    }
                    applied
                }
                Ok(OperatorRow::Evacuation(domain)) => {
                    let on = row.value.is_some();
                    emit(&Event::Evacuation {
                        failure_domain: domain.clone(),
                        on,
                        row_version: row.version,
                    });
                    let applied = picture.apply_evacuation(&domain, on, row.version, now);
                    standing.push(domain);
                    applied
                }
                Ok(OperatorRow::Other) => Applied::Unchanged,
                Err(error) => {
                    log_unreadable(&error);
                    Applied::Unchanged
                }
            };
            changed |= applied == Applied::Changed;
        }
        if let Some(position) = whole_at {
            let ended = picture.end_evacuations_without_row(&standing, position, now);
            if ended == Applied::Changed {
                emit(&Event::EvacuationsEnded { position });
            }
        }
        drop(known);
        if changed {
            self.publish();
        }
    }

    fn apply_upstream_table(&self, whole: &Rows, after_outage: bool) {
        let mut listed: Vec<(u64, ListedUpstream)> = Vec::with_capacity(whole.rows.len());
        for row in &whole.rows {
            match self.rows.upstream(row) {
                Ok(upstream) => listed.push((row.version, upstream)),
                Err(error) => log_unreadable(&error),
            }
        }
        let now = self.now();
        let mut known = self.known.borrow_mut();
        known
            .picture
            .apply_upstream_table(&listed, whole.position, after_outage, now);
        drop(known);
        self.publish();
    }

    fn take_upstream_rows(&self, rows: &[FeedRow], after_outage: bool) {
        let now = self.now();
        let mut changed = false;
        let mut known = self.known.borrow_mut();
        for row in rows {
            let taken = if row.value.is_none() {
                emit(&Event::UpstreamRemoved {
                    upstream: row.key.clone(),
                    row_version: row.version,
                    after_outage,
                });
                known
                    .picture
                    .apply_removal(&row.key, row.version, after_outage, now)
            } else {
                match self.rows.upstream(row) {
                    Ok(listed) => {
                        emit(&Event::UpstreamListed {
                            upstream: listed.id.clone(),
                            service: listed.service.clone(),
                            leaving: listed.leaving,
                            cold_left_ms: listed.cold_left.as_millis() as u64,
                            row_version: row.version,
                        });
                        known.picture.apply_upstream(&listed, row.version, now)
                    }
                    // It names no upstream, as in a whole table: what it named before may be gone.
                    Err(error) => {
                        log_unreadable(&error);
                        known
                            .picture
                            .apply_removal(&row.key, row.version, false, now)
                    }
                }
            };
            changed |= taken == Applied::Changed;
        }
        drop(known);
        if changed {
            self.publish();
        }
    }
}

/// Says that a row can't be read. Of operators, what was known before it stays in force.
fn log_unreadable(error: &UnreadableRow) {
    emit(&Event::RowUnreadable {
        row: error.row.clone(),
        findings: error.findings.clone(),
    });
}

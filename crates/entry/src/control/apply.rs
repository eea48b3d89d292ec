//! Application of rows of the store's tables to the routing view.

use crate::{
    clock::millis,
    control::Control,
    rows::{
        OperatorRow,
        RowReader,
        UnreadableRow, //
    },
};
use base::{
    FastMap,
    InstanceId, //
};
use bytestring::ByteString;
use event::{
    emit,
    Event, //
};
use picture::{
    Applied,
    ListedUpstream, //
};
use plat::{
    Feed,
    FeedRow,
    Rows,
    Table as StoreTable, //
};
use std::fmt;

/// Where rows were received from.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source<'a> {
    Store,
    Entry(&'a InstanceId),
}

impl fmt::Display for Source<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Entry(entry) => f.write_str(entry),
        }
    }
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Applies rows of the operators' table. If `table_position` is set, they are the whole table at that position.
    pub(super) fn apply_operator_rows(
        &self,
        rows: &[FeedRow],
        table_position: Option<u64>,
        source: Source<'_>,
    ) {
        let now = self.now();
        let mut changed = table_position.is_some();
        let mut evacuated = Vec::new();
        let mut state = self.state.borrow_mut();
        let view = &mut state.view;
        for row in rows {
            let applied = match self.rows.operator(row) {
                Ok(OperatorRow::Routes(routes)) => {
                    let applied = view.apply_routes(&routes);
                    if applied == Applied::Changed {
                        emit(&Event::RoutesInForce {
                            version: routes.version,
                            from: source.to_string(),
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
                    let applied = view.apply_evacuation(&domain, on, row.version, now);
                    evacuated.push(domain);
                    applied
                }
                Ok(OperatorRow::Other) => Applied::Unchanged,
                // The last valid state of the operators' rows stays in force.
                Err(error) => {
                    log_unreadable(error);
                    Applied::Unchanged
                }
            };
            changed |= applied == Applied::Changed;
        }
        if let Some(position) = table_position {
            let ended = view.end_evacuations_without_row(&evacuated, position, now);
            if ended == Applied::Changed {
                emit(&Event::EvacuationsEnded { position });
            }
        }
        drop(state);
        if changed {
            self.publish();
        }
    }

    /// Parses a whole table of upstreams. Rows that can't be parsed are logged and left out, and what they described
    /// before is closed: unlike a missing row, such a row has not expired.
    fn listed_upstreams(&self, table: &Rows) -> Vec<(u64, ListedUpstream)> {
        let now = self.now();
        let mut listed = Vec::with_capacity(table.rows.len());
        let mut state = self.state.borrow_mut();
        for row in &table.rows {
            match self.rows.upstream(row) {
                Ok(upstream) => {
                    state.unreadable_rows.forget(&row.key);
                    listed.push((row.version, upstream));
                }
                Err(error) => {
                    state.unreadable_rows.log(&row.key, error);
                    state.view.apply_removal(&row.key, row.version, false, now);
                }
            }
        }
        listed
    }

    /// Applies the upstreams of a store that was restored from an older copy.
    pub(super) fn apply_restored_upstreams(&self, table: &Rows) {
        let listed = self.listed_upstreams(table);
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.view.apply_restored_upstreams(&listed, now);
        drop(state);
        self.publish();
    }

    pub(super) fn apply_upstream_table(&self, table: &Rows, after_outage: bool) {
        let listed = self.listed_upstreams(table);
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state
            .view
            .apply_upstream_table(&listed, table.position, after_outage, now);
        drop(state);
        self.publish();
    }

    pub(super) fn apply_upstream_rows(&self, rows: &[FeedRow], after_outage: bool) {
        let now = self.now();
        let mut changed = false;
        let mut state = self.state.borrow_mut();
        for row in rows {
            let applied = if row.value.is_none() {
                state.unreadable_rows.forget(&row.key);
                emit(&Event::UpstreamRemoved {
                    upstream: row.key.clone(),
                    row_version: row.version,
                    after_outage,
                });
                state
                    .view
                    .apply_removal(&row.key, row.version, after_outage, now)
            } else {
                match self.rows.upstream(row) {
                    Ok(listed) => {
                        state.unreadable_rows.forget(&row.key);
                        emit(&Event::UpstreamListed {
                            upstream: listed.id.clone(),
                            service: listed.service.clone(),
                            leaving: listed.leaving,
                            cold_left_ms: millis(listed.cold_left),
                            row_version: row.version,
                        });
                        state.view.apply_upstream(&listed, row.version, now)
                    }
                    // Treated like a removal, as in a whole table: the upstream that the row described may be gone.
                    Err(error) => {
                        state.unreadable_rows.log(&row.key, error);
                        state.view.apply_removal(&row.key, row.version, false, now)
                    }
                }
            };
            changed |= applied == Applied::Changed;
        }
        drop(state);
        if changed {
            self.publish();
        }
    }
}

/// Number of upstreams' rows that can't be parsed of which the findings are kept.
const UNREADABLE_ROWS_MAX: usize = 256;

/// Findings in upstreams' rows that can't be parsed. A row is logged when its findings change, not each time that it is
/// written or read again.
#[derive(Debug, Default)]
pub(super) struct UnreadableRows {
    findings: FastMap<ByteString, Vec<String>>,
}

impl UnreadableRows {
    /// Logs a row whose findings are new.
    fn log(&mut self, key: &ByteString, error: UnreadableRow) {
        if self.findings.get(key) == Some(&error.findings) {
            return;
        }
        if self.findings.len() >= UNREADABLE_ROWS_MAX {
            self.findings.clear();
        }
        self.findings.insert(key.clone(), error.findings.clone());
        log_unreadable(error);
    }

    /// Drops the findings in a row that can be parsed, or that was removed.
    fn forget(&mut self, key: &ByteString) {
        self.findings.remove(key);
    }
}

/// Logs that a row can't be parsed.
fn log_unreadable(error: UnreadableRow) {
    emit(&Event::RowUnreadable {
        row: error.row,
        findings: error.findings,
    });
}

//! Rows of the store's tables, taken into the picture.

use crate::{
    control::Control,
    rows::{
        OperatorRow,
        RowReader,
        UnreadableRow, //
    },
};
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

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Takes rows of the operators' table; with a position, they are the whole table.
    pub(super) fn take_operator_rows(&self, rows: &[FeedRow], whole_at: Option<u64>) {
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

    pub(super) fn apply_upstream_table(&self, whole: &Rows, after_outage: bool) {
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

    pub(super) fn take_upstream_rows(&self, rows: &[FeedRow], after_outage: bool) {
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

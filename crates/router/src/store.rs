//! Change feeds over the product's own platform.
//!
//! The platform has a table without a change feed, and an upstream list without versions. Both are
//! polled, and each difference from the previous poll is a change:
//!
//! - A row of the table has the version of the commit that wrote it. Operators' rows are never
//!   removed, so each change is a row of a higher version.
//! - An upstream's row has as its version the time of the list that first showed it in this state.
//!   The platform sets that time, so all entries see the same one, and an older list can't undo a
//!   newer one.

use crate::reader::UPSTREAMS;
use base::FastMap;
use bytes::Bytes;
use bytestring::ByteString;
use event::{
    emit,
    Event, //
};
use picture::ListedUpstream as Upstream;
use plat::{
    Changes,
    Commit,
    FailureReason,
    Feed,
    FeedRow,
    HttpPlatform,
    ListedState,
    ListedUpstream,
    Listing,
    Outcome,
    ReadError,
    Row,
    Rows,
    Table,
    Txn,
    UnusableEntries,
    UnusableEntry, //
};
use route::keys;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::AddrParseError,
    time::{
        Duration,
        Instant, //
    },
};

/// Rows of one table by key.
type TableRows = BTreeMap<ByteString, FeedRow>;

/// Follows the tables of the product's platform by polling; used from a single thread.
#[derive(Debug)]
pub struct Store {
    platform: HttpPlatform,
    poll_interval: Duration,
    /// Rows of each table at its previous poll.
    previous: RefCell<FastMap<String, TableRows>>,
    /// Entries of the upstream list that can't be used.
    unusable: RefCell<UnusableEntries>,
}

impl Store {
    /// Returns a store that polls this platform at the given interval, without sending anything yet.
    pub fn new(platform: HttpPlatform, poll_interval: Duration) -> Self {
        Self {
            platform,
            poll_interval,
            previous: RefCell::default(),
            unusable: RefCell::default(),
        }
    }

    /// Reads all rows of a table.
    async fn read_rows(&self, table: &str) -> Result<Rows, ReadError> {
        if table == UPSTREAMS {
            return self.read_upstreams().await;
        }
        let prefix = format!("{table}/");
        let rows = self.platform.scan(&prefix).await?;
        let rows: Vec<FeedRow> = rows
            .into_iter()
            .map(|row| operator_row(&prefix, row))
            .collect();
        let position = rows.iter().map(|row| row.version).max().unwrap_or(0);
        Ok(Rows { rows, position })
    }

    /// Reads the upstream list as rows.
    async fn read_upstreams(&self) -> Result<Rows, ReadError> {
        let list = self.platform.list().await?;
        let mut unusable = list.unusable;
        let mut rows = Vec::with_capacity(list.upstreams.len());
        for listed in list.upstreams {
            let key = listed.id.clone();
            match upstream_of(listed) {
                Ok(upstream) => rows.push(FeedRow {
                    key,
                    version: list.as_of_ms,
                    value: Some(encode(&upstream)?),
                }),
                Err(error) => unusable.push(UnusableEntry {
                    place: format!("{UPSTREAMS}/{key}"),
                    finding: error.to_string(),
                }),
            }
        }
        for entry in self.unusable.borrow_mut().replace(unusable) {
            emit(&Event::RowUnreadable {
                row: entry.place,
                findings: vec![entry.finding],
            });
        }
        Ok(Rows {
            rows,
            position: list.as_of_ms,
        })
    }

    /// Returns the rows that differ from the previous poll, and keeps `current` for the next comparison.
    fn record_changes(&self, table: &str, current: &Rows) -> Vec<FeedRow> {
        let mut previous = self.previous.borrow_mut();
        let known_rows = previous.entry(table.to_owned()).or_default();
        let mut changed: Vec<FeedRow> = current
            .rows
            .iter()
            .filter(|row| {
                known_rows
                    .get(&row.key)
                    .is_none_or(|known| known.value != row.value)
            })
            .cloned()
            .collect();
        let removed = known_rows
            .keys()
            .filter(|key| !current.rows.iter().any(|row| row.key == **key));
        changed.extend(removed.map(|key| FeedRow {
            key: key.clone(),
            version: current.position,
            value: None,
        }));
        for row in &changed {
            if row.value.is_some() {
                known_rows.insert(row.key.clone(), row.clone());
            } else {
                known_rows.remove(&row.key);
            }
        }
        changed
    }
}

impl Feed for Store {
    async fn read_all(&self, table: &str) -> Result<Rows, ReadError> {
        let rows = self.read_rows(table).await?;
        self.previous.borrow_mut().remove(table);
        self.record_changes(table, &rows);
        Ok(rows)
    }

    async fn changes(
        &self,
        table: &str,
        position: u64,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let deadline = Instant::now() + wait;
        loop {
            tokio::time::sleep(self.poll_interval).await;
            let current = self.read_rows(table).await?;
            // A platform that lags answered with an older state, whose changes have been returned already.
            let outdated = current.position < position;
            let rows = if outdated {
                Vec::new()
            } else {
                self.record_changes(table, &current)
            };
            if !rows.is_empty() || Instant::now() >= deadline {
                let position = current.position.max(position);
                return Ok(Changes::Rows(Rows { rows, position }));
            }
        }
    }
}

impl Table for Store {
    async fn read(&self, keys: &[ByteString]) -> Result<Vec<Option<Row>>, ReadError> {
        self.platform.read(keys).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, ReadError> {
        self.platform.scan(prefix).await
    }

    async fn commit(&self, txn: Txn) -> Outcome<Commit> {
        self.platform.commit(txn).await
    }
}

/// Converts a row of the operators' table; a row that ends an evacuation gets no value.
fn operator_row(prefix: &str, row: Row) -> FeedRow {
    let key = row.key.strip_prefix(prefix).unwrap_or(&row.key);
    let withdrawn = keys::evacuated_domain(key).is_some() && *row.value != *keys::EVACUATED;
    FeedRow {
        key: key.into(),
        version: row.version,
        value: (!withdrawn).then(|| row.value.as_bytes().clone()),
    }
}

/// Converts an upstream of the list, whose address must be an IP address and a port.
fn upstream_of(listed: ListedUpstream) -> Result<Upstream, AddrParseError> {
    Ok(Upstream {
        addr: listed.addr.parse()?,
        id: listed.id,
        service: listed.service,
        region: listed.region,
        failure_domain: listed.failure_domain,
        slots: listed.slots,
        leaving: listed.state == ListedState::Leaving,
        cold_left: Duration::from_millis(listed.cold_left_ms),
        // Each start of an upstream has its own id in the product's list.
        started_ms: 0,
        writes: None,
    })
}

fn encode(upstream: &Upstream) -> Result<Bytes, ReadError> {
    let encoded = serde_json::to_vec(upstream);
    let encoded = encoded.map_err(|error| FailureReason::Malformed(error.to_string()))?;
    Ok(encoded.into())
}

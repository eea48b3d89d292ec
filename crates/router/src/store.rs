//! The product's own platform as tables that can be followed.
//!
//! The platform has a table without a feed, and a list without versions. Both are looked at again and
//! again, and what differs from the look before is a change:
//!
//! - a row of the table has the version of the commit that wrote it; operators' rows are never
//!   removed, so a change always is a row of a higher version;
//! - an upstream's row has the time of the list that first showed it so. That time is the platform's,
//!   the same for all entries: an older list can't undo what a newer one said.

use crate::reader::UPSTREAMS;
use base::FastMap;

use bytestring::ByteString;
use picture::ListedUpstream;
use plat::{
    Changes,
    Commit,
    FailureReason,
    Feed,
    FeedRow,
    HttpPlatform,
    ListedState,
    Listing,
    Outcome,
    ReadError,
    Row,
    Rows,
    Table,
    Txn, //
};
use route::keys;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

/// Rows of one table as they were seen last, by key.
type Seen = BTreeMap<ByteString, FeedRow>;

/// The product's platform; for one thread.
#[derive(Debug)]
pub struct Store {
    platform: HttpPlatform,
    look: Duration,
    seen: RefCell<FastMap<String, Seen>>,
}

impl Store {
    /// Follows this platform by looking at it at these intervals; sends nothing yet.
    pub fn new(platform: HttpPlatform, look: Duration) -> Self {
        Self {
            platform,
            look,
            seen: RefCell::default(),
        }
    }

    /// All rows of a table now.
    async fn rows(&self, table: &str) -> Result<Rows, ReadError> {
        if table == UPSTREAMS {
            return self.listed().await;
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

    /// The list's upstreams as rows.
    async fn listed(&self) -> Result<Rows, ReadError> {
        let list = self.platform.list().await?;
        let rows = list.upstreams.iter().map(|listed| {
            let upstream = ListedUpstream {
                id: listed.id.clone(),
                service: listed.service.clone(),
                region: listed.region.clone(),
                failure_domain: listed.failure_domain.clone(),
                addr: listed
                    .addr
                    .parse()
                    .map_err(|error| malformed(format!("{}: {error}", listed.id)))?,
                slots: listed.slots,
                leaving: listed.state == ListedState::Leaving,
                cold_left: Duration::from_millis(listed.cold_left_ms),
                // The product's list gives each start a name of its own.
                started_ms: 0,
            };
            let value =
                serde_json::to_vec(&upstream).map_err(|error| malformed(error.to_string()))?;
            Ok(FeedRow {
                key: listed.id.clone(),
                version: list.as_of_ms,
                value: Some(value.into()),
            })
        });
        Ok(Rows {
            rows: rows.collect::<Result<_, ReadError>>()?,
            position: list.as_of_ms,
        })
    }

    /// Takes a look over as the one that the next is compared with; gives what differs.
    fn differences(&self, table: &str, now: &Rows) -> Vec<FeedRow> {
        let mut seen = self.seen.borrow_mut();
        let before = seen.entry(table.to_owned()).or_default();
        let mut changed: Vec<FeedRow> = now
            .rows
            .iter()
            .filter(|row| {
                before
                    .get(&row.key)
                    .is_none_or(|old| old.value != row.value)
            })
            .cloned()
            .collect();
        let gone = before
            .keys()
            .filter(|key| !now.rows.iter().any(|row| row.key == **key));
        changed.extend(gone.map(|key| FeedRow {
            key: key.clone(),
            version: now.position,
            value: None,
        }));
        for row in &changed {
            if row.value.is_some() {
                before.insert(row.key.clone(), row.clone());
            } else {
                before.remove(&row.key);
            }
        }
        changed
    }
}

impl Feed for Store {
    async fn read_all(&self, table: &str) -> Result<Rows, ReadError> {
        let rows = self.rows(table).await?;
        self.seen.borrow_mut().remove(table);
        self.differences(table, &rows);
        Ok(rows)
    }

    async fn changes(
        &self,
        table: &str,
        position: u64,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let until = Instant::now() + wait;
        loop {
            tokio::time::sleep(self.look).await;
            let now = self.rows(table).await?;
            // An older look, from a platform that lags: what it says has been said already.
            let older = now.position < position;
            let rows = if older {
                Vec::new()
            } else {
                self.differences(table, &now)
            };
            if !rows.is_empty() || Instant::now() >= until {
                let position = now.position.max(position);
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

/// A row of the operators' table; one that takes an evacuation back has no value.
fn operator_row(prefix: &str, row: Row) -> FeedRow {
    let key = row.key.strip_prefix(prefix).unwrap_or(&row.key);
    let taken_back = keys::evacuated_domain(key).is_some() && *row.value != *keys::EVACUATED;
    FeedRow {
        key: key.into(),
        version: row.version,
        value: (!taken_back).then(|| row.value.as_bytes().clone()),
    }
}

fn malformed(why: String) -> ReadError {
    ReadError(FailureReason::Malformed(why))
}

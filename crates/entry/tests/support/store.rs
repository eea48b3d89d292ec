//! A store in memory, with the outages that tests switch on.

use bytes::Bytes;
use bytestring::ByteString;
use entry::{
    OperatorRow,
    RowReader,
    Tables,
    UnreadableRow, //
};
use picture::ListedUpstream;
use plat::{
    Changes,
    Check,
    Commit,
    Feed,
    FeedRow,
    Outcome,
    ReadError,
    Reason,
    Row,
    Rows,
    Table,
    Txn,
    Write, //
};
use route::Routes;
use std::{
    collections::BTreeMap,
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Pause between two looks for changes.
const LOOK: Duration = Duration::from_millis(5);

#[derive(Default)]
struct State {
    version: u64,
    /// Key `table/name` to version and value; a removed row keeps its version.
    rows: BTreeMap<String, (u64, Option<Bytes>)>,
    /// Changes up to this version are forgotten.
    forgotten: u64,
}

/// A store; clones share it, but each has an outage of its own.
#[derive(Clone, Default)]
pub(crate) struct MemoryStore {
    state: Arc<Mutex<State>>,
    /// All calls of this handle are refused.
    pub(crate) down: Arc<AtomicBool>,
    /// Reads of the rows of entries are refused.
    pub(crate) entries_hidden: Arc<AtomicBool>,
    /// The only entries whose rows this handle reads; empty is all.
    shown: Arc<Mutex<Vec<&'static str>>>,
    /// Reads of the rows of entries by this handle.
    entries_read: Arc<AtomicUsize>,
    /// Answers with changes of this handle.
    changes_told: Arc<AtomicUsize>,
    /// Calls of this handle for changes.
    changes_asked: Arc<AtomicUsize>,
    /// Whole tables that this handle read.
    tables_read: Arc<AtomicUsize>,
}

impl MemoryStore {
    /// Another handle to the same rows, with an outage of its own.
    pub(crate) fn handle(&self) -> Self {
        Self {
            state: self.state.clone(),
            down: Arc::default(),
            entries_hidden: self.entries_hidden.clone(),
            shown: Arc::default(),
            entries_read: Arc::default(),
            changes_told: Arc::default(),
            changes_asked: Arc::default(),
            tables_read: Arc::default(),
        }
    }

    pub(crate) fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// From now on this handle reads the rows of these entries and of no others.
    pub(crate) fn show_only(&self, entries: &[&'static str]) {
        *self.shown.lock().expect("no test panics with it") = entries.to_vec();
    }

    fn shows(&self, key: &str) -> bool {
        let shown = self.shown.lock().expect("no test panics with it");
        let entry = key.strip_prefix("entries/");
        entry.is_none_or(|entry| shown.is_empty() || shown.contains(&entry))
    }

    pub(crate) fn put(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        let row = (version, Some(value.into()));
        state.rows.insert(key.to_owned(), row);
        version
    }

    /// Returns whether a row with this key exists.
    pub(crate) fn has(&self, key: &str) -> bool {
        let state = self.lock();
        let row = state.rows.get(key);
        row.is_some_and(|(_, value)| value.is_some())
    }

    pub(crate) fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        state.rows.insert(key.to_owned(), (version, None));
    }

    /// Forgets all history.
    pub(crate) fn compact(&self) {
        let mut state = self.lock();
        state.forgotten = state.version;
        state.rows.retain(|_, (_, value)| value.is_some());
    }

    pub(crate) fn put_routes(&self, routes: &Routes) {
        let value = serde_json::to_vec(routes).expect("plain data");
        self.put("operator/routes", value);
    }

    pub(crate) fn put_upstream(&self, listed: &ListedUpstream) {
        let value = serde_json::to_vec(listed).expect("plain data");
        self.put(&format!("upstreams/{}", listed.id), value);
    }

    /// How often the rows of entries were read by this handle.
    pub(crate) fn entries_read(&self) -> usize {
        self.entries_read.load(Ordering::Relaxed)
    }

    /// How often this handle answered with changes of any table.
    pub(crate) fn changes_told(&self) -> usize {
        self.changes_told.load(Ordering::Relaxed)
    }

    /// How often this handle asked for changes of any table.
    pub(crate) fn changes_asked(&self) -> usize {
        self.changes_asked.load(Ordering::Relaxed)
    }

    /// How many whole tables this handle read.
    pub(crate) fn tables_read(&self) -> usize {
        self.tables_read.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no test panics with it")
    }

    fn check_up(&self) -> Result<(), Reason> {
        if self.down.load(Ordering::Relaxed) {
            return Err(Reason::Refused);
        }
        Ok(())
    }

    fn rows_after(&self, table: &str, position: u64, removed: bool) -> Rows {
        let state = self.lock();
        let prefix = format!("{table}/");
        let of_table = state.rows.iter().filter_map(|(key, (version, value))| {
            let key = key.strip_prefix(&prefix)?;
            let wanted = *version > position && (removed || value.is_some());
            wanted.then(|| FeedRow {
                key: key.into(),
                version: *version,
                value: value.clone(),
            })
        });
        let mut rows: Vec<FeedRow> = of_table.collect();
        rows.sort_by_key(|row| row.version);
        Rows {
            rows,
            position: state.version,
        }
    }
}

impl Feed for MemoryStore {
    async fn read_all(&self, table: &str) -> Result<Rows, ReadError> {
        self.check_up().map_err(ReadError)?;
        self.tables_read.fetch_add(1, Ordering::Relaxed);
        Ok(self.rows_after(table, 0, false))
    }

    async fn changes(
        &self,
        table: &str,
        position: u64,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let begun = Instant::now();
        self.changes_asked.fetch_add(1, Ordering::Relaxed);
        loop {
            self.check_up().map_err(ReadError)?;
            if position < self.lock().forgotten {
                return Ok(Changes::HistoryGone);
            }
            let rows = self.rows_after(table, position, true);
            let told = usize::from(!rows.rows.is_empty());
            self.changes_told.fetch_add(told, Ordering::Relaxed);
            if told > 0 || begun.elapsed() >= wait {
                return Ok(Changes::Rows(rows));
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}

impl Table for MemoryStore {
    async fn read(&self, keys: &[ByteString]) -> Result<Vec<Option<Row>>, ReadError> {
        self.check_up().map_err(ReadError)?;
        Ok(keys.iter().map(|key| self.row(key)).collect())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, ReadError> {
        self.check_up().map_err(ReadError)?;
        if self.entries_hidden.load(Ordering::Relaxed) {
            return Err(ReadError(Reason::Refused));
        }
        self.entries_read.fetch_add(1, Ordering::Relaxed);
        let keys: Vec<String> = self.lock().rows.keys().cloned().collect();
        let keys = keys
            .iter()
            .filter(|key| key.starts_with(prefix) && self.shows(key));
        Ok(keys.filter_map(|key| self.row(key)).collect())
    }

    async fn commit(&self, txn: Txn) -> Outcome<Commit> {
        if let Err(reason) = self.check_up() {
            return Outcome::NotDone(reason);
        }
        let mut state = self.lock();
        let rows: Vec<Option<Row>> = txn
            .checks
            .iter()
            .map(|check| {
                let (Check::Absent { key } | Check::Version { key, .. }) = check;
                state.row(key)
            })
            .collect();
        let holds = txn
            .checks
            .iter()
            .zip(&rows)
            .all(|(check, row)| match check {
                Check::Absent { .. } => row.is_none(),
                Check::Version { version, .. } => {
                    row.as_ref().is_some_and(|row| row.version == *version)
                }
            });
        if !holds {
            return Outcome::Done(Commit::Conflict { rows });
        }
        state.version += 1;
        let version = state.version;
        for write in txn.writes {
            let (key, value) = match write {
                Write::Put { key, value } => (key, Some(value.into_bytes())),
                Write::Delete { key } => (key, None),
            };
            state.rows.insert(key.to_string(), (version, value));
        }
        Outcome::Done(Commit::Committed { version })
    }
}

impl MemoryStore {
    fn row(&self, key: &str) -> Option<Row> {
        self.lock().row(key)
    }
}

impl State {
    fn row(&self, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        let value = ByteString::try_from(value.clone()?).ok()?;
        Some(Row {
            key: key.into(),
            version: *version,
            value,
        })
    }
}

/// Rows that hold the product's own types as JSON.
pub(crate) struct PlainRows;

impl RowReader for PlainRows {
    fn tables(&self) -> Tables {
        Tables {
            operator: "operator",
            upstreams: "upstreams",
        }
    }

    fn operator(&self, row: &FeedRow) -> Result<OperatorRow, UnreadableRow> {
        if let Some(domain) = row.key.strip_prefix("evacuated/") {
            return Ok(OperatorRow::Evacuation(domain.into()));
        }
        let Some(value) = &row.value else {
            return Ok(OperatorRow::Other);
        };
        let routes: Routes = parse(row, value)?;
        Ok(OperatorRow::Routes(Arc::new(routes)))
    }

    fn upstream(&self, row: &FeedRow) -> Result<ListedUpstream, UnreadableRow> {
        parse(row, &row.value.clone().unwrap_or_default())
    }
}

fn parse<T: serde::de::DeserializeOwned>(row: &FeedRow, value: &Bytes) -> Result<T, UnreadableRow> {
    serde_json::from_slice(value).map_err(|error| UnreadableRow {
        row: row.key.to_string(),
        findings: vec![error.to_string()],
    })
}

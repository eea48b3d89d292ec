//! An in-memory store that can be made to refuse calls.

use crate::support::eventually;
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
    Era,
    FailureReason,
    Feed,
    FeedRow,
    Outcome,
    ReadError,
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

/// Bits of a version that are counted anew after the store was restored.
const VERSION_BITS: u32 = 44;
/// Time after which a call without an answer ends, in addition to the wait that it asks for.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval at which a waiting call checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Rows by key, with their versions; a removed row has no value.
type StoredRows = BTreeMap<String, (u64, Option<Bytes>)>;

/// A copy of all rows, from which the store can be restored.
pub(crate) struct Backup {
    version: u64,
    rows: StoredRows,
}

#[derive(Default)]
struct State {
    version: u64,
    /// Number of times that the store was restored; `None` before the first.
    era: Option<u64>,
    /// Version and value by key (`table/name`); a removed row has the version of its removal and no value.
    rows: StoredRows,
    /// Version up to which the history of changes has been discarded.
    compacted_version: u64,
}

/// A handle to the store. Clones share its outage and counters; [`Self::handle`] returns one with its own.
#[derive(Clone, Default)]
pub(crate) struct MemoryStore {
    state: Arc<Mutex<State>>,
    /// Whether all calls of this handle are refused.
    pub(crate) down: Arc<AtomicBool>,
    /// Whether calls of this handle get no answer. One that begins in this time gets none afterwards either.
    silent: Arc<AtomicBool>,
    /// Start of the last call for changes of each table by this handle.
    called_at: Arc<Mutex<BTreeMap<String, Instant>>>,
    /// Whether scans are refused, for all handles.
    pub(crate) scans_refused: Arc<AtomicBool>,
    /// Entries whose rows are returned by scans of this handle; all if empty.
    visible_entries: Arc<Mutex<Vec<&'static str>>>,
    /// Number of scans by this handle.
    scans: Arc<AtomicUsize>,
    /// Number of calls for changes by this handle that returned rows.
    change_batches: Arc<AtomicUsize>,
    /// Number of calls for changes by this handle.
    change_calls: Arc<AtomicUsize>,
    /// Number of reads of a whole table by this handle.
    table_reads: Arc<AtomicUsize>,
}

impl MemoryStore {
    /// Returns another handle to the same rows, with its own outage and counters.
    pub(crate) fn handle(&self) -> Self {
        Self {
            state: self.state.clone(),
            down: Arc::default(),
            silent: Arc::default(),
            called_at: Arc::default(),
            scans_refused: self.scans_refused.clone(),
            visible_entries: Arc::default(),
            scans: Arc::default(),
            change_batches: Arc::default(),
            change_calls: Arc::default(),
            table_reads: Arc::default(),
        }
    }

    pub(crate) fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Lets calls of this handle go unanswered, or answers the next ones again.
    pub(crate) fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Waits until a call of this handle for changes of a table begins.
    pub(crate) fn wait_for_call(&self, table: &str) {
        let called_at = || {
            let called_at = self.called_at.lock();
            let called_at = called_at.expect("no test panics while it holds the lock");
            called_at.get(table).copied()
        };
        let before = called_at();
        eventually("a call of the store", || {
            (called_at() != before).then_some(())
        });
    }

    /// Restricts scans of this handle to the rows of these entries; all if empty.
    pub(crate) fn show_only(&self, entries: &[&'static str]) {
        *self
            .visible_entries
            .lock()
            .expect("no test panics while it holds the lock") = entries.to_vec();
    }

    fn is_visible(&self, key: &str) -> bool {
        let visible_entries = self
            .visible_entries
            .lock()
            .expect("no test panics while it holds the lock");
        let entry = key.strip_prefix("entries/");
        entry.is_none_or(|entry| visible_entries.is_empty() || visible_entries.contains(&entry))
    }

    pub(crate) fn put(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        let row = (version, Some(value.into()));
        state.rows.insert(key.to_owned(), row);
        version
    }

    /// Returns a copy of all rows.
    pub(crate) fn back_up(&self) -> Backup {
        let state = self.lock();
        Backup {
            version: state.version,
            rows: state.rows.clone(),
        }
    }

    /// Restores the rows from a copy. Versions are given out again, in a new era.
    pub(crate) fn restore(&self, backup: &Backup) {
        let mut state = self.lock();
        let number = state.era.unwrap_or_default() + 1;
        state.era = Some(number);
        let era = number << VERSION_BITS;
        let in_era = |version: u64| era | (version & ((1 << VERSION_BITS) - 1));
        state.version = in_era(backup.version);
        state.compacted_version = 0;
        let rows = backup.rows.iter();
        state.rows = rows
            .filter(|(_, (_, value))| value.is_some())
            .map(|(key, (version, value))| (key.clone(), (in_era(*version), value.clone())))
            .collect();
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

    /// Discards the history of changes.
    pub(crate) fn compact(&self) {
        let mut state = self.lock();
        state.compacted_version = state.version;
        state.rows.retain(|_, (_, value)| value.is_some());
    }

    pub(crate) fn put_routes(&self, routes: &Routes) {
        let value = serde_json::to_vec(routes).expect("the row serialises to JSON");
        self.put("operator/routes", value);
    }

    pub(crate) fn put_upstream(&self, row: &ListedUpstream) {
        let value = serde_json::to_vec(row).expect("the row serialises to JSON");
        self.put(&format!("upstreams/{}", row.id), value);
    }

    /// Returns the number of scans by this handle.
    pub(crate) fn scans(&self) -> usize {
        self.scans.load(Ordering::Relaxed)
    }

    /// Returns the number of calls for changes of any table by this handle that returned rows.
    pub(crate) fn change_batches(&self) -> usize {
        self.change_batches.load(Ordering::Relaxed)
    }

    /// Returns the number of calls for changes of any table by this handle.
    pub(crate) fn change_calls(&self) -> usize {
        self.change_calls.load(Ordering::Relaxed)
    }

    /// Returns the number of reads of a whole table by this handle.
    pub(crate) fn table_reads(&self) -> usize {
        self.table_reads.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no test panics while it holds the lock")
    }

    /// Answers a call that waits up to `wait` for changes, unless the store falls silent before the answer.
    async fn answer<T>(&self, wait: Duration, mut poll: impl FnMut() -> Option<T>) -> Option<T> {
        let deadline = Instant::now() + wait + CALL_TIMEOUT;
        while !self.silent.load(Ordering::Relaxed) {
            if let Some(answer) = poll() {
                return Some(answer);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        tokio::time::sleep_until(deadline.into()).await;
        None
    }

    fn check_available(&self) -> Result<(), FailureReason> {
        if self.down.load(Ordering::Relaxed) {
            return Err(FailureReason::Refused);
        }
        Ok(())
    }

    fn rows_after(&self, table: &str, position: u64, include_removed: bool) -> Rows {
        let state = self.lock();
        let prefix = format!("{table}/");
        let table_rows = state.rows.iter().filter_map(|(key, (version, value))| {
            let key = key.strip_prefix(&prefix)?;
            let matches = *version > position && (include_removed || value.is_some());
            matches.then(|| FeedRow {
                key: key.into(),
                version: *version,
                value: value.clone(),
            })
        });
        let mut rows: Vec<FeedRow> = table_rows.collect();
        rows.sort_by_key(|row| row.version);
        Rows {
            rows,
            position: state.version,
        }
    }
}

impl Feed for MemoryStore {
    async fn read_all(&self, table: &str) -> Result<Rows, ReadError> {
        self.check_available().map_err(ReadError)?;
        let answer = || {
            self.table_reads.fetch_add(1, Ordering::Relaxed);
            Some(self.rows_after(table, 0, false))
        };
        let answered = self.answer(Duration::ZERO, answer).await;
        answered.ok_or(ReadError(FailureReason::Timeout))
    }

    async fn changes(
        &self,
        table: &str,
        position: u64,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let started = Instant::now();
        self.change_calls.fetch_add(1, Ordering::Relaxed);
        self.called_at
            .lock()
            .expect("no test panics while it holds the lock")
            .insert(table.to_owned(), started);
        let answer = || {
            if let Err(reason) = self.check_available() {
                return Some(Err(ReadError(reason)));
            }
            if position >> VERSION_BITS != self.lock().era.unwrap_or_default() {
                return Some(Ok(Changes::Restored));
            }
            if position < self.lock().compacted_version {
                return Some(Ok(Changes::HistoryGone));
            }
            let rows = self.rows_after(table, position, true);
            let batches = usize::from(!rows.rows.is_empty());
            self.change_batches.fetch_add(batches, Ordering::Relaxed);
            (batches > 0 || started.elapsed() >= wait).then_some(Ok(Changes::Rows(rows)))
        };
        let answered = self.answer(wait, answer).await;
        answered.unwrap_or(Err(ReadError(FailureReason::Timeout)))
    }
}

impl Table for MemoryStore {
    async fn read(&self, keys: &[ByteString]) -> Result<Vec<Option<Row>>, ReadError> {
        self.check_available().map_err(ReadError)?;
        Ok(keys.iter().map(|key| self.row(key)).collect())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, ReadError> {
        self.check_available().map_err(ReadError)?;
        if self.scans_refused.load(Ordering::Relaxed) {
            return Err(ReadError(FailureReason::Refused));
        }
        self.scans.fetch_add(1, Ordering::Relaxed);
        let keys: Vec<String> = self.lock().rows.keys().cloned().collect();
        let keys = keys
            .iter()
            .filter(|key| key.starts_with(prefix) && self.is_visible(key));
        Ok(keys.filter_map(|key| self.row(key)).collect())
    }

    async fn commit(&self, txn: Txn) -> Outcome<Commit> {
        if let Err(reason) = self.check_available() {
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
        let all_hold = txn
            .checks
            .iter()
            .zip(&rows)
            .all(|(check, row)| match check {
                Check::Absent { .. } => row.is_none(),
                Check::Version { version, .. } => {
                    row.as_ref().is_some_and(|row| row.version == *version)
                }
            });
        if !all_hold {
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

    fn era(&self) -> Option<Era> {
        self.lock().era
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

/// Reads rows that hold [`Routes`] and [`ListedUpstream`] as JSON.
pub(crate) struct JsonRows;

impl RowReader for JsonRows {
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

    fn without_keys(&self, row: &FeedRow) -> FeedRow {
        row.clone()
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

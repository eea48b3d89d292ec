//! Rows of the entries in the store: this entry's, the others', and the key by which they authenticate each other.

use crate::{
    control::Control,
    metric,
    rows::RowReader,
    settings::Settings, //
};
use base::{
    InstanceId,
    Now, //
};
use bytestring::ByteString;
use event::{
    emit,
    Event, //
};
use overlay::Member;
use plat::{
    Check,
    Commit,
    Era,
    Feed,
    Outcome,
    Row,
    Table as StoreTable,
    Txn,
    Write, //
};
use rand::RngExt;
use std::time::Duration;

/// Prefix of the keys of entries' rows.
pub(super) const ENTRIES: &str = "entries/";
/// Row of the secret key by which entries authenticate each other. Whoever can read the store counts as an entry. The
/// row has the prefix of the entries' rows, so that one call reads all of them; no instance has such a name.
const KEY_ROW: &str = "entries/.key";
/// Row of the newest era of the store in which leases may be claimed. It has the prefix of the entries' rows, too.
const ERA_ROW: &str = "entries/.era";
/// Length of the secret key in bytes.
const KEY_LEN: usize = 32;
/// First character after [`ENTRIES`] in the keys of rows that don't describe an instance.
const NON_INSTANCE_PREFIX: char = '.';
/// Delay after a failed call.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(600);
/// Time after which the row of an entry that is gone is removed. An instance that was replaced never removes its own
/// row.
const ROW_REMOVAL_DELAY: Duration = Duration::from_secs(30);

/// Returns the description of this entry for the others.
pub(super) fn own_member(settings: &Settings) -> Member {
    Member {
        instance: settings.instance.clone(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        peers_addr: settings.peers_addr,
        cpu_milli: settings.cpu_milli,
    }
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Returns the secret key that all entries share. The first entry creates it.
    pub(super) async fn shared_key(&self, rows: &[Row]) -> ByteString {
        if let Some(row) = rows.iter().find(|row| row.key == KEY_ROW) {
            return row.value.clone();
        }
        let key = ByteString::from_static(KEY_ROW);
        let random: [u8; KEY_LEN] = rand::rng().random();
        let value: String = random.iter().map(|byte| format!("{byte:02x}")).collect();
        let value = ByteString::from(value);
        loop {
            let check = Check::Absent { key: key.clone() };
            let write = Write::Put {
                key: key.clone(),
                value: value.clone(),
            };
            let txn = Txn {
                checks: vec![check],
                writes: vec![write],
            };
            match self.store.commit(txn).await {
                Outcome::Done(Commit::Committed { .. }) => return value,
                Outcome::Done(Commit::Conflict { rows }) => {
                    if let Some(Some(row)) = rows.into_iter().next() {
                        return row.value;
                    }
                }
                // If the key was created nevertheless, the next attempt finds it.
                Outcome::NotDone(_) | Outcome::Unknown(_) => {}
            }
            sleep_jittered(RETRY_DELAY).await;
        }
    }

    /// Writes the secret key again if it is missing in the rows, because the store was restored from a copy without it.
    pub(super) async fn restore_key(&self, rows: &[Row], key: &ByteString) {
        if rows.iter().any(|row| row.key == KEY_ROW) {
            return;
        }
        let row_key = ByteString::from_static(KEY_ROW);
        let txn = Txn {
            checks: vec![Check::Absent {
                key: row_key.clone(),
            }],
            writes: vec![Write::Put {
                key: row_key,
                value: key.clone(),
            }],
        };
        // Other entries write it as well, and the next scan repeats a write that failed.
        let _ = self.store.commit(txn).await;
    }

    /// Records an era of the store in which leases may be claimed. Returns whether the write is known to have succeeded.
    pub(super) async fn write_era_row(&self, era: Era) -> bool {
        let write = Write::Put {
            key: ByteString::from_static(ERA_ROW),
            value: era.to_string().into(),
        };
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![write],
        };
        matches!(self.store.commit(txn).await, Outcome::Done(_))
    }

    fn own_row_key(&self) -> ByteString {
        format!("{ENTRIES}{}", self.settings.instance).into()
    }

    /// Writes this entry's row. Returns whether the write is known to have succeeded.
    pub(super) async fn register(&self) -> bool {
        let value = serde_json::to_string(&own_member(&self.settings))
            .expect("an entry's row is serializable");
        let write = Write::Put {
            key: self.own_row_key(),
            value: value.into(),
        };
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![write],
        };
        let done = matches!(self.store.commit(txn).await, Outcome::Done(_));
        let outcome = if done { "done" } else { "failed" };
        metrics::counter!(metric::STORE_CALLS, "call" => "register", "outcome" => outcome)
            .increment(1);
        done
    }

    /// Removes this entry's row.
    pub(super) async fn remove_own_row(&self) {
        let write = Write::Delete {
            key: self.own_row_key(),
        };
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![write],
        };
        // A row that remains is removed by a hub once the entry has been gone for some time.
        if !matches!(self.store.commit(txn).await, Outcome::Done(_)) {
            emit(&Event::OwnRowNotRemoved);
        }
    }

    /// Reads the rows of all entries.
    pub(super) async fn scan(&self) -> Option<Vec<Row>> {
        let scanned = self.store.scan(ENTRIES).await;
        let outcome = if scanned.is_ok() { "done" } else { "failed" };
        metrics::counter!(metric::STORE_CALLS, "call" => "entries", "outcome" => outcome)
            .increment(1);
        match scanned {
            Ok(rows) => Some(rows),
            Err(error) => {
                emit(&Event::EntriesNotRead {
                    error: error.to_string(),
                });
                None
            }
        }
    }

    /// Applies the rows of all entries.
    pub(super) fn apply_entry_rows(&self, rows: &[Row]) {
        self.merge_crash_rows(rows);
        self.apply_era_row(rows);
        let mut registered = Vec::with_capacity(rows.len());
        for row in rows.iter().filter(|row| is_instance_row(row)) {
            match serde_json::from_str::<Member>(&row.value) {
                Ok(member) => registered.push(member),
                Err(error) => {
                    emit(&Event::RowUnreadable {
                        row: row.key.to_string(),
                        findings: vec![error.to_string()],
                    });
                }
            }
        }
        let own = own_member(&self.settings);
        let is_new = !registered.contains(&own);
        if is_new {
            registered.retain(|member| member.instance != own.instance);
            registered.push(own);
        }
        let mut state = self.state.borrow_mut();
        state.overlay.set_registered(registered);
        state.is_new.get_or_insert(is_new);
        drop(state);
        self.publish_entries();
    }

    fn apply_era_row(&self, rows: &[Row]) {
        let mut state = self.state.borrow_mut();
        state.era_wait.observe(self.store.era(), self.now());
        let row = rows.iter().find(|row| row.key == ERA_ROW);
        if let Some(era) = row.and_then(|row| row.value.parse().ok()) {
            state.era_wait.settle(era);
        }
    }

    /// Returns whether this entry's row exists and is up to date.
    pub(super) fn is_registered(&self, rows: &[Row]) -> bool {
        let own = rows.iter().find(|row| row.key == self.own_row_key());
        let listed = own.and_then(|row| serde_json::from_str::<Member>(&row.value).ok());
        listed == Some(own_member(&self.settings))
    }

    /// Removes the rows of entries of this hub's domain that have been gone for long.
    pub(super) async fn remove_lost_entries(&self, rows: &[Row], now: Now) {
        for row in self.rows_to_remove(rows, now) {
            let txn = Txn {
                checks: vec![Check::Version {
                    key: row.key.clone(),
                    version: row.version,
                }],
                writes: vec![Write::Delete {
                    key: row.key.clone(),
                }],
            };
            // Fails if another entry has removed the row, or its owner has rewritten it.
            let outcome = self.store.commit(txn).await;
            emit(&Event::LostEntryRow {
                row: row.key.to_string(),
                outcome: format!("{outcome:?}"),
            });
        }
    }

    fn rows_to_remove<'a>(&self, rows: &'a [Row], now: Now) -> Vec<&'a Row> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if !state.overlay.is_hub(now) {
            state.gone_since.clear();
            return Vec::new();
        }
        let instance_of = |row: &Row| -> InstanceId {
            let instance = row.key.strip_prefix(ENTRIES).unwrap_or(&row.key);
            instance.into()
        };
        let gone = |row: &&Row| state.overlay.is_gone(&instance_of(row));
        let gone: Vec<&Row> = rows.iter().filter(gone).collect();
        let since = gone.iter().map(|row| {
            let instance = instance_of(row);
            let since = state.gone_since.get(&instance).copied().unwrap_or(now);
            (instance, since)
        });
        state.gone_since = since.collect();
        let expired = |row: &&Row| {
            now.saturating_sub(state.gone_since[&instance_of(row)]) > ROW_REMOVAL_DELAY
        };
        gone.into_iter().filter(expired).collect()
    }
}

fn is_instance_row(row: &Row) -> bool {
    let name = row.key.strip_prefix(ENTRIES);
    name.is_some_and(|name| !name.starts_with(NON_INSTANCE_PREFIX))
}

/// Sleeps for about the given time, with jitter so that entries don't call in step.
pub(super) async fn sleep_jittered(duration: Duration) {
    let jitter = rand::rng().random_range(0.8..1.2);
    tokio::time::sleep(duration.mul_f64(jitter)).await;
}

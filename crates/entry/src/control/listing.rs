//! Rows of the entries in the store: this one's, the others', and the key that they prove themselves by.

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
    Feed,
    Outcome,
    Row,
    Table as StoreTable,
    Txn,
    Write, //
};
use rand::RngExt;
use std::time::Duration;

/// Prefix of the rows of entries.
pub(super) const ENTRIES: &str = "entries/";
/// Row of the key that entries prove themselves by to each other. Whoever reads the store is one of
/// them. It stands among their rows, so that one call reads all; no instance has such a name.
const KEY_ROW: &str = "entries/.key";
/// Bytes of that key.
const KEY_BYTES: usize = 32;
/// First character after [`ENTRIES`] in the keys of rows that don't describe an instance.
const NON_INSTANCE_PREFIX: char = '.';
/// Pause after a call that failed.
pub(super) const PAUSE: Duration = Duration::from_millis(600);
/// After this time without a session, the row of another entry is removed: an instance that was
/// replaced never removes its own.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// This entry as the others know it.
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
    /// The key that all entries share; the first one makes it.
    pub(super) async fn shared_key(&self, rows: &[Row]) -> ByteString {
        if let Some(row) = rows.iter().find(|row| row.key == KEY_ROW) {
            return row.value.clone();
        }
        let key = ByteString::from_static(KEY_ROW);
        let random: [u8; KEY_BYTES] = rand::rng().random();
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
                // Whatever came of it, the next try finds the key that was made.
                Outcome::NotDone(_) | Outcome::Unknown(_) => {}
            }
            pause(PAUSE).await;
        }
    }

    fn own_row(&self) -> ByteString {
        format!("{ENTRIES}{}", self.settings.instance).into()
    }

    /// Writes this entry's row; whether it is known to stand.
    pub(super) async fn register(&self) -> bool {
        let value = serde_json::to_string(&own_member(&self.settings))
            .expect("plain fields have a text form");
        let write = Write::Put {
            key: self.own_row(),
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

    /// Removes this entry's row, and tells the others that it takes no more callers.
    pub(super) async fn leave(&self) {
        let write = Write::Delete {
            key: self.own_row(),
        };
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![write],
        };
        // Others forget a row that has no session behind it.
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

    /// Takes the rows of all entries.
    pub(super) fn take_entries(&self, rows: &[Row]) {
        self.merge_crash_rows(rows);
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
        let mut known = self.known.borrow_mut();
        known.overlay.set_registered(registered);
        known.is_new.get_or_insert(is_new);
        drop(known);
        self.publish_entries();
    }

    /// Whether this entry's row stands as it is to be.
    pub(super) fn is_listed(&self, rows: &[Row]) -> bool {
        let own = rows.iter().find(|row| row.key == self.own_row());
        let listed = own.and_then(|row| serde_json::from_str::<Member>(&row.value).ok());
        listed == Some(own_member(&self.settings))
    }

    /// Removes the rows of entries of a hub's domain that have been gone for long.
    pub(super) async fn forget_lost(&self, rows: &[Row], now: Now) {
        for row in self.long_missing(rows, now) {
            let txn = Txn {
                checks: vec![Check::Version {
                    key: row.key.clone(),
                    version: row.version,
                }],
                writes: vec![Write::Delete {
                    key: row.key.clone(),
                }],
            };
            // Another entry may have done it, or its owner may be back.
            let outcome = self.store.commit(txn).await;
            emit(&Event::LostEntryRow {
                row: row.key.to_string(),
                outcome: format!("{outcome:?}"),
            });
        }
    }

    fn long_missing<'a>(&self, rows: &'a [Row], now: Now) -> Vec<&'a Row> {
        let mut known = self.known.borrow_mut();
        let known = &mut *known;
        if !known.overlay.is_hub(now) {
            known.missing.clear();
            return Vec::new();
        }
        let instance_of = |row: &Row| -> InstanceId {
            let instance = row.key.strip_prefix(ENTRIES).unwrap_or(&row.key);
            instance.into()
        };
        let gone = |row: &&Row| known.overlay.is_gone(&instance_of(row));
        let gone: Vec<&Row> = rows.iter().filter(gone).collect();
        let since = gone.iter().map(|row| {
            let instance = instance_of(row);
            let since = known.missing.get(&instance).copied().unwrap_or(now);
            (instance, since)
        });
        known.missing = since.collect();
        let long = |row: &&Row| now.saturating_sub(known.missing[&instance_of(row)]) > FORGET_AFTER;
        gone.into_iter().filter(long).collect()
    }
}

fn is_instance_row(row: &Row) -> bool {
    let name = row.key.strip_prefix(ENTRIES);
    name.is_some_and(|name| !name.starts_with(NON_INSTANCE_PREFIX))
}

/// Waits about so long, not in step with other entries.
pub(super) async fn pause(about: Duration) {
    let jitter = rand::rng().random_range(0.8..1.2);
    tokio::time::sleep(about.mul_f64(jitter)).await;
}

//! Persistence of quarantined requests in the store, so that they survive a restart of all entries.
//!
//! Each entry that has reported a crash of a request writes the same row when the request is put in quarantine. Every
//! entry reads these rows in the same scan as the rows of the entries, at its start and then periodically.

use crate::{
    clock::{
        millis,
        unix_ms, //
    },
    control::{
        registry::{
            sleep_jittered,
            ENTRIES,
            RETRY_DELAY, //
        },
        Control, //
    },
    metric,
    rows::RowReader, //
};
use bytestring::ByteString;
use event::{
    emit,
    Event, //
};
use plat::{
    Check,
    Feed,
    Outcome,
    Row,
    Table as StoreTable,
    Txn,
    Write, //
};
use quarantine::{
    Fingerprint,
    IncarnationHash,
    Report,
    RETENTION, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::time::Duration;

/// Prefix of the keys of these rows, after [`ENTRIES`]. It is followed by the fingerprint in hexadecimal.
const CRASH_ROWS: &str = ".crashes/";
/// Radix of fingerprints in row keys.
const FINGERPRINT_RADIX: u32 = 16;

/// Value of a row, stored as JSON.
#[derive(Debug, Deserialize, Serialize)]
struct CrashRow {
    crashes: Vec<StoredCrash>,
}

/// Crash of one upstream.
#[derive(Debug, Deserialize, Serialize)]
struct StoredCrash {
    upstream: IncarnationHash,
    /// Time of the crash, in Unix milliseconds.
    at_ms: u64,
    /// Whether the request was answered between the crash and the write of the row.
    cleared: bool,
}

impl CrashRow {
    fn new(reports: &[Report], now_ms: u64) -> Self {
        let crashes = reports.iter().map(|report| StoredCrash {
            upstream: report.upstream,
            at_ms: now_ms.saturating_sub(millis(report.age)),
            cleared: report.cleared,
        });
        Self {
            crashes: crashes.collect(),
        }
    }

    fn reports(&self, request: Fingerprint, now_ms: u64) -> impl Iterator<Item = Report> + '_ {
        self.crashes.iter().map(move |crash| Report {
            request,
            upstream: crash.upstream,
            age: Duration::from_millis(now_ms.saturating_sub(crash.at_ms)),
            cleared: crash.cleared,
        })
    }
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Writes a row for each newly quarantined request for which this entry has reported a crash, and retries until the
    /// write succeeds.
    pub(super) async fn write_crash_rows(&self) {
        loop {
            self.channels.crashes.store_due.notified().await;
            for request in self.channels.crashes.take_unstored() {
                while !self.write_crash_row(request).await {
                    sleep_jittered(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Writes the row of a request. Returns `false` if the write has to be retried.
    async fn write_crash_row(&self, request: Fingerprint) -> bool {
        let reports = self.channels.crashes.reports_of(request, self.now());
        if reports.is_empty() {
            return true;
        }
        let row = CrashRow::new(&reports, unix_ms());
        let value = serde_json::to_string(&row).expect("a crash row is serializable");
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![Write::Put {
                key: crash_row_key(request),
                value: value.into(),
            }],
        };
        let done = matches!(self.store.commit(txn).await, Outcome::Done(_));
        let outcome = if done { "done" } else { "failed" };
        metrics::counter!(metric::STORE_CALLS, "call" => "crashes", "outcome" => outcome)
            .increment(1);
        done
    }

    /// Merges the crashes stored in the rows. Rows that can't be parsed are logged and skipped.
    pub(super) fn merge_crash_rows(&self, rows: &[Row]) {
        let now_ms = unix_ms();
        let mut reports = Vec::new();
        for (row, request) in crash_rows(rows) {
            match serde_json::from_str::<CrashRow>(&row.value) {
                Ok(stored) => reports.extend(stored.reports(request, now_ms)),
                Err(error) => emit(&Event::RowUnreadable {
                    row: row.key.to_string(),
                    findings: vec![error.to_string()],
                }),
            }
        }
        self.merge_crashes(&reports, "store");
    }

    /// Removes rows whose crashes have all expired. Only hubs do this, to limit the number of concurrent deletes.
    pub(super) async fn remove_expired_crash_rows(&self, rows: &[Row]) {
        if !self.state.borrow().overlay.is_hub(self.now()) {
            return;
        }
        let now_ms = unix_ms();
        for (row, request) in crash_rows(rows) {
            let Ok(stored) = serde_json::from_str::<CrashRow>(&row.value) else {
                continue;
            };
            if stored
                .reports(request, now_ms)
                .any(|report| report.age < RETENTION)
            {
                continue;
            }
            let txn = Txn {
                checks: vec![Check::Version {
                    key: row.key.clone(),
                    version: row.version,
                }],
                writes: vec![Write::Delete {
                    key: row.key.clone(),
                }],
            };
            // Fails if another hub has already removed the row. Other failures are retried after the next scan.
            let outcome = self.store.commit(txn).await;
            emit(&Event::CrashRowRemoved {
                row: row.key.to_string(),
                outcome: format!("{outcome:?}"),
            });
        }
    }
}

/// Returns the rows of quarantined requests and their fingerprints.
fn crash_rows(rows: &[Row]) -> impl Iterator<Item = (&Row, Fingerprint)> {
    rows.iter().filter_map(|row| {
        let fingerprint = row.key.strip_prefix(ENTRIES)?.strip_prefix(CRASH_ROWS)?;
        let request = Fingerprint::from_str_radix(fingerprint, FINGERPRINT_RADIX).ok()?;
        Some((row, request))
    })
}

fn crash_row_key(request: Fingerprint) -> ByteString {
    format!("{ENTRIES}{CRASH_ROWS}{request:016x}").into()
}

//! Allotment rows in the table.

use bytestring::ByteString;
use plat::{
    Check,
    Commit,
    HttpPlatform,
    Outcome,
    Table,
    Txn,
    Write, //
};
use share::{
    PoolId,
    Row, //
};

/// What a read or a proposal found in the table.
pub(super) enum Found {
    /// This row, in this version.
    Row(u64, Row),
    /// No row.
    Absent,
    /// No answer that says what is there.
    Nothing,
}

/// Row that holds a pool's allotment.
pub(super) fn row_key(id: &PoolId) -> ByteString {
    format!("share/{id}").into()
}

/// Reads the row.
pub(super) async fn read_row(platform: &HttpPlatform, key: ByteString) -> Found {
    match platform.read(&[key]).await {
        Ok(rows) => found(rows.into_iter().next().flatten()),
        Err(_) => Found::Nothing,
    }
}

fn found(row: Option<plat::Row>) -> Found {
    match row {
        None => Found::Absent,
        Some(row) => match serde_json::from_str(&row.value) {
            Ok(parsed) => Found::Row(row.version, parsed),
            Err(_) => Found::Nothing,
        },
    }
}

/// Replaces the row if it is still at the version of `check`; `None`: absent.
pub(super) async fn commit_row(
    platform: &HttpPlatform,
    key: ByteString,
    check: Option<u64>,
    row: Row,
) -> Found {
    let check = match check {
        Some(version) => Check::Version {
            key: key.clone(),
            version,
        },
        None => Check::Absent { key: key.clone() },
    };
    let value = serde_json::to_string(&row).expect("a row is plain data");
    let txn = Txn {
        checks: vec![check],
        writes: vec![Write::Put {
            key: key.clone(),
            value: value.into(),
        }],
    };
    match platform.commit(txn).await {
        Outcome::Done(Commit::Committed { version }) => Found::Row(version, row),
        Outcome::Done(Commit::Conflict { rows }) => found(rows.into_iter().next().flatten()),
        // The row is read back: whether it was written is then known.
        Outcome::Unknown(_) => read_row(platform, key).await,
        Outcome::NotDone(_) => Found::Nothing,
    }
}

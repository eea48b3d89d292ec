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

/// Result of a read or a proposal.
pub(super) enum RowResult {
    /// The row and its version.
    Row(u64, Row),
    /// The row is absent.
    Absent,
    /// The content of the table is unknown.
    Unknown,
}

/// Key of the row that holds a pool's allotment.
pub(super) fn row_key(id: &PoolId) -> ByteString {
    format!("share/{id}").into()
}

/// Reads a pool's row.
pub(super) async fn read_row(platform: &HttpPlatform, key: ByteString) -> RowResult {
    match platform.read(&[key]).await {
        Ok(rows) => parse_row(rows.into_iter().next().flatten()),
        Err(_) => RowResult::Unknown,
    }
}

fn parse_row(row: Option<plat::Row>) -> RowResult {
    match row {
        None => RowResult::Absent,
        Some(row) => match serde_json::from_str(&row.value) {
            Ok(parsed) => RowResult::Row(row.version, parsed),
            Err(_) => RowResult::Unknown,
        },
    }
}

/// Replaces the row if it is still at version `check`, or absent if `check` is `None`.
pub(super) async fn commit_row(
    platform: &HttpPlatform,
    key: ByteString,
    check: Option<u64>,
    row: Row,
) -> RowResult {
    let check = match check {
        Some(version) => Check::Version {
            key: key.clone(),
            version,
        },
        None => Check::Absent { key: key.clone() },
    };
    let value = serde_json::to_string(&row).expect("an allotment row serialises to JSON");
    let txn = Txn {
        checks: vec![check],
        writes: vec![Write::Put {
            key: key.clone(),
            value: value.into(),
        }],
    };
    match platform.commit(txn).await {
        Outcome::Done(Commit::Committed { version }) => RowResult::Row(version, row),
        Outcome::Done(Commit::Conflict { rows }) => parse_row(rows.into_iter().next().flatten()),
        // Reading the row back shows whether it was written.
        Outcome::Unknown(_) => read_row(platform, key).await,
        Outcome::NotDone(_) => RowResult::Unknown,
    }
}

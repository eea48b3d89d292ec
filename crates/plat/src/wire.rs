//! Bodies of the platform's requests and responses.

use crate::types::{
    Check,
    Row,
    Txn,
    Write, //
};
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};

/// Body of `POST /table/read`.
#[derive(Serialize)]
pub(crate) struct ReadRequest<'a> {
    /// Keys to read.
    pub(crate) keys: &'a [ByteString],
}

/// Response to `POST /table/read`.
#[derive(Deserialize)]
pub(crate) struct ReadResponse {
    /// One entry per key.
    pub(crate) rows: Vec<Option<Row>>,
}

/// Body of `POST /table/scan`.
#[derive(Serialize)]
pub(crate) struct ScanRequest<'a> {
    /// Common prefix of the keys.
    pub(crate) prefix: &'a str,
}

/// Response to `POST /table/scan`.
#[derive(Deserialize)]
pub(crate) struct ScanResponse {
    /// Sorted by key.
    pub(crate) rows: Vec<Row>,
}

/// Body of `POST /table/commit`.
#[derive(Serialize)]
pub(crate) struct CommitRequest {
    /// Preconditions.
    checks: Vec<WireCheck>,
    /// Writes to apply if all checks hold.
    writes: Vec<WireWrite>,
}

/// A check; without a version, the row must not exist.
#[derive(Serialize)]
struct WireCheck {
    /// Name of the row.
    key: ByteString,
    /// Required version.
    version: Option<u64>,
}

/// A write; without a value, the row is deleted.
#[derive(Serialize)]
struct WireWrite {
    /// Name of the row.
    key: ByteString,
    /// Its new value.
    value: Option<ByteString>,
}

/// Response to a successful commit.
#[derive(Deserialize)]
pub(crate) struct CommittedResponse {
    /// Version of the rows written.
    pub(crate) version: u64,
}

/// Response to a commit whose checks failed.
#[derive(Deserialize)]
pub(crate) struct ConflictResponse {
    /// Current row of each check.
    pub(crate) rows: Vec<Option<Row>>,
}

impl From<Txn> for CommitRequest {
    fn from(txn: Txn) -> Self {
        Self {
            checks: txn.checks.into_iter().map(WireCheck::from).collect(),
            writes: txn.writes.into_iter().map(WireWrite::from).collect(),
        }
    }
}

impl From<Check> for WireCheck {
    fn from(check: Check) -> Self {
        match check {
            Check::Absent { key } => Self { key, version: None },
            Check::Version { key, version } => Self {
                key,
                version: Some(version),
            },
        }
    }
}

impl From<Write> for WireWrite {
    fn from(write: Write) -> Self {
        match write {
            Write::Put { key, value } => Self {
                key,
                value: Some(value),
            },
            Write::Delete { key } => Self { key, value: None },
        }
    }
}

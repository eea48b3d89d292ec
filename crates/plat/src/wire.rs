//! Bodies of the platform's requests and answers.

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

/// Answer of `POST /table/read`.
#[derive(Deserialize)]
pub(crate) struct ReadAnswer {
    /// One for each key.
    pub(crate) rows: Vec<Option<Row>>,
}

/// Body of `POST /table/scan`.
#[derive(Serialize)]
pub(crate) struct ScanRequest<'a> {
    /// Start of the keys.
    pub(crate) prefix: &'a str,
}

/// Answer of `POST /table/scan`.
#[derive(Deserialize)]
pub(crate) struct ScanAnswer {
    /// Sorted by key.
    pub(crate) rows: Vec<Row>,
}

/// Body of `POST /table/commit`.
#[derive(Serialize)]
pub(crate) struct CommitRequest {
    /// What must hold.
    checks: Vec<WireCheck>,
    /// What is changed then.
    writes: Vec<WireWrite>,
}

/// A check; without a version the row must be absent.
#[derive(Serialize)]
struct WireCheck {
    /// Name of the row.
    key: ByteString,
    /// Version it must have.
    version: Option<u64>,
}

/// A write; without a value the row is deleted.
#[derive(Serialize)]
struct WireWrite {
    /// Name of the row.
    key: ByteString,
    /// Its new value.
    value: Option<ByteString>,
}

/// Answer of a commit that was made.
#[derive(Deserialize)]
pub(crate) struct CommittedAnswer {
    /// Version of the rows written.
    pub(crate) version: u64,
}

/// Answer of a commit whose checks failed.
#[derive(Deserialize)]
pub(crate) struct ConflictAnswer {
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

//! Rows, transactions and the instance list as exchanged with the platform.

use crate::list::{
    host_and_port,
    WireList, //
};
use base::{
    DomainId,
    InstanceId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use bytes::Bytes;
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};

/// Number of times that a table was restored from an older copy of it.
pub type Era = u64;

/// One row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Name of the row.
    pub key: ByteString,
    /// Version of the commit that last wrote it; increases monotonically across the whole table.
    pub version: u64,
    /// UTF-8 text.
    pub value: ByteString,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Check {
    /// No row has this key.
    Absent {
        /// Name of the row.
        key: ByteString,
    },
    /// The row has this version.
    Version {
        /// Name of the row.
        key: ByteString,
        /// Version returned by a read or a commit.
        version: u64,
    },
}

/// One change of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Creates the row or replaces its value.
    Put {
        /// Name of the row.
        key: ByteString,
        /// New value.
        value: ByteString,
    },
    /// Deletes the row if it exists.
    Delete {
        /// Name of the row.
        key: ByteString,
    },
}

/// An optimistic transaction: all writes are applied if all checks hold, otherwise none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Preconditions.
    pub checks: Vec<Check>,
    /// Writes to apply if all checks hold.
    pub writes: Vec<Write>,
}

/// The result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Commit {
    /// All writes were applied.
    Committed {
        /// New version of each written row.
        version: u64,
    },
    /// A check failed and nothing was written.
    Conflict {
        /// The current row of each check, in the order of the checks.
        rows: Vec<Option<Row>>,
    },
}

/// Whether a listed instance or upstream accepts new work, as reported by the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// Accepts new work.
    Live,
    /// About to shut down; accepts no new work.
    Leaving,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// `host:port` for callers.
    #[serde(deserialize_with = "host_and_port")]
    pub callers_addr: ByteString,
    /// `host:port` for other daemons.
    #[serde(deserialize_with = "host_and_port")]
    pub peers_addr: ByteString,
    /// `host:port` for operators.
    #[serde(deserialize_with = "host_and_port")]
    pub operator_addr: ByteString,
    /// Whether it accepts new work.
    pub state: ListedState,
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedUpstream {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// The service it serves.
    pub service: ServiceId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// `host:port` for requests, health checks and load reports.
    #[serde(deserialize_with = "host_and_port")]
    pub addr: ByteString,
    /// Number of requests it can serve concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: ListedState,
    /// Remaining time of its slow start, in milliseconds; may be omitted from lists.
    #[serde(default)]
    pub cold_left_ms: u64,
}

/// A snapshot of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(from = "WireList")]
pub struct List {
    /// Time of the snapshot, in milliseconds of the platform's wall clock; may be in the past.
    pub as_of_ms: u64,
    /// All instances.
    pub instances: Vec<ListedInstance>,
    /// All upstreams.
    pub upstreams: Vec<ListedUpstream>,
    /// Entries that can't be used.
    pub unusable: Vec<UnusableEntry>,
}

/// An entry of the list that can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnusableEntry {
    /// Where it is in the list.
    pub place: String,
    /// Why it can't be used.
    pub finding: String,
}

/// Entries that can't be used, of which each is reported once while it keeps its place in the list.
#[derive(Debug, Default)]
pub struct UnusableEntries {
    known: Vec<UnusableEntry>,
}

impl UnusableEntries {
    /// Replaces the entries by those of the newest list, and returns the new ones.
    pub fn replace(&mut self, entries: Vec<UnusableEntry>) -> Vec<UnusableEntry> {
        let known = std::mem::replace(&mut self.known, entries);
        let new = self.known.iter().filter(|entry| !known.contains(entry));
        new.cloned().collect()
    }
}

/// A row as returned by the feed of its table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedRow {
    /// Name of the row within its table.
    pub key: ByteString,
    /// Version of the commit that last wrote or deleted it.
    pub version: u64,
    /// Its value; `None` if the row was deleted.
    pub value: Option<Bytes>,
}

/// Rows of one table, and their position in its change history.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rows {
    /// The rows, sorted by key when the whole table is read and by version when changes are read.
    pub rows: Vec<FeedRow>,
    /// Newest version included; pass it to [`Feed::changes`](crate::Feed::changes) to read on.
    pub position: u64,
}

/// The result of reading a change feed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Changes {
    /// The rows that changed since the given position; empty if none changed within the wait.
    Rows(Rows),
    /// The requested history was discarded: the whole table must be read again.
    HistoryGone,
    /// The store was restored from an older copy: the whole table must be read again, and rows that were written since
    /// that copy are missing until their owners write them again.
    Restored,
}

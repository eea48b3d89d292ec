//! Rows, transactions and the list as they cross the border to the platform.

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

/// One row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Name of the row.
    pub key: ByteString,
    /// Version of the commit that last wrote it; grows over the whole table.
    pub version: u64,
    /// UTF-8 text.
    pub value: ByteString,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Check {
    /// No row has this key.
    Absent {
        /// Name of the row.
        key: ByteString,
    },
    /// The row was last written by this version.
    Version {
        /// Name of the row.
        key: ByteString,
        /// Version as a read or a commit gave it.
        version: u64,
    },
}

/// One change of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Make the row or replace its value.
    Put {
        /// Name of the row.
        key: ByteString,
        /// New value.
        value: ByteString,
    },
    /// Remove the row, if it is there.
    Delete {
        /// Name of the row.
        key: ByteString,
    },
}

/// An optimistic transaction: all its checks hold and all its writes are made, or none is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// What must hold.
    pub checks: Vec<Check>,
    /// What is changed then.
    pub writes: Vec<Write>,
}

/// The table's decision on a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Commit {
    /// All writes were made.
    Committed {
        /// The version that each written row has now.
        version: u64,
    },
    /// A check failed and nothing was written.
    Conflict {
        /// The current row of each check, in the checks' order.
        rows: Vec<Option<Row>>,
    },
}

/// Whether a listed machine takes new work, by the platform's word.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// Serves.
    Live,
    /// Is about to go: no new work.
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
    pub callers_addr: ByteString,
    /// `host:port` for other daemons.
    pub peers_addr: ByteString,
    /// `host:port` for operators.
    pub operator_addr: ByteString,
    /// Whether it takes new work.
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
    /// `host:port` of its work, health and load.
    pub addr: ByteString,
    /// Requests it can serve at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ListedState,
    /// How much longer it stays slow after its start, in milliseconds; lists may leave it out.
    #[serde(default)]
    pub cold_left_ms: u64,
}

/// The platform's list at one time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct List {
    /// When this was true, in milliseconds of the platform's wall clock; it may lag.
    pub as_of_ms: u64,
    /// All instances.
    pub instances: Vec<ListedInstance>,
    /// All upstreams.
    pub upstreams: Vec<ListedUpstream>,
}

/// A row of one table as its feed gives it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedRow {
    /// Name of the row within its table.
    pub key: ByteString,
    /// Version of the commit that last wrote or removed it.
    pub version: u64,
    /// Its value; `None` once it is removed.
    pub value: Option<Bytes>,
}

/// Rows of one table, and the point in its history that they are of.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rows {
    /// The rows, sorted by key in a whole table and by version in changes.
    pub rows: Vec<FeedRow>,
    /// Newest version; changes after it are still to come.
    pub position: u64,
}

/// What a feed says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Changes {
    /// The rows that changed since; none if nothing did in time.
    Rows(Rows),
    /// The history asked for is gone: the table has to be read anew.
    HistoryGone,
}

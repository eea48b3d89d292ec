//! Parsed rows of the store's tables.

use base::DomainId;
use picture::ListedUpstream;
use plat::FeedRow;
use route::Routes;
use std::{
    fmt,
    sync::Arc, //
};

/// Names of the tables that an entry follows.
#[derive(Clone, Copy, Debug)]
pub struct Tables {
    /// Table written by operators.
    pub operator: &'static str,
    /// Table of the upstreams.
    pub upstreams: &'static str,
}

/// A row of the operators' table.
#[derive(Clone, Debug)]
pub enum OperatorRow {
    /// A version of the routes.
    Routes(Arc<Routes>),
    /// No requests are sent to the upstreams of the failure domain while the row exists.
    Evacuation(DomainId),
    /// A row that entries ignore.
    Other,
}

/// Error for a row that can't be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableRow {
    /// Table and key of the row.
    pub row: String,
    /// All findings, each with its location.
    pub findings: Vec<String>,
}

impl fmt::Display for UnreadableRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row {}: {}", self.row, self.findings.join("; "))
    }
}

/// Parser of the rows of the tables that an entry follows.
pub trait RowReader: 'static {
    /// Returns the names of the tables to follow.
    fn tables(&self) -> Tables;

    /// Parses a row of the operators' table. A removed row has no value and is identified by its key.
    ///
    /// # Errors
    ///
    /// The row is invalid; the error lists all findings.
    fn operator(&self, row: &FeedRow) -> Result<OperatorRow, UnreadableRow>;

    /// Returns a row of the operators' table in the form in which it is sent to other entries, without any keys of
    /// organisations.
    fn without_keys(&self, row: &FeedRow) -> FeedRow;

    /// Parses a row of the upstreams' table that was not removed.
    ///
    /// # Errors
    ///
    /// The row is invalid; the error lists all findings.
    fn upstream(&self, row: &FeedRow) -> Result<ListedUpstream, UnreadableRow>;
}

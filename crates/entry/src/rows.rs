//! What the rows of the store mean.

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
    /// What operators say.
    pub operator: &'static str,
    /// The upstreams.
    pub upstreams: &'static str,
}

/// One row that operators wrote.
#[derive(Clone, Debug)]
pub enum OperatorRow {
    /// A version of the routes.
    Routes(Arc<Routes>),
    /// Nothing is to be sent to the upstreams of a failure domain while the row stands.
    Evacuation(DomainId),
    /// A row that doesn't concern entries.
    Other,
}

/// A row that can't be read, with all that is wrong in it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableRow {
    /// Table and key.
    pub row: String,
    /// Each finding with its place.
    pub findings: Vec<String>,
}

impl fmt::Display for UnreadableRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row {}: {}", self.row, self.findings.join("; "))
    }
}

/// Reads rows.
pub trait RowReader: 'static {
    /// Tables to follow.
    fn tables(&self) -> Tables;

    /// Reads a row of the operators' table; `None` stands for a row that was removed, of which the
    /// key says enough.
    ///
    /// # Errors
    ///
    /// All that is wrong in the row.
    fn operator(&self, row: &FeedRow) -> Result<OperatorRow, UnreadableRow>;

    /// Reads a row of the upstreams' table that was not removed.
    ///
    /// # Errors
    ///
    /// All that is wrong in the row.
    fn upstream(&self, row: &FeedRow) -> Result<ListedUpstream, UnreadableRow>;
}

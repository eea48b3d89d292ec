//! Traits for the platform's table, object store and instance list, and their HTTP client, with
//! deadlines and three-valued outcomes.
//!
//! Start with [`Table`], [`Objects`] and [`Listing`]: the control code accesses the platform only
//! through them. [`HttpPlatform`] implements them over HTTP; `docs/design/interfaces.md` describes
//! the wire format.
//!
//! [`HttpCaller`] sends the requests of [`HttpPlatform`] and of clients for other protocols.
//!
//! Invariants: every call ends within its deadline. A call that changes state returns
//! [`Outcome::NotDone`] only when it provably had no effect, and [`Outcome::Unknown`] whenever a
//! request may have reached the platform. One call never sends its request twice. When a call
//! times out, its connection and all idle connections are closed.
//!
//! The futures are not `Send`: the control code runs on one thread, inside an actix system.

use bytes::Bytes;
use bytestring::ByteString;
use std::time::Duration;

mod caller;
mod http;
mod list;
mod outcome;
mod types;
mod wire;

pub use caller::{
    CallError,
    HttpCaller, //
    HttpResponse,
};
pub use http::HttpPlatform;
pub use outcome::{
    FailureReason, //
    Outcome,
    ReadError,
};
pub use types::{
    Changes,
    Check,
    Commit,
    Era,
    FeedRow,
    List,
    ListedInstance,
    ListedState,
    ListedUpstream,
    Row,
    Rows,
    Txn,
    UnusableEntries,
    UnusableEntry,
    Write, //
};

/// A strongly consistent table with optimistic transactions.
#[expect(async_fn_in_trait, reason = "control runs on one thread")]
pub trait Table {
    /// Reads the rows atomically, in the order of the keys; `None` for a row that doesn't exist.
    ///
    /// # Errors
    ///
    /// If no complete response arrived within the read deadline.
    async fn read(&self, keys: &[ByteString]) -> Result<Vec<Option<Row>>, ReadError>;

    /// Reads all rows whose key starts with `prefix`, sorted by key.
    ///
    /// # Errors
    ///
    /// If no complete response arrived within the read deadline.
    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, ReadError>;

    /// Applies all writes if all checks hold, otherwise none.
    async fn commit(&self, txn: Txn) -> Outcome<Commit>;

    /// Returns the number of times that the table was restored from an older copy, as of the last call; `None` if it
    /// never states that. Versions of rows are higher after a restore than all before it.
    fn era(&self) -> Option<Era> {
        None
    }
}

/// A store of immutable objects.
#[expect(async_fn_in_trait, reason = "control runs on one thread")]
pub trait Objects {
    /// Reads an object; `None` if no object has this name.
    ///
    /// # Errors
    ///
    /// If no complete response arrived within the read deadline.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, ReadError>;

    /// Stores an object; storing the same body again succeeds.
    async fn put(&self, name: &str, body: Bytes) -> Outcome<()>;
}

/// The list of instances and upstreams.
#[expect(async_fn_in_trait, reason = "control runs on one thread")]
pub trait Listing {
    /// Reads the list, which may be out of date.
    ///
    /// # Errors
    ///
    /// If no complete response arrived within the read deadline.
    async fn list(&self) -> Result<List, ReadError>;
}

/// Reads of whole tables and of their change feeds.
#[expect(async_fn_in_trait, reason = "control runs on one thread")]
pub trait Feed {
    /// Reads all rows of a table.
    ///
    /// # Errors
    ///
    /// If no complete response arrived within the read deadline.
    async fn read_all(&self, table: &str) -> Result<Rows, ReadError>;

    /// Waits up to `wait` for changes of a table after `position`.
    ///
    /// # Errors
    ///
    /// If no complete response arrived within the wait and the read deadline.
    async fn changes(
        &self,
        table: &str,
        position: u64,
        wait: Duration,
    ) -> Result<Changes, ReadError>;
}

//! An entry instance that routes by host and path.
//!
//! [`run`] runs the process until it is stopped. External dependencies are passed in as traits and plain data: the
//! store as [`plat::Table`] and [`plat::Feed`], the parser of the store's rows as [`RowReader`], the names of headers
//! and paths as [`Dialect`], and everything else as [`Settings`].
//!
//! - `control` runs on the main thread: it follows the store's feeds and the other entries, maintains
//!   the [`RoutingView`](picture::RoutingView), and publishes a [`Snapshot`] for each change.
//! - `traffic` runs on a thread of its own and serves callers' requests, look-ups, readiness checks and metrics. It
//!   reads the newest snapshot and never waits for the store, another entry or control.
//!
//! Invariants: a version of the routes is only replaced by a higher one. An upstream that was seen leaving stays closed
//! for as long as its incarnation is listed. While the store is unavailable, the last known state stays in force, and
//! entries exchange what they have read from the store.

mod channels;
mod clock;
mod control;
mod crashes;
mod departures;
mod dialect;
mod freshness;
mod limits;
mod loads;
mod message;
mod metric;
mod partition;
mod process;
mod quotas;
mod relay_key;
mod rows;
mod settings;
mod snapshot;
mod traffic;

pub use self::metric::{
    metrics_page,
    METRICS, //
};
pub use dialect::Dialect;
pub use process::{
    run,
    stop_signal, //
};
pub use rows::{
    OperatorRow,
    RowReader,
    Tables,
    UnreadableRow, //
};
pub use settings::{
    follow_file,
    Bounds,
    Reload,
    Settings, //
};
pub use snapshot::Snapshot;

//! An entry instance that routes by host and path.
//!
//! Start with [`run`], the life of the process. What it meets outside comes in behind traits and
//! plain data: the store as [`plat::Table`] and [`plat::Feed`], the meaning of the store's rows as
//! [`RowReader`], the names of headers and paths as [`Dialect`], the rest as [`Settings`].
//!
//! - `control` runs on the main thread: it follows the store's feeds and the other entries, keeps
//!   the [`Picture`](picture::RoutingView), and publishes a [`Snapshot`] for each change.
//! - `traffic` runs on a thread of its own: callers' requests, look-ups, readiness, metrics. It
//!   reads the newest snapshot and never waits for the store, another entry or control.
//!
//! Invariants: a version of the routes is replaced by a higher one only. An upstream that was seen
//! leaving stays closed for as long as its incarnation is listed. What was learnt last stays in
//! force while the store is away, and entries tell each other what the store told them.

mod channels;
mod clock;
mod control;
mod crashes;
mod dialect;
mod limits;
mod loads;
mod message;
mod metric;
mod process;
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

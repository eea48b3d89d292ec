//! Routes: which service handles a request, and with which timeouts and limits.
//!
//! Start with [`Routes`], the data of one accepted version, and [`Table`], its index for lookups by host and longest
//! path prefix. [`parse()`] reads a version from YAML. [`verify()`] returns all findings of a version with their
//! locations; a version with findings is not activated. [`Table::identify`] finds the organisation that a request's key belongs to. [`Split`] distributes requests over the services of a route by
//! weight. [`keys`] names the rows that store routes.
//!
//! Nothing here uses a clock or performs I/O.

mod config;
pub mod keys;
mod parse;
mod split;
mod table;
mod verify;

pub use config::{
    CallerLimits,
    Host,
    Kind,
    Organisation,
    Route,
    Routes,
    Service,
    ServiceShare, //
};
pub use parse::parse;
pub use split::Split;
pub use table::{
    CallerId,
    Table,
    Unauthorized, //
};
pub use verify::{
    verify,
    Finding, //
};

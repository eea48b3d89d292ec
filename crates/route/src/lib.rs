//! Routes: which service does the work of a request, and on what terms.
//!
//! Start with [`Routes`], one accepted version as plain data, and [`Table`], the same compiled for
//! look-ups by host and longest path prefix. [`verify()`] collects every finding of a version with
//! its place; a version with findings is not put in force. [`parse()`]
//! reads one from YAML. [`Split`] deals requests out to the
//! services of a route by weight. [`keys`] names the rows that the product keeps them in.
//!
//! Nothing here has a clock or does input or output.

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
    Route,
    Routes,
    Service,
    ServiceShare, //
};
pub use parse::parse;
pub use split::Split;
pub use table::Table;
pub use verify::{
    verify,
    Finding, //
};

//! An entry that routes by host and path, on the product's own interfaces.
//!
//! The `entry` crate reaches the platform through traits. This crate implements them for the product's
//! own platform, as `platform/` does for the users' platform. Start with [`Settings`], the process's
//! YAML file.
//!
//! - [`Store`] follows the platform's table and upstream list by polling them, and gives each change a
//!   version that orders it in the same way at all entries.
//! - [`RoutesReader`] decodes the rows: routes as YAML, evacuated failure domains, upstreams.
//!
//! `jasminectl` writes the rows with `routes accept` and `routes evacuate`; [`route::keys`] lists their
//! keys.
//!
//! Invariant: this crate makes no routing decision and doesn't choose which version is in force; the
//! `entry` crate does both.

mod reader;
mod settings;
mod store;

pub use reader::RoutesReader;
pub use settings::Settings;
pub use store::Store;

//! An entry that routes by host and path, on the product's own interfaces.
//!
//! The `entry` crate meets the outside behind traits; here is the product's own side of them, as
//! `platform/` is that of the users' platform. Start with [`Settings`], the process's YAML file.
//!
//! - [`Store`] follows the platform's table and list by looking at them, and gives each change the
//!   version that orders it among those that other entries saw.
//! - [`RoutesReader`] reads the rows: routes as YAML, evacuated failure domains, upstreams.
//!
//! `jasminectl` writes the rows: `routes accept`, `routes evacuate`. `row_keys` in `route` names
//! them.
//!
//! Invariant: nothing here decides where a request goes or what is in force; that is the entry's.

mod reader;
mod settings;
mod store;

pub use reader::RoutesReader;
pub use settings::Settings;
pub use store::Store;

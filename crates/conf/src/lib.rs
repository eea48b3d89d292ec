//! Typed YAML reader that reports every finding with its file, line and column.
//!
//! This crate reads three kinds of files: the operators' configuration, the settings of a `jasmined`,
//! and the scenes of the load driver. Each has its own crate that defines its fields; this one walks a
//! document without stopping at the first error, so that all errors are reported at once.
//!
//! A [`Document`] holds the parsed tree and collects findings behind a shared reference. A [`Map`]
//! returns [`Field`]s by name; a missing or invalid field records a [`Finding`] and yields `None`, and
//! reading continues. Dropping a map reports the fields that were not requested. Finally,
//! [`Document::finish`] returns the value only if there are no findings.
//!
//! ```
//! use std::time::Duration;
//!
//! struct Settings {
//!     listen: String,
//!     timeout: Duration,
//! }
//!
//! fn read(file: &str, text: &str) -> Result<Settings, conf::Findings> {
//!     let document = conf::Document::parse(file, text);
//!     let settings = document.map().and_then(|mut map| {
//!         let listen = map.required("listen").text();
//!         let timeout = map.optional("timeout_ms").duration_ms(1..=60_000);
//!         Some(Settings {
//!             listen: listen?.to_string(),
//!             timeout: timeout.unwrap_or(Duration::from_secs(1)),
//!         })
//!     });
//!     document.finish(settings)
//! }
//!
//! assert!(read("a.yaml", "listen: here\ntimeout_ms: 20\n").is_ok());
//!
//! let findings = read("a.yaml", "listn: here\ntimeout_ms: 0\n").err().unwrap();
//! assert_eq!(
//!     findings.to_string(),
//!     "a.yaml:1:1: missing field `listen`\n\
//!      a.yaml:1:1: unknown field `listn`, did you mean `listen`?\n\
//!      a.yaml:2:13: `timeout_ms` must be between 1 and 60000 ms, found 0"
//! );
//! ```
//!
//! Invariants: no input makes the reader panic or recurse without bound; a duplicate key is a finding
//! and never silently overrides the earlier value; a syntax error is a finding, and the tree is then not
//! walked, since a partial document would only yield false "missing field" findings. Anchors, aliases
//! and tags are rejected: they could expand a small file into a large one, and no file needs them.
//!
//! See `spec` for the largest user of this crate.

mod cursor;
mod finding;
mod nearest;
mod scalar;
mod tree;

pub use cursor::{
    Document,
    Field,
    Map, //
};
pub use finding::{
    Finding,
    Findings,
    SourceLocation, //
};
pub use nearest::nearest;
pub use scalar::quote;

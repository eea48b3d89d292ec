//! YAML with places: reads a document and reports every finding with file, line and column.
//!
//! Three kinds of file are read through this crate: the operators' configuration, the settings of
//! a `jasmined`, and the scenes of the load driver. Each has its own crate that knows its fields;
//! this one knows how to walk a document without ever stopping at the first mistake, since whoever
//! edits such a file wants the whole list at once.
//!
//! A [`Document`] holds the parsed tree and gathers findings behind a shared reference. A [`Map`]
//! hands out [`Field`]s by name; a field that is missing or wrong records a [`Finding`] and yields
//! `None`, and reading goes on. A map that goes out of scope reports the fields that nobody asked
//! for. At the end [`Document::finish`] gives the value only if there are no findings.
//!
//! ```
//! use std::time::Duration;
//!
//! struct Settings {
//!     listen: String,
//!     patience: Duration,
//! }
//!
//! fn read(file: &str, text: &str) -> Result<Settings, conf::Findings> {
//!     let document = conf::Document::parse(file, text);
//!     let settings = document.map().and_then(|mut map| {
//!         let listen = map.required("listen").text();
//!         let patience = map.optional("patience_ms").duration_ms(1..=60_000);
//!         Some(Settings {
//!             listen: listen?.to_string(),
//!             patience: patience.unwrap_or(Duration::from_secs(1)),
//!         })
//!     });
//!     document.finish(settings)
//! }
//!
//! assert!(read("a.yaml", "listen: here\npatience_ms: 20\n").is_ok());
//!
//! let findings = read("a.yaml", "listn: here\npatience_ms: 0\n").err().unwrap();
//! assert_eq!(
//!     findings.to_string(),
//!     "a.yaml:1:1: missing field `listen`\n\
//!      a.yaml:1:1: unknown field `listn`, did you mean `listen`?\n\
//!      a.yaml:2:14: `patience_ms` must be between 1 and 60000 ms, found 0"
//! );
//! ```
//!
//! Invariants: no text makes the reader panic or recurse without bound; a key that stands twice is
//! a finding, never silently the last one; a syntax error is a finding, and then the tree is not
//! walked, since half a document would only yield false "missing field" findings. Anchors, aliases
//! and tags are refused: they could make a small file large, and no file of ours needs them.
//!
//! Where to go next: `spec` for the largest user of this crate.

mod cursor;
mod nearest;
mod place;
mod scalar;
mod tree;

pub use cursor::{
    Document,
    Field,
    Map, //
};
pub use nearest::nearest;
pub use place::{
    Finding,
    Findings,
    Place, //
};
pub use scalar::quote;

//! Client blocks: a compact longest-prefix table from networks to ordered preferences of regions.
//!
//! A caller's address determines its home region and the other regions that may serve it. The
//! operators' platform knows this for whole networks: some thousands today, 1.7 million later. A
//! [`Table`] holds them, serves [`Table::lookup`] without allocating, and is immutable: applying a
//! [`Delta`] creates a new table that shares everything but the changed chunks, while traffic
//! threads continue to read the old one.
//!
//! Layout: the blocks of one kind of address are sorted by start, then by length, and divided into
//! chunks of a few hundred (`chunk`). A lookup finds the last block that starts at or before the
//! address. If this block does not contain the address, only its enclosing blocks can. These are
//! linked within the chunk (`parent`), or listed with the chunk if they begin in an earlier one
//! (`covers` in `prefix_map`). Nested blocks are not flattened, so removing one exposes its parent,
//! and the table prints exactly the blocks that it was built from.
//!
//! Invariants: the blocks of a prefix map strictly ascend; no chunk is empty or longer than its
//! limit; the covers of a chunk are exactly the blocks of earlier chunks that contain its first
//! address; the index of a preference never changes its meaning among tables that share chunks.
//!
//! `docs/design/blocks.md` has the figures and the alternatives that were considered; they are
//! measured by `cargo run --release -p blocks --example measure`. `spec` uses this crate: its
//! versions carry tables and differences.

mod block;
mod chunk;
mod delta;
mod key;
mod prefix_map;
mod prefs;
mod table;
mod text;

pub use block::{
    Block,
    BlockError, //
};
pub use delta::Delta;
pub use prefs::{
    Preference,
    TooManyPreferences, //
};
pub use table::{
    Builder,
    Table, //
};
pub use text::{
    Compact,
    LineError,
    TableReader, //
};

//! Client blocks: longest prefix to an ordered preference of regions, compact.
//!
//! A caller's address decides which region is its home and where its work may go besides. The
//! operators' platform knows this for whole networks, today some thousands, later 1.7 million. A
//! [`Table`] holds them, answers [`Table::lookup`] without allocating, and is never changed: a
//! [`Delta`] gives a new table that shares everything but the touched chunks, while traffic
//! threads go on reading the old one.
//!
//! How it is laid out: blocks of one kind of address are sorted by start, then by length, and cut
//! into chunks of a few hundred (`chunk`). A lookup finds the last block that starts at or before
//! the address; if that one does not contain it, only blocks around that one can, and those are
//! linked within the chunk (`parent`) or listed with the chunk if they began in an earlier one
//! (`covers` in `plane`). Nothing is flattened, so removing a nested block uncovers its parent and
//! the table prints the very blocks that it was built from.
//!
//! Invariants: blocks of a plane strictly ascend; no chunk is empty or longer than its limit;
//! covers are exactly the blocks of earlier chunks around a chunk's first address; the index of a
//! preference never changes its meaning among tables that share chunks.
//!
//! Figures and the ways that were weighed: `docs/design/blocks.md`; measured by
//! `cargo run --release -p blocks --example measure`. Where to go next: `spec`, whose versions
//! carry tables and differences.

mod block;
mod chunk;
mod delta;
mod key;
mod plane;
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

//! Which entries keep sessions to which, and what each learns through its hubs.
//!
//! Sessions between all entries grow with the square of their number. So the entries of a failure domain agree on
//! an order ([`Member`]), and the first [`HUBS`] of it that are up are its *hubs*. Every other entry, a *leaf*, keeps
//! sessions to the hubs of its domain only, and each hub to its leaves and to the hubs of all domains. Nothing is
//! elected: each entry derives its role from its own sessions, a hub too many costs some messages, and a leaf whose
//! hubs are lost tries the next in order.
//!
//! - [`Overlay`] says whom to dial, and who is up: each hub advertises the entries that it has sessions to as a
//!   [`Roster`], and hubs forward each other's rosters to their leaves.
//! - [`Sums`] adds up requests in flight at upstreams: leaves report to one hub, hubs exchange the sums of their leaves.
//! - [`Follow`] is how far an entry has read a table of the store, by its own calls or through others: one hub of each
//!   region is a *reader* and forwards what it reads to all hubs, which forward it to their leaves.
//!
//! Where a domain has no more than [`HUBS`] entries, all are hubs and the overlay is a full mesh.
//!
//! Invariants: no clock, socket or randomness; `now` is an argument. Two entries that know the same members derive the
//! same order. An entry is up by its own session or by a roster that is newer than the loss of that session.
//! Through a hub a table is never read past a gap.

mod follow;
mod live;
mod member;
mod overlay;
mod roles;
mod roster;
mod sums;

pub use follow::{
    Follow,
    Guards,
    Step, //
};
pub use member::Member;
pub use overlay::{
    Down,
    Overlay, //
};
pub use roles::HUBS;
pub use roster::{
    Listed,
    Live,
    Roster, //
};
pub use sums::{
    Load,
    LoadKey,
    Sums, //
};

//! Sessions between entries, and what each entry learns through its hubs.
//!
//! Sessions between all entries would grow with the square of their number. So the entries of a failure domain agree on
//! an order ([`Member`]), and the first [`HUBS_PER_DOMAIN`] of it that are up are its *hubs*. Every other entry, a
//! *leaf*, keeps sessions only to the hubs of its domain; each hub keeps sessions to its leaves and to the hubs of all
//! domains. There is no election: each entry derives its role from its own sessions. A surplus hub costs some messages,
//! and a leaf that lost its hubs tries the next entries in order.
//!
//! - [`Overlay`] determines which entries to dial and which are up: each hub advertises the entries that it has
//!   sessions to as a [`Roster`], and hubs forward each other's rosters to their leaves.
//! - [`LoadSums`] adds up requests in flight at upstreams: leaves report to one hub, and hubs exchange the sums of their
//!   leaves.
//! - [`offered()`] selects the entries that a caller is offered, by their [`Capacity`].
//! - [`TableFollower`] tracks how far an entry has read a table of the store, by its own calls or through others: one hub of
//!   each region is a *reader* and forwards what it reads to all hubs, which forward it to their leaves.
//!
//! In a domain with no more than [`HUBS_PER_DOMAIN`] entries, all are hubs; if this holds of all domains, the overlay
//! is a full mesh.
//!
//! Invariants: the crate uses no clock, socket or randomness; `now` is an argument. Two entries that know the same
//! members derive the same order. An entry is up by its own session or by a roster that is newer than the loss of that
//! session. Through a hub, a table is never read past a gap.

mod capacity;
mod follower;
mod live;
mod member;
mod overlay;
mod roles;
mod roster;
mod sums;

pub use capacity::{
    offered,
    relative_capacities,
    Capacity, //
};
pub use follower::{
    Continuity,
    Freshness,
    Guards, //
    TableFollower,
};
pub use member::Member;
pub use overlay::{
    Overlay, //
    SessionEnd,
};
pub use roles::HUBS_PER_DOMAIN;
pub use roster::{
    CallerService,
    LiveEntry,
    Roster, //
    RosterEntry,
};
pub use sums::{
    Load,
    LoadKey,
    LoadSums, //
};

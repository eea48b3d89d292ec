//! Order in which an entry sends requests to a service that has too few free slots.
//!
//! [`Queue`] holds the requests of one service that wait at one entry. It doesn't know upstreams: a pass over it asks its
//! caller about one request after the other whether that can be sent now. The order of a pass is:
//!
//! - Ranks that are owed a grant. Every rank is guaranteed a small part of the grants.
//! - Higher ranks. The [`Rank`] of the organisation goes before that of the route.
//! - Within a rank, the organisation with the fewest recent grants for its usual number of requests ([`Shares`]).
//! - Within an organisation, the oldest request, or the newest one while the oldest would wait for too long.
//!
//! A request is rejected once it is too late for it to be useful, and if the queue is full.
//!
//! Ranks matter only for services that requests of several ranks lead to ([`contended_ranks()`]).
//!
//! Invariants: no clock, socket or randomness; `now` is an argument. A request ends once: granted, rejected or removed.

mod decaying;
mod queue;
mod rank;
mod shares;

pub use queue::{
    Candidate,
    OfferResult, //
    Pushed,
    Queue,
    Ticket,
};
pub use rank::{
    contended_ranks,
    Rank, //
};
pub use shares::Shares;

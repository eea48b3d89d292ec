//! Organisations: the keys that identify their callers, and their quotas over all entries.
//!
//! A key is kept as a [`KeyDigest`] only. [`credentials()`] extracts the key from a request's header.
//!
//! A [`Quota`] limits the requests of an organisation that all entries combined pass to upstreams. Each entry measures what
//! its callers ask for and what it has admitted ([`Limiter::demands`]), and the entries add this up through their hubs
//! ([`Exchange`]). From the sums follows how the [`Limiter`] of each entry admits requests:
//!
//! - Far below the limit, from a bucket that is larger than what the entry's callers usually ask for.
//! - Near the limit and above, the same fraction of all requests at each entry. The fraction falls to zero as the requests
//!   admitted in a window use up the margin that [`QuotaBounds`] allows, so that a rise which was admitted before all
//!   entries knew of it is made up for within the window.
//! - Without contact to the other entries, from a bucket for the [`Part`] of the limit that the entry used before, or for an
//!   equal share. The other entries reserve as much for it.
//!
//! Invariants: no clock, socket or randomness; `now` is an argument.

mod bounds;
mod demand;
mod exchange;
mod key;
mod limiter;
mod quota;

pub use bounds::QuotaBounds;
pub use demand::{
    Demand,
    DemandKey,
    DemandMessage,
    DemandSender,
    DemandSum,
    Demands, //
};
pub use exchange::{
    Exchange,
    Guards,
    Part,
    Parts, //
};
pub use key::{
    credentials,
    is_of_scheme,
    Credentials,
    InvalidDigest,
    KeyDigest, //
};
pub use limiter::{
    Division,
    Limiter,
    Usage, //
};
pub use quota::{
    demand_key,
    Quota, //
};

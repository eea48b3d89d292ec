//! Organisations: the keys that identify their callers, and their quotas over all entries.
//!
//! A key is kept as a [`KeyDigest`] only. [`credentials()`] extracts the key from a request's header.
//!
//! A [`Quota`] limits the requests of an organisation that all entries combined pass to upstreams. Entries divide it by
//! demand. Each measures what its callers ask for ([`Limiter::demands`]) and exchanges it through the hubs
//! ([`Exchange`]), which yields the [`Part`] of each limit that the entry may use. The [`Limiter`] enforces the parts with
//! one token bucket for each organisation.
//!
//! The parts of all entries add up to the limit:
//!
//! - A part is this entry's demand over the demand of all. An entry uses the lowest demand that it has announced
//!   recently, so the others count a rise before the entry uses it.
//! - An entry that can't be reached keeps the part that it had, and the others reserve that part.
//! - Entries that never announced anything are counted: each of them has one entry's share of the limit.
//!
//! What the parts don't cover is the time that an announcement takes. The [`Limiter`] sizes its buckets by the margin
//! that [`QuotaBounds`] leaves for that.
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

//! A right that one entry holds at a time, by a row of the store.
//!
//! What all entries together may not pass can't follow from what each has read of the others: entries whose
//! readings differ would each keep a part of a different whole. So the right to it is a lease. Whoever writes the
//! subject's row, on the condition that it is as it was read, holds it for [`Terms::length`] from the moment at
//! which the write was *asked* for, which is before it took effect. Anyone else waits for that long and
//! [`Terms::gap`] from the moment at which that version of the row was *seen*, which is after. Where readings
//! differ, nobody holds the right for a while; two never do.
//!
//! Start with [`Leases`]: [`Leases::want`] says of what a lease is wanted, [`Leases::due`] gives the claims to write,
//! and [`Leases::granted`], [`Leases::refused`] or, if nothing is known of them, neither takes what came of them.
//!
//! Invariants: no clock or socket; `now` is an argument. It must also count the time for which the machine is
//! suspended: a holder that wakes up has lost what ran out meanwhile.

mod leases;

pub use leases::{
    Claim,
    Guards,
    Leases,
    Standing,
    Terms,
    Wanted, //
};

//! Leases that at most one entry holds at a time, stored as rows of the store.
//!
//! A limit that applies to all entries combined can't be divided by what each entry knows of the others: entries with
//! different views would each use a share of a different total. The right to use it is therefore a lease. An entry
//! acquires the lease of a subject by writing the subject's row on the condition that the row is unchanged since it was
//! read. It holds the lease for [`Terms::length`] from the time at which it *requested* the write, which is before the
//! write took effect. Any other entry waits for that time plus [`Terms::gap`] from the time at which it *observed* that
//! version of the row, which is after the write took effect. If views differ, no entry holds the lease for a while, but
//! never more than one does.
//!
//! Start with [`Leases`]. [`Leases::set_wanted`] sets the subjects whose leases are wanted, and [`Leases::take_due`] returns the
//! claims to write. [`Leases::granted`] or [`Leases::refused`] then takes their outcome; if the outcome is unknown,
//! neither is called.
//!
//! A store that was restored from an older copy lacks leases that are still in use; [`EraWait`] delays claims then.
//!
//! Invariants: no clock or socket; `now` is an argument. It must include the time for which the machine is suspended,
//! so that a holder that resumes has lost the leases that expired in the meantime.

mod era_wait;
mod leases;

pub use era_wait::{
    Era,
    EraWait, //
};
pub use leases::{
    Claim,
    Guards,
    Leases,
    RowState,
    Terms,
    Wanted, //
};

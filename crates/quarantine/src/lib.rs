//! Quarantine of requests that crash the upstreams that run them.
//!
//! A caller that retries such a request uses a new id for each attempt, and possibly another entry.
//! The [`Fingerprint`] is the same for all attempts.
//!
//! Each entry reports the upstreams that crashed while they ran one of its requests, and all entries merge all
//! reports. Merging is idempotent and commutative, so reports may be duplicated, delayed, reordered or forwarded over
//! any route. A request is quarantined while [`CRASHES_MAX`] or more upstreams are reported for it. The limit applies
//! across all entries and does not depend on their number. An answer clears the crashes reported before it, because a
//! request that only runs concurrently with one that crashes upstreams is eventually answered.

mod fingerprint;
mod quarantine;
mod report;

pub use fingerprint::{
    fingerprint,
    Fingerprint, //
};
pub use quarantine::{
    Quarantine,
    CRASHES_MAX,
    RETENTION, //
};
pub use report::{
    incarnation_hash,
    IncarnationHash,
    Report, //
};

//! Identification of requests that crash the upstreams that run them.
//!
//! A caller that retries such a request uses a new id for each attempt, and possibly another entry.
//! The [`Fingerprint`] is the same for all attempts.

mod fingerprint;

pub use fingerprint::{
    fingerprint,
    Fingerprint, //
};

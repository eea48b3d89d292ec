//! Rendezvous hashing of affinity keys.
//!
//! Each entry computes the same order of upstreams from the key and the upstreams' names. Entries therefore agree
//! without exchanging messages, and an upstream that is added or removed moves only its own keys.

use foldhash::fast::FixedState;
use std::hash::{
    BuildHasher,
    Hasher, //
};

/// Hashes an affinity key or a name; the result is the same in every process.
pub fn affinity_hash(bytes: &[u8]) -> u64 {
    let mut hasher = FixedState::default().build_hasher();
    hasher.write(bytes);
    hasher.finish()
}

/// Returns the score of an upstream for a key, both given as hashes by [`affinity_hash`]. The highest score is preferred.
pub fn rendezvous_score(key: u64, upstream: u64) -> u64 {
    let mut hasher = FixedState::default().build_hasher();
    hasher.write_u64(key);
    hasher.write_u64(upstream);
    hasher.finish()
}

/// Returns the score of a member with this weight, such that each is preferred in proportion to its weight over all keys.
/// Members of equal weight are in the order of their [`rendezvous_score`].
pub fn weighted_rendezvous_score(key: u64, member: u64, weight: f64) -> f64 {
    let uniform = (rendezvous_score(key, member) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    // The uniform number may be rounded up to 1.
    -weight / uniform.ln().min(-f64::MIN_POSITIVE)
}

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

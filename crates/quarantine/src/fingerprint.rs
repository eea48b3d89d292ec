//! Request fingerprints.

use foldhash::fast::FixedState;
use std::hash::{
    BuildHasher,
    Hasher, //
};

/// Hash of the request contents that do not change between attempts; identical in every process.
pub type Fingerprint = u64;

/// Hashes the parts of a request. All callers must pass the parts in the same order.
pub fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = FixedState::default().build_hasher();
    for part in parts {
        // The length prefix distinguishes parts whose concatenation is the same.
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}

//! Pseudo-random numbers derived from a seed by the mixing step of SplitMix64.

/// Mixes `seed`, so that every bit of the result depends on every bit of `seed`.
pub(crate) fn mix(seed: u64) -> u64 {
    let mut bits = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Pseudo-random number below `bound`; 0 when `bound` is 0.
pub(crate) fn below(seed: u64, bound: usize) -> usize {
    // A usize has at most 64 bits here, and the high half of the product is below `bound`.
    let product = u128::from(mix(seed)) * (bound as u128);
    (product >> 64) as usize
}

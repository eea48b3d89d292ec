//! Which region takes callers whose own region is drained or lost.
//!
//! Callers name regions in an order, nearest first. Were all of them sent to the next one, it would
//! be filled past its headroom while the one after it stays half empty, which one would notice as a
//! region below its target during another's drain. The more of the next region is taken, the more
//! of the callers go on to the one after it.

/// Headroom above the target, in percent of the slots, from which a region takes all callers.
///
/// What is known of a region lags by a beat, and callers by a look-up's time to live. A narrower
/// band would send all of them to one region and then all to the other, over and over.
const BAND_PCT: u32 = 25;

/// Index of the region that takes a caller, among those that are left, in its order of preference.
///
/// `headrooms_left_pct` is the free part of each region's slots, where it is known of late; a region
/// that is not known takes whoever prefers it. When none has room the first one takes all.
pub fn place_displaced(
    headrooms_left_pct: &[Option<u32>],
    headroom_pct: u32,
    seed: u64,
) -> Option<usize> {
    let mut seed = seed;
    for (index, left_pct) in headrooms_left_pct.iter().enumerate() {
        let draw = seed % u64::from(BAND_PCT);
        seed /= u64::from(BAND_PCT);
        let takes = left_pct.is_none_or(|left_pct| {
            let room_pct = left_pct.saturating_sub(headroom_pct);
            draw < u64::from(room_pct)
        });
        if takes {
            return Some(index);
        }
    }
    (!headrooms_left_pct.is_empty()).then_some(0)
}

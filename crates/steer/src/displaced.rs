//! Selects the region for callers whose own region is drained or lost.
//!
//! Callers list regions in order of preference, nearest first. Sending all of them to the next
//! region would exceed its headroom target while the region after it stays half empty; the symptom
//! is a region below its target while another one is drained. The less headroom the next region
//! has left, the more callers are passed on to the one after it.

/// Headroom above the target, in percent of the slots, from which a region takes all callers.
///
/// Information about a region lags by one heartbeat, and callers follow with a delay of up to the
/// lookup's time to live. A narrower band would make all callers oscillate between two regions.
const BAND_PCT: u32 = 25;

/// Index of the region that takes a caller, among the remaining ones in its order of preference.
///
/// `headrooms_left_pct` is the free percentage of each region's slots, if recently known; a region
/// with unknown headroom takes every caller that prefers it. When no region has room, the first
/// one takes all callers.
pub fn place_displaced(
    headrooms_left_pct: &[Option<u32>],
    headroom_pct: u32,
    seed: u64,
) -> Option<usize> {
    let mut seed = seed;
    for (index, left_pct) in headrooms_left_pct.iter().enumerate() {
        let sample = seed % u64::from(BAND_PCT);
        seed /= u64::from(BAND_PCT);
        let accepts = left_pct.is_none_or(|left_pct| {
            let room_pct = left_pct.saturating_sub(headroom_pct);
            sample < u64::from(room_pct)
        });
        if accepts {
            return Some(index);
        }
    }
    (!headrooms_left_pct.is_empty()).then_some(0)
}

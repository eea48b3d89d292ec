//! Ranges of the configuration's numbers and the form of its names.

use std::ops::RangeInclusive;

/// Latency targets in milliseconds.
pub(crate) const LATENCY_MS: RangeInclusive<u64> = 1..=600_000;
/// Deadlines in milliseconds.
pub(crate) const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Headroom in percent; above this a region would hardly be used.
pub(crate) const HEADROOM_PCT: RangeInclusive<u8> = 0..=90;
/// Ranks of classes.
pub(crate) const PRIORITY: RangeInclusive<u8> = 0..=9;
/// Success targets per million; all of a million would leave no budget to burn.
pub(crate) const SUCCESS_PPM: RangeInclusive<u32> = 1..=999_999;
/// Bytes per second of a cap.
pub(crate) const BYTES_PER_S: RangeInclusive<u64> = 1..=1_000_000_000_000;
/// Requests in flight of a cap.
pub(crate) const IN_FLIGHT: RangeInclusive<u32> = 1..=1_000_000;
/// Requests in flight that a shift may add per second.
pub(crate) const GROWTH_PER_S: RangeInclusive<u32> = 1..=1_000_000;
/// Longest name in bytes.
pub(crate) const NAME_LEN: usize = 64;

/// Whether the text may name a region, class, service, failure domain or upstream.
pub(crate) fn is_name(text: &str) -> bool {
    text.len() <= NAME_LEN
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
}

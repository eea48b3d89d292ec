//! Ranges of the configuration's numbers and the syntax of its names.

use std::ops::RangeInclusive;

/// Latency targets in milliseconds.
pub(crate) const LATENCY_MS: RangeInclusive<u64> = 1..=600_000;
/// Deadlines in milliseconds.
pub(crate) const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Headroom in percent; a higher value would leave most of a region unused.
pub(crate) const HEADROOM_PCT: RangeInclusive<u8> = 0..=90;
/// Priorities of classes.
pub(crate) const PRIORITY: RangeInclusive<u8> = 0..=9;
/// Success targets per million; a full million would leave no error budget.
pub(crate) const SUCCESS_PPM: RangeInclusive<u32> = 1..=999_999;
/// Limit of a cap on bytes per second.
pub(crate) const BYTES_PER_S: RangeInclusive<u64> = 1..=1_000_000_000_000;
/// Limit of a cap on requests in flight.
pub(crate) const IN_FLIGHT: RangeInclusive<u32> = 1..=1_000_000;
/// Limit of a cap on the requests in flight that a shift adds per second.
pub(crate) const GROWTH_PER_S: RangeInclusive<u32> = 1..=1_000_000;
/// Maximum length of a name in bytes.
pub(crate) const MAX_NAME_LEN: usize = 64;

/// Whether the text is a valid name of a region, class, service, failure domain or upstream.
pub(crate) fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME_LEN
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
}

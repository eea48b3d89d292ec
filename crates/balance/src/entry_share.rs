//! One entry's share of a limit that applies to all entries combined.

/// Returns this entry's share of `limit`, given the number of live entries including this one.
///
/// The share is zero while that number is unknown. After a restart of all processes, each of them would otherwise use
/// the whole limit until it has learned of the others.
pub fn entry_share(limit: f64, entries: Option<usize>) -> f64 {
    entries.map_or(0.0, |entries| limit / entries.max(1) as f64)
}

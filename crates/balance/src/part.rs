//! One entry's part of what all entries together may do.

/// Part of `whole` of an entry that counts `entries`, itself included.
///
/// Nothing as long as it hasn't counted them. What goes wrong otherwise: after a loss of all processes each
/// starts alone and takes the whole for its own, until it has read who else there is.
pub fn part(whole: f64, entries: Option<usize>) -> f64 {
    entries.map_or(0.0, |entries| whole / entries.max(1) as f64)
}

//! Suggestions for misspelt names.

use std::mem;

/// Returns the known name with the smallest edit distance to `name`, if it is close enough.
///
/// The edit distance must be at most a third of the length of the longer name, or one for short names,
/// and smaller than that length.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .filter(|(distance, candidate)| {
            let longer = name.chars().count().max(candidate.chars().count());
            *distance <= (longer / 3).max(1) && *distance < longer
        })
        .min()
        .map(|(_, candidate)| candidate)
}

/// Maximum number of characters compared; longer names are not misspellings of known names.
const MAX_COMPARED_CHARS: usize = 64;

/// Levenshtein distance in characters.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(MAX_COMPARED_CHARS).collect();
    let mut previous_row: Vec<usize> = (0..=b.len()).collect();
    let mut row = previous_row.clone();
    for (i, x) in a.chars().take(MAX_COMPARED_CHARS).enumerate() {
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replaced = previous_row[j] + usize::from(x != *y);
            row[j + 1] = replaced.min(previous_row[j + 1] + 1).min(row[j] + 1);
        }
        mem::swap(&mut previous_row, &mut row);
    }
    previous_row[b.len()]
}

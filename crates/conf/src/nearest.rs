//! The known name that a misspelt one most likely meant.

use std::mem;

/// Finds the known name nearest to `name`, if any is near enough to be meant.
///
/// Near enough is an edit distance of at most a third of the longer name, or of one where names
/// are longer than that.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (distance(name, candidate), candidate))
        .filter(|(distance, candidate)| {
            let longer = name.chars().count().max(candidate.chars().count());
            *distance <= (longer / 3).max(1) && *distance < longer
        })
        .min()
        .map(|(_, candidate)| candidate)
}

/// Longest name that is compared; longer ones are not misspellings of ours.
const LONGEST: usize = 64;

/// Levenshtein's edit distance in characters.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(LONGEST).collect();
    let mut above: Vec<usize> = (0..=b.len()).collect();
    let mut row = above.clone();
    for (i, x) in a.chars().take(LONGEST).enumerate() {
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replaced = above[j] + usize::from(x != *y);
            row[j + 1] = replaced.min(above[j + 1] + 1).min(row[j] + 1);
        }
        mem::swap(&mut above, &mut row);
    }
    above[b.len()]
}

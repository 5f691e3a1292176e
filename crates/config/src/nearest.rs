//! Nearest valid word for a mistyped one.

/// Longest word that is compared, in characters; the comparison takes quadratic time.
const MAX_WORD: usize = 64;

/// Returns the valid word with the smallest edit distance, when it is near enough to be meant.
pub(crate) fn nearest<'a>(word: &str, valid: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let word: Vec<char> = word
        .chars()
        .take(MAX_WORD)
        .flat_map(char::to_lowercase)
        .collect();
    let limit = (word.len() / 2).clamp(1, 3);
    valid
        .into_iter()
        .map(|v| (distance(&word, v), v))
        .filter(|(d, _)| *d <= limit)
        .min_by_key(|(d, _)| *d)
        .map(|(_, v)| v)
}

/// Levenshtein distance between `from` and the lower-case form of `to`.
fn distance(from: &[char], to: &str) -> usize {
    let mut row: Vec<usize> = (0..=from.len()).collect();
    for (i, t) in to.chars().flat_map(char::to_lowercase).enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, f) in from.iter().enumerate() {
            let substitute = diagonal + usize::from(*f != t);
            diagonal = row[j + 1];
            row[j + 1] = substitute.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[from.len()]
}

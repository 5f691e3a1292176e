//! Suggestions for mistyped words.

/// Maximum number of characters that are compared, since the comparison takes quadratic time.
const MAX_WORD_CHARS: usize = 64;

/// Returns the valid word with the smallest edit distance, ignoring case. The distance may be half
/// the length of `word`, but at least 1 and at most 3. Insertions, deletions, substitutions and
/// swaps of two adjacent characters count 1 each.
pub fn closest_match<'a>(word: &str, valid: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let word = fold(word);
    let limit = (word.chars().count() / 2).clamp(1, 3);
    valid
        .into_iter()
        .map(|v| (strsim::osa_distance(&word, &fold(v)), v))
        .filter(|(d, _)| *d <= limit)
        .min_by_key(|(d, _)| *d)
        .map(|(_, v)| v)
}

fn fold(word: &str) -> String {
    word.chars()
        .take(MAX_WORD_CHARS)
        .flat_map(char::to_lowercase)
        .collect()
}

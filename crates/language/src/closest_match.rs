//! Nearest valid word for a mistyped one.

/// Longest word that is compared, in characters; the comparison takes quadratic time.
const MAX_WORD: usize = 64;

/// Returns the valid word with the smallest edit distance, when it is near enough to be meant.
/// Insertions, deletions, substitutions and swaps of two neighbours count one each.
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
        .take(MAX_WORD)
        .flat_map(char::to_lowercase)
        .collect()
}

//! Nearest valid word for a mistyped one.

/// Longest word that is compared, in characters; the comparison takes quadratic time.
const MAX_WORD: usize = 64;

/// Returns the valid word with the smallest edit distance, when it is near enough to be meant.
pub(crate) fn nearest<'a>(word: &str, valid: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let word = fold(word);
    let limit = (word.len() / 2).clamp(1, 3);
    valid
        .into_iter()
        .map(|v| (distance(&word, &fold(v)), v))
        .filter(|(d, _)| *d <= limit)
        .min_by_key(|(d, _)| *d)
        .map(|(_, v)| v)
}

fn fold(word: &str) -> Vec<char> {
    word.chars()
        .take(MAX_WORD)
        .flat_map(char::to_lowercase)
        .collect()
}

/// Optimal string alignment distance: insertions, deletions, substitutions and swaps of two
/// neighbours count one each.
fn distance(a: &[char], b: &[char]) -> usize {
    let mut before: Vec<usize> = Vec::new();
    let mut last: Vec<usize> = (0..=b.len()).collect();
    for i in 0..a.len() {
        let mut row = vec![i + 1];
        for j in 0..b.len() {
            let substitute = last[j] + usize::from(a[i] != b[j]);
            let mut best = substitute.min(last[j + 1] + 1).min(row[j] + 1);
            if i > 0 && j > 0 && a[i] == b[j - 1] && a[i - 1] == b[j] {
                best = best.min(before[j - 1] + 1);
            }
            row.push(best);
        }
        before = std::mem::replace(&mut last, row);
    }
    last[b.len()]
}

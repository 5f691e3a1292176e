//! Words of a sentence.

use winnow::LocatingSlice;
use winnow::Parser;
use winnow::ascii::digit1;
use winnow::combinator::{alt, delimited, opt, preceded, repeat};
use winnow::stream::Location;
use winnow::token::{any, take_till, take_while};

use crate::closest_match::closest_match;
use crate::error::{Error, Result};

/// Longest sentence in bytes.
pub const MAX_SENTENCE_BYTES: usize = 1_024;

/// Longest name of a VM or service in bytes, as in the configuration.
pub const MAX_NAME_BYTES: usize = 63;

/// A line with the position in it.
pub(crate) type Input<'i> = LocatingSlice<&'i str>;

/// Skips white space.
pub(crate) fn skip_whitespace(input: &mut Input<'_>) -> Result<()> {
    take_while(0.., char::is_whitespace)
        .void()
        .parse_next(input)
}

/// Reads up to the next white space; empty at the end of the line.
fn word<'i>(input: &mut Input<'i>) -> Result<&'i str> {
    preceded(skip_whitespace, take_till(0.., char::is_whitespace)).parse_next(input)
}

/// Makes the error for the word at the current position.
pub(crate) fn unexpected(input: &Input<'_>, expected: &[&'static str]) -> Error {
    let mut rest = *input;
    let found = skip_whitespace(&mut rest).map(|()| (rest.current_token_start(), word(&mut rest)));
    match found {
        Ok((offset, Ok(found))) => Error::new(offset, found, expected),
        Ok((_, Err(e))) | Err(e) => e,
    }
}

/// Reads one of the words in `choices`, in any case, and returns what it stands for.
///
/// A question mark may follow a word. The error names all words that carry a different meaning,
/// and the nearest one.
pub(crate) fn keyword<T: Copy + PartialEq>(
    input: &mut Input<'_>,
    choices: &'static [(&'static str, T)],
) -> Result<T> {
    let start = *input;
    let found = preceded(
        skip_whitespace,
        take_while(0.., |c: char| !c.is_whitespace() && c != '?'),
    )
    .parse_next(input)?;
    let choice = choices.iter().find(|(w, _)| found.eq_ignore_ascii_case(w));
    if let Some((_, meaning)) = choice {
        return Ok(*meaning);
    }
    let mut expected: Vec<&'static str> = Vec::new();
    for (at, (word, meaning)) in choices.iter().enumerate() {
        // A synonym follows the word that it stands for.
        if !choices[..at].iter().any(|(_, m)| m == meaning) {
            expected.push(word);
        }
    }
    let mut error = unexpected(&start, &expected);
    error.suggestion = closest_match(found, choices.iter().map(|(w, _)| *w));
    *input = start;
    Err(error)
}

/// Reads the name of a VM or service. `what` describes it in the error.
pub(crate) fn name(input: &mut Input<'_>, what: &'static str) -> Result<String> {
    let start = *input;
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | '-');
    let parsed: Result<&str> =
        preceded(skip_whitespace, take_while(1.., allowed)).parse_next(input);
    match parsed {
        Ok(name) if name.len() <= MAX_NAME_BYTES && at_word_end(input) => Ok(name.into()),
        _ => {
            *input = start;
            Err(unexpected(input, &[what]))
        }
    }
}

/// Returns whether the word ends here.
fn at_word_end(input: &Input<'_>) -> bool {
    let next = input.chars().next();
    next.is_none_or(|c| c.is_whitespace() || c == '?')
}

/// Reads a key: one word, or any text in double quotes with `\"` and `\\`.
pub(crate) fn key(input: &mut Input<'_>) -> Result<String> {
    const EXPECTED: &str = "a key, in double quotes if it contains spaces";
    let start = *input;
    let parsed = preceded(skip_whitespace, alt((quoted, unquoted))).parse_next(input);
    match parsed {
        Ok(key) if !key.is_empty() && at_word_end(input) => Ok(key),
        _ => {
            *input = start;
            Err(unexpected(input, &[EXPECTED]))
        }
    }
}

fn quoted(input: &mut Input<'_>) -> Result<String> {
    let plain = any.verify(|c: &char| !matches!(c, '"' | '\\'));
    let escaped = preceded('\\', any.verify(|c: &char| matches!(c, '"' | '\\')));
    delimited('"', repeat(0.., alt((plain, escaped))), '"').parse_next(input)
}

/// Reads one word without quotes. A question mark that ends the sentence is not part of it.
fn unquoted(input: &mut Input<'_>) -> Result<String> {
    let start = *input;
    let word = take_till(1.., |c: char| c.is_whitespace() || c == '"').parse_next(input)?;
    if !input.trim_start().is_empty() || !word.ends_with('?') {
        return Ok(word.into());
    }
    *input = start;
    let stripped = word.strip_suffix('?').unwrap_or(word);
    winnow::token::take(stripped.chars().count())
        .map(String::from)
        .parse_next(input)
}

/// Reads a number of shards.
pub(crate) fn shard_number(input: &mut Input<'_>) -> Result<u32> {
    let start = *input;
    let parsed: Result<u32> = preceded(skip_whitespace, digit1.parse_to()).parse_next(input);
    match parsed {
        Ok(number) if at_word_end(input) => Ok(number),
        _ => {
            *input = start;
            Err(unexpected(input, &["the number of a shard"]))
        }
    }
}

/// Reads the end of the sentence: an optional question mark and nothing more.
pub(crate) fn end_of_sentence(input: &mut Input<'_>) -> Result<()> {
    let start = *input;
    (skip_whitespace, opt('?'), skip_whitespace)
        .void()
        .parse_next(input)?;
    if input.is_empty() {
        return Ok(());
    }
    Err(unexpected(&start, &["the end of the sentence"]))
}

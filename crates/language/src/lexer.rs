//! Lexical parsers: keywords, names, keys and numbers.

use winnow::LocatingSlice;
use winnow::Parser;
use winnow::ascii::digit1;
use winnow::combinator::{alt, delimited, opt, preceded, repeat};
use winnow::stream::Location;
use winnow::token::{any, take_till, take_while};

use crate::closest_match::closest_match;
use crate::error::{Error, Result};

/// Maximum length of a sentence, in bytes.
pub const MAX_SENTENCE_BYTES: usize = 1_024;

/// Maximum length of the name of a VM or service, in bytes. The configuration has the same limit.
pub const MAX_NAME_BYTES: usize = 63;

/// Remaining input, which keeps its position in the line.
pub(crate) type Input<'i> = LocatingSlice<&'i str>;

pub(crate) fn skip_whitespace(input: &mut Input<'_>) -> Result<()> {
    take_while(0.., char::is_whitespace)
        .void()
        .parse_next(input)
}

/// Parses up to the next white space. Returns an empty word at the end of the line.
fn word<'i>(input: &mut Input<'i>) -> Result<&'i str> {
    preceded(skip_whitespace, take_till(0.., char::is_whitespace)).parse_next(input)
}

/// Returns the error for the word at the current position.
pub(crate) fn unexpected(input: &Input<'_>, expected: &[&'static str]) -> Error {
    let mut rest = *input;
    let next_word =
        skip_whitespace(&mut rest).map(|()| (rest.current_token_start(), word(&mut rest)));
    match next_word {
        Ok((offset, Ok(text))) => Error::new(offset, text, expected),
        Ok((_, Err(e))) | Err(e) => e,
    }
}

/// Parses one of the keywords in `choices`, ignoring case, and returns its value.
///
/// A question mark ends the keyword and is not consumed. The error lists one keyword per value, and
/// the closest match to the invalid word.
pub(crate) fn keyword<T: Copy + PartialEq>(
    input: &mut Input<'_>,
    choices: &'static [(&'static str, T)],
) -> Result<T> {
    let start = *input;
    let token = preceded(
        skip_whitespace,
        take_while(0.., |c: char| !c.is_whitespace() && c != '?'),
    )
    .parse_next(input)?;
    let choice = choices.iter().find(|(w, _)| token.eq_ignore_ascii_case(w));
    if let Some((_, value)) = choice {
        return Ok(*value);
    }
    let mut expected: Vec<&'static str> = Vec::new();
    for (index, (word, value)) in choices.iter().enumerate() {
        // Synonyms follow the keyword that errors list.
        if !choices[..index].iter().any(|(_, v)| v == value) {
            expected.push(word);
        }
    }
    let mut error = unexpected(&start, &expected);
    error.suggestion = closest_match(token, choices.iter().map(|(w, _)| *w));
    *input = start;
    Err(error)
}

/// Parses the name of a VM or service. An error lists `expected` as the only valid form.
pub(crate) fn name(input: &mut Input<'_>, expected: &'static str) -> Result<String> {
    let start = *input;
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | '-');
    let parsed: Result<&str> =
        preceded(skip_whitespace, take_while(1.., allowed)).parse_next(input);
    match parsed {
        Ok(name) if name.len() <= MAX_NAME_BYTES && at_word_end(input) => Ok(name.into()),
        _ => {
            *input = start;
            Err(unexpected(input, &[expected]))
        }
    }
}

/// Returns whether the current position is at the end of a word.
fn at_word_end(input: &Input<'_>) -> bool {
    let next = input.chars().next();
    next.is_none_or(|c| c.is_whitespace() || c == '?')
}

/// Parses a key: a word, or a text in double quotes with the escapes `\"` and `\\`.
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

/// Parses a word without quotes. A question mark at the end of the sentence is not part of it.
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

/// Parses a shard index.
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

/// Parses the end of the sentence, which may have a question mark.
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

//! Syntax errors.

use winnow::error::ParserError;
use winnow::stream::Location;

use crate::lexer::Input;

/// Maximum length of the word in an error, in characters.
const MAX_WORD_CHARS: usize = 40;

/// Syntax error with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Byte offset in the line.
    pub offset: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Invalid word or character at that position; empty at the end of the line.
    pub word: String,
    /// Words or forms that are valid at that position.
    pub expected: Vec<&'static str>,
    /// Valid word that is similar to the invalid one.
    pub suggestion: Option<&'static str>,
}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Makes an error at a byte offset. [`parse`](crate::parse) sets the column.
    pub(crate) fn new(offset: usize, word: &str, expected: &[&'static str]) -> Self {
        Self {
            offset,
            column: 0,
            word: word.chars().take(MAX_WORD_CHARS).collect(),
            expected: expected.to_vec(),
            suggestion: None,
        }
    }
}

impl ParserError<Input<'_>> for Error {
    type Inner = Self;

    fn from_input(input: &Input<'_>) -> Self {
        Self::new(input.current_token_start(), "", &[])
    }

    fn into_inner(self) -> std::result::Result<Self::Inner, Self> {
        Ok(self)
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "column {}: ", self.column)?;
        match self.word.as_str() {
            "" => f.write_str("the sentence ends here")?,
            word => write!(f, "`{word}` is not understood")?,
        }
        match (self.suggestion, self.expected.as_slice()) {
            (None, []) => Ok(()),
            (None, [one]) => write!(f, "; expected {one}"),
            (None, many) => write!(f, "; expected one of {}", many.join(", ")),
            (Some(suggestion), [_]) => write!(f, "; did you mean `{suggestion}`?"),
            (Some(suggestion), many) => {
                write!(
                    f,
                    "; did you mean `{suggestion}`? Valid here: {}",
                    many.join(", ")
                )
            }
        }
    }
}

impl std::error::Error for Error {}

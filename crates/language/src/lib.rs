//! Query and command language of the operators: one-line sentences in plain English.
//!
//! [`parse`] turns a line into a [`Sentence`]. The [`Display`](std::fmt::Display) text of a
//! sentence parses to the same value. Keywords are case-insensitive; names and keys are
//! case-sensitive. The parser checks only the syntax. Whether a service or VM exists is checked by
//! the daemon that answers. [`UtcTime`] and [`header_text`] format times and header values for
//! answers.

mod closest_match;
mod error;
mod grammar;
pub mod header_text;
mod help;
mod lexer;
mod sentence;
mod utc;

pub use closest_match::closest_match;
pub use error::{Error, Result};
pub use grammar::parse;
pub use help::{HELP_ENTRIES, HelpEntry};
pub use lexer::{MAX_NAME_BYTES, MAX_SENTENCE_BYTES};
pub use sentence::{Sentence, Setting, SubjectRef};
pub use utc::UtcTime;

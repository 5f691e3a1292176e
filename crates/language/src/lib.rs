//! The operators' language: one-line questions and commands, short enough to read aloud.
//!
//! [`parse`] turns a line into a [`Sentence`]; its [`Display`](std::fmt::Display) form parses back
//! to the same value. Words of the grammar are case-insensitive; names and keys keep their case.
//! The crate knows no services and no VMs: whether a name exists is decided where the sentence is
//! answered. [`UtcTime`] and [`header_text`] serve the texts around the language.

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

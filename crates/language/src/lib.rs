//! The operators' language: one-line questions and commands, short enough to read aloud.
//!
//! [`parse`] turns a line into a [`Sentence`]; its [`Display`](std::fmt::Display) form parses back
//! to the same value. Words of the grammar are case-insensitive; names and keys keep their case.
//! The crate knows no services and no VMs: whether a name exists is decided where the sentence is
//! answered. [`Utc`] and [`header_text`] serve the texts around the language.

mod error;
mod forms;
mod grammar;
pub mod header_text;
mod lexer;
mod nearest;
mod sentence;
mod utc;

pub use error::{Error, Result};
pub use forms::{FORMS, Form};
pub use grammar::parse;
pub use lexer::{MAX_NAME_BYTES, MAX_SENTENCE_BYTES};
pub use nearest::nearest;
pub use sentence::{Sentence, Setting, Thing};
pub use utc::Utc;

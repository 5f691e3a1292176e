//! What "it" in a sentence refers to.

use masticdeal_language::{Sentence, SubjectRef, header_text, parse};

/// Header in which an answer names its subject and the tool passes it back.
pub const HEADER: &str = "x-masticdeal-subject";

/// Longest value of the header that is read, in bytes.
const MAX_HEADER_BYTES: usize = 3_200;

/// A key or shard that an answer was about. Never [`SubjectRef::It`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Subject(SubjectRef);

impl Subject {
    /// Returns the subject that a thing stands for: itself, or `last` for "it".
    pub fn resolve(thing: &SubjectRef, last: Option<&Self>) -> Option<Self> {
        match thing {
            SubjectRef::It => last.cloned(),
            known => Some(Self(known.clone())),
        }
    }

    /// Returns the key or shard.
    pub fn thing(&self) -> &SubjectRef {
        &self.0
    }

    /// Returns the value of the header: the text of the thing, encoded.
    pub fn to_header(&self) -> String {
        header_text::encode(&self.0.to_string())
    }

    /// Reads the value of the header. Returns `None` when it names no key or shard.
    pub fn from_header(value: &str) -> Option<Self> {
        if value.len() > MAX_HEADER_BYTES {
            return None;
        }
        match parse(&format!("who owns {}", header_text::decode(value)?)) {
            Ok(Sentence::Who { subject: thing }) if thing != SubjectRef::It => Some(Self(thing)),
            _ => None,
        }
    }
}

impl std::fmt::Display for Subject {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

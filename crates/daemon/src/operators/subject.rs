//! The key or shard that "it" refers to in a sentence.

use masticdeal_language::{Sentence, SubjectRef, header_text, parse};

/// Header that contains the subject of an answer; the tool sends it with the next sentence.
pub const SUBJECT_HEADER: &str = "x-masticdeal-subject";

/// Maximum length of the header's value in bytes.
const MAX_HEADER_BYTES: usize = 3_200;

/// The key or shard that an answer refers to. Never [`SubjectRef::It`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Subject(SubjectRef);

impl Subject {
    /// Returns the subject of a sentence: `last` if the sentence says "it", or else `subject_ref`.
    pub fn resolve(subject_ref: &SubjectRef, last: Option<&Self>) -> Option<Self> {
        match subject_ref {
            SubjectRef::It => last.cloned(),
            named => Some(Self(named.clone())),
        }
    }

    /// Returns the key or shard.
    pub fn subject_ref(&self) -> &SubjectRef {
        &self.0
    }

    /// Returns the percent-encoded value of the header.
    pub fn to_header(&self) -> String {
        header_text::encode(&self.0.to_string())
    }

    /// Parses the value of the header. Returns `None` if it does not name a key or shard.
    pub fn from_header(value: &str) -> Option<Self> {
        if value.len() > MAX_HEADER_BYTES {
            return None;
        }
        match parse(&format!("who owns {}", header_text::decode(value)?)) {
            Ok(Sentence::Who { subject }) if subject != SubjectRef::It => Some(Self(subject)),
            _ => None,
        }
    }
}

impl std::fmt::Display for Subject {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

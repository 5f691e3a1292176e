//! What "it" in a sentence refers to.

use masticdeal_language::{Sentence, Thing, parse};

/// Header in which an answer names its subject and the tool passes it back.
pub const HEADER: &str = "x-masticdeal-subject";

/// Longest value of the header that is read, in bytes.
const MAX_HEADER_BYTES: usize = 3_200;

/// A key or shard that an answer was about. Never [`Thing::It`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Subject(Thing);

impl Subject {
    /// Returns the subject that a thing stands for: itself, or `last` for "it".
    pub fn resolve(thing: &Thing, last: Option<&Self>) -> Option<Self> {
        match thing {
            Thing::It => last.cloned(),
            known => Some(Self(known.clone())),
        }
    }

    /// Returns the key or shard.
    pub fn thing(&self) -> &Thing {
        &self.0
    }

    /// Returns the value of the header: the text of the thing, with `%XX` for every byte that is
    /// not printable ASCII.
    pub fn to_header(&self) -> String {
        let mut value = String::new();
        for byte in self.0.to_string().bytes() {
            match byte {
                b' '..=b'~' if byte != b'%' => value.push(char::from(byte)),
                other => value.push_str(&format!("%{other:02X}")),
            }
        }
        value
    }

    /// Reads the value of the header. Returns `None` when it names no key or shard.
    pub fn from_header(value: &str) -> Option<Self> {
        if value.len() > MAX_HEADER_BYTES {
            return None;
        }
        match parse(&format!("who owns {}", decode(value)?)) {
            Ok(Sentence::Who { thing }) if thing != Thing::It => Some(Self(thing)),
            _ => None,
        }
    }
}

impl std::fmt::Display for Subject {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

fn decode(value: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let digits = std::str::from_utf8(rest.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &rest[2..];
    }
    String::from_utf8(bytes).ok()
}

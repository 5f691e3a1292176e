//! Compressed differences between two texts.
//!
//! A configuration of many routes has several hundred kilobytes, and most changes affect a few
//! routes. Daemons therefore send each other differences. The difference to the empty text transfers
//! a whole text.
//!
//! A text is split into chunks that end with a line or with a closing brace. Chunks that the base
//! contains are referred to by their place in it; the others are inserted.

use std::borrow::Cow;
use std::collections::HashMap;
use std::io::{Read, Write};

use displaydoc::Display;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Largest text that a difference may produce, in bytes: the largest value of the platform store.
pub const MAX_TEXT_BYTES: usize = 1 << 20;

/// Largest encoded list of edits, in bytes. A text of single-byte chunks needs a few bytes each.
const MAX_EDIT_BYTES: usize = 4 * MAX_TEXT_BYTES;

/// Why a difference cannot be applied.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// the difference is based on another text
    OtherBase,
    /// the difference is malformed: {0}
    Malformed(Cow<'static, str>),
}

impl std::error::Error for Error {}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Returns the digest by which a difference identifies its base.
pub fn digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// One step in building the new text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Edit {
    /// Copies bytes of the base.
    Copy {
        /// First byte.
        start: u32,
        /// Number of bytes.
        length: u32,
    },
    /// Inserts text that the base does not contain.
    Insert(String),
}

/// Difference between a base and a new text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextDelta {
    base_digest: u64,
    digest: u64,
    /// Encoded list of edits, compressed.
    edits: Vec<u8>,
}

impl TextDelta {
    /// Returns the difference that leads from `base` to `text`.
    pub fn new(base: &str, text: &str) -> Self {
        Self {
            base_digest: digest(base),
            digest: digest(text),
            edits: compress(&edits(base, text)),
        }
    }

    /// Returns the digest of the base.
    pub fn base_digest(&self) -> u64 {
        self.base_digest
    }

    /// Returns the size of the compressed edits in bytes.
    pub fn len(&self) -> usize {
        self.edits.len()
    }

    /// Returns whether there are no edits.
    pub fn is_empty(&self) -> bool {
        self.edits.is_empty()
    }

    /// Returns the new text.
    ///
    /// # Errors
    ///
    /// [`Error::OtherBase`] if `base` is not the text on which the difference is based;
    /// [`Error::Malformed`] if the edits cannot be decoded, or do not produce the text with the
    /// expected digest.
    pub fn apply(&self, base: &str) -> Result<String> {
        if digest(base) != self.base_digest {
            return Err(Error::OtherBase);
        }
        let mut text = String::new();
        for edit in decompress(&self.edits)? {
            let part = match &edit {
                Edit::Copy { start, length } => copied(base, *start, *length)?,
                Edit::Insert(inserted) => inserted,
            };
            if text.len() + part.len() > MAX_TEXT_BYTES {
                return Err(Error::Malformed("the text is too long".into()));
            }
            text.push_str(part);
        }
        if digest(&text) != self.digest {
            return Err(Error::Malformed("the text has another digest".into()));
        }
        Ok(text)
    }
}

fn copied(base: &str, start: u32, length: u32) -> Result<&str> {
    let start = start as usize;
    let part = base.get(start..start + length as usize);
    part.ok_or(Error::Malformed("an edit copies beyond the base".into()))
}

fn edits(base: &str, text: &str) -> Vec<Edit> {
    let mut places = HashMap::new();
    let mut start = 0;
    for chunk in chunks(base) {
        places.entry(chunk).or_insert(start);
        start += chunk.len();
    }
    let mut edits: Vec<Edit> = Vec::new();
    for chunk in chunks(text) {
        match edits.last_mut() {
            Some(Edit::Copy { start, length })
                if base[(*start + *length) as usize..].starts_with(chunk) =>
            {
                *length += chunk.len() as u32;
            }
            last => match (places.get(chunk), last) {
                (Some(place), _) => edits.push(Edit::Copy {
                    start: *place as u32,
                    length: chunk.len() as u32,
                }),
                (None, Some(Edit::Insert(inserted))) => inserted.push_str(chunk),
                (None, _) => edits.push(Edit::Insert(chunk.to_owned())),
            },
        }
    }
    edits
}

/// Splits a text after each line and each closing brace.
fn chunks(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive(['\n', '}'])
}

fn compress(edits: &[Edit]) -> Vec<u8> {
    // Neither step can fail: the edits have only numbers and strings, and a vector takes all bytes.
    let encoded =
        bincode::serde::encode_to_vec(edits, bincode::config::standard()).unwrap_or_default();
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(&encoded);
    written.and_then(|()| encoder.finish()).unwrap_or_default()
}

fn decompress(compressed: &[u8]) -> Result<Vec<Edit>> {
    let mut encoded = Vec::new();
    // Reads one byte more than allowed, to notice longer input.
    let mut limited = DeflateDecoder::new(compressed).take(MAX_EDIT_BYTES as u64 + 1);
    limited
        .read_to_end(&mut encoded)
        .map_err(|e| Error::Malformed(e.to_string().into()))?;
    if encoded.len() > MAX_EDIT_BYTES {
        return Err(Error::Malformed("the edits are too long".into()));
    }
    let config = bincode::config::standard().with_limit::<MAX_EDIT_BYTES>();
    let decoded = bincode::serde::decode_from_slice(&encoded, config);
    let (edits, _) = decoded.map_err(|e| Error::Malformed(e.to_string().into()))?;
    Ok(edits)
}

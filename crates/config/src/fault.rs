//! Faults of a settings or configuration text.

use displaydoc::Display;
use serde::ser::SerializeStruct;
use serde::{Serialize, Serializer};

/// Most faults reported for one text; the rest are dropped, so that a forged text cannot make the
/// report large.
pub const MAX_FAULTS: usize = 100;

/// Longest part of a value that a fault repeats, in characters.
const MAX_VALUE_CHARS: usize = 60;

/// One fault with its place.
///
/// Serializes to `{"line", "section", "key", "message"}`; `line` is 0 and `section` and `key` are
/// empty where the fault has none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file, as the caller of the reader gave it; may be empty.
    pub file: String,
    /// Line, counted from 1; 0 for a fault that belongs to no line.
    pub line: usize,
    /// Section without brackets; empty for a fault of the whole text.
    pub section: String,
    /// Key; empty for a fault of a whole section or line.
    pub key: String,
    /// What is wrong.
    pub kind: FaultKind,
}

impl Fault {
    /// Makes a fault of a whole text.
    pub fn for_text(message: impl Into<String>) -> Self {
        Self {
            file: String::new(),
            line: 0,
            section: String::new(),
            key: String::new(),
            kind: FaultKind::Message(message.into()),
        }
    }
}

/// What is wrong at a place.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum FaultKind {
    /// malformed line: expected `[section]`, `key = value`, or a comment that starts with `;` or `#`
    MalformedLine,
    /// text of {0} bytes exceeds the limit of 131072 bytes
    TooLong(usize),
    /// key before the first section
    OutsideSection,
    /// unknown section: {hint}
    UnknownSection {
        /// Nearest valid name, or all valid names.
        hint: String,
    },
    /// unknown key: {hint}
    UnknownKey {
        /// Nearest valid name, or all valid names.
        hint: String,
    },
    /// given more than once; first at line {first}
    Duplicate {
        /// Line of the first.
        first: usize,
    },
    /// missing: expected {expected}
    Missing {
        /// Valid forms.
        expected: String,
    },
    /// `{value}` is not valid: expected {expected}
    Invalid {
        /// The value; empty forms and secrets are not repeated.
        value: String,
        /// Valid forms or bounds.
        expected: String,
    },
    /// not valid (value not shown): expected {expected}
    InvalidSecret {
        /// Valid forms.
        expected: String,
    },
    /// {0}
    Message(String),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if !self.file.is_empty() {
            write!(f, "{}:", self.file)?;
        }
        match (self.line, self.file.is_empty()) {
            (0, true) => {}
            (0, false) => f.write_str(" ")?,
            (line, true) => write!(f, "line {line}: ")?,
            (line, false) => write!(f, "{line}: ")?,
        }
        if !self.section.is_empty() {
            write!(f, "[{}]", self.section)?;
            if !self.key.is_empty() {
                write!(f, " {}", self.key)?;
            }
            f.write_str(": ")?;
        }
        self.kind.fmt(f)
    }
}

impl std::error::Error for Fault {}

impl Serialize for Fault {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut out = serializer.serialize_struct("Fault", 4)?;
        out.serialize_field("line", &self.line)?;
        out.serialize_field("section", &self.section)?;
        out.serialize_field("key", &self.key)?;
        out.serialize_field("message", &self.kind.to_string())?;
        out.end()
    }
}

/// Collects the faults of one text.
#[derive(Debug)]
pub(crate) struct Faults<'a> {
    file: &'a str,
    list: Vec<Fault>,
}

impl<'a> Faults<'a> {
    pub(crate) fn new(file: &'a str) -> Self {
        Self {
            file,
            list: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, line: usize, section: &str, key: &str, kind: FaultKind) {
        if self.list.len() < MAX_FAULTS {
            self.list.push(Fault {
                file: self.file.into(),
                line,
                section: shorten(section),
                key: shorten(key),
                kind,
            });
        }
    }

    /// Returns `value` when there is no fault, and all faults in the order of their lines
    /// otherwise.
    pub(crate) fn finish<T>(mut self, value: T) -> crate::Result<T> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort_by_key(|fault| fault.line);
        Err(self.list)
    }
}

/// Cuts a text that a fault repeats, so that one long value does not fill the report.
pub(crate) fn shorten(value: &str) -> String {
    match value.char_indices().nth(MAX_VALUE_CHARS) {
        None => value.into(),
        Some((at, _)) => format!("{}...", &value[..at]),
    }
}

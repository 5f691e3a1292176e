//! Faults of a settings or configuration text.

use displaydoc::Display;
use serde::ser::SerializeStruct;
use serde::{Serialize, Serializer};

/// Maximum number of faults reported for one text. Further faults are dropped, so that a malicious
/// text cannot cause a large report.
pub const MAX_FAULTS: usize = 100;

/// Maximum length of a value, section or key in a fault, in characters.
const MAX_VALUE_CHARS: usize = 60;

/// Fault with its location.
///
/// Serializes to `{"line", "section", "key", "message"}`. A missing line is 0, a missing section or
/// key is empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file; empty if the parser did not get one.
    pub file: String,
    /// Line number, counted from 1; 0 for a fault without a line.
    pub line: usize,
    /// Section name without brackets; empty for a fault of the whole text.
    pub section: String,
    /// Key; empty for a fault of a section or line.
    pub key: String,
    /// Kind of the fault, displayed as the message.
    pub kind: FaultKind,
}

impl Fault {
    /// Makes a fault without a location.
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

/// Kind of a fault.
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
        /// Valid names, starting with the closest match.
        hint: String,
    },
    /// unknown key: {hint}
    UnknownKey {
        /// Valid names, starting with the closest match.
        hint: String,
    },
    /// given more than once; first at line {first}
    Duplicate {
        /// Line of the first occurrence.
        first: usize,
    },
    /// missing: expected {expected}
    Missing {
        /// Valid formats.
        expected: String,
    },
    /// `{value}` is not valid: expected {expected}
    Invalid {
        /// The value, truncated.
        value: String,
        /// Valid formats or range.
        expected: String,
    },
    /// not valid (value not shown): expected {expected}
    InvalidSecret {
        /// Valid formats.
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
                section: truncate(section),
                key: truncate(key),
                kind,
            });
        }
    }

    /// Returns `value` if there is no fault, and otherwise all faults, ordered by line.
    pub(crate) fn finish<T>(mut self, value: T) -> crate::Result<T> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort_by_key(|fault| fault.line);
        Err(self.list)
    }
}

/// Truncates a value, section or key for a fault, so that a long one does not fill the report.
pub(crate) fn truncate(value: &str) -> String {
    match value.char_indices().nth(MAX_VALUE_CHARS) {
        None => value.into(),
        Some((end, _)) => format!("{}...", &value[..end]),
    }
}

//! Splits an INI text into sections and entries with their line numbers.
//!
//! rust-ini does not report line numbers, and it continues keys, quoted values and lines that end
//! with a backslash on the next line. Each line is therefore checked first; rust-ini receives only
//! lines that are complete in themselves.

use ini::{Ini, ParseOption};

use crate::fault::{FaultKind, Faults};

/// Maximum size of a settings or configuration text, in bytes. Peers send the configuration and the
/// table in one message of at most 1 MiB, of which the largest table (65,536 shards, 480 sessions)
/// takes up to 870 KB.
pub const MAX_TEXT_BYTES: usize = 128 << 10;

/// Section with its entries. `line` is the line of its header, counted from 1.
#[derive(Debug)]
pub(crate) struct Section {
    pub name: String,
    pub line: usize,
    pub entries: Vec<Entry>,
}

/// Key with its value and its line, counted from 1.
#[derive(Debug)]
pub(crate) struct Entry {
    pub key: String,
    pub value: String,
    pub line: usize,
}

/// Line numbers of a section header and of its entries.
struct SectionLines {
    header: usize,
    entries: Vec<usize>,
}

/// Returns the sections in text order. Malformed lines are skipped and recorded as faults.
pub(crate) fn parse_sections(text: &str, faults: &mut Faults<'_>) -> Vec<Section> {
    if text.len() > MAX_TEXT_BYTES {
        faults.push(0, "", "", FaultKind::TooLong(text.len()));
        return Vec::new();
    }
    let (valid_text, lines) = filter_lines(text, faults);
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    match Ini::load_from_str_opt(&valid_text, options) {
        Ok(ini) => attach_lines(&ini, &lines),
        Err(e) => {
            faults.push(e.line, "", "", FaultKind::MalformedLine);
            Vec::new()
        }
    }
}

/// Removes empty and malformed lines, comments, and entries before the first section. Returns the
/// rest with the line numbers of its sections.
fn filter_lines(text: &str, faults: &mut Faults<'_>) -> (String, Vec<SectionLines>) {
    let mut valid_text = String::with_capacity(text.len());
    let mut lines: Vec<SectionLines> = Vec::new();
    for (index, raw) in text.lines().enumerate() {
        let number = index + 1;
        let line = raw.trim();
        match (line_kind(line), lines.last_mut()) {
            (LineKind::Empty, _) => continue,
            (LineKind::Section, _) => lines.push(SectionLines {
                header: number,
                entries: Vec::new(),
            }),
            (LineKind::Entry, Some(section)) => section.entries.push(number),
            (LineKind::Entry, None) => {
                faults.push(number, "", "", FaultKind::OutsideSection);
                continue;
            }
            (LineKind::Malformed, _) => {
                faults.push(number, "", "", FaultKind::MalformedLine);
                continue;
            }
        }
        valid_text.push_str(line);
        valid_text.push('\n');
    }
    (valid_text, lines)
}

enum LineKind {
    Empty,
    Section,
    Entry,
    Malformed,
}

fn line_kind(line: &str) -> LineKind {
    if line.is_empty() || line.starts_with([';', '#']) {
        return LineKind::Empty;
    }
    if line.chars().any(|c| c.is_control() && c != '\t') || line.ends_with('\\') {
        return LineKind::Malformed;
    }
    if let Some(rest) = line.strip_prefix('[') {
        return match rest.split_once(']') {
            Some((name, tail)) if !name.contains('\\') && is_blank_or_comment(tail) => {
                LineKind::Section
            }
            _ => LineKind::Malformed,
        };
    }
    match line.split_once(['=', ':']) {
        Some((key, _)) if is_key(key.trim()) => LineKind::Entry,
        _ => LineKind::Malformed,
    }
}

/// Returns whether the rest of a line is empty or a comment.
fn is_blank_or_comment(tail: &str) -> bool {
    let tail = tail.trim();
    tail.is_empty() || tail.starts_with([';', '#'])
}

fn is_key(key: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-' | b'.');
    !key.is_empty() && key.bytes().all(allowed)
}

/// Adds the line numbers to the sections and entries of rust-ini. Both are in text order.
fn attach_lines(ini: &Ini, section_lines: &[SectionLines]) -> Vec<Section> {
    let named = ini
        .iter()
        .filter_map(|(name, entries)| Some((name?, entries)));
    let new_entry = |(key, value): (&str, &str), line: &usize| Entry {
        key: key.into(),
        value: value.into(),
        line: *line,
    };
    named
        .zip(section_lines)
        .map(|((name, entries), lines)| Section {
            name: name.split_whitespace().collect::<Vec<_>>().join(" "),
            line: lines.header,
            entries: entries
                .iter()
                .zip(&lines.entries)
                .map(|(entry, line)| new_entry(entry, line))
                .collect(),
        })
        .collect()
}

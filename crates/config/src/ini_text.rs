//! Splits an INI text into sections and entries with their lines.
//!
//! rust-ini reports no lines and lets keys, quoted values and backslashes run over line ends. Each
//! line is therefore checked by itself first; only lines that stand alone reach the library.

use ini::{Ini, ParseOption};

use crate::fault::{FaultKind, Faults};

/// Largest settings or configuration text, in bytes. A peer sends the configuration and the table
/// in one message of at most 1 MiB, of which the largest table (65,536 shards, 480 sessions) takes
/// up to 870 KB.
pub const MAX_TEXT_BYTES: usize = 128 << 10;

/// One section.
#[derive(Debug)]
pub(crate) struct Section {
    pub name: String,
    pub line: usize,
    pub entries: Vec<Entry>,
}

/// One key with its value.
#[derive(Debug)]
pub(crate) struct Entry {
    pub key: String,
    pub value: String,
    pub line: usize,
}

/// SectionLines of one section and of its entries.
struct SectionLines {
    section: usize,
    entries: Vec<usize>,
}

/// Returns the sections in the order of the text. Malformed lines become faults and are left out.
pub(crate) fn parse_sections(text: &str, faults: &mut Faults<'_>) -> Vec<Section> {
    if text.len() > MAX_TEXT_BYTES {
        faults.push(0, "", "", FaultKind::TooLong(text.len()));
        return Vec::new();
    }
    let (clean, lines) = filter_lines(text, faults);
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    match Ini::load_from_str_opt(&clean, options) {
        Ok(ini) => attach_lines(&ini, &lines),
        Err(e) => {
            faults.push(e.line, "", "", FaultKind::MalformedLine);
            Vec::new()
        }
    }
}

/// Returns the text without malformed lines and comments, and the lines of what is left.
fn filter_lines(text: &str, faults: &mut Faults<'_>) -> (String, Vec<SectionLines>) {
    let mut clean = String::with_capacity(text.len());
    let mut lines: Vec<SectionLines> = Vec::new();
    for (index, raw) in text.lines().enumerate() {
        let number = index + 1;
        let line = raw.trim();
        match (line_kind(line), lines.last_mut()) {
            (LineKind::Empty, _) => continue,
            (LineKind::Section, _) => lines.push(SectionLines {
                section: number,
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
        clean.push_str(line);
        clean.push('\n');
    }
    (clean, lines)
}

/// What one line is.
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

/// Returns whether nothing but a comment follows.
fn is_blank_or_comment(tail: &str) -> bool {
    let tail = tail.trim();
    tail.is_empty() || tail.starts_with([';', '#'])
}

fn is_key(key: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-' | b'.');
    !key.is_empty() && key.bytes().all(allowed)
}

/// Gives the sections and entries of the library their lines; both are in the order of the text.
fn attach_lines(ini: &Ini, lines: &[SectionLines]) -> Vec<Section> {
    let named = ini
        .iter()
        .filter_map(|(name, entries)| Some((name?, entries)));
    let join_entries = |(key, value): (&str, &str), line: &usize| Entry {
        key: key.into(),
        value: value.into(),
        line: *line,
    };
    named
        .zip(lines)
        .map(|((name, entries), lines)| Section {
            name: name.split_whitespace().collect::<Vec<_>>().join(" "),
            line: lines.section,
            entries: entries
                .iter()
                .zip(&lines.entries)
                .map(|(entry, line)| join_entries(entry, line))
                .collect(),
        })
        .collect()
}

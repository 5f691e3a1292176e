//! Typed access to the entries of one section. An invalid value is recorded as a fault. A field
//! whose key is absent or invalid keeps its value, except as stated at [`SectionReader::millis`].

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use crate::fault::{FaultKind, Faults, truncate};
use crate::ini_text::{Entry, Section};
use masticdeal_language::closest_match;

/// Maximum length of the name of a VM, region, data centre or service, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Maximum number of valid values that a fault lists.
const MAX_LISTED_VALUES: usize = 16;

/// Section whose faults are added to `faults`.
pub(crate) struct SectionReader<'a, 'f> {
    section: &'a Section,
    faults: &'a mut Faults<'f>,
}

impl<'a, 'f> SectionReader<'a, 'f> {
    pub(crate) fn new(section: &'a Section, faults: &'a mut Faults<'f>) -> Self {
        Self { section, faults }
    }

    /// Records unknown and duplicate keys as faults. Longer keys that start with `prefix` are
    /// valid.
    pub(crate) fn check_keys(&mut self, valid: &[&str], prefix: Option<&str>) {
        for (index, entry) in self.section.entries.iter().enumerate() {
            let key = entry.key.as_str();
            let has_prefix = prefix.is_some_and(|p| key.len() > p.len() && key.starts_with(p));
            if !valid.contains(&key) && !has_prefix {
                self.report_unknown_key(entry, valid);
            } else if let Some(first) = self.section.entries[..index].iter().find(|e| e.key == key)
            {
                let first = first.line;
                self.report_fault(entry, FaultKind::Duplicate { first });
            }
        }
    }

    fn report_unknown_key(&mut self, entry: &Entry, valid: &[&str]) {
        let hint = valid_values(&entry.key, valid);
        // A secret that was pasted without its key is parsed as a key.
        let key = if self.is_secret() { "" } else { &entry.key };
        let (line, section) = (entry.line, &self.section.name);
        self.faults
            .push(line, section, key, FaultKind::UnknownKey { hint });
    }

    fn is_secret(&self) -> bool {
        self.section.name == "secret"
    }

    pub(crate) fn section_name(&self) -> &'a str {
        &self.section.name
    }

    pub(crate) fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.section.entries.iter().find(|e| e.key == key)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &'a Entry> + use<'a> {
        self.section.entries.iter()
    }

    pub(crate) fn report_fault(&mut self, entry: &Entry, kind: FaultKind) {
        self.faults
            .push(entry.line, &self.section.name, &entry.key, kind);
    }

    pub(crate) fn report_invalid(&mut self, entry: &Entry, expected: impl Display) {
        let kind = FaultKind::Invalid {
            value: truncate(&entry.value),
            expected: expected.to_string(),
        };
        self.report_fault(entry, kind);
    }

    pub(crate) fn report_missing(&mut self, key: &str, expected: impl Display) {
        let expected = expected.to_string();
        let (line, section) = (self.section.line, &self.section.name);
        self.faults
            .push(line, section, key, FaultKind::Missing { expected });
    }

    /// Records a fault with this message, at the line of `key` if the section contains it.
    pub(crate) fn report_at(&mut self, key: &str, message: impl Into<String>) {
        let line = self.entry(key).map_or(self.section.line, |e| e.line);
        let kind = FaultKind::Message(message.into());
        self.faults.push(line, &self.section.name, key, kind);
    }

    /// Reads a number within `bounds`. The fault names `unit` after the upper bound.
    pub(crate) fn number<T>(
        &mut self,
        key: &str,
        bounds: RangeInclusive<T>,
        unit: &str,
        field: &mut T,
    ) where
        T: FromStr + PartialOrd + Display,
    {
        let Some(entry) = self.entry(key) else { return };
        match entry.value.parse() {
            Ok(value) if bounds.contains(&value) => *field = value,
            _ => {
                let (min, max) = (bounds.start(), bounds.end());
                self.report_invalid(entry, format_args!("a number from {min} to {max}{unit}"));
            }
        }
    }

    /// Reads a duration in whole milliseconds. If the key is absent or invalid, the field is
    /// rounded down to whole milliseconds.
    pub(crate) fn millis(&mut self, key: &str, bounds: RangeInclusive<u64>, field: &mut Duration) {
        let mut value = field.as_millis() as u64;
        self.number(key, bounds, " milliseconds", &mut value);
        *field = Duration::from_millis(value);
    }

    /// Reads a duration in seconds, which may have a fraction.
    pub(crate) fn seconds(&mut self, key: &str, bounds: RangeInclusive<f64>, field: &mut Duration) {
        let mut value = field.as_secs_f64();
        self.number(key, bounds, " seconds", &mut value);
        *field = Duration::from_secs_f64(value);
    }

    /// Reads an optional duration in seconds. An empty value counts as absent: the platform renders a
    /// bound that a deployment does not have as nothing.
    pub(crate) fn optional_seconds(
        &mut self,
        key: &str,
        bounds: RangeInclusive<f64>,
        field: &mut Option<Duration>,
    ) {
        if self.entry(key).is_some_and(|e| !e.value.is_empty()) {
            let mut value = Duration::ZERO;
            self.seconds(key, bounds, &mut value);
            *field = Some(value);
        }
    }

    /// Reads `yes` or `no`.
    pub(crate) fn flag(&mut self, key: &str, field: &mut bool) {
        let Some(entry) = self.entry(key) else { return };
        match entry.value.as_str() {
            "yes" => *field = true,
            "no" => *field = false,
            _ => self.report_invalid(entry, "yes or no"),
        }
    }

    /// Reads `on` or `off`.
    pub(crate) fn switch(&mut self, key: &str, field: &mut bool) {
        let Some(entry) = self.entry(key) else { return };
        match entry.value.as_str() {
            "on" => *field = true,
            "off" => *field = false,
            _ => self.report_invalid(entry, "on or off"),
        }
    }

    /// Reads a required name of letters, digits, dashes and underscores.
    pub(crate) fn name(&mut self, key: &str, field: &mut String) {
        match self.entry(key) {
            None => self.report_missing(key, name_format()),
            Some(entry) if is_valid_name(&entry.value) => *field = entry.value.clone(),
            Some(entry) => self.report_invalid(entry, name_format()),
        }
    }

    /// Reads a required address.
    pub(crate) fn address(&mut self, key: &str, field: &mut SocketAddr) {
        if self.entry(key).is_none() {
            self.report_missing(key, "ip:port");
        }
        self.optional_address(key, field);
    }

    /// Reads an optional list of addresses.
    pub(crate) fn addresses(&mut self, key: &str, field: &mut Vec<SocketAddr>) {
        let Some(entry) = self.entry(key) else {
            return;
        };
        let parts = entry.value.split(',').map(str::trim);
        let parsed: Result<Vec<SocketAddr>, _> =
            parts.filter(|p| !p.is_empty()).map(str::parse).collect();
        match parsed {
            Ok(addresses) => *field = addresses,
            Err(_) => self.report_invalid(entry, "addresses ip:port, separated by commas"),
        }
    }

    /// Reads an optional address. Returns whether the section contains a valid one.
    pub(crate) fn optional_address(&mut self, key: &str, field: &mut SocketAddr) -> bool {
        let Some(entry) = self.entry(key) else {
            return false;
        };
        match entry.value.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => {
                *field = address;
                return true;
            }
            Ok(_) => self.report_invalid(entry, "ip:port with a port from 1 to 65535"),
            Err(_) => {
                self.report_invalid(entry, "ip:port, such as 10.0.0.1:7000 or [fd00::1]:7000")
            }
        }
        false
    }

    /// Records a fault for a value that is not one of `valid`.
    pub(crate) fn report_invalid_choice(&mut self, entry: &Entry, valid: &[&str]) {
        let hint = valid_values(&entry.value, valid);
        self.report_invalid(entry, hint);
    }
}

/// Returns the format of a name for fault messages.
pub(crate) fn name_format() -> String {
    format!("a name of at most {MAX_NAME_BYTES} letters, digits, dashes and underscores")
}

pub(crate) fn is_valid_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-');
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Returns the valid values for a fault message, starting with the closest match if there is one.
pub(crate) fn valid_values(word: &str, valid: &[&str]) -> String {
    let mut list = valid[..valid.len().min(MAX_LISTED_VALUES)].join(", ");
    if valid.len() > MAX_LISTED_VALUES {
        list.push_str(&format!(" and {} more", valid.len() - MAX_LISTED_VALUES));
    }
    match closest_match(word, valid.iter().copied()) {
        Some(closest) => format!("nearest is `{closest}`, valid are {list}"),
        None => format!("one of {list}"),
    }
}

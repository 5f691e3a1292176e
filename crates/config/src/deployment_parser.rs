//! Parser of the deployment configuration.

use std::collections::HashMap;

use crate::deployment::{Deployment, KeySource, MAX_SERVICES, MAX_SHARDS, Rules, Service};
use crate::fault::{FaultKind, Faults};
use crate::ini_text::{Entry, Section, parse_sections};
use crate::section_reader::{SectionReader, is_valid_name, name_format, valid_values};
use masticdeal_language::closest_match;

pub(crate) const SERVICE_KEYS: [&str; 11] = [
    "paths",
    "divided",
    "shards",
    "key",
    "non_idempotent",
    "deadline_ms",
    "targets_check_grants",
    "long_share",
    "queue_length",
    "retry_budget",
    "max_ejected",
];
pub(crate) const RULE_KEYS: [&str; 5] = [
    "max_draining",
    "moves_per_round",
    "imbalance_tolerance",
    "away",
    "evacuated",
];
pub(crate) const METHODS: [&str; 8] = [
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST", "PATCH",
];

const SECTION_FORMATS: &str = "expected [service NAME] or [rules]";
const KEY_FORMATS: &str = "path N with N from 1 to 32, query NAME, number NAME, or header NAME";

/// Maximum number of path prefixes of one service. Each request is compared with all of them.
const MAX_PATHS: usize = 64;
/// Maximum length of a path prefix, in bytes.
const MAX_PATH_BYTES: usize = 256;
/// Maximum length of the name of the query parameter or header with the key, in bytes.
const MAX_KEY_NAME_BYTES: usize = 64;
/// Highest path segment that can contain the key.
const MAX_KEY_SEGMENT: usize = 32;

/// Path prefix with its location, for the check for duplicates across services.
struct Prefix<'a> {
    section: &'a Section,
    line: usize,
    path: String,
}

impl Deployment {
    /// Parses the deployment configuration from INI text.
    ///
    /// # Errors
    ///
    /// All faults of the text, ordered by line.
    pub fn parse(text: &str) -> crate::Result<Self> {
        let mut faults = Faults::new("");
        let sections = parse_sections(text, &mut faults);
        let mut deployment = Self::default();
        let mut prefixes = Vec::new();
        check_sections(&sections, &mut faults);
        for section in &sections {
            if let Some(name) = section.name.strip_prefix("service ") {
                let mut reader = SectionReader::new(section, &mut faults);
                let service = read_service(name, &mut reader);
                let line = reader.entry("paths").map_or(section.line, |e| e.line);
                prefixes.extend(service.paths.iter().map(|path| Prefix {
                    section,
                    line,
                    path: path.clone(),
                }));
                deployment.services.push(service);
            } else if section.name == "rules" {
                read_rules(
                    &mut deployment.rules,
                    &mut SectionReader::new(section, &mut faults),
                );
            }
        }
        check_duplicate_prefixes(&prefixes, &mut faults);
        check_totals(&deployment, &mut faults);
        faults.finish(deployment)
    }
}

fn check_sections(sections: &[Section], faults: &mut Faults<'_>) {
    let mut first_lines: HashMap<&str, usize> = HashMap::new();
    for section in sections {
        let (name, line) = (section.name.as_str(), section.line);
        if let Some(service) = name.strip_prefix("service ") {
            if !is_valid_name(service) || service == "rules" {
                let kind = FaultKind::Invalid {
                    value: crate::fault::truncate(service),
                    expected: format!("{}, other than `rules`", name_format()),
                };
                faults.push(line, name, "", kind);
            }
        } else if name != "rules" {
            let hint = section_name_hint(name);
            faults.push(line, name, "", FaultKind::UnknownSection { hint });
        }
        if let Some(first) = first_lines.get(name) {
            faults.push(line, name, "", FaultKind::Duplicate { first: *first });
        } else {
            first_lines.insert(name, line);
        }
    }
}

fn section_name_hint(name: &str) -> String {
    let word = name.split(' ').next().unwrap_or_default();
    match closest_match(word, ["service", "rules"]) {
        Some(closest) => format!("nearest is `{closest}`, {SECTION_FORMATS}"),
        None => SECTION_FORMATS.into(),
    }
}

fn read_service(name: &str, reader: &mut SectionReader<'_, '_>) -> Service {
    reader.check_keys(&SERVICE_KEYS, None);
    let mut service = Service {
        name: name.into(),
        ..Service::default()
    };
    read_paths(&mut service.paths, reader);
    read_sharding(&mut service, reader);
    read_methods(&mut service.non_idempotent, reader);
    reader.millis("deadline_ms", 1..=3_600_000, &mut service.deadline);
    reader.flag("targets_check_grants", &mut service.targets_check_grants);
    // With a share of 0, long requests would never start.
    reader.number("long_share", 0.01..=1.0, "", &mut service.long_share);
    reader.number("queue_length", 1..=1_000_000, "", &mut service.queue_length);
    reader.number("retry_budget", 0.0..=1.0, "", &mut service.retry_budget);
    reader.number("max_ejected", 0.0..=1.0, "", &mut service.max_ejected);
    service
}

fn read_rules(rules: &mut Rules, reader: &mut SectionReader<'_, '_>) {
    reader.check_keys(&RULE_KEYS, None);
    reader.number("max_draining", 1..=10_000, "", &mut rules.max_draining);
    reader.number("moves_per_round", 1..=1_000, "", &mut rules.moves_per_round);
    reader.number(
        "imbalance_tolerance",
        0.0..=10.0,
        "",
        &mut rules.imbalance_tolerance,
    );
    rules.away = read_names(reader, "away", "names of VMs, separated by commas");
    rules.evacuated = read_names(
        reader,
        "evacuated",
        "names of data centres, separated by commas",
    );
}

fn read_names(reader: &mut SectionReader<'_, '_>, key: &str, format: &str) -> Vec<String> {
    let Some(entry) = reader.entry(key) else {
        return Vec::new();
    };
    let mut names: Vec<String> = list_items(entry).map(String::from).collect();
    if names.iter().any(|name| !is_valid_name(name)) {
        reader.report_invalid(entry, format);
        return Vec::new();
    }
    names.sort_unstable();
    names.dedup();
    names
}

fn read_paths(paths: &mut Vec<String>, reader: &mut SectionReader<'_, '_>) {
    const FORMAT: &str = "path prefixes such as /search/, separated by commas";
    let Some(entry) = reader.entry("paths") else {
        return reader.report_missing("paths", FORMAT);
    };
    for path in list_items(entry) {
        if is_valid_prefix(path) {
            paths.push(path.into());
        } else {
            reader.report_invalid(entry, FORMAT);
            return;
        }
    }
    if paths.is_empty() {
        reader.report_invalid(entry, FORMAT);
    } else if paths.len() > MAX_PATHS {
        reader.report_invalid(entry, format_args!("at most {MAX_PATHS} path prefixes"));
    }
}

/// Returns whether a prefix can match the raw path of a request.
fn is_valid_prefix(path: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#' | b';' | b'"' | b'\\');
    path.starts_with('/')
        && path.len() <= MAX_PATH_BYTES
        && path.bytes().all(allowed)
        && !crate::routing::has_dot_segment(path)
}

fn read_sharding(service: &mut Service, reader: &mut SectionReader<'_, '_>) {
    let mut sharded = false;
    reader.flag("divided", &mut sharded);
    if !sharded {
        for key in ["shards", "key"] {
            if reader.entry(key).is_some() {
                reader.report_at(key, "only valid with divided = yes");
            }
        }
        return;
    }
    match reader.entry("shards") {
        None => reader.report_missing("shards", "a power of two from 1 to 65536"),
        Some(entry) => match entry.value.parse::<u32>() {
            Ok(n) if n.is_power_of_two() && n as usize <= MAX_SHARDS => service.shards = n,
            _ => reader.report_invalid(entry, "a power of two from 1 to 65536"),
        },
    }
    match reader.entry("key") {
        None => reader.report_missing("key", KEY_FORMATS),
        Some(entry) => match parse_key_source(&entry.value) {
            Some(key) => service.key = Some(key),
            None => reader.report_invalid(entry, KEY_FORMATS),
        },
    }
}

fn parse_key_source(text: &str) -> Option<KeySource> {
    let (kind, name) = text.split_once([' ', '\t'])?;
    let name = name.trim_start();
    let has_valid_length = (1..=MAX_KEY_NAME_BYTES).contains(&name.len());
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-' | b'.');
    if !has_valid_length || !name.bytes().all(allowed) {
        return None;
    }
    match kind {
        "path" => {
            let segment = name.parse().ok()?;
            (1..=MAX_KEY_SEGMENT)
                .contains(&segment)
                .then_some(KeySource::PathSegment(segment))
        }
        "query" => Some(KeySource::QueryParameter(name.into())),
        "header" => Some(KeySource::Header(name.to_ascii_lowercase())),
        "number" => Some(KeySource::NumericHeader(name.to_ascii_lowercase())),
        _ => None,
    }
}

fn read_methods(methods: &mut Vec<String>, reader: &mut SectionReader<'_, '_>) {
    let Some(entry) = reader.entry("non_idempotent") else {
        return;
    };
    methods.clear();
    if entry.value == "none" {
        return;
    }
    for method in list_items(entry) {
        if !METHODS.contains(&method) {
            let hint = valid_values(method, &METHODS);
            return reader.report_invalid(entry, format_args!("none, or methods; {hint}"));
        }
        if !methods.iter().any(|m| m == method) {
            methods.push(method.into());
        }
    }
    if methods.is_empty() {
        reader.report_invalid(entry, "none, or methods such as POST, PATCH");
    }
}

/// Splits a value at commas and skips empty parts.
fn list_items(entry: &Entry) -> impl Iterator<Item = &str> {
    entry
        .value
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
}

fn check_duplicate_prefixes(prefixes: &[Prefix<'_>], faults: &mut Faults<'_>) {
    let mut prefix_by_path: HashMap<&str, &Prefix<'_>> = HashMap::new();
    for prefix in prefixes {
        let Some(previous) = prefix_by_path.insert(&prefix.path, prefix) else {
            continue;
        };
        let message = format!(
            "path {} is already given by [{}] at line {}",
            prefix.path, previous.section.name, previous.line
        );
        let kind = FaultKind::Message(message);
        faults.push(prefix.line, &prefix.section.name, "paths", kind);
    }
}

fn check_totals(deployment: &Deployment, faults: &mut Faults<'_>) {
    let services = deployment.services.len();
    if services > MAX_SERVICES {
        let message = format!("{services} services exceed the limit of {MAX_SERVICES}");
        faults.push(0, "", "", FaultKind::Message(message));
    }
    let shards: usize = deployment.services.iter().map(|s| s.shards as usize).sum();
    if shards > MAX_SHARDS {
        let message = format!("{shards} shards in all services exceed the limit of {MAX_SHARDS}");
        faults.push(0, "", "", FaultKind::Message(message));
    }
}

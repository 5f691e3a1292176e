//! Changes one setting of a configuration text and preserves the other lines, including comments.

use crate::deployment::Deployment;
use crate::deployment_parser::{RULE_KEYS, SERVICE_KEYS};
use crate::fault::{FaultKind, Faults};
use crate::ini_text::{Section, parse_sections};
use crate::section_reader::valid_values;

/// Scope name of the section `[rules]`.
pub const RULES_SCOPE: &str = "rules";

/// Returns the text with one setting changed, and the parsed new configuration.
///
/// `scope` is the name of a service or [`RULES_SCOPE`]. A new setting is inserted at the top of its
/// section. A missing section `[rules]` is appended. All lines of the returned text end in `\n`.
///
/// # Errors
///
/// Faults for an unknown service or key and for a value with line breaks, and all faults of the new
/// text.
pub fn set(text: &str, scope: &str, key: &str, value: &str) -> crate::Result<(String, Deployment)> {
    let mut faults = Faults::new("");
    let sections = parse_sections(text, &mut faults);
    let (section_name, keys): (String, &[&str]) = match scope {
        RULES_SCOPE => (RULES_SCOPE.into(), &RULE_KEYS),
        service => (format!("service {service}"), &SERVICE_KEYS),
    };
    if !keys.contains(&key) {
        let hint = valid_values(key, keys);
        faults.push(0, &section_name, key, FaultKind::UnknownKey { hint });
    }
    if value.contains(['\n', '\r']) {
        let message = "a value is one line".into();
        faults.push(0, &section_name, key, FaultKind::Message(message));
    }
    let section = sections.iter().find(|s| s.name == section_name);
    if section.is_none() && scope != RULES_SCOPE {
        let names: Vec<&str> = scope_names(&sections).collect();
        let hint = valid_values(scope, &names);
        faults.push(0, &section_name, "", FaultKind::UnknownSection { hint });
    }
    faults.finish(())?;
    let new_text = set_entry(text, section, key, value);
    let deployment = Deployment::parse(&new_text)?;
    Ok((new_text, deployment))
}

fn scope_names(sections: &[Section]) -> impl Iterator<Item = &str> {
    let services = sections
        .iter()
        .filter_map(|s| s.name.strip_prefix("service "));
    services.chain([RULES_SCOPE])
}

fn set_entry(text: &str, section: Option<&Section>, key: &str, value: &str) -> String {
    let entry = format!("{key} = {value}");
    let mut lines: Vec<&str> = text.lines().collect();
    let header = format!("[{RULES_SCOPE}]");
    match section {
        None => lines.extend([header.as_str(), entry.as_str()]),
        // Line numbers start at 1: `section.line` is the index of the line after the header.
        Some(section) => match section.entries.iter().find(|e| e.key == key) {
            Some(existing) => lines[existing.line - 1] = &entry,
            None => lines.insert(section.line, &entry),
        },
    }
    lines.join("\n") + "\n"
}

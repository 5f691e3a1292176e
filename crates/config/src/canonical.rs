//! Canonical text of a deployment configuration.

use std::fmt::{Display, Formatter, Result};

use crate::deployment::{Deployment, KeySource, Rules, Service};

/// Writes every key in a fixed order. [`Deployment::parse`] of the text yields the same value, but
/// without routes, for which the INI format has no section.
impl Display for Deployment {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        for service in &self.services {
            writeln!(f, "[service {}]", service.name)?;
            for (key, value) in service.entries() {
                writeln!(f, "{key} = {value}")?;
            }
            writeln!(f)?;
        }
        writeln!(f, "[rules]")?;
        for (key, value) in self.rules.entries() {
            writeln!(f, "{key} = {value}")?;
        }
        Ok(())
    }
}

impl Display for KeySource {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Self::PathSegment(segment) => write!(f, "path {segment}"),
            Self::QueryParameter(name) => write!(f, "query {name}"),
            Self::Header(name) => write!(f, "header {name}"),
            Self::NumericHeader(name) => write!(f, "number {name}"),
        }
    }
}

impl Service {
    /// Returns the keys and values of the section, in canonical order.
    pub fn entries(&self) -> Vec<(&'static str, String)> {
        let mut entries = vec![
            ("paths", self.paths.join(", ")),
            ("divided", yes_or_no(self.shards > 0)),
        ];
        if let Some(key) = &self.key {
            entries.push(("shards", self.shards.to_string()));
            entries.push(("key", key.to_string()));
        }
        let methods = match self.non_idempotent.as_slice() {
            [] => "none".into(),
            methods => methods.join(", "),
        };
        entries.extend([
            ("non_idempotent", methods),
            ("deadline_ms", self.deadline.as_millis().to_string()),
            ("targets_check_grants", yes_or_no(self.targets_check_grants)),
            ("long_share", self.long_share.to_string()),
            ("queue_length", self.queue_length.to_string()),
            ("retry_budget", self.retry_budget.to_string()),
            ("max_ejected", self.max_ejected.to_string()),
        ]);
        entries
    }
}

impl Rules {
    /// Returns the keys and values of the section, in canonical order.
    pub fn entries(&self) -> Vec<(&'static str, String)> {
        vec![
            ("max_draining", self.max_draining.to_string()),
            ("moves_per_round", self.moves_per_round.to_string()),
            ("imbalance_tolerance", self.imbalance_tolerance.to_string()),
            ("away", self.away.join(", ")),
            ("evacuated", self.evacuated.join(", ")),
        ]
    }
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.into()
}

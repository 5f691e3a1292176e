//! Differences between two deployment configurations, and changes that are refused.

use serde::{Deserialize, Serialize};

use crate::deployment::{Deployment, Service};
use crate::fault::{Fault, FaultKind, Faults};

/// One difference. Values are in the form of the text; an absent key is empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Difference {
    /// A service is new.
    Added {
        /// Name of the service.
        service: String,
    },
    /// A service is gone.
    Removed {
        /// Name of the service.
        service: String,
    },
    /// A setting of a service has another value.
    Changed {
        /// Name of the service.
        service: String,
        /// Key in the text.
        key: String,
        /// Value before.
        old: String,
        /// Value after.
        new: String,
    },
    /// A rule for all services has another value.
    Rule {
        /// Key in the text.
        key: String,
        /// Value before.
        old: String,
        /// Value after.
        new: String,
    },
}

impl Difference {
    /// Returns what the difference does to routing and ownership beyond the changed value itself,
    /// or `None` when it moves nothing.
    pub fn effect(&self) -> Option<&'static str> {
        match self {
            Self::Added { .. } => Some("its targets are taken into use"),
            Self::Removed { .. } => Some("its requests are refused with no-service"),
            Self::Changed { key, .. } => match key.as_str() {
                "key" => Some("every request is routed by the new key"),
                "paths" => Some("requests are routed by the new paths"),
                "targets_check_grants" => Some("grants are sent again, no shard moves"),
                _ => None,
            },
            Self::Rule { .. } => None,
        }
    }
}

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let shown = |value: &str| {
            if value.is_empty() {
                "(none)".into()
            } else {
                value.to_owned()
            }
        };
        match self {
            Self::Added { service } => write!(f, "service {service} added"),
            Self::Removed { service } => write!(f, "service {service} removed"),
            Self::Changed {
                service,
                key,
                old,
                new,
            } => {
                write!(f, "{service}.{key}: {} -> {}", shown(old), shown(new))
            }
            Self::Rule { key, old, new } => {
                write!(f, "rules.{key}: {} -> {}", shown(old), shown(new))
            }
        }
    }
}

/// Returns the differences: services in the order of `new`, then removed services, then rules.
/// Empty when both mean the same, whatever the order of the services in the texts.
pub fn diff(old: &Deployment, new: &Deployment) -> Vec<Difference> {
    let mut found = Vec::new();
    for service in &new.services {
        match old.service(&service.name) {
            None => found.push(Difference::Added {
                service: service.name.clone(),
            }),
            Some(before) => diff_service(before, service, &mut found),
        }
    }
    let gone = old
        .services
        .iter()
        .filter(|s| new.service(&s.name).is_none());
    found.extend(gone.map(|s| Difference::Removed {
        service: s.name.clone(),
    }));
    diff_entries(
        &old.rules.entries(),
        &new.rules.entries(),
        |key, old, new| {
            found.push(Difference::Rule { key, old, new });
        },
    );
    found
}

fn diff_service(old: &Service, new: &Service, found: &mut Vec<Difference>) {
    diff_entries(&old.entries(), &new.entries(), |key, before, after| {
        found.push(Difference::Changed {
            service: new.name.clone(),
            key,
            old: before,
            new: after,
        });
    });
}

type Entries = [(&'static str, String)];

fn diff_entries(old: &Entries, new: &Entries, mut changed: impl FnMut(String, String, String)) {
    let value = |entries: &Entries, key: &str| {
        let found = entries.iter().find(|(k, _)| *k == key);
        found.map_or_else(String::new, |(_, value)| value.clone())
    };
    for (key, before) in old {
        let after = value(new, key);
        if *before != after {
            changed((*key).into(), before.clone(), after);
        }
    }
    for (key, after) in new {
        if !old.iter().any(|(k, _)| k == key) {
            changed((*key).into(), String::new(), after.clone());
        }
    }
}

/// Checks a new configuration against the services that the assignment table has.
///
/// `declared` yields the name and the number of shards (0 when not divided) of each service in the
/// table, or of each service of the configuration before. The table keeps a service that the
/// configuration no longer has, so that a service that returns is checked as well.
///
/// # Errors
///
/// One fault per service whose number of shards differs: with another number, a key would fall
/// into another shard and so change its owner without a move.
pub fn check_shard_counts<'a>(
    declared: impl IntoIterator<Item = (&'a str, u32)>,
    new: &Deployment,
) -> crate::Result<()> {
    let mut faults = Faults::new("");
    for (name, shards) in declared {
        let Some(service) = new.service(name) else {
            continue;
        };
        if service.shards != shards {
            let message = refusal(shards, service.shards);
            let section = format!("service {name}");
            faults.push(0, &section, "shards", FaultKind::Message(message));
        }
    }
    faults.finish(())
}

fn refusal(old: u32, new: u32) -> String {
    let describe = |shards: u32| match shards {
        0 => "not divided".to_owned(),
        n => format!("{n} shards"),
    };
    format!(
        "cannot change from {} to {}, since keys would change shard and owner; declare a service \
         with a new name instead",
        describe(old),
        describe(new)
    )
}

/// Compares two configurations and refuses what must not change.
///
/// # Errors
///
/// The faults of [`check_shard_counts`].
pub fn check_change(old: &Deployment, new: &Deployment) -> Result<Vec<Difference>, Vec<Fault>> {
    let declared = old.services.iter().map(|s| (s.name.as_str(), s.shards));
    check_shard_counts(declared, new)?;
    Ok(diff(old, new))
}

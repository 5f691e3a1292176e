//! Differences between two deployment configurations, and checks for changes that are not allowed.

use serde::{Deserialize, Serialize};

use crate::deployment::{Deployment, Service};
use crate::fault::{Fault, FaultKind, Faults};

/// One difference. Values are written as in the configuration text; that of an absent key is empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Difference {
    /// A service was added.
    Added {
        /// Name of the service.
        service: String,
    },
    /// A service was removed.
    Removed {
        /// Name of the service.
        service: String,
    },
    /// A setting of a service was changed.
    Changed {
        /// Name of the service.
        service: String,
        /// Configuration key.
        key: String,
        /// Old value.
        old: String,
        /// New value.
        new: String,
    },
    /// A setting of the section `[rules]` was changed.
    Rule {
        /// Configuration key.
        key: String,
        /// Old value.
        old: String,
        /// New value.
        new: String,
    },
}

impl Difference {
    /// Returns a description of the effect on routing and ownership. `None` if there is none, and
    /// for every rule, although changes of `away` and `evacuated` cause moves.
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
        let display = |value: &str| {
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
                write!(f, "{service}.{key}: {} -> {}", display(old), display(new))
            }
            Self::Rule { key, old, new } => {
                write!(f, "rules.{key}: {} -> {}", display(old), display(new))
            }
        }
    }
}

/// Returns the differences: services in the order of `new`, then removed services, then rules.
/// Neither routes nor the order of the services are compared.
pub fn diff(old: &Deployment, new: &Deployment) -> Vec<Difference> {
    let mut differences = Vec::new();
    for service in &new.services {
        match old.service(&service.name) {
            None => differences.push(Difference::Added {
                service: service.name.clone(),
            }),
            Some(old_service) => diff_service(old_service, service, &mut differences),
        }
    }
    let removed = old
        .services
        .iter()
        .filter(|s| new.service(&s.name).is_none());
    differences.extend(removed.map(|s| Difference::Removed {
        service: s.name.clone(),
    }));
    diff_entries(
        &old.rules.entries(),
        &new.rules.entries(),
        |key, old, new| {
            differences.push(Difference::Rule { key, old, new });
        },
    );
    differences
}

fn diff_service(old: &Service, new: &Service, differences: &mut Vec<Difference>) {
    diff_entries(
        &old.entries(),
        &new.entries(),
        |key, old_value, new_value| {
            differences.push(Difference::Changed {
                service: new.name.clone(),
                key,
                old: old_value,
                new: new_value,
            });
        },
    );
}

type Entries = [(&'static str, String)];

/// Calls `record` with the key, old value and new value of each entry that differs.
fn diff_entries(old: &Entries, new: &Entries, mut record: impl FnMut(String, String, String)) {
    let value = |entries: &Entries, key: &str| {
        let entry = entries.iter().find(|(k, _)| *k == key);
        entry.map_or_else(String::new, |(_, value)| value.clone())
    };
    for (key, old_value) in old {
        let new_value = value(new, key);
        if *old_value != new_value {
            record((*key).into(), old_value.clone(), new_value);
        }
    }
    for (key, new_value) in new {
        if !old.iter().any(|(k, _)| k == key) {
            record((*key).into(), String::new(), new_value.clone());
        }
    }
}

/// Checks that a new configuration does not change the number of shards of a known service.
///
/// `declared` yields the name and the number of shards (0 if unsharded) of each service of the
/// assignment table or of the previous configuration. The table keeps removed services, so that a
/// service that is added again is checked, too.
///
/// # Errors
///
/// One fault per service with a different number of shards. With another number, a key would belong
/// to another shard and thus change its owner without a move.
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
            let message = shard_count_message(shards, service.shards);
            let section = format!("service {name}");
            faults.push(0, &section, "shards", FaultKind::Message(message));
        }
    }
    faults.finish(())
}

fn shard_count_message(old: u32, new: u32) -> String {
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

/// Returns the differences between two configurations if the change is allowed.
///
/// # Errors
///
/// The faults of [`check_shard_counts`].
pub fn check_change(old: &Deployment, new: &Deployment) -> Result<Vec<Difference>, Vec<Fault>> {
    let declared = old.services.iter().map(|s| (s.name.as_str(), s.shards));
    check_shard_counts(declared, new)?;
    Ok(diff(old, new))
}

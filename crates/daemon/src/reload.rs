//! Takes over changed settings while the daemon runs.
//!
//! SIGHUP tells that the settings file may have changed. Retries and placing change at once; any
//! other change is named in the log and waits for the next start.

use std::sync::Arc;
use std::time::Duration;

use masticdeal_config::settings::{Placing, Retries, Settings};
use tokio::signal::unix::{SignalKind, signal};

use crate::node::Node;

/// Time between two looks at the file, which may also change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Settings that change while the daemon runs.
#[derive(Debug, Clone, Default)]
pub struct ReloadableSettings {
    /// Retries that all daemons share.
    pub retries: Retries,
    /// Choice of targets.
    pub placing: Placing,
}

impl ReloadableSettings {
    /// Returns the part of the settings that can change.
    pub fn from_settings(settings: &Settings) -> Self {
        Self {
            retries: settings.retries.clone(),
            placing: settings.placing.clone(),
        }
    }
}

/// Reads the file again with each SIGHUP, and now and then, until the task is dropped.
pub async fn watch_settings(node: Arc<Node>, path: String) {
    let hup = signal(SignalKind::hangup());
    let Ok(mut hup) = hup else {
        log::error!("SIGHUP cannot be handled; it would end the process");
        return;
    };
    let mut known = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            _ = hup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) => {
                log::warn!(path = path.as_str(), error:% = e; "the settings cannot be read again");
                continue;
            }
        };
        if text == known && !signalled {
            continue;
        }
        apply(&node, &path, &text);
        known = text;
    }
}

fn apply(node: &Node, path: &str, text: &str) {
    let settings = match Settings::parse(text, path) {
        Ok(settings) => settings,
        Err(faults) => {
            let first = faults.first().map(ToString::to_string);
            log::warn!(path, faults = faults.len(), first:?; "the changed settings are not used");
            return;
        }
    };
    let waits = sections_needing_restart(&node.settings, &settings);
    node.reloadable_settings
        .send_replace(Arc::new(ReloadableSettings::from_settings(&settings)));
    log::info!(path, waits_for_restart:serde = waits; "settings reloaded");
}

/// Returns the sections whose change waits for the next start.
fn sections_needing_restart(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let text = |part: &dyn std::fmt::Debug| format!("{part:?}");
    let sections: [(&str, &dyn std::fmt::Debug, &dyn std::fmt::Debug); 7] = [
        ("daemon", &old.daemon, &new.daemon),
        ("listen", &old.listen, &new.listen),
        ("platform", &old.platform, &new.platform),
        ("lease", &old.lease, &new.lease),
        ("limits", &old.limits, &new.limits),
        ("log", &old.log, &new.log),
        ("target", &old.target, &new.target),
    ];
    let changed = sections
        .into_iter()
        .filter(|(_, a, b)| text(*a) != text(*b));
    changed.map(|(name, ..)| name).collect()
}

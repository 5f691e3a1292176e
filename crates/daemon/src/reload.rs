//! Reloads the settings file while the daemon runs.
//!
//! The file is read on SIGHUP and periodically. Changes of the sections `retries` and `placing`
//! take effect at once. Changes of other sections take effect at the next start and are logged,
//! except for those of `secret`.

use std::sync::Arc;
use std::time::Duration;

use masticdeal_config::settings::{Placing, Retries, Settings};
use tokio::signal::unix::{SignalKind, signal};

use crate::node::Node;

/// Interval between reads of the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Settings that can change without a restart.
#[derive(Debug, Clone, Default)]
pub struct ReloadableSettings {
    /// Retry budget of the whole fleet.
    pub retries: Retries,
    /// Selection of targets for unsharded services.
    pub placing: Placing,
}

impl ReloadableSettings {
    /// Returns the reloadable part of the settings.
    pub fn from_settings(settings: &Settings) -> Self {
        Self {
            retries: settings.retries.clone(),
            placing: settings.placing.clone(),
        }
    }
}

/// Reloads the file on SIGHUP, and when it has changed, until the task is dropped.
pub async fn watch_settings(node: Arc<Node>, path: String) {
    let hup = signal(SignalKind::hangup());
    let Ok(mut hup) = hup else {
        log::error!(
            "cannot handle SIGHUP: settings are not reloaded, and the signal ends the process"
        );
        return;
    };
    let mut last_text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            _ = hup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) => {
                log::warn!(
                    path = path.as_str(), error:% = e;
                    "cannot read the settings file; keeping the current settings"
                );
                continue;
            }
        };
        if text == last_text && !signalled {
            continue;
        }
        apply(&node, &path, &text);
        last_text = text;
    }
}

fn apply(node: &Node, path: &str, text: &str) {
    let settings = match Settings::parse(text, path) {
        Ok(settings) => settings,
        Err(faults) => {
            let first = faults.first().map(ToString::to_string);
            log::warn!(
                path, faults = faults.len(), first:?;
                "settings file is invalid; keeping the current settings"
            );
            return;
        }
    };
    let sections = sections_needing_restart(&node.settings, &settings);
    node.reloadable_settings
        .send_replace(Arc::new(ReloadableSettings::from_settings(&settings)));
    log::info!(path, waits_for_restart:serde = sections; "settings reloaded");
}

/// Returns the changed sections that take effect only at the next start. The section `secret` is
/// not compared: its debug output is redacted.
fn sections_needing_restart(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let debug_text = |section: &dyn std::fmt::Debug| format!("{section:?}");
    let compared: [(&str, &dyn std::fmt::Debug, &dyn std::fmt::Debug); 7] = [
        ("daemon", &old.daemon, &new.daemon),
        ("listen", &old.listen, &new.listen),
        ("platform", &old.platform, &new.platform),
        ("lease", &old.lease, &new.lease),
        ("limits", &old.limits, &new.limits),
        ("log", &old.log, &new.log),
        ("target", &old.target, &new.target),
    ];
    let changed = compared
        .into_iter()
        .filter(|(_, a, b)| debug_text(*a) != debug_text(*b));
    changed.map(|(name, ..)| name).collect()
}

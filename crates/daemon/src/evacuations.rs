//! Evacuated data centres as this daemon knows them, and what it may still send to its target.

use std::collections::BTreeMap;
use std::time::Duration;

use masticdeal_ownership::table::Table;
use masticdeal_policy::evacuation::{
    DEFAULT_TIME_LIMIT, EvacuationState, Permission, Recorded, StorePosition, key_time, permission,
};

use crate::node::Node;
use crate::protocol::EvacuationKeys;

/// Evacuated data centres.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// The set and its position.
    pub state: EvacuationState,
    /// When this daemon learned of each data centre in the set, as time since boot.
    pub learned_at: BTreeMap<String, Duration>,
    /// Whether the configuration lists the data centres, so that its revision covers the set.
    pub is_configured: bool,
    /// Number of changes of the set.
    pub generation: u64,
    /// End of the time in which requests for keys may be sent to the target of this daemon; `None`
    /// if its data centre is not evacuated.
    keys_until: Option<Duration>,
}

impl Evacuations {
    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.state.contains(data_centre)
    }

    /// Returns whether the table has sessions, and all of them are in evacuated data centres.
    pub fn leaves_none_of(&self, table: &Table) -> bool {
        let mut sessions = table.sessions.iter();
        !table.sessions.is_empty() && sessions.all(|s| self.contains(&s.data_centre))
    }

    /// Returns the end of the time in which requests for keys may be sent.
    pub fn keys_until(&self) -> Option<Duration> {
        self.keys_until
    }

    /// Updates what follows from the set after a change at the time `now`. `was_known` tells whether
    /// this daemon knew an earlier set: a daemon that has just started cannot tell how long the data
    /// centre is evacuated already, and sends no requests for keys.
    fn update(
        &mut self,
        now: Duration,
        own_data_centre: &str,
        time_limit: Duration,
        was_known: bool,
    ) {
        self.generation += 1;
        let names = &self.state.set().data_centres;
        self.learned_at.retain(|name, _| names.contains_key(name));
        for name in names.keys() {
            self.learned_at.entry(name.clone()).or_insert(now);
        }
        let time = if was_known {
            key_time(time_limit)
        } else {
            Duration::ZERO
        };
        let is_evacuated = self.contains(own_data_centre);
        let until = self.keys_until.unwrap_or(now + time);
        self.keys_until = is_evacuated.then_some(until);
    }
}

impl Node {
    /// Returns the keys by which operators evacuate data centres; `None` where they cannot.
    pub fn evacuation_keys(&self) -> Option<EvacuationKeys> {
        let is_enabled = self.settings.daemon.evacuation.is_some();
        self.protocol.config.evacuations.filter(|_| is_enabled)
    }

    /// Returns what this daemon may send to its target now.
    pub fn permission(&self) -> Permission {
        permission(self.clock.now(), self.evacuations.borrow().keys_until)
    }

    /// Records a set of evacuated data centres, or changes, with `record`. `source` names where they
    /// came from, for the log.
    pub fn record_evacuations(
        &self,
        source: &str,
        record: impl FnOnce(&mut EvacuationState) -> Recorded,
    ) -> Recorded {
        let mut recorded = Recorded::Same;
        self.evacuations.send_if_modified(|current| {
            let current = std::sync::Arc::make_mut(current);
            let before = current.state.set().clone();
            let was_known = current.state.is_known();
            recorded = record(&mut current.state);
            current.is_configured = self.protocol.config.evacuations.is_none();
            let is_changed = recorded == Recorded::Changed;
            if is_changed {
                let daemon = &self.settings.daemon;
                let time_limit = daemon.evacuation.unwrap_or(DEFAULT_TIME_LIMIT);
                let now = self.clock.now();
                current.update(now, &daemon.data_centre, time_limit, was_known);
                log_change(source, before.position, current);
                let count = current.state.set().data_centres.len();
                self.metrics.evacuated_data_centres.set(count as i64);
            }
            is_changed
        });
        recorded
    }

    /// Logs a warning for each evacuated name that is no data centre of the table, and if no data
    /// centre is left. Such evacuations are in force all the same.
    pub fn warn_of_evacuations(&self) {
        let evacuations = self.evacuations.borrow().clone();
        let table = self.table.borrow().clone();
        if table.sessions.is_empty() {
            return;
        }
        let names = evacuations.state.set().data_centres.keys();
        for name in names.filter(|name| table.sessions.iter().all(|s| s.data_centre != **name)) {
            log::warn!(data_centre = name.as_str();
                "an evacuated data centre is not in the table");
        }
        if evacuations.leaves_none_of(&table) {
            log::warn!("all data centres of the table are evacuated");
        }
    }
}

fn log_change(source: &str, before: StorePosition, after: &Evacuations) {
    let set = after.state.set();
    let names: Vec<&str> = set.data_centres.keys().map(String::as_str).collect();
    log::info!(source, era = set.position.era, revision = set.position.revision,
        previous_era = before.era, previous_revision = before.revision;
        "evacuated data centres: {}", if names.is_empty() { "none".into() } else { names.join(", ") });
}

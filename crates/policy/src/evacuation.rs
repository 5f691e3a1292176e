//! Evacuated data centres: which of two sets is newer, and what a daemon of such a data centre may
//! still send to its target.
//!
//! A set is valid from its position in the store on. Revisions of the store also count other keys,
//! so a daemon that was shown the same set again keeps the position of the set, which daemons
//! compare, and only remembers up to where the set is known to be valid.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Part of the time limit of an evacuation in which no request for a key may be sent any more: 1.2 s
/// until every daemon has asked the store, and 0.8 s for that call and the transfer.
const LEARNING_TIME: Duration = Duration::from_secs(2);

/// Time limit if the settings contain none.
pub const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(5);

/// A revision of the store and the era in which the store gave it out. A new era, which begins when
/// the store is restored from a backup, reuses revisions.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Era of the store.
    pub era: u64,
    /// Revision in that era.
    pub revision: u64,
}

impl StorePosition {
    /// Creates the position of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

/// Evacuated data centres as of a position in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedSet {
    /// Position at which the set was seen first.
    pub position: StorePosition,
    /// Names of the data centres, each with the revision since which it is evacuated.
    pub data_centres: BTreeMap<String, u64>,
}

/// A change of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Name of the data centre.
    pub data_centre: String,
    /// Revision of the change.
    pub revision: u64,
    /// Whether the data centre is evacuated from this revision on.
    pub is_evacuated: bool,
}

/// The set that a daemon has in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationState {
    set: EvacuatedSet,
    /// Newest position at which the set is known to be valid; at least that of the set.
    valid_until: StorePosition,
    /// Whether any answer of the store or of a peer was recorded.
    is_known: bool,
}

/// Result of recording a set or changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recorded {
    /// Older than what is known; nothing was changed.
    Older,
    /// The data centres are the same.
    Same,
    /// The data centres changed.
    Changed,
}

impl EvacuationState {
    /// Returns the set in force.
    pub fn set(&self) -> &EvacuatedSet {
        &self.set
    }

    /// Returns whether the data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.set.data_centres.contains_key(data_centre)
    }

    /// Records the complete set that the store showed at a position.
    pub fn record_read(
        &mut self,
        at: StorePosition,
        data_centres: BTreeMap<String, u64>,
    ) -> Recorded {
        if at < self.valid_until {
            return Recorded::Older;
        }
        self.replace(at, data_centres)
    }

    /// Records the changes up to the position `until` that a watch showed, oldest first. The watch
    /// must have started at a position up to which this state is valid.
    pub fn record_changes(
        &mut self,
        until: StorePosition,
        changes: &[EvacuationChange],
    ) -> Recorded {
        let before = self.set.data_centres.clone();
        for change in changes {
            let at = StorePosition::new(until.era, change.revision);
            if at <= self.valid_until {
                continue;
            }
            let data_centres = &mut self.set.data_centres;
            let previous = match change.is_evacuated {
                true => data_centres.insert(change.data_centre.clone(), change.revision),
                false => data_centres.remove(&change.data_centre),
            };
            if change.is_evacuated || previous.is_some() {
                self.set.position = at;
            }
        }
        self.is_known = true;
        self.valid_until = self.valid_until.max(until);
        match before == self.set.data_centres {
            true => Recorded::Same,
            false => Recorded::Changed,
        }
    }

    /// Records the set of a peer. If the set of this daemon is known to be valid later than another
    /// set of the peer, its position rises, so that the peer takes it over.
    pub fn record_peer(&mut self, set: &EvacuatedSet) -> Recorded {
        if set.position <= self.set.position {
            return Recorded::Older;
        }
        if set.data_centres == self.set.data_centres {
            self.set.position = set.position;
            self.valid_until = self.valid_until.max(set.position);
            self.is_known = true;
            return Recorded::Same;
        }
        if set.position <= self.valid_until {
            self.set.position = self.valid_until;
            return Recorded::Older;
        }
        self.set = set.clone();
        self.valid_until = set.position;
        self.is_known = true;
        Recorded::Changed
    }

    /// Records the data centres that a revision of the configuration lists. The configuration in force
    /// decides, also if it is an older one from a restored store.
    pub fn record_config(&mut self, revision: u64, names: &[String]) -> Recorded {
        let at = StorePosition::new(0, revision);
        let since = |name: &String| self.set.data_centres.get(name).copied().unwrap_or(revision);
        let data_centres = names.iter().map(|n| (n.clone(), since(n))).collect();
        self.replace(at, data_centres)
    }

    fn replace(&mut self, at: StorePosition, data_centres: BTreeMap<String, u64>) -> Recorded {
        self.is_known = true;
        self.valid_until = at;
        if data_centres == self.set.data_centres {
            return Recorded::Same;
        }
        self.set = EvacuatedSet {
            position: at,
            data_centres,
        };
        Recorded::Changed
    }

    /// Returns whether the set was ever confirmed: before, this daemon cannot tell since when a data
    /// centre is evacuated.
    pub fn is_known(&self) -> bool {
        self.is_known
    }
}

/// What a daemon may still send to its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// All requests.
    All,
    /// Requests for keys, until their shard has moved.
    Keys,
    /// None.
    Nothing,
}

/// Returns for how long requests for keys may be sent after a daemon has learned of the evacuation
/// of its data centre, if no request may reach its target later than `time_limit` after the
/// operator's request.
pub fn key_time(time_limit: Duration) -> Duration {
    time_limit.saturating_sub(LEARNING_TIME)
}

/// Returns what a daemon may send at the time `now`. `keys_until` is the end of the time for keys;
/// `None` if its data centre is not evacuated.
pub fn permission(now: Duration, keys_until: Option<Duration>) -> Permission {
    match keys_until {
        None => Permission::All,
        Some(until) if now < until => Permission::Keys,
        Some(_) => Permission::Nothing,
    }
}

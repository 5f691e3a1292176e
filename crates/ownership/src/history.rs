//! The last deltas of the table, kept to answer daemons that are behind.
//!
//! Invariant: the deltas are consecutive, and the last one made the newest version.

use std::collections::VecDeque;

use crate::change::Delta;

/// Deltas that are kept.
pub const MAX_DELTAS: usize = 256;

/// Consecutive deltas up to the newest version.
#[derive(Debug, Default)]
pub struct History {
    deltas: VecDeque<Delta>,
}

impl History {
    /// Adds the delta that made the newest version. A gap drops what was kept before.
    pub fn push(&mut self, delta: Delta) {
        let follows = self
            .deltas
            .back()
            .is_some_and(|last| last.to_version + 1 == delta.to_version);
        if !follows {
            self.deltas.clear();
        }
        if self.deltas.len() == MAX_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta);
    }

    /// Forgets everything, after a whole table replaced the one that the deltas lead to.
    pub fn clear(&mut self) {
        self.deltas.clear();
    }

    /// Returns the deltas that lead from `version` to `newest`, or `None` when they are no longer
    /// kept.
    pub fn deltas_since(&self, version: u64, newest: u64) -> Option<Vec<Delta>> {
        if version >= newest {
            return Some(Vec::new());
        }
        let first = self.deltas.front()?.to_version;
        let last = self.deltas.back()?.to_version;
        if first > version + 1 || last != newest {
            return None;
        }
        let skip = (version + 1 - first) as usize;
        Some(self.deltas.iter().skip(skip).cloned().collect())
    }
}

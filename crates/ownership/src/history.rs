//! The latest deltas of the table, kept to bring daemons with an older version up to date.
//!
//! Invariant: the deltas are consecutive, and the last one produced the newest version.

use std::collections::VecDeque;

use crate::change::Delta;

/// Maximum number of deltas that are kept.
pub const MAX_DELTAS: usize = 256;

/// Consecutive deltas up to the newest version.
#[derive(Debug, Default)]
pub struct History {
    deltas: VecDeque<Delta>,
}

impl History {
    /// Adds the delta that produced the newest version. If it does not follow the last delta, all
    /// earlier ones are dropped.
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

    /// Removes all deltas. Call it when a complete table was installed instead of deltas.
    pub fn clear(&mut self) {
        self.deltas.clear();
    }

    /// Returns the deltas that lead from `version` to `newest`, or `None` if some of them are not
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
